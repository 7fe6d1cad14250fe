"""Simulated workers and static endpoints: slots, queue, ids, heartbeats, answers and their loss.

They record in the history: `arrived`, `turned`, `began`, `finished`, `said`, `drains`, `drain_acked`, `gone`.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from opalwick.lab.agenda import Entry
from opalwick.lab.draws import spread
from opalwick.lab.post.day import Service
from opalwick.lab.post.roles import Attempt
from opalwick.protocol.http import Message

if TYPE_CHECKING:
    from opalwick.lab.post.world import World

COLD, COLD_FOR = 1.6, 3.0  # factor on the work of a worker that has just started, and for how many s
CALL_TIMEOUT = 1.0  # s for a call to a controller
LATEST_REPEAT = 1.0  # s after an answer that it is sent a second time, at the latest
LINGER = 0.5  # s that a worker stays after its drain is due
DRAIN_TIMEOUT = 5.0  # s after which a worker leaves although its drain was not acknowledged


class Run:
    """A request that a gateway has sent to a worker."""

    __slots__ = (
        "began",
        "closed",
        "number",
        "over",
        "rid",
        "sending",
        "slot",
        "svc",
        "timer",
        "want",
        "within",
    )

    def __init__(self, number: int, sending: Attempt) -> None:
        self.number, self.sending = number, sending
        message = sending.order.item.message
        self.rid, self.want, self.within = message.rid, sending.order.place[2], sending.order.within
        self.began = self.closed = self.over = self.slot = False
        self.timer: Entry | None = None


class Table:
    """State shared by the workers of a service: seen request ids and the rate limit."""

    def __init__(self, world: World, service: Service) -> None:
        self.world, self.service = world, service
        self.seen: dict[
            str, str
        ] = {}  # by request id: completion token of the first success; empty while it runs
        self.tokens, self.at = 0.0, 0.0

    def over_ceiling(self) -> bool:
        """Takes a token of the rate limit's bucket; True if there is none."""
        rate, now = self.service.rate, self.world.agenda.now
        if not rate:
            return False
        self.tokens, self.at = min(5.0 + 0.5 * rate, self.tokens + (now - self.at) * rate), now
        if self.tokens < 1.0:
            return True
        self.tokens -= 1.0
        return False


