"""Links between real processes: a relay in front of each machine partitions, delays and resets connections.

A process listens for links on a separate port (`binds.links`), and the relay listens on the port that others
dial. The first peer message on a connection, its hello, identifies the dialling node. The network state is
that of the virtual network (`lab/post/net.py`): a partition holds data in flight, as kernels do, and it is
delivered once the partition is over.
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

HEAL_POLL_INTERVAL = 0.02  # s between checks whether a partition is over
CHUNK_SIZE = 65536  # bytes read at once
CONNECT_TIMEOUT = 0.5  # s within which a process must accept a connection
_LENGTH_PREFIX = struct.Struct("!I")


class Relayed:
    """One connection between two machines; `near` has dialled `far`."""

    def __init__(self, near: str, far: str, dialled: Any, taken: Any) -> None:
        self.near, self.far, self.sockets = near, far, (dialled, taken)

    def joins(self, pairs: set[tuple[str, str]]) -> bool:
        """Whether it is between one of these pairs of (dialling, dialled) machines."""
        return (self.near, self.far) in pairs

    def reset(self) -> None:
        for sock in self.sockets:
            reset(sock)

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()


class LinkRelay:
    """Relays the connections to one machine."""

    def __init__(self, world: SocketWorld, node: str, place: Address, target: Address) -> None:
        """`place`: the address that others dial; `target`: the one on which the machine's process listens."""
        self.world, self.node, self.target = world, node, target
        self.open: set[Relayed] = set()
        self.listener = listen(place, 256)
        self.accepting = gevent.spawn(self.accept)

    def accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            gevent.spawn(self.relay, sock)

    def relay(self, dialled: Any) -> None:
        """Relays one connection until either side closes it."""
        first = self.read_hello(dialled)
        if not first:
            dialled.close()
            return
        near = Envelope.FromString(first[_LENGTH_PREFIX.size :]).hello.node
        taken = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
        connection = Relayed(near, self.node, dialled, taken)
        try:
            self.wait(near, self.node)
            taken.settimeout(CONNECT_TIMEOUT)
            taken.connect(self.target)
            taken.settimeout(None)
            taken.sendall(first)
        except OSError:  # no process is listening
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

    def read_hello(self, sock: Any) -> bytes:
        """Returns the hello with its length prefix; empty if none arrives."""
        data = b""
        try:
            while (
                len(data) < _LENGTH_PREFIX.size
                or len(data) < _LENGTH_PREFIX.size + _LENGTH_PREFIX.unpack(data[: _LENGTH_PREFIX.size])[0]
            ):
                # bytes after the hello must not be read here
                wanted = (
                    _LENGTH_PREFIX.unpack(data[: _LENGTH_PREFIX.size])[0]
                    if len(data) >= _LENGTH_PREFIX.size
                    else 0
                )
                if wanted > MAX_MESSAGE_SIZE or not (
                    more := sock.recv(_LENGTH_PREFIX.size + wanted - len(data))
                ):
                    return b""
                data += more
        except OSError:
            return b""
        return data

    def wait(self, a: str, b: str) -> None:
        """Waits for the delay from `a` to `b` and until no partition separates them."""
        gevent.sleep(self.world.net.delay(a, b))
        while not self.world.net.open(a, b):
            gevent.sleep(HEAL_POLL_INTERVAL)

    def pump(self, source: Any, target: Any, a: str, b: str) -> None:
        """Relays one direction in order; data read during a partition is sent on after it."""
        try:
            while data := source.recv(CHUNK_SIZE):
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
