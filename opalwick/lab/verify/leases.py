"""A duty's lease: three offices that grant it, two counters that want it, words that come late or never.

One clock for all, in steps of `STEP`: that clocks run alike is what leases rest on. What is found does not
rest on how long a word or a process takes. Offices are interchangeable here, so worlds that differ by an
exchange of offices are one.
"""

from __future__ import annotations

from hashlib import blake2b
from types import SimpleNamespace
from typing import Any, NamedTuple

from opalwick.lab.verify.copying import Copier, Canonicalizer
from opalwick.lab.verify.explorer import PropertyViolation, Transition
from opalwick.lab.verify.words import EncodedMessage, encode, decode
from opalwick.post.counter.ceilings import MARGIN, Ceilings
from opalwick.post.names import process_id
from opalwick.post.office.duties import LeaseTable
from opalwick.post.office.role import Controller
from opalwick.post.wire_pb2 import Hello

DUTY = "s"
OFFICES = ("o1", "o2", "o3")
STEP = 0.35  # s: a lease (1.4) is four of them, a voter's longest (1.5) under five, a reply's time (0.3) one
FAR = 2.5  # s: older than this is just old; the longest span is IDLE (2.0)
SLACK = 1e-6  # s: floats of one moment

Direction = tuple[str, str]


class Budget(NamedTuple):
    """How often each may happen in one history. `time`: steps of the clock."""

    time: int = 6
    lost: int = 0  # a link ends, with what is on it
    crash: int = 0  # of an office
    dies: int = 0  # of a counter
    leaves: int = 0  # a counter is to end
    freeze: int = 0
    reorderings: int = -1  # how often another than the next comes first; -1: all orders are seen

    def spend(self, name: str) -> Budget:
        return self._replace(**{name: getattr(self, name) - 1})


class LinkStub:
    def __init__(self, peer: Hello) -> None:
        self.peer, self.last_received = peer, 0.0
        self.out: list[EncodedMessage] = []

    def send(self, kind: str, word: Any) -> None:
        self.out.append(encode(kind, word))


class Voter(Controller):
    """An office as far as its duties go: what it answers is the role's own code."""

    def __init__(self, now: float, first: bool) -> None:
        self.now, self.ip = now, "me"
        self.views = SimpleNamespace(voters=["me", "a", "b"])  # type: ignore[assignment]
        self.leases = LeaseTable(now, first)
        self.reported_holders, self.votes = {}, True


