"""Relays on loopback that do to bytes and datagrams what networks do. They know no work items."""

from __future__ import annotations

import random
import socket as plain
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from opalwick.lab.sockets.wire import HOST, Address, listener, reset


class Way:
    """What holds on a TCP relay now, both ways. It may change while connections are open."""

    def __init__(self) -> None:
        self.delay = 0.0  # seconds, each way
        self.rate = 0.0  # bytes a second, each way; 0: any
        self.silent = False  # swallows all, ends nothing, takes connections without an answer
        self.refuse = False  # takes no connection
        self.stall_at = -1  # bytes toward the target after which a connection stalls; -1: never
        self.reset_at = -1  # after which it is reset, both sides
        self.resets = 0.0  # share of messages toward the target that are cut half-way by a reset
        self.draw = random.Random(0)
        self.on_swallow: Callable[[bytes], None] = lambda _: None  # told what did not come through


class TcpRelay:
    def __init__(self, port: int, target: Callable[[], Address], way: Way) -> None:
        self.port, self.target, self.way = port, target, way
        self.open: dict[Any, Any] = {}  # client's side: target's side
        self.swallowed = 0  # bytes
        self.sock: Any = None
        self.accepting: Any = None
        self.listen()

    def listen(self) -> None:
        if self.sock is None:
            self.sock = listener(self.port)
            self.accepting = gevent.spawn(self.accept, self.sock)

    def refuse(self, so: bool) -> None:
        """Refusing ends what is open, as a host that rejects packets does."""
        self.way.refuse = so
        if so:
            if self.accepting is not None:
                self.accepting.kill()
                self.sock.close()
            self.sock = self.accepting = None
            self.cut()
        else:
            self.listen()

    def cut(self) -> None:
        """Resets all that is open."""
        for here, there in list(self.open.items()):
            self.end(here, there)

    def end(self, here: Any, there: Any) -> None:
        self.open.pop(here, None)
        reset(here)
        reset(there)

    def accept(self, sock: Any) -> None:
        while True:
            try:
                here, _ = sock.accept()
            except OSError:
                return
            gevent.spawn(self.connect, here)

    def connect(self, here: Any) -> None:
        if self.way.delay:
            gevent.sleep(self.way.delay)
        there = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
        try:
            there.connect(self.target())
        except OSError:
            reset(here)
            return
        for sock in (here, there):
            sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        self.open[here] = there
        link = Link(here, there)
        gevent.spawn(self.carry, link, here, there, True)
        gevent.spawn(self.carry, link, there, here, False)

    def carry(self, link: Link, one: Any, other: Any, toward: bool) -> None:
        """Bytes of one direction, until its end."""
        way, carried = self.way, 0
        try:
            while data := one.recv(16384):
                # bytes that are gone leave a gap, so nothing may come through after them
                link.dead = link.dead or way.silent
                if link.dead:
                    self.swallow(data)
                    continue
                if way.delay:
                    gevent.sleep(way.delay)
                if toward and 0 <= way.reset_at < carried + len(data):
                    other.sendall(data[: way.reset_at - carried])
                    return self.break_off(link, data)
                if toward and way.resets and way.draw.random() < way.resets:
                    other.sendall(data[: len(data) // 2])
                    return self.break_off(link, data)
                if toward and 0 <= way.stall_at < carried + len(data):
                    first = max(0, way.stall_at - carried)
                    other.sendall(data[:first])
                    carried, data = carried + first, data[first:]
                    while way.stall_at >= 0:  # until it is lifted
                        gevent.sleep(0.02)
                carried += len(data)
                self.pace(other, data)
            if link.dead:
                return
            other.shutdown(plain.SHUT_WR)  # an orderly end of this direction
            link.ended += 1
            if link.ended == 2:
                self.open.pop(link.here, None)
                link.here.close()
                link.there.close()
        except OSError:
            if not link.dead:
                self.end(link.here, link.there)

    def pace(self, other: Any, data: bytes) -> None:
        while data:
            # fifty pieces a second: fine enough for a slow line, cheap enough for a fast one
            some = data[: max(1, int(self.way.rate * 0.02))] if self.way.rate else data
            other.sendall(some)
            data = data[len(some) :]
            if self.way.rate:
                gevent.sleep(len(some) / self.way.rate)

    def swallow(self, data: bytes) -> None:
        self.swallowed += len(data)
        self.way.on_swallow(data)

    def break_off(self, link: Link, data: bytes) -> None:
        self.swallow(data)
        gevent.sleep(0.01)  # what was sent first arrives before the reset
        self.end(link.here, link.there)


class Link:
    """One connection through a relay."""

    def __init__(self, here: Any, there: Any) -> None:
        self.here, self.there = here, there
        self.dead = False
        self.ended = 0  # directions


class UdpRelay:
    """One scheduler's words to another: they arrive from the address under which it knows the first."""

    def __init__(self, port: int) -> None:
        self.sock = socket.socket(plain.AF_INET, plain.SOCK_DGRAM)
        self.sock.bind((HOST, port))
        self.place = (HOST, port)
        self.back: UdpRelay | None = None  # the relay of the other direction: its socket sends
        self.target: Address = (HOST, 0)
        self.fate: Callable[[], list[float]] = lambda: [0.0]  # delays of its copies; none: it is lost
        self.lost = self.carried = 0
        gevent.spawn(self.run)

    def run(self) -> None:
        while True:
            try:
                octets, _ = self.sock.recvfrom(2048)
            except OSError:
                return
            fate = self.fate()
            self.lost += not fate
            for delay in fate:
                gevent.spawn_later(delay, self.send, octets) if delay else self.send(octets)

    def send(self, octets: bytes) -> None:
        self.carried += 1
        assert self.back is not None
        try:
            self.back.sock.sendto(octets, self.target)
        except OSError:  # the scheduler is not there
            pass
