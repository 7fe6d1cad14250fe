"""What goes wrong among members: each fault is a generator, as in `lab/faults.py`; `kinds.py` tells of each.

What was done is noted in the fleet's own history, so that the judge knows what was true.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from opalwick.lab.draws import part
from opalwick.lab.faults import Steps, cut_links, hold, set_up
from opalwick.lab.fleet.day import Fault, FleetDay
from opalwick.lab.fleet.kinds import KINDS, WORKERS
from opalwick.lab.ledger import Ledger
from opalwick.lab.world.ways import (
    Bursts,
    Changed,
    Cut,
    Doubled,
    KindLost,
    LargeLost,
    Late,
    Loss,
    Spell,
)
from opalwick.lab.world.world import Processes, World

STARVED = 0.02  # seconds by which a starved member is late at most, for each that shares its core

Block = tuple[Iterable[int], Iterable[int]]


class FleetProcesses(Processes, Protocol):
    """What a fault may do to a fleet's processes, beyond what any day's may."""

    def start_old(self, member: int) -> None:
        """With the list of the day's start."""

    def twin(self, member: int, there: bool) -> None: ...

    def starve(self, member: int, size: float) -> None:
        """It gets a part of a core in `size` and one more; 0: all of it again."""

    def memory(self, member: int, megabytes: float) -> None: ...

    def by_hand(self, member: int, worker: str, out: bool) -> None: ...


class Scene:
    """A fleet's day as faults see it."""

    def __init__(self, day: FleetDay, world: World, processes: FleetProcesses, rows: Ledger) -> None:
        self.day, self.world, self.processes, self.rows = day, world, processes, rows
        self.spells = 0
        self.skipped: list[str] = []  # faults that this clock does not have
        self.pauses = [0] * day.members  # how many faults hold each still
        self.downs = [0] * day.members

    def note(self, what: str, *fields: Any) -> None:
        self.rows.note(self.world.agenda.now, what, *fields)

    def begin(self, clock: str, told: Callable[[float], None] = lambda _: None) -> None:
        """`told`: called now and then with the seconds of the day that are over."""
        agenda = self.world.agenda

        def progress() -> None:
            told(agenda.now)
            agenda.after(5.0, progress)

        agenda.after(5.0, progress)
        self.world.clients.begin()
        for i, fault in enumerate(self.day.faults):
            if clock not in KINDS[fault.kind].clocks:
                self.skipped.append(fault.kind)
                continue
            draw = self.world.draws.of(f"fleet fault/{i}/{fault.kind}")
            set_up(self.world, fault, STEPS[fault.kind](self, fault, draw))

    # ---- whom it meets

    def hit(self, fault: Fault, draw: random.Random) -> list[int]:
        found = self.day.named(fault.of) or part(draw, list(range(self.day.members)), fault.part)
        self.note("hit", fault.kind, "members", found)
        return found

    def workers(self, fault: Fault, draw: random.Random) -> list[Any]:
        found = part(draw, list(self.world.workers.values()), fault.part)
        self.note("hit", fault.kind, "workers", [w.name for w in found])
        return found

    def blocks(self, fault: Fault, draw: random.Random, both: bool) -> list[Block]:
        """The ways that it meets, as (from, to)."""
        every = list(range(self.day.members))
        if fault.of or fault.to:
            ones, others = self.day.named(fault.of) or every, self.day.named(fault.to) or every
            return [(ones, others), (others, ones)] if both else [(ones, others)]
        if fault.part >= 1.0:
            return [(every, every)]
        found: dict[int, set[int]] = {}
        for i in every:
            for j in every:
                # one draw a pair where both ways are met, else one a way
                if (i < j if both else i != j) and draw.random() < fault.part:
                    found.setdefault(i, set()).add(j)
                    if both:
                        found.setdefault(j, set()).add(i)
        return [([i], others) for i, others in found.items()]

    # ---- what it does

    def lay(self, spell: Spell, cuts: bool) -> int:
        """`cuts`: nothing comes through, which the judge has to know."""
        self.spells += 1
        self.world.ways.spells.append(spell)
        if late := getattr(spell, "by", 0.0) or isinstance(spell, Doubled):
            self.note("late", self.spells, float(late))  # seconds at most
        if cuts:
            self.note("cut", self.spells, [[sorted(ones), sorted(others)] for ones, others in spell.blocks])
        return self.spells

    def lift(self, number: int, spell: Spell, cuts: bool) -> None:
        self.world.ways.spells.remove(spell)
        if cuts or isinstance(spell, (Late, Doubled)):
            self.note("healed", number)

    def pause(self, member: int, still: bool) -> None:
        """Two faults may hold the same one."""
        self.pauses[member] += 1 if still else -1
        if self.pauses[member] == (1 if still else 0):
            self.processes.pause(member, still)
            self.note("paused" if still else "resumed", member)

    def starve(self, member: int, size: float) -> None:
        """The judge of the four rules allows it so much."""
        self.processes.starve(member, size)
        world = self.world
        world.ledger.note(world.agenda.now, "starved", world.names[member], STARVED * size)

    def kill(self, member: int) -> None:
        self.downs[member] += 1
        if self.downs[member] == 1:
            if self.pauses[member]:
                self.note("resumed", member)
            self.processes.kill(member)

    def back(self, member: int, old: bool = False) -> None:
        self.downs[member] -= 1
        if not self.downs[member]:
            self.processes.start_old(member) if old else self.processes.start(member)
            if self.pauses[member]:
                self.processes.pause(member, True)
                self.note("paused", member)


