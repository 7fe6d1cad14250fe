"""Whose answer is whose: a counter's delivery and its pool of connections, as they are in service, against
a worker that does all that a worker in trouble may do.

A step is one request and what the worker does about it, now and behind its back; each delivery runs to its
end within the step, on sockets that are lists of what was written. So every sequence of such steps is one
history.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from opalwick.lab.verify.explorer import Broken, Step
from opalwick.lab.verify.replayed import Replayed
from opalwick.post.counter.delivery import Delivery
from opalwick.post.verdict import DeliveryOutcome
from opalwick.post.wire_pb2 import Letter
from opalwick.transport.connection import Connection
from opalwick.transport.limits import compute_limits
from opalwick.transport.pool import Pool

PLACE = ("10.0.0.1", 80, "w1")
LIMITS = compute_limits(64, 64, 16, 15.0, 0.3, 60.0, 3.0)
LONG = b"x" * 20000  # octets of a long request's body


class Budget(NamedTuple):
    requests: int = 3


class Did(NamedTuple):
    """What a worker does with a request. `runs`: it has run. `says`: status of its answer, 0: none. `named`:
    the answer repeats the request's id. `framed`: it tells its length. `again`: the answer comes a second
    time, once the connection rests; `crossing`: as the next request is written. `late`: nothing comes until
    then. `early`: the answer comes before the last byte is in. `first`: a refusal lies on a new connection
    before anything is asked. `ends`: closes after it.
    """

    name: str
    runs: bool = True
    says: int = 200
    named: bool = True
    framed: bool = True
    again: bool = False
    crossing: bool = False
    late: bool = False
    early: bool = False
    first: bool = False
    ends: bool = False


DOES = (
    Did("serves"),
    Did("serves, unnamed", named=False),
    Did("serves twice", again=True),
    Did("serves twice, unnamed", named=False, again=True),
    Did("serves without a length", framed=False, ends=True),
    Did("fails", says=500),
    Did("turns away", runs=False, says=503),
    Did("turns away, unnamed", runs=False, says=503, named=False),
    Did("turns away twice, unnamed", runs=False, says=503, named=False, again=True),
    Did("turns away early", runs=False, says=503, early=True),
    Did("turns away early, unnamed", runs=False, says=503, early=True, named=False),
    Did("is silent, then late", late=True),
    Did("is silent, then late, unnamed", late=True, named=False),
    Did("breaks off", says=0, ends=True),
    Did("speaks first", first=True),
    Did("serves twice, crossing", crossing=True),
    Did("turns away twice, crossing, unnamed", runs=False, says=503, named=False, crossing=True),
)


TURNS_AWAY = Did("turns away", runs=False, says=503, named=False)


class Socket:
    """The worker's end of a connection: what it has said and is not read, and what it was sent."""

    def __init__(self, world: Answers) -> None:
        self.world, self.unread, self.got, self.ended = world, b"", b"", False
        self.owed = b""  # said once the next request is written
        self.second = b""  # said once the connection rests

    def send(self, data: memoryview) -> int:
        self.got += bytes(data)
        self.world.sent(self)
        return len(data)

    def recv_into(self, room: memoryview) -> int:
        if not self.unread and not self.ended:
            raise TimeoutError
        data, self.unread = self.unread[: len(room)], self.unread[len(room) :]
        room[: len(data)] = data
        return len(data)

    def setsockopt(self, *_: Any) -> None: ...

    def settimeout(self, seconds: float | None) -> None: ...

    def connect(self, address: Any) -> None:
        self.world.connected(self)

    def close(self) -> None: ...


class Kept(Connection):
    """On such a socket; nothing waits."""

    __slots__ = ()

    def readable(self) -> bool:
        return self.closed or bool(self.sock.unread) or self.sock.ended

    def read(self, within: float | None) -> memoryview:
        if self.closed:
            raise ConnectionAbortedError
        self.read_buffer.consume(self.read_buffer.size)
        self.read_buffer.commit(self.sock.recv_into(self.read_buffer.free()))
        return self.read_buffer.used()


class Connections(Pool):
    def __init__(self, world: Answers) -> None:
        super().__init__(8, 60.0, LIMITS.ring)
        self.world = world

    def acquire(self, address: Any) -> Connection:
        kept = self.idle.get(address)
        while kept:
            connection = kept.pop()
            if not connection.readable():
                connection.uses += 1
                self.world.last = connection
                return connection
            self.close(connection)
        connection = self.world.last = Kept(Socket(self.world), self.ring)
        connection.address = address
        self.open += 1
        self.open_to[address] += 1
        return connection


