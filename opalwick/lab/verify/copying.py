"""Copies of cores and what tells two of them apart: whole object graphs, whatever they are made of.

Two cores are the same where all that they know is the same, with times as distances from now. Distances
beyond `far` are one: no core looks further back (each world says which constant that is).
"""

from __future__ import annotations

import types
from collections import deque
from collections.abc import Iterable
from enum import Enum
from functools import cache
from typing import Any

from google.protobuf.message import Message

PLAIN = {int, float, str, bytes, bool, type(None), type, types.FunctionType, types.BuiltinFunctionType}
ROUND = 3  # digits of a second: the finest constant of the cores is 5 ms

VALUES = {int, str, bytes, bool, type(None)}

# bookkeeping that decides nothing; and what is not a time though it is a float
OUT = {"figures", "counts", "events", "cross_zone_bytes"}
NO_TIME = {"rate", "tokens", "room", "state_s"}
# order of these decides: the first of several that are equal is taken
ORDERED = {"votes", "counters", "gateways", "peers", "answered"}


@cache
def fields(kind: Any) -> tuple[str, ...]:
    return tuple(name for base in kind.__mro__ for name in base.__dict__.get("__slots__", ()))


@cache
def plain(kind: Any, shared: tuple[type, ...]) -> bool:
    """Whether such a thing is never altered."""
    return kind in PLAIN or issubclass(kind, (Enum, *shared))


class Copier:
    """One graph; what is met twice stays one. `shared`: types that nobody alters."""

    def __init__(self, shared: tuple[type, ...] = ()) -> None:
        self.shared, self.known = shared, dict[int, Any]()

    def copy(self, x: Any) -> Any:
        kind: Any = type(x)
        copy = self.copy
        if kind in PLAIN or plain(kind, self.shared):
            return x
        if kind is tuple:
            return tuple([one if type(one) in PLAIN else copy(one) for one in x])
        if (found := self.known.get(id(x))) is not None:
            return found
        new: Any
        if kind is dict:
            new = self.known[id(x)] = {}
            for key, value in x.items():
                new[key if type(key) in PLAIN else copy(key)] = value if type(value) in PLAIN else copy(value)
        elif kind is list or kind is deque:
            new = self.known[id(x)] = kind()
            new.extend([one if type(one) in PLAIN else copy(one) for one in x])
        elif kind is set:
            new = self.known[id(x)] = {one if type(one) in PLAIN else copy(one) for one in x}
        elif isinstance(x, tuple):
            new = kind(*[copy(one) for one in x])
        elif isinstance(x, Message):
            new = self.known[id(x)] = kind()
            new.CopyFrom(x)
        elif kind is types.MethodType:
            new = types.MethodType(x.__func__, copy(x.__self__))
        else:
            new = self.known[id(x)] = kind.__new__(kind)
            for name in fields(kind):
                if hasattr(x, name):
                    setattr(new, name, copy(getattr(x, name)))
            if hasattr(x, "__dict__"):
                held = new.__dict__
                for name, value in x.__dict__.items():
                    held[name] = value if type(value) in PLAIN else copy(value)
        return new


class Seen:
    """What a graph comes to as a plain value, the same for all that are the same."""

    def __init__(
        self, now: float, far: float, shared: tuple[type, ...] = (), out: Iterable[str] = ()
    ) -> None:
        self.now, self.far, self.shared, self.out = now, far, shared, OUT.union(out)
        self.known: dict[int, int] = {}

    def time(self, x: float) -> float:
        x -= self.now
        return round(self.far if x > self.far else -self.far if x < -self.far else x, ROUND) + 0.0

    def seen(self, x: Any, name: str = "") -> Any:
        kind: Any = type(x)
        seen = self.seen
        if kind is float:
            return round(x, ROUND) if name in NO_TIME else self.time(x)
        if kind in VALUES:
            return x
        if isinstance(x, Message):
            return x.SerializeToString(deterministic=True)
        if isinstance(x, tuple):
            return tuple([one if type(one) in VALUES else seen(one, name) for one in x])
        if plain(kind, self.shared):
            return "" if issubclass(kind, self.shared) else str(x)
        if kind is types.MethodType:
            return x.__func__.__name__
        if kind in (set, frozenset):
            return tuple(sorted([seen(one, name) for one in x], key=repr)) if x else ()
        if (number := self.known.get(id(x))) is not None:
            return ("again", number)
        self.known[id(x)] = len(self.known)
        if kind is dict:
            if not x:
                return ()
            found = [
                (key if type(key) is str else seen(key, name), seen(value, name)) for key, value in x.items()
            ]
            return tuple(found if name in ORDERED or len(found) < 2 else sorted(found, key=repr))
        if kind is list or kind is deque:
            return tuple([one if type(one) in VALUES else seen(one, name) for one in x])
        rows = [(name, getattr(x, name)) for name in fields(kind) if hasattr(x, name)]
        rows += getattr(x, "__dict__", {}).items()
        return tuple(
            [
                value if type(value) in VALUES else seen(value, name)
                for name, value in rows
                if name not in self.out
            ]
        )
