"""The reducer owns the scheduler's state: inputs go in, effects come out. It has no I/O and no clock.

The keys of work items are opaque values from the host.
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
    Attempt,
    ListForm,
    Outcome,
    Phase,
    Subscribe,
    LoadTotals,
    LoadReport,
    SchedulerConfig,
    Wake,
    Worker,
    WorkItem,
    Fail,
)
from opalwick.protocol.peer_messages import decode, encode, fold_id
from opalwick.routing import statistics


class Final(Enum):
    """How a work item ended."""

    FINISHED = "finished"
    DEFERRED = "deferred"
    WRITTEN_OFF = "written off"


# effects: what the host has to do
class Send(NamedTuple):
    """Start a delivery attempt."""

    key: Any
    number: int  # of the attempt, from 0
    worker: Any
    place: Any  # the worker's address, as last listed
    timeout: float  # seconds


class Close(NamedTuple):
    """Cancel a delivery attempt."""

    key: Any
    number: int


class Probe(NamedTuple):
    """Request a worker's load."""

    worker: Any
    place: Any


class Answer(NamedTuple):
    """Answer the client."""

    key: Any
    final: Final
    result: Any = None
    retry_after: float = 0.0  # seconds; only for DEFERRED


class Watch(NamedTuple):
    """Subscribe to the worker list."""


class Datagram(NamedTuple):
    """Send a peer message."""

    to: int
    payload: bytes


class Timer(NamedTuple):
    """Call `woken` at this time."""

    at: float


Effect = Send | Close | Probe | Answer | Watch | Datagram | Timer


