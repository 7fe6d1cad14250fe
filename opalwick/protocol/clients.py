"""The clients' side: what a request must say to be a work item, and what is answered to it."""

from __future__ import annotations

import re
import zlib
from typing import Any, Protocol

from gevent.event import Event

from opalwick.interface import Category, Customer, Effect
from opalwick.protocol import conversation
from opalwick.protocol.figures import Counts
from opalwick.protocol.http import Malformed, Message
from opalwick.protocol.settings import Names
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits


_NUMBER = re.compile(rb"[0-9]{1,12}([.][0-9]{1,12})?")  # a million seconds in microseconds
_MARK = re.compile(rb"[!-~]{0,128}")  # far longer than any id; odd letters would be closed on


class Call(conversation.Call):
    """One that may be a work item."""

    __slots__ = ("taken", "again", "category")

    def __init__(self, message: Message, close: bool, changed: Event) -> None:
        super().__init__(message, close, changed)
        self.taken = False  # handed on as a work item
        self.again = False  # a hand-off was decided anew, as this process stood still
        self.category: Category | None = None  # where it asks for one

    @property
    def id(self) -> bytes:
        return self.message.headers[b"x-correlation-id"]


class Takes(conversation.House, Protocol):
    """What the scheduler does for the clients' side; nothing of it waits."""

    counts: Counts
    advice: tuple[str, ...]  # fields that tell when to come back

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
    _mark(message, "Idempotency-Key", category.effect is Effect.KEYED)
    left = _number(message, "X-Time-Left-Ms")
    # counted from the sending: its first byte
    expiry_at = message.first_at + (category.expiry if left is None else left / 1000.0)
    customer: Customer | None = names.customers.get(message.headers.get(b"x-account", b"").decode("latin-1"))
    hint = (_number(message, "X-Weight-Hint") or 0.0) * 1e-6
    slots = facts(message.headers.get(b"x-facts")).get(b"slots", 1.0)
    return (
        category,
        customer,
        now,
        expiry_at,
        hint,
        slots if 0 < slots < 1e4 else 1.0,
        subject(parts[-1] if len(parts) > 2 else b""),
        message.headers.get(b"x-repeat") == b"1",
    )


class Conversation(conversation.Conversation):
    """A client's connection."""

    kind = Call

    def __init__(
        self, connection: Connection, limits: Limits, names: Names, scheduler: Takes, full: bool = False
    ) -> None:
        super().__init__(connection, limits, scheduler, full)
        self.names, self.scheduler = names, scheduler

    def whole(self, message: Message, now: float) -> None:
        if message.target.split(b"?", 1)[0] == b"/-/ready":
            # which makes no usual client of those that ask so and stay
            return self.asks(message, False).answer(200 if self.scheduler.lets_in() else 503)
        fields = decode(message, self.names, now)
        if self.scheduler.holds(message.headers[b"x-correlation-id"]):
            raise Malformed(409, "a work item with this id is open")
        call = self.asks(message)
        call.category = fields[0]
        if self.full or not self.scheduler.room_for(len(message.body)):
            return call.answer(503, b"", *self.scheduler.advice)
        call.taken = True
        self.scheduler.take(call, *fields)

    def answered(self, call: Call, status: int) -> None:
        if call.category is not None:
            self.scheduler.counts.final(call.category, status)

    def left(self, call: Call) -> None:
        if call.taken:
            self.scheduler.left(call)

    def done(self, call: Call) -> None:
        self.scheduler.done(call)
