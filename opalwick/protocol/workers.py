"""The workers' side: one hand-off, from its connection to its outcome, and the list's words for workers."""
from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from typing import Any

import httptools

from opalwick.interface import Outcome
from opalwick.protocol.http import Malformed, Message, Parser
from opalwick.transport.connection import Address
from opalwick.transport.limits import Limits
from opalwick.transport.pool import NoRoom, Pool

_STATES = {"done": Outcome.FINISHED, "failed": Outcome.ERROR,
           "returned": Outcome.FULL, "lost": Outcome.BROKEN}


def figures(load: Any, names: Sequence[str]) -> tuple[float, ...]:
    """A load report, as an object or as text, in the order of the names; what is missing or odd counts as less
    than nothing, which the module passes over."""
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
        if (value := message.header(name.lower())) is not None:
            lines.append(name + b": " + value)
    lines.append(b"X-Time-Left-Ms: %d" % max(0, int(time_left * 1000)))
    lines.append(b"Content-Length: %d" % len(message.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body


class Answer(Parser):
    """A worker's answer as it comes: an object a line."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(httptools.HttpResponseParser, limits, self.ended)
        self.line, self.lines, self.last = b"", [], None

    def on_body(self, part: bytes) -> None:
        if self.parser.get_status_code() != 200:
            return
        *whole, self.line = (self.line + part).split(b"\n")
        if len(self.line) > 2 * self.limits.body:   # a result may be escaped
            self.refuse(502, "a line too long")
        self.lines += whole

    def ended(self, message: Message) -> None:
        if self.line:
            self.lines.append(self.line)
        self.last = message


class HandingOff:
    """One hand-off on its way; `tell` gets the reducer's inputs of it."""
    __slots__ = ("address", "data", "pool", "limits", "names", "tell", "connection", "answer", "given_up",
                 "until")

    def __init__(self, address: Address, data: bytes, until: float, pool: Pool, limits: Limits,
                 names: Sequence[str], tell: Callable[..., None]) -> None:
        self.address, self.data, self.until = address, data, until
        self.pool, self.limits, self.names, self.tell = pool, limits, names, tell
        self.connection, self.answer, self.given_up = None, Answer(limits), False

    def give_up(self) -> None:
        """Closes the connection; the greenlet that waits on it finds out and tells the outcome."""
        self.given_up = True
        if self.connection is not None:
            self.connection.close()

    def run(self) -> None:
        outcome, load, result = Outcome.BROKEN, (), None
        try:
            if self.given_up or time.monotonic() >= self.until:
                outcome = Outcome.NOT_SENT
                return
            try:
                connection = self.connection = self.pool.take(self.address)
            except NoRoom:
                outcome = Outcome.NOT_SENT
                return
            outcome = self.send()
            if outcome is None:
                outcome, load, result = self.listen()
        finally:
            # told before the connection goes back, so that nothing that waits holds up the outcome
            self.tell("ended", outcome, False, load, result)
            if self.connection is not None:
                self.finish()

    def send(self) -> Outcome | None:
        """None once the last byte is written; until then it has not run."""
        connection = self.connection
        try:
            if not connection.used:
                connection.used = 1
                connection.connect(self.address, min(self.limits.connect, self.until - time.monotonic()))
            connection.write(self.data, self.until - time.monotonic())
            return None
        except OSError:
            connection.close()
            over = self.given_up or time.monotonic() >= self.until
            return Outcome.NOT_SENT if over else Outcome.NO_CONNECTION

    def listen(self) -> tuple[Outcome, tuple[float, ...], Any]:
        connection, answer = self.connection, self.answer
        try:
            while True:
                data = connection.read(self.until - time.monotonic())
                if not data:
                    connection.close()
                    return Outcome.BROKEN, (), None
                answer.feed(data, 0.0)
                lines, answer.lines = answer.lines, []
                for line in lines:
                    if (end := self.line(line)) is not None:
                        return end
                if answer.last is not None:
                    return self.status(answer.last)
        except TimeoutError:
            connection.close()
            return Outcome.TIMED_OUT, (), None
        except (OSError, Malformed):
            connection.close()
            return (Outcome.CANCELLED if self.given_up else Outcome.BROKEN), (), None

    def line(self, line: bytes) -> tuple[Outcome, tuple[float, ...], Any] | None:
        """The outcome, if this line tells it."""
        try:
            told = json.loads(line)
            state = told["state"]
        except (ValueError, TypeError, KeyError):
            return None                         # an odd line is passed over
        if state == "started":
            self.tell("began")
        elif state == "running":
            share = told.get("share")
            if isinstance(share, (int, float)):
                self.tell("progressed", float(share))
        elif state in _STATES:
            result = told.get("result")
            return (_STATES[state], figures(told.get("load"), self.names),
                    (result if isinstance(result, str) else json.dumps(result)).encode())
        return None

    def status(self, last: Message) -> tuple[Outcome, tuple[float, ...], Any]:
        """The outcome of an answer without a last line."""
        load = figures(last.header(b"x-backend-load"), self.names)
        if last.status == 200:
            return Outcome.BROKEN, load, None
        never_ran = last.status in (503, 504) and last.header(b"x-unprocessed") == b"1"
        return (Outcome.FULL if never_ran else Outcome.ERROR), load, None

    def finish(self) -> None:
        """The connection goes back once its message is over."""
        connection, answer, self.connection = self.connection, self.answer, None
        try:
            until = time.monotonic() + 0.25     # the last chunk comes with the last line or right after
            while not connection.closed and answer.last is None:
                if not (data := connection.read(until - time.monotonic())):
                    break
                answer.feed(data, 0.0)
        except (OSError, Malformed):
            pass
        if answer.last is None or not answer.last.keep_alive:
            connection.close()
        self.pool.give(self.address, connection)
