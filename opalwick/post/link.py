"""Links between the processes of the post: words in order over TCP, a pulse each way, a bound on what waits.

Whoever stands still, is cut off or does not read loses its links and is dialled again. A link says nothing of
what a word means; a `Shell` has the links of one process and drives its role.
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
from opalwick.post.operators import Look, Metrics, Operators, place
from opalwick.post.settings import Faulty, read
from opalwick.post.station import Station
from opalwick.post.wire_pb2 import Envelope, Hello
from opalwick.transport.connection import Address, listen

PULSE = 0.25  # s between pulses: four within the second after which a silent link is no longer trusted
SLOW = 3  # pulses of which one goes out on links whose silence only SILENT judges
SILENT = 3.0  # s without a word until a link is given up: under the shortest `contact_ms` of a deployment
DIAL = 0.6  # s for a connection to come up: over twice the slowest trip between regions
PAUSE = 0.05  # s until a place is dialled again; doubled up to the next
PAUSES = 0.8  # s: a machine that is back is found within a second
TICK = 0.05  # s between looks at the time where nothing is due sooner
LOOK = 5.0  # s between looks at the settings file: far less than an operator's patience
FIGURES = 10.0  # s between lines of figures in the log
MOST = 16 << 20  # octets that may wait on a link: some seconds of a machine's whole traffic
LONGEST = 8 << 20  # octets of one word: the largest body with room to spare
_HEAD = struct.Struct("!I")


class Link:
    """One connection to another process. `peer` is empty until its hello has come."""

    def __init__(self, sock: Any, shell: Shell, place: Address | None = None) -> None:
        """`place`: where it was dialled; none if the other side did."""
        self.place = place
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # a machine without power gives no answer: the kernel's own patience is minutes
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENT * 1000))
        self.sock, self.shell, self.role = sock, shell, shell.role
        self.peer = Hello()
        self.over, self.waiting, self.words = False, 0, 0
        self.out: list[bytes] = []
        self.some = Event()
        self.heard_at = time.monotonic()

    def say(self, kind: str, word: Any) -> None:
        """Waits for nobody; a link whose other side does not read is closed."""
        if self.over:
            return
        data = Envelope(**{kind: word}).SerializeToString()
        self.out.append(_HEAD.pack(len(data)) + data)
        self.waiting += len(data)
        if self.peer.zone != self.role.zone:
            self.role.crossed[kind] = self.role.crossed.get(kind, 0) + len(data) + 4
        self.some.set()
        if self.waiting > MOST:
            self.close()

    def write(self) -> None:
        """Runs in a greenlet of its own."""
        try:
            while not self.over:
                if not self.out:
                    self.some.clear()
                    self.some.wait()
                    continue
                data, self.out, self.waiting = b"".join(self.out), [], 0
                self.sock.sendall(data)
        except OSError:
            self.close()

    def read(self) -> None:
        """Until the link ends; what comes is handed to the role, word by word."""
        buffer = bytearray()
        try:
            while not self.over:
                data = self.sock.recv(65536)
                if not data:
                    return
                buffer += data
                self.heard_at = time.monotonic()
                self.role.clock(self.heard_at)
                at = 0
                while len(buffer) - at >= 4:
                    size = _HEAD.unpack_from(buffer, at)[0]
                    if size > LONGEST:
                        return
                    if len(buffer) - at - 4 < size:
                        break
                    self.take(bytes(memoryview(buffer)[at + 4 : at + 4 + size]))
                    at += 4 + size
                if at:
                    del buffer[:at]
                if self.words:  # what follows from pulses alone waits for the next tick
                    self.words = 0
                    self.shell.settle()
        except OSError:
            pass
        finally:
            self.close()

    def take(self, data: bytes) -> None:
        try:
            said = Envelope.FromString(data)
            kind = said.WhichOneof("what")
        except Exception:  # noqa: BLE001 - not ours, whatever protobuf makes of it
            self.close()
            return
        if kind is None:
            return  # a word of a later version is passed over
        word = getattr(said, kind)
        self.words += kind != "pulse"
        if kind == "hello":
            known, self.peer = self.peer, word
            if not known.node:
                self.shell.close_older(self)
                self.shell.guarded(self.role.joined, self)
        elif self.peer.node:
            self.shell.guarded(self.role.hear, self, kind, word)

    def is_older(self, newer: Link) -> bool:
        """Whether the same process has dialled anew: it has given this one up, and what still lies unread
        here was said before all that comes on the newer one.
        """
        one, other = self.peer, newer.peer
        dialled_here = self.place is None and newer.place is None
        return self is not newer and dialled_here and (one.node, one.life) == (other.node, other.life)

    def close(self) -> None:
        if not self.over:
            self.over = True
            self.some.set()
            self.sock.close()
            self.shell.all.pop(self, None)
            self.shell.guarded(self.role.parted, self)


def stamp(path: str) -> tuple[int, int]:
    """When a file was written last, in ns, and its octets; noughts where there is none."""
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_size


class Process(NamedTuple):
    """What the platform says to a process: to end, to read its settings again; and where those stand.
    `seen`: that file's stamp before it was read; what was changed since is read again.
    """

    stop: Event
    again: Event
    path: str
    metrics: Metrics | None = None
    seen: tuple[int, int] = (0, 0)


class Shell:
    """Runs one role: its links, its time. What else a role needs of the world, a subclass brings."""

    look: Look | None = None  # how operators' calls read the disk, where there is one

    def __init__(self, role: Station, process: Process) -> None:
        self.role, self.process, self.stop = role, process, process.stop
        self.all: dict[Link, None] = {}
        self.dialling: dict[Address, Any] = {}
        self.turn = Event()  # something is due before `wake_at`
        self.wake_at = 0.0
        self.ending = False

    # ---- the role

    def settle(self) -> None:
        """What was put in has its consequences."""
        self.role.clock(time.monotonic())
        self.guarded(self.role.settle)
        self.perform()
        for far in self.role.wanted:
            if far not in self.dialling:
                self.dialling[far] = gevent.spawn(self.dial, far)
        if self.role.next_at() < self.wake_at:
            self.turn.set()

    def perform(self) -> None:
        """Carries out what the role left behind."""

    def guarded(self, hear: Callable[..., Any], *told: Any) -> None:
        """A word that the role fails on costs that word, and not all that comes after it."""
        try:
            hear(*told)
        except Exception as problem:  # noqa: BLE001 - it is told, and costs that word
            events.say(
                901,
                work=getattr(hear, "__name__", str(hear)),
                problem=repr(problem),
                where=traceback.format_exc(limit=-3),
            )

    def time_passes(self) -> None:
        """Runs in a greenlet of its own."""
        while True:
            self.role.clock(time.monotonic())
            self.guarded(self.role.tick)
            self.settle()
            self.turn.clear()
            self.wake_at = min(self.role.next_at(), self.role.now + TICK)
            self.turn.wait(max(0.002, self.wake_at - time.monotonic()))

    # ---- links

    def dial(self, place: Address) -> None:
        """Runs in a greenlet of its own: keeps a link to that place."""
        pause = PAUSE
        while not self.ending and place in self.role.wanted:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            began = time.monotonic()
            try:
                sock.settimeout(DIAL)
                sock.connect(place)
                sock.settimeout(None)
                self.run(Link(sock, self, place))
            except OSError:
                pass
            finally:
                sock.close()
            if time.monotonic() - began > 2.0:
                pause = PAUSE
            gevent.sleep(pause)
            pause = min(2.0 * pause, PAUSES)
        self.dialling.pop(place, None)

    def run(self, link: Link) -> None:
        self.all[link] = None
        link.say("hello", self.role.hello())
        gevent.spawn(link.write)
        link.read()

    def close_older(self, newer: Link) -> None:
        """Words of one process are read in their order: nothing of a link that it has given up after those of
        the next.
        """
        for link in [link for link in self.all if link.is_older(newer)]:
            link.close()

    def listen(self) -> None:
        """Runs in a greenlet of its own."""
        place = self.role.settings.binds.get("links", (self.role.ip, self.role.port))
        listener = listen(place, 256)
        while True:
            sock, _ = listener.accept()
            gevent.spawn(self.run, Link(sock, self))

    def keep_pulse(self) -> None:
        """Runs in a greenlet of its own."""
        turn = 0
        while True:
            now, turn = time.monotonic(), (turn + 1) % SLOW
            self.role.clock(now)
            for number, link in enumerate(list(self.all)):
                wanted = link.place is None or link.place in self.role.wanted
                if now - link.heard_at > SILENT or not wanted:
                    link.close()
                elif number % SLOW == turn or not self.role.calm(link):
                    link.say("pulse", self.role.beat(link))
            gevent.sleep(PULSE)

    def tell_figures(self) -> None:
        """Runs in a greenlet of its own."""
        while True:
            gevent.sleep(FIGURES)
            crossed = {f"crossed_{kind}": octets for kind, octets in self.role.crossed.items()}
            events.say(903, **self.role.figures(), **crossed)

    # ---- settings

    def reread(self) -> None:
        """Runs in a greenlet of its own. The file may change without a signal, too."""
        seen = self.process.seen
        while True:
            signalled = self.process.again.wait(LOOK)
            self.process.again.clear()
            found = stamp(self.process.path)
            if not signalled and found == seen:
                continue
            seen = found
            try:
                settings = read(self.process.path)
            except Faulty as problem:  # it goes on with what it has
                events.say(905, problem=str(problem))
                continue
            self.role.clock(time.monotonic())
            self.guarded(self.role.resettle, settings)
            events.say(904, seeds=",".join(f"{host}:{port}" for host, port in settings.seeds))
            self.settle()

    # ---- running

    def begin(self) -> None:
        operators = Operators(self.role, place(self.role.settings), self.look)
        if (metrics := self.process.metrics) is not None:
            told = Operators(self.role, (self.role.ip, metrics.port), self.look, metrics_path=metrics.path)
            self.forever(told.accept)
        for work in (
            self.listen,
            self.keep_pulse,
            self.tell_figures,
            self.time_passes,
            self.reread,
            operators.accept,
        ):
            self.forever(work)
        self.settle()

    def forever(self, work: Callable[[], None]) -> Any:
        def again() -> None:
            while not self.ending:
                try:
                    work()
                except Exception as problem:  # noqa: BLE001 - it is told, and tried again
                    events.say(
                        901, work=work.__name__, problem=repr(problem), where=traceback.format_exc(limit=-3)
                    )
                    gevent.sleep(0.1)

        return gevent.spawn(again)
