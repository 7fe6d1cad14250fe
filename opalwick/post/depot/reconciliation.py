"""Ends that this depot has missed, learned from the other depots that keep the same messages. No I/O; part of
`keeping.py`.

Depots compare all that is pending as a link between them comes up. Here they compare single messages without
a new link: those whose deliverer is gone, which may have told its end to some of their depots only, and those
that should have ended long ago, whatever the reason.
"""

from __future__ import annotations

from collections.abc import Iterable

from opalwick.post.depot.messages import Messages
from opalwick.post.depot.records import Entry
from opalwick.post.wire_pb2 import Have

OVERDUE = 3.0  # s after a message was due until the other depots are asked whether it has ended
SCAN = 1.0  # s between looks for such messages
SCANNED = 200  # messages looked at each time: some microseconds each
BATCH = 500  # names in one word


class Reconciliation:
    def __init__(self, keeping: Messages) -> None:
        self.keeping = keeping
        self.doubted: dict[str, None] = {}  # messages to be asked about at the next tick
        self.scan_at = keeping.now
        self.unscanned: list[str] = []  # names of messages that are still to be looked at

    def doubt(self, mid: str) -> None:
        """That message has lost its deliverer: another depot may know that it has ended."""
        self.doubted[mid] = None

    def tick(self) -> None:
        if self.doubted:
            self.ask_about(self.doubted)
            self.doubted.clear()
        if self.keeping.settled and self.scan_at <= self.keeping.now:
            self.scan_at = self.keeping.now + SCAN
            self.ask_about(self.overdue())

    def ask_about(self, mids: Iterable[str]) -> None:
        """The other depots that keep these are asked what they know of them."""
        asked: dict[str, list[str]] = {}
        for mid in mids:
            for node in self.others_that_keep(mid):
                asked.setdefault(node, []).append(mid)
        for node, pending in asked.items():
            for at in range(0, len(pending), BATCH):
                self.keeping.send(node, "have", Have(pending=pending[at : at + BATCH], ends=True))

    def others_that_keep(self, mid: str) -> list[str]:
        """Those of them that are linked; none if the message has ended here."""
        entry = self.keeping.entries.get(mid)
        if entry is None:
            return []
        return [node for node in entry.holders if node != self.keeping.node and node in self.keeping.peers]

    def overdue(self) -> list[str]:
        """Names of messages that should have ended, out of the next part of all that are kept."""
        if not self.unscanned:
            self.unscanned = list(self.keeping.entries)
        part = self.unscanned[-SCANNED:]
        del self.unscanned[-SCANNED:]
        return [mid for mid in part if self.is_overdue(self.keeping.entries.get(mid))]

    def is_overdue(self, entry: Entry | None) -> bool:
        return entry is not None and entry.due + OVERDUE <= self.keeping.now
