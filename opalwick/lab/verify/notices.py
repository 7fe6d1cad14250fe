"""Model of a worker's drain notice, which a majority of controllers must confirm: production controllers, and
gateways that receive from them.

The controller's own code accepts the call, replicates the notice and answers. Links may be cut and restored
at any time; messages wait on each link, in order. The invariants depend on no clock but the time limit after
which a controller reports that it could not confirm. The wire's names for controller and gateway are "office"
and "counter".
"""

from __future__ import annotations

from typing import Any, NamedTuple

from opalwick.lab.verify.explorer import PropertyViolation, Transition
from opalwick.lab.verify.replayed import Replayed
from opalwick.post.controller.role import Controller
from opalwick.post.settings import Settings, parse
from opalwick.post.wire_pb2 import Hello, View
from opalwick.protocol.http import Message

CONTROLLERS = ("o1", "o2", "o3", "o4")  # o4 has no vote in the view that o1 has
GATEWAYS = ("g1", "g2")
ADDRESS = {name: f"10.0.0.{number}" for number, name in enumerate((*CONTROLLERS, *GATEWAYS), 1)}
NAME_OF = {ip: name for name, ip in ADDRESS.items()}
WORKER = "w1"
DRAINING = b'{"svc":"s","address":"10.9.0.1:80","capacity":1,"state":"draining","calls":2}'
LATER = 1.0  # s: longer than the time limit for a majority's answers


class Budget(NamedTuple):
    """How often each event may happen in one history."""

    drains: int = 1
    leaves: int = 0
    cut: int = 0
    joined: int = 0
    later: int = 0


class LinkStub:
    """A controller's link: messages sent on it are queued in the model."""

    queued_bytes = 0

    def __init__(self, model: NoticeModel, sender: str, peer: Hello) -> None:
        self.model, self.sender, self.peer, self.last_received = model, sender, peer, 0.0

    def send(self, kind: str, message: Any) -> None:
        if kind in ("news", "spread", "known"):
            self.model.queues.setdefault((self.sender, self.peer.node), []).append((kind, message))

    def finish(self) -> None:
        """Nothing is left to read: the model delivers the end of a link in order with its messages."""


class WorkerCall:
    """A worker's HTTP call and the status of its answer."""

    def __init__(self, method: bytes) -> None:
        self.message = Message(0.0)
        self.message.method, self.message.target = method, b"/workers/" + WORKER.encode()
        self.message.body = DRAINING
        self.status = 0

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        self.status = status


class SilentController(Controller):
    def event(self, number: int, **fields: Any) -> None: ...


def settings(name: str) -> Settings:
    seeds = ",".join(f"{ADDRESS[one]}:80" for one in CONTROLLERS[:3])
    return parse(
        f"node={name}\nrole=office\nip={ADDRESS[name]}\naz=n\nport_range=7240,7255\nseeds={seeds}\n"
        "bootstrap=true\nbinds.ctl=10.0.0.1:80\n",
        "small",
    )


SETTINGS = {name: settings(name) for name in CONTROLLERS}


