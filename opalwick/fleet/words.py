"""The words of membership: one further kind of those that schedulers send each other, of at most 256 octets.

One first octet for all of them, so that a network that does away with some kinds does away with none or all
of these. A checksum, as a changed octet in a life or in a piece of news would be a lie about somebody.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

KIND = 2  # 0 and 1 are words and sums of what is in flight (`protocol/words.py`)
LONGEST = 256  # octets
_CHECK = struct.Struct("<I")
# kind, what it is, who says it, its life and incarnation, a number to know the answer by, whom it is about
_HEAD = struct.Struct("<BBHIHHH")
# about whom, state, life, incarnation, age in sixteenths of a second (255: so long or longer)
_NEWS = struct.Struct("<HBIHB")
BUCKETS = 16  # of a digest: some members each at the usual sizes, and 32 octets
_DIGEST = struct.Struct(f"<{BUCKETS}H")
MOST = (LONGEST - _CHECK.size - _HEAD.size) // _NEWS.size  # pieces of news that fit


class What(IntEnum):
    PING = 0  # answer me
    AROUND = 1  # answer me, straight and by others, as I may not hear you
    ANSWER = 2  # to `number`; where `about` is another, from it and passed on by the sender
    ASK = 3  # ping `about` for me, and tell me if it does not answer you
    PASS = 4  # give this to `about`: my answer to its `number`
    SILENT = 5  # `about` does not answer me either
    NEWS = 6
    DIGEST = 7  # of all that I hold; answer with what differs
    ITEMS = 8  # what differs; `about` 1: answer with yours


class State(IntEnum):
    UNKNOWN = 0  # never heard of
    ALIVE = 1
    SUSPECT = 2
    GONE = 3
    LEFT = 4  # as it said itself
    APART = 5  # no state: `about` does not hear the member whose number stands as the life


class News(NamedTuple):
    about: int
    state: State
    life: int
    incarnation: int
    age: float  # seconds since it was so


class Word(NamedTuple):
    what: What
    sender: int
    life: int
    incarnation: int
    number: int = 0
    about: int = 0
    news: Sequence[News] = ()
    digest: Sequence[int] = ()


def packed(word: Word) -> bytes:
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


def unpacked(octets: bytes) -> Word | None:
    """None for what is not well-formed."""
    body, check = octets[: -_CHECK.size], octets[-_CHECK.size :]
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
    """Of two lives or incarnations that come round at 32 bits: whether the first is the later one."""
    return 0 < (one - other) & 0xFFFFFFFF < 0x80000000


def later(one: int, other: int) -> bool:
    """The same of incarnations, which come round at 16 bits."""
    return 0 < (one - other) & 0xFFFF < 0x8000
