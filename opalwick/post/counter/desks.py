"""A desk a service: the present program's reducer, with its decision module, picks the worker, forms blocks,
sends copies and cancels them. A desk feeds it; what it decides goes back to `rounds.py`.

Services whose workers discard repeats (`dedup`) have repeat-safe jobs: blocks and copies. All others' jobs go
alone, and are never taken back once sent.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from opalwick.interface import (
    Category,
    Effect,
    Group,
    ListForm,
    Phase,
    LoadMetric,
    ReportSource,
    SchedulerConfig,
)
from opalwick.post.maintenance.resting import Resting
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Route, Service, Worker
from opalwick.routing.reducer import Effect as Decided
from opalwick.routing.reducer import Reducer, Timer

SPAN = 600.0  # s: a message's own time is bounded by the rounds, not by the module
# what a hand-off into another zone costs, in mean jobs: a near worker is taken as long as it promises nearly
# as much. At 0.15 every second job crossed on a calm day, by the noise of what others hold; 0.4 is less than
# the worth of a run that begins late
CROSS = 0.4
# s at most until one found silent is tried again: a trial on a new connection costs 0.3 s of one message, and
# a service may have no other worker; at 8 s an endpoint that was dark for 7 s was out for 18
SHUN = 1.0
CHILL = 3.0  # s: what a worker that says how long it stays cold says at its start, at most
TARDY = 0.3  # worth of a run that begins late, of one in time: between what deployments tell
RESTLESS = Resting()
RUN = 0.03  # s that a job is taken to run until some have: the module learns it within ten


class Row(NamedTuple):
    """A worker as it is listed."""

    id: str
    host: str
    port: int
    zone: str
    capacity: int  # 0: not known
    draining: bool
    chill: float  # s


class Load(NamedTuple):
    """What a worker says with an answer: jobs, and how many it works on at once."""

    running: int
    waiting: int
    slots: int


class Waiting:
    """Items that wait for their turn. Who can still begin within the aim goes first, the earliest aim first;
    of those that are late the newest, as what is oldest is worth the least.
    """

    def __init__(self) -> None:
        self.timely: list[tuple[float, int, Any]] = []
        self.late: list[Any] = []
        self.serial = 0

    def __len__(self) -> int:
        return len(self.timely) + len(self.late)

    def put(self, aim_at: float, item: Any) -> None:
        self.serial += 1
        heapq.heappush(self.timely, (aim_at, self.serial, item))

    def take(self, now: float) -> Any:
        while self.timely and self.timely[0][0] <= now:
            self.late.append(heapq.heappop(self.timely)[2])
        return heapq.heappop(self.timely)[2] if self.timely else self.late.pop()

    def clear(self) -> list[Any]:
        return self.sift(lambda item: True)

    def sift(self, out: Callable[[Any], bool]) -> list[Any]:
        """Takes out those that need not wait here any more; asks once of each."""
        found = [entry for entry in self.timely if out(entry[2])]
        late = [item for item in self.late if out(item)]
        if found or late:
            gone = {id(item) for item in [*[entry[2] for entry in found], *late]}
            self.timely = [entry for entry in self.timely if id(entry[2]) not in gone]
            self.late = [item for item in self.late if id(item) not in gone]
            heapq.heapify(self.timely)
        return [entry[2] for entry in found] + late


class Desk:
    def __init__(
        self,
        service: Service,
        settings: Settings,
        zones: dict[str, int],
        schedulers: int,
        seed: int,
        now: float,
        home: str = "",
        static: bool = True,
    ) -> None:
        """`home`: the country whose workers alone it has. `static`: whether the service's endpoint is one."""
        self.service, self.zones, self.home = service, zones, home
        self.wake_at = math.inf
        self.queue = Waiting()  # items that wait for a ceiling's permits
        # under a ceiling each send needs its own permit
        self.terms = SchedulerConfig(
            categories=[],
            customers=[],
            zone=zones.setdefault(settings.zone, len(zones)),
            schedulers=schedulers,
            max_attempts=1 if service.rate > 0 else 3,
            may_hedge=True,
            may_cancel=True,
            may_message_peers=False,
            max_retry_after=0.0,
            credit_per_work=False,
            excess_credit=1.0,
            price_cross_zone=CROSS,
            price_peer_message=0.0,
            position=0,
            must_subscribe=False,
            subscribe_within=10.0,
            overload_multiple=50.0,
            overload_span=1.0,
            cold_share=0.5,
            ramp=CHILL,
            reports_start=False,
            progress_every=0.0,
            tick=0.005,
            cpu_per_item=0.0,
            report_source=ReportSource.RESPONSES,
            may_probe=False,
            price_probe=0.0,
            price_fetch=0.0,
            marks_retries=False,
            only_draining_binds=False,
            fixed_sizes=False,
            load_metrics=(LoadMetric.IN_FLIGHT, LoadMetric.WAITING),
            max_ejection=SHUN,
        )
        self.reducer = Reducer(self.terms, seed, now)
        self.categories: dict[str, Category] = {}
        self.known: dict[str, tuple[Any, ...]] = {}
        self.numbers = self.cancels = 0
        self.used = set[tuple[str, int]]()  # where its workers are
        if service.static and static:
            host, _, port = service.static.rpartition(":")
            list(self.listed(now, [Row("", host, int(port), settings.zone, 0, False, 0.0)]))

    def category(self, route: Route) -> Category:
        """Of that route as it is now; what its jobs have shown so far stays."""
        found = self.categories.get(route.name)
        if found is None:
            effect = Effect.IDEMPOTENT if self.service.dedup else Effect.AT_MOST_ONCE
            found = self.categories[route.name] = Category(
                credit=1.0,
                effect=effect,
                group=Group.ALL,
                due=route.start,
                due_stretch=1.0,
                expiry=SPAN,
                late_credit=TARDY,
                dedup_window=SPAN,
                mean_run=RUN,
            )
            self.terms.categories.append(found)
            self.reducer.balancer.update_means()
        found.due = route.start
        return found

    def listed(self, now: float, rows: list[Row]) -> Iterator[Decided]:
        """All there are."""
        told, sizes = [], set()
        for id, host, port, zone, capacity, draining, chill in rows:
            number, ready_at = self.known.get(id, (None, 0.0))
            if number is None:
                self.numbers += 1
                number, ready_at = self.numbers, now - CHILL + min(CHILL, chill)
                self.known[id] = number, ready_at
            sizes.add(capacity)
            told.append(
                (
                    id,
                    number,
                    self.zones.setdefault(zone, len(self.zones)),
                    capacity,
                    0,
                    Phase.DRAINING if draining else Phase.READY,
                    ready_at,
                    (host, port, id),
                    0.0,
                )
            )
        yield from self.put(now, "listed", ListForm.FULL, told)
        for size in sizes - {0}:
            self.sized(size, size)
        self.prune({row.id for row in rows})

    def prune(self, listed: set[str]) -> None:
        """Each start of a worker is a new one: those that are gone and hold nothing are forgotten."""
        reducer = self.reducer
        for id in [id for id in self.known if id not in listed]:
            worker = reducer.workers.get(id)
            if worker is None or not worker.outstanding:
                del self.known[id]
                if worker is not None:
                    del reducer.workers[id], reducer.names[worker], reducer.places[worker]
                    reducer.balancer.all_workers.pop(worker, None)
                    reducer.balancer.active.pop(worker, None)

    def sized(self, kind: int, slots: int) -> None:
        """Workers tell how many they work on at once: the module need not learn it from their load."""
        balancer = self.reducer.balancer
        if (known := balancer.kinds.get(kind)) is not None and (known.slots != slots or known.reports < 50):
            known.slots, known.reports = float(slots), 50
            balancer.update_sizes()

    def told(self, load: Load | None) -> tuple[float, ...]:
        """A worker's load in the module's figures."""
        if load is None:
            return ()
        if self.service.static:
            self.sized(0, int(load.slots))
        return (float(load.running + load.waiting), float(load.waiting))

    def away(self, id: str) -> bool:
        """Whether that worker stands in another zone."""
        worker = self.reducer.workers.get(id)
        return worker is not None and worker.zone != self.terms.zone and not self.service.static

    def held_by(self, resting: Resting, workers: dict[str, Worker]) -> int:
        """Jobs that are out at workers that rest. One that was given up may run on for as long as its route
        allows, which whoever drains waits for; the module's memory of it may last for longer.
        """
        count = 0
        for id, worker in self.reducer.workers.items():
            known = workers.get(str(id))
            if worker.in_flight and known is not None and resting(known.id, known.zone, known.host):
                count += len(worker.in_flight)
        return count

    def bears(self, now: float) -> int:
        """Jobs that its workers may have now beside what they have: no permit is asked for more."""
        balancer, count = self.reducer.balancer, 0
        balancer.clock(now)  # nothing may have been put in since one was found silent
        for w in balancer.workers:
            if not balancer.avoids(w):
                limit = 1 if w.ejections else int(w.limit or 4 * w.slots)
                count += max(0, limit - w.outstanding)
        return count

    def doubt(self) -> None:
        """Turned a job away. While nothing of its own is out it hears nothing of the others' load, and would
        believe for ever what it heard last: half of it is let go each time.
        """
        balancer = self.reducer.balancer
        if not any(w.in_flight for w in balancer.workers):
            balancer.mean_others *= 0.5
            for w in balancer.workers:
                w.others, w.as_of = w.others * 0.5, -1.0

    def put(self, now: float, kind: str, *fields: Any) -> Iterator[Decided]:
        """An input to the reducer; its decisions but for the timer, which is kept here."""
        if self.wake_at <= now:
            self.wake_at = math.inf
        for decided in list(self.reducer.reduce(now, kind, *fields)):
            if isinstance(decided, Timer):
                self.wake_at = min(self.wake_at, decided.at)
            else:
                yield decided

    def figures(self) -> dict[str, int]:
        b = self.reducer.balancer
        return {"firsts": b.first_attempts, "copies": b.hedges}


def load(text: bytes) -> Load | None:
    """`X-Load`; nothing where it is odd."""
    try:
        running, waiting, slots = (int(part) for part in text.split(b","))
    except ValueError:
        return None
    return Load(running, waiting, slots) if min(running, waiting) >= 0 and slots > 0 else None


def rows(workers: dict[str, Worker], svc: str, resting: Resting = RESTLESS) -> list[Row]:
    return [
        Row(
            w.id,
            w.host,
            w.port,
            w.zone,
            w.capacity,
            w.draining or (bool(resting) and resting(w.id, w.zone, w.host)),
            w.chill,
        )
        for w in workers.values()
        if w.svc == svc and not w.gone and not w.silent
    ]
