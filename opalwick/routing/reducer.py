"""The one owner of all state: an input goes in, effects come out. No input or output, and no clock.

The keys of work items are whatever the front gives: they are only kept and handed back.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator, Mapping, Sequence
from enum import Enum
from typing import Any, NamedTuple

from opalwick import interface
from opalwick.balance import Balancer
from opalwick.interface import (
    Cancel,
    Category,
    Customer,
    Defer,
    HandOff,
    ListForm,
    Outcome,
    Phase,
    Subscribe,
    Sum,
    Tell,
    Terms,
    Wake,
    Worker,
    WorkItem,
    WriteOff,
)
from opalwick.protocol.words import packed, short, unpacked
from opalwick.routing import learned


class Final(Enum):
    FINISHED = "finished"
    DEFERRED = "deferred"
    WRITTEN_OFF = "written off"


# effects: what the front is asked to do
class Send(NamedTuple):
    key: Any
    number: int
    worker: Any
    place: Any  # where the worker is, as last listed
    give_up_after: float


class Close(NamedTuple):
    key: Any
    number: int


class Probe(NamedTuple):
    worker: Any
    place: Any


class Answer(NamedTuple):
    key: Any
    final: Final
    result: Any = None
    come_back_in: float = 0.0


class Watch(NamedTuple):
    pass


class Datagram(NamedTuple):
    to: int
    octets: bytes


class Timer(NamedTuple):
    at: float


Effect = Send | Close | Probe | Answer | Watch | Datagram | Timer


class Reducer:
    def __init__(self, terms: Terms, seed: int, now: float) -> None:
        self.terms, self.balancer = terms, Balancer(terms, seed, now)
        self.items: dict[Hashable, WorkItem] = {}
        self.workers: dict[Hashable, Worker] = {}
        self.names: dict[Worker, Hashable] = {}
        self.places: dict[Worker, Any] = {}
        self.shorts: dict[int, Worker | None] = {}  # by folded id; None: two workers share it
        self.finished: list[Answer] = []
        self.leave_at = math.inf  # by then all must be answered

    def reduce(self, now: float, kind: str, *fields: Any) -> Iterator[Effect]:
        """Takes in one input, named as its method below; gives the effects, to be carried out in order."""
        self.note(now, kind, *fields)
        return self.effects()

    def note(self, now: float, kind: str, *fields: Any) -> None:
        """Takes in one input and decides nothing: what follows from it comes with the next `reduce`."""
        self.clock(now)
        getattr(self, kind)(*fields)

    def clock(self, now: float) -> None:
        self.balancer.clock(now)

    # ---- inputs

    def listed(self, form: ListForm, rows: Sequence[tuple]) -> None:
        """Rows: name, number, zone, kind, cell, phase, when it started, where it is, its size."""
        known = []
        for name, number, zone, kind, cell, phase, ready_at, place, share in rows:
            worker = self.workers.get(name)
            if worker is None:
                worker = self.workers[name] = Worker(number)
                self.names[worker] = name
                folded = short(number)
                self.shorts[folded] = None if folded in self.shorts else worker
            self.places[worker] = place
            known.append((worker, zone, kind, cell, Phase(phase), ready_at, share))
        self.balancer.listed(form, known)

    def disabled(self, name: Hashable) -> None:
        """By an operator's hand: nothing new goes there until it is put back, whatever is listed."""
        if name in self.workers:
            self.balancer.banned(self.workers[name], True)

    def enabled(self, name: Hashable) -> None:
        if name in self.workers:
            self.balancer.banned(self.workers[name], False)

    def beside(self, told: Mapping[Hashable, tuple[float, float]]) -> None:
        """All that another process of this scheduler has in flight: slots, seconds of slot time left."""
        for name, w in self.workers.items():
            w.busy_beside, w.left_beside = told.get(name, (0.0, 0.0))
            w.seen_at = -1.0
            if w.busy_beside:
                self.balancer.active[w] = None  # words tell it too

    def taught(self, told: Any) -> None:
        """What the process before had learned; after its list."""
        learned.imported(self.balancer, self.workers, told)

    def moved(self) -> None:
        """The list is to be had at another place."""
        self.balancer.moved()

    def taken(
        self,
        key: Hashable,
        category: Category,
        customer: Customer | None,
        taken_at: float,
        expiry_at: float,
        hint: float,
        slots: float,
        subject: int = 0,
        repeat: bool = False,
        calls: float = math.inf,
    ) -> None:
        """`calls`: hand-offs that the front can carry at once; more come with `asked`."""
        wi = self.items[key] = WorkItem(
            key, category, customer, taken_at, expiry_at, hint, slots, subject, repeat, calls=calls
        )
        self.balancer.taken(wi)
        self._leave(wi)

    def asked(self, key: Hashable, calls: int = 1) -> None:
        """The front can carry one more hand-off of this work item now; or with nought, none any more."""
        if (wi := self.items.get(key)) and not wi.answered:
            self.balancer.wanted(wi, calls)

    def left(self, key: Hashable) -> None:
        if wi := self.items.get(key):
            self.balancer.left(wi)
            self._forget(wi)

    def ended(
        self,
        key: Hashable,
        number: int,
        outcome: Outcome,
        answered: bool = False,
        figures: Sequence[float] = (),
        result: Any = None,
        kept: bool = False,
    ) -> None:
        """`kept`: over a connection from before, which broke without a word."""
        ho = self._hand_off(key, number)
        if ho is None or ho.ended:
            return
        if figures:
            self.balancer.reported(ho.worker, figures)
        if outcome is Outcome.FINISHED and not ho.wi.answered:
            self.finished.append(Answer(key, Final.FINISHED, result))
            answered = True
        elif answered:  # by the door: what else is out for it is taken back
            self.balancer.left(ho.wi)
        self.balancer.ended(ho, outcome, answered, kept)
        self._forget(ho.wi)

    def began(self, key: Hashable, number: int) -> None:
        ho = self._hand_off(key, number)
        if ho is not None and not ho.ended:
            self.balancer.began(ho)

    def progressed(self, key: Hashable, number: int, share: float) -> None:
        ho = self._hand_off(key, number)
        if ho is not None and not ho.ended:
            self.balancer.progressed(ho, share)

    def reported(self, name: Hashable, figures: Sequence[float]) -> None:
        if figures and name in self.workers:
            self.balancer.reported(self.workers[name], figures)

    def probed(self, name: Hashable, figures: Sequence[float] = ()) -> None:
        """A probe's answer, or without figures that there is none."""
        if name in self.workers:
            self.balancer.probed(self.workers[name], figures)

    def heard(self, peer: int, octets: bytes) -> None:
        if word := unpacked(octets, self.shorts):
            if word[0] == "told":
                self.balancer.told(peer, *word[1])
            else:
                self.balancer.summed(*word[1])

    def absent(self, numbers: frozenset[int]) -> None:
        """Schedulers that are known not to be there, where membership is on: they keep no sums."""
        self.balancer.absent = numbers

    def closing(self, leave_at: float) -> None:
        """The process will be killed: what is unanswered then would be lost, so no item expires later."""
        self.leave_at = leave_at
        for wi in self.items.values():
            self._leave(wi)

    def woken(self) -> None:
        """The time has moved on, which is all there is to it."""

    # ---- what another process is told

    def rows(self) -> list[tuple]:
        """All workers that were ever listed, as `listed` takes them."""
        return [
            (name, w.id, w.zone, w.kind, w.cell, w.phase, w.ready_at, self.places[w], w.share)
            for name, w in self.workers.items()
        ]

    def out(self) -> list[Hashable]:
        """The workers left out by hand."""
        return [name for name, w in self.workers.items() if w.out]

    def in_flight(self) -> dict[Hashable, tuple[float, float]]:
        """As `beside` takes it at the other process."""
        held = {name: w for name, w in self.workers.items() if w.held}
        for w in held.values():
            self.balancer.look(w)
        return {name: (w.busy_own - w.busy_beside, w.left_own - w.left_beside) for name, w in held.items()}

    def learned(self) -> dict[str, Any]:
        return learned.exported(self.balancer, self.workers)

    # ---- figures

    def gauges(self) -> dict[str, int]:
        """Of the workers, as they are at this moment."""
        listed = [w for w in self.balancer.listed_all if w.phase is not Phase.GONE]
        return {"registry_entries": len(listed), "out_of_rotation": sum(map(self.balancer.avoids, listed))}

    def beliefs(self, now: float) -> list[tuple]:
        """What it takes to be so of the fleet as a whole, for whoever records it: of the sums of each zone
        who keeps them, their age in seconds, and the share of the schedulers that is in them.
        """
        b = self.balancer
        count = self.terms.schedulers
        return (
            [
                ("sums", z.id, z.keeper(count, b.absent), max(0.0, min(now - z.heard_at, 1e6)), z.heard)
                for z in b.zones.values()
            ]
            if b.tells
            else []
        )

    # ---- effects

    def effects(self) -> Iterator[Effect]:
        finished, self.finished = self.finished, []
        yield from finished
        for decision in self.balancer.decisions():
            match decision:
                case interface.Send(ho, give_up_after):
                    w = ho.worker
                    yield Send(ho.wi.id, ho.number, self.names[w], self.places[w], give_up_after)
                case Cancel(ho):
                    yield Close(ho.wi.id, ho.number)
                case interface.Probe(w):
                    yield Probe(self.names[w], self.places[w])
                case Defer(wi, come_back_in):
                    self._forget(wi)
                    yield Answer(wi.id, Final.DEFERRED, None, come_back_in)
                case WriteOff(wi):
                    self._forget(wi)
                    yield Answer(wi.id, Final.WRITTEN_OFF)
                case Wake(at):
                    yield Timer(at)
                case Subscribe():
                    yield Watch()
                case Tell() | Sum():
                    for octets in packed(decision):
                        yield Datagram(decision.to, octets)

    def _hand_off(self, key: Hashable, number: int) -> HandOff | None:
        wi = self.items.get(key)
        return wi.hand_offs[number] if wi is not None and number < len(wi.hand_offs) else None

    def _leave(self, wi: WorkItem) -> None:
        # after the module has taken it: with less time left it would count as a client's repeat, and as late
        if self.leave_at < wi.expiry_at:
            wi.expiry_at = self.leave_at
            self.balancer.at(self.leave_at, wi)

    def _forget(self, wi: WorkItem) -> None:
        if wi.answered and all(ho.ended for ho in wi.hand_offs):
            self.items.pop(wi.id, None)
