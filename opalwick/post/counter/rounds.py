"""The rounds of a counter: which of its messages is tried when, and what an attempt's end means for it.

No socket and no clock. Inputs leave `sends` (to depots) and `orders` (start or stop a delivery) behind, which
the agent takes with `effects()`. The worker is picked by the service's desk.
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

PARK = 2.0  # s: what is due later waits at its depots, not here
AGAIN = 0.02  # s until the first further attempt: what fails at once mostly fails for the message's own sake
LONGEST = 2.0  # s between attempts at most; then doubled no more
REMEMBER = 30.0  # s that an end is remembered here: an assignment said again is still on its way no longer


def desk_name(svc: str, home: str) -> str:
    """No service's name has that letter in it."""
    return f"{svc}\x1f{home}" if home else svc


class Rounds:
    def __init__(
        self, node: str, settings: Settings, seed: int, now: float, may_send: Callable[[Item], bool]
    ) -> None:
        """`may_send`: whether the depots that keep a message have heard this counter of late."""
        self.node, self.settings, self.now, self.seed = node, settings, now, seed
        self.chance = Chance(seed)
        self.may_send = may_send
        self.items: dict[str, Item] = {}
        self.due: list[tuple[float, int, Item]] = []
        self.agreement = Agreement(self.items, self.send, self.take_turn, may_send)
        self.serial = 0
        self.routes: Routes | None = None
        self.desks: dict[str, Desk] = {}
        self.wake_at = math.inf  # when the first of them wants to be woken
        self.thirsty: dict[str, None] = {}  # services for whose permits something waits, or did
        self.zones: dict[str, int] = {}
        self.workers: dict[str, Worker] = {}
        self.resting = Resting()  # whose rack is drained or away
        self.schedulers = 1
        self.each: dict[tuple[str, int], int] = {}  # connections to an address at most
        self.near = 1  # counters in this one's country
        self.named: dict[str, list[str]] = {}  # by service: desks of homes
        self.ending: dict[str, UntoldEnd] = {}  # by message
        self.ended: dict[str, RememberedEnd] = {}  # by message
        self.numbers: dict[str, int] = {}  # of what each depot was told to be delivered here, as a whole
        self.by_service: dict[str, int] = {}  # ends told, since the start
        self.leaving = False
        self.policy: Policy | None = None  # where messages with a home may run
        self.here = ""  # the country that this counter is in
        self.shelves: dict[str, Shelf] = {}  # by desk: those that wait for a worker at home
        self.sends: list[tuple[str, str, Any]] = []
        self.orders: list[Start | Stop] = []
        counted = ("delivered", "failed", "dead", "unknown", "parked", "turned_away")
        self.figures = dict.fromkeys((*counted, "begun_after_end", "second_successes"), 0)

    def clock(self, now: float) -> None:
        self.now = now

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[Start | Stop]]:
        found = self.sends, self.orders
        self.sends, self.orders = [], []
        return found

    def held(self) -> int:
        return len(self.items)

    # ---- what is known

    def configured(self, conf: Conf) -> None:
        self.routes = Routes(conf)
        services = {service.name: service for service in conf.services}
        for name, desk in list(self.desks.items()):
            known, new = desk.service, services.get(desk.service.name)
            if new is None or (known.rate, known.dedup, known.static) != (new.rate, new.dedup, new.static):
                del self.desks[name]  # its deliveries end as they may; what it had not sent begins anew
                desk.queue.clear()
                self.shelves.pop(name, None)
                for item in list(self.items.values()):
                    if item.svc == name and not item.out:
                        item.queued = False
                        self.at(self.now, item)
            else:
                desk.service = new
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
        """What waits where its route does not lead any more goes to the service that has it now."""

        def moved(item: Item) -> bool:
            return (
                not self.routed(item)
                or item.route is None
                or (desk_name(item.route.svc, item.letter.home) != item.svc)
            )

        waiting = [item for desk in self.desks.values() for item in desk.queue.sift(moved)]
        waiting += [item for shelf in self.shelves.values() for item in shelf.sift(moved)]
        for item in waiting:
            item.queued = False
            self.at(self.now, item)

    def listed(self, workers: dict[str, Worker], changed: Iterable[str]) -> None:
        """All workers, and the services whose list has changed."""
        self.workers = workers
        for svc in changed:
            self.relist(svc)

    def desks_of(self, svc: str) -> list[Desk]:
        """A service's own, and one more for each home that messages of it have."""
        names = (svc, *self.named.get(svc, ()))
        return [desk for name in names if (desk := self.desks.get(name)) is not None]

    def relist(self, svc: str) -> None:
        desks = self.desks_of(svc)
        for desk in desks:
            for place in desk.used:
                self.each.pop(place, None)
        for desk in desks:
            self.list_at(desk)

    def list_at(self, desk: Desk) -> None:
        most = desk.service.max_conns
        if desk.service.static:
            host, _, port = desk.service.static.rpartition(":")
            self.each[host, int(port)] = budget(most, 1, self.schedulers)[1]
            return
        there = [
            row
            for row in rows(self.workers, desk.service.name, self.resting)
            if not desk.home or self.at_home(desk, row)
        ]
        # a worker at home has other callers' messages too: its connections are shared among all counters
        count, each = budget(most, sum(not row.draining for row in there), self.schedulers)
        mine = chosen(there, self.node, self.settings.zone, count)
        desk.used = {(row.host, row.port) for row in mine}
        self.each.update(dict.fromkeys(desk.used, each))
        self.carry_out(desk, desk.listed(self.now, mine))

    def rest(self, rules: list[str]) -> None:
        """Workers whose rack is drained or away get nothing, as if they drained themselves."""
        if list(self.resting.rules) != rules:
            self.resting = Resting(rules)
            for svc in dict.fromkeys(desk.service.name for desk in self.desks.values()):
                self.relist(svc)

    def out_at_rest(self) -> int:
        """Deliveries that are out at workers that rest."""
        if not self.resting:
            return 0
        return sum(desk.held_by(self.resting, self.workers) for desk in self.desks.values())

    def due_now(self) -> dict[str, int]:
        """Messages that are due and have not ended, by service."""
        found: dict[str, int] = {}
        for item in self.items.values():
            if item.route is not None and not item.over and item.aim_at <= self.now:
                found[item.route.svc] = found.get(item.route.svc, 0) + 1
        return found

    def at_home(self, desk: Desk, row: Row) -> bool:
        return (
            self.policy is not None
            and not self.workers[row.id].disputed
            and self.policy.country(row.zone) == desk.home
        )

    def governed(self, policy: Policy | None, here: str) -> None:
        """Another policy, or another country that this counter is in: who is at home may have changed.
        Messages keep the home that they have; those that are not at home here go back.
        """
        self.policy, self.here = policy, here
        for name, desk in list(self.desks.items()):
            if desk.home and desk.service.static:
                del self.desks[name]  # whether its endpoint is at home is asked anew
                for item in list(self.items.values()):
                    if item.svc == name and not item.out:
                        item.queued = False
                        self.at(self.now, item)
                self.shelves.pop(name, None)
            elif desk.home:
                self.relist(desk.service.name)
        self.give_back(lambda item: item.letter.home not in ("", here))

    def desk_of(self, item: Item) -> Desk | None:
        """Its service's, with those workers that it may run at."""
        assert item.route is not None
        svc, home = item.route.svc, item.letter.home
        desk = self.desks.get(name := desk_name(svc, home))
        base = self.desks.get(svc)
        if desk is None and home and base is not None:
            static, policy = base.service.static, self.policy
            near = not static or (policy is not None and policy.endpoints.get(static) == home)
            desk = self.desks[name] = Desk(
                base.service,
                self.settings,
                self.zones,
                self.near,
                self.seed ^ len(self.desks),
                self.now,
                home,
                near,
            )
            self.wake_at = min(self.wake_at, desk.wake_at)
            if name not in (names := self.named.setdefault(svc, [])):
                names.append(name)
            self.relist(svc)
        return desk

    def counters(self, count: int, near: int = 0) -> None:
        """`near`: of them those in this one's country, which share its workers where a message has a home."""
        if (count, max(1, near)) == (self.schedulers, self.near):
            return
        self.schedulers, self.near = max(1, count), max(1, near)
        for desk in list(self.desks.values()):
            desk.terms.schedulers = self.near if desk.home else self.schedulers
            if not desk.home:
                self.relist(desk.service.name)

    # ---- messages in

    def accepted(self, letter: Letter, touched: tuple[str, ...]) -> None:
        """It is kept, and this counter's from the start, unless another has ended it by now."""
        if letter.mid not in self.ended:
            self.take(Item(letter, touched, self.now))

    def assigned(self, node: str, letter: Letter) -> None:
        """A depot has it delivered here."""
        mid = letter.mid
        holders = dict.fromkeys((node, *letter.holders))
        others = set(holders) - {node}
        if (known := self.items.get(mid)) is not None:
            known.claim = max(known.claim, letter.claim)
            # who keeps it may have changed; its end is for all that ever did
            known.touched = tuple(dict.fromkeys((*known.touched, *holders)))
            if known.foreign:  # it comes back while a delivery of it is on its way
                known.foreign = False
                self.agreement.await_from(known, others, self.now)
        elif (found := self.ended.get(mid)) is not None:
            self.send(node, "end", found.word)  # which that depot has missed
            return
        elif self.leaving or self.routes is None:
            self.send(node, "refuse", Refuse(mid=mid, claim=letter.claim))
            return
        else:
            known = Item(letter, tuple(holders), self.now)
            self.agreement.await_from(known, others, self.now)
            self.take(known)
        self.agreement.announce(known, letter.claim, holders)

    def take(self, item: Item) -> None:
        self.items[item.mid] = item
        self.at(item.due, item)

    def send(self, node: str, kind: str, word: Any) -> None:
        self.sends.append((node, kind, word))

    def take_turn(self, item: Item) -> None:
        """It is tried at the next tick."""
        self.at(self.now, item)

    def at(self, when: float, item: Item) -> None:
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
            for desk in list(self.desks.values()):
                if desk.wake_at <= self.now:
                    self.carry_out(desk, desk.put(self.now, "woken"))
                self.wake_at = min(self.wake_at, desk.wake_at)

    def forget(self) -> None:
        """Now and then: what need not be remembered any more."""
        for mid, ended in list(self.ended.items()):
            if self.now - ended.at > REMEMBER and mid not in self.ending:
                del self.ended[mid]
        for mid, untold in list(self.ending.items()):
            if self.now - untold.since > 4.0 * REMEMBER:  # its other holders have it, and tell
                del self.ending[mid]
        for shelf in self.shelves.values():  # those that may wait no longer
            for item in shelf.sift(lambda item: item.over or item.foreign or item.until <= self.now):
                item.queued = False
                self.at(self.now, item)

    def serve(self) -> None:
        """Those that wait for a worker at home, as far as there is room by now."""
        for name, shelf in self.shelves.items():
            desk = self.desks.get(name)
            room = desk.bears(self.now) if desk is not None and len(shelf) else 0
            while room > 0 and len(shelf):
                item = shelf.take(self.now)
                item.queued = False
                if (
                    item.over
                    or item.foreign
                    or item.until <= self.now
                    or not self.routed(item)
                    or (self.desk_of(item) is not desk)
                    or not self.may_send(item)
                ):
                    self.at(self.now + 0.1, item)
                    continue
                room -= 1
                self.offer(self.desks[name], item)

    def begin(self, item: Item) -> None:
        """An attempt, or its turn for one."""
        letter = item.letter
        if item.until <= self.now:
            self.end(item, False, "")
            return
        if letter.home not in ("", self.here):
            self.park(item)
            return
        if self.agreement.must_wait(item):
            return
        if self.routes is None or self.routes.gen < letter.gen or not self.may_send(item):
            self.at(self.now + 0.1, item)
            return
        if not self.routed(item):  # a configuration dropped its route
            self.end(item, False, "")
            return
        assert item.route is not None
        desk = self.desk_of(item)
        if desk is None:
            self.at(self.now + 0.2, item)
            return
        item.svc = desk_name(item.route.svc, letter.home)
        if desk.service.rate > 0:
            item.queued = True
            desk.queue.put(item.aim_at + item.route.start, item)
            self.thirsty[desk.service.name] = None
        elif letter.home and (len(self.shelves.get(item.svc, ())) or desk.bears(self.now) <= 0):
            item.queued = True
            shelf = self.shelves.setdefault(item.svc, Shelf())
            shelf.put(item.route.prio, self.whose(item), item.aim_at + item.route.start, item)
        else:
            self.offer(desk, item)

    def whose(self, item: Item) -> str:
        """Its partner, as the policy in force when it came here has it."""
        if not item.partner and item.letter.home:
            partner = self.policy.partner(item.letter) if self.policy is not None else None
            item.partner = named(partner) if partner is not None else item.letter.home
        return item.partner

    def routed(self, item: Item) -> bool:
        """Its route as it is now."""
        letter = item.letter
        if self.routes is not None:
            item.route = self.routes.find(letter.host.decode("latin-1"), letter.target.decode("latin-1"))
        return item.route is not None

    def permitted(self, svc: str, count: int) -> None:
        """So many may go to a service with a ceiling, now."""
        while count > 0:
            # one desk a service, and one more for each home: the longest queue first
            desk = max(
                (desk for desk in self.desks_of(svc) if desk.queue),
                key=lambda desk: len(desk.queue),
                default=None,
            )
            if desk is None:
                break
            item = desk.queue.take(self.now)
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
            self.offer(desk, item)

    def offer(self, desk: Desk, item: Item) -> None:
        assert item.route is not None
        item.attempt += 1
        item.given_up = False
        if desk.service.rate <= 0.0:  # a permit that it had elsewhere binds no more
            item.use_by = math.inf
        key = item.mid, item.attempt
        self.carry_out(
            desk,
            desk.put(
                self.now, "taken", key, desk.category(item.route), None, self.now, self.now + SPAN, 0.0, 1.0
            ),
        )

    # ---- what the desk decides

    def carry_out(self, desk: Desk, decided: Iterable[Any], judged: Any = None) -> None:
        """`judged`: the key whose delivery's end is being looked at: what follows for it is decided there.
        Others may be given up by the same end, as of a worker that is gone; for them it is decided here.
        """
        for effect in decided:
            match effect:
                case Send(key, number, worker, place, _):
                    item = self.items.get(key[0])
                    if item is None or item.attempt != key[1] or item.route is None or item.foreign:
                        self.carry_out(
                            desk, desk.put(self.now, "ended", key, number, Verdict.NOT_SENT.outcome)
                        )
                        continue
                    item.out[number] = self.now
                    away = desk.away(worker)
                    self.orders.append(Start(item, key, number, place, item.route.limit, away))
                case Close(key, number):
                    if desk.service.dedup:  # no other may be cut off: it may have run
                        self.orders.append(Stop(key, number))
                        desk.cancels += 1
                case Answer(key, final):
                    item = self.items.get(key[0])
                    if final is not Final.FINISHED and item is not None and item.attempt == key[1]:
                        item.given_up = True
                        if not item.out and key != judged:
                            self.turned_away(item)
                case _:
                    pass  # it neither watches nor tells
        self.wake_at = min(self.wake_at, desk.wake_at)

    def turned_away(self, item: Item) -> None:
        """The attempt came to nothing: a further one later."""
        item.turned += 1
        if (desk := self.desks.get(item.svc)) is not None:
            desk.doubt()
        self.figures["turned_away"] += 1
        pause = min(AGAIN * 2.0 ** min(item.turned - 1, 10), LONGEST) * (0.5 + self.chance.draw())
        self.at(self.now + pause, item)

    def result(
        self, item: Item, key: Any, number: int, verdict: Verdict, seal: str, load: Load | None, kept: bool
    ) -> None:
        """How a delivery ended."""
        item.out.pop(number, None)
        desk = self.desks.get(item.svc)
        if not item.over:
            self.judge(item, verdict, seal)
        elif verdict is Verdict.DONE and self.succeeded_before(item.mid, seal):
            self.figures["second_successes"] += 1
        if desk is not None and key in desk.reducer.items:
            # while its first run is on, none of the others would take it: it is not offered to each in turn
            answered = verdict is not Verdict.DONE and (
                item.over or (verdict is Verdict.RUNNING and not item.out)
            )
            self.carry_out(
                desk,
                desk.put(
                    self.now, "ended", key, number, verdict.outcome, answered, desk.told(load), None, kept
                ),
                key,
            )
        if (
            not item.over
            and not item.out
            and item.attempt == key[1]
            and (item.given_up or desk is None or key not in desk.reducer.items)
        ):
            if verdict.ran is False:
                self.turned_away(item)
            else:
                self.again(item)

    def succeeded_before(self, mid: str, seal: str) -> bool:
        """Whether another run of it than the one with that seal has succeeded."""
        found = self.ended.get(mid)
        return found is not None and found.word.complete and found.word.seal != seal

    def judge(self, item: Item, verdict: Verdict, seal: str) -> None:
        """What it means for the message."""
        if verdict is Verdict.DONE:
            self.figures["delivered"] += 1
            self.end(item, True, seal)
        elif verdict is Verdict.REFUSED:
            self.end(item, False, "")
        elif verdict is Verdict.FAILED:
            item.fails += 1
            self.figures["failed"] += 1
            if item.route is not None and item.fails >= item.route.tries:
                self.end(item, False, "")
            else:
                self.tell(item, "tried", Tried(mid=item.mid, fails=item.fails, lost=item.lost))
        elif verdict.ran is None and verdict is not Verdict.CANCELLED:
            item.lost += 1
            self.figures["unknown"] += 1

    def again(self, item: Item) -> None:
        """An attempt has ended, the message has not."""
        times, item.turned = item.fails + item.lost, 0
        pause = min(AGAIN * 2.0 ** max(0, min(times, 10) - 1), LONGEST) * (0.5 + self.chance.draw())
        item.given_up = False
        self.at(self.now + pause, item)

    # ---- messages out

    def tell(self, item: Item, kind: str, word: Any) -> None:
        for node in item.touched:
            self.send(node, kind, word)

    def end(self, item: Item, complete: bool, seal: str) -> None:
        self.drop(item)
        if not complete:
            self.figures["dead"] += 1
        word = End(mid=item.mid, complete=complete, seal=seal, country=item.ran if complete else "")
        self.ending[item.mid] = UntoldEnd(word, set(item.touched), self.now)
        self.ended[item.mid] = RememberedEnd(self.now, word)
        svc = item.route.svc if item.route is not None else item.svc
        self.by_service[svc] = self.by_service.get(svc, 0) + 1
        self.tell(item, "end", word)

    def has_end(self, node: str, mid: str) -> None:
        """A depot has it on its disk."""
        if mid in self.ending:
            missing = self.ending[mid].missing
            missing.discard(node)
            if not missing:
                del self.ending[mid]

    def taken_away(self, node: str, mids: list[str]) -> None:
        """These have another deliverer, says a depot. What is on its way goes on; a success of it counts.
        A depot that takes this counter for the deliverer, and knows of no other, must not wait for it.
        """
        for mid in mids:
            if (item := self.items.get(mid)) is not None and not item.foreign:
                item.foreign = True
                for holder in item.touched:
                    if holder != node:
                        self.send(holder, "refuse", Refuse(mid=mid, claim=item.claim))
                if not item.out:
                    self.withdraw(item)
                    self.drop(item)

    def moved(self, mid: str, holders: tuple[str, ...]) -> None:
        """Others keep it from now on: its end is for them."""
        if (item := self.items.get(mid)) is not None:
            item.touched = holders
        elif (found := self.ended.get(mid)) is not None:
            self.ending[mid] = UntoldEnd(found.word, set(holders), self.now)
            for node in holders:
                self.send(node, "end", found.word)

    def drop(self, item: Item) -> None:
        """It may have been taken away and assigned here again since: that is another item, and stays."""
        item.over = True
        if self.items.get(item.mid) is item:
            del self.items[item.mid]

    def withdraw(self, item: Item) -> None:
        """Its attempt waits at its desk no more: a later item of the message has the same key there."""
        if (desk := self.desks.get(item.svc)) is not None:
            self.carry_out(desk, desk.put(self.now, "left", (item.mid, item.attempt)))

    def ended_elsewhere(self, word: End) -> None:
        """A depot knows that it has ended. It may be one that is not accepted here yet."""
        self.ended.setdefault(word.mid, RememberedEnd(self.now, word))
        if (item := self.items.get(word.mid)) is not None:
            self.drop(item)

    def park(self, item: Item) -> None:
        """Back to its depots, which have it delivered once it is due."""
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
        """It is to end: all that is not on its way goes back."""
        self.give_back(lambda item: True)

    def give_back(self, which: Callable[[Item], bool]) -> None:
        """Those of them go back to their depots that are not on their way."""
        for item in list(self.items.values()):
            if not item.out and which(item):
                self.withdraw(item)
                self.park(item)

    def depot_up(self, node: str) -> None:
        """A depot is there again: it is told the ends that it has not confirmed, and asked anew what it has
        not answered.
        """
        for untold in self.ending.values():
            if node in untold.missing:
                self.send(node, "end", untold.word)
        self.agreement.ask_again(node)

    def deliveries_of(self, node: str, under_way: Iterable[str] = ()) -> Mine:
        """All that is delivered here of what that depot keeps, to be said at once. `under_way`: messages that
        will be as soon as they are accepted.
        """
        mine = [
            (item.mid, item.claim)
            for item in self.items.values()
            if node in item.touched and not item.foreign
        ]
        mine += [(mid, 0) for mid in under_way]
        self.numbers[node] = number = self.numbers.get(node, 0) + 1
        return Mine(mids=[mid for mid, _ in mine], claims=[c for _, c in mine], whole=True, number=number)
