"""Ways between machines, and links over them: delays, cuts, resets. As TCP between kernels, whatever the
processes do.

What a process has said is its kernel's: a process that is killed loses nothing of it, a machine without
power all that a cut holds up. What comes to a process that stands still waits for it, in order.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from opalwick.lab.agenda import Agenda
from opalwick.lab.draws import Draws
from opalwick.lab.post.day import PostDay
from opalwick.post import wire_pb2
from opalwick.post.link import SILENT
from opalwick.post.wire_pb2 import Envelope, Hello

if TYPE_CHECKING:
    from opalwick.lab.post.process import Proc

WORDS: dict[str, Any] = {
    name: getattr(wire_pb2, found.message_type.name)
    for name, found in Envelope.DESCRIPTOR.fields_by_name.items()
    if found.message_type is not None
}
AGAIN = 0.2  # s after which a kernel says again what was lost, doubled each time
HEAD = 7  # octets around a word


class Net:
    """Places are machines by name and workers by id; clients stand before the counters and are never cut."""

    def __init__(self, day: PostDay, agenda: Agenda, draws: Draws) -> None:
        self.day, self.agenda, self.draws, self.draw = day, agenda, draws, draws.of("ways")
        self.zones: dict[str, str] = {}
        self.drawn: dict[
            tuple[str, str], random.Random
        ] = {}  # a role may say the same to several in any order
        self.cuts: dict[tuple[str, str], int] = {}
        self.late: dict[tuple[str, str], float] = {}
        self.lossy: dict[tuple[str, str], float] = {}
        self.held: dict[tuple[str, str], list[Callable[[], None]]] = {}  # what goes on once a way is whole
        self.since: dict[tuple[str, str], float] = {}

    def open(self, a: str, b: str) -> bool:
        return not self.cuts or (a, b) not in self.cuts

    def delay(self, a: str, b: str) -> float:
        network = self.day.network
        if (draw := self.drawn.get((a, b))) is None:
            draw = self.drawn[a, b] = random.Random(f"{self.draws.seed}/way/{a}/{b}")
        way = float(network.same if self.zones.get(a) == self.zones.get(b) else network.cross)
        way *= 1.0 + network.jitter * draw.random()
        if self.late and (late := self.late.get((a, b), 0.0)):
            way += late
        if self.lossy and (share := self.lossy.get((a, b), 0.0)):
            again = AGAIN
            while draw.random() < share and again < 1.0:
                way, again = way + again, 2.0 * again
        return way

    def when_open(self, a: str, b: str, call: Callable[[], None]) -> None:
        """At once, or once the kernel tries again after the way is whole."""
        if self.open(a, b):
            call()
        else:
            self.held.setdefault((a, b), []).append(call)

    def cut(self, a: str, b: str, there: bool) -> None:
        """`there`: one more cut, else one less."""
        count = self.cuts.get((a, b), 0) + (1 if there else -1)
        if count > 0:
            self.cuts[a, b] = count
            self.since.setdefault((a, b), self.agenda.now)
            return
        self.cuts.pop((a, b), None)
        calls = self.held.pop((a, b), [])
        # a kernel doubles its pauses: what was lost for long is said again late
        lasted = self.agenda.now - self.since.pop((a, b), self.agenda.now)
        if calls:
            self.agenda.after(self.draw.random() * min(1.0, 0.5 * lasted), self.again, a, b, calls)

    def again(self, a: str, b: str, calls: list[Callable[[], None]]) -> None:
        for call in calls:
            self.when_open(a, b, call)


END = None  # the mark of an end among what comes


class End:
    """One side of a connection between two processes: what a role has as its link."""

    __slots__ = (
        "accepted",
        "batch",
        "batch_at",
        "buffer",
        "dialled",
        "far",
        "last_received",
        "held",
        "held_at",
        "last_at",
        "near",
        "net",
        "other",
        "over",
        "peer",
        "proc",
        "role",
        "unread",
        "waiting",
    )

    def __init__(self, proc: Proc, far: str) -> None:
        self.proc, self.role, self.net, self.near, self.far = proc, proc.role, proc.world.net, proc.node, far
        self.peer = Hello()
        self.other: End = self
        self.over = self.accepted = False
        self.last_received = proc.now()
        self.waiting = self.unread = 0
        self.batch: list[tuple[str, bytes]] = []
        self.batch_at = self.last_at = -1.0
        self.held: deque[list[tuple[str, bytes]] | None] = deque()  # by a cut, on this side
        self.held_at = 0.0
        self.buffer: deque[list[tuple[str, bytes]] | None] = deque()  # come, and not read yet
        self.dialled: tuple[Any, float, float] | None = None  # place, since when, the pause before it

    # ---- as a role's link

    def send(self, kind: str, word: Any) -> None:
        """Waits for nobody; a link whose other side does not read is closed."""
        if self.over:
            return
        data = word.SerializeToString()
        size = len(data) + HEAD
        self.waiting += size
        if self.peer.zone != self.role.zone:
            self.role.cross_zone_bytes[kind] = self.role.cross_zone_bytes.get(kind, 0) + size
        if self.proc.world.words is not None:
            self.proc.world.words.append((self.net.agenda.now, self.near, self.far, kind, data))
        now = self.net.agenda.now
        if self.batch_at == now:
            self.batch.append((kind, data))
        else:
            self.batch, self.batch_at = [(kind, data)], now
            self.leave(self.batch)
        if self.waiting > self.proc.world.day.network.bound:
            self.close()

    def leave(self, batch: list[tuple[str, bytes]] | None) -> None:
        """Into the kernel, and on its way; in order."""
        net = self.net
        if self.held or not net.open(self.near, self.far):
            self.hold(batch)
            return
        self.last_at = max(self.last_at, net.agenda.now + net.delay(self.near, self.far))
        net.agenda.at(self.last_at, self.arrives, batch)

    def hold(self, batch: list[tuple[str, bytes]] | None) -> None:
        if not self.held:
            self.held_at = self.net.agenda.now
            self.net.when_open(self.near, self.far, self.release)
            self.net.agenda.after(SILENT, self.timeout, self.held_at)
        self.held.append(batch)

    def release(self) -> None:
        """The way is whole: what was held goes on."""
        batches, self.held = self.held, deque()
        for batch in batches:
            self.leave(batch)

    def timeout(self, held_at: float) -> None:
        """TCP_USER_TIMEOUT: the kernel gives up what nobody acknowledged."""
        if self.held and self.held_at == held_at:
            self.held.clear()
            if not self.over:
                self.proc.event(self.close)

    def arrives(self, batch: list[tuple[str, bytes]] | None) -> None:
        if self.held or not self.net.open(self.near, self.far):  # lost on its way, and said again
            self.hold(batch)
            return
        self.other.come(batch)

    # ---- on the other side

    def come(self, batch: list[tuple[str, bytes]] | None) -> None:
        machine = self.proc.machine
        if not machine.power:
            return
        if self.over or not self.proc.alive:
            if batch is not END:  # nobody is there: a reset goes back
                self.leave(END)
            return
        if batch is not END:
            size = sum(len(data) + HEAD for _, data in batch)
            self.unread += size
        self.buffer.append(batch)
        if self.accepted:
            self.proc.readable(self)

    def read(self) -> None:
        """As `Link.read`: all that lies there is one piece, up to an end."""
        proc, role = self.proc, self.role
        while self.buffer and not self.over:
            pieces: list[tuple[str, bytes]] = []
            ended = False
            while self.buffer and not ended:
                batch = self.buffer.popleft()
                if batch is END:
                    ended = True
                else:
                    pieces += batch
            if pieces:
                self.other.waiting -= self.unread
                self.unread = 0
                self.last_received = proc.now()
                role.clock(self.last_received)
                turn = False
                for kind, data in pieces:
                    turn = turn or kind != "pulse"
                    self.take(kind, data)
                if turn:  # what follows from pulses alone waits for the next tick, as in `Link.read`
                    proc.settle()
            if ended:
                self.close()

    def take(self, kind: str, data: bytes) -> None:
        if self.over:
            return
        word = WORDS[kind].FromString(data)
        if kind == "hello":
            known, self.peer = self.peer, word
            if not known.node:
                self.proc.guarded(self.role.add_link, self)
        elif self.peer.node:
            self.proc.world.peer_message_received(self, kind, word)
            self.proc.guarded(self.role.receive, self, kind, word)

    # ---- its end

    def close(self) -> None:
        if not self.over:
            self.drop()
            self.proc.guarded(self.role.remove_link, self)
            self.proc.hung_up(self)

    def drop(self, told: bool = True) -> None:
        """`told`: its kernel tells the other side; else nobody does, and what a cut holds up is lost."""
        self.over = True
        self.proc.all.pop(self, None)
        self.buffer.clear()
        if told:
            self.leave(END)
        else:
            self.held.clear()

    def reset(self) -> None:
        """By the way between: what was on it is lost, and both sides find out."""
        for end in (self, self.other):
            end.held.clear()
            end.buffer.clear()
            if end.accepted and not end.over:
                end.buffer.append(END)
                end.proc.readable(end)
