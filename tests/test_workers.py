"""Delivery attempts over sockets: how workers' responses map to outcomes."""

from __future__ import annotations

import time

import gevent
import pytest
from helper import StubServer, chunked, limits

from opalwick.protocol.http import Message
from opalwick.protocol.metrics import Counts
from opalwick.protocol.workers import WorkerRequest
from opalwick.transport.connection import Connection
from opalwick.transport.pool import Pool


class Attempts:
    """Delivery attempts to one stub server."""

    def __init__(self, *script: bytes | None, last: bool = False, **changes) -> None:
        self.limits, self.wanted, self.counts = limits(**changes), True, Counts(())
        self.stand, self.lines = StubServer(*script, last=last), []
        self.place = self.stand.address
        self.pool = Pool(self.limits.workers, self.limits.idle_worker, self.limits.ring)

    def go(self, within: float = 1.0, give_up: float | None = None, body: bytes = b"x") -> None:
        message = Message(0.0)
        message.method, message.target, message.body = b"POST", b"/look/7?x=1", body
        message.headers = {b"x-correlation-id": b"c1", b"idempotency-key": b"k"}
        attempt = WorkerRequest(
            self.place,
            message,
            time.monotonic() + within,
            lambda: self.wanted,
            self.pool,
            self.limits,
            ["x0", "active"],
            self.counts,
            lambda *event: self.lines.append(self.line(*event)),
        )
        if give_up == 0:
            attempt.cancel()
        running = gevent.spawn(attempt.run)
        if give_up:
            gevent.sleep(give_up)
            attempt.cancel()
        running.join(3.0)
        assert running.successful()

    def line(self, kind: str, *fields) -> str:
        if kind != "ended":
            return " ".join([kind, *map(str, fields)])
        outcome, _, load, result, kept = (*fields, False, (), b"", False)[:5]
        return (
            f"{outcome.name}{f' {load}' if load else ''}{f' {result}' if result else ''}"
            f"{' on a kept connection' if kept else ''}"
        )

    def open_connections(self) -> str:
        return f"{self.stand.connections} connections, {self.pool.open} open"


DONE = '{"id":"c1","state":"done","result":"7","load":{"x0":3,"active":1.5}}'


@pytest.mark.parametrize(
    "name, piece",
    {
        "done": chunked('{"id":"c1","state":"started"}', '{"id":"c1","state":"running","share":0.4}', DONE),
        "failed": chunked('{"id":"c1","state":"failed","load":{"x0":"much"}}'),
        "returned": chunked('{"id":"c1","state":"returned"}'),
        "lost": chunked('{"id":"c1","state":"started"}', '{"id":"c1","state":"lost"}'),
        "odd_lines": chunked("[]", "{", '{"state":7}', '{"id":"c2","state":"done","result":"8"}', DONE),
        "no_result": chunked('{"id":"c1","state":"done"}'),
        "no_last_line": chunked('{"id":"c1","state":"started"}'),
        "broken_off": chunked('{"id":"c1","state":"started"}', last=False)[:-2],
        "closed": b"",
        "silent": None,
        "nonsense": b"220 ready\r\n",
        "error": b"HTTP/1.1 500 x\r\nX-Backend-Load: x0=2,active=7\r\nContent-Length: 2\r\n\r\nno",
        "full": b"HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nX-Backend-Load: x0=0\r\nContent-Length: 0\r\n\r\n",
        "full_late": b"HTTP/1.1 504 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
        "full_no_length": b"HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\n\r\n",
        "error_no_length": b"HTTP/1.1 500 x\r\n\r\nno",
        "half_a_head": b"HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\n",
        "unmarked": b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + chunked(DONE),
        "closing": chunked(DONE).replace(b"\r\n", b"\r\nConnection: close\r\n", 1),
    }.items(),
    ids=lambda part: part if isinstance(part, str) else "",
)
def test_outcomes(name: str, piece: bytes | None) -> None:
    attempts = Attempts(piece, last=name in ("full_no_length", "error_no_length", "half_a_head"))
    attempts.go(within=0.2)
    assert [*attempts.lines, attempts.open_connections()] == OUTCOMES[name]


