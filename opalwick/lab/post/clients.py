"""Simulated clients, the platform's load balancer, queries for messages, and operators.

They record in the history: `sent`, `answer`, `broke`, `silent`; `asked`, `told`; `conf_sent`,
`conf_acked`, `conf_refused`, `conf_superseded`, `conf_seen`, `conf_read`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from opalwick.lab.draws import spread
from opalwick.lab.post.workers import header, request
from opalwick.post.names import base36

if TYPE_CHECKING:
    from opalwick.lab.post.day import Service
    from opalwick.lab.post.kept import KeptConnection
    from opalwick.lab.post.process import Machine
    from opalwick.lab.post.world import World
    from opalwick.protocol.http import Message

DEADLINE = 0.5  # s for all tries of a client
TARGET = 0.08  # s in which a 202 should come
RETRIES = 2
QUERY_TIMEOUT = 2.0  # s
FINAL_TRIES = 8  # for each query at the end
DEFINITE = (200, 400, 409, 412, 413, 422)  # answers after which an operator does not send again

Done = Callable[[int, bytes, tuple[str, ...]], None]


class Exchange:
    """One request, on a connection of its own or a persistent one. `done(status, ...)` gets 0 if the
    connection ended, -1 after the time-out."""

    __slots__ = (
        "done",
        "draw",
        "kept",
        "machine",
        "message",
        "origin",
        "over",
        "proc",
        "read",
        "timer",
        "world",
    )

    def __init__(
        self,
        world: World,
        origin: str,
        machine: Machine,
        message: Message,
        done: Done,
        timeout: float,
        kept: KeptConnection | None = None,
    ) -> None:
        """`origin`: a node of the network; empty: a client, whose links are never partitioned.
        `timeout` in s. `kept`: the persistent connection to use."""
        self.world, self.origin, self.machine, self.message, self.done = world, origin, machine, message, done
        self.kept = kept
        self.proc: Any = None
        self.read = self.over = False
        self.timer = world.agenda.after(timeout, self.finish, -1)
        proc = machine.proc
        if not machine.power or (origin and not self.whole()):
            return
        if proc is None:  # no listener
            world.agenda.after(2.0 * self.trip(), self.finish, 0)
        else:
            world.agenda.after(3.0 * self.trip(), self.ask, proc)

    def whole(self) -> bool:
        """Whether neither direction is partitioned."""
        net, node = self.world.net, self.machine.node
        return net.open(self.origin, node) and net.open(node, self.origin)

    def trip(self) -> float:
        """One-way latency, in s."""
        if self.origin:
            return self.world.net.delay(self.origin, self.machine.node)
        return self.world.day.network.client * (1.0 + 0.3 * self.world.net.draw.random())

    def ask(self, proc: Any) -> None:
        if self.over or (self.origin and not self.whole()):
            return
        if not proc.alive:
            if self.machine.power:
                self.world.agenda.after(self.trip(), self.finish, 0)
            return
        self.proc = proc
        proc.callers[self] = None
        proc.ask(self, self.message)

    # ---- called by the other side

    def told(self, status: int, body: bytes, fields: tuple[str, ...]) -> None:
        if not self.over and self.proc.alive:
            self.proc.callers.pop(self, None)
            self.world.agenda.after(self.trip(), self.comes, status, body, fields)

    def broken(self) -> None:
        self.world.agenda.after(self.trip(), self.comes, 0, b"", ())

    def comes(self, status: int, body: bytes, fields: tuple[str, ...]) -> None:
        if self.origin and not self.world.net.open(self.machine.node, self.origin):
            self.world.net.when_open(
                self.machine.node, self.origin, lambda: self.finish(status, body, fields)
            )
        else:
            self.finish(status, body, fields)

    def finish(self, status: int, body: bytes = b"", fields: tuple[str, ...] = ()) -> None:
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        if self.proc is not None:
            self.proc.callers.pop(self, None)
        if self.kept is not None:
            self.kept.answered(status > 0)
        self.done(status, body, fields)


class Platform:
    """The platform's load balancer: which gateways new connections go to, by readiness probes."""

    def __init__(self, world: World) -> None:
        self.world, self.draw = world, world.draws.of("platform")
        self.misses = {machine.node: 2 for machine in world.of("counter")}
        for machine in world.of("counter"):
            world.agenda.after(self.draw.random(), self.look, machine)

    def look(self, machine: Machine) -> None:
        ready = machine.power and machine.proc is not None and machine.proc.ready()  # type: ignore[attr-defined]
        self.misses[machine.node] = 0 if ready else self.misses[machine.node] + 1
        self.world.agenda.after(1.0, self.look, machine)

    def ready(self) -> list[Machine]:
        return [m for m in self.world.of("counter") if self.misses[m.node] < 2]

    def pick(self, zone: str) -> Machine:
        every = self.world.of("counter")
        near = [m for m in every if m.zone == zone]
        able = [m for m in near if self.misses[m.node] < 2]
        if able and 2 * len(able) < len(near):
            able = near
        return self.draw.choice(able or self.ready() or near or every)


