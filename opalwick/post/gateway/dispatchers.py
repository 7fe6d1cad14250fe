"""Dispatchers, one per service. A dispatcher passes inputs to the routing reducer, whose balancer picks
workers, groups jobs, hedges and cancels; its decisions go back to `rounds.py`.

Services whose workers discard repeats (`dedup`) have repeat-safe jobs: these are sent in groups and hedged.
The jobs of all other services are sent one at a time and never cancelled once sent.
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

# s: not a limit in practice, as the delivery scheduling bounds the time of a message
MESSAGE_EXPIRY = 600.0
# price of a delivery to another zone, in mean jobs: a worker of the own zone is preferred as long as it
# offers nearly as much. At 0.15 every second job crossed zones under light load, because of noise in the
# estimated load from other gateways. 0.4 is less than the value of a run that starts late
CROSS_ZONE_PRICE = 0.4
# s: upper bound of the time until an unresponsive worker is tried again. A trial on a new connection costs
# one message 0.3 s, and the service may have no other worker; with 8 s, an endpoint that was down for 7 s got
# nothing for 18 s
MAX_AVOIDANCE = 1.0
MAX_WARM_UP = 3.0  # s: upper bound of the warm-up time that a worker reports at its start
LATE_CREDIT = 0.3  # value of a run that starts late, relative to one in time; deployments differ
NONE_RESTING = Resting()
# s: assumed run time of a job until about ten have run, from which the balancer learns it
ASSUMED_RUN_TIME = 0.03


class WorkerRow(NamedTuple):
    """A worker in the directory."""

    id: str
    host: str
    port: int
    zone: str
    capacity: int  # jobs at once; 0: not known
    draining: bool
    warm_up: float  # s: warm-up time


class Load(NamedTuple):
    """The load that a worker reports with a response: numbers of jobs, and of jobs it runs at once."""

    running: int
    waiting: int
    slots: int


class WaitQueue:
    """Queue of items. Those that can still start in time come first, by their target time; of the late ones
    the newest comes first, as the oldest has the least value.
    """

    def __init__(self) -> None:
        self.timely: list[tuple[float, int, Any]] = []
        self.late: list[Any] = []
        self.serial = 0

    def __len__(self) -> int:
        return len(self.timely) + len(self.late)

    def put(self, start_by: float, item: Any) -> None:
        self.serial += 1
        heapq.heappush(self.timely, (start_by, self.serial, item))

    def take(self, now: float) -> Any:
        """Removes and returns the next item; the queue must not be empty."""
        while self.timely and self.timely[0][0] <= now:
            self.late.append(heapq.heappop(self.timely)[2])
        return heapq.heappop(self.timely)[2] if self.timely else self.late.pop()

    def clear(self) -> list[Any]:
        """Removes and returns all items."""
        return self.remove_if(lambda item: True)

    def remove_if(self, remove: Callable[[Any], bool]) -> list[Any]:
        """Removes and returns the items for which `out` is true; calls it once for each."""
        found = [entry for entry in self.timely if remove(entry[2])]
        late = [item for item in self.late if remove(item)]
        if found or late:
            removed = {id(item) for item in [*[entry[2] for entry in found], *late]}
            self.timely = [entry for entry in self.timely if id(entry[2]) not in removed]
            self.late = [item for item in self.late if id(item) not in removed]
            heapq.heapify(self.timely)
        return [entry[2] for entry in found] + late


class Dispatcher:
    """Assigns the jobs of one service to its workers."""

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
        """`home`: country to which its workers are restricted, if any. `static`: whether it may use the
        service's static endpoint.
        """
        self.service, self.zones, self.country = service, zones, home
        self.wake_at = math.inf
        self.permit_queue = WaitQueue()  # items that wait for permits
        # with a rate limit each delivery needs its own permit
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
            price_cross_zone=CROSS_ZONE_PRICE,
            price_peer_message=0.0,
            position=0,
            must_subscribe=False,
            subscribe_within=10.0,
            overload_multiple=50.0,
            overload_span=1.0,
            cold_share=0.5,
            ramp=MAX_WARM_UP,
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
            max_ejection=MAX_AVOIDANCE,
        )
        self.reducer = Reducer(self.terms, seed, now)
        self.categories: dict[str, Category] = {}
        self.listed_workers: dict[str, tuple[Any, ...]] = {}
        self.last_number = self.cancels = 0
        self.addresses = set[tuple[str, int]]()  # addresses of its workers
        if service.static and static:
            host, _, port = service.static.rpartition(":")
            list(self.set_workers(now, [WorkerRow("", host, int(port), settings.zone, 0, False, 0.0)]))

    def category(self, route: Route) -> Category:
        """The category of a route's jobs, updated to the route; what was learned about its jobs stays."""
        found = self.categories.get(route.name)
        if found is None:
            effect = Effect.IDEMPOTENT if self.service.dedup else Effect.AT_MOST_ONCE
            found = self.categories[route.name] = Category(
                credit=1.0,
                effect=effect,
                group=Group.ALL,
                due=route.start,
                due_stretch=1.0,
                expiry=MESSAGE_EXPIRY,
                late_credit=LATE_CREDIT,
                dedup_window=MESSAGE_EXPIRY,
                mean_run=ASSUMED_RUN_TIME,
            )
            self.terms.categories.append(found)
            self.reducer.balancer.update_means()
        found.due = route.start
        return found

    def set_workers(self, now: float, rows: list[WorkerRow]) -> Iterator[Decided]:
        """Sets the workers. `rows`: all that the dispatcher may use."""
        reports, sizes = [], set()
        for id, host, port, zone, capacity, draining, chill in rows:
            number, ready_at = self.listed_workers.get(id, (None, 0.0))
            if number is None:
                self.last_number += 1
                number, ready_at = self.last_number, now - MAX_WARM_UP + min(MAX_WARM_UP, chill)
                self.listed_workers[id] = number, ready_at
            sizes.add(capacity)
            reports.append(
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
        yield from self.feed(now, "listed", ListForm.FULL, reports)
        for size in sizes - {0}:
            self.set_slots(size, size)
        self.prune({row.id for row in rows})

    def prune(self, listed: set[str]) -> None:
        """Removes workers that are not listed and have no job: a worker that restarts has a new id."""
        reducer = self.reducer
        for id in [id for id in self.listed_workers if id not in listed]:
            worker = reducer.workers.get(id)
            if worker is None or not worker.outstanding:
                del self.listed_workers[id]
                if worker is not None:
                    del reducer.workers[id], reducer.names[worker], reducer.places[worker]
                    reducer.balancer.all_workers.pop(worker, None)
                    reducer.balancer.active.pop(worker, None)

    def set_slots(self, kind: int, slots: int) -> None:
        """Sets the slots that workers report, so that the balancer needn't infer them from their load."""
        balancer = self.reducer.balancer
        if (known := balancer.kinds.get(kind)) is not None and (known.slots != slots or known.reports < 50):
            known.slots, known.reports = float(slots), 50
            balancer.update_sizes()

    def load_figures(self, load: Load | None) -> tuple[float, ...]:
        """A worker's load as the reducer expects it: jobs held, jobs waiting. Empty if it reported none."""
        if load is None:
            return ()
        if self.service.static:
            self.set_slots(0, int(load.slots))
        return (float(load.running + load.waiting), float(load.waiting))

    def in_other_zone(self, id: str) -> bool:
        """Whether that worker is in another zone."""
        worker = self.reducer.workers.get(id)
        return worker is not None and worker.zone != self.terms.zone and not self.service.static

    def in_flight_at_resting(self, resting: Resting, workers: dict[str, Worker]) -> int:
        """Jobs in flight at resting workers. A job that was given up may run on for as long as its route
        allows, and whoever drains the workers waits for that; the balancer may count it for longer.
        """
        count = 0
        for id, worker in self.reducer.workers.items():
            known = workers.get(str(id))
            if worker.in_flight and known is not None and resting(known.id, known.zone, known.host):
                count += len(worker.in_flight)
        return count

    def free_slots(self, now: float) -> int:
        """Jobs that its workers can take now beside those in flight; no permits are requested for more."""
        balancer, free = self.reducer.balancer, 0
        balancer.clock(now)  # there may have been no input since a worker was found unresponsive
        for worker in balancer.workers:
            if not balancer.avoids(worker):
                limit = 1 if worker.ejections else int(worker.limit or 4 * worker.slots)
                free += max(0, limit - worker.outstanding)
        return free

    def decay_load_estimates(self) -> None:
        """Called when a job was rejected. Without jobs in flight the dispatcher gets no reports about the
        load from other gateways, and would use the last report forever: each rejection halves that estimate.
        """
        balancer = self.reducer.balancer
        if not any(worker.in_flight for worker in balancer.workers):
            balancer.mean_others *= 0.5
            for worker in balancer.workers:
                worker.others, worker.as_of = worker.others * 0.5, -1.0

    def feed(self, now: float, kind: str, *fields: Any) -> Iterator[Decided]:
        """Passes an input to the reducer. Yields its decisions, except for timers, which set `wake_at`."""
        if self.wake_at <= now:
            self.wake_at = math.inf
        for decided in list(self.reducer.reduce(now, kind, *fields)):
            if isinstance(decided, Timer):
                self.wake_at = min(self.wake_at, decided.at)
            else:
                yield decided

    def figures(self) -> dict[str, int]:
        balancer = self.reducer.balancer
        return {"firsts": balancer.first_attempts, "copies": balancer.hedges}


def parse_load(text: bytes) -> Load | None:
    """Parses the header X-Load (`running,waiting,slots`). Returns None if it is malformed."""
    try:
        running, waiting, slots = (int(part) for part in text.split(b","))
    except ValueError:
        return None
    return Load(running, waiting, slots) if min(running, waiting) >= 0 and slots > 0 else None


def worker_rows(workers: dict[str, Worker], svc: str, resting: Resting = NONE_RESTING) -> list[WorkerRow]:
    """The responsive workers of a service; resting ones count as draining."""
    return [
        WorkerRow(
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
