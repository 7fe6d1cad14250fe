"""The interface of a store's state machine that its parts use.

The message store of `message_store.py` is its one implementation. Its parts (`comparison.py`,
`rebalancing.py`, `reconciliation.py`, `transfers.py`) get it as this type, so that none of them has to import
the module that imports them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from opalwick.post.store.placement import HolderIndex, Placement
from opalwick.post.store.records import Entry, KnownEnd, Write
from opalwick.post.store.seal import Seal
from opalwick.post.wire_pb2 import End


class StoreState(Protocol):
    """The state of a store. Times are in seconds of its clock."""

    node: str
    zone: str
    now: float
    settled: bool  # state was compared with all other stores that answer
    entries: dict[str, Entry]  # pending messages, by id
    ends: dict[str, KnownEnd]  # by message id
    entry_holders: HolderIndex  # of pending messages
    end_holders: HolderIndex  # of ends
    unsynced: set[str]  # ends that are not on the disk yet
    dead_sizes: dict[str, int]  # bytes of each dead message
    peers: dict[str, float]  # linked stores: when the last heartbeat of each was received
    peers_settled: dict[str, bool]
    protocols: dict[str, int]  # of linked stores: see `Hello.replication`
    members: set[str] | None  # all other stores, by the controllers; None: not known yet
    seal: Seal
    writes: list[Write]
    event: Callable[..., None]  # logs an event: its number, and its fields

    def country(self, zone: str) -> str:
        """The country that a zone is in; empty where it is unknown."""
        ...

    def is_acting(self, known: Entry | KnownEnd) -> bool:
        """Whether this store is the one among the message's replicas that assigns and repairs it."""
        ...

    def send(self, node: str, kind: str, msg: Any) -> None: ...

    def fetch(self, mid: str, why: tuple[Any, ...]) -> None:
        """Requests the message's bytes from the disk, for this reason."""
        ...

    def size_of(self, mid: str) -> int:
        """Bytes of a pending or dead message on the disk."""
        ...

    def replicas_of(self, mid: str) -> tuple[str, ...]:
        """Stores that have the message or its end; empty where it is unknown."""
        ...

    def owes_copy(self, node: str, mid: str) -> bool:
        """Whether that store should get a copy of the message from this one, as far as is known now."""
        ...

    def expects_bytes(self, mid: str) -> bool:
        """Whether the bytes of a dead message are not here yet, and may still come from another store."""
        ...

    def send_end(self, mid: str, nodes: Iterable[str]) -> None:
        """Sends how the message ended to these nodes."""
        ...

    def end_message(self, mid: str) -> End:
        """The end as a peer message to other stores."""
        ...

    def learn_end(self, node: str, end: End) -> None:
        """Records an end that another store reports."""
        ...

    def place(self, mid: str, placement: Placement) -> bool:
        """Adopts a placement if it is newer than the known one. Returns whether it was."""
        ...

    def drop(self, entry: Entry) -> None:
        """Deletes this store's replica."""
        ...

    def write_seal(self, key: Any) -> None:
        """Writes the seal to the disk."""
        ...
