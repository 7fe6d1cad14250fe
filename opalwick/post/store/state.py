"""The interface of a store's state machine that its parts use.

The message store of `keeping.py` is its one implementation. Its parts (`moving.py`, `reconciliation.py`) get
it as this type, so that none of them has to import the module that imports them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from opalwick.post.store.records import Entry, KnownEnd
from opalwick.post.store.seal import Seal
from opalwick.post.wire_pb2 import Holders


class StoreState(Protocol):
    """The state of a store. Times are in seconds of its clock."""

    node: str
    zone: str
    now: float
    settled: bool  # state was compared with all other stores that answer
    entries: dict[str, Entry]  # pending messages, by id
    ends: dict[str, KnownEnd]  # by message id
    unsynced: set[str]  # ends that are not on the disk yet
    dead_sizes: dict[str, int]  # bytes of each dead message
    peers: dict[str, float]  # linked stores: when the last heartbeat of each was received
    peers_settled: dict[str, bool]
    seal: Seal

    def country(self, zone: str) -> str:
        """The country that a zone is in; empty where it is unknown."""
        ...

    def is_acting(self, entry: Entry) -> bool:
        """Whether this store is the one among the message's replicas that assigns it."""
        ...

    def send(self, node: str, kind: str, msg: Any) -> None: ...

    def fetch(self, mid: str, why: tuple[Any, ...]) -> None:
        """Requests the message's bytes from the disk, for this reason."""
        ...

    def send_end(self, mid: str, nodes: Iterable[str]) -> None:
        """Sends how the message ended to these nodes."""
        ...

    def holders(self, node: str, msg: Holders) -> None:
        """Handles that node's list of the stores that have a replica from now on."""
        ...

    def write_seal(self, key: Any) -> None:
        """Writes the seal to the disk."""
        ...
