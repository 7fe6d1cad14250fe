"""Probes a worker for its load over HTTP."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence

from opalwick.protocol.http import Malformed, Message, read_message
from opalwick.protocol.workers import parse_load
from opalwick.transport.connection import Address
from opalwick.transport.limits import Limits
from opalwick.transport.pool import PoolExhausted, Pool


def probe(address: Address, pool: Pool, limits: Limits, names: Sequence[str]) -> tuple[float, ...]:
    """Requests a worker's load and returns its figures in the order of the names; empty without a report.

    Blocks. A failure is not reported otherwise, as a failed probe is no evidence about work items.
    """
    try:
        connection = pool.acquire(address)
    except PoolExhausted:
        return ()
    until = time.monotonic() + limits.probe
    found: Message | None = None
    try:
        if not connection.uses:
            connection.uses = 1
            connection.connect(address, min(limits.connect, limits.probe))
        connection.write(
            b"GET /-/load HTTP/1.1\r\nHost: %b\r\n\r\n" % ("%s:%d" % address).encode(),
            until - time.monotonic(),
        )
        found = read_message(connection, limits, until)
    except (OSError, Malformed):
        pass
    if found is None or not found.keep_alive:
        connection.close()  # a late response must not be taken for that of another request
    pool.release(address, connection)
    # a worker that accepts no new work answers 503, and its load is valid too
    return parse_report(found.body, names) if found is not None and found.status in (200, 503) else ()


def parse_report(body: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """Parses a JSON object, or `name=figure,...` as in a worker's header field."""
    try:
        return parse_load(json.loads(body), names)
    except (ValueError, RecursionError):
        return parse_load(body, names)
