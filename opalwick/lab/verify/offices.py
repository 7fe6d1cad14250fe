"""Model of takeover and reconfiguration: the views of three controllers, their disks, the messages between
them.

Each controller has its own clock, which advances only by its own transitions: a suspended process is one
whose transitions don't happen, a late message one that is not yet delivered. So the invariants shown here
depend on no clock at all. The wire's name for controller is "office".
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from itertools import combinations
from operator import itemgetter
from typing import Any, NamedTuple

from google.protobuf.message import Message

from opalwick.lab.verify.copying import Canonicalizer, Copier
from opalwick.lab.verify.explorer import PropertyViolation, Transition
from opalwick.lab.verify.words import EncodedMessage, decode, encode
from opalwick.post.controller import conf_history
from opalwick.post.controller.leases import LeaseTable
from opalwick.post.controller.role import Controller
from opalwick.post.controller.views import Key, Save, Stored, Views
from opalwick.post.wire_pb2 import Conf, Hello, View

NAMES = ("o1", "o2", "o3")
COPIES = 2  # survive.boxes + 1, at the smallest system
SHORT = 0.7  # s: over the heartbeat interval and the wait for joining controllers, under LATE
LONG = 2.25  # s: over every time limit of a view (AWAY is the longest)
FAR = 2.5  # s: ages beyond this are equivalent
SHARED = (Message, Stored)  # a controller never mutates those that it holds

Direction = tuple[str, str]
# internal transitions, and those that happen once none is pending, or out of order
FREE = {"hears", "hears late", "synced", "waits", "waits long", "put", "read"}


@lru_cache(maxsize=1000)
def read(conf: bytes) -> tuple[Key, bytes]:
    return Views.read_key(conf), Conf.FromString(conf).said


@lru_cache(maxsize=1000)
def read_view(view: bytes) -> tuple[int, set[str]]:
    """Returns the epoch and the members of a serialized view."""
    found = View.FromString(view)
    return int(found.epoch), set(found.members)


class Budget(NamedTuple):
    """How often each event may happen in one history, beside internal transitions."""

    puts: int = 1
    reads: int = 0
    short: int = 0
    long: int = 0
    crash: int = 0
    wipe: int = 0
    cut: int = 0  # a link ends and its messages are lost
    late: int = 0  # a link ends; its messages arrive interleaved with those of the next link
    slow: int = 0  # the same, but they arrive after any number of other events
    freeze: int = 0  # a controller is suspended until it resumes; exploring all interleavings implies it
    hold: int = 0  # messages in one direction of a link arrive later, in order
    again: int = 0  # numbers are sent again, with either text
    ends: int = 0  # a controller is ordered to shut down, and ends once it is no longer needed
    reorder: int = -1  # deviations from the fixed order of events; -1: all interleavings

    def spend(self, name: str) -> Budget:
        return self._replace(**{name: getattr(self, name) - 1})


class Call(NamedTuple):
    """An operator's call; `floor` is the newest key acknowledged when it began."""

    at: str
    what: str
    key: Key
    floor: Key
    text: str


class LinkStub:
    """A controller's link: collects the messages sent on it."""

    queued_bytes = 0

    def __init__(self, controller: ControllerUnderTest, peer: Hello) -> None:
        self.controller, self.peer, self.last_received = controller, peer, 0.0

    def send(self, kind: str, message: Any) -> None:
        self.controller.enqueue(self.peer.ip, kind, message)

    def finish(self) -> None:
        """Nothing is left to read: the model delivers the end of a link in order with its messages."""


