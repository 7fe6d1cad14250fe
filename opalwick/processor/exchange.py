"""Between proxies' calls and the reducer: which call carries which hand-off, and what it is told.

A call is one request at a proxy, from its head to its end. All calls with one id are one work item. A proxy
carries one hand-off a call, so the module hands off only as often as calls came (`WorkItem.calls`), and a
further call is what gives it the next hand-off, or the copy.

Free of I/O: times come in, `Call.reply` is called with what to tell, and `next_at` says when `wake` is due.
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


class Asked(NamedTuple):
    """What a call's head tells of the work item. Times are seconds on the scheduler's clock."""

    id: str
    category: Category
    customer: Customer | None
    expiry_at: float
    hint: float
    slots: float
    subject: int
    repeat: bool
    key: str


# what a call is told
class Route(NamedTuple):
    """Send it there, within so many seconds from now."""

    place: Any
    worker: Any
    use_by: float


class Immediate(NamedTuple):
    """Answer so, and send nothing."""

    status: int
    come_back_in: float
    why: str


class Go(NamedTuple):
    """Hand the response on. `again`: a further call for this request would get a worker at once."""

    again: bool


class Reported(NamedTuple):
    """A response's head, as far as it tells of the hand-off."""

    status: int
    figures: Sequence[float]
    unprocessed: bool  # turned away: it has not run
    not_sent: bool  # the proxy says that it never reached the worker


class Call:
    """`reply` is called when there is something to tell; it must not call back."""

    __slots__ = ("reply", "item", "number", "state", "told", "figures")

    def __init__(self, reply: Callable[[Any], None]) -> None:
        self.reply = reply
        self.item: Item | None = None
        self.number = -1  # of its hand-off
        self.state = "new"  # "held", "out", "answering", "over"
        self.told = False  # its decision has left for the proxy
        self.figures: Sequence[float] = ()  # a report that came before the end


class Item:
    __slots__ = ("id", "category", "expiry_at", "held", "out", "kept", "final", "come_back_in")

    def __init__(self, id: str, category: Category, expiry_at: float) -> None:
        self.id, self.category, self.expiry_at = id, category, expiry_at
        self.held: Call | None = None  # waits for its decision
        self.out: dict[int, Call] = {}  # by the hand-off's number
        self.kept: tuple[int, Any, Any, float] | None = None  # decided for a call that is to come: until when
        self.final: Final | None = None
        self.come_back_in = 0.0

    def alone(self) -> bool:
        """Unanswered, and no call for it is open or expected at once."""
        return self.held is None and not self.out and self.kept is None and self.final is None


class Proxy(NamedTuple):
    """How the proxies in front behave; seconds."""

    retries: bool = True  # they call again for a request when told so
    use_by: float = 0.2  # they send within this after a decision, or not at all
    again_within: float = 0.5  # and call again within this


class Core(Protocol):
    """What feeds the reducer."""

    def put(self, kind: str, *fields: Any) -> None: ...

    def now(self) -> float: ...


_STATUS = {Final.FINISHED: 200, Final.DEFERRED: 503, Final.WRITTEN_OFF: 504}


