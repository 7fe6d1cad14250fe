"""A maintenance window in a scenario: the operator who starts it, the crew that takes racks down and brings
them back, and an independent observer that measures capacity.

The observer measures the simulated machines and workers directly and does not use what the system reports.
"""

from __future__ import annotations

import json
from typing import Any

import msgspec

from opalwick.settings_file import Seconds
from opalwick.lab.post.day import PostDay, Service
from opalwick.lab.post.faults import Scene
from opalwick.lab.post.process import Machine
from opalwick.lab.post.workers import Worker, request
from opalwick.lab.post.world import World
from opalwick.post.maintenance.fleet import Fleet, LiveWorker
from opalwick.post.maintenance.fleet import Machine as Seen
from opalwick.post.maintenance.planner import Planner
from opalwick.post.maintenance.racks import check

POLL_INTERVAL = 0.3  # s between the crew's requests for the state of the window
OBSERVATION_INTERVAL = 0.05  # s between observations of the capacity
EXIT_POLL_INTERVAL = 0.05  # s between checks whether a process has exited after SIGTERM
COPIES = 2  # disks that hold each message
BLIND_PAUSE = 1.0  # s at least between two blind steps, which do not wait until returned racks are warm
CROWD = "/crowd/"  # path prefix of the extra partner's route


