"""Connects proxies' calls to the reducer: which call carries which attempt, and what it is answered.

A call is one request at a proxy, from its head to its end. All calls with one id are one work item. A proxy
makes one attempt per call, so the reducer starts only as many attempts as calls came (`WorkItem.calls`): a
further call permits the next attempt, or the hedge.

Does no I/O: times are passed in, `Call.reply` is called with each answer, `next_at` is when `wake` is due.
"""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

from opalwick.interface import Category, Customer, Outcome
from opalwick.protocol.http import is_client_error
from opalwick.routing.reducer import Answer, Close, Final, Send


class ItemRequest(NamedTuple):
    """The work item as described by a call's head. Times are seconds on the scheduler's clock."""

    id: str
    category: Category
    customer: Customer | None
    expiry_at: float
    work: float
    slots: float
    subject: int
    repeat: bool
    key: str


# answers to calls
class Route(NamedTuple):
    """Send the request to this worker, within `use_by` seconds from now."""

    address: Any
    worker: Any
    use_by: float


class Immediate(NamedTuple):
    """Answer with this status, send nothing. `come_back_in`: seconds for Retry-After, 0: none."""

    status: int
    come_back_in: float
    why: str


class Continue(NamedTuple):
    """Pass the response on. `retry`: a further call for this request would get a worker at once."""

    retry: bool


class ResponseHead(NamedTuple):
    """What a response's head reports on the attempt."""

    status: int
    figures: Sequence[float]
    unprocessed: bool  # rejected: it has not run
    not_sent: bool  # reported by the proxy: it never reached the worker


class Call:
    """One call of a proxy. `reply` is called with each answer; it must not call the exchange."""

    __slots__ = ("reply", "item", "number", "state", "sent", "figures")

    def __init__(self, reply: Callable[[Any], None]) -> None:
        self.reply = reply
        self.item: Item | None = None
        self.number = -1  # of its attempt
        self.state = "new"  # "waiting", "out", "answering", "over"
        self.sent = False  # the decision has been written to the proxy's connection
        self.figures: Sequence[float] = ()  # a load report that came before the end


class Item:
    """An open or recently answered work item."""

    __slots__ = ("id", "category", "expiry_at", "waiting", "out", "prepared", "final", "come_back_in")

    def __init__(self, id: str, category: Category, expiry_at: float) -> None:
        self.id, self.category, self.expiry_at = id, category, expiry_at
        self.waiting: Call | None = None  # the call that waits for a decision
        self.out: dict[int, Call] = {}  # by number of the attempt
        # decided for a call still to come: attempt's number, worker, address, valid until
        self.prepared: tuple[int, Any, Any, float] | None = None
        self.final: Final | None = None
        self.come_back_in = 0.0

    def abandoned(self) -> bool:
        """Whether it is unanswered and no call for it is open or expected at once."""
        return self.waiting is None and not self.out and self.prepared is None and self.final is None


class Proxy(NamedTuple):
    """How the proxies behave; times in seconds."""

    retries: bool = True  # they open a further call for a request when `Continue.retry` is set
    use_by: float = 0.2  # they send within this time after a decision, or not at all
    again_within: float = 0.5  # they open a further call within this time


class Core(Protocol):
    """Passes inputs to the reducer."""

    def put(self, kind: str, *fields: Any) -> None: ...

    def now(self) -> float: ...


_STATUS = {Final.FINISHED: 200, Final.DEFERRED: 503, Final.WRITTEN_OFF: 504}