OUTCOMES = {
    "done": ["began", "progressed 0.4", "FINISHED (3.0, 1.5) b'7'", "1 connections, 1 open"],
    "failed": ["ERROR (-1.0, -1.0)", "1 connections, 1 open"],
    "returned": ["FULL", "1 connections, 1 open"],
    "lost": ["began", "BROKEN", "1 connections, 1 open"],
    "odd_lines": ["FINISHED (3.0, 1.5) b'7'", "1 connections, 1 open"],
    "no_result": ["ERROR", "1 connections, 1 open"],
    "no_last_line": ["began", "BROKEN", "1 connections, 1 open"],
    "broken_off": ["began", "TIMED_OUT", "1 connections, 0 open"],
    "closed": ["BROKEN", "1 connections, 0 open"],
    "silent": ["TIMED_OUT", "1 connections, 0 open"],
    "nonsense": ["BROKEN", "1 connections, 0 open"],
    "error": ["ERROR (2.0, 7.0)", "1 connections, 1 open"],
    "full": ["FULL (0.0, -1.0)", "1 connections, 1 open"],
    "full_late": ["FULL", "1 connections, 1 open"],
    "full_no_length": ["FULL", "1 connections, 0 open"],
    "error_no_length": ["ERROR", "1 connections, 0 open"],
    "half_a_head": ["BROKEN", "1 connections, 0 open"],
    "unmarked": ["ERROR", "1 connections, 1 open"],
    "interim": ["FINISHED (3.0, 1.5) b'7'", "1 connections, 1 open"],
    "closing": ["FINISHED (3.0, 1.5) b'7'", "1 connections, 0 open"],
}


def test_what_is_passed_on() -> None:
    attempts = Attempts(chunked(DONE))
    attempts.go(body=b"abc")
    lines = attempts.stand.requests[0].split("\r\n")
    assert [line for line in lines if not line.startswith(("Host", "X-Time-Left-Ms"))] == [
        "POST /look/7?x=1 HTTP/1.1",
        "X-Correlation-Id: c1",
        "Idempotency-Key: k",
        "Content-Length: 3",
        "",
        "abc",
    ]


def test_refused_and_cancelled() -> None:
    """A request may have run only if its last byte was written."""
    attempts = Attempts(None, None)
    attempts.go(give_up=0.05)  # written
    attempts.go(give_up=0)  # not started
    attempts.go(within=0.0)  # past its deadline
    attempts.place = ("127.0.0.1", 1)
    attempts.go()  # refused
    assert [*attempts.lines, attempts.open_connections()] == [
        "CANCELLED",
        "NOT_SENT",
        "NOT_SENT",
        "NO_CONNECTION",
        "1 connections, 0 open",
    ]


def test_a_request_whose_body_is_not_read_never_ran() -> None:
    """A stalled worker reads nothing, so the last byte is not written by the deadline."""
    attempts = Attempts()
    attempts.stand.running.kill()  # connections wait in its backlog, and buffers fill
    attempts.go(within=0.2, body=b"x" * 20_000_000)
    attempts.go(give_up=0.1, body=b"x" * 20_000_000)
    assert [*attempts.lines, attempts.open_connections()] == ["NOT_SENT", "NOT_SENT", "0 connections, 0 open"]


