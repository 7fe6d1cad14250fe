"""What follows from the outcome of a delivery, and how messages end. No I/O; part of `scheduling.py`."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.gateway.dispatchers import Dispatcher, Load
from opalwick.post.gateway.item import Item, RememberedEnd, Start, Stop, UnconfirmedEnd
from opalwick.post.gateway.worker_selection import WorkerSelection
from opalwick.post.wire_pb2 import End, Tried
from opalwick.routing.reducer import Answer, Close, Final, Send

# s before the first retry: an attempt that fails at once mostly fails because of the message itself
FIRST_BACKOFF = 0.02
MAX_BACKOFF = 2.0  # s: upper bound of the exponential backoff between attempts


class Outcomes(WorkerSelection):
    """Decisions of the dispatchers, outcomes of deliveries, retries and ends."""

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

    # ---- outcomes of deliveries

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

    def retry(self, item: Item) -> None:
        """Schedules the next attempt with backoff after one that may have run."""
        times, item.rejections = item.fails + item.lost, 0
        pause = min(FIRST_BACKOFF * 2.0 ** max(0, min(times, 10) - 1), MAX_BACKOFF) * (
            0.5 + self.chance.draw()
        )
        item.given_up = False
        self.schedule_at(self.now + pause, item)

    # ---- ends

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

    def ended_elsewhere(self, end: End) -> None:
        """A store reports the final outcome of a message, possibly before it was accepted here."""
        self.remembered_ends.setdefault(end.mid, RememberedEnd(self.now, end))
        if (item := self.items.get(end.mid)) is not None:
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
