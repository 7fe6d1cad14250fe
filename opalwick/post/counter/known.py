"""Which depots a counter knows and watches: few, named by rendezvous hashing, however many there are.

Messages are kept at these alone. Others are called on when a message that they keep is assigned or asked for.
"""

from __future__ import annotations

import zlib

from opalwick.post.wire_pb2 import Node

# depots of the own zone to each copy, and so many in all at least: enough are left with what may be lost
NEAR = 3
FAR = 1  # of each other zone; to each copy where copies stand in different zones


def known(depots: list[Node], node: str, zone: str, copies: int, spread: bool) -> list[Node]:
    """Of all that are there, those that a counter in that zone is linked to."""
    ranked = sorted(depots, key=lambda depot: (zlib.crc32(f"{node}/{depot.node}".encode()), depot.node))
    taken: dict[str, int] = {}
    found = []
    for depot in ranked:
        most = NEAR * copies if depot.zone == zone else FAR * copies if spread else FAR
        if taken.get(depot.zone, 0) < most:
            taken[depot.zone] = taken.get(depot.zone, 0) + 1
            found.append(depot)
    names = {depot.node for depot in found}  # where the zone has few, and others many
    rest = [depot for depot in ranked if depot.node not in names]
    return found + rest[: max(0, NEAR * copies - len(found))]
