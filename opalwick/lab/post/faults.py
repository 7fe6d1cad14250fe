"""Fault injection: each kind of fault is a generator, as in `lab/faults.py`; `kinds.py` describes them.

The system tolerates a bounded number of faults: while a machine with data (store or controller) has lost its
disk, no other such machine is made unavailable; and none loses its disk while another one is unavailable or
was so within the last `sync` seconds. All other overlaps are allowed.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any, cast

from opalwick.lab.draws import part
from opalwick.lab.faults import Steps, set_up
from opalwick.lab.post.day import ROLES, Fault
from opalwick.lab.post.kinds import CLOSING, KINDS
from opalwick.lab.post.process import Machine
from opalwick.lab.post.workers import Worker
from opalwick.lab.post.world import World

Make = Callable[["Scene", Fault, random.Random], Steps]
REFILL_LOOK = 0.01  # s between looks at the disk of a store that is refilled
LONGEST_REFILL = 1.5  # s after its return that a store without replicas loses power again
STEPS: dict[str, Make] = {}
Pair = tuple[str, str]


def fault(steps: Make) -> Make:
    """Registers the generator of the kind of fault that has its name."""
    STEPS[steps.__name__] = steps
    return steps


class Scene:
    """Schedules a scenario's faults, chooses their targets and limits their overlap."""

    def __init__(self, world: World) -> None:
        self.world, self.agenda, self.day = world, world.agenda, world.day
        self.unavailable: dict[
            str, tuple[float, int]
        ] = {}  # machines with data: unavailable until then, and by how many faults now
        self.wiped: dict[str, float] = {}  # machines that lost their disks: until when that counts
        for i, one in enumerate(self.day.faults):
            if one.kind in CLOSING:
                at = max(0.0, float(one.at))
                world.after_ack = at, self.closing(one, world.draws.of(f"fault/{i}/{one.kind}"))
        world.on_traffic = self.begin

    def begin(self) -> None:
        """Schedules the faults; their times are relative to the begin of the traffic."""
        start = self.world.begins_at
        if self.world.after_ack is not None:
            at, call = self.world.after_ack
            self.world.after_ack = start + at, call
            # so that a configuration is acknowledged then
            self.agenda.at(start + at, self.world.operator.change)
        for i, one in enumerate(self.day.faults):
            if one.kind not in CLOSING:
                draw = self.world.draws.of(f"fault/{i}/{one.kind}")
                moved = Fault(
                    one.kind, type(one.at)(start + one.at), one.lasts, one.part, one.size, one.of, one.to
                )
                set_up(cast(Any, self.world), moved, STEPS[one.kind](self, one, draw))

    # ---- targets

    def machines(self, fault: Fault, draw: random.Random) -> list[Machine]:
        candidates = self.world.named(fault.of)
        whole = bool(fault.of) and all(name in self.world.machines for name in fault.of)
        return candidates if whole else part(draw, candidates, fault.part)

    def links(self, fault: Fault, draw: random.Random) -> list[Pair]:
        """Links between machines as (from, to), where from is one of the fault's `of`."""
        ones = self.day.named(fault.of) or list(self.world.machines)
        others = self.day.named(fault.to) or list(self.world.machines)
        pairs = dict[Pair, None]()
        for a in ones:
            for b in others:
                if a != b and (b, a) not in pairs:
                    pairs[a, b] = None
        return part(draw, list(pairs), fault.part)

    def workers(self, fault: Fault, draw: random.Random) -> list[Worker]:
        candidates = [
            w
            for w in self.world.workers
            if not fault.of or {w.service.name, w.zone, self.day.region(w.zone)} & set(fault.of)
        ]
        return part(draw, candidates, fault.part)

    # ---- limits on overlapping faults

    def has_data(self, machine: Machine) -> bool:
        """Whether the machine has data, as a store or controller."""
        return machine.role != "counter"

    def tolerated(self, machines: list[Machine], wipe: bool = False) -> list[Machine]:
        """Those of them that may be made unavailable now; at most one with data if `wipe`."""
        now, found = self.agenda.now, []
        for machine in machines:
            if not self.has_data(machine):
                found.append(machine)
                continue
            others = [
                node
                for node, (until, held) in self.unavailable.items()
                if node != machine.node and (held or until > now)
            ]
            wiped = [node for node, until in self.wiped.items() if node != machine.node and until > now]
            if not wiped and not (wipe and others):
                found.append(machine)
                if wipe:
                    break
        return found

    def lose(self, machine: Machine, there: bool) -> None:
        """Adds (`there`) or removes one fault that makes the machine unavailable."""
        if self.has_data(machine):
            _, held = self.unavailable.get(machine.node, (0.0, 0))
            held += 1 if there else -1
            self.unavailable[machine.node] = self.agenda.now + float(self.day.bounds.sync), held
            if machine.node in self.wiped:
                self.wiped[machine.node] = 1e9 if held else self.agenda.now + float(self.day.bounds.sync)

    def record_fault(
        self, kind: str, machines: list[Machine], pairs: list[Pair] | None = None, planned: bool = False
    ) -> Callable[[], None]:
        """Records the begin of a fault; the returned function records its end."""
        for machine in machines:
            self.lose(machine, True)
        number = self.world.fault_started(kind, planned, [m.node for m in machines], pairs or [])

        def end() -> None:
            for machine in machines:
                self.lose(machine, False)
            self.world.fault_ended(number)

        return end

    # ---- processes

    def take_down(
        self, machines: list[Machine], size: float, kind: str, power: bool, wipe: bool = False
    ) -> None:
        for machine in self.tolerated(machines, wipe):
            if wipe and not self.has_data(machine):
                continue
            if wipe:
                self.wiped[machine.node] = 1e9
            end_fault = self.record_fault(kind, [machine])
            machine.down(power, wipe)

            def back(machine: Machine = machine, end_fault: Callable[[], None] = end_fault) -> None:
                machine.back()
                end_fault()

            self.agenda.after(max(0.05, size), back)

    def closing(self, one: Fault, draw: random.Random) -> Callable[[], None]:
        size = one.size or KINDS[one.kind].size

        def call() -> None:
            all_machines = list(self.world.machines.values())
            wiped = draw.choice([m for m in all_machines if self.has_data(m)])
            if one.kind == "wipe_one" and wiped not in self.tolerated([wiped], True):
                wiped = all_machines[0]  # a gateway, which has no disk
            self.world.note("closing", size)
            self.unavailable.clear()
            end_fault = self.record_fault(one.kind, all_machines)
            for machine in all_machines:
                if machine is wiped and one.kind == "wipe_one" and self.has_data(machine):
                    self.wiped[machine.node] = 1e9
                machine.down(one.kind != "kill_all", one.kind == "wipe_one" and machine is wiped)
                self.agenda.after(size + 0.4 * draw.random(), machine.back)
            self.agenda.after(size + 0.4, end_fault)
            self.agenda.after(size + 0.4, self.world.note, "back")

        return call


