"""Test harnesses: the balancer and the reducer alone with traces of their decisions, clients and stub
servers."""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path

import gevent
import gevent.socket
from loguru import logger

from opalwick.balance import Balancer
from opalwick.interface import (
    Cancel,
    Category,
    Customer,
    Decision,
    Defer,
    Effect,
    Fail,
    Group,
    ListForm,
    LoadMetric,
    LoadReport,
    LoadRow,
    LoadTotals,
    Outcome,
    Phase,
    Probe,
    ReportSource,
    SchedulerConfig,
    Send,
    Subscribe,
    Wake,
    Worker,
    WorkItem,
)
from opalwick.protocol.clients import Conversation, WorkItemCall
from opalwick.protocol.metrics import Counts
from opalwick.protocol.settings import flatten, read_name_maps, read_scheduler_config
from opalwick.routing.reducer import Answer, Reducer
from opalwick.routing.reducer import Effect as ReducerEffect
from opalwick.transport.connection import Connection
from opalwick.transport.limits import Limits, compute_limits
from opalwick.transport.stalls import StallDetector

TRACES = Path(__file__).parent / "traces"
START = 1000.0


def category(effect: Effect = Effect.IDEMPOTENT, group: Group = Group.ALL, **changes: float) -> Category:
    return replace(
        Category(
            credit=1.0,
            effect=effect,
            group=group,
            due=0.4,
            due_stretch=2.0,
            expiry=5.0,
            late_credit=0.0,
            dedup_window=2.0,
        ),
        **changes,
    )


class Traced:
    """Collects lines that are compared with a stored trace."""

    lines: list[str]

    def matches(self, name: str) -> None:
        """Compares with the stored trace of this name, without its comment lines."""
        stored = (TRACES / f"{name}.txt").read_text().splitlines()
        assert self.lines == [line for line in stored if not line.startswith("#")]