class Worker:
    """A worker process or static endpoint. Fault injection sets `lost`, `breaks`, `repeats`, `hangs` and
    `dark`.
    """

    def __init__(
        self, world: World, service: Service, number: int, zone: str, place: tuple[str, int]
    ) -> None:
        self.world, self.service, self.zone, self.place = world, service, zone, place
        self.id = f"i-{number:04x}" if not service.static else f"{place[0]}:{place[1]}"
        self.table = world.tables[service.name]
        self.draw = world.draws.of(f"worker/{number}")
        self.there, self.dark, self.hangs = True, False, False
        self.draining = self.ending = False
        self.running: dict[Run, None] = {}
        self.queue: deque[Run] = deque()
        self.born = world.agenda.now
        self.calls = 0
        self.lost = self.breaks = self.repeats = 0.0
        self.says = ""  # a false zone that it reports; empty: its own
        world.net.zones[self.id] = zone
        world.at_address[place] = self
        if not service.static:
            world.agenda.after(0.3 * self.draw.random(), self.beat)

    # ---- requests

    def arrive(self, run: Run) -> None:
        world = self.world
        if not self.there:
            world.reset(run, self.id)
            return
        message = run.sending.order.item.message
        world.note(
            "arrived",
            run.number,
            run.rid,
            self.id,
            self.service.name,
            run.sending.proc.node,
            world.intact(message),
        )
        if self.dark or self.hangs:
            run.closed = True
            return
        if self.breaks and self.draw.random() < self.breaks:
            if self.draw.random() < 0.5:
                world.reset(run, self.id)
                return
            world.agenda.after(0.02 * self.draw.random(), self.break_off, run)
        if run.want and run.want != self.id:
            self.reject(run, 421)
            return
        if self.table.over_ceiling():
            self.reject(run, 429)
            return
        if self.service.dedup and (seal := self.table.seen.get(run.rid)) is not None:
            if not seal:
                self.reject(run, 409)
                return
            self.answer(run, 200, False, seal)
            return
        if len(self.running) < self.service.slots:
            self.begin(run)
        elif len(self.queue) < self.service.queue:
            self.queue.append(run)
        else:
            self.reject(run, 503)

    def reject(self, run: Run, status: int) -> None:
        """Rejects the request without running it."""
        self.world.note("turned", run.number, status)
        self.answer(run, status, True)

    def begin(self, run: Run) -> None:
        world, want = self.world, self.world.wants.get(run.rid)
        if self.service.dedup:
            if run.rid in self.table.seen:  # a hedge at another worker began while this one was queued
                seal = self.table.seen[run.rid]
                if seal:
                    self.answer(run, 200, False, seal)
                else:
                    self.reject(run, 409)
                return
            self.table.seen[run.rid] = ""
        run.began = run.slot = True
        self.running[run] = None
        world.note("began", run.number)
        work = spread(self.draw, want.work if want is not None else self.service.work, 0.5) * world.slowness(
            self
        )
        if world.agenda.now - self.born < COLD_FOR and not self.service.static:
            work *= COLD
        run.timer = world.agenda.after(min(work, run.within), self.done, run, work <= run.within)

    def done(self, run: Run, whole: bool) -> None:
        if run not in self.running:
            return
        world, want = self.world, self.world.wants.get(run.rid)
        del self.running[run]
        status, seal = 200, ""
        if not whole:
            status = 504
        elif want is not None and want.poison:
            status = want.poison
        elif self.draw.random() < self.service.errors + world.errors(self):
            status = 500
        else:
            seal = f"{self.id}.{run.number}"
        if self.service.dedup:
            if status == 200:
                self.table.seen[run.rid] = seal
            else:
                self.table.seen.pop(run.rid, None)
        world.note("finished", run.number, status, seal)
        self.answer(run, status, False, seal)
        self.next()

    def next(self) -> None:
        while self.queue and len(self.running) < self.service.slots:
            self.begin(self.queue.popleft())

    def answer(self, run: Run, status: int, not_run: bool, seal: str = "") -> None:
        """Sends the whole answer, unless it is lost."""
        if run.over:
            return
        run.over = True
        if self.lost and self.draw.random() < self.lost:
            return
        self.world.note("said", run.number, status, seal)
        load = b"%d,%d,%d" % (len(self.running), len(self.queue), self.service.slots)
        self.world.back(run, self.id, status, not_run, seal, load)
        if self.repeats and self.draw.random() < self.repeats:
            late = LATEST_REPEAT * self.draw.random() ** 2
            self.world.agenda.after(late, self.answer_again, run, status, not_run, seal, load)

    def answer_again(self, run: Run, status: int, not_run: bool, seal: str, load: bytes) -> None:
        """Sends an answer a second time."""
        if self.there and not self.dark:
            self.world.back_again(run, self.id, status, not_run, seal, load)

    def break_off(self, run: Run) -> None:
        if not run.over:
            run.over = True
            self.drop(run)
            self.world.reset(run, self.id)

    def hung_up(self, run: Run) -> None:
        """The connection was closed; most requests on it are dropped."""
        run.closed = True
        if (run.began and run in self.running and self.draw.random() < 0.8) or run in self.queue:
            run.over = True
            self.drop(run)

    def drop(self, run: Run) -> None:
        if run in self.running:
            del self.running[run]
            if run.timer is not None:
                run.timer.cancel()
            if self.service.dedup:
                self.table.seen.pop(run.rid, None)
            self.next()
        elif run in self.queue:
            self.queue.remove(run)

    # ---- heartbeats, drain and end

    def beat(self) -> None:
        if self.there and not self.ending:
            if not self.dark:
                self.call_controller("draining" if self.draining else "up", None)
            self.world.agenda.after(float(self.world.day.beat) * (0.9 + 0.2 * self.draw.random()), self.beat)

    def call_controller(
        self, state: str, acknowledged: Callable[[str], None] | None, tries: int = 4, method: bytes = b"PUT"
    ) -> None:
        """Calls controllers one after the other until one accepts, at most `tries` times."""
        world = self.world
        self.calls += 1
        body = (
            json.dumps(
                {
                    "svc": self.service.name,
                    "address": f"{self.place[0]}:{self.place[1]}",
                    "az": self.says or self.zone,
                    "gen": "v1",
                    "capacity": self.service.slots,
                    "state": state,
                    "calls": self.calls,
                    "chill_ms": max(0, int(1000 * (COLD_FOR - (world.agenda.now - self.born)))),
                }
            ).encode()
            if method == b"PUT"
            else b""
        )
        office = self.draw.choice(world.of("office"))

        def answered(status: int, _: bytes) -> None:
            if 200 <= status < 300:
                if acknowledged is not None:
                    acknowledged(office.node)
            elif tries > 1 and self.there:
                world.agenda.after(0.05, self.call_controller, state, acknowledged, tries - 1, method)

        world.call(self.id, office, method, f"/workers/{self.id}", body, answered, CALL_TIMEOUT)

    def drain(self) -> None:
        if not self.there or self.draining or self.service.static:
            return
        self.draining = True
        self.world.note("drains", self.id)
        self.announce()
        self.world.agenda.after(DRAIN_TIMEOUT, self.leave)

    def announce(self) -> None:
        """Reports the drain again until it is acknowledged."""
        if self.there and not self.ending:
            self.call_controller("draining", self.drain_acknowledged, 1)
            self.world.agenda.after(CALL_TIMEOUT + 0.1, lambda: None if self.ending else self.announce())

    def drain_acknowledged(self, node: str) -> None:
        self.world.note("drain_acked", self.id, node)
        if not self.ending:
            self.ending = True
            self.world.agenda.after(float(self.world.day.bounds.drain) + LINGER, self.leave)

    def leave(self) -> None:
        """Deregisters and ends."""
        if self.there:
            self.ending = True
            self.call_controller("", lambda node: self.world.note("drain_acked", self.id, node), 4, b"DELETE")
            self.world.agenda.after(0.1, self.end, False)

    def end(self, crashed: bool) -> None:
        """Ends the process; connections with requests in progress are reset."""
        if not self.there:
            return
        self.there = False
        self.world.note("gone", self.id, crashed)
        if self.world.at_address.get(self.place) is self:
            del self.world.at_address[self.place]
        for run in [*self.running, *self.queue]:
            if run.timer is not None:
                run.timer.cancel()
            if self.service.dedup and run.began:
                self.table.seen.pop(run.rid, None)
            run.over = True
            self.world.reset(run, self.id)
        self.running, self.queue = {}, deque()
        self.world.worker_removed(self)


def request(method: bytes, target: str, host: str = "ctl", body: bytes = b"", **fields: str) -> Message:
    """An HTTP request; underscores in names of header fields become hyphens."""
    message = Message(0.0)
    message.method, message.target, message.body = method, target.encode(), body
    message.headers = {b"host": host.encode()}
    for name, value in fields.items():
        message.headers[name.replace("_", "-").encode()] = value.encode()
    return message


def header(fields: tuple[str, ...], name: str) -> str:
    """Value of the header field (name in lower case); empty: there is none."""
    return next(
        (line.partition(":")[2].strip() for line in fields if line.lower().startswith(name + ":")), ""
    )
