"""A day put up: machines, ways, workers, clients and operators on one agenda; and what those outside saw,
as rows."""

from __future__ import annotations

from collections import Counter
from typing import Any

from opalwick.lab.agenda import Agenda
from opalwick.lab.draws import Draws
from opalwick.lab.ledger import Ledger
from opalwick.lab.post.clients import Clients, Exchange, Operator, Platform, Want
from opalwick.lab.post.day import PostDay, Service
from opalwick.lab.post.kept import KeptConnections
from opalwick.lab.post.net import Net
from opalwick.lab.post.process import Machine
from opalwick.lab.post.roles import Sending
from opalwick.lab.post.strangers import Strangers
from opalwick.lab.post.workers import Run, Table, Worker, request

FIRST = 0.6  # s until the operator's first configuration
LEAD = 1.5  # s from its acknowledgement to the traffic
GIVE_UP = 15.0  # s until a day without a configuration ends
INSPECT = 0.5  # s between looks on the disks: a copy that is gone does not come back
ASKING = 4.5  # s that is asked back at the end


class World:
    """On the virtual clock; `sockets/world.py` has real processes in the place of machines and ways."""

    agenda_of: Any = Agenda
    machine_of: Any = Machine
    platform_of: Any = Platform
    exchange: Any = Exchange
    kept_of: Any = KeptConnections
    patience = GIVE_UP

    def __init__(self, day: PostDay, seed: int, words: bool = False) -> None:
        self.day, self.seed = day, seed
        self.agenda, self.draws, self.ledger = self.agenda_of(), Draws(seed), Ledger()
        self.words: list[tuple[float, str, str, str, bytes]] | None = [] if words else None
        self.problems: list[tuple[float, str, str, str]] = []
        self.net = Net(day, self.agenda, self.draws)
        self.machines = {
            node: self.machine_of(self, node, role, zone, i)
            for i, (node, (role, zone)) in enumerate(day.machines().items())
        }
        self.by_ip = {machine.ip: machine for machine in self.machines.values()}
        self.net.zones |= {machine.node: machine.zone for machine in self.machines.values()}
        self.net.zones["operator"] = day.zones[0]
        self.by_role = {
            role: [m for m in self.machines.values() if m.role == role]
            for role in ("counter", "depot", "office")
        }
        self.confs: list[dict[str, Any]] = []
        self.wants: dict[str, Want] = {}
        self.over: set[str] = set()  # messages that a worker has ended
        self.rids: dict[int, str] = {}  # of each run
        self.runs = self.spells = self.born = 0
        self.slow: dict[str, float] = {}
        self.more_errors: dict[str, float] = {}
        self.tables = {s.name: Table(self, s) for s in day.services}
        self.at_address: dict[tuple[str, int], Worker] = {}
        self.workers: list[Worker] = []
        self.platform, self.clients, self.operator = self.platform_of(self), Clients(self), Operator(self)
        self.strangers, self.kept = Strangers(self), self.kept_of(self)
        self.begins_at = 0.0
        self.ends_at = self.patience
        self.shaded: list[tuple[str, float, float]] = []
        self.closing: Any = None  # called once right after an acknowledgement
        self.on_traffic: Any = lambda: None
        self.crew: Any = None  # of a day with a maintenance window

    def note(self, what: str, *fields: Any) -> None:
        if what == "said" and fields[1] in (200, 422):
            self.over.add(self.rids[fields[0]])
        self.ledger.note(self.agenda.now, what, *fields)

    def disk_made(self, machine: Machine) -> None:
        """A machine has a disk with nothing on it."""

    def heard(self, end: Any, kind: str, word: Any) -> None:
        """A process hears a word on a link."""

    def of(self, role: str) -> list[Machine]:
        return self.by_role[role]

    # ---- the day

    def begin(self) -> None:
        for machine in self.machines.values():
            self.agenda.after(0.4 * machine.draw.random(), machine.start)
        for service in self.day.services:
            for i in range(1 if service.static else service.workers):
                self.add(service, self.day.zones[i % len(self.day.zones)])
        self.agenda.at(FIRST, self.operator.first)

    def traffic(self) -> None:
        """The first configuration is acknowledged."""
        day = self.day
        self.begins_at = self.agenda.now + LEAD
        until = self.begins_at + day.length
        self.ends_at = until + day.after + ASKING
        self.note("traffic", self.begins_at, until)
        self.agenda.at(self.begins_at, self.clients.begin, until)
        self.agenda.at(self.begins_at, self.strangers.begin)
        self.agenda.at(until + day.after, self.asks)
        self.on_traffic()
        self.inspect()

    def inspect(self) -> None:
        """Looks on all disks now and then, as those who made the trouble can: is each message still there?"""
        for rid, (letters, ends) in self.copies().items():
            if not letters and not ends:
                self.note("bare", rid)
        self.agenda.after(INSPECT, self.inspect)

    def copies(self) -> dict[str, tuple[int, int]]:
        """Of each message that was accepted and that no worker has ended: on how many depots' disks it is,
        and on how many its end is, whether the machines are up or not."""
        letters, ends = Counter[str](), Counter[str]()
        for machine in self.of("depot"):
            letters.update(row[0] for row in machine.disk.db.execute("select mid from letters"))
            ends.update(row[0] for row in machine.disk.db.execute("select mid from ends"))
        found = {}
        for rid, name in self.clients.names.items():
            if rid not in self.over:
                found[rid] = letters[name], ends[name]
        return found

    def asks(self) -> None:
        for rid, (letters, ends) in self.copies().items():
            if not ends:
                self.note("copies", rid, letters)
        self.note("asking")
        self.clients.ask_all()
        self.operator.read(12)

    def run(self) -> None:
        self.begin()
        while (when := self.agenda.next()) is not None and when <= self.ends_at:
            self.agenda.fire()
        for machine in self.machines.values():
            if machine.proc is not None:
                machine.proc.check_invariants()

    def acknowledged(self) -> None:
        if self.closing is not None and self.agenda.now >= self.closing[0]:
            (_, call), self.closing = self.closing, None
            call()

    def reset_links(self, pairs: set[tuple[str, str]]) -> None:
        """The connections between these machines, by who dialled and who was dialled."""
        for machine in self.machines.values():
            if machine.proc is not None:
                for end in list(machine.proc.all):
                    if (end.near, end.far) in pairs and not end.over:
                        end.reset()

    # ---- machines that come and go for good

    def join(self, role: str, zone: str) -> Machine:
        """One more, with a name, an address and a disk that nobody had before."""
        number = len(self.machines)
        node = f"{role}-{sum(m.role == role for m in self.machines.values())}"
        machine = self.machines[node] = self.machine_of(self, node, role, zone, number)
        machine.joined = True
        self.by_ip[machine.ip] = machine
        self.net.zones[node] = zone
        self.by_role[role].append(machine)
        machine.start()
        return machine

    def removed(self, machine: Machine) -> None:
        """It is gone, and its disk with it."""
        machine.down(True, True)
        self.by_role[machine.role].remove(machine)

    def named(self, names: list[str]) -> list[Machine]:
        """Machines that are there, by name, role or zone; all where none is given."""
        return [
            m
            for m in self.machines.values()
            if m in self.by_role[m.role] and (not names or {m.node, m.role, m.zone} & set(names))
        ]

    # ---- workers

    def static(self, service: Service) -> str | None:
        number = self.day.services.index(service)
        return f"172.20.0.{number + 1}:8043" if service.static else None

    def add(self, service: Service, zone: str, place: tuple[str, int] | None = None) -> None:
        self.born += 1
        if service.static:
            host, _, port = str(self.static(service)).rpartition(":")
            place = host, int(port)
        self.workers.append(Worker(self, service, self.born, zone, place or self.place()))

    def place(self) -> tuple[str, int]:
        """Of the worker that was born last."""
        return f"10.128.{self.born >> 8}.{self.born & 255}", 8080

    def vacated(self, worker: Worker) -> None:
        """Its end: it is no more among those that faults meet."""
        self.workers.remove(worker)

    def slowness(self, worker: Worker) -> float:
        return self.slow.get(worker.id, 1.0)

    def errors(self, worker: Worker) -> float:
        return self.more_errors.get(worker.id, 0.0)

    def intact(self, letter: Any) -> bool:
        """Whether a delivery is what its client sent."""
        want = self.wants.get(letter.rid)
        return (
            want is not None
            and (letter.method, letter.target, letter.body, letter.host)
            == (b"POST", want.target.encode(), want.body, want.host.encode())
            and [(f.name, f.value) for f in letter.fields if f.name == b"x-note"]
            == [(b"x-note", b"%d" % want.number)]
        )

    # ---- deliveries on their way

    def deliver(self, sending: Sending, worker: Worker) -> None:
        self.runs += 1
        run = sending.run = Run(self.runs, sending)
        self.rids[run.number] = run.rid
        machine = sending.proc.machine
        losses = machine.losses

        def arrives(held: bool) -> None:
            if held and machine.losses != losses:  # its kernel had it, and is no more
                return
            if not self.net.open(machine.node, worker.id):
                self.net.when_open(machine.node, worker.id, lambda: arrives(True))
                return
            if worker.dark:
                return
            worker.arrive(run)
            if run.closed and not run.over:
                worker.hung_up(run)

        self.agenda.after(self.net.delay(machine.node, worker.id), arrives, False)

    def back(self, run: Run, id: str, status: int, not_run: bool, seal: str, load: bytes) -> None:
        sending = run.sending
        node = sending.proc.node

        def comes() -> None:
            sending.proc.event(sending.answered, run, status, not_run, seal, load)

        self.agenda.after(self.net.delay(id, node), self.net.when_open, id, node, comes)

    def reset(self, run: Run, id: str) -> None:
        run.over = True
        sending = run.sending
        node = sending.proc.node
        self.agenda.after(
            self.net.delay(id, node), self.net.when_open, id, node, lambda: sending.proc.event(sending.broken)
        )

    def hang_up(self, sending: Sending) -> None:
        """The sender closes the connection while it waits on it."""
        run, sending.run = sending.run, None
        assert run is not None
        node, worker = sending.proc.node, sending.worker
        assert worker is not None

        def comes() -> None:
            if run.number in self.rids and not run.over:
                run.closed = True
                worker.hung_up(run)

        self.agenda.after(
            self.net.delay(node, worker.id) + 0.0001, self.net.when_open, node, worker.id, comes
        )

    def call(
        self,
        origin: str,
        machine: Machine,
        method: bytes,
        target: str,
        body: bytes,
        done: Any,
        patience: float,
    ) -> None:
        """A worker's call to an office."""
        self.exchange(
            self,
            origin,
            machine,
            request(method, target, body=body),
            lambda status, told, _: done(status, told),
            patience,
        )

    # ---- trouble, as whoever makes it knows

    def trouble(self, kind: str, planned: bool, nodes: list[str], pairs: list[tuple[str, str]]) -> int:
        self.spells += 1
        self.note("trouble", self.spells, kind, planned, nodes, [list(pair) for pair in pairs])
        return self.spells

    def well(self, number: int) -> None:
        self.note("well", number)

    def head(self) -> dict[str, Any]:
        day = self.day
        return {
            "day": day.title,
            "seed": self.seed,
            "ended": self.agenda.now,
            "began": self.begins_at,
            "length": float(day.length),
            "after": float(day.after),
            "room": not day.disk_mb or day.disk_mb >= 1.0,
            "bounds": {name: float(getattr(day.bounds, name)) for name in day.bounds.__struct_fields__},
            "machines": {node: [m.role, m.zone] for node, m in self.machines.items()},
            "services": {
                s.name: {"rate": s.rate, "dedup": s.dedup, "static": s.static} for s in day.services
            },
            "confs": self.confs,
            "faults": [list(shade) for shade in self.shaded],
            "problems": [list(problem) for problem in self.problems],
        }
