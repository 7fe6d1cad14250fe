"""What is explored: each case begins where a short, calm way leads, and bounds what may happen from there.

A case with `turns` -1 sees all orders of what happens; the others take what is next in one order and leave
it as often as `turns` says, so that they reach deeper; faults may happen at each state of either.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from opalwick.lab.verify import answers, depots, leases, notices, offices
from opalwick.lab.verify.explorer import PropertyViolation, Transition, State


class Case(NamedTuple):
    name: str
    root: Callable[[], State]
    max_states: int  # states until it stops; by what a minute of a slow core sees of all


def settled_state(world: Any, budget: Any, *script: Transition) -> Any:
    """After that script, with all that follows from each of its steps; from there the budget counts."""
    taken: list[Transition] = []

    def take(step: Transition) -> None:
        nonlocal world
        taken.append(step)
        world = world.successor(step)

    try:
        for step in ((), *script):
            if step:
                take(step)
            while ready := world.internal_transitions():
                take(ready[0])
    except PropertyViolation as problem:
        problem.trace = tuple(taken)
        raise
    world = world.copy()
    world.budget = budget
    return world


# ---- takeover: o1 is the primary and o2 its backup, number 1 is acknowledged, if nothing else is said

Takeover = offices.Budget
FIRST: tuple[Transition, ...] = (("waits long", "o1"),)
SERVES: tuple[Transition, ...] = (*FIRST, ("put", "o1", 1, "a"))
# o1 hears nothing of the others any more, and o3 takes over with o2
TAKEN: tuple[Transition, ...] = (
    *SERVES,
    ("holds up", "o1", "o2"),
    ("holds up", "o1", "o3"),
    ("waits long", "o2"),
    ("waits long", "o3"),
)
# a write of o1's is still on its way to o2
OVERTAKEN: tuple[Transition, ...] = (
    *SERVES,
    ("holds up", "o2", "o1"),
    ("put", "o1", 2, "b"),
    ("waits long", "o2"),
    ("waits long", "o3"),
)
# o3 has 2 in force with o2, and dies; o1 knows nothing of it
ALONE: tuple[Transition, ...] = (
    *SERVES,
    ("cut", "o1", "o2"),
    ("cut", "o1", "o3"),
    ("waits long", "o2"),
    ("waits long", "o3"),
    ("put", "o3", 2, "b"),
    ("crashes", "o3"),
    ("joined", "o1", "o2"),
)
# the backup has lost its disk, has learned and is not whole yet
LEARNED: tuple[Transition, ...] = (*SERVES, ("loses its disk", "o2"), ("starts", "o2"), ("waits", "o2"))
# o3 is gone for good, and o4 is there in its place; the primary does not know yet
REPLACED: tuple[Transition, ...] = (
    *SERVES,
    ("loses its disk", "o3"),
    ("starts", "o4"),
    ("waits", "o4"),
    ("waits", "o1"),
    ("waits", "o1"),
)
# o3 is away, and comes back with what it had, whenever it does
AWAY: tuple[Transition, ...] = (
    *SERVES,
    ("crashes", "o3"),
    ("starts", "o4"),
    ("waits", "o4"),
    ("waits", "o1"),
    ("waits", "o1"),
    ("waits", "o1"),
)
# 1 and 2 have been in force, and a put of 2 with another text was sent
TWO: tuple[Transition, ...] = (*SERVES, ("put", "o1", 2, "b"))
MENDED: tuple[Transition, ...] = (*LEARNED, ("waits", "o1"), ("put", "o1", 2, "b"))


def office(budget: offices.Budget, *script: Transition, spares: tuple[str, ...] = ()) -> Callable[[], State]:
    full = Takeover._make([99] * (len(Takeover._fields) - 1) + [0])
    return lambda: settled_state(offices.ControllerModel(full, spares), budget, *script)


# ---- fence: all have settled after five steps of the clock

Fence = depots.Budget
LATER: tuple[Transition, ...] = (("time", ""),)
SETTLED: tuple[Transition, ...] = LATER * 5
# the gateway c1 has just started anew, and no store has echoed a word of it yet
LINKED: tuple[Transition, ...] = (*SETTLED, ("crashes", "c1"), ("starts", "c1"))
KEPT: tuple[Transition, ...] = (*SETTLED, ("offers", "c1"))
CUT: tuple[Transition, ...] = (*KEPT, ("cut", "c1", "d1"), ("cut", "c1", "d2"))
# it is heard again, by one of them, as the other is about to let it lapse
BACK: tuple[Transition, ...] = (*CUT, *(LATER * 3), ("joined", "c1", "d2"))
UNHEARD: tuple[Transition, ...] = (*KEPT, ("holds up", "d1", "c1"), ("holds up", "d2", "c1"))


# d1 is to be taken away; c1 has not heard of it
ORDERED: tuple[Transition, ...] = (*SETTLED, ("retires, unheard", "d1", "c1"))
# after that was said it is started anew, and has not heard of it
STARTED: tuple[Transition, ...] = (
    *ORDERED,
    *(LATER * 2),
    ("crashes", "d1"),
    ("starts, unheard", "d1"),
    *(LATER * 4),
)


def depot(
    budget: depots.Budget, *script: Transition, names: tuple[str, ...] = ("d1", "d2")
) -> Callable[[], State]:
    full = Fence._make([99] * (len(Fence._fields) - 1) + [0])._replace(sends=0)
    return lambda: settled_state(depots.StoreModel(full, names), budget, *script)


# ---- lease: the first words are on their way

Lease = leases.Budget


def lease(budget: leases.Budget, *script: Transition) -> Callable[[], State]:
    if not script:
        return lambda: leases.LeaseModel(budget)
    full = Lease._make([99] * (len(Lease._fields) - 1) + [0])
    return lambda: settled_state(leases.LeaseModel(full), budget, *script)


HELD: tuple[Transition, ...] = (("time", ""),) * 2

# ---- notice: all offices and gateways are linked, and no word is on its way

Notice = notices.Budget

# ---- answer: no connection is open yet

Answer = answers.Budget

PARTS: dict[str, tuple[Case, ...]] = {
    "takeover": (
        Case("a put, the primary stands again, any order", office(Takeover(puts=1, long=1), *SERVES), 50000),
        Case("the first start, any order", office(Takeover(puts=0, long=2)), 10000),
        Case("a put, a crash, any order", office(Takeover(puts=1, long=1, crash=1), *SERVES), 15000),
        Case("a crash", office(Takeover(puts=1, reads=1, long=2, crash=1, reorderings=0), *SERVES), 20000),
        Case("a lost disk", office(Takeover(puts=1, long=2, wipe=1, reorderings=0), *SERVES), 20000),
        Case(
            "two disks, one after the other",
            office(Takeover(1, long=2, wipe=1, reorderings=0), *MENDED),
            15000,
        ),
        Case(
            "late words",
            office(Takeover(puts=2, reads=1, long=1, hold=1, late=1, reorderings=0), *SERVES),
            15000,
        ),
        Case(
            "one stands still",
            office(Takeover(1, 1, long=1, short=1, freeze=1, reorderings=1), *SERVES),
            15000,
        ),
        Case("cut in two", office(Takeover(puts=2, long=2, cut=1, reorderings=0), *SERVES), 15000),
        Case(
            "an old primary that was not told", office(Takeover(2, 1, long=1, reorderings=1), *TAKEN), 15000
        ),
        Case("numbers sent again", office(Takeover(puts=3, long=1, again=1, reorderings=0), *SERVES), 15000),
        Case(
            "numbers sent again, a crash",
            office(Takeover(puts=2, long=2, crash=1, again=1, reorderings=0), *TWO),
            15000,
        ),
        Case(
            "a word said again on two links",
            office(Takeover(puts=2, short=1, slow=1, hold=1, reorderings=0), *SERVES),
            15000,
        ),
        Case(
            "a planned end", office(Takeover(puts=1, short=3, long=1, ends=1, reorderings=0), *SERVES), 15000
        ),
        Case(
            "a planned end, then a lost disk",
            office(Takeover(puts=1, short=2, long=1, ends=1, wipe=1, reorderings=0), *SERVES),
            15000,
        ),
        Case(
            "an office replaced, a crash",
            office(Takeover(puts=1, short=2, long=1, crash=1, reorderings=0), *REPLACED, spares=("o4",)),
            15000,
        ),
        Case(
            "an office replaced, a cut",
            office(Takeover(short=2, long=1, cut=1, reorderings=0), *REPLACED, spares=("o4",)),
            15000,
        ),
        Case(
            "an office replaced that comes back",
            office(Takeover(short=2, long=2, reorderings=0), *AWAY, spares=("o4",)),
            15000,
        ),
    ),
    "fence": (
        Case("accepted, any order", depot(Fence(time=2, offers=1), *SETTLED), 50000),
        Case(
            "accepted, words read at once",
            depot(Fence(time=4, offers=1, hold=1, together=1, reorderings=0), *LINKED),
            5000,
        ),
        Case("accepted, a crash, any order", depot(Fence(offers=1, crash=1), *SETTLED), 10000),
        Case(
            "accepted, a lost disk",
            depot(Fence(time=2, offers=1, wipe=1, sends=1, ends=1, reorderings=1), *SETTLED),
            10000,
        ),
        Case("a counter cut off", depot(Fence(time=7, reorderings=0), *CUT), 20000),
        Case("a counter that is heard late", depot(Fence(time=7, reorderings=1), *UNHEARD), 10000),
        Case("two links cut", depot(Fence(time=7, sends=2, ends=1, cut=2, reorderings=0), *KEPT), 10000),
        Case(
            "one stands still", depot(Fence(time=7, sends=2, ends=1, freeze=1, reorderings=0), *KEPT), 10000
        ),
        Case("crashes", depot(Fence(time=5, sends=2, ends=1, crash=2, reorderings=0), *KEPT), 10000),
        Case(
            "moved",
            depot(
                Fence(time=3, sends=1, ends=1, retire=1, crash=1, reorderings=0),
                *KEPT,
                names=("d1", "d2", "d3"),
            ),
            10000,
        ),
        Case(
            "taken away, one has not heard",
            depot(Fence(time=5, offers=1, reorderings=0), *ORDERED, names=("d1", "d2", "d3")),
            10000,
        ),
        Case(
            "taken away, started anew",
            depot(
                Fence(time=4, offers=1, crash=1, unheard=1, reorderings=0),
                *STARTED,
                names=("d1", "d2", "d3"),
            ),
            10000,
        ),
        Case(
            "taken away, then a lost disk",
            depot(Fence(time=6, retire=1, wipe=1, unheard=1, reorderings=0), *KEPT, names=("d1", "d2", "d3")),
            10000,
        ),
    ),
    "lease": (
        Case("from the first word, any order", lease(Lease(time=2)), 10000),
        Case("held, any order", lease(Lease(time=3), *HELD), 10000),
        Case("links and offices lost", lease(Lease(time=8, lost=1, crash=1, reorderings=0)), 50000),
        Case("the holder dies or leaves", lease(Lease(time=7, dies=1, leaves=1, reorderings=1)), 15000),
        Case("one stands still", lease(Lease(time=7, freeze=1, lost=1, reorderings=0), *HELD), 50000),
        Case("offices start anew, words late", lease(Lease(time=6, crash=2, reorderings=1), *HELD), 15000),
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
