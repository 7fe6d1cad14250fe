"""A fleet's scenario on sockets: a process per member, real signals, messages through the lab's relays."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from gevent import socket

from opalwick.lab.day import BadDay
from opalwick.lab.fleet.agents import Store
from opalwick.lab.fleet.day import DESCRIPTORS, FleetDay, descriptors
from opalwick.lab.fleet.faults import Scene
from opalwick.lab.fleet.virtual import history
from opalwick.lab.ledger import Ledger
from opalwick.lab.sockets.ports import HOST, free_port
from opalwick.lab.sockets.stage import READY, SLACK, Stage, dies_with_its_parent
from opalwick.lab.virtual import HELD
from opalwick.lab.world.worker import Worker

RELAY_LATE = 0.02  # seconds: above this p99 delay of the relays themselves the history is void
BELIEFS = ("believes", "claims", "granted", "limit")
BUSY_LOOP = "while True: pass"


def check_descriptors(day: FleetDay) -> None:
    """BadDay where the process's limit of file descriptors does not suffice for the scenario."""
    workers = sum(m.count for m in day.day().models)
    cut = any(f.kind == "workers_cut" for f in day.faults)
    need = 256 + workers + day.members * (DESCRIPTORS + (workers if cut else 0))
    if need > descriptors():
        raise BadDay(
            f"members: {day.members} on sockets need about {need} descriptors, this process may have "
            f"{descriptors()} (ulimit -n)"
        )


