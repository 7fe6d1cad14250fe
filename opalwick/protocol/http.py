"""HTTP/1.1 messages, parsed by httptools within size limits."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import httptools

from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits


class Malformed(Exception):
    """A message is not valid HTTP, exceeds a limit or is not acceptable; `status` is the response's
    status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class Message:
    """A request or a response; `first_at` is the arrival of its first byte on the process's clock."""

    __slots__ = ("method", "target", "headers", "body", "status", "keep_alive", "first_at")

    def __init__(self, first_at: float) -> None:
        self.method = self.target = self.body = b""
        self.headers: dict[bytes, bytes] = {}  # keys are in lower case
        self.status, self.keep_alive, self.first_at = 0, True, first_at


def _drop(message: Message) -> None:
    pass


class Parser:
    """Feeds bytes to httptools and passes on each complete message."""

    def __init__(
        self,
        kind: Any,
        limits: Limits,
        on_message: Callable[[Message], None],
        on_expect: Callable[[], None] | None = None,
        max_body: int = 0,
    ) -> None:
        self.limits, self.on_message, self.now = limits, on_message, 0.0
        self.max_body = max_body or limits.body  # bytes of a body
        self.on_expect = on_expect  # called when the peer waits for 100 Continue before its body
        self.message, self.begun = Message(0.0), False  # begun: and not yet complete
        self.header_complete = False  # the header is complete
        self.header_bytes = 0  # bytes of header fields so far
        self.header_fed = 0  # bytes fed since the header began, while it is incomplete
        self.problem: Malformed | None = None
        self.parts: list[bytes] = []  # of the body
        self.body_bytes = 0  # total bytes in `parts`
        self.parser = kind(self)

    def feed(self, data: memoryview, now: float = 0.0) -> None:
        """Parses data that arrived at `now`. Raises Malformed."""
        self.now = now
        self.header_fed += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as problem:
            if self.problem is None:
                self.problem = Malformed(400, str(problem) or "malformed")
        # httptools passes on a field only when it is complete, so its length is limited here
        if self.problem is None and self.header_fed > self.limits.head + self.limits.ring:
            self.problem = Malformed(431, "header fields too large")
        if self.problem is not None:
            raise self.problem

    def close(self) -> None:
        """Breaks the reference cycle with httptools' parser, which only a garbage collection would free.
        Nothing may be fed afterwards."""
        self.parser = self.on_expect = None
        self.on_message = _drop

    def fail(self, status: int, text: str) -> None:
        """Raises Malformed; `feed` raises it too, as httptools replaces exceptions of callbacks."""
        self.problem = self.problem or Malformed(status, text)
        raise self.problem

    # ---- called by httptools

    def on_message_begin(self) -> None:
        self.message, self.begun, self.header_complete = Message(self.now), True, False
        self.header_bytes, self.parts, self.body_bytes = 0, [], 0

    def on_url(self, part: bytes) -> None:
        self.message.target += part
        if len(self.message.target) > self.limits.head // 2:
            self.fail(414, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > self.limits.head or len(self.message.headers) >= self.limits.headers:
            self.fail(431, "header fields too large")
        if self.header_complete:  # a trailer after the body must not override header fields
            return
        # httptools includes the blanks after a value that arrived in pieces; they are not part of it
        name, value = name.lower(), value.strip(b" \t")
        # repeated fields are joined to a list, as HTTP defines; where one value is expected, it is malformed
        before = self.message.headers.get(name)
        self.message.headers[name] = value if before is None else before + b", " + value

    def on_headers_complete(self) -> None:
        self.header_fed, self.header_complete = 0, True
        length = self.message.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.max_body:
            self.fail(413, "body too large")
        if self.message.headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            self.fail(400, "the only supported transfer coding is chunked")
        if self.parser.should_upgrade():  # httptools would leave the rest of the data unparsed
            self.fail(400, "protocol upgrades are not supported")
        if self.on_expect is not None and self.message.headers.get(b"expect", b"").lower() == b"100-continue":
            self.on_expect()

    def on_body(self, part: bytes) -> None:
        self.header_fed = 0
        self.body_bytes += len(part)
        if self.body_bytes > self.max_body:
            self.fail(413, "body too large")
        self.parts.append(part)

    def on_message_complete(self) -> None:
        message, self.begun, self.header_fed = self.message, False, 0
        message.body, self.parts, self.body_bytes = b"".join(self.parts), [], 0
        message.keep_alive = self.parser.should_keep_alive()
        if isinstance(self.parser, httptools.HttpRequestParser):
            message.method = self.parser.get_method()
        else:
            message.status = self.parser.get_status_code()
            if message.status < 200:  # an interim response: the final one follows
                return
        self.on_message(message)


_TRANSIENT = (408, 425, 429)  # they depend on the time, not on the request


def is_client_error(status: int) -> bool:
    """Whether a response with this status says that the request itself is at fault."""
    return 400 <= status < 500 and status not in _TRANSIENT


REASONS = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def response(status: int, body: bytes, close: bool, *fields: str) -> bytes:
    """Encodes a response; `fields` are further header lines."""
    if status < 200:
        return f"HTTP/1.1 {status} {REASONS[status]}\r\n\r\n".encode()
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, '')}", f"Content-Length: {len(body)}", *fields]
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def read_message(
    connection: Connection,
    limits: Limits,
    until: float,
    max_body: int = 0,
    kind: Any = httptools.HttpResponseParser,
    on_expect: Callable[[], None] | None = None,
) -> Message:
    """Reads the next message from a connection, until the time `until`.

    `max_body`: bytes of its body, 0 for the general limit; `kind`: httptools' parser for a request or a
    response. Raises Malformed, TimeoutError, and ConnectionError if the peer closes before the message is
    complete.
    """
    done: list[Message] = []
    parser = Parser(kind, limits, done.append, on_expect, max_body)
    try:
        while not done:
            if not (data := connection.read(until - time.monotonic())):
                raise ConnectionError("the peer closed the connection before the message was complete")
            parser.feed(data)
    finally:
        parser.close()
    return done[0]
