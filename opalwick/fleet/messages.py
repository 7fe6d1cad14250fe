"""Membership messages between schedulers, of at most 256 bytes each.

All of them begin with the same byte, so that a network that drops some kinds of messages drops either all or
none of these. They carry a checksum, as a corrupted byte would spread a false state of a member.

A life is a number of a process incarnation: it differs between starts of one scheduler. An incarnation is
SWIM's: a member raises it to refute a suspicion within one life.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

KIND = 2  # 0 and 1 are load reports and aggregates (`protocol/words.py`)
MAX_BYTES = 256  # bytes
_CHECK = struct.Struct("<I")
# kind, What, sender, its life and incarnation, number to match answers by, subject member
_HEAD = struct.Struct("<BBHIHHH")
# subject member, state, life, incarnation, age in sixteenths of a second (255: that or more)
_NEWS = struct.Struct("<HBIHB")
BUCKETS = 16  # of a digest: a few members each in a usual fleet, 32 bytes in all
_DIGEST = struct.Struct(f"<{BUCKETS}H")
MAX_UPDATES = (MAX_BYTES - _CHECK.size - _HEAD.size) // _NEWS.size  # updates that fit into one message


class MessageType(IntEnum):
    """Types of messages."""

    PING = 0  # request for a direct answer
    PING_INDIRECT = 1  # request for a direct and an indirect answer, as direct ones may not arrive
    ACK = 2  # to `number`; if `about` is not the sender, relayed by the sender
    PING_REQUEST = 3  # indirect probe: ping `about`, and report if it does not answer
    RELAY = 4  # relay to `about` the sender's answer to its `number`
    NACK = 5  # `about` has not answered the sender either
    UPDATES = 6  # updates only
    DIGEST = 7  # of the sender's whole member list; to be answered with what differs
    ENTRIES = 8  # entries that differ; `about` 1: to be answered with the receiver's own


class State(IntEnum):
    """States of a member."""

    UNKNOWN = 0  # nothing received about it yet
    ALIVE = 1
    SUSPECT = 2
    GONE = 3
    LEFT = 4  # announced by itself
    ONE_WAY = 5  # not a state: `about` receives nothing from the member whose number is in `life`


class Update(NamedTuple):
    """An update: the state of one member."""

    member: int
    state: State
    life: int
    incarnation: int
    age: float  # seconds since the state began


class Message(NamedTuple):
    """A membership message."""

    type: MessageType
    sender: int
    life: int
    incarnation: int
    number: int = 0
    about: int = 0
    updates: Sequence[Update] = ()
    digest: Sequence[int] = ()


def encode(message: Message) -> bytes:
    """Encodes a message."""
    head = _HEAD.pack(
        KIND, message.type, message.sender, message.life, message.incarnation, message.number, message.about
    )
    if message.type is MessageType.DIGEST:
        rest = _DIGEST.pack(*message.digest)
    else:
        rest = b"".join(
            [
                _NEWS.pack(n.member, n.state, n.life, n.incarnation, min(255, int(n.age * 16.0)))
                for n in message.updates
            ]
        )
    return head + rest + _CHECK.pack(zlib.crc32(head + rest))


def decode(payload: bytes) -> Message | None:
    """Decodes a message; None if it is malformed."""
    body, check = payload[: -_CHECK.size], payload[-_CHECK.size :]
    if not _HEAD.size <= len(body) <= MAX_BYTES - _CHECK.size or _CHECK.pack(zlib.crc32(body)) != check:
        return None
    kind, what, sender, life, incarnation, number, about = _HEAD.unpack_from(body)
    rest = body[_HEAD.size :]
    if kind != KIND or what not in iter(MessageType):
        return None
    head = Message(MessageType(what), sender, life, incarnation, number, about)
    if what == MessageType.DIGEST:
        return head._replace(digest=_DIGEST.unpack(rest)) if len(rest) == _DIGEST.size else None
    if len(rest) % _NEWS.size:
        return None
    updates = [
        Update(who, State(state), of, inc, age / 16.0)
        for who, state, of, inc, age in _NEWS.iter_unpack(rest)
        if state in iter(State)
    ]
    return head._replace(updates=updates)


def is_newer_life(one: int, other: int) -> bool:
    """Whether the first of two 32-bit lives, which wrap around, is the later one."""
    return 0 < (one - other) & 0xFFFFFFFF < 0x80000000


def is_newer_incarnation(one: int, other: int) -> bool:
    """Whether the first of two 16-bit incarnations, which wrap around, is the later one."""
    return 0 < (one - other) & 0xFFFF < 0x8000
