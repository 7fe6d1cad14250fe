"""Numbered log events, written with eliot as one JSON line each to standard output.

The catalogue is `docs/operate/events.md`. Numbers: 1xx gateways, 2xx controllers, 3xx stores, 9xx all.

Trace events (level `trace` in the catalogue) concern single messages: to which gateway a message was assigned
and why, each delivery attempt and its outcome, and which processes received the final outcome. They are
written only after `begin(trace=True)`, and then without a rate limit.
"""

from __future__ import annotations

import sys
import time
from typing import Any

import eliot

VIOLATIONS = frozenset((158,))  # numbers of events that report a violated invariant
# lines of one number per second, so that a burst of one event cannot use up the processor
MAX_PER_SECOND = 20
_written: dict[int, tuple[int, int]] = {}
_tracing = False


def begin(trace: bool = False) -> None:
    """Sends events to standard output from now on; with `trace` also those of single messages."""
    global _tracing
    _tracing = trace
    eliot.to_file(sys.stdout)


def trace(number: int, **fields: Any) -> None:
    """Writes an event of a single message, if tracing is on."""
    if _tracing:
        eliot.log_message(message_type=f"post:{number}", **fields)


def emit(number: int, **fields: Any) -> None:
    """Writes an event. Events over the rate limit are counted, and the count is written with the next one of
    that number.
    """
    second = int(time.monotonic())
    at, count = _written.get(number, (second, 0))
    if at != second:
        if count > MAX_PER_SECOND:
            fields["passed_over"] = count - MAX_PER_SECOND
        at, count = second, 0
    _written[number] = at, count + 1
    if count < MAX_PER_SECOND:
        eliot.log_message(message_type=f"post:{number}", **fields)
