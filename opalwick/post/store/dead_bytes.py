"""Dead messages whose end is here without the bytes, which are requested from the other stores. No I/O; part
of `message_store.py`.

An end may come without the bytes: from a gateway, to a store that never had the message, or from a store that
lacks them itself. Whoever should have them asks one store after the other until they have come.
"""

from __future__ import annotations

import math

from opalwick.post.store.batches import batches
from opalwick.post.store.state import StoreState
from opalwick.post.wire_pb2 import Differ

RETRY = 1.0  # s until the next store is asked


class DeadBytes:
    """The requests of this store."""

    def __init__(self, store: StoreState) -> None:
        self.store = store
        self.requests: dict[
            str, int
        ] = {}  # by message whose bytes are not here: how often they were requested
        self.requested_at = -math.inf

    def lacking(self, mid: str) -> None:
        """The message is dead, and its bytes are not here."""
        self.requests.setdefault(mid, 0)

    def arrived(self, mid: str) -> None:
        """The bytes are here, or the record of the end has expired."""
        self.requests.pop(mid, None)

    def expected(self, mid: str) -> bool:
        """Whether the bytes should be here and are not, and some linked store was not asked yet."""
        count = self.requests.get(mid)
        return count is not None and count <= len(self.store.peers) and self.is_listed(mid)

    @property
    def count(self) -> int:
        """Dead messages whose bytes should be here and are not."""
        return sum(self.is_listed(mid) for mid in self.requests)

    def is_listed(self, mid: str) -> bool:
        return self.store.node in self.store.replicas_of(mid)

    def tick(self) -> None:
        """Sends the requests that are due."""
        if not self.requests or self.store.now - self.requested_at < RETRY:
            return
        self.requested_at = self.store.now
        by_node: dict[str, list[str]] = {}
        for mid in self.requests:
            if self.is_listed(mid) and (node := self.next_source(mid)):
                by_node.setdefault(node, []).append(mid)
                self.requests[mid] += 1
        for node, mids in by_node.items():
            for batch in batches(mids):
                self.store.send(node, "differ", Differ(lack=batch))

    def next_source(self, mid: str) -> str:
        """The linked store to ask next, those of the placement first; empty: there is none."""
        peers = self.store.peers
        listed = [node for node in self.store.replicas_of(mid) if node in peers]
        sources = [*listed, *sorted(peers.keys() - set(listed))]
        return sources[self.requests[mid] % len(sources)] if sources else ""
