"""One delivery: sends the request to a worker and derives the outcome from the response."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from opalwick.interface import Outcome
from opalwick.post.gateway.answers import EARLY_ANSWER_SIZE, WITHHELD_TAIL, belongs, verdict
from opalwick.post.gateway.dispatchers import Load, parse_load
from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.wire_pb2 import Letter
from opalwick.protocol.outgoing import ResponseParser, OutgoingRequest
from opalwick.protocol.http import Malformed, Message
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits
from opalwick.transport.pool import Pool

MAX_BODY = 1 << 20  # limit in bytes of a response body, whose content is not used
RESPONSE_GRACE = 0.05  # s that a response may take to arrive after a run that used its whole time limit
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=([0-9]{1,6})")
_BY_OUTCOME = {
    verdict.reducer_outcome: verdict
    for verdict in (
        DeliveryOutcome.NOT_SENT,
        DeliveryOutcome.ABSENT,
        DeliveryOutcome.SILENT,
        DeliveryOutcome.BROKEN,
        DeliveryOutcome.CANCELLED,
    )
}
Result = tuple[DeliveryOutcome, str, Load | None]  # outcome, completion token, the worker's load


def request_bytes(message: Letter, within: float, worker: str) -> bytes:
    """Serializes the HTTP request. `within`: the worker's time limit in seconds. `worker`: id of the intended
    worker, empty for any.
    """
    lines = [message.method + b" " + message.target + b" HTTP/1.1", b"Host: " + message.host]
    lines += [field.name + b": " + field.value for field in message.fields]
    lines += [
        b"X-Request-Id: " + message.rid.encode("latin-1"),
        b"X-Deadline-Ms: %d" % max(1, int(within * 1000)),
        b"Content-Length: %d" % len(message.body),
    ]
    if worker:
        lines.append(b"X-Want-Worker: " + worker.encode("latin-1"))
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body


class Identification(NamedTuple):
    """How the worker on a connection is identified before a message is sent on it."""

    path: str  # path of the service's identification request
    matches: Callable[[str], bool]  # whether the worker with this name is the intended one


class Delivery(OutgoingRequest):
    """Sends one message to one worker and reports the outcome once."""

    __slots__ = ("fully_written", "identification", "message", "only_request", "report", "worker")

    def __init__(
        self,
        place: tuple[str, int, str],
        message: Letter,
        within: float,
        wanted: Callable[[], bool],
        pool: Pool,
        limits: Limits,
        report: Callable[[Result, bool], None],
        identification: Identification | None = None,
    ) -> None:
        """`report`: receives the outcome, and whether a reused connection broke without a response.
        `identification`: set for a message subject to data residency.
        """
        self.worker, self.identification, self.message = (
            place[2],
            identification,
            message if identification is not None else None,
        )
        host, port, worker = place
        super().__init__(
            (host, port),
            request_bytes(message, within, worker),
            time.monotonic() + within + RESPONSE_GRACE,
            wanted,
            pool,
            limits,
            ResponseParser(limits, MAX_BODY),
            message.rid.encode("latin-1"),
        )
        self.report = report
        self.fully_written = True  # the last byte of the request was written
        self.only_request = False  # it is the only request that was ever sent on the connection

    def on_connected(self, connection: Connection) -> None:
        """Identifies the worker where that is required: the address may meanwhile belong to another process,
        which must not receive the message. Raises OSError if the message must not be sent.
        """
        self.only_request = connection.uses == 1 and self.identification is None
        if self.only_request and connection.readable():
            raise ConnectionAbortedError  # a worker sends nothing before it has received a request
        if self.identification is None or connection.peer_name == self.worker.encode("latin-1"):
            return
        # the identification request waits for a slot as the message would, so it may use half of the time
        until = time.monotonic() + 0.5 * (self.deadline - time.monotonic())
        connection.write(
            b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n"
            % (self.identification.path.encode(), self.address[0].encode()),
            until - time.monotonic(),
        )
        answer = ResponseParser(self.limits, MAX_BODY)
        try:
            while answer.final is None:
                if not (data := connection.read(until - time.monotonic())):
                    raise ConnectionResetError
                answer.feed(data)
        except Malformed:
            raise ConnectionAbortedError from None
        last, surplus = answer.final, answer.surplus
        answer.close()
        if surplus or (connection.uses > 1 and b"x-request-id" in last.headers):
            raise ConnectionAbortedError  # a late or second answer to an earlier request
        name = last.headers.get(b"x-worker", b"")
        if (
            not self.identification.matches(name.decode("latin-1"))
            or not last.keep_alive
            or self.is_obsolete()
        ):
            raise ConnectionAbortedError
        connection.peer_name = name
        assert self.message is not None
        self.data = request_bytes(
            self.message, self.deadline - RESPONSE_GRACE - time.monotonic(), self.worker
        )

    def write(self, connection: Connection) -> None:
        """Withholds the last byte of a long request if a response has arrived early: without that byte the
        worker doesn't run the request.
        """
        if len(self.data) <= EARLY_ANSWER_SIZE:
            super().write(connection)
            return
        connection.write(self.data[:-WITHHELD_TAIL], self.deadline - time.monotonic())
        if connection.readable():
            self.fully_written = False
        else:
            connection.write(self.data[-WITHHELD_TAIL:], self.deadline - time.monotonic())

    def read_end(self, connection: Connection) -> Result:
        result = self.read_response(connection)
        if not self.fully_written:
            connection.close()  # the worker waits for the rest, and would read the next request as that
            if result[0].ran is not False:
                return self.end_without_response(Outcome.NOT_SENT)
        return result

    def read_response(self, connection: Connection) -> Result:
        answer = self.parser
        try:
            while answer.final is None:
                data = connection.read(self.deadline - time.monotonic())
                if not data:
                    connection.close()
                    return self.end_without_response(Outcome.BROKEN)
                answer.feed(data)
            return self.interpret(connection, answer.final)
        except (OSError, Malformed) as problem:
            return self.end_without_response(self.outcome_of_error(connection, problem))

    def interpret(self, connection: Connection, response: Message) -> Result:
        fields = response.headers
        outcome = verdict(response, self.request_id, self.only_request, self.fully_written)
        if not belongs(response, self.request_id, self.only_request):
            connection.close()  # a late response to another request
            return outcome, "", None
        if (idle := _KEEP_ALIVE_TIMEOUT.search(fields.get(b"keep-alive", b""))) is not None:
            # a request must not be sent while the worker closes the idle connection
            self.pool.set_idle_limit(self.address, max(0.1, 0.7 * float(idle[1]) - 0.1))
        token = fields.get(b"x-seal", b"").decode("latin-1")
        if outcome is DeliveryOutcome.ABSENT:
            connection.close()
        return outcome, token, parse_load(fields.get(b"x-load", b""))

    def end_without_response(self, outcome: Outcome) -> Result:
        return _BY_OUTCOME[outcome], "", None

    def is_broken(self, end: Result) -> bool:
        return end[0] is DeliveryOutcome.BROKEN

    def is_final(self, end: Result) -> bool:
        return end[0].final

    def report_end(self, result: Any, stale_connection: bool) -> None:
        self.report(result, stale_connection)
        del self.report  # breaks the reference cycle