class LeaseModel:
    """Rules: `two holders`, `beyond its grant`."""

    def __init__(self, budget: Budget, counters: int = 2) -> None:
        self.budget, self.now = budget, 10.0
        self.nodes = tuple(f"c{number + 1}" for number in range(counters))
        self.incarnations = dict.fromkeys(self.nodes, 1)
        self.counters: dict[str, Ceilings | None] = {}
        self.voters: dict[str, Voter | None] = {office: Voter(self.now, True) for office in OFFICES}
        self.links: dict[Direction, tuple[EncodedMessage, ...]] = {}
        self.frozen: frozenset[str] = frozenset()
        self.unticked: frozenset[str] = (
            frozenset()
        )  # counters that have not looked at the time since it went on
        self.reported: dict[
            Direction, dict[str, str]
        ] = {}  # by process, office: what was said there of who holds what
        for node in self.nodes:
            self.counters[node] = self.new_gateway(node)
            self.settle(node)

    def new_gateway(self, node: str) -> Ceilings:
        core = Ceilings(node, self.incarnations[node])
        core.now = self.now
        core.configured({DUTY: 20.0}, list(self.nodes), len(OFFICES))
        core.waiting[DUTY] = 1  # something always waits for a permit
        core.tick(self.now)
        return core

    # ---- states

    def copy(self) -> LeaseModel:
        new = LeaseModel.__new__(LeaseModel)
        new.__dict__.update(self.__dict__)
        for name in ("counters", "voters", "links", "incarnations", "reported"):
            setattr(new, name, dict(getattr(self, name)))
        return new

    def key(self) -> bytes:
        """Offices stand by what they are and what counters and links have of them, not by their names."""
        cores = [(node, core) for node, core in self.counters.items() if core is not None]
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
            for node, core in self.counters.items()
        ]
        processes = sorted(
            {who for way in (*self.links, *self.reported) for who in way if who not in OFFICES}
        )
        found = []
        for office, voter in self.voters.items():
            at = [
                voter is not None and Canonicalizer(self.now, FAR).canonical(voter.leases),
                office in self.frozen,
            ]
            for who in processes:
                at += [
                    self.links.get((who, office), ()),
                    self.links.get((office, who), ()),
                    sorted(self.reported.get((who, office), {"": ""}).items()),
                ]
            for _, core in cores:
                at.append(sorted(core.reported_holders.get(office, {"": ""}).items()))
                at.append(core.reported_voters.get(office))
                at.append([(call, office in asked[1]) for call, asked in core.lease_requests.items()])
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

    # ---- what may happen

    def internal_transitions(self) -> list[Transition]:
        found: list[Transition] = [("hears", way[1], way[0]) for way in sorted(self.links)]
        found += [("looks at the time", node) for node in sorted(self.unticked)]
        return [step for step in found if step[1].partition("/")[0] not in self.frozen]

    def enabled(self) -> list[Transition]:
        left = self.budget
        ready = self.internal_transitions()
        found = ready if left.reorderings else ready[:1]
        # a process that does not look at the time for a step stands still
        if (
            left.time
            and not any(step[0] == "looks at the time" for step in ready)
            and (left.reorderings or not ready)
        ):
            found.append(("time", ""))
        for office, voter in self.voters.items():
            if voter is None:
                found.append(("starts", office))
            elif left.crash:
                found.append(("crashes", office))
            for who in self.processes():
                if left.lost and ((who, office) in self.links or (office, who) in self.links):
                    found.append(("loses its link", office, who))
        for node, core in self.counters.items():
            if core is None:
                found.append(("starts", node))
            else:
                if left.dies:
                    found.append(("crashes", node))
                if left.leaves and not core.leaving:
                    found.append(("is to end", node))
        for name in (*OFFICES, *self.nodes):
            if name in self.frozen:
                found.append(("wakes", name))
            elif left.freeze:
                found.append(("stands still", name))
        return found

    def successor(self, step: Transition) -> LeaseModel:
        kind, me, *rest = step
        new = self.copy()
        if (
            self.budget.reorderings > 0
            and kind in ("hears", "looks at the time", "time")
            and ((ready := self.internal_transitions()) and step != ready[0])
        ):
            new.budget = new.budget.spend("reorderings")
        match kind:
            case "hears":
                new.receive_next(me, rest[0])
            case "looks at the time":
                new.unticked = self.unticked - {me}
                core = new.counter(me)
                core.tick(self.now)
            case "time":
                new.budget, new.now = new.budget.spend("time"), self.now + STEP
                new.unticked = frozenset(node for node, core in self.counters.items() if core is not None)
            case "crashes":
                new.budget = new.budget.spend("crash" if me in OFFICES else "dies")
                new.ends(me)
            case "starts":
                if me in OFFICES:
                    new.voters[me] = Voter(self.now, False)
                else:
                    new.incarnations[me] += 1
                    new.counters[me] = new.new_gateway(me)
            case "loses its link":
                new.budget = new.budget.spend("lost")
                new.lost(rest[0], me)
            case "is to end":
                new.budget = new.budget.spend("leaves")
                core = new.counter(me)
                core.leave()
            case "stands still":
                new.budget = new.budget.spend("freeze")
                new.frozen = self.frozen | {me}
            case "wakes":
                new.frozen = self.frozen - {me}
        if me and me not in OFFICES:
            new.settle(me.partition("/")[0])
        new.check()
        return new

    def processes(self) -> list[str]:
        """The counters' processes."""
        return [
            process_id(node, self.incarnations[node])
            for node, core in self.counters.items()
            if core is not None
        ]

    def counter(self, node: str) -> Ceilings:
        known = self.counters[node]
        assert known is not None
        core: Ceilings = Copier().copy(known)
        core.now = self.now
        self.counters[node] = core
        return core

    def receive_next(self, me: str, sender: str) -> None:
        encoded, *others = self.links.pop((sender, me))
        if others:
            self.links[sender, me] = tuple(others)
        if me not in OFFICES:
            self.counter(me.partition("/")[0]).leased(sender, decode(encoded))
            return
        node, _, life = sender.partition("/")
        known = self.voters[me]
        assert known is not None
        voter = self.voters[me] = Voter(self.now, True)
        voter.leases = Copier().copy(known.leases)
        mouth = LinkStub(Hello(node=node, role="counter", life=int(life)))
        if (sender, me) in self.reported:
            voter.reported_holders = {mouth: self.reported[sender, me]}
        voter.handle(mouth, encoded[0], decode(encoded))
        if mouth in voter.reported_holders:
            self.reported[sender, me] = voter.reported_holders[mouth]
        if sender in self.processes():  # else there is no link any more
            self.send_all(me, sender, mouth.out)

    def send_all(self, me: str, to: str, words: list[EncodedMessage]) -> None:
        there = (*self.links.get((me, to), ()), *words)
        if there:
            self.links[me, to] = there

    def settle(self, node: str) -> None:
        core = self.counters[node]
        if core is not None:
            sends, _ = core.effects()
            for to, kind, word in sends:
                for office in OFFICES if to == "offices" else ():
                    if self.voters[office] is not None:
                        self.send_all(process_id(node, self.incarnations[node]), office, [encode(kind, word)])

    def lost(self, who: str, office: str) -> None:
        """Their link ends, with what is on it; a new one comes up at once."""
        for way in ((who, office), (office, who)):
            self.links.pop(way, None)
        self.reported.pop((who, office), None)
        if who in self.processes():
            self.counter(who.partition("/")[0]).office_down(office)

    def ends(self, me: str) -> None:
        self.frozen, self.unticked = self.frozen - {me}, self.unticked - {me}
        if me in OFFICES:
            for who in {way[0] for way in self.links if way[1] == me}.union(self.processes()):
                self.lost(who, me)
            self.voters[me] = None
            return
        for office in OFFICES:  # what it said still comes
            self.links.pop((office, process_id(me, self.incarnations[me])), None)
            self.reported.pop((process_id(me, self.incarnations[me]), office), None)
        self.counters[me] = None

    # ---- properties

    def check(self) -> None:
        holders = []
        for node, core in self.counters.items():
            if core is None:
                continue
            was, core.now = core.now, self.now  # whenever it wakes, it looks at the time first
            held, core.now = core.current_lease(DUTY), was
            if held is not None:
                holders.append(node)
                self.check_covered(node, held.expires_at)
        if len(holders) > 1:
            raise PropertyViolation("two holders", f"{' and '.join(holders)} have the duty")

    def check_covered(self, node: str, until: float) -> None:
        """A majority of offices gives it to nobody else until `MARGIN` after it stops by itself."""
        who, end = process_id(node, self.incarnations[node]), until + MARGIN - SLACK
        covering = 0
        for voter in self.voters.values():
            if voter is None:
                covering += self.now + 1.5 >= end  # as it starts it grants nothing for the longest lease
            else:
                held = voter.leases.grants.get(DUTY, ("", 0.0))
                covering += voter.leases.no_grants_until >= end or (held[0] == who and held[1] >= end)
        if covering <= len(OFFICES) // 2:
            raise PropertyViolation(
                "beyond its grant",
                f"{node} holds for {until - self.now:.2f} s more, {covering} offices cover that",
            )
