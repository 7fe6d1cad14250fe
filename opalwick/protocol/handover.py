"""What an old and a new process of one scheduler tell each other: checked, versioned, bounded messages.

Each is a length and a JSON object with its version and kind. What the other side says is checked like any
input.
"""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Mapping
from typing import Any

VERSION = 1
LONGEST = 8 << 20  # bytes of one message: some thousands of workers, with what was learned
MOST = 1 << 16  # entries of one field
_LENGTH = struct.Struct("!I")


class Odd(Exception):
    """What came is none of these messages, or another version's."""


def packed(kind: str, **fields: Any) -> bytes:
    text = json.dumps({"v": VERSION, "kind": kind, **fields}, separators=(",", ":")).encode()
    return _LENGTH.pack(len(text)) + text


class Reader:
    """Bytes in, whole messages out."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[tuple[str, dict[str, Any]]]:
        self.held += data
        found = []
        while len(self.held) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self.held)
            if length > LONGEST:
                raise Odd(f"a message of {length} bytes")
            if len(self.held) < _LENGTH.size + length:
                break
            text = bytes(self.held[_LENGTH.size : _LENGTH.size + length])
            del self.held[: _LENGTH.size + length]
            try:
                told = json.loads(text)
            except (ValueError, RecursionError):
                raise Odd("a message that is not JSON") from None
            if not isinstance(told, dict) or not isinstance(told.get("kind"), str):
                raise Odd("a message without a kind")
            if told.get("v") != VERSION:
                raise Odd(f"a message of version {str(told.get('v'))[:20]}, not {VERSION}")
            found.append((told["kind"], told))
        return found


def number(value: Any, least: float = -1e12, most: float = 1e12) -> float | None:
    """A finite number within the bounds, else none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    return value if math.isfinite(value) and least <= value <= most else None


def count(told: Mapping[str, Any], key: str) -> int:
    return int(number(told.get(key), 0, 1e9) or 0)


def pairs(told: Mapping[str, Any], key: str) -> dict[Any, tuple[float, float]]:
    """By id two numbers of nought or more; odd ones are left out."""
    given, found = told.get(key), {}
    for name, pair in given.items() if isinstance(given, dict) else ():
        if isinstance(pair, list) and len(pair) == 2:
            one, two = (number(value, 0.0, 1e6) for value in pair)
            if one is not None and two is not None:
                found[name] = (one, two)
    return found


def names(told: Mapping[str, Any], key: str) -> list[str]:
    """Ids; odd ones are left out."""
    given = told.get(key)
    return (
        [name for name in given[:MOST] if isinstance(name, str) and 0 < len(name) <= 255]
        if isinstance(given, list)
        else []
    )
