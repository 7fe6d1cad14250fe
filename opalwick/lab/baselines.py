"""Policies to compare with, behind the module's interface. None is for use: they share its rules (`may`, the
final answers), so that what differs is the choice of the worker, and neither copy nor move nor look ahead."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator

from opalwick.balance import Balancer
from opalwick.interface import Decision, Effect, Attempt, SchedulerConfig, Worker, WorkItem
from opalwick.lab.world.worker import Worker as True_
from opalwick.lab.world.world import World
from opalwick.routing.reducer import Reducer


class Baseline(Balancer):
    """A worker by `pick`, again after an outcome without an answer; given up only when none may have it."""

    def pick(self, wi: WorkItem, among: list[Worker]) -> Worker | None:
        raise NotImplementedError

    def choose(self, wi: WorkItem) -> Worker | None:
        # one that was found silent or unreachable rests, as any such policy has its health checks
        among = [w for w in self.workers if w.ejected_until <= self.now and self.may_send(wi, w)]
        return self.pick(wi, among) if among else None

    def hedge(self, freed: Attempt) -> Iterator[Decision]:
        yield from ()

    def check(self, wi: WorkItem) -> Iterator[Decision]:
        if wi.answered:
            return
        if self.now >= wi.expiry_at - self.margin - 1e-6:
            yield from self.give_up(wi)
        elif all(ho.ended for ho in wi.attempts):
            self.pending.append(wi)


class Random(Baseline):
    def pick(self, wi: WorkItem, among: list[Worker]) -> Worker | None:
        return among[int(self.random.draw() * len(among))]


class RoundRobin(Baseline):
    turn = 0

    def pick(self, wi: WorkItem, among: list[Worker]) -> Worker | None:
        self.turn += 1
        return among[self.turn % len(among)]


class LeastOwn(Baseline):
    def pick(self, wi: WorkItem, among: list[Worker]) -> Worker | None:
        least = min(len(w.in_flight) for w in among)
        near = [w for w in among if len(w.in_flight) == least]
        return near[int(self.random.draw() * len(near))]


class TwoChoices(Baseline):
    def pick(self, wi: WorkItem, among: list[Worker]) -> Worker | None:
        one, other = (among[int(self.random.draw() * len(among))] for _ in "12")
        return one if len(one.in_flight) <= len(other.in_flight) else other


class LeastReported(Baseline):
    def pick(self, wi: WorkItem, among: list[Worker]) -> Worker | None:
        return min(among, key=lambda w: (w.others + len(w.in_flight)) / w.slots + 0.01 * self.random.draw())


class Oracle(Baseline):
    """Sees the workers as they truly are, and each item's true work; it does not see what is to come."""

    world: World
    reducer: Reducer

    def truth(self, w: Worker) -> True_:
        return self.world.workers[str(self.reducer.names[w])]

    def ends(self, wi: WorkItem, w: Worker) -> float:
        """Seconds until this item would have run there, from now."""
        there = self.truth(w)
        pace, now = there.pace(), self.world.agenda.now
        if (
            not there.alive
            or there.leaving
            or not pace
            or (self.config.position, there.name) in (self.world.links.silent | self.world.links.refused)
        ):
            return 1e9
        if len(there.waiting) >= there.model.queue or there.resets > 0.5:
            return 1e9
        free = [0.0] * max(1, int(there.model.slots))
        for i, job in enumerate(there.running):
            left = max(0.0, job.left / pace - (now - job.since))
            heapq.heapreplace(free, left) if i < len(free) else None
        for job in there.waiting:
            heapq.heapreplace(free, free[0] + job.work / pace)
        for ho in w.in_flight:  # on their way
            if not ho.started_at and self.now - ho.sent_at < 0.02:
                heapq.heapreplace(free, free[0] + self.work_of(ho.item) / pace)
        way = self.world.day.network.cross if there.zone != self.config.zone else self.world.day.network.same
        return free[0] + self.work_of(wi) / pace + 2.0 * way

    def work_of(self, wi: WorkItem) -> float:
        attempt = self.world.clients.tries.get(str(wi.id))
        return attempt.want.work if attempt is not None else wi.work

    def pick(self, wi: WorkItem, among: list[Worker]) -> Worker | None:
        found = min(among, key=lambda w: self.ends(wi, w))
        ends = self.ends(wi, found)
        due = wi.due_at
        if (attempt := self.world.clients.tries.get(str(wi.id))) is not None:
            due = 1000.0 + attempt.want.due_at
        if self.now + ends > due and not wi.category.late_credit:
            return None
        return found

    def check(self, wi: WorkItem) -> Iterator[Decision]:
        live = [ho for ho in wi.attempts if not ho.ended]
        if (
            not wi.answered
            and live
            and self.now < wi.expiry_at - self.margin - 1e-6
            and wi.category.effect is Effect.IDEMPOTENT
        ):
            w = self.choose(wi)
            # it would end sooner elsewhere, started anew, than where it is: stuck, or lost
            if w is not None and all(w is not ho.worker for ho in live):
                there = [self.truth(ho.worker) for ho in live]
                if all(not t.alive or t.stopped or t.slow > 1.5 for t in there):
                    self.to_cancel.extend(live)
                    yield self.send(wi, w, False)
                    return
            self.check_at(self.now + 0.1, wi)
            return
        yield from super().check(wi)


BASELINES: dict[str, type[Baseline]] = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-own": LeastOwn,
    "two-choices": TwoChoices,
    "least-reported": LeastReported,
    "oracle": Oracle,
}
POLICIES = ["opalwick", *BASELINES]


def maker(policy: str) -> Callable[..., Reducer]:
    """What makes a scheduler's reducer with this policy. KeyError for a name that is none."""
    if policy == "opalwick":
        return lambda terms, seed, now, world, scheduler: Reducer(terms, seed, now)
    kind = BASELINES[policy]

    def make(terms: SchedulerConfig, seed: int, now: float, world: World, scheduler: int) -> Reducer:
        reducer = Reducer(terms, seed, now)
        baseline = kind(terms, seed, now)
        reducer.balancer = baseline
        if isinstance(baseline, Oracle):
            baseline.world, baseline.reducer = world, reducer
        return reducer

    return make
