"""The processor's exchange without sockets: the answers to calls, and the inputs of the reducer."""

from __future__ import annotations

import pytest
from helper import START, ReducerHarness, settings

from opalwick.interface import ListForm, Phase
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
from opalwick.protocol.settings import read_scheduler_config
from opalwick.routing.reducer import Reducer, Timer, Watch


class Proxies:
    """An exchange with its reducer, and calls by name; their answers are recorded in `lines`."""

    def __init__(self, workers: str = "AB", proxy: Proxy | None = None, most: int = 100, **changes) -> None:
        proxy = Proxy() if proxy is None else proxy
        self.terms = read_scheduler_config(settings(**changes))
        self.terms.may_cancel = False
        if not proxy.retries:
            self.terms.max_attempts = 1
        self.clock, self.lines, self.calls = START, [], {}
        self.reducer = Reducer(self.terms, 7, START)
        self.exchange = Exchange(self, proxy, most)
        self.list(ListForm.CACHED, **{name: Phase.READY for name in workers})

    def list(self, form: ListForm, **phases: Phase) -> None:
        self.put("listed", form, [ReducerHarness.row(name, phase) for name, phase in phases.items()])

    def now(self) -> float:
        return self.clock

    def put(self, kind: str, *fields) -> None:
        for effect in self.reducer.reduce(self.clock, kind, *fields):
            assert self.exchange.perform(effect) or isinstance(effect, (Timer, Watch))

    def wait(self, seconds: float) -> None:
        """Advances the clock in steps of 10 ms."""
        for _ in range(round(seconds * 100)):
            self.clock += 0.01
            self.exchange.wake()
            self.put("woken")

    def call(
        self, name: str, id: str = "x", category: int = 0, expiry: float = 5.0, told: bool = True
    ) -> Call:
        def reply(what) -> None:
            match what:
                case Route(_, worker, use_by):
                    text = f"send to {worker} within {use_by:.2f}"
                    call.sent = told
                case Immediate(status, come_back_in, why):
                    text = f"{status} {why}" + (f", back in {come_back_in:g}" if come_back_in else "")
                case Continue(again):
                    text = "go on" + (", again" if again else "")
            self.lines.append(f"{name}: {text}")

        call = self.calls[name] = Call(reply)
        asked = ItemRequest(
            id, self.terms.categories[category], None, self.clock + expiry, 0.1, 1.0, 0, False, "k"
        )
        self.exchange.request_started(call, asked)
        return call

    def respond(self, name: str, status: int = 200, last: bool = True, **changes) -> bool:
        reported = ResponseHead(status, (), **{"unprocessed": False, "not_sent": False} | changes)
        return self.exchange.response_started(self.calls[name], reported, last)

    def end(self, name: str, how: str) -> None:
        self.exchange.call_ended(self.calls[name], how)

    def idle(self) -> bool:
        """Whether nothing is left of any call, in the exchange or in the reducer."""
        held = [w for w in self.reducer.workers.values() if w.in_flight]
        return not (self.exchange.items or self.exchange.calls or held)


def test_a_request_is_routed_once_and_its_answer_passed_on() -> None:
    p = Proxies()
    p.call("a")
    p.respond("a", last=False)
    p.exchange.response_finished(p.calls["a"])
    p.end("a", "orderly")
    assert p.lines == ["a: send to A within 0.20", "a: go on"]
    assert p.idle()
    # a call after the end of its work item gets no worker
    p.call("late")
    assert p.lines[2:] == ["late: 409 this request has its answer"]


def test_a_rejected_request_is_retried_at_the_decided_worker() -> None:
    p = Proxies()
    p.call("a")
    p.respond("a", 503, unprocessed=True)
    p.end("a", "orderly")
    p.call("b")
    p.respond("b")
    p.end("b", "orderly")
    assert p.lines == ["a: send to A within 0.20", "a: go on, again", "b: send to B within 0.20", "b: go on"]
    assert p.idle()


@pytest.mark.parametrize(
    "category, end, lines",
    [
        # no category here is exclusive; ticketed items stay in their group, rerunnable ones go anywhere
        (0, {"status": 500}, ["go on, again"]),
        (1, {"status": 500}, ["go on, again"]),
        (0, {"status": 404}, ["go on"]),
        (0, {"status": 503, "not_sent": True}, ["go on, again"]),
    ],
)
def test_the_outcome_of_an_attempt_determines_retries(category: int, end: dict, lines: list[str]) -> None:
    p = Proxies()
    p.call("a", category=category)
    p.respond("a", **end)
    assert [line.partition(": ")[2] for line in p.lines[1:]] == lines


def test_an_exclusive_item_that_may_have_run_is_not_retried() -> None:
    categories = [
        {"name": "pay", "credit": 1.0, "effect": "once", "due-time-us": 400000, "expiry-us": 5000000}
    ]
    p = Proxies(categories=categories)
    p.call("a")
    p.end("a", "reset")  # by the proxy's time-out or its client: the item may have run
    p.call("b")
    p.call("c", id="y")
    p.respond("c", 503, unprocessed=True)
    p.end("c", "orderly")
    p.call("d", id="y")  # the item is known not to have run
    assert p.lines[1:] == [
        "b: 504 written off",
        "c: send to B within 0.20",
        "c: go on, again",
        "d: send to A within 0.20",
    ]


def test_a_pending_decision_is_withdrawn_when_the_proxy_times_out() -> None:
    """The decision waits for a worker; the first one is listed after the proxy has given up."""
    p = Proxies(workers="")
    p.call("a")
    assert p.lines == []
    p.wait(0.05)
    p.end("a", "reset")
    p.list(ListForm.FULL, A=Phase.READY)
    p.wait(0.3)
    assert p.lines == [] and not p.reducer.workers["A"].in_flight
    p.wait(1.0)
    assert p.idle()


