"""Links between the processes of the broker: ordered messages over TCP, heartbeats in both directions, and a
limit on queued data.

A process that stalls, is disconnected or does not read loses its links and is connected to again. Links do
not interpret messages. A `Shell` holds the links of one process and drives its role.
"""

from __future__ import annotations

import os
import struct
import time
import traceback
from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from gevent import socket
from gevent.event import Event

from opalwick.post import events
from opalwick.post.operators import DiskReader, MetricsEndpoint, OperatorServer, operators_address
from opalwick.post.settings import InvalidFile, read
from opalwick.post.base_role import RoleBase
from opalwick.post.wire_pb2 import Envelope, Hello
from opalwick.transport.connection import Address, listen

# s between heartbeats: four within the 1 s after which roles no longer rely on a silent link
PULSE = 0.25
SLOW_FACTOR = 3  # one of so many heartbeats is sent on links for which only SILENT matters
# s without a message until a link is closed: below the shortest `contact_ms` of a deployment
SILENT = 3.0
CONNECT_TIMEOUT = 0.6  # s to establish a connection: over twice the slowest round trip between regions
RECONNECT_DELAY = 0.05  # s until the first reconnection; doubled each time up to the next value
MAX_RECONNECT_DELAY = 0.8  # s: a machine that has come back is connected within 1 s
TICK_INTERVAL = 0.05  # s between ticks when nothing is due sooner
SETTINGS_INTERVAL = 5.0  # s between checks of the settings file: short enough for operators to wait for
FIGURES = 10.0  # s between log events with figures
MAX_QUEUED = 16 << 20  # bytes queued on a link: some seconds of a machine's total traffic
MAX_MESSAGE_SIZE = 8 << 20  # bytes of one message: well above the largest body
READ_SIZE = 65536  # bytes read from a socket at once
_HEAD = struct.Struct("!I")


class Link:
    """One connection to another process. `peer` is empty until its hello has come."""

    def __init__(self, sock: Any, shell: Shell, address: Address | None = None) -> None:
        """`address`: the address that was connected to; None if the peer connected."""
        self.address = address
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # a machine without power does not answer, and the kernel's own time-out is minutes
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENT * 1000))
        self.sock, self.shell, self.role = sock, shell, shell.role
        self.peer = Hello()
        self.closed, self.unsettled = False, 0
        self.queued_bytes = 0
        self.output: list[bytes] = []
        self.input = bytearray()  # received, and not a complete message yet
        self.has_output = Event()
        self.last_received = time.monotonic()

    def send(self, kind: str, message: Any) -> None:
        """Queues a message without blocking. The link is closed if its peer does not read."""
        if self.closed:
            return
        data = Envelope(**{kind: message}).SerializeToString()
        self.output.append(_HEAD.pack(len(data)) + data)
        self.queued_bytes += len(data)
        if self.peer.zone != self.role.zone:
            self.role.cross_zone_bytes[kind] = self.role.cross_zone_bytes.get(kind, 0) + len(data) + 4
        self.has_output.set()
        if self.queued_bytes > MAX_QUEUED:
            self.close()

    def write(self) -> None:
        """Runs in a greenlet of its own."""
        try:
            while not self.closed:
                if not self.output:
                    self.has_output.clear()
                    self.has_output.wait()
                    continue
                data, self.output, self.queued_bytes = b"".join(self.output), [], 0
                self.sock.sendall(data)
        except OSError:
            self.close()

    def read(self) -> None:
        """Passes received messages to the role, one by one, until the link is closed."""
        try:
            while not self.closed:
                data = self.sock.recv(READ_SIZE)
                if not data or not self.feed(data):
                    return
                if self.unsettled:  # after heartbeats alone the next tick is soon enough
                    self.unsettled = 0
                    self.shell.settle()
        except OSError:
            pass
        finally:
            self.close()

    def feed(self, data: bytes) -> bool:
        """Handles the messages that are complete with this data. Returns false if it is no valid stream."""
        buffer = self.input
        buffer += data
        self.last_received = time.monotonic()
        self.role.clock(self.last_received)
        at = 0
        while len(buffer) - at >= _HEAD.size and not self.closed:
            size = _HEAD.unpack_from(buffer, at)[0]
            if size > MAX_MESSAGE_SIZE:
                return False
            begin = at + _HEAD.size
            if len(buffer) - begin < size:
                break
            at = begin + size
            self.receive(bytes(memoryview(buffer)[begin:at]))
        if at:
            del buffer[:at]
        return True

    def finish(self) -> None:
        """Handles what has been received already, and closes the link: its peer's process has ended."""
        try:
            self.sock.settimeout(0.0)
            while not self.closed and (data := self.sock.recv(READ_SIZE)) and self.feed(data):
                pass
        except OSError:
            pass
        self.close()

    def receive(self, data: bytes) -> None:
        """Handles one message."""
        try:
            envelope = Envelope.FromString(data)
            kind = envelope.WhichOneof("what")
        except Exception:  # noqa: BLE001 - whatever protobuf raises, it is no message of ours
            self.close()
            return
        if kind is None:
            return  # a message kind of a later version is ignored
        message = getattr(envelope, kind)
        self.unsettled += kind != "pulse"
        if kind == "hello":
            before, self.peer = self.peer, message
            if not before.node:
                self.shell.close_older(self)
                self.shell.guarded(self.role.add_link, self)
        elif self.peer.node:
            self.shell.guarded(self.role.receive, self, kind, message)

    def is_older(self, newer: Link) -> bool:
        """Whether the same process has connected again: it has abandoned this link, and unread messages on it
        were sent before all messages on the newer one.
        """
        one, other = self.peer, newer.peer
        accepted_here = self.address is None and newer.address is None
        return self is not newer and accepted_here and (one.node, one.life) == (other.node, other.life)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.has_output.set()
            self.sock.close()
            self.shell.links.pop(self, None)
            self.shell.guarded(self.role.remove_link, self)


