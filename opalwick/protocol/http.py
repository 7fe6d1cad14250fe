"""HTTP/1.1 messages, parsed by httptools within the limits."""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools

from opalwick.transport.limits import Limits


class Malformed(Exception):
    """What came is not HTTP, or more than the limits allow."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class Message:
    __slots__ = ("method", "target", "headers", "body", "status", "keep_alive", "first_at")

    def __init__(self, first_at: float) -> None:
        self.method, self.target, self.headers, self.body = b"", b"", {}, b""
        self.status, self.keep_alive, self.first_at = 0, True, first_at

    def header(self, name: bytes) -> bytes | None:
        return self.headers.get(name)


class Parser:
    """Feeds bytes to httptools and hands on each message when it is whole."""

    def __init__(self, kind: Any, limits: Limits, whole: Callable[[Message], None],
                 most: int = 0) -> None:
        self.limits, self.whole, self.now = limits, whole, 0.0
        self.most = most or limits.body         # bytes of a body
        self.message: Message | None = None     # begun, not whole
        self.head = 0
        self.problem: Malformed | None = None
        self.parts: list[bytes] = []
        self.held = 0                           # bytes of body so far
        self.parser = kind(self)

    def feed(self, data: memoryview, now: float) -> None:
        self.now = now
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.problem = self.problem or Malformed(400, "no other protocol is spoken here")
        except httptools.HttpParserError as problem:
            if self.problem is None:
                self.problem = Malformed(400, str(problem) or "malformed")
        if self.problem is not None:
            raise self.problem

    def refuse(self, status: int, text: str) -> None:
        self.problem = self.problem or Malformed(status, text)
        raise self.problem

    # ---- called by httptools

    def on_message_begin(self) -> None:
        self.message, self.head, self.parts, self.held = Message(self.now), 0, [], 0

    def on_url(self, part: bytes) -> None:
        self.message.target += part
        if len(self.message.target) > self.limits.head // 2:
            self.refuse(414, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head += len(name) + len(value)
        if self.head > self.limits.head or len(self.message.headers) >= self.limits.headers:
            self.refuse(431, "header fields too large")
        self.message.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        length = self.message.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.most:
            self.refuse(413, "body too large")

    def on_body(self, part: bytes) -> None:
        self.held += len(part)
        if self.held > self.most:
            self.refuse(413, "body too large")
        self.parts.append(part)

    def on_message_complete(self) -> None:
        message, self.message = self.message, None
        message.body, self.parts, self.held = b"".join(self.parts), [], 0
        message.keep_alive = self.parser.should_keep_alive()
        if isinstance(self.parser, httptools.HttpRequestParser):
            message.method = self.parser.get_method()
        else:
            message.status = self.parser.get_status_code()
        self.whole(message)


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
           413: "Content Too Large", 414: "URI Too Long", 429: "Too Many Requests",
           431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable",
           504: "Gateway Timeout"}


def response(status: int, body: bytes, close: bool, *fields: str) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, '')}", f"Content-Length: {len(body)}", *fields]
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
