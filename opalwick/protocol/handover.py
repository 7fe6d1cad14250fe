"""Messages between the old and the new process of one scheduler during a restart.

Each message is a length and a JSON object with its version and kind. Lengths and counts are bounded, and what
the other process sends is validated like any input.
"""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Mapping
from typing import Any

VERSION = 1
MAX_MESSAGE = 8 << 20  # bytes of one message: some thousands of workers, with the learned estimates
MAX_ENTRIES = 1 << 16  # entries of one field
_LENGTH = struct.Struct("!I")


class InvalidMessage(Exception):
    """Received data is not a valid message, or of another version."""


def encode(kind: str, **fields: Any) -> bytes:
    """Encodes a message."""
    text = json.dumps({"v": VERSION, "kind": kind, **fields}, separators=(",", ":")).encode()
    return _LENGTH.pack(len(text)) + text


class Reader:
    """Incremental decoder of messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[str, dict[str, Any]]]:
        """Returns the kind and the fields of each message that is complete now. Raises InvalidMessage."""
        self.buffer += data
        found = []
        while len(self.buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self.buffer)
            if length > MAX_MESSAGE:
                raise InvalidMessage(f"a message of {length} bytes")
            if len(self.buffer) < _LENGTH.size + length:
                break
            text = bytes(self.buffer[_LENGTH.size : _LENGTH.size + length])
            del self.buffer[: _LENGTH.size + length]
            try:
                message = json.loads(text)
            except (ValueError, RecursionError):
                raise InvalidMessage("a message that is not JSON") from None
            if not isinstance(message, dict) or not isinstance(message.get("kind"), str):
                raise InvalidMessage("a message without a kind")
            if message.get("v") != VERSION:
                raise InvalidMessage(f"a message of version {str(message.get('v'))[:20]}, not {VERSION}")
            found.append((message["kind"], message))
        return found


def finite_number(value: Any, least: float = -1e12, most: float = 1e12) -> float | None:
    """Returns a finite number within the bounds, else None."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    return value if math.isfinite(value) and least <= value <= most else None


def read_count(message: Mapping[str, Any], key: str) -> int:
    """Returns a count field; 0 if it is missing or malformed."""
    return int(finite_number(message.get(key), 0, 1e9) or 0)


def read_pairs(message: Mapping[str, Any], key: str) -> dict[Any, tuple[float, float]]:
    """Returns a field that maps ids to two numbers of 0 or more. Malformed entries are left out."""
    given, found = message.get(key), {}
    for name, pair in given.items() if isinstance(given, dict) else ():
        if isinstance(pair, list) and len(pair) == 2:
            first, second = (finite_number(value, 0.0, 1e6) for value in pair)
            if first is not None and second is not None:
                found[name] = (first, second)
    return found


def read_ids(message: Mapping[str, Any], key: str) -> list[str]:
    """Returns a field that lists ids. Malformed ones are left out."""
    given = message.get(key)
    return (
        [name for name in given[:MAX_ENTRIES] if isinstance(name, str) and 0 < len(name) <= 255]
        if isinstance(given, list)
        else []
    )
