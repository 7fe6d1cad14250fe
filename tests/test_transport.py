"""Ring buffers, connections and the connection pool."""

from __future__ import annotations

import gc
import weakref

import gevent
import gevent.socket
import pytest
from helper import Client, PlainSocket, StubServer, chunked, post
from test_workers import Attempts

from opalwick.protocol.workers import WorkerResponseParser
from opalwick.transport.connection import Connection
from opalwick.transport.pool import Pool, PoolExhausted
from opalwick.transport.ring_buffer import RingBuffer


def test_a_ring_buffer_wraps_round_and_accepts_no_more_than_fits() -> None:
    ring, trace = RingBuffer(8), []
    for step in ("abcde", 3, "fghij", "kl", 4, 2, "mnopqrstu", 8):
        if isinstance(step, str):
            taken = ring.write(memoryview(step.encode()))
            trace.append(f"+{step[:taken]}")
        else:
            trace.append(f"-{bytes(ring.used()[:step]).decode()}")
            ring.consume(min(step, len(ring.used())))
    assert " ".join(trace) == "+abcde -abc +fgh +kl -defg -h +mnopqr -klmnopqr"


def test_a_long_write_passes_through_a_small_buffer() -> None:
    here, there = gevent.socket.socketpair()
    connection = Connection(PlainSocket(here), 64)
    data = bytes(range(256)) * 40
    writing = gevent.spawn(connection.write, data, 1.0)
    received = b""
    while len(received) < len(data):
        received += there.recv(100)
    writing.get()
    assert received == data


def test_a_peer_that_floods_does_not_starve_other_greenlets() -> None:
    here, there = gevent.socket.socketpair()
    there.sendall(b"x" * 1000)
    connection, turns = Connection(PlainSocket(here), 64), []

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


def test_finished_connections_and_attempts_free_their_buffers_at_once() -> None:
    """With many clients that reconnected, memory grew by 1 MB/s until a full garbage collection: reference
    cycles kept a closed connection with its buffers (through the parser), and an attempt."""
    gc.collect()
    gc.disable()
    try:
        client = Client()
        client.send(post())
        client.calls[0].answer(200, b"seven")
        client.receive()
        connection, held = client.conversation.connection, weakref.ref(client.conversation)
        client.sock.close()
        client.running.join(1.0)
        client.calls.clear()
        del client.conversation, client.running
        before = sum(isinstance(thing, WorkerResponseParser) for thing in gc.get_objects())
        Attempts(chunked('{"id":"c1","state":"done","result":"7"}')).go()
        assert (len(connection.read_buffer.view), len(connection.write_buffer.view)) == (0, 0)
        assert held() is None
        assert sum(isinstance(thing, WorkerResponseParser) for thing in gc.get_objects()) == before
    finally:
        gc.enable()


def test_a_closed_connection_neither_reads_nor_writes() -> None:
    one, other = gevent.socket.socketpair()
    connection = Connection(PlainSocket(one), 16)
    connection.close()
    for call in (lambda: connection.read(1.0), connection.discard, lambda: connection.write(b"x", 1.0)):
        with pytest.raises(ConnectionAbortedError):
            call()
    other.close()


def test_a_pool_observes_the_limit_of_each_address() -> None:
    pool, here, there = Pool(9, 5.0, 64, max_per_address=2), ("127.0.0.1", 1), ("127.0.0.1", 2)
    first, second = pool.acquire(here), pool.acquire(here)
    for _ in range(2):
        with pytest.raises(PoolExhausted):
            pool.acquire(here)
    other = pool.acquire(there)  # another address has a limit of its own
    open_here = [pool.open_to[here]]
    first.close()
    pool.release(here, first)  # broke in use
    third = pool.acquire(here)
    open_here.append(pool.open_to[here])
    for connection in (second, third):
        pool.release(here, connection)
    assert pool.evict()
    open_here.append(pool.open_to[here])
    pool.acquire(here)  # never connected, so it is not used again
    open_here.append(pool.open_to[here])
    pool.release(there, other)
    pool.idle_time.limit = 0.0
    pool.sweep()
    assert (open_here, pool.open, dict(pool.open_to)) == ([2, 2, 1, 1], 1, {here: 1})


def test_an_idle_connection_is_reused_at_the_limit_of_its_address() -> None:
    stand = StubServer()
    pool = Pool(9, 5.0, 64, max_per_address=1)
    connection = pool.acquire(stand.address)
    connection.connect(stand.address, 1.0)
    pool.release(stand.address, connection)
    assert pool.acquire(stand.address) is connection and pool.open_to[stand.address] == 1
    with pytest.raises(PoolExhausted):
        pool.acquire(stand.address)


def test_an_idle_time_that_a_peer_announces_is_observed() -> None:
    stand, other = StubServer(), StubServer()
    pool, idle = Pool(9, 5.0, 64), []
    for place in (stand.address, other.address):
        idle.append(pool.acquire(place))
        idle[-1].connect(place, 1.0)
    pool.set_idle_limit(stand.address, 0.05)
    pool.set_idle_limit(other.address, 60.0)  # longer than the pool's own, which applies
    for place, connection in zip((stand.address, other.address), idle):
        pool.release(place, connection)
    assert (pool.idle_limit(stand.address), pool.idle_limit(other.address)) == (0.05, 5.0)
    gevent.sleep(0.06)
    again = pool.acquire(stand.address), pool.acquire(other.address)
    assert (again[0] is idle[0], again[1] is idle[1]) == (False, True)
    assert pool.idle_limit(stand.address) == 5.0  # forgotten with its last connection
    again[0].connect(stand.address, 1.0)
    pool.set_idle_limit(stand.address, 0.0)
    pool.release(stand.address, again[0])
    pool.sweep()
    assert (again[0].closed, pool.open, pool.announced_idle) == (True, 1, {other.address: 60.0})
