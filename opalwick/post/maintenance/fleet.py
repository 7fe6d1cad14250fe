"""What is there of a fleet at one moment, as the planner and the conductor are told it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from opalwick.post.maintenance.racks import Declaration
from opalwick.post.maintenance.resting import Resting


class Unit(NamedTuple):
    """A worker that is live: it beats and does not drain by itself."""

    id: str
    svc: str
    zone: str
    host: str
    slots: int
    warm: bool = True


class Machine(NamedTuple):
    """One of the system's own that is linked and serves."""

    name: str
    role: str  # counter, depot, office
    zone: str
    life: int
    settled: bool = True  # a depot has caught up, an office hears the primary


class Fleet(NamedTuple):
    units: tuple[Unit, ...] = ()
    machines: tuple[Machine, ...] = ()
    voters: int = 0  # offices that vote, whether they are there or not
    demand: Mapping[str, float] = {}  # by service: messages due and not ended
    missing: tuple[str, ...] = ()  # machines that were there of late and are not
    empty: frozenset[str] = frozenset()  # depots that are to be taken away, and keep nothing more
    rested: bool = False  # no counter has a delivery out at who rests
    limit: float = 0.0  # s that a delivery may take at most


class Content(NamedTuple):
    """What of a fleet stands in a rack."""

    units: tuple[Unit, ...]
    machines: tuple[Machine, ...]


def contents(declared: Declaration, fleet: Fleet) -> dict[str, Content]:
    """By rack. Who stands in two (by zone and by address) belongs to the first, and rests with either."""
    found: dict[str, Content] = {}
    taken = set[str]()
    for rack in declared.racks:
        rests = Resting(rack.rules)
        units = tuple(u for u in fleet.units if u.id not in taken and rests(u.id, u.zone, u.host))
        taken.update(u.id for u in units)
        names = set(rack.machines)
        found[rack.name] = Content(units, tuple(m for m in fleet.machines if m.name in names))
    return found
