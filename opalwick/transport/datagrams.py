"""Datagrams: sending never waits, and what cannot go now is lost like any other."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from opalwick.transport.connection import Address, bind

LONGEST = 256  # bytes
AT_ONCE = 32  # some words from each of a few peers


class Datagrams:
    def __init__(self, listen: Address, passed: int | None = None) -> None:
        """`passed`: the descriptor of a socket that another process bound there."""
        if passed is None:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            bind(self.sock, listen)
        else:
            self.sock = socket.socket(fileno=passed)
        self.sock.settimeout(0.0)

    def send(self, to: Address, octets: bytes) -> None:
        try:
            self.sock.sendto(octets, to)
        except OSError:
            pass

    def drop(self) -> None:
        """Does away with what lies unread."""
        try:
            while True:
                self.sock.recv(LONGEST + 1)
        except OSError:  # none left
            pass

    def receive(self, heard: Callable[[Address, bytes], None]) -> None:
        """Runs in a greenlet of its own."""
        while True:
            socket.wait_read(self.sock.fileno())
            for _ in range(AT_ONCE):
                try:
                    octets, sender = self.sock.recvfrom(LONGEST + 1)
                except OSError:  # none left; or an unreachable peer, told on the next call
                    break
                heard(sender, octets)
            gevent.sleep(0)  # one that floods must let the others in between
