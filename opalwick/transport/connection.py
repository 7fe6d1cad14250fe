"""A connection: a blocking-style socket with a ring a direction."""
from __future__ import annotations

import errno
import time
from select import POLLIN, poll
from typing import Any

import gevent
from gevent import socket

from opalwick.transport.ring import Ring

Address = tuple[str, int]
# of a closed connection: what still refers to it must not hold its buffers until a full collection
_NO_RING = Ring(0)
# where dropped bytes go, of all connections: a few hundred reads for what the largest kernel buffers take
_DROPPED = bytearray(262144)


class Connection:
    __slots__ = ("sock", "inward", "outward", "closed", "opened_at", "idle_since", "rested", "used")

    def __init__(self, sock: Any, room: int) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.inward, self.outward = sock, Ring(room), Ring(room)
        self.closed, self.used = False, 0
        self.rested = 0.0                       # seconds idle before its latest use
        self.opened_at = self.idle_since = time.monotonic()

    def connect(self, address: Address, within: float) -> None:
        self.sock.settimeout(max(0.0, within))
        self.sock.connect(address)

    def read(self, within: float | None) -> memoryview:
        """Bytes that came, none at the other side's end; TimeoutError if nothing comes within that time.

        What is returned stays in the ring until the next call.
        """
        if self.closed:
            raise ConnectionAbortedError("closed from here")
        ring = self.inward
        if ring.size == len(ring.view):
            gevent.sleep(0)                     # more is waiting: one that floods lets the others in between
        ring.drop(ring.size)
        if within is not None and within <= 0:
            raise TimeoutError
        self.sock.settimeout(within)
        ring.filled(self.sock.recv_into(ring.free()))
        return ring.held()

    def skip(self) -> int:
        """Reads and drops what comes; how many bytes, none at the other side's end."""
        if self.closed:
            raise ConnectionAbortedError("closed from here")
        self.inward.drop(self.inward.size)
        self.sock.settimeout(None)
        count = self.sock.recv_into(_DROPPED)
        gevent.sleep(0)                         # one that floods lets the others in between
        return count

    def write(self, data: bytes, within: float) -> None:
        """Returns when the last byte is written."""
        if self.closed:
            raise ConnectionAbortedError("closed from here")
        end, rest, ring = time.monotonic() + within, memoryview(data), self.outward
        while rest or ring.size:
            rest = rest[ring.put(rest):]
            left = end - time.monotonic()
            if left <= 0:
                raise TimeoutError
            self.sock.settimeout(left)
            ring.drop(self.sock.send(ring.held()))

    def readable(self) -> bool:
        """Whether something unread is there, the other side's end included, or it was closed from here."""
        if self.closed:
            return True
        watched = poll()
        watched.register(self.sock.fileno(), POLLIN)
        return bool(watched.poll(0))

    def shut(self) -> None:
        """Ends sending."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.sock.close()
            self.inward = self.outward = _NO_RING


def bind(sock: Any, place: Address) -> None:
    """At a restart the one before may still hold the place for a moment."""
    until = time.monotonic() + 5.0              # far longer than a killed process takes to go
    while True:
        try:
            return sock.bind(place)
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or time.monotonic() > until:
                raise
        gevent.sleep(0.02)


def listening(place: Address, backlog: int) -> Any:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind(listener, place)
    listener.listen(backlog)
    return listener


def opened(room: int) -> Connection:
    """Not yet connected."""
    return Connection(socket.socket(socket.AF_INET, socket.SOCK_STREAM), room)