class ControllerUnderTest(Controller):
    """A controller reduced to its views; receiving, saving and publishing are the role's production code."""

    def __init__(self, me: str, stored: Stored | None, blank: bool, now: float) -> None:
        self.ip, self.now = me, now
        self.views = Views(me, COPIES, stored, list(NAMES), blank, now)
        self.saves: list[Save] = []
        self.leases, self.votes = LeaseTable(now, False), me in self.views.voters
        self.batch_on_way: list[Save] | None = None
        self.out: list[tuple[str, EncodedMessage]] = []
        self.in_force: tuple[Key, bytes] = ((-1, 0), b"")  # last configuration in force here
        self.recorded_events: list[tuple[int, dict[str, Any]]] = []
        self.recorded_replies: list[tuple[int, int]] = []
        self.recorded_confs: list[bytes] = []

    def clock(self, now: float) -> None:
        self.now = self.views.now = now

    def controller_link(self, ip: str) -> LinkStub | None:  # type: ignore[override]
        return LinkStub(self, Hello(ip=ip, node=ip, role="office")) if ip in self.views.linked else None

    def enqueue(self, to: str, kind: str, message: Any) -> None:
        self.out.append((to, encode(kind, message)))

    def publish(self, conf: bytes) -> None:
        self.recorded_confs.append(conf)

    def reply(self, call: int, status: int, body: bytes) -> None:
        self.recorded_replies.append((call, status))

    def event(self, number: int, **fields: Any) -> None:
        self.recorded_events.append((number, fields))


class Machine:
    """A controller's process (if it runs) and its disk."""

    __slots__ = ("controller", "digest", "disk", "held")

    def __init__(self, controller: ControllerUnderTest | None, disk: Stored | None) -> None:
        self.controller, self.disk = controller, disk
        self.held = True  # its disk was never lost, or it has relearned its state since
        self.digest = b""

    def copy(self) -> Machine:
        new = Machine(None, self.disk)
        new.held = self.held
        if self.controller is not None:
            new.controller = Copier(SHARED).copy(self.controller)
        return new

    def fingerprint(self) -> bytes:
        if not self.digest:
            now = self.controller.now if self.controller is not None else 0.0
            found = (Canonicalizer(now, FAR).canonical(self.controller), self.disk, self.held)
            self.digest = blake2b(repr(found).encode(), digest_size=12).digest()
        return self.digest


