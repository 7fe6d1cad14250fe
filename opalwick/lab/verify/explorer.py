"""Breadth first through all that may happen: each state once, the first breach with a shortest way to it."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

Transition = tuple[Any, ...]  # what happens, to whom; its first part is the kind


class PropertyViolation(Exception):
    """A property does not hold."""

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule, self.detail = rule, detail
        self.trace: tuple[Transition, ...] = ()


class State(Protocol):
    """One state. Nothing alters it once it was returned."""

    def enabled(self) -> list[Transition]:
        """All that may happen next, in an order that depends on nothing else."""

    def successor(self, step: Transition) -> State:
        """`Broken` where a property does not hold there."""

    def key(self) -> bytes:
        """The same for states that go on in the same way, and for no others."""


class Violation(NamedTuple):
    rule: str
    detail: str
    trace: tuple[Transition, ...]


class SearchResult(NamedTuple):
    states: int
    transitions: int
    depth: int  # up to which all was seen
    exhaustive: bool  # nothing is left beyond it
    violation: Violation | None
    seconds: float


def search_from(root: Callable[[], State], max_states: int, seconds: float = 1e9) -> SearchResult:
    """From where a calm way leads, which may be broken itself."""
    try:
        return search(root(), max_states, seconds)
    except PropertyViolation as problem:
        return SearchResult(
            len(problem.trace),
            len(problem.trace),
            0,
            False,
            Violation(problem.rule, problem.detail, problem.trace),
            0.0,
        )


def search(root: State, max_states: int = 1 << 62, seconds: float = 1e9) -> SearchResult:
    """Up to the first breach, or until so many states are known."""
    began = time.monotonic()
    visited = {root.key()}
    parents: list[tuple[int, Transition]] = [(-1, ())]
    layer: list[tuple[State, int]] = [(root, 0)]
    transitions = depth = 0

    def path_to(index: int, last: Transition) -> tuple[Transition, ...]:
        path = [last]
        while parents[index][0] >= 0:
            index, step = parents[index]
            path.append(step)
        return tuple(reversed(path))

    def result(exhaustive: bool, violation: Violation | None = None) -> SearchResult:
        return SearchResult(len(visited), transitions, depth, exhaustive, violation, time.monotonic() - began)

    while layer:
        next_layer: list[tuple[State, int]] = []
        for world, index in layer:
            for step in world.enabled():
                transitions += 1
                try:
                    reached = world.successor(step)
                except PropertyViolation as problem:
                    return result(False, Violation(problem.rule, problem.detail, path_to(index, step)))
                except Exception as problem:  # noqa: BLE001 - a core that raises is a finding
                    return result(False, Violation("fault", repr(problem), path_to(index, step)))
                key = reached.key()
                if key not in visited:
                    visited.add(key)
                    parents.append((index, step))
                    next_layer.append((reached, len(parents) - 1))
            if len(visited) >= max_states or time.monotonic() - began > seconds:
                return result(False)
        layer = next_layer
        depth += bool(layer)
    return result(True)


def replay(world: State, trace: tuple[Transition, ...]) -> State:
    """Goes that way, whatever it comes to."""
    for step in trace:
        world = world.successor(step)
    return world
