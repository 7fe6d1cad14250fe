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
LONGEST = 256  # bytes
_CHECK = struct.Struct("<I")
# kind, What, sender, its life and incarnation, number to match answers by, subject member
_HEAD = struct.Struct("<BBHIHHH")
# subject member, state, life, incarnation, age in sixteenths of a second (255: that or more)
_NEWS = struct.Struct("<HBIHB")
BUCKETS = 16  # of a digest: a few members each in a usual fleet, 32 bytes in all
_DIGEST = struct.Struct(f"<{BUCKETS}H")
MOST = (LONGEST - _CHECK.size - _HEAD.size) // _NEWS.size  # updates that fit into one message


class What(IntEnum):
    """Types of messages."""

    PING = 0  # request for a direct answer
    AROUND = 1  # request for an answer directly and through others, as the sender may not receive direct ones
    ANSWER = 2  # to `number`; if `about` is not the sender, relayed by the sender
    ASK = 3  # indirect probe: ping `about`, and report if it does not answer
    PASS = 4  # relay to `about` the sender's answer to its `number`
    SILENT = 5  # `about` has not answered the sender either
    NEWS = 6  # updates only
    DIGEST = 7  # of the sender's whole member list; to be answered with what differs
    ITEMS = 8  # entries that differ; `about` 1: to be answered with the receiver's own


class State(IntEnum):
    """States of a member."""

    UNKNOWN = 0  # nothing received about it yet
    ALIVE = 1
    SUSPECT = 2
    GONE = 3
    LEFT = 4  # announced by itself
    APART = 5  # not a state: `about` receives nothing from the member whose number is in `life`


class News(NamedTuple):
    """An update: the state of one member."""

    about: int
    state: State
    life: int
    incarnation: int
    age: float  # seconds since the state began


class Word(NamedTuple):
    """A membership message."""

    what: What
    sender: int
    life: int
    incarnation: int
    number: int = 0
    about: int = 0
    news: Sequence[News] = ()
    digest: Sequence[int] = ()


def packed(word: Word) -> bytes:
    """Encodes a message."""
    head = _HEAD.pack(KIND, word.what, word.sender, word.life, word.incarnation, word.number, word.about)
    if word.what is What.DIGEST:
        rest = _DIGEST.pack(*word.digest)
    else:
        rest = b"".join(
            [
                _NEWS.pack(n.about, n.state, n.life, n.incarnation, min(255, int(n.age * 16.0)))
                for n in word.news
            ]
        )
    return head + rest + _CHECK.pack(zlib.crc32(head + rest))


def unpacked(payload: bytes) -> Word | None:
    """Decodes a message; None if it is malformed."""
    body, check = payload[: -_CHECK.size], payload[-_CHECK.size :]
    if not _HEAD.size <= len(body) <= LONGEST - _CHECK.size or _CHECK.pack(zlib.crc32(body)) != check:
        return None
    kind, what, sender, life, incarnation, number, about = _HEAD.unpack_from(body)
    rest = body[_HEAD.size :]
    if kind != KIND or what not in iter(What):
        return None
    head = Word(What(what), sender, life, incarnation, number, about)
    if what == What.DIGEST:
        return head._replace(digest=_DIGEST.unpack(rest)) if len(rest) == _DIGEST.size else None
    if len(rest) % _NEWS.size:
        return None
    news = [
        News(who, State(state), of, inc, age / 16.0)
        for who, state, of, inc, age in _NEWS.iter_unpack(rest)
        if state in iter(State)
    ]
    return head._replace(news=news)


def newer(one: int, other: int) -> bool:
    """Whether the first of two 32-bit lives, which wrap around, is the later one."""
    return 0 < (one - other) & 0xFFFFFFFF < 0x80000000


def later(one: int, other: int) -> bool:
    """Whether the first of two 16-bit incarnations, which wrap around, is the later one."""
    return 0 < (one - other) & 0xFFFF < 0x8000
