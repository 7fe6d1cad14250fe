"""Simulated network: latency, partitions and resets of links, in the manner of TCP between kernels.

Data that a process has sent is in its kernel: it survives a kill of the process, while a machine that loses
power loses what a partition holds back. Data for a paused process waits for it in order. A machine that loses
power tells nobody: the other side of its connections retransmits until it gives up, or until a machine that
is back answers with a reset.
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

MESSAGE_TYPES: dict[str, Any] = {
    name: getattr(wire_pb2, found.message_type.name)
    for name, found in Envelope.DESCRIPTOR.fields_by_name.items()
    if found.message_type is not None
}
RETRANSMIT = 0.2  # s after which a kernel retransmits, doubled each time
HEADER_BYTES = 7  # of each message


class Net:
    """Latencies and partitions between nodes: machines by name, workers by id. Clients' links to gateways are
    never partitioned."""

    def __init__(self, day: PostDay, agenda: Agenda, draws: Draws) -> None:
        self.day, self.agenda, self.draws, self.draw = day, agenda, draws, draws.of("ways")
        self.zones: dict[str, str] = {}
        self.drawn: dict[
            tuple[str, str], random.Random
        ] = {}  # one for each direction, as the order in which a role sends to several nodes is not fixed
        self.cuts: dict[tuple[str, str], int] = {}
        self.late: dict[tuple[str, str], float] = {}
        self.lossy: dict[tuple[str, str], float] = {}
        self.held: dict[
            tuple[str, str], list[Callable[[], None]]
        ] = {}  # calls to make once the partition has healed
        self.since: dict[tuple[str, str], float] = {}

    def open(self, a: str, b: str) -> bool:
        return not self.cuts or (a, b) not in self.cuts

    def delay(self, a: str, b: str) -> float:
        """One-way latency of the next message, in s."""
        network = self.day.network
        if (draw := self.drawn.get((a, b))) is None:
            draw = self.drawn[a, b] = random.Random(f"{self.draws.seed}/way/{a}/{b}")
        way = float(network.same if self.zones.get(a) == self.zones.get(b) else network.cross)
        way *= 1.0 + network.jitter * draw.random()
        if self.late and (late := self.late.get((a, b), 0.0)):
            way += late
        if self.lossy and (share := self.lossy.get((a, b), 0.0)):
            again = RETRANSMIT
            while draw.random() < share and again < 1.0:
                way, again = way + again, 2.0 * again
        return way

    def when_open(self, a: str, b: str, call: Callable[[], None]) -> None:
        """Calls at once, or when the kernel retransmits after the partition has healed."""
        if self.open(a, b):
            call()
        else:
            self.held.setdefault((a, b), []).append(call)

    def cut(self, a: str, b: str, there: bool) -> None:
        """Adds (`there`) or removes one partition of the direction from `a` to `b`; several can overlap."""
        count = self.cuts.get((a, b), 0) + (1 if there else -1)
        if count > 0:
            self.cuts[a, b] = count
            self.since.setdefault((a, b), self.agenda.now)
            return
        self.cuts.pop((a, b), None)
        calls = self.held.pop((a, b), [])
        # a kernel doubles its pauses: after a long partition it retransmits late
        lasted = self.agenda.now - self.since.pop((a, b), self.agenda.now)
        if calls:
            self.agenda.after(self.draw.random() * min(1.0, 0.5 * lasted), self.retransmit, a, b, calls)

    def retransmit(self, a: str, b: str, calls: list[Callable[[], None]]) -> None:
        for call in calls:
            self.when_open(a, b, call)


END = None  # marks the end of the stream among received batches


class End:
    """One side of a connection between two processes; the roles use it as their link."""

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
        "queued_bytes",
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
        self.waiting = self.unread = self.queued_bytes = 0
        self.batch: list[tuple[str, bytes]] = []
        self.batch_at = self.last_at = -1.0
        self.held: deque[list[tuple[str, bytes]] | None] = (
            deque()
        )  # batches that a partition holds back on this side
        self.held_at = 0.0
        self.buffer: deque[list[tuple[str, bytes]] | None] = deque()  # received and not yet read
        self.dialled: tuple[Any, float, float] | None = None  # address, begin, and the pause before it

    # ---- interface of a role's link

    def send(self, kind: str, message: Any) -> None:
        """Sends without waiting; closes the link when the other side has left too many bytes unread."""
        if self.over:
            return
        data = message.SerializeToString()
        size = len(data) + HEADER_BYTES
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
            self.transmit(self.batch)
        if self.waiting > self.proc.world.day.network.bound:
            self.batch.clear()  # as in `Link.send`: the writer has had no turn since
            self.close()

    def transmit(self, batch: list[tuple[str, bytes]] | None) -> None:
        """Puts a batch on the network, in order."""
        net = self.net
        if self.held or not net.open(self.near, self.far):
            self.hold(batch)
            return
        self.last_at = max(self.last_at, net.agenda.now + net.delay(self.near, self.far))
        net.agenda.at(self.last_at, self.arrive, batch)

    def hold(self, batch: list[tuple[str, bytes]] | None) -> None:
        if not self.held:
            self.held_at = self.net.agenda.now
            self.net.when_open(self.near, self.far, self.release)
            self.net.agenda.after(SILENT, self.timeout, self.held_at)
        self.held.append(batch)

    def release(self) -> None:
        """The partition has healed: sends the batches that were held back."""
        batches, self.held = self.held, deque()
        for batch in batches:
            self.transmit(batch)

    def timeout(self, held_at: float) -> None:
        """TCP_USER_TIMEOUT: the kernel gives up data that stays unacknowledged."""
        if self.held and self.held_at == held_at:
            self.held.clear()
            if not self.over:
                self.proc.event(self.close)

    def arrive(self, batch: list[tuple[str, bytes]] | None) -> None:
        if self.held or not self.net.open(self.near, self.far):  # lost in transit, to be retransmitted
            self.hold(batch)
        elif not self.other.proc.machine.power:
            self.hold_for_power(batch)
        else:
            self.other.receive(batch)

    def hold_for_power(self, batch: list[tuple[str, bytes]] | None) -> None:
        """Nothing acknowledges the batch: the kernel retransmits, and sends nothing more before that."""
        held_at = self.held_at = self.net.agenda.now
        self.held.append(batch)
        self.net.agenda.after(SILENT, self.timeout, held_at)
        self.net.agenda.after(RETRANSMIT, self.retransmit, held_at, RETRANSMIT)

    def retransmit(self, held_at: float, pause: float) -> None:
        """`pause`: s since the last transmission."""
        if not self.held or self.held_at != held_at:
            return
        if self.other.proc.machine.power:
            self.release()
        else:
            self.net.agenda.after(2.0 * pause, self.retransmit, held_at, 2.0 * pause)

    # ---- receiving side

    def receive(self, batch: list[tuple[str, bytes]] | None) -> None:
        if self.over or not self.proc.alive:
            if batch is not END:  # no process has the connection: a reset is sent
                self.transmit(END)
            return
        if batch is not END:
            size = sum(len(data) + HEADER_BYTES for _, data in batch)
            self.unread += size
        self.buffer.append(batch)
        if self.accepted:
            self.proc.readable(self)

    def read(self) -> None:
        """Reads as `Link.read` does: all buffered data up to an end is one piece."""
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
                if turn:  # after keepalives alone it waits for the next tick, as in `Link.read`
                    proc.settle()
            if ended:
                self.close()

    def take(self, kind: str, data: bytes) -> None:
        if self.over:
            return
        message = MESSAGE_TYPES[kind].FromString(data)
        if kind == "hello":
            known, self.peer = self.peer, message
            if not known.node:
                self.proc.guarded(self.role.add_link, self)
        elif self.peer.node:
            self.proc.world.peer_message_received(self, kind, message)
            self.proc.guarded(self.role.receive, self, kind, message)

    # ---- closing

    def finish(self) -> None:
        """As `Link.finish`: handles what was received, and closes."""
        self.read()
        self.close()

    def close(self) -> None:
        if not self.over:
            self.drop()
            self.proc.guarded(self.role.remove_link, self)
            self.proc.hung_up(self)

    def drop(self, notify: bool = True) -> None:
        """Drops the connection; `notify`: its kernel resets the other side, else data held back by a
        partition is lost and the other side gets nothing."""
        self.over = True
        self.proc.all.pop(self, None)
        self.buffer.clear()
        if notify:
            self.transmit(END)
        else:
            self.held.clear()

    def reset(self) -> None:
        """Resets the connection from the network: data in transit is lost and both sides see the end."""
        for end in (self, self.other):
            end.held.clear()
            end.buffer.clear()
            if end.accepted and not end.over:
                end.buffer.append(END)
                end.proc.readable(end)
