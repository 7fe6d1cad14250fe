"""UDP datagrams. Sending never blocks: a datagram that cannot be sent at once is lost."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from opalwick.transport.connection import Address, bind

MAX_BYTES = 256  # bytes
BATCH = 32  # datagrams per wake-up: several from each of a few peers


class Datagrams:
    """A UDP socket for peer messages."""

    def __init__(self, listen: Address, passed: int | None = None) -> None:
        """`passed`: the descriptor of a socket that another process has already bound to the address."""
        if passed is None:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            bind(self.sock, listen)
        else:
            self.sock = socket.socket(fileno=passed)
        self.sock.settimeout(0.0)

    def send(self, to: Address, data: bytes) -> None:
        try:
            self.sock.sendto(data, to)
        except OSError:
            pass

    def discard_unread(self) -> None:
        """Discards unread datagrams."""
        try:
            while True:
                self.sock.recv(MAX_BYTES + 1)
        except OSError:  # none left
            pass

    def receive(self, received: Callable[[Address, bytes], None]) -> None:
        """Passes each datagram on; doesn't return. Runs in a greenlet of its own."""
        while True:
            socket.wait_read(self.sock.fileno())
            for _ in range(BATCH):
                try:
                    data, sender = self.sock.recvfrom(MAX_BYTES + 1)
                except OSError:  # none left, or an error of an earlier send to an unreachable peer
                    break
                received(sender, data)
            gevent.sleep(0)  # a peer that floods must not starve other greenlets
