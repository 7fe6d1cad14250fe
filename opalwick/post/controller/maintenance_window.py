"""The maintenance window at a controller: runs the maintenance coordinator on the controller's state. No I/O.

What the coordinator decides is written like a change of the configuration. Only the active primary runs it,
for as long as a majority answers. The primary's epoch is the coordinator's fencing token: disks refuse writes
of an older epoch. So only one coordinator is effective, and nothing from one that resumes late comes into
force.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Protocol

from returns.result import Success

from opalwick.post.directory import Directory
from opalwick.post.maintenance import shares
from opalwick.post.maintenance.coordinator import Coordinator, Refused
from opalwick.post.maintenance.fleet import Fleet, LiveWorker, Machine, contents
from opalwick.post.maintenance.needs import unmet_needs
from opalwick.post.maintenance.racks import check
from opalwick.post.maintenance.state import RESTING, State, read
from opalwick.post.controller.registry import Registry
from opalwick.post.controller.views import Views
from opalwick.post.base_role import Link
from opalwick.post.wire_pb2 import Conf, Node, Pulse

CHECK_INTERVAL = 0.25  # s between runs of the coordinator, as often as keepalives arrive
PEER_TIMEOUT = 1.0  # s without a message after which a machine counts as absent: four keepalives
DEMAND_WINDOW = 5.0  # s over which demand is averaged: a burst of 1 s must not revert a drain
DEMAND_TIMEOUT = 2.0  # s for which a gateway's last report counts towards demand
MAX_REASONS = 8  # most entries of `why` in the report

Answer = Callable[[int, bytes], None]


class GatewayReport:
    """The last report of a gateway."""

    __slots__ = ("at", "due", "resting", "seq")

    def __init__(self, at: float, message: Pulse) -> None:
        self.at, self.seq, self.resting = at, int(message.seq), int(message.resting)
        self.due = {svc: int(count) for svc, count in message.due.items()}


class CoordinatorHost(Protocol):
    """What the coordinator needs from its controller; implemented by the controller's role."""

    node: str
    zone: str
    life: int
    now: float  # s, this process's clock
    views: Views
    registry: Registry
    directory: Directory
    empty: dict[str, bool]  # by store: whether it reported that it has no messages left

    def link(self, node: str) -> Link | None: ...

    def nodes(self, role: str) -> list[Node]: ...

    def wait(self, answer: Answer) -> int:
        """Returns a call number; `answer` is called with the outcome of that change."""
        ...

    def window_moved(self, serial: int, phase: str, what: str, at: float) -> None: ...


