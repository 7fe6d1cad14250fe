"""Hosts many schedulers in one process, each with a decision module and objects of its own."""
from __future__ import annotations

import math
import struct
from typing import Any

from opalwick.balance import Balancer
from opalwick.drill.codec import BadFrame, Reply, records
from opalwick.interface import (Cancel, Category, Customer, Decision, Defer, Effect, Group, HandOff, ListForm,
                                Outcome, Phase, Report, Row, Send, Subscribe, Sum, Tell, Terms, Wake, Worker,
                                WorkItem, WriteOff)

_EFFECTS = {"repeatable": Effect.RERUNNABLE, "by_key": Effect.TICKETED, "once": Effect.EXCLUSIVE}
_REPORT = {"active": Report.HELD, "waiting": Report.WAITING}
_MICRO = 1e-6
# what schedulers tell each other: kind, zone, mark and, in sums, how many were heard; then a row a worker:
# the low and high half of its id folded, half slots, and seconds to run on a scale of even ratios
_WORD, _SUM, _ROW = struct.Struct("<BBI"), struct.Struct("<BBIH"), struct.Struct("<HBB")
_FIT = (256 - _SUM.size) // _ROW.size


def _short(wid: int) -> int:
    return (wid ^ wid >> 16) & 0xFFFF


def _rows(rows: list[Row]) -> bytes:
    return b"".join([_ROW.pack(_short(w.id), min(255, round(slots * 2)),
                               min(255, round(20.0 * math.log1p(20.0 * left)))) for w, slots, left in rows])


_SECONDS = [math.expm1(step / 20.0) / 20.0 for step in range(256)]


class BadStart(Exception):
    """A start value that the module needs is missing or malformed."""


class _Values:
    def __init__(self, text: str) -> None:
        self._values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def text(self, key: str, default: str | None = None) -> str:
        value = self._values.get(key, default)
        if value is None:
            raise BadStart(f"start value {key} is missing")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        text = self.text(key, None if default is None else str(default))
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not math.isfinite(value) or value < 0:
            raise BadStart(f"start value {key} is malformed: {text!r}")
        return value

    def seconds(self, key: str, default: float | None = None) -> float:
        return self.number(key, None if default is None else default / _MICRO) * _MICRO

    def flag(self, key: str) -> bool:
        text = self.text(key)
        if text not in ("true", "false"):
            raise BadStart(f"start value {key} is malformed: {text!r}")
        return text == "true"

    def choice(self, key: str, choices: Any, default: str | None = None) -> Any:
        text = self.text(key, default)
        try:
            return choices[text]
        except (KeyError, TypeError):
            raise BadStart(f"start value {key} is malformed: {text!r}") from None

    def row(self, key: str) -> list[str]:
        return [part for part in self._values.get(key, "").split(",") if part]


def read_terms(text: str) -> Terms:
    values = _Values(text)
    stretches = values.row("family-info.class-stretch")
    groups = {group.value: group for group in Group}
    categories = []
    for i in range(int(values.number("categories.count"))):
        at = f"categories.{i}."
        try:
            stretch = float(stretches[i]) if i < len(stretches) else values.number(at + "aim-stretch", 0.0)
        except ValueError:
            raise BadStart(f"start value family-info.class-stretch is malformed: {stretches[i]!r}") from None
        expiry = values.seconds(at + "expiry-us")
        categories.append(Category(
            values.number(at + "credit"), values.choice(at + "effect", _EFFECTS),
            values.choice(at + "group", groups, "all"), values.seconds(at + "due-time-us"), stretch, expiry,
            values.number(at + "tardy-credit", 0.0), values.seconds(at + "window-us", expiry)))
    customers = [Customer(values.number(f"tenants.{i}.quota-per-s", 0.0))
                 for i in range(int(values.number("tenants.count", 0.0)))]
    extra = {f"x{n}": values.text(f"family-info.report-x{n}", "") for n in (0, 1)}
    report = tuple(Report.FREE_SLOTS if extra.get(name) == "free_slots" else _REPORT.get(name, "")
                   for name in values.row("load-report.names"))
    return Terms(
        categories=categories, customers=customers, zone=int(values.number("az", 0.0)),
        schedulers=max(1, int(values.number("peers-total"))),
        hand_offs=int(values.number("ceilings.max-hand-offs")),
        may_copy=values.flag("ceilings.parallel-tries"), may_cancel=values.flag("ceilings.may-cancel"),
        may_tell=values.flag("ceilings.peers"),
        retry_after=(values.seconds("ceilings.max-retry-after-us", 0.0)
                     if values.flag("ceilings.retry-after") else 0.0),
        by_work=values.choice("credit-basis", {"work": True, "request": False}),
        excess_credit=values.number("excess-credit", 1.0),
        price_cross=values.number("prices.cross-zone", 0.0), price_tell=values.number("prices.peer", 0.0),
        position=int(values.number("position", 0.0)),
        must_ask=values.choice("discovery", {"ask": True, "push": False}),
        ask_every=values.seconds("guarantees.ask-every-us", 10.0),
        fall_multiple=values.number("guarantees.fall-multiple"),
        fall_span=values.seconds("guarantees.fall-us"), cold_share=values.number("guarantees.cold-share"),
        ramp=values.seconds("guarantees.ramp-time-us"),
        tells_start=values.choice("family-info.tells-start", {"true": True, "false": False}, "false"),
        progress_every=values.seconds("family-info.progress-us", 0.0),
        tick=values.seconds("tick-us", 0.005), report=report)


