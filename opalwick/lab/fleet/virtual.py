"""A fleet's day on the virtual clock: all members in one process, one seed, one history."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

from opalwick.fleet.agent import Agent, Event, Send, Wake
from opalwick.fleet.members import MembershipConfig as MemberTerms
from opalwick.fleet.words import KIND
from opalwick.lab.agenda import Entry
from opalwick.lab.baselines import maker
from opalwick.lab.fleet.agents import Store
from opalwick.lab.fleet.day import FleetDay
from opalwick.lab.fleet.faults import STARVED, Scene
from opalwick.lab.ledger import Ledger
from opalwick.lab.scheduler import Host, Make, Process, Scheduler, Start
from opalwick.lab.virtual import HELD, SLACK, Stage
from opalwick.lab.world.worker import Worker
from opalwick.transport.pulse import StallDetector

AGENT = bytes([KIND])  # how words of the agents begin
POLL = 0.25  # seconds between two looks at what members hold to be so


class Hosting(Process):
    """What feeds a member's agent, as `program/core.py` does; and a member may be starved of CPU: each thing
    that reaches it waits for its turn."""

    starved, free_at, taking_in = 0.0, 0.0, False
    agent: Agent | None = None
    agent_at = float("inf")

    def __init__(self, *fields: Any) -> None:
        self.behind: deque[tuple[Entry, Any, Any, tuple]] = deque()  # waits for its turn, in order
        super().__init__(*fields)

    def join(self, serial: int) -> None:
        """Starts its agent, where the day has the part on."""
        day = self.stage.fleet_day  # type: ignore[attr-defined]
        if "members" in day.parts:
            seed = zlib.crc32(f"{self.world.seed}/agent/{self.i}/{serial}".encode())
            self.agent = Agent(self.i, day.members, serial, self.now(), MemberTerms(), seed)
            self.after(0.0, self.step)

    def step(self) -> None:
        """What the agent wants done by now."""
        assert self.agent is not None
        self.agent.clock(self.now())
        changed = False
        for decision in self.agent.decisions():
            match decision:
                case Send(to, octets):
                    self.stage.word(self, to, octets)
                case Wake(at) if at < self.agent_at or self.agent_at <= self.now():
                    self.agent_at = at
                    self.timer(max(0.0, at - self.now()), self.agent_due, at)
                case Event():
                    changed = True
                    if row := self.agent.record(decision):
                        self.stage.note(row[0], self.i, *row[1:])  # type: ignore[attr-defined]
        if changed:
            self.absent(self.agent.absent())

    def agent_due(self, at: float) -> None:
        if at == self.agent_at:  # else one that comes sooner was asked for since
            self.agent_at = float("inf")
            self.step()

    def absent(self, numbers: frozenset[int]) -> None:
        """Members that are known not to be there."""

    def for_agent(self, peer: int, octets: bytes) -> bool:
        """Whether a word is the agent's."""
        if not octets.startswith(AGENT):
            return False
        if self.agent is not None:
            self.agent.clock(self.now())
            self.agent.receive(peer, octets)
            self.step()
        return True

    def resume(self, gap: float, calls: list[tuple]) -> None:
        # what lies there is taken in one go, and first what had waited for its turn before that
        before = [(call, fields) for _, _, call, fields in self.behind]
        for entry, *_ in self.behind:
            entry.cancel()
        self.behind.clear()
        self.free_at = self.agenda.now
        calls = [*before, *calls]
        if self.agent is not None and gap > StallDetector.STALL:
            self.agent.clock(self.now())
            self.agent.after_stall()
            calls = [*calls, (self.step, ())]
        self.taking_in = True
        super().resume(gap, calls)
        self.taking_in = False

    def turn(self, call: Any, fields: tuple, then: Any) -> None:
        # a share of the core for the work itself, and the others' slices of some milliseconds before it; but
        # no later than the judge is told, as what lies there is taken in one go
        now, draw = self.agenda.now, self.world.draws.of(f"starved/{self.i}").random()
        begin = max(self.free_at, now + 0.005 * self.starved * draw)
        self.free_at = max(self.free_at, min(begin + 0.0005 * self.starved, now + STARVED * self.starved))
        self.behind.append((self.agenda.at(self.free_at, self.next), then, call, fields))

    def next(self) -> None:
        if not self.still:  # else it goes on waiting until this one runs
            _, then, call, fields = self.behind.popleft()
            then(call, *fields)

    def queued(self) -> bool:
        """Nothing overtakes what waits there, even once it has its core back."""
        return (self.starved > 0.0 or len(self.behind) > 0) and not self.still and not self.taking_in

    def event(self, call: Any, *fields: Any) -> None:
        if self.queued():
            self.turn(call, fields, super().event)
        else:
            super().event(call, *fields)

    def elapsed(self, call: Any, *fields: Any) -> None:
        if self.queued():
            self.turn(call, fields, super().elapsed)
        else:
            super().elapsed(call, *fields)


class Member(Hosting, Scheduler):
    """A scheduler of the fleet."""

    def __init__(self, stage: Host, i: int, known: list[tuple], serial: int) -> None:
        super().__init__(stage, i, known, serial)
        self.join(serial)

    def heard(self, peer: int, octets: bytes) -> None:
        if (self.waking and self.old_words) or self.for_agent(peer, octets):
            return  # it may have lain there for as long; or it is no word of the reducer's
        super().heard(peer, octets)

    def absent(self, numbers: frozenset[int]) -> None:
        self.put("absent", numbers)

    def die(self, crashed: bool) -> None:
        if self.agent is not None and not crashed:
            self.agent.clock(self.now())
            self.agent.leave()
            self.step()
        super().die(crashed)


