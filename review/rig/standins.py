"""Stand-ins for workers and clients, by PROTOCOL.md."""

from __future__ import annotations

import json
import socket
import threading
import time
import uuid
from typing import Any

from rig.deployment import CTL, FRONT, Answer, Deployment, Machine, call

QUEUE = 24  # messages that a worker lets wait, as at the sites


class Run:
    """A message that a worker began to work on."""

    def __init__(self, rid: str, worker: str, at: float, path: str) -> None:
        self.rid, self.worker, self.at, self.path = rid, worker, at, path
        self.seal = ""  # of the answer, once it was sent whole


class Worker:
    """A sound worker: works on each request for `work_s` and answers with a success; sends its beats."""

    def __init__(
        self,
        deployment: Deployment,
        svc: str,
        zone: str,
        number: int,
        capacity: int = 6,
        work_s: float = 0.03,
    ) -> None:
        self.deployment, self.svc, self.zone, self.capacity, self.work_s = (
            deployment,
            svc,
            zone,
            capacity,
            work_s,
        )
        self.id, self.calls, self.ended, self.state = f"i-{uuid.uuid4().hex[:8]}", 0, False, "up"
        self.address = f"{deployment.net}.{150 + number}", 8080
        self.runs: list[Run] = []
        self.lock, self.slots = threading.Lock(), threading.Semaphore(capacity)
        self.running = self.waiting = 0
        self.door = socket.socket()
        self.door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.door.bind(self.address)
        self.door.listen(256)
        deployment.workers.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def end(self) -> None:
        self.ended = True
        self.door.close()

    def beat(self) -> None:
        at = 0
        while not self.ended:
            self.say(at)
            at += 1
            time.sleep(1.2)

    def say(self, at: int = 0) -> bool:
        self.calls += 1
        body = json.dumps(
            {
                "svc": self.svc,
                "address": f"{self.address[0]}:{self.address[1]}",
                "az": self.zone,
                "gen": "v1",
                "capacity": self.capacity,
                "state": self.state,
                "chill_ms": 0,
                "calls": self.calls,
            }
        ).encode()
        core = [m for m in self.deployment.of("core") if m.proc is not None]
        for k in range(len(core)):
            machine = core[(at + k) % len(core)]
            got = call(
                (machine.ip, CTL),
                "PUT",
                f"/workers/{self.id}",
                body,
                {"Content-Type": "application/json"},
                within=1.0,
            )
            if 200 <= got.status < 300:
                return True
        return False

    def accept(self) -> None:
        while not self.ended:
            try:
                connection = self.door.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        try:
            while not self.ended:
                line = file.readline()
                if not line:
                    return
                method, path, _ = line.decode("latin-1").split(" ", 2)
                headers: dict[str, str] = {}
                while field := file.readline().strip():
                    name, _, value = field.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = file.read(int(headers.get("content-length", "0")))
                self.handle(connection, method, path, headers, body)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def handle(
        self, connection: socket.socket, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        if method == "GET" and path == "/healthz":  # a probe waits for a slot
            with self.slots:
                self.answer(connection, 200, {})
            return
        rid = headers.get("x-request-id", "")
        if headers.get("x-want-worker", self.id) != self.id:
            self.answer(connection, 421, {"X-Request-Id": rid, "X-Not-Run": "1"})
            return
        # at its deadline it stops work: what has not begun by then, or finds its queue full, has not run
        patience = float(headers.get("x-deadline-ms", "1000")) / 1000.0 - self.work_s
        with self.lock:
            full = self.waiting >= QUEUE
            self.waiting += not full
        begins = not full and self.slots.acquire(timeout=max(0.0, patience))
        with self.lock:
            self.waiting -= not full
        if not begins:
            self.answer(connection, 503, {"X-Request-Id": rid, "X-Not-Run": "1"})
            return
        try:
            run = Run(rid, self.id, time.monotonic(), path)
            with self.lock:
                self.runs.append(run)
                self.running += 1
            self.deployment.record(f"run {rid} begins at worker {self.id}")
            self.work(run, headers)
        finally:
            with self.lock:
                self.running -= 1
            self.slots.release()
        self.finish(connection, run, rid)

    def work(self, run: Run, headers: dict[str, str]) -> None:
        time.sleep(self.work_s)

    def finish(self, connection: socket.socket, run: Run, rid: str) -> None:
        seal = uuid.uuid4().hex
        self.answer(connection, 200, {"X-Request-Id": rid, "X-Seal": seal})
        run.seal = seal

    def answer(
        self, connection: socket.socket, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        fields = {
            "X-Worker": self.id,
            "X-Load": f"{self.running},{self.waiting},{self.capacity}",
            "Content-Length": str(len(body)),
            **headers,
        }
        lines = [f"HTTP/1.1 {status} -", *[f"{name}: {value}" for name, value in fields.items()]]
        connection.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + body)


class Sent:
    """A message that was accepted with 202."""

    def __init__(self, rid: str, name: str, body: bytes, at: float) -> None:
        self.rid, self.name, self.body, self.at = rid, name, body, at


def send(
    machine: Machine, path: str, body: bytes, delay_ms: int = 0, within: float = 2.0
) -> tuple[Answer, Sent]:
    """Sends one message to that scheduler; each has a request id of its own."""
    rid = uuid.uuid4().hex[:16]
    headers = {"Host": "gate.example", "X-Request-Id": rid, "X-Deadline-Ms": "2000"}
    if delay_ms:
        headers["X-Delay-Ms"] = str(delay_ms)
    at = time.monotonic()
    got = call((machine.ip, FRONT), "POST", path, body, headers, within)
    name = got.headers.get("X-Msg-Id") if got.status == 202 else None
    machine.deployment.record(f"client: {rid} to {machine.name} -> {got.status or got.problem} {name or ''}")
    return got, Sent(rid, name or rid, body, at)


def ask(deployment: Deployment, name: str, body: bool = False, machine: Machine | None = None) -> Answer:
    """Asks for a message's state, or its bytes."""
    machine = machine or next(m for m in deployment.of("edge") if m.proc is not None)
    what = "message-body" if body else "message"
    return call((machine.ip, FRONT), "GET", f"/{what}/{name}", headers={"Host": "gate.example"}, within=2.0)


def at_once(work: Any, items: list[Any], threads: int = 16) -> list[Any]:
    """Calls `work` for each item, some at once; returns the results in order."""
    results: list[Any] = [None] * len(items)
    todo = list(enumerate(items))[::-1]
    lock = threading.Lock()

    def run() -> None:
        while True:
            with lock:
                if not todo:
                    return
                at, item = todo.pop()
            results[at] = work(item)

    all_threads = [threading.Thread(target=run, daemon=True) for _ in range(threads)]
    for thread in all_threads:
        thread.start()
    for thread in all_threads:
        thread.join()
    return results
