"""Names of messages: who took it, which of its, and where it is kept. They fit `X-Msg-Id` (64 letters)."""

from __future__ import annotations

import zlib

_LETTERS = "0123456789abcdefghijklmnopqrstuvwxyz"


def short(number: int) -> str:
    """A whole number of nought or more, in base 36."""
    if number == 0:
        return "0"
    found = ""
    while number:
        number, rest = divmod(number, 36)
        found = _LETTERS[rest] + found
    return found


def tag(node: str) -> str:
    """Seven letters at most that stand for a node in a message's name."""
    return short(zlib.crc32(node.encode()))


def owner(node: str, life: int) -> str:
    """One process of a node."""
    return f"{node}/{life}"


def shown(mid: str, holders: list[str] | tuple[str, ...]) -> str:
    """What clients are given: the name with the tags of the depots that keep it."""
    return "-".join([mid, *map(tag, holders)])


def split(name: str) -> tuple[str, list[str]]:
    """The name inside, and the tags of its depots."""
    mid, *tags = name.split("-")
    return mid, tags
