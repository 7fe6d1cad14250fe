"""Rings and connections."""
from __future__ import annotations

import gc
import weakref

import gevent
import gevent.socket
import pytest
from helper import Client, Plain, chunked, post
from test_workers import Errand

from opalwick.protocol.workers import Answer
from opalwick.transport.connection import Connection
from opalwick.transport.ring import Ring


def test_a_ring_wraps_round_and_takes_no_more_than_it_holds() -> None:
    ring, trace = Ring(8), []
    for step in ("abcde", 3, "fghij", "kl", 4, 2, "mnopqrstu", 8):
        if isinstance(step, str):
            taken = ring.put(memoryview(step.encode()))
            trace.append(f"+{step[:taken]}")
        else:
            trace.append(f"-{bytes(ring.held()[:step]).decode()}")
            ring.drop(min(step, len(ring.held())))
    assert " ".join(trace) == "+abcde -abc +fgh +kl -defg -h +mnopqr -klmnopqr"


def test_a_long_write_passes_through_a_small_ring() -> None:
    here, there = gevent.socket.socketpair()
    connection = Connection(Plain(here), 64)
    data = bytes(range(256)) * 40
    writing = gevent.spawn(connection.write, data, 1.0)
    came = b""
    while len(came) < len(data):
        came += there.recv(100)
    writing.get()
    assert came == data


def test_one_that_floods_lets_the_others_in_between() -> None:
    here, there = gevent.socket.socketpair()
    there.sendall(b"x" * 1000)
    connection, turns = Connection(Plain(here), 64), []

    def read() -> None:
        for _ in range(6):
            connection.read(1.0)
            turns.append("flood")

    def other() -> None:
        for _ in range(4):
            turns.append("other")
            gevent.sleep(0)

    gevent.joinall([gevent.spawn(read), gevent.spawn(other)])
    assert " ".join(turns[:8]) == "flood other flood other flood other flood other"


def test_what_is_over_frees_its_buffers_at_once() -> None:
    """Under a crowd of changing clients memory grew by a megabyte a second until a full collection: a closed
    conversation and its rings were held by a cycle through the parser, a hand-off by its own."""
    gc.collect()
    gc.disable()
    try:
        client = Client()
        client.say(post())
        client.calls[0].answer(200, b"seven")
        client.hear()
        connection, held = client.conversation.connection, weakref.ref(client.conversation)
        client.sock.close()
        client.running.join(1.0)
        client.calls.clear()
        del client.conversation, client.running
        before = sum(isinstance(thing, Answer) for thing in gc.get_objects())
        Errand(chunked('{"id":"c1","state":"done","result":"7"}')).go()
        assert (len(connection.inward.view), len(connection.outward.view)) == (0, 0)
        assert held() is None
        assert sum(isinstance(thing, Answer) for thing in gc.get_objects()) == before
    finally:
        gc.enable()


def test_a_closed_connection_neither_reads_nor_writes() -> None:
    one, other = gevent.socket.socketpair()
    connection = Connection(Plain(one), 16)
    connection.close()
    for call in (lambda: connection.read(1.0), connection.skip, lambda: connection.write(b"x", 1.0)):
        with pytest.raises(ConnectionAbortedError):
            call()
    other.close()
