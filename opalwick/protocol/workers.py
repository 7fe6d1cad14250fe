"""The workers' side: one hand-off, from its connection to its outcome."""

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
    """A load report, as an object or as text, in the order of the names.

    What is missing or odd counts as less than nothing, which the module passes over.
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
    lines = [b"%b %b HTTP/1.1" % (message.method, message.target), b"Host: " + dial.encode()]
    for name in (b"X-Correlation-Id", b"Idempotency-Key", b"X-Service-Class", b"Content-Type"):
        if (value := message.headers.get(name.lower())) is not None:
            lines.append(name + b": " + value)
    lines.append(b"X-Time-Left-Ms: %d" % max(0, int(time_left * 1000)))
    lines.append(b"Content-Length: %d" % len(message.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body


class Answer(errand.Answer):
    """A worker's answer as it comes: an object a line."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.line = b""  # begun, not whole
        self.lines: list[bytes] = []  # not yet looked at

    def on_body(self, part: bytes) -> None:
        self.unread = 0
        if self.parser.get_status_code() != 200:
            return
        *whole, self.line = (self.line + part).split(b"\n")
        if len(self.line) > 8 * self.limits.body:  # a result may be escaped, with six bytes for one
            self.wrong(502, "a line too long")
        self.lines += whole

    def ended(self, message: Message) -> None:
        if self.line:
            self.lines.append(self.line)
        super().ended(message)


End = tuple[Outcome, tuple[float, ...], bytes]  # with the load report and the result that came along


class HandingOff(errand.Errand):
    """One hand-off on its way; `tell` gets the reducer's inputs of it."""

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
        self.fault = 0  # the status by which the worker blames the client

    def told(self, end: End, kept: bool) -> None:
        outcome, load, result = end
        self.tell("ended", outcome, bool(self.fault), load, result, kept)
        del self.tell  # which knows this one, as `wanted` does

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
        """The outcome, if this line tells it."""
        try:
            told = json.loads(line)
            state = told["state"]
            if told.get("id", self.id) != self.id:
                return None  # of another request
        except (ValueError, TypeError, KeyError, AttributeError):
            return None  # an odd line is passed over
        if state == "started":
            self.tell("began")
        elif state == "running":
            share = told.get("share")
            if isinstance(share, (int, float)):
                self.tell("progressed", float(share))
        elif state in _STATES:
            result, outcome = told.get("result"), _STATES[state]
            if outcome is Outcome.FINISHED and not isinstance(result, str):
                outcome = Outcome.ERROR  # it ran, but there is nothing to hand on
            return outcome, figures(told.get("load"), self.names), result.encode() if result else b""
        return None

    def cut(self, answer: Answer) -> End:
        """The connection has ended. An answer without a length ends so, and its fields tell the outcome."""
        answer.message.status = answer.parser.get_status_code() if answer.headed else 200
        return self.status(answer.message)

    def status(self, last: Message) -> End:
        """The outcome of an answer without a last line."""
        load = figures(last.headers.get(b"x-backend-load"), self.names)
        if last.status == 200:
            return Outcome.BROKEN, load, b""
        if blames(last.status):
            self.fault = last.status
        never_ran = last.status in (503, 504) and last.headers.get(b"x-unprocessed") == b"1"
        return (Outcome.FULL if never_ran else Outcome.ERROR), load, b""
