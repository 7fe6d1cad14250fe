"""One probe of a worker's load, from its connection to its answer."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence

from opalwick.protocol.http import Malformed, Message, received
from opalwick.protocol.workers import figures
from opalwick.transport.connection import Address
from opalwick.transport.limits import Limits
from opalwick.transport.pool import NoRoom, Pool


def probe(address: Address, pool: Pool, limits: Limits, names: Sequence[str]) -> tuple[float, ...]:
    """The figures that the worker told, in the order of the names; none where it told none, or nothing came.

    It waits. What fails here proves nothing of work: nothing of it is told but that there are no figures.
    """
    try:
        connection = pool.take(address)
    except NoRoom:
        return ()
    until = time.monotonic() + limits.probe
    found: Message | None = None
    try:
        if not connection.used:
            connection.used = 1
            connection.connect(address, min(limits.connect, limits.probe))
        connection.write(
            b"GET /-/load HTTP/1.1\r\nHost: %b\r\n\r\n" % ("%s:%d" % address).encode(),
            until - time.monotonic(),
        )
        found = received(connection, limits, until)
    except (OSError, Malformed):
        pass
    if found is None or not found.keep_alive:
        connection.close()  # what comes late must not be taken for another answer
    pool.give(address, connection)
    # 503 tells that it wants nothing new; its load is its load
    return report(found.body, names) if found is not None and found.status in (200, 503) else ()


def report(body: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """An object, or `name=figure,...` as in a worker's header."""
    try:
        return figures(json.loads(body), names)
    except (ValueError, RecursionError):
        return figures(body, names)