class NoticeModel(Replayed):
    """Rules: `confirmed alone`, `confirmed untold`. If `replaced`, o2, o3 and o4 vote by a view that o1 has
    not received.
    """

    replaced = False

    def initialize(self) -> None:
        self.queues: dict[tuple[str, str], list[tuple[str, Any]]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.cut_once: set[tuple[str, str]] = set()
        self.controllers = {name: SilentController(SETTINGS[name], 1, 10.0, None) for name in CONTROLLERS}
        self.calls: list[WorkerCall] = []
        self.now = 10.0
        for a in CONTROLLERS:
            for b in (*CONTROLLERS, *GATEWAYS):
                if a != b:
                    self.link(a, b)
        voters = [ADDRESS[name] for name in (CONTROLLERS[1:] if self.replaced else CONTROLLERS[:3])]
        self.newest = View(epoch=7 if self.replaced else 0, voters=voters, members=voters[:2])
        for name in CONTROLLERS[1:] if self.replaced else ():
            self.controllers[name].views.view = self.newest
        self.queues.clear()

    def link(self, a: str, b: str) -> None:
        role = "office" if b in CONTROLLERS else "counter"
        self.controllers[a].add_link(
            LinkStub(self, a, Hello(node=b, role=role, ip=ADDRESS[b], zone="n", life=1))
        )

    def has_notice(self, controller: str) -> bool:
        known = self.controllers[controller].directory.workers.get(WORKER)
        return known is not None and (known.draining or known.gone)

    def enabled(self) -> list[Transition]:
        left = self.budget
        # messages to a gateway are not delivered: they stay in transit, or are lost with their link
        found: list[Transition] = [
            ("hears", to, sender) for sender, to in sorted(self.queues) if to in CONTROLLERS
        ]
        for name in CONTROLLERS[:2]:
            found += [("is told of a drain", name)] * bool(left.drains)
            found += [("is told of an end", name)] * bool(left.leaves)
        for pair in (
            (a, b) for a in CONTROLLERS for b in (*CONTROLLERS, *GATEWAYS) if a < b or b in GATEWAYS
        ):
            if left.cut and pair not in self.cuts:
                found.append(("cut", *pair))
            if left.joined and pair in self.cuts:
                found.append(("joined", *pair))
        return found + [("later", name) for name in CONTROLLERS[:1] if left.later]

    def spend(self, name: str) -> None:
        self.budget = self.budget._replace(**{name: getattr(self.budget, name) - 1})

    def apply(self, step: Transition) -> None:
        kind, me, *rest = step
        match kind:
            case "hears":
                message, *others = self.queues.pop((rest[0], me))
                if others:
                    self.queues[rest[0], me] = others
                self.receive(me, rest[0], *message)
            case "is told of a drain" | "is told of an end":
                self.spend("drains" if kind == "is told of a drain" else "leaves")
                call = WorkerCall(b"PUT" if kind == "is told of a drain" else b"DELETE")
                self.calls.append(call)
                self.controllers[me].called(call)  # type: ignore[arg-type]
            case "cut" | "joined":
                self.spend(kind)
                self.cuts ^= {(me, rest[0])}
                self.cut_once |= {(me, rest[0])}
                for a, b in ((me, rest[0]), (rest[0], me)):
                    self.queues.pop((a, b), None)
                    if a not in CONTROLLERS:
                        continue
                    if kind == "joined":
                        self.link(a, b)
                    else:
                        self.controllers[a].remove_link(self.controllers[a].links[b][0])
            case "later":
                self.spend("later")
                self.now += LATER
                self.controllers[me].clock(self.now)
                self.controllers[me].notices.tick(self.now)
        self.check()

    def receive(self, me: str, sender: str, kind: str, message: Any) -> None:
        if (line := self.controllers[me].link(sender)) is not None:
            self.controllers[me].receive(line, kind, message)

    def check(self) -> None:
        for call in self.calls:
            if call.status == 200:
                self.check_confirmed()

    def check_confirmed(self) -> None:
        informed = [name for name in CONTROLLERS if self.has_notice(name)]
        voters = {NAME_OF[ip] for ip in self.newest.voters}
        if 2 * len(voters.intersection(informed)) <= len(voters):
            raise PropertyViolation(
                "confirmed alone", f"{' and '.join(informed)} have the notice, of the voters {sorted(voters)}"
            )
        for gateway in GATEWAYS:
            linked = {name for name in voters if (name, gateway) not in self.cut_once}
            in_transit = any(
                message.workers and any(w.draining or w.gone for w in message.workers)
                for name in CONTROLLERS
                for _, message in self.queues.get((name, gateway), ())
            )
            if 2 * len(linked) > len(voters) and not in_transit:
                raise PropertyViolation(
                    "confirmed untold",
                    f"{gateway} is linked to {sorted(linked)}, and no notice is in transit",
                )

    def state(self) -> Any:
        queues = [
            (direction, [(kind, message.SerializeToString()) for kind, message in waits])
            for direction, waits in sorted(self.queues.items())
        ]
        controllers = [
            (
                self.has_notice(name),
                sorted(
                    (call, sorted(notice.known))
                    for call, notice in self.controllers[name].notices.waiting.items()
                ),
            )
            for name in CONTROLLERS
        ]
        return queues, controllers, sorted(self.cuts), [call.status for call in self.calls], self.now


class ReplacedVotersModel(NoticeModel):
    replaced = True
