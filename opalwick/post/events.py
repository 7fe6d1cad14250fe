"""Numbered events, as eliot writes them: one JSON line each on standard output.

The catalogue is `docs/operate/events.md`. Numbers: 1xx a counter, 2xx an office, 3xx a depot, 9xx any.

Trace events (of the catalogue's level `trace`) tell of each message: who was given it and why, each delivery
with what it came to, and who heard of its end. They are written only after `begin(trace=True)`, all of them.
"""

from __future__ import annotations

import sys
import time
from typing import Any

import eliot

VIOLATIONS = frozenset((158,))  # numbers of events that tell of what must never be so
MOST = 20  # lines of one number in a second: a storm of one kind must not cost the work its processor
_told: dict[int, tuple[int, int]] = {}
_tracing = False


def begin(trace: bool = False) -> None:
    """Events go to standard output from now on; with `trace` those of single messages as well."""
    global _tracing
    _tracing = trace
    eliot.to_file(sys.stdout)


def trace(number: int, **fields: Any) -> None:
    """Writes an event of a single message, if these are asked for."""
    if _tracing:
        eliot.log_message(message_type=f"post:{number}", **fields)


def say(number: int, **fields: Any) -> None:
    """Writes the event; what is over the bound is counted and told with the next one of that number."""
    second = int(time.monotonic())
    at, count = _told.get(number, (second, 0))
    if at != second:
        if count > MOST:
            fields["passed_over"] = count - MOST
        at, count = second, 0
    _told[number] = at, count + 1
    if count < MOST:
        eliot.log_message(message_type=f"post:{number}", **fields)
