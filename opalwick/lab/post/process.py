"""Simulated machines and the processes on them: the counterpart on the virtual clock of the Shell in
`post/link.py`, which runs a role.

A frozen process receives nothing and does nothing. What arrived meanwhile, and timers of its own that have
expired, are handled on resumption in a random order, since an event loop does not guarantee which greenlet
runs first.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from typing import TYPE_CHECKING, Any

from opalwick.lab.agenda import Entry
from opalwick.lab.post.net import End
from opalwick.post.link import (
    CONNECT_TIMEOUT,
    RECONNECT_DELAY,
    MAX_RECONNECT_DELAY,
    PULSE,
    SILENT,
    SLOW_FACTOR,
    TICK_INTERVAL,
)
from opalwick.post.settings import Settings, parse
from opalwick.post.base_role import RoleBase

if TYPE_CHECKING:
    from opalwick.lab.post.world import World

Place = tuple[str, int]
PORT = 7300
START_TIME = 1.8e9  # Unix time in seconds at the start of a scenario
RESTART_DELAY = (0.3, 0.8)  # s, least and most, until the platform restarts a process that has exited
MAX_PROBLEMS = 50
_BASE = """node=x
role=x
ip=10.0.0.1
az=a
region=r
port_range=7300,7315
seeds=10.0.0.9:8262
"""


@cache
def base() -> Settings:
    """Returns parsed base settings. Cached: parsing takes milliseconds, and each process start needs one."""
    return parse(_BASE, "lab")


@cache
def recording_events(role: type[RoleBase]) -> type[RoleBase]:
    """Returns a subclass of the role that collects its events in `lab_events` instead of printing them."""

    def event(self: Any, number: int, **fields: Any) -> None:
        self.__dict__.setdefault("lab_events", []).append((self.now, number, fields))

    return type(role.__name__, (role,), {"event": event})


class Machine:
    """A simulated machine: its clocks, its disk, and at most one process."""

    def __init__(self, world: World, node: str, role: str, zone: str, number: int) -> None:
        self.world, self.node, self.role, self.zone, self.number = world, node, role, zone, number
        self.ip = f"10.{1 + world.day.zones.index(zone)}.0.{10 + number}"
        self.draw = world.draws.of(f"machine/{node}")
        self.clock_offset = 1000.0 + 5000.0 * self.draw.random()  # s, offset of its monotonic clock
        self.wall_clock_error = 0.04 * self.draw.random() - 0.02  # s, error of its wall clock
        self.power = True
        self.losses = 0  # number of power losses
        self.starts = 0
        self.joined = False  # added after the start of the scenario
        self.proc: Proc | None = None
        self.disk: Any = None
        self.disks = 0
        self.downs = 0  # number of active faults that keep it down
        self.still = 0  # number of active faults that freeze its process
        self.sync, self.stalls = float(world.day.sync), 0  # s per sync; number of active disk stalls
        self.waits: list[Callable[[], None]] = []  # syncs blocked by a stall
        self.new_disk()

    # ---- clocks and disk

    def monotonic(self) -> float:
        return self.clock_offset + self.world.agenda.now

    def wall_clock(self) -> float:
        return START_TIME + self.world.agenda.now + self.wall_clock_error

    def new_disk(self) -> None:
        self.disks += 1
        if self.role in DISKS:
            self.disk = DISKS[self.role](f"{self.node}.{self.disks}")
            self.world.disk_made(self)

    def on_disk(self, proc: Proc, work: Callable[[], Any], over: Callable[[Any], None]) -> None:
        """Runs one disk transaction: it takes effect, and `over` gets its result, when the sync completes.
        If the process dies before, the transaction may or may not be on the disk."""

        def done() -> None:
            if self.stalls:
                self.waits.append(done)
            elif proc.writing is done:
                proc.writing = None
                found = work()
                proc.event(over, found)

        proc.writing, proc.work = done, work
        self.world.agenda.after(self.sync * (0.7 + 1.1 * self.draw.random()), done)

    def stall(self, there: bool) -> None:
        """Adds (True) or removes (False) a fault that blocks all syncs."""
        self.stalls += 1 if there else -1
        if not self.stalls:
            waits, self.waits = self.waits, []
            for done in waits:
                self.world.agenda.after(0.0, done)

    # ---- starts, stops and faults

    def settings(self) -> Settings:
        day, offices = self.world.day, self.world.of("office")
        bounds = {name: float(getattr(day.bounds, name)) for name in day.bounds.__struct_fields__}
        return replace(
            base(),
            node=self.node,
            role=self.role,
            ip=self.ip,
            zone=self.zone,
            region=day.region(self.zone),
            zones={zone: day.region(zone) for zone in day.zones},
            seeds=tuple((m.ip, 8262) for m in offices[:3]),
            bootstrap=self.starts == 0 and not self.joined,
            counted=self.role != "counter",
            beat=float(day.beat),
            disk_mb=day.disk_mb if self.role == "depot" else 0.0,
            bounds=replace(base().bounds, **bounds),
        )

    def hup(self) -> None:
        """SIGHUP: the process reloads its settings, which have not changed in any relevant way."""
        if self.proc is not None:
            self.proc.event(self.proc.role.apply_settings, self.settings())

    def start(self) -> None:
        """Starts the process unless it runs or a fault keeps the machine down."""
        if self.proc is None and not self.downs:
            self.power = True
            self.world.note("up", self.node, self.starts)
            self.proc = PROCESSES[self.role](self.world, self)
            self.starts += 1
            self.proc.begin()
            if self.still:
                self.proc.freeze(True)

    def over(self, crashed: bool, power: bool = False) -> None:
        """Ends the process at once. `power`: the machine loses power, and all that isn't on its disk."""
        proc = self.proc
        if power:
            self.power = False
            self.losses += 1
        if proc is None:
            return
        self.proc = None
        self.world.note("down", self.node)
        proc.die(notify=not power)
        if proc.writing is not None and self.draw.random() < 0.5:
            proc.work()  # the transaction in progress reached the disk
        proc.writing = None

    def ended(self, proc: Proc) -> None:
        """Called when the process has exited or been killed after SIGTERM: the platform restarts it."""
        if self.proc is proc:
            self.over(False)
            least, most = RESTART_DELAY
            self.world.agenda.after(least + (most - least) * self.draw.random(), self.start)

    def down(self, power: bool, wipe: bool = False) -> None:
        """Takes the machine down until `back`. `wipe`: its disk is replaced by an empty one."""
        self.downs += 1
        self.over(True, power)
        if wipe:
            self.new_disk()

    def back(self) -> None:
        """Ends one `down`; the process starts when no other fault keeps the machine down."""
        self.downs -= 1
        self.start()

    def freeze(self, still: bool) -> None:
        """Adds (True) or removes (False) a fault that freezes the process."""
        self.still += 1 if still else -1
        if self.proc is not None and self.still == (1 if still else 0):
            self.proc.freeze(still)

    def term(self) -> None:
        """SIGTERM, followed by SIGKILL if the process has not exited within the grace period."""
        if (proc := self.proc) is None or proc.leaving:
            return
        proc.leaving = True
        proc.event(proc.term)
        self.world.agenda.after(float(self.world.day.bounds.grace), self.ended, proc)


