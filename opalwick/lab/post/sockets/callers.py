"""Requests of clients, workers and operators to real processes, each on a connection of its own."""

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

LOOKS = 0.9  # s that the platform waits for an answer, each second
_PLACES = {"counter": FRONT, "office": CTL}
_OURS = (b"host", b"content-length")


def octets(message: Message) -> bytes:
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
    """Whether something has come, or the other side's end; `select` takes no descriptors beyond 1,023."""
    looked = select.poll()
    looked.register(sock, select.POLLIN)
    return bool(looked.poll(0))


class SocketKept(KeptConnection):
    """A real one: `sock` once it is made."""

    def __init__(self, machine: Any) -> None:
        super().__init__(machine)
        self.sock: Any = None

    @property
    def open(self) -> bool:
        """Whether a request may be sent on it: not closed by the other side, and nothing unasked has come."""
        return self.sock is not None and not readable(self.sock)

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class SocketKeptConnections(KeptConnections):
    connection_of = SocketKept


class SocketExchange:
    """As `clients.Exchange`. `read`: as far as that shows outside; a close with unread octets resets."""

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
        self.place = machine.ip, port or _PLACES[machine.role]
        self.data, self.patience = octets(message), patience
        world.spawn(self.run)

    def run(self) -> None:
        answers = list[Message]()
        made = self.kept is None or self.kept.sock is None
        sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM) if made else self.kept.sock  # type: ignore[union-attr]
        parser = Parser(httptools.HttpResponseParser, LIMITS, answers.append)
        status = 0
        try:
            with gevent.Timeout(max(0.01, self.patience), False):  # type: ignore[arg-type]
                status = -1  # unless it is known better by then
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
            self.let_go(sock, answers)
        if answers:
            fields = tuple(
                f"{name.decode('latin-1')}: {value.decode('latin-1')}"
                for name, value in answers[0].headers.items()
            )
            self.done(answers[0].status, answers[0].body, fields)
        else:
            self.done(status, b"", ())

    def let_go(self, sock: Any, answers: list[Message]) -> None:
        """It is closed, but for one that is kept and has had a whole answer."""
        if self.kept is None:
            sock.close()
            return
        self.kept.sock = sock
        self.kept.answered(bool(answers) and answers[0].keep_alive)


class SocketPlatform(Platform):
    def look(self, machine: Any) -> None:
        message = Message(0.0)
        message.method, message.target = b"GET", b"/readyz"

        def done(status: int, body: bytes, fields: tuple[str, ...]) -> None:
            self.misses[machine.node] = 0 if status == 200 else self.misses[machine.node] + 1

        SocketExchange(self.world, "platform", machine, message, done, LOOKS, port=READY)  # type: ignore[arg-type]
        self.world.agenda.after(1.0, self.look, machine)