class Crew:
    """The operator, the maintenance crew and the observer of one scenario."""

    def __init__(self, world: World, scene: Scene) -> None:
        self.world, self.scene, self.day = world, scene, world.day
        window = world.day.window
        assert window is not None
        self.window = window
        self.draw = world.draws.of("crew")
        self.racks: dict[str, tuple[list[Machine], list[tuple[Service, str, tuple[str, int]]]]] = {}
        self.down: dict[str, bool] = {}  # racks that the crew has taken down: whether each is recalled
        self.handed: dict[str, int] = {}  # how often each rack was handed over
        self.seen: dict[str, Any] = {}  # the last state of the window that was received
        self.first: dict[str, Any] = {}
        self.refused: list[Any] = []
        self.cut_off = 0  # runs in progress or queued on workers of a rack when it was taken down
        self.few_copies = 0  # messages left on too few other stores when a store was taken down
        self.below = self.below_alone = 0.0  # s below the needs; thereof without other faults at that time
        self.lacks: dict[str, float] = {}  # s below, by need
        self.lost: dict[str, float] = {}  # slot-seconds lost, by service
        self.most_away = 0
        self.ended_at = 0.0
        begin = world.on_traffic

        def traffic() -> None:
            begin()
            self.begin()

        world.on_traffic = traffic

    def begin(self) -> None:
        """Assigns machines and workers to racks and schedules the window and its orders."""
        agenda, start = self.world.agenda, self.world.begins_at
        assigned: dict[tuple[str, str], int] = {}
        for zone in self.day.zones:
            for i in range(self.window.racks):
                own = [m for m in self.world.machines.values() if m.zone == zone and not i]
                self.racks[f"{zone}-{i + 1}"] = own, []
        for worker in self.world.workers:
            if not worker.service.static:
                key = worker.zone, worker.service.name
                assigned[key] = assigned.get(key, -1) + 1
                rack = f"{worker.zone}-{assigned[key] % self.window.racks + 1}"
                self.racks[rack][1].append((worker.service, worker.zone, worker.place))
        self.slots = {s.name: s.slots * s.workers for s in self.day.services if not s.static}
        agenda.at(start + float(self.window.at), self.start_blind if self.window.blind else self.start)
        for order in self.window.orders:
            agenda.at(start + float(order.at), self.order, order.what)
        self.observe()

    # ---- the operator

    def declaration(self) -> dict[str, Any]:
        """Returns the body of the request that starts the window."""
        w = self.window
        services = [s for s in self.day.services if not s.static]
        found: dict[str, Any] = {
            "name": self.day.title,
            "longest_s": float(w.whole),
            "together": w.together,
            "racks": [
                {
                    "name": name,
                    "longest_s": float(w.longest),
                    "machines": [m.node for m in machines],
                    "nets": [f"{place[0]}/32" for _, _, place in workers],
                }
                for name, (machines, workers) in self.racks.items()
            ],
            "needs": [
                {"service": s.name, "share": w.share, "least": w.least, "weight": w.weights.get(s.name, 1.0)}
                for s in services
            ],
            "own": {"copies": COPIES},
        }
        if w.shares:
            found["shares"] = [{"service": s.name, "routes": {}, "weights": w.partners} for s in services]
        return found

    def call(self, method: bytes, path: str, body: bytes, done: Any) -> None:
        """Sends a request to a random controller; `done` gets the status and the body."""
        office = self.draw.choice(self.world.of("office"))
        self.world.exchange(
            self.world,
            "operator",
            office,
            request(method, path, body=body),
            lambda status, answer, _: done(status, answer),
            1.0,
        )

    def start(self) -> None:
        body = json.dumps(self.declaration()).encode()

        def done(status: int, answer: bytes) -> None:
            if status == 200 or (status == 409 and b"running" in answer):
                self.poll()
                return
            if status == 409 and len(self.refused) < 20:
                self.refused.append([round(self.world.agenda.now, 3), json.loads(answer)["err"]])
            if self.world.agenda.now < self.world.ends_at:
                self.world.agenda.after(0.5, self.start)

        self.call(b"PUT", "/maintenance", body, done)

    def order(self, what: str) -> None:
        """Sends an order such as "back zone-1", again until the answer is clear."""
        what, _, rack = what.partition(" ")

        def done(status: int, answer: bytes) -> None:
            if status in (0, -1, 503, 504):
                self.world.agenda.after(0.3, self.order, f"{what} {rack}".strip())

        self.call(b"POST", f"/maintenance/{what}", json.dumps({"rack": rack}).encode(), done)

    def poll(self) -> None:
        """Polls the state of the window until it has ended, and has the crew act on it."""

        def done(status: int, answer: bytes) -> None:
            if status == 200:
                self.seen = json.loads(answer)
                self.first = self.first or self.seen
                if self.seen["phase"] in ("done", "aborted"):
                    self.ended_at = self.ended_at or self.world.agenda.now
                else:
                    self.act_on_state()
            if not self.ended_at:
                self.world.agenda.after(POLL_INTERVAL, self.poll)

        self.call(b"GET", "/maintenance", b"", done)

    # ---- without the maintenance coordinator, for comparison

    def start_blind(self) -> None:
        """Takes racks down step by step without regard to the state of the system."""
        self.seen = {"racks": {}, "phase": "running"}
        names = list(self.racks)
        if self.window.blind == "zones":
            steps = [[name for name in names if name.startswith(f"{zone}-")] for zone in self.day.zones]
        elif self.window.blind == "greedy":
            steps = self.greedy()
        else:
            steps = [[name] for name in names]
        self.next_blind(steps)

    def greedy(self) -> list[list[str]]:
        """Returns the steps of a greedy planner for the fleet at the start."""
        found = check(json.dumps(self.declaration()).encode()).unwrap()
        rate = self.day.rate / sum(s.share for s in self.day.services)
        fleet = Fleet(
            tuple(
                LiveWorker(w.id, w.service.name, w.zone, w.place[0], w.service.slots)
                for w in self.world.workers
                if not w.service.static
            ),
            tuple(Seen(m.node, m.role, m.zone, 1) for m in self.world.machines.values()),
            len(self.world.of("office")),
            {s.name: rate * s.share * float(s.work) for s in self.day.services},
        )
        return [list(step) for step in Planner(found, fleet).greedy()]

    def next_blind(self, steps: list[list[str]]) -> None:
        if self.down:
            self.world.agenda.after(0.1, self.next_blind, steps)
        elif steps:
            for name in steps[0]:
                self.take_rack_down(name)
            self.world.agenda.after(BLIND_PAUSE, self.next_blind, steps[1:])
        else:
            self.seen["phase"], self.ended_at = "done", self.world.agenda.now

    # ---- the crew

    def act_on_state(self) -> None:
        """Takes down the racks that are handed over, and marks those that are recalled."""
        for name, course in self.seen["racks"].items():
            if course["state"] == "away" and name not in self.down and not self.handed.get(name):
                self.take_rack_down(name)
            elif name in self.down and course["recalled"] and not self.down[name]:
                self.down[name] = True

    def take_rack_down(self, name: str) -> None:
        """Stops a rack's processes and workers, and brings it back after its time away."""
        machines, places = self.racks[name]
        world, agenda = self.world, self.world.agenda
        self.down[name], self.handed[name] = False, self.handed.get(name, 0) + 1
        fault_over = self.scene.record_fault("window", machines, planned=True)
        for machine in machines:
            self.few_copies += self.lacking(machine) if machine.role == "depot" else 0
            machine.term()
        for service, _, place in places:
            worker = world.at_address.get(place)
            if worker is not None and worker.service is service:
                self.cut_off += len(worker.running) + len(worker.queue)
                worker.end(False)

        left = list(machines)

        def off() -> None:
            for machine in list(left):
                proc: Any = machine.proc
                # the attribute is on the machine for real processes, on the process on the virtual clock
                if proc is None or not getattr(machine, "leaving", getattr(proc, "leaving", False)):
                    left.remove(machine)
                    machine.down(True)
            if left:
                agenda.after(EXIT_POLL_INTERVAL, off)
            else:
                agenda.after(float(self.window.away), self.return_rack, name, machines, places, fault_over)

        off()

    def lacking(self, machine: Machine) -> int:
        """Returns the number of unfinished messages that have too few replicas without that store."""

        def store_of(one: Machine) -> Any:
            role = getattr(one.proc, "role", None)  # the stores of real processes are not accessible
            return role.store if role is not None else None

        if (own := store_of(machine)) is None:
            return 0
        others = [k for m in self.world.of("depot") if m is not machine and (k := store_of(m)) is not None]
        return sum(
            sum(mid in k.entries for k in others) < COPIES and not any(mid in k.ends for k in others)
            for mid in own.entries
        )

    def return_rack(self, name: str, machines: list[Machine], places: Any, fault_over: Any) -> None:
        """Brings a rack back, unless the scenario says that it never returns."""
        if name in self.window.never and not any(
            order.what == f"back {name}" for order in self.window.orders
        ):
            return
        fault_over()
        for machine in machines:
            machine.back()
        for service, zone, place in places:
            if place not in self.world.at_address:
                self.world.add(service, zone, place)
        del self.down[name]

    # ---- the observer

    def observe(self) -> None:
        """Measures the capacity at regular intervals while the window lasts."""
        world = self.world
        if self.seen and not self.ended_at:
            self.note(OBSERVATION_INTERVAL)
        if world.agenda.now < world.ends_at:
            world.agenda.after(OBSERVATION_INTERVAL, self.observe)

    def out_of_service(self) -> set[tuple[str, int]]:
        """Returns the addresses of workers in racks that are draining, away or lost."""
        return {
            place
            for name, course in self.seen["racks"].items()
            if course["state"] in ("draining", "away", "lost")
            for _, _, place in self.racks[name][1]
        }

    def other_faults_active(self) -> bool:
        """Whether anything is unavailable for other reasons than the window."""
        own = {m.node for name in self.down for m in self.racks[name][0]}
        if any(m.node not in own and (m.proc is None or m.still) for m in self.world.machines.values()):
            return True
        if any(w.dark for w in self.world.workers):
            return True
        places = {place for name in self.down for _, _, place in self.racks[name][1]}
        every = {place for _, found in self.racks.values() for _, _, place in found}
        return any(place not in places and place not in self.world.at_address for place in every)

    def note(self, passed: float) -> None:
        """Adds the present shortfall against the needs for the `passed` seconds."""
        world, rests, short = self.world, self.out_of_service(), []
        for service in self.day.services:
            if service.static:
                continue
            live: list[Worker] = [
                w
                for w in world.workers
                if w.service is service and w.there and not w.dark and w.place not in rests
            ]
            if len(live) < self.window.least:
                short.append(f"workers of {service.name}")
            away = self.slots[service.name] - sum(w.service.slots for w in live)
            self.lost[service.name] = self.lost.get(service.name, 0.0) + max(0, away) * passed
        roles = ("counter", "depot", "office")
        up = {role: sum(m.proc is not None for m in world.of(role)) for role in roles}
        if up["depot"] < COPIES:
            short.append("depots")
        if up["office"] < len(world.of("office")) // 2 + 1:
            short.append("offices")
        if not up["counter"]:
            short.append("counters")
        if short:
            self.below += passed
            self.below_alone += 0.0 if self.other_faults_active() else passed
            for one in short:
                self.lacks[one] = self.lacks.get(one, 0.0) + passed
        self.most_away = max(self.most_away, len(self.down))

    def figures(self) -> dict[str, Any]:
        """Returns the measurements, under the keys of the JSON report."""
        weights = {s: slots * self.window.weights.get(s, 1.0) for s, slots in self.slots.items()}
        lost, fair = sum(self.lost.values()), sum(weights.values())
        over = (
            max(
                (self.lost.get(s, 0.0) / lost / (weight / fair) for s, weight in weights.items()), default=0.0
            )
            if lost
            else 0.0
        )
        return {
            "needs_below": round(self.below, 3),
            "needs_below_alone": round(self.below_alone, 3),
            "lacks": {need: round(seconds, 3) for need, seconds in self.lacks.items()},
            "share_max": round(over, 4),
            "phase": self.seen.get("phase", "never started"),
            "refused": self.refused[-1:],
            "cut_off": self.cut_off,
            "few_copies": self.few_copies,
            "why": self.seen.get("why", []),
            "handed_over": self.handed,
            "took": round(self.ended_at - self.world.begins_at, 3) if self.ended_at else None,
            "log": self.seen.get("log", []),
        }


