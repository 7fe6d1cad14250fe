"""One connection of clients, whatever they ask for: requests in, answers out in the order asked.

One greenlet reads a connection, one writes it.
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
    """One request and the answer that is owed for it."""

    __slots__ = ("message", "reply", "close", "changed")

    def __init__(self, message: Message, close: bool, changed: Event) -> None:
        self.message, self.close, self.changed = message, close, changed
        self.reply: tuple[int, bytes, tuple[str, ...]] | None = None

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        if self.reply is None:
            self.reply = status, body, fields
            self.changed.set()


class House(Protocol):
    """What is the same for all connections of a process."""

    pulse: Pulse

    @property
    def closing(self) -> bool:
        """Connections are closed as soon as nothing is owed on them."""


class Conversation:
    """A client's connection. What is asked is a subclass's: it overrides the hooks, none of which waits."""

    kind: type[Any] = Call  # of the calls made here; hooks get that

    def __init__(self, connection: Connection, limits: Limits, house: House, full: bool = False) -> None:
        self.connection, self.limits, self.house = connection, limits, house
        self.full = full  # at the brim: one answer, then it goes
        self.owed: deque[Any] = deque()  # in the order asked
        self.changed = Event()  # an answer is there, or reading is over
        self.written = Event()  # an answer was written, or writing is over
        self.over = False
        self.last = False  # nothing more is taken: what comes is read and dropped
        self.asked = 0  # times, for what counts and in order
        self.dropped = 0  # bytes
        self.came: list[Message] = []  # whole, of what is being read, and not yet looked at
        self.parser = Parser(httptools.HttpRequestParser, limits, self.came.append, self.expects)

    # ---- hooks; calls of the connection's own, a fault or leave to send, are answered and done as well

    def whole(self, message: Message, now: float) -> None:
        """A request is whole: `asks` makes its call; Malformed, raised, is its answer and the last one.
        `now`: when its last byte had come."""
        raise NotImplementedError

    def answered(self, call: Any, status: int) -> None:
        """Its final answer was written."""

    def left(self, call: Any) -> None:
        """The client has gone before there was an answer."""

    def done(self, call: Any) -> None:
        """It is over either way; once for each."""

    # ---- between requests

    def waits(self, least: float = 0.0) -> tuple[int, float] | None:
        """How often it has asked, nought, once or more; and since when it waits for the next request, for the
        rest of one that drips or for the other side's end. None: it may not go, or has not waited so long.

        One that asks again is worth more: whoever comes and says nothing, or asks once and stays, must not
        take a usual client's place.
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
        return not (self.asked or self.owed or self.over or self.parser.begun)

    def reads(self) -> bool:
        """Something has come that it has not read yet."""
        return not self.parser.begun and self.connection.readable()

    def due_at(self) -> float:
        """When its next request must have come whole."""
        if not self.asked:
            return self.connection.opened_at + self.limits.first
        if self.parser.begun:
            return self.parser.message.first_at + self.limits.request
        return self.connection.idle_since + self.limits.idle_client

    def close(self) -> None:
        self.over = True
        self.connection.close()  # whoever waits on it finds out
        self.changed.set()
        self.written.set()

    def run(self) -> None:
        writer = gevent.spawn(self.write)
        try:
            self.read()
        except OSError:  # reset, or closed from here
            pass
        finally:
            self.close()
            writer.join()
            for call in self.owed:  # the client has gone away
                if call.reply is None:
                    self.left(call)
                self.done(call)
            self.parser.close()

    # ---- reading

    def read(self) -> None:
        """Until the other side's end."""
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
                    continue  # it was answered meanwhile, or still waits for that
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
        """71 late sends of 12 schedulers stopped for 6 s: what the kernel took in meanwhile counts from when
        it came, not from when it is read, or it gets a new life after its expiry."""
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
        """Looks at what has come whole, in order. The kernel's word is of the last byte that came: those
        before the last one, where clients send without waiting, may have lain from the beginning."""
        came, self.came[:] = self.came[:], []
        for i, message in enumerate(came):
            now = self.parser.now
            if followed or i + 1 < len(came):
                now = min(now, self.connection.lain_since)
                message.first_at = min(message.first_at, now)
            if self.last:  # what follows a last request is not taken
                continue
            try:
                self.whole(message, now)
            except Malformed as problem:
                self.fault(problem)

    def drop(self) -> None:
        """What still comes is read on, as closing on it would reset the connection and take the answer along:
        until the other side's end, but not for ever."""
        while not self.over and self.dropped < self.limits.dropped:
            if not (count := self.connection.skip()):
                return
            self.dropped += count

    def fault(self, problem: Malformed) -> None:
        """It ends with this answer: one that asks for the same again has to come back first."""
        self.last = True
        self.parser.begun = False
        self.owe(self.kind(Message(0.0), True, self.changed)).answer(problem.status, problem.text.encode())

    def asks(self, message: Message, counts: bool = True) -> Any:
        """The call of a request. `counts`: it makes a usual client of one that asks so again and stays."""
        self.last = self.full or not message.keep_alive
        self.asked += counts
        return self.owe(self.kind(message, self.last, self.changed))

    def owe(self, call: Any) -> Any:
        self.owed.append(call)
        return call

    def expects(self) -> None:
        """Called by the parser: the client waits for leave to send the body."""
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
                # decided now: it may have been told to close since the request came
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
                    # the reader reads on and drops, for as long as it finds something
                    self.connection.shut()
                    until, before = time.monotonic() + self.limits.leaving, -1
                    while not self.over and self.dropped > before and time.monotonic() < until:
                        before = self.dropped
                        self.changed.clear()
                        self.changed.wait(self.limits.linger)
                    return
        except OSError:  # gone, or it does not read
            pass
        finally:
            self.close()
