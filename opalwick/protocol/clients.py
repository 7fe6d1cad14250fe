"""The clients' side: requests in, the final answer out. One greenlet reads a connection, one writes it."""
from __future__ import annotations

import math
import time
import zlib
from collections import deque
from typing import Any, Protocol

import gevent
import httptools
from gevent.event import Event

from opalwick.interface import Category, Customer
from opalwick.protocol.http import Malformed, Message, Parser, response
from opalwick.protocol.settings import Names
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits


class Call:
    """One request and the answer that is owed for it; the front's key of its work item."""
    __slots__ = ("message", "reply", "close", "answer_to", "taken")

    def __init__(self, message: Message, close: bool, answer_to: Event) -> None:
        self.message, self.close, self.answer_to = message, close, answer_to
        self.reply: bytes | None = None
        self.taken = False                      # handed on as a work item

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        if self.reply is None:
            self.reply = response(status, body, self.close, *fields)
            self.answer_to.set()


class Takes(Protocol):
    """What the scheduler does for the clients' side."""
    closing: bool       # it is to end: connections are closed after their next answer

    def ready(self) -> bool: ...

    def room_for(self, body: int) -> bool: ...

    def take(self, call: Call, *fields: Any) -> None: ...

    def left(self, call: Call) -> None: ...

    def done(self, call: Call) -> None: ...


def _whole(text: bytes | None, what: str, most: float = 1e12) -> float | None:
    """A number of nought or more; none where the field is missing."""
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= most:
        raise Malformed(400, f"{what} is malformed")
    return value


def facts(text: bytes | None) -> dict[bytes, float]:
    """Odd ones are passed over."""
    found = {}
    for pair in (text or b"").split(b","):
        name, _, value = pair.partition(b"=")
        try:
            found[name.strip()] = float(value)
        except ValueError:
            continue
    return found


def decode(message: Message, names: Names, now: float) -> tuple:
    """The fields of a work item: category, customer, subject, taken at, expiry at, hint, slots."""
    parts = message.target.split(b"?", 1)[0].split(b"/")
    name = message.header(b"x-service-class") or (parts[1] if len(parts) > 1 else b"")
    category: Category | None = names.categories.get(name.decode("latin-1"))
    if category is None:
        raise Malformed(404, "no such class")
    if message.method != b"POST":
        raise Malformed(405, "only POST")
    if not message.header(b"x-correlation-id"):
        raise Malformed(400, "X-Correlation-Id is missing")
    left = _whole(message.header(b"x-time-left-ms"), "X-Time-Left-Ms")
    # counted from the sending: its first byte
    expiry_at = message.first_at + (category.expiry if left is None else left / 1000.0)
    customer: Customer | None = names.customers.get((message.header(b"x-account") or b"").decode("latin-1"))
    # the same number at every scheduler
    subject = zlib.crc32(parts[-1]) + 1 if len(parts) > 2 and parts[-1] else 0
    hint = (_whole(message.header(b"x-weight-hint"), "X-Weight-Hint") or 0.0) * 1e-6
    slots = facts(message.header(b"x-facts")).get(b"slots", 1.0)
    return category, customer, subject, now, expiry_at, hint, slots if 0 < slots < 1e4 else 1.0


class Conversation:
    """A client's connection."""

    def __init__(self, connection: Connection, limits: Limits, names: Names, scheduler: Takes,
                 refuse: bool = False) -> None:
        self.connection, self.limits, self.names, self.scheduler = connection, limits, names, scheduler
        self.refuse = refuse                    # at the brim: one answer, then it goes
        self.owed: deque[Call] = deque()        # in the order asked
        self.changed = Event()                  # an answer is there, or reading has ended
        self.drained = Event()                  # an answer was written
        self.over = False
        self.parser = Parser(httptools.HttpRequestParser, limits, self.whole)

    def idle(self) -> bool:
        return not self.owed and self.parser.message is None

    def close(self) -> None:
        self.over = True
        self.connection.close()
        self.changed.set()

    def run(self) -> None:
        writer = gevent.spawn(self.write)
        try:
            self.read()
        except OSError:                         # reset, or closed from here
            self.over = True
        finally:
            if self.over:
                for call in self.owed:
                    if call.taken and call.reply is None:
                        self.scheduler.left(call)
                self.connection.close()
            self.changed.set()
            writer.join()

    def read(self) -> None:
        while not self.over:
            while len(self.owed) >= self.limits.pipelined and not self.over:
                self.drained.clear()
                self.drained.wait()
            begun, now = self.parser.message, time.monotonic()
            if begun is not None:
                within = begun.first_at + self.limits.request - now
            else:
                within = None if self.owed else self.limits.idle_client
            try:
                data = self.connection.read(within)
            except TimeoutError:
                if begun is None:
                    if not self.owed:
                        self.over = True        # idle
                    continue
                self.fault(Malformed(408, "the request came too slowly"))
                return
            if not data:
                self.over = True                # the client has gone away
                return
            try:
                self.parser.feed(data, time.monotonic())
            except Malformed as problem:
                self.fault(problem)
                return

    def fault(self, problem: Malformed) -> None:
        call = Call(Message(0.0), True, self.changed)
        call.answer(problem.status, problem.text.encode())
        self.owed.append(call)
        self.changed.set()

    def whole(self, message: Message) -> None:
        """Called by the parser; nothing here waits."""
        if self.owed and self.owed[-1].close:   # what follows a last request is not read
            return
        close = self.refuse or not message.keep_alive or self.scheduler.closing
        call = Call(message, close, self.changed)
        self.owed.append(call)
        if message.target.split(b"?", 1)[0] == b"/-/ready":
            return call.answer(200 if self.scheduler.ready() else 503)
        try:
            fields = decode(message, self.names, self.parser.now)
        except Malformed as problem:
            return call.answer(problem.status, problem.text.encode())
        if self.refuse or not self.scheduler.room_for(len(message.body)):
            return call.answer(503, b"", "Retry-After: 1")
        call.taken = True
        self.scheduler.take(call, *fields)

    def write(self) -> None:
        try:
            while True:
                while self.owed and self.owed[0].reply is not None and not self.over:
                    call = self.owed[0]
                    self.connection.write(call.reply, self.limits.write)
                    self.owed.popleft()
                    self.scheduler.done(call)
                    self.drained.set()
                    if call.close:
                        self.over = True
                        # what it still sends is read and dropped, as a reset would take the answer with it
                        self.connection.end(1.0, self.limits.body)
                if self.over:
                    return
                self.changed.clear()
                self.changed.wait()
        except OSError:                         # gone, or it does not read: its reader finds out
            self.over = True
            self.connection.close()
        finally:
            self.drained.set()
            for call in self.owed:
                self.scheduler.done(call)
