"""Handover between an old and a new process of one scheduler, over a Unix socket.

Every wait for the other process has a time limit, and each process is a complete scheduler without the other.
One greenlet reads a link and one writes it; messages are queued for the writer, and the link is closed if the
other process does not read.
"""

from __future__ import annotations

import math
import os
import struct
import time
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from opalwick.protocol.handover import InvalidMessage, Reader, encode

CONNECT_TIMEOUT = 1.5  # seconds until the state is received; a new process must be up within 6 s even without
STATUS_INTERVAL = 0.1  # seconds between status messages: a tenth of what clients wait for most work
MAX_QUEUED = 256  # queued messages: half a minute of them if the other process does not read
WRITE_TIMEOUT = 2.0  # seconds until a link that does not accept data is closed
_READ = 65536


class Process(Protocol):
    """What a handover needs from the local scheduler; no method blocks."""

    def handover_state(self) -> dict[str, Any]: ...

    def handover_status(self) -> dict[str, Any]: ...

    def descriptor(self) -> int | None:
        """The descriptor to pass along with the state, if any."""

    def handover_message(self, kind: str, fields: dict[str, Any]) -> None: ...

    def other_process_ended(self) -> None:
        """Called when the link to the other process has ended."""

    superseded: bool  # the successor process serves in place of this one


class Link:
    """The connection to the other process."""

    def __init__(self, sock: Any) -> None:
        self.sock, self.reader = sock, Reader()
        self.inbox: deque[tuple[str, dict[str, Any]]] = deque()  # received and not yet processed
        self.closed = False
        self.outbox: deque[bytes] = deque()
        self.queued = Event()

    def send(self, kind: str, **fields: Any) -> None:
        """Queues a message without blocking; closes the link if the queue is full."""
        if len(self.outbox) >= MAX_QUEUED:
            return self.close()
        self.outbox.append(encode(kind, **fields))
        self.queued.set()

    def write(self) -> None:
        """Runs in its own greenlet."""
        try:
            while not self.closed:
                while self.outbox:
                    # not sendall: its time-out would be the reader's as well
                    rest = memoryview(self.outbox.popleft())
                    while rest:
                        socket.wait_write(self.sock.fileno(), WRITE_TIMEOUT)
                        rest = rest[self.sock.send(rest, socket.MSG_DONTWAIT) :]
                self.queued.clear()
                self.queued.wait()
        except OSError:  # disconnected, or the other process does not read
            self.close()

    def receive(self, deadline: float = math.inf) -> tuple[str, dict[str, Any]]:
        """The next message. Raises TimeoutError, InvalidMessage, or ConnectionError if it was closed."""
        while not self.inbox:
            if (left := deadline - time.monotonic()) <= 0:
                raise TimeoutError
            self.sock.settimeout(None if left == math.inf else left)
            if not (data := self.sock.recv(_READ)):
                raise ConnectionError("the other process closed the link")
            self.inbox.extend(self.reader.feed(data))
        return self.inbox.popleft()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.queued.set()
            self.sock.close()


def socket_path(directory: str, scheduler: str) -> str:
    """Path of the handover socket; `scheduler` identifies the scheduler alike in both processes."""
    return os.path.join(directory, f"opalwick-{zlib.crc32(scheduler.encode()):08x}.sock")


