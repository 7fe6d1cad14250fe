"""Framing and records of the simulator's protocol: decodes and encodes, without interpretation."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO


class BadFrame(Exception):
    """The input violates the protocol."""


_HEAD = struct.Struct("<QII")
_REPLY = struct.Struct("<II")
_ENTRY = struct.Struct("<IBHHBfQ")
_COUNT = struct.Struct("<I")

# code: (name, fixed fields before any counted content)
_EVENTS = {
    110: ("for", struct.Struct("<H")),
    120: ("configure", struct.Struct("<QI")),
    40: ("view", struct.Struct("<BII")),
    50: ("inbound", struct.Struct("<QBHQQIffH")),
    20: ("vanished", struct.Struct("<Q")),
    80: ("response", struct.Struct("<QIIBHIBB")),
    90: ("flowing", struct.Struct("<QBII")),
    30: ("status_back", struct.Struct("<HIIB")),
    100: ("down", struct.Struct("<")),
    60: ("interim", struct.Struct("<QBIBf")),
    10: ("neighbour_says", struct.Struct("<IH")),
    70: ("wake", struct.Struct("<Q")),
}

_OUT = {
    "on_behalf": struct.Struct("<BH"),
    "dispatch": struct.Struct("<BQII"),
    "finish_error": struct.Struct("<BQ"),
    "undo_send": struct.Struct("<BQB"),
    "defer": struct.Struct("<BQQ"),
    "test": struct.Struct("<BI"),
    "shed": struct.Struct("<BQI"),
    "tail": struct.Struct("<BB"),
}
_CODES = {
    "on_behalf": 60,
    "dispatch": 130,
    "finish_error": 110,
    "undo_send": 70,
    "defer": 30,
    "test": 120,
    "shed": 80,
    "tail": 100,
}


def read_frame(source: BinaryIO) -> tuple[int, int, bytes] | None:
    """Clock, number of records and body of the next batch; None at the end of input.

    Raises BadFrame if the input ends within a batch.
    """
    head = source.read(_HEAD.size)
    if not head:
        return None
    if len(head) < _HEAD.size:
        raise BadFrame("input ends inside a batch header")
    clock, length, count = _HEAD.unpack(head)
    if length < 4:
        raise BadFrame(f"batch length {length} is too short for its own record count")
    body = source.read(length - 4)
    if len(body) < length - 4:
        raise BadFrame("input ends inside a batch")
    return clock, count, body


def records(body: bytes, count: int) -> Iterator[tuple[str, tuple[Any, ...]]]:
    """Yields the records of a batch as (name, fields). Raises BadFrame for invalid records."""
    at, end = 0, len(body)
    for _ in range(count):
        if at >= end:
            raise BadFrame(f"batch ends before its {count} records")
        code = body[at]
        known = _EVENTS.get(code)
        if known is None:
            raise BadFrame(f"unknown event code {code}")
        name, fixed = known
        at += 1
        if at + fixed.size > end:
            raise BadFrame(f"{name} is cut short")
        fields = fixed.unpack_from(body, at)
        at += fixed.size
        if name in _COUNTED:
            size = fields[-1] * _COUNTED[name]
            if at + size > end:
                raise BadFrame(f"the count in {name} overruns the batch")
            content = body[at : at + size]
            at += size
            fields = (*fields[:-1], _unpack(name, content))
        yield name, fields
    if at != end:
        raise BadFrame(f"{end - at} bytes left over after the last record")


_COUNTED = {"configure": 1, "view": _ENTRY.size, "response": 4, "status_back": 4, "neighbour_says": 1}


def _unpack(name: str, content: bytes) -> Any:
    if name == "view":
        return list(_ENTRY.iter_unpack(content))
    if name in ("response", "status_back"):
        return struct.unpack(f"<{len(content) // 4}f", content)
    return content


class Reply:
    """The reply to one batch."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def add(self, name: str, *fields: int) -> None:
        self._parts.append(_OUT[name].pack(_CODES[name], *fields))

    def message(self, to: int, payload: bytes) -> None:
        """Adds a message to another scheduler."""
        self._parts.append(struct.pack("<BHH", 40, to, len(payload)) + payload)

    def bug(self, message: str) -> None:
        """Adds a report of an internal error, cut to 2,000 bytes."""
        text = message.encode()[:2000]
        self._parts.append(struct.pack("<BH", 50, len(text)) + text)

    def frame(self) -> bytes:
        body = b"".join(self._parts)
        return _REPLY.pack(len(body) + 4, len(self._parts)) + body
