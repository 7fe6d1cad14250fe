"""The clients' side: requests in, the final answer out. One greenlet reads a connection, one writes it."""
from __future__ import annotations

import re
import time
import zlib
from collections import deque
from typing import Any, Protocol

import gevent
import httptools
from gevent.event import Event

from opalwick.interface import Category, Customer, Effect
from opalwick.protocol.figures import Counts
from opalwick.protocol.http import Malformed, Message, Parser, response
from opalwick.protocol.settings import Names
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits
from opalwick.transport.pulse import Pulse


_NUMBER = re.compile(rb"[0-9]{1,12}([.][0-9]{1,12})?")     # a million seconds in microseconds
_MARK = re.compile(rb"[!-~]{0,128}")    # far longer than any id; odd letters would be closed on


class Call:
    """One request and the answer that is owed for it."""
    __slots__ = ("message", "reply", "close", "changed", "taken", "again", "category")

    def __init__(self, message: Message, close: bool, changed: Event) -> None:
        self.message, self.close, self.changed = message, close, changed
        self.reply: tuple[int, bytes, tuple[str, ...]] | None = None
        self.taken = False                      # handed on as a work item
        self.again = False                      # a hand-off was decided anew, as this process stood still
        self.category: Category | None = None   # where it asks for one

    @property
    def id(self) -> bytes:
        return self.message.headers[b"x-correlation-id"]

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        if self.reply is None:
            self.reply = status, body, fields
            self.changed.set()


class Takes(Protocol):
    """What the scheduler does for the clients' side; nothing of it waits."""
    counts: Counts
    pulse: Pulse
    advice: tuple[str, ...]     # fields that tell when to come back

    @property
    def closing(self) -> bool:
        """Connections are closed as soon as nothing is owed on them."""

    def lets_in(self) -> bool: ...

    def room_for(self, body: int) -> bool: ...

    def holds(self, id: bytes) -> bool: ...

    def take(self, call: Call, *fields: Any) -> None: ...

    def left(self, call: Call) -> None: ...

    def done(self, call: Call) -> None: ...


def _number(message: Message, what: str) -> float | None:
    """A number of nought or more; none where the field is missing."""
    text = message.headers.get(what.lower().encode())
    if text is not None and not _NUMBER.fullmatch(text):
        raise Malformed(400, f"{what} is malformed")
    return None if text is None else float(text)


def _mark(message: Message, what: str, needed: bool) -> bytes:
    """An id or a key: a worker can use only what is one word."""
    text = message.headers.get(what.lower().encode(), b"")
    if needed and not text:
        raise Malformed(400, f"{what} is missing")
    if not _MARK.fullmatch(text):
        raise Malformed(400, f"{what} is malformed")
    return text


def come_back(seconds: float) -> tuple[str, ...]:
    """The field that tells a client when to come back, where it may be told."""
    return (f"Retry-After: {seconds:g}",) if seconds > 0 else ()


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


def subject(last: bytes) -> int:
    """What a work item is about, the last part of a path of several; 0: nothing."""
    return zlib.crc32(last) + 1 if last else 0


def decode(message: Message, names: Names, now: float) -> tuple:
    """The fields of a work item: category, customer, taken at, expiry at, hint, slots, subject, repeat."""
    parts = message.target.split(b"?", 1)[0].split(b"/")
    first = parts[1] if len(parts) > 1 else b""
    name = message.headers.get(b"x-service-class") or first
    category: Category | None = names.categories.get(name.decode("latin-1"))
    if category is None or name != first:
        raise Malformed(404, "no such class")
    if message.method != b"POST":
        raise Malformed(405, "only POST")
    _mark(message, "X-Correlation-Id", True)
    _mark(message, "Idempotency-Key", category.effect is Effect.TICKETED)
    left = _number(message, "X-Time-Left-Ms")
    # counted from the sending: its first byte
    expiry_at = message.first_at + (category.expiry if left is None else left / 1000.0)
    customer: Customer | None = names.customers.get(message.headers.get(b"x-account", b"").decode("latin-1"))
    hint = (_number(message, "X-Weight-Hint") or 0.0) * 1e-6
    slots = facts(message.headers.get(b"x-facts")).get(b"slots", 1.0)
    return (category, customer, now, expiry_at, hint, slots if 0 < slots < 1e4 else 1.0,
            subject(parts[-1] if len(parts) > 2 else b""), message.headers.get(b"x-repeat") == b"1")


