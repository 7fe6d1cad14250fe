"""The processor on sockets: proxies' connections in front of the scheduler that `serve` has, without its
own carriers.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from opalwick.checked import Faulty
from opalwick.processor import grpc
from opalwick.processor.configuration import Settings, read
from opalwick.processor.exchange import Call, Exchange
from opalwick.processor.messages import Conversation, Malformed
from opalwick.program.configuration import BadConfiguration, Configuration
from opalwick.program.core import Core
from opalwick.program.service import prepared, run

PROCESS = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
CHECK, WATCH = "/grpc.health.v1.Health/Check", "/grpc.health.v1.Health/Watch"
# grpc.health.v1.HealthCheckResponse: its one field is the status, 1 serving or 2 not
SERVING, NOT_SERVING = b"\x08\x01", b"\x08\x02"
READ = 65536  # bytes at once


class Unary:
    """A call of the health service."""

    def __init__(self, watch: bool) -> None:
        self.watch = watch


class ProxyConnection:
    """One connection from a proxy: its reader feeds the protocol, its writer sends what there is."""

    def __init__(self, front: ProcessorFront, sock: Any) -> None:
        self.front, self.sock = front, sock
        self.server = grpc.GrpcServer(front.settings.bounds)
        self.streams: dict[int, Conversation | Unary] = {}
        self.deadlines: dict[int, Any] = {}
        self.changed = Event()
        self.over = False
        self.asked = False
        self.came_at = time.monotonic()  # what is being read
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self) -> None:
        writer = gevent.spawn(self.write)
        try:
            self.read()
        except OSError:
            pass
        except grpc.Broken as problem:
            logger.info("a proxy's connection ends: {}", problem)
            self.flush()
        finally:
            self.close()
            writer.join()

    def read(self) -> None:
        limits = self.front.settings.limits
        self.changed.set()  # our settings go first
        until = time.monotonic() + limits.preface
        while not self.over:
            if not self.asked:
                # one that connects and says nothing sensible must not hold its place
                left = until - time.monotonic()
                if left <= 0:
                    return
                self.sock.settimeout(left)
            else:
                self.sock.settimeout(None)
            data = self.sock.recv(READ)
            if not data:
                return
            # many requests share a connection, so of what lay there while this process stood still each may
            # have come at its beginning
            now, pulse = time.monotonic(), self.front.pulse
            self.came_at = pulse.earliest_after(pulse.earliest_arrival(now), now)
            for event in self.server.receive(data):
                self.event(event)
            self.changed.set()

    def event(self, event: Any) -> None:
        match event:
            case grpc.Opened(id, path, timeout):
                self.opened(id, path, timeout)
            case grpc.Message(id, octets):
                stream = self.streams.get(id)
                if isinstance(stream, Unary):
                    self.health(id, stream)
                elif stream is not None:
                    try:
                        stream.receive(octets)
                    except Malformed as problem:
                        self.front.faulty += 1
                        self.ended(id, "reset")
                        self.server.finish(id, grpc.INVALID_ARGUMENT, str(problem)[:200], cut=True)
            case grpc.Ended(id):
                if isinstance(self.streams.get(id), Conversation):
                    self.ended(id, "orderly")
                    self.server.finish(id, grpc.OK)
            case grpc.Aborted(id):
                self.ended(id, "reset")

    def opened(self, id: int, path: str, timeout: float | None) -> None:
        self.asked = True
        if path == PROCESS:

            def say(octets: bytes, token: Any) -> None:
                self.server.send(id, octets, token)
                self.changed.set()

            front = self.front
            self.streams[id] = Conversation(front.exchange, front.settings, lambda: self.came_at, say)
        elif path in (CHECK, WATCH):
            self.streams[id] = Unary(path == WATCH)
        else:
            self.server.finish(id, grpc.UNIMPLEMENTED, "no such method")
            return
        if timeout is not None:
            self.deadlines[id] = gevent.spawn_later(timeout, self.deadline, id)

    def deadline(self, id: int) -> None:
        self.deadlines.pop(id, None)
        if id in self.streams:
            self.ended(id, "reset")
            self.server.finish(id, grpc.DEADLINE_EXCEEDED, "the stream's own deadline", cut=True)
            self.changed.set()

    def health(self, id: int, call: Unary) -> None:
        self.server.send(id, SERVING if self.front.accepts_work() else NOT_SERVING)
        if not call.watch:
            self.streams.pop(id, None)
            self.server.finish(id, grpc.OK)

    def ended(self, id: int, how: str) -> None:
        if (timer := self.deadlines.pop(id, None)) is not None:
            timer.kill(block=False)
        stream = self.streams.pop(id, None)
        if isinstance(stream, Conversation):
            stream.ends(how)

    def leave(self) -> None:
        self.server.leave()
        self.changed.set()

    def told(self) -> None:
        """Those that watch hear of the process's new state."""
        for id, stream in self.streams.items():
            if isinstance(stream, Unary) and stream.watch:
                self.health(id, stream)
        self.changed.set()

    def working(self) -> bool:
        return any(isinstance(stream, Conversation) for stream in self.streams.values())

    # ---- writing

    def write(self) -> None:
        try:
            while not self.over:
                self.changed.wait()
                self.changed.clear()
                self.flush()
        except OSError:  # gone, or it does not read
            self.close()

    def flush(self) -> None:
        data, sent = self.server.take()
        if data:
            self.sock.settimeout(float(self.front.settings.limits.write))
            # told as soon as a byte of it may have left: what fails half-way counts as told
            for told in sent:
                if isinstance(told.token, Call):
                    told.token.told = True
                    self.front.counts.attempts_sent += 1  # the proxy carries it
            self.sock.sendall(data)

    def close(self) -> None:
        if not self.over:
            self.over = True
            self.changed.set()
            self.sock.close()
            for id in list(self.streams):
                self.ended(id, "died")


