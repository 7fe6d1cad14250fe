"""Where workers listen: requests in, answers out; and which machine's process a connection is of."""

from __future__ import annotations

import os
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from opalwick.lab.post.workers import Run, Worker
from opalwick.lab.sockets.wire import Served, Server
from opalwick.post.wire_pb2 import Field, Letter
from opalwick.protocol.http import Message

if TYPE_CHECKING:
    from opalwick.lab.post.sockets.world import SocketWorld

IDLE = 10.0  # s that workers keep an idle connection
HEARD = 0.3  # s after an answer by which a process that runs has read it: above a busy machine's stalls
_TEXT = {
    200: b"OK",
    409: b"Conflict",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def whose(port: int, pids: dict[int, str]) -> str:
    """The machine whose process has the connection from that port, by the kernel's tables. Empty: none."""
    end = f":{port:04X}"
    with open("/proc/net/tcp") as table:
        inode = next((row[9] for row in map(str.split, table) if row[1].endswith(end)), "0")
    for pid, node in pids.items() if inode != "0" else ():
        try:
            for name in os.listdir(f"/proc/{pid}/fd"):
                if os.readlink(f"/proc/{pid}/fd/{name}") == f"socket:[{inode}]":
                    return node
        except OSError:  # it ends just now
            continue
    return ""


class SocketDoor:
    """One worker's listener. Its connections end with it."""

    def __init__(self, world: SocketWorld, worker: Worker) -> None:
        self.world, self.worker = world, worker
        self.nodes: dict[Served, str] = {}
        self.server = Server(worker.place[1], self.asked, self.ended, IDLE, worker.place[0])

    def asked(self, served: Served, message: Message) -> None:
        world, worker = self.world, self.worker
        if message.method == b"GET":
            self.well(served)
            return
        fields = message.headers
        if served not in self.nodes:
            self.nodes[served] = whose(served.sock.getpeername()[1], world.pids())
        if not world.net.open(self.nodes[served], worker.id):
            return  # it is lost on its way, and nobody is told
        letter = Letter(
            method=message.method,
            target=message.target,
            host=fields.get(b"host", b""),
            rid=fields.get(b"x-request-id", b"").decode("latin-1"),
            body=message.body,
            fields=[Field(name=name, value=value) for name, value in fields.items()],
        )
        order = SimpleNamespace(
            item=SimpleNamespace(message=letter),
            place=(*worker.place, fields.get(b"x-want-worker", b"").decode("latin-1")),
            within=float(fields.get(b"x-deadline-ms", b"1000")) / 1000.0,
        )
        proc = SimpleNamespace(node=self.nodes[served])
        sending: Any = SimpleNamespace(order=order, proc=proc, served=served)
        world.runs += 1
        run = Run(world.runs, sending)
        world.rids[run.number] = run.rid
        served.in_progress = run
        worker.arrive(run)

    def well(self, served: Served) -> None:
        if not (self.worker.dark or self.worker.hangs):
            head = b"HTTP/1.1 200 OK\r\nX-Worker: %s\r\nContent-Length: 0\r\n\r\n"
            served.say(head % self.worker.id.encode())

    def ended(self, served: Served) -> None:
        """The counter has closed its connection, or it was reset here."""
        self.nodes.pop(served, None)
        run, served.in_progress = served.in_progress, None
        if run is not None and not run.over:
            self.worker.hung_up(run)


def answer(run: Run, status: int, not_run: bool, seal: str, load: bytes) -> bytes:
    lines = [
        b"HTTP/1.1 %d %s" % (status, _TEXT.get(status, b"Other")),
        b"X-Request-Id: " + run.rid.encode("latin-1"),
        b"Keep-Alive: timeout=%d" % IDLE,
        b"X-Load: " + load,
    ]
    if seal:
        lines.append(b"X-Seal: " + seal.encode())
    if not_run:
        lines.append(b"X-Not-Run: 1")
    return b"\r\n".join(lines) + b"\r\nContent-Length: 0\r\n\r\n"
