"""A machine, and the process on it: what `post/link.py`'s Shell is to a role, on the virtual clock.

A process that stands still hears nothing and does nothing; what came meanwhile, and its own timers that ran
out, reach it as it wakes, in an order that is drawn: which of its greenlets a loop runs first is nobody's
promise.
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
from opalwick.post.station import RoleBase

if TYPE_CHECKING:
    from opalwick.lab.post.world import World

Place = tuple[str, int]
PORT = 7300
UNIX = 1.8e9  # the time of day as a day begins
AGAIN = (0.3, 0.8)  # s until the platform starts a process that has ended
MOST_PROBLEMS = 50
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
    """Reading a file takes milliseconds, and each start of a process reads one."""
    return parse(_BASE, "lab")


@cache
def quiet(role: type[RoleBase]) -> type[RoleBase]:
    """The same role, whose events are kept instead of printed."""

    def event(self: Any, number: int, **fields: Any) -> None:
        self.__dict__.setdefault("lab_events", []).append((self.now, number, fields))

    return type(role.__name__, (role,), {"event": event})


class Machine:
    def __init__(self, world: World, node: str, role: str, zone: str, number: int) -> None:
        self.world, self.node, self.role, self.zone, self.number = world, node, role, zone, number
        self.ip = f"10.{1 + world.day.zones.index(zone)}.0.{10 + number}"
        self.draw = world.draws.of(f"machine/{node}")
        self.ahead = 1000.0 + 5000.0 * self.draw.random()  # its steady clock's start
        self.step = 0.04 * self.draw.random() - 0.02  # its time of day against the true one
        self.power = True
        self.losses = 0  # of power
        self.starts = 0
        self.joined = False  # later than the others
        self.proc: Proc | None = None
        self.disk: Any = None
        self.disks = 0
        self.downs = 0  # faults that hold it down
        self.still = 0  # faults that hold its process still
        self.sync, self.stalls = float(world.day.sync), 0  # seconds of a sync, faults that stall it
        self.waits: list[Callable[[], None]] = []  # syncs that a stall holds up
        self.new_disk()

    # ---- its clocks and its disk

    def steady(self) -> float:
        return self.ahead + self.world.agenda.now

    def unix(self) -> float:
        return UNIX + self.world.agenda.now + self.step

    def new_disk(self) -> None:
        self.disks += 1
        if self.role in DISKS:
            self.disk = DISKS[self.role](f"{self.node}.{self.disks}")
            self.world.disk_made(self)

    def on_disk(self, proc: Proc, work: Callable[[], Any], over: Callable[[Any], None]) -> None:
        """One transaction: there, and told, as its sync ends; a process that dies meanwhile may leave it."""

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
        self.stalls += 1 if there else -1
        if not self.stalls:
            waits, self.waits = self.waits, []
            for done in waits:
                self.world.agenda.after(0.0, done)

    # ---- what befalls it

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
        """Its settings file has changed in nothing that matters, and its process is told."""
        if self.proc is not None:
            self.proc.event(self.proc.role.apply_settings, self.settings())

    def start(self) -> None:
        if self.proc is None and not self.downs:
            self.power = True
            self.world.note("up", self.node, self.starts)
            self.proc = PROCESSES[self.role](self.world, self)
            self.starts += 1
            self.proc.begin()
            if self.still:
                self.proc.freeze(True)

    def over(self, crashed: bool, power: bool = False) -> None:
        """Its process is gone. `power`: with all that the machine had not on its disk."""
        proc = self.proc
        if power:
            self.power = False
            self.losses += 1
        if proc is None:
            return
        self.proc = None
        self.world.note("down", self.node)
        proc.die(told=not power)
        if proc.writing is not None and self.draw.random() < 0.5:
            proc.work()  # its last transaction got that far
        proc.writing = None

    def ended(self, proc: Proc) -> None:
        """By itself, as it was told to: the platform starts it again."""
        if self.proc is proc:
            self.over(False)
            least, most = AGAIN
            self.world.agenda.after(least + (most - least) * self.draw.random(), self.start)

    def down(self, power: bool, wipe: bool = False) -> None:
        self.downs += 1
        self.over(True, power)
        if wipe:
            self.new_disk()

    def back(self) -> None:
        self.downs -= 1
        self.start()

    def freeze(self, still: bool) -> None:
        self.still += 1 if still else -1
        if self.proc is not None and self.still == (1 if still else 0):
            self.proc.freeze(still)

    def term(self) -> None:
        """SIGTERM, and SIGKILL where it is there too long."""
        if (proc := self.proc) is None or proc.leaving:
            return
        proc.leaving = True
        proc.event(proc.term)
        self.world.agenda.after(float(self.world.day.bounds.grace), self.ended, proc)


class Proc:
    """One process, from its start to its end."""

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
        self.writing: Any = None  # what is on its way to the disk
        self.work: Callable[[], Any] = lambda: None
        self.role = self.make(machine.settings(), int(machine.unix() * 1000), self.now())

    def make(self, settings: Settings, life: int, now: float) -> Any:
        raise NotImplementedError

    def now(self) -> float:
        return self.machine.ahead + self.agenda.now

    def begin(self) -> None:
        self.agenda.after(PULSE * self.machine.draw.random(), self.event, self.keep_pulse)
        self.event(self.time_passes)

    # ---- what reaches it

    def event(self, call: Callable[..., Any], *fields: Any) -> None:
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
        """What the role has counted and must never be so is a fault of the day."""
        if count := self.role.figures().get("begun_after_end", 0):
            problem = f"{count} deliveries were about to go out after their message's end was known"
            self.world.problems.append((self.agenda.now, self.node, problem, ""))

    def die(self, told: bool) -> None:
        self.check_invariants()
        self.alive = False
        for end in list(self.all):
            end.drop(told)

    # ---- the role, as Shell has it

    def guarded(self, hear: Callable[..., Any], *told: Any) -> None:
        try:
            hear(*told)
        except Exception as problem:  # noqa: BLE001 - as Shell: it costs that word
            if len(self.world.problems) < MOST_PROBLEMS:
                where = traceback.format_exc(limit=-3)
                self.world.problems.append((self.agenda.now, self.node, repr(problem), where))

    def settle(self, turn: bool = True) -> None:
        """`turn`: something came in that may change what is next."""
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
        """Carries out what the role left behind."""

    def tick_in(self, seconds: float) -> None:
        if self.ticking is not None:
            self.ticking.cancel()
        self.tick_at = self.agenda.now + seconds
        self.ticking = self.agenda.after(seconds, self.event, self.time_passes)

    def time_passes(self) -> None:
        self.tick_at = self.agenda.now
        self.guarded(self.role.tick)
        self.settle(False)
        self.tick_in(max(0.002, min(self.role.next_at(), self.role.now + TICK_INTERVAL) - self.now()))

    def keep_pulse(self) -> None:
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
        # a SYN that gets no answer is said again after a second: later than this gives up
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
        """The answer to a SYN: nobody listens there, or this one stood still for too long, or it is up."""
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
        """Its kernel has taken the connection; the process finds it."""
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
        """A dial has come to nothing, or its link has ended."""
        if self.agenda.now - began > 2.0:
            pause = RECONNECT_DELAY
        self.after(pause, self.dial, place, min(2.0 * pause, MAX_RECONNECT_DELAY))

    # ---- its end

    def term(self) -> None:
        """SIGTERM has come."""
        raise NotImplementedError

    def exit(self) -> None:
        self.machine.ended(self)


DISKS: dict[str, Callable[[str], Any]] = {}
PROCESSES: dict[str, Callable[[Any, Machine], Proc]] = {}
