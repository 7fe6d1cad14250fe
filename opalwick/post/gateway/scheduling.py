"""Delivery scheduling of a gateway: when each message is attempted, and what follows from each outcome.

Pure state machine without sockets or a clock. Inputs add to `outbox` (messages to stores) and `commands`
(start or stop a delivery), which the caller collects with `effects()`. The service's dispatcher picks the
worker.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from typing import Any

from opalwick.random_source import RandomSource
from opalwick.post.gateway.ownership import Agreement
from opalwick.post.gateway.rate_limits import PERMIT_LIFETIME
from opalwick.post.gateway.dispatchers import MESSAGE_EXPIRY, Dispatcher, Load, WorkerRow, worker_rows
from opalwick.post.gateway.item import Item, RememberedEnd, Start, Stop, UnconfirmedEnd
from opalwick.post.gateway.routes import Routes
from opalwick.post.gateway.connection_budget import connection_budget, choose_workers
from opalwick.post.residency.policy import Policy, partner_name
from opalwick.post.residency.queue import ResidencyQueue
from opalwick.post.maintenance.resting import Resting
from opalwick.post.settings import Settings
from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.wire_pb2 import Conf, End, Letter, Mine, Park, Refuse, Tried, Worker
from opalwick.routing.reducer import Answer, Close, Final, Send

PARK_AFTER = 2.0  # s: messages due later than this wait at their stores
# s before the first retry: an attempt that fails at once mostly fails because of the message itself
FIRST_BACKOFF = 0.02
MAX_BACKOFF = 2.0  # s: upper bound of the exponential backoff between attempts
END_RETENTION = 30.0  # s that a final outcome is remembered: a repeated assignment arrives within this time


def dispatcher_name(svc: str, home: str) -> str:
    """Name of the dispatcher of a service for one country. The separator can't occur in service names."""
    return f"{svc}\x1f{home}" if home else svc


