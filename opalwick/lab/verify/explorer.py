"""Breadth first through all that may happen: each state once, the first breach with a shortest way to it."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

Step = tuple[Any, ...]  # what happens, to whom; its first part is the kind


class Broken(Exception):
    """A property does not hold."""

    def __init__(self, rule: str, why: str) -> None:
        super().__init__(f"{rule}: {why}")
        self.rule, self.why = rule, why
        self.trace: tuple[Step, ...] = ()


class World(Protocol):
    """One state. Nothing alters it once it was returned."""

    def steps(self) -> list[Step]:
        """All that may happen next, in an order that depends on nothing else."""

    def after(self, step: Step) -> World:
        """`Broken` where a property does not hold there."""

    def key(self) -> bytes:
        """The same for states that go on in the same way, and for no others."""


class Breach(NamedTuple):
    rule: str
    why: str
    trace: tuple[Step, ...]


class Walk(NamedTuple):
    states: int
    transitions: int
    depth: int  # up to which all was seen
    whole: bool  # nothing is left beyond it
    breach: Breach | None
    seconds: float


def explore(root: Callable[[], World], most: int, seconds: float = 1e9) -> Walk:
    """From where a calm way leads, which may be broken itself."""
    try:
        return walk(root(), most, seconds)
    except Broken as problem:
        return Walk(
            len(problem.trace),
            len(problem.trace),
            0,
            False,
            Breach(problem.rule, problem.why, problem.trace),
            0.0,
        )


def walk(root: World, most: int = 1 << 62, seconds: float = 1e9) -> Walk:
    """Up to the first breach, or until so many states are known."""
    began = time.monotonic()
    known = {root.key()}
    ways: list[tuple[int, Step]] = [(-1, ())]
    layer: list[tuple[World, int]] = [(root, 0)]
    transitions = depth = 0

    def way(at: int, last: Step) -> tuple[Step, ...]:
        found = [last]
        while ways[at][0] >= 0:
            at, step = ways[at]
            found.append(step)
        return tuple(reversed(found))

    def end(whole: bool, breach: Breach | None = None) -> Walk:
        return Walk(len(known), transitions, depth, whole, breach, time.monotonic() - began)

    while layer:
        after: list[tuple[World, int]] = []
        for world, at in layer:
            for step in world.steps():
                transitions += 1
                try:
                    new = world.after(step)
                except Broken as problem:
                    return end(False, Breach(problem.rule, problem.why, way(at, step)))
                except Exception as problem:  # noqa: BLE001 - a core that raises is a finding
                    return end(False, Breach("fault", repr(problem), way(at, step)))
                key = new.key()
                if key not in known:
                    known.add(key)
                    ways.append((at, step))
                    after.append((new, len(ways) - 1))
            if len(known) >= most or time.monotonic() - began > seconds:
                return end(False)
        layer = after
        depth += bool(layer)
    return end(True)


def play(world: World, trace: tuple[Step, ...]) -> World:
    """Goes that way, whatever it comes to."""
    for step in trace:
        world = world.after(step)
    return world
