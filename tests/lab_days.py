"""Short days and mutants for the lab's tests."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from opalwick.balance import Balancer
from opalwick.interface import Effect, Group, Outcome, Phase
from opalwick.lab.day import Day, parse
from opalwick.lab.experiment import judged
from opalwick.lab.virtual import play
from opalwick.routing.reducer import Answer, Close, Final, Reducer, Send, Timer

FLEET = """
title = "short"
length = "8 s"
schedulers = 2
zones = ["east", "west"]
[[models]]
name = "middle"
count = 6
slots = 2
ramp = "5 s"
cell_size = 2
[[categories]]
name = "look"
share = 0.5
work = "80 ms"
due = "200 ms"
expiry = "3 s"
[[categories]]
name = "pay"
share = 0.25
work = "80 ms"
due = "300 ms"
expiry = "3 s"
effect = "exclusive"
[[categories]]
name = "mark"
share = 0.25
work = "80 ms"
due = "300 ms"
expiry = "3 s"
effect = "ticketed"
group = "cell"
window = "800 ms"
[load]
fill = 0.5
"""


def day(*faults: str, **load: object) -> Day:
    """With faults given as "kind at lasts part size"."""
    text = FLEET
    for key, value in load.items():
        text = text.replace("fill = 0.5", f"{key} = {value!r}")
    for fault in faults:
        kind, at, lasts, part, size = fault.split()
        text += (
            f'[[faults]]\nkind = "{kind}"\nat = "{at} s"\nlasts = "{lasts} s"\npart = {float(part)}\n'
            f"size = {float(size)}\n"
        )
    return parse(text, "short.toml")


def report(day: Day, make: Callable | None = None, seed: int = 3) -> dict:
    return judged(play(day, seed, make=make))[0]


def mutant(reducer: type[Reducer] = Reducer, module: type[Balancer] = Balancer) -> Callable:
    def make(terms, seed, now, world, scheduler) -> Reducer:
        made = reducer(terms, seed, now)
        made.balancer = module(terms, seed, now)
        return made

    return make


class TwoAnswers(Reducer):
    def effects(self) -> Iterator:
        for effect in super().effects():
            yield effect
            if isinstance(effect, Answer) and hash(effect.key) % 5 == 0:
                yield effect


class NoAnswer(Reducer):
    count = 0

    def effects(self) -> Iterator:
        for effect in super().effects():
            self.count += isinstance(effect, Answer)
            if not isinstance(effect, Answer) or self.count % 20:
                yield effect


class MadeUp(Reducer):
    def effects(self) -> Iterator:
        for effect in super().effects():
            yield (
                effect._replace(result="made up") if isinstance(effect, Answer) and effect.result else effect
            )


class LostCancel(Reducer):
    def effects(self) -> Iterator:
        return (effect for effect in super().effects() if not isinstance(effect, Close))


class Held(Reducer):
    """Keeps what it has given up for another second."""

    def __init__(self, *fields) -> None:
        super().__init__(*fields)
        self.kept: list = []

    def effects(self) -> Iterator:
        now = self.balancer.now
        for effect in [*(e for at, e in self.kept if at <= now), *super().effects()]:
            if (
                isinstance(effect, Answer)
                and effect.final is Final.DEFERRED
                and all(effect is not e for _, e in self.kept)
            ):
                self.kept.append((now + 1.2, effect))
                yield Timer(now + 1.2)
            else:
                yield effect
        self.kept = [(at, e) for at, e in self.kept if at > now]
        if self.kept:
            yield Timer(min(at for at, _ in self.kept))


class AfterAnswer(Reducer):
    """Sends once more what has its answer."""

    def effects(self) -> Iterator:
        for effect in super().effects():
            yield effect
            if isinstance(effect, Answer) and effect.final is Final.FINISHED:
                w = self.balancer.workers[0]
                yield Send(effect.key, 77, self.names[w], None, 1.0)


class Proof(Reducer):
    """Takes a break for a proof that nothing ran: an outcome made up."""

    def ended(self, key, number, outcome, *rest, **named) -> None:
        super().ended(key, number, Outcome.FULL if outcome is Outcome.BROKEN else outcome, *rest, **named)


class Expired(Balancer):
    """Answers a little after the expiry."""

    def __init__(self, *fields) -> None:
        super().__init__(*fields)
        self.margin = -0.3

    def dispatch(self, wi) -> Iterator:
        if wi.expiry_at - 0.01 <= self.now < wi.expiry_at + 0.25:
            return self.check_at(wi.expiry_at + 0.3, wi)
        yield from super().dispatch(wi)


class Anywhere(Balancer):
    """Forgets one rule in `may`."""

    forget = ""

    def may_send(self, wi, w) -> bool:
        c = wi.category
        kept = c.effect, c.group, c.dedup_window
        if self.forget == "exclusive" and c.effect is Effect.AT_MOST_ONCE:
            c.effect = Effect.IDEMPOTENT
        elif self.forget == "group" and c.effect is Effect.KEYED:
            c.group = Group.ALL
        elif self.forget == "window":
            c.dedup_window = 1e9
        try:
            return super().may_send(wi, w)
        finally:
            c.effect, c.group, c.dedup_window = kept


class Exclusive(Anywhere):
    forget = "exclusive"


class Outside(Anywhere):
    forget = "group"

    def bound_cell(self, wi) -> None:
        return None


class Window(Anywhere):
    forget = "window"

    def dispatch(self, wi) -> Iterator:
        # it waits before it sends again, so that the window passes
        if wi.attempts and self.now < wi.attempts[-1].sent_at + 1.2 and not wi.answered:
            return self.check_at(wi.attempts[-1].sent_at + 1.2, wi)
        if wi.attempts and not wi.answered and (free := [w for w in self.workers if self.may_send(wi, w)]):
            yield self.send(wi, free[0], False)
            return
        yield from super().dispatch(wi)


class Drained(Balancer):
    def update_workers(self, form, rows) -> None:
        super().update_workers(
            form, [(w, z, k, c, Phase.READY, at, size) for w, z, k, c, _, at, size in rows]
        )


class Crowd(Balancer):
    def within_budget(self, wi, w) -> bool:
        return True

    def choose(self, wi):
        cold = [w for w in self.workers if self.is_cold(w) and self.may_send(wi, w)]
        return cold[0] if cold else super().choose(wi)


class DefersAll(Balancer):
    def may_defer(self, wi) -> bool:
        return True


# mutant: what breaks, and the day on which it shows
MUTANTS = {
    "two answers": (mutant(TwoAnswers), "lost", ()),
    "no answer": (mutant(NoAnswer), "lost", ()),
    "a result that no worker made": (mutant(MadeUp), "lost", ()),
    "an answer after the expiry": (mutant(module=Expired), "lost", ("hang 2 6 0.5 1",)),
    "a lost cancel": (mutant(LostCancel), "late_sends", ("slow 1 6 0.4 20",)),
    "held before deferral": (mutant(Held), "answered_late", ("throttle 1 6 1 2",)),
    "a send after the answer": (mutant(AfterAnswer), "late_sends", ()),
    "an outcome made up": (mutant(Proof), "doubled", ("resets 1 6 0.5 0.4",)),
    "an exclusive item twice": (mutant(module=Exclusive), "doubled", ("resets 1 6 0.5 0.4",)),
    "a ticketed item outside its group": (mutant(module=Outside), "doubled", ("resets 1 6 0.5 0.4",)),
    "a ticketed item past its window": (mutant(module=Window), "doubled", ("resets 1 6 0.8 0.5",)),
    "a send to a drained worker": (mutant(module=Drained), "late_sends", ("shrink 1 2 0.3 1",)),
    "a crowd at a cold worker": (mutant(module=Crowd), "pushed_over", ("worker_crash 1 2 0.2 0.5",)),
    "deferred though it may have run": (mutant(module=DefersAll), "doubled", ("hang 1 6 0.6 1",)),
}
