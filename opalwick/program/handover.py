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

from opalwick.protocol.handover import Odd, Reader, packed

MEET = 1.5  # seconds to receive the old process's state; a new process must be up within 6 s even without
TALK = 0.1  # seconds between status messages: a tenth of what clients wait for most work
UNSAID = 256  # queued messages: half a minute of them if the other process does not read
WRITE = 2.0  # seconds until a link that does not accept data is closed
_READ = 65536


class Process(Protocol):
    """What a handover needs from the local scheduler; no method blocks."""

    def state_of_things(self) -> dict[str, Any]: ...

    def goings_on(self) -> dict[str, Any]: ...

    def descriptor(self) -> int | None:
        """The descriptor to pass along with the state, if any."""

    def heard_from_other(self, kind: str, fields: dict[str, Any]) -> None: ...

    def alone(self) -> None:
        """Called when the link to the other process has ended."""

    relieved: bool  # the successor process serves in place of this one


class Link:
    """The connection to the other process."""

    def __init__(self, sock: Any) -> None:
        self.sock, self.reader = sock, Reader()
        self.heard: deque[tuple[str, dict[str, Any]]] = deque()  # received and not yet processed
        self.over = False
        self.unsaid: deque[bytes] = deque()
        self.some = Event()

    def say(self, kind: str, **fields: Any) -> None:
        """Queues a message without blocking; closes the link if the queue is full."""
        if len(self.unsaid) >= UNSAID:
            return self.close()
        self.unsaid.append(packed(kind, **fields))
        self.some.set()

    def write(self) -> None:
        """Runs in its own greenlet."""
        try:
            while not self.over:
                while self.unsaid:
                    # not sendall: its time-out would be the reader's as well
                    rest = memoryview(self.unsaid.popleft())
                    while rest:
                        socket.wait_write(self.sock.fileno(), WRITE)
                        rest = rest[self.sock.send(rest, socket.MSG_DONTWAIT) :]
                self.some.clear()
                self.some.wait()
        except OSError:  # disconnected, or the other process does not read
            self.close()

    def hear(self, deadline: float = math.inf) -> tuple[str, dict[str, Any]]:
        """The next message. Raises TimeoutError, Odd, or ConnectionError if the link was closed."""
        while not self.heard:
            if (left := deadline - time.monotonic()) <= 0:
                raise TimeoutError
            self.sock.settimeout(None if left == math.inf else left)
            if not (data := self.sock.recv(_READ)):
                raise ConnectionError("the other process closed the link")
            self.heard.extend(self.reader.feed(data))
        return self.heard.popleft()

    def close(self) -> None:
        if not self.over:
            self.over = True
            self.some.set()
            self.sock.close()


def place(directory: str, scheduler: str) -> str:
    """Path of the handover socket; `scheduler` identifies the scheduler alike in both processes."""
    return os.path.join(directory, f"opalwick-{zlib.crc32(scheduler.encode()):08x}.sock")


class Handover:
    """Finds a process that serves already and takes over from it, then waits for a successor."""

    def __init__(self, path: str, process: Process, forever: Callable[..., None]) -> None:
        """`path`: of the handover socket; empty disables handover."""
        self.path, self.process, self.forever = path, process, forever
        self.link: Link | None = None
        self.passed: int | None = None  # descriptor received from the old process
        self.follows = False  # this process is the successor of the other
        self.listener: Any = None
        self.accepting: Any = None

    # ---- the new process

    def meet(self) -> dict[str, Any] | None:
        """The state sent by a process that serves already; None if none does in time."""
        if not self.path:
            return None
        deadline, sock = time.monotonic() + MEET, socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        link = Link(sock)
        try:
            sock.settimeout(MEET)
            sock.connect(self.path)
            gevent.spawn(link.write)
            link.say("hello")
            # the first byte carries the descriptor, if any
            sock.settimeout(max(0.0, deadline - time.monotonic()))
            mark, passed, _, _ = socket.recv_fds(sock, 1, 1)
            self.passed = passed[0] if passed else None
            if mark != b"+":
                raise Odd("the first byte is not a handover's")
            kind, state = link.hear(deadline)
            while kind != "state":
                kind, state = link.hear(deadline)
            self.link, self.follows = link, True
            logger.info("received the state of the old process")
            return state
        except (FileNotFoundError, ConnectionRefusedError):
            pass  # no process listens; there may be a socket file of one that has ended
        except (OSError, Odd) as exc:
            logger.warning("no handover from the old process: {}", exc or type(exc).__name__)
        link.close()
        if self.passed is not None:
            os.close(self.passed)
            self.passed = None
        return None

    def serving(self) -> None:
        """Notifies the old process that it can stop accepting connections."""
        if self.follows:
            self.tell("serving")

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
        self.accepting = gevent.spawn(self.forever, self.accept)

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
            gevent.spawn(self.attend, Link(sock))

    def attend(self, link: Link) -> None:
        try:
            if self.process.relieved:
                raise Odd("another successor serves already")
            kind, _ = link.hear(time.monotonic() + MEET)
            if kind != "hello":
                raise Odd(f"unexpected first message {kind[:40]!r}")
            if self.link is not None:  # a former successor never reported that it serves
                self.link.close()
            self.link = link
            passed = self.process.descriptor()
            link.sock.settimeout(MEET)
            socket.send_fds(link.sock, [b"+"], [] if passed is None else [passed])
            gevent.spawn(link.write)
            link.say("state", **self.process.state_of_things())
            logger.info("sent the state of this process to its successor")
        except (OSError, Odd) as exc:
            logger.warning("handover to a successor failed: {}", exc or type(exc).__name__)
            return self.drop(link)
        self.follow(link)

    # ---- both processes

    def follow(self, link: Link) -> None:
        """Processes messages until the link ends."""
        sender = gevent.spawn(self.talk, link)
        try:
            while True:
                self.process.heard_from_other(*link.hear())
        except OSError:
            pass
        except Odd as exc:
            logger.warning("closed the link to the other process: {}", exc)
        finally:
            sender.kill()
            self.drop(link)

    def talk(self, link: Link) -> None:
        while not link.over:
            link.say("now", **self.process.goings_on())
            gevent.sleep(TALK)

    def drop(self, link: Link) -> None:
        link.close()
        if self.link is link:
            self.link, self.follows = None, False
            self.process.alone()
            self.listen()

    def tell(self, kind: str, **fields: Any) -> None:
        if self.link is not None:
            self.link.say(kind, **fields)

    def start(self) -> None:
        if self.link is not None:
            gevent.spawn(self.follow, self.link)
        self.listen()