class Bench(Traced):
    """One balancer, its workers named by letters, and the trace of its decisions."""

    def __init__(
        self, workers: str = "ABCD", kinds: list[Category] | None = None, seed: int = 7, **changes
    ) -> None:
        terms = SchedulerConfig(
            categories=kinds or [category()],
            customers=[],
            zone=0,
            schedulers=1,
            max_attempts=4,
            may_hedge=True,
            may_cancel=True,
            may_message_peers=False,
            max_retry_after=1.0,
            credit_per_work=True,
            excess_credit=0.1,
            price_cross_zone=0.0,
            price_peer_message=0.0,
            position=0,
            must_subscribe=False,
            subscribe_within=10.0,
            overload_multiple=3.0,
            overload_span=2.0,
            cold_share=0.25,
            ramp=10.0,
            reports_start=True,
            progress_every=1.0,
            tick=0.005,
            cpu_per_item=0.0,
            report_source=ReportSource.RESPONSES,
            may_probe=False,
            fixed_sizes=False,
            price_probe=0.0,
            price_fetch=0.0,
            marks_retries=False,
            only_draining_binds=False,
            load_metrics=(LoadMetric.FREE_SLOTS,),
        )
        self.terms = replace(terms, **changes)
        self.now, self.lines, self.items = START, [], {}
        self.balancer = Balancer(self.terms, seed, self.now)
        self.workers = {name: Worker(ord(name)) for name in workers}
        self.list(ListForm.CACHED, **{name: Phase.READY for name in workers})
        for w in self.workers.values():
            self.balancer.load_reported(w, (4.0,))

    def list(
        self,
        form: ListForm,
        zones: str = "",
        cells: str = "",
        ready: dict[str, float] | None = None,
        **phases: Phase,
    ) -> None:
        rows = []
        for i, (name, phase) in enumerate(phases.items()):
            w = self.workers.setdefault(name, Worker(ord(name)))
            rows.append(
                (
                    w,
                    int(zones[i]) if zones else w.zone,
                    0,
                    int(cells[i]) if cells else w.cell,
                    phase,
                    (ready or {}).get(name, w.ready_at),
                    1.0,
                )
            )
        self.balancer.update_workers(form, rows)

    def take(
        self,
        *names: str,
        category: int = 0,
        work: float = 0.2,
        expiry: float | None = None,
        customer: Customer | None = None,
        **more,
    ) -> None:
        c = self.terms.categories[category]
        for name in names:
            wi = WorkItem(
                ord(name[0]), c, customer, self.now, self.now + (expiry or c.expiry), work, 1.0, **more
            )
            self.items[name] = wi
            self.balancer.accept(wi)

    def end(
        self, name: str, number: int = 0, outcome: Outcome = Outcome.FINISHED, kept: bool = False
    ) -> None:
        attempt = self.items[name].attempts[number]
        done = self.items[name].answered or outcome is Outcome.FINISHED
        self.balancer.attempt_ended(attempt, outcome, done, kept)

    def begin(self, name: str, number: int = 0) -> None:
        self.balancer.attempt_started(self.items[name].attempts[number])

    def pull(self, note: str = "") -> list[Decision]:
        decisions = list(self.balancer.decisions())
        texts = [text for decision in decisions if (text := self.word(decision))]
        note = note + ": " if note else ""
        self.lines.append(f"{self.now - START:6.2f}  {note}{', '.join(texts) or 'nothing'}")
        return decisions

    def wait(self, seconds: float, note: str = "") -> None:
        """Advances the time in steps of 10 ms; only times with a decision are traced."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = round(min(end, self.now + 0.01), 6)
            self.balancer.clock(self.now)
            if self.now < end - 1e-9:
                before = len(self.lines)
                self.pull()
                if self.lines[-1].endswith("nothing"):
                    del self.lines[before:]
        if note:
            self.lines.append(f"{self.now - START:6.2f}  {note}")

    def word(self, decision: Decision) -> str:
        names = {id(wi): name for name, wi in self.items.items()}
        match decision:
            case Send(attempt, _):
                return (
                    f"{'copy of' if attempt.hedge else 'send'} {names[id(attempt.item)]} "
                    f"to {chr(attempt.worker.id)}"
                )
            case Cancel(attempt):
                return f"cancel {names[id(attempt.item)]} at {chr(attempt.worker.id)}"
            case Probe(w):
                return f"probe {chr(w.id)}"
            case Defer(wi, after):
                return f"defer {names[id(wi)]} for {after:g} s"
            case Fail(wi):
                return f"write off {names[id(wi)]}"
            case Subscribe():
                return "subscribe"
            case LoadReport(to, _, zone, rows):
                return f"tell {to} of zone {zone}:{self.row(rows)}"
            case LoadTotals(to, _, zone, schedulers, rows):
                return f"sum to {to} of zone {zone} from {schedulers}:{self.row(rows)}"
            case Wake():
                return ""
        raise AssertionError(decision)

    @staticmethod
    def row(rows: list[LoadRow]) -> str:
        return "".join(f" {chr(w.id)}:{slots:g}" for w, slots, _ in rows) or " nothing"


# ---- the scheduler: settings as operators write them, a reducer, and stubs on the other side of sockets

SETTINGS = {
    "az": 0,
    "categories": [
        {"name": "look", "credit": 1.0, "effect": "repeatable", "due-time-us": 400000, "expiry-us": 5000000},
        {
            "name": "pay",
            "credit": 3.0,
            "effect": "by_key",
            "group": "zone",
            "due-time-us": 400000,
            "expiry-us": 5000000,
            "window-us": 9000000,
        },
    ],
    "ceilings": {
        "conn-idle-us": 10000000,
        "connect-timeout-us": 250000,
        "max-hand-offs": 3,
        "may-cancel": True,
        "max-retry-after-us": 2000000,
        "parallel-tries": True,
        "peers": True,
        "retry-after": True,
    },
    "credit-basis": "work",
    "discovery": "ask",
    "localities": ["east", "west"],
    "skus": ["big", "small"],
    "family-info": {
        "class-stretch": [2.0, 2.0],
        "progress-us": 1000000,
        "report-x0": "free slots",
        "tells-start": True,
    },
    "guarantees": {
        "ask-every-us": 10000000,
        "cold-share": 0.25,
        "fall-multiple": 3.0,
        "fall-us": 2000000,
        "ramp-time-us": 10000000,
    },
    "load-report": {"names": ["x0", "active"]},
    "peers-total": 2,
    "position": 0,
    "prices": {"peer": 0.01},
}


def settings(**changes) -> dict[str, str]:
    return flatten(SETTINGS | changes)


def limits(**changes) -> Limits:
    return replace(compute_limits(256, 192, 1000, 10.0, 0.25, 20.0, 5.0), **changes)


class ReducerHarness(Traced):
    """A reducer alone; its inputs and effects are traced."""

    def __init__(self, workers: str = "AB", **changes) -> None:
        self.terms = read_scheduler_config(settings(**changes))
        self.reducer, self.now, self.lines = Reducer(self.terms, 7, START), START, []
        self.put("listed", ListForm.CACHED, [self.row(name) for name in workers], note="list")

    @staticmethod
    def row(name: str, phase: Phase = Phase.READY, place: str = "") -> tuple:
        return name, ord(name), 0, 0, 0, phase, -1e9, place or f"at {name}", 1.0

    def take(self, key: str, category: int = 0) -> None:
        c = self.terms.categories[category]
        self.put("taken", key, c, None, self.now, self.now + c.expiry, 0.1, 1.0, note=f"take {key}")

    def put(self, kind: str, *fields, note: str = "") -> list:
        effects = list(self.reducer.reduce(self.now, kind, *fields))
        texts = [self.word(effect) for effect in effects if type(effect).__name__ != "Timer"]
        self.lines.append(
            f"{self.now - START:5.2f}  {note or ' '.join([kind, *map(str, fields)])}: "
            f"{', '.join(texts) or 'nothing'}"
        )
        return effects

    @staticmethod
    def word(effect: ReducerEffect) -> str:
        if isinstance(effect, Answer):
            text = effect.result or (f"back in {effect.retry_after:g} s" if effect.retry_after else "")
            return f"{effect.final.value} {effect.key} {text}".strip()
        return f"{type(effect).__name__.lower()} {' '.join(map(str, effect))}".strip()


class Client(Traced):
    """A client's end of a connection, and a stub of the scheduler that only records the calls."""

    def __init__(self, room: int = 8, full: bool = False, **changes) -> None:
        self.lines: list[str] = []
        self.calls: list[WorkItemCall] = []
        self.subjects: list[tuple[int, bool]] = []  # with whether it is a repeat
        self.closing, self.room, self.retry_fields = False, room, ("Retry-After: 1",)
        self.pulse = StallDetector(time.monotonic())
        terms = read_scheduler_config(settings())
        names = read_name_maps(settings(), terms)
        self.counts = Counts(names.categories.values())
        self.sock, there = gevent.socket.socketpair()
        self.sock.settimeout(2.0)
        there = PlainSocket(there)
        limit = limits(**changes)
        self.conversation = Conversation(Connection(there, limit.ring), limit, names, self, full)
        self.running = gevent.spawn(self.conversation.run)

    def accepts_work(self) -> bool:
        return not self.closing

    def has_room_for(self, body: int) -> bool:
        return len(self.calls) < self.room

    def has_open_item(self, id: bytes) -> bool:
        return any(call.id == id and call.reply is None for call in self.calls)

    def accept_item(
        self,
        call: WorkItemCall,
        category: Category,
        customer: object,
        now: float,
        expiry_at: float,
        hint: float,
        slots: float,
        subject: int,
        repeat: bool,
    ) -> None:
        self.calls.append(call)
        self.subjects.append((subject, repeat))
        self.lines.append(
            f"taken {call.message.target.decode()}: {expiry_at - call.message.first_at:.3f} s, "
            f"hint {hint:g}, slots {slots:g}, {len(call.message.body)} bytes"
        )

    def client_left(self, call: WorkItemCall) -> None:
        self.lines.append(f"left {call.message.target.decode()}")

    def call_ended(self, call: WorkItemCall) -> None:
        if call.accepted:
            self.lines.append(f"done {call.message.target.decode()}")

    def send(self, *parts: bytes) -> None:
        """Sends the parts with pauses."""
        for part in parts:
            self.sock.sendall(part)
            gevent.sleep(0.02)

    def receive(self) -> None:
        """Traces what is received, without the lengths."""
        gevent.sleep(0.02)
        try:
            data = self.sock.recv(65536)
        except TimeoutError:
            data = b"(nothing)"
        text = data.decode().replace("\r\n", " | ") or "(end)"
        self.lines.append(f"hear {re.sub(r' [|] Content-Length: [0-9]+', '', text).strip(' |')}")


