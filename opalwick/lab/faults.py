"""The catalogue of what goes wrong. Each fault is a generator: it begins, waits at its `yield`, and ends.

`part` says how many of those that it may meet it meets; what `size` is stands beside each, and the usual one.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from opalwick.lab.day import Fault
from opalwick.lab.draws import part
from opalwick.lab.world.world import World
from opalwick.lab.world.worker import Worker

Steps = Iterator[None]


class Kind(NamedTuple):
    steps: Callable[[World, Fault, random.Random], Steps]
    size: float  # the usual one
    what: str
    sizes: tuple[float, float]  # that `hunt` draws from


CATALOGUE: dict[str, Kind] = {}


def fault(size: float, what: str, least: float = 0.0, most: float = 0.0) -> Callable:
    def named(steps: Callable[[World, Fault, random.Random], Steps]) -> Callable:
        CATALOGUE[steps.__name__] = Kind(steps, size, what, (least or size, most or size))
        return steps

    return named


def _size(fault: Fault) -> float:
    return fault.size or CATALOGUE[fault.kind].size


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


@fault(4.0, "workers run SIZE times slower", 2.0, 10.0)
def slow(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit, times = _workers(world, fault, draw), _size(fault)
    for w in hit:
        w.slowed(w.slow * times)
    yield
    for w in hit:
        w.slowed(w.slow / times)


@fault(0.3, "workers stand still for SIZE seconds, now and then", 0.05, 0.8)
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


@fault(1.0, "workers hang: they take connections and do and say nothing")
def hang(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _workers(world, fault, draw)
    for w in hit:
        w.hold(True)
    yield
    for w in hit:
        w.hold(False)


@fault(2.0, "load reports are SIZE seconds older", 0.7, 5.0)
def late_reports(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit, size = _workers(world, fault, draw), _size(fault)
    for w in hit:
        w.report_late += size
    yield
    for w in hit:
        w.report_late -= size


@fault(2.0, "load reports are made up, up to SIZE times the slots", 1.0, 4.0)
def wrong_reports(world: World, fault: Fault, draw: random.Random) -> Steps:
    return _set(world, fault, draw, "lying")


@fault(4.0, "workers take SIZE requests a second, and turn the others away", 1.0, 8.0)
def throttle(world: World, fault: Fault, draw: random.Random) -> Steps:
    return _set(world, fault, draw, "rate")


@fault(0.3, "workers reset a share SIZE of the connections as a request arrives", 0.05, 0.9)
def resets(world: World, fault: Fault, draw: random.Random) -> Steps:
    return _set(world, fault, draw, "resets")


@fault(2.0, "workers crash and are back, cold, after SIZE seconds", 0.5, 6.0)
def worker_crash(world: World, fault: Fault, draw: random.Random) -> Steps:
    for w in _workers(world, fault, draw):
        world.agenda.after(draw.random() * 0.5 * fault.lasts, world.crash, w, _size(fault))
    yield


@fault(1.0, "a release: workers drain one after the other and are back, cold, after SIZE seconds", 0.3, 3.0)
def release(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _workers(world, fault, draw)
    for i, w in enumerate(hit):
        world.agenda.after(fault.lasts * i / len(hit), world.drain, w, _size(fault))
    yield


@fault(1.0, "workers drain and go for good")
def shrink(world: World, fault: Fault, draw: random.Random) -> Steps:
    for w in _workers(world, fault, draw):
        world.agenda.after(draw.random() * 0.5 * fault.lasts, world.drain, w, None)
    yield


@fault(1.0, "the fleet grows by this part, with cold workers")
def growth(world: World, fault: Fault, draw: random.Random) -> Steps:
    count = max(1, round(fault.part * len(world.workers)))
    for _ in range(count):
        world.add(int(draw.random() * len(world.day.models)), cold=True)
    yield


# ---- the list


@fault(3.0, "changes come into the list SIZE seconds later", 1.0, 8.0)
def list_behind(world: World, fault: Fault, draw: random.Random) -> Steps:
    world.listing.behind += _size(fault)
    yield
    world.listing.behind -= _size(fault)


@fault(1.0, "the list service fails every call")
def list_down(world: World, fault: Fault, draw: random.Random) -> Steps:
    world.listing.fails(True)
    yield
    world.listing.fails(False)


@fault(1.0, "the list service moves; schedulers are told where it is")
def list_moved(world: World, fault: Fault, draw: random.Random) -> Steps:
    assert world.processes is not None
    world.processes.move_list()
    yield


# ---- schedulers


@fault(1.0, "schedulers are killed and are back after SIZE seconds", 0.5, 5.0)
def scheduler_crash(world: World, fault: Fault, draw: random.Random) -> Steps:
    assert world.processes is not None
    for i in _schedulers(world, fault, draw):
        when = draw.random() * 0.5 * fault.lasts
        world.agenda.after(when, world.processes.kill, i)
        world.agenda.after(when + _size(fault), world.processes.start, i)
    yield


@fault(1.0, "schedulers are restarted as planned, one after the other")
def planned_restart(world: World, fault: Fault, draw: random.Random) -> Steps:
    assert world.processes is not None
    hit = _schedulers(world, fault, draw)
    for i, scheduler in enumerate(hit):
        world.agenda.after(fault.lasts * i / len(hit), world.processes.end, scheduler)
    yield


@fault(1.0, "schedulers stand still")
def scheduler_pause(world: World, fault: Fault, draw: random.Random) -> Steps:
    assert world.processes is not None
    hit = _schedulers(world, fault, draw)
    for i in hit:
        world.processes.pause(i, True)
    yield
    for i in hit:
        world.processes.pause(i, False)


@fault(2.0, "the wall clocks of schedulers are SIZE seconds off against the workers'", -8.0, 8.0)
def clock_step(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _schedulers(world, fault, draw)
    for i in hit:
        world.clock_off[i] += _size(fault)
    yield
    for i in hit:
        world.clock_off[i] -= _size(fault)


# ---- the network


def _more(table: dict, keys: list, by: int) -> None:
    for key in keys:
        table[key] = table.get(key, 0) + by
        if not table[key]:
            del table[key]


def _cut(world: World, fault: Fault, draw: random.Random, table: dict) -> Steps:
    """Links stand in the table meanwhile, and what is open on them ends."""
    assert world.processes is not None
    hit = _links(world, fault, draw)
    _more(table, hit, 1)
    for link in hit:
        world.processes.cut(*link)
    yield
    _more(table, hit, -1)


@fault(1.0, "links from schedulers to workers fall silent: nothing comes through, nothing is reset")
def silent_links(world: World, fault: Fault, draw: random.Random) -> Steps:
    yield from _cut(world, fault, draw, world.links.silent)


@fault(1.0, "new connections on links are refused")
def refused(world: World, fault: Fault, draw: random.Random) -> Steps:
    yield from _cut(world, fault, draw, world.links.refused)


@fault(0.2, "a share SIZE of the requests on links is cut half-way by a reset", 0.02, 0.6)
def half_resets(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _links(world, fault, draw)
    for link in hit:
        world.links.resets[link] = _size(fault)
    yield
    for link in hit:
        world.links.resets.pop(link, None)


@fault(0.05, "links are SIZE seconds slower, each way", 0.01, 0.3)
def slow_links(world: World, fault: Fault, draw: random.Random) -> Steps:
    hit = _links(world, fault, draw)
    for link in hit:
        world.links.delay[link] = _size(fault)
    yield
    for link in hit:
        world.links.delay.pop(link, None)


@fault(
    0.3, "a share SIZE of schedulers' words is lost, a third of it doubled, all late by up to that", 0.1, 0.9
)
def bad_words(world: World, fault: Fault, draw: random.Random) -> Steps:
    links, size = world.links, _size(fault)
    links.loss, links.doubled, links.late = links.loss + size, links.doubled + size / 3, links.late + size
    yield
    links.loss, links.doubled, links.late = links.loss - size, links.doubled - size / 3, links.late - size


@fault(1.0, "schedulers are split in two groups that do not hear each other")
def split(world: World, fault: Fault, draw: random.Random) -> Steps:
    one = set(_schedulers(world, fault, draw))
    pairs = [
        (i, j)
        for i in range(world.day.schedulers)
        for j in range(world.day.schedulers)
        if (i in one) != (j in one)
    ]
    _more(world.links.apart, pairs, 1)
    yield
    _more(world.links.apart, pairs, -1)


# ---- clients


@fault(3.0, "SIZE times the arrivals, in one category and zone drawn", 2.0, 6.0)
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


@fault(5.0, "this part of the work items is SIZE times heavier", 2.0, 12.0)
def heavy(world: World, fault: Fault, draw: random.Random) -> Steps:
    clients = world.clients
    clients.heavier, clients.heavier_share = _size(fault), fault.part
    yield
    clients.heavier, clients.heavier_share = 1.0, 0.0


@fault(0.3, "a further share SIZE of the clients goes away before its answer", 0.1, 0.8)
def impatient(world: World, fault: Fault, draw: random.Random) -> Steps:
    world.clients.impatient += _size(fault)
    yield
    world.clients.impatient -= _size(fault)


@fault(
    10.0,
    "SIZE times a second a bad client: asks again at once, leaves at once, or sends what cannot be read",
    2.0,
    40.0,
)
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
