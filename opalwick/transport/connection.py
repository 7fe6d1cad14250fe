"""A connection: a blocking-style socket with a ring a direction."""

from __future__ import annotations

import errno
import time
from select import POLLIN, poll
from typing import Any

import gevent
from gevent import socket

from opalwick.transport.pulse import Pulse, kernel_age
from opalwick.transport.ring import Ring

Address = tuple[str, int]
# of a closed connection: what still refers to it must not hold its buffers until a full collection
_NO_RING = Ring(0)
# where dropped bytes go, of all connections: a few hundred reads for what the largest kernel buffers take
_DROPPED = bytearray(262144)


def readable(sock: Any) -> bool:
    """Whether something unread is there, the other side's end included, or one to be accepted."""
    watched = poll()
    watched.register(sock.fileno(), POLLIN)
    return bool(watched.poll(0))


class Connection:
    __slots__ = (
        "sock",
        "inward",
        "outward",
        "closed",
        "opened_at",
        "idle_since",
        "rested",
        "used",
        "empty_at",
        "lain_since",
        "waited",
        "overtime",
        "address",
        "known",
    )

    def __init__(self, sock: Any, room: int, empty_at: float = 0.0) -> None:
        """`empty_at`: when nothing had come on it yet for sure; 0: now."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.inward, self.outward = sock, Ring(room), Ring(room)
        self.closed, self.used = False, 0
        self.address: Address = ("", 0)  # that the pool opened it to
        self.known = b""  # who answers there, once somebody has asked
        self.rested = 0.0  # seconds idle before its latest use
        self.opened_at = self.idle_since = time.monotonic()
        self.empty_at = empty_at or self.opened_at
        # of what was read last: when it came at the earliest, and whether it was waited for
        self.lain_since, self.waited = self.empty_at, False
        self.overtime = 0  # reads in a row after the time was over

    def connect(self, address: Address, within: float) -> None:
        self.sock.settimeout(max(0.0, within))
        try:
            self.sock.connect(address)
        except TimeoutError:
            # it may have come up while this process stood still
            try:
                self.sock.getpeername()
            except OSError:
                raise TimeoutError from None

    def read(self, within: float | None) -> memoryview:
        """Bytes that came, none at the other side's end; TimeoutError if nothing comes within that time.

        What is returned stays in the ring until the next call.
        """
        if self.closed:
            raise ConnectionAbortedError("closed from here")
        ring = self.inward
        if ring.size == len(ring.view):
            gevent.sleep(0)  # more is waiting: one that floods lets the others in between
        ring.drop(ring.size)
        # what lies there counts before the time that is over: it may be over as this process stood still. But
        # so many reads only, a body's worth: one that goes on sending must not have time for ever
        over = within is not None and within <= 0
        self.overtime = self.overtime + 1 if over else 0
        if over and (self.overtime > 16 or not self.readable()):
            raise TimeoutError
        loop, began = gevent.get_hub().loop, time.monotonic()
        turn = loop.iteration
        # none at all would have it not wait for a turn of the loop
        self.sock.settimeout(None if within is None else max(0.001, within))
        try:
            count = self.sock.recv_into(ring.free())
        except TimeoutError:
            if not self.readable():
                raise
            count = self.sock.recv_into(ring.free())
        self.waited, self.lain_since = loop.iteration != turn, self.empty_at
        if self.waited:  # the kernel had nothing as the waiting began
            self.lain_since = max(began, self.lain_since)
        ring.filled(count)
        if count < len(ring.view):  # and nothing more now
            self.empty_at = time.monotonic()
        return ring.held()

    def came_at(self, now: float, pulse: Pulse) -> float:
        """When the last of what was read came, on the process's clock: now, or some time ago where this
        process stood still, was busy, or let it lie."""
        since = max(self.lain_since, pulse.since(now)) if self.waited else self.lain_since
        if now - since <= pulse.NEAR:
            return now
        if (age := kernel_age(self.sock)) is not None:
            return min(now, max(since, now - age))
        return pulse.at_worst(since, now)

    def skip(self) -> int:
        """Reads and drops what comes; how many bytes, none at the other side's end."""
        if self.closed:
            raise ConnectionAbortedError("closed from here")
        self.inward.drop(self.inward.size)
        self.sock.settimeout(None)
        count = self.sock.recv_into(_DROPPED)
        gevent.sleep(0)  # one that floods lets the others in between
        return count

    def write(self, data: bytes, within: float) -> None:
        """Returns when the last byte is written."""
        if self.closed:
            raise ConnectionAbortedError("closed from here")
        end, rest, ring = time.monotonic() + within, memoryview(data), self.outward
        while rest or ring.size:
            rest = rest[ring.put(rest) :]
            left = end - time.monotonic()
            if left <= 0:
                raise TimeoutError
            self.sock.settimeout(left)
            ring.drop(self.sock.send(ring.held()))

    def readable(self) -> bool:
        """The same of this one, or it was closed from here."""
        return self.closed or readable(self.sock)

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
    until = time.monotonic() + 5.0  # far longer than a killed process takes to go
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
