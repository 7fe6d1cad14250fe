"""One outgoing request over a pooled connection, from its sending to its outcome."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import httptools

from opalwick.interface import Outcome
from opalwick.protocol.http import Malformed, Message, Parser
from opalwick.transport.connection import Address, Connection
from opalwick.transport.limits import Limits
from opalwick.transport.pool import NoRoom, Pool


class Answer(Parser):
    """Parses the response."""

    def __init__(self, limits: Limits, most: int = 0) -> None:
        super().__init__(httptools.HttpResponseParser, limits, self.ended, most=most)
        self.last: Message | None = None  # the response, once it is complete

    def ended(self, message: Message) -> None:
        self.last = message


class Errand:
    """An outgoing request. Subclasses read the response and report the end: a value of their own that
    contains the outcome. Here the end is the outcome alone."""

    __slots__ = ("address", "data", "until", "wanted", "pool", "limits", "connection", "answer", "given_up")

    def __init__(
        self,
        address: Address,
        data: bytes,
        until: float,
        wanted: Callable[[], bool],
        pool: Pool,
        limits: Limits,
        answer: Answer,
    ) -> None:
        self.address, self.data, self.until, self.wanted = address, data, until, wanted
        self.pool, self.limits, self.answer = pool, limits, answer
        self.connection: Connection | None = None
        self.given_up = False

    # ---- hooks

    def listen(self, connection: Connection) -> Any:
        """Waits for the response and returns the end. Closes the connection if it fails."""
        raise NotImplementedError

    def greet(self, connection: Connection) -> None:
        """Called once connected, before the request is written. Raises OSError if it must not be written."""

    def write(self, connection: Connection) -> None:
        """Writes the whole request. Raises OSError if that fails."""
        connection.write(self.data, self.until - time.monotonic())

    def told(self, end: Any, kept: bool) -> None:
        """Reports the end, once. `kept`: a reused connection broke without a response."""
        raise NotImplementedError

    def bare(self, outcome: Outcome) -> Any:
        """Returns the end for an outcome without a response, such as not sent or broken."""
        return outcome

    def broke(self, end: Any) -> bool:
        """Whether the connection broke."""
        return end is Outcome.BROKEN

    # ---- execution

    def give_up(self) -> None:
        """Cancels by closing the connection; this wakes the greenlet that waits on it, which reports the
        outcome."""
        self.given_up = True
        if self.connection is not None:
            self.connection.close()

    def over(self) -> bool:
        """Whether it must not be sent: cancelled, past its deadline, or no longer wanted."""
        return self.given_up or time.monotonic() >= self.until or not self.wanted()

    def run(self) -> None:
        """Sends the request and reports its end."""
        if self.over():
            return self.told(self.bare(Outcome.NOT_SENT), False)
        try:
            connection = self.connection = self.pool.take(self.address)
        except NoRoom:
            return self.told(self.bare(Outcome.NOT_SENT), False)
        end = self.bare(Outcome.BROKEN)
        try:
            unsent = self.send(connection)
            end = self.bare(unsent) if unsent else self.listen(connection)
        finally:
            # reported before the connection is returned, as reading the rest of the response may block
            answered = self.answer.begun or self.answer.headed
            kept = connection.used > 1 and not answered and self.broke(end)
            if kept or answered:
                self.pool.learn(connection, not kept)
            self.told(end, kept)
            self.connection = None
            self.finish(connection)
            del self.wanted  # it refers to this object: such a cycle is freed by a garbage collection only

    def send(self, connection: Connection) -> Outcome | None:
        """Connects and writes; returns None once the last byte is written. Until then the request has not
        run."""
        try:
            if not connection.used:
                connection.used = 1
                connection.connect(self.address, min(self.limits.connect, self.until - time.monotonic()))
                # the call was answered while connecting, and a sent request may not be cancellable
                if self.over():
                    raise ConnectionAbortedError
            self.greet(connection)
            self.write(connection)
            self.data = b""
            return None
        except OSError:
            connection.close()
            return Outcome.NOT_SENT if self.over() else Outcome.NO_CONNECTION

    def failed(self, connection: Connection, problem: Exception) -> Outcome:
        """Closes the connection after an error in reading, and returns the outcome."""
        connection.close()
        if isinstance(problem, TimeoutError):
            return Outcome.TIMED_OUT
        return Outcome.CANCELLED if self.given_up else Outcome.BROKEN

    def finish(self, connection: Connection) -> None:
        """Returns the connection to the pool once the response is read to its end."""
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
