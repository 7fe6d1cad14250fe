"""HTTP server for the simulated workers and the list service: one request at a time per connection."""

from __future__ import annotations

import socket as plain
import struct
from collections.abc import Callable
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.queue import Queue

from opalwick.lab.sockets.ports import HOST
from opalwick.protocol.http import Malformed, Message, Parser
from opalwick.transport.limits import Limits, compute_limits

Address = tuple[str, int]
LIMITS: Limits = compute_limits(4096, 512, 20000, 10.0, 0.25, 20.0, 10.0)


def listener(port: int, backlog: int = 256, host: str = HOST) -> Any:
    """A listening TCP socket. OSError where the port is taken."""
    sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(backlog)
    return sock


def reset(sock: Any) -> None:
    """Closes with RST, as a process that is killed does."""
    try:
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    except OSError:
        pass


class Served:
    """An accepted connection, with a greenlet each to read and write, so that neither blocks the agenda."""

    def __init__(
        self,
        sock: Any,
        on_request: Callable[[Served, Message], None],
        on_end: Callable[[Served], None],
        idle: float = 75.0,
    ) -> None:
        self.sock, self.on_request, self.on_end, self.idle = sock, on_request, on_end, idle
        self.out: Queue = Queue()
        self.in_progress: Any = None  # the request in progress
        self.request_count = 0
        self.headed = False  # an answer's head has been sent, its end has not
        self.plain = False  # the client expects a plain answer without progress
        self.over = False
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        gevent.spawn(self.read)
        gevent.spawn(self.write)

    def read(self) -> None:
        parser = Parser(httptools.HttpRequestParser, LIMITS, self.on_message)
        try:
            while not self.over:
                self.sock.settimeout(self.idle)
                try:
                    data = self.sock.recv(65536)
                except TimeoutError:
                    if self.in_progress is not None:
                        continue
                    break
                if not data:
                    break
                parser.feed(memoryview(data))
        except (OSError, Malformed):
            pass
        self.close()

    def on_message(self, message: Message) -> None:
        self.request_count += 1
        self.on_request(self, message)

    def write(self) -> None:
        try:
            while (data := self.out.get()) is not None:
                self.sock.sendall(data)
        except OSError:
            pass
        self.close()

    def say(self, data: bytes) -> None:
        if not self.over:
            self.out.put(data)

    def close(self, with_reset: bool = False) -> None:
        if self.over:
            return
        self.over = True
        self.on_end(self)
        self.out.put(None)
        reset(self.sock) if with_reset else self.sock.close()


class Server:
    """A listener that can be closed and opened again at its address."""

    def __init__(
        self,
        port: int,
        on_request: Callable[[Served, Message], None],
        on_end: Callable[[Served], None] = lambda _: None,
        idle: float = 75.0,
        host: str = HOST,
    ) -> None:
        self.port, self.on_request, self.on_end, self.idle = port, on_request, on_end, idle
        self.host = host
        self.connections: dict[Served, None] = {}
        self.accepting: Any = None
        self.open()

    @property
    def place(self) -> str:
        return f"{self.host}:{self.port}"

    def open(self) -> None:
        if self.accepting is None:
            self.sock = listener(self.port, host=self.host)
            self.accepting = gevent.spawn(self.accept, self.sock)

    def accept(self, sock: Any) -> None:
        while True:
            try:
                accepted, _ = sock.accept()
            except OSError:
                return
            self.connections[Served(accepted, self.on_request, self.ended, self.idle)] = None

    def ended(self, served: Served) -> None:
        self.connections.pop(served, None)
        self.on_end(served)

    def shut(self) -> None:
        """Accepts no new connections; open ones stay."""
        if self.accepting is not None:
            self.accepting.kill()
            self.accepting = None
            self.sock.close()

    def die(self) -> None:
        """Closes the listener and resets all connections."""
        self.shut()
        for served in list(self.connections):
            served.close(with_reset=True)