def test_an_unsent_decision_counts_as_not_sent() -> None:
    p = Proxies(workers="A")
    p.call(
        "a", category=1, told=False
    )  # ticketed: a sent decision would bind the item to its deduplication window
    p.end("a", "reset")
    item = p.reducer.items["x"]
    assert [attempt.outcome.name for attempt in item.attempts] == ["NOT_SENT"] and not item.attempts[
        0
    ].worker.in_flight
    p.call("b", category=1)
    assert p.lines[1:] == ["b: send to A within 0.20"]


def test_a_second_call_while_the_first_is_out_is_a_hedge_or_refused() -> None:
    p = Proxies("ABCD")
    for i in range(10):  # hedges are limited to a fifth of first attempts
        p.call(f"f{i}", id=f"f{i}")
        p.respond(f"f{i}")
    p.lines.clear()
    p.call("a")
    p.wait(0.3)  # no report of a start: the worker is busy with others' work, or stuck
    p.call("b")
    assert p.lines[1].startswith("b: send to") and p.lines[0].split()[3] != p.lines[1].split()[3]
    p.call("c")
    p.respond("b")
    p.respond("a")
    assert p.lines[2:] == ["c: 503 no second attempt now", "b: go on", "a: go on"]


def test_a_hedge_is_refused_by_category_and_budget() -> None:
    categories = [
        {"name": "pay", "credit": 1.0, "effect": "once", "due-time-us": 400000, "expiry-us": 5000000}
    ]
    for p in (Proxies(categories=categories), Proxies()):
        p.call("a")
        p.call("b")
        assert p.lines[1:] == ["b: 503 no second attempt now"]
        p.respond("a")
        p.end("a", "orderly")
        p.end("b", "orderly")
        assert p.idle()


def test_one_id_is_one_request() -> None:
    p = Proxies()
    p.call("a")
    p.call("b", category=1)
    assert p.lines[1:] == ["b: 409 this id is another request's"]


def test_an_unused_decision_is_released() -> None:
    p = Proxies()
    p.call("a")
    p.respond("a", 503, unprocessed=True)
    p.end("a", "orderly")
    assert sum(len(w.in_flight) for w in p.reducer.workers.values()) == 1
    p.wait(0.25)
    assert p.exchange.unused == 1 and not any(w.in_flight for w in p.reducer.workers.values())
    p.wait(1.0)
    assert p.idle()


def test_a_draining_worker_gets_nothing_after_the_grace_period() -> None:
    """A decision made before the list changed is valid for `use_by`, which ends within the grace period."""
    p = Proxies()
    p.call("a")
    p.respond("a", 503, unprocessed=True)
    p.end("a", "orderly")
    p.list(ListForm.CHANGES, B=Phase.DRAINING)
    p.wait(0.19)
    p.call("b")
    assert p.lines[2:] == ["b: send to B within 0.01"]
    p.respond("b", 503, unprocessed=True)
    p.call("c")
    assert p.lines[3:] == ["b: go on, again", "c: send to A within 0.20"]


def test_without_retries_a_rejection_is_deferred_at_once() -> None:
    p = Proxies(proxy=Proxy(retries=False))
    p.call("a")
    p.respond("a", 503, unprocessed=True)
    p.end("a", "orderly")
    assert p.lines[1:] == ["a: 503 deferred, back in 2"] and p.idle()


def test_a_lost_proxy_connection_with_thousands_of_calls_leaves_nothing() -> None:
    p = Proxies("ABCD", most=3000)
    p.reducer.balancer.config.max_attempts = 3
    for i in range(2000):
        p.call(f"c{i}", id=f"c{i}", told=i % 2 == 0)
    sent = [call for call in p.calls.values() if call.state == "out"]
    assert len(sent) > 10
    p.exchange.connection_lost(list(p.calls.values()))
    outcomes = {(call.sent, p.reducer.items[call.item.id].attempts[0].outcome.name) for call in sent}
    assert outcomes == {(True, "BROKEN"), (False, "NOT_SENT")}
    p.wait(6.0)
    assert p.idle() and not p.exchange.ended and not p.exchange.timers
    assert not [item for item in p.reducer.items.values() if not item.answered]


def test_unexpected_messages_are_ignored() -> None:
    p = Proxies()
    call = Call(lambda what: None)
    assert not p.exchange.response_started(call, ResponseHead(200, (), False, False), True)
    p.call("a")
    p.respond("a")
    assert not p.respond("a") and p.exchange.unexpected == 2


def test_requests_over_the_limit_are_rejected() -> None:
    p = Proxies(most=1)
    p.call("a")
    p.call("b", id="y")
    p.call("c", id="z", expiry=0.0)
    assert p.lines[1:] == ["b: 503 full, back in 1", "c: 504 no time left"]


def test_an_unanswered_call_ends_at_its_expiry() -> None:
    p = Proxies()
    p.call("a")
    p.wait(5.2)
    assert not p.exchange.items and p.reducer.items["x"].answered
    p.end("a", "died")
    assert p.idle()


def test_each_work_item_counts_one_final_answer() -> None:
    p, finals = Proxies(workers="", most=2), []
    p.exchange.on_final = lambda category, status: finals.append(status)
    p.call("a", "a")
    p.wait(0.8)  # no worker: deferred once, however many calls come
    p.call("again", "a")
    assert finals == [503]
    p.list(ListForm.FULL, A=Phase.READY)
    p.call("b", "b")
    p.respond("b")
    p.call("c", "c")
    p.respond("c", 404)  # the client's error counts as a failure
    p.call("late", "d", expiry=0.0)
    assert finals == [503, 200, 400, 504]
