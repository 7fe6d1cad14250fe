"""Gateways and stores connected by ordered links, on a clock that only moves when it is advanced.

Each pair of processes has one link. The other side receives peer messages when `read` is called, all that are
waiting there at once. A store's disk answers immediately. Deliveries are only recorded.
"""

from __future__ import annotations

from collections import defaultdict
from types import SimpleNamespace
from typing import Any

from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.gateway.item import Start
from opalwick.post.gateway.role import Gateway
from opalwick.post.settings import Settings, parse
from opalwick.post.store.role import StoreRole
from opalwick.post.wire_pb2 import Conf, Envelope, Letter, News, Node, Route, Service, Worker
from opalwick.protocol.http import Message

STEP = 0.05  # s between ticks of a process
PULSE = 0.25  # s between keepalives
ROUTE = Route(
    name="r", host="h", stem="/", svc="s", deferred=True, retain=90.0, tries=3, limit=0.6, start=0.6
)
CONF = Conf(gen=1, body_bytes=99, routes=[ROUTE], services=[Service(name="s", max_conns=50)])
# a link to a controller that sends directory updates and ignores what it receives
OFFICE = SimpleNamespace(peer=SimpleNamespace(role="office", node="o1"), send=lambda kind, message: None)
WORKER = Worker(id="w1", svc="s", host="10.9.0.1", port=80, zone="a", capacity=20)


def settings(node: str, role: str, number: int) -> Settings:
    zone = "ab"[number % 2]
    lines = [f"node={node}", f"role={role}", f"ip=10.0.0.{number}", f"az={zone}", "region=r"]
    lines += ["zones.a=r", "zones.b=r"]
    lines += ["port_range=7300,7315", "seeds=10.0.0.99:8262", "survive.boxes=1"]
    lines += ["datadir=/data", "serves=disk"] if role == "depot" else []
    return parse("\n".join(lines) + "\n", node)


class Call:
    """A client's request and its response."""

    def __init__(self, now: float, host: bytes = b"h") -> None:
        self.message, self.status, self.body = Message(now), 0, b""
        self.message.headers = {b"host": host}
        self.name = ""  # of the message that was accepted

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        assert self.status == 0, "answered twice"
        self.status, self.body = status, body
        self.name = next((f.partition(": ")[2] for f in fields if f.startswith("X-Msg-Id")), "")


class End:
    """The end of a link at one process."""

    queued_bytes = 0

    def __init__(self, cluster: Cluster, near: str, far: str) -> None:
        self.cluster, self.near, self.far = cluster, near, far
        self.peer, self.last_received = cluster.roles[far].hello(), 0.0

    def send(self, kind: str, message: Any) -> None:
        if (self.near, self.far) in self.cluster.ends:
            data = Envelope(**{kind: message}).SerializeToString()
            self.cluster.waiting[self.near, self.far].append(data)

    def finish(self) -> None:
        """Hands over what has arrived, and closes this end."""
        if self.cluster.ends.get((self.near, self.far)) is self:
            messages = self.cluster.waiting.pop((self.far, self.near), [])
            self.cluster.receive(self.near, self, messages)
            del self.cluster.ends[self.near, self.far]
        self.cluster.roles[self.near].remove_link(self)


