"""Which workers of a service a gateway uses, and by how many connections: a worker limits its connections.

Each gateway ranks all workers by rendezvous hashing, those of its own zone first, and uses the first ones. So
all gateways together stay below the workers' limits without coordination.
"""

from __future__ import annotations

import zlib

from opalwick.post.gateway.dispatchers import WorkerRow

# share of a worker's connections that is allotted: gateways learn of each other with a delay
ALLOTTED_SHARE = 0.9
MIN_WORKERS = 2  # workers that a gateway uses if there are as many: a single one may be faulty


def connection_budget(limit: int, workers: int, gateways: int) -> tuple[int, int]:
    """Returns how many workers a gateway uses, and how many connections to each (0: no limit). `limit`:
    number of connections that a worker accepts, 0 if not known.
    """
    if not limit or not workers:
        return workers, 0
    allotted = ALLOTTED_SHARE * limit * workers / max(1, gateways)
    each = int(allotted / workers) or (2 if allotted >= 2 * MIN_WORKERS else 1)
    return min(workers, max(MIN_WORKERS, int(allotted / each))), each


def choose_workers(rows: list[WorkerRow], node: str, zone: str, count: int) -> list[WorkerRow]:
    """The workers that a gateway in that zone uses. A draining worker stays in use until it has ended."""
    ranked = sorted(
        (row for row in rows if not row.draining),
        key=lambda row: (row.zone != zone, zlib.crc32(f"{node}/{row.id}".encode())),
    )
    return ranked[:count] + [row for row in rows if row.draining]