class Rounds:
    """Schedules the deliveries of all messages that this gateway owns. Times are in seconds of its clock."""

    def __init__(
        self, node: str, settings: Settings, seed: int, now: float, may_send: Callable[[Item], bool]
    ) -> None:
        """`may_send`: whether the replicas of a message have recently received messages from this gateway."""
        self.node, self.settings, self.now, self.seed = node, settings, now, seed
        self.chance = RandomSource(seed)
        self.may_send = may_send
        self.items: dict[str, Item] = {}
        self.schedule: list[tuple[float, int, Item]] = []
        self.agreement = Agreement(self.items, self.send, self.schedule_now, may_send)
        self.serial = 0
        self.routes: Routes | None = None
        self.dispatchers: dict[str, Dispatcher] = {}
        self.wake_at = math.inf  # earliest timer of a dispatcher
        # services whose messages wait, or have waited, for permits
        self.awaiting_permits: dict[str, None] = {}
        self.zones: dict[str, int] = {}
        self.workers: dict[str, Worker] = {}
        self.resting = Resting()  # workers whose rack is drained or unavailable
        self.gateway_count = 1  # gateways that share the workers
        self.connection_limits: dict[tuple[str, int], int] = {}  # by address
        self.gateways_in_country = 1
        # by service: names of its data residency dispatchers
        self.residency_dispatchers: dict[str, list[str]] = {}
        self.unconfirmed_ends: dict[str, UnconfirmedEnd] = {}  # by message
        self.remembered_ends: dict[str, RememberedEnd] = {}  # by message
        # by store: number of the last full list of deliveries sent to it
        self.list_numbers: dict[str, int] = {}
        self.ends_by_service: dict[str, int] = {}  # final outcomes sent since the start
        self.leaving = False
        self.policy: Policy | None = None  # where messages subject to data residency may run
        self.country = ""  # of this gateway
        # by dispatcher: messages waiting for a worker in their country
        self.residency_queues: dict[str, ResidencyQueue] = {}
        self.outbox: list[tuple[str, str, Any]] = []
        self.commands: list[Start | Stop] = []
        counted = ("delivered", "failed", "dead", "unknown", "parked", "turned_away")
        self.figures = dict.fromkeys((*counted, "begun_after_end", "second_successes"), 0)

    def clock(self, now: float) -> None:
        self.now = now

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[Start | Stop]]:
        """Returns the messages to stores and the commands since the last call, and clears both."""
        found = self.outbox, self.commands
        self.outbox, self.commands = [], []
        return found

    def held(self) -> int:
        """Number of messages that this gateway owns."""
        return len(self.items)

    # ---- configuration, workers and gateways

    def configured(self, conf: Conf) -> None:
        """Applies a configuration."""
        self.routes = Routes(conf)
        services = {service.name: service for service in conf.services}
        for name, dispatcher in list(self.dispatchers.items()):
            known, new = dispatcher.service, services.get(dispatcher.service.name)
            if new is None or (known.rate, known.dedup, known.static) != (new.rate, new.dedup, new.static):
                # deliveries in flight go on; messages that were not sent are rescheduled
                del self.dispatchers[name]
                dispatcher.permit_queue.clear()
                self.residency_queues.pop(name, None)
                for item in list(self.items.values()):
                    if item.dispatcher_name == name and not item.in_flight:
                        item.queued = False
                        self.schedule_at(self.now, item)
            else:
                dispatcher.service = new
                if known.max_conns != new.max_conns:
                    self.refresh_workers(new.name)
        for name, service in services.items():
            if name not in self.dispatchers:
                self.dispatchers[name] = Dispatcher(
                    service,
                    self.settings,
                    self.zones,
                    self.gateway_count,
                    self.seed ^ len(self.dispatchers),
                    self.now,
                )
                self.wake_at = min(self.wake_at, self.dispatchers[name].wake_at)
                self.refresh_workers(name)
        self.reroute()

    def reroute(self) -> None:
        """Reschedules waiting messages whose route now leads to another service, or is gone."""

        def moved(item: Item) -> bool:
            return (
                not self.update_route(item)
                or item.route is None
                or (dispatcher_name(item.route.svc, item.message.home) != item.dispatcher_name)
            )

        waiting = [
            item
            for dispatcher in self.dispatchers.values()
            for item in dispatcher.permit_queue.remove_if(moved)
        ]
        waiting += [item for queue in self.residency_queues.values() for item in queue.remove_if(moved)]
        for item in waiting:
            item.queued = False
            self.schedule_at(self.now, item)

    def listed(self, workers: dict[str, Worker], changed: Iterable[str]) -> None:
        """`workers`: all workers. `changed`: services whose list of workers has changed."""
        self.workers = workers
        for svc in changed:
            self.refresh_workers(svc)

    def dispatchers_of(self, svc: str) -> list[Dispatcher]:
        """The service's own dispatcher, and one for each country to which messages of it are restricted."""
        names = (svc, *self.residency_dispatchers.get(svc, ()))
        return [dispatcher for name in names if (dispatcher := self.dispatchers.get(name)) is not None]

    def refresh_workers(self, svc: str) -> None:
        """Recomputes which workers the service's dispatchers use, and by how many connections."""
        dispatchers = self.dispatchers_of(svc)
        for dispatcher in dispatchers:
            for place in dispatcher.addresses:
                self.connection_limits.pop(place, None)
        for dispatcher in dispatchers:
            self.refresh_dispatcher(dispatcher)

    def refresh_dispatcher(self, dispatcher: Dispatcher) -> None:
        most = dispatcher.service.max_conns
        if dispatcher.service.static:
            host, _, port = dispatcher.service.static.rpartition(":")
            self.connection_limits[host, int(port)] = connection_budget(most, 1, self.gateway_count)[1]
            return
        there = [
            row
            for row in worker_rows(self.workers, dispatcher.service.name, self.resting)
            if not dispatcher.country or self.in_country(dispatcher, row)
        ]
        # a worker also runs messages without data residency: all gateways share its connections
        count, each = connection_budget(most, sum(not row.draining for row in there), self.gateway_count)
        mine = choose_workers(there, self.node, self.settings.zone, count)
        dispatcher.addresses = {(row.host, row.port) for row in mine}
        self.connection_limits.update(dict.fromkeys(dispatcher.addresses, each))
        self.apply(dispatcher, dispatcher.set_workers(self.now, mine))

    def rest(self, rules: list[str]) -> None:
        """Workers whose rack is drained or unavailable get no deliveries, as if they were draining."""
        if list(self.resting.rules) != rules:
            self.resting = Resting(rules)
            for svc in dict.fromkeys(dispatcher.service.name for dispatcher in self.dispatchers.values()):
                self.refresh_workers(svc)

    def in_flight_at_resting(self) -> int:
        """Deliveries in flight at resting workers."""
        if not self.resting:
            return 0
        return sum(
            dispatcher.in_flight_at_resting(self.resting, self.workers)
            for dispatcher in self.dispatchers.values()
        )

    def due_now(self) -> dict[str, int]:
        """Number of messages that are due and have no final outcome, by service."""
        found: dict[str, int] = {}
        for item in self.items.values():
            if item.route is not None and not item.closed and item.first_due_at <= self.now:
                found[item.route.svc] = found.get(item.route.svc, 0) + 1
        return found

    def in_country(self, dispatcher: Dispatcher, row: WorkerRow) -> bool:
        """Whether the worker is in the dispatcher's country."""
        return (
            self.policy is not None
            and not self.workers[row.id].disputed
            and self.policy.country(row.zone) == dispatcher.country
        )

    def governed(self, policy: Policy | None, country: str) -> None:
        """Applies a data residency policy and this gateway's country: the workers in each country may have
        changed. Messages keep their country; those of other countries return to their stores.
        """
        self.policy, self.country = policy, country
        for name, dispatcher in list(self.dispatchers.items()):
            if dispatcher.country and dispatcher.service.static:
                del self.dispatchers[name]  # made again, with a new check of the endpoint's country
                for item in list(self.items.values()):
                    if item.dispatcher_name == name and not item.in_flight:
                        item.queued = False
                        self.schedule_at(self.now, item)
                self.residency_queues.pop(name, None)
            elif dispatcher.country:
                self.refresh_workers(dispatcher.service.name)
        self.return_to_stores(lambda item: item.message.home not in ("", country))

    def dispatcher_of(self, item: Item) -> Dispatcher | None:
        """The dispatcher of its service that has the workers at which it may run; None if there is none."""
        assert item.route is not None
        svc, home = item.route.svc, item.message.home
        dispatcher = self.dispatchers.get(name := dispatcher_name(svc, home))
        base = self.dispatchers.get(svc)
        if dispatcher is None and home and base is not None:
            static, policy = base.service.static, self.policy
            near = not static or (policy is not None and policy.endpoints.get(static) == home)
            dispatcher = self.dispatchers[name] = Dispatcher(
                base.service,
                self.settings,
                self.zones,
                self.gateways_in_country,
                self.seed ^ len(self.dispatchers),
                self.now,
                home,
                near,
            )
            self.wake_at = min(self.wake_at, dispatcher.wake_at)
            if name not in (names := self.residency_dispatchers.setdefault(svc, [])):
                names.append(name)
            self.refresh_workers(svc)
        return dispatcher

    def counters(self, count: int, in_country: int = 0) -> None:
        """Number of gateways. `in_country`: those in this gateway's country, which share the workers there
        for messages with data residency.
        """
        if (count, max(1, in_country)) == (self.gateway_count, self.gateways_in_country):
            return
        self.gateway_count, self.gateways_in_country = max(1, count), max(1, in_country)
        for dispatcher in list(self.dispatchers.values()):
            dispatcher.terms.schedulers = (
                self.gateways_in_country if dispatcher.country else self.gateway_count
            )
            if not dispatcher.country:
                self.refresh_workers(dispatcher.service.name)

    # ---- messages in

    def accepted(self, message: Letter, replicas: tuple[str, ...]) -> None:
        """The message is stored, and owned by this gateway unless a final outcome was reported meanwhile."""
        if message.mid not in self.remembered_ends:
            self.add(Item(message, replicas, self.now))

    def assigned(self, node: str, message: Letter) -> None:
        """A store assigned the message to this gateway."""
        mid = message.mid
        replicas = dict.fromkeys((node, *message.holders))
        others = set(replicas) - {node}
        if (known := self.items.get(mid)) is not None:
            known.claim = max(known.claim, message.claim)
            # the replicas may have changed; the final outcome goes to all stores that ever had one
            known.replicas = tuple(dict.fromkeys((*known.replicas, *replicas)))
            if known.reassigned:  # assigned again while a delivery of it is in flight
                known.reassigned = False
                self.agreement.await_from(known, others, self.now)
        elif (remembered := self.remembered_ends.get(mid)) is not None:
            self.send(node, "end", remembered.end)  # that store has missed the final outcome
            return
        elif self.leaving or self.routes is None:
            self.send(node, "refuse", Refuse(mid=mid, claim=message.claim))
            return
        else:
            known = Item(message, tuple(replicas), self.now)
            self.agreement.await_from(known, others, self.now)
            self.add(known)
        self.agreement.announce(known, message.claim, replicas)

    def add(self, item: Item) -> None:
        self.items[item.mid] = item
        self.schedule_at(item.due_at, item)

    def send(self, node: str, kind: str, content: Any) -> None:
        self.outbox.append((node, kind, content))

    def schedule_now(self, item: Item) -> None:
        """Schedules it for the next tick."""
        self.schedule_at(self.now, item)

    def schedule_at(self, when: float, item: Item) -> None:
        """Schedules it, unless it is scheduled already or no longer handled here."""
        if item.reassigned:
            self.remove(item)
            return
        if item.scheduled or item.closed:
            return
        item.scheduled = True
        self.serial += 1
        heapq.heappush(self.schedule, (when, self.serial, item))

    # ---- time

    def next_at(self) -> float:
        """When `tick` must be called next."""
        return min(self.wake_at, self.schedule[0][0] if self.schedule else math.inf)

    def tick(self) -> None:
        self.agreement.tick(self.now)
        while self.schedule and self.schedule[0][0] <= self.now:
            item = heapq.heappop(self.schedule)[2]
            item.scheduled = False
            if item.reassigned and not item.in_flight:
                self.remove(item)
            if not item.closed and not item.in_flight and not item.queued:
                self.start_attempt(item)
        self.serve_residency_queues()
        if self.wake_at <= self.now:
            self.wake_at = math.inf
            for dispatcher in list(self.dispatchers.values()):
                if dispatcher.wake_at <= self.now:
                    self.apply(dispatcher, dispatcher.feed(self.now, "woken"))
                self.wake_at = min(self.wake_at, dispatcher.wake_at)

    def forget(self) -> None:
        """Discards expired state; called periodically."""
        for mid, ended in list(self.remembered_ends.items()):
            if self.now - ended.at > END_RETENTION and mid not in self.unconfirmed_ends:
                del self.remembered_ends[mid]
        for mid, unconfirmed in list(self.unconfirmed_ends.items()):
            # by then the other replicas propagate it
            if self.now - unconfirmed.since > 4.0 * END_RETENTION:
                del self.unconfirmed_ends[mid]
        for queue in self.residency_queues.values():
            for item in queue.remove_if(
                lambda item: item.closed or item.reassigned or item.expires_at <= self.now
            ):
                item.queued = False
                self.schedule_at(self.now, item)

    def serve_residency_queues(self) -> None:
        """Dispatches messages that wait for a worker in their country, as far as workers have free slots."""
        for name, queue in self.residency_queues.items():
            dispatcher = self.dispatchers.get(name)
            room = dispatcher.free_slots(self.now) if dispatcher is not None and len(queue) else 0
            while room > 0 and len(queue):
                item = queue.take(self.now)
                item.queued = False
                if (
                    item.closed
                    or item.reassigned
                    or item.expires_at <= self.now
                    or not self.update_route(item)
                    or (self.dispatcher_of(item) is not dispatcher)
                    or not self.may_send(item)
                ):
                    self.schedule_at(self.now + 0.1, item)
                    continue
                room -= 1
                self.dispatch(self.dispatchers[name], item)

    def start_attempt(self, item: Item) -> None:
        """Starts an attempt, or puts the message in the queue for one."""
        message = item.message
        if item.expires_at <= self.now:
            self.finish(item, False, "")
            return
        if message.home not in ("", self.country):
            self.park(item)
            return
        if self.agreement.must_wait(item):
            return
        if self.routes is None or self.routes.gen < message.gen or not self.may_send(item):
            self.schedule_at(self.now + 0.1, item)
            return
        if not self.update_route(item):  # the configuration has no route for it any more
            self.finish(item, False, "")
            return
        assert item.route is not None
        dispatcher = self.dispatcher_of(item)
        if dispatcher is None:
            self.schedule_at(self.now + 0.2, item)
            return
        item.dispatcher_name = dispatcher_name(item.route.svc, message.home)
        if dispatcher.service.rate > 0:
            item.queued = True
            dispatcher.permit_queue.put(item.first_due_at + item.route.start, item)
            self.awaiting_permits[dispatcher.service.name] = None
        elif message.home and (
            len(self.residency_queues.get(item.dispatcher_name, ())) or dispatcher.free_slots(self.now) <= 0
        ):
            item.queued = True
            queue = self.residency_queues.setdefault(item.dispatcher_name, ResidencyQueue())
            queue.put(item.route.prio, self.partner_of(item), item.first_due_at + item.route.start, item)
        else:
            self.dispatch(dispatcher, item)

    def partner_of(self, item: Item) -> str:
        """Its customer according to the policy in force when this was first determined; empty without data
        residency.
        """
        if not item.partner and item.message.home:
            partner = self.policy.partner(item.message) if self.policy is not None else None
            item.partner = partner_name(partner) if partner is not None else item.message.home
        return item.partner

    def update_route(self, item: Item) -> bool:
        """Updates its route to the configuration in force. Returns whether there is one."""
        message = item.message
        if self.routes is not None:
            item.route = self.routes.find(message.host.decode("latin-1"), message.target.decode("latin-1"))
        return item.route is not None

    def permitted(self, svc: str, count: int) -> None:
        """`count` messages may be sent now to a service with a rate limit."""
        while count > 0:
            # of the service's dispatchers the one with the longest queue first
            dispatcher = max(
                (dispatcher for dispatcher in self.dispatchers_of(svc) if dispatcher.permit_queue),
                key=lambda dispatcher: len(dispatcher.permit_queue),
                default=None,
            )
            if dispatcher is None:
                break
            item = dispatcher.permit_queue.take(self.now)
            item.queued = False
            if item.closed or item.reassigned:
                continue
            if item.expires_at <= self.now or not self.update_route(item):
                self.finish(item, False, "")
                continue
            if item.route is None or item.route.svc != svc or not self.may_send(item):
                self.schedule_at(self.now + 0.1, item)
                continue
            count -= 1
            item.permit_expires_at = self.now + PERMIT_LIFETIME
            self.dispatch(dispatcher, item)

    def dispatch(self, dispatcher: Dispatcher, item: Item) -> None:
        assert item.route is not None
        """Hands the message to the dispatcher for an attempt."""
        item.attempt += 1
        item.given_up = False
        if dispatcher.service.rate <= 0.0:  # the expiry of a permit for an earlier service doesn't apply
            item.permit_expires_at = math.inf
        key = item.mid, item.attempt
        self.apply(
            dispatcher,
            dispatcher.feed(
                self.now,
                "taken",
                key,
                dispatcher.category(item.route),
                None,
                self.now,
                self.now + MESSAGE_EXPIRY,
                0.0,
                1.0,
            ),
        )

    # ---- decisions of the dispatcher

    def apply(self, dispatcher: Dispatcher, decided: Iterable[Any], judged: Any = None) -> None:
        """Applies the dispatcher's decisions. `judged`: key of the attempt whose delivery outcome is being
        processed: the caller schedules its retry. The same outcome, as that of the last worker, may give up
        other attempts; their retries are scheduled here.
        """
        for effect in decided:
            match effect:
                case Send(key, number, worker, place, _):
                    item = self.items.get(key[0])
                    if item is None or item.attempt != key[1] or item.route is None or item.reassigned:
                        self.apply(
                            dispatcher,
                            dispatcher.feed(
                                self.now, "ended", key, number, DeliveryOutcome.NOT_SENT.reducer_outcome
                            ),
                        )
                        continue
                    item.in_flight[number] = self.now
                    away = dispatcher.in_other_zone(worker)
                    self.commands.append(Start(item, key, number, place, item.route.limit, away))
                case Close(key, number):
                    if dispatcher.service.dedup:  # without deduplication a cancelled delivery may have run
                        self.commands.append(Stop(key, number))
                        dispatcher.cancels += 1
                case Answer(key, final):
                    item = self.items.get(key[0])
                    if final is not Final.FINISHED and item is not None and item.attempt == key[1]:
                        item.given_up = True
                        if not item.in_flight and key != judged:
                            self.retry_rejected(item)
                case _:
                    pass  # workers are neither probed nor notified
        self.wake_at = min(self.wake_at, dispatcher.wake_at)

    def retry_rejected(self, item: Item) -> None:
        """No worker ran the attempt: schedules a further one with backoff."""
        item.rejections += 1
        if (dispatcher := self.dispatchers.get(item.dispatcher_name)) is not None:
            dispatcher.decay_load_estimates()
        self.figures["turned_away"] += 1
        pause = min(FIRST_BACKOFF * 2.0 ** min(item.rejections - 1, 10), MAX_BACKOFF) * (
            0.5 + self.chance.draw()
        )
        self.schedule_at(self.now + pause, item)

    def result(
        self,
        item: Item,
        key: Any,
        number: int,
        outcome: DeliveryOutcome,
        token: str,
        load: Load | None,
        stale_connection: bool,
    ) -> None:
        """Processes the outcome of a delivery. `token`: the completion token. `stale_connection`: a reused
        connection broke without a response.
        """
        item.in_flight.pop(number, None)
        dispatcher = self.dispatchers.get(item.dispatcher_name)
        if not item.closed:
            self.apply_outcome(item, outcome, token)
        elif outcome is DeliveryOutcome.DONE and self.succeeded_before(item.mid, token):
            self.figures["second_successes"] += 1
        if dispatcher is not None and key in dispatcher.reducer.items:
            # while an earlier delivery of it runs, every worker would reject it: none other is tried
            answered = outcome is not DeliveryOutcome.DONE and (
                item.closed or (outcome is DeliveryOutcome.RUNNING and not item.in_flight)
            )
            self.apply(
                dispatcher,
                dispatcher.feed(
                    self.now,
                    "ended",
                    key,
                    number,
                    outcome.reducer_outcome,
                    answered,
                    dispatcher.load_figures(load),
                    None,
                    stale_connection,
                ),
                key,
            )
        if (
            not item.closed
            and not item.in_flight
            and item.attempt == key[1]
            and (item.given_up or dispatcher is None or key not in dispatcher.reducer.items)
        ):
            if outcome.ran is False:
                self.retry_rejected(item)
            else:
                self.retry(item)

    def succeeded_before(self, mid: str, token: str) -> bool:
        """Whether a run with another completion token has succeeded."""
        found = self.remembered_ends.get(mid)
        return found is not None and found.end.complete and found.end.seal != token

    def apply_outcome(self, item: Item, outcome: DeliveryOutcome, token: str) -> None:
        """Applies the outcome of a delivery to the message."""
        if outcome is DeliveryOutcome.DONE:
            self.figures["delivered"] += 1
            self.finish(item, True, token)
        elif outcome is DeliveryOutcome.REFUSED:
            self.finish(item, False, "")
        elif outcome is DeliveryOutcome.FAILED:
            item.fails += 1
            self.figures["failed"] += 1
            if item.route is not None and item.fails >= item.route.tries:
                self.finish(item, False, "")
            else:
                self.send_to_replicas(item, "tried", Tried(mid=item.mid, fails=item.fails, lost=item.lost))
        elif outcome.ran is None and outcome is not DeliveryOutcome.CANCELLED:
            item.lost += 1
            self.figures["unknown"] += 1

    def retry(self, item: Item) -> None:
        """Schedules the next attempt with backoff after one that may have run."""
        times, item.rejections = item.fails + item.lost, 0
        pause = min(FIRST_BACKOFF * 2.0 ** max(0, min(times, 10) - 1), MAX_BACKOFF) * (
            0.5 + self.chance.draw()
        )
        item.given_up = False
        self.schedule_at(self.now + pause, item)

    # ---- messages to stores

    def send_to_replicas(self, item: Item, kind: str, content: Any) -> None:
        for node in item.replicas:
            self.send(node, kind, content)

    def finish(self, item: Item, complete: bool, token: str) -> None:
        """Records the final outcome of a message and sends it to its replicas."""
        self.remove(item)
        if not complete:
            self.figures["dead"] += 1
        end = End(
            mid=item.mid,
            complete=complete,
            seal=token,
            country=item.ran_in if complete else "",
            holders=item.replicas,
        )
        self.unconfirmed_ends[item.mid] = UnconfirmedEnd(end, set(item.replicas), self.now)
        self.remembered_ends[item.mid] = RememberedEnd(self.now, end)
        svc = item.route.svc if item.route is not None else item.dispatcher_name
        self.ends_by_service[svc] = self.ends_by_service.get(svc, 0) + 1
        self.send_to_replicas(item, "end", end)

    def has_end(self, node: str, mid: str) -> None:
        """A store confirmed that it has the final outcome on disk."""
        if mid in self.unconfirmed_ends:
            missing = self.unconfirmed_ends[mid].missing
            missing.discard(node)
            if not missing:
                del self.unconfirmed_ends[mid]

    def taken_away(self, node: str, mids: list[str]) -> None:
        """A store reports that these messages have another owner. Deliveries in flight go on, and their
        success counts. The other replicas, which may still record this gateway as the owner, get a refusal,
        so that they don't wait for it.
        """
        for mid in mids:
            if (item := self.items.get(mid)) is not None and not item.reassigned:
                item.reassigned = True
                for replica in item.replicas:
                    if replica != node:
                        self.send(replica, "refuse", Refuse(mid=mid, claim=item.claim))
                if not item.in_flight:
                    self.withdraw_attempt(item)
                    self.remove(item)

    def moved(self, mid: str, replicas: tuple[str, ...]) -> None:
        """The replicas have changed: the final outcome goes to the new ones."""
        if (item := self.items.get(mid)) is not None:
            item.replicas = replicas
        elif (remembered := self.remembered_ends.get(mid)) is not None:
            self.unconfirmed_ends[mid] = UnconfirmedEnd(remembered.end, set(replicas), self.now)
            for node in replicas:
                self.send(node, "end", remembered.end)

    def remove(self, item: Item) -> None:
        """Removes the item. If the message was reassigned and assigned here again, the newer item stays."""
        item.closed = True
        if self.items.get(item.mid) is item:
            del self.items[item.mid]

    def withdraw_attempt(self, item: Item) -> None:
        """Removes its attempt from the dispatcher: a later item of the message may have the same key."""
        if (dispatcher := self.dispatchers.get(item.dispatcher_name)) is not None:
            self.apply(dispatcher, dispatcher.feed(self.now, "left", (item.mid, item.attempt)))

    def ended_elsewhere(self, end: End) -> None:
        """A store reports the final outcome of a message, possibly before it was accepted here."""
        self.remembered_ends.setdefault(end.mid, RememberedEnd(self.now, end))
        if (item := self.items.get(end.mid)) is not None:
            self.remove(item)

    def park(self, item: Item) -> None:
        """Returns it to its stores, which assign it again once it is due."""
        self.remove(item)
        self.figures["parked"] += 1
        self.send_to_replicas(
            item,
            "park",
            Park(
                mid=item.mid,
                claim=item.claim,
                due=max(0.0, item.due_at - self.now),
                fails=item.fails,
                lost=item.lost,
            ),
        )

    def park_all(self) -> None:
        """Returns all messages that aren't in flight, before the process ends."""
        self.return_to_stores(lambda item: True)

    def return_to_stores(self, which: Callable[[Item], bool]) -> None:
        """Returns the selected messages that aren't in flight to their stores."""
        for item in list(self.items.values()):
            if not item.in_flight and which(item):
                self.withdraw_attempt(item)
                self.park(item)

    def depot_up(self, node: str) -> None:
        """A store is reachable again: sends it the final outcomes that it has not confirmed, and repeats the
        requests that it has not answered.
        """
        for unconfirmed in self.unconfirmed_ends.values():
            if node in unconfirmed.missing:
                self.send(node, "end", unconfirmed.end)
        self.agreement.ask_again(node)

    def delivery_list(self, node: str, under_way: Iterable[str] = ()) -> Mine:
        """Full list of the messages that this gateway owns and that store has a replica of; it must be sent
        at once. `under_way`: messages that are being accepted.
        """
        mine = [
            (item.mid, item.claim)
            for item in self.items.values()
            if node in item.replicas and not item.reassigned
        ]
        mine += [(mid, 0) for mid in under_way]
        self.list_numbers[node] = number = self.list_numbers.get(node, 0) + 1
        return Mine(mids=[mid for mid, _ in mine], claims=[c for _, c in mine], whole=True, number=number)