def file_stamp(path: str) -> tuple[int, int]:
    """A file's modification time in ns and its size in bytes; zeros if there is no file."""
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_size


class Process(NamedTuple):
    """Signals and settings that the platform gives to a process."""

    stop: Event  # the process is to shut down
    reload: Event  # the settings are to be read again
    path: str  # of the settings file
    metrics: MetricsEndpoint | None = None
    seen: tuple[int, int] = (0, 0)  # the file's stamp before it was read, to detect later changes


class Shell:
    """Runs one role: its links and timers. Subclasses add the other I/O of their role."""

    look: DiskReader | None = None  # reads the disk for operators' calls, in roles that have one

    def __init__(self, role: RoleBase, process: Process) -> None:
        self.role, self.process, self.stop = role, process, process.stop
        self.links: dict[Link, None] = {}
        self.connecting: dict[Address, Any] = {}
        self.wake = Event()  # something is due before `wake_at`
        self.wake_at = 0.0
        self.ending = False

    # ---- the role

    def settle(self) -> None:
        """Carries out what follows from the role's latest inputs."""
        self.role.clock(time.monotonic())
        self.guarded(self.role.settle)
        self.perform()
        for address in self.role.wanted:
            if address not in self.connecting:
                self.connecting[address] = gevent.spawn(self.connect, address)
        if self.role.next_at() < self.wake_at:
            self.wake.set()

    def perform(self) -> None:
        """Hook: performs the I/O that the role has requested."""

    def guarded(self, handle: Callable[..., Any], *args: Any) -> None:
        """Calls a method of the role. If it raises, only this input is lost: the exception is logged."""
        try:
            handle(*args)
        except Exception as problem:  # noqa: BLE001 - it is logged, and only this input is lost
            events.emit(
                901,
                work=getattr(handle, "__name__", str(handle)),
                problem=repr(problem),
                where=traceback.format_exc(limit=-3),
            )

    def run_ticks(self) -> None:
        """Calls the role's `tick` whenever it is due. Runs in a greenlet of its own."""
        while True:
            self.role.clock(time.monotonic())
            self.guarded(self.role.tick)
            self.settle()
            self.wake.clear()
            self.wake_at = min(self.role.next_at(), self.role.now + TICK_INTERVAL)
            self.wake.wait(max(0.002, self.wake_at - time.monotonic()))

    # ---- links

    def connect(self, address: Address) -> None:
        """Maintains a link to that address. Runs in a greenlet of its own."""
        pause = RECONNECT_DELAY
        while not self.ending and address in self.role.wanted:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            began = time.monotonic()
            try:
                sock.settimeout(CONNECT_TIMEOUT)
                sock.connect(address)
                sock.settimeout(None)
                self.run(Link(sock, self, address))
            except OSError:
                pass
            finally:
                sock.close()
            if time.monotonic() - began > 2.0:
                pause = RECONNECT_DELAY
            gevent.sleep(pause)
            pause = min(2.0 * pause, MAX_RECONNECT_DELAY)
        self.connecting.pop(address, None)

    def run(self, link: Link) -> None:
        self.links[link] = None
        link.send("hello", self.role.hello())
        gevent.spawn(link.write)
        link.read()

    def close_older(self, newer: Link) -> None:
        """Closes links that the peer of `newer` has abandoned: messages of one process are read in order, and
        none of an abandoned link may be read after those of the next one.
        """
        for link in [link for link in self.links if link.is_older(newer)]:
            link.close()

    def listen(self) -> None:
        """Accepts links. Runs in a greenlet of its own."""
        address = self.role.settings.binds.get("links", (self.role.ip, self.role.port))
        listener = listen(address, 256)
        while True:
            sock, _ = listener.accept()
            gevent.spawn(self.run, Link(sock, self))

    def send_heartbeats(self) -> None:
        """Sends heartbeats and closes silent links. Runs in a greenlet of its own."""
        turn = 0
        while True:
            now, turn = time.monotonic(), (turn + 1) % SLOW_FACTOR
            self.role.clock(now)
            for number, link in enumerate(list(self.links)):
                wanted = link.address is None or link.address in self.role.wanted
                if now - link.last_received > SILENT or not wanted:
                    link.close()
                elif number % SLOW_FACTOR == turn or not self.role.needs_few_heartbeats(link):
                    link.send("pulse", self.role.heartbeat(link))
            gevent.sleep(PULSE)

    def log_figures(self) -> None:
        """Runs in a greenlet of its own."""
        while True:
            gevent.sleep(FIGURES)
            crossed = {f"crossed_{kind}": size for kind, size in self.role.cross_zone_bytes.items()}
            events.emit(903, **self.role.figures(), **crossed)

    # ---- settings

    def reload_settings(self) -> None:
        """Reads the settings again on a signal or when their file changes. Runs in a greenlet of its own."""
        seen = self.process.seen
        while True:
            signalled = self.process.reload.wait(SETTINGS_INTERVAL)
            self.process.reload.clear()
            found = file_stamp(self.process.path)
            if not signalled and found == seen:
                continue
            seen = found
            try:
                settings = read(self.process.path)
            except InvalidFile as problem:  # the settings in force stay
                events.emit(905, problem=str(problem))
                continue
            self.role.clock(time.monotonic())
            self.guarded(self.role.apply_settings, settings)
            events.emit(904, seeds=",".join(f"{host}:{port}" for host, port in settings.seeds))
            self.settle()

    # ---- running

    def start_greenlets(self) -> None:
        """Starts the greenlets that all roles have."""
        operators = OperatorServer(self.role, operators_address(self.role.settings), self.look)
        if (metrics := self.process.metrics) is not None:
            scraped = OperatorServer(
                self.role, (self.role.ip, metrics.port), self.look, metrics_path=metrics.path
            )
            self.keep_running(scraped.accept)
        for work in (
            self.listen,
            self.send_heartbeats,
            self.log_figures,
            self.run_ticks,
            self.reload_settings,
            operators.accept,
        ):
            self.keep_running(work)
        self.settle()

    def keep_running(self, work: Callable[[], None]) -> Any:
        """Starts a greenlet that calls `work` again whenever it returns or raises. Returns the greenlet."""

        def again() -> None:
            while not self.ending:
                try:
                    work()
                except Exception as problem:  # noqa: BLE001 - it is logged, and tried again
                    events.emit(
                        901, work=work.__name__, problem=repr(problem), where=traceback.format_exc(limit=-3)
                    )
                    gevent.sleep(0.1)

        return gevent.spawn(again)