class Want:
    """A message that a client wants delivered, through all its tries."""

    number: int
    kind: str
    host: str
    target: str
    body: bytes
    work: float
    first_at: float
    zone: str
    svc: str

    __slots__ = (
        "body",
        "delay",
        "first_at",
        "host",
        "kind",
        "number",
        "poison",
        "svc",
        "target",
        "tries",
        "work",
        "zone",
    )

    def __init__(self) -> None:
        self.tries, self.poison, self.delay = 0, 0, 0.0


class Clients:
    """Sends the traffic and queries accepted messages."""

    def __init__(self, world: World) -> None:
        self.world, self.draw, self.serial = world, world.draws.of("clients"), 0
        self.numbers = 0
        self.names: dict[str, str] = {}  # accepted messages: request id to the name that its client received
        self.burst, self.poisoned = 1.0, 0.0
        self.until = 0.0

    # ---- traffic

    def begin(self, until: float) -> None:
        self.until = until
        for zone in self.world.day.zones:
            self.next(zone)

    def next(self, zone: str) -> None:
        rate = self.world.day.rate / len(self.world.day.zones)
        if rate > 0:
            self.world.agenda.after(self.draw.expovariate(rate * self.burst), self.come, zone)

    def come(self, zone: str) -> None:
        day = self.world.day
        if self.world.agenda.now >= self.until or (day.most and self.numbers >= day.most):
            return
        service = self.service(zone)
        extras = self.world.operator.extras
        if extras and self.draw.random() < 0.06:
            stem, svc = self.draw.choice(sorted(extras.items()))
            self.offer("extra", zone, stem, svc, 0.7)
        else:
            self.offer("", zone, f"/{service.name}/", service.name, day.delayed)
        self.next(zone)

    def service(self, zone: str) -> Service:
        """The service of the next message from that zone."""
        services = self.world.day.services
        return self.draw.choices(services, [s.share for s in services])[0]

    def asked(self, rid: str) -> Machine:
        """The gateway that a query for the message goes to."""
        return self.draw.choice(self.world.platform.ready() or self.world.of("counter"))

    def offer(
        self, kind: str, zone: str, stem: str, svc: str, delayed: float, machine: Machine | None = None
    ) -> Want:
        day, draw = self.world.day, self.draw
        service = self.world.tables[svc].service if svc in self.world.tables else day.services[0]
        want = Want()
        self.numbers += 1
        want.number, want.kind, want.zone, want.svc = self.numbers, kind, zone, svc
        want.host, want.target = "lode17.example", f"{stem}{base36(draw.randrange(1 << 20))}?q={self.numbers}"
        want.body = base36(draw.randrange(1 << 40)).encode() * draw.choice((0, 1, 3, 20))
        want.body = want.body.ljust(day.body_bytes, b".")
        want.first_at, want.work = self.world.agenda.now, float(service.work)
        if draw.random() < delayed:
            want.delay = round(min(spread(draw, float(day.delay), 0.7), 20.0), 3)
        if draw.random() < day.poison + self.poisoned:
            want.poison = draw.choice((422, 500))
        self.attempt(want, machine)
        return want

    def attempt(self, want: Want, machine: Machine | None = None) -> None:
        world = self.world
        kept = None if machine is not None else world.kept.take(want.zone)
        chosen = machine or (kept.machine if kept is not None else world.platform.pick(want.zone))
        self.serial += 1
        rid = f"{self.serial:06x}"
        world.wants[rid] = want
        fields = {"x_request_id": rid, "x_deadline_ms": "500", "x_note": str(want.number)}
        if want.delay:
            fields["x_delay_ms"] = str(round(want.delay * 1000))
        world.note(
            "sent",
            rid,
            want.number,
            chosen.node,
            want.kind,
            want.host,
            want.target,
            want.delay,
            want.zone,
            want.poison,
        )
        left = want.first_at + DEADLINE - world.agenda.now
        want.tries += 1

        def done(status: int, body: bytes, headers: tuple[str, ...]) -> None:
            again = 0.02
            if status == 202:
                name = header(headers, "x-msg-id") or rid
                world.note("answer", rid, 202, name)
                self.accepted(rid, name, want)
                return
            if status == -1:
                world.note("silent", rid)
                return
            if status == 0:
                world.note("broke", rid, exchange.read)
                if exchange.read:
                    return
            else:
                world.note("answer", rid, status, "")
                if status not in (408, 421, 429, 503):
                    return
                again = float(header(headers, "retry-after") or 0.02)
            if (
                want.kind != "probe"
                and want.tries <= RETRIES
                and (world.agenda.now + again < want.first_at + DEADLINE - 0.02)
            ):
                world.agenda.after(again, self.attempt, want)

        exchange = world.exchange(
            world, "", chosen, request(b"POST", want.target, want.host, want.body, **fields), done, left, kept
        )

    # ---- queries for messages

    def accepted(self, rid: str, name: str, want: Want) -> None:
        self.names[rid] = name
        if self.draw.random() < self.world.day.asks:
            when = self.draw.expovariate(1.0 / 1.5) if self.draw.random() < 0.7 else 0.0
            self.world.agenda.after(when, self.ask, rid, self.draw.random() < 0.4, 1)

    def ask(self, rid: str, body: bool, tries: int) -> None:
        """Queries the state or the body; after a failure again, at most `tries` times."""
        world = self.world
        machine = self.asked(rid)
        want = world.wants[rid]
        what = "body" if body else "state"
        target = ("/message-body/" if body else "/message/") + self.names[rid]
        world.note("asked", rid, what, machine.node)

        def done(status: int, answer: bytes, fields: tuple[str, ...]) -> None:
            state = seal = ""
            same = False
            if status == 200 and body:
                same = answer == want.body
            elif status == 200:
                try:
                    found = json.loads(answer)
                    state, seal = found["state"], found.get("seal", "")
                except (ValueError, KeyError, TypeError):
                    state = "unreadable"
            world.note("told", rid, what, status, state, seal, same)
            if status != 200 and tries > 1:
                world.agenda.after(0.4, self.ask, rid, body, tries - 1)

        world.exchange(world, "", machine, request(b"GET", target, want.host), done, QUERY_TIMEOUT)

    def ask_all(self) -> None:
        """Final queries: states and bodies of all messages that may not have ended, states of some others."""
        for rid in self.names:
            if rid not in self.world.completed or self.draw.random() < 0.15:
                when = 0.5 * self.draw.random()
                self.world.agenda.after(when, self.ask, rid, False, FINAL_TRIES)
                if rid not in self.world.completed:
                    self.world.agenda.after(when, self.ask, rid, True, FINAL_TRIES)


