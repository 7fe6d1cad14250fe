"""Checks whether the remaining part of a fleet is enough. The check is monotonic: a need that is met with
some racks down is also met with fewer down.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from opalwick.post.maintenance.fleet import Fleet, RackContent
from opalwick.post.maintenance.racks import Declaration


class UnmetNeed(NamedTuple):
    """A need that is not met."""

    need: str
    has: float
    needs: float

    def __str__(self) -> str:
        return f"{self.need}: {self.has:g} left, {self.needs:g} needed"


def unmet_needs(declared: Declaration, fleet: Fleet, down: Iterable[RackContent]) -> list[UnmetNeed]:
    """The needs that are not met while the contents `down` are down."""
    units_down = {one.id for content in down for one in content.units}
    machines_down = {one.name for content in down for one in content.machines}
    found = []

    def require(need: str, has: float, needs: float) -> None:
        if has + 1e-9 < needs:
            found.append(UnmetNeed(need, has, needs))

    left = [unit for unit in fleet.units if unit.id not in units_down and unit.warm]
    for need in declared.needs:
        live = [unit for unit in left if unit.svc == need.service]
        require(
            f"slots of {need.service} for {need.share:g} of its demand",
            sum(unit.slots for unit in live),
            need.share * fleet.demand.get(need.service, 0.0),
        )
        require(f"workers of {need.service}", len(live), need.least)
        require(f"zones with a worker of {need.service}", len({unit.zone for unit in live}), need.zones)
    present = [machine for machine in fleet.machines if machine.name not in machines_down]
    own = declared.own
    require("depots", sum(m.role == "depot" and m.settled for m in present), own.copies + own.spare)
    require("counters", sum(m.role == "counter" for m in present), own.counters)
    if fleet.voters:
        require("offices", sum(m.role == "office" and m.settled for m in present), fleet.voters // 2 + 1)
    return found