class Conversation:
    """A client's connection."""

    def __init__(self, connection: Connection, limits: Limits, names: Names, scheduler: Takes,
                 full: bool = False) -> None:
        self.connection, self.limits, self.names, self.scheduler = connection, limits, names, scheduler
        self.full = full                        # at the brim: one answer, then it goes
        self.owed: deque[Call] = deque()        # in the order asked
        self.changed = Event()                  # an answer is there, or reading is over
        self.written = Event()                  # an answer was written, or writing is over
        self.over = False
        self.last = False                       # nothing more is taken: what comes is read and dropped
        self.asked = 0                          # times, for a work item and in order
        self.dropped = 0                        # bytes
        self.came: list[Message] = []           # whole, of what is being read, and not yet looked at
        self.parser = Parser(httptools.HttpRequestParser, limits, self.came.append, self.expects)

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
        self.connection.close()                 # whoever waits on it finds out
        self.changed.set()
        self.written.set()

    def run(self) -> None:
        writer = gevent.spawn(self.write)
        try:
            self.read()
        except OSError:                         # reset, or closed from here
            pass
        finally:
            self.close()
            writer.join()
            for call in self.owed:              # the client has gone away
                if call.taken and call.reply is None:
                    self.scheduler.left(call)
                self.scheduler.done(call)
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
                data = self.connection.read(self.limits.idle_client if owed else
                                            self.due_at() - time.monotonic())
            except TimeoutError:
                if self.owed and not self.parser.begun or time.monotonic() < self.due_at():
                    continue                    # it was answered meanwhile, or still waits for that
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
        problem, now = None, connection.came_at(time.monotonic(), self.scheduler.pulse)
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
            self.whole(message, now)

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
        self.owe(Call(Message(0.0), True, self.changed)).answer(problem.status, problem.text.encode())

    def owe(self, call: Call) -> Call:
        self.owed.append(call)
        return call

    def expects(self) -> None:
        """Called by the parser: the client waits for leave to send the body."""
        self.settle(True)
        self.owe(Call(Message(0.0), False, self.changed)).answer(100)

    def whole(self, message: Message, now: float) -> None:
        """Nothing here waits. `now`: when its last byte had come."""
        if self.last:                           # what follows a last request is not taken
            return
        try:
            ready = message.target.split(b"?", 1)[0] == b"/-/ready"
            fields = () if ready else decode(message, self.names, now)
            if not ready and self.scheduler.holds(message.headers[b"x-correlation-id"]):
                raise Malformed(409, "a work item with this id is open")
        except Malformed as problem:
            return self.fault(problem)
        self.last = self.full or not message.keep_alive
        call = self.owe(Call(message, self.last, self.changed))
        if ready:                               # which makes no usual client of those that ask so and stay
            return call.answer(200 if self.scheduler.lets_in() else 503)
        self.asked += 1
        call.category = fields[0]
        if self.full or not self.scheduler.room_for(len(message.body)):
            return call.answer(503, b"", *self.scheduler.advice)
        call.taken = True
        self.scheduler.take(call, *fields)

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
                if self.scheduler.closing and len(self.owed) == 1 and not self.parser.begun:
                    self.last = call.close = True
                status, body, fields = reply
                self.connection.write(response(status, body, call.close, *fields), self.limits.write)
                self.connection.idle_since = time.monotonic()
                if call.category is not None:
                    self.scheduler.counts.final(call.category, status)
                self.owed.popleft()
                self.scheduler.done(call)
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
        except OSError:                         # gone, or it does not read
            pass
        finally:
            self.close()
