"""The catalogue of what goes wrong. Each fault is a generator: it begins, waits at its `yield`, and ends.

`part` says how many of those that it may meet it meets; what `size` is stands in `kinds.py`, with the usual
one.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Protocol

from opalwick.settings_file import Seconds
from opalwick.lab.day import Fault
from opalwick.lab.draws import part
from opalwick.lab.kinds import KINDS
from opalwick.lab.world.worker import Worker
from opalwick.lab.world.world import World

Steps = Iterator[None]


class Lasting(Protocol):
    """A fault of any day."""

    kind: str
    at: Seconds
    lasts: Seconds


CATALOGUE: dict[str, Callable[[World, Fault, random.Random], Steps]] = {}


def fault(steps: Callable[[World, Fault, random.Random], Steps]) -> Callable:
    CATALOGUE[steps.__name__] = steps
    return steps


def _size(fault: Fault) -> float:
    return fault.size or KINDS[fault.kind].size


def _workers(world: World, fault: Fault, draw: random.Random) -> list[Worker]:
    return part(draw, list(world.workers.values()), fault.part)


def _schedulers(world: World, fault: Fault, draw: random.Random) -> list[int]:
    return part(draw, list(range(world.day.schedulers)), fault.part)


def _links(world: World, fault: Fault, draw: random.Random) -> list[tuple[int, str]]:
    return [
        (i, name) for i in range(world.day.schedulers) for name in world.workers if draw.random() < fault.part
    ]


# ---- workers


def _set(world: World, fault: Fault, draw: random.Random, figure: str) -> Steps:
    """A figure of the workers that are hit is the fault's size while it lasts, and nought after it."""
    hit = _workers(world, fault, draw)
    for w in hit:
        setattr(w, figure, _size(fault))
    yield
    for w in hit:
        setattr(w, figure, 0.0)


