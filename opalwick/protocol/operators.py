"""The second address: what operators call, and what they are told. One call to a connection."""

from __future__ import annotations

import re
import time
from typing import Protocol
from urllib.parse import parse_qsl

import httptools

from opalwick.protocol.http import Malformed, Message, received, response
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits

_BAD_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_LONGEST_ID = 255
_METHODS = {
    b"/ready": b"GET",
    b"/metrics": b"GET",
    b"/workers/disable": b"PUT",
    b"/workers/enable": b"PUT",
    b"/drain": b"PUT",
    b"/undrain": b"PUT",
    b"/fleet/members": b"GET",
}


class Serves(Protocol):
    """What the calls ask for; nothing of it waits, and it holds once it returns."""

    def ready(self) -> bool: ...

    def figures(self) -> bytes: ...

    def fleet(self) -> bytes | None:
        """The view of the fleet's members; none where that part is off."""

    def worker_out(self, id: str, out: bool) -> bool:
        """Whether there is such a worker."""

    def drain(self, on: bool) -> bool:
        """Whether that holds now."""


def who(query: bytes) -> str:
    """The one worker that a call names."""
    if _BAD_ESCAPE.search(query):
        raise Malformed(400, "the query is badly escaped")
    try:
        pairs = parse_qsl(query.decode("ascii"), keep_blank_values=True, errors="strict", max_num_fields=16)
    except ValueError:
        raise Malformed(400, "the query is malformed") from None
    found = [value for name, value in pairs if name == "who"]
    if len(found) != 1:
        raise Malformed(400, "who is missing" if not found else "who stands there twice")
    if not 0 < len(found[0]) <= _LONGEST_ID:
        raise Malformed(400, "who is too long" if found[0] else "who is empty")
    return found[0]


def answer(message: Message, serves: Serves) -> bytes:
    """Carries out a call and words the answer."""
    path, _, query = message.target.partition(b"?")
    method = _METHODS.get(path)
    status, told, fields = 200, b"yes\n", ["Content-Type: text/plain"]
    try:
        if method is None:
            raise Malformed(404, "no such call")
        if message.method != method:
            fields.append(f"Allow: {method.decode()}")
            raise Malformed(405, f"only {method.decode()}")
        if path == b"/ready":
            if not serves.ready():
                raise Malformed(503, "no")
        elif path == b"/metrics":
            told = serves.figures()
        elif path == b"/fleet/members":
            if (told := serves.fleet() or b"") == b"":
                raise Malformed(404, "fleet.members is off in the configuration")
        elif path in (b"/drain", b"/undrain"):
            if not serves.drain(path == b"/drain"):
                raise Malformed(409, "it is about to end")
        elif not serves.worker_out(who(query), path == b"/workers/disable"):
            raise Malformed(404, "no such worker")
    except Malformed as problem:
        status, told = problem.status, problem.text.encode() + b"\n"
    return response(status, told, True, *fields)


def converse(connection: Connection, limits: Limits, serves: Serves, until: float) -> None:
    """One call from its first byte to its answer; OSError where it ends otherwise."""

    def go_on() -> None:
        connection.write(response(100, b"", False), until - time.monotonic())

    try:
        said = answer(received(connection, limits, until, 0, httptools.HttpRequestParser, go_on), serves)
    except Malformed as problem:
        said = response(problem.status, problem.text.encode() + b"\n", True)
    connection.write(said, until - time.monotonic())
    connection.shut()
    # what still comes is read, as closing on it would reset the connection and take the answer along
    until = min(until, time.monotonic() + limits.linger)
    while connection.read(until - time.monotonic()):
        pass