def _size(fault: Fault) -> float:
    return fault.size or KINDS[fault.kind].size


@fault
def kill(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    scene.take_down(scene.machines(fault, draw), _size(fault), fault.kind, False)
    yield


@fault
def power(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    scene.take_down(scene.machines(fault, draw), _size(fault), fault.kind, True)
    yield


@fault
def wipe(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = [m for m in scene.machines(fault, draw) if scene.has_data(m)]
    draw.shuffle(targets)
    scene.take_down(targets[:1], _size(fault), fault.kind, True, True)
    yield


@fault
def power_again(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = [m for m in scene.machines(fault, draw) if m.role == "depot"]
    draw.shuffle(targets)
    for machine in scene.tolerated(targets[:1], True):
        scene.wiped[machine.node] = 1e9
        Relapse(scene, machine, _size(fault), draw).begin(fault.kind)
    yield


class Relapse:
    """A store that loses power a second time while the others refill its disk."""

    def __init__(self, scene: Scene, machine: Machine, size: float, draw: random.Random) -> None:
        """`size`: s of each of its absences."""
        self.scene, self.machine, self.size, self.draw = scene, machine, max(0.05, size), draw
        self.end_fault: Callable[[], None] = lambda: None
        self.latest = 0.0  # s: the second loss comes by then, refilled or not

    def begin(self, kind: str) -> None:
        self.end_fault = self.scene.record_fault(kind, [self.machine])
        self.machine.down(True, True)
        self.latest = self.scene.agenda.now + self.size + LONGEST_REFILL
        self.scene.agenda.after(self.size, self.machine.back)
        self.scene.agenda.after(self.size, self.wait)

    def wait(self) -> None:
        """Until the first replicas are on the new disk: more are on their way by then."""
        (rows,) = self.machine.disk.db.execute("select count(*) from letters").fetchone()
        if rows or self.scene.agenda.now >= self.latest:
            self.scene.agenda.after(REFILL_LOOK * self.draw.random(), self.again)
        else:
            self.scene.agenda.after(REFILL_LOOK, self.wait)

    def again(self) -> None:
        self.machine.down(True)
        self.scene.agenda.after(self.size, self.back)

    def back(self) -> None:
        self.machine.back()
        self.end_fault()


@fault
def joined(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    [role] = [name for name in fault.of if name in ROLES] or ["depot"]
    scene.world.join(role, draw.choice(scene.day.zones))
    yield


@fault
def replaced(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = [m for m in scene.machines(fault, draw) if scene.has_data(m)]
    draw.shuffle(targets)
    for machine in scene.tolerated(targets[:1], True):
        scene.wiped[machine.node] = 1e9
        end_fault = scene.record_fault(fault.kind, [machine])
        scene.world.removed(machine)

        def add(machine: Machine = machine, end_fault: Callable[[], None] = end_fault) -> None:
            scene.world.join(machine.role, machine.zone)
            end_fault()

        scene.agenda.after(max(0.05, _size(fault)), add)
    yield


@fault
def emptied(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = [m for m in scene.machines(fault, draw) if m.role == "depot"]
    draw.shuffle(targets)
    for machine in targets[:1]:

        def remove(machine: Machine = machine) -> None:
            if machine in scene.world.of("depot"):
                # planned and without loss, but its links end
                scene.world.fault_started(fault.kind, True, [machine.node], [])
                scene.world.fault_ended(scene.world.fault_count)
                scene.world.removed(machine)

        scene.world.operator.retire(machine.node, remove)
    yield


@fault
def term(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = scene.machines(fault, draw)
    draw.shuffle(targets)

    def one() -> None:
        if not targets:
            return
        machine = targets.pop()
        if machine in scene.tolerated([machine]) and machine.proc is not None:
            end_fault = scene.record_fault(fault.kind, [machine], planned=True)
            before = machine.starts
            machine.term()

            def look() -> None:
                if machine.starts > before or (machine.proc is None and machine.downs):
                    end_fault()
                else:
                    scene.agenda.after(0.05, look)

            look()
        scene.agenda.after(max(0.05, _size(fault)), one)

    one()
    yield


@fault
def hup(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """Repeated while the fault lasts. As planned work it makes no machine unavailable."""
    targets = scene.machines(fault, draw)
    if not targets:  # the machines that it names have been removed
        return
    number = scene.world.fault_started(fault.kind, True, [machine.node for machine in targets], [])
    turns = itertools.cycle(targets)
    yield from _each(scene, fault, lambda: next(turns).hup(), least=0.01)
    scene.world.fault_ended(number)


@fault
def freeze(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = scene.tolerated(scene.machines(fault, draw))
    end_fault = scene.record_fault(fault.kind, targets)
    for machine in targets:
        machine.freeze(True)
    yield
    for machine in targets:
        machine.freeze(False)
    end_fault()


@fault
def stutter(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets, size, on = scene.tolerated(scene.machines(fault, draw)), max(0.02, _size(fault)), [True]
    end_fault = scene.record_fault(fault.kind, targets)
    left = [len(targets)]

    def pause(machine: Machine) -> None:
        if on[0]:
            machine.freeze(True)
            scene.agenda.after(size * (0.5 + draw.random()), resume, machine)
        else:
            left[0] -= 1
            if not left[0]:
                end_fault()

    def resume(machine: Machine) -> None:
        machine.freeze(False)
        scene.agenda.after(size * draw.random(), pause, machine)

    for machine in targets:
        scene.agenda.after(size * draw.random(), pause, machine)
    yield
    on[0] = False


@fault
def step(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = scene.machines(fault, draw)
    for machine in targets:
        machine.wall_clock_error += _size(fault)
    scene.record_fault(fault.kind, targets)()
    yield


@fault
def slow_disk(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = scene.tolerated([m for m in scene.machines(fault, draw) if scene.has_data(m)])
    end_fault, before = scene.record_fault(fault.kind, targets), [m.sync for m in targets]
    for machine in targets:
        machine.sync = _size(fault)
    yield
    for machine, sync in zip(targets, before):
        machine.sync = sync
    end_fault()


@fault
def stalled_disk(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = scene.tolerated([m for m in scene.machines(fault, draw) if scene.has_data(m)])
    end_fault = scene.record_fault(fault.kind, targets)
    for machine in targets:
        machine.stall(True)
    yield
    for machine in targets:
        machine.stall(False)
    end_fault()


# ---- links


def _ends(scene: Scene, pairs: list[Pair]) -> list[Machine]:
    return [scene.world.machines[a] for a in dict.fromkeys(a for a, _ in pairs)]


def _allowed(scene: Scene, pairs: list[Pair]) -> list[Pair]:
    """Links that may be partitioned: while a machine has lost its disk, only those between gateways."""
    wiped = [node for node, until in scene.wiped.items() if until > scene.agenda.now]
    if not wiped:
        return pairs
    return [pair for pair in pairs if all(not scene.has_data(scene.world.machines[node]) for node in pair)]


def _cut(scene: Scene, pairs: list[Pair], both: bool, there: bool) -> None:
    for a, b in pairs:
        scene.world.net.cut(a, b, there)
        if both:
            scene.world.net.cut(b, a, there)


def _while_cut(scene: Scene, kind: str, pairs: list[Pair], both: bool) -> Steps:
    pairs = _allowed(scene, pairs)
    end_fault = scene.record_fault(kind, _ends(scene, pairs), pairs)
    _cut(scene, pairs, both, True)
    yield
    _cut(scene, pairs, both, False)
    end_fault()


@fault
def cut(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _while_cut(scene, fault.kind, scene.links(fault, draw), True)


@fault
def one_way(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    pairs = [(a, b) if fault.to or draw.random() < 0.5 else (b, a) for a, b in scene.links(fault, draw)]
    return _while_cut(scene, fault.kind, pairs, False)


@fault
def alone(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = scene.tolerated(scene.machines(fault, draw))
    nodes = {m.node for m in targets}
    pairs = [
        (a, b) for a in sorted(nodes) for b in scene.world.machines if a != b and (b not in nodes or a < b)
    ]
    return _while_cut(scene, fault.kind, pairs, True)


@fault
def cut_workers(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = [m for m in scene.machines(fault, draw) if m.role == "counter"]
    pairs = [(m.node, w.id) for m in targets for w in scene.world.workers if draw.random() < 0.6]
    number = scene.world.fault_started(fault.kind, False, [], pairs)
    _cut(scene, pairs, True, True)
    yield
    _cut(scene, pairs, True, False)
    scene.world.fault_ended(number)


@fault
def flap(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    pairs, size, on, down = (
        _allowed(scene, scene.links(fault, draw)),
        max(0.05, _size(fault)),
        [True],
        [False],
    )
    end_fault = scene.record_fault(fault.kind, _ends(scene, pairs), pairs)
    both = draw.random() < 0.6

    def turn() -> None:
        if down[0] or on[0]:
            down[0] = not down[0]
            _cut(scene, pairs, both, down[0])
        if on[0] or down[0]:
            scene.agenda.after(size * (0.6 + 0.8 * draw.random()), turn)
        else:
            end_fault()

    turn()
    yield
    on[0] = False


@fault
def reset(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    pairs, on = set(scene.links(fault, draw)), [True]
    pairs |= {(b, a) for a, b in pairs}
    ends = _ends(scene, sorted(pairs))
    number = scene.world.fault_started(fault.kind, False, [m.node for m in ends], [])

    def turn() -> None:
        if not on[0]:
            scene.world.fault_ended(number)
            return
        scene.world.reset_links(pairs)
        scene.agenda.after(max(0.02, _size(fault)), turn)

    turn()
    yield
    on[0] = False


def _adjust(scene: Scene, fault: Fault, draw: random.Random, table: dict[Pair, float]) -> Steps:
    """Adds the size to `table` for links while the fault lasts, mostly in both directions."""
    pairs = scene.links(fault, draw)
    end_fault = scene.record_fault(fault.kind, _ends(scene, pairs), pairs)
    if draw.random() < 0.7:
        pairs = pairs + [(b, a) for a, b in pairs]
    for pair in pairs:
        table[pair] = table.get(pair, 0.0) + _size(fault)
    yield
    for pair in pairs:
        table[pair] -= _size(fault)
        if table[pair] < 1e-6:
            del table[pair]
    end_fault()


@fault
def late(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _adjust(scene, fault, draw, scene.world.net.late)


@fault
def lossy(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _adjust(scene, fault, draw, scene.world.net.lossy)


# ---- workers: these faults are not in the history, and excuse nothing but their own effects


def _set(scene: Scene, fault: Fault, draw: random.Random, figure: str, value: Any) -> Steps:
    targets = scene.workers(fault, draw)
    before = [getattr(w, figure) for w in targets]
    for w in targets:
        setattr(w, figure, value)
    yield
    for w, was in zip(targets, before):
        setattr(w, figure, was)


@fault
def lost_answers(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _set(scene, fault, draw, "lost", _size(fault))


@fault
def second_answers(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _set(scene, fault, draw, "repeats", _size(fault))


@fault
def broken_off(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _set(scene, fault, draw, "breaks", _size(fault))


@fault
def hang(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _set(scene, fault, draw, "hangs", True)


@fault
def dark(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _set(scene, fault, draw, "dark", True)


@fault
def errors(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = scene.workers(fault, draw)
    for w in targets:
        scene.world.more_errors[w.id] = _size(fault)
    yield
    for w in targets:
        scene.world.more_errors.pop(w.id, None)


@fault
def slow(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = scene.workers(fault, draw)
    for w in targets:
        scene.world.slow[w.id] = _size(fault)
    yield
    for w in targets:
        scene.world.slow.pop(w.id, None)


@fault
def crash(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    for w in scene.workers(fault, draw):
        w.end(True)
        scene.agenda.after(max(0.05, _size(fault)), scene.world.add, w.service, w.zone)
    yield


@fault
def moved(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    others = [s for s in scene.day.services if not s.static]
    for w in scene.workers(fault, draw):
        if w.service.static:
            continue
        w.end(True)
        other = next((s for s in others if s is not w.service), w.service)
        wait = max(float(scene.day.bounds.reuse), _size(fault))
        scene.agenda.after(wait, scene.world.add, other, w.zone, w.place)
        scene.agenda.after(0.5, scene.world.add, w.service, w.zone)
    yield


@fault
def release(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    targets = [w for w in scene.workers(fault, draw) if not w.service.static]

    def one() -> None:
        if targets:
            w = targets.pop()
            scene.world.add(w.service, w.zone)
            scene.agenda.after(0.3, w.drain)
            scene.agenda.after(max(0.05, _size(fault)), one)

    one()
    yield


# ---- clients and operators


@fault
def burst(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    scene.world.clients.burst *= _size(fault)
    yield
    scene.world.clients.burst /= _size(fault)


@fault
def poison(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    scene.world.clients.poisoned += _size(fault)
    yield
    scene.world.clients.poisoned -= _size(fault)


def _each(scene: Scene, fault: Fault, *calls: Callable[[], None], least: float = 0.1) -> Steps:
    """Makes the calls every SIZE seconds, at least `least` seconds apart, while the fault lasts."""
    on = [True]

    def turn() -> None:
        if on[0]:
            for call in calls:
                call()
            scene.agenda.after(max(least, _size(fault)), turn)

    turn()
    yield
    on[0] = False


@fault
def changes(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _each(scene, fault, scene.world.operator.change)


@fault
def races(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _each(scene, fault, scene.world.operator.change, scene.world.operator.change)


@fault
def same_number(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _each(scene, fault, scene.world.operator.rivals)


@fault
def orders_again(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _each(scene, fault, scene.world.operator.repeat)


@fault
def lost_acks(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    scene.world.operator.acks_lost = _size(fault)
    yield
    scene.world.operator.acks_lost = 0.0


@fault
def reads(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _each(scene, fault, scene.world.operator.look)


@fault
def stale(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _each(scene, fault, scene.world.operator.stale)


@fault
def invalid(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    return _each(scene, fault, scene.world.operator.invalid)
