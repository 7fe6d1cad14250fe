"""Which stores have a replica of a message or of its end, with a version that only grows. No I/O."""

from __future__ import annotations

import zlib
from typing import NamedTuple

VERSION_SHIFT = 32  # bits below the version in a stamp: those of the checksum


class Placement(NamedTuple):
    """A replica set. Of two sets of one message the one with the larger stamp is newer, whoever reports
    it.
    """

    replicas: tuple[str, ...]  # nodes; the first available one acts for the message
    version: int = 0  # grows with each change of the set; 0: as chosen by the gateway that accepted it

    @property
    def stamp(self) -> int:
        """Orders all placements of a message: by version, and by content where two stores changed the same
        version without a link to each other.
        """
        return self.version << VERSION_SHIFT | zlib.crc32(" ".join(self.replicas).encode())

    def is_newer_than(self, other: Placement) -> bool:
        return self.stamp > other.stamp

    def changed_to(self, replicas: tuple[str, ...]) -> Placement:
        """The next version, with these replicas."""
        return Placement(replicas, self.version + 1)


class HolderIndex:
    """Message ids by the stores that should have them."""

    def __init__(self, copies: int) -> None:
        """`copies`: replicas that each should have."""
        self.copies = copies
        self.by_holder: dict[str, set[str]] = {}
        self.thin = set[str]()  # messages whose placement has fewer replicas

    def add(self, mid: str, replicas: tuple[str, ...]) -> None:
        for node in replicas:
            self.by_holder.setdefault(node, set()).add(mid)
        if len(replicas) < self.copies:
            self.thin.add(mid)

    def remove(self, mid: str, replicas: tuple[str, ...]) -> None:
        self.thin.discard(mid)
        for node in replicas:
            if (mids := self.by_holder.get(node)) is not None:
                mids.discard(mid)
                if not mids:
                    del self.by_holder[node]

    def of(self, node: str) -> list[str]:
        """Ids of the messages that this store should have, in order."""
        return sorted(self.by_holder.get(node, ()))
