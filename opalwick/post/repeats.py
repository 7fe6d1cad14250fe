"""Finds messages that were sent to a worker more than once, and the decisions behind that, in trace events.

The logs are those of processes that were started with `--trace` (`docs/operate/events.md`). A line may have
the name of its process before the JSON, and before that the time in seconds by a common clock; otherwise the
name of the file and the process' own clock are used, and clocks that differ put events in a wrong order. The
events show what was sent and which responses were read, not what ran: if a worker's response is lost, the
outcome is unknown.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Any, NamedTuple

DELIVERY_STARTED, DELIVERY_ENDED, ASSIGNED, END_KNOWN = 151, 152, 352, 353  # numbers of trace events
UNKNOWN = ("SILENT", "BROKEN", "CANCELLED")  # outcomes after which a request may have run


class Event(NamedTuple):
    """A trace event. `at`: seconds, by a common clock or by that of the machine that wrote it."""

    at: float
    process: str
    number: int
    fields: dict[str, Any]


class Cause(Enum):
    """Why a message was sent again."""

    READ_SUCCESS = "after a success that was read"
    OVERLAP = "while another delivery was out, of which one succeeded"
    UNKNOWN_END = "after a delivery whose end is not known"


class Repeat(NamedTuple):
    """A delivery that was sent although an earlier one had succeeded, or may have."""

    message: str
    cause: Cause
    first: Event  # end of the earlier delivery
    again: Event  # start of the later delivery
    decision: str  # which node assigned the later one, and why

    @property
    def seconds(self) -> float:
        """Time from the earlier delivery's end to the later one's start; negative if they overlap."""
        return self.again.at - self.first.at

    def __str__(self) -> str:
        first, again = self.first, self.again
        return (
            f"{self.message}: {first.process} read {first.fields['verdict']} at {first.at:.3f}, "
            f"{again.process} sent it {self.seconds:+.3f} s from then ({self.decision})"
        )


def read_events(lines: Iterable[str], process: str) -> Iterator[Event]:
    """Yields the trace events among the lines. `process`: the name for lines without one."""
    for line in lines:
        start = line.find('{"')
        if start < 0 or '"post:' not in line:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:  # a truncated line of a process that was killed
            continue
        number = str(fields.get("message_type", "")).removeprefix("post:")
        if number.isdigit() and "message" in fields:
            prefix = line[:start].split()
            at = prefix[0] if len(prefix) > 1 else fields["timestamp"]
            yield Event(float(at), prefix[-1] if prefix else process, int(number), fields)


class Delivery(NamedTuple):
    """`end`: None if no event of its end was found."""

    start: Event
    end: Event | None


def deliveries(events: list[Event]) -> list[Delivery]:
    """The deliveries of one message, ordered by their start."""
    found: list[Delivery] = []
    ends: dict[tuple[str, int, int], Event] = {}
    for event in reversed(events):  # after a restart, a process may use the same numbers again
        key = event.process, event.fields.get("attempt", 0), event.fields.get("delivery", 0)
        if event.number == DELIVERY_ENDED:
            ends[key] = event
        elif event.number == DELIVERY_STARTED:
            found.append(Delivery(event, ends.pop(key, None)))
    return found[::-1]


def decision(start: Event, events: list[Event]) -> str:
    """The assignment that led to a delivery, as text."""
    before = [
        event
        for event in events
        if event.number == ASSIGNED
        and event.at <= start.at + 0.1  # the clocks of two machines may differ
        and event.fields["to"].rpartition("/")[0] == start.process
    ]
    if not before:
        return "accepted there"
    last = before[-1]
    return f"assigned by {last.process} as {last.fields['why'] or 'it had no owner'}"


def repeats(events: Iterable[Event]) -> list[Repeat]:
    """All repeats, ordered by the start of the later delivery."""
    by_message: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        by_message[event.fields["message"]].append(event)
    found: list[Repeat] = []
    for message, of_message in by_message.items():
        of_message.sort(key=lambda event: event.at)
        attempts = deliveries(of_message)
        for position, later in enumerate(attempts):
            if later.end is not None and later.end.fields["verdict"] == "NOT_SENT":
                continue
            for earlier in attempts[:position]:
                if earlier.end is None:
                    continue
                cause = cause_of(earlier, later)
                if cause is not None:
                    found.append(
                        Repeat(message, cause, earlier.end, later.start, decision(later.start, of_message))
                    )
                    break
    return sorted(found, key=lambda repeat: repeat.again.at)


def cause_of(earlier: Delivery, later: Delivery) -> Cause | None:
    """Returns None if the earlier delivery provably did not run, or failed."""
    assert earlier.end is not None
    outcome = earlier.end.fields["verdict"]
    if outcome == "DONE":
        return Cause.READ_SUCCESS if later.start.at > earlier.end.at else Cause.OVERLAP
    return Cause.UNKNOWN_END if outcome in UNKNOWN and later.start.at > earlier.end.at else None
