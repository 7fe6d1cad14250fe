"""Which messages were sent to a worker again, and by whose decision, from the trace events of all processes.

The logs are those of processes that were started with `--trace` (`docs/operate/events.md`). A line may have
the name of its process before the JSON, and before that the seconds by one clock; else the name of the file
and the process' own clock are taken for them, and clocks that differ put events in a wrong order. What ran
is not known here, only what was sent and what was read: a worker that loses its answer leaves an unknown
verdict.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Any, NamedTuple

DELIVERY_STARTED, DELIVERY_ENDED, ASSIGNED, END_KNOWN = 151, 152, 352, 353  # numbers of trace events
UNKNOWN = ("SILENT", "BROKEN", "CANCELLED")  # verdicts after which a request may have run


class Event(NamedTuple):
    """A trace event. `at`: seconds, by one clock or by that of the machine that wrote it."""

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
    """A delivery that went out though an earlier one succeeded, or may have."""

    message: str
    cause: Cause
    first: Event  # the earlier delivery's end
    again: Event  # the later delivery's start
    decision: str  # by whose assignment the later one went out, and why that was made

    @property
    def seconds(self) -> float:
        return self.again.at - self.first.at

    def __str__(self) -> str:
        first, again = self.first, self.again
        return (
            f"{self.message}: {first.process} read {first.fields['verdict']} at {first.at:.3f}, "
            f"{again.process} sent it {self.seconds:+.3f} s from then ({self.decision})"
        )


def read_events(lines: Iterable[str], process: str) -> Iterator[Event]:
    """The trace events among the lines; `process` names those that have no name before them."""
    for line in lines:
        start = line.find('{"')
        if start < 0 or '"post:' not in line:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:  # a line that was cut off as its process was killed
            continue
        number = str(fields.get("message_type", "")).removeprefix("post:")
        if number.isdigit() and "message" in fields:
            words = line[:start].split()
            at = words[0] if len(words) > 1 else fields["timestamp"]
            yield Event(float(at), words[-1] if words else process, int(number), fields)


class Delivery(NamedTuple):
    start: Event
    end: Event | None


def deliveries(events: list[Event]) -> list[Delivery]:
    """Of one message, by their start."""
    found: list[Delivery] = []
    ends: dict[tuple[str, int, int], Event] = {}
    for event in reversed(events):  # a number of a process' earlier life may come again later
        key = event.process, event.fields.get("attempt", 0), event.fields.get("delivery", 0)
        if event.number == DELIVERY_ENDED:
            ends[key] = event
        elif event.number == DELIVERY_STARTED:
            found.append(Delivery(event, ends.pop(key, None)))
    return found[::-1]


def decision(start: Event, events: list[Event]) -> str:
    """The assignment that a delivery follows from."""
    before = [
        event
        for event in events
        if event.number == ASSIGNED
        and event.at <= start.at + 0.1  # clocks of two machines
        and event.fields["to"].rpartition("/")[0] == start.process
    ]
    if not before:
        return "accepted there"
    last = before[-1]
    return f"assigned by {last.process} as {last.fields['why'] or 'it had nobody'}"


def repeats(events: Iterable[Event]) -> list[Repeat]:
    """All repeats, by the time of the later delivery."""
    by_message: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        by_message[event.fields["message"]].append(event)
    found: list[Repeat] = []
    for message, told in by_message.items():
        told.sort(key=lambda event: event.at)
        all_of = deliveries(told)
        for position, later in enumerate(all_of):
            if later.end is not None and later.end.fields["verdict"] == "NOT_SENT":
                continue
            for earlier in all_of[:position]:
                if earlier.end is None:
                    continue
                cause = cause_of(earlier, later)
                if cause is not None:
                    found.append(
                        Repeat(message, cause, earlier.end, later.start, decision(later.start, told))
                    )
                    break
    return sorted(found, key=lambda repeat: repeat.again.at)


def cause_of(earlier: Delivery, later: Delivery) -> Cause | None:
    """None: the earlier one proves that it did not run, or that it failed."""
    assert earlier.end is not None
    verdict = earlier.end.fields["verdict"]
    if verdict == "DONE":
        return Cause.READ_SUCCESS if later.start.at > earlier.end.at else Cause.OVERLAP
    return Cause.UNKNOWN_END if verdict in UNKNOWN and later.start.at > earlier.end.at else None
