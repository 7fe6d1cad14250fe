"""HTTP interface of a gateway for clients: submitting messages, looking them up, and the readiness probe."""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple, Protocol

from opalwick.post.wire_pb2 import Field, Letter
from opalwick.protocol.server_connection import Call, Conversation, ServerState
from opalwick.protocol.http import Malformed, Message

# headers that apply to one connection only, or are set on each delivery; not stored with the message
_NOT_STORED = frozenset(
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
_REQUEST_ID = re.compile(rb"[!-~]{1,200}")
_MILLISECONDS = re.compile(rb"[0-9]{1,9}([.][0-9]{1,6})?")
# well within the 0.5 s that clients have: a shortage of stores usually lasts only a moment
RETRY_AFTER = "Retry-After: 0.1"


class GatewayService(ServerState, Protocol):
    """What a gateway does for its clients. No method blocks; each ends with an answer to `call`."""

    def ready(self) -> bool: ...

    def submit(self, call: Call, request: Message, letter: Letter, delay: float) -> None: ...

    def look_up(self, call: Call, name: str, body: bool) -> None: ...


def header(request: Message, name: bytes) -> bytes:
    """The value of a header, empty if it is missing."""
    return request.headers.get(name, b"")


def decode_message(request: Message) -> tuple[Letter, float]:
    """The message to store and its delay in s. Raises Malformed, which names the header at fault."""
    request_id = header(request, b"x-request-id")
    if not request_id:
        raise Malformed(400, "X-Request-Id is missing")
    if not _REQUEST_ID.fullmatch(request_id):
        raise Malformed(400, "X-Request-Id is malformed")
    delay = header(request, b"x-delay-ms")
    if delay and not _MILLISECONDS.fullmatch(delay):
        raise Malformed(400, "X-Delay-Ms is malformed: it must be a number of milliseconds")
    host = header(request, b"host")
    if not host:
        raise Malformed(400, "Host is missing")
    fields = [
        Field(name=name, value=value) for name, value in request.headers.items() if name not in _NOT_STORED
    ]
    return Letter(
        rid=request_id.decode("latin-1"),
        host=host,
        method=request.method,
        target=request.target,
        fields=fields,
        body=request.body,
    ), float(delay or b"0") / 1000.0


class LookupRequest(NamedTuple):
    """A client's lookup of a message."""

    name: str  # as the client wrote it
    body: bool  # the message's body is requested, not its state


def parse_lookup(request: Message) -> LookupRequest | None:
    """The lookup that a request makes, or None if it is no lookup. Everything after the first part of the
    path is the name, including a query string, since a name has exactly one spelling.
    """
    if request.method == b"GET":
        for stem, body in ((b"/message/", False), (b"/message-body/", True)):
            if request.target.startswith(stem):
                return LookupRequest(request.target[len(stem) :].decode("latin-1"), body)
    return None


class ClientConnection(Conversation):
    """A client's connection to a gateway."""

    server: Any  # a GatewayService

    def on_request(self, message: Message, now: float) -> None:
        call = self.add_call(message)
        if message.method == b"GET" and message.target.partition(b"?")[0] == b"/readyz":
            call.answer(200 if self.server.ready() else 503)
            return
        if (lookup := parse_lookup(message)) is not None:
            self.server.look_up(call, lookup.name, lookup.body)
            return
        try:
            letter, delay = decode_message(message)
        except Malformed as problem:
            answer_error(call, problem.status, problem.text)
            return
        if self.over_limit:
            call.answer(503, b"", RETRY_AFTER)
            return
        self.server.submit(call, message, letter, delay)


def answer_error(call: Call, status: int, text: str, *fields: str) -> None:
    """Answers with an error text; `fields`: further headers."""
    call.answer(status, json.dumps({"err": text}).encode(), "Content-Type: application/json", *fields)
