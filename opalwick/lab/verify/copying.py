"""Deep copies and canonical forms of object graphs, for the state machines under test.

Two state machines have the same canonical form if all of their fields are equal, with times relative to
now. Distances beyond `far` are clamped to it, as no state machine looks further back (each model says which
constant that comes from).
"""

from __future__ import annotations

import types
from collections import deque
from collections.abc import Iterable
from enum import Enum
from functools import cache
from typing import Any

from google.protobuf.message import Message

IMMUTABLE = {int, float, str, bytes, bool, type(None), type, types.FunctionType, types.BuiltinFunctionType}
TIME_DIGITS = 3  # digits of a second: the smallest constant of the state machines is 5 ms

PLAIN_VALUES = {int, str, bytes, bool, type(None)}

# attributes that hold statistics, on which no decision depends; then floats that are not times
IGNORED = {"figures", "counts", "events", "cross_zone_bytes"}
NOT_TIMES = {"rate", "tokens", "room", "state_s"}
# dictionaries whose order matters: the first of several equal entries is chosen
ORDERED = {"votes", "counters", "gateways", "peers", "answered_messages"}


@cache
def slot_names(kind: Any) -> tuple[str, ...]:
    return tuple(name for base in kind.__mro__ for name in base.__dict__.get("__slots__", ()))


@cache
def is_immutable(kind: Any, shared: tuple[type, ...]) -> bool:
    """Returns whether instances of this type are never mutated."""
    return kind in IMMUTABLE or issubclass(kind, (Enum, *shared))


class Copier:
    """Copies one graph and preserves shared references. `shared`: types that are never mutated."""

    def __init__(self, shared: tuple[type, ...] = ()) -> None:
        self.shared, self.visited = shared, dict[int, Any]()

    def copy(self, x: Any) -> Any:
        kind: Any = type(x)
        copy = self.copy
        if kind in IMMUTABLE or is_immutable(kind, self.shared):
            return x
        if kind is tuple:
            return tuple([one if type(one) in IMMUTABLE else copy(one) for one in x])
        if (found := self.visited.get(id(x))) is not None:
            return found
        new: Any
        if kind is dict:
            new = self.visited[id(x)] = {}
            for key, value in x.items():
                new[key if type(key) in IMMUTABLE else copy(key)] = (
                    value if type(value) in IMMUTABLE else copy(value)
                )
        elif kind is list or kind is deque:
            new = self.visited[id(x)] = kind()
            new.extend([one if type(one) in IMMUTABLE else copy(one) for one in x])
        elif kind is set:
            new = self.visited[id(x)] = {one if type(one) in IMMUTABLE else copy(one) for one in x}
        elif isinstance(x, tuple):
            new = kind(*[copy(one) for one in x])
        elif isinstance(x, Message):
            new = self.visited[id(x)] = kind()
            new.CopyFrom(x)
        elif kind is types.MethodType:
            new = types.MethodType(x.__func__, copy(x.__self__))
        else:
            new = self.visited[id(x)] = kind.__new__(kind)
            for name in slot_names(kind):
                if hasattr(x, name):
                    setattr(new, name, copy(getattr(x, name)))
            if hasattr(x, "__dict__"):
                held = new.__dict__
                for name, value in x.__dict__.items():
                    held[name] = value if type(value) in IMMUTABLE else copy(value)
        return new


class Canonicalizer:
    """Turns a graph into a plain value that is equal for equivalent graphs. `now`, `far`: seconds."""

    def __init__(
        self, now: float, far: float, shared: tuple[type, ...] = (), ignored: Iterable[str] = ()
    ) -> None:
        self.now, self.far, self.shared, self.ignored = now, far, shared, IGNORED.union(ignored)
        self.visited: dict[int, int] = {}

    def time(self, x: float) -> float:
        x -= self.now
        return round(self.far if x > self.far else -self.far if x < -self.far else x, TIME_DIGITS) + 0.0

    def canonical(self, x: Any, name: str = "") -> Any:
        kind: Any = type(x)
        canonical = self.canonical
        if kind is float:
            return round(x, TIME_DIGITS) if name in NOT_TIMES else self.time(x)
        if kind in PLAIN_VALUES:
            return x
        if isinstance(x, Message):
            return x.SerializeToString(deterministic=True)
        if isinstance(x, tuple):
            return tuple([one if type(one) in PLAIN_VALUES else canonical(one, name) for one in x])
        if is_immutable(kind, self.shared):
            return "" if issubclass(kind, self.shared) else str(x)
        if kind is types.MethodType:
            return x.__func__.__name__
        if kind in (set, frozenset):
            return tuple(sorted([canonical(one, name) for one in x], key=repr)) if x else ()
        if (number := self.visited.get(id(x))) is not None:
            return ("again", number)
        self.visited[id(x)] = len(self.visited)
        if kind is dict:
            if not x:
                return ()
            found = [
                (key if type(key) is str else canonical(key, name), canonical(value, name))
                for key, value in x.items()
            ]
            return tuple(found if name in ORDERED or len(found) < 2 else sorted(found, key=repr))
        if kind is list or kind is deque:
            return tuple([one if type(one) in PLAIN_VALUES else canonical(one, name) for one in x])
        rows = [(name, getattr(x, name)) for name in slot_names(kind) if hasattr(x, name)]
        rows += getattr(x, "__dict__", {}).items()
        return tuple(
            [
                value if type(value) in PLAIN_VALUES else canonical(value, name)
                for name, value in rows
                if name not in self.ignored
            ]
        )
