"""A fleet's scenario on the virtual clock: all members in one process, one seed, one history."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

from opalwick.fleet.agent import Agent, Event, Send, Wake
from opalwick.fleet.membership import MembershipConfig as MemberTerms
from opalwick.fleet.messages import KIND
from opalwick.lab.agenda import Entry
from opalwick.lab.baselines import maker
from opalwick.lab.fleet.agents import Store
from opalwick.lab.fleet.day import FleetDay
from opalwick.lab.fleet.faults import STARVED, Scene
from opalwick.lab.ledger import Ledger
from opalwick.lab.scheduler import Host, Make, Process, Scheduler, Start
from opalwick.lab.virtual import HELD, SLACK, Stage
from opalwick.lab.world.worker import Worker
from opalwick.transport.stalls import StallDetector

AGENT = bytes([KIND])  # first byte of the agents' messages
SAMPLE_PERIOD = 0.25  # seconds between two samples of the members' aggregates


class AgentHost(Process):
    """A process that runs a member's agent, as `program/core.py` does.

    While it is starved of CPU, each event and timer that reaches it is queued.
    """

    starved, free_at, draining = 0.0, 0.0, False
    agent: Agent | None = None
    agent_wake_at = float("inf")

    def __init__(self, *fields: Any) -> None:
        # calls that wait for the CPU, in order
        self.queued_calls: deque[tuple[Entry, Any, Any, tuple]] = deque()
        super().__init__(*fields)

    def join(self, incarnation: int) -> None:
        """Starts the agent, where the scenario enables membership."""
        day = self.stage.fleet_day  # type: ignore[attr-defined]
        if "members" in day.parts:
            seed = zlib.crc32(f"{self.world.seed}/agent/{self.i}/{incarnation}".encode())
            self.agent = Agent(self.i, day.members, incarnation, self.now(), MemberTerms(), seed)
            self.after(0.0, self.step)

    def step(self) -> None:
        """Carries out the agent's decisions that are due."""
        assert self.agent is not None
        self.agent.clock(self.now())
        changed = False
        for decision in self.agent.decisions():
            match decision:
                case Send(to, data):
                    self.stage.word(self, to, data)
                case Wake(at) if at < self.agent_wake_at or self.agent_wake_at <= self.now():
                    self.agent_wake_at = at
                    self.timer(max(0.0, at - self.now()), self.agent_timer_due, at)
                case Event():
                    changed = True
                    if row := self.agent.record(decision):
                        self.stage.note(row[0], self.i, *row[1:])  # type: ignore[attr-defined]
        if changed:
            self.absent(self.agent.absent())

    def agent_timer_due(self, at: float) -> None:
        if at == self.agent_wake_at:  # else an earlier wake has been requested since
            self.agent_wake_at = float("inf")
            self.step()

    def absent(self, members: frozenset[int]) -> None:
        """Called with the members that the agent holds absent."""

    def for_agent(self, peer: int, data: bytes) -> bool:
        """Passes an agent's message on to the agent; False for any other message."""
        if not data.startswith(AGENT):
            return False
        if self.agent is not None:
            self.agent.clock(self.now())
            self.agent.receive(peer, data)
            self.step()
        return True

    def resume(self, gap: float, calls: list[tuple]) -> None:
        # all that has arrived is processed at once, calls that were queued before the pause first
        before = [(call, fields) for _, _, call, fields in self.queued_calls]
        for entry, *_ in self.queued_calls:
            entry.cancel()
        self.queued_calls.clear()
        self.free_at = self.agenda.now
        calls = [*before, *calls]
        if self.agent is not None and gap > StallDetector.STALL:
            self.agent.clock(self.now())
            self.agent.after_stall()
            calls = [*calls, (self.step, ())]
        self.draining = True
        super().resume(gap, calls)
        self.draining = False

    def enqueue(self, call: Any, fields: tuple, deliver: Any) -> None:
        # The work itself takes a share of the core, after the other processes' slices of some milliseconds.
        # The delay is bounded by what is recorded for the judge, as all arrived calls are processed at once.
        now, draw = self.agenda.now, self.world.draws.of(f"starved/{self.i}").random()
        begin = max(self.free_at, now + 0.005 * self.starved * draw)
        self.free_at = max(self.free_at, min(begin + 0.0005 * self.starved, now + STARVED * self.starved))
        self.queued_calls.append((self.agenda.at(self.free_at, self.run_next), deliver, call, fields))

    def run_next(self) -> None:
        if not self.still:  # else the call stays queued until the process is resumed
            _, deliver, call, fields = self.queued_calls.popleft()
            deliver(call, *fields)

    def must_queue(self) -> bool:
        """Whether a call must be queued: also after starvation, while the queue is not empty."""
        return (self.starved > 0.0 or len(self.queued_calls) > 0) and not self.still and not self.draining

    def event(self, call: Any, *fields: Any) -> None:
        if self.must_queue():
            self.enqueue(call, fields, super().event)
        else:
            super().event(call, *fields)

    def elapsed(self, call: Any, *fields: Any) -> None:
        if self.must_queue():
            self.enqueue(call, fields, super().elapsed)
        else:
            super().elapsed(call, *fields)


