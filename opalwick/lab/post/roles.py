"""The processes of the three roles on the virtual clock: the counterparts of the agents in
`post/*/agent.py`. "counter", "depot" and "office" are the outer names of gateway, store and controller."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any, cast

from opalwick.lab.agenda import Entry
from opalwick.lab.post import disks
from opalwick.lab.post.worker_connections import WorkerConnection, answer_message
from opalwick.lab.post.process import DISKS, PROCESSES, Machine, Proc, recording_events
from opalwick.post.gateway.answers import belongs, verdict
from opalwick.post.gateway.process import MAX_ACCEPTS, EXIT_MARGIN
from opalwick.post.gateway.dispatchers import parse_load as read_load
from opalwick.post.gateway.http_api import decode_message, answer_error, parse_lookup
from opalwick.post.gateway.item import Start
from opalwick.post.gateway.role import Gateway
from opalwick.post.store.process import BATCH_DELAY, load, run_batch
from opalwick.post.store.role import StoreRole
from opalwick.post.controller.process import POLL_INTERVAL, STORE_INTERVAL
from opalwick.post.controller.role import Controller
from opalwick.post.settings import Settings
from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.protocol.server_connection import Call
from opalwick.protocol.http import Malformed, Message
from opalwick.transport.connection import Connection
from opalwick.transport.pool import Pool, PoolExhausted

if TYPE_CHECKING:
    from opalwick.lab.post.workers import Run, Worker

CONNECT = 0.3  # s, time-out for connecting to a worker, as in the gateway's limits
MAX_CONNECTIONS = 1000  # of a gateway to all workers
IDLE = 10.0  # s that workers keep an idle connection; the pool closes it well before


class PendingRequest:
    """A request received by a process, with the callback for its answer."""

    def __init__(self, message: Message, respond: Callable[[int, bytes, tuple[str, ...]], None]) -> None:
        self.call = Call(message, True, self)  # type: ignore[arg-type]
        self.respond: Callable[[int, bytes, tuple[str, ...]], None] | None = respond

    def set(self) -> None:
        """Called when the answer is there: passes it on once. Named as in `threading.Event`, for Call."""
        if self.respond is not None and self.call.reply is not None:
            respond, self.respond = self.respond, None
            respond(*self.call.reply)


class Serving(Proc):
    """A process that serves HTTP requests."""

    def __init__(self, world: Any, machine: Machine) -> None:
        super().__init__(world, machine)
        self.callers: dict[Any, None] = {}  # connections, each with `broken()`

    def die(self, notify: bool) -> None:
        super().die(notify)
        callers, self.callers = self.callers, {}
        if notify:  # a machine that lost power does not close its connections
            for caller in callers:
                caller.broken()

    def ask(self, caller: Any, message: Message) -> None:
        """Called when a complete request is in the process's socket."""
        received_at = self.now()
        self.event(self.read, caller, message, received_at)

    def read(self, caller: Any, message: Message, received_at: float) -> None:
        message.first_at = received_at
        caller.read = True
        pending = PendingRequest(message, caller.told)
        self.whole(pending.call)

    def whole(self, call: Call) -> None:
        """Handles a complete request."""
        raise NotImplementedError


