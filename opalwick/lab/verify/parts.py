"""The cases that are searched: each starts after a short run without faults and bounds the events from there.

A case with `reorder` -1 explores all interleavings. The others take pending events in one fixed order and
deviate from it at most `reorder` times, so that they reach deeper. Faults may happen in each state of either.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from opalwick.lab.verify import answers, depots, leases, notices, offices
from opalwick.lab.verify.explorer import PropertyViolation, State, Transition


class Case(NamedTuple):
    name: str
    root: Callable[[], State]
    max_states: int  # state limit; together the cases take about a minute on a slow core


def settled_state(state: Any, budget: Any, *script: Transition) -> Any:
    """Returns the state after the script and all internal transitions that follow each of its steps.

    The budget applies from there on. Raises `PropertyViolation` with the trace so far.
    """
    taken: list[Transition] = []

    def take(step: Transition) -> None:
        nonlocal state
        taken.append(step)
        state = state.successor(step)

    try:
        for step in ((), *script):
            if step:
                take(step)
            while ready := state.internal_transitions():
                take(ready[0])
    except PropertyViolation as problem:
        problem.trace = tuple(taken)
        raise
    state = state.copy()
    state.budget = budget
    return state


# ---- takeover: unless noted, o1 is the primary, o2 its backup, and number 1 is acknowledged

Takeover = offices.Budget
ELECTED: tuple[Transition, ...] = (("waits long", "o1"),)
SERVING: tuple[Transition, ...] = (*ELECTED, ("put", "o1", 1, "a"))
# o1 receives nothing from the others any more, and o3 takes over with o2
TAKEN_OVER: tuple[Transition, ...] = (
    *SERVING,
    ("holds up", "o1", "o2"),
    ("holds up", "o1", "o3"),
    ("waits long", "o2"),
    ("waits long", "o3"),
)
# a write of o1 is still in transit to o2
SUPERSEDED: tuple[Transition, ...] = (
    *SERVING,
    ("holds up", "o2", "o1"),
    ("put", "o1", 2, "b"),
    ("waits long", "o2"),
    ("waits long", "o3"),
)
# o3 has number 2 in force with o2 and crashes; o1 has not received it
OUTDATED: tuple[Transition, ...] = (
    *SERVING,
    ("cut", "o1", "o2"),
    ("cut", "o1", "o3"),
    ("waits long", "o2"),
    ("waits long", "o3"),
    ("put", "o3", 2, "b"),
    ("crashes", "o3"),
    ("joined", "o1", "o2"),
)
# the backup has lost its disk and learned the configuration, but is not a full member yet
LEARNED: tuple[Transition, ...] = (*SERVING, ("loses its disk", "o2"), ("starts", "o2"), ("waits", "o2"))
# o3 has lost its disk and o4 has started in its place; the primary has not registered that yet
REPLACED: tuple[Transition, ...] = (
    *SERVING,
    ("loses its disk", "o3"),
    ("starts", "o4"),
    ("waits", "o4"),
    ("waits", "o1"),
    ("waits", "o1"),
)
# o3 is down and may come back with its disk at any time
AWAY: tuple[Transition, ...] = (
    *SERVING,
    ("crashes", "o3"),
    ("starts", "o4"),
    ("waits", "o4"),
    ("waits", "o1"),
    ("waits", "o1"),
    ("waits", "o1"),
)
# numbers 1 and 2 have been in force, and a put of 2 with another text was sent
TWO_WRITES: tuple[Transition, ...] = (*SERVING, ("put", "o1", 2, "b"))
DISK_RESTORED: tuple[Transition, ...] = (*LEARNED, ("waits", "o1"), ("put", "o1", 2, "b"))


def takeover(
    budget: offices.Budget, *script: Transition, spares: tuple[str, ...] = ()
) -> Callable[[], State]:
    full = Takeover._make([99] * (len(Takeover._fields) - 1) + [0])
    return lambda: settled_state(offices.ControllerModel(full, spares), budget, *script)


# ---- fence: all processes have settled after five steps of the clock

Fence = depots.Budget
TICK: tuple[Transition, ...] = (("time", ""),)
SETTLED: tuple[Transition, ...] = TICK * 5
# gateway c1 has just restarted, and no store has echoed a heartbeat of it yet
GATEWAY_RESTARTED: tuple[Transition, ...] = (*SETTLED, ("crashes", "c1"), ("starts", "c1"))
STORED: tuple[Transition, ...] = (*SETTLED, ("offers", "c1"))
PARTITIONED: tuple[Transition, ...] = (*STORED, ("cut", "c1", "d1"), ("cut", "c1", "d2"))
# one store receives from it again when its lapse at the other is imminent
RECONNECTED: tuple[Transition, ...] = (*PARTITIONED, *(TICK * 3), ("joined", "c1", "d2"))
ECHOES_HELD: tuple[Transition, ...] = (*STORED, ("holds up", "d1", "c1"), ("holds up", "d2", "c1"))


# d1 is to be removed; c1 has not received that configuration
DRAIN_ORDERED: tuple[Transition, ...] = (*SETTLED, ("retires, unheard", "d1", "c1"))
# after that d1 is restarted and has not received that configuration
RESTARTED: tuple[Transition, ...] = (
    *DRAIN_ORDERED,
    *(TICK * 2),
    ("crashes", "d1"),
    ("starts, unheard", "d1"),
    *(TICK * 4),
)


def fence(
    budget: depots.Budget, *script: Transition, names: tuple[str, ...] = ("d1", "d2")
) -> Callable[[], State]:
    full = Fence._make([99] * (len(Fence._fields) - 1) + [0])._replace(sends=0)
    return lambda: settled_state(depots.StoreModel(full, names), budget, *script)


# ---- lease: the first messages are in transit

Lease = leases.Budget


def lease(budget: leases.Budget, *script: Transition) -> Callable[[], State]:
    if not script:
        return lambda: leases.LeaseModel(budget)
    full = Lease._make([99] * (len(Lease._fields) - 1) + [0])
    return lambda: settled_state(leases.LeaseModel(full), budget, *script)


LEASE_HELD: tuple[Transition, ...] = (("time", ""),) * 2

# ---- notice: all controllers and gateways are linked, and no message is in transit

Notice = notices.Budget

# ---- answer: no connection is open yet

Answer = answers.Budget

PARTS: dict[str, tuple[Case, ...]] = {
    "takeover": (
        Case(
            "a put, the primary stands again, any order", takeover(Takeover(puts=1, long=1), *SERVING), 50000
        ),
        Case("the first start, any order", takeover(Takeover(puts=0, long=2)), 10000),
        Case("a put, a crash, any order", takeover(Takeover(puts=1, long=1, crash=1), *SERVING), 15000),
        Case("a crash", takeover(Takeover(puts=1, reads=1, long=2, crash=1, reorder=0), *SERVING), 20000),
        Case("a lost disk", takeover(Takeover(puts=1, long=2, wipe=1, reorder=0), *SERVING), 20000),
        Case(
            "two disks, one after the other",
            takeover(Takeover(1, long=2, wipe=1, reorder=0), *DISK_RESTORED),
            15000,
        ),
        Case(
            "late words",
            takeover(Takeover(puts=2, reads=1, long=1, hold=1, late=1, reorder=0), *SERVING),
            15000,
        ),
        Case(
            "one stands still",
            takeover(Takeover(1, 1, long=1, short=1, freeze=1, reorder=1), *SERVING),
            15000,
        ),
        Case("cut in two", takeover(Takeover(puts=2, long=2, cut=1, reorder=0), *SERVING), 15000),
        Case(
            "an old primary that was not told",
            takeover(Takeover(2, 1, long=1, reorder=1), *TAKEN_OVER),
            15000,
        ),
        Case("numbers sent again", takeover(Takeover(puts=3, long=1, again=1, reorder=0), *SERVING), 15000),
        Case(
            "numbers sent again, a crash",
            takeover(Takeover(puts=2, long=2, crash=1, again=1, reorder=0), *TWO_WRITES),
            15000,
        ),
        Case(
            "a word said again on two links",
            takeover(Takeover(puts=2, short=1, slow=1, hold=1, reorder=0), *SERVING),
            15000,
        ),
        Case(
            "a planned end", takeover(Takeover(puts=1, short=3, long=1, ends=1, reorder=0), *SERVING), 15000
        ),
        Case(
            "a planned end, then a lost disk",
            takeover(Takeover(puts=1, short=2, long=1, ends=1, wipe=1, reorder=0), *SERVING),
            15000,
        ),
        Case(
            "an office replaced, a crash",
            takeover(Takeover(puts=1, short=2, long=1, crash=1, reorder=0), *REPLACED, spares=("o4",)),
            15000,
        ),
        Case(
            "an office replaced, a cut",
            takeover(Takeover(short=2, long=1, cut=1, reorder=0), *REPLACED, spares=("o4",)),
            15000,
        ),
        Case(
            "an office replaced that comes back",
            takeover(Takeover(short=2, long=2, reorder=0), *AWAY, spares=("o4",)),
            15000,
        ),
    ),
    "fence": (
        Case("accepted, any order", fence(Fence(time=2, offers=1), *SETTLED), 50000),
        Case(
            "accepted, words read at once",
            fence(Fence(time=4, offers=1, hold=1, together=1, reorder=0), *GATEWAY_RESTARTED),
            5000,
        ),
        Case("accepted, a crash, any order", fence(Fence(offers=1, crash=1), *SETTLED), 10000),
        Case(
            "accepted, a lost disk",
            fence(Fence(time=2, offers=1, wipe=1, sends=1, ends=1, reorder=1), *SETTLED),
            10000,
        ),
        Case("a counter cut off", fence(Fence(time=7, reorder=0), *PARTITIONED), 20000),
        Case("a counter that is heard late", fence(Fence(time=7, reorder=1), *ECHOES_HELD), 10000),
        Case("two links cut", fence(Fence(time=7, sends=2, ends=1, cut=2, reorder=0), *STORED), 10000),
        Case("one stands still", fence(Fence(time=7, sends=2, ends=1, freeze=1, reorder=0), *STORED), 10000),
        Case("crashes", fence(Fence(time=5, sends=2, ends=1, crash=2, reorder=0), *STORED), 10000),
        Case(
            "moved",
            fence(
                Fence(time=3, sends=1, ends=1, retire=1, crash=1, reorder=0),
                *STORED,
                names=("d1", "d2", "d3"),
            ),
            10000,
        ),
        Case(
            "taken away, one has not heard",
            fence(Fence(time=5, offers=1, reorder=0), *DRAIN_ORDERED, names=("d1", "d2", "d3")),
            10000,
        ),
        Case(
            "taken away, started anew",
            fence(
                Fence(time=4, offers=1, crash=1, unheard=1, reorder=0),
                *RESTARTED,
                names=("d1", "d2", "d3"),
            ),
            10000,
        ),
        Case(
            "taken away, then a lost disk",
            fence(Fence(time=6, retire=1, wipe=1, unheard=1, reorder=0), *STORED, names=("d1", "d2", "d3")),
            10000,
        ),
    ),
    "lease": (
        Case("from the first word, any order", lease(Lease(time=2)), 10000),
        Case("held, any order", lease(Lease(time=3), *LEASE_HELD), 10000),
        Case("links and offices lost", lease(Lease(time=8, lost=1, crash=1, reorder=0)), 50000),
        Case("the holder dies or leaves", lease(Lease(time=7, dies=1, leaves=1, reorder=1)), 15000),
        Case("one stands still", lease(Lease(time=7, freeze=1, lost=1, reorder=0), *LEASE_HELD), 50000),
        Case("offices start anew, words late", lease(Lease(time=6, crash=2, reorder=1), *LEASE_HELD), 15000),
    ),
    "notice": (
        Case("a worker drains", lambda: notices.NoticeModel(Notice()), 1000),
        Case("a worker drains, a cut", lambda: notices.NoticeModel(Notice(cut=1, later=1)), 3000),
        Case("a worker drains, cut and joined", lambda: notices.NoticeModel(Notice(cut=1, joined=1)), 3000),
        Case("a worker drains and leaves", lambda: notices.NoticeModel(Notice(leaves=1)), 3000),
        Case("by a view of before", lambda: notices.ReplacedVotersModel(Notice(later=1)), 1000),
        Case("by a view of before, a cut", lambda: notices.ReplacedVotersModel(Notice(cut=1)), 3000),
    ),
    "answer": (
        Case("two requests", lambda: answers.ResponseModel(Answer(requests=2)), 1000),
        Case("four requests", lambda: answers.ResponseModel(Answer(requests=4)), 3000),
    ),
}