class ProcessorFront(Core):
    def __init__(
        self, settings: Settings, stop: Event, again: Event, read: Callable[[], Configuration]
    ) -> None:
        c = settings.scheduler
        # a proxy can be told to send, and nothing after that: it takes nothing back, and calls once a
        # hand-off
        c.terms.may_cancel = False
        if not settings.proxy.retries:
            c.terms.max_attempts = 1
        super().__init__(c, stop, again, read)
        self.settings, self.place = settings, settings.listen
        self.exchange = Exchange(self, settings.proxy, c.limits.work_items, self.counts.count_response)
        self.connections: dict[ProxyConnection, None] = {}
        self.faulty = 0  # streams ended for what came on them
        self.rearmed_calls = Event()

    def now(self) -> float:
        return time.monotonic()

    def perform(self, effect: Any) -> None:
        if not self.exchange.perform(effect):
            super().perform(effect)

    def put(self, kind: str, *fields: Any) -> None:
        super().put(kind, *fields)
        self.rearmed_calls.set()

    def keep_calls(self) -> None:
        """The exchange's own due times."""
        while True:
            self.rearmed_calls.clear()
            when = self.exchange.next_at()
            if when is None or when > time.monotonic():
                self.rearmed_calls.wait(60.0 if when is None else min(60.0, when - time.monotonic()))
            self.exchange.wake()

    def moved(self) -> None:
        for connection in self.connections:
            connection.told()

    def start(self) -> None:
        gevent.spawn(self.forever, self.keep_calls)
        self.accepting = gevent.spawn(self.forever, self.accept)

    def accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            if len(self.connections) >= self.settings.limits.connections:
                # the proxy tries again elsewhere or later
                logger.warning("a proxy's connection is turned away: {} are open", len(self.connections))
                sock.close()
                gevent.sleep(0.1)
                continue
            connection = ProxyConnection(self, sock)
            self.connections[connection] = None
            gevent.spawn(self.converse, connection)

    def converse(self, connection: ProxyConnection) -> None:
        try:
            connection.run()
        finally:
            self.connections.pop(connection, None)

    def open_items(self) -> int:
        return len(self.exchange.items)

    def close(self) -> None:
        """GOAWAY; streams finish, new ones go elsewhere."""
        for connection in list(self.connections):
            connection.leave()
        until = self.reducer.exit_at + self.limits.linger
        while time.monotonic() < until and any(c.working() for c in self.connections):
            gevent.sleep(0.01)
        self.accepting.kill()
        self.listener.close()
        gevent.sleep(0.02)  # last answers leave
        for connection in list(self.connections):
            connection.close()


def serve(path: str, level: str) -> int:
    """Until SIGTERM; SIGHUP has it read the scheduler's configuration again, as `serve` does."""
    if (events := prepared(level)) is None:
        return 2

    def reread() -> Configuration:
        try:
            return read(path, 0).scheduler
        except Faulty as problem:
            raise BadConfiguration(str(problem)) from None

    try:
        front = ProcessorFront(read(path, 0), *events, reread)
    except Faulty as problem:
        print(f"opalwick: {problem}", file=sys.stderr)
        return 2
    return run(front)