@fault
def slow(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit, times = _workers(world, fault, draw), _size(fault)
    for w in hit:
        w.slowed(w.slow * times)
    yield
    for w in hit:
        w.slowed(w.slow / times)


@fault
def pauses(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit, size, on = _workers(world, fault, draw), _size(fault), [True]

    def still(w: Worker) -> None:
        if on[0]:
            w.hold(True)
            world.agenda.after(size, w.hold, False)
            world.agenda.after(size + draw.expovariate(0.5 / size), still, w)

    for w in hit:
        world.agenda.after(draw.random() * 2.0 * size, still, w)
    yield
    on[0] = False


def hold(hit: list[Worker]) -> Steps:
    for w in hit:
        w.hold(True)
    yield
    for w in hit:
        w.hold(False)


@fault
def hang(world: World, fault: Fault, draw: random.Random) -> Steps:
    yield from hold(_workers(world, fault, draw))


@fault
def late_reports(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit, size = _workers(world, fault, draw), _size(fault)
    for w in hit:
        w.report_late += size
    yield
    for w in hit:
        w.report_late -= size


@fault
def wrong_reports(world: World, fault: Fault, draw: random.Random) -> Steps:
    return _set(world, fault, draw, "lying")


@fault
def untrue_reports(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _workers(world, fault, draw)
    for w in hit:
        w.reported_share = fault.size  # of what it holds
    yield
    for w in hit:
        w.reported_share = 1.0


@fault
def throttle(world: World, fault: Fault, draw: random.Random) -> Steps:
    return _set(world, fault, draw, "rate")


@fault
def resets(world: World, fault: Fault, draw: random.Random) -> Steps:
    return _set(world, fault, draw, "resets")


@fault
def worker_crash(world: World, fault: Fault, draw: random.Random) -> Steps:
    for w in _workers(world, fault, draw):
        world.agenda.after(draw.random() * 0.5 * fault.lasts, world.crash, w, _size(fault))
    yield


@fault
def release(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _workers(world, fault, draw)
    for i, w in enumerate(hit):
        world.agenda.after(fault.lasts * i / len(hit), world.drain, w, _size(fault))
    yield


@fault
def shrink(world: World, fault: Fault, draw: random.Random) -> Steps:
    for w in _workers(world, fault, draw):
        world.agenda.after(draw.random() * 0.5 * fault.lasts, world.drain, w, None)
    yield


@fault
def growth(world: World, fault: Fault, draw: random.Random) -> Steps:
    count = max(1, round(fault.part * len(world.workers)))
    for _ in range(count):
        world.add(int(draw.random() * len(world.day.models)), cold=True)
    yield


# ---- the list


@fault
def list_behind(world: World, fault: Fault, draw: random.Random) -> Steps:
    world.listing.behind += _size(fault)
    yield
    world.listing.behind -= _size(fault)


@fault
def list_down(world: World, fault: Fault, draw: random.Random) -> Steps:
    world.listing.fails(True)
    yield
    world.listing.fails(False)


@fault
def list_moved(world: World, fault: Fault, draw: random.Random) -> Steps:
    assert world.processes is not None
    world.processes.move_list()
    yield


# ---- schedulers


@fault
def scheduler_crash(world: World, fault: Fault, draw: random.Random) -> Steps:
    assert world.processes is not None
    for i in _schedulers(world, fault, draw):
        when = draw.random() * 0.5 * fault.lasts
        world.agenda.after(when, world.processes.kill, i)
        world.agenda.after(when + _size(fault), world.processes.start, i)
    yield


@fault
def planned_restart(world: World, fault: Fault, draw: random.Random) -> Steps:
    assert world.processes is not None
    hit = _schedulers(world, fault, draw)
    for i, scheduler in enumerate(hit):
        world.agenda.after(fault.lasts * i / len(hit), world.processes.end, scheduler)
    yield


@fault
def scheduler_pause(world: World, fault: Fault, draw: random.Random) -> Steps:
    assert world.processes is not None
    hit = _schedulers(world, fault, draw)
    for i in hit:
        world.processes.pause(i, True)
    yield
    for i in hit:
        world.processes.pause(i, False)


@fault
def clock_step(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _schedulers(world, fault, draw)
    for i in hit:
        world.clock_off[i] += _size(fault)
    yield
    for i in hit:
        world.clock_off[i] -= _size(fault)


# ---- the network


def more(table: dict, keys: list, by: int) -> None:
    """Each stands there as often as a fault holds it."""
    for key in keys:
        table[key] = table.get(key, 0) + by
        if not table[key]:
            del table[key]


def cut_links(world: World, hit: list[tuple[int, str]], table: dict) -> Steps:
    assert world.processes is not None
    more(table, hit, 1)
    for link in hit:
        world.processes.cut(*link)
    yield
    more(table, hit, -1)


def _cut(world: World, fault: Fault, draw: random.Random, table: dict) -> Steps:
    """Links stand in the table meanwhile, and what is open on them ends."""
    yield from cut_links(world, _links(world, fault, draw), table)


@fault
def silent_links(world: World, fault: Fault, draw: random.Random) -> Steps:
    yield from _cut(world, fault, draw, world.links.silent)


@fault
def refused(world: World, fault: Fault, draw: random.Random) -> Steps:
    yield from _cut(world, fault, draw, world.links.refused)


@fault
def one_sided(world: World, fault: Fault, draw: random.Random) -> Steps:
    yield from _cut(world, fault, draw, world.links.mute)


@fault
def lossy_ways(world: World, fault: Fault, draw: random.Random) -> Steps:
    world.lossy += _size(fault)
    yield
    world.lossy -= _size(fault)


@fault
def half_resets(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _links(world, fault, draw)
    for link in hit:
        world.links.resets[link] = _size(fault)
    yield
    for link in hit:
        world.links.resets.pop(link, None)


@fault
def slow_links(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _links(world, fault, draw)
    for link in hit:
        world.links.delay[link] = _size(fault)
    yield
    for link in hit:
        world.links.delay.pop(link, None)


@fault
def bad_words(world: World, fault: Fault, draw: random.Random) -> Steps:
    links, size = world.links, _size(fault)
    links.loss, links.doubled, links.late = links.loss + size, links.doubled + size / 3, links.late + size
    yield
    links.loss, links.doubled, links.late = links.loss - size, links.doubled - size / 3, links.late - size


@fault
def split(world: World, fault: Fault, draw: random.Random) -> Steps:
    one = set(_schedulers(world, fault, draw))
    pairs = [
        (i, j)
        for i in range(world.day.schedulers)
        for j in range(world.day.schedulers)
        if (i in one) != (j in one)
    ]
    more(world.links.partitioned, pairs, 1)
    yield
    more(world.links.partitioned, pairs, -1)


# ---- clients


@fault
def burst(world: World, fault: Fault, draw: random.Random) -> Steps:
    day = world.day
    category, zone = int(draw.random() * len(day.categories)), int(draw.random() * len(day.zones))
    total = sum(k.share for k in day.categories)
    rate = day.rate() * day.categories[category].share / total / len(day.zones)
    world.clients.stream(
        f"burst/{draw.random()}",
        category,
        zone,
        rate * (_size(fault) - 1.0),
        min(day.length, fault.at + fault.lasts),
        shaped=False,
    )
    yield


@fault
def heavy(world: World, fault: Fault, draw: random.Random) -> Steps:
    clients = world.clients
    clients.heavier, clients.heavier_share = _size(fault), fault.part
    yield
    clients.heavier, clients.heavier_share = 1.0, 0.0


@fault
def impatient(world: World, fault: Fault, draw: random.Random) -> Steps:
    world.clients.impatient += _size(fault)
    yield
    world.clients.impatient -= _size(fault)


@fault
def bad_clients(world: World, fault: Fault, draw: random.Random) -> Steps:
    day = world.day
    until = min(day.length, fault.at + fault.lasts)
    for way in ("again", "once"):
        world.clients.stream(
            f"bad/{way}/{draw.random()}",
            int(draw.random() * len(day.categories)),
            int(draw.random() * len(day.zones)),
            0.5 * _size(fault),
            until,
            False,
            way,
        )
    yield


# ---- the day


def begin(world: World) -> None:
    """The day begins: its clients come, and its faults at their times."""
    world.clients.begin()
    for i, fault in enumerate(world.day.faults):
        set_up(world, fault, CATALOGUE[fault.kind](world, fault, world.draws.of(f"fault/{i}/{fault.kind}")))


def set_up(world: World, fault: Lasting, steps: Steps) -> None:
    """It begins and ends at its times, and the report shades them."""
    world.agenda.at(fault.at, next, steps, None)
    world.agenda.at(fault.at + fault.lasts, next, steps, None)
    world.shaded.append((fault.kind, float(fault.at), float(fault.at + fault.lasts)))
