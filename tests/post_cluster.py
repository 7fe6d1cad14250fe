"""Counters and depots that hear each other's words in order, on a clock that stands until it is moved.

Each pair of processes has one link; a word is read by the other side once `read` is called, as in one piece
with all others that wait there. A depot's disk answers at once. Deliveries are only noted.
"""

from __future__ import annotations

from collections import defaultdict
from types import SimpleNamespace
from typing import Any

from opalwick.post.counter.item import Start
from opalwick.post.counter.role import Gateway
from opalwick.post.depot.role import StoreRole
from opalwick.post.settings import Settings, parse
from opalwick.post.verdict import DeliveryOutcome
from opalwick.post.wire_pb2 import Conf, Envelope, Letter, News, Node, Route, Service, Worker
from opalwick.protocol.http import Message

STEP = 0.05  # s: a process looks at the time so often
PULSE = 0.25  # s between pulses
ROUTE = Route(
    name="r", host="h", stem="/", svc="s", deferred=True, retain=90.0, tries=3, limit=0.6, start=0.6
)
CONF = Conf(gen=1, body_bytes=99, routes=[ROUTE], services=[Service(name="s", max_conns=50)])
# a link to one that brings news and hears nothing
OFFICE = SimpleNamespace(peer=SimpleNamespace(role="office", node="o1"), send=lambda kind, word: None)
WORKER = Worker(id="w1", svc="s", host="10.9.0.1", port=80, zone="a", capacity=20)


def settings(node: str, role: str, number: int) -> Settings:
    zone = "ab"[number % 2]
    lines = [f"node={node}", f"role={role}", f"ip=10.0.0.{number}", f"az={zone}", "region=r"]
    lines += ["zones.a=r", "zones.b=r"]
    lines += ["port_range=7300,7315", "seeds=10.0.0.99:8262", "survive.boxes=1"]
    lines += ["datadir=/data", "serves=disk"] if role == "depot" else []
    return parse("\n".join(lines) + "\n", node)


class Call:
    """A client's request, and what it was answered with."""

    def __init__(self, now: float, host: bytes = b"h") -> None:
        self.message, self.status, self.body = Message(now), 0, b""
        self.message.headers = {b"host": host}
        self.name = ""  # of the message that was accepted

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        assert self.status == 0, "answered twice"
        self.status, self.body = status, body
        self.name = next((f.partition(": ")[2] for f in fields if f.startswith("X-Msg-Id")), "")


class End:
    """A process' end of its link to another."""

    def __init__(self, cluster: Cluster, near: str, far: str) -> None:
        self.cluster, self.near, self.far = cluster, near, far
        self.peer, self.last_received = cluster.roles[far].hello(), 0.0

    def send(self, kind: str, word: Any) -> None:
        if (self.near, self.far) in self.cluster.ends:
            data = Envelope(**{kind: word}).SerializeToString()
            self.cluster.waiting[self.near, self.far].append(data)


