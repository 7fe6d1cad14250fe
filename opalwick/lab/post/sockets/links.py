"""The ways between real processes: a relay in front of each machine that cuts, delays and resets connections.

A process listens for links at a port of its own (`binds.links`); the port that others dial is the relay's.
Who dials is known by the first word on a connection, its hello. What a way does is the virtual network's
(`lab/post/net.py`): a cut holds what is on its way, as kernels do, and lets it go once the way is whole.
"""

from __future__ import annotations

import socket as plain
import struct
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket

from opalwick.lab.sockets.wire import reset
from opalwick.post.link import MAX_MESSAGE_SIZE
from opalwick.post.wire_pb2 import Envelope
from opalwick.transport.connection import Address, listen

if TYPE_CHECKING:
    from opalwick.lab.post.sockets.world import SocketWorld

HELD = 0.02  # s between looks whether a way is whole again
PIECE = 65536  # octets read at once
CONNECT = 0.5  # s that a process has to take a connection
_HEAD = struct.Struct("!I")


class Relayed:
    """One connection between two machines, `near` having dialled `far`."""

    def __init__(self, near: str, far: str, dialled: Any, taken: Any) -> None:
        self.near, self.far, self.sockets = near, far, (dialled, taken)

    def joins(self, pairs: set[tuple[str, str]]) -> bool:
        return (self.near, self.far) in pairs

    def reset(self) -> None:
        for sock in self.sockets:
            reset(sock)

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()


class LinkRelay:
    def __init__(self, world: SocketWorld, node: str, place: Address, target: Address) -> None:
        """`place`: where others dial; `target`: where the process of that machine listens."""
        self.world, self.node, self.target = world, node, target
        self.open: set[Relayed] = set()
        self.listener = listen(place, 256)
        self.accepting = gevent.spawn(self.accept)

    def accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            gevent.spawn(self.relay, sock)

    def relay(self, dialled: Any) -> None:
        """Until one side ends."""
        first = self.first_word(dialled)
        if not first:
            dialled.close()
            return
        near = Envelope.FromString(first[_HEAD.size :]).hello.node
        taken = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
        connection = Relayed(near, self.node, dialled, taken)
        try:
            self.wait(near, self.node)
            taken.settimeout(CONNECT)
            taken.connect(self.target)
            taken.settimeout(None)
            taken.sendall(first)
        except OSError:  # no process is there
            connection.close()
            return
        self.open.add(connection)
        ways = [
            gevent.spawn(self.pump, dialled, taken, near, self.node),
            gevent.spawn(self.pump, taken, dialled, self.node, near),
        ]
        gevent.joinall(ways, count=1)
        connection.close()
        gevent.joinall(ways)
        self.open.discard(connection)

    def first_word(self, sock: Any) -> bytes:
        """The hello with its head; empty where none comes."""
        data = b""
        try:
            while len(data) < _HEAD.size or len(data) < _HEAD.size + _HEAD.unpack(data[: _HEAD.size])[0]:
                # no octet behind the hello is read here
                wanted = _HEAD.unpack(data[: _HEAD.size])[0] if len(data) >= _HEAD.size else 0
                if wanted > MAX_MESSAGE_SIZE or not (more := sock.recv(_HEAD.size + wanted - len(data))):
                    return b""
                data += more
        except OSError:
            return b""
        return data

    def wait(self, a: str, b: str) -> None:
        """Until what was sent by one is at the other: its delay, and the end of a cut."""
        gevent.sleep(self.world.net.delay(a, b))
        while not self.world.net.open(a, b):
            gevent.sleep(HELD)

    def pump(self, source: Any, target: Any, a: str, b: str) -> None:
        """One direction, in order; what is read before a cut ends goes on after it."""
        try:
            while data := source.recv(PIECE):
                self.wait(a, b)
                target.sendall(data)
            self.wait(a, b)
        except OSError:
            pass

    def end(self) -> None:
        self.accepting.kill()
        self.listener.close()
        for connection in list(self.open):
            connection.close()
