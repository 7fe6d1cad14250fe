"""Model of a message's replicas and its owner: stores and gateways as roles, their disks and links.

All processes share one clock with steps of `STEP`, as lapse and margin assume that clocks run at the same
rate. Heartbeats arrive at each step, except on a link that is cut: there messages wait, and arrive late, in
order. Workers and the dispatcher's choice among them are left out: an attempt is one delivery that may start,
checked immediately before, and its end, or none.

The wire's names for store and gateway are "depot" and "counter".
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from hashlib import blake2b
from types import SimpleNamespace
from typing import Any, NamedTuple

from opalwick.lab.verify.copying import Canonicalizer, Copier
from opalwick.lab.verify.explorer import PropertyViolation, Transition
from opalwick.lab.verify.rows import InMemoryDisk
from opalwick.lab.verify.words import EncodedMessage, decode, encode
from opalwick.post.gateway.dispatchers import Dispatcher, WaitQueue
from opalwick.post.gateway.item import Start
from opalwick.post.gateway.role import Gateway
from opalwick.post.gateway.routes import Routes
from opalwick.post.store.process import load, run_batch
from opalwick.post.store.records import Fetch, Write
from opalwick.post.store.role import StoreRole
from opalwick.post.message_state import MessageState
from opalwick.post.settings import Settings, parse
from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.wire_pb2 import Conf, Hello, Letter, News, Route, Service
from opalwick.routing.reducer import Send

# s: the margin; a lapse is four steps, an acting store counts as away after three, and one step is too short
# to count as a suspension
STEP = 0.5
FAR = 4.0  # s: ages beyond this are equivalent: the longest span used is twice SETTLE, 3
REPLICAS = 2  # survive.boxes + 1
RETAIN = 60.0  # s of retention: longer than any history
CONF = Conf(
    gen=1,
    body_bytes=100,
    services=[Service(name="s")],
    routes=[Route(name="r", host="h", stem="/", svc="s", tries=3, retain=RETAIN, limit=1.5, deferred=True)],
)
# events that trigger no effects at their process until another event does
WITHOUT_EFFECTS = {"stands still", "wakes", "time", "holds up", "lets go", "cut"}
# markers in a link's queue: it has ended; it is up, with the peer's hello
LOST, JOINED = ("lost", b""), "joined"

Direction = tuple[str, str]


class Budget(NamedTuple):
    """How often each event may happen in one history."""

    time: int = 0
    offers: int = 0  # messages that clients submit
    sends: int = 0  # deliveries that start
    ends: int = 0  # deliveries that succeed
    crash: int = 0
    wipe: int = 0
    freeze: int = 0
    cut: int = 0  # between a gateway and a store: messages wait, or are lost with the link
    hold: int = 0  # messages in one direction between them arrive later, in order
    split: int = 0  # between two stores
    retire: int = 0
    unheard: int = 0  # processes that receive the retirement later, or start without having received it
    together: int = 0  # a process reads all pending messages before it carries out the effects
    reorder: int = -1  # deviations from the fixed order of events; -1: all interleavings

    def spend(self, name: str) -> Budget:
        return self._replace(**{name: getattr(self, name) - 1})


class LinkStub:
    """A role's link: collects the messages sent on it."""

    queued_bytes = 0

    def __init__(
        self, peer: Hello, number: int, out: list[tuple[str, int, EncodedMessage]], now: float
    ) -> None:
        self.peer, self.number, self.out, self.last_received = peer, number, out, now

    def send(self, kind: str, message: Any) -> None:
        self.out.append((self.peer.node, self.number, encode(kind, message)))

    def finish(self) -> None:
        """Nothing is left to read: the model delivers the end of a link in order with its messages."""


class Client:
    """A client's call: records the status of its answer."""

    def __init__(self, answers: list[int]) -> None:
        self.answers = answers

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        self.answers.append(status)