class Member(AgentHost, Scheduler):
    """A scheduler of the fleet, with its agent."""

    def __init__(self, stage: Host, i: int, known: list[tuple], incarnation: int) -> None:
        super().__init__(stage, i, known, incarnation)
        self.join(incarnation)

    def heard(self, peer: int, data: bytes) -> None:
        if (self.waking and self.old_words) or self.for_agent(peer, data):
            return  # it may have waited for the whole pause, or it is the agent's
        super().heard(peer, data)

    def absent(self, members: frozenset[int]) -> None:
        self.put("absent", members)

    def die(self, crashed: bool) -> None:
        if self.agent is not None and not crashed:
            self.agent.clock(self.now())
            self.agent.leave()
            self.step()
        super().die(crashed)


class AgentOnly(AgentHost):
    """A member that runs its agent alone and no scheduler, for long and large membership scenarios."""

    def __init__(self, stage: Host, i: int, known: list[tuple], incarnation: int) -> None:
        super().__init__(stage, i)
        self.known, self.gap = known, 0.0
        self.join(incarnation)

    def resume(self, gap: float, calls: list[tuple]) -> None:
        self.gap = gap
        super().resume(gap, calls)
        self.gap = 0.0

    def heard(self, peer: int, data: bytes) -> None:
        if self.gap <= StallDetector.LONG_STALL:
            self.for_agent(peer, data)


class FleetStage(Stage):
    """The members of a fleet on the virtual clock, and fault injection into their processes."""

    def __init__(self, day: FleetDay, seed: int, make: Make, process: Start = Member) -> None:
        self.fleet_day, self.rows = day, Ledger()
        self.twins: dict[int, Process] = {}
        self.last_sender: dict[int, Process] = {}  # by member: the process under its name that sent last
        self.store = Store(self.note)
        super().__init__(day.day(), seed, make, process)
        self.initial_lists = list(self.kept)
        self.world.on_push = self.pushed

    def note(self, what: str, *fields: Any) -> None:
        self.rows.note(self.world.agenda.now, what, *fields)

    def pushed(self, worker: Worker, share: float) -> None:
        self.note("pushed", worker.name, round(share, 3))

    # ---- messages

    def word(self, sender: Any, to: int, data: bytes) -> None:
        self.last_sender[sender.i] = sender
        draw = self.world.draws.of(f"words/{sender.i}")
        copies = self.world.word(sender.i, to, data, draw)
        self.note("word", sender.i, to, len(data), data[0] if data else -1, len(copies))
        latency = self.world.latency(sender.zone, to % len(self.day.zones), draw)
        for delay, content in copies:
            if to < self.fleet_day.members:
                self.world.agenda.after(latency + delay, self._heard, to, sender.i, content)
            else:
                self.world.agenda.after(latency + delay, self.store.heard, sender.i, content)

    def _heard(self, to: int, peer: int, data: bytes) -> None:
        found = self.running[to]
        if (twin := self.twins.get(to)) is not None and self.last_sender.get(to) is twin:
            found = twin
        if found is not None:
            found.event(found.heard, peer, data)

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
        self.kept[i] = self.initial_lists[i]
        self.start(i)

    def twin(self, i: int, there: bool) -> None:
        if there:
            self.starts[i] += 1
            made = self.twins[i] = self.process(self, i, self.initial_lists[i], self.starts[i])
            # without list calls, as answers to it would be recorded as answers to the member of that name
            made.watch = lambda wait: None  # type: ignore[attr-defined]
            self.note("twin", i, self.starts[i])
        elif (found := self.twins.pop(i, None)) is not None:
            found.die(False)
            self.note("twin_gone", i)

    def starve(self, i: int, size: float) -> None:
        if isinstance(found := self.running[i], AgentHost):
            found.starved = size

    def memory(self, i: int, megabytes: float) -> None:
        """Not supported on the virtual clock."""

    def by_hand(self, i: int, worker: str, out: bool) -> None:
        if (found := self.running[i]) is not None:
            found.event(found.put, "disabled" if out else "enabled", worker)

    # ---- samples of the members' aggregates

    def sample_aggregates(self) -> None:
        for i, found in enumerate(self.running):
            if isinstance(found, Scheduler) and not found.still:
                for what, *fields in found.reducer.aggregation_state(found.now()):
                    self.note("holds", i, what, *[round(x, 4) for x in fields])
        self.world.agenda.after(SAMPLE_PERIOD, self.sample_aggregates)


def play(
    day: FleetDay,
    seed: int,
    make: Make | None = None,
    process: Start = Member,
    told: Callable[[float], None] = lambda _: None,
) -> dict[str, Any]:
    """Plays a scenario and returns the history of its work items, with that of the members under "fleet".

    `told`: called with the elapsed seconds of the scenario.
    """
    stage = FleetStage(day, seed, make or maker("opalwick"), process)
    world = stage.world
    scene = Scene(day, world, stage, stage.rows)
    scene.begin("virtual", told)
    stage.sample_aggregates()
    world.agenda.run(day.length + max(k.expiry for k in day.categories) + 1.5)
    return history(
        day, scene, "virtual", SLACK + 3.0 * day.network.slowest() + 2.0 * day.network.client, HELD
    )


def history(day: FleetDay, scene: Scene, clock: str, slack: float, held: float) -> dict[str, Any]:
    """The history of a played scenario; `slack` and `held` are the judge's tolerances in seconds."""
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
