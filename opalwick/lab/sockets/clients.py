"""Clients on sockets: a greenlet per request, idle connections pooled by scheduler."""

from __future__ import annotations

import socket as plain
from collections.abc import Callable
from typing import Any

import gevent
import httptools
from gevent import socket

from opalwick.lab.sockets.wire import LIMITS, Address
from opalwick.lab.world.clients import ClientRequest
from opalwick.lab.world.world import World
from opalwick.protocol.http import Malformed, Message, Parser

_BAD_REQUESTS = (
    b"GARBAGE\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
    b"POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
)
MAX_IDLE = 64  # idle connections kept per scheduler; further ones are closed


class PrematureEnd(Exception):
    """The connection ended before the answer was complete."""


class SocketClients:
    """Transport of the clients' requests over HTTP."""

    def __init__(
        self, world: World, addresses: list[Address], was_killed: Callable[[int, float], bool]
    ) -> None:
        """`crashed`: whether a scheduler has been killed since a time of the scenario, in seconds."""
        self.world, self.addresses, self.was_killed = world, addresses, was_killed
        self.idle_connections: list[list[Any]] = [[] for _ in addresses]
        self.tries: dict[str, ClientRequest] = {}  # all of the scenario, as a worker may receive one late
        self.bad_answered = 0  # bad requests that got an answer or an end of the connection
        self.bad_unanswered = 0  # bad requests that got neither in time

    def ask(self, attempt: ClientRequest) -> None:
        if attempt.want.bad == "once":
            gevent.spawn(self.bad, attempt)
            return
        self.tries[attempt.id] = attempt
        attempt.transport_state = gevent.spawn(self.run, attempt)

    def leave(self, attempt: ClientRequest) -> None:
        if isinstance(attempt.transport_state, gevent.Greenlet):
            attempt.transport_state.kill(block=False)

    def connect(self, scheduler: int) -> Any:
        sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
        sock.settimeout(1.0)
        sock.connect(self.addresses[scheduler])
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        return sock

    def run(self, attempt: ClientRequest) -> None:
        clients, i = self.world.clients, attempt.scheduler
        data = self.request(attempt)
        began = self.world.agenda.now
        sock, complete = None, False
        try:
            while True:
                is_new = not self.idle_connections[i]
                try:
                    sock = self.connect(i) if is_new else self.idle_connections[i].pop()
                except OSError:
                    clients.not_connected(attempt)
                    return
                try:
                    sock.settimeout(10.0)
                    sock.sendall(data)
                    clients.accepted(attempt)
                    answer = self.answer(sock)
                    break
                except (OSError, Malformed, PrematureEnd) as problem:
                    sock.close()
                    # an idle connection that ends without a byte was closed while the request was in transit
                    if (
                        not is_new
                        and isinstance(problem, (PrematureEnd, ConnectionError))
                        and not self.was_killed(i, began)
                    ):
                        continue
                    clients.cut(attempt, self.was_killed(i, began))
                    return
            complete = True
        finally:
            if sock is not None and not complete:
                sock.close()  # also when this client cancels
        if answer.keep_alive and len(self.idle_connections[i]) < MAX_IDLE:
            self.idle_connections[i].append(sock)
        else:
            sock.close()
        self.report(attempt, answer)

    def report(self, attempt: ClientRequest, answer: Message) -> None:
        clients = self.world.clients
        if answer.status == 200:
            clients.answered(attempt, "finished", answer.body.decode("latin-1"))
        elif answer.status in (429, 503):
            try:
                advice = float(answer.headers.get(b"retry-after", b"0"))
            except ValueError:
                advice = 0.0
            clients.answered(attempt, "deferred", None, advice)
        else:
            clients.answered(attempt, "written off" if answer.status == 504 else "fault")

    def request(self, attempt: ClientRequest) -> bytes:
        want, day = attempt.want, self.world.day
        kind = day.categories[want.category]
        left = max(1, int((want.expiry_at - self.world.agenda.now) * 1000))
        path = f"/{kind.name}/{want.subject}" if want.subject else f"/{kind.name}"
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: lab",
            f"X-Correlation-Id: {attempt.id}",
            f"X-Service-Class: {kind.name}",
            f"X-Time-Left-Ms: {left}",
            "Content-Length: 16",
            f"X-Facts: slots={kind.slots:g}",
        ]
        if want.key:
            lines.append(f"Idempotency-Key: {want.key}")
        if want.hint:
            lines.append(f"X-Weight-Hint: {max(1, round(want.hint * 1e6))}")
        if want.customer >= 0:
            lines.append(f"X-Account: {day.customers[want.customer].name}")
        if want.tries > 1:
            lines.append("X-Repeat: 1")
        return "\r\n".join([*lines, "", ""]).encode() + attempt.id.encode()

    @staticmethod
    def answer(sock: Any) -> Message:
        done: list[Message] = []
        parser = Parser(httptools.HttpResponseParser, LIMITS, done.append)
        while not done:
            data = sock.recv(65536)
            if not data:
                raise PrematureEnd
            parser.feed(memoryview(data))
        return done[0]

    def bad(self, attempt: ClientRequest) -> None:
        """Sends a malformed request; the scheduler must answer or close within three seconds."""
        try:
            sock = self.connect(attempt.scheduler)
            try:
                sock.settimeout(3.5)
                sock.sendall(_BAD_REQUESTS[attempt.want.number % len(_BAD_REQUESTS)])
                sock.recv(4096)
                self.bad_answered += 1
            finally:
                sock.close()
        except TimeoutError:
            self.bad_unanswered += 1
        except OSError:
            self.bad_answered += 1
