"""The simulated cluster of one scenario: machines, network, workers, clients and operators on one event
queue, and the history of what was observed from outside, as rows."""

from __future__ import annotations

import sqlite3
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
from opalwick.lab.post.replicas import ReplicaCounter
from opalwick.lab.post.roles import Attempt
from opalwick.lab.post.strangers import Strangers
from opalwick.lab.post.workers import Run, Table, Worker, request

FIRST_CONFIGURATION = 0.6  # s from the start to the operator's first configuration
TRAFFIC_DELAY = 1.5  # s from the acknowledgement of the first configuration to the start of the traffic
CONFIGURATION_TIMEOUT = 15.0  # s after which a scenario whose configuration was never acknowledged ends
INSPECTION_INTERVAL = (
    0.5  # s between inspections of the disks; a lost replica does not reappear, so none is missed
)
LOOKUP_TIME = 4.5  # s at the end during which clients look up the outcomes of their messages


class World:
    """The cluster on the virtual clock. `sockets/world.py` replaces machines and network by real processes
    on loopback sockets."""

    agenda_of: Any = Agenda
    machine_of: Any = Machine
    platform_of: Any = Platform
    exchange: Any = Exchange
    kept_of: Any = KeptConnections
    patience = CONFIGURATION_TIMEOUT

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
        self.replicas = ReplicaCounter(self)
        self.failed_runs: dict[str, int] = {}  # by request id: as the stores have counted them
        self.completed: set[str] = set()  # request ids of messages that a worker has completed
        self.rids: dict[int, str] = {}  # request id by run number
        self.runs = self.fault_count = self.born = 0
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
        self.after_ack: Any = (
            None  # (time, callback): called once, right after the first 202 from that time on
        )
        self.on_traffic: Any = lambda: None
        self.crew: Any = None  # the maintenance crew, in a scenario with a maintenance window

    def note(self, what: str, *fields: Any) -> None:
        """Appends a row to the history."""
        if what == "said" and fields[1] in (200, 422):
            self.completed.add(self.rids[fields[0]])
        self.ledger.note(self.agenda.now, what, *fields)

    def disk_made(self, machine: Machine) -> None:
        """Called when a machine gets a new, empty disk."""

    def peer_message_received(self, end: Any, kind: str, word: Any) -> None:
        """Called when a process receives a peer message on a link."""

    def of(self, role: str) -> list[Machine]:
        return self.by_role[role]

    # ---- the scenario

    def begin(self) -> None:
        for machine in self.machines.values():
            self.agenda.after(0.4 * machine.draw.random(), machine.start)
        for service in self.day.services:
            for i in range(1 if service.static else service.workers):
                self.add(service, self.day.zones[i % len(self.day.zones)])
        self.agenda.at(FIRST_CONFIGURATION, self.operator.first)

    def traffic(self) -> None:
        """Schedules the traffic; called when the first configuration is acknowledged."""
        day = self.day
        self.begins_at = self.agenda.now + TRAFFIC_DELAY
        until = self.begins_at + day.length
        self.ends_at = until + day.after + LOOKUP_TIME
        self.note("traffic", self.begins_at, until)
        self.agenda.at(self.begins_at, self.clients.begin, until)
        self.agenda.at(self.begins_at, self.strangers.begin)
        self.agenda.at(until + day.after, self.begin_lookups)
        self.on_traffic()
        self.inspect()

    def inspect(self) -> None:
        """Records periodically each message that is on no disk any more, as observed from outside the
        cluster."""
        for rid, (letters, ends) in self.copies().items():
            if not letters and not ends:
                self.note("bare", rid)
        self.inspect_replicas()
        self.agenda.after(INSPECTION_INTERVAL, self.inspect)

    def inspect_replicas(self) -> None:
        """Records what accepted messages have too few replicas of."""
        disks = [machine.disk.db for machine in self.of("depot")]
        self.replicas.read(disks)
        self.note_thin()
        self.note_failed_runs(disks)

    def note_thin(self) -> None:
        for rid, name in self.clients.names.items():
            if (found := self.replicas.lacking(name)) is not None:
                self.note("thin", rid, *found)

    def note_failed_runs(self, disks: list[sqlite3.Connection]) -> None:
        """Records how many failed runs of an accepted message the stores have counted."""
        counted = dict[str, int]()
        for disk in disks:
            for name, fails in disk.execute("select mid, fails from letters where fails > 0"):
                counted[name] = max(fails, counted.get(name, 0))
        for rid, name in self.clients.names.items():
            if counted.get(name, 0) > self.failed_runs.get(rid, 0):
                self.failed_runs[rid] = counted[name]
                self.note("failed", rid, counted[name])

    def copies(self) -> dict[str, tuple[int, int]]:
        """Returns, for each accepted message that no worker has completed, the number of store disks that
        hold it and the number that hold its end record, whether or not their machines are up."""
        letters, ends = Counter[str](), Counter[str]()
        for machine in self.of("depot"):
            letters.update(row[0] for row in machine.disk.db.execute("select mid from letters"))
            ends.update(row[0] for row in machine.disk.db.execute("select mid from ends"))
        found = {}
        for rid, name in self.clients.names.items():
            if rid not in self.completed:
                found[rid] = letters[name], ends[name]
        return found

    def begin_lookups(self) -> None:
        """Records the replica counts and has clients look up the outcomes, at the end of the scenario."""
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
        """Called after each acknowledgement to a client."""
        if self.after_ack is not None and self.agenda.now >= self.after_ack[0]:
            (_, call), self.after_ack = self.after_ack, None
            call()

    def reset_links(self, pairs: set[tuple[str, str]]) -> None:
        """Resets the connections between these pairs of (dialling, dialled) machines."""
        for machine in self.machines.values():
            if machine.proc is not None:
                for end in list(machine.proc.all):
                    if (end.near, end.far) in pairs and not end.over:
                        end.reset()

    # ---- machines that are added or removed for good

    def join(self, role: str, zone: str) -> Machine:
        """Adds and starts a machine with a new name, address and disk."""
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
        """Removes a machine together with its disk."""
        machine.down(True, True)
        self.by_role[machine.role].remove(machine)

    def named(self, names: list[str]) -> list[Machine]:
        """Returns the present machines that match any of the node names, roles or zones; all if none is
        given."""
        return [
            m
            for m in self.machines.values()
            if m in self.by_role[m.role] and (not names or {m.node, m.role, m.zone} & set(names))
        ]

    # ---- workers

    def static(self, service: Service) -> str | None:
        """Returns the configured address of a static service, or None."""
        number = self.day.services.index(service)
        return f"172.20.0.{number + 1}:8043" if service.static else None

    def add(self, service: Service, zone: str, place: tuple[str, int] | None = None) -> None:
        self.born += 1
        if service.static:
            host, _, port = str(self.static(service)).rpartition(":")
            place = host, int(port)
        self.workers.append(Worker(self, service, self.born, zone, place or self.place()))

    def place(self) -> tuple[str, int]:
        """Returns the address for the worker created last."""
        return f"10.128.{self.born >> 8}.{self.born & 255}", 8080

    def worker_removed(self, worker: Worker) -> None:
        """Called when a worker has ended: faults no longer select it."""
        self.workers.remove(worker)

    def slowness(self, worker: Worker) -> float:
        return self.slow.get(worker.id, 1.0)

    def errors(self, worker: Worker) -> float:
        return self.more_errors.get(worker.id, 0.0)

    def intact(self, letter: Any) -> bool:
        """Whether a delivered message equals what its client sent."""
        want = self.wants.get(letter.rid)
        return (
            want is not None
            and (letter.method, letter.target, letter.body, letter.host)
            == (b"POST", want.target.encode(), want.body, want.host.encode())
            and [(f.name, f.value) for f in letter.fields if f.name == b"x-note"]
            == [(b"x-note", b"%d" % want.number)]
        )

    # ---- deliveries in flight

    def deliver(self, attempt: Attempt, worker: Worker) -> None:
        """Sends an attempt to a worker over the simulated network."""
        self.runs += 1
        run = attempt.run = Run(self.runs, attempt)
        self.rids[run.number] = run.rid
        machine = attempt.proc.machine
        losses = machine.losses

        def arrives(held: bool) -> None:
            # the message waited in the sender's kernel, and the machine has since lost power
            if held and machine.losses != losses:
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
        """Returns a worker's answer to the sender; `seal` is the completion token."""
        attempt = run.sending
        node = attempt.proc.node

        def arrives() -> None:
            attempt.proc.event(attempt.answered, run, status, not_run, seal, load)

        self.agenda.after(self.net.delay(id, node), self.net.when_open, id, node, arrives)

    def back_again(self, run: Run, id: str, status: int, not_run: bool, seal: str, load: bytes) -> None:
        """Returns a second copy of an answer, on the same connection."""
        attempt = run.sending
        node = attempt.proc.node

        def arrives() -> None:
            attempt.proc.event(attempt.answered_again, run, status, not_run, seal, load)

        self.agenda.after(self.net.delay(id, node), self.net.when_open, id, node, arrives)

    def reset(self, run: Run, id: str) -> None:
        """Resets the connection of a run from the worker's side."""
        run.over = True
        attempt = run.sending
        node = attempt.proc.node
        self.agenda.after(
            self.net.delay(id, node), self.net.when_open, id, node, lambda: attempt.proc.event(attempt.broken)
        )

    def hang_up(self, attempt: Attempt) -> None:
        """The sender closes the connection before the answer has arrived."""
        run, attempt.run = attempt.run, None
        assert run is not None
        node, worker = attempt.proc.node, attempt.worker
        assert worker is not None

        def arrives() -> None:
            if run.number in self.rids and not run.over:
                run.closed = True
                worker.hung_up(run)

        self.agenda.after(
            self.net.delay(node, worker.id) + 0.0001, self.net.when_open, node, worker.id, arrives
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
        """Sends a worker's request to a controller. `patience`: time-out in seconds."""
        self.exchange(
            self,
            origin,
            machine,
            request(method, target, body=body),
            lambda status, answer, _: done(status, answer),
            patience,
        )

    # ---- periods of faults, as recorded by the fault injection

    def fault_started(self, kind: str, planned: bool, nodes: list[str], pairs: list[tuple[str, str]]) -> int:
        """Records that a fault begins; returns its number for `well`."""
        self.fault_count += 1
        self.note("trouble", self.fault_count, kind, planned, nodes, [list(pair) for pair in pairs])
        return self.fault_count

    def fault_ended(self, number: int) -> None:
        """Records that a fault has ended."""
        self.note("well", number)

    def head(self) -> dict[str, Any]:
        """Returns the header of the history, with what the judge needs about the scenario."""
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
