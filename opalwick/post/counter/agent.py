"""A counter as a process: its clients, its deliveries, its links, its time. What it does is `role.py`'s."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

import gevent

from opalwick.post import events
from opalwick.post.counter.delivery import Delivery, Identification
from opalwick.post.counter.front import Counting
from opalwick.post.counter.item import Start
from opalwick.post.counter.role import Gateway
from opalwick.post.link import Process, Shell
from opalwick.post.settings import Settings
from opalwick.post.verdict import DeliveryOutcome
from opalwick.post.wire_pb2 import Letter
from opalwick.protocol.conversation import Call
from opalwick.protocol.door import Listener
from opalwick.protocol.http import Message
from opalwick.transport.connection import listen
from opalwick.transport.limits import Limits, compute_limits
from opalwick.transport.pool import Pool
from opalwick.transport.pulse import StallDetector as Standing

ACCEPTS = 512  # messages on their way to depots at once: two seconds of a small machine's most
BODY = 1 << 20  # octets of a body at most, whatever the configuration allows
FINISH = 0.05  # s between looks whether all is finished before its end
LAST = 1.0  # s before SIGKILL that it ends whatever is left


class CounterShell(Shell):
    role: Gateway

    def __init__(self, settings: Settings, process: Process) -> None:
        now = time.monotonic()
        super().__init__(Gateway(settings, int(time.time() * 1000), now, ACCEPTS), process)
        self.settings = settings
        self.limits: Limits = replace(
            compute_limits(settings.nofile - 200, settings.mem_mb, 4096, 15.0, 0.3, 60.0, 3.0), body=BODY
        )
        self.pool = Pool(self.limits.workers, 60.0, self.limits.ring)
        self.pool.max_by_address = self.role.rounds.connection_limits
        self.deliveries: dict[tuple[Any, int], Delivery] = {}
        self.pulse = Standing(now)  # whether this process stood still
        self.door: Any = None

    # ---- what connections ask

    def ready(self) -> bool:
        self.role.clock(time.monotonic())
        return self.role.ready()

    def offered(self, call: Call, message: Message, letter: Letter, delay: float) -> None:
        self.role.clock(time.monotonic())
        self.guarded(self.role.offered, call, message, letter, delay)
        self.settle()

    def asked_back(self, call: Call, name: str, body: bool) -> None:
        self.role.clock(time.monotonic())
        self.guarded(self.role.asked_back, call, name, body)

    @property
    def closing(self) -> bool:
        return bool(self.door is not None and self.door.closing)

    # ---- deliveries

    def perform(self) -> None:
        orders, self.role.commands = self.role.commands, []
        for order in orders:
            if isinstance(order, Start):
                self.start(order)
            elif (delivery := self.deliveries.get((order.key, order.number))) is not None:
                delivery.cancel()

    def start(self, order: Start) -> None:
        def wanted() -> bool:
            self.role.clock(time.monotonic())
            return self.role.may_start(order)

        def tell(end: Any, kept: bool) -> None:
            self.deliveries.pop((order.key, order.number), None)
            if end[0].ran is None and end[0] is not DeliveryOutcome.CANCELLED:
                # the next one finds out by a new connection, in a tenth of the time, whether anybody is there
                self.pool.close_idle(order.place[:2])
            self.role.clock(time.monotonic())
            self.guarded(self.role.delivery_ended, order, *end, kept)
            self.settle()

        delivery = self.deliveries[order.key, order.number] = Delivery(
            order.place,
            order.item.message,
            order.within,
            wanted,
            self.pool,
            self.limits,
            tell,
            self.meeting(order),
        )
        gevent.spawn(delivery.run)

    def meeting(self, order: Start) -> Identification | None:
        if not self.role.must_identify(order):
            return None
        service = self.role.rounds.dispatchers[order.item.dispatcher_name].service
        return Identification(service.probe, lambda name: self.role.is_intended(order, name))

    # ---- running

    def finish(self, until: float) -> None:
        """Returns once nothing is held and nobody is owed an answer, at that time at the latest."""
        while time.monotonic() < until and not (self.role.gone and not self.door.conversations):
            if self.role.closing and not self.closing:
                self.door.close_at = self.door.end_at = time.monotonic()
                self.door.end_changed.set()
            gevent.sleep(FINISH)

    def beat(self) -> None:
        """Runs in a greenlet of its own."""
        while True:
            self.pulse.tick(time.monotonic())
            gevent.sleep(self.pulse.PERIOD)

    def sweep(self) -> None:
        while True:
            gevent.sleep(1.0)
            self.pool.sweep()

    def serve(self) -> None:
        places = [self.settings.binds["front"], self.settings.binds["ready"]]
        doors = [
            Listener(
                listen(place, 1024),
                self.limits,
                self.pulse,
                lambda c, full: Counting(c, self.limits, self, full),
                lambda: self.limits.clients,
                self.pool,
            )
            for place in places
        ]
        self.door = doors[0]
        for work in (self.beat, self.sweep, self.door.close_idle):
            self.forever(work)
        accepting = [self.forever(door.accept) for door in doors]
        self.begin()
        self.stop.wait()
        self.role.clock(time.monotonic())
        self.role.leave()
        until = time.monotonic() + self.settings.bounds.grace - LAST
        self.finish(until)
        for greenlet in accepting:  # what was not accepted was not read: the client goes on
            greenlet.kill()
        self.finish(until)  # a request may have come in the moment before
        events.say(104, held=self.role.rounds.held(), ends=len(self.role.rounds.unconfirmed_ends))
        gevent.sleep(0.05)
        self.ending = True