Make = Callable[[Scene, Fault, random.Random], Steps]
STEPS: dict[str, Make] = {}


def fault(steps: Make) -> Make:
    STEPS[steps.__name__] = steps
    return steps


def _size(fault: Fault) -> float:
    return fault.size or KINDS[fault.kind].size


# ---- words on their ways


def _while(scene: Scene, spell: Spell, cuts: bool = False) -> Steps:
    number = scene.lay(spell, cuts)
    yield
    scene.lift(number, spell, cuts)


def _ways(
    kind: str, spell: type[Spell], figure: str = "", both: bool = False, cuts: bool = False, **more: Any
) -> None:
    def steps(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
        made = spell(scene.blocks(fault, draw, both))
        for name, value in {**more, **({figure: _size(fault)} if figure else {})}.items():
            setattr(made, name, value)
        return _while(scene, made, cuts)

    STEPS[kind] = steps


_ways("loss", Loss, "share")
_ways("bursts", Bursts, "share")
_ways("one_way", Cut, cuts=True)
_ways("cut", Cut, both=True, cuts=True)
_ways("late", Late, "by", both=True)
_ways("uneven", Late, "by")
_ways("reorder", Late, "by", spread=True)
_ways("doubled", Doubled, "share")
_ways("changed", Changed, "share")
_ways("large_lost", LargeLost, "most")
_ways("kind_lost", KindLost)


@fault
def mute(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    yield from _while(scene, Cut([(scene.hit(fault, draw), range(scene.day.members))]), True)


@fault
def deaf(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    yield from _while(scene, Cut([(range(scene.day.members), scene.hit(fault, draw))]), True)


@fault
def alone(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit, every = scene.hit(fault, draw), range(scene.day.members)
    yield from _while(scene, Cut([(hit, every), (every, hit)]), True)


@fault
def ring(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    n = scene.day.members
    ahead = [([i], [(i - k) % n for k in range(1, (n + 1) // 2)]) for i in range(n)]
    yield from _while(scene, Cut(ahead), True)


def _sides(scene: Scene, count: int, draw: random.Random) -> Cut:
    n, groups = scene.day.members, len(scene.day.groups)
    if count == groups:
        sides = [[i for i in range(n) if i % groups == side] for side in range(count)]
    else:
        order = draw.sample(range(n), n)
        sides = [order[side::count] for side in range(count)]
    scene.note("hit", "sides", "members", sides)
    return Cut([(one, other) for one in sides for other in sides if one is not other])


@fault
def sides(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    yield from _while(scene, _sides(scene, max(2, round(_size(fault))), draw), True)


@fault
def flap(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    cut, size, laid = _sides(scene, 2, draw), _size(fault), [0]
    until = scene.world.agenda.now + fault.lasts

    def turn() -> None:
        if laid[0]:
            scene.lift(laid[0], cut, True)
            laid[0] = 0
        elif scene.world.agenda.now < until:
            laid[0] = scene.lay(cut, True)
        if scene.world.agenda.now < until:
            scene.world.agenda.after(size, turn)

    turn()
    yield
    if laid[0]:
        scene.lift(laid[0], cut, True)
        laid[0] = 0


# ---- processes


@fault
def stop(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for i in hit:
        scene.pause(i, True)
    yield
    for i in hit:
        scene.pause(i, False)


@fault
def stops(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit, size, agenda = scene.hit(fault, draw), _size(fault), scene.world.agenda
    until = agenda.now + fault.lasts

    def still(i: int) -> None:
        if agenda.now < until:
            scene.pause(i, True)
            agenda.after(size, moves, i)

    def moves(i: int) -> None:
        scene.pause(i, False)
        agenda.after(draw.expovariate(1.0 / size), still, i)

    for i in hit:
        agenda.after(draw.random() * 2.0 * size, still, i)
    yield


def _killed(scene: Scene, fault: Fault, draw: random.Random, old: bool) -> Steps:
    for i in scene.hit(fault, draw):
        when = draw.random() * max(0.0, fault.lasts - _size(fault))
        scene.world.agenda.after(when, scene.kill, i)
        scene.world.agenda.after(when + _size(fault), scene.back, i, old)
    yield


@fault
def kill(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _killed(scene, fault, draw, False)


@fault
def kill_old(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _killed(scene, fault, draw, True)


@fault
def lost(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for i in hit:
        scene.kill(i)
    yield
    for i in hit:
        scene.back(i)


@fault
def late_start(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return lost(scene, fault, draw)


@fault
def restart(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for i in hit:
        scene.kill(i)
        scene.world.agenda.after(0.05 + draw.random() * _size(fault), scene.back, i)
    yield


@fault
def rolling(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for place, i in enumerate(hit):
        # ten steps, or one by one where they are fewer
        step = place * min(10, len(hit)) // len(hit) / min(10, len(hit))
        scene.world.agenda.after(step * fault.lasts, scene.processes.end, i)
    yield


@fault
def twin(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for i in hit:
        scene.processes.twin(i, True)
    yield
    for i in hit:
        scene.processes.twin(i, False)


@fault
def starve(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for i in hit:
        scene.starve(i, _size(fault))
    yield
    # what it has not got done yet goes on being late for a while
    for i in hit:
        scene.starve(i, 0.0)


@fault
def memory(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for i in hit:
        scene.processes.memory(i, _size(fault))
        scene.kill(i)
        scene.back(i)
    yield


@fault
def clock(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """From the day's start: a clock that changes its rate is several faults."""
    for i in scene.hit(fault, draw):
        scene.world.clock_rate[i] = _size(fault)
        scene.kill(i)
        scene.back(i)
    yield


# ---- ways to workers and to the list


@fault
def workers_cut(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    world, hit = scene.world, scene.hit(fault, draw)
    links = [(i, w) for i in hit for w in part(draw, list(world.workers), _size(fault))]
    yield from cut_links(world, links, world.links.silent)


@fault
def list_cut(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit, listing = scene.hit(fault, draw), scene.world.listing
    listing.cut.update(hit)
    for i in hit:
        listing.drop(i)
    yield
    listing.cut.difference_update(hit)


# ---- workers


@fault
def bad_worker(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    yield from hold(scene.workers(fault, draw))


@fault
def cold_worker(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    for w in scene.workers(fault, draw):
        scene.world.crash(w, _size(fault))
    yield


@fault
def by_hand(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.workers(fault, draw)
    by = int(draw.random() * scene.day.members)
    for w in hit:
        scene.note("by_hand", by, w.name, True)
        scene.processes.by_hand(by, w.name, True)
    yield
    for w in hit:
        scene.note("by_hand", by, w.name, False)
        scene.processes.by_hand(by, w.name, False)


assert STEPS.keys() == KINDS.keys() and KINDS.keys() >= WORKERS