class Exchange:
    """The open calls and work items of all proxies."""

    def __init__(
        self, core: Core, proxy: Proxy, most: int, final: Callable[[Category, int], None] = lambda *_: None
    ) -> None:
        """`most`: limit on open work items, and on answered ones kept until their expiry. `final` is called
        once for each work item with the status of its final answer."""
        self.on_final = final
        self.core, self.proxy, self.max_items = core, proxy, most
        self.items: dict[str, Item] = {}
        self.ended: OrderedDict[str, Item] = OrderedDict()  # answered; kept until their expiry
        self.timers: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.serial = itertools.count()
        self.calls = 0  # open calls
        # refused calls, decisions that no call came for, unexpected messages
        self.refused = self.unused = self.unexpected = 0

    # ---- due times

    def schedule(self, when: float, call: Callable[..., None], *fields: Any) -> None:
        """Schedules a function for `wake`."""
        heapq.heappush(self.timers, (when, next(self.serial), call, fields))

    def next_at(self) -> float | None:
        """When `wake` is due next."""
        return self.timers[0][0] if self.timers else None

    def wake(self) -> None:
        """Runs what is due."""
        while self.timers and self.timers[0][0] <= self.core.now():
            _, _, call, fields = heapq.heappop(self.timers)
            call(*fields)

    # ---- a proxy's messages

    def request_started(self, call: Call, request: ItemRequest) -> None:
        """The head of a request has been received."""
        self.calls += 1
        now = self.core.now()
        item = self.items.get(request.id)
        if item is None:
            item = self.ended.get(request.id)
        call.item, call.state = item, "waiting"
        if item is None:
            if request.expiry_at <= now:
                self.on_final(request.category, 504)
                return self._reply(call, Immediate(504, 0.0, "no time left"))
            if len(self.items) >= self.max_items:
                self.on_final(request.category, 503)
                return self._reply(call, Immediate(503, 1.0, "full"))
            item = call.item = self.items[request.id] = Item(request.id, request.category, request.expiry_at)
            item.waiting = call
            self.schedule(request.expiry_at + 0.05, self._expired, item)
            self.core.put(
                "taken",
                item.id,
                request.category,
                request.customer,
                now,
                request.expiry_at,
                request.work,
                request.slots,
                request.subject,
                request.repeat,
                1,
            )
            return
        if request.category is not item.category:
            return self._reply(call, Immediate(409, 0.0, "this id is another request's"))
        if item.final is not None:
            return self._reply(call, self._immediate(item))
        if item.waiting is not None:
            # the first call is still undecided: a second decision would be a needless attempt
            return self._refuse(call)
        if item.prepared is not None:
            number, worker, address, until = item.prepared
            item.prepared = None
            return self._route(call, number, worker, address, until - now)
        item.waiting = call
        self.core.put("asked", item.id)
        if item.waiting is call and (item.out or item.final is not None):
            item.waiting = None
            self._refuse(call)

    def response_started(self, call: Call, head: ResponseHead, last: bool) -> bool:
        """The head of the response has been received; `last`: nothing follows it.

        False if none is due in the state of the call; it is then ignored.
        """
        item = call.item
        if item is None or call.state != "out":
            self.unexpected += 1
            return False
        status = head.status
        if 200 <= status < 400:
            if not last:
                call.state = "answering"
                self.core.put("began", item.id, call.number)
                call.reply(Continue(False))
                # a load report in the head is applied at the end
                call.figures = head.figures
                return True
            self._end(call, Outcome.FINISHED, True, head.figures)
            call.reply(Continue(False))
            return True
        blamed = is_client_error(status)
        if head.not_sent:
            outcome = Outcome.NO_CONNECTION
        elif head.unprocessed and status in (503, 504):
            outcome = Outcome.FULL
        else:
            outcome = Outcome.TIMED_OUT if status == 504 else Outcome.ERROR
        self._end(call, outcome, blamed, head.figures)
        # an error of the client is final: it is passed on, and no other worker is tried
        if item.final is None and not item.out and item.waiting is None:
            # decided now, as the proxy opens a further call only if a worker has been chosen
            self.core.put("asked", item.id)
        if item.final is Final.DEFERRED and not item.out:
            call.reply(self._immediate(item))
        else:
            call.reply(Continue(item.prepared is not None))
        return True

    def response_finished(self, call: Call) -> None:
        """The response is complete."""
        if call.state == "answering":
            self._end(call, Outcome.FINISHED, True, call.figures)

    def call_ended(self, call: Call, how: str) -> None:
        """The call has ended at the proxy: "orderly", "reset", or "died" with its connection."""
        item, state = call.item, call.state
        if state == "new":
            return
        self.calls -= 1
        if item is None or state == "over":
            call.state = "over"
            return
        if state == "waiting":
            call.state = "over"
            if item.waiting is call:
                item.waiting = None
                # withdrawn, as no call could carry a later decision
                self.core.put("asked", item.id, 0)
        elif state == "answering":
            # the client has received a part: a break after an answer has begun is the worker's fault
            self._end(call, Outcome.BROKEN, True, ())
        elif not call.sent:
            self._end(call, Outcome.NOT_SENT, False, ())
        elif how == "reset":
            self._end(call, Outcome.CANCELLED, False, ())
        else:
            late = self.core.now() >= item.expiry_at
            self._end(call, Outcome.TIMED_OUT if late else Outcome.BROKEN, False, ())
        self._await_retry(item)

    def connection_lost(self, calls: Sequence[Call]) -> None:
        """A proxy's connection has ended, with all its calls."""
        for call in calls:
            self.call_ended(call, "died")

    # ---- the reducer's effects

    def perform(self, effect: Any) -> bool:
        """Performs an effect on a work item; False for other effects."""
        match effect:
            case Send(id, number, worker, address, _):
                item = self.items[id]
                call, item.waiting = item.waiting, None
                until = min(self.core.now() + self.proxy.use_by, item.expiry_at)
                if call is not None:
                    self._route(call, number, worker, address, until - self.core.now())
                else:
                    item.prepared = number, worker, address, until
                    self.schedule(until, self._unused, item, number)
            case Answer(id, final, _, come_back_in):
                found = self.items.get(id)
                if found is not None:
                    self._decide(found, final, _STATUS[final])
                    found.come_back_in = come_back_in
                    call, found.waiting = found.waiting, None
                    if call is not None:
                        self._reply(call, self._immediate(found))
                    self._forget(found)
            case Close():
                pass  # a proxy can't be made to cancel; it ends its other calls by itself
            case _:
                return False
        return True

    # ---- internal

    def _decide(self, item: Item, final: Final, status: int) -> None:
        if item.final is None:
            item.final = final
            self.on_final(item.category, status)

    def _route(self, call: Call, number: int, worker: Any, address: Any, use_by: float) -> None:
        assert call.item is not None
        call.number, call.state = number, "out"
        call.item.out[number] = call
        call.reply(Route(address, worker, max(0.0, use_by)))

    def _reply(self, call: Call, what: Immediate) -> None:
        call.state = "over"
        call.reply(what)

    def _refuse(self, call: Call) -> None:
        self.refused += 1
        # the client may safely retry, as nothing was sent for this call
        self._reply(call, Immediate(503, 0.0, "no second attempt now"))

    def _immediate(self, item: Item) -> Immediate:
        if item.final is Final.DEFERRED:
            return Immediate(503, item.come_back_in, "deferred")
        if item.final is Final.FINISHED:
            return Immediate(409, 0.0, "this request has its answer")
        return Immediate(504, 0.0, "written off")

    def _end(self, call: Call, outcome: Outcome, answered: bool, figures: Sequence[float]) -> None:
        item = call.item
        assert item is not None
        call.state = "over"
        item.out.pop(call.number, None)
        if outcome is Outcome.FINISHED or answered:
            self._decide(item, Final.FINISHED, 200 if outcome is Outcome.FINISHED else 400)
        self.core.put("ended", item.id, call.number, outcome, answered, figures)
        self._forget(item)

    def _unused(self, item: Item, number: int) -> None:
        """No call came for a decision: it counts as not sent."""
        if item.prepared is not None and item.prepared[0] == number:
            item.prepared = None
            self.unused += 1
            self.core.put("ended", item.id, number, Outcome.NOT_SENT)
            self._await_retry(item)

    def _await_retry(self, item: Item) -> None:
        """If no call is left, waits for a further call; without one the client counts as gone."""
        if item.abandoned():
            self.schedule(self.core.now() + self.proxy.again_within, self._abandon, item)

    def _abandon(self, item: Item) -> None:
        if item.abandoned():
            item.final = Final.WRITTEN_OFF
            self.core.put("left", item.id)
            self._forget(item)

    def _expired(self, item: Item) -> None:
        """The reducer drops the work item; a call that is still out ends when its proxy ends it."""
        if item.final is None:
            item.final = Final.WRITTEN_OFF
            self.core.put("left", item.id)
        self.items.pop(item.id, None)
        self.ended.pop(item.id, None)
        if item.waiting is not None:
            call, item.waiting = item.waiting, None
            self._reply(call, self._immediate(item))

    def _forget(self, item: Item) -> None:
        """Answered with nothing out: no longer counts as open, but its id is kept until its expiry."""
        if item.final is not None and not item.out and item.waiting is None and item.id in self.items:
            del self.items[item.id]
            self.ended[item.id] = item
            if len(self.ended) > self.max_items:
                self.ended.popitem(last=False)
