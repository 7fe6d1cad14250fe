"""State that a store has about a message, and the effects that its decisions produce."""

from __future__ import annotations

from typing import Any, NamedTuple

from opalwick.post.store.placement import Placement


class Entry:
    """A pending message. Times are in seconds of this store's clock."""

    __slots__ = (
        "assigned_at",
        "claim",
        "due",
        "fails",
        "home",
        "lost",
        "mid",
        "min_claim",
        "owner",
        "placement",
        "release_reason",
        "size",
        "until",
    )

    def __init__(
        self,
        mid: str,
        placement: Placement,
        due: float,
        until: float,
        fails: int = 0,
        lost: int = 0,
        size: int = 0,
        home: str = "",
    ) -> None:
        """`size`: bytes on the disk. `home`: the country that the message must not leave; empty: any."""
        self.size, self.home = size, home
        self.mid, self.placement, self.due, self.until = mid, placement, due, until
        self.claim, self.owner, self.fails, self.lost = 0, "", fails, lost
        self.min_claim = 0  # claims below this are void: their gateway's lease expired
        self.assigned_at = 0.0  # when it was assigned to its owner, if that has not acknowledged it; else 0
        self.release_reason = ""  # why it has no owner, for traces; empty: it never had one here

    @property
    def replicas(self) -> tuple[str, ...]:
        return self.placement.replicas


class KnownEnd(NamedTuple):
    """How a message has ended, as this store reports it."""

    complete: bool  # else it is dead (ended without a success)
    seal: str  # completion token of the answer that reported the success
    until: float  # s, this store's clock: when the record of the end expires
    placement: Placement  # stores that have this record, and the bytes of a dead message

    @property
    def replicas(self) -> tuple[str, ...]:
        return self.placement.replicas


class Write(NamedTuple):
    """A change of the disk. `then`: peer messages (node, kind, message) that are sent once it is synced."""

    kind: str
    fields: tuple[Any, ...]
    then: tuple[tuple[str, str, Any], ...] = ()


class Send(NamedTuple):
    """A peer message that is sent at once. `word`: the message, of the wire kind `kind`."""

    node: str
    kind: str
    word: Any


class Fetch(NamedTuple):
    """A request for the message's bytes from the disk; they are passed to `fetched` with `why`."""

    mid: str
    why: tuple[Any, ...]