class Cluster:
    def __init__(self, counters: int, depots: int, spread: float = 0.0) -> None:
        self.now = 100.0
        self.roles: dict[str, Any] = {}
        self.ends: dict[tuple[str, str], End] = {}
        self.waiting: dict[tuple[str, str], list[bytes]] = defaultdict(list)
        self.letters: dict[str, dict[str, bytes]] = defaultdict(dict)  # by store: the messages on its disk
        self.out: dict[str, list[Start]] = defaultdict(list)  # by message: deliveries in progress
        self.began: dict[str, list[str]] = defaultdict(list)  # by message: the gateways that have sent it
        for number in range(1, depots + 1):
            self.start_store(f"d{number}", number)
        for number in range(1, counters + 1):
            self.start_gateway(f"c{number}", 10 + number)
        self.run(4.0)

    # ---- processes and links

    def start_store(self, node: str, number: int) -> None:
        store = StoreRole(settings(node, "depot", number), int(self.now), self.now, f"disk of {node}")
        self.join(node, store)

    def start_gateway(self, node: str, number: int) -> None:
        gateway = Gateway(settings(node, "counter", number), int(self.now), self.now, 512)
        gateway.handle(OFFICE, "news", News(conf=CONF, workers=[WORKER], whole=True))
        gateway.confirmed = True
        self.join(node, gateway)

    def announce_stores(self) -> None:
        """Sends the gateways the list of stores, as controllers do."""
        stores = [role for role in self.roles.values() if role.role == "depot"]
        news = News(
            nodes=[Node(node=d.node, role="depot", zone=d.zone, ip=d.ip, life=d.life) for d in stores]
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

    def disconnect(self, one: str, other: str) -> None:
        """Breaks the link; unread messages are lost."""
        for near, far in ((one, other), (other, one)):
            if (end := self.ends.pop((near, far), None)) is not None:
                self.waiting.pop((near, far), None)
                if near in self.roles:
                    self.roles[near].clock(self.now)
                    self.roles[near].remove_link(end)
                    self.settle(near)

    def end(self, node: str) -> None:
        """Ends the process, with all its links."""
        for near, far in list(self.ends):
            if near == node:
                self.disconnect(near, far)
        del self.roles[node]

    # ---- effects of a step

    def settle(self, node: str) -> None:
        role = self.roles[node]
        role.settle()
        if role.role == "depot":
            while role.queue:
                self.sync(node, role)
                role.settle()
        else:
            commands, role.commands = role.commands, []
            for command in commands:
                if isinstance(command, Start):
                    self.send(node, command)

    def sync(self, node: str, store: StoreRole) -> None:
        writes, fetches = store.batch()
        disk = self.letters[node]
        for write in writes:
            if write.kind == "keep":
                disk[write.fields[0]] = write.fields[1]
            elif write.kind in ("drop", "forget") or (write.kind == "end" and write.fields[1]):
                disk.pop(write.fields[0], None)
        store.synced(writes, fetches, [disk.get(fetch.mid) for fetch in fetches])

    def send(self, node: str, command: Start) -> None:
        if self.roles[node].may_start(command):
            self.out[command.item.mid].append(command)
            self.began[command.item.mid].append(node)
        else:
            self.roles[node].delivery_ended(command, DeliveryOutcome.NOT_SENT, "", None, False)

    def answer(self, mid: str, outcome: DeliveryOutcome = DeliveryOutcome.DONE) -> None:
        """The worker's answer to the oldest delivery of that message."""
        command = self.out[mid].pop(0)
        node = self.began[mid][-1 - len(self.out[mid])]
        self.roles[node].clock(self.now)
        self.roles[node].delivery_ended(command, outcome, f"seal of {node}", None, False)
        self.settle(node)

    def holders(self, mid: str) -> tuple[str, ...]:
        """The stores that have it, the one that acts first."""
        found = {
            role.store.entries[mid].replicas
            for role in self.roles.values()
            if role.role == "depot" and mid in role.store.entries
        }
        assert len(found) == 1
        return tuple(found.pop())

    # ---- time

    def read(self, *to: str) -> None:
        """Delivers all waiting peer messages, and those that follow; `to`: only at these processes."""
        while ready := [
            link for link, messages in self.waiting.items() if messages and (not to or link[1] in to)
        ]:
            for near, far in ready:
                messages, self.waiting[near, far] = self.waiting[near, far], []
                self.receive(far, self.ends.get((far, near)), messages)

    def receive(self, node: str, end: End | None, messages: list[bytes]) -> None:
        if end is None:
            return
        role, end.last_received = self.roles[node], self.now
        role.clock(self.now)
        keepalives = 0
        for data in messages:
            envelope = Envelope.FromString(data)
            kind = str(envelope.WhichOneof("what"))
            keepalives += kind == "pulse"
            role.receive(end, kind, getattr(envelope, kind))
        if keepalives < len(messages):  # effects of keepalives alone wait for the next tick
            self.settle(node)

    def send_keepalives(self) -> None:
        for (near, _), end in list(self.ends.items()):
            self.roles[near].clock(self.now)
            end.send("pulse", self.roles[near].heartbeat(end))

    def run(self, seconds: float) -> None:
        """Advances the time and delivers all peer messages."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = round(self.now + STEP, 6)
            for node in list(self.roles):
                self.roles[node].clock(self.now)
                self.roles[node].tick()
                self.settle(node)
            if round(self.now / STEP) % round(PULSE / STEP) == 0:
                self.send_keepalives()
            self.read()

    # ---- clients

    def offer(self, node: str, delay: float = 0.0) -> Call:
        """A client sends a message; peer messages that follow are not delivered yet."""
        call, gateway = Call(self.now), self.roles[node]
        gateway.clock(self.now)
        message = Letter(rid="1", host=b"h", method=b"POST", target=b"/x", body=b"x")
        gateway.offered(call, call.message, message, delay)
        self.settle(node)
        return call

    def accepted(self, node: str, delay: float = 0.0) -> str:
        """The internal id of a message that was answered 202."""
        return self.named(node, delay).partition("-")[0]

    def named(self, node: str, delay: float = 0.0) -> str:
        """The name that the client received for a message that was answered 202."""
        call = self.offer(node, delay)
        self.read()
        assert call.status == 202
        return call.name

    def ask(self, node: str, name: str, host: bytes = b"h", body: bool = False) -> Call:
        """A client requests the state or the body of a message; returns the answered call."""
        call, gateway = Call(self.now, host), self.roles[node]
        gateway.clock(self.now)
        gateway.asked_back(call, name, body)
        self.settle(node)
        self.read()
        if not call.status:
            self.run(2.0)
        assert call.status, f"no answer within two seconds for {name!r}"
        return call
