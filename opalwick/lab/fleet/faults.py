"""Fault injection among members: each fault is a generator, as in `lab/faults.py`; `kinds.py` describes them.

Each injected fault is recorded in the fleet's history, from which the judge derives the ground truth.
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
    LinkFault,
)
from opalwick.lab.world.world import Processes, World

STARVED = 0.02  # seconds of delay at most of a starved member, for each process that shares its core

Block = tuple[Iterable[int], Iterable[int]]


class FleetProcesses(Processes, Protocol):
    """Control of a fleet's processes, beyond what each scenario has."""

    def start_old(self, member: int) -> None:
        """Starts it with the list of workers as of the start of the scenario."""

    def twin(self, member: int, there: bool) -> None: ...  # a second process under its name

    def starve(self, member: int, size: float) -> None:
        """Leaves it one part in `size` + 1 of a core; 0: the whole core again."""

    def memory(self, member: int, megabytes: float) -> None: ...  # from the next start on

    def by_hand(self, member: int, worker: str, out: bool) -> None: ...  # as an operator does


class Scene:
    """A fleet's scenario as faults see it."""

    def __init__(self, day: FleetDay, world: World, processes: FleetProcesses, rows: Ledger) -> None:
        self.day, self.world, self.processes, self.rows = day, world, processes, rows
        self.link_fault_count = 0
        self.skipped: list[str] = []  # kinds of faults that this clock does not support
        self.pause_counts = [0] * day.members  # by member: how many faults pause it
        self.down_counts = [0] * day.members

    def note(self, what: str, *fields: Any) -> None:
        self.rows.note(self.world.agenda.now, what, *fields)

    def begin(self, clock: str, on_progress: Callable[[float], None] = lambda _: None) -> None:
        """Schedules the faults. `on_progress`: called every 5 s with the elapsed seconds of the scenario."""
        agenda = self.world.agenda

        def progress() -> None:
            on_progress(agenda.now)
            agenda.after(5.0, progress)

        agenda.after(5.0, progress)
        self.world.clients.begin()
        for i, fault in enumerate(self.day.faults):
            if clock not in KINDS[fault.kind].clocks:
                self.skipped.append(fault.kind)
                continue
            draw = self.world.draws.of(f"fleet fault/{i}/{fault.kind}")
            set_up(self.world, fault, STEPS[fault.kind](self, fault, draw))

    # ---- targets of a fault

    def hit(self, fault: Fault, draw: random.Random) -> list[int]:
        found = self.day.named(fault.of) or part(draw, list(range(self.day.members)), fault.part)
        self.note("hit", fault.kind, "members", found)
        return found

    def workers(self, fault: Fault, draw: random.Random) -> list[Any]:
        found = part(draw, list(self.world.workers.values()), fault.part)
        self.note("hit", fault.kind, "workers", [w.name for w in found])
        return found

    def blocks(self, fault: Fault, draw: random.Random, both: bool) -> list[Block]:
        """The links that it affects, as (from, to)."""
        every = list(range(self.day.members))
        if fault.of or fault.to:
            senders, receivers = self.day.named(fault.of) or every, self.day.named(fault.to) or every
            return [(senders, receivers), (receivers, senders)] if both else [(senders, receivers)]
        if fault.part >= 1.0:
            return [(every, every)]
        found: dict[int, set[int]] = {}
        for i in every:
            for j in every:
                # one draw per pair where both directions are affected, else one per direction
                if (i < j if both else i != j) and draw.random() < fault.part:
                    found.setdefault(i, set()).add(j)
                    if both:
                        found.setdefault(j, set()).add(i)
        return [([i], receivers) for i, receivers in found.items()]

    # ---- effects of a fault

    def begin_link_fault(self, link_fault: LinkFault, partitions: bool) -> int:
        """Returns its number. `partitions`: no message passes, which the history must show to the judge."""
        self.link_fault_count += 1
        self.world.link_faults.active.append(link_fault)
        if delay := getattr(link_fault, "by", 0.0) or isinstance(link_fault, Doubled):
            self.note("late", self.link_fault_count, float(delay))  # seconds at most
        if partitions:
            self.note(
                "cut",
                self.link_fault_count,
                [[sorted(senders), sorted(receivers)] for senders, receivers in link_fault.blocks],
            )
        return self.link_fault_count

    def end_link_fault(self, number: int, link_fault: LinkFault, partitions: bool) -> None:
        self.world.link_faults.active.remove(link_fault)
        if partitions or isinstance(link_fault, (Late, Doubled)):
            self.note("healed", number)

    def pause(self, member: int, still: bool) -> None:
        """Pauses are counted, as two faults may pause the same member."""
        self.pause_counts[member] += 1 if still else -1
        if self.pause_counts[member] == (1 if still else 0):
            self.processes.pause(member, still)
            self.note("paused" if still else "resumed", member)

    def starve(self, member: int, size: float) -> None:
        """The judge of the four rules allows for the delay that is recorded here."""
        self.processes.starve(member, size)
        world = self.world
        world.ledger.note(world.agenda.now, "starved", world.names[member], STARVED * size)

    def kill(self, member: int) -> None:
        self.down_counts[member] += 1
        if self.down_counts[member] == 1:
            if self.pause_counts[member]:
                self.note("resumed", member)
            self.processes.kill(member)

    def start_again(self, member: int, initial_list: bool = False) -> None:
        self.down_counts[member] -= 1
        if not self.down_counts[member]:
            self.processes.start_old(member) if initial_list else self.processes.start(member)
            if self.pause_counts[member]:
                self.processes.pause(member, True)
                self.note("paused", member)


