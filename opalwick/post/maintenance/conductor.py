"""Takes racks down as planned, by what is live now: drain, wait until empty, hand over, wait for the return
and for warmth, check, next. No socket, no disk, no clock.

`look()` returns the next state that it wants; the office has it on its own and its backups' disks before it
is in force, and says so with `adopt()`. Until then nothing follows from it, and no other is wanted. So one
that dies has done what is saved and nothing else, and one that was overtaken wants what no disk takes any
more: a write carries the epoch of the view, which only grows.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from opalwick.post.maintenance.fleet import Content, Fleet, contents
from opalwick.post.maintenance.needs import Hurt, hurt
from opalwick.post.maintenance.planner import Impossible, Plan, plan
from opalwick.post.maintenance.racks import Declaration
from opalwick.post.maintenance.state import (
    ABORTED,
    ABORTING,
    AWAY,
    BACK,
    DONE,
    DRAINING,
    LOST,
    PAUSED,
    RESTING,
    RUNNING,
    WAITING,
    RackState,
    State,
)

QUIET = 0.5  # s beyond a route's limit until what was sent before a drain has ended: words, and clocks
CALM = 3.0  # s after a drain was called back until the next begins: the demand's mean has settled
ANSWER = 1.5  # s until a state that nobody said is in force may be wanted again: over a write's 0.8
BLIND = 1.5  # s that a new conductor only looks: links, pulses and counters' figures come within one


class Refused(NamedTuple):
    status: int
    why: str


class Conductor:
    def __init__(self) -> None:
        self.state: State | None = None
        self.at = 0.0  # when it was adopted
        self.wanted_at = -1e9
        self.seen_at = -1e9
        self.calm_at = self.blind_until = -1e9
        self.lost: dict[str, float] = {}  # by tenant, since it was adopted
        self.why: list[str] = []  # it waits
        self.late: list[str] = []  # racks that are away for too long

    def adopt(self, state: State | None, now: float) -> None:
        """It is in force: its own, or as it was found."""
        if state is not None and self.state is None:
            self.blind_until = now + BLIND
        self.state, self.at, self.lost, self.wanted_at = state, now, {}, -1e9
        self.why = []

    def forget(self) -> None:
        """No conductor any more: another one has its state by now."""
        self.state, self.wanted_at, self.seen_at = None, -1e9, -1e9

    def refused(self) -> None:
        """What was wanted is not in force."""
        self.wanted_at = -1e9

    # ---- time

    def age(self, name: str, now: float) -> float:
        """s that a rack is in its state, or less: what a dead conductor saw is not counted twice."""
        assert self.state is not None
        return self.state.racks[name].for_s + now - self.at

    def now_as(self, now: float) -> State:
        """The state with its spans and losses as of now."""
        s = self.state
        assert s is not None
        spent = now - self.at
        racks = {name: replace(course, for_s=course.for_s + spent) for name, course in s.racks.items()}
        lost = {
            tenant: s.lost.get(tenant, 0.0) + self.lost.get(tenant, 0.0) for tenant in {*s.lost, *self.lost}
        }
        return replace(s, racks=racks, ran_s=s.ran_s + spent, lost=dict(sorted(lost.items())))

    def moved(self, now: float, names: Iterable[str], to: str, **more: Any) -> State:
        s = self.now_as(now)
        racks = dict(s.racks)
        for name in names:
            racks[name] = replace(racks[name], state=to, for_s=0.0, **more)
        return replace(s, racks=racks)

    def account(self, now: float, there: dict[str, Content]) -> None:
        """Slots that are away now."""
        s = self.state
        assert s is not None
        passed, self.seen_at = now - max(self.seen_at, self.at), now
        for name in s.of(*RESTING):
            course = s.racks[name]
            slots = course.slots or summed(there[name])
            for svc, count in slots.items():
                tenant = s.declared.tenant(svc)
                self.lost[tenant] = self.lost.get(tenant, 0.0) + count * max(0.0, passed)

    # ---- what is next

    def look(self, now: float, fleet: Fleet) -> State | None:
        """What it wants to be in force next; None: nothing."""
        s = self.state
        if s is None or s.over or now - self.wanted_at < ANSWER:
            return None
        there = contents(s.declared, fleet)
        self.account(now, there)
        if now < self.blind_until:
            self.why = ["it has only just begun to conduct"]
            return None
        self.why, self.late = (
            [],
            [name for name in s.of(AWAY) if self.age(name, now) > s.declared.rack(name).longest_s],
        )
        found = self.next(now, fleet, there, s)
        if found is not None:
            self.wanted_at = now
        return found

    def next(self, now: float, fleet: Fleet, there: dict[str, Content], s: State) -> State | None:
        harm = hurt(s.declared, fleet, [there[name] for name in s.of(*RESTING)])
        for name in s.of(AWAY, LOST):
            course = s.racks[name]
            if returned(course, there[name]) and (
                harm or course.recalled or all(unit.warm for unit in there[name].units)
            ):
                # one at a time: each is let in and looked at before the next
                return self.moved(now, [name], BACK).logged(
                    "back", rack=name, cold=not all(unit.warm for unit in there[name].units)
                )
        draining = s.of(DRAINING)
        if draining and (harm or s.phase != RUNNING):
            self.calm_at = now + CALM
            return self.moved(now, draining, WAITING, depots=(), slots={}).logged(
                "drain called back", racks=draining, why=texts(harm) or [s.phase]
            )
        recalled = [
            name for name in s.of(AWAY) if not s.racks[name].recalled and (harm or s.phase == ABORTING)
        ]
        if recalled:
            found = self.now_as(now)
            racks = {
                name: replace(course, recalled=course.recalled or name in recalled)
                for name, course in found.racks.items()
            }
            return replace(found, racks=racks).logged("recalled", racks=recalled, why=texts(harm) or [s.phase])
        if draining:
            return self.hand_over(now, fleet, there, draining)
        if away := s.of(AWAY):
            self.why = [
                f"rack {name} is away" + (" for too long" if name in self.late else "") for name in away
            ]
            return None
        if s.phase == ABORTING:
            return replace(self.now_as(now), phase=ABORTED).logged("aborted")
        if s.at >= len(s.steps) or not any(
            s.racks[name].state == WAITING for step in s.steps[s.at :] for name in step
        ):
            return replace(self.now_as(now), phase=DONE, at=len(s.steps)).logged("done")
        if s.phase != RUNNING:
            return None
        if all(s.racks[name].state in (BACK, LOST) for name in s.steps[s.at]):
            return replace(self.now_as(now), at=s.at + 1)
        return self.begin(now, fleet, there, s)

    def begin(self, now: float, fleet: Fleet, there: dict[str, Content], s: State) -> State | None:
        """The next step, if all needs are kept by what is live now."""
        step = [name for name in s.steps[s.at] if s.racks[name].state == WAITING]
        own = {machine for name in s.of(*RESTING) for machine in s.declared.rack(name).machines}
        missing = [name for name in fleet.missing if name not in own]
        missing += [m.name for m in fleet.machines if not m.settled and m.name not in own]
        if missing:
            self.why = [f"{name} is not there" for name in missing]
            return None
        if now < self.calm_at:
            self.why = ["a drain was called back of late"]
            return None
        longest = max(s.declared.rack(name).longest_s for name in step)
        if self.now_as(now).ran_s + longest > s.declared.longest_s:
            self.why = [f"what is left of the window is shorter than the {longest:g} s of the next step"]
            return None
        harm = hurt(s.declared, fleet, [there[name] for name in (*s.of(*RESTING), *step)])
        if harm:
            left = [name for each in s.steps[s.at :] for name in each if s.racks[name].state == WAITING]
            found = plan(s.declared, fleet, left, s.of(*RESTING))
            self.why = texts(harm)
            if isinstance(found, Plan):
                return replace(self.now_as(now), steps=(*s.steps[: s.at], *found.steps)).logged(
                    "planned anew", steps=[list(one) for one in found.steps], why=texts(harm)
                )
            return None
        racks = self.moved(now, step, DRAINING)
        drained = {
            name: replace(
                racks.racks[name],
                slots=summed(there[name]),
                depots=tuple(m.name for m in there[name].machines if m.role == "depot"),
            )
            for name in step
        }
        return replace(racks, racks=racks.racks | drained).logged("drains", racks=step)

    def hand_over(
        self, now: float, fleet: Fleet, there: dict[str, Content], names: list[str]
    ) -> State | None:
        """Once nothing is out there, and nothing is kept there."""
        s = self.state
        assert s is not None
        least = min(self.age(name, now) for name in names)
        full = [depot for name in names for depot in s.racks[name].depots if depot not in fleet.empty]
        if not fleet.rested or least < fleet.limit + QUIET or full:
            self.why = [f"{depot} is not empty" for depot in full] or ["deliveries are out at who rests"]
            return None
        found = self.moved(now, names, AWAY)
        noted = {
            name: replace(
                found.racks[name],
                ids=tuple(unit.id for unit in there[name].units),
                slots=summed(there[name]),
                lives={m.name: m.life for m in there[name].machines},
            )
            for name in names
        }
        return replace(found, racks=found.racks | noted).logged("handed over", racks=names)

    # ---- operators

    def start(self, declared: Declaration, fleet: Fleet) -> State | Refused:
        if self.state is not None and not self.state.over:
            return Refused(409, f"{self.state.declared.name!r} is {self.state.phase}: abort it first")
        found = plan(declared, fleet)
        if isinstance(found, Impossible):
            return Refused(409, found.why)
        serial = 1 + (self.state.serial if self.state is not None else 0)
        return State(
            serial, declared, found.steps, {rack.name: RackState() for rack in declared.racks}, fair=found.fair
        ).logged("started", steps=[list(step) for step in found.steps])

    def ordered(self, what: str, now: float, rack: str = "") -> State | Refused:
        """`pause`, `resume`, `abort`, `back`."""
        s = self.state
        if s is None or s.over:
            return Refused(409, "no window is under way")
        if now - self.wanted_at < ANSWER:
            return Refused(503, "a change is on its way: again in a moment")
        if what == "back":
            if rack not in s.racks or s.racks[rack].state not in (AWAY, LOST):
                return Refused(409, f"no rack {rack!r} is away")
            found = self.now_as(now)
            return replace(found, racks=found.racks | {rack: replace(found.racks[rack], as_is=True)}).logged(
                "said to be back", rack=rack
            )
        if s.phase == ABORTING:
            return Refused(409, "it is being aborted")
        to = {"pause": PAUSED, "resume": RUNNING, "abort": ABORTING}[what]
        # to go on while a rack is away for too long is to go on without it
        found = self.moved(now, self.late, LOST) if what != "pause" else self.now_as(now)
        if found.phase == to and found.racks.keys() and not self.late:
            return s
        return replace(found, phase=to).logged(to, **({"without": self.late} if self.late else {}))

    def figures(self) -> dict[str, Any]:
        """For operators, beside the state."""
        return {"why": self.why, "late": self.late}


def texts(harm: list[Hurt]) -> list[str]:
    return [str(one) for one in harm]


def summed(content: Content) -> dict[str, int]:
    """Its slots, by service."""
    found: dict[str, int] = {}
    for unit in content.units:
        found[unit.svc] = found.get(unit.svc, 0) + unit.slots
    return dict(sorted(found.items()))


def returned(course: RackState, there: Content) -> bool:
    """Whether all that was handed over is there again, in a new life, or an operator has said so."""
    if course.as_is or not (course.lives or course.slots):
        return course.as_is  # of an empty rack nothing could be seen to return
    here = {machine.name: machine for machine in there.machines if machine.settled}
    slots = summed(there)
    if any(name not in here for name in course.lives) or any(
        slots.get(svc, 0) < count for svc, count in course.slots.items()
    ):
        return False
    return all(here[name].life > life for name, life in course.lives.items()) and not set(course.ids) & {
        unit.id for unit in there.units
    }
