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

from opalwick.chance import Chance
from opalwick.post.counter.agreement import Agreement
from opalwick.post.counter.ceilings import USE
from opalwick.post.counter.desks import SPAN, Desk, Load, Row, rows
from opalwick.post.counter.item import Item, RememberedEnd, Start, Stop, UntoldEnd
from opalwick.post.counter.routes import Routes
from opalwick.post.counter.shares import budget, chosen
from opalwick.post.home.policy import Policy, named
from opalwick.post.home.shelf import Shelf
from opalwick.post.maintenance.resting import Resting
from opalwick.post.settings import Settings
from opalwick.post.verdict import Verdict
from opalwick.post.wire_pb2 import Conf, End, Letter, Mine, Park, Refuse, Tried, Worker
from opalwick.routing.reducer import Answer, Close, Final, Send

PARK = 2.0  # s: messages due later than this wait at their stores
# s before the first retry: an attempt that fails at once mostly fails because of the message itself
AGAIN = 0.02
LONGEST = 2.0  # s: upper bound of the exponential backoff between attempts
REMEMBER = 30.0  # s that a final outcome is remembered: a repeated assignment arrives within this time


def desk_name(svc: str, home: str) -> str:
    """Name of the dispatcher of a service for one country. The separator can't occur in service names."""
    return f"{svc}\x1f{home}" if home else svc