def post(target: str = "/look/7", body: bytes = b"x", *fields: str, **named: str) -> bytes:
    headers = {
        "X-Correlation-Id": "c1",
        "X-Service-Class": target.split("/")[1],
        "X-Time-Left-Ms": "480",
        "Idempotency-Key": "k" if target.startswith("/pay") else "",
        "Content-Length": str(len(body)),
    }
    headers |= {name.replace("_", "-"): text for name, text in named.items()}
    return (
        "\r\n".join(
            [
                f"POST {target} HTTP/1.1",
                "Host: app.svc",
                *(f"{name}: {text}" for name, text in headers.items() if text),
                *fields,
                "",
                "",
            ]
        ).encode()
        + body
    )


@contextmanager
def logged(function: str) -> Iterator[list[str]]:
    """Collects the log messages of one function."""
    messages: list[str] = []
    sink = logger.add(
        lambda line: messages.append(line.record["message"]),
        filter=lambda record: record["function"] == function,
    )  # added here, so that lines of earlier tests are not included
    yield messages
    logger.remove(sink)


def wait_until(seen: Callable[[], bool], seconds: float = 5.0) -> None:
    """Lets other greenlets run until `seen`, for at most `seconds`; the caller has to assert it."""
    until = time.monotonic() + seconds
    while not seen() and time.monotonic() < until:
        gevent.sleep(0.005)


