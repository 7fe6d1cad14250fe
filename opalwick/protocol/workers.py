"""The workers' side: one hand-off, from its connection to its outcome."""
from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from typing import Any

import httptools

from opalwick.interface import Outcome
from opalwick.protocol.figures import Counts
from opalwick.protocol.http import Malformed, Message, Parser, blames
from opalwick.transport.connection import Address, Connection
from opalwick.transport.limits import Limits
from opalwick.transport.pool import NoRoom, Pool

_STATES = {"done": Outcome.FINISHED, "failed": Outcome.ERROR,
           "returned": Outcome.FULL, "lost": Outcome.BROKEN}


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


class Answer(Parser):
    """A worker's answer as it comes: an object a line."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(httptools.HttpResponseParser, limits, self.ended)
        self.line = b""                         # begun, not whole
        self.lines: list[bytes] = []            # not yet looked at
        self.last: Message | None = None        # the whole answer, once it is over

    def on_body(self, part: bytes) -> None:
        self.unread = 0
        if self.parser.get_status_code() != 200:
            return
        *whole, self.line = (self.line + part).split(b"\n")
        if len(self.line) > 8 * self.limits.body:   # a result may be escaped, with six bytes for one
            self.wrong(502, "a line too long")
        self.lines += whole

    def ended(self, message: Message) -> None:
        if self.line:
            self.lines.append(self.line)
        self.last = message


End = tuple[Outcome, tuple[float, ...], bytes]     # with the load report and the result that came along


class HandingOff:
    """One hand-off on its way; `tell` gets the reducer's inputs of it."""
    __slots__ = ("address", "id", "data", "until", "wanted", "pool", "limits", "names", "counts", "tell",
                 "connection", "answer", "given_up", "fault")

    def __init__(self, address: Address, message: Message, until: float, wanted: Callable[[], bool],
                 pool: Pool, limits: Limits, names: Sequence[str], counts: Counts,
                 tell: Callable[..., None]) -> None:
        self.address, self.until, self.wanted = address, until, wanted
        self.id = message.headers[b"x-correlation-id"].decode("latin-1")
        self.data = request(message, "%s:%d" % address, until - time.monotonic())
        self.pool, self.limits, self.names, self.counts, self.tell = pool, limits, names, counts, tell
        self.connection: Connection | None = None
        self.answer, self.given_up = Answer(limits), False
        self.fault = 0                          # the status by which the worker blames the client

    def give_up(self) -> None:
        """Closes the connection; the greenlet that waits on it finds out and tells the outcome."""
        self.given_up = True
        if self.connection is not None:
            self.connection.close()

    def over(self) -> bool:
        return self.given_up or time.monotonic() >= self.until or not self.wanted()

    def run(self) -> None:
        if self.over():
            self.tell("ended", Outcome.NOT_SENT)
            return
        try:
            connection = self.connection = self.pool.take(self.address)
        except NoRoom:
            self.tell("ended", Outcome.NOT_SENT)
            return
        ended: End = (Outcome.BROKEN, (), b"")
        try:
            unsent = self.send(connection)
            ended = (unsent, (), b"") if unsent else self.listen(connection)
        finally:
            outcome, load, result = ended
            # told before the connection goes back, so that nothing that waits holds up the outcome
            answered = self.answer.begun or self.answer.headed
            kept = connection.used > 1 and not answered and outcome is Outcome.BROKEN
            if kept or answered:
                self.pool.learn(connection, not kept)
            self.tell("ended", outcome, bool(self.fault), load, result, kept)
            self.connection = None
            self.finish(connection)
            del self.tell, self.wanted          # which know this one: only a collection would free them all

    def send(self, connection: Connection) -> Outcome | None:
        """None once the last byte is written; until then it has not run."""
        try:
            if not connection.used:
                connection.used = 1
                connection.connect(self.address, min(self.limits.connect, self.until - time.monotonic()))
                # answered while it came up, where nothing may be cancelled: nothing is sent any more
                if self.over():
                    raise ConnectionAbortedError
            connection.write(self.data, self.until - time.monotonic())
            self.data = b""
            self.counts.relayed += 1
            return None
        except OSError:
            connection.close()
            return Outcome.NOT_SENT if self.over() else Outcome.NO_CONNECTION

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
        except TimeoutError:
            connection.close()
            return Outcome.TIMED_OUT, (), b""
        except (OSError, Malformed):
            connection.close()
            return (Outcome.CANCELLED if self.given_up else Outcome.BROKEN), (), b""

    def line(self, line: bytes) -> End | None:
        """The outcome, if this line tells it."""
        try:
            told = json.loads(line)
            state = told["state"]
            if told.get("id", self.id) != self.id:
                return None                     # of another request
        except (ValueError, TypeError, KeyError, AttributeError):
            return None                         # an odd line is passed over
        if state == "started":
            self.tell("began")
        elif state == "running":
            share = told.get("share")
            if isinstance(share, (int, float)):
                self.tell("progressed", float(share))
        elif state in _STATES:
            result, outcome = told.get("result"), _STATES[state]
            if outcome is Outcome.FINISHED and not isinstance(result, str):
                outcome = Outcome.ERROR         # it ran, but there is nothing to hand on
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

    def finish(self, connection: Connection) -> None:
        """The connection goes back once its message is over."""
        answer = self.answer
        try:
            until = time.monotonic() + self.limits.rest
            while not connection.closed and answer.last is None:
                if not (data := connection.read(until - time.monotonic())):
                    break
                answer.feed(data)
        except (OSError, Malformed):
            pass
        if answer.last is None or not answer.last.keep_alive:
            connection.close()
        self.pool.give(self.address, connection)
        answer.close()
