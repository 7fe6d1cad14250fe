"""HTTP requests of clients, workers and operators to real processes, each on its own connection unless the
client keeps one open."""

from __future__ import annotations

import select
import socket as plain
from typing import TYPE_CHECKING, Any

import gevent
import httptools
from gevent import socket

from opalwick.lab.post.clients import Platform
from opalwick.lab.post.kept import KeptConnection, KeptConnections
from opalwick.lab.post.sockets.machine import CTL, FRONT, READY
from opalwick.lab.sockets.wire import LIMITS
from opalwick.protocol.http import Malformed, Message, Parser

if TYPE_CHECKING:
    from opalwick.lab.post.sockets.machine import SocketMachine
    from opalwick.lab.post.sockets.world import SocketWorld

PROBE_TIMEOUT = 0.9  # s that the platform waits for the answer to its readiness probe, sent each second
_PORTS = {"counter": FRONT, "office": CTL}
_OURS = (b"host", b"content-length")  # header fields that `request_bytes` writes itself


def request_bytes(message: Message) -> bytes:
    """Returns the request as sent over HTTP/1.1."""
    lines = [
        message.method + b" " + message.target + b" HTTP/1.1",
        b"Host: " + message.headers.get(b"host", b"ctl"),
    ]
    lines += [name + b": " + value for name, value in message.headers.items() if name not in _OURS]
    if message.method != b"GET":
        lines.append(b"Content-Length: %d" % len(message.body))
        if message.body[:1] == b"{":
            lines.append(b"Content-Type: application/json")
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body


def readable(sock: Any) -> bool:
    """Whether there is data to read, or the other side has closed. Uses `poll`, as `select` does not support
    descriptors beyond 1,023."""
    looked = select.poll()
    looked.register(sock, select.POLLIN)
    return bool(looked.poll(0))


class SocketKept(KeptConnection):
    """A persistent connection; `sock` is set once it is connected."""

    def __init__(self, machine: Any) -> None:
        super().__init__(machine)
        self.sock: Any = None

    @property
    def open(self) -> bool:
        """Whether a request may be sent on it: the other side has neither closed it nor sent anything."""
        return self.sock is not None and not readable(self.sock)

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class SocketKeptConnections(KeptConnections):
    """The persistent connections of all clients."""

    connection_of = SocketKept


class SocketExchange:
    """The counterpart of `clients.Exchange`. `read`: whether the process has read the request, as far as that
    is visible from outside: closing a connection with unread bytes resets it."""

    def __init__(
        self,
        world: SocketWorld,
        origin: str,
        machine: SocketMachine,
        message: Message,
        done: Any,
        patience: float,
        kept: SocketKept | None = None,
        port: int = 0,
    ) -> None:
        self.done, self.read, self.over, self.kept = done, False, False, kept
        self.place = machine.ip, port or _PORTS[machine.role]
        self.data, self.patience = request_bytes(message), patience
        world.spawn(self.run)

    def run(self) -> None:
        answers = list[Message]()
        made = self.kept is None or self.kept.sock is None
        sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM) if made else self.kept.sock  # type: ignore[union-attr]
        parser = Parser(httptools.HttpResponseParser, LIMITS, answers.append)
        status = 0
        try:
            with gevent.Timeout(max(0.01, self.patience), False):  # type: ignore[arg-type]
                status = -1  # time-out, unless set below
                if made:
                    sock.connect(self.place)
                sock.sendall(self.data)
                while not answers:
                    data = sock.recv(65536)
                    if not data:
                        status, self.read = 0, True
                        break
                    parser.feed(memoryview(data))
        except (OSError, Malformed):
            status = 0
        finally:
            self.release(sock, answers)
        if answers:
            fields = tuple(
                f"{name.decode('latin-1')}: {value.decode('latin-1')}"
                for name, value in answers[0].headers.items()
            )
            self.done(answers[0].status, answers[0].body, fields)
        else:
            self.done(status, b"", ())

    def release(self, sock: Any, answers: list[Message]) -> None:
        """Closes the connection, unless it is persistent and got a complete answer."""
        if self.kept is None:
            sock.close()
            return
        self.kept.sock = sock
        self.kept.answered(bool(answers) and answers[0].keep_alive)


class SocketPlatform(Platform):
    """The load balancer, with readiness probes over HTTP."""

    def look(self, machine: Any) -> None:
        message = Message(0.0)
        message.method, message.target = b"GET", b"/readyz"

        def done(status: int, body: bytes, fields: tuple[str, ...]) -> None:
            self.misses[machine.node] = 0 if status == 200 else self.misses[machine.node] + 1

        SocketExchange(self.world, "platform", machine, message, done, PROBE_TIMEOUT, port=READY)  # type: ignore[arg-type]
        self.world.agenda.after(1.0, self.look, machine)
