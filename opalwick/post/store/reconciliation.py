"""Ends that this store has missed, learned from the other replicas of the same messages. No I/O; part of
`message_store.py`.

Stores compare all pending messages when a link between them comes up. Here they compare single messages
without a new link: those whose owner is gone, which may have reported an end to some of the replicas only,
and those that should have ended long ago, whatever the reason.
"""

from __future__ import annotations

from collections.abc import Iterable

from opalwick.post.store.batches import batches
from opalwick.post.store.records import Entry
from opalwick.post.store.state import StoreState
from opalwick.post.wire_pb2 import Have

OVERDUE = 3.0  # s after a message was due until the other replicas are asked whether it has ended
SCAN_INTERVAL = 1.0  # s between scans for such messages
SCAN_SIZE = 200  # messages per scan: some microseconds each


class Reconciliation:
    """Finds the messages to compare and requests their state from the other replicas."""

    def __init__(self, store: StoreState) -> None:
        self.store = store
        self.suspects: dict[str, None] = {}  # messages to compare at the next tick
        self.next_scan = store.now
        self.unscanned: list[str] = []  # ids of messages that the current scan has yet to check

    def suspect(self, mid: str) -> None:
        """Marks a message that has lost its owner: another replica may have its end."""
        self.suspects[mid] = None

    def tick(self) -> None:
        """Sends the comparisons that are due."""
        if self.suspects:
            self.query(self.suspects)
            self.suspects.clear()
        if self.store.settled and self.next_scan <= self.store.now:
            self.next_scan = self.store.now + SCAN_INTERVAL
            self.query(self.overdue())

    def query(self, mids: Iterable[str]) -> None:
        """Requests what the other replicas of these messages have of them."""
        by_node: dict[str, list[str]] = {}
        for mid in mids:
            for node in self.other_replicas(mid):
                by_node.setdefault(node, []).append(mid)
        for node, pending in by_node.items():
            for batch in batches(pending):
                self.store.send(node, "have", Have(pending=batch, ends=True))

    def other_replicas(self, mid: str) -> list[str]:
        """The linked stores that have the message as well; none if it has ended here."""
        entry = self.store.entries.get(mid)
        if entry is None:
            return []
        return [node for node in entry.replicas if node != self.store.node and node in self.store.peers]

    def overdue(self) -> list[str]:
        """Ids of overdue messages in the next part of all pending ones."""
        if not self.unscanned:
            self.unscanned = list(self.store.entries)
        part = self.unscanned[-SCAN_SIZE:]
        del self.unscanned[-SCAN_SIZE:]
        return [mid for mid in part if self.is_overdue(self.store.entries.get(mid))]

    def is_overdue(self, entry: Entry | None) -> bool:
        return entry is not None and entry.due + OVERDUE <= self.store.now