class Scheduler:
    """One instance: the door between the wire's ids and the module's objects."""

    def __init__(self, clock: int, seed: int, config: bytes) -> None:
        self.terms = read_terms(config.decode("utf-8", "replace"))
        self.balancer = Balancer(self.terms, seed, clock * _MICRO)
        self.items: dict[int, WorkItem] = {}
        self.workers: dict[int, Worker] = {}
        self.shorts: dict[int, Worker | None] = {}  # by folded id; None: two workers share it

    def _hand_off(self, corr: int, copy: int) -> HandOff | None:
        wi = self.items.get(corr)
        return wi.hand_offs[copy] if wi is not None and copy < len(wi.hand_offs) else None

    def _report(self, wid: int, metrics: tuple[float, ...]) -> None:
        if metrics and wid in self.workers:
            self.balancer.reported(self.workers[wid], metrics)

    def view(self, clock: int, form: int, version: int, entries: list[tuple[Any, ...]]) -> None:
        if form not in (0, 1, 2, 3):
            raise BadFrame(f"unknown list form {form}")
        rows = []
        for wid, zone, kind, cell, phase, share, ready_at in entries:
            if phase not in (0, 1, 2):
                raise BadFrame(f"unknown phase {phase}")
            worker = self.workers.get(wid)
            if worker is None:
                worker = self.workers[wid] = Worker(wid)
                self.shorts[_short(wid)] = None if _short(wid) in self.shorts else worker
            rows.append((worker, zone, kind, cell, Phase(phase), ready_at * _MICRO))
        self.balancer.listed(ListForm(form), rows)

    def inbound(self, clock: int, corr: int, profile: int, party: int, item: int, deadline: int,
                estimate: int, slots: float, ram: float, options: int) -> None:
        if profile >= len(self.terms.categories):
            raise BadFrame(f"unknown category {profile}")
        customers = self.terms.customers
        wi = WorkItem(corr, self.terms.categories[profile],
                      customers[party] if party < len(customers) else None, item, clock * _MICRO,
                      deadline * _MICRO, estimate * _MICRO if options & 1 else 0.0,
                      slots if math.isfinite(slots) and 0 < slots < 1e4 else 1.0)
        self.items[corr] = wi
        self.balancer.taken(wi)

    def vanished(self, clock: int, corr: int) -> None:
        if wi := self.items.get(corr):
            self.balancer.left(wi)
            self._forget(wi)

    def response(self, clock: int, corr: int, detail: int, duration: int, copy: int, outcome: int, wid: int,
                 finished: int, metrics: tuple[float, ...]) -> None:
        self._report(wid, metrics)
        ho = self._hand_off(corr, copy)
        if ho is None or ho.ended:
            return
        if outcome not in range(1, 9):
            raise BadFrame(f"unknown outcome {outcome}")
        self.balancer.ended(ho, Outcome(outcome), bool(finished))
        self._forget(ho.wi)

    def flowing(self, clock: int, corr: int, copy: int, duration: int, wid: int) -> None:
        if ho := self._hand_off(corr, copy):
            self.balancer.began(ho)

    def interim(self, clock: int, corr: int, copy: int, wid: int, topic: int, x: float) -> None:
        ho = self._hand_off(corr, copy)
        if ho is None or ho.ended:
            return
        if topic == 1:
            self.balancer.began(ho)
        elif topic == 2:
            self.balancer.progressed(ho, x)

    def status_back(self, clock: int, outcome: int, wid: int, duration: int,
                    metrics: tuple[float, ...]) -> None:
        self._report(wid, metrics)

    def neighbour_says(self, clock: int, who: int, octets: bytes) -> None:
        head = {0: _WORD, 1: _SUM}.get(octets[0]) if octets else None
        if head is None or len(octets) < head.size or (len(octets) - head.size) % _ROW.size:
            return                              # not one of ours: passed over
        _, zone, mark, *heard = head.unpack_from(octets)
        rows = [(w, slots * 0.5, _SECONDS[left])
                for short, slots, left in _ROW.iter_unpack(octets[head.size:])
                if (w := self.shorts.get(short)) is not None]
        if head is _WORD:
            self.balancer.told(who, mark, zone, rows)
        else:
            self.balancer.summed(mark, zone, *heard, rows)

    def wake(self, clock: int, key: int) -> None:
        """Setting the clock was all that was needed."""

    def _forget(self, wi: WorkItem) -> None:
        if wi.answered and all(ho.ended for ho in wi.hand_offs):
            self.items.pop(wi.id, None)

    def write(self, decision: Decision, clock: int, reply: Reply) -> None:
        match decision:
            case Send(ho, give_up_after):
                # rounded down: a time-out never reaches past the expiry
                time_out = max(1, min(0xFFFFFFFF, int(give_up_after / _MICRO)))
                reply.add("dispatch", ho.wi.id, ho.worker.id, time_out)
            case Cancel(ho):
                reply.add("undo_send", ho.wi.id, ho.number)
            case Defer(wi, come_back_in):
                reply.add("shed", wi.id, int(come_back_in / _MICRO))
                self._forget(wi)
            case WriteOff(wi):
                reply.add("finish_error", wi.id)
                self._forget(wi)
            case Wake(at):
                # rounded up and never now: a timer is not early and does not loop on itself
                reply.add("defer", max(clock + 1, math.ceil(at / _MICRO)), 0)
            case Subscribe():
                reply.add("tail", 1)
            case Tell(to, mark, zone, rows):
                # one message, as a second would take the first's place: the heaviest that fit
                heaviest = sorted(rows, key=lambda row: -row[2])[:_FIT]
                reply.message(to, _WORD.pack(0, zone, mark) + _rows(heaviest))
            case Sum(to, mark, zone, heard, rows):
                # a zone of more workers than fit takes several: what is left out would stay as last told
                for at in range(0, max(1, len(rows)), _FIT):
                    reply.message(to, _SUM.pack(1, zone, mark, heard) + _rows(rows[at:at + _FIT]))


class Host:
    def __init__(self) -> None:
        self._schedulers: dict[int, Scheduler] = {}

    def answer(self, clock: int, count: int, body: bytes) -> bytes:
        """Feeds a batch to the schedulers it names, then pulls each one's decisions until none is left."""
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
                    scheduler.balancer.clock(clock * _MICRO)
                    getattr(scheduler, name)(clock, *fields)
                except BadFrame:
                    raise
                except Exception as problem:  # noqa: BLE001 - the wire wants it told, whatever it is
                    self._bug(reply, current, problem)
        for i in touched:
            scheduler = self._schedulers[i]
            reply.add("on_behalf", i)
            try:
                for decision in scheduler.balancer.decisions():
                    scheduler.write(decision, clock, reply)
            except Exception as problem:  # noqa: BLE001
                self._bug(reply, i, problem)
        return reply.frame()

    @staticmethod
    def _bug(reply: Reply, i: int, problem: Exception) -> None:
        frame = problem.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        line = frame.tb_lineno if frame else 0
        reply.add("on_behalf", i)
        reply.bug(f"{type(problem).__name__}: {problem} (line {line})")