class Cluster:
    def __init__(self, counters: int, depots: int, spread: float = 0.0) -> None:
        self.now = 100.0
        self.roles: dict[str, Any] = {}
        self.ends: dict[tuple[str, str], End] = {}
        self.waiting: dict[tuple[str, str], list[bytes]] = defaultdict(list)
        self.letters: dict[str, dict[str, bytes]] = defaultdict(dict)  # by depot: what its disk has
        self.out: dict[str, list[Start]] = defaultdict(list)  # by message: deliveries that have gone out
        self.began: dict[str, list[str]] = defaultdict(list)  # by message: the counters that have sent it
        for number in range(1, depots + 1):
            self.start_depot(f"d{number}", number)
        for number in range(1, counters + 1):
            self.start_counter(f"c{number}", 10 + number)
        self.run(4.0)

    # ---- processes and links

    def start_depot(self, node: str, number: int) -> None:
        depot = StoreRole(settings(node, "depot", number), int(self.now), self.now, f"disk of {node}")
        self.join(node, depot)

    def start_counter(self, node: str, number: int) -> None:
        counter = Gateway(settings(node, "counter", number), int(self.now), self.now, 512)
        counter.handle(OFFICE, "news", News(conf=CONF, workers=[WORKER], whole=True))
        counter.confirmed = True
        self.join(node, counter)

    def introduce(self) -> None:
        """The counters are told which depots there are, as offices do."""
        depots = [role for role in self.roles.values() if role.role == "depot"]
        news = News(
            nodes=[Node(node=d.node, role="depot", zone=d.zone, ip=d.ip, life=d.life) for d in depots]
        )
        for role in self.roles.values():
            if role.role == "counter":
                role.handle(OFFICE, "news", news)

    def join(self, node: str, role: Any) -> None:
        role.clock(self.now)
        self.roles[node] = role
        for other in list(self.roles):
            if other != node and "depot" in (role.role, self.roles[other].role):
                self.link(node, other)

    def link(self, one: str, other: str) -> None:
        for near, far in ((one, other), (other, one)):
            self.ends[near, far] = End(self, near, far)
        for near, far in ((one, other), (other, one)):
            self.roles[near].clock(self.now)
            self.roles[near].add_link(self.ends[near, far])
            self.settle(near)

    def part(self, one: str, other: str) -> None:
        """The link breaks; what was not read is lost."""
        for near, far in ((one, other), (other, one)):
            if (end := self.ends.pop((near, far), None)) is not None:
                self.waiting.pop((near, far), None)
                if near in self.roles:
                    self.roles[near].clock(self.now)
                    self.roles[near].remove_link(end)
                    self.settle(near)

    def end(self, node: str) -> None:
        """The process is gone, with all its links."""
        for near, far in list(self.ends):
            if near == node:
                self.part(near, far)
        del self.roles[node]

    # ---- what follows

    def settle(self, node: str) -> None:
        role = self.roles[node]
        role.settle()
        if role.role == "depot":
            while role.queue:
                self.sync(node, role)
                role.settle()
        else:
            orders, role.commands = role.commands, []
            for order in orders:
                if isinstance(order, Start):
                    self.send(node, order)

    def sync(self, node: str, depot: StoreRole) -> None:
        writes, fetches = depot.batch()
        disk = self.letters[node]
        for write in writes:
            if write.kind == "keep":
                disk[write.fields[0]] = write.fields[1]
            elif write.kind in ("drop", "forget") or (write.kind == "end" and write.fields[1]):
                disk.pop(write.fields[0], None)
        depot.synced(writes, fetches, [disk.get(fetch.mid) for fetch in fetches])

    def send(self, node: str, order: Start) -> None:
        if self.roles[node].may_start(order):
            self.out[order.item.mid].append(order)
            self.began[order.item.mid].append(node)
        else:
            self.roles[node].delivery_ended(order, DeliveryOutcome.NOT_SENT, "", None, False)

    def answer(self, mid: str, verdict: DeliveryOutcome = DeliveryOutcome.DONE) -> None:
        """The worker's answer to the delivery of that message that went out first."""
        order = self.out[mid].pop(0)
        node = self.began[mid][-1 - len(self.out[mid])]
        self.roles[node].clock(self.now)
        self.roles[node].delivery_ended(order, verdict, f"seal of {node}", None, False)
        self.settle(node)

    def holders(self, mid: str) -> tuple[str, ...]:
        """The depots that keep it, the one that acts first."""
        found = {
            role.store.entries[mid].replicas
            for role in self.roles.values()
            if role.role == "depot" and mid in role.store.entries
        }
        assert len(found) == 1
        return tuple(found.pop())

    # ---- time

    def read(self, *to: str) -> None:
        """All words that wait are read, and those that follow from them; `to`: by these processes alone."""
        while ready := [way for way, words in self.waiting.items() if words and (not to or way[1] in to)]:
            for near, far in ready:
                words, self.waiting[near, far] = self.waiting[near, far], []
                self.hear(far, self.ends.get((far, near)), words)

    def hear(self, node: str, end: End | None, words: list[bytes]) -> None:
        if end is None:
            return
        role, end.last_received = self.roles[node], self.now
        role.clock(self.now)
        pulses = 0
        for data in words:
            said = Envelope.FromString(data)
            kind = str(said.WhichOneof("what"))
            pulses += kind == "pulse"
            role.receive(end, kind, getattr(said, kind))
        if pulses < len(words):  # what follows from pulses alone waits for the next tick
            self.settle(node)

    def pulses(self) -> None:
        for (near, _), end in list(self.ends.items()):
            self.roles[near].clock(self.now)
            end.send("pulse", self.roles[near].heartbeat(end))

    def run(self, seconds: float) -> None:
        """Time passes, and all that is said is read."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = round(self.now + STEP, 6)
            for node in list(self.roles):
                self.roles[node].clock(self.now)
                self.roles[node].tick()
                self.settle(node)
            if round(self.now / STEP) % round(PULSE / STEP) == 0:
                self.pulses()
            self.read()

    # ---- clients

    def offer(self, node: str, delay: float = 0.0) -> Call:
        """A request comes; what follows for others is not read yet."""
        call, counter = Call(self.now), self.roles[node]
        counter.clock(self.now)
        letter = Letter(rid="1", host=b"h", method=b"POST", target=b"/x", body=b"x")
        counter.offered(call, call.message, letter, delay)
        self.settle(node)
        return call

    def accepted(self, node: str, delay: float = 0.0) -> str:
        """A message that was answered 202; its name inside."""
        return self.named(node, delay).partition("-")[0]

    def named(self, node: str, delay: float = 0.0) -> str:
        """A message that was answered 202; the name that its client was given."""
        call = self.offer(node, delay)
        self.read()
        assert call.status == 202
        return call.name

    def ask(self, node: str, name: str, host: bytes = b"h", body: bool = False) -> Call:
        """A client asks for a message's state or bytes, and has its answer."""
        call, counter = Call(self.now, host), self.roles[node]
        counter.clock(self.now)
        counter.asked_back(call, name, body)
        self.settle(node)
        self.read()
        if not call.status:
            self.run(2.0)
        assert call.status, f"no answer within two seconds for {name!r}"
        return call