class Proc:
    """One process, from start to exit: runs a role as Shell does."""

    kind: type[RoleBase] = RoleBase

    def __init__(self, world: World, machine: Machine) -> None:
        self.world, self.machine, self.node, self.agenda = world, machine, machine.node, world.agenda
        self.alive, self.still, self.leaving = True, False, False
        self.later: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.unread: dict[End, None] = {}
        self.all: dict[End, None] = {}
        self.dialling: dict[Place, None] = {}
        self.ticking: Entry | None = None
        self.turns = 0
        self.tick_at = 0.0
        self.writing: Any = None  # the transaction in progress
        self.work: Callable[[], Any] = lambda: None
        self.role = self.make(machine.settings(), int(machine.wall_clock() * 1000), self.now())

    def make(self, settings: Settings, life: int, now: float) -> Any:
        """Creates the role. `life`: number of the process incarnation."""
        raise NotImplementedError

    def now(self) -> float:
        return self.machine.clock_offset + self.agenda.now

    def begin(self) -> None:
        self.agenda.after(PULSE * self.machine.draw.random(), self.event, self.keep_pulse)
        self.event(self.time_passes)

    # ---- events

    def event(self, call: Callable[..., Any], *fields: Any) -> None:
        """Handles an event now, or on resumption if the process is frozen; ignored after its exit."""
        if not self.alive:
            return
        if self.still:
            self.later.append((call, fields))
        else:
            self.role.clock(self.now())
            call(*fields)

    def after(self, seconds: float, call: Callable[..., Any], *fields: Any) -> Entry:
        return self.agenda.after(seconds, self.event, call, *fields)

    def readable(self, end: End) -> None:
        """Called when a connection has data."""
        if self.alive:
            if self.still:
                self.unread[end] = None
            else:
                end.read()

    def freeze(self, still: bool) -> None:
        self.still = still
        if still:
            return
        later = [*self.later, *[(end.read, ()) for end in self.unread]]
        self.later, self.unread = [], {}
        self.machine.draw.shuffle(later)
        for call, fields in later:
            self.event(call, *fields)

    def check_invariants(self) -> None:
        """Reports counters of the role that must be zero as problems of the scenario."""
        if count := self.role.figures().get("begun_after_end", 0):
            problem = f"{count} deliveries were about to go out after their message's end was known"
            self.world.problems.append((self.agenda.now, self.node, problem, ""))

    def die(self, notify: bool) -> None:
        """Ends the process. `notify`: the kernel still closes its connections, so peers see it."""
        self.check_invariants()
        self.alive = False
        for end in list(self.all):
            end.drop(notify)

    # ---- running the role, as Shell does

    def guarded(self, handler: Callable[..., Any], *fields: Any) -> None:
        """Calls a handler of the role; an exception is recorded as a problem."""
        try:
            handler(*fields)
        except Exception as problem:  # noqa: BLE001 - as in Shell, only that peer message is lost
            if len(self.world.problems) < MAX_PROBLEMS:
                where = traceback.format_exc(limit=-3)
                self.world.problems.append((self.agenda.now, self.node, repr(problem), where))

    def settle(self, turn: bool = True) -> None:
        """Lets the role act on what it received. `turn`: the input may change when its next tick is due."""
        role = self.role
        role.clock(self.now())
        self.guarded(role.settle)
        self.perform()
        for place in role.wanted:
            if place not in self.dialling:
                self.dialling[place] = None
                self.agenda.after(0.0, self.event, self.dial, place, RECONNECT_DELAY)
        if turn and self.tick_at > self.agenda.now:
            self.tick_in(0.0)

    def perform(self) -> None:
        """Executes the commands that the role has queued."""

    def tick_in(self, seconds: float) -> None:
        if self.ticking is not None:
            self.ticking.cancel()
        self.tick_at = self.agenda.now + seconds
        self.ticking = self.agenda.after(seconds, self.event, self.time_passes)

    def time_passes(self) -> None:
        """Runs the role's tick and schedules the next one."""
        self.tick_at = self.agenda.now
        self.guarded(self.role.tick)
        self.settle(False)
        self.tick_in(max(0.002, min(self.role.next_at(), self.role.now + TICK_INTERVAL) - self.now()))

    def keep_pulse(self) -> None:
        """Sends heartbeats on all links and closes silent ones."""
        now, self.turns = self.now(), (self.turns + 1) % SLOW_FACTOR
        for number, end in enumerate(list(self.all)):
            if now - end.last_received > SILENT:
                end.close()
            elif number % SLOW_FACTOR == self.turns or not self.role.needs_few_heartbeats(end):
                end.send("pulse", self.role.heartbeat(end))
        self.after(PULSE + 0.002 * self.machine.draw.random(), self.keep_pulse)

    # ---- links

    def dial(self, place: Place, pause: float) -> None:
        if place not in self.role.wanted:
            self.dialling.pop(place, None)
            return
        began, net = self.agenda.now, self.world.net
        target = self.world.by_ip.get(place[0])
        way = net.delay(self.node, target.node) if target is not None else 0.0
        # an unanswered SYN is retransmitted after 1 s, which is later than this time-out
        lost = [self.agenda.after(CONNECT_TIMEOUT, self.event, self.dialled, place, began, pause)]
        if target is not None and net.open(self.node, target.node):
            self.agenda.after(way, self.syn, target, place, began, pause, way, lost)

    def syn(
        self, target: Machine, place: Place, began: float, pause: float, way: float, lost: list[Entry]
    ) -> None:
        if not target.power or not self.world.net.open(target.node, self.node) or not self.alive:
            return
        back = self.world.net.delay(target.node, self.node)
        if way + back >= CONNECT_TIMEOUT:
            return
        lost[0].cancel()
        self.agenda.after(back, self.event, self.connected, target.proc, place, began, pause)

    def connected(self, other: Proc | None, place: Place, began: float, pause: float) -> None:
        """Handles the answer to a SYN: the port is closed, or this process was frozen beyond the time-out, or
        the connection is up."""
        if other is None or (self.agenda.now - began > CONNECT_TIMEOUT and self.machine.draw.random() < 0.5):
            self.dialled(place, began, pause)
            return
        end, far = End(self, other.node), End(other, self.node)
        end.other, far.other = far, end
        end.accepted, end.dialled = True, (place, began, pause)
        if not other.alive:
            far.over = True
        self.all[end] = None
        end.send("hello", self.role.hello())
        self.agenda.after(self.world.net.delay(self.node, other.node), other.accept, far)

    def accept(self, end: End) -> None:
        """The kernel has accepted the connection; the process handles it as its next event."""
        self.event(self.accepted, end)

    def accepted(self, end: End) -> None:
        end.accepted = True
        end.last_received = self.now()
        self.all[end] = None
        end.send("hello", self.role.hello())
        end.read()

    def hung_up(self, end: End) -> None:
        if end.dialled is not None and self.alive:
            self.dialled(*end.dialled)

    def dialled(self, place: Place, began: float, pause: float) -> None:
        """A dial has failed, or its link has ended: dials again after a pause in seconds."""
        if self.agenda.now - began > 2.0:
            pause = RECONNECT_DELAY
        self.after(pause, self.dial, place, min(2.0 * pause, MAX_RECONNECT_DELAY))

    # ---- exit

    def term(self) -> None:
        """Handles SIGTERM."""
        raise NotImplementedError

    def exit(self) -> None:
        self.machine.ended(self)


DISKS: dict[str, Callable[[str], Any]] = {}
PROCESSES: dict[str, Callable[[Any, Machine], Proc]] = {}
