"""Snapshot of a fleet, the input of the planner and the coordinator."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from opalwick.post.maintenance.racks import Declaration
from opalwick.post.maintenance.resting import Resting


class LiveWorker(NamedTuple):
    """A live worker: it sends heartbeats and is not draining for another reason."""

    id: str
    svc: str
    zone: str
    host: str
    slots: int
    warm: bool = True


class Machine(NamedTuple):
    """A process of the system itself that is linked and serves."""

    name: str
    role: str  # counter (gateway), depot (store), office (controller)
    zone: str
    life: int
    settled: bool = True  # a store has caught up, a controller has a primary


class Fleet(NamedTuple):
    """The workers and machines that are present, and the demand."""

    units: tuple[LiveWorker, ...] = ()
    machines: tuple[Machine, ...] = ()
    voters: int = 0  # controllers with a vote, present or not
    demand: Mapping[str, float] = {}  # by service: messages that are due and not completed
    missing: tuple[str, ...] = ()  # machines that were present recently and are not now
    empty: frozenset[str] = frozenset()  # retiring stores that have no messages left
    rested: bool = False  # no gateway has a delivery open at a resting worker
    limit: float = 0.0  # s, the longest time limit of a delivery


class RackContent(NamedTuple):
    """The part of a fleet that is in one rack."""

    units: tuple[LiveWorker, ...]
    machines: tuple[Machine, ...]


def contents(declared: Declaration, fleet: Fleet) -> dict[str, RackContent]:
    """By rack. A worker that matches two racks (by zone and by address) counts as in the first; it rests
    while either is down.
    """
    found: dict[str, RackContent] = {}
    assigned = set[str]()
    for rack in declared.racks:
        rests = Resting(rack.rules)
        units = tuple(u for u in fleet.units if u.id not in assigned and rests(u.id, u.zone, u.host))
        assigned.update(u.id for u in units)
        names = set(rack.machines)
        found[rack.name] = RackContent(units, tuple(m for m in fleet.machines if m.name in names))
    return found
