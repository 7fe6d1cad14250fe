"""The maintenance coordinator: takes racks down as planned. For each step it drains, waits until the racks
are empty, hands them over, waits for their return and warm-up, and checks the needs. No socket, disk or
clock.

`next_state()` returns the next desired state. The controller writes it to its own and its backups' disks and
then calls `adopt()`. Until then it has no effect, and no other state is requested. So a coordinator that
fails has done exactly what is saved. The writes of one that was superseded are refused by the disks, because
a write carries the epoch of the view, which only grows.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from opalwick.post.maintenance.fleet import Fleet, RackContent, contents
from opalwick.post.maintenance.needs import UnmetNeed, unmet_needs
from opalwick.post.maintenance.planner import NoPlan, Plan, plan
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

# s beyond a route's limit until deliveries from before a drain have ended: message transit and clock drift
DRAIN_MARGIN = 0.5
SETTLE_TIME = 3.0  # s after a reverted drain until the next one: the average demand has settled
# s until a state without confirmation may be requested again: longer than a write's 0.8 s
WRITE_TIMEOUT = 1.5
# s that a new coordinator only observes: links, keepalives and gateways' reports arrive within 1 s
OBSERVATION_TIME = 1.5


class Refused(NamedTuple):
    """An order that was refused, with the HTTP status and the reason."""

    status: int
    why: str


class Coordinator:
    """The state machine of the maintenance window."""

    def __init__(self) -> None:
        self.state: State | None = None
        self.at = 0.0  # s, when the state was adopted
        self.wanted_at = -1e9
        self.accounted_at = -1e9
        self.settled_at = self.observing_until = -1e9
        self.lost: dict[str, float] = {}  # by tenant: slot-seconds lost since the state was adopted
        self.why: list[str] = []  # reasons for waiting
        self.overdue: list[str] = []  # racks that are away for longer than declared

    def adopt(self, state: State | None, now: float) -> None:
        """Takes over a state that is in force, its own or a predecessor's."""
        if state is not None and self.state is None:
            self.observing_until = now + OBSERVATION_TIME
        self.state, self.at, self.lost, self.wanted_at = state, now, {}, -1e9
        self.why = []

    def forget(self) -> None:
        """Stops coordinating; another coordinator has the state."""
        self.state, self.wanted_at, self.accounted_at = None, -1e9, -1e9

    def refused(self) -> None:
        """The desired state was not written."""
        self.wanted_at = -1e9

    # ---- time

    def age(self, name: str, now: float) -> float:
        """Seconds that a rack has been in its state; too low after a failure, but never too high."""
        assert self.state is not None
        return self.state.racks[name].for_s + now - self.at

    def now_as(self, now: float) -> State:
        """The state with durations and losses as of now."""
        s = self.state
        assert s is not None
        spent = now - self.at
        racks = {
            name: replace(rack_state, for_s=rack_state.for_s + spent) for name, rack_state in s.racks.items()
        }
        lost = {
            tenant: s.lost.get(tenant, 0.0) + self.lost.get(tenant, 0.0) for tenant in {*s.lost, *self.lost}
        }
        return replace(s, racks=racks, ran_s=s.ran_s + spent, lost=dict(sorted(lost.items())))

    def with_state(self, now: float, names: Iterable[str], target: str, **more: Any) -> State:
        """The state with these racks in the state `target`."""
        s = self.now_as(now)
        racks = dict(s.racks)
        for name in names:
            racks[name] = replace(racks[name], state=target, for_s=0.0, **more)
        return replace(s, racks=racks)

    def account(self, now: float, present: dict[str, RackContent]) -> None:
        """Adds the slots that are away to the losses."""
        s = self.state
        assert s is not None
        passed, self.accounted_at = now - max(self.accounted_at, self.at), now
        for name in s.racks_in(*RESTING):
            rack_state = s.racks[name]
            slots = rack_state.slots or slots_by_service(present[name])
            for svc, count in slots.items():
                tenant = s.declared.tenant(svc)
                self.lost[tenant] = self.lost.get(tenant, 0.0) + count * max(0.0, passed)

    # ---- decisions

    def next_state(self, now: float, fleet: Fleet) -> State | None:
        """The next desired state; None if nothing is to change."""
        s = self.state
        if s is None or s.over or now - self.wanted_at < WRITE_TIMEOUT:
            return None
        present = contents(s.declared, fleet)
        self.account(now, present)
        if now < self.observing_until:
            self.why = ["the coordinator has just started"]
            return None
        self.why, self.overdue = (
            [],
            [name for name in s.racks_in(AWAY) if self.age(name, now) > s.declared.rack(name).longest_s],
        )
        found = self.decide(now, fleet, present, s)
        if found is not None:
            self.wanted_at = now
        return found

    def decide(self, now: float, fleet: Fleet, present: dict[str, RackContent], s: State) -> State | None:
        unmet = unmet_needs(s.declared, fleet, [present[name] for name in s.racks_in(*RESTING)])
        for name in s.racks_in(AWAY, LOST):
            rack_state = s.racks[name]
            if returned(rack_state, present[name]) and (
                unmet or rack_state.recalled or all(unit.warm for unit in present[name].units)
            ):
                # one at a time, so that each is admitted and checked before the next
                return self.with_state(now, [name], BACK).logged(
                    "back", rack=name, cold=not all(unit.warm for unit in present[name].units)
                )
        draining = s.racks_in(DRAINING)
        if draining and (unmet or s.phase != RUNNING):
            self.settled_at = now + SETTLE_TIME
            return self.with_state(now, draining, WAITING, depots=(), slots={}).logged(
                "drain called back", racks=draining, why=descriptions(unmet) or [s.phase]
            )
        recalled = [
            name for name in s.racks_in(AWAY) if not s.racks[name].recalled and (unmet or s.phase == ABORTING)
        ]
        if recalled:
            found = self.now_as(now)
            racks = {
                name: replace(rack_state, recalled=rack_state.recalled or name in recalled)
                for name, rack_state in found.racks.items()
            }
            return replace(found, racks=racks).logged(
                "recalled", racks=recalled, why=descriptions(unmet) or [s.phase]
            )
        if draining:
            return self.hand_over(now, fleet, present, draining)
        if away := s.racks_in(AWAY):
            self.why = [
                f"rack {name} is away" + (" for too long" if name in self.overdue else "") for name in away
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
        return self.begin(now, fleet, present, s)

    def begin(self, now: float, fleet: Fleet, present: dict[str, RackContent], s: State) -> State | None:
        """Begins the next step if all needs are met; otherwise plans again or waits."""
        step = [name for name in s.steps[s.at] if s.racks[name].state == WAITING]
        own_machines = {
            machine for name in s.racks_in(*RESTING) for machine in s.declared.rack(name).machines
        }
        missing = [name for name in fleet.missing if name not in own_machines]
        missing += [m.name for m in fleet.machines if not m.settled and m.name not in own_machines]
        if missing:
            self.why = [f"{name} is not available" for name in missing]
            return None
        if now < self.settled_at:
            self.why = ["a drain was called back recently"]
            return None
        longest = max(s.declared.rack(name).longest_s for name in step)
        if self.now_as(now).ran_s + longest > s.declared.longest_s:
            self.why = [f"the rest of the window is shorter than the {longest:g} s of the next step"]
            return None
        unmet = unmet_needs(s.declared, fleet, [present[name] for name in (*s.racks_in(*RESTING), *step)])
        if unmet:
            left = [name for each in s.steps[s.at :] for name in each if s.racks[name].state == WAITING]
            found = plan(s.declared, fleet, left, s.racks_in(*RESTING))
            self.why = descriptions(unmet)
            if isinstance(found, Plan):
                return replace(self.now_as(now), steps=(*s.steps[: s.at], *found.steps)).logged(
                    "planned anew", steps=[list(one) for one in found.steps], why=descriptions(unmet)
                )
            return None
        racks = self.with_state(now, step, DRAINING)
        drained = {
            name: replace(
                racks.racks[name],
                slots=slots_by_service(present[name]),
                depots=tuple(m.name for m in present[name].machines if m.role == "depot"),
            )
            for name in step
        }
        return replace(racks, racks=racks.racks | drained).logged("drains", racks=step)

    def hand_over(
        self, now: float, fleet: Fleet, present: dict[str, RackContent], names: list[str]
    ) -> State | None:
        """Hands the racks over once they have no open deliveries and their stores are empty."""
        s = self.state
        assert s is not None
        shortest = min(self.age(name, now) for name in names)
        not_empty = [depot for name in names for depot in s.racks[name].depots if depot not in fleet.empty]
        if not fleet.rested or shortest < fleet.limit + DRAIN_MARGIN or not_empty:
            self.why = [f"{depot} is not empty" for depot in not_empty] or [
                "deliveries to resting workers are open"
            ]
            return None
        found = self.with_state(now, names, AWAY)
        recorded = {
            name: replace(
                found.racks[name],
                ids=tuple(unit.id for unit in present[name].units),
                slots=slots_by_service(present[name]),
                lives={m.name: m.life for m in present[name].machines},
            )
            for name in names
        }
        return replace(found, racks=found.racks | recorded).logged("handed over", racks=names)

    # ---- operators

    def start(self, declared: Declaration, fleet: Fleet) -> State | Refused:
        """The first state of a new window."""
        if self.state is not None and not self.state.over:
            return Refused(409, f"{self.state.declared.name!r} is {self.state.phase}: abort it first")
        found = plan(declared, fleet)
        if isinstance(found, NoPlan):
            return Refused(409, found.why)
        serial = 1 + (self.state.serial if self.state is not None else 0)
        return State(
            serial,
            declared,
            found.steps,
            {rack.name: RackState() for rack in declared.racks},
            fair=found.fair,
        ).logged("started", steps=[list(step) for step in found.steps])

    def execute(self, what: str, now: float, rack: str = "") -> State | Refused:
        """Executes an order: `pause`, `resume`, `abort`, or `back` for a rack."""
        s = self.state
        if s is None or s.over:
            return Refused(409, "no window is running")
        if now - self.wanted_at < WRITE_TIMEOUT:
            return Refused(503, "a change is in progress: retry shortly")
        if what == "back":
            if rack not in s.racks or s.racks[rack].state not in (AWAY, LOST):
                return Refused(409, f"no rack {rack!r} is away")
            found = self.now_as(now)
            return replace(found, racks=found.racks | {rack: replace(found.racks[rack], as_is=True)}).logged(
                "said to be back", rack=rack
            )
        if s.phase == ABORTING:
            return Refused(409, "the window is being aborted")
        target = {"pause": PAUSED, "resume": RUNNING, "abort": ABORTING}[what]
        # resuming while a rack is away for too long means continuing without it
        found = self.with_state(now, self.overdue, LOST) if what != "pause" else self.now_as(now)
        if found.phase == target and found.racks.keys() and not self.overdue:
            return s
        return replace(found, phase=target).logged(
            target, **({"without": self.overdue} if self.overdue else {})
        )

    def figures(self) -> dict[str, Any]:
        """Additional figures for operators."""
        return {"why": self.why, "late": self.overdue}


def descriptions(unmet: list[UnmetNeed]) -> list[str]:
    return [str(one) for one in unmet]


def slots_by_service(content: RackContent) -> dict[str, int]:
    """The slots of a rack by service."""
    found: dict[str, int] = {}
    for unit in content.units:
        found[unit.svc] = found.get(unit.svc, 0) + unit.slots
    return dict(sorted(found.items()))


def returned(rack_state: RackState, present: RackContent) -> bool:
    """Whether all that was handed over is present again in a new incarnation, or an operator said so."""
    if rack_state.as_is or not (rack_state.lives or rack_state.slots):
        return rack_state.as_is  # nothing can be observed to return to an empty rack
    here = {machine.name: machine for machine in present.machines if machine.settled}
    slots = slots_by_service(present)
    if any(name not in here for name in rack_state.lives) or any(
        slots.get(svc, 0) < count for svc, count in rack_state.slots.items()
    ):
        return False
    return all(here[name].life > life for name, life in rack_state.lives.items()) and not set(
        rack_state.ids
    ) & {unit.id for unit in present.units}
