"""A stand-in proxy on the virtual clock, with an external processor beside it: the real exchange and reducer.

As such proxies are published: it asks the processor at a request's head and at the response's, sends where it
is told, gives up a processor that does not answer in time, and calls again for a request only where the
response bears the mark that says so. It passes on or answers; it decides nothing of its own.
"""

from __future__ import annotations

from typing import Any

from opalwick.interface import Outcome, SchedulerConfig
from opalwick.lab.scheduler import START, Hand, Scheduler
from opalwick.lab.world.clients import ClientRequest
from opalwick.processor.exchange import (
    Call,
    Continue,
    Exchange,
    Immediate,
    ItemRequest,
    Proxy,
    ResponseHead,
    Route,
)
from opalwick.protocol.clients import hash_subject

MESSAGE = 1.0  # seconds that a proxy waits for its processor: five times the usual default
HELD_CALLS = 20000  # as many as one connection's streams by default

_STATUS = {
    Outcome.FINISHED: 200,
    Outcome.FULL: 503,
    Outcome.NO_CONNECTION: 503,
    Outcome.NOT_SENT: 503,
    Outcome.ERROR: 500,
    Outcome.BROKEN: 502,
    Outcome.TIMED_OUT: 504,
}


class Request:
    """One client's request at the proxy, through all its calls."""

    __slots__ = ("attempt", "call", "hand", "over", "result", "status")

    def __init__(self, attempt: ClientRequest) -> None:
        self.attempt = attempt
        self.call: Call | None = None
        self.hand: Hand | None = None
        self.over = False
        self.result: Any = None
        self.status = 0


class Sidecar(Scheduler):
    """Proxy and processor of one place: they live and die together, a trip apart."""

    def adapt(self, terms: SchedulerConfig) -> None:
        terms.may_cancel = False
        self.requests: dict[str, Request] = {}
        self.exchange = Exchange(self, Proxy(), HELD_CALLS)
        self.wakes_at: float | None = None

    def put(self, kind: str, *fields: Any) -> None:
        super().put(kind, *fields)
        self.arm()

    def arm(self) -> None:
        when = self.exchange.next_at()
        asked = self.wakes_at
        if when is not None and (asked is None or when < asked or asked <= self.now()):
            self.wakes_at = when
            self.agenda.at(when - START, self.elapsed, self.due)

    def due(self) -> None:
        self.wakes_at = None
        self.exchange.wake()
        self.arm()

    def perform(self, effect: Any) -> None:
        if not self.exchange.perform(effect):
            super().perform(effect)

    # ---- the proxy: requests in

    def ask(self, attempt: ClientRequest, arrived: float) -> None:
        self.world.clients.accepted(attempt)
        self.calls[attempt.id] = attempt
        request = self.requests[attempt.id] = Request(attempt)
        self.call(request)

    def call(self, request: Request) -> None:
        """A call of the processor for this request, the first or a further one."""
        call: Call

        def reply(what: Any) -> None:
            # from here on it may be acted on, whatever becomes of the processor
            call.sent = True
            self.after(self.stage.day.network.client, self.replied, request, call, what)

        call = request.call = Call(reply)
        self.after(self.stage.day.network.client, self.begin, request, call)
        self.timer(MESSAGE, self.late, request, call)

    def begin(self, request: Request, call: Call) -> None:
        if request.call is not call:
            return
        want = request.attempt.want
        kind = self.stage.day.categories[want.category]
        asked = ItemRequest(
            request.attempt.id,
            self.terms.categories[want.category],
            self.terms.customers[want.customer] if want.customer >= 0 else None,
            START + want.expiry_at,
            want.hint,
            kind.slots,
            hash_subject(str(want.subject).encode() if want.subject else b""),
            want.tries > 1,
            want.key or "",
        )
        self.exchange.request_started(call, asked)
        self.arm()

    def late(self, request: Request, call: Call) -> None:
        """Fail closed: nothing was sent, so asking again is harmless."""
        if request.call is call and call.state in ("new", "waiting"):
            self.hang_up(request, "reset")
            self.finish(request, "deferred")

    def hang_up(self, request: Request, how: str) -> None:
        call, request.call = request.call, None
        if call is not None:
            self.after(self.stage.day.network.client, self.exchange.call_ended, call, how)
            self.after(self.stage.day.network.client, self.arm)

    def replied(self, request: Request, call: Call, what: Any) -> None:
        if request.call is not call or request.over:
            return
        match what:
            case Route(_, worker, use_by):
                # the trip has passed already; what is left of the time binds the sending
                left = request.attempt.want.expiry_at - self.agenda.now
                if use_by > self.stage.day.network.client and left > 0:
                    self.send(request.attempt.id, call.number, str(worker), left)
                    request.hand = self.out[request.attempt.id, call.number]
                else:
                    self.respond(request, call, ResponseHead(503, (), False, True))
            case Immediate(status, come_back_in, _):
                self.hang_up(request, "orderly")
                final = {503: "deferred", 504: "written off"}.get(status, "fault")
                self.finish(request, final, None, come_back_in)
            case Continue(again):
                self.hang_up(request, "orderly")
                if request.status == 200:
                    self.finish(request, "finished", request.result)
                elif again:
                    self.call(request)
                else:
                    self.finish(request, "written off" if request.status == 504 else "fault")

    def over(self, hand: Hand, outcome: Outcome, figures: tuple[float, ...], result: Any) -> None:
        """The hand-off has come to something: the response's head goes to the processor."""
        request = self.requests.get(hand.key)
        if request is None or request.over or request.call is None or request.call.number != hand.number:
            return
        if outcome is Outcome.CANCELLED:
            return
        request.hand, request.result = None, result
        never = outcome in (Outcome.NO_CONNECTION, Outcome.NOT_SENT)
        reported = ResponseHead(_STATUS[outcome], figures, outcome is Outcome.FULL, never)
        self.respond(request, request.call, reported)

    def respond(self, request: Request, call: Call, reported: ResponseHead) -> None:
        request.status = reported.status
        self.after(self.stage.day.network.client, self.responded, call, reported)

    def responded(self, call: Call, reported: ResponseHead) -> None:
        self.exchange.response_started(call, reported, True)
        self.arm()

    def told(self, hand: Hand, what: str, *fields: Any) -> None:
        if what in ("began", "progressed"):
            return  # a proxy looks at a response's head, not at its lines
        super().told(hand, what, *fields)

    def leave(self, attempt: ClientRequest) -> None:
        request = self.requests.get(attempt.id)
        if request is not None and not request.over:
            request.over = True
            if request.hand is not None and not request.hand.over:
                self.give_up(request.hand)
            self.hang_up(request, "reset")

    def finish(self, request: Request, final: str, result: Any = None, come_back_in: float = 0.0) -> None:
        request.over = True
        self.answer(request.attempt.id, final, result, come_back_in)
        self.requests.pop(request.attempt.id, None)
