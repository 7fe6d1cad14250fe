"""Which racks go down when: steps that keep every need at each moment.

A step's racks go down together and the next step begins when all are back, so a rack in a step is away for as
long as the longest of them. What a tenant loses is its slots times the seconds for which they are away, over
its weight and its slots. One rack at a time costs each tenant the least that there is; a plan may cost the
tenant that it costs most `FAIR` times the most that this does. Among plans within that the one with the
fewest steps is taken, then the fairest: the greatest loss is the least, then the second, and so on.

A function of what is declared and what is there: no clock, no chance of its own.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from opalwick.post.maintenance.fleet import Content, Fleet, contents
from opalwick.post.maintenance.needs import Hurt, hurt
from opalwick.post.maintenance.racks import Declaration

FAIR = 1.1  # times the loss that cannot be avoided: what a tenant is promised at most
DRAWN = 24  # orders that are tried beside the few that are known to be good: more found no better
PASSES = 6  # over all pairs of steps, in the search that follows each: it mostly ends in two
SMALL = 7  # racks up to which all partitions are tried: 877 of them

Step = tuple[str, ...]


class Plan(NamedTuple):
    steps: tuple[Step, ...]
    seconds: float  # that racks are away, the steps after each other
    loss: dict[str, float]  # by tenant: slot-seconds over its weight and its slots
    fair: dict[str, float]  # the least that can be had of that


class Impossible(NamedTuple):
    """`sure`: no plan can exist; else none was found."""

    why: str
    stands: dict[str, list[Hurt]]  # by rack: the needs that keep it from going down alone
    sure: bool


Steps = tuple[Step, ...]
Key = tuple[bool, bool, int, tuple[float, ...], Steps]


class Planner:
    def __init__(
        self,
        declared: Declaration,
        fleet: Fleet,
        racks: Iterable[str] | None = None,
        gone: Iterable[str] = (),
    ) -> None:
        """`racks`: those that are still to go; none given: all. `gone`: those that stay away for good."""
        self.declared, self.fleet = declared, fleet
        self.contents = contents(declared, fleet)
        self.gone = [self.contents[name] for name in gone]
        self.racks = [rack.name for rack in declared.racks if racks is None or rack.name in set(racks)]
        self.longest = {rack.name: rack.longest_s for rack in declared.racks}
        self.beside = {rack.name: set(rack.beside) for rack in declared.racks}
        self.tenants = sorted({declared.tenant(unit.svc) for unit in fleet.units})
        whole = self.slots(fleet.units)
        self.slots_of = {name: self.slots(self.contents[name].units) for name in self.racks}
        self.entitled = [(whole[i] or 1.0) * declared.weight(t) for i, t in enumerate(self.tenants)]
        self.known: dict[frozenset[str], bool] = {}
        self.fair = self.loss((name,) for name in self.racks)
        self.most = FAIR * max(self.fair, default=0.0) + 1e-9

    def slots(self, units: Iterable[object]) -> list[float]:
        found = dict.fromkeys(self.tenants, 0.0)
        for unit in units:
            found[self.declared.tenant(unit.svc)] += unit.slots  # type: ignore[attr-defined]
        return list(found.values())

    # ---- what a step is worth

    def down(self, step: Iterable[str]) -> list[Content]:
        return [*self.gone, *(self.contents[name] for name in step)]

    def hurt(self, step: Iterable[str]) -> list[Hurt]:
        return hurt(self.declared, self.fleet, self.down(step))

    def bears(self, step: Iterable[str]) -> bool:
        """Whether these may be down together."""
        held = frozenset(step)
        found = self.known.get(held)
        if found is None:
            found = self.known[held] = (
                len(held) <= self.declared.together
                and all(not self.beside[a] or b in self.beside[a] for a in held for b in held if a != b)
                and not self.hurt(sorted(held))
            )
        return found

    def loss(self, steps: Iterable[Step]) -> list[float]:
        """By tenant."""
        lost = [0.0] * len(self.tenants)
        for step in steps:
            away = max(self.longest[name] for name in step)
            for name in step:
                for i, slots in enumerate(self.slots_of[name]):
                    lost[i] += away * slots
        return [one / entitled for one, entitled in zip(lost, self.entitled)]

    def seconds(self, steps: Iterable[Step]) -> float:
        return sum(max(self.longest[name] for name in step) for step in steps)

    def key(self, steps: Steps) -> Key:
        """The least is the best. Whether it is unfair or too long stands before the number of steps."""
        loss = self.loss(steps)
        return (
            max(loss, default=0.0) > self.most,
            self.seconds(steps) > self.declared.longest_s,
            len(steps),
            tuple(round(one, 9) for one in sorted(loss, reverse=True)),
            steps,
        )

    # ---- ways to a plan

    def singly(self) -> Steps:
        """One rack at a time."""
        return tuple((name,) for name in self.racks)

    def greedy(self, order: Iterable[str] | None = None, fair: bool = False) -> Steps:
        """Each rack into the first step that bears it. `fair`: within `FAIR` too."""
        steps: list[Step] = []
        for name in order if order is not None else self.racks:
            for i, step in enumerate(steps):
                if self.bears((*step, name)) and (not fair or self.fits(steps, i, name)):
                    steps[i] = (*step, name)
                    break
            else:
                steps.append((name,))
        return tuple(steps)

    def fits(self, steps: list[Step], i: int, name: str) -> bool:
        placed = {one for step in steps for one in step} | {name}
        tried = [
            *steps[:i],
            (*steps[i], name),
            *steps[i + 1 :],
            *((one,) for one in self.racks if one not in placed),
        ]
        return max(self.loss(tried), default=0.0) <= self.most

    def orders(self) -> Iterator[list[str]]:
        partners = {a: sum(self.bears((a, b)) for b in self.racks if b != a) for a in self.racks}
        weight = {a: sum(self.slots_of[a]) for a in self.racks}
        yield list(self.racks)
        yield sorted(self.racks, key=lambda a: (partners[a], -weight[a]))
        yield sorted(self.racks, key=lambda a: (-self.longest[a], partners[a]))
        yield sorted(self.racks, key=lambda a: -weight[a])
        draw = random.Random("/".join(self.racks))
        for _ in range(DRAWN):
            order = list(self.racks)
            draw.shuffle(order)
            yield order

    def better(self, steps: Steps) -> Steps:
        """A rack moved to another step, or two exchanged, for as long as that helps."""
        best, key = steps, self.key(steps)
        for _ in range(PASSES):
            before = best
            for tried in self.near(best):
                if (found := self.key(tried)) < key:
                    best, key = tried, found
                    break
            if best == before:
                break
        return best

    def near(self, steps: Steps) -> Iterator[Steps]:
        held = [list(step) for step in steps]
        for i, here in enumerate(held):
            for name in here:
                rest = [one for one in here if one != name]
                for j, there in enumerate(held):
                    if i == j:
                        continue
                    if self.bears((*there, name)):
                        yield self.tidy(
                            [*(s for n, s in enumerate(held) if n not in (i, j)), rest, [*there, name]]
                        )
                    if i < j:
                        for other in there:
                            swapped = [*rest, other], [*(o for o in there if o != other), name]
                            if all(map(self.bears, swapped)):
                                yield self.tidy(
                                    [*(s for n, s in enumerate(held) if n not in (i, j)), *swapped]
                                )

    def tidy(self, steps: Iterable[Iterable[str]]) -> Steps:
        """The same steps in one order for all: as the racks are declared."""
        place = {name: i for i, name in enumerate(self.racks)}
        return tuple(
            sorted(
                (tuple(sorted(step, key=place.__getitem__)) for step in steps if step),
                key=lambda step: place[step[0]],
            )
        )

    def exact(self) -> Steps:
        """The best of all partitions: for few racks."""
        return min((self.tidy(steps) for steps in self.partitions(self.racks)), key=self.key)

    def partitions(self, left: list[str]) -> Iterator[list[Step]]:
        if not left:
            yield []
            return
        last = left[-1]
        for steps in self.partitions(left[:-1]):
            yield [*steps, (last,)]
            for i, step in enumerate(steps):
                if self.bears((*step, last)):
                    yield [*steps[:i], (*step, last), *steps[i + 1 :]]

    def search(self) -> Steps:
        """The best of what the ways find. One rack at a time and the greedy plan are among them, so it is
        never worse than either."""
        found = [self.tidy(self.singly()), self.tidy(self.greedy())]
        seen = set(found)
        for order in self.orders():
            steps = self.tidy(self.greedy(order, fair=True))
            if steps not in seen:
                seen.add(steps)
                found.append(self.better(steps))
        return min(found, key=self.key)

    def spread(self, steps: Steps) -> Steps:
        """In the order in which, after each of them, the tenant that has lost most has lost least: a window
        that is broken off has been fair until then."""
        left, order = list(steps), list[Step]()
        while left:
            step = min(left, key=lambda one: sorted(self.loss([*order, one]), reverse=True))
            left.remove(step)
            order.append(step)
        return tuple(order)

    def plan(self) -> Plan | Impossible:
        stands = {name: why for name in self.racks if (why := self.hurt((name,)))}
        if stands:
            name, why = next(iter(stands.items()))
            return Impossible(f"rack {name} cannot go down even alone: {why[0]}", stands, True)
        steps = self.exact() if len(self.racks) <= SMALL else self.search()
        if self.seconds(steps) > self.declared.longest_s:
            least = max(self.longest[name] for name in self.racks)
            return Impossible(
                f"the steps take {self.seconds(steps):g} s, the window has {self.declared.longest_s:g}",
                self.apart(),
                len(self.racks) <= SMALL or least > self.declared.longest_s,
            )
        loss = dict(zip(self.tenants, self.loss(steps)))
        return Plan(self.spread(steps), self.seconds(steps), loss, dict(zip(self.tenants, self.fair)))

    def apart(self) -> dict[str, list[Hurt]]:
        """What keeps each rack from going down beside the next one."""
        found: dict[str, list[Hurt]] = {}
        for name, other in zip(self.racks, self.racks[1:]):
            if why := self.hurt((name, other)):
                found[f"{name} with {other}"] = why
        return found


def plan(
    declared: Declaration, fleet: Fleet, racks: Iterable[str] | None = None, gone: Iterable[str] = ()
) -> Plan | Impossible:
    return Planner(declared, fleet, racks, gone).plan()


Way = Callable[[Planner], Steps]