class Attempt:
    """A delivery attempt: the counterpart of `gateway/delivery.py`, as far as a role depends on it."""

    __slots__ = (
        "connection",
        "given_up",
        "order",
        "over",
        "proc",
        "request_id",
        "run",
        "sent",
        "timer",
        "until",
        "worker",
    )

    def __init__(self, proc: GatewayProcess, order: Start) -> None:
        self.proc, self.order = proc, order
        self.request_id = order.item.message.rid.encode("latin-1")
        self.until = proc.now() + order.within + 0.05
        self.given_up = self.over = self.sent = False
        self.connection: WorkerConnection | None = None
        self.worker: Worker | None = None
        self.run: Run | None = None
        self.timer: Entry | None = None

    @property
    def kept(self) -> bool:
        """Whether its connection had been used before."""
        return self.connection is not None and self.connection.uses > 1

    def unwanted(self) -> bool:
        return self.given_up or self.proc.now() >= self.until or not self.proc.role.may_start(self.order)

    def begin(self) -> None:
        if self.unwanted():
            self.end(DeliveryOutcome.NOT_SENT)
            return
        try:
            self.connection = self.acquire()
        except PoolExhausted:
            self.end(DeliveryOutcome.NOT_SENT)
            return
        if self.connection.uses:
            self.worker = self.connection.worker
            self.send()
        else:
            self.connection.uses = 1
            self.connect()

    def acquire(self) -> WorkerConnection:
        """A connection to the worker. One that is reused was identified when it was made."""
        pool, place = self.proc.pool, self.order.place
        while True:
            connection = cast(WorkerConnection, pool.acquire(place[:2], self.request_id))
            identified = connection.worker is not None and connection.worker.id == place[2]
            if not connection.uses or identified or not self.proc.role.must_identify(self.order):
                return connection
            pool.close(cast(Connection, connection))

    def connect(self) -> None:
        proc, place = self.proc, self.order.place[:2]
        found = proc.world.at_address.get(place)
        net = proc.world.net
        self.timer = proc.agenda.after(min(CONNECT, self.until - proc.now()), proc.event, self.no_connection)
        name = found.id if found is not None else f"{place[0]}:{place[1]}"
        if (
            (found is not None and found.dark)
            or not net.open(proc.node, name)
            or not net.open(name, proc.node)
        ):
            return
        trip = net.delay(proc.node, name) + net.delay(name, proc.node)
        proc.agenda.after(trip, proc.event, self.up, found)

    def no_connection(self) -> None:
        self.end(DeliveryOutcome.NOT_SENT if self.unwanted() else DeliveryOutcome.ABSENT)

    def up(self, worker: Worker | None) -> None:
        if self.over:
            return
        if worker is None or not worker.there or worker.dark:
            self.end(DeliveryOutcome.ABSENT)  # connection refused
            return
        # the message was completed, or the attempt cancelled, while the connection was made
        if self.unwanted():
            self.end(DeliveryOutcome.NOT_SENT)
            return
        if self.proc.role.must_identify(self.order):
            trip = self.proc.world.net.delay(self.proc.node, worker.id)
            self.proc.agenda.after(2.0 * trip, self.proc.event, self.meets, worker)
            return
        self.worker = worker
        self.send()

    def meets(self, worker: Worker) -> None:
        """The worker has identified itself, before the message is sent."""
        if self.over:
            return
        if not worker.there or worker.dark or not self.proc.role.is_intended(self.order, worker.id):
            self.end(DeliveryOutcome.NOT_SENT if self.unwanted() else DeliveryOutcome.ABSENT)
            return
        if self.unwanted():
            self.end(DeliveryOutcome.NOT_SENT)
            return
        self.worker = worker
        self.send()

    def send(self) -> None:
        proc, worker, connection = self.proc, self.worker, self.connection
        assert worker is not None and connection is not None
        connection.worker, connection.attempt = worker, self
        connection.unfinished.add(self.request_id)
        self.sent = True
        if self.timer is not None:
            self.timer.cancel()
        self.timer = proc.agenda.after(
            max(0.0, self.until - proc.now()), proc.event, self.end, DeliveryOutcome.SILENT
        )
        proc.world.deliver(self, worker)

    def answered(self, run: Run, status: int, not_run: bool, seal: str, load: bytes) -> None:
        """Called when a worker's complete answer has arrived; `seal` is the completion token."""
        if self.over:
            return
        self.run = None
        self.proc.world.note("read", run.number)
        self.take(answer_message(run.rid, status, not_run, seal), seal, load)

    def answered_again(self, run: Run, status: int, not_run: bool, seal: str, load: bytes) -> None:
        """Called when a second answer to this attempt arrives, on a connection that may have gone on to
        another one.
        """
        connection = self.connection
        if connection is None or connection.closed:
            return
        if connection.attempt is None:
            connection.unread = True
        else:
            connection.attempt.take(answer_message(run.rid, status, not_run, seal), seal, load)

    def take(self, answer: Message, seal: str, load: bytes) -> None:
        """An answer has arrived while one is awaited: it may be one to an earlier request."""
        assert self.connection is not None
        if not belongs(answer, self.request_id, False):
            self.connection.close()
        else:
            self.proc.pool.set_idle_limit(self.order.place[:2], 0.7 * IDLE - 0.1)
        self.end(verdict(answer, self.request_id, False, True), seal, read_load(load) if load else None)

    def broken(self) -> None:
        """Called when the connection was reset or closed."""
        self.run = None
        if self.connection is not None:
            self.connection.close()
        self.end(DeliveryOutcome.CANCELLED if self.given_up else DeliveryOutcome.BROKEN, kept=self.kept)

    def give_up(self) -> None:
        """Cancels the attempt."""
        self.given_up = True
        if self.sent:
            self.proc.after(0.0, self.end, DeliveryOutcome.CANCELLED)

    def end(self, outcome: DeliveryOutcome, seal: str = "", load: Any = None, kept: bool = False) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        if self.run is not None:
            self.proc.world.hang_up(self)
        proc = self.proc
        proc.attempts.pop((self.order.key, self.order.number), None)
        self.return_connection(outcome)
        if outcome.ran is None and outcome is not DeliveryOutcome.CANCELLED:
            proc.pool.close_idle(self.order.place[:2])
        proc.guarded(proc.role.delivery_ended, self.order, outcome, seal, load, kept)
        proc.settle()

    def return_connection(self, outcome: DeliveryOutcome) -> None:
        """Only a connection on which the answer has arrived is used again."""
        if (connection := self.connection) is None:
            return
        connection.attempt = None
        if outcome.final:
            connection.unfinished.finish(self.request_id)
        unanswered = (DeliveryOutcome.NOT_SENT, DeliveryOutcome.ABSENT)
        if outcome in unanswered or outcome.ran is None:
            connection.close()
        self.proc.pool.release(self.order.place[:2], cast(Connection, connection))


