"""Runs many schedulers in one process, each with its own reducer."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

from opalwick.drill.codec import BadFrame, Reply, records
from opalwick.interface import ListForm, Outcome
from opalwick.protocol.settings import read_scheduler_config
from opalwick.routing.reducer import (
    Answer,
    Close,
    Datagram,
    Effect,
    Final,
    Probe,
    Reducer,
    Send,
    Timer,
    Watch,
)

_MICRO = 1e-6


class Scheduler:
    """One scheduler: converts the protocol's records to inputs of its reducer.

    Methods other than the constructor are named after event records. Times of records are microseconds.
    """

    def __init__(self, clock: int, seed: int, config: bytes) -> None:
        text = config.decode("utf-8", "replace")
        self.terms = read_scheduler_config(
            dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
        )
        self.reducer = Reducer(self.terms, seed, clock * _MICRO)

    def view(self, clock: int, form: int, version: int, entries: list[tuple[Any, ...]]) -> None:
        if form not in (0, 1, 2, 3):
            raise BadFrame(f"unknown list form {form}")
        rows = []
        for wid, zone, kind, cell, phase, share, ready_at in entries:
            if phase not in (0, 1, 2):
                raise BadFrame(f"unknown phase {phase}")
            rows.append((wid, wid, zone, kind, cell, phase, ready_at * _MICRO, None, share))
        self.reducer.listed(ListForm(form), rows)

    def inbound(
        self,
        clock: int,
        corr: int,
        profile: int,
        party: int,
        item: int,
        deadline: int,
        estimate: int,
        slots: float,
        ram: float,
        options: int,
    ) -> None:
        if profile >= len(self.terms.categories):
            raise BadFrame(f"unknown category {profile}")
        customers = self.terms.customers
        slots = slots if math.isfinite(slots) and 0 < slots < 1e4 else 1.0
        self.reducer.taken(
            corr,
            self.terms.categories[profile],
            customers[party] if party < len(customers) else None,
            clock * _MICRO,
            deadline * _MICRO,
            estimate * _MICRO if options & 1 else 0.0,
            slots,
            item,
            bool(options & 2),
        )

    def vanished(self, clock: int, corr: int) -> None:
        self.reducer.left(corr)

    def response(
        self,
        clock: int,
        corr: int,
        detail: int,
        duration: int,
        copy: int,
        outcome: int,
        wid: int,
        finished: int,
        metrics: tuple[float, ...],
    ) -> None:
        if outcome not in range(1, 9):
            raise BadFrame(f"unknown outcome {outcome}")
        self.reducer.reported(wid, metrics)
        self.reducer.ended(corr, copy, Outcome(outcome), bool(finished))

    def flowing(self, clock: int, corr: int, copy: int, duration: int, wid: int) -> None:
        self.reducer.began(corr, copy)

    def interim(self, clock: int, corr: int, copy: int, wid: int, topic: int, x: float) -> None:
        if topic == 1:
            self.reducer.began(corr, copy)
        elif topic == 2:
            self.reducer.progressed(corr, copy, x)

    def status_back(
        self, clock: int, outcome: int, wid: int, duration: int, metrics: tuple[float, ...]
    ) -> None:
        self.reducer.probed(wid, metrics)

    def neighbour_says(self, clock: int, who: int, payload: bytes) -> None:
        self.reducer.heard(who, payload)

    def wake(self, clock: int, key: int) -> None:
        self.reducer.woken()


def write(effects: Iterator[Effect], clock: int, reply: Reply) -> None:
    """Adds the records of these effects to the reply; `clock` is in microseconds."""
    for effect in effects:
        match effect:
            case Send(corr, copy, wid, _, give_up_after):
                # rounded down, so that a time-out never ends after the expiry
                reply.add("dispatch", corr, wid, max(1, min(0xFFFFFFFF, int(give_up_after / _MICRO))))
            case Close(corr, copy):
                reply.add("undo_send", corr, copy)
            case Probe(wid):
                reply.add("test", wid)
            case Answer(corr, Final.DEFERRED, _, come_back_in):
                reply.add("shed", corr, int(come_back_in / _MICRO))
            case Answer(corr, Final.WRITTEN_OFF):
                reply.add("finish_error", corr)
            case Timer(at):
                # rounded up and never now, so that a timer is not early and can't loop at the same time
                reply.add("defer", max(clock + 1, math.ceil(at / _MICRO)), 0)
            case Watch():
                reply.add("tail", 1)
            case Datagram(to, payload):
                reply.message(to, payload)
            case Answer():  # finished: the simulator passes on the first result by itself
                pass


class Host:
    """The schedulers of one process, by instance number."""

    def __init__(self) -> None:
        self._schedulers: dict[int, Scheduler] = {}

    def answer(self, clock: int, count: int, body: bytes) -> bytes:
        """Applies a batch to the schedulers that it names and returns the reply with their effects.

        Raises BadFrame for an invalid batch.
        """
        current: int | None = None
        touched: dict[int, None] = {}
        reply = Reply()
        for name, fields in records(body, count):
            if name == "for":
                current = fields[0]
                continue
            if current is None:
                raise BadFrame(f"{name} comes before any instance was named")
            if name == "configure":
                self._schedulers[current] = Scheduler(clock, *fields)
                touched[current] = None
            elif name == "down":
                self._schedulers.pop(current, None)
                touched.pop(current, None)
            elif scheduler := self._schedulers.get(current):
                touched[current] = None
                try:
                    scheduler.reducer.clock(clock * _MICRO)
                    getattr(scheduler, name)(clock, *fields)
                except BadFrame:
                    raise
                except Exception as exc:  # noqa: BLE001 - the protocol requires that every internal error is reported
                    self._bug(reply, current, exc)
        for i in touched:
            reply.add("on_behalf", i)
            try:
                write(self._schedulers[i].reducer.effects(), clock, reply)
            except Exception as exc:  # noqa: BLE001
                self._bug(reply, i, exc)
        return reply.frame()

    @staticmethod
    def _bug(reply: Reply, i: int, exc: Exception) -> None:
        frame = exc.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        line = frame.tb_lineno if frame else 0
        reply.add("on_behalf", i)
        reply.bug(f"{type(exc).__name__}: {exc} (line {line})")
