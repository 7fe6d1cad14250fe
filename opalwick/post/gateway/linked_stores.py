"""Which stores a gateway keeps links to: few, by rendezvous hashing, however many there are.

A gateway stores messages at these alone. It links to another store for a while if a message that is stored
there is assigned to it or looked up.
"""

from __future__ import annotations

import zlib

from opalwick.post.wire_pb2 import Node

# stores of the own zone per replica, and minimum in total per replica: enough remain after the failures that
# messages must survive
STORES_PER_REPLICA = 3
STORES_PER_OTHER_ZONE = 1  # stores of each other zone; per replica if replicas are spread over zones


def linked_stores(stores: list[Node], node: str, zone: str, replicas: int, spread: bool) -> list[Node]:
    """The stores to which a gateway in that zone keeps links. `replicas`: of a message. `spread`: whether
    replicas are in different zones.
    """
    ranked = sorted(stores, key=lambda store: (zlib.crc32(f"{node}/{store.node}".encode()), store.node))
    chosen: dict[str, int] = {}
    linked = []
    for store in ranked:
        limit = (
            STORES_PER_REPLICA * replicas
            if store.zone == zone
            else STORES_PER_OTHER_ZONE * replicas
            if spread
            else STORES_PER_OTHER_ZONE
        )
        if chosen.get(store.zone, 0) < limit:
            chosen[store.zone] = chosen.get(store.zone, 0) + 1
            linked.append(store)
    names = {store.node for store in linked}  # if the zone has few stores, others fill up
    rest = [store for store in ranked if store.node not in names]
    return linked + rest[: max(0, STORES_PER_REPLICA * replicas - len(linked))]
