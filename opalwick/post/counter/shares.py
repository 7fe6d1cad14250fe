"""Which workers a counter uses of a service, and by how many connections: a worker takes only so many.

Rendezvous hashing names them: each counter ranks all workers by itself, near ones first, and the first are
its own. All counters together then stay under what the workers take, without a word between them.
"""

from __future__ import annotations

import zlib

from opalwick.post.counter.desks import Row

ROOM = 0.9  # of a worker's connections that are planned for: counters learn of each other late
TWO = 2  # workers at least, where there are two: one alone may be the sick one


def budget(most: int, workers: int, counters: int) -> tuple[int, int]:
    """Workers that a counter uses, and connections to each. `most`: that a worker takes, 0: not known."""
    if not most or not workers:
        return workers, 0
    mine = ROOM * most * workers / max(1, counters)
    each = int(mine / workers) or (2 if mine >= 2 * TWO else 1)
    return min(workers, max(TWO, int(mine / each))), each


def chosen(rows: list[Row], node: str, zone: str, count: int) -> list[Row]:
    """Those that a counter in that zone uses; one that is to end is in use until it has."""
    ranked = sorted(
        (row for row in rows if not row.draining),
        key=lambda row: (row.zone != zone, zlib.crc32(f"{node}/{row.id}".encode())),
    )
    return ranked[:count] + [row for row in rows if row.draining]
