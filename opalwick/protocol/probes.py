"""Probes a worker for its load over HTTP."""

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
    """Requests a worker's load and returns its figures in the order of the names; empty without a report.

    Blocks. A failure is not reported otherwise, as a failed probe is no evidence about work items.
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
        connection.close()  # a late response must not be taken for that of another request
    pool.give(address, connection)
    # a worker that accepts no new work answers 503, and its load is valid too
    return report(found.body, names) if found is not None and found.status in (200, 503) else ()


def report(body: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """Parses a JSON object, or `name=figure,...` as in a worker's header field."""
    try:
        return figures(json.loads(body), names)
    except (ValueError, RecursionError):
        return figures(body, names)