class Window:
    """The maintenance window of one controller."""

    def __init__(self, office: CoordinatorHost) -> None:
        self.controller, self.coordinator = office, Coordinator()
        self.gateway_reports: dict[str, GatewayReport] = {}
        self.settled: dict[str, bool] = {}  # by store: whether its replicas are up to date
        self.demand: dict[str, float] = {}
        self.check_at = self.averaged_at = -1e9
        self.body = b""  # of the adopted state

    # ---- received reports

    def pulse(self, node: str, role: str, message: Pulse) -> None:
        """Handles the keepalive of a gateway or store."""
        if role == "depot":
            self.settled[node] = message.settled
        elif role == "counter" and message.seq:
            self.gateway_reports[node] = GatewayReport(self.controller.now, message)

    def process_ended(self, node: str) -> None:
        """A later process of a gateway or store has connected: it has reported nothing yet."""
        self.settled.pop(node, None)
        self.gateway_reports.pop(node, None)

    def published(self, conf: Conf) -> None:
        """Handles a configuration that came into force while this controller is the primary."""
        body = conf.window.state
        if body != self.body or self.coordinator.state is None:
            self.body = body
            self.coordinator.adopt(read(body), self.controller.now)

    # ---- state of the fleet

    def is_present(self, node: str) -> bool:
        link = self.controller.link(node)
        return node == self.controller.node or (
            link is not None and self.controller.now - link.last_received < PEER_TIMEOUT
        )

    def average_demand(self) -> None:
        """Updates the average demand from the due messages that gateways reported."""
        now, part = (
            self.controller.now,
            min(1.0, max(0.0, self.controller.now - self.averaged_at) / DEMAND_WINDOW),
        )
        self.averaged_at = now
        totals: dict[str, float] = {}
        for report in self.gateway_reports.values():
            if now - report.at < DEMAND_TIMEOUT:
                for svc, count in report.due.items():
                    totals[svc] = totals.get(svc, 0.0) + count
        for svc in sorted({*totals, *self.demand}):
            known = self.demand.get(svc, 0.0)
            self.demand[svc] = known + part * (totals.get(svc, 0.0) - known)

    def drained(self, conf: Conf) -> bool:
        """Whether every gateway has applied the change and has no delivery open at a resting worker."""
        for node in self.controller.nodes("counter"):
            report = self.gateway_reports.get(node.node)
            if (
                report is None
                or not self.is_present(node.node)
                or report.seq < conf.seq
                or report.resting
                or (self.controller.now - report.at > PEER_TIMEOUT)
            ):
                return False
        return True

    def fleet(self) -> Fleet:
        """The workers and machines that are present now."""
        controller = self.controller
        v, conf = controller.views, Conf.FromString(controller.views.in_force)
        static = {s.name for s in conf.services if s.static}
        chill = controller.registry.warm_at
        units = [
            LiveWorker(w.id, w.svc, w.zone, w.host, w.capacity, chill.get(w.id, 0.0) <= controller.now)
            for w in sorted(controller.directory.workers.values(), key=lambda w: w.id)
            if not (w.gone or w.silent or w.draining or w.svc in static)
        ]
        machines, missing = [], []
        known = {node.node: node for node in controller.directory.nodes.values() if not node.gone}
        retiring = set(conf.retiring)
        for name, node in sorted(known.items()):
            if not self.is_present(name):
                missing.append(name)
                continue
            if node.role == "office" and node.ip not in v.voters:
                continue  # without a vote it does not count for the majority
            settled = (
                node.role == "counter"
                or name == controller.node
                or (node.role == "depot" and self.settled.get(name, False))
                or (
                    node.role == "office" and controller.now - v.answered_at.get(node.ip, -1e9) < PEER_TIMEOUT
                )
            )
            # a store that is being emptied accepts no messages, whoever ordered it
            if not (node.role == "depot" and name in retiring and name not in self.emptied_stores()):
                machines.append(Machine(name, node.role, node.zone, int(node.life), settled))
        if controller.node not in known:
            machines.append(Machine(controller.node, "office", controller.zone, controller.life))
        return Fleet(
            tuple(units),
            tuple(machines),
            len(v.voters),
            dict(self.demand),
            tuple(missing),
            frozenset(name for name, empty in controller.empty.items() if empty and self.is_present(name)),
            self.drained(conf),
            max((route.limit for route in conf.routes), default=0.0),
        )

    def emptied_stores(self) -> list[str]:
        """Stores that are emptied for the window."""
        state = self.coordinator.state
        return state.depots if state is not None else []

    # ---- time

    def tick(self) -> None:
        c = self.coordinator
        if self.controller.views.state != "primary":
            if c.state is not None:
                c.forget()
                self.body = b""
            return
        if (
            c.state is None
            or c.state.over
            or self.controller.now < self.check_at
            or not self.controller.views.active
        ):
            return
        self.check_at = self.controller.now + CHECK_INTERVAL
        self.average_demand()
        wanted = c.next_state(self.controller.now, self.fleet())
        if wanted is not None:
            self.want(wanted, lambda status, _: None if status == 200 else c.refused())

    def want(self, state: State, answer: Answer) -> None:
        """Writes a new state; it comes into force once the backups have it."""
        v = self.controller.views
        newest = Conf.FromString(v.newest())
        before = read(newest.window.state)
        own = before.depots if before is not None else []
        wanted = [depot for depot in state.depots if depot in own or depot not in newest.retiring]
        kept = [name for name in newest.retiring if name not in own]
        del newest.retiring[:]
        newest.retiring.extend([*kept, *wanted])
        emptied = [name for name in newest.emptied if name in newest.retiring]
        del newest.emptied[:]
        newest.emptied.extend(emptied)
        w = newest.window
        del w.resting[:]
        w.resting.extend(state.rules)
        w.watched = not state.over
        w.shares = b"" if state.over else shares.packed(state.declared.shares)
        w.state = state.body()
        newest.seq += 1
        if state.log:
            last = state.log[-1]
            self.controller.window_moved(state.serial, state.phase, last["what"], last["at_s"])
        v.put(self.controller.wait(answer), newest.SerializeToString())

    # ---- operators

    def carry_out(self, what: str, body: bytes, answer: Answer) -> None:
        """At the primary: executes an operator's call. The answer is JSON with every status."""
        c = self.coordinator
        if not self.controller.views.active:
            answer(503, error_body("no primary is available"))
            return
        if what == "get":
            if c.state is None:
                answer(404, error_body("no window was ever started"))
            else:
                answer(200, json.dumps(self.report()).encode())
            return
        if what == "start":
            newest = Conf.FromString(self.controller.views.newest())
            found = check(body)
            if not newest.gen:
                answer(409, error_body("there is no configuration yet"))
                return
            if not isinstance(found, Success):
                answer(400, error_body(found.failure()))
                return
            self.average_demand()
            wanted = c.start(found.unwrap(), self.fleet())
        else:
            wanted = c.execute(what, self.controller.now, body.decode())
        if isinstance(wanted, Refused):
            answer(wanted.status, error_body(wanted.why))
            return
        if wanted is c.state:
            answer(200, b"{}")
            return
        c.wanted_at = self.controller.now

        def on_result(status: int, _: bytes) -> None:
            if status != 200:
                c.refused()
            answer(
                status, b"{}" if status == 200 else error_body("outcome unknown, it may be in force: retry")
            )

        self.want(wanted, on_result)

    def report(self) -> dict[str, Any]:
        """The state, with present against required capacity."""
        c, controller = self.coordinator, self.controller
        s = c.state
        assert s is not None
        now = s if s.over else c.now_as(controller.now)
        fleet = self.fleet()
        there = contents(s.declared, fleet)
        down = [there[name] for name in s.racks_in(*RESTING)]
        resting = {unit.id for content in down for unit in content.units}
        live: dict[str, int] = {}
        for unit in fleet.units:
            live[unit.svc] = live.get(unit.svc, 0) + (0 if unit.id in resting else unit.slots)
        return {
            "window": s.declared.name,
            "serial": s.serial,
            "epoch": controller.views.view.epoch,
            "conductor": controller.node,
            "phase": s.phase,
            "step": s.at,
            "steps": [list(one) for one in s.steps],
            "ran_s": now.ran_s,
            "why": c.why[:MAX_REASONS],
            "late": c.overdue,
            "racks": {
                name: {key: value for key, value in asdict(course).items() if key != "ids"}
                for name, course in now.racks.items()
            },
            "lost": now.lost,
            "fair": s.fair,
            "log": list(s.log),
            "live": live,
            "demand": self.demand,
            "declared": s.declared.json(),
            "needs": [
                {"need": one.need, "has": one.has, "needs": one.needs}
                for one in unmet_needs(s.declared, fleet, down)
            ],
        }


def error_body(why: str) -> bytes:
    return json.dumps({"err": why}).encode()
