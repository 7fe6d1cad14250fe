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
from opalwick.transport.pulse import Pulse


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


class House(Protocol):
    """What all connections of a process share."""

    pulse: Pulse

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed as soon as no response is pending on them."""


class Conversation:
    """A client's connection. Subclasses interpret the requests by overriding the hooks, which must not
    block."""

    kind: type[Any] = Call  # class of the calls that are made here and passed to the hooks

    def __init__(self, connection: Connection, limits: Limits, house: House, full: bool = False) -> None:
        self.connection, self.limits, self.house = connection, limits, house
        self.full = full  # accepted above the limit of connections: closed after one response
        self.owed: deque[Any] = deque()  # calls without a written response, in the order of requests
        self.changed = Event()  # a response is set, or reading has ended
        self.written = Event()  # a response was written, or writing has ended
        self.over = False
        self.last = False  # no further request is accepted: data is read and discarded
        self.asked = 0  # number of valid requests, without those that do not count
        self.dropped = 0  # bytes read and discarded
        self.came: list[Message] = []  # complete requests that are not yet processed
        self.parser = Parser(httptools.HttpRequestParser, limits, self.came.append, self.expects)

    # ---- hooks; `answered` and `done` are also called for the connection's own calls: an error, 100 Continue

    def whole(self, message: Message, now: float) -> None:
        """A request is complete: `asks` makes its call. Raises Malformed, which becomes its response and the
        last one. `now`: when its last byte arrived."""
        raise NotImplementedError

    def answered(self, call: Any, status: int) -> None:
        """The final response was written."""

    def left(self, call: Any) -> None:
        """The client disconnected before there was a response."""

    def done(self, call: Any) -> None:
        """The call has ended, answered or not. Called once for each."""

    # ---- between requests

    def waits(self, least: float = 0.0) -> tuple[int, float] | None:
        """Returns the rank for eviction: the number of requests (0, 1, or 2 for more), and since when it
        waits for the next request, the rest of an incomplete one or the client's close. None if it must not
        be closed, or has waited for less than `least` seconds or the limit of its rank.

        Clients with repeated requests rank higher: those that connect and send nothing, or send one request
        and stay connected, must not displace regular clients.
        """
        if self.owed or self.over:
            return None
        since = self.connection.idle_since
        if self.last or self.parser.begun:
            since, least = max(since, self.parser.message.first_at), max(least, self.limits.drip)
        elif self.asked < 2:
            least = min(least, self.limits.once if self.asked else self.limits.quiet)
        return (min(self.asked, 2), since) if time.monotonic() >= since + least else None

    def silent(self) -> bool:
        """Whether no request, nor a part of one, was received."""
        return not (self.asked or self.owed or self.over or self.parser.begun)

    def reads(self) -> bool:
        """Whether the beginning of a request is unread in the socket."""
        return not self.parser.begun and self.connection.readable()

    def due_at(self) -> float:
        """When the next request must be complete."""
        if not self.asked:
            return self.connection.opened_at + self.limits.first
        if self.parser.begun:
            return self.parser.message.first_at + self.limits.request
        return self.connection.idle_since + self.limits.idle_client

    def close(self) -> None:
        self.over = True
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
            for call in self.owed:  # the client disconnected
                if call.reply is None:
                    self.left(call)
                self.done(call)
            self.parser.close()

    # ---- reading

    def read(self) -> None:
        """Reads until the client closes."""
        while not self.over:
            while len(self.owed) >= self.limits.pipelined and not self.over:
                self.written.clear()
                self.written.wait()
            if self.last:
                return self.drop()
            owed = self.owed and not self.parser.begun
            try:
                data = self.connection.read(
                    self.limits.idle_client if owed else self.due_at() - time.monotonic()
                )
            except TimeoutError:
                if self.owed and not self.parser.begun or time.monotonic() < self.due_at():
                    continue  # a response was written meanwhile, or is still pending
                if not self.parser.begun:
                    return
                self.fault(Malformed(408, "the request came too slowly"))
                continue
            if not data:
                return
            if self.last:
                continue
            self.feed(data)

    def feed(self, data: memoryview) -> None:
        """Parses received data, with the time at which it arrived.

        Data that the kernel received while this process was stalled counts from its arrival, not from when it
        is read. Otherwise items get a new deadline after their expiry: 12 schedulers that were stopped for 6
        s made 71 attempts too late.
        """
        connection = self.connection
        problem, now = None, connection.came_at(time.monotonic(), self.house.pulse)
        try:
            self.parser.feed(data, now)
        except Malformed as found:
            problem = found
        self.settle(self.parser.begun or problem is not None)
        if problem is not None:
            self.fault(problem)

    def settle(self, followed: bool) -> None:
        """Processes the complete requests in order. The kernel reports the arrival of the last byte only:
        earlier pipelined requests may have arrived any time since the previous read."""
        came, self.came[:] = self.came[:], []
        for i, message in enumerate(came):
            now = self.parser.now
            if followed or i + 1 < len(came):
                now = min(now, self.connection.lain_since)
                message.first_at = min(message.first_at, now)
            if self.last:  # requests after the last accepted one are discarded
                continue
            try:
                self.whole(message, now)
            except Malformed as problem:
                self.fault(problem)

    def drop(self) -> None:
        """Reads and discards data until the client closes, or up to a limit: closing with unread data would
        reset the connection, and the client would lose the response."""
        while not self.over and self.dropped < self.limits.dropped:
            if not (count := self.connection.skip()):
                return
            self.dropped += count

    def fault(self, problem: Malformed) -> None:
        """Ends the connection with this error: a client that repeats the request has to reconnect first."""
        self.last = True
        self.parser.begun = False
        self.owe(self.kind(Message(0.0), True, self.changed)).answer(problem.status, problem.text.encode())

    def asks(self, message: Message, counts: bool = True) -> Any:
        """Makes the call of a request. `counts`: it counts as a request for the rank of the connection."""
        self.last = self.full or not message.keep_alive
        self.asked += counts
        return self.owe(self.kind(message, self.last, self.changed))

    def owe(self, call: Any) -> Any:
        self.owed.append(call)
        return call

    def expects(self) -> None:
        """Called by the parser: the client waits for 100 Continue before it sends the body."""
        self.settle(True)
        self.owe(self.kind(Message(0.0), False, self.changed)).answer(100)

    # ---- writing

    def write(self) -> None:
        try:
            while not self.over:
                reply = self.owed[0].reply if self.owed else None
                if reply is None:
                    self.changed.clear()
                    self.changed.wait()
                    continue
                call = self.owed[0]
                # checked now: closing may have begun since the request arrived
                if self.house.closing and len(self.owed) == 1 and not self.parser.begun:
                    self.last = call.close = True
                status, body, fields = reply
                self.connection.write(response(status, body, call.close, *fields), self.limits.write)
                self.connection.idle_since = time.monotonic()
                if status >= 200:
                    self.answered(call, status)
                self.owed.popleft()
                self.done(call)
                self.written.set()
                if call.close:
                    # the reader goes on discarding as long as data arrives, within the limits
                    self.connection.shut()
                    until, before = time.monotonic() + self.limits.leaving, -1
                    while not self.over and self.dropped > before and time.monotonic() < until:
                        before = self.dropped
                        self.changed.clear()
                        self.changed.wait(self.limits.linger)
                    return
        except OSError:  # disconnected, or the client does not read
            pass
        finally:
            self.close()