class GatewayProcess(Serving):
    """A gateway process."""

    role: Gateway

    def __init__(self, world: Any, machine: Machine) -> None:
        self.attempts: dict[tuple[Any, int], Attempt] = {}
        make = cast(Callable[[int], Connection], WorkerConnection)
        self.pool = Pool(MAX_CONNECTIONS, IDLE, 0, connect=make, clock=self.now)
        super().__init__(world, machine)
        self.pool.max_by_address = self.role.rounds.connection_limits

    def make(self, settings: Settings, life: int, now: float) -> Any:
        random_bytes = Random(f"{settings.node}/{life}").randbytes
        return recording_events(Gateway)(settings, life, now, MAX_ACCEPTS, random_bytes)  # type: ignore[call-arg]

    def ready(self) -> bool:
        """Whether the platform's readiness probe would succeed."""
        return self.alive and not self.still and self.role.ready()

    def perform(self) -> None:
        orders, self.role.commands = self.role.commands, []
        for order in orders:
            if isinstance(order, Start):
                attempt = self.attempts[order.key, order.number] = Attempt(self, order)
                self.after(0.0, attempt.begin)
            elif (found := self.attempts.get((order.key, order.number))) is not None:
                found.give_up()

    def whole(self, call: Call) -> None:
        """Handles a complete request, as the real front end does."""
        message = call.message
        if (lookup := parse_lookup(message)) is not None:
            self.guarded(self.role.asked_back, call, lookup.name, lookup.body)
            return
        try:
            letter, delay = decode_message(message)
        except Malformed as problem:
            answer_error(call, problem.status, problem.text)
            return
        self.guarded(self.role.offered, call, message, letter, delay)
        self.settle()

    def die(self, notify: bool) -> None:
        super().die(notify)
        for attempt in list(self.attempts.values()):
            attempt.over = True
            if attempt.timer is not None:
                attempt.timer.cancel()
            if attempt.run is not None and notify:
                self.world.hang_up(attempt)

    def term(self) -> None:
        self.role.leave()
        self.leave(self.now() + self.role.settings.bounds.grace - EXIT_MARGIN)

    def leave(self, until: float) -> None:
        """Polls until the role has drained, or until the time limit, then exits."""
        if self.now() >= until or (self.role.gone and not self.callers):
            self.after(0.05, self.exit)
        else:
            self.after(0.05, self.leave, until)


