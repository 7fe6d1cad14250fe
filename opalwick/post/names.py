"""Names of messages, and short names of nodes and processes.

A message has one name, which its client is given in `X-Msg-Id` and under which every process stores it. Names
are compared as a whole: no part of a name identifies a message. Their form is

    GATEWAY.START.NUMBER.SECRET_HINT_HINT.CHECK

- `GATEWAY`, `START` and `NUMBER` make the name unique among those given by all processes: a hash of the
  node's name, the process's start time in milliseconds, a counter;
- `SECRET`, 64 random bits, prevents clients from deriving other names from one that they have;
- each `HINT` is a hash of a store that the message was sent to; it only says which stores to query first;
- `CHECK` is a checksum of everything before it and of the message's host. A name that was altered, or that is
  looked up under another host, is rejected without querying any store.

All are in base 36 (digits and lower-case letters). A name has at most 61 characters; 64 are allowed.

Names given by an earlier version have the form `GATEWAY.START.NUMBER-TAG-TAG`. Its stores hold the message
under the part before the first dash, and a store of this version compares the tags with the replicas that it
has recorded.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

BASE36_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"
SECRET_BYTES = 8
SECRET_DIGITS = 13  # 64 bits in base 36
# secrets drawn at once: one system call for each would cost more than the rest of a name
SECRETS_PER_DRAW = 64
HINT_DIGITS = 4
MAX_HINTS = 3  # a name must not be longer than 64 characters
CHECK_DIGITS = 7  # 32 bits in base 36

RandomBytes = Callable[[int], bytes]

_NAME = re.compile(
    rf"[0-9a-z]{{1,7}}\.[0-9a-z]{{1,9}}\.[0-9a-z]{{1,6}}\.[0-9a-z]{{{SECRET_DIGITS}}}"
    rf"((?:_[0-9a-z]{{{HINT_DIGITS}}}){{1,{MAX_HINTS}}})\.[0-9a-z]{{{CHECK_DIGITS}}}"
)
_EARLIER_NAME = re.compile(r"([0-9a-z]{1,7}\.[0-9a-z]{1,9}\.[0-9a-z]{1,9})((?:-[0-9a-z]{1,7})+)", re.ASCII)


def base36(number: int) -> str:
    """A non-negative integer in base 36."""
    if number == 0:
        return "0"
    digits = ""
    while number:
        number, rest = divmod(number, 36)
        digits = BASE36_DIGITS[rest] + digits
    return digits


def node_tag(node: str) -> str:
    """A hash of a node's name: at most 7 digits in base 36."""
    return base36(zlib.crc32(node.encode()))


def process_id(node: str, incarnation: int) -> str:
    """Identifies one process incarnation of a node."""
    return f"{node}/{incarnation}"


def hint(node: str) -> str:
    """The hash that stands for a store in a message's name."""
    return base36(zlib.crc32(node.encode()) % 36**HINT_DIGITS).rjust(HINT_DIGITS, "0")


def bare_host(host: str) -> str:
    """A host as used in routes: in lower case, without a port."""
    name = host.lower()
    if name.startswith("["):  # an IPv6 address
        return name.partition("]")[0]
    return name.partition(":")[0]


def checksum(stem: str, host: str) -> str:
    """The last part of a name that begins with `stem`, for a message with that host."""
    crc = zlib.crc32(f"{stem}/{bare_host(host)}".encode())
    return base36(crc).rjust(CHECK_DIGITS, "0")


class NameGenerator:
    """Generates the names that one process gives to messages."""

    def __init__(self, node: str, incarnation: int, random_bytes: RandomBytes) -> None:
        """`incarnation`: the process's start time in ms. `random_bytes`: like `os.urandom`."""
        self.prefix = f"{node_tag(node)}.{base36(incarnation)}."
        self.random_bytes = random_bytes
        self.drawn = b""

    def begin_name(self, number: int) -> str:
        """The first part of a new name. `number`: one that this process has not used before."""
        return f"{self.prefix}{base36(number)}.{self.secret()}"

    def secret(self) -> str:
        if not self.drawn:
            self.drawn = self.random_bytes(SECRETS_PER_DRAW * SECRET_BYTES)
        drawn, self.drawn = self.drawn[:SECRET_BYTES], self.drawn[SECRET_BYTES:]
        return base36(int.from_bytes(drawn, "big")).rjust(SECRET_DIGITS, "0")


def complete_name(begun: str, replicas: Sequence[str], host: str) -> str:
    """The complete name, once the stores that the message is sent to have been chosen."""
    stem = "_".join([begun, *map(hint, replicas[:MAX_HINTS])])
    return f"{stem}.{checksum(stem, host)}"


class ParsedName(NamedTuple):
    """A parsed name from a client's lookup."""

    mid: str  # the id under which stores hold the message
    hints: tuple[str, ...]  # hashes of stores that the message was sent to
    tags: tuple[str, ...] = ()  # in names of an earlier version: tags of the stores that held it; else empty

    @property
    def store_count(self) -> int:
        """The number of stores that the name refers to."""
        return len(self.hints) + len(self.tags)

    def hints_at(self, node: str) -> bool:
        """Whether this store may have the message according to the name."""
        return hint(node) in self.hints or node_tag(node) in self.tags

    def all_stores_in(self, nodes: Iterable[str]) -> bool:
        """Whether every store that the name refers to is one of these."""
        known = set(nodes)
        hints, tags = set(map(hint, known)), set(map(node_tag, known))
        return bool(known) and hints.issuperset(self.hints) and tags.issuperset(self.tags)


def parse_name(name: str, host: str) -> ParsedName | None:
    """Parses a name. None: no message of that host can have this name."""
    if found := _NAME.fullmatch(name):
        stem, _, last = name.rpartition(".")
        return ParsedName(name, tuple(found[1].split("_")[1:])) if last == checksum(stem, host) else None
    if found := _EARLIER_NAME.fullmatch(name):
        return ParsedName(found[1], (), tuple(found[2].split("-")[1:]))
    return None


def message_id(name: str) -> str:
    """The id under which a message of that name is stored. For operators, who may use any host."""
    found = _EARLIER_NAME.fullmatch(name)
    return found[1] if found else name


def matches_tags(tags: Sequence[str], replicas: Sequence[str]) -> bool:
    """Whether a name of an earlier version with these tags is that of a message with these replicas."""
    return list(tags) == list(map(node_tag, replicas))
