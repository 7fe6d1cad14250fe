"""A server's side of one HTTP connection: reads requests and writes the responses in the order of the
requests.

One greenlet reads the connection, another one writes it.
"""

from __future__ import annotations

import time
from collections import deque
from typing import Any, Protocol

import gevent
import httptools
from gevent.event import Event

from opalwick.protocol.http import Malformed, Message, Parser, response
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits
from opalwick.transport.stalls import StallDetector


class Call:
    """One request and its response."""

    __slots__ = ("message", "reply", "close", "changed")

    def __init__(self, message: Message, close: bool, changed: Event) -> None:
        self.message, self.close, self.changed = message, close, changed
        self.reply: tuple[int, bytes, tuple[str, ...]] | None = None

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        """Sets the response; the first one counts. `fields`: further header lines."""
        if self.reply is None:
            self.reply = status, body, fields
            self.changed.set()


class ServerState(Protocol):
    """What all connections of a process share."""

    pulse: StallDetector

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed as soon as no response is pending on them."""


class Conversation:
    """A client's connection. Subclasses interpret the requests by overriding the hooks, which must not
    block."""

    call_type: type[Any] = Call  # class of the calls that are made here and passed to the hooks

    def __init__(
        self, connection: Connection, limits: Limits, server: ServerState, over_limit: bool = False
    ) -> None:
        self.connection, self.limits, self.server = connection, limits, server
        self.over_limit = over_limit  # accepted above the limit of connections: closed after one response
        self.pending: deque[Any] = deque()  # calls without a written response, in the order of requests
        self.changed = Event()  # a response is set, or reading has ended
        self.written = Event()  # a response was written, or writing has ended
        self.ended = False
        self.accepts_no_more = False  # no further request is accepted: data is read and discarded
        self.request_count = 0  # number of valid requests, without those that do not count
        self.discarded = 0  # bytes read and discarded
        self.received: list[Message] = []  # complete requests that are not yet processed
        self.parser = Parser(
            httptools.HttpRequestParser, limits, self.received.append, self.on_expect_continue
        )

    # ---- hooks; `on_answered` and `on_call_ended` are also called for the connection's own calls: an error,
    # 100 Continue

    def on_request(self, message: Message, now: float) -> None:
        """A request is complete: `add_call` makes its call. Raises Malformed, which becomes its response and
        the last one. `now`: when its last byte arrived."""
        raise NotImplementedError

    def on_answered(self, call: Any, status: int) -> None:
        """The final response was written."""

    def on_client_left(self, call: Any) -> None:
        """The client disconnected before there was a response."""

    def on_call_ended(self, call: Any) -> None:
        """The call has ended, answered or not. Called once for each."""

    # ---- between requests

    def eviction_rank(self, least: float = 0.0) -> tuple[int, float] | None:
        """Returns the rank for eviction: the number of requests (0, 1, or 2 for more), and since when it
        waits for the next request, the rest of an incomplete one or the client's close. None if it must not
        be closed, or has waited for less than `least` seconds or the limit of its rank.

        Clients with repeated requests rank higher: those that connect and send nothing, or send one request
        and stay connected, must not displace regular clients.
        """
        if self.pending or self.ended:
            return None
        since = self.connection.idle_since
        if self.accepts_no_more or self.parser.begun:
            since, least = max(since, self.parser.message.first_at), max(least, self.limits.evict_incomplete)
        elif self.request_count < 2:
            least = min(
                least, self.limits.evict_single_use if self.request_count else self.limits.evict_silent
            )
        return (min(self.request_count, 2), since) if time.monotonic() >= since + least else None

    def has_received_nothing(self) -> bool:
        """Whether no request, nor a part of one, was received."""
        return not (self.request_count or self.pending or self.ended or self.parser.begun)

    def has_unread(self) -> bool:
        """Whether the beginning of a request is unread in the socket."""
        return not self.parser.begun and self.connection.readable()

    def deadline(self) -> float:
        """When the next request must be complete."""
        if not self.request_count:
            return self.connection.opened_at + self.limits.first_request
        if self.parser.begun:
            return self.parser.message.first_at + self.limits.request
        return self.connection.idle_since + self.limits.idle_client

    def close(self) -> None:
        self.ended = True
        self.connection.close()  # wakes the greenlets that wait on it
        self.changed.set()
        self.written.set()

    def run(self) -> None:
        """Serves the connection until it is closed."""
        writer = gevent.spawn(self.write)
        try:
            self.read()
        except OSError:  # reset, or closed from here
            pass
        finally:
            self.close()
            writer.join()
            for call in self.pending:  # the client disconnected
                if call.reply is None:
                    self.on_client_left(call)
                self.on_call_ended(call)
            self.parser.close()

    # ---- reading

    def read(self) -> None:
        """Reads until the client closes."""
        while not self.ended:
            while len(self.pending) >= self.limits.pipelined and not self.ended:
                self.written.clear()
                self.written.wait()
            if self.accepts_no_more:
                return self.discard()
            pending = self.pending and not self.parser.begun
            try:
                data = self.connection.read(
                    self.limits.idle_client if pending else self.deadline() - time.monotonic()
                )
            except TimeoutError:
                if self.pending and not self.parser.begun or time.monotonic() < self.deadline():
                    continue  # a response was written meanwhile, or is still pending
                if not self.parser.begun:
                    return
                self.end_with_error(Malformed(408, "the request came too slowly"))
                continue
            if not data:
                return
            if self.accepts_no_more:
                continue
            self.feed(data)

    def feed(self, data: memoryview) -> None:
        """Parses received data, with the time at which it arrived.

        Data that the kernel received while this process was stalled counts from its arrival, not from when it
        is read. Otherwise items get a new deadline after their expiry: 12 schedulers that were stopped for 6
        s made 71 attempts too late.
        """
        connection = self.connection
        problem, now = None, connection.arrival_time(time.monotonic(), self.server.pulse)
        try:
            self.parser.feed(data, now)
        except Malformed as found:
            problem = found
        self.process_received(self.parser.begun or problem is not None)
        if problem is not None:
            self.end_with_error(problem)

    def process_received(self, followed: bool) -> None:
        """Processes the complete requests in order. The kernel reports the arrival of the last byte only:
        earlier pipelined requests may have arrived any time since the previous read."""
        messages, self.received[:] = self.received[:], []
        for i, message in enumerate(messages):
            now = self.parser.now
            if followed or i + 1 < len(messages):
                now = min(now, self.connection.earliest_arrival)
                message.first_at = min(message.first_at, now)
            if self.accepts_no_more:  # requests after the last accepted one are discarded
                continue
            try:
                self.on_request(message, now)
            except Malformed as problem:
                self.end_with_error(problem)

    def discard(self) -> None:
        """Reads and discards data until the client closes, or up to a limit: closing with unread data would
        reset the connection, and the client would lose the response."""
        while not self.ended and self.discarded < self.limits.discarded:
            if not (count := self.connection.discard()):
                return
            self.discarded += count

    def end_with_error(self, problem: Malformed) -> None:
        """Ends the connection with this error: a client that repeats the request has to reconnect first."""
        self.accepts_no_more = True
        self.parser.begun = False
        self.append_call(self.call_type(Message(0.0), True, self.changed)).answer(
            problem.status, problem.text.encode()
        )

    def add_call(self, message: Message, counts: bool = True) -> Any:
        """Makes the call of a request. `counts`: it counts as a request for the rank of the connection."""
        self.accepts_no_more = self.over_limit or not message.keep_alive
        self.request_count += counts
        return self.append_call(self.call_type(message, self.accepts_no_more, self.changed))

    def append_call(self, call: Any) -> Any:
        self.pending.append(call)
        return call

    def on_expect_continue(self) -> None:
        """Called by the parser: the client waits for 100 Continue before it sends the body."""
        self.process_received(True)
        self.append_call(self.call_type(Message(0.0), False, self.changed)).answer(100)

    # ---- writing

    def write(self) -> None:
        try:
            while not self.ended:
                reply = self.pending[0].reply if self.pending else None
                if reply is None:
                    self.changed.clear()
                    self.changed.wait()
                    continue
                call = self.pending[0]
                # checked now: closing may have begun since the request arrived
                if self.server.closing and len(self.pending) == 1 and not self.parser.begun:
                    self.accepts_no_more = call.close = True
                status, body, fields = reply
                self.connection.write(response(status, body, call.close, *fields), self.limits.write)
                self.connection.idle_since = time.monotonic()
                if status >= 200:
                    self.on_answered(call, status)
                self.pending.popleft()
                self.on_call_ended(call)
                self.written.set()
                if call.close:
                    # the reader goes on discarding as long as data arrives, within the limits
                    self.connection.shutdown_write()
                    until, before = time.monotonic() + self.limits.discard_time, -1
                    while not self.ended and self.discarded > before and time.monotonic() < until:
                        before = self.discarded
                        self.changed.clear()
                        self.changed.wait(self.limits.linger)
                    return
        except OSError:  # disconnected, or the client does not read
            pass
        finally:
            self.close()