class FleetStage(Stage):
    # called with the elapsed seconds of the scenario
    told: Callable[[float], None] = staticmethod(lambda _: None)

    def __init__(self, day: FleetDay, seed: int, logs: Path, program: list[str] | None = None) -> None:
        """`program`: a stand-in's command instead of `serve`; its argument is its configuration's path."""
        self.fleet_day, self.rows, self.program = day, Ledger(), program
        n = day.members
        self.operator_ports: list[int] = []
        self.use_initial_list = [False] * n  # by member: whether its next start uses the initial list
        self.megabytes = [0.0] * n
        self.twins: dict[int, subprocess.Popen] = {}
        self.busy_processes: dict[int, list[subprocess.Popen]] = {}
        self.store = Store(self.note)
        relayed = any(f.kind == "workers_cut" for f in day.faults)
        super().__init__(day.day(), seed, logs, relayed=relayed)
        self.operator_ports = [free_port(self.ports) for _ in range(n)]
        self.scene = Scene(day, self.world, self, self.rows)
        self.world.on_push = self.pushed
        if program is not None:
            self.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.receiver.bind((HOST, free_port(self.ports, socket.SOCK_DGRAM)))
            gevent.spawn(self.receive)

    def note(self, what: str, *fields: Any) -> None:
        self.rows.note(self.agenda.now, what, *fields)

    def pushed(self, worker: Worker, share: float) -> None:
        self.note("pushed", worker.name, round(share, 3))

    # ---- messages

    def word(self, sender: int, receiver: int, data: bytes) -> list[tuple[float, bytes]]:
        copies = super().word(sender, receiver, data)
        self.note("word", sender, receiver, len(data), data[0] if data else -1, len(copies))
        return copies

    def receive(self) -> None:
        """Serves the store's own socket, whose links no fault affects."""
        places = {(HOST, port): i for i, port in enumerate(self.peer_ports)}
        while True:
            try:
                data, sender = self.receiver.recvfrom(2048)
            except OSError:  # closed at the end of the scenario
                return
            if sender in places:
                self.store.heard(places[sender], data)

    # ---- processes

    def write(self, i: int) -> Path:
        if self.program is not None:
            return self.write_agent(i)
        path = super().write(i)
        settings = json.loads(path.read_text())
        settings["records"] = str(self.logs / f"s{i}.records")
        settings["operator"] = f"{HOST}:{self.operator_ports[i]}"
        if "members" in self.fleet_day.parts:
            settings["fleet"] = {"members": True, "life": self.starts[i]}
        if self.megabytes[i]:
            settings["limits"]["memory_mb"] = self.megabytes[i]
        if self.use_initial_list[i]:
            for host in settings["known"]["hosts"]:  # all ready since long ago, as at the start
                host["health"], host["born_ms"] = "ready", 0
        path.write_text(json.dumps(settings))
        return path

    def write_agent(self, i: int) -> Path:
        assert self.words is not None
        peers = [list(self.words.place(j)) for j in range(self.day.schedulers)]
        peers.append(list(self.receiver.getsockname()))
        path = self.logs / f"s{i}.json"
        path.write_text(
            json.dumps(
                {
                    "me": i,
                    "members": self.day.schedulers,
                    "life": self.starts[i],
                    "listen": [HOST, self.peer_ports[i]],
                    "peers": peers,
                    "rows": str(self.logs / f"s{i}.records"),
                }
            )
        )
        return path

    def command(self, path: Path) -> list[str]:
        return super().command(path) if self.program is None else [*self.program, str(path)]

    def await_ready(self, i: int, process: Any) -> bool:
        ready = self.program is None and super().await_ready(i, process)
        if self.program is not None:
            rows, until = self.logs / f"s{i}.records", time.monotonic() + READY
            ready_mark = f'"what": "ready", "fields": [{self.starts[i]}]'
            while not ready and process.poll() is None and time.monotonic() < until:
                ready = rows.exists() and ready_mark in rows.read_text()
                gevent.sleep(0.02)
        if ready and self.running[i] is process:
            self.note("up", i, self.starts[i])
        return ready

    def down(self, i: int) -> None:
        self.note("down", i)
        self.starve(i, 0.0)
        super().down(i)

    def start_old(self, i: int) -> None:
        self.use_initial_list[i] = True
        self.start(i)
        self.use_initial_list[i] = False

    def twin(self, i: int, there: bool) -> None:
        if not there:
            if (process := self.twins.pop(i, None)) is not None:
                process.kill()
                process.wait()
                self.note("twin_gone", i)
            return
        self.starts[i] += 1
        path = self.write(i)
        settings = json.loads(path.read_text())
        port = free_port(self.ports, socket.SOCK_DGRAM)
        if self.program is not None:
            settings["listen"] = [HOST, port]
        else:
            # without list calls, as answers to it would be recorded as answers to the member of that name
            settings |= {"listen": f"{HOST}:0", "peer_listen": f"{HOST}:{port}", "operator": f"{HOST}:0"}
            settings |= {"discovery": f"{HOST}:{free_port(self.ports)}", "records": ""}
        path = path.with_name(f"s{i}-twin.json")
        path.write_text(json.dumps(settings))
        if self.words:
            self.words.listens(i, (HOST, port))
        self.twins[i] = self.launch(i, path)
        self.note("twin", i, self.starts[i])

    def starve(self, i: int, size: float) -> None:
        """Pins it to one core with as many busy processes (32 at most) as leave it one part in `size` + 1."""
        for busy_process in self.busy_processes.pop(i, []):
            busy_process.kill()
            busy_process.wait()
        process, cores = self.running[i], os.sched_getaffinity(0)
        if process is None or process.poll() is not None:
            return
        if not size:
            os.sched_setaffinity(process.pid, cores)
            return
        core = {sorted(cores)[i % len(cores)]}
        os.sched_setaffinity(process.pid, core)
        self.busy_processes[i] = [
            subprocess.Popen([sys.executable, "-c", BUSY_LOOP], preexec_fn=dies_with_its_parent)
            for _ in range(min(32, round(size)))
        ]
        for busy_process in self.busy_processes[i]:
            os.sched_setaffinity(busy_process.pid, core)

    def memory(self, i: int, megabytes: float) -> None:
        self.megabytes[i] = megabytes

    def by_hand(self, i: int, worker: str, out: bool) -> None:
        gevent.spawn(self.call, i, f"/workers/{'disable' if out else 'enable'}?who={worker}")

    def call(self, i: int, target: str) -> None:
        """Sends an operator's request; a failed one is ignored."""
        try:
            with socket.create_connection((HOST, self.operator_ports[i]), timeout=2.0) as sock:
                sock.sendall(f"PUT {target} HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n".encode())
                sock.recv(4096)
        except OSError:
            pass

    # ---- the scenario

    def begin(self) -> None:
        self.rows.rows.clear()
        for i in range(self.day.schedulers):  # all run at the start of the scenario
            self.note("up", i, self.starts[i])
        self.scene.begin("sockets", self.told)

    def shut(self) -> None:
        for i in list(self.twins):
            self.twin(i, False)
        for i in list(self.busy_processes):
            for busy_process in self.busy_processes.pop(i):
                busy_process.kill()
                busy_process.wait()
        if self.program is not None:
            self.receiver.close()
        for running in self.running:  # a suspended process cannot handle the signal to end
            if running is not None and running.poll() is None:
                running.send_signal(signal.SIGCONT)
        super().shut()

    def add_member_rows(self) -> None:
        """Adds the rows that the members recorded to the lab's own, in the order of time."""
        for i in range(self.day.schedulers):
            path = self.logs / f"s{i}.records"
            for line in path.read_text().splitlines() if path.exists() else []:
                try:
                    row = json.loads(line)
                    row = row["record"]["extra"]["fleet"] if "record" in row else row
                    at, what, fields = row["at"] - self.agenda.zero, row["what"], row["fields"]
                except (ValueError, KeyError, TypeError):
                    continue  # incomplete line: it was killed as it wrote
                # beliefs from before the start still hold; earlier actions are not part of the scenario
                if at >= 0 or what in BELIEFS:
                    self.rows.note(max(0.0, at), what, i, *map(self.lab_time, fields))
        self.rows.rows.sort(key=lambda row: row[0])

    def lab_time(self, value: Any) -> Any:
        """Converts a time of the members' clock, which is the machine's, to microseconds of the scenario."""
        return round((value["at"] - self.agenda.zero) * 1e6) if isinstance(value, dict) else value

    def relay_delay(self) -> float:
        """Delay of the relays themselves, in seconds at p99."""
        delays = sorted(self.words.delays) if self.words else []
        return delays[int(0.99 * (len(delays) - 1))] if delays else 0.0

    def void(self) -> str:
        """Why the scenario does not count; empty where it does."""
        if (why := self.agenda.void()) or self.relay_delay() <= RELAY_LATE:
            return why
        return (
            f"the relays were late: {self.relay_delay() * 1e3:.0f} ms at p99, over {RELAY_LATE * 1e3:g} ms; "
            "the machine is too busy for so many members"
        )


def play(
    day: FleetDay,
    seed: int,
    logs: Path | None = None,
    program: list[str] | None = None,
    told: Callable[[float], None] = lambda _: None,
) -> dict[str, Any]:
    """Plays a scenario in real time and returns its history.

    `told`: called with the elapsed seconds of the scenario.

    Raises:
        BadDay: for too few file descriptors.
        NotReady: where a member does not come up.
    """
    check_descriptors(day)
    with tempfile.TemporaryDirectory(prefix="opalwick-") as kept:
        stage = FleetStage(day, seed, logs or Path(kept), program)
        stage.told = told
        stage.logs.mkdir(parents=True, exist_ok=True)
        for old in stage.logs.glob("s*.records"):
            old.unlink()
        stage.play()
        stage.add_member_rows()
    return {
        **history(
            day,
            stage.scene,
            "sockets",
            SLACK + 4.0 * day.network.slowest(),
            HELD + float(day.network.connect),
        ),
        "void": stage.void(),
        "exits": stage.exits,
        "rude": stage.clients.bad_answered,
        "rude_unanswered": stage.clients.bad_unanswered,
        "late_ms": round(stage.agenda.worst * 1e3, 1),
        "relays_late_ms": round(stage.relay_delay() * 1e3, 2),
    }
