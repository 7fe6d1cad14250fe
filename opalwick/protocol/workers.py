"""One delivery attempt to a worker over HTTP, from its connection to its outcome."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from typing import Any

from opalwick.interface import Outcome
from opalwick.protocol import outgoing
from opalwick.protocol.metrics import Counts
from opalwick.protocol.http import Malformed, Message, is_client_error
from opalwick.transport.connection import Address, Connection
from opalwick.transport.limits import Limits
from opalwick.transport.pool import Pool

_STATES = {
    "done": Outcome.FINISHED,
    "failed": Outcome.ERROR,
    "returned": Outcome.FULL,
    "lost": Outcome.BROKEN,
}


def parse_load(load: Any, names: Sequence[str]) -> tuple[float, ...]:
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


class WorkerResponseParser(outgoing.ResponseParser):
    """Parses a worker's streamed response: one JSON object per line."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.line = b""  # incomplete last line
        self.lines: list[bytes] = []  # complete, not yet processed

    def on_body(self, part: bytes) -> None:
        self.header_fed = 0
        if self.final is not None or self.parser.get_status_code() != 200:
            return
        *complete, self.line = (self.line + part).split(b"\n")
        if len(self.line) > 8 * self.limits.body:  # JSON escapes may take six bytes for one of the result
            self.fail(502, "line too long")
        self.lines += complete

    def on_complete(self, message: Message) -> None:
        if self.line and self.final is None:
            self.lines.append(self.line)
        super().on_complete(message)


End = tuple[Outcome, tuple[float, ...], bytes]  # with the load report and the result of the response


class WorkerRequest(outgoing.OutgoingRequest):
    """One attempt in progress; `emit` is called with the reducer's inputs about it."""

    __slots__ = ("id", "names", "counts", "emit", "rejected_status")
    parser: WorkerResponseParser

    def __init__(
        self,
        address: Address,
        message: Message,
        deadline: float,
        wanted: Callable[[], bool],
        pool: Pool,
        limits: Limits,
        names: Sequence[str],
        counts: Counts,
        emit: Callable[..., None],
    ) -> None:
        data = request(message, "%s:%d" % address, deadline - time.monotonic())
        request_id = message.headers[b"x-correlation-id"]
        super().__init__(
            address, data, deadline, wanted, pool, limits, WorkerResponseParser(limits), request_id
        )
        self.id = request_id.decode("latin-1")
        self.names, self.counts, self.emit = names, counts, emit
        # the status with which the worker rejected the request as the client's error
        self.rejected_status = 0

    def report_end(self, end: End, kept: bool) -> None:
        outcome, load, result = end
        self.emit("ended", outcome, bool(self.rejected_status), load, result, kept)
        del self.emit  # breaks the reference cycle, as for `wanted`

    def end_without_response(self, outcome: Outcome) -> End:
        return outcome, (), b""

    def is_broken(self, end: End) -> bool:
        return end[0] is Outcome.BROKEN

    def is_final(self, end: End) -> bool:
        return end[0] is Outcome.FINISHED

    def send(self, connection: Connection) -> Outcome | None:
        if (unsent := super().send(connection)) is None:
            self.counts.attempts_sent += 1
        return unsent

    def read_end(self, connection: Connection) -> End:
        answer = self.parser
        try:
            while True:
                data = connection.read(self.deadline - time.monotonic())
                if not data:
                    connection.close()
                    return self.end_of_stream(answer)
                answer.feed(data)
                lines, answer.lines = answer.lines, []
                for line in lines:
                    if (end := self.end_of_line(line)) is not None:
                        return end
                if answer.final is not None:
                    return self.end_of_response(answer.final)
        except (OSError, Malformed) as problem:
            return self.end_without_response(self.outcome_of_error(connection, problem))

    def end_of_line(self, line: bytes) -> End | None:
        """Processes a line of the response; returns the end if the line is a final state."""
        try:
            event = json.loads(line)
            state = event["state"]
            if event.get("id", self.id) != self.id:
                return None  # of another request
        except (ValueError, TypeError, KeyError, AttributeError):
            return None  # a malformed line is ignored
        if state == "started":
            self.emit("began")
        elif state == "running":
            share = event.get("share")
            if isinstance(share, (int, float)):
                self.emit("progressed", float(share))
        elif state in _STATES:
            result, outcome = event.get("result"), _STATES[state]
            if outcome is Outcome.FINISHED and not isinstance(result, str):
                outcome = Outcome.ERROR  # it ran, but there is no result to return
            return outcome, parse_load(event.get("load"), self.names), result.encode() if result else b""
        return None

    def end_of_stream(self, answer: WorkerResponseParser) -> End:
        """The worker closed the connection. That ends a response without a length: its header has the
        outcome."""
        answer.message.status = answer.parser.get_status_code() if answer.header_complete else 200
        return self.end_of_response(answer.message)

    def end_of_response(self, response: Message) -> End:
        """Returns the end for a response that has no final line."""
        load = parse_load(response.headers.get(b"x-backend-load"), self.names)
        if response.status == 200:
            return Outcome.BROKEN, load, b""
        if is_client_error(response.status):
            self.rejected_status = response.status
        never_ran = response.status in (503, 504) and response.headers.get(b"x-unprocessed") == b"1"
        return (Outcome.FULL if never_ran else Outcome.ERROR), load, b""