class StoreProcess(Proc):
    """A store process."""

    role: StoreRole

    def __init__(self, world: Any, machine: Machine) -> None:
        self.gathering = self.closed = False
        self.since = machine.wall_clock() - machine.monotonic()
        super().__init__(world, machine)

    def make(self, settings: Settings, life: int, now: float) -> Any:
        disk = self.machine.disk
        role = recording_events(StoreRole)(settings, life, now, disk.id)  # type: ignore[call-arg]
        load(role, disk, self.since)  # type: ignore[arg-type]
        return role

    def perform(self) -> None:
        if self.role.queue and not self.gathering and not self.closed:
            self.gathering = True
            self.after(BATCH_DELAY, self.write)

    def write(self) -> None:
        writes, fetches = self.role.batch()
        disk, since = self.machine.disk, self.since
        self.machine.on_disk(
            self,
            lambda: run_batch(disk, since, writes, fetches),
            lambda found: self.written(writes, fetches, found),
        )

    def written(self, writes: Any, fetches: Any, found: Any) -> None:
        self.gathering = False
        self.guarded(self.role.synced, writes, fetches, found)
        self.settle()

    def term(self) -> None:
        self.role.leave()
        self.leave()

    def leave(self) -> None:
        if self.role.gone:
            self.closed = True
            self.exit()
        else:
            self.after(0.01, self.leave)


class ControllerProcess(Serving):
    """A controller process."""

    role: Controller

    def __init__(self, world: Any, machine: Machine) -> None:
        super().__init__(world, machine)
        self.saving = False
        self.role.load_directory(machine.disk.remembered())

    def make(self, settings: Settings, life: int, now: float) -> Any:
        return recording_events(Controller)(settings, life, now, self.machine.disk.load())  # type: ignore[call-arg]

    def begin(self) -> None:
        super().begin()
        self.after(STORE_INTERVAL, self.remember)

    def whole(self, call: Call) -> None:
        """Handles a complete request as the real process does, except that there an exception ends the
        connection."""
        try:
            self.role.called(call)
        except Malformed as problem:
            call.answer(problem.status, json.dumps({"err": problem.text}).encode())
        except Exception as problem:  # noqa: BLE001
            self.world.problems.append((self.agenda.now, self.node, repr(problem), "called"))
        self.settle()

    def perform(self) -> None:
        if self.role.saves and not self.saving:
            self.saving = True
            self.after(0.0, self.save)

    def save(self) -> None:
        saves, disk = self.role.batch(), self.machine.disk
        self.machine.on_disk(self, lambda: disk.save(saves[-1].stored), lambda _: self.saved(saves))

    def saved(self, saves: Any) -> None:
        self.saving = False
        self.guarded(self.role.synced, saves)
        self.settle()

    def remember(self) -> None:
        if not self.saving and (directory := self.role.directory_to_store()) is not None:
            disk, self.saving = self.machine.disk, True
            self.machine.on_disk(self, lambda: disk.remember(directory), lambda _: self.saved([]))
        self.after(STORE_INTERVAL, self.remember)

    def term(self) -> None:
        self.role.leave()
        self.settle()
        self.leave()

    def leave(self) -> None:
        self.after(0.0 if self.role.gone else POLL_INTERVAL, self.exit if self.role.gone else self.leave)


DISKS.update(depot=disks.Depot, office=lambda name: disks.Office())
PROCESSES.update(counter=GatewayProcess, depot=StoreProcess, office=ControllerProcess)