class OneWorker(Dispatcher):
    """A dispatcher with one worker, which accepts everything."""

    def __init__(self, service: Service) -> None:
        self.service, self.wake_at, self.permit_queue, self.cancels = service, math.inf, WaitQueue(), 0
        self.reducer = SimpleNamespace(items={})  # type: ignore[assignment]
        self.last_number, self.country = 0, ""

    def category(self, route: Route) -> Any: ...

    def feed(self, now: float, kind: str, *fields: Any) -> Iterator[Any]:
        if kind == "taken":
            self.last_number += 1
            self.reducer.items[fields[0]] = fields[0]
            yield Send(fields[0], self.last_number, "w", ("w", 1, "w"), 0.0)
        else:
            self.reducer.items.pop(fields[0], None)

    def load_figures(self, load: Any) -> tuple[float, ...]:
        return ()

    def in_other_zone(self, id: str) -> bool:
        return False

    def decay_load_estimates(self) -> None: ...


class FixedRandom:
    def draw(self) -> float:
        return 0.5


class GatewayUnderTest(Gateway):
    last_mid = ""  # of the last message offered

    def event(self, number: int, **fields: Any) -> None: ...

    def offered(self, call: Any, request: Any, message: Letter, delay: float) -> None:
        super().offered(call, request, message, delay)
        self.last_mid = message.mid


class StoreUnderTest(StoreRole):
    def event(self, number: int, **fields: Any) -> None: ...


class Machine:
    """A process (if it runs), its disk, the answers to its clients and its deliveries."""

    def __init__(self, me: str, disk: InMemoryDisk | None) -> None:
        self.me, self.disk, self.life = me, disk, 0
        self.role: Any = None
        self.out: list[tuple[str, int, EncodedMessage]] = []
        self.answers: list[int] = []
        self.deliveries: list[Start] = []
        self.batch: tuple[list[Write], list[Fetch]] | None = None


def settings(me: str) -> Settings:
    zone = "n" if me[1] == "1" else "s"
    return parse(f"node={me}\nrole=post\nip=10.0.0.{ord(me[0])}\naz={zone}\nport_range=7240,7255\n", "small")


SETTINGS = {me: settings(me) for me in ("c1", "c2", "d1", "d2", "d3")}
SHARED = (Settings, Routes, FixedRandom)
# attributes that hold statistics or never change
IGNORED = ("settings", "chance", "wanted", "heard_at_line", "names", "routes", "directory", "desk_service")


