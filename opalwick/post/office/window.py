"""The maintenance window at an office: the conductor is fed with what the office knows, and what it wants is
written as a change of the configuration is. No I/O.

Only the active primary conducts. A majority made it that, for as long as a majority answers; its epoch is the
conductor's number, and a disk refuses a write of an older one. So there is one conductor, and one that wakes
late finds that nothing of it comes into force.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Protocol

from returns.result import Success

from opalwick.post.directory import Directory
from opalwick.post.maintenance import shares
from opalwick.post.maintenance.conductor import Conductor, Refused
from opalwick.post.maintenance.fleet import Fleet, Machine, Unit, contents
from opalwick.post.maintenance.needs import hurt
from opalwick.post.maintenance.racks import check
from opalwick.post.maintenance.state import RESTING, State, read
from opalwick.post.office.registry import Registry
from opalwick.post.office.views import Views
from opalwick.post.station import Link
from opalwick.post.wire_pb2 import Conf, Node, Pulse

LOOK = 0.25  # s between looks: as often as pulses come
HEARD = 1.0  # s without a word after which a machine is not there: four pulses
MEAN = 5.0  # s over which the demand is taken: a burst of a second is no reason to call a drain back
DUE = 2.0  # s of a counter's last figures that still count in the demand
WARM_IN = 8  # voters' silence and the like: entries of `why` that are told

Answer = Callable[[int, bytes], None]


class Told:
    """What a counter said last."""

    __slots__ = ("at", "due", "resting", "seq")

    def __init__(self, at: float, word: Pulse) -> None:
        self.at, self.seq, self.resting = at, int(word.seq), int(word.resting)
        self.due = {svc: int(count) for svc, count in word.due.items()}


class Host(Protocol):
    """What the conductor's host knows; the office's role is the one implementation."""

    node: str
    zone: str
    life: int
    now: float  # s, this process's clock
    views: Views
    registry: Registry
    directory: Directory
    empty: dict[str, bool]  # depots that say that nothing is left there

    def link(self, node: str) -> Link | None: ...

    def nodes(self, role: str) -> list[Node]: ...

    def wait(self, answer: Answer) -> int:
        """A number under which `answer` is called once a change is in force."""
        ...

    def window_moved(self, serial: int, phase: str, what: str, at: float) -> None: ...


class Window:
    def __init__(self, office: Host) -> None:
        self.o, self.conductor = office, Conductor()
        self.counters: dict[str, Told] = {}
        self.settled: dict[str, bool] = {}  # depots
        self.demand: dict[str, float] = {}
        self.look_at = self.mean_at = -1e9
        self.body = b""  # of the state that is adopted

    # ---- what is heard

    def pulse(self, node: str, role: str, word: Pulse) -> None:
        if role == "depot":
            self.settled[node] = word.settled
        elif role == "counter" and word.seq:
            self.counters[node] = Told(self.o.now, word)

    def published(self, conf: Conf) -> None:
        """It is in force, and this office is the primary."""
        body = conf.window.state
        if body != self.body or self.conductor.state is None:
            self.body = body
            self.conductor.adopt(read(body), self.o.now)

    # ---- what is there

    def there(self, node: str) -> bool:
        link = self.o.link(node)
        return node == self.o.node or (link is not None and self.o.now - link.last_received < HEARD)

    def average(self) -> None:
        """The demand, from what counters say is due."""
        now, part = self.o.now, min(1.0, max(0.0, self.o.now - self.mean_at) / MEAN)
        self.mean_at = now
        sums: dict[str, float] = {}
        for told in self.counters.values():
            if now - told.at < DUE:
                for svc, count in told.due.items():
                    sums[svc] = sums.get(svc, 0.0) + count
        for svc in sorted({*sums, *self.demand}):
            known = self.demand.get(svc, 0.0)
            self.demand[svc] = known + part * (sums.get(svc, 0.0) - known)

    def rested(self, conf: Conf) -> bool:
        """Every counter that may send has applied the change, and has nothing out at who rests."""
        for node in self.o.nodes("counter"):
            told = self.counters.get(node.node)
            if (
                told is None
                or not self.there(node.node)
                or told.seq < conf.seq
                or told.resting
                or (self.o.now - told.at > HEARD)
            ):
                return False
        return True

    def fleet(self) -> Fleet:
        o = self.o
        v, conf = o.views, Conf.FromString(o.views.in_force)
        static = {s.name for s in conf.services if s.static}
        chill = o.registry.chill_to
        units = [
            Unit(w.id, w.svc, w.zone, w.host, w.capacity, chill.get(w.id, 0.0) <= o.now)
            for w in sorted(o.directory.workers.values(), key=lambda w: w.id)
            if not (w.gone or w.silent or w.draining or w.svc in static)
        ]
        machines, missing = [], []
        known = {node.node: node for node in o.directory.nodes.values() if not node.gone}
        retiring = set(conf.retiring)
        for name, node in sorted(known.items()):
            if not self.there(name):
                missing.append(name)
                continue
            if node.role == "office" and node.ip not in v.voters:
                continue  # it has no part in the majority
            settled = (
                node.role == "counter"
                or name == o.node
                or (node.role == "depot" and self.settled.get(name, False))
                or (node.role == "office" and o.now - v.heard_at.get(node.ip, -1e9) < HEARD)
            )
            # one that is emptied takes nothing any more, whoever ordered it
            if not (node.role == "depot" and name in retiring and name not in self.own()):
                machines.append(Machine(name, node.role, node.zone, int(node.life), settled))
        if o.node not in known:
            machines.append(Machine(o.node, "office", o.zone, o.life))
        return Fleet(
            tuple(units),
            tuple(machines),
            len(v.voters),
            dict(self.demand),
            tuple(missing),
            frozenset(name for name, empty in o.empty.items() if empty and self.there(name)),
            self.rested(conf),
            max((route.limit for route in conf.routes), default=0.0),
        )

    def own(self) -> list[str]:
        """Depots that are emptied for the window."""
        state = self.conductor.state
        return state.depots if state is not None else []

    # ---- time

    def tick(self) -> None:
        c = self.conductor
        if self.o.views.state != "primary":
            if c.state is not None:
                c.forget()
                self.body = b""
            return
        if c.state is None or c.state.over or self.o.now < self.look_at or not self.o.views.active:
            return
        self.look_at = self.o.now + LOOK
        self.average()
        wanted = c.look(self.o.now, self.fleet())
        if wanted is not None:
            self.want(wanted, lambda status, _: None if status == 200 else c.refused())

    def want(self, state: State, answer: Answer) -> None:
        """It comes into force once the backups have it."""
        v = self.o.views
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
            self.o.window_moved(state.serial, state.phase, last["what"], last["at_s"])
        v.put(self.o.wait(answer), newest.SerializeToString())

    # ---- operators

    def carry_out(self, what: str, body: bytes, answer: Answer) -> None:
        """At the primary. Answers with JSON, whatever the status."""
        c = self.conductor
        if not self.o.views.active:
            answer(503, fault("no primary can answer now"))
            return
        if what == "get":
            if c.state is None:
                answer(404, fault("no window was ever started"))
            else:
                answer(200, json.dumps(self.told()).encode())
            return
        if what == "start":
            newest = Conf.FromString(self.o.views.newest())
            found = check(body)
            if not newest.gen:
                answer(409, fault("there is no configuration yet"))
                return
            if not isinstance(found, Success):
                answer(400, fault(found.failure()))
                return
            self.average()
            wanted = c.start(found.unwrap(), self.fleet())
        else:
            wanted = c.ordered(what, self.o.now, body.decode())
        if isinstance(wanted, Refused):
            answer(wanted.status, fault(wanted.why))
            return
        if wanted is c.state:
            answer(200, b"{}")
            return
        c.wanted_at = self.o.now

        def told(status: int, _: bytes) -> None:
            if status != 200:
                c.refused()
            answer(status, b"{}" if status == 200 else fault("it may be in force: ask again"))

        self.want(wanted, told)

    def told(self) -> dict[str, Any]:
        """The state, and what is there against what is needed."""
        c, o = self.conductor, self.o
        s = c.state
        assert s is not None
        now = s if s.over else c.now_as(o.now)
        fleet = self.fleet()
        there = contents(s.declared, fleet)
        down = [there[name] for name in s.of(*RESTING)]
        resting = {unit.id for content in down for unit in content.units}
        live: dict[str, int] = {}
        for unit in fleet.units:
            live[unit.svc] = live.get(unit.svc, 0) + (0 if unit.id in resting else unit.slots)
        return {
            "window": s.declared.name,
            "serial": s.serial,
            "epoch": o.views.view.epoch,
            "conductor": o.node,
            "phase": s.phase,
            "step": s.at,
            "steps": [list(one) for one in s.steps],
            "ran_s": now.ran_s,
            "why": c.why[:WARM_IN],
            "late": c.late,
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
                for one in hurt(s.declared, fleet, down)
            ],
        }


def fault(why: str) -> bytes:
    return json.dumps({"err": why}).encode()
