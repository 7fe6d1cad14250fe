"""The workers' side of the sockets: what comes back, and which outcome that is."""

from __future__ import annotations

import time

import gevent
import pytest
from helper import Stand, chunked, limits

from opalwick.protocol.figures import Counts
from opalwick.protocol.http import Message
from opalwick.protocol.workers import HandingOff
from opalwick.transport.connection import Connection
from opalwick.transport.pool import Pool


class Errand:
    """Hand-offs to one stand-in."""

    def __init__(self, *script: bytes | None, last: bool = False, **changes) -> None:
        self.limits, self.wanted, self.counts = limits(**changes), True, Counts(())
        self.stand, self.lines = Stand(*script, last=last), []
        self.place = self.stand.place
        self.pool = Pool(self.limits.workers, self.limits.idle_worker, self.limits.ring)

    def go(self, within: float = 1.0, give_up: float | None = None, body: bytes = b"x") -> None:
        message = Message(0.0)
        message.method, message.target, message.body = b"POST", b"/look/7?x=1", body
        message.headers = {b"x-correlation-id": b"c1", b"idempotency-key": b"k"}
        handing = HandingOff(
            self.place,
            message,
            time.monotonic() + within,
            lambda: self.wanted,
            self.pool,
            self.limits,
            ["x0", "active"],
            self.counts,
            lambda *told: self.lines.append(self.line(*told)),
        )
        if give_up == 0:
            handing.give_up()
        running = gevent.spawn(handing.run)
        if give_up:
            gevent.sleep(give_up)
            handing.give_up()
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

    def closes(self) -> str:
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
    errand = Errand(piece, last=name in ("full_no_length", "error_no_length", "half_a_head"))
    errand.go(within=0.2)
    assert [*errand.lines, errand.closes()] == OUTCOMES[name]


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
    errand = Errand(chunked(DONE))
    errand.go(body=b"abc")
    lines = errand.stand.heard[0].split("\r\n")
    assert [line for line in lines if not line.startswith(("Host", "X-Time-Left-Ms"))] == [
        "POST /look/7?x=1 HTTP/1.1",
        "X-Correlation-Id: c1",
        "Idempotency-Key: k",
        "Content-Length: 3",
        "",
        "abc",
    ]


def test_refused_and_given_up() -> None:
    """Whether the last byte was written decides whether it may have run."""
    errand = Errand(None, None)
    errand.go(give_up=0.05)  # written
    errand.go(give_up=0)  # not begun
    errand.go(within=0.0)  # its time is over
    errand.place = ("127.0.0.1", 1)
    errand.go()  # refused
    assert [*errand.lines, errand.closes()] == [
        "CANCELLED",
        "NOT_SENT",
        "NOT_SENT",
        "NO_CONNECTION",
        "1 connections, 0 open",
    ]


def test_a_body_that_is_not_taken_in_never_ran() -> None:
    """A worker that stands still reads nothing: the last byte is not written when the time is over."""
    errand = Errand()
    errand.stand.running.kill()  # connections wait in its backlog, and buffers fill up
    errand.go(within=0.2, body=b"x" * 20_000_000)
    errand.go(give_up=0.1, body=b"x" * 20_000_000)
    assert [*errand.lines, errand.closes()] == ["NOT_SENT", "NOT_SENT", "0 connections, 0 open"]


def test_connections_are_reused_but_never_a_closed_or_an_old_one() -> None:
    """A request that crosses the other side's close may have run, so it must not come to that."""
    errand = Errand(
        chunked(DONE), chunked(DONE).replace(b"\r\n\r\n", b"\r\n\r\n", 1), chunked(DONE), idle_worker=0.1
    )
    errand.go()
    errand.go()
    errand.lines.append(errand.closes())
    gevent.sleep(0.15)
    errand.go()  # too old
    errand.lines.append(errand.closes())
    kept = errand.pool.kept[errand.place][0]
    kept.sock.shutdown(gevent.socket.SHUT_WR)  # the stand-in answers with its own end
    gevent.sleep(0.02)
    errand.go()
    errand.lines.append(errand.closes())
    gevent.sleep(0.15)
    errand.pool.sweep()
    errand.lines.append(errand.closes())
    done = "FINISHED (3.0, 1.5) b'7'"
    assert errand.lines == [
        done,
        done,
        "1 connections, 1 open",
        done,
        "2 connections, 1 open",
        "BROKEN",
        "3 connections, 0 open",
        "3 connections, 0 open",
    ]


def test_when_kept_connections_break_at_their_next_use_is_learnt() -> None:
    """Workers may close idle ones sooner than the settings say, without a word until the next request."""
    errand = Errand(chunked(DONE), b"", *[chunked(DONE)] * 30)
    errand.go()
    gevent.sleep(0.15)
    errand.go()
    learnt = errand.pool.idle.now
    errand.go()
    gevent.sleep(0.3)
    errand.go()  # not over the one that has been idle longer than that
    done = "FINISHED (3.0, 1.5) b'7'"
    assert [*errand.lines, errand.closes()] == [
        done,
        "BROKEN on a kept connection",
        done,
        done,
        "3 connections, 1 open",
    ]
    for _ in range(3):
        gevent.sleep(0.5 * errand.pool.idle.now + 0.03)
        errand.go()
    assert 0.2 < learnt < 0.3 and learnt < errand.pool.idle.now < 1.2 * learnt
    errand = Errand(chunked(DONE), chunked('{"id":"c1","state":"lost"}'))
    errand.go()
    errand.go()  # the worker answered: that one is its own
    assert errand.lines == [done, "BROKEN"] and errand.pool.idle.now == errand.pool.idle.longest


def test_at_the_brim_idle_connections_go_and_then_nothing_is_sent() -> None:
    errand, other = Errand(chunked(DONE), workers=1), Stand(None)
    errand.go()
    own, errand.place = errand.place, other.place
    busy = gevent.spawn(errand.go, 0.3)  # the idle one to the first worker makes room
    gevent.sleep(0.05)
    errand.place = own
    errand.go()
    errand.lines.append(errand.closes())
    busy.join()
    assert errand.lines == ["FINISHED (3.0, 1.5) b'7'", "NOT_SENT", "1 connections, 1 open", "TIMED_OUT"]


def test_a_connection_that_never_comes_up_never_ran() -> None:
    """A machine that is cut off says nothing: the settings' time for a connection ends it."""
    errand = Errand(connect=0.1)
    errand.stand.running.kill()
    errand.stand.listener.listen(0)  # nobody accepts, and the backlog is full
    full = [gevent.socket.socket() for _ in range(2)]
    for sock in full:
        sock.settimeout(0.05)
        sock.connect_ex(errand.place)
    errand.go()
    errand.go(within=0.05)
    errand.lines.append(errand.closes())
    assert errand.lines == ["NO_CONNECTION", "NOT_SENT", "0 connections, 0 open"]


def test_nothing_is_sent_for_a_work_item_that_was_answered_while_its_connection_came_up() -> None:
    """Where hand-offs may not be cancelled, one that is not yet sent would go out after the final answer."""
    errand = Errand(chunked(DONE))
    errand.wanted = False
    errand.go()
    errand.wanted = True
    connect = Connection.connect
    try:
        Connection.connect = lambda *there: (connect(*there), setattr(errand, "wanted", False))
        errand.go()
    finally:
        Connection.connect = connect
    assert [*errand.lines, *errand.stand.heard, errand.closes()] == [
        "NOT_SENT",
        "NOT_SENT",
        "1 connections, 0 open",
    ]
