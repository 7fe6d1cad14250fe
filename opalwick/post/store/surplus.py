"""Replicas here that the newest placement of their message does not list. No I/O; part of `comparison.py`.

They are deleted once enough of the listed stores have confirmed that they have theirs on disk.
"""

from __future__ import annotations

from opalwick.post.store.batches import batches
from opalwick.post.store.questions import Kind, Questions
from opalwick.post.store.state import StoreState
from opalwick.post.wire_pb2 import Have

HOLD = 3.0  # s for which the copy of a move that is not completed is kept
RETRY = 1.0  # s until the holders of a surplus replica are asked again


def list_pending(store: StoreState, pending: list[str]) -> Have:
    """A list of these pending messages, with their placements' stamps."""
    stamps = [store.entries[mid].placement.stamp for mid in pending]
    return Have(pending=pending, stamps=stamps)


class SurplusReplicas:
    """The surplus replicas of this store."""

    def __init__(self, store: StoreState, questions: Questions, copies: int) -> None:
        """`copies`: replicas that a message should have."""
        self.store, self.questions, self.copies = store, questions, copies
        self.confirmed_by: dict[
            str, set[str]
        ] = {}  # by message: the listed stores that have confirmed theirs
        self.asked_at: dict[str, float] = {}

    @property
    def count(self) -> int:
        return len(self.confirmed_by)

    def placed(self, mid: str, replicas: tuple[str, ...]) -> None:
        """The placement of a message that is pending here has changed."""
        if self.store.node in replicas:
            self.forget(mid)
        else:
            self.confirmed_by.setdefault(mid, set())
            self.asked_at.setdefault(mid, -RETRY)

    def hold(self, mid: str) -> None:
        """The copy is part of a move: until that is completed, the placement in force does not list it."""
        if mid in self.confirmed_by:
            self.asked_at[mid] = self.store.now + HOLD - RETRY

    def forget(self, mid: str) -> None:
        """The replica is not surplus, or no longer here."""
        self.confirmed_by.pop(mid, None)
        self.asked_at.pop(mid, None)

    def confirm(self, node: str, mid: str) -> None:
        """That store has the message on its disk."""
        entry = self.store.entries.get(mid)
        if entry is None or mid not in self.confirmed_by:
            return
        confirmed = self.confirmed_by[mid]
        confirmed.add(node)
        listed = set(entry.replicas)
        if len(confirmed & listed) >= min(self.copies, len(listed)):
            self.store.drop(entry)

    def tick(self) -> None:
        """Asks the listed stores whether they have their replicas on disk."""
        if not self.confirmed_by:
            return
        store = self.store
        due = [mid for mid, at in self.asked_at.items() if store.now - at >= RETRY]
        by_node: dict[str, list[str]] = {}
        for mid in due:
            self.asked_at[mid] = store.now
            for node in store.entries[mid].replicas:
                if node in store.peers:
                    by_node.setdefault(node, []).append(mid)
        for node, mids in by_node.items():
            if not store.protocols.get(node):  # it confirms nothing; its link is up, and it is listed
                for mid in mids:
                    self.confirm(node, mid)
                continue
            for batch in batches(mids):
                self.questions.ask(node, Kind.CONFIRMATION, list_pending(store, batch))