class Exchange:
    def __init__(
        self, core: Core, proxy: Proxy, most: int, final: Callable[[Category, int], None] = lambda *_: None
    ) -> None:
        """`most`: work items open at once, and as many that are remembered after their end. `final` is called
        once for each work item that gets its final answer, with the status that it comes to."""
        self.final = final
        self.core, self.proxy, self.most = core, proxy, most
        self.items: dict[str, Item] = {}
        self.ended: OrderedDict[str, Item] = OrderedDict()  # answered; known until their expiry
        self.due: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.serial = itertools.count()
        self.calls = 0  # that are open
        self.refused = self.unused = self.strays = 0  # copies, decisions that no call came for, odd messages

    # ---- due times

    def at(self, when: float, call: Callable[..., None], *fields: Any) -> None:
        heapq.heappush(self.due, (when, next(self.serial), call, fields))

    def next_at(self) -> float | None:
        return self.due[0][0] if self.due else None

    def wake(self) -> None:
        while self.due and self.due[0][0] <= self.core.now():
            _, _, call, fields = heapq.heappop(self.due)
            call(*fields)

    # ---- a proxy's messages

    def begins(self, call: Call, asked: Asked) -> None:
        """The head of a request is there."""
        self.calls += 1
        now = self.core.now()
        item = self.items.get(asked.id)
        if item is None:
            item = self.ended.get(asked.id)
        call.item, call.state = item, "held"
        if item is None:
            if asked.expiry_at <= now:
                self.final(asked.category, 504)
                return self._tell(call, Immediate(504, 0.0, "no time left"))
            if len(self.items) >= self.most:
                self.final(asked.category, 503)
                return self._tell(call, Immediate(503, 1.0, "full"))
            item = call.item = self.items[asked.id] = Item(asked.id, asked.category, asked.expiry_at)
            item.held = call
            self.at(asked.expiry_at + 0.05, self._expired, item)
            self.core.put(
                "taken",
                item.id,
                asked.category,
                asked.customer,
                now,
                asked.expiry_at,
                asked.hint,
                asked.slots,
                asked.subject,
                asked.repeat,
                1,
            )
            return
        if asked.category is not item.category:
            return self._tell(call, Immediate(409, 0.0, "this id is another request's"))
        if item.final is not None:
            return self._tell(call, self._immediate(item))
        if item.held is not None:
            # the first is still undecided: a second decision would be one more hand-off for nothing
            return self._refuse(call)
        if item.kept is not None:
            number, worker, place, until = item.kept
            item.kept = None
            return self._route(call, number, worker, place, until - now)
        item.held = call
        self.core.put("asked", item.id)
        if item.held is call and (item.out or item.final is not None):
            item.held = None
            self._refuse(call)

    def responds(self, call: Call, reported: Reported, last: bool) -> bool:
        """The head of the response; `last`: nothing follows it. False where none can be, which is passed
        over.
        """
        item = call.item
        if item is None or call.state != "out":
            self.strays += 1
            return False
        status = reported.status
        if 200 <= status < 400:
            if not last:
                call.state = "answering"
                self.core.put("began", item.id, call.number)
                call.reply(Go(False))
                # a report that came with the head is kept for the end
                call.figures = reported.figures
                return True
            self._end(call, Outcome.FINISHED, True, reported.figures)
            call.reply(Go(False))
            return True
        blamed = is_client_error(status)
        if reported.not_sent:
            outcome = Outcome.NO_CONNECTION
        elif reported.unprocessed and status in (503, 504):
            outcome = Outcome.FULL
        else:
            outcome = Outcome.TIMED_OUT if status == 504 else Outcome.ERROR
        self._end(call, outcome, blamed, reported.figures)
        # blamed on the client it is final: the client hears so, and nobody else is asked
        if item.final is None and not item.out and item.held is None:
            # the module says now whether it would go on: the proxy calls again for a decided worker only
            self.core.put("asked", item.id)
        if item.final is Final.DEFERRED and not item.out:
            call.reply(self._immediate(item))
        else:
            call.reply(Go(item.kept is not None))
        return True

    def body_ends(self, call: Call) -> None:
        """The response is whole."""
        if call.state == "answering":
            self._end(call, Outcome.FINISHED, True, call.figures)

    def ends(self, call: Call, how: str) -> None:
        """The call is over at the proxy: "orderly", "reset", or "died" with its connection."""
        item, state = call.item, call.state
        if state == "new":
            return
        self.calls -= 1
        if item is None or state == "over":
            call.state = "over"
            return
        if state == "held":
            call.state = "over"
            if item.held is call:
                item.held = None
                # its decision must not fall later, when nobody could carry it
                self.core.put("asked", item.id, 0)
        elif state == "answering":
            # the client has had a part of it: a break after an answer has begun is the worker's own
            self._end(call, Outcome.BROKEN, True, ())
        elif not call.told:
            self._end(call, Outcome.NOT_SENT, False, ())
        elif how == "reset":
            self._end(call, Outcome.CANCELLED, False, ())
        else:
            late = self.core.now() >= item.expiry_at
            self._end(call, Outcome.TIMED_OUT if late else Outcome.BROKEN, False, ())
        self._alone(item)

    def died(self, calls: Sequence[Call]) -> None:
        """A proxy is gone, with all its calls."""
        for call in calls:
            self.ends(call, "died")

    # ---- the reducer's effects

    def perform(self, effect: Any) -> bool:
        """Whether it was one of a work item's."""
        match effect:
            case Send(id, number, worker, place, _):
                item = self.items[id]
                call, item.held = item.held, None
                until = min(self.core.now() + self.proxy.use_by, item.expiry_at)
                if call is not None:
                    self._route(call, number, worker, place, until - self.core.now())
                else:
                    item.kept = number, worker, place, until
                    self.at(until, self._unused, item, number)
            case Answer(id, final, _, come_back_in):
                found = self.items.get(id)
                if found is not None:
                    self._decide(found, final, _STATUS[final])
                    found.come_back_in = come_back_in
                    call, found.held = found.held, None
                    if call is not None:
                        self._tell(call, self._immediate(found))
                    self._forget(found)
            case Close():
                pass  # nothing can be taken back from a proxy; it ends its other calls itself
            case _:
                return False
        return True

    # ---- inside

    def _decide(self, item: Item, final: Final, status: int) -> None:
        if item.final is None:
            item.final = final
            self.final(item.category, status)

    def _route(self, call: Call, number: int, worker: Any, place: Any, use_by: float) -> None:
        assert call.item is not None
        call.number, call.state = number, "out"
        call.item.out[number] = call
        call.reply(Route(place, worker, max(0.0, use_by)))

    def _tell(self, call: Call, what: Immediate) -> None:
        call.state = "over"
        call.reply(what)

    def _refuse(self, call: Call) -> None:
        self.refused += 1
        # harmless to ask again: nothing was sent for this call
        self._tell(call, Immediate(503, 0.0, "no second hand-off now"))

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
        """No call came for a decision: it was not sent, and nobody waits for the next one."""
        if item.kept is not None and item.kept[0] == number:
            item.kept = None
            self.unused += 1
            self.core.put("ended", item.id, number, Outcome.NOT_SENT)
            self._alone(item)

    def _alone(self, item: Item) -> None:
        """If no call is left, the proxy may still come again; after that its client is taken to be gone."""
        if item.alone():
            self.at(self.core.now() + self.proxy.again_within, self._left, item)

    def _left(self, item: Item) -> None:
        if item.alone():
            item.final = Final.WRITTEN_OFF
            self.core.put("left", item.id)
            self._forget(item)

    def _expired(self, item: Item) -> None:
        """All is over for it at the module; a call that is still out ends when its proxy says so."""
        if item.final is None:
            item.final = Final.WRITTEN_OFF
            self.core.put("left", item.id)
        self.items.pop(item.id, None)
        self.ended.pop(item.id, None)
        if item.held is not None:
            call, item.held = item.held, None
            self._tell(call, self._immediate(item))

    def _forget(self, item: Item) -> None:
        """Answered and nothing out: it no longer counts as open, but its id is known until its expiry."""
        if item.final is not None and not item.out and item.held is None and item.id in self.items:
            del self.items[item.id]
            self.ended[item.id] = item
            if len(self.ended) > self.most:
                self.ended.popitem(last=False)
