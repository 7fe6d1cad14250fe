"""The clients' side of a counter: messages in, states and bytes back, and whether it is ready."""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple, Protocol

from opalwick.post.wire_pb2 import Field, Letter
from opalwick.protocol.conversation import Call, Conversation, ServerState
from opalwick.protocol.http import Malformed, Message

# of one connection, or said anew on each delivery
_OURS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"proxy-connection",
        b"proxy-authorization",
        b"proxy-authenticate",
        b"content-length",
        b"host",
        b"x-request-id",
        b"x-deadline-ms",
        b"x-want-worker",
    )
)
_ID = re.compile(rb"[!-~]{1,200}")
_MS = re.compile(rb"[0-9]{1,9}([.][0-9]{1,6})?")
# within the half second that clients have: what is short of depots mostly is so for a moment
LATER = "Retry-After: 0.1"


class Takes(ServerState, Protocol):
    """What the counter does for its clients; nothing of it waits."""

    def ready(self) -> bool: ...

    def offered(self, call: Call, message: Message, letter: Letter, delay: float) -> None: ...

    def asked_back(self, call: Call, name: str, body: bool) -> None: ...


def field(message: Message, name: bytes) -> bytes:
    return message.headers.get(name, b"")


def decode(message: Message) -> tuple[Letter, float]:
    """The message and its delay in seconds; Malformed names the field."""
    rid = field(message, b"x-request-id")
    if not rid:
        raise Malformed(400, "X-Request-Id is missing")
    if not _ID.fullmatch(rid):
        raise Malformed(400, "X-Request-Id is malformed")
    delay = field(message, b"x-delay-ms")
    if delay and not _MS.fullmatch(delay):
        raise Malformed(400, "X-Delay-Ms is malformed: a number of milliseconds is due")
    host = field(message, b"host")
    if not host:
        raise Malformed(400, "Host is missing")
    fields = [Field(name=name, value=value) for name, value in message.headers.items() if name not in _OURS]
    return Letter(
        rid=rid.decode("latin-1"),
        host=host,
        method=message.method,
        target=message.target,
        fields=fields,
        body=message.body,
    ), float(delay or b"0") / 1000.0


class Question(NamedTuple):
    """A client asks for a message: for its bytes, or for its state."""

    name: str  # as it was written
    body: bool


def question(message: Message) -> Question | None:
    """What a request asks of a message; None: it asks for something else. All that follows the path's first
    part is taken for the name, a query too: a name has one spelling.
    """
    if message.method == b"GET":
        for stem, body in ((b"/message/", False), (b"/message-body/", True)):
            if message.target.startswith(stem):
                return Question(message.target[len(stem) :].decode("latin-1"), body)
    return None


class Counting(Conversation):
    """A client's connection."""

    server: Any

    def on_request(self, message: Message, now: float) -> None:
        call = self.add_call(message)
        if message.method == b"GET" and message.target.partition(b"?")[0] == b"/readyz":
            call.answer(200 if self.server.ready() else 503)
            return
        if (asked := question(message)) is not None:
            self.server.asked_back(call, asked.name, asked.body)
            return
        try:
            letter, delay = decode(message)
        except Malformed as problem:
            fault(call, problem.status, problem.text)
            return
        if self.over_limit:
            call.answer(503, b"", LATER)
            return
        self.server.offered(call, message, letter, delay)


def fault(call: Call, status: int, text: str, *fields: str) -> None:
    call.answer(status, json.dumps({"err": text}).encode(), "Content-Type: application/json", *fields)
