"""Clients' requests: how a work item is decoded from a request, and how it is answered."""

from __future__ import annotations

import re
import zlib
from typing import Any, Protocol

from gevent.event import Event

from opalwick.interface import Category, Customer, Effect
from opalwick.protocol import server_connection
from opalwick.protocol.metrics import Counts
from opalwick.protocol.http import Malformed, Message
from opalwick.protocol.settings import NameMaps
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits


_NUMBER = re.compile(rb"[0-9]{1,12}([.][0-9]{1,12})?")  # a million seconds in microseconds
_TOKEN = re.compile(
    rb"[!-~]{0,128}"
)  # far longer than any id; printable ASCII, as workers close the connection on other characters


class WorkItemCall(server_connection.Call):
    """A client's request that may be a work item."""

    __slots__ = ("accepted", "redispatched", "category")

    def __init__(self, message: Message, close: bool, changed: Event) -> None:
        super().__init__(message, close, changed)
        self.accepted = False  # passed on to the scheduler as a work item
        self.redispatched = False  # an attempt was decided anew after this process had been stalled
        self.category: Category | None = None  # of a work item

    @property
    def id(self) -> bytes:
        return self.message.headers[b"x-correlation-id"]


class WorkItemHandler(server_connection.ServerState, Protocol):
    """What a client's connection requires of the scheduler. No method blocks."""

    counts: Counts
    retry_fields: tuple[str, ...]  # header fields with the time after which to retry

    def accepts_work(self) -> bool: ...  # whether new work is accepted (readiness)

    def has_room_for(self, body: int) -> bool: ...  # whether an item with `body` bytes is within the limits

    def has_open_item(self, id: bytes) -> bool: ...  # whether a work item with this id is open

    def accept_item(self, call: WorkItemCall, *fields: Any) -> None: ...  # fields as returned by decode()

    def client_left(self, call: WorkItemCall) -> None: ...  # the client disconnected before an item's answer

    def call_ended(self, call: WorkItemCall) -> None: ...  # answered or not; once for each call


def _number(message: Message, field: str) -> float | None:
    """Returns a header field's number, 0 or more; None if it is missing. Raises Malformed."""
    text = message.headers.get(field.lower().encode())
    if text is not None and not _NUMBER.fullmatch(text):
        raise Malformed(400, f"{field} is malformed")
    return None if text is None else float(text)


def _token(message: Message, field: str, required: bool) -> bytes:
    """Returns an id or a key: workers accept only one word of printable ASCII. Raises Malformed."""
    text = message.headers.get(field.lower().encode(), b"")
    if required and not text:
        raise Malformed(400, f"{field} is missing")
    if not _TOKEN.fullmatch(text):
        raise Malformed(400, f"{field} is malformed")
    return text


def retry_after(seconds: float) -> tuple[str, ...]:
    """Returns the Retry-After header field; nothing if `seconds` is 0, where it is not allowed."""
    return (f"Retry-After: {seconds:g}",) if seconds > 0 else ()


def parse_pairs(text: bytes | None) -> dict[bytes, float]:
    """Parses a header of `name=number` pairs. Malformed pairs are ignored."""
    found = {}
    for pair in (text or b"").split(b","):
        name, _, value = pair.partition(b"=")
        try:
            found[name.strip()] = float(value)
        except ValueError:
            continue
    return found


def hash_subject(last: bytes) -> int:
    """Returns a hash of a work item's subject (the last part of its path); 0 if there is none."""
    return zlib.crc32(last) + 1 if last else 0


def decode(message: Message, names: NameMaps, now: float) -> tuple:
    """Decodes a work item: category, customer, accepted at, expiry at, hint, slots, subject, repeat.

    Times are in seconds on the process's clock; the hint is the expected work in seconds. Raises Malformed.
    """
    parts = message.target.split(b"?", 1)[0].split(b"/")
    first = parts[1] if len(parts) > 1 else b""
    name = message.headers.get(b"x-service-class") or first
    category: Category | None = names.categories.get(name.decode("latin-1"))
    if category is None or name != first:
        raise Malformed(404, "no such class")
    if message.method != b"POST":
        raise Malformed(405, "only POST")
    _token(message, "X-Correlation-Id", True)
    _token(message, "Idempotency-Key", category.effect is Effect.KEYED)
    time_left = _number(message, "X-Time-Left-Ms")
    # the time left is counted from the arrival of the request's first byte
    expiry_at = message.first_at + (category.expiry if time_left is None else time_left / 1000.0)
    customer: Customer | None = names.customers.get(message.headers.get(b"x-account", b"").decode("latin-1"))
    hint = (_number(message, "X-Weight-Hint") or 0.0) * 1e-6
    slots = parse_pairs(message.headers.get(b"x-facts")).get(b"slots", 1.0)
    return (
        category,
        customer,
        now,
        expiry_at,
        hint,
        slots if 0 < slots < 1e4 else 1.0,
        hash_subject(parts[-1] if len(parts) > 2 else b""),
        message.headers.get(b"x-repeat") == b"1",
    )


class Conversation(server_connection.Conversation):
    """A client's connection that carries work items and readiness checks."""

    call_type = WorkItemCall

    def __init__(
        self,
        connection: Connection,
        limits: Limits,
        names: NameMaps,
        scheduler: WorkItemHandler,
        over_limit: bool = False,
    ) -> None:
        super().__init__(connection, limits, scheduler, over_limit)
        self.names, self.scheduler = names, scheduler

    def on_request(self, message: Message, now: float) -> None:
        if message.target.split(b"?", 1)[0] == b"/-/ready":
            # a readiness check doesn't count as a request that makes its sender an active client
            return self.add_call(message, False).answer(200 if self.scheduler.accepts_work() else 503)
        fields = decode(message, self.names, now)
        if self.scheduler.has_open_item(message.headers[b"x-correlation-id"]):
            raise Malformed(409, "a work item with this id is open")
        call = self.add_call(message)
        call.category = fields[0]
        if self.over_limit or not self.scheduler.has_room_for(len(message.body)):
            return call.answer(503, b"", *self.scheduler.retry_fields)
        call.accepted = True
        self.scheduler.accept_item(call, *fields)

    def on_answered(self, call: WorkItemCall, status: int) -> None:
        if call.category is not None:
            self.scheduler.counts.count_response(call.category, status)

    def on_client_left(self, call: WorkItemCall) -> None:
        if call.accepted:
            self.scheduler.client_left(call)

    def on_call_ended(self, call: WorkItemCall) -> None:
        self.scheduler.call_ended(call)
