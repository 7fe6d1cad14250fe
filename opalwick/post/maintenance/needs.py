"""Whether what is left of a fleet is enough. Fewer left is never better: what holds with more racks down
holds with fewer."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from opalwick.post.maintenance.fleet import Content, Fleet
from opalwick.post.maintenance.racks import Declaration


class Hurt(NamedTuple):
    """A need that is not met."""

    need: str
    has: float
    needs: float

    def __str__(self) -> str:
        return f"{self.need}: {self.has:g} left, {self.needs:g} needed"


def hurt(declared: Declaration, fleet: Fleet, down: Iterable[Content]) -> list[Hurt]:
    """The needs that are not met while these are down."""
    gone = {one.id for content in down for one in content.units}
    off = {one.name for content in down for one in content.machines}
    found = []

    def must(need: str, has: float, needs: float) -> None:
        if has + 1e-9 < needs:
            found.append(Hurt(need, has, needs))

    left = [unit for unit in fleet.units if unit.id not in gone and unit.warm]
    for need in declared.needs:
        live = [unit for unit in left if unit.svc == need.service]
        must(
            f"slots of {need.service} for {need.share:g} of its demand",
            sum(unit.slots for unit in live),
            need.share * fleet.demand.get(need.service, 0.0),
        )
        must(f"workers of {need.service}", len(live), need.least)
        must(f"zones with a worker of {need.service}", len({unit.zone for unit in live}), need.zones)
    there = [machine for machine in fleet.machines if machine.name not in off]
    own = declared.own
    must("depots", sum(m.role == "depot" and m.settled for m in there), own.copies + own.spare)
    must("counters", sum(m.role == "counter" for m in there), own.counters)
    if fleet.voters:
        must("offices", sum(m.role == "office" and m.settled for m in there), fleet.voters // 2 + 1)
    return found