class Lone(Hosting):
    """A member that does no work: its agent alone, for long and large days of membership."""

    def __init__(self, stage: Host, i: int, known: list[tuple], serial: int) -> None:
        super().__init__(stage, i)
        self.known, self.gap = known, 0.0
        self.join(serial)

    def resume(self, gap: float, calls: list[tuple]) -> None:
        self.gap = gap
        super().resume(gap, calls)
        self.gap = 0.0

    def heard(self, peer: int, octets: bytes) -> None:
        if self.gap <= StallDetector.LONG_STALL:
            self.for_agent(peer, octets)


class FleetStage(Stage):
    """The members, and what faults do to them."""

    def __init__(self, day: FleetDay, seed: int, make: Make, process: Start = Member) -> None:
        self.fleet_day, self.rows = day, Ledger()
        self.twins: dict[int, Process] = {}
        self.spoke: dict[int, Process] = {}  # by member: which process under its name sent last
        self.store = Store(self.note)
        super().__init__(day.day(), seed, make, process)
        self.first = list(self.kept)
        self.world.on_push = self.pushed

    def note(self, what: str, *fields: Any) -> None:
        self.rows.note(self.world.agenda.now, what, *fields)

    def pushed(self, worker: Worker, share: float) -> None:
        self.note("pushed", worker.name, round(share, 3))

    # ---- words

    def word(self, sender: Any, to: int, octets: bytes) -> None:
        self.spoke[sender.i] = sender
        draw = self.world.draws.of(f"words/{sender.i}")
        copies = self.world.word(sender.i, to, octets, draw)
        self.note("word", sender.i, to, len(octets), octets[0] if octets else -1, len(copies))
        way = self.world.way(sender.zone, to % len(self.day.zones), draw)
        for late, said in copies:
            if to < self.fleet_day.members:
                self.world.agenda.after(way + late, self._heard, to, sender.i, said)
            else:
                self.world.agenda.after(way + late, self.store.heard, sender.i, said)

    def _heard(self, to: int, peer: int, octets: bytes) -> None:
        found = self.running[to]
        if (twin := self.twins.get(to)) is not None and self.spoke.get(to) is twin:
            found = twin
        if found is not None:
            found.event(found.heard, peer, octets)

    # ---- processes

    def start(self, i: int) -> None:
        if self.running[i] is None:
            self.note("up", i, self.starts[i] + 1)
        super().start(i)

    def _over(self, i: int, crashed: bool) -> None:
        if self.running[i] is not None:
            self.note("down", i)
        super()._over(i, crashed)

    def start_old(self, i: int) -> None:
        self.kept[i] = self.first[i]
        self.start(i)

    def twin(self, i: int, there: bool) -> None:
        if there:
            self.starts[i] += 1
            made = self.twins[i] = self.process(self, i, self.first[i], self.starts[i])
            # it asks no list: what it is told would pass for told to the one whose name it bears
            made.watch = lambda wait: None  # type: ignore[attr-defined]
            self.note("twin", i, self.starts[i])
        elif (found := self.twins.pop(i, None)) is not None:
            found.die(False)
            self.note("twin_gone", i)

    def starve(self, i: int, size: float) -> None:
        if isinstance(found := self.running[i], Hosting):
            found.starved = size

    def memory(self, i: int, megabytes: float) -> None:
        """Not on this clock."""

    def by_hand(self, i: int, worker: str, out: bool) -> None:
        if (found := self.running[i]) is not None:
            found.event(found.put, "disabled" if out else "enabled", worker)

    # ---- what members hold to be so

    def look(self) -> None:
        for i, found in enumerate(self.running):
            if isinstance(found, Scheduler) and not found.still:
                for what, *fields in found.reducer.aggregation_state(found.now()):
                    self.note("holds", i, what, *[round(x, 4) for x in fields])
        self.world.agenda.after(POLL, self.look)


def play(
    day: FleetDay,
    seed: int,
    make: Make | None = None,
    process: Start = Member,
    told: Callable[[float], None] = lambda _: None,
) -> dict[str, Any]:
    """The history of one day: of work items as every day's, and under "fleet" that of the members."""
    stage = FleetStage(day, seed, make or maker("opalwick"), process)
    world = stage.world
    scene = Scene(day, world, stage, stage.rows)
    scene.begin("virtual", told)
    stage.look()
    world.agenda.run(day.length + max(k.expiry for k in day.categories) + 1.5)
    return history(
        day, scene, "virtual", SLACK + 3.0 * day.network.slowest() + 2.0 * day.network.client, HELD
    )


def history(day: FleetDay, scene: Scene, clock: str, slack: float, held: float) -> dict[str, Any]:
    bounds = {name: float(getattr(day.bounds, name)) for name in day.bounds.__struct_fields__}
    return {
        **scene.world.head("opalwick", clock, slack, held),
        "front": "http",
        "ledger": scene.world.ledger,
        "fleet": {
            "members": day.members,
            "groups": [i % len(day.groups) for i in range(day.members)],
            "parts": list(day.parts),
            "bounds": bounds,
            "skipped": scene.skipped,
            "rows": scene.rows.rows,
        },
    }