class Rounds:
    """Schedules the deliveries of all messages that this gateway owns. Times are in seconds of its clock."""

    def __init__(
        self, node: str, settings: Settings, seed: int, now: float, may_send: Callable[[Item], bool]
    ) -> None:
        """`may_send`: whether the replicas of a message have recently received messages from this gateway."""
        self.node, self.settings, self.now, self.seed = node, settings, now, seed
        self.chance = Chance(seed)
        self.may_send = may_send
        self.items: dict[str, Item] = {}
        self.due: list[tuple[float, int, Item]] = []
        self.agreement = Agreement(self.items, self.send, self.take_turn, may_send)
        self.serial = 0
        self.routes: Routes | None = None
        self.desks: dict[str, Desk] = {}
        self.wake_at = math.inf  # earliest timer of a dispatcher
        self.thirsty: dict[str, None] = {}  # services whose messages wait, or have waited, for permits
        self.zones: dict[str, int] = {}
        self.workers: dict[str, Worker] = {}
        self.resting = Resting()  # workers whose rack is drained or unavailable
        self.schedulers = 1  # gateways that share the workers
        self.each: dict[tuple[str, int], int] = {}  # limit of connections by address
        self.near = 1  # gateways in this gateway's country
        self.named: dict[str, list[str]] = {}  # by service: names of its data residency dispatchers
        self.ending: dict[str, UntoldEnd] = {}  # by message
        self.ended: dict[str, RememberedEnd] = {}  # by message
        self.numbers: dict[str, int] = {}  # by store: number of the last full list of deliveries sent to it
        self.by_service: dict[str, int] = {}  # final outcomes sent since the start
        self.leaving = False
        self.policy: Policy | None = None  # where messages subject to data residency may run
        self.here = ""  # country of this gateway
        self.shelves: dict[str, Shelf] = {}  # by dispatcher: messages waiting for a worker in their country
        self.sends: list[tuple[str, str, Any]] = []
        self.orders: list[Start | Stop] = []
        counted = ("delivered", "failed", "dead", "unknown", "parked", "turned_away")
        self.figures = dict.fromkeys((*counted, "begun_after_end", "second_successes"), 0)

    def clock(self, now: float) -> None:
        self.now = now

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[Start | Stop]]:
        """Returns the messages to stores and the commands since the last call, and clears both."""
        found = self.sends, self.orders
        self.sends, self.orders = [], []
        return found

    def held(self) -> int:
        """Number of messages that this gateway owns."""
        return len(self.items)

    # ---- configuration, workers and gateways

    def configured(self, conf: Conf) -> None:
        """Applies a configuration."""
        self.routes = Routes(conf)
        services = {service.name: service for service in conf.services}
        for name, dispatcher in list(self.desks.items()):
            known, new = dispatcher.service, services.get(dispatcher.service.name)
            if new is None or (known.rate, known.dedup, known.static) != (new.rate, new.dedup, new.static):
                del self.desks[
                    name
                ]  # deliveries in flight go on; messages that were not sent are rescheduled
                dispatcher.queue.clear()
                self.shelves.pop(name, None)
                for item in list(self.items.values()):
                    if item.svc == name and not item.out:
                        item.queued = False
                        self.at(self.now, item)
            else:
                dispatcher.service = new
                if known.max_conns != new.max_conns:
                    self.relist(new.name)
        for name, service in services.items():
            if name not in self.desks:
                self.desks[name] = Desk(
                    service, self.settings, self.zones, self.schedulers, self.seed ^ len(self.desks), self.now
                )
                self.wake_at = min(self.wake_at, self.desks[name].wake_at)
                self.relist(name)
        self.reroute()

    def reroute(self) -> None:
        """Reschedules waiting messages whose route now leads to another service, or is gone."""

        def moved(item: Item) -> bool:
            return (
                not self.routed(item)
                or item.route is None
                or (desk_name(item.route.svc, item.letter.home) != item.svc)
            )

        waiting = [item for dispatcher in self.desks.values() for item in dispatcher.queue.sift(moved)]
        waiting += [item for queue in self.shelves.values() for item in queue.sift(moved)]
        for item in waiting:
            item.queued = False
            self.at(self.now, item)

    def listed(self, workers: dict[str, Worker], changed: Iterable[str]) -> None:
        """`workers`: all workers. `changed`: services whose list of workers has changed."""
        self.workers = workers
        for svc in changed:
            self.relist(svc)

    def desks_of(self, svc: str) -> list[Desk]:
        """The service's own dispatcher, and one for each country to which messages of it are restricted."""
        names = (svc, *self.named.get(svc, ()))
        return [dispatcher for name in names if (dispatcher := self.desks.get(name)) is not None]

    def relist(self, svc: str) -> None:
        """Recomputes which workers the service's dispatchers use, and by how many connections."""
        dispatchers = self.desks_of(svc)
        for dispatcher in dispatchers:
            for place in dispatcher.used:
                self.each.pop(place, None)
        for dispatcher in dispatchers:
            self.list_at(dispatcher)

    def list_at(self, dispatcher: Desk) -> None:
        most = dispatcher.service.max_conns
        if dispatcher.service.static:
            host, _, port = dispatcher.service.static.rpartition(":")
            self.each[host, int(port)] = budget(most, 1, self.schedulers)[1]
            return
        there = [
            row
            for row in rows(self.workers, dispatcher.service.name, self.resting)
            if not dispatcher.home or self.at_home(dispatcher, row)
        ]
        # a worker also runs messages without data residency: all gateways share its connections
        count, each = budget(most, sum(not row.draining for row in there), self.schedulers)
        mine = chosen(there, self.node, self.settings.zone, count)
        dispatcher.used = {(row.host, row.port) for row in mine}
        self.each.update(dict.fromkeys(dispatcher.used, each))
        self.carry_out(dispatcher, dispatcher.listed(self.now, mine))

    def rest(self, rules: list[str]) -> None:
        """Workers whose rack is drained or unavailable get no deliveries, as if they were draining."""
        if list(self.resting.rules) != rules:
            self.resting = Resting(rules)
            for svc in dict.fromkeys(dispatcher.service.name for dispatcher in self.desks.values()):
                self.relist(svc)

    def out_at_rest(self) -> int:
        """Deliveries in flight at resting workers."""
        if not self.resting:
            return 0
        return sum(dispatcher.held_by(self.resting, self.workers) for dispatcher in self.desks.values())

    def due_now(self) -> dict[str, int]:
        """Number of messages that are due and have no final outcome, by service."""
        found: dict[str, int] = {}
        for item in self.items.values():
            if item.route is not None and not item.over and item.aim_at <= self.now:
                found[item.route.svc] = found.get(item.route.svc, 0) + 1
        return found

    def at_home(self, dispatcher: Desk, row: Row) -> bool:
        """Whether the worker is in the dispatcher's country."""
        return (
            self.policy is not None
            and not self.workers[row.id].disputed
            and self.policy.country(row.zone) == dispatcher.home
        )

    def governed(self, policy: Policy | None, here: str) -> None:
        """Applies a data residency policy and this gateway's country: the workers in each country may have
        changed. Messages keep their country; those of other countries return to their stores.
        """
        self.policy, self.here = policy, here
        for name, dispatcher in list(self.desks.items()):
            if dispatcher.home and dispatcher.service.static:
                del self.desks[name]  # made again, with a new check of the endpoint's country
                for item in list(self.items.values()):
                    if item.svc == name and not item.out:
                        item.queued = False
                        self.at(self.now, item)
                self.shelves.pop(name, None)
            elif dispatcher.home:
                self.relist(dispatcher.service.name)
        self.give_back(lambda item: item.letter.home not in ("", here))

    def desk_of(self, item: Item) -> Desk | None:
        """The dispatcher of its service that has the workers at which it may run; None if there is none."""
        assert item.route is not None
        svc, home = item.route.svc, item.letter.home
        dispatcher = self.desks.get(name := desk_name(svc, home))
        base = self.desks.get(svc)
        if dispatcher is None and home and base is not None:
            static, policy = base.service.static, self.policy
            near = not static or (policy is not None and policy.endpoints.get(static) == home)
            dispatcher = self.desks[name] = Desk(
                base.service,
                self.settings,
                self.zones,
                self.near,
                self.seed ^ len(self.desks),
                self.now,
                home,
                near,
            )
            self.wake_at = min(self.wake_at, dispatcher.wake_at)
            if name not in (names := self.named.setdefault(svc, [])):
                names.append(name)
            self.relist(svc)
        return dispatcher

    def counters(self, count: int, near: int = 0) -> None:
        """Number of gateways. `near`: those in this gateway's country, which share the workers there for
        messages with data residency.
        """
        if (count, max(1, near)) == (self.schedulers, self.near):
            return
        self.schedulers, self.near = max(1, count), max(1, near)
        for dispatcher in list(self.desks.values()):
            dispatcher.terms.schedulers = self.near if dispatcher.home else self.schedulers
            if not dispatcher.home:
                self.relist(dispatcher.service.name)

    # ---- messages in

    def accepted(self, message: Letter, replicas: tuple[str, ...]) -> None:
        """The message is stored, and owned by this gateway unless a final outcome was reported meanwhile."""
        if message.mid not in self.ended:
            self.take(Item(message, replicas, self.now))

    def assigned(self, node: str, message: Letter) -> None:
        """A store assigned the message to this gateway."""
        mid = message.mid
        replicas = dict.fromkeys((node, *message.holders))
        others = set(replicas) - {node}
        if (known := self.items.get(mid)) is not None:
            known.claim = max(known.claim, message.claim)
            # the replicas may have changed; the final outcome goes to all stores that ever had one
            known.touched = tuple(dict.fromkeys((*known.touched, *replicas)))
            if known.foreign:  # assigned again while a delivery of it is in flight
                known.foreign = False
                self.agreement.await_from(known, others, self.now)
        elif (remembered := self.ended.get(mid)) is not None:
            self.send(node, "end", remembered.word)  # that store has missed the final outcome
            return
        elif self.leaving or self.routes is None:
            self.send(node, "refuse", Refuse(mid=mid, claim=message.claim))
            return
        else:
            known = Item(message, tuple(replicas), self.now)
            self.agreement.await_from(known, others, self.now)
            self.take(known)
        self.agreement.tell(known, message.claim, replicas)

    def take(self, item: Item) -> None:
        self.items[item.mid] = item
        self.at(item.due, item)

    def send(self, node: str, kind: str, content: Any) -> None:
        self.sends.append((node, kind, content))

    def take_turn(self, item: Item) -> None:
        """Schedules it for the next tick."""
        self.at(self.now, item)

    def at(self, when: float, item: Item) -> None:
        """Schedules it, unless it is scheduled already or no longer handled here."""
        if item.foreign:
            self.drop(item)
            return
        if item.dated or item.over:
            return
        item.dated = True
        self.serial += 1
        heapq.heappush(self.due, (when, self.serial, item))

    # ---- time

    def next_at(self) -> float:
        """When `tick` must be called next."""
        return min(self.wake_at, self.due[0][0] if self.due else math.inf)

    def tick(self) -> None:
        self.agreement.tick(self.now)
        while self.due and self.due[0][0] <= self.now:
            item = heapq.heappop(self.due)[2]
            item.dated = False
            if item.foreign and not item.out:
                self.drop(item)
            if not item.over and not item.out and not item.queued:
                self.begin(item)
        self.serve()
        if self.wake_at <= self.now:
            self.wake_at = math.inf
            for dispatcher in list(self.desks.values()):
                if dispatcher.wake_at <= self.now:
                    self.carry_out(dispatcher, dispatcher.put(self.now, "woken"))
                self.wake_at = min(self.wake_at, dispatcher.wake_at)

    def forget(self) -> None:
        """Discards expired state; called periodically."""
        for mid, ended in list(self.ended.items()):
            if self.now - ended.at > REMEMBER and mid not in self.ending:
                del self.ended[mid]
        for mid, unconfirmed in list(self.ending.items()):
            if self.now - unconfirmed.since > 4.0 * REMEMBER:  # the other replicas have it, and propagate it
                del self.ending[mid]
        for queue in self.shelves.values():
            for item in queue.sift(lambda item: item.over or item.foreign or item.until <= self.now):
                item.queued = False
                self.at(self.now, item)

    def serve(self) -> None:
        """Dispatches messages that wait for a worker in their country, as far as workers have free slots."""
        for name, queue in self.shelves.items():
            dispatcher = self.desks.get(name)
            room = dispatcher.bears(self.now) if dispatcher is not None and len(queue) else 0
            while room > 0 and len(queue):
                item = queue.take(self.now)
                item.queued = False
                if (
                    item.over
                    or item.foreign
                    or item.until <= self.now
                    or not self.routed(item)
                    or (self.desk_of(item) is not dispatcher)
                    or not self.may_send(item)
                ):
                    self.at(self.now + 0.1, item)
                    continue
                room -= 1
                self.offer(self.desks[name], item)

    def begin(self, item: Item) -> None:
        """Starts an attempt, or puts the message in the queue for one."""
        message = item.letter
        if item.until <= self.now:
            self.end(item, False, "")
            return
        if message.home not in ("", self.here):
            self.park(item)
            return
        if self.agreement.holds_back(item):
            return
        if self.routes is None or self.routes.gen < message.gen or not self.may_send(item):
            self.at(self.now + 0.1, item)
            return
        if not self.routed(item):  # the configuration has no route for it any more
            self.end(item, False, "")
            return
        assert item.route is not None
        dispatcher = self.desk_of(item)
        if dispatcher is None:
            self.at(self.now + 0.2, item)
            return
        item.svc = desk_name(item.route.svc, message.home)
        if dispatcher.service.rate > 0:
            item.queued = True
            dispatcher.queue.put(item.aim_at + item.route.start, item)
            self.thirsty[dispatcher.service.name] = None
        elif message.home and (len(self.shelves.get(item.svc, ())) or dispatcher.bears(self.now) <= 0):
            item.queued = True
            queue = self.shelves.setdefault(item.svc, Shelf())
            queue.put(item.route.prio, self.whose(item), item.aim_at + item.route.start, item)
        else:
            self.offer(dispatcher, item)

    def whose(self, item: Item) -> str:
        """Its customer according to the policy in force when this was first determined; empty without data
        residency.
        """
        if not item.partner and item.letter.home:
            partner = self.policy.partner(item.letter) if self.policy is not None else None
            item.partner = named(partner) if partner is not None else item.letter.home
        return item.partner

    def routed(self, item: Item) -> bool:
        """Updates its route to the configuration in force. Returns whether there is one."""
        message = item.letter
        if self.routes is not None:
            item.route = self.routes.find(message.host.decode("latin-1"), message.target.decode("latin-1"))
        return item.route is not None

    def permitted(self, svc: str, count: int) -> None:
        """`count` messages may be sent now to a service with a rate limit."""
        while count > 0:
            # of the service's dispatchers the one with the longest queue first
            dispatcher = max(
                (dispatcher for dispatcher in self.desks_of(svc) if dispatcher.queue),
                key=lambda dispatcher: len(dispatcher.queue),
                default=None,
            )
            if dispatcher is None:
                break
            item = dispatcher.queue.take(self.now)
            item.queued = False
            if item.over or item.foreign:
                continue
            if item.until <= self.now or not self.routed(item):
                self.end(item, False, "")
                continue
            if item.route is None or item.route.svc != svc or not self.may_send(item):
                self.at(self.now + 0.1, item)
                continue
            count -= 1
            item.use_by = self.now + USE
            self.offer(dispatcher, item)

    def offer(self, dispatcher: Desk, item: Item) -> None:
        assert item.route is not None
        """Hands the message to the dispatcher for an attempt."""
        item.attempt += 1
        item.given_up = False
        if dispatcher.service.rate <= 0.0:  # the expiry of a permit for an earlier service doesn't apply
            item.use_by = math.inf
        key = item.mid, item.attempt
        self.carry_out(
            dispatcher,
            dispatcher.put(
                self.now,
                "taken",
                key,
                dispatcher.category(item.route),
                None,
                self.now,
                self.now + SPAN,
                0.0,
                1.0,
            ),
        )

    # ---- decisions of the dispatcher

    def carry_out(self, dispatcher: Desk, decided: Iterable[Any], judged: Any = None) -> None:
        """Applies the dispatcher's decisions. `judged`: key of the attempt whose delivery outcome is being
        processed: the caller schedules its retry. The same outcome, as that of the last worker, may give up
        other attempts; their retries are scheduled here.
        """
        for effect in decided:
            match effect:
                case Send(key, number, worker, place, _):
                    item = self.items.get(key[0])
                    if item is None or item.attempt != key[1] or item.route is None or item.foreign:
                        self.carry_out(
                            dispatcher,
                            dispatcher.put(self.now, "ended", key, number, Verdict.NOT_SENT.outcome),
                        )
                        continue
                    item.out[number] = self.now
                    away = dispatcher.away(worker)
                    self.orders.append(Start(item, key, number, place, item.route.limit, away))
                case Close(key, number):
                    if dispatcher.service.dedup:  # without deduplication a cancelled delivery may have run
                        self.orders.append(Stop(key, number))
                        dispatcher.cancels += 1
                case Answer(key, final):
                    item = self.items.get(key[0])
                    if final is not Final.FINISHED and item is not None and item.attempt == key[1]:
                        item.given_up = True
                        if not item.out and key != judged:
                            self.turned_away(item)
                case _:
                    pass  # workers are neither probed nor notified
        self.wake_at = min(self.wake_at, dispatcher.wake_at)

    def turned_away(self, item: Item) -> None:
        """No worker ran the attempt: schedules a further one with backoff."""
        item.turned += 1
        if (dispatcher := self.desks.get(item.svc)) is not None:
            dispatcher.doubt()
        self.figures["turned_away"] += 1
        pause = min(AGAIN * 2.0 ** min(item.turned - 1, 10), LONGEST) * (0.5 + self.chance.draw())
        self.at(self.now + pause, item)

    def result(
        self,
        item: Item,
        key: Any,
        number: int,
        outcome: Verdict,
        token: str,
        load: Load | None,
        stale_connection: bool,
    ) -> None:
        """Processes the outcome of a delivery. `token`: the completion token. `stale_connection`: a reused
        connection broke without a response.
        """
        item.out.pop(number, None)
        dispatcher = self.desks.get(item.svc)
        if not item.over:
            self.judge(item, outcome, token)
        elif outcome is Verdict.DONE and self.succeeded_before(item.mid, token):
            self.figures["second_successes"] += 1
        if dispatcher is not None and key in dispatcher.reducer.items:
            # while an earlier delivery of it runs, every worker would reject it: none other is tried
            answered = outcome is not Verdict.DONE and (
                item.over or (outcome is Verdict.RUNNING and not item.out)
            )
            self.carry_out(
                dispatcher,
                dispatcher.put(
                    self.now,
                    "ended",
                    key,
                    number,
                    outcome.outcome,
                    answered,
                    dispatcher.told(load),
                    None,
                    stale_connection,
                ),
                key,
            )
        if (
            not item.over
            and not item.out
            and item.attempt == key[1]
            and (item.given_up or dispatcher is None or key not in dispatcher.reducer.items)
        ):
            if outcome.ran is False:
                self.turned_away(item)
            else:
                self.again(item)

    def succeeded_before(self, mid: str, token: str) -> bool:
        """Whether a run with another completion token has succeeded."""
        found = self.ended.get(mid)
        return found is not None and found.word.complete and found.word.seal != token

    def judge(self, item: Item, outcome: Verdict, token: str) -> None:
        """Applies the outcome of a delivery to the message."""
        if outcome is Verdict.DONE:
            self.figures["delivered"] += 1
            self.end(item, True, token)
        elif outcome is Verdict.REFUSED:
            self.end(item, False, "")
        elif outcome is Verdict.FAILED:
            item.fails += 1
            self.figures["failed"] += 1
            if item.route is not None and item.fails >= item.route.tries:
                self.end(item, False, "")
            else:
                self.tell(item, "tried", Tried(mid=item.mid, fails=item.fails, lost=item.lost))
        elif outcome.ran is None and outcome is not Verdict.CANCELLED:
            item.lost += 1
            self.figures["unknown"] += 1

    def again(self, item: Item) -> None:
        """Schedules the next attempt with backoff after one that may have run."""
        times, item.turned = item.fails + item.lost, 0
        pause = min(AGAIN * 2.0 ** max(0, min(times, 10) - 1), LONGEST) * (0.5 + self.chance.draw())
        item.given_up = False
        self.at(self.now + pause, item)

    # ---- messages to stores

    def tell(self, item: Item, kind: str, content: Any) -> None:
        for node in item.touched:
            self.send(node, kind, content)

    def end(self, item: Item, complete: bool, token: str) -> None:
        """Records the final outcome of a message and sends it to its replicas."""
        self.drop(item)
        if not complete:
            self.figures["dead"] += 1
        end = End(mid=item.mid, complete=complete, seal=token, country=item.ran if complete else "")
        self.ending[item.mid] = UntoldEnd(end, set(item.touched), self.now)
        self.ended[item.mid] = RememberedEnd(self.now, end)
        svc = item.route.svc if item.route is not None else item.svc
        self.by_service[svc] = self.by_service.get(svc, 0) + 1
        self.tell(item, "end", end)

    def has_end(self, node: str, mid: str) -> None:
        """A store confirmed that it has the final outcome on disk."""
        if mid in self.ending:
            missing = self.ending[mid].missing
            missing.discard(node)
            if not missing:
                del self.ending[mid]

    def taken_away(self, node: str, mids: list[str]) -> None:
        """A store reports that these messages have another owner. Deliveries in flight go on, and their
        success counts. The other replicas, which may still record this gateway as the owner, get a refusal,
        so that they don't wait for it.
        """
        for mid in mids:
            if (item := self.items.get(mid)) is not None and not item.foreign:
                item.foreign = True
                for replica in item.touched:
                    if replica != node:
                        self.send(replica, "refuse", Refuse(mid=mid, claim=item.claim))
                if not item.out:
                    self.withdraw(item)
                    self.drop(item)

    def moved(self, mid: str, replicas: tuple[str, ...]) -> None:
        """The replicas have changed: the final outcome goes to the new ones."""
        if (item := self.items.get(mid)) is not None:
            item.touched = replicas
        elif (remembered := self.ended.get(mid)) is not None:
            self.ending[mid] = UntoldEnd(remembered.word, set(replicas), self.now)
            for node in replicas:
                self.send(node, "end", remembered.word)

    def drop(self, item: Item) -> None:
        """Removes the item. If the message was reassigned and assigned here again, the newer item stays."""
        item.over = True
        if self.items.get(item.mid) is item:
            del self.items[item.mid]

    def withdraw(self, item: Item) -> None:
        """Removes its attempt from the dispatcher: a later item of the message may have the same key."""
        if (dispatcher := self.desks.get(item.svc)) is not None:
            self.carry_out(dispatcher, dispatcher.put(self.now, "left", (item.mid, item.attempt)))

    def ended_elsewhere(self, end: End) -> None:
        """A store reports the final outcome of a message, possibly before it was accepted here."""
        self.ended.setdefault(end.mid, RememberedEnd(self.now, end))
        if (item := self.items.get(end.mid)) is not None:
            self.drop(item)

    def park(self, item: Item) -> None:
        """Returns it to its stores, which assign it again once it is due."""
        self.drop(item)
        self.figures["parked"] += 1
        self.tell(
            item,
            "park",
            Park(
                mid=item.mid,
                claim=item.claim,
                due=max(0.0, item.due - self.now),
                fails=item.fails,
                lost=item.lost,
            ),
        )

    def park_all(self) -> None:
        """Returns all messages that aren't in flight, before the process ends."""
        self.give_back(lambda item: True)

    def give_back(self, which: Callable[[Item], bool]) -> None:
        """Returns the selected messages that aren't in flight to their stores."""
        for item in list(self.items.values()):
            if not item.out and which(item):
                self.withdraw(item)
                self.park(item)

    def depot_up(self, node: str) -> None:
        """A store is reachable again: sends it the final outcomes that it has not confirmed, and repeats the
        requests that it has not answered.
        """
        for unconfirmed in self.ending.values():
            if node in unconfirmed.missing:
                self.send(node, "end", unconfirmed.word)
        self.agreement.ask_again(node)

    def deliveries_of(self, node: str, under_way: Iterable[str] = ()) -> Mine:
        """Full list of the messages that this gateway owns and that store has a replica of; it must be sent
        at once. `under_way`: messages that are being accepted.
        """
        mine = [
            (item.mid, item.claim)
            for item in self.items.values()
            if node in item.touched and not item.foreign
        ]
        mine += [(mid, 0) for mid in under_way]
        self.numbers[node] = number = self.numbers.get(node, 0) + 1
        return Mine(mids=[mid for mid, _ in mine], claims=[c for _, c in mine], whole=True, number=number)
