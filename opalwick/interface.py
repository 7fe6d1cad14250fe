"""What a host hands to the decision module (`balance.py`) and what it gets back.

The host makes the objects once, at its door, and hands them over; inside they point to each other.
Times are seconds with fractions, on the host's clock.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple, Union


class Effect(Enum):
    RERUNNABLE = "rerunnable"  # running it again does no harm
    TICKETED = "ticketed"  # bears a mark by which a group of workers discards a repeat
    EXCLUSIVE = "exclusive"  # must never run a second time


class Group(Enum):
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Reports(Enum):
    """How workers tell their load."""

    ANSWERS = "answers"  # with the end of a hand-off, and with probes
    PROBES = "probes"  # with probes alone
    NONE = "none"


class Phase(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListForm(IntEnum):
    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    FINISHED = 1
    ERROR = 2
    FULL = 3
    TIMED_OUT = 4
    NO_CONNECTION = 5
    BROKEN = 6
    CANCELLED = 7
    NOT_SENT = 8


# the outcomes that prove that nothing ran
NEVER_RAN = frozenset({Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT})


@dataclass(slots=True, eq=False)
class Category:
    credit: float
    effect: Effect
    group: Group
    due: float  # seconds from the client's first try
    stretch: float  # the due time grows by this multiple of the work item's own running time
    expiry: float
    tardy_credit: float
    window: float  # how long the group discards repeats
    kind: int = -1  # the one kind of worker that runs it; -1: any
    # what it has shown so far; at first it is taken to be wanted within about its running time
    run: float = 0.0
    ended: int = 0
    allowance: float = 0.0  # the longest time left to a try: that of a first try
    open: Block | None = None  # waits for one more work item

    def __post_init__(self) -> None:
        self.run = self.run or max(self.due, 0.01)


@dataclass(slots=True, eq=False)
class Customer:
    quota: float  # work items a second within its share, over all schedulers
    saved: float = 0.0  # work items that it may still send within its share


@dataclass(slots=True, eq=False)
class Terms:
    """What a scheduler is told once, at its start."""

    categories: list[Category]
    customers: list[Customer]
    zone: int
    schedulers: int
    hand_offs: int  # at most, for one work item
    may_copy: bool
    may_cancel: bool
    may_tell: bool
    retry_after: float  # the longest advice a client honours; 0: clients take none
    by_work: bool  # credit counts for each unit of work
    excess_credit: float
    price_cross: float
    price_tell: float  # for 256 bytes that reach a scheduler, per work item
    position: int  # of this scheduler among them
    must_ask: bool
    ask_every: float
    fall_multiple: float
    fall_span: float
    cold_share: float
    ramp: float
    tells_start: bool
    progress_every: float
    tick: float
    cpu: float  # seconds that a work item may cost a scheduler; 0: no such limit
    reports: Reports
    may_probe: bool
    price_probe: float  # per work item
    price_fetch: float  # for each fetch of what a work item is about, per work item
    marks_repeats: bool  # clients say which of their tries are no first ones
    drains_alone: bool  # of the list, only that a worker drains binds; gone proves nothing
    sized: bool  # the list's size figures stand still
    report: tuple[str, ...]  # names from Report, in the order of the figures
    shun: float = 8.0  # seconds at most until a worker found silent is tried again


class Report:
    """Names of the figures a worker may report."""

    FREE_SLOTS = "free slots"
    HELD = "held"
    WAITING = "waiting"


@dataclass(slots=True, eq=False)
class Kind:
    """What workers of one kind have shown."""

    ran: float = 0.0  # seconds run, against seconds of work asked for
    asked: float = 0.0
    size: float = 1.0  # slots seen
    step: float = 0.0  # its pace in octaves, by halves: as far as all schedulers see it alike
    reports: int = 0


@dataclass(slots=True, eq=False)
class Worker:
    id: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    phase: Phase = Phase.READY
    out: bool = False  # left out by an operator's hand, whatever the list says
    drained: bool = False  # listed as draining, and not as ready since
    stays: bool = False  # called gone without a drain, but it gave a sign since: that alone binds not
    owed: bool = False  # put back by hand, and nothing went there since
    ready_at: float = 0.0
    flights: dict[HandOff, None] = field(default_factory=dict)  # in the order sent
    lingering: list[HandOff] = field(default_factory=list)  # cancelled, perhaps still being worked on
    askers: list[WorkItem] = field(default_factory=list)  # that wait for its answer to a probe
    asked_at: float = -1e9
    mean: float = 0.0  # recent mean of own in flight
    mean_at: float = 0.0
    others: float = 0.0  # work items of other schedulers, by its reports
    others_at: float = -1e9
    ran: float = 0.0  # seconds run, faded, against `asked`
    ran_at: float = 0.0
    asked: float = 0.0  # seconds of work asked for, faded
    failed: float = 0.0  # runs that failed, of those tried, faded
    tried: float = 0.0
    failed_at: float = -1e9
    limit: float = 0.0  # own work items in flight, at most
    sign_at: float = -1e9  # last sign that it works
    doubt: int = 0  # times in a row that it was found silent
    shun_until: float = -1e9
    turned: int = 0  # times in a row that it turned something away
    rest_until: float = -1e9  # nothing new until then, for that
    sends: list[tuple[float, float]] = field(default_factory=list)  # (time, work), while it is cold
    slots: float = 2.0
    share: float = 1.0  # its size against others', as listed
    size_pace: float = 1.0  # the pace that this comes to
    seen_at: float = -1.0  # the moment the following hold for
    warm: float = 1.0  # the share of its capacity that it is sure to have
    pace: float = 1.0  # seconds it needs for a second of work
    busy_beside: float = 0.0  # what another process of the same scheduler has there, as it says
    left_beside: float = 0.0
    busy_own: float = 0.0  # slots taken or waited for by own work items
    left_own: float = 0.0  # seconds of slot time that those still have to run
    told_busy: float = 0.0  # the same of the other schedulers, as a keeper said
    told_left: float = 0.0
    busy: float = 0.0  # slots taken or waited for, by all
    residual: float = 0.0  # seconds that a work item there has still to run, in the mean

    @property
    def open(self) -> bool:
        """Whether the list and the operators let it have anything new."""
        return (self.phase is Phase.READY or self.stays) and not self.out

    def renew(self, out: bool) -> None:
        """Left out or put back: what it did before says nothing of what it will do then."""
        self.out, self.owed = out, not out
        self.doubt = self.turned = 0
        self.shun_until = self.rest_until = -1e9
        self.ran = self.asked = self.failed = self.tried = self.others = self.limit = 0.0
        self.seen_at = -1.0

    @property
    def held(self) -> int:
        """Own hand-offs in flight, with those cancelled that may still be worked on."""
        return len(self.flights) + len(self.lingering)


@dataclass(slots=True, eq=False)
class Zone:
    """Of the workers; one scheduler keeps the sums of what all have in flight there."""

    id: int
    tell_at: float
    told_any: bool = False
    unanswered: int = 0  # words in a row
    tries: int = 0  # keepers passed over
    home_at: float = 0.0  # when the first keeper is tried again
    # a low quartile of the times from a send there to its start note, and how long one is waited for
    trip: float = 0.0
    note_in: float = 0.0
    answered: int = 0  # mark of the words answered last
    heard_at: float = -1e9
    heard: float = 0.0  # the share of the schedulers that its keeper has heard

    def keeper(self, schedulers: int, absent: frozenset[int]) -> int:
        """The number of the scheduler that keeps its sums, as far as this one knows; who is known not to be
        there is passed over."""
        first = self.id + self.tries
        order = [n % schedulers for n in range(first, first + schedulers)] if absent else []
        return next((n for n in order if n not in absent), first % schedulers)


@dataclass(slots=True, eq=False)
class WorkItem:
    id: Hashable  # the door's
    category: Category
    customer: Customer | None
    taken_at: float
    expiry_at: float
    hint: float  # seconds of work; 0: none
    slots: float
    subject: int = 0  # what it is about; 0: none
    repeat: bool = False  # no first try, as its client says
    work: float = 0.0  # expected, seconds
    worth: float = 0.0  # credit it stands for
    due_at: float = 0.0
    hand_offs: list[HandOff] = field(default_factory=list)
    answered: bool = False
    block: Block | None = None
    looked: list[Worker] = field(default_factory=list)  # drawn for it when probes were sent
    awaits: int = 0  # their answers
    calls: float = math.inf  # hand-offs that its front can carry now; a proxy brings them one by one


@dataclass(slots=True, eq=False)
class HandOff:
    wi: WorkItem
    worker: Worker
    number: int
    sent_at: float
    wait: float  # expected, seconds
    run: float  # expected, seconds
    copy: bool
    away: bool = False  # where its subject is likely to be fetched first
    began_at: float = 0.0  # 0: not known to have begun
    ended: bool = False
    cancelled: bool = False
    outcome: Outcome | None = None


@dataclass(slots=True, eq=False)
class Block:
    """Work items of one category that need slots together; row i belongs to the worker of item i."""

    items: list[WorkItem]
    workers: list[Worker]


Row = tuple[Worker, float, float]  # slots in flight at a worker, seconds of slot time still to run


# decisions
class Send(NamedTuple):
    ho: HandOff
    give_up_after: float


class Cancel(NamedTuple):
    ho: HandOff


class Probe(NamedTuple):
    worker: Worker


class Defer(NamedTuple):
    wi: WorkItem
    come_back_in: float


class WriteOff(NamedTuple):
    wi: WorkItem


class Subscribe(NamedTuple):
    pass


class Tell(NamedTuple):
    """To a zone's keeper: what this scheduler has in flight there."""

    to: int
    mark: int
    zone: int
    rows: list[Row]


class Sum(NamedTuple):
    """A keeper's answer to the words with this mark: what the others it has heard have in flight."""

    to: int
    mark: int
    zone: int
    heard: int
    rows: list[Row]


class Wake(NamedTuple):
    at: float


Decision = Union[Send, Cancel, Probe, Defer, WriteOff, Subscribe, Tell, Sum, Wake]
