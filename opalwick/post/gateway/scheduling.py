"""Delivery scheduling of a gateway: when each message is attempted. The complete state machine of its
deliveries; `delivery_state.py`, `worker_selection.py` and `outcomes.py` are parts of it.

Pure state machine without sockets or a clock. Inputs add to `outbox` (messages to stores) and `commands`
(start or stop a delivery), which the caller collects with `effects()`. The service's dispatcher picks the
worker.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable

from opalwick.post.gateway.rate_limits import PERMIT_LIFETIME
from opalwick.post.gateway.dispatchers import MESSAGE_EXPIRY, Dispatcher
from opalwick.post.gateway.item import Item
from opalwick.post.residency.policy import partner_name
from opalwick.post.residency.queue import ResidencyQueue
from opalwick.post.gateway.outcomes import Outcomes
from opalwick.post.gateway.worker_selection import dispatcher_name
from opalwick.post.wire_pb2 import Letter, Mine, Park, Refuse

PARK_AFTER = 2.0  # s: messages due later than this wait at their stores
END_RETENTION = 30.0  # s that a final outcome is remembered: a repeated assignment arrives within this time


class Rounds(Outcomes):
    """Schedules the deliveries of all messages that this gateway owns. Times are in seconds of its clock."""

    def due_now(self) -> dict[str, int]:
        """Number of messages that are due and have no final outcome, by service."""
        found: dict[str, int] = {}
        for item in self.items.values():
            if item.route is not None and not item.closed and item.first_due_at <= self.now:
                found[item.route.svc] = found.get(item.route.svc, 0) + 1
        return found

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
        """Hands the message to the dispatcher for an attempt."""
        assert item.route is not None
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

    # ---- messages to stores

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