class Reducer:
    """A scheduler without its I/O."""

    def __init__(self, config: SchedulerConfig, seed: int, now: float) -> None:
        self.config, self.balancer = config, Balancer(config, seed, now)
        self.items: dict[Hashable, WorkItem] = {}
        self.workers: dict[Hashable, Worker] = {}
        self.names: dict[Worker, Hashable] = {}
        self.places: dict[Worker, Any] = {}
        self.by_short_id: dict[int, Worker | None] = {}  # None: two workers share it
        self.finished: list[Answer] = []
        self.exit_at = math.inf  # by then every item must be answered

    def reduce(self, now: float, kind: str, *fields: Any) -> Iterator[Effect]:
        """Applies one input, named as its method below; the effects are to be carried out in order."""
        self.apply(now, kind, *fields)
        return self.effects()

    def apply(self, now: float, kind: str, *fields: Any) -> None:
        """Applies one input without any decisions; its effects come with the next `reduce`."""
        self.clock(now)
        getattr(self, kind)(*fields)

    def clock(self, now: float) -> None:
        self.balancer.clock(now)

    # ---- inputs

    def listed(self, form: ListForm, rows: Sequence[tuple]) -> None:
        """The worker list; a row: name, number, zone, kind, cell, phase, start time, address, size."""
        known = []
        for name, number, zone, kind, cell, phase, ready_at, place, share in rows:
            worker = self.workers.get(name)
            if worker is None:
                worker = self.workers[name] = Worker(number)
                self.names[worker] = name
                short_id = fold_id(number)
                self.by_short_id[short_id] = None if short_id in self.by_short_id else worker
            self.places[worker] = place
            known.append((worker, zone, kind, cell, Phase(phase), ready_at, share))
        self.balancer.update_workers(form, known)

    def disabled(self, name: Hashable) -> None:
        """By an operator: no new attempt goes there until it is enabled, whatever the list says."""
        if name in self.workers:
            self.balancer.set_disabled(self.workers[name], True)

    def enabled(self, name: Hashable) -> None:
        if name in self.workers:
            self.balancer.set_disabled(self.workers[name], False)

    def beside(self, load: Mapping[Hashable, tuple[float, float]]) -> None:
        """The load of this scheduler's other process, by worker: slots, seconds of slot time left."""
        for name, w in self.workers.items():
            w.sibling_busy, w.sibling_left = load.get(name, (0.0, 0.0))
            w.as_of = -1.0
            if w.sibling_busy:
                self.balancer.active[w] = None  # so that load reports to peers include it

    def taught(self, received: Any) -> None:
        """The statistics of the preceding process; to be applied after its worker list."""
        statistics.imported(self.balancer, self.workers, received)

    def moved(self) -> None:
        """Service discovery has a new address."""
        self.balancer.discovery_moved()

    def taken(
        self,
        key: Hashable,
        category: Category,
        customer: Customer | None,
        accepted_at: float,
        expiry_at: float,
        work_hint: float,
        slots: float,
        subject: int = 0,
        is_retry: bool = False,
        permits: float = math.inf,
    ) -> None:
        """A new work item. `permits`: attempts that the host allows at once; `asked` allows more."""
        item = self.items[key] = WorkItem(
            key,
            category,
            customer,
            accepted_at,
            expiry_at,
            work_hint,
            slots,
            subject,
            is_retry,
            permits=permits,
        )
        self.balancer.accept(item)
        self._expire_before_exit(item)

    def asked(self, key: Hashable, permits: int = 1) -> None:
        """The host allows one more attempt for this item now; 0: no more at all."""
        if (item := self.items.get(key)) and not item.answered:
            self.balancer.allow_attempts(item, permits)

    def left(self, key: Hashable) -> None:
        """The client has disconnected."""
        if item := self.items.get(key):
            self.balancer.close(item)
            self._forget(item)

    def ended(
        self,
        key: Hashable,
        number: int,
        outcome: Outcome,
        answered: bool = False,
        figures: Sequence[float] = (),
        result: Any = None,
        reused: bool = False,
    ) -> None:
        """An attempt has ended. `answered`: the host has answered the client. `reused`: it was sent over a
        connection that was open before and broke without any response.
        """
        attempt = self._attempt(key, number)
        if attempt is None or attempt.ended:
            return
        if figures:
            self.balancer.load_reported(attempt.worker, figures)
        if outcome is Outcome.FINISHED and not attempt.item.answered:
            self.finished.append(Answer(key, Final.FINISHED, result))
            answered = True
        elif answered:  # by the host: other attempts are cancelled
            self.balancer.close(attempt.item)
        self.balancer.attempt_ended(attempt, outcome, answered, reused)
        self._forget(attempt.item)

    def began(self, key: Hashable, number: int) -> None:
        attempt = self._attempt(key, number)
        if attempt is not None and not attempt.ended:
            self.balancer.attempt_started(attempt)

    def progressed(self, key: Hashable, number: int, share: float) -> None:
        attempt = self._attempt(key, number)
        if attempt is not None and not attempt.ended:
            self.balancer.attempt_progressed(attempt, share)

    def reported(self, name: Hashable, figures: Sequence[float]) -> None:
        if figures and name in self.workers:
            self.balancer.load_reported(self.workers[name], figures)

    def probed(self, name: Hashable, figures: Sequence[float] = ()) -> None:
        """A probe's response; without figures, the probe failed."""
        if name in self.workers:
            self.balancer.probe_answered(self.workers[name], figures)

    def heard(self, peer: int, data: bytes) -> None:
        """A peer message; a malformed one is ignored."""
        if message := decode(data, self.by_short_id):
            if message[0] == "told":
                self.balancer.report_received(peer, *message[1])
            else:
                self.balancer.totals_received(*message[1])

    def absent(self, numbers: frozenset[int]) -> None:
        """Schedulers that are known to be down, where membership is enabled: they aggregate no load."""
        self.balancer.absent = numbers

    def closing(self, exit_at: float) -> None:
        """The process will be killed at that time: no item expires later, as it would get no answer."""
        self.exit_at = exit_at
        for item in self.items.values():
            self._expire_before_exit(item)

    def woken(self) -> None:
        """Only the time has changed."""

    # ---- for the succeeding process

    def list_rows(self) -> list[tuple]:
        """All workers ever listed, in the form that `listed` takes."""
        return [
            (name, w.id, w.zone, w.kind, w.cell, w.phase, w.ready_at, self.places[w], w.listed_size)
            for name, w in self.workers.items()
        ]

    def disabled_names(self) -> list[Hashable]:
        """The workers that an operator has disabled."""
        return [name for name, w in self.workers.items() if w.disabled]

    def in_flight(self) -> dict[Hashable, tuple[float, float]]:
        """The own load, in the form that `beside` takes."""
        held = {name: w for name, w in self.workers.items() if w.outstanding}
        for w in held.values():
            self.balancer.estimate(w)
        return {name: (w.own_busy - w.sibling_busy, w.own_left - w.sibling_left) for name, w in held.items()}

    def learned(self) -> dict[str, Any]:
        """Statistics, in the form that `taught` takes."""
        return statistics.exported(self.balancer, self.workers)

    # ---- figures

    def gauges(self) -> dict[str, int]:
        """Current numbers of workers, by the names of their metrics."""
        listed = [w for w in self.balancer.all_workers if w.phase is not Phase.GONE]
        return {"registry_entries": len(listed), "out_of_rotation": sum(map(self.balancer.avoids, listed))}

    def aggregation_state(self, now: float) -> list[tuple]:
        """Where and how well load is aggregated, for a recorder: for each zone the aggregator, the age of the
        totals in seconds, and the share of the schedulers that they include.
        """
        b = self.balancer
        count = self.config.schedulers
        return (
            [
                (
                    "sums",
                    z.id,
                    z.aggregator(count, b.absent),
                    max(0.0, min(now - z.totals_at, 1e6)),
                    z.coverage,
                )
                for z in b.zones.values()
            ]
            if b.reports_load
            else []
        )

    # ---- effects

    def effects(self) -> Iterator[Effect]:
        finished, self.finished = self.finished, []
        yield from finished
        for decision in self.balancer.decisions():
            match decision:
                case interface.Send(attempt, give_up_after):
                    w = attempt.worker
                    yield Send(attempt.item.id, attempt.number, self.names[w], self.places[w], give_up_after)
                case Cancel(attempt):
                    yield Close(attempt.item.id, attempt.number)
                case interface.Probe(w):
                    yield Probe(self.names[w], self.places[w])
                case Defer(item, come_back_in):
                    self._forget(item)
                    yield Answer(item.id, Final.DEFERRED, None, come_back_in)
                case Fail(item):
                    self._forget(item)
                    yield Answer(item.id, Final.WRITTEN_OFF)
                case Wake(at):
                    yield Timer(at)
                case Subscribe():
                    yield Watch()
                case LoadReport() | LoadTotals():
                    for data in encode(decision):
                        yield Datagram(decision.to, data)

    def _attempt(self, key: Hashable, number: int) -> Attempt | None:
        item = self.items.get(key)
        return item.attempts[number] if item is not None and number < len(item.attempts) else None

    def _expire_before_exit(self, item: WorkItem) -> None:
        # after the balancer has it: with less time left it would count as a client's retry, and as late
        if self.exit_at < item.expiry_at:
            item.expiry_at = self.exit_at
            self.balancer.check_at(self.exit_at, item)

    def _forget(self, item: WorkItem) -> None:
        if item.answered and all(attempt.ended for attempt in item.attempts):
            self.items.pop(item.id, None)
