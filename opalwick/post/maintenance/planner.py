"""Plans in which steps racks go down, so that every need is met at any time.

The racks of a step go down together, and the next step begins when all are back, so each is away for as long
as the longest of them. The loss of a tenant is its slots times the seconds for which they are away, divided
by its weight and its slots. One rack at a time gives each tenant the least possible loss. In a plan, the
greatest loss of a tenant may be `MAX_UNFAIRNESS` times the greatest loss in that case. Among such plans the
one with the fewest steps is chosen, then the fairest: the lowest greatest loss, then the lowest second loss,
and so on.

The result depends on the declaration and the fleet only, without a clock or true randomness.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from opalwick.post.maintenance.fleet import Fleet, RackContent, contents
from opalwick.post.maintenance.needs import UnmetNeed, unmet_needs
from opalwick.post.maintenance.racks import Declaration

MAX_UNFAIRNESS = 1.1  # limit of the greatest loss of a tenant, relative to the unavoidable one
RANDOM_ORDERS = 24  # random orders tried beside the heuristic ones; more of them found no better plans
MAX_PASSES = 6  # limit of passes over all pairs of steps in the local search, which mostly ends after two
EXACT_LIMIT = 7  # number of racks up to which all partitions are tried (877 of them)

Step = tuple[str, ...]


class Plan(NamedTuple):
    """A plan that meets all needs."""

    steps: tuple[Step, ...]
    seconds: float  # duration of all steps
    loss: dict[str, float]  # by tenant: slot-seconds divided by its weight and its slots
    fair: dict[str, float]  # by tenant: the least possible loss


class NoPlan(NamedTuple):
    """The reason why there is no plan. `sure`: no plan can exist; otherwise none was found."""

    why: str
    blocking: dict[str, list[UnmetNeed]]  # by rack: the needs that prevent it from going down
    proven: bool


Steps = tuple[Step, ...]
Key = tuple[bool, bool, int, tuple[float, ...], Steps]


class Planner:
    """Searches for the best plan."""

    def __init__(
        self,
        declared: Declaration,
        fleet: Fleet,
        racks: Iterable[str] | None = None,
        gone: Iterable[str] = (),
    ) -> None:
        """`racks`: those that still have to go down; None for all. `gone`: those that are away for good."""
        self.declared, self.fleet = declared, fleet
        self.contents = contents(declared, fleet)
        self.gone = [self.contents[name] for name in gone]
        self.racks = [rack.name for rack in declared.racks if racks is None or rack.name in set(racks)]
        self.longest = {rack.name: rack.longest_s for rack in declared.racks}
        self.beside = {rack.name: set(rack.beside) for rack in declared.racks}
        self.tenants = sorted({declared.tenant(unit.svc) for unit in fleet.units})
        total = self.slots(fleet.units)
        self.slots_of = {name: self.slots(self.contents[name].units) for name in self.racks}
        self.entitlements = [(total[i] or 1.0) * declared.weight(t) for i, t in enumerate(self.tenants)]
        self.feasible_cache: dict[frozenset[str], bool] = {}
        self.fair = self.loss((name,) for name in self.racks)
        self.max_loss = MAX_UNFAIRNESS * max(self.fair, default=0.0) + 1e-9

    def slots(self, units: Iterable[object]) -> list[float]:
        """The slots of these workers by tenant, in the order of `tenants`."""
        found = dict.fromkeys(self.tenants, 0.0)
        for unit in units:
            found[self.declared.tenant(unit.svc)] += unit.slots  # type: ignore[attr-defined]
        return list(found.values())

    # ---- evaluation of steps

    def down(self, step: Iterable[str]) -> list[RackContent]:
        """What is down during a step."""
        return [*self.gone, *(self.contents[name] for name in step)]

    def unmet_needs(self, step: Iterable[str]) -> list[UnmetNeed]:
        """The needs that are not met during a step."""
        return unmet_needs(self.declared, self.fleet, self.down(step))

    def feasible(self, step: Iterable[str]) -> bool:
        """Whether these racks may be down together."""
        racks = frozenset(step)
        found = self.feasible_cache.get(racks)
        if found is None:
            found = self.feasible_cache[racks] = (
                len(racks) <= self.declared.together
                and all(not self.beside[a] or b in self.beside[a] for a in racks for b in racks if a != b)
                and not self.unmet_needs(sorted(racks))
            )
        return found

    def loss(self, steps: Iterable[Step]) -> list[float]:
        """The loss of each tenant, in the order of `tenants`."""
        lost = [0.0] * len(self.tenants)
        for step in steps:
            away = max(self.longest[name] for name in step)
            for name in step:
                for i, slots in enumerate(self.slots_of[name]):
                    lost[i] += away * slots
        return [one / entitled for one, entitled in zip(lost, self.entitlements)]

    def seconds(self, steps: Iterable[Step]) -> float:
        """The duration of all steps."""
        return sum(max(self.longest[name] for name in step) for step in steps)

    def key(self, steps: Steps) -> Key:
        """The sort key; the lowest is the best plan. Fairness and duration limits precede the number of
        steps.
        """
        loss = self.loss(steps)
        return (
            max(loss, default=0.0) > self.max_loss,
            self.seconds(steps) > self.declared.longest_s,
            len(steps),
            tuple(round(one, 9) for one in sorted(loss, reverse=True)),
            steps,
        )

    # ---- strategies

    def one_at_a_time(self) -> Steps:
        """One rack at a time."""
        return tuple((name,) for name in self.racks)

    def greedy(self, order: Iterable[str] | None = None, fair: bool = False) -> Steps:
        """Puts each rack into the first step where that is feasible. `fair`: within the limit
        `MAX_UNFAIRNESS` too.
        """
        steps: list[Step] = []
        for name in order if order is not None else self.racks:
            for i, step in enumerate(steps):
                if self.feasible((*step, name)) and (not fair or self.stays_fair(steps, i, name)):
                    steps[i] = (*step, name)
                    break
            else:
                steps.append((name,))
        return tuple(steps)

    def stays_fair(self, steps: list[Step], i: int, name: str) -> bool:
        """Whether the plan stays within `MAX_UNFAIRNESS` with this rack in step `i`."""
        placed = {one for step in steps for one in step} | {name}
        tried = [
            *steps[:i],
            (*steps[i], name),
            *steps[i + 1 :],
            *((one,) for one in self.racks if one not in placed),
        ]
        return max(self.loss(tried), default=0.0) <= self.max_loss

    def rack_orders(self) -> Iterator[list[str]]:
        """Orders of the racks for `greedy`: heuristic ones, then random ones with a fixed seed."""
        partners = {a: sum(self.feasible((a, b)) for b in self.racks if b != a) for a in self.racks}
        weight = {a: sum(self.slots_of[a]) for a in self.racks}
        yield list(self.racks)
        yield sorted(self.racks, key=lambda a: (partners[a], -weight[a]))
        yield sorted(self.racks, key=lambda a: (-self.longest[a], partners[a]))
        yield sorted(self.racks, key=lambda a: -weight[a])
        draw = random.Random("/".join(self.racks))
        for _ in range(RANDOM_ORDERS):
            order = list(self.racks)
            draw.shuffle(order)
            yield order

    def improve(self, steps: Steps) -> Steps:
        """Local search: moves a rack to another step or swaps two, as long as that improves the plan."""
        best, key = steps, self.key(steps)
        for _ in range(MAX_PASSES):
            before = best
            for tried in self.neighbours(best):
                if (found := self.key(tried)) < key:
                    best, key = tried, found
                    break
            if best == before:
                break
        return best

    def neighbours(self, steps: Steps) -> Iterator[Steps]:
        """The feasible plans that differ by one move or swap."""
        groups = [list(step) for step in steps]
        for i, source in enumerate(groups):
            for name in source:
                rest = [one for one in source if one != name]
                for j, target in enumerate(groups):
                    if i == j:
                        continue
                    if self.feasible((*target, name)):
                        yield self.normalized(
                            [*(s for n, s in enumerate(groups) if n not in (i, j)), rest, [*target, name]]
                        )
                    if i < j:
                        for other in target:
                            swapped = [*rest, other], [*(o for o in target if o != other), name]
                            if all(map(self.feasible, swapped)):
                                yield self.normalized(
                                    [*(s for n, s in enumerate(groups) if n not in (i, j)), *swapped]
                                )

    def normalized(self, steps: Iterable[Iterable[str]]) -> Steps:
        """The same steps in canonical order, as the racks are declared."""
        place = {name: i for i, name in enumerate(self.racks)}
        return tuple(
            sorted(
                (tuple(sorted(step, key=place.__getitem__)) for step in steps if step),
                key=lambda step: place[step[0]],
            )
        )

    def exact(self) -> Steps:
        """The best of all partitions; only for few racks."""
        return min((self.normalized(steps) for steps in self.partitions(self.racks)), key=self.key)

    def partitions(self, left: list[str]) -> Iterator[list[Step]]:
        """All feasible partitions into steps."""
        if not left:
            yield []
            return
        last = left[-1]
        for steps in self.partitions(left[:-1]):
            yield [*steps, (last,)]
            for i, step in enumerate(steps):
                if self.feasible((*step, last)):
                    yield [*steps[:i], (*step, last), *steps[i + 1 :]]

    def search(self) -> Steps:
        """The best result of all strategies. These include one rack at a time and the greedy plan, so the
        result is never worse than either."""
        found = [self.normalized(self.one_at_a_time()), self.normalized(self.greedy())]
        seen = set(found)
        for order in self.rack_orders():
            steps = self.normalized(self.greedy(order, fair=True))
            if steps not in seen:
                seen.add(steps)
                found.append(self.improve(steps))
        return min(found, key=self.key)

    def fair_order(self, steps: Steps) -> Steps:
        """Orders the steps so that the greatest loss so far is as low as possible after each step. So a
        window that is aborted has been fair until then."""
        left, order = list(steps), list[Step]()
        while left:
            step = min(left, key=lambda one: sorted(self.loss([*order, one]), reverse=True))
            left.remove(step)
            order.append(step)
        return tuple(order)

    def plan(self) -> Plan | NoPlan:
        """The best plan, or the reason why there is none."""
        stands = {name: why for name in self.racks if (why := self.unmet_needs((name,)))}
        if stands:
            name, why = next(iter(stands.items()))
            return NoPlan(f"rack {name} cannot go down even alone: {why[0]}", stands, True)
        steps = self.exact() if len(self.racks) <= EXACT_LIMIT else self.search()
        if self.seconds(steps) > self.declared.longest_s:
            least = max(self.longest[name] for name in self.racks)
            return NoPlan(
                f"the steps take {self.seconds(steps):g} s, the window has {self.declared.longest_s:g}",
                self.conflicts(),
                len(self.racks) <= EXACT_LIMIT or least > self.declared.longest_s,
            )
        loss = dict(zip(self.tenants, self.loss(steps)))
        return Plan(self.fair_order(steps), self.seconds(steps), loss, dict(zip(self.tenants, self.fair)))

    def conflicts(self) -> dict[str, list[UnmetNeed]]:
        """For each rack and the next one: the needs that prevent them from going down together."""
        found: dict[str, list[UnmetNeed]] = {}
        for name, other in zip(self.racks, self.racks[1:]):
            if why := self.unmet_needs((name, other)):
                found[f"{name} with {other}"] = why
        return found


def plan(
    declared: Declaration, fleet: Fleet, racks: Iterable[str] | None = None, gone: Iterable[str] = ()
) -> Plan | NoPlan:
    return Planner(declared, fleet, racks, gone).plan()


Strategy = Callable[[Planner], Steps]