class ControllerModel:
    """Rules: `two texts`, `two primaries`, `stepped back`, `lost`, `stale answer`, `voted unlearned`,
    `voted twice`, `vote back`, `early word`, `two confirmed`, `refused again`, `forgotten`.
    """

    def __init__(self, budget: Budget, spares: tuple[str, ...] = ()) -> None:
        """`spares`: machines that are not started, with empty disks; the others vote from the start."""
        self.budget, self.names = budget, (*NAMES, *spares)
        self.machines = {me: Machine(ControllerUnderTest(me, None, False, 10.0), None) for me in NAMES}
        for me in spares:
            self.machines[me] = Machine(None, None)
            self.machines[me].held = False
        self.links: dict[Direction, tuple[EncodedMessage, ...]] = {}
        self.old: dict[Direction, tuple[EncodedMessage, ...]] = {}
        self.cuts: frozenset[Direction] = frozenset()
        self.frozen: frozenset[str] = frozenset()
        self.held: frozenset[Direction] = frozenset()
        # directions in which messages of an earlier link still wait
        self.slow: frozenset[Direction] = frozenset()
        # history variables, used by the invariants
        self.contents: tuple[tuple[Key, bytes], ...] = ()  # in force at any controller
        self.newest: Key = (-1, 0)  # acknowledged
        self.calls: tuple[Call, ...] = ()
        self.confirmed: tuple[tuple[int, str], ...] = ()  # number, text
        self.open: frozenset[int] = frozenset()  # calls not yet answered
        # per controller: epoch and candidate of its last promise sent
        self.promised: tuple[tuple[str, int, str], ...] = tuple((me, 0, "") for me in self.names)
        self.wiped = 0
        self.away: frozenset[str] = frozenset()  # shut down as planned, with their disks removed
        self.link_up(*NAMES)
        for me in NAMES:
            self.settle(me)

    # ---- states

    def copy(self, *touched: str) -> ControllerModel:
        new = ControllerModel.__new__(ControllerModel)
        new.__dict__.update(self.__dict__)
        new.machines, new.links, new.old = dict(self.machines), dict(self.links), dict(self.old)
        for me in touched:
            new.machines[me] = self.machines[me].copy()
        return new

    def key(self) -> bytes:
        found = blake2b(digest_size=12)
        for me in self.names:
            found.update(self.machines[me].fingerprint())
        rest = (
            sorted(self.links.items()),
            sorted(self.old.items()),
            sorted(self.cuts),
            self.budget,
            sorted(self.frozen),
            sorted(self.held),
            sorted(self.slow),
            sorted(self.contents),
            self.newest,
            self.calls,
            self.confirmed,
            sorted(self.open),
            self.promised,
            self.wiped,
            sorted(self.away),
        )
        found.update(repr(rest).encode())
        return found.digest()

    def controller(self, me: str) -> ControllerUnderTest:
        controller = self.machines[me].controller
        assert controller is not None
        return controller

    # ---- transitions

    def enabled(self) -> list[Transition]:
        left = self.budget
        ready = self.internal_transitions()
        quiet = left.reorder != 0 or not ready  # these events wait until no internal transition is pending
        found = ready if left.reorder else ready[:1]
        for me in self.names:
            machine = self.machines[me]
            controller = machine.controller
            if me in self.away:
                continue
            if controller is None:
                found.append(("starts", me))
                continue
            if me in self.frozen:
                found.append(("wakes", me))
            elif left.freeze:
                found.append(("stands still", me))
            if left.crash:
                found.append(("crashes", me))
                if controller.batch_on_way is not None:
                    found.append(("crashes, written", me))
            if left.wipe and self.survives_loss(me):
                found.append(("loses its disk", me))
            if controller.views.leaving and not controller.views.needed and machine.controller is not None:
                found.append(("ends", me))
            if me in self.frozen or not quiet:
                continue
            if left.ends and not controller.views.leaving:
                found.append(("is to end", me))
            primary = controller.views.state == "primary"
            if left.puts and primary:
                found += [("put", me, *put) for put in self.puts()]
            if left.reads and primary:
                found.append(("read", me))
            if left.short and (controller.views.state != "follower" or controller.views.lost_state):
                found.append(("waits", me))
            if left.long:
                found.append(("waits long", me))
        for direction in sorted(self.held):
            found.append(("lets go", direction[1], direction[0]))
        if left.hold:
            found += [
                ("holds up", direction[1], direction[0])
                for direction in sorted(self.links)
                if direction not in self.held
            ]
        for a, b in combinations(self.names, 2):
            if (a, b) in self.cuts:
                found.append(("joined", a, b))
            else:
                if left.cut:
                    found.append(("cut", a, b))
                if (a, b) in self.links or (b, a) in self.links:
                    found += [
                        (kind, a, b)
                        for kind, left_over in (
                            ("linked anew", left.late),
                            ("linked anew, slowly", left.slow),
                        )
                        if left_over
                    ]
        found += [("comes at last", direction[1], direction[0]) for direction in sorted(self.slow) if quiet]
        return found

    def internal_transitions(self) -> list[Transition]:
        """Returns pending internal transitions; the first is the next where `reorder` bounds deviations."""
        late = [direction for direction in sorted(self.old) if direction not in self.slow]
        found: list[Transition] = [("hears late", direction[1], direction[0]) for direction in late]
        found += [
            ("hears", direction[1], direction[0])
            for direction in sorted(self.links)
            if direction not in self.held
        ]
        found += [
            ("synced", me)
            for me, m in self.machines.items()
            if m.controller is not None and m.controller.batch_on_way is not None
        ]
        return [step for step in found if step[1] not in self.frozen]

    def puts(self) -> list[tuple[int, str]]:
        """Returns a new number, and the newest one again with another text."""
        puts = [call for call in self.calls if call.what == "put"]
        top = max([self.newest[0], 0, *[call.key[0] for call in puts]])
        text = "ab"[len(puts) % 2]
        again = any(call.key[0] == top for call in puts)
        found = [(top + 1, text)] + ([(top, text)] if again else [])
        if self.budget.again:  # each number sent before, with either text
            found += [
                (number, other)
                for number in sorted({call.key[0] for call in puts})
                for other in "ab"
                if (number, other) not in found
            ]
        return found

    def survives_loss(self, me: str) -> bool:
        """Returns whether all disks are complete: the loss of more than one at once is not survivable."""
        there = [m for other, m in self.machines.items() if other != me and m.controller is not None]
        return not self.wiped and all(m.disk is not None and m.held for m in there)

    def successor(self, step: Transition) -> ControllerModel:
        kind, me, *rest = step
        new = self.copy(me)
        if (
            self.budget.reorder >= 0
            and kind in FREE
            and (ready := self.internal_transitions())
            and step != ready[0]
        ):
            new.budget = new.budget.spend("reorder")
        match kind:
            case "stands still":
                new.budget = new.budget.spend("freeze")
                new.frozen = self.frozen | {me}
                return new
            case "wakes":
                new.frozen = self.frozen - {me}
                return new
            case "holds up":
                new.budget = new.budget.spend("hold")
                new.held = self.held | {(rest[0], me)}
                return new
            case "lets go":
                new.held = self.held - {(rest[0], me)}
                return new
            case "hears" | "hears late":
                where = new.links if kind == "hears" else new.old
                first, *others = where.pop((rest[0], me))
                if others:
                    where[rest[0], me] = tuple(others)
                controller = new.controller(me)
                link = LinkStub(controller, Hello(ip=rest[0], node=rest[0], role="office"))
                controller.handle(link, first[0], decode(first))
            case "synced":
                controller = new.controller(me)
                batch = controller.batch_on_way or []
                new.machines[me].disk, controller.batch_on_way = batch[-1].stored, None
                controller.synced(batch)
            case "waits" | "waits long":
                new.budget = new.budget.spend("short" if kind == "waits" else "long")
                controller = new.controller(me)
                controller.clock(controller.now + (SHORT if kind == "waits" else LONG))
                controller.views.tick(controller.now)
            case "put":
                new.budget = new.budget.spend("puts")
                gen, text = rest
                new.call(me, "put", (gen, 0), text)
                views, conf = new.controller(me).views, Conf(gen=gen, said=text.encode())
                newest = Conf.FromString(views.newest())
                if gen > newest.gen:
                    conf_history.follow(conf, newest)
                views.put(len(new.calls) - 1, conf.SerializeToString())
            case "read":
                new.budget = new.budget.spend("reads")
                new.call(me, "read", (-1, 0))
                new.controller(me).views.read(len(new.calls) - 1)
            case "is to end":
                new.budget = new.budget.spend("ends")
                new.controller(me).views.leave()
                for other in new.names:
                    if other != me and me in self.linked_to(other):
                        new.machines[other] = self.machines[other].copy()
                        new.controller(other).views.shutting_down.add(me)
            case "ends":
                new.ends(me, kind)
            case "crashes" | "crashes, written" | "loses its disk":
                new.budget = new.budget.spend("wipe" if kind == "loses its disk" else "crash")
                new.ends(me, kind)
            case "starts":
                machine = new.machines[me]
                machine.controller = ControllerUnderTest(me, machine.disk, machine.disk is None, 10.0)
                new.link_up(me)
            case "cut":
                new.budget = new.budget.spend("cut")
                new.cuts = self.cuts | {(me, rest[0])}
                for direction in ((me, rest[0]), (rest[0], me)):
                    new.links.pop(direction, None)
                    new.held = new.held - {direction}
                new.machines[rest[0]] = self.machines[rest[0]].copy()
                new.link_up(me, rest[0])
            case "joined":
                new.cuts = self.cuts - {(me, rest[0])}
                new.machines[rest[0]] = self.machines[rest[0]].copy()
                new.link_up(me, rest[0])
            case "linked anew" | "linked anew, slowly":
                new.budget = new.budget.spend("late" if kind == "linked anew" else "slow")
                for direction in ((me, rest[0]), (rest[0], me)):
                    if direction in new.links:
                        new.detach_queue(direction)
                        new.slow = new.slow | ({direction} if kind != "linked anew" else set())
            case "comes at last":
                new.slow = self.slow - {(rest[0], me)}
        if new.machines[me].controller is not None:
            new.settle(me)
        new.check()
        return new

    def call(self, me: str, what: str, key: Key, text: str = "") -> None:
        self.open = self.open | {len(self.calls)}
        self.calls = (*self.calls, Call(me, what, key, self.newest, text))

    def ends(self, me: str, how: str) -> None:
        """Ends a process: messages that it sent still arrive; messages sent to it are lost."""
        machine = self.machines[me]
        batch = machine.controller.batch_on_way if machine.controller is not None else None
        if how == "crashes, written" and batch:
            machine.disk = batch[-1].stored
        elif how == "loses its disk":
            machine.disk, machine.held = None, False
            self.wiped += 1
        elif how == "ends":  # for good, with its disk: it has reported that it is no longer needed
            machine.disk, machine.held = None, False
            self.away = self.away | {me}
        machine.controller = None
        self.frozen = self.frozen - {me}
        self.held = frozenset(direction for direction in self.held if me not in direction)
        self.open = frozenset(call for call in self.open if self.calls[call].at != me)
        for other in self.names:
            self.links.pop((other, me), None)
            self.old.pop((other, me), None)
            self.slow = self.slow - {(other, me)}
            if (me, other) in self.links:
                self.detach_queue((me, other))
        self.link_up()

    def linked_to(self, me: str) -> set[str]:
        controller = self.machines[me].controller
        return controller.views.linked if controller is not None else set()

    def detach_queue(self, direction: Direction) -> None:
        """Lets the queued messages arrive interleaved with those sent from now on."""
        self.old[direction] = self.old.get(direction, ()) + self.links.pop(direction)

    def link_up(self, *of: str) -> None:
        """Updates each controller's set of linked peers; `of`: controllers already copied for mutation."""
        for me, machine in list(self.machines.items()):
            there = {
                other
                for other in self.names
                if other != me
                and self.machines[other].controller is not None
                and tuple(sorted((me, other))) not in self.cuts
            }
            if machine.controller is not None and machine.controller.views.linked != there:
                if me not in of:
                    machine = self.machines[me] = machine.copy()
                assert machine.controller is not None
                machine.controller.views.linked = there

    # ---- effects

    def settle(self, me: str) -> None:
        machine, controller = self.machines[me], self.controller(me)
        Controller.settle(controller)
        if controller.batch_on_way is None and controller.saves:
            controller.batch_on_way = controller.batch()
        out, controller.out = controller.out, []
        for to, encoded in out:
            self.check_message(me, to, machine, encoded)
            if self.machines[to].controller is not None and tuple(sorted((me, to))) not in self.cuts:
                self.links[me, to] = (*self.links.get((me, to), ()), encoded)
        for number, fields in controller.recorded_events:
            if number == 203:
                self.check_primary(me, controller, fields["epoch"])
            elif number == 206:
                machine.held = True
        for conf in controller.recorded_confs:
            self.check_conf(me, controller, conf)
        for call, status in controller.recorded_replies:
            self.check_answer(me, controller, call, status)
        controller.recorded_events, controller.recorded_confs, controller.recorded_replies = [], [], []

    # ---- invariants

    def check_message(self, me: str, to: str, machine: Machine, encoded: EncodedMessage) -> None:
        message, kind = decode(encoded), encoded[0]
        # a vote request promises nothing: a candidate repeats it before its own vote is on its disk
        if not ((kind == "vote" and message.granted) or (kind == "installed" and message.ok)):
            return
        epoch = message.epoch
        if not machine.held:
            raise PropertyViolation(
                "voted unlearned", f"{me} lost its disk and sends {kind} for epoch {epoch}"
            )
        disk = machine.disk
        if disk is None or (read_view(disk.view)[0] if kind == "installed" else disk.promised) < epoch:
            raise PropertyViolation(
                "early word", f"{me} sends {kind} for epoch {epoch} before that is on its disk"
            )
        known = {one: (e, whom) for one, e, whom in self.promised}
        before, whom = known[me]
        if epoch < before:
            raise PropertyViolation(
                "vote back", f"{me} sends {kind} for epoch {epoch}, having promised {before}"
            )
        if kind == "installed":
            to = whom if epoch == before else ""
        else:
            if epoch == before and whom not in ("", to):
                raise PropertyViolation(
                    "voted twice", f"{me} votes for {to} in epoch {epoch}, having voted for {whom}"
                )
        known[me] = epoch, to
        self.promised = tuple((one, e, whom) for one, (e, whom) in known.items())

    def check_primary(self, me: str, controller: ControllerUnderTest, epoch: int) -> None:
        key = Views.read_key(controller.views.in_force)
        if key < self.newest:
            raise PropertyViolation(
                "lost", f"{me} is primary of epoch {epoch} with {key}, though {self.newest} was acknowledged"
            )

    def check_conf(self, me: str, controller: ControllerUnderTest, conf: bytes) -> None:
        """Checks a configuration that this controller publishes as in force."""
        key, content = read(conf)
        known = dict(self.contents)
        if known.setdefault(key, content) != content:
            raise PropertyViolation(
                "two texts", f"{me} has {key} in force as {content!r}, formerly {known[key]!r}"
            )
        self.contents = tuple(known.items())
        if key < controller.in_force[0]:
            raise PropertyViolation(
                "stepped back", f"{me} had {controller.in_force[0]} in force, and now has {key}"
            )
        controller.in_force = key, content

    def check_answer(self, me: str, controller: ControllerUnderTest, call: int, status: int) -> None:
        if call not in self.open:
            return
        self.open = self.open - {call}
        _, what, key, floor, text = self.calls[call]
        if what == "put":
            self.check_number(me, status, key[0], text)
        if status != 200:
            return
        has = controller.in_force[0]
        if has < max(key, floor):
            raise PropertyViolation(
                "stale answer", f"{what} at {me} is answered with {has}, {max(key, floor)} was in force"
            )
        self.newest = max(self.newest, has)

    def check_number(self, me: str, status: int, number: int, text: str) -> None:
        """Checks that a number has one content, which is never refused once confirmed."""
        known = dict(self.confirmed).get(number)
        if status == 200 and known is not None and known != text:
            raise PropertyViolation(
                "two confirmed", f"{me} confirms {text!r} under {number}, {known!r} was confirmed"
            )
        if status == 208 and known is not None:
            raise PropertyViolation("forgotten", f"{me} reports {number} as unknown, which was confirmed")
        if status == 409 and known == text:
            raise PropertyViolation(
                "refused again", f"{me} refuses {text!r} under {number}, which was confirmed"
            )
        if status == 200 and known is None:
            self.confirmed = (*self.confirmed, (number, text))

    def check(self) -> None:
        """Checks the invariants of the whole state."""
        if self.newest > (-1, 0):
            text = dict(self.contents)[self.newest]
            disks = [(me, m.disk) for me, m in self.machines.items() if m.disk is not None]
            found = {me: read(disk.conf) for me, disk in disks if disk.member}
            have = {me for me, one in found.items() if one[0] > self.newest or one == (self.newest, text)}
            if have >= max((read_view(disk.view) for _, disk in disks), key=itemgetter(0))[1]:
                self.wiped = 0  # all members have it again
            if len(have) + self.wiped < COPIES:
                raise PropertyViolation(
                    "lost", f"{self.newest} was acknowledged with {text!r} and is on {len(have)} disks"
                )
        there = [
            (m.controller.views.epoch, me)
            for me, m in self.machines.items()
            if m.controller is not None and m.controller.views.state == "primary"
        ]
        for epoch, me in there:
            others = [other for e, other in there if e == epoch and other != me]
            if others:
                raise PropertyViolation("two primaries", f"{me} and {others[0]} in epoch {epoch}")