class Answers(Replayed):
    """Rules: `another's answer`, `said not run`, `beyond a break`, `no end`."""

    def begin(self) -> None:
        self.pool, self.number, self.does = Connections(self), 0, DOES[0]
        self.ran: dict[int, bool] = {}
        self.now_said = False
        self.last: Connection | None = None

    def steps(self) -> list[Step]:
        return (
            [(("asks, long" if long else "asks"), did.name) for did in DOES for long in (False, True)]
            if self.budget.requests
            else []
        )

    # ---- the worker

    def answer(self, did: Did, number: int) -> bytes:
        lines = [f"HTTP/1.1 {did.says} X"]
        lines += [f"X-Request-Id: r{number}"] * did.named
        lines += [f"X-Seal: s{number}"] * (did.says == 200)
        lines += ["X-Not-Run: 1"] * (did.says == 503)
        lines += ["Content-Length: 2"] * did.framed
        return "\r\n".join([*lines, "", "ok"]).encode()

    def connected(self, socket: Socket) -> None:
        if self.does.first:
            socket.unread += self.answer(TURNS_AWAY, 0)

    def sent(self, socket: Socket) -> None:
        """Something was written to it."""
        did, head = self.does, socket.got.partition(b"\r\n\r\n")
        if not head[1] or self.now_said:
            return
        socket.unread += socket.owed
        socket.owed = b""
        whole = len(head[2]) >= self.size
        if not whole and not did.early:
            return
        self.now_said = True
        if whole and did.runs:
            self.ran[self.number] = True
        said = self.answer(did, self.number) if did.says else b""
        if did.late:
            socket.owed = said
        else:
            socket.unread += said
            socket.second = said if did.again else b""
            socket.owed = said if did.crossing else b""
            socket.ended = did.ends

    # ---- the counter

    def do(self, step: Step) -> None:
        kind, name = step
        self.budget = self.budget._replace(requests=self.budget.requests - 1)
        self.number += 1
        self.does = next(did for did in DOES if did.name == name)
        body = LONG if kind == "asks, long" else b"x"
        self.size, self.now_said = len(body), False
        for connection in self.pool.idle.get(PLACE[:2], []):
            connection.sock.got, connection.sock.unread = b"", connection.sock.unread + connection.sock.second
            connection.sock.second = b""
        told: list[Any] = []
        name = f"r{self.number}"
        letter = Letter(mid=name, rid=name, method=b"POST", target=b"/x", host=b"h", body=body)
        delivery = Delivery(
            PLACE, letter, 1.0, lambda: True, self.pool, LIMITS, lambda end, kept: told.append(end)
        )
        delivery.run()
        self.judge(told, body is LONG)

    def judge(self, told: list[Any], long: bool) -> None:
        if len(told) != 1:
            raise Broken("no end", f"request {self.number} has {len(told)} ends")
        verdict, seal, _ = told[0]
        ran = self.ran.get(self.number, False)
        if verdict is DeliveryOutcome.DONE and not (ran and seal == f"s{self.number}"):
            raise Broken("another's answer", f"request {self.number} is done by seal {seal!r}")
        if verdict.ran is True and not ran:
            raise Broken("another's answer", f"request {self.number} never ran and is {verdict.text}")
        if verdict.ran is False and ran:
            raise Broken("said not run", f"request {self.number} ran and is {verdict.text}")
        if verdict is DeliveryOutcome.FULL and self.does.says != 503:
            raise Broken("another's answer", f"request {self.number} was taken and is {verdict.text}")
        did = self.does
        broken = (
            not did.framed
            or did.ends
            or did.late
            or (did.early and long)
            or verdict is DeliveryOutcome.BROKEN
        )
        if broken and self.last in self.pool.idle.get(PLACE[:2], []):
            raise Broken("beyond a break", f"the connection of request {self.number} is used again")

    def state(self) -> Any:
        kept = [
            (c.uses, c.sock.unread, c.sock.owed, c.sock.second, c.sock.ended)
            for c in self.pool.idle.get(PLACE[:2], [])
        ]
        return self.number, kept
