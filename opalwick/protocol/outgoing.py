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
from opalwick.transport.pool import PoolExhausted, Pool


class ResponseParser(Parser):
    """Parses the response."""

    def __init__(self, limits: Limits, max_body: int = 0) -> None:
        super().__init__(httptools.HttpResponseParser, limits, self.on_complete, max_body=max_body)
        self.final: Message | None = None  # the response, once it is complete
        # whether more than the response has arrived: a second response, or no HTTP at all
        self.surplus = False

    def feed(self, data: memoryview, now: float = 0.0) -> None:
        """Parses data. What follows the response is not part of it, whatever it is. Raises Malformed."""
        try:
            super().feed(data, now)
        except Malformed:
            if self.final is None:
                raise
            self.surplus = True

    def on_message_begin(self) -> None:
        self.surplus = self.final is not None
        super().on_message_begin()

    def on_complete(self, message: Message) -> None:
        if self.final is None:
            self.final = message


class OutgoingRequest:
    """An outgoing request. Subclasses read the response and report the end: a value of their own that
    contains the outcome. Here the end is the outcome alone."""

    __slots__ = (
        "address",
        "request_id",
        "data",
        "deadline",
        "wanted",
        "pool",
        "limits",
        "connection",
        "parser",
        "cancelled",
    )

    def __init__(
        self,
        address: Address,
        data: bytes,
        deadline: float,
        wanted: Callable[[], bool],
        pool: Pool,
        limits: Limits,
        parser: ResponseParser,
        request_id: bytes = b"",
    ) -> None:
        """`request_id`: as all requests of the work item and all answers to them repeat it."""
        self.request_id = request_id
        self.address, self.data, self.deadline, self.wanted = address, data, deadline, wanted
        self.pool, self.limits, self.parser = pool, limits, parser
        self.connection: Connection | None = None
        self.cancelled = False

    # ---- hooks

    def is_final(self, end: Any) -> bool:
        """Whether no other request of the same work item follows."""
        return end is Outcome.FINISHED

    def read_end(self, connection: Connection) -> Any:
        """Waits for the response and returns the end. Closes the connection if it fails."""
        raise NotImplementedError

    def on_connected(self, connection: Connection) -> None:
        """Called once connected, before the request is written. Raises OSError if it must not be written."""

    def write(self, connection: Connection) -> None:
        """Writes the whole request. Raises OSError if that fails."""
        connection.write(self.data, self.deadline - time.monotonic())

    def report_end(self, end: Any, kept: bool) -> None:
        """Reports the end, once. `kept`: a reused connection broke without a response."""
        raise NotImplementedError

    def end_without_response(self, outcome: Outcome) -> Any:
        """Returns the end for an outcome without a response, such as not sent or broken."""
        return outcome

    def is_broken(self, end: Any) -> bool:
        """Whether the connection broke."""
        return end is Outcome.BROKEN

    # ---- execution

    def cancel(self) -> None:
        """Cancels by closing the connection; this wakes the greenlet that waits on it, which reports the
        outcome."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.close()

    def is_obsolete(self) -> bool:
        """Whether it must not be sent: cancelled, past its deadline, or no longer wanted."""
        return self.cancelled or time.monotonic() >= self.deadline or not self.wanted()

    def run(self) -> None:
        """Sends the request and reports its end."""
        if self.is_obsolete():
            return self.report_end(self.end_without_response(Outcome.NOT_SENT), False)
        try:
            connection = self.connection = self.pool.acquire(self.address, self.request_id)
        except PoolExhausted:
            return self.report_end(self.end_without_response(Outcome.NOT_SENT), False)
        end = self.end_without_response(Outcome.BROKEN)
        try:
            unsent = self.send(connection)
            end = self.end_without_response(unsent) if unsent else self.read_end(connection)
        finally:
            # reported before the connection is returned, as reading the rest of the response may block
            answered = self.parser.begun or self.parser.header_complete
            if self.is_final(end):
                connection.unfinished.finish(self.request_id)
            kept = connection.uses > 1 and not answered and self.is_broken(end)
            if kept or answered:
                self.pool.record_use(connection, not kept)
            self.report_end(end, kept)
            self.connection = None
            self.return_connection(connection)
            del self.wanted  # it refers to this object: such a cycle is freed by a garbage collection only

    def send(self, connection: Connection) -> Outcome | None:
        """Connects and writes; returns None once the last byte is written. Until then the request has not
        run."""
        try:
            if not connection.uses:
                connection.uses = 1
                connection.connect(self.address, min(self.limits.connect, self.deadline - time.monotonic()))
                # the call was answered while connecting, and a sent request may not be cancellable
                if self.is_obsolete():
                    raise ConnectionAbortedError
            self.on_connected(connection)
            connection.unfinished.add(self.request_id)
            self.write(connection)
            self.data = b""
            return None
        except OSError:
            connection.close()
            return Outcome.NOT_SENT if self.is_obsolete() else Outcome.NO_CONNECTION

    def outcome_of_error(self, connection: Connection, problem: Exception) -> Outcome:
        """Closes the connection after an error in reading, and returns the outcome."""
        connection.close()
        if isinstance(problem, TimeoutError):
            return Outcome.TIMED_OUT
        return Outcome.CANCELLED if self.cancelled else Outcome.BROKEN

    def return_connection(self, connection: Connection) -> None:
        """Returns the connection to the pool once the response is read to its end."""
        answer = self.parser
        try:
            until = time.monotonic() + self.limits.response_end
            while not connection.closed and answer.final is None:
                if not (data := connection.read(until - time.monotonic())):
                    break
                answer.feed(data)
        except (OSError, Malformed):
            pass
        if answer.final is None or not answer.final.keep_alive or answer.surplus:
            connection.close()
        self.pool.release(self.address, connection)
        answer.close()
