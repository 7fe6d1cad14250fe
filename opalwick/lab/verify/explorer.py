"""Breadth-first search of a state space: visits each state once and reports the first violation with a
shortest trace.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

Transition = tuple[Any, ...]  # kind, process concerned, further arguments


class PropertyViolation(Exception):
    """An invariant does not hold. `rule` names it, `trace` is the path to the state if the search has it."""

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule, self.detail = rule, detail
        self.trace: tuple[Transition, ...] = ()


class State(Protocol):
    """One state of a model; immutable once returned."""

    def enabled(self) -> list[Transition]:
        """Returns the enabled transitions in an order that depends on the state only."""

    def successor(self, step: Transition) -> State:
        """Returns the state after that transition. Raises `PropertyViolation` if an invariant fails there."""

    def key(self) -> bytes:
        """Returns a digest that is equal for states with the same future behaviour, and for no others."""


class Violation(NamedTuple):
    rule: str
    detail: str
    trace: tuple[Transition, ...]


class SearchResult(NamedTuple):
    states: int
    transitions: int
    depth: int  # all states up to this depth were visited
    exhaustive: bool  # no state is left to visit
    violation: Violation | None
    seconds: float


def search_from(root: Callable[[], State], max_states: int, seconds: float = 1e9) -> SearchResult:
    """Searches from the state that `root` builds; building it may itself violate an invariant."""
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
    """Searches until the first violation, until `max_states` were visited or for `seconds`.

    Limits are checked after each state, so that all of its transitions are explored.
    """
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
        for state, index in layer:
            for step in state.enabled():
                transitions += 1
                try:
                    reached = state.successor(step)
                except PropertyViolation as problem:
                    return result(False, Violation(problem.rule, problem.detail, path_to(index, step)))
                except Exception as problem:  # noqa: BLE001 - an exception in the code under test is a finding
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


def replay(state: State, trace: tuple[Transition, ...]) -> State:
    """Applies a trace. Raises `PropertyViolation` where an invariant fails."""
    for step in trace:
        state = state.successor(step)
    return state
