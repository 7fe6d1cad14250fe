"""A new version under load: the process that follows meets the one before on a Unix socket.

Neither waits for the other without a limit, and without the other each is a whole scheduler. Of a link one
greenlet reads and one writes; to say something is to leave it to the latter, and a side that does not read
loses the link.
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

MEET = 1.5  # seconds for all that the old one tells: a new one has six, and must be up by itself in time
TALK = 0.1  # seconds between words of what is going on: a tenth of what clients wait for most work
UNSAID = 256  # messages: half a minute of words to one that does not read
WRITE = 2.0  # seconds until one that does not read is given up
_READ = 65536


class Process(Protocol):
    """What the two need of each other's scheduler; nothing of it waits."""

    def state_of_things(self) -> dict[str, Any]: ...

    def goings_on(self) -> dict[str, Any]: ...

    def descriptor(self) -> int | None:
        """To go over with the state."""

    def heard_from_other(self, kind: str, told: dict[str, Any]) -> None: ...

    def alone(self) -> None:
        """The other process is gone."""

    relieved: bool  # the process that follows serves


class Link:
    """The connection to the other process."""

    def __init__(self, sock: Any) -> None:
        self.sock, self.reader = sock, Reader()
        self.heard: deque[tuple[str, dict[str, Any]]] = deque()  # come, and not yet taken in
        self.over = False
        self.unsaid: deque[bytes] = deque()
        self.some = Event()

    def say(self, kind: str, **fields: Any) -> None:
        """Waits for nobody."""
        if len(self.unsaid) >= UNSAID:
            return self.close()
        self.unsaid.append(encode(kind, **fields))
        self.some.set()

    def write(self) -> None:
        """Runs in a greenlet of its own."""
        try:
            while not self.over:
                while self.unsaid:
                    # not by sendall, whose time-out is the reader's as well
                    rest = memoryview(self.unsaid.popleft())
                    while rest:
                        socket.wait_write(self.sock.fileno(), WRITE)
                        rest = rest[self.sock.send(rest, socket.MSG_DONTWAIT) :]
                self.some.clear()
                self.some.wait()
        except OSError:  # gone, or it does not read
            self.close()

    def hear(self, until: float = math.inf) -> tuple[str, dict[str, Any]]:
        """The next message; TimeoutError, InvalidMessage, or ConnectionError at the other's end."""
        while not self.heard:
            if (left := until - time.monotonic()) <= 0:
                raise TimeoutError
            self.sock.settimeout(None if left == math.inf else left)
            if not (data := self.sock.recv(_READ)):
                raise ConnectionError("the other process has ended the link")
            self.heard.extend(self.reader.feed(data))
        return self.heard.popleft()

    def close(self) -> None:
        if not self.over:
            self.over = True
            self.some.set()
            self.sock.close()


def place(directory: str, scheduler: str) -> str:
    """Where the two meet; `scheduler` is what both are told alike."""
    return os.path.join(directory, f"opalwick-{zlib.crc32(scheduler.encode()):08x}.sock")


class Handover:
    def __init__(self, path: str, process: Process, forever: Callable[..., None]) -> None:
        """`path`: where the two meet; empty where nothing is handed over."""
        self.path, self.process, self.forever = path, process, forever
        self.link: Link | None = None
        self.passed: int | None = None  # a descriptor that came over
        self.follows = False  # the other process was here before
        self.listener: Any = None
        self.accepting: Any = None

    # ---- the new one

    def meet(self) -> dict[str, Any] | None:
        """What the process before tells; none where there is none that does within the time."""
        if not self.path:
            return None
        until, sock = time.monotonic() + MEET, socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        link = Link(sock)
        try:
            sock.settimeout(MEET)
            sock.connect(self.path)
            gevent.spawn(link.write)
            link.say("hello")
            # its first byte carries the descriptor, if any
            sock.settimeout(max(0.0, until - time.monotonic()))
            mark, passed, _, _ = socket.recv_fds(sock, 1, 1)
            self.passed = passed[0] if passed else None
            if mark != b"+":
                raise InvalidMessage("it hands nothing over")
            kind, told = link.hear(until)
            while kind != "state":
                kind, told = link.hear(until)
            self.link, self.follows = link, True
            logger.info("the process before has told what it knows")
            return told
        except (FileNotFoundError, ConnectionRefusedError):
            pass  # none is there, or it left its file behind
        except (OSError, InvalidMessage) as problem:
            logger.warning("no hand-over from the process before: {}", problem or type(problem).__name__)
        link.close()
        if self.passed is not None:
            os.close(self.passed)
            self.passed = None
        return None

    def serving(self) -> None:
        """Told to the process before: it can leave the door."""
        if self.follows:
            self.tell("serving")

    # ---- the old one

    def listen(self) -> None:
        """For the process that follows; what a former one left there is replaced whole. One that follows
        leaves the place to the other until it is alone: should it end first, the other is still found there.
        """
        if not self.path or self.listener is not None or self.link is not None:
            return
        listener, beside = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), f"{self.path}.{os.getpid()}"
        try:
            listener.bind(beside)
            os.chmod(beside, 0o600)
            listener.listen(4)
            os.rename(beside, self.path)
        except OSError as problem:
            listener.close()
            logger.warning("no process can follow under load: {}: {}", self.path, problem)
            return
        self.listener = listener
        self.accepting = gevent.spawn(self.forever, self.accept)

    def close(self) -> None:
        """It ends: the other process finds out at once."""
        if self.listener is not None:
            self.accepting.kill()
            self.listener.close()
        link, self.link = self.link, None
        if link is not None:
            link.close()

    def accept(self) -> None:
        """Runs in a greenlet of its own."""
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
                raise InvalidMessage("another process follows already")
            kind, _ = link.hear(time.monotonic() + MEET)
            if kind != "hello":
                raise InvalidMessage(f"it begins with {kind[:40]!r}")
            if self.link is not None:  # the one that came before never said that it serves
                self.link.close()
            self.link = link
            passed = self.process.descriptor()
            link.sock.settimeout(MEET)
            socket.send_fds(link.sock, [b"+"], [] if passed is None else [passed])
            gevent.spawn(link.write)
            link.say("state", **self.process.state_of_things())
            logger.info("a process that follows was told what this one knows")
        except (OSError, InvalidMessage) as problem:
            logger.warning("a process that follows is not spoken with: {}", problem or type(problem).__name__)
            return self.drop(link)
        self.follow(link)

    # ---- both

    def follow(self, link: Link) -> None:
        """Until the other process is gone."""
        talking = gevent.spawn(self.talk, link)
        try:
            while True:
                self.process.heard_from_other(*link.hear())
        except OSError:
            pass
        except InvalidMessage as problem:
            logger.warning("the link to the other process ends: {}", problem)
        finally:
            talking.kill()
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
