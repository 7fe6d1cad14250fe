"""Model of an exclusive task's lease: three controllers that grant it, two gateways that request it, messages
that are late or lost.

All processes share one clock with steps of `STEP`, as leases assume that clocks run at the same rate. The
results don't depend on how long a message or a process takes. Controllers are interchangeable here (symmetry
reduction): states that differ by a permutation of controllers are the same.

The wire's names for gateway and controller are "counter" and "office".
"""

from __future__ import annotations

from hashlib import blake2b
from types import SimpleNamespace
from typing import Any, NamedTuple

from opalwick.lab.verify.copying import Canonicalizer, Copier
from opalwick.lab.verify.explorer import PropertyViolation, Transition
from opalwick.lab.verify.words import EncodedMessage, decode, encode
from opalwick.post.gateway.rate_limits import MARGIN, Ceilings
from opalwick.post.names import process_id
from opalwick.post.controller.leases import LeaseTable
from opalwick.post.controller.role import Controller
from opalwick.post.wire_pb2 import Hello

TASK = "s"
CONTROLLERS = ("o1", "o2", "o3")
# s: a lease (1.4) is four steps, a voter's longest (1.5) under five, a reply's time limit (0.3) one
STEP = 0.35
FAR = 2.5  # s: ages beyond this are equivalent; the longest span is IDLE (2.0)
SLACK = 1e-6  # s: tolerance for floating-point times of the same moment

Direction = tuple[str, str]


class Budget(NamedTuple):
    """How often each event may happen in one history. `time`: steps of the clock."""

    time: int = 6
    lost: int = 0  # a link is lost with the messages on it
    crash: int = 0  # of a controller
    dies: int = 0  # of a gateway
    leaves: int = 0  # a gateway is ordered to shut down
    freeze: int = 0
    reorder: int = -1  # deviations from the fixed order of events; -1: all interleavings

    def spend(self, name: str) -> Budget:
        return self._replace(**{name: getattr(self, name) - 1})


class LinkStub:
    queued_bytes = 0

    def __init__(self, peer: Hello) -> None:
        self.peer, self.last_received = peer, 0.0
        self.out: list[EncodedMessage] = []

    def send(self, kind: str, message: Any) -> None:
        self.out.append(encode(kind, message))

    def finish(self) -> None:
        """Nothing is left to read: the model delivers the end of a link in order with its messages."""


class Voter(Controller):
    """A controller reduced to its lease table; requests are handled by the production code of the role."""

    def __init__(self, now: float, first: bool) -> None:
        self.now, self.ip = now, "me"
        self.views = SimpleNamespace(voters=["me", "a", "b"])  # type: ignore[assignment]
        self.leases = LeaseTable(now, first)
        self.reported_holders, self.votes = {}, True


