"""What the parts of a depot's state machine need of it: the messages that it keeps, and who else is there.

`Keeping` is the one implementation. Its parts (`moving.py`, `reconciliation.py`) are given it as this type,
so that none of them has to import the module that imports them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from opalwick.post.depot.records import Entry, KnownEnd
from opalwick.post.depot.seal import Seal
from opalwick.post.wire_pb2 import Holders


class Messages(Protocol):
    """Times are in seconds of this depot's clock."""

    node: str
    zone: str
    now: float
    settled: bool  # it has heard what the other depots know, as far as they answer
    entries: dict[str, Entry]  # by message: those that have not ended
    ends: dict[str, KnownEnd]  # by message
    unsynced: set[str]  # ends that are not on the disk yet
    dead: dict[str, int]  # octets of dead messages
    peers: dict[str, float]  # linked depots: when each was heard last
    peers_settled: dict[str, bool]
    seal: Seal

    def country(self, zone: str) -> str: ...

    def acts(self, entry: Entry) -> bool:
        """Whether this depot is the one that acts for the message."""
        ...

    def send(self, node: str, kind: str, word: Any) -> None: ...

    def fetch(self, mid: str, why: tuple[Any, ...]) -> None:
        """The message's octets are read from the disk for this reason."""
        ...

    def tell_end(self, mid: str, nodes: Iterable[str]) -> None: ...

    def holders(self, node: str, word: Holders) -> None:
        """That node says who keeps the message from now on."""
        ...

    def seals(self, key: Any) -> None: ...
