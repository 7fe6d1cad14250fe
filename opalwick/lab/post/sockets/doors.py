"""The listeners of workers: receive requests, send answers, and find the machine whose process has opened a
connection."""

from __future__ import annotations

import os
import socket
import sys
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from opalwick.lab.post.workers import Run, Worker
from opalwick.lab.sockets.wire import Served, Server
from opalwick.post.wire_pb2 import Field, Letter
from opalwick.protocol.http import Message
from opalwick.transport.connection import Address

if TYPE_CHECKING:
    from opalwick.lab.post.sockets.world import SocketWorld

IDLE = 10.0  # s that workers keep an idle connection
READ_WITHIN = 0.3  # s after an answer within which a running process has read it, also on a busy machine
_REASONS = {
    200: b"OK",
    409: b"Conflict",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def table_address(address: Address) -> str:
    """An IPv4 address and port as in /proc/net/tcp: the address in the machine's byte order."""
    host, port = address
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    return f"{number:08X}:{port:04X}"


def node_of_connection(near: Address, far: Address, pids: dict[int, str]) -> str:
    """Returns the node whose process has the connection from address `near` to `far`, according to /proc;
    empty if none has. Other sockets may have the same port, at another address or after their end.
    """
    ends = [table_address(near), table_address(far)]
    with open("/proc/net/tcp") as table:
        # a connection that no process has any more has no inode
        inodes = (row[9] for row in map(str.split, table) if row[1:3] == ends)
        inode = next((inode for inode in inodes if inode != "0"), "0")
    for pid, node in pids.items() if inode != "0" else ():
        try:
            for name in os.listdir(f"/proc/{pid}/fd"):
                if os.readlink(f"/proc/{pid}/fd/{name}") == f"socket:[{inode}]":
                    return node
        except OSError:  # the process has just ended
            continue
    return ""


class WorkerListener:
    """One worker's listener; its connections are closed with it."""

    def __init__(self, world: SocketWorld, worker: Worker) -> None:
        self.world, self.worker = world, worker
        self.nodes: dict[Served, str] = {}
        self.server = Server(worker.place[1], self.request_received, self.ended, IDLE, worker.place[0])

    def request_received(self, served: Served, message: Message) -> None:
        """Passes a request to the worker as a run; answers a probe (GET) directly."""
        world, worker = self.world, self.worker
        if message.method == b"GET":
            self.answer_probe(served)
            return
        fields = message.headers
        if served not in self.nodes:
            self.nodes[served] = node_of_connection(
                served.sock.getpeername(), served.sock.getsockname(), world.pids()
            )
        if not world.net.open(self.nodes[served], worker.id):
            return  # lost in the network, without an error for the sender
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

    def answer_probe(self, served: Served) -> None:
        if not (self.worker.dark or self.worker.hangs):
            head = b"HTTP/1.1 200 OK\r\nX-Worker: %s\r\nContent-Length: 0\r\n\r\n"
            served.say(head % self.worker.id.encode())

    def ended(self, served: Served) -> None:
        """Called when the gateway has closed its connection, or it was reset here."""
        self.nodes.pop(served, None)
        run, served.in_progress = served.in_progress, None
        if run is not None and not run.over:
            self.worker.hung_up(run)


def answer(run: Run, status: int, not_run: bool, seal: str, load: bytes) -> bytes:
    """Returns a worker's answer as sent over HTTP/1.1; `seal` is the completion token."""
    lines = [
        b"HTTP/1.1 %d %s" % (status, _REASONS.get(status, b"Other")),
        b"X-Request-Id: " + run.rid.encode("latin-1"),
        b"Keep-Alive: timeout=%d" % IDLE,
        b"X-Load: " + load,
    ]
    if seal:
        lines.append(b"X-Seal: " + seal.encode())
    if not_run:
        lines.append(b"X-Not-Run: 1")
    return b"\r\n".join(lines) + b"\r\nContent-Length: 0\r\n\r\n"
