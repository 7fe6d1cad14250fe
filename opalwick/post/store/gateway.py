"""A gateway as a store sees it."""

from __future__ import annotations

# bytes assigned to one gateway that it has not acknowledged: half a second of a 100 Mbit/s link
ASSIGN_WINDOW = 4 << 20


class Gateway:
    """A gateway ("counter" on the wire) as this store sees it."""

    __slots__ = (
        "assigned",
        "incarnation",
        "last_seen",
        "leaving",
        "linked",
        "node",
        "ready",
        "unacknowledged_bytes",
        "zone",
    )

    def __init__(self, node: str, incarnation: int, zone: str, now: float) -> None:
        self.node, self.incarnation, self.zone, self.last_seen = node, incarnation, zone, now
        self.linked, self.ready, self.leaving, self.assigned = True, False, False, 0
        self.unacknowledged_bytes = 0  # of messages assigned to it

    def has_room(self, size: int) -> bool:
        """Whether that many bytes more may be assigned to it; one message may always be."""
        return not self.unacknowledged_bytes or self.unacknowledged_bytes + size <= ASSIGN_WINDOW
