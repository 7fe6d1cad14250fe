"""Names of messages, and other short names of nodes and processes.

A message has one name, which its client is given in `X-Msg-Id` and which every process keeps it by. It is
compared whole: no piece of it leads to a message. Its form is

    GATEWAY.START.NUMBER.SECRET_HINT_HINT.CHECK

- `GATEWAY`, `START`, `NUMBER` make it unlike all others of the process that gave it: a hash of the node's
  name, the process's start in milliseconds, a count;
- `SECRET`, 64 random bits, keeps whoever has one name from making another;
- each `HINT` is a hash of a store that was asked to keep the message; it only says whom to ask first;
- `CHECK` is a sum of all that stands before it and of the message's host. A name that was altered, or that is
  asked under another host, is known as such without asking any store.

All are digits and lower-case letters (base 36); a name has at most 61 of the 64 letters that it may have.

Names of an earlier version have the form `GATEWAY.START.NUMBER-TAG-TAG`: its stores keep the message by
what stands before the first dash, and a store of this version compares the tags with those that it has.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

LETTERS = "0123456789abcdefghijklmnopqrstuvwxyz"
SECRET_OCTETS = 8
SECRET_LETTERS = 13  # 64 bits in base 36
DRAWN = 64  # secrets that are drawn at once: a system call each would cost more than the rest of a name
HINT_LETTERS = 4
HINTS = 3  # at most: a name must not be longer than 64 letters
CHECK_LETTERS = 7  # 32 bits in base 36

RandomOctets = Callable[[int], bytes]

_NAME = re.compile(
    rf"[0-9a-z]{{1,7}}\.[0-9a-z]{{1,9}}\.[0-9a-z]{{1,6}}\.[0-9a-z]{{{SECRET_LETTERS}}}"
    rf"((?:_[0-9a-z]{{{HINT_LETTERS}}}){{1,{HINTS}}})\.[0-9a-z]{{{CHECK_LETTERS}}}"
)
_EARLIER_NAME = re.compile(r"([0-9a-z]{1,7}\.[0-9a-z]{1,9}\.[0-9a-z]{1,9})((?:-[0-9a-z]{1,7})+)", re.ASCII)


def short(number: int) -> str:
    """A whole number of nought or more, in base 36."""
    if number == 0:
        return "0"
    found = ""
    while number:
        number, rest = divmod(number, 36)
        found = LETTERS[rest] + found
    return found


def tag(node: str) -> str:
    """Seven letters at most that stand for a node."""
    return short(zlib.crc32(node.encode()))


def owner(node: str, life: int) -> str:
    """One process of a node."""
    return f"{node}/{life}"


def hint(node: str) -> str:
    """What stands for a store in a message's name."""
    return short(zlib.crc32(node.encode()) % 36**HINT_LETTERS).rjust(HINT_LETTERS, "0")


def bare_host(host: str) -> str:
    """A host as routes have it: in lower case, without a port."""
    name = host.lower()
    if name.startswith("["):  # an IPv6 address
        return name.partition("]")[0]
    return name.partition(":")[0]


def check(stem: str, host: str) -> str:
    """The last part of a name that begins with `stem`, for a message of that host."""
    summed = zlib.crc32(f"{stem}/{bare_host(host)}".encode())
    return short(summed).rjust(CHECK_LETTERS, "0")


class Names:
    """The names that one process gives to messages."""

    def __init__(self, node: str, life: int, random_octets: RandomOctets) -> None:
        """`life`: the process's start. `random_octets`: as `os.urandom`."""
        self.prefix = f"{tag(node)}.{short(life)}."
        self.random_octets = random_octets
        self.drawn = b""

    def begin(self, number: int) -> str:
        """The first part of a new name. `number`: none that this process has used before."""
        return f"{self.prefix}{short(number)}.{self.secret()}"

    def secret(self) -> str:
        if not self.drawn:
            self.drawn = self.random_octets(DRAWN * SECRET_OCTETS)
        drawn, self.drawn = self.drawn[:SECRET_OCTETS], self.drawn[SECRET_OCTETS:]
        return short(int.from_bytes(drawn, "big")).rjust(SECRET_LETTERS, "0")


def finish(begun: str, holders: Sequence[str], host: str) -> str:
    """The whole name, once it is known which stores are asked to keep the message."""
    stem = "_".join([begun, *map(hint, holders[:HINTS])])
    return f"{stem}.{check(stem, host)}"


class Asked(NamedTuple):
    """What a client's question names."""

    mid: str  # by which stores keep the message
    hints: tuple[str, ...]  # of stores that were asked to keep it
    tags: tuple[str, ...] = ()  # of an earlier version's name: stores that kept it; else empty

    @property
    def copies(self) -> int:
        """Stores that the name tells of."""
        return len(self.hints) + len(self.tags)

    def hinted(self, node: str) -> bool:
        """Whether the name says that this store may have the message."""
        return hint(node) in self.hints or tag(node) in self.tags

    def all_among(self, nodes: Iterable[str]) -> bool:
        """Whether each store that the name tells of is one of these."""
        known = set(nodes)
        hints, tags = set(map(hint, known)), set(map(tag, known))
        return bool(known) and hints.issuperset(self.hints) and tags.issuperset(self.tags)


def read(name: str, host: str) -> Asked | None:
    """None: no message of that host has this name, whatever stores know."""
    if found := _NAME.fullmatch(name):
        stem, _, last = name.rpartition(".")
        return Asked(name, tuple(found[1].split("_")[1:])) if last == check(stem, host) else None
    if found := _EARLIER_NAME.fullmatch(name):
        return Asked(found[1], (), tuple(found[2].split("-")[1:]))
    return None


def kept_by(name: str) -> str:
    """By what a message of that name is kept, for operators: they may ask whatever its host is."""
    found = _EARLIER_NAME.fullmatch(name)
    return found[1] if found else name


def is_name_of(tags: Sequence[str], holders: Sequence[str]) -> bool:
    """Whether a name of an earlier version with these tags is that of a message which these stores keep."""
    return list(tags) == list(map(tag, holders))
