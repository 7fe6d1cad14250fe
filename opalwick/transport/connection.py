"""A TCP connection with a ring buffer per direction, and helpers to open sockets. Calls block their greenlet
only."""

from __future__ import annotations

import errno
import time
from select import POLLIN, poll
from typing import Any

import gevent
from gevent import socket

from opalwick.transport.stalls import StallDetector, kernel_age
from opalwick.transport.ring_buffer import RingBuffer
from opalwick.transport.unfinished_requests import UnfinishedRequests

Address = tuple[str, int]
# replaces the buffers of a closed connection, so that references to it do not keep them until a full
# collection
_NO_RING = RingBuffer(0)
# Discarded bytes of all connections are read into this. The content of the largest kernel buffers takes a few
# hundred reads.
_DROPPED = bytearray(262144)


def readable(sock: Any) -> bool:
    """Whether a socket has unread data, was closed by the peer, or has a connection to be accepted."""
    watched = poll()
    watched.register(sock.fileno(), POLLIN)
    return bool(watched.poll(0))


class Connection:
    """A stream socket with buffers, and the times needed to date what arrives on it.

    Times are in seconds on the process's clock. Calls raise OSError.
    """

    __slots__ = (
        "sock",
        "read_buffer",
        "write_buffer",
        "closed",
        "opened_at",
        "idle_since",
        "idle_before_use",
        "uses",
        "empty_at",
        "earliest_arrival",
        "waited",
        "late_reads",
        "address",
        "peer_name",
        "unfinished",
    )

    def __init__(self, sock: Any, capacity: int, empty_at: float = 0.0) -> None:
        """`empty_at`: a time at which certainly nothing had arrived on it; 0: now."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.read_buffer, self.write_buffer = sock, RingBuffer(capacity), RingBuffer(capacity)
        self.closed, self.uses = False, 0
        self.address: Address = ("", 0)  # the address to which the pool opened it
        self.peer_name = b""  # name of the peer, once it was requested
        self.unfinished = UnfinishedRequests()
        self.idle_before_use = 0.0  # seconds idle before its latest use
        self.opened_at = self.idle_since = time.monotonic()
        self.empty_at = empty_at or self.opened_at
        # of the last read: the earliest arrival of its data, and whether the read had to wait for it
        self.earliest_arrival, self.waited = self.empty_at, False
        self.late_reads = 0  # consecutive reads after the time limit

    def connect(self, address: Address, within: float) -> None:
        """Connects within so many seconds, else raises TimeoutError."""
        self.sock.settimeout(max(0.0, within))
        try:
            self.sock.connect(address)
        except TimeoutError:
            # it may have been established while this process was stalled
            try:
                self.sock.getpeername()
            except OSError:
                raise TimeoutError from None

    def read(self, within: float | None) -> memoryview:
        """Returns received bytes, none if the peer has closed; raises TimeoutError after `within` seconds.

        The returned view is valid until the next call.
        """
        if self.closed:
            raise ConnectionAbortedError("the connection was closed locally")
        ring = self.read_buffer
        if ring.size == len(ring.view):
            # the buffer was full, so more data is waiting: a peer that floods must not starve other greenlets
            gevent.sleep(0)
        ring.consume(ring.size)
        # Data that is there is read even after the time limit, which may have passed while this process was
        # stalled. The number of such reads is limited, to about one body: a peer that goes on sending must
        # not extend its time without end.
        expired = within is not None and within <= 0
        self.late_reads = self.late_reads + 1 if expired else 0
        if expired and (self.late_reads > 16 or not self.readable()):
            raise TimeoutError
        loop, began = gevent.get_hub().loop, time.monotonic()
        first_iteration = loop.iteration
        # with a timeout of 0 it would not wait for an iteration of the event loop
        self.sock.settimeout(None if within is None else max(0.001, within))
        try:
            count = self.sock.recv_into(ring.free())
        except TimeoutError:
            if not self.readable():
                raise
            count = self.sock.recv_into(ring.free())
        self.waited, self.earliest_arrival = loop.iteration != first_iteration, self.empty_at
        if self.waited:  # the kernel had no data when the wait began
            self.earliest_arrival = max(began, self.earliest_arrival)
        ring.commit(count)
        if count < len(ring.view):  # and there is no more data at the moment
            self.empty_at = time.monotonic()
        return ring.used()

    def arrival_time(self, now: float, pulse: StallDetector) -> float:
        """Returns when the last of the data read arrived: now, or earlier if this process was stalled or
        busy, or left it unread."""
        since = (
            max(self.earliest_arrival, pulse.earliest_arrival(now)) if self.waited else self.earliest_arrival
        )
        if now - since <= pulse.FRESH:
            return now
        if (age := kernel_age(self.sock)) is not None:
            return min(now, max(since, now - age))
        return pulse.earliest_after(since, now)

    def discard(self) -> int:
        """Reads and discards data; returns how many bytes, 0 if the peer has closed."""
        if self.closed:
            raise ConnectionAbortedError("the connection was closed locally")
        self.read_buffer.consume(self.read_buffer.size)
        self.sock.settimeout(None)
        count = self.sock.recv_into(_DROPPED)
        gevent.sleep(0)  # a peer that floods must not starve other greenlets
        return count

    def write(self, data: bytes, within: float) -> None:
        """Writes all bytes; raises TimeoutError after `within` seconds."""
        if self.closed:
            raise ConnectionAbortedError("the connection was closed locally")
        end, remaining_data, ring = time.monotonic() + within, memoryview(data), self.write_buffer
        while remaining_data or ring.size:
            remaining_data = remaining_data[ring.write(remaining_data) :]
            remaining = end - time.monotonic()
            if remaining <= 0:
                raise TimeoutError
            self.sock.settimeout(remaining)
            ring.consume(self.sock.send(ring.used()))

    def readable(self) -> bool:
        """Whether it has unread data, or was closed by the peer or locally."""
        return self.closed or readable(self.sock)

    def shutdown_write(self) -> None:
        """Shuts down the sending direction."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.sock.close()
            self.read_buffer = self.write_buffer = _NO_RING


def bind(sock: Any, place: Address) -> None:
    """Binds a socket; retries for 5 s, as at a restart the previous process may still have the address."""
    until = time.monotonic() + 5.0  # far longer than a killed process takes to exit
    while True:
        try:
            return sock.bind(place)
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or time.monotonic() > until:
                raise
        gevent.sleep(0.02)


def listen(place: Address, backlog: int) -> Any:
    """Opens a listening TCP socket."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind(listener, place)
    listener.listen(backlog)
    return listener


def new_connection(capacity: int) -> Connection:
    """Opens a connection that is not yet connected; `capacity`: bytes of each buffer."""
    return Connection(socket.socket(socket.AF_INET, socket.SOCK_STREAM), capacity)