class Operator:
    """Up to two operators at once, who change the configuration. Extra routes are added, moved and
    removed; the routes of the traffic stay."""

    def __init__(self, world: World) -> None:
        self.world, self.draw = world, world.draws.of("operator")
        self.gen = 2 + self.draw.randrange(5)
        self.extras: dict[str, str] = {}  # stem to service, as last sent
        self.limits = {s.name: float(s.limit) for s in world.day.services}
        self.count = 0
        self.bodies: list[bytes] = []
        self.valid: list[int] = []
        self.begun = False
        self.acks_lost = 0.0  # share of answers lost in transit
        self.acked: list[int] = []

    # ---- configurations

    def make(self, gen: int, valid: bool = True, wrong: str = "") -> int:
        """Builds a configuration and returns its key. `wrong`: a stem that only this one has; an error is
        added as well."""
        day = self.world.day
        services = {s.name: s for s in day.services}
        stems = {f"/{s.name}/": s.name for s in day.services} | self.extras
        if wrong:
            stems = stems | {wrong: day.services[0].name}
        routes: list[dict[str, Any]] = []
        for stem, svc in stems.items():
            s = services[svc]
            routes.append(
                {
                    "name": "r-" + stem.strip("/"),
                    "vhost": "lode17.example",
                    "stem": stem,
                    "type": "deferred",
                    "limit_ms": round(self.limits[svc] * 1000),
                    "target_ms": round(TARGET * 1000),
                    "prio": 1,
                    "svc": svc,
                    "tries": s.tries,
                    "fifo": False,
                    "retain_s": float(s.retain),
                    "notify": False,
                    "start_ms": round(float(s.start) * 1000),
                }
            )
        backends = [
            {
                "name": s.name,
                "probe": "/healthz",
                "max_conns": 64,
                "proto": "h1",
                "tls": False,
                "rate_per_s": s.rate,
                "dedup": s.dedup,
                "poll": False,
                "static": self.world.static(s),
            }
            for s in day.services
        ]
        fault = self.draw.randrange(4) if wrong else -1
        if fault == 0:
            routes[0]["svc"] = "nobody"
        elif fault == 1:
            routes.append({**routes[-1], "name": "r-twice"})
        elif fault == 2:
            routes[0]["limit_ms"] = 0
        body = json.dumps(
            {
                "gen": gen,
                "routing": routes,
                "backends": backends,
                "caps": {"head_bytes": 16384, "body_bytes": 262144},
            }
        ).encode()
        if fault == 3:
            body = body[:-9]
        self.bodies.append(body)
        key = len(self.bodies) - 1
        self.world.confs.append(
            {
                "gen": gen,
                "valid": valid,
                "routes": [
                    [r["vhost"], r["stem"], r["svc"], r["tries"], r["limit_ms"] / 1e3, r["retain_s"]]
                    for r in routes
                ],
            }
        )
        if valid:
            self.valid.append(key)
        return key

    def first(self) -> None:
        self.put(self.make(self.gen), lambda: self.world.traffic())

    def change(self) -> None:
        """Sends the next version: another limit, or an extra route added, removed or moved."""
        self.gen += self.draw.choice((1, 1, 2, 5))
        services = [s.name for s in self.world.day.services]
        stem = ""
        what = self.draw.random()
        if what < 0.45 or not self.extras:
            self.count += 1
            stem = f"/x{self.count}/"
            self.extras[stem] = self.draw.choice(services)
        elif what < 0.7:
            stem = self.draw.choice(sorted(self.extras))
            del self.extras[stem]
        elif what < 0.85:
            stem = self.draw.choice(sorted(self.extras))
            self.extras[stem] = self.draw.choice(services)
        else:
            svc = self.draw.choice(services)
            self.limits[svc] = round(self.limits[svc] * self.draw.uniform(0.9, 1.2), 3)
        self.put(self.make(self.gen), lambda: self.probe(stem))

    def rivals(self) -> None:
        """Two operators send different configurations under the same next version number."""
        self.gen += self.draw.choice((1, 2))
        services = [s.name for s in self.world.day.services]
        before = dict(self.extras)
        keys = []
        for _ in range(2):
            self.count += 1
            self.extras = before | {f"/x{self.count}/": self.draw.choice(services)}
            keys.append(self.make(self.gen))
        # which of the two routes is in force depends on the acknowledgement, so neither is probed
        self.extras = before
        for key in keys:
            self.put(key)

    def repeat(self) -> None:
        """Sends one of the last three acknowledged configurations again."""
        if self.acked:
            self.put(self.draw.choice(self.acked[-3:]))

    def look(self) -> None:
        """Reads the configuration in force from a random controller."""
        world, began = self.world, self.world.agenda.now
        machine = self.draw.choice(world.of("office"))

        def done(status: int, body: bytes, fields: tuple[str, ...]) -> None:
            if status == 200:
                keys = [key for key in self.valid if self.bodies[key] == body]
                world.note("conf_seen", keys[-1] if keys else -1, began, machine.node)

        world.exchange(world, "operator", machine, request(b"GET", "/conf"), done, 1.0)

    def stale(self) -> None:
        self.put(self.draw.choice(self.valid))

    def invalid(self) -> None:
        self.count += 1
        stem = f"/bad{self.count}/"
        self.put(self.make(self.gen + self.draw.choice((1, 3)), False, stem))
        self.probe(stem)

    def probe(self, stem: str) -> None:
        """Sends some messages directly to each ready gateway, on a route added, removed or never valid."""
        if stem:
            for machine in self.world.platform.ready():
                for _ in range(2):
                    self.world.agenda.after(
                        self.draw.uniform(0.02, 1.2 * float(self.world.day.bounds.apply)),
                        self.send,
                        stem,
                        machine,
                    )

    def send(self, stem: str, machine: Machine) -> None:
        if self.world.platform.misses[machine.node] < 2:
            svc = self.extras.get(stem, self.world.day.services[0].name)
            self.world.clients.offer("probe", machine.zone, stem, svc, 0.2, machine)

    def retire(self, node: str, done: Callable[[], None]) -> None:
        """Orders a store to be emptied and polls; calls `done` when it is complete, never if refused."""

        def answered(status: int, body: bytes, fields: tuple[str, ...], ordered: bool) -> None:
            if ordered and status == 200 and json.loads(body)["state"] == "complete":
                done()
                return
            if status not in (404, 409):
                self.world.agenda.after(0.3, ask, ordered or status == 200)

        def ask(ordered: bool) -> None:
            body = b"" if ordered else b'{"over_s":10}'
            message = request(b"GET" if ordered else b"POST", f"/retire/{node}", body=body)
            there = self.draw.choice(self.world.of("office"))
            self.world.exchange(
                self.world,
                "operator",
                there,
                message,
                lambda status, body, fields: answered(status, body, fields, ordered),
                1.0,
            )

        ask(False)

    # ---- calls to controllers

    def put(
        self, key: int, acknowledged: Callable[[], None] | None = None, turn: int = 0, office: int = -1
    ) -> None:
        world = self.world
        offices = world.of("office")
        machine = offices[office % len(offices)] if office >= 0 else self.draw.choice(offices)
        world.note("conf_sent", key, machine.node)

        def done(status: int, body: bytes, fields: tuple[str, ...]) -> None:
            if self.acks_lost and status in DEFINITE and self.draw.random() < self.acks_lost:
                status = -1
            if status == 200:
                if b"superseded" in body:
                    world.note("conf_superseded", key)
                else:
                    self.acked.append(key)
                world.note("conf_acked", key, machine.node)
                if acknowledged is not None:
                    acknowledged()
                world.acknowledged()
            elif status in DEFINITE:
                world.note("conf_refused", key, status)
            elif world.agenda.now < world.ends_at:
                pause = min(0.05 * 2.0**turn, 1.0)
                world.agenda.after(pause, self.put, key, acknowledged, turn + 1, machine.number + 1)

        world.exchange(world, "operator", machine, request(b"PUT", "/conf", body=self.bodies[key]), done, 1.0)

    def read(self, tries: int) -> None:
        world = self.world
        machine = self.draw.choice(world.of("office"))

        def done(status: int, body: bytes, fields: tuple[str, ...]) -> None:
            if status == 200:
                keys = [key for key in self.valid if self.bodies[key] == body]
                world.note("conf_read", keys[-1] if keys else -1)
            elif tries > 1:
                world.agenda.after(0.2, self.read, tries - 1)
            else:
                world.note("conf_read", -2)

        world.exchange(world, "operator", machine, request(b"GET", "/conf"), done, 1.0)