class StoreModel:
    """Rules: `early 202`, `early word`, `copies`, `two deliverers`."""

    def __init__(self, budget: Budget, stores: tuple[str, ...] = ("d1", "d2")) -> None:
        self.budget, self.now = budget, 0.0
        self.stores, self.gateways = stores, ("c1", "c2")
        self.names = (*stores, *self.gateways)
        self.machines = {me: Machine(me, InMemoryDisk(me) if me in stores else None) for me in self.names}
        self.links: dict[Direction, tuple[EncodedMessage, ...]] = {}
        # number of the current link of a pair
        self.numbers: dict[Direction, int] = {pair: 0 for pair in self.pairs()}
        self.unlinked: frozenset[Direction] = frozenset(self.pairs())  # pairs without a link
        self.cuts: frozenset[Direction] = frozenset()
        self.held: frozenset[Direction] = frozenset()
        self.frozen: frozenset[str] = frozenset()
        self.retiring: frozenset[str] = frozenset()
        self.unheard: frozenset[str] = frozenset()  # processes that have not received the retirement
        self.complete: frozenset[str] = frozenset()  # stores that reported that they are empty
        self.away: frozenset[str] = frozenset()  # stores removed after they reported that they are empty
        self.accepted: frozenset[str] = frozenset()  # answered 202
        self.offered = 0
        self.wiped = 0
        self.marks: dict[str, tuple[Machine, float, str]] = {}
        for me in self.names:
            self.start(me)

    def pairs(self) -> list[Direction]:
        """Returns the pairs of processes that may be linked, in a fixed order."""
        found = [(a, b) for a in self.stores for b in self.stores if a < b]
        return found + [(c, d) for c in self.gateways for d in self.stores]

    def pair(self, a: str, b: str) -> Direction:
        return (a, b) if (a, b) in self.numbers else (b, a)

    # ---- states

    def copy(self) -> StoreModel:
        new = StoreModel.__new__(StoreModel)
        new.__dict__.update(self.__dict__)
        for name in ("machines", "links", "numbers", "marks"):
            setattr(new, name, dict(getattr(self, name)))
        return new

    def at(self, me: str) -> Machine:
        """Returns that machine for mutation: a copy, unless this state already has its own."""
        known = self.machines[me]
        if known not in self.fresh:
            self.machines[me] = Copier(SHARED).copy(known)
            self.fresh.append(self.machines[me])
        return self.machines[me]

    fresh: list[Machine]  # machines that no other state shares

    def key(self) -> bytes:
        parts = []
        for me, machine in self.machines.items():
            mark = self.marks.get(me)
            if mark is None or mark[0] is not machine or mark[1] != self.now:
                text = repr(Canonicalizer(self.now, FAR, SHARED, IGNORED).canonical(machine))
                mark = self.marks[me] = machine, self.now, text
            parts.append(mark[2])
        rest = (
            sorted(self.links.items()),
            sorted(self.numbers.items()),
            sorted(self.unlinked),
            sorted(self.cuts),
            sorted(self.held),
            sorted(self.frozen),
            sorted(self.retiring),
            sorted(self.unheard),
            sorted(self.complete),
            sorted(self.away),
            sorted(self.accepted),
            self.offered,
            self.wiped,
            self.budget,
            self.now if self.now < 0 else 0,
        )
        return blake2b(repr((parts, rest)).encode(), digest_size=12).digest()

    # ---- transitions

    def is_open(self, sender: str, me: str) -> bool:
        return (sender, me) not in self.held and self.pair(sender, me) not in self.cuts

    def runs(self, me: str) -> bool:
        return self.machines[me].role is not None and me not in self.frozen

    def internal_transitions(self) -> list[Transition]:
        found: list[Transition] = [
            ("hears", direction[1], direction[0])
            for direction in sorted(self.links)
            if self.runs(direction[1]) and self.is_open(*direction)
        ]
        found += [
            ("synced", me) for me in self.stores if self.runs(me) and self.machines[me].batch is not None
        ]
        if self.budget.sends:
            found += [
                ("sends", me) for me in self.gateways if self.runs(me) and self.machines[me].role.commands
            ]
        return found

    def enabled(self) -> list[Transition]:
        left = self.budget
        ready = self.internal_transitions()
        found = ready if left.reorder else ready[:1]
        if left.together:  # reads all pending messages before it carries out the effects
            for me in self.names:
                senders = [
                    direction[0]
                    for direction in sorted(self.links)
                    if direction[1] == me and self.is_open(*direction)
                ]
                if self.runs(me) and sum(len(self.links[one, me]) for one in senders) > 1:
                    found.append(("hears all", me, *senders))
        if left.time and not any(step[0] == "hears" for step in ready) and (left.reorder or not ready):
            found.append(("time", ""))
        quiet = left.reorder != 0 or not ready
        if left.offers and quiet:
            found += [("offers", me) for me in self.gateways[:1] if self.runs(me)]
        if left.retire and quiet and not self.retiring:
            found.append(("retires", self.stores[0]))
            if left.unheard:
                found += [("retires, unheard", self.stores[0], me) for me in self.names if self.runs(me)]
        found += [("hears of it", me) for me in sorted(self.unheard) if self.runs(me) and quiet]
        found += [("is taken away", me) for me in sorted(self.complete - self.away)]
        for me in self.gateways:
            if left.ends and quiet and self.runs(me) and self.machines[me].deliveries:
                found.append(("has a success", me))
        for me, machine in self.machines.items():
            if me in self.away:
                continue
            if machine.role is None:
                found.append(("starts", me))
                if left.unheard and me in self.retiring:
                    found.append(("starts, unheard", me))
                continue
            if left.crash:
                found.append(("crashes", me))
                if machine.batch is not None:
                    found.append(("crashes, written", me))
            if left.wipe and me in self.stores and not self.wiped:
                found.append(("loses its disk", me))
            if me in self.frozen:
                found.append(("wakes", me))
            elif left.freeze:
                found.append(("stands still", me))
        for a, b in self.pairs():
            if (a, b) in self.cuts:
                found.append(("joined", a, b))
                if (a, b) not in self.unlinked:
                    found.append(("give each other up", a, b))
            for direction in ((a, b), (b, a)):
                if direction in self.held:
                    found.append(("lets go", direction[1], direction[0]))
                elif left.hold and a in self.gateways and (a, b) not in self.unlinked:
                    found.append(("holds up", direction[1], direction[0]))
            if (a, b) not in self.cuts | self.unlinked and (left.cut if a in self.gateways else left.split):
                found.append(("cut", a, b))
        return found

    def successor(self, step: Transition) -> StoreModel:
        kind, me, *rest = step
        new = self.copy()
        new.fresh = []
        ready = self.internal_transitions() if self.budget.reorder > 0 else []
        if (
            ready
            and step != ready[0]
            and kind in ("hears", "synced", "sends", "time", "offers", "retires", "has a success")
        ):
            new.budget = new.budget.spend("reorder")
        match kind:
            case "hears":
                new.receive_next(me, rest[0])
            case "hears all":
                new.budget = new.budget.spend("together")
                for sender in rest:
                    while (sender, me) in new.links:
                        new.receive_next(me, sender)
            case "synced":
                machine = new.at(me)
                assert machine.batch is not None
                batch, machine.batch = machine.batch, None
                machine.role.clock(new.now)
                machine.role.synced(*batch, run_batch(machine.disk, 0.0, *batch))  # type: ignore[arg-type]
            case "sends" | "has a success":
                new.deliver(me, kind)
            case "time":
                new.budget, new.now = new.budget.spend("time"), self.now + STEP
                new.time()
            case "offers":
                new.budget, new.offered = new.budget.spend("offers"), self.offered + 1
                role = new.at(me).role
                role.clock(new.now)
                message = Letter(rid=f"r{new.offered}", host=b"h", method=b"POST", target=b"/", body=b"x")
                role.offered(
                    Client(new.machines[me].answers), SimpleNamespace(first_at=new.now), message, 0.0
                )
            case "retires":
                new.budget, new.retiring = new.budget.spend("retire"), frozenset({me})
                new.update_directories()
            case "retires, unheard":
                new.budget = new.budget.spend("retire").spend("unheard")
                new.retiring, new.unheard = frozenset({me}), frozenset(rest)
                new.update_directories()
            case "hears of it":
                new.unheard = self.unheard - {me}
                new.update_directory(me)
            case "is taken away":
                new.ends(me, "is taken away")
            case "crashes" | "crashes, written" | "loses its disk":
                new.budget = new.budget.spend("wipe" if kind == "loses its disk" else "crash")
                new.ends(me, kind)
            case "starts":
                new.start(me)
            case "starts, unheard":
                new.budget, new.unheard = new.budget.spend("unheard"), self.unheard | {me}
                new.start(me)
            case "stands still":
                new.budget, new.frozen = new.budget.spend("freeze"), self.frozen | {me}
            case "wakes":
                new.frozen = self.frozen - {me}
            case "cut":
                new.budget = new.budget.spend("cut" if me in self.gateways else "split")
                new.cuts = self.cuts | {(me, rest[0])}
            case "holds up":
                new.budget, new.held = new.budget.spend("hold"), self.held | {(rest[0], me)}
            case "lets go":
                new.held = self.held - {(rest[0], me)}
            case "give each other up":
                for a, b in ((me, rest[0]), (rest[0], me)):
                    if a not in self.frozen:  # a suspended process first reads what its socket buffers hold
                        new.links.pop((b, a), None)
                new.link_down(me, rest[0])
            case "joined":
                new.cuts = self.cuts - {(me, rest[0])}
                new.link_up(me, rest[0])
        if me and new.machines[me].role is not None and kind not in WITHOUT_EFFECTS:
            new.settle(me)
        new.check()
        return new

    # ---- links

    def link_down(self, a: str, b: str) -> None:
        pair = self.pair(a, b)
        if pair in self.unlinked or pair not in self.numbers:
            return
        self.unlinked |= {pair}
        for me, other in ((a, b), (b, a)):
            if self.machines[me].role is not None:
                self.links[other, me] = (*self.links.get((other, me), ()), LOST)

    def link_up(self, a: str, b: str) -> None:
        """Establishes a link if both processes run and the pair is not cut."""
        pair = self.pair(a, b)
        if (
            pair not in self.unlinked
            or pair in self.cuts
            or None in (self.machines[a].role, self.machines[b].role)
        ):
            return
        self.unlinked -= {pair}
        self.numbers[pair] += 1
        for me, other in ((a, b), (b, a)):
            encoded = JOINED, self.machines[other].role.hello().SerializeToString()
            self.links[other, me] = (*self.links.get((other, me), ()), encoded)

    def receive_next(self, me: str, sender: str) -> None:
        encoded, *others = self.links.pop((sender, me))
        if others:
            self.links[sender, me] = tuple(others)
        machine = self.at(me)
        role = machine.role
        role.clock(self.now)
        line = role.link(sender)
        if encoded == LOST:
            if line is not None:
                role.remove_link(line)
        elif encoded[0] == JOINED:
            role.add_link(
                LinkStub(
                    Hello.FromString(encoded[1]), self.numbers[self.pair(me, sender)], machine.out, self.now
                )
            )
        elif line is not None:
            line.last_received = self.now
            role.receive(line, encoded[0], decode(encoded))

    def time(self) -> None:
        """Runs all ticks and sends the heartbeats, which arrive at once where no message is queued before
        them.
        """
        there = [me for me in self.names if self.runs(me)]
        for me in there:
            role = self.at(me).role
            role.clock(self.now)
            role.tick()
            self.settle(me)
        quick = []
        for me in there:
            role = self.at(me).role
            if me in self.stores and role.store.rebalancing.empty:
                self.complete |= {me}
            for other in self.names:
                line = role.link(other) if other != me else None
                if line is None or line.number != self.numbers[self.pair(me, other)]:
                    continue
                line.send("pulse", role.heartbeat(line))
                if (me, other) not in self.links and self.runs(other) and self.is_open(me, other):
                    quick.append((me, other))
            self.settle(me)
        for direction in quick:
            if len(self.links.get(direction, ())) == 1:
                self.receive_next(direction[1], direction[0])
                self.settle(direction[1])

    # ---- processes

    def start(self, me: str) -> None:
        if not hasattr(self, "fresh"):
            self.fresh = list(self.machines.values())
        machine = self.at(me)
        machine.life += 1
        if me in self.stores:
            assert machine.disk is not None
            role: Any = StoreUnderTest(SETTINGS[me], machine.life, self.now, machine.disk.id)
            load(role, machine.disk, 0.0)  # type: ignore[arg-type]
            # the set of nodes, as controllers report it
            role.store.expected = {other for other in self.names if other != me}
        else:
            role = GatewayUnderTest(SETTINGS[me], machine.life, self.now, 8, bytes)
            role.rounds.chance = FixedRandom()
            role.confirmed = True
        machine.role = role
        role.clock(self.now)
        self.update_directory(me)
        for other in self.names:
            if other != me:
                self.link_up(*self.pair(me, other))

    def update_directories(self) -> None:
        for me in self.names:
            if self.machines[me].role is not None:
                self.update_directory(me)

    def update_directory(self, me: str) -> None:
        role = self.at(me).role
        conf = Conf.FromString(CONF.SerializeToString())
        retiring = frozenset() if me in self.unheard else self.retiring
        conf.seq = len(retiring)
        conf.retiring.extend(sorted(retiring))
        role.directory.merge(News(conf=conf))
        if me in self.stores:
            role.store.ordered((int(conf.gen), int(conf.seq)), set(retiring))
            return
        role.intake.retiring = set(retiring)
        if role.rounds.routes is None:
            role.rounds.routes = Routes(conf)
            role.rounds.dispatchers = {"s": OneWorker(Service(name="s"))}

    def ends(self, me: str, how: str) -> None:
        machine = self.at(me)
        if how == "crashes, written" and machine.batch is not None:
            run_batch(machine.disk, 0.0, *machine.batch)  # type: ignore[arg-type]
        elif how == "loses its disk":
            self.wiped += 1
            machine.disk = InMemoryDisk(f"{me}-{machine.life}")
        elif how == "is taken away":  # with its disk, which is no loss: it has reported that it is empty
            self.away |= {me}
            machine.disk = InMemoryDisk(f"{me}-none")
        machine.role, machine.batch, machine.deliveries, machine.answers, machine.out = None, None, [], [], []
        self.frozen -= {me}
        for other in self.names:
            if other != me:
                self.links.pop((other, me), None)
                self.link_down(me, other)

    def settle(self, me: str) -> None:
        """Carries out the effects: messages go onto their links, writes into a batch for the disk."""
        machine = self.at(me)
        role = machine.role
        role.settle()
        if me in self.stores and machine.batch is None and role.queue:
            machine.batch = role.batch()
        out = list(machine.out)
        machine.out.clear()
        for to, number, encoded in out:
            self.check_message(me, to, machine, encoded)
            pair = self.pair(me, to)
            if number == self.numbers[pair] and pair not in self.unlinked:
                self.links[me, to] = (*self.links.get((me, to), ()), encoded)
        for status in machine.answers:
            self.check_answer(status)
        machine.answers.clear()

    def deliver(self, me: str, kind: str) -> None:
        machine = self.at(me)
        role = machine.role
        role.clock(self.now)
        if kind == "has a success":
            self.budget = self.budget.spend("ends")
            role.delivery_ended(machine.deliveries.pop(0), DeliveryOutcome.DONE, "seal", None, False)
            return
        order = role.commands.pop(0)
        if isinstance(order, Start):
            if role.may_start(order):
                self.budget = self.budget.spend("sends")
                machine.deliveries.append(order)
            else:
                role.delivery_ended(order, DeliveryOutcome.NOT_SENT, "", None, False)

    # ---- invariants

    def has(self, mid: str, ends: bool = True) -> int:
        """Returns the number of disks that hold the message or (if `ends`) its end."""
        return sum(
            machine.disk is not None
            and (mid in machine.disk.messages_by_id or (ends and mid in machine.disk.ends_by_id))
            for machine in self.machines.values()
        )

    @staticmethod
    def has_end(machine: Machine, mid: str) -> bool:
        return machine.disk is not None and mid in machine.disk.ends_by_id

    def check_message(self, me: str, to: str, machine: Machine, encoded: EncodedMessage) -> None:
        if machine.disk is None or encoded[0] not in ("kept", "ended"):
            return
        message = decode(encoded)
        there = message.mid in machine.disk.ends_by_id or (
            encoded[0] == "kept" and message.mid in machine.disk.messages_by_id
        )
        if encoded[0] == "kept" and message.mid in machine.disk.dropped:
            # dropped in the batch that stored it: whoever ordered that has given it up and promises nothing
            role = self.machines[to].role
            there = there or role is None or (to in self.gateways and message.mid not in role.intake.pending)
        if not there and not (encoded[0] == "kept" and message.refused):
            raise PropertyViolation(
                "early word", f"{me} sends {encoded[0]} for {message.mid}, which is not on its disk"
            )

    def check_answer(self, status: int) -> None:
        if status != 202:
            return
        mid = self.mid()
        if self.has(mid) + self.wiped < REPLICAS:
            raise PropertyViolation("early 202", f"{mid} is on {self.has(mid)} disks")
        self.accepted |= {mid}

    def mid(self) -> str:
        """Returns the id of the last message offered; only one is offered at a time."""
        return str(self.machines["c1"].role.last_mid)

    def check(self) -> None:
        if all(self.has(mid) >= REPLICAS for mid in self.accepted) and self.offered == len(self.accepted):
            self.wiped = 0  # all replicas are restored
        for mid in self.accepted:
            if self.has(mid) + self.wiped < REPLICAS:
                raise PropertyViolation("copies", f"{mid} was accepted and is on {self.has(mid)} disks")
            able = [me for me in self.gateways if self.may_send(me, mid)]
            if len(able) > 1:
                raise PropertyViolation("two deliverers", f"{' and '.join(able)} may send {mid}")
        for me in self.stores:
            machine = self.machines[me]
            if machine.role is not None:
                for mid in machine.role.store.ends:
                    state = machine.role.store.state(mid).state
                    if state == MessageState.COMPLETE and not self.has_end(machine, mid):
                        raise PropertyViolation(
                            "early word", f"{me} reports {mid} as complete before that is on its disk"
                        )

    def may_send(self, me: str, mid: str) -> bool:
        """Returns whether that gateway would deliver it now (once resumed, if it is suspended)."""
        role = self.machines[me].role
        item = role.rounds.items.get(mid) if role is not None else None
        if item is None or item.reassigned or item.closed:
            return False
        previous, role.now = role.now, self.now
        able = role.may_send(item)
        role.now = previous
        return bool(able)
