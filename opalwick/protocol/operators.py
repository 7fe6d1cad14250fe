"""The operators' HTTP interface, on an address of its own. One request per connection."""

from __future__ import annotations

import re
import time
from typing import Protocol
from urllib.parse import parse_qsl

import httptools

from opalwick.protocol.http import Malformed, Message, read_message, response
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


class OperatorActions(Protocol):
    """What the calls require of the process. No method blocks; a change is in effect when the method
    returns."""

    def ready(self) -> bool: ...

    def figures(self) -> bytes: ...

    def fleet(self) -> bytes | None:
        """Returns the view of the fleet's members; None if membership is disabled in the configuration."""

    def worker_out(self, id: str, out: bool) -> bool:
        """Disables or enables a worker. False if there is no such worker."""

    def drain(self, on: bool) -> bool:
        """Begins or ends draining. False if that is not possible."""


def worker_id(query: bytes) -> str:
    """Returns the one worker id in a query. Raises Malformed."""
    if _BAD_ESCAPE.search(query):
        raise Malformed(400, "the query is badly escaped")
    try:
        pairs = parse_qsl(query.decode("ascii"), keep_blank_values=True, errors="strict", max_num_fields=16)
    except ValueError:
        raise Malformed(400, "the query is malformed") from None
    found = [value for name, value in pairs if name == "who"]
    if len(found) != 1:
        raise Malformed(400, "who is missing" if not found else "who is given more than once")
    if not 0 < len(found[0]) <= _LONGEST_ID:
        raise Malformed(400, "who is too long" if found[0] else "who is empty")
    return found[0]


def answer(message: Message, serves: OperatorActions) -> bytes:
    """Executes a call and returns its encoded response."""
    path, _, query = message.target.partition(b"?")
    method = _METHODS.get(path)
    status, content, fields = 200, b"yes\n", ["Content-Type: text/plain"]
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
            content = serves.figures()
        elif path == b"/fleet/members":
            if (content := serves.fleet() or b"") == b"":
                raise Malformed(404, "fleet.members is off in the configuration")
        elif path in (b"/drain", b"/undrain"):
            if not serves.drain(path == b"/drain"):
                raise Malformed(409, "the process is about to exit")
        elif not serves.worker_out(worker_id(query), path == b"/workers/disable"):
            raise Malformed(404, "no such worker")
    except Malformed as problem:
        status, content = problem.status, problem.text.encode() + b"\n"
    return response(status, content, True, *fields)


def serve_call(connection: Connection, limits: Limits, serves: OperatorActions, until: float) -> None:
    """Serves one request on a connection until the time `until`. Raises OSError if that fails."""

    def send_continue() -> None:
        connection.write(response(100, b"", False), until - time.monotonic())

    try:
        reply = answer(
            read_message(connection, limits, until, 0, httptools.HttpRequestParser, send_continue), serves
        )
    except Malformed as problem:
        reply = response(problem.status, problem.text.encode() + b"\n", True)
    connection.write(reply, until - time.monotonic())
    connection.shutdown_write()
    # read to the end, as closing with unread data would reset the connection and lose the response
    until = min(until, time.monotonic() + limits.linger)
    while connection.read(until - time.monotonic()):
        pass