def test_connections_are_reused_but_never_a_closed_or_an_old_one() -> None:
    """A request sent while the peer closes may have run, so no request must be sent on such a connection."""
    attempts = Attempts(
        chunked(DONE), chunked(DONE).replace(b"\r\n\r\n", b"\r\n\r\n", 1), chunked(DONE), idle_worker=0.1
    )
    attempts.go()
    attempts.go()
    attempts.lines.append(attempts.open_connections())
    gevent.sleep(0.15)
    attempts.go()  # too old
    attempts.lines.append(attempts.open_connections())
    idle = attempts.pool.idle[attempts.place][0]
    idle.sock.shutdown(gevent.socket.SHUT_WR)  # the stub server closes in turn
    gevent.sleep(0.02)
    attempts.go()
    attempts.lines.append(attempts.open_connections())
    gevent.sleep(0.15)
    attempts.pool.sweep()
    attempts.lines.append(attempts.open_connections())
    done = "FINISHED (3.0, 1.5) b'7'"
    assert attempts.lines == [
        done,
        done,
        "1 connections, 1 open",
        done,
        "2 connections, 1 open",
        "BROKEN",
        "3 connections, 0 open",
        "3 connections, 0 open",
    ]


def test_the_idle_time_is_learned_from_connections_that_break_at_their_next_use() -> None:
    """Workers may close idle connections sooner than the settings say, which shows at the next request
    only."""
    attempts = Attempts(chunked(DONE), b"", *[chunked(DONE)] * 30)
    attempts.go()
    gevent.sleep(0.15)
    attempts.go()
    learned = attempts.pool.idle_time.limit
    attempts.go()
    gevent.sleep(0.3)
    attempts.go()  # not on the connection that has been idle for longer than that
    done = "FINISHED (3.0, 1.5) b'7'"
    assert [*attempts.lines, attempts.open_connections()] == [
        done,
        "BROKEN on a kept connection",
        done,
        done,
        "3 connections, 1 open",
    ]
    for _ in range(3):
        gevent.sleep(0.5 * attempts.pool.idle_time.limit + 0.03)
        attempts.go()
    assert 0.2 < learned < 0.3 and learned < attempts.pool.idle_time.limit < 1.2 * learned
    attempts = Attempts(chunked(DONE), chunked('{"id":"c1","state":"lost"}'))
    attempts.go()
    attempts.go()  # the worker answered, so the break does not count for the idle time
    assert (
        attempts.lines == [done, "BROKEN"]
        and attempts.pool.idle_time.limit == attempts.pool.idle_time.maximum
    )


def test_at_the_limit_idle_connections_are_evicted_and_then_nothing_is_sent() -> None:
    attempts, other = Attempts(chunked(DONE), workers=1), StubServer(None)
    attempts.go()
    own, attempts.place = attempts.place, other.address
    busy = gevent.spawn(attempts.go, 0.3)  # evicts the idle connection to the first worker
    gevent.sleep(0.05)
    attempts.place = own
    attempts.go()
    attempts.lines.append(attempts.open_connections())
    busy.join()
    assert attempts.lines == ["FINISHED (3.0, 1.5) b'7'", "NOT_SENT", "1 connections, 1 open", "TIMED_OUT"]


def test_a_request_whose_connection_is_never_established_never_ran() -> None:
    """An unreachable machine sends nothing: the connect timeout of the settings ends the attempt."""
    attempts = Attempts(connect=0.1)
    attempts.stand.running.kill()
    attempts.stand.listener.listen(0)  # nobody accepts, and the backlog is full
    full = [gevent.socket.socket() for _ in range(2)]
    for sock in full:
        sock.settimeout(0.05)
        sock.connect_ex(attempts.place)
    attempts.go()
    attempts.go(within=0.05)
    attempts.lines.append(attempts.open_connections())
    assert attempts.lines == ["NO_CONNECTION", "NOT_SENT", "0 connections, 0 open"]


def test_nothing_is_sent_for_a_work_item_that_was_answered_while_connecting() -> None:
    """Where attempts may not be cancelled, one that is not yet sent would be sent after the final answer."""
    attempts = Attempts(chunked(DONE))
    attempts.wanted = False
    attempts.go()
    attempts.wanted = True
    connect = Connection.connect
    try:
        Connection.connect = lambda *there: (connect(*there), setattr(attempts, "wanted", False))
        attempts.go()
    finally:
        Connection.connect = connect
    assert [*attempts.lines, *attempts.stand.requests, attempts.open_connections()] == [
        "NOT_SENT",
        "NOT_SENT",
        "1 connections, 0 open",
    ]
