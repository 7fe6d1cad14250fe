"""One delivery attempt to a worker over HTTP, from its connection to its outcome."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from typing import Any

from opalwick.interface import Outcome
from opalwick.protocol import errand
from opalwick.protocol.figures import Counts
from opalwick.protocol.http import Malformed, Message, blames
from opalwick.transport.connection import Address, Connection
from opalwick.transport.limits import Limits
from opalwick.transport.pool import Pool

_STATES = {
    "done": Outcome.FINISHED,
    "failed": Outcome.ERROR,
    "returned": Outcome.FULL,
    "lost": Outcome.BROKEN,
}


def figures(load: Any, names: Sequence[str]) -> tuple[float, ...]:
    """Parses a load report, a JSON object or text `name=figure,...`, to figures in the order of the names.

    A missing or malformed figure becomes -1, which the balancer ignores. Empty if there is no report.
    """
    if isinstance(load, bytes):
        load = dict(pair.split("=", 1) for pair in load.decode("latin-1").split(",") if "=" in pair)
    if not isinstance(load, dict) or not load:
        return ()
    found = []
    for name in names:
        try:
            found.append(float(load.get(name, -1.0)))
        except (TypeError, ValueError):
            found.append(-1.0)
    return tuple(found)


def request(message: Message, dial: str, time_left: float) -> bytes:
    """Encodes a work item's request; `time_left` in seconds."""
    lines = [b"%b %b HTTP/1.1" % (message.method, message.target), b"Host: " + dial.encode()]
    for name in (b"X-Correlation-Id", b"Idempotency-Key", b"X-Service-Class", b"Content-Type"):
        if (value := message.headers.get(name.lower())) is not None:
            lines.append(name + b": " + value)
    lines.append(b"X-Time-Left-Ms: %d" % max(0, int(time_left * 1000)))
    lines.append(b"Content-Length: %d" % len(message.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body


class Answer(errand.Answer):
    """Parses a worker's streamed response: one JSON object per line."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.line = b""  # incomplete last line
        self.lines: list[bytes] = []  # complete, not yet processed

    def on_body(self, part: bytes) -> None:
        self.unread = 0
        if self.parser.get_status_code() != 200:
            return
        *complete, self.line = (self.line + part).split(b"\n")
        if len(self.line) > 8 * self.limits.body:  # JSON escapes may take six bytes for one of the result
            self.wrong(502, "line too long")
        self.lines += complete

    def ended(self, message: Message) -> None:
        if self.line:
            self.lines.append(self.line)
        super().ended(message)


End = tuple[Outcome, tuple[float, ...], bytes]  # with the load report and the result of the response


class HandingOff(errand.Errand):
    """One attempt in progress; `tell` is called with the reducer's inputs about it."""

    __slots__ = ("id", "names", "counts", "tell", "fault")
    answer: Answer

    def __init__(
        self,
        address: Address,
        message: Message,
        until: float,
        wanted: Callable[[], bool],
        pool: Pool,
        limits: Limits,
        names: Sequence[str],
        counts: Counts,
        tell: Callable[..., None],
    ) -> None:
        data = request(message, "%s:%d" % address, until - time.monotonic())
        super().__init__(address, data, until, wanted, pool, limits, Answer(limits))
        self.id = message.headers[b"x-correlation-id"].decode("latin-1")
        self.names, self.counts, self.tell = names, counts, tell
        self.fault = 0  # the status with which the worker rejected the request as the client's error

    def told(self, end: End, kept: bool) -> None:
        outcome, load, result = end
        self.tell("ended", outcome, bool(self.fault), load, result, kept)
        del self.tell  # breaks the reference cycle, as for `wanted`

    def bare(self, outcome: Outcome) -> End:
        return outcome, (), b""

    def broke(self, end: End) -> bool:
        return end[0] is Outcome.BROKEN

    def send(self, connection: Connection) -> Outcome | None:
        if (unsent := super().send(connection)) is None:
            self.counts.relayed += 1
        return unsent

    def listen(self, connection: Connection) -> End:
        answer = self.answer
        try:
            while True:
                data = connection.read(self.until - time.monotonic())
                if not data:
                    connection.close()
                    return self.cut(answer)
                answer.feed(data)
                lines, answer.lines = answer.lines, []
                for line in lines:
                    if (end := self.line(line)) is not None:
                        return end
                if answer.last is not None:
                    return self.status(answer.last)
        except (OSError, Malformed) as problem:
            return self.bare(self.failed(connection, problem))

    def line(self, line: bytes) -> End | None:
        """Processes a line of the response; returns the end if the line is a final state."""
        try:
            event = json.loads(line)
            state = event["state"]
            if event.get("id", self.id) != self.id:
                return None  # of another request
        except (ValueError, TypeError, KeyError, AttributeError):
            return None  # a malformed line is ignored
        if state == "started":
            self.tell("began")
        elif state == "running":
            share = event.get("share")
            if isinstance(share, (int, float)):
                self.tell("progressed", float(share))
        elif state in _STATES:
            result, outcome = event.get("result"), _STATES[state]
            if outcome is Outcome.FINISHED and not isinstance(result, str):
                outcome = Outcome.ERROR  # it ran, but there is no result to return
            return outcome, figures(event.get("load"), self.names), result.encode() if result else b""
        return None

    def cut(self, answer: Answer) -> End:
        """The worker closed the connection. That ends a response without a length: its header has the
        outcome."""
        answer.message.status = answer.parser.get_status_code() if answer.headed else 200
        return self.status(answer.message)

    def status(self, response: Message) -> End:
        """Returns the end for a response that has no final line."""
        load = figures(response.headers.get(b"x-backend-load"), self.names)
        if response.status == 200:
            return Outcome.BROKEN, load, b""
        if blames(response.status):
            self.fault = response.status
        never_ran = response.status in (503, 504) and response.headers.get(b"x-unprocessed") == b"1"
        return (Outcome.FULL if never_ran else Outcome.ERROR), load, b""
