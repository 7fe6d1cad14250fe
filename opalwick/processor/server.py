"""The processor's server: a front end of the scheduler for proxies, which send the requests to workers."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from opalwick.settings_file import InvalidFile
from opalwick.processor import grpc
from opalwick.processor.configuration import Settings, read
from opalwick.processor.exchange import Call, Exchange
from opalwick.processor.ext_proc import Conversation, Malformed
from opalwick.program.configuration import BadConfiguration, Configuration
from opalwick.program.core import Core
from opalwick.program.service import prepare, run

PROCESS = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
CHECK, WATCH = "/grpc.health.v1.Health/Check", "/grpc.health.v1.Health/Watch"
# encoded grpc.health.v1.HealthCheckResponse, whose only field is the status: 1 serving, 2 not serving
SERVING, NOT_SERVING = b"\x08\x01", b"\x08\x02"
READ = 65536  # bytes per read


class Unary:
    """A call of the gRPC health service."""

    def __init__(self, watch: bool) -> None:
        self.watch = watch


class ProxyConnection:
    """One connection from a proxy, with a greenlet that reads and one that writes."""

    def __init__(self, front: ProcessorFront, sock: Any) -> None:
        self.front, self.sock = front, sock
        self.server = grpc.GrpcServer(front.settings.bounds)
        self.streams: dict[int, Conversation | Unary] = {}
        self.deadlines: dict[int, Any] = {}
        self.changed = Event()
        self.closed = False
        self.stream_opened = False
        self.arrived_at = time.monotonic()  # earliest arrival of the data being processed
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self) -> None:
        writer = gevent.spawn(self.write)
        try:
            self.read()
        except OSError:
            pass
        except grpc.ConnectionBroken as exc:
            logger.info("closing a proxy's connection after a protocol error: {}", exc)
            self.flush()
        finally:
            self.close()
            writer.join()

    def read(self) -> None:
        limits = self.front.settings.limits
        self.changed.set()  # sends the HTTP/2 settings first
        until = time.monotonic() + limits.preface
        while not self.closed:
            if not self.stream_opened:
                # a connection that opens no stream must not occupy a slot
                left = until - time.monotonic()
                if left <= 0:
                    return
                self.sock.settimeout(left)
            else:
                self.sock.settimeout(None)
            data = self.sock.recv(READ)
            if not data:
                return
            # many requests share a connection, so each that was read after a stall may have arrived at its
            # beginning
            now, pulse = time.monotonic(), self.front.pulse
            self.arrived_at = pulse.earliest_after(pulse.earliest_arrival(now), now)
            for event in self.server.receive(data):
                self.event(event)
            self.changed.set()

    def event(self, event: Any) -> None:
        match event:
            case grpc.Opened(id, path, timeout):
                self.opened(id, path, timeout)
            case grpc.Message(id, payload):
                stream = self.streams.get(id)
                if isinstance(stream, Unary):
                    self.health(id, stream)
                elif stream is not None:
                    try:
                        stream.receive(payload)
                    except Malformed as exc:
                        self.front.faulty += 1
                        self.ended(id, "reset")
                        self.server.finish(id, grpc.INVALID_ARGUMENT, str(exc)[:200], cut=True)
            case grpc.Ended(id):
                if isinstance(self.streams.get(id), Conversation):
                    self.ended(id, "orderly")
                    self.server.finish(id, grpc.OK)
            case grpc.Aborted(id):
                self.ended(id, "reset")

    def opened(self, id: int, path: str, timeout: float | None) -> None:
        self.stream_opened = True
        if path == PROCESS:

            def send(payload: bytes, token: Any) -> None:
                self.server.send(id, payload, token)
                self.changed.set()

            front = self.front
            self.streams[id] = Conversation(front.exchange, front.settings, lambda: self.arrived_at, send)
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
            stream.stream_ended(how)

    def send_goaway(self) -> None:
        self.server.send_goaway()
        self.changed.set()

    def notify_watches(self) -> None:
        """Sends the new serving status to health watches."""
        for id, stream in self.streams.items():
            if isinstance(stream, Unary) and stream.watch:
                self.health(id, stream)
        self.changed.set()

    def has_open_requests(self) -> bool:
        return any(isinstance(stream, Conversation) for stream in self.streams.values())

    # ---- writing

    def write(self) -> None:
        try:
            while not self.closed:
                self.changed.wait()
                self.changed.clear()
                self.flush()
        except OSError:  # disconnected, or it does not read
            self.close()

    def flush(self) -> None:
        data, sent = self.server.take()
        if data:
            self.sock.settimeout(float(self.front.settings.limits.write))
            # marked before the write: a message that fails half-way may have been received
            for message in sent:
                if isinstance(message.token, Call):
                    message.token.sent = True
                    self.front.counts.attempts_sent += 1  # the proxy makes the attempt
            self.sock.sendall(data)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.changed.set()
            self.sock.close()
            for id in list(self.streams):
                self.ended(id, "died")


class ProcessorFront(Core):
    """Front end whose attempts are made by proxies."""

    def __init__(
        self, settings: Settings, stop: Event, reload: Event, read: Callable[[], Configuration]
    ) -> None:
        c = settings.scheduler
        # after a decision a proxy can't be controlled: it cancels nothing, and makes one attempt per call
        c.scheduler_config.may_cancel = False
        if not settings.proxy.retries:
            c.scheduler_config.max_attempts = 1
        super().__init__(c, stop, reload, read)
        self.settings, self.address = settings, settings.listen
        self.exchange = Exchange(self, settings.proxy, c.limits.work_items, self.counts.count_response)
        self.connections: dict[ProxyConnection, None] = {}
        self.faulty = 0  # streams ended because of malformed messages
        self.exchange_changed = Event()

    def now(self) -> float:
        return time.monotonic()

    def perform(self, effect: Any) -> None:
        if not self.exchange.perform(effect):
            super().perform(effect)

    def put(self, kind: str, *fields: Any) -> None:
        super().put(kind, *fields)
        self.exchange_changed.set()

    def run_exchange_timers(self) -> None:
        """Runs the exchange's timers."""
        while True:
            self.exchange_changed.clear()
            when = self.exchange.next_at()
            if when is None or when > time.monotonic():
                self.exchange_changed.wait(60.0 if when is None else min(60.0, when - time.monotonic()))
            self.exchange.wake()

    def state_changed(self) -> None:
        for connection in self.connections:
            connection.notify_watches()

    def start(self) -> None:
        gevent.spawn(self.run_forever, self.run_exchange_timers)
        self.accepting = gevent.spawn(self.run_forever, self.accept)

    def accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            if len(self.connections) >= self.settings.limits.connections:
                # the proxy retries elsewhere or later
                logger.warning("rejected a proxy's connection: {} are open", len(self.connections))
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
        """Sends GOAWAY, so that new streams go elsewhere, and lets open streams finish."""
        for connection in list(self.connections):
            connection.send_goaway()
        until = self.reducer.exit_at + self.limits.linger
        while time.monotonic() < until and any(c.has_open_requests() for c in self.connections):
            gevent.sleep(0.01)
        self.accepting.kill()
        self.listener.close()
        gevent.sleep(0.02)  # for the writers to send the last answers
        for connection in list(self.connections):
            connection.close()


def serve(path: str, level: str) -> int:
    """Runs the processor until SIGTERM and returns the exit code; SIGHUP reloads the configuration."""
    if (events := prepare(level)) is None:
        return 2

    def reread() -> Configuration:
        try:
            return read(path, 0).scheduler
        except InvalidFile as exc:
            raise BadConfiguration(str(exc)) from None

    try:
        front = ProcessorFront(read(path, 0), *events, reread)
    except InvalidFile as exc:
        print(f"opalwick: {exc}", file=sys.stderr)
        return 2
    return run(front)
