"""Process of a gateway: client connections, deliveries, links and timers. Its logic is in `role.py`."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

import gevent

from opalwick.post import events
from opalwick.post.gateway.delivery import Delivery, Identification
from opalwick.post.gateway.http_api import ClientConnection
from opalwick.post.gateway.item import Start
from opalwick.post.gateway.role import Gateway
from opalwick.post.link import Process, Shell
from opalwick.post.settings import Settings
from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.wire_pb2 import Letter
from opalwick.protocol.server_connection import Call
from opalwick.protocol.listener import Listener
from opalwick.protocol.http import Message
from opalwick.transport.connection import listen
from opalwick.transport.limits import Limits, compute_limits
from opalwick.transport.pool import Pool
from opalwick.transport.stalls import StallDetector as StallDetector

MAX_ACCEPTS = 512  # messages being replicated to stores at once: what a small machine accepts in 2 s at most
MAX_BODY = 1 << 20  # bytes of a message's body, whatever the configuration allows
FINISH_INTERVAL = 0.05  # s between checks whether all work is finished during shutdown
EXIT_MARGIN = 1.0  # s before SIGKILL at which the process exits even if work is left


class GatewayShell(Shell):
    """Runs a gateway's role in a process."""

    role: Gateway

    def __init__(self, settings: Settings, process: Process) -> None:
        now = time.monotonic()
        super().__init__(Gateway(settings, int(time.time() * 1000), now, MAX_ACCEPTS), process)
        self.settings = settings
        self.limits: Limits = replace(
            compute_limits(settings.nofile - 200, settings.mem_mb, 4096, 15.0, 0.3, 60.0, 3.0), body=MAX_BODY
        )
        self.pool = Pool(self.limits.workers, 60.0, self.limits.ring)
        self.pool.max_by_address = self.role.rounds.connection_limits
        self.deliveries: dict[tuple[Any, int], Delivery] = {}
        self.pulse = StallDetector(now)  # whether this process was suspended or stalled
        self.door: Any = None

    # ---- for client connections (`front.GatewayService`)

    def ready(self) -> bool:
        self.role.clock(time.monotonic())
        return self.role.ready()

    def submit(self, call: Call, message: Message, letter: Letter, delay: float) -> None:
        self.role.clock(time.monotonic())
        self.guarded(self.role.offered, call, message, letter, delay)
        self.settle()

    def look_up(self, call: Call, name: str, body: bool) -> None:
        self.role.clock(time.monotonic())
        self.guarded(self.role.asked_back, call, name, body)

    @property
    def closing(self) -> bool:
        return bool(self.door is not None and self.door.closing)

    # ---- deliveries

    def perform(self) -> None:
        """Starts and stops deliveries as the role has ordered."""
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

        def report(result: Any, kept: bool) -> None:
            self.deliveries.pop((order.key, order.number), None)
            if result[0].ran is None and result[0] is not DeliveryOutcome.CANCELLED:
                # a new connection shows in a tenth of the time whether the worker is still there
                self.pool.close_idle(order.place[:2])
            self.role.clock(time.monotonic())
            self.guarded(self.role.delivery_ended, order, *result, kept)
            self.settle()

        delivery = self.deliveries[order.key, order.number] = Delivery(
            order.place,
            order.item.message,
            order.within,
            wanted,
            self.pool,
            self.limits,
            report,
            self.meeting(order),
        )
        gevent.spawn(delivery.run)

    def meeting(self, order: Start) -> Identification | None:
        """How the worker must identify itself before it is sent the message; None if it need not."""
        if not self.role.must_identify(order):
            return None
        service = self.role.rounds.dispatchers[order.item.dispatcher_name].service
        return Identification(service.probe, lambda name: self.role.is_intended(order, name))

    # ---- running

    def finish(self, until: float) -> None:
        """Returns once no message is held and no client waits for an answer, or at `until`."""
        while time.monotonic() < until and not (self.role.gone and not self.door.conversations):
            if self.role.closing and not self.closing:
                self.door.close_at = self.door.end_at = time.monotonic()
                self.door.end_changed.set()
            gevent.sleep(FINISH_INTERVAL)

    def detect_stalls(self) -> None:
        """Runs in a greenlet of its own."""
        while True:
            self.pulse.tick(time.monotonic())
            gevent.sleep(self.pulse.PERIOD)

    def sweep(self) -> None:
        """Runs in a greenlet of its own."""
        while True:
            gevent.sleep(1.0)
            self.pool.sweep()

    def serve(self) -> None:
        """Runs until the process is told to stop, and returns once it has shut down."""
        addresses = [self.settings.binds["front"], self.settings.binds["ready"]]
        listeners = [
            Listener(
                listen(address, 1024),
                self.limits,
                self.pulse,
                lambda c, full: ClientConnection(c, self.limits, self, full),
                lambda: self.limits.clients,
                self.pool,
            )
            for address in addresses
        ]
        self.door = listeners[0]
        for work in (self.detect_stalls, self.sweep, self.door.close_idle):
            self.keep_running(work)
        accepting = [self.keep_running(listener.accept) for listener in listeners]
        self.start_greenlets()
        self.stop.wait()
        self.role.clock(time.monotonic())
        self.role.leave()
        until = time.monotonic() + self.settings.bounds.grace - EXIT_MARGIN
        self.finish(until)
        # requests on connections that are not accepted are not read: their clients retry elsewhere
        for greenlet in accepting:
            greenlet.kill()
        self.finish(until)  # a request may have arrived just before
        events.emit(104, held=self.role.rounds.held(), ends=len(self.role.rounds.unconfirmed_ends))
        gevent.sleep(0.05)
        self.ending = True
