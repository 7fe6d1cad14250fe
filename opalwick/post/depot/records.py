"""What a depot knows of a message that has not ended, and the effects that its decisions leave behind."""

from __future__ import annotations

from typing import Any, NamedTuple


class Entry:
    """A message that has not ended. Times are this depot's clock."""

    __slots__ = (
        "asked_at",
        "claim",
        "due",
        "fails",
        "freed_by",
        "holders",
        "home",
        "lost",
        "mid",
        "owner",
        "size",
        "taken",
        "until",
    )

    def __init__(
        self,
        mid: str,
        holders: tuple[str, ...],
        due: float,
        until: float,
        fails: int = 0,
        lost: int = 0,
        size: int = 0,
        home: str = "",
    ) -> None:
        """`size`: octets on the disk. `home`: the country that it must not leave."""
        self.size, self.home = size, home
        self.mid, self.holders, self.due, self.until = mid, holders, due, until
        self.claim, self.owner, self.fails, self.lost = 0, "", fails, lost
        self.taken = 0  # who has a number under this lost it by its silence
        self.asked_at = 0.0  # when it was assigned to its owner, which has not said that it has it
        self.freed_by = ""  # why it has no owner, as traces tell it; empty: it never had one here


class KnownEnd(NamedTuple):
    """How a message has ended, as this depot tells it to whoever asks."""

    complete: bool  # else it is dead
    seal: str  # of the answer that its success gave
    until: float  # s, this depot's clock: it is told for so long
    holders: tuple[str, ...]  # depots that kept the message


class Write(NamedTuple):
    """`then`: words for nodes, each once this is synced."""

    kind: str
    fields: tuple[Any, ...]
    then: tuple[tuple[str, str, Any], ...] = ()


class Send(NamedTuple):
    node: str
    kind: str
    word: Any


class Fetch(NamedTuple):
    """The message's octets from the disk, to be handed to `fetched` with this reason."""

    mid: str
    why: tuple[Any, ...]
