"""Types of the inputs and decisions of the load balancer (`balance.py`).

The host creates each object once and passes it in; the objects refer to each other.
Times are float seconds on the host's clock.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple, Union


class Effect(Enum):
    """Whether work of a category may run more than once."""

    IDEMPOTENT = "rerunnable"  # running it again does no harm
    KEYED = "ticketed"  # carries an idempotency key by which a group of workers discards duplicates
    AT_MOST_ONCE = "exclusive"  # must never run a second time


class Group(Enum):
    """The set of workers that share one record of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReportSource(Enum):
    """How workers report their load."""

    RESPONSES = "answers"  # in responses to delivery attempts and to probes
    PROBES = "probes"  # in responses to probes only
    NONE = "none"


class Phase(IntEnum):
    """State of a worker in the list from service discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListForm(IntEnum):
    """What an update of the worker list contains."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    """How a delivery attempt ended."""

    FINISHED = 1
    ERROR = 2
    FULL = 3
    TIMED_OUT = 4
    NO_CONNECTION = 5
    BROKEN = 6
    CANCELLED = 7
    NOT_SENT = 8


# outcomes which prove that the worker did not run the item
NEVER_RAN = frozenset({Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT})


@dataclass(slots=True, eq=False)
class Category:
    """A class of work items: its settings, then statistics of its items."""

    credit: float
    effect: Effect
    group: Group
    due: float  # seconds from the client's first try
    due_stretch: float  # this multiple of the item's own running time is added to the due time
    expiry: float  # seconds
    late_credit: float  # share of the credit for an item that finishes after its due time
    dedup_window: float  # seconds for which the group discards duplicates
    kind: int = -1  # the only kind of worker that runs it; -1: any
    mean_run: float = 0.0  # mean running time in seconds; initially `due`, unless given
    finished: int = 0  # items
    max_time_left: float = 0.0  # longest time that a client left: that of a first try
    open_block: Block | None = None  # has room for one more work item

    def __post_init__(self) -> None:
        self.mean_run = self.mean_run or max(self.due, 0.01)


@dataclass(slots=True, eq=False)
class Customer:
    """A tenant, with the token bucket that enforces its share."""

    quota: float  # work items per second within its share, over all schedulers
    tokens: float = 0.0  # work items that it may still send within its share


@dataclass(slots=True, eq=False)
class SchedulerConfig:
    """Settings of a scheduler, fixed at its start. Prices are in credit of a mean work item."""

    categories: list[Category]
    customers: list[Customer]
    zone: int
    schedulers: int  # how many there are
    max_attempts: int  # delivery attempts per work item, at most
    may_hedge: bool
    may_cancel: bool
    may_message_peers: bool
    max_retry_after: float  # longest Retry-After in seconds that clients honour; 0: they honour none
    credit_per_work: bool  # credit counts per second of work instead of per item
    excess_credit: float  # factor on the credit of items beyond a customer's share
    price_cross_zone: float  # of an attempt in another zone
    price_peer_message: float  # of each 256 bytes that a scheduler receives from its peers
    position: int  # index of this scheduler
    must_subscribe: bool  # the worker list has to be subscribed to
    subscribe_within: float  # seconds after which a scheduler is expected to have the list
    overload_multiple: float  # a worker fails when it gets this multiple of its capacity
    overload_span: float  # within so many seconds
    cold_share: float  # share of its capacity that a worker has at its start
    ramp: float  # seconds until it has all of it
    reports_start: bool  # workers report when an item starts
    progress_every: float  # seconds between progress reports
    tick: float  # resolution of the host's timers in seconds
    cpu_per_item: float  # CPU seconds that a work item may cost a scheduler; 0: unlimited
    report_source: ReportSource
    may_probe: bool
    price_probe: float
    price_fetch: float  # of fetching an item's subject to a worker that has not cached it
    marks_retries: bool  # clients mark their retries
    only_draining_binds: bool  # only a drain in the list is binding; `gone` may be wrong
    fixed_sizes: bool  # worker sizes in the list are constant
    load_metrics: tuple[str, ...]  # names from LoadMetric, in the order in which workers report them
    max_ejection: float = 8.0  # longest ejection of an unresponsive worker in seconds


class LoadMetric:
    """Names of the load metrics that a worker may report."""

    FREE_SLOTS = "free slots"
    IN_FLIGHT = "held"
    WAITING = "waiting"


@dataclass(slots=True, eq=False)
class Kind:
    """Statistics of the workers of one kind."""

    run_sum: float = 0.0  # seconds run, with decay
    work_sum: float = 0.0  # seconds of work in the same items
    slots: float = 1.0
    pace_step: float = 0.0  # log2 of its pace in half steps, coarse enough that all schedulers agree on it
    reports: int = 0


@dataclass(slots=True, eq=False)
class Worker:
    """State and load estimate of one worker."""

    id: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    phase: Phase = Phase.READY
    disabled: bool = False  # by an operator, whatever the list says
    drained: bool = False  # listed as draining, and not as ready since
    presumed_up: bool = False  # listed as gone without a drain, but has responded since: still usable
    reenabled: bool = False  # by an operator, and no attempt sent since
    ready_at: float = 0.0
    in_flight: dict[Attempt, None] = field(default_factory=dict)  # in the order sent
    still_running: list[Attempt] = field(default_factory=list)  # cancelled attempts that may still be running
    probe_waiters: list[WorkItem] = field(default_factory=list)  # items that wait for its probe response
    probed_at: float = -1e9
    mean_outstanding: float = 0.0  # recent mean of own attempts there
    mean_at: float = 0.0
    others: float = 0.0  # work items of other schedulers, estimated from its reports
    others_at: float = -1e9
    run_sum: float = 0.0  # seconds run, with decay
    ran_at: float = 0.0  # of the last run in the sums
    work_sum: float = 0.0  # seconds of work in the same items
    errors: float = 0.0  # runs that failed, with decay
    runs: float = 0.0  # runs, with decay
    errors_at: float = -1e9
    limit: float = 0.0  # concurrency limit of own attempts
    alive_at: float = -1e9  # last response that shows that it is up
    ejections: int = 0  # consecutive ejections
    ejected_until: float = -1e9
    rejections: int = 0  # consecutive rejections for overload
    backoff_until: float = -1e9  # no new attempt until then, after a rejection
    cold_sends: list[tuple[float, float]] = field(default_factory=list)  # (time, work) during slow start
    slots: float = 2.0
    listed_size: float = 1.0  # relative size, as listed
    listed_pace: float = 1.0  # the pace which that size implies
    as_of: float = -1.0  # when the fields below were computed; -1: they are out of date
    warm_share: float = 1.0  # share of its capacity available during slow start
    pace: float = 1.0  # seconds it needs for a second of work
    sibling_busy: float = 0.0  # slots of this scheduler's other process, as that reported
    sibling_left: float = 0.0
    own_busy: float = 0.0  # slots that own items occupy or wait for
    own_left: float = 0.0  # seconds of slot time that those still have to run
    peers_busy: float = 0.0  # the same for the other schedulers, from the aggregator
    peers_left: float = 0.0
    busy: float = 0.0  # slots occupied or waited for, by all
    residual: float = 0.0  # mean seconds that an item there still has to run

    @property
    def usable(self) -> bool:
        """Whether the list and the operators allow new attempts there."""
        return (self.phase is Phase.READY or self.presumed_up) and not self.disabled

    def reset(self, disabled: bool) -> None:
        """Disables or enables it, and resets its statistics: they may belong to an earlier process."""
        self.disabled, self.reenabled = disabled, not disabled
        self.ejections = self.rejections = 0
        self.ejected_until = self.backoff_until = -1e9
        self.run_sum = self.work_sum = self.errors = self.runs = self.others = self.limit = 0.0
        self.as_of = -1.0

    @property
    def outstanding(self) -> int:
        """Own attempts there, with cancelled ones that may still be running."""
        return len(self.in_flight) + len(self.still_running)


@dataclass(slots=True, eq=False)
class Zone:
    """A zone of workers. One scheduler, its aggregator, sums the load of all schedulers there."""

    id: int
    report_at: float  # next load report to the aggregator
    reported_load: bool = False  # the last report held any load
    unanswered: int = 0  # consecutive reports
    skipped: int = 0  # aggregators, in order
    retry_first_at: float = 0.0  # when the first aggregator is tried again
    start_delay: float = 0.0  # low quartile of the seconds from sending an attempt to its start report
    start_timeout: float = 0.0  # seconds after which a missing start report means that the item is queued
    answered_mark: int = 0  # sequence mark of the report answered last
    totals_at: float = -1e9
    coverage: float = 0.0  # share of the schedulers that are in the totals

    def aggregator(self, schedulers: int, absent: frozenset[int]) -> int:
        """The index of the scheduler that aggregates this zone; absent schedulers are skipped."""
        first = self.id + self.skipped
        order = [n % schedulers for n in range(first, first + schedulers)] if absent else []
        return next((n for n in order if n not in absent), first % schedulers)


@dataclass(slots=True, eq=False)
class WorkItem:
    id: Hashable  # opaque, from the host
    category: Category
    customer: Customer | None
    accepted_at: float
    expiry_at: float
    work_hint: float  # seconds of work according to the client; 0: none
    slots: float
    subject: int = 0  # cache key of the data it works on; 0: none
    is_retry: bool = False  # the client marked it as a retry
    work: float = 0.0  # expected seconds of work
    credit: float = 0.0  # credit for finishing it in time
    due_at: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    block: Block | None = None
    sampled: list[Worker] = field(default_factory=list)  # the sample for which probes were sent
    pending_probes: int = 0  # probe responses to come
    permits: float = math.inf  # attempts that the host allows now; a proxy allows them one by one


@dataclass(slots=True, eq=False)
class Attempt:
    """One delivery of a work item to a worker."""

    item: WorkItem
    worker: Worker
    number: int
    sent_at: float
    wait: float  # expected seconds in the worker's queue
    run: float  # expected seconds
    hedge: bool  # an earlier attempt is still running
    cache_miss: bool = False  # at a worker that has probably not cached the subject
    started_at: float = 0.0  # 0: not known to have started
    ended: bool = False
    cancelled: bool = False
    outcome: Outcome | None = None


@dataclass(slots=True, eq=False)
class Block:
    """Work items of one category that need slots together; workers[i] is that of items[i]."""

    items: list[WorkItem]
    workers: list[Worker]


LoadRow = tuple[Worker, float, float]  # a worker, slots occupied there, seconds of slot time still to run


# decisions
class Send(NamedTuple):
    attempt: Attempt
    timeout: float


class Cancel(NamedTuple):
    attempt: Attempt


class Probe(NamedTuple):
    worker: Worker


class Defer(NamedTuple):
    """Sheds a work item: the client is advised to retry after some seconds."""

    item: WorkItem
    retry_after: float


class Fail(NamedTuple):
    """Fails a work item: it may have run, so that a retry could do harm."""

    item: WorkItem


class Subscribe(NamedTuple):
    """Requests the list of workers."""


class LoadReport(NamedTuple):
    """A load report to a zone's aggregator: what this scheduler has in flight there."""

    to: int
    mark: int
    zone: int
    rows: list[LoadRow]


class LoadTotals(NamedTuple):
    """An aggregator's answer to the report with this mark: what the other schedulers have in flight."""

    to: int
    mark: int
    zone: int
    schedulers: int  # schedulers in the totals
    rows: list[LoadRow]


class Wake(NamedTuple):
    at: float


Decision = Union[Send, Cancel, Probe, Defer, Fail, Subscribe, LoadReport, LoadTotals, Wake]
