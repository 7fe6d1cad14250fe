"""A fleet's day on sockets: a process a member, real signals, all words through relays of the lab's own."""

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

LATE = 0.02  # seconds: words that the relays themselves held longer, at p99, say nothing of the members
HOLDS = ("believes", "claims", "granted", "limit")
BURN = "while True: pass"


def bears(day: FleetDay) -> None:
    """BadDay where this machine's descriptors do not suffice."""
    workers = sum(m.count for m in day.day().models)
    cut = any(f.kind == "workers_cut" for f in day.faults)
    need = 256 + workers + day.members * (DESCRIPTORS + (workers if cut else 0))
    if need > descriptors():
        raise BadDay(
            f"members: {day.members} on sockets need about {need} descriptors, this process may have "
            f"{descriptors()} (ulimit -n)"
        )


class FleetStage(Stage):
    told: Callable[[float], None] = staticmethod(lambda _: None)  # of the seconds that are over

    def __init__(self, day: FleetDay, seed: int, logs: Path, program: list[str] | None = None) -> None:
        """`program`: a stand-in's command in the place of `serve`; it gets its configuration's path."""
        self.fleet_day, self.rows, self.program = day, Ledger(), program
        n = day.members
        self.operators: list[int] = []
        self.old = [False] * n  # starts with the list of the day's start
        self.megabytes = [0.0] * n
        self.twins: dict[int, subprocess.Popen] = {}
        self.burners: dict[int, list[subprocess.Popen]] = {}
        self.store = Store(self.note)
        relayed = any(f.kind == "workers_cut" for f in day.faults)
        super().__init__(day.day(), seed, logs, relayed=relayed)
        self.operators = [free_port(self.ports) for _ in range(n)]
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

    # ---- words

    def word(self, one: int, other: int, octets: bytes) -> list[tuple[float, bytes]]:
        copies = super().word(one, other, octets)
        self.note("word", one, other, len(octets), octets[0] if octets else -1, len(copies))
        return copies

    def receive(self) -> None:
        """The store's own socket, to which no fault stands in the way."""
        places = {(HOST, port): i for i, port in enumerate(self.peer_ports)}
        while True:
            try:
                octets, sender = self.receiver.recvfrom(2048)
            except OSError:  # the day is over
                return
            if sender in places:
                self.store.heard(places[sender], octets)

    # ---- processes

    def write(self, i: int) -> Path:
        if self.program is not None:
            return self.write_agent(i)
        path = super().write(i)
        found = json.loads(path.read_text())
        found["records"] = str(self.logs / f"s{i}.records")
        found["operator"] = f"{HOST}:{self.operators[i]}"
        if "members" in self.fleet_day.parts:
            found["fleet"] = {"members": True, "life": self.starts[i]}
        if self.megabytes[i]:
            found["limits"]["memory_mb"] = self.megabytes[i]
        if self.old[i]:
            for host in found["known"]["hosts"]:  # all ready since long ago, as the day began
                host["health"], host["born_ms"] = "ready", 0
        path.write_text(json.dumps(found))
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
            mark = f'"what": "ready", "fields": [{self.starts[i]}]'
            while not ready and process.poll() is None and time.monotonic() < until:
                ready = rows.exists() and mark in rows.read_text()
                gevent.sleep(0.02)
        if ready and self.running[i] is process:
            self.note("up", i, self.starts[i])
        return ready

    def down(self, i: int) -> None:
        self.note("down", i)
        self.starve(i, 0.0)
        super().down(i)

    def start_old(self, i: int) -> None:
        self.old[i] = True
        self.start(i)
        self.old[i] = False

    def twin(self, i: int, there: bool) -> None:
        if not there:
            if (process := self.twins.pop(i, None)) is not None:
                process.kill()
                process.wait()
                self.note("twin_gone", i)
            return
        self.starts[i] += 1
        path = self.write(i)
        found = json.loads(path.read_text())
        port = free_port(self.ports, socket.SOCK_DGRAM)
        if self.program is not None:
            found["listen"] = [HOST, port]
        else:
            # it asks no list: what it is told would pass for told to the one whose name it bears
            found |= {"listen": f"{HOST}:0", "peer_listen": f"{HOST}:{port}", "operator": f"{HOST}:0"}
            found |= {"discovery": f"{HOST}:{free_port(self.ports)}", "records": ""}
        path = path.with_name(f"s{i}-twin.json")
        path.write_text(json.dumps(found))
        if self.words:
            self.words.listens(i, (HOST, port))
        self.twins[i] = self.launch(i, path)
        self.note("twin", i, self.starts[i])

    def starve(self, i: int, size: float) -> None:
        """As many others on its core as make it a part in `size` and one more."""
        for burner in self.burners.pop(i, []):
            burner.kill()
            burner.wait()
        process, cores = self.running[i], os.sched_getaffinity(0)
        if process is None or process.poll() is not None:
            return
        if not size:
            os.sched_setaffinity(process.pid, cores)
            return
        core = {sorted(cores)[i % len(cores)]}
        os.sched_setaffinity(process.pid, core)
        self.burners[i] = [
            subprocess.Popen([sys.executable, "-c", BURN], preexec_fn=dies_with_its_parent)
            for _ in range(min(32, round(size)))
        ]
        for burner in self.burners[i]:
            os.sched_setaffinity(burner.pid, core)

    def memory(self, i: int, megabytes: float) -> None:
        self.megabytes[i] = megabytes

    def by_hand(self, i: int, worker: str, out: bool) -> None:
        gevent.spawn(self.call, i, f"/workers/{'disable' if out else 'enable'}?who={worker}")

    def call(self, i: int, target: str) -> None:
        """An operator's call; one that nobody takes is an operator's matter."""
        try:
            with socket.create_connection((HOST, self.operators[i]), timeout=2.0) as sock:
                sock.sendall(f"PUT {target} HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n".encode())
                sock.recv(4096)
        except OSError:
            pass

    # ---- the day

    def begin(self) -> None:
        self.rows.rows.clear()
        for i in range(self.day.schedulers):  # all are there as the day begins
            self.note("up", i, self.starts[i])
        self.scene.begin("sockets", self.told)

    def shut(self) -> None:
        for i in list(self.twins):
            self.twin(i, False)
        for i in list(self.burners):
            for burner in self.burners.pop(i):
                burner.kill()
                burner.wait()
        if self.program is not None:
            self.receiver.close()
        for running in self.running:  # one that stands still could not even be asked to end
            if running is not None and running.poll() is None:
                running.send_signal(signal.SIGCONT)
        super().shut()

    def recorded(self) -> None:
        """What the members recorded, among the lab's own rows."""
        for i in range(self.day.schedulers):
            path = self.logs / f"s{i}.records"
            for line in path.read_text().splitlines() if path.exists() else []:
                try:
                    row = json.loads(line)
                    row = row["record"]["extra"]["fleet"] if "record" in row else row
                    at, what, fields = row["at"] - self.agenda.zero, row["what"], row["fields"]
                except (ValueError, KeyError, TypeError):
                    continue  # it was killed as it wrote
                # what it had taken for true before the day began still holds; what it did is not of the day
                if at >= 0 or what in HOLDS:
                    self.rows.note(max(0.0, at), what, i, *map(self.plain, fields))
        self.rows.rows.sort(key=lambda row: row[0])

    def plain(self, value: Any) -> Any:
        """Times of the members' clock, which is the machine's, as the lab's in whole microseconds."""
        return round((value["at"] - self.agenda.zero) * 1e6) if isinstance(value, dict) else value

    def behind(self) -> float:
        """How late the relays were themselves, in seconds at p99."""
        late = sorted(self.words.behind) if self.words else []
        return late[int(0.99 * (len(late) - 1))] if late else 0.0

    def void(self) -> str:
        if (why := self.agenda.void()) or self.behind() <= LATE:
            return why
        return (
            f"the relays were late: {self.behind() * 1e3:.0f} ms at p99, and more than {LATE * 1e3:g} ms; "
            "the machine is too busy for so many members"
        )


def play(
    day: FleetDay,
    seed: int,
    logs: Path | None = None,
    program: list[str] | None = None,
    told: Callable[[float], None] = lambda _: None,
) -> dict[str, Any]:
    """The history of one day; it takes as long as the day. NotReady where a member does not come up."""
    bears(day)
    with tempfile.TemporaryDirectory(prefix="opalwick-") as kept:
        stage = FleetStage(day, seed, logs or Path(kept), program)
        stage.told = told
        stage.logs.mkdir(parents=True, exist_ok=True)
        for old in stage.logs.glob("s*.records"):
            old.unlink()
        stage.play()
        stage.recorded()
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
        "rude": stage.clients.rude,
        "rude_unanswered": stage.clients.owed,
        "late_ms": round(stage.agenda.worst * 1e3, 1),
        "relays_late_ms": round(stage.behind() * 1e3, 2),
    }