# ---- an extra partner


class Crowd:
    """Sends messages for the first service on a route of its own, however many are rejected."""

    def __init__(self, world: World) -> None:
        self.world, self.draw = world, world.draws.of("crowd")
        self.service = world.day.services[0].name
        world.operator.extras[CROWD] = self.service
        begin = world.on_traffic

        def traffic() -> None:
            begin()
            world.agenda.at(world.begins_at, self.come)

        world.on_traffic = traffic

    def come(self) -> None:
        world = self.world
        if world.agenda.now < world.clients.until:
            zone = self.draw.choice(world.day.zones)
            world.clients.offer("crowd", zone, CROWD, self.service, 0.0)
            world.agenda.after(self.draw.expovariate(world.day.crowd), self.come)


def on_time_shares(rows: list[Any], day: PostDay, kind: str = "") -> dict[str, float]:
    """Returns, for messages of that kind, the share that was accepted within 80 ms and whose run began in
    time (`in_aim`), and the share that was accepted within the client's deadline and whose run began in time
    (`in_time`)."""
    aim, starts = 0.08, {s.name: float(s.start) for s in day.services}
    first: dict[int, tuple[float, float]] = {}
    message: dict[str, int] = {}
    stem: dict[int, str] = {}
    accepted: dict[int, float] = {}
    began: dict[int, float] = {}
    runs: dict[int, str] = {}
    for at, what, *f in rows:
        now = at / 1e6
        if what == "sent" and f[3] == kind:
            message[f[0]] = f[1]
            first.setdefault(f[1], (now, f[6]))
            stem[f[1]] = f[5].split("/")[1]
        elif what == "answer" and f[1] == 202 and f[0] in message:
            accepted.setdefault(message[f[0]], now)
        elif what == "arrived":
            runs[f[0]] = f[1]
        elif what == "began" and runs[f[0]] in message:
            began.setdefault(message[runs[f[0]]], now)
    timely = [
        n
        for n, (at, delay) in first.items()
        if n in accepted and began.get(n, 1e9) - at - delay <= starts.get(stem[n], 0.6)
    ]
    count = len(first) or 1
    return {
        "in_aim": sum(accepted[n] - first[n][0] <= aim for n in timely) / count,
        "in_time": len(timely) / count,
    }


def without_window(day: PostDay) -> PostDay:
    """Returns the scenario without its maintenance window."""
    return msgspec.structs.replace(day, window=None)


def at_most(day: PostDay, length: float) -> PostDay:
    """Returns the scenario with `length` seconds of traffic."""
    return msgspec.structs.replace(day, length=Seconds(length))