Make = Callable[[Scene, Fault, random.Random], Steps]
STEPS: dict[str, Make] = {}


def fault(steps: Make) -> Make:
    STEPS[steps.__name__] = steps
    return steps


def _size(fault: Fault) -> float:
    return fault.size or KINDS[fault.kind].size


# ---- messages between members


def _during(scene: Scene, link_fault: LinkFault, partitions: bool = False) -> Steps:
    number = scene.begin_link_fault(link_fault, partitions)
    yield
    scene.end_link_fault(number, link_fault, partitions)


def _link_fault(
    kind: str,
    link_fault: type[LinkFault],
    size_attribute: str = "",
    both: bool = False,
    partitions: bool = False,
    **more: Any,
) -> None:
    def steps(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
        made = link_fault(scene.blocks(fault, draw, both))
        for name, value in {**more, **({size_attribute: _size(fault)} if size_attribute else {})}.items():
            setattr(made, name, value)
        return _during(scene, made, partitions)

    STEPS[kind] = steps


_link_fault("loss", Loss, "share")
_link_fault("bursts", Bursts, "share")
_link_fault("one_way", Cut, partitions=True)
_link_fault("cut", Cut, both=True, partitions=True)
_link_fault("late", Late, "by", both=True)
_link_fault("uneven", Late, "by")
_link_fault("reorder", Late, "by", spread=True)
_link_fault("doubled", Doubled, "share")
_link_fault("changed", Changed, "share")
_link_fault("large_lost", LargeLost, "most")
_link_fault("kind_lost", KindLost)


@fault
def mute(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    yield from _during(scene, Cut([(scene.hit(fault, draw), range(scene.day.members))]), True)


@fault
def deaf(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    yield from _during(scene, Cut([(range(scene.day.members), scene.hit(fault, draw))]), True)


@fault
def alone(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit, every = scene.hit(fault, draw), range(scene.day.members)
    yield from _during(scene, Cut([(hit, every), (every, hit)]), True)


@fault
def ring(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    n = scene.day.members
    ahead = [([i], [(i - k) % n for k in range(1, (n + 1) // 2)]) for i in range(n)]
    yield from _during(scene, Cut(ahead), True)


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
    yield from _during(scene, _sides(scene, max(2, round(_size(fault))), draw), True)


@fault
def flap(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    cut, size, active_number = _sides(scene, 2, draw), _size(fault), [0]
    until = scene.world.agenda.now + fault.lasts

    def turn() -> None:
        if active_number[0]:
            scene.end_link_fault(active_number[0], cut, True)
            active_number[0] = 0
        elif scene.world.agenda.now < until:
            active_number[0] = scene.begin_link_fault(cut, True)
        if scene.world.agenda.now < until:
            scene.world.agenda.after(size, turn)

    turn()
    yield
    if active_number[0]:
        scene.end_link_fault(active_number[0], cut, True)
        active_number[0] = 0


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

    def pause_one(i: int) -> None:
        if agenda.now < until:
            scene.pause(i, True)
            agenda.after(size, resume_one, i)

    def resume_one(i: int) -> None:
        scene.pause(i, False)
        agenda.after(draw.expovariate(1.0 / size), pause_one, i)

    for i in hit:
        agenda.after(draw.random() * 2.0 * size, pause_one, i)
    yield


def _killed(scene: Scene, fault: Fault, draw: random.Random, initial_list: bool) -> Steps:
    for i in scene.hit(fault, draw):
        when = draw.random() * max(0.0, fault.lasts - _size(fault))
        scene.world.agenda.after(when, scene.kill, i)
        scene.world.agenda.after(when + _size(fault), scene.start_again, i, initial_list)
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
        scene.start_again(i)


@fault
def late_start(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return lost(scene, fault, draw)


@fault
def restart(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for i in hit:
        scene.kill(i)
        scene.world.agenda.after(0.05 + draw.random() * _size(fault), scene.start_again, i)
    yield


@fault
def rolling(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for place, i in enumerate(hit):
        # in ten steps, or one by one where there are fewer members
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
    # work that is still queued stays late for a while
    for i in hit:
        scene.starve(i, 0.0)


@fault
def memory(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    hit = scene.hit(fault, draw)
    for i in hit:
        scene.processes.memory(i, _size(fault))
        scene.kill(i)
        scene.start_again(i)
    yield


@fault
def clock(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """Set at the start of the scenario; a clock that changes its rate takes several faults."""
    for i in scene.hit(fault, draw):
        scene.world.clock_rate[i] = _size(fault)
        scene.kill(i)
        scene.start_again(i)
    yield


# ---- links to workers and to the list service


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