class LeaseModel:
    """Rules: `two holders`, `beyond its grant`."""

    def __init__(self, budget: Budget, gateways: int = 2) -> None:
        self.budget, self.now = budget, 10.0
        self.nodes = tuple(f"c{number + 1}" for number in range(gateways))
        self.incarnations = dict.fromkeys(self.nodes, 1)
        self.gateways: dict[str, Ceilings | None] = {}
        self.voters: dict[str, Voter | None] = {
            controller: Voter(self.now, True) for controller in CONTROLLERS
        }
        self.links: dict[Direction, tuple[EncodedMessage, ...]] = {}
        self.frozen: frozenset[str] = frozenset()
        # gateways that have not run their tick since the clock advanced
        self.unticked: frozenset[str] = frozenset()
        # by (process, controller): the lease holders reported there
        self.reported: dict[Direction, dict[str, str]] = {}
        for node in self.nodes:
            self.gateways[node] = self.new_gateway(node)
            self.settle(node)

    def new_gateway(self, node: str) -> Ceilings:
        core = Ceilings(node, self.incarnations[node])
        core.now = self.now
        core.configured({TASK: 20.0}, list(self.nodes), len(CONTROLLERS))
        core.waiting[TASK] = 1  # a request for a permit is always waiting
        core.tick(self.now)
        return core

    # ---- states

    def copy(self) -> LeaseModel:
        new = LeaseModel.__new__(LeaseModel)
        new.__dict__.update(self.__dict__)
        for name in ("gateways", "voters", "links", "incarnations", "reported"):
            setattr(new, name, dict(getattr(self, name)))
        return new

    def key(self) -> bytes:
        """Represents controllers by their state and by what gateways and links hold of them, not by name."""
        cores = [(node, core) for node, core in self.gateways.items() if core is not None]
        own = [
            (
                node,
                core is not None
                and Canonicalizer(
                    self.now,
                    FAR,
                    ignored=("reported_holders", "reported_voters", "lease_requests", "outbox", "granted"),
                ).canonical(core),
            )
            for node, core in self.gateways.items()
        ]
        processes = sorted(
            {
                who
                for direction in (*self.links, *self.reported)
                for who in direction
                if who not in CONTROLLERS
            }
        )
        found = []
        for controller, voter in self.voters.items():
            at = [
                voter is not None and Canonicalizer(self.now, FAR).canonical(voter.leases),
                controller in self.frozen,
            ]
            for who in processes:
                at += [
                    self.links.get((who, controller), ()),
                    self.links.get((controller, who), ()),
                    sorted(self.reported.get((who, controller), {"": ""}).items()),
                ]
            for _, core in cores:
                at.append(sorted(core.reported_holders.get(controller, {"": ""}).items()))
                at.append(core.reported_voters.get(controller))
                at.append([(call, controller in asked[1]) for call, asked in core.lease_requests.items()])
            found.append(repr(at))
        asked = [
            [
                (call, Canonicalizer(self.now, FAR).time(at), sorted(grants.items()))
                for call, (at, _, grants) in core.lease_requests.items()
            ]
            for _, core in cores
        ]
        rest = (
            own,
            processes,
            sorted(found),
            asked,
            self.budget,
            sorted(self.frozen.intersection(self.nodes)),
            sorted(self.unticked),
            self.incarnations,
        )
        return blake2b(repr(rest).encode(), digest_size=12).digest()

    # ---- transitions

    def internal_transitions(self) -> list[Transition]:
        found: list[Transition] = [("hears", direction[1], direction[0]) for direction in sorted(self.links)]
        found += [("looks at the time", node) for node in sorted(self.unticked)]
        return [step for step in found if step[1].partition("/")[0] not in self.frozen]

    def enabled(self) -> list[Transition]:
        left = self.budget
        ready = self.internal_transitions()
        found = ready if left.reorder else ready[:1]
        # a process that skips its tick for a whole step is suspended, which `stands still` covers
        if (
            left.time
            and not any(step[0] == "looks at the time" for step in ready)
            and (left.reorder or not ready)
        ):
            found.append(("time", ""))
        for controller, voter in self.voters.items():
            if voter is None:
                found.append(("starts", controller))
            elif left.crash:
                found.append(("crashes", controller))
            for who in self.processes():
                if left.lost and ((who, controller) in self.links or (controller, who) in self.links):
                    found.append(("loses its link", controller, who))
        for node, core in self.gateways.items():
            if core is None:
                found.append(("starts", node))
            else:
                if left.dies:
                    found.append(("crashes", node))
                if left.leaves and not core.leaving:
                    found.append(("is to end", node))
        for name in (*CONTROLLERS, *self.nodes):
            if name in self.frozen:
                found.append(("wakes", name))
            elif left.freeze:
                found.append(("stands still", name))
        return found

    def successor(self, step: Transition) -> LeaseModel:
        kind, me, *rest = step
        new = self.copy()
        if (
            self.budget.reorder > 0
            and kind in ("hears", "looks at the time", "time")
            and ((ready := self.internal_transitions()) and step != ready[0])
        ):
            new.budget = new.budget.spend("reorder")
        match kind:
            case "hears":
                new.receive_next(me, rest[0])
            case "looks at the time":
                new.unticked = self.unticked - {me}
                core = new.gateway(me)
                core.tick(self.now)
            case "time":
                new.budget, new.now = new.budget.spend("time"), self.now + STEP
                new.unticked = frozenset(node for node, core in self.gateways.items() if core is not None)
            case "crashes":
                new.budget = new.budget.spend("crash" if me in CONTROLLERS else "dies")
                new.ends(me)
            case "starts":
                if me in CONTROLLERS:
                    new.voters[me] = Voter(self.now, False)
                else:
                    new.incarnations[me] += 1
                    new.gateways[me] = new.new_gateway(me)
            case "loses its link":
                new.budget = new.budget.spend("lost")
                new.lost(rest[0], me)
            case "is to end":
                new.budget = new.budget.spend("leaves")
                core = new.gateway(me)
                core.leave()
            case "stands still":
                new.budget = new.budget.spend("freeze")
                new.frozen = self.frozen | {me}
            case "wakes":
                new.frozen = self.frozen - {me}
        if me and me not in CONTROLLERS:
            new.settle(me.partition("/")[0])
        new.check()
        return new

    def processes(self) -> list[str]:
        """Process ids of the running gateways."""
        return [
            process_id(node, self.incarnations[node])
            for node, core in self.gateways.items()
            if core is not None
        ]

    def gateway(self, node: str) -> Ceilings:
        known = self.gateways[node]
        assert known is not None
        core: Ceilings = Copier().copy(known)
        core.now = self.now
        self.gateways[node] = core
        return core

    def receive_next(self, me: str, sender: str) -> None:
        encoded, *others = self.links.pop((sender, me))
        if others:
            self.links[sender, me] = tuple(others)
        if me not in CONTROLLERS:
            self.gateway(me.partition("/")[0]).leased(sender, decode(encoded))
            return
        node, _, life = sender.partition("/")
        known = self.voters[me]
        assert known is not None
        voter = self.voters[me] = Voter(self.now, True)
        voter.leases = Copier().copy(known.leases)
        link = LinkStub(Hello(node=node, role="counter", life=int(life)))
        if (sender, me) in self.reported:
            voter.reported_holders = {link: self.reported[sender, me]}
        voter.handle(link, encoded[0], decode(encoded))
        if link in voter.reported_holders:
            self.reported[sender, me] = voter.reported_holders[link]
        if sender in self.processes():  # otherwise the link no longer exists
            self.send_all(me, sender, link.out)

    def send_all(self, me: str, to: str, messages: list[EncodedMessage]) -> None:
        there = (*self.links.get((me, to), ()), *messages)
        if there:
            self.links[me, to] = there

    def settle(self, node: str) -> None:
        core = self.gateways[node]
        if core is not None:
            sends, _ = core.effects()
            for to, kind, message in sends:
                for controller in CONTROLLERS if to == "offices" else ():
                    if self.voters[controller] is not None:
                        self.send_all(
                            process_id(node, self.incarnations[node]), controller, [encode(kind, message)]
                        )

    def lost(self, who: str, controller: str) -> None:
        """Their link ends and loses its messages; a new one is established at once."""
        for direction in ((who, controller), (controller, who)):
            self.links.pop(direction, None)
        self.reported.pop((who, controller), None)
        if who in self.processes():
            self.gateway(who.partition("/")[0]).office_down(controller)

    def ends(self, me: str) -> None:
        self.frozen, self.unticked = self.frozen - {me}, self.unticked - {me}
        if me in CONTROLLERS:
            for who in {direction[0] for direction in self.links if direction[1] == me}.union(
                self.processes()
            ):
                self.lost(who, me)
            self.voters[me] = None
            return
        for controller in CONTROLLERS:  # messages that it sent still arrive
            self.links.pop((controller, process_id(me, self.incarnations[me])), None)
            self.reported.pop((process_id(me, self.incarnations[me]), controller), None)
        self.gateways[me] = None

    # ---- invariants

    def check(self) -> None:
        holders = []
        for node, core in self.gateways.items():
            if core is None:
                continue
            previous, core.now = (
                core.now,
                self.now,
            )  # a suspended process reads the clock first when it resumes
            held, core.now = core.current_lease(TASK), previous
            if held is not None:
                holders.append(node)
                self.check_covered(node, held.expires_at)
        if len(holders) > 1:
            raise PropertyViolation("two holders", f"{' and '.join(holders)} hold the lease of the same task")

    def check_covered(self, node: str, until: float) -> None:
        """Checks that a majority of controllers grants it to nobody else until `MARGIN` after the end."""
        who, end = process_id(node, self.incarnations[node]), until + MARGIN - SLACK
        covering = 0
        for voter in self.voters.values():
            if voter is None:
                covering += self.now + 1.5 >= end  # it grants nothing for the longest lease after it starts
            else:
                held = voter.leases.grants.get(TASK, ("", 0.0))
                covering += voter.leases.no_grants_until >= end or (held[0] == who and held[1] >= end)
        if covering <= len(CONTROLLERS) // 2:
            raise PropertyViolation(
                "beyond its grant",
                f"{node} holds for {until - self.now:.2f} s more, covered by {covering} controllers only",
            )
