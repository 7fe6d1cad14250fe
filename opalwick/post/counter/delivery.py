"""One delivery: the request as the client sent it, and what the worker's answer proves."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from opalwick.interface import Outcome
from opalwick.post.counter.answers import EARLY_ANSWER_SIZE, WITHHELD_TAIL, belongs, verdict
from opalwick.post.counter.desks import Load, load
from opalwick.post.verdict import Verdict
from opalwick.post.wire_pb2 import Letter
from opalwick.protocol.errand import Answer, Errand
from opalwick.protocol.http import Malformed, Message
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits
from opalwick.transport.pool import Pool

MOST = 1 << 20  # octets of an answer's body, which nobody reads
LATE = 0.05  # s that the answer to what ran to the very end of its time is on its way
_KEEP = re.compile(rb"timeout=([0-9]{1,6})")
_OF = {
    verdict.outcome: verdict
    for verdict in (Verdict.NOT_SENT, Verdict.ABSENT, Verdict.SILENT, Verdict.BROKEN, Verdict.CANCELLED)
}
End = tuple[Verdict, str, Load | None]


def request(letter: Letter, within: float, worker: str) -> bytes:
    """`within`: seconds that the worker has. `worker`: the one that is meant, if any is."""
    lines = [letter.method + b" " + letter.target + b" HTTP/1.1", b"Host: " + letter.host]
    lines += [field.name + b": " + field.value for field in letter.fields]
    lines += [
        b"X-Request-Id: " + letter.rid.encode("latin-1"),
        b"X-Deadline-Ms: %d" % max(1, int(within * 1000)),
        b"Content-Length: %d" % len(letter.body),
    ]
    if worker:
        lines.append(b"X-Want-Worker: " + worker.encode("latin-1"))
    return b"\r\n".join(lines) + b"\r\n\r\n" + letter.body


class Meeting(NamedTuple):
    """Who is to answer on a connection before a message goes out on it."""

    probe: str  # the path that its service is asked on
    met: Callable[[str], bool]  # whether it is who is meant, by the name that it says


class Delivery(Errand):
    __slots__ = ("alone", "letter", "meeting", "rid", "tell", "whole", "worker")

    def __init__(
        self,
        place: tuple[str, int, str],
        letter: Letter,
        within: float,
        wanted: Callable[[], bool],
        pool: Pool,
        limits: Limits,
        tell: Callable[[End, bool], None],
        meeting: Meeting | None = None,
    ) -> None:
        """`meeting`: of a message with a home."""
        self.worker, self.meeting, self.letter = place[2], meeting, letter if meeting is not None else None
        host, port, worker = place
        super().__init__(
            (host, port),
            request(letter, within, worker),
            time.monotonic() + within + LATE,
            wanted,
            pool,
            limits,
            Answer(limits, MOST),
        )
        self.rid, self.tell = letter.rid.encode("latin-1"), tell
        self.whole = True  # its last byte was written
        self.alone = False  # nothing else was ever asked on the connection

    def greet(self, connection: Connection) -> None:
        """An address may be another's by now, and the octets must not go there to find out."""
        self.alone = connection.used == 1 and self.meeting is None
        if self.alone and connection.readable():
            raise ConnectionAbortedError  # who speaks before being asked is no worker
        if self.meeting is None or connection.known == self.worker.encode("latin-1"):
            return
        # the question waits for a slot as the message would: it may have half of the time
        until = time.monotonic() + 0.5 * (self.until - time.monotonic())
        connection.write(
            b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (self.meeting.probe.encode(), self.address[0].encode()),
            until - time.monotonic(),
        )
        answer = Answer(self.limits, MOST)
        try:
            while answer.last is None:
                if not (data := connection.read(until - time.monotonic())):
                    raise ConnectionResetError
                answer.feed(data)
        except Malformed:
            raise ConnectionAbortedError from None
        last = answer.last
        answer.close()
        name = last.headers.get(b"x-worker", b"")
        if not self.meeting.met(name.decode("latin-1")) or not last.keep_alive or self.over():
            raise ConnectionAbortedError
        connection.known = name
        assert self.letter is not None
        self.data = request(self.letter, self.until - LATE - time.monotonic(), self.worker)

    def write(self, connection: Connection) -> None:
        """Of a long request the last byte goes out only if no answer has come: without it nothing runs."""
        if len(self.data) <= EARLY_ANSWER_SIZE:
            super().write(connection)
            return
        connection.write(self.data[:-WITHHELD_TAIL], self.until - time.monotonic())
        if connection.readable():
            self.whole = False
        else:
            connection.write(self.data[-WITHHELD_TAIL:], self.until - time.monotonic())

    def listen(self, connection: Connection) -> End:
        end = self.answered(connection)
        if not self.whole:
            connection.close()  # the other side waits for the rest, or takes it for a request
            if end[0].ran is not False:
                return self.bare(Outcome.NOT_SENT)
        return end

    def answered(self, connection: Connection) -> End:
        answer = self.answer
        try:
            while answer.last is None:
                data = connection.read(self.until - time.monotonic())
                if not data:
                    connection.close()
                    return self.bare(Outcome.BROKEN)
                answer.feed(data)
            return self.heard(connection, answer.last)
        except (OSError, Malformed) as problem:
            return self.bare(self.failed(connection, problem))

    def heard(self, connection: Connection, last: Message) -> End:
        fields = last.headers
        found = verdict(last, self.rid, self.alone, self.whole)
        if not belongs(last, self.rid, self.alone):
            connection.close()  # of another request, come late
            return found, "", None
        if (kept := _KEEP.search(fields.get(b"keep-alive", b""))) is not None:
            # a request must not cross the other side's close
            self.pool.rests(self.address, max(0.1, 0.7 * float(kept[1]) - 0.1))
        seal = fields.get(b"x-seal", b"").decode("latin-1")
        if found is Verdict.ABSENT:
            connection.close()
        return found, seal, load(fields.get(b"x-load", b""))

    def bare(self, outcome: Outcome) -> End:
        return _OF[outcome], "", None

    def broke(self, end: End) -> bool:
        return end[0] is Verdict.BROKEN

    def told(self, end: Any, kept: bool) -> None:
        self.tell(end, kept)
        del self.tell  # which knows this one
