"""Model of the matching of responses to requests: a gateway's production delivery code and connection pool
against a worker that may fail in every modelled way.

A transition is one request and what the worker does with it, now and later. Each delivery runs to its end
within the transition, on fake sockets that buffer what was written. So each sequence of transitions is one
history.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from opalwick.lab.verify.explorer import PropertyViolation, Transition
from opalwick.lab.verify.replayed import Replayed
from opalwick.post.gateway.delivery import Delivery
from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.wire_pb2 import Letter
from opalwick.transport.connection import Connection
from opalwick.transport.limits import compute_limits
from opalwick.transport.pool import Pool

PLACE = ("10.0.0.1", 80, "w1")
LIMITS = compute_limits(64, 64, 16, 15.0, 0.3, 60.0, 3.0)
LONG_BODY = b"x" * 20000  # body of a long request, in bytes


class Budget(NamedTuple):
    requests: int = 3


class WorkerBehaviour(NamedTuple):
    """What a worker does with a request.

    `runs`: it runs the request. `status`: of its response, 0: none. `echoes_id`: the response repeats the
    request's id. `framed`: it has a Content-Length. `again`: it comes a second time once the connection is
    idle; `crossing`: while the next request is written; `at_once`: together with the first one. `late`:
    nothing comes until then. `early`: the response comes before the last byte of the request is read.
    `first`: a rejection is sent on a new connection before any request. `closes`: the worker closes the
    connection after it.
    """

    name: str
    runs: bool = True
    status: int = 200
    echoes_id: bool = True
    framed: bool = True
    again: bool = False
    crossing: bool = False
    at_once: bool = False
    late: bool = False
    early: bool = False
    first: bool = False
    closes: bool = False


BEHAVIOURS = (
    WorkerBehaviour("serves"),
    WorkerBehaviour("serves, unnamed", echoes_id=False),
    WorkerBehaviour("serves twice", again=True),
    WorkerBehaviour("serves twice, unnamed", echoes_id=False, again=True),
    WorkerBehaviour("serves without a length", framed=False, closes=True),
    WorkerBehaviour("fails", status=500),
    WorkerBehaviour("turns away", runs=False, status=503),
    WorkerBehaviour("turns away, unnamed", runs=False, status=503, echoes_id=False),
    WorkerBehaviour("turns away twice, unnamed", runs=False, status=503, echoes_id=False, again=True),
    WorkerBehaviour("turns away early", runs=False, status=503, early=True),
    WorkerBehaviour("turns away early, unnamed", runs=False, status=503, early=True, echoes_id=False),
    WorkerBehaviour("is silent, then late", late=True),
    WorkerBehaviour("is silent, then late, unnamed", late=True, echoes_id=False),
    WorkerBehaviour("breaks off", status=0, closes=True),
    WorkerBehaviour("speaks first", first=True),
    WorkerBehaviour("serves twice, crossing", crossing=True),
    WorkerBehaviour("fails twice, crossing", status=500, crossing=True),
    WorkerBehaviour("turns away twice, crossing", runs=False, status=503, crossing=True),
    WorkerBehaviour("fails twice at once", status=500, at_once=True),
    WorkerBehaviour(
        "turns away twice, crossing, unnamed", runs=False, status=503, echoes_id=False, crossing=True
    ),
)


REJECTION = WorkerBehaviour("turns away", runs=False, status=503, echoes_id=False)


class FakeSocket:
    """A socket to the worker: holds unread data from the worker and what was sent to the worker."""

    def __init__(self, model: ResponseModel) -> None:
        self.model, self.unread, self.got, self.closed_by_peer = model, b"", b"", False
        self.on_next_request = b""  # sent when the next request is written
        self.on_idle = b""  # sent when the connection is idle

    def send(self, data: memoryview) -> int:
        self.got += bytes(data)
        self.model.sent(self)
        return len(data)

    def recv_into(self, room: memoryview) -> int:
        if not self.unread and not self.closed_by_peer:
            raise TimeoutError
        data, self.unread = self.unread[: len(room)], self.unread[len(room) :]
        room[: len(data)] = data
        return len(data)

    def setsockopt(self, *_: Any) -> None: ...

    def settimeout(self, seconds: float | None) -> None: ...

    def connect(self, address: Any) -> None:
        self.model.connected(self)

    def close(self) -> None: ...


class FakeConnection(Connection):
    """A connection over a `FakeSocket`; nothing blocks."""

    __slots__ = ()

    def readable(self) -> bool:
        return self.closed or bool(self.sock.unread) or self.sock.closed_by_peer

    def read(self, within: float | None) -> memoryview:
        if self.closed:
            raise ConnectionAbortedError
        self.read_buffer.consume(self.read_buffer.size)
        self.read_buffer.commit(self.sock.recv_into(self.read_buffer.free()))
        return self.read_buffer.used()


class FakePool(Pool):
    """The production pool over fake sockets, whose clock stands still."""

    def __init__(self, model: ResponseModel) -> None:
        def connect(ring: int) -> Connection:
            return FakeConnection(FakeSocket(model), ring)

        super().__init__(8, 60.0, LIMITS.ring, connect=connect, clock=lambda: 0.0)
        self.model = model

    def acquire(self, address: Any, request_id: bytes = b"") -> Connection:
        self.model.last = super().acquire(address, request_id)
        return self.model.last


class ResponseModel(Replayed):
    """Rules: `another's answer`, `said not run`, `beyond a break`, `no end`.

    A request is for another message than the one before, or, if that has not ended, for the same message.
    """

    def initialize(self) -> None:
        self.pool, self.number, self.current = FakePool(self), 0, BEHAVIOURS[0]
        self.message_number = 0  # of the message that was requested last
        self.ended = True  # whether that message has ended
        self.ran: dict[int, bool] = {}
        self.responded = False
        self.last: Connection | None = None

    def enabled(self) -> list[Transition]:
        if not self.budget.requests:
            return []
        kinds = ["asks", "asks, long"] + ["asks again"] * (not self.ended)
        return [(kind, behaviour.name) for behaviour in BEHAVIOURS for kind in kinds]

    # ---- the worker

    def answer(self, behaviour: WorkerBehaviour, number: int) -> bytes:
        lines = [f"HTTP/1.1 {behaviour.status} X"]
        lines += [f"X-Request-Id: r{self.message_number}"] * behaviour.echoes_id
        lines += [f"X-Seal: s{number}"] * (behaviour.status == 200)
        lines += ["X-Not-Run: 1"] * (behaviour.status == 503)
        lines += ["Content-Length: 2"] * behaviour.framed
        return "\r\n".join([*lines, "", "ok"]).encode()

    def connected(self, socket: FakeSocket) -> None:
        if self.current.first:
            socket.unread += self.answer(REJECTION, 0)

    def sent(self, socket: FakeSocket) -> None:
        """Produces the worker's response once enough of the request was written."""
        behaviour, head = self.current, socket.got.partition(b"\r\n\r\n")
        if not head[1] or self.responded:
            return
        socket.unread += socket.on_next_request
        socket.on_next_request = b""
        whole = len(head[2]) >= self.size
        if not whole and not behaviour.early:
            return
        self.responded = True
        if whole and behaviour.runs:
            self.ran[self.number] = True
        response = self.answer(behaviour, self.number) if behaviour.status else b""
        if behaviour.late:
            socket.on_next_request = response
        else:
            socket.unread += response * (1 + behaviour.at_once)
            socket.on_idle = response if behaviour.again else b""
            socket.on_next_request = response if behaviour.crossing else b""
            socket.closed_by_peer = behaviour.closes

    # ---- the gateway

    def apply(self, step: Transition) -> None:
        kind, name = step
        self.budget = self.budget._replace(requests=self.budget.requests - 1)
        self.number += 1
        if kind != "asks again":
            self.message_number = self.number
        self.current = next(behaviour for behaviour in BEHAVIOURS if behaviour.name == name)
        body = LONG_BODY if kind == "asks, long" else b"x"
        self.size, self.responded = len(body), False
        for connection in self.pool.idle.get(PLACE[:2], []):
            connection.sock.got, connection.sock.unread = (
                b"",
                connection.sock.unread + connection.sock.on_idle,
            )
            connection.sock.on_idle = b""
        outcomes: list[Any] = []
        name = f"r{self.message_number}"
        message = Letter(mid=name, rid=name, method=b"POST", target=b"/x", host=b"h", body=body)
        delivery = Delivery(
            PLACE, message, 1.0, lambda: True, self.pool, LIMITS, lambda end, kept: outcomes.append(end)
        )
        delivery.run()
        self.check(outcomes, body is LONG_BODY)
        self.ended = outcomes[0][0].final

    def check(self, outcomes: list[Any], long: bool) -> None:
        if len(outcomes) != 1:
            raise PropertyViolation("no end", f"request {self.number} has {len(outcomes)} outcomes")
        outcome, seal, _ = outcomes[0]
        ran = self.ran.get(self.number, False)
        if outcome is DeliveryOutcome.DONE and not (ran and seal == f"s{self.number}"):
            raise PropertyViolation(
                "another's answer", f"request {self.number} is done with completion token {seal!r}"
            )
        if outcome.ran is True and not ran:
            raise PropertyViolation(
                "another's answer", f"request {self.number} never ran, but its outcome is {outcome.text}"
            )
        if outcome.ran is False and ran:
            raise PropertyViolation(
                "said not run", f"request {self.number} ran, but its outcome is {outcome.text}"
            )
        if outcome is DeliveryOutcome.FULL and self.current.status != 503:
            raise PropertyViolation(
                "another's answer", f"request {self.number} was accepted, but its outcome is {outcome.text}"
            )
        if outcome is DeliveryOutcome.FAILED and self.current.status != 500:
            raise PropertyViolation(
                "another's answer", f"request {self.number} did not fail, but its outcome is {outcome.text}"
            )
        behaviour = self.current
        broken = (
            not behaviour.framed
            or behaviour.closes
            or behaviour.late
            or behaviour.at_once
            or (behaviour.early and long)
            or outcome is DeliveryOutcome.BROKEN
        )
        if broken and self.last in self.pool.idle.get(PLACE[:2], []):
            raise PropertyViolation(
                "beyond a break", f"the connection of request {self.number} is back in the pool"
            )

    def state(self) -> Any:
        kept = [
            (
                c.uses,
                c.sock.unread,
                c.sock.on_next_request,
                c.sock.on_idle,
                c.sock.closed_by_peer,
                sorted(c.unfinished.ids),
            )
            for c in self.pool.idle.get(PLACE[:2], [])
        ]
        return self.number, self.message_number, self.ended, kept
