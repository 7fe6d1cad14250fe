"""One request to the other side over a kept connection: from its sending to its outcome."""

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
    """The other side's answer as it comes."""

    def __init__(self, limits: Limits, most: int = 0) -> None:
        super().__init__(httptools.HttpResponseParser, limits, self.ended, most=most)
        self.last: Message | None = None  # the whole answer, once it is over

    def ended(self, message: Message) -> None:
        self.last = message


class Errand:
    """What it ends with is a subclass's: that listens, and tells it. Here an outcome is an end."""

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
        """The end; it waits for the answer, and closes the connection if that breaks off."""
        raise NotImplementedError

    def greet(self, connection: Connection) -> None:
        """On a connection that is up, before the request goes out on it: OSError if it must not."""

    def write(self, connection: Connection) -> None:
        """The whole request; OSError where that fails."""
        connection.write(self.data, self.until - time.monotonic())

    def told(self, end: Any, kept: bool) -> None:
        """Tells the end, once. `kept`: a connection from before broke without a word."""
        raise NotImplementedError

    def bare(self, outcome: Outcome) -> Any:
        """The end where nothing came that could be heard: not sent, or broken."""
        return outcome

    def broke(self, end: Any) -> bool:
        return end is Outcome.BROKEN

    # ---- its way

    def give_up(self) -> None:
        """Closes the connection; the greenlet that waits on it finds out and tells the outcome."""
        self.given_up = True
        if self.connection is not None:
            self.connection.close()

    def over(self) -> bool:
        return self.given_up or time.monotonic() >= self.until or not self.wanted()

    def run(self) -> None:
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
            # told before the connection goes back, so that nothing that waits holds up the outcome
            answered = self.answer.begun or self.answer.headed
            kept = connection.used > 1 and not answered and self.broke(end)
            if kept or answered:
                self.pool.learn(connection, not kept)
            self.told(end, kept)
            self.connection = None
            self.finish(connection)
            del self.wanted  # which knows this one: only a collection would free them both

    def send(self, connection: Connection) -> Outcome | None:
        """None once the last byte is written; until then it has not run."""
        try:
            if not connection.used:
                connection.used = 1
                connection.connect(self.address, min(self.limits.connect, self.until - time.monotonic()))
                # answered while it came up, where nothing may be cancelled: nothing is sent any more
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
        """What ended the listening; the connection is of no more use."""
        connection.close()
        if isinstance(problem, TimeoutError):
            return Outcome.TIMED_OUT
        return Outcome.CANCELLED if self.given_up else Outcome.BROKEN

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