class PlainSocket:
    """Wraps a socket of a pair, which does not support TCP options."""

    def __init__(self, sock: gevent.socket.socket) -> None:
        self._sock = sock

    def setsockopt(self, *option: int) -> None:
        pass

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)


def door() -> gevent.socket.socket:
    """Opens a listening socket at a free port on loopback."""
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    return listener


class StubServer:
    """A stub server on loopback that answers each request with the next piece of its script.

    A piece is bytes to send; None sends nothing for 5 s; an empty piece closes the connection.
    """

    def __init__(self, *script: bytes | None, last: bool = False) -> None:
        self.last = last  # close after each piece
        self.script, self.requests, self.connections = list(script), [], 0
        self.listener = door()
        self.address = self.listener.getsockname()
        self.running = gevent.spawn(self.run)

    def run(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.connections += 1
            gevent.spawn(self.serve, sock)

    def serve(self, sock: gevent.socket.socket) -> None:
        while data := sock.recv(65536):
            self.requests.append(data.decode())
            piece = self.script.pop(0) if self.script else b""
            if piece is None:
                gevent.sleep(5.0)
            elif not piece:
                break
            else:
                sock.sendall(piece)
                if self.last:
                    break
        sock.close()


def chunked(*lines: str, status: str = "200 OK", last: bool = True) -> bytes:
    """Encodes a chunked response, without its last chunk if `last` is false."""
    chunks = "".join(f"{len(line) + 1:x}\r\n{line}\n\r\n" for line in lines)
    return (
        f"HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}{'0' if last else ''}".encode()
        + (b"\r\n\r\n" if last else b"")
    )