class Handover:
    """Finds a process that serves already and takes over from it, then waits for a successor."""

    def __init__(self, path: str, process: Process, run_forever: Callable[..., None]) -> None:
        """`path`: of the handover socket; empty disables handover."""
        self.path, self.process, self.run_forever = path, process, run_forever
        self.link: Link | None = None
        self.received_descriptor: int | None = None  # descriptor received from the old process
        self.is_successor = False  # this process is the successor of the other
        self.listener: Any = None
        self.accepting: Any = None

    # ---- the new process

    def connect(self) -> dict[str, Any] | None:
        """The state sent by a process that serves already; None if none does in time."""
        if not self.path:
            return None
        deadline, sock = time.monotonic() + CONNECT_TIMEOUT, socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        link = Link(sock)
        try:
            sock.settimeout(CONNECT_TIMEOUT)
            sock.connect(self.path)
            gevent.spawn(link.write)
            link.send("hello")
            # the first byte carries the descriptor, if any
            sock.settimeout(max(0.0, deadline - time.monotonic()))
            mark, passed, _, _ = socket.recv_fds(sock, 1, 1)
            self.received_descriptor = passed[0] if passed else None
            if mark != b"+":
                raise InvalidMessage("the first byte is not a handover's")
            kind, state = link.receive(deadline)
            while kind != "state":
                kind, state = link.receive(deadline)
            self.link, self.is_successor = link, True
            logger.info("received the state of the old process")
            return state
        except (FileNotFoundError, ConnectionRefusedError):
            pass  # no process listens; there may be a socket file of one that has ended
        except (OSError, InvalidMessage) as exc:
            logger.warning("no handover from the old process: {}", exc or type(exc).__name__)
        link.close()
        if self.received_descriptor is not None:
            os.close(self.received_descriptor)
            self.received_descriptor = None
        return None

    def serving(self) -> None:
        """Notifies the old process that it can stop accepting connections."""
        if self.is_successor:
            self.send("serving")

    # ---- the old process

    def listen(self) -> None:
        """Listens for a successor; the socket file of a former process is replaced atomically.

        A successor does this only once the old process has gone: should the successor end first, the next
        one still finds the old process here.
        """
        if not self.path or self.listener is not None or self.link is not None:
            return
        listener, temporary = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), f"{self.path}.{os.getpid()}"
        try:
            listener.bind(temporary)
            os.chmod(temporary, 0o600)
            listener.listen(4)
            os.rename(temporary, self.path)
        except OSError as exc:
            listener.close()
            logger.warning("no handover to a successor is possible: {}: {}", self.path, exc)
            return
        self.listener = listener
        self.accepting = gevent.spawn(self.run_forever, self.accept)

    def close(self) -> None:
        """Closes the link, so that the other process notices the end at once."""
        if self.listener is not None:
            self.accepting.kill()
            self.listener.close()
        link, self.link = self.link, None
        if link is not None:
            link.close()

    def accept(self) -> None:
        """Runs in its own greenlet."""
        while True:
            sock, _ = self.listener.accept()
            _, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
            if user != os.getuid():
                sock.close()
                continue
            gevent.spawn(self.serve_successor, Link(sock))

    def serve_successor(self, link: Link) -> None:
        try:
            if self.process.superseded:
                raise InvalidMessage("another successor serves already")
            kind, _ = link.receive(time.monotonic() + CONNECT_TIMEOUT)
            if kind != "hello":
                raise InvalidMessage(f"unexpected first message {kind[:40]!r}")
            if self.link is not None:  # a former successor never reported that it serves
                self.link.close()
            self.link = link
            passed = self.process.descriptor()
            link.sock.settimeout(CONNECT_TIMEOUT)
            socket.send_fds(link.sock, [b"+"], [] if passed is None else [passed])
            gevent.spawn(link.write)
            link.send("state", **self.process.handover_state())
            logger.info("sent the state of this process to its successor")
        except (OSError, InvalidMessage) as exc:
            logger.warning("handover to a successor failed: {}", exc or type(exc).__name__)
            return self.drop(link)
        self.receive(link)

    # ---- both processes

    def receive(self, link: Link) -> None:
        """Processes messages until the link ends."""
        sender = gevent.spawn(self.send_status, link)
        try:
            while True:
                self.process.handover_message(*link.receive())
        except OSError:
            pass
        except InvalidMessage as exc:
            logger.warning("closed the link to the other process: {}", exc)
        finally:
            sender.kill()
            self.drop(link)

    def send_status(self, link: Link) -> None:
        while not link.closed:
            link.send("now", **self.process.handover_status())
            gevent.sleep(STATUS_INTERVAL)

    def drop(self, link: Link) -> None:
        link.close()
        if self.link is link:
            self.link, self.is_successor = None, False
            self.process.other_process_ended()
            self.listen()

    def send(self, kind: str, **fields: Any) -> None:
        if self.link is not None:
            self.link.send(kind, **fields)

    def start(self) -> None:
        if self.link is not None:
            gevent.spawn(self.receive, self.link)
        self.listen()
