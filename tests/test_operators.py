"""The operators' listener: requests, metrics, disabled workers and drains, on loopback."""

from __future__ import annotations

import re

import gevent
import gevent.socket
import pytest
from helper import SETTINGS, Bench, ReducerHarness, StubServer, category, chunked, door, post
from test_discovery import entry, told
from test_scheduler import DONE, READY, Served, configuration, first

from opalwick.interface import Category, Effect, Group, ListForm, Outcome, Phase
from opalwick.program.configuration import BadConfiguration, read
from opalwick.protocol.metrics import Counts, render

BUSY = chunked('{"id":"c1","state":"started"}', last=False)[:-1]  # started, never done


class Operated(Served):
    def __init__(self, tmp_path, *script: bytes | None, **changes) -> None:
        super().__init__(tmp_path, *script, operator="127.0.0.1:0", **changes)

    def call(self, line: str, *more: str) -> str:
        return self.say(("\r\n".join([f"{line} HTTP/1.1", "Host: o", *more]) + "\r\n\r\n").encode())

    def say(self, data: bytes) -> str:
        sock = gevent.socket.create_connection(self.scheduler.operators.address, 2.0)
        sock.settimeout(1.0)
        sock.sendall(data)
        came = b""
        while data := sock.recv(65536):
            came += data
        sock.close()
        head, _, body = came.decode().partition("\r\n\r\n")
        return f"{head.split(' ')[1]} {body.strip()}" if head else "closed"

    def figure(self, name: str) -> int:
        found = re.search(rf"(?:^| )svc\.{name}:(\d+)\|[cg]$", self.call("GET /metrics"), re.M)
        assert found is not None
        return int(found[1])


def test_requests_and_their_answers(tmp_path) -> None:
    operated = Operated(tmp_path, DONE)
    wrong = [
        "GET /",
        "PUT /ready",
        "POST /metrics",
        "GET /drain",
        "GET /workers/disable?who=a",
        "PUT /workers/disable",
        "PUT /workers/disable?who=",
        "PUT /workers/disable?who=a&who=a",
        "PUT /workers/disable?who=%zz",
        "PUT /workers/disable?who=%ff",
        f"PUT /workers/disable?who={'a' * 256}",
        "PUT /workers/enable?who=nobody",
        "GET /-/ready",
    ]
    assert [operated.call(line) for line in wrong] == [
        "404 no such call",
        "405 only GET",
        "405 only GET",
        "405 only PUT",
        "405 only PUT",
        "400 who is missing",
        "400 who is empty",
        "400 who is given more than once",
        "400 the query is badly escaped",
        "400 the query is malformed",
        "400 who is too long",
        "404 no such worker",
        "404 no such call",
    ]
    assert operated.say(b"nonsense\r\n\r\n")[:3] == "400"
    assert operated.call("GET /ready", "X: " + "y" * 40000)[:3] == "431"
    # none of these changed anything
    assert (operated.scheduler.reducer.disabled_names(), operated.call("GET /ready")) == ([], "200 yes")
    right = [
        "GET /ready?x=1",
        "PUT /workers/disable?who=%61",
        "PUT /workers/disable?x=1&who=a",
        "PUT /workers/enable?who=a",
        "PUT /workers/enable?who=a",
        "PUT /drain",
        "GET /ready",
        "PUT /drain",
        "PUT /undrain",
        "PUT /undrain",
        "GET /ready",
    ]
    assert [operated.call(line) for line in right] == ["200 yes"] * 6 + ["503 no"] + ["200 yes"] * 4
    assert operated.say(b"PUT /drain HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc") == "200 yes"
    operated.stop()


def test_idle_partial_and_many_requests_block_neither_each_other_nor_clients(tmp_path) -> None:
    operated = Operated(tmp_path, DONE)
    place = operated.scheduler.operators.address
    stay = [gevent.socket.create_connection(place) for _ in range(40)]
    for sock in stay[::2]:
        sock.sendall(b"PUT /drain HTTP/1.1\r\nHost")
    gevent.sleep(0.05)
    answers = [gevent.spawn(operated.call, "GET /ready") for _ in range(10)]
    gevent.joinall(answers, 1.0)
    assert [answer.value for answer in answers] == ["200 yes"] * 10
    assert first(operated.ask(post())) == "HTTP/1.1 200 OK | 7"
    assert len(operated.scheduler.operators.connections) <= operated.scheduler.limits.operators
    gevent.sleep(operated.scheduler.limits.operator_call)
    assert (len(operated.scheduler.operators.connections), operated.call("GET /ready")) == (0, "200 yes")
    operated.stop()


def test_counters_match_what_clients_and_workers_saw(tmp_path) -> None:
    full = b"HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
    failed = chunked('{"id":"c1","state":"failed"}')
    operated = Operated(
        tmp_path,
        DONE,
        failed,
        DONE,
        full,
        None,
        settings=SETTINGS | {"ceilings": SETTINGS["ceilings"] | {"max-hand-offs": 1}},
    )
    seen = [
        first(operated.ask(post()))[9:12],
        first(operated.ask(post("/pay/1")))[9:12],
        first(operated.ask(post()))[9:12],
        first(operated.ask(post()))[9:12],
    ]
    operated.ask(post("/none/1", X_Service_Class="none"))  # no category, so it is not counted
    gevent.sleep(0.2)  # the backoff after the worker was full
    waits = operated.ask(post())
    names = [
        f"operations.{name}.{final}"
        for name in ("look", "pay")
        for final in ("fulfilled", "throttled", "faulted")
    ]
    found = {name: operated.figure(name) for name in [*names, "relayed", "open_requests"]}
    assert seen == ["200", "504", "200", "503"]
    assert found == dict(zip(names, [2, 1, 0, 0, 0, 1])) | {"relayed": 5, "open_requests": 1}
    assert len(operated.worker.requests) == 5
    waits.close()
    operated.stop()


def test_requests_rejected_on_arrival_are_counted(tmp_path) -> None:
    operated = Operated(tmp_path, DONE)
    operated.scheduler.has_room_for = lambda body: False
    assert first(operated.ask(post()))[9:12] == "503"
    assert (operated.figure("operations.look.throttled"), operated.figure("relayed")) == (1, 0)
    operated.stop()


def test_the_text_of_the_metrics() -> None:
    odd = Category(1.0, Effect.IDEMPOTENT, Group.ALL, 1.0, 0.0, 1.0, 0.0, 1.0)
    counts = Counts([odd])
    for status in (200, 200, 429, 503, 400, 504):
        counts.count_response(odd, status)
    assert render({"a:b|c\n": odd}, counts, {"open_requests": 3}).decode().splitlines() == [
        "svc.operations.a_b_c_.fulfilled:2|c",
        "svc.operations.a_b_c_.throttled:2|c",
        "svc.operations.a_b_c_.faulted:2|c",
        "svc.relayed:0|c",
        "svc.open_requests:3|g",
    ]


def test_worker_gauges_follow_the_list(tmp_path) -> None:
    operated = Operated(tmp_path)
    put = operated.scheduler.put
    put(
        "listed",
        ListForm.CHANGES,
        [
            ReducerHarness.row("b"),
            ReducerHarness.row("c", Phase.DRAINING),
            ReducerHarness.row("d", Phase.GONE),
        ],
    )
    operated.call("PUT /workers/disable?who=b")
    assert (operated.figure("registry_entries"), operated.figure("out_of_rotation")) == (3, 2)
    put("listed", ListForm.FULL, [ReducerHarness.row("c")])  # a worker missing in a full list is gone
    assert (operated.figure("registry_entries"), operated.figure("out_of_rotation")) == (1, 0)
    operated.stop()


def test_a_disabled_worker_stays_disabled_whatever_is_listed() -> None:
    desk = ReducerHarness("AB")
    desk.put("disabled", "A")
    for change in (
        lambda: desk.put("listed", ListForm.FULL, [ReducerHarness.row("A"), ReducerHarness.row("B")]),
        lambda: desk.put("listed", ListForm.CHANGES, [ReducerHarness.row("A", Phase.DRAINING)]),
        lambda: desk.put("listed", ListForm.CHANGES, [ReducerHarness.row("A")]),
        lambda: desk.put("listed", ListForm.FULL, [ReducerHarness.row("B")]),
        lambda: desk.put("listed", ListForm.FULL, [ReducerHarness.row("A"), ReducerHarness.row("B")]),
        lambda: desk.put("moved"),
    ):
        change()
        desk.lines.clear()
        for key in "abc":
            desk.take(key)
        assert [line.split(": ")[1][:10] for line in desk.lines] == ["send a 0 B", "send b 0 B", "send c 0 B"]
        for key in "abc":
            desk.put("ended", key, 0, Outcome.FINISHED)
    desk.put("disabled", "B")  # the last worker too
    desk.lines.clear()
    desk.take("g")
    assert "send" not in desk.lines[0]
    desk.put("disabled", "A")  # repeated
    desk.put("enabled", "A")
    desk.lines.clear()
    desk.take("h")
    assert "send h 0 A" in desk.lines[0]


def test_a_disabled_worker_gets_no_hedge_or_retry_and_finishes_its_work() -> None:
    bench = Bench("AB")
    bench.take("a")
    send = bench.pull()[0]
    other = bench.workers["B" if send.attempt.worker is bench.workers["A"] else "A"]
    bench.balancer.set_disabled(other, True)
    bench.wait(1.0)  # no report of a start: it would be retried elsewhere
    assert bench.items["a"].attempts == [send.attempt]
    bench.balancer.set_disabled(send.attempt.worker, True)
    bench.end("a")
    assert bench.items["a"].answered


def test_a_reenabled_worker_is_not_avoided_and_gets_the_first_light_item() -> None:
    """Guards against a re-enabled worker that gets no work while others are free, because it is cold and so
    never ranks close to the best. Its record from before it was disabled doesn't apply to its new process."""
    bench = Bench("ABCD", kinds=[category(), category(Effect.AT_MOST_ONCE)])
    worker = bench.workers["A"]
    worker.ejected_until, worker.ejections, worker.rejections, worker.backoff_until = (
        bench.now + 60,
        5,
        9,
        bench.now + 60,
    )
    worker.run_sum, worker.work_sum, worker.ran_at, worker.limit = 90.0, 1.0, bench.now, 1.0
    bench.balancer.set_disabled(worker, True)
    bench.wait(1.0)
    bench.list(ListForm.CHANGES, ready={"A": bench.now - 2.0}, A=Phase.READY)
    bench.balancer.set_disabled(worker, False)
    for name in "abcd":  # sets the mean work of an item
        bench.take(name, work=0.2)
    bench.take("e", category=1, work=0.02)  # not rerunnable: no trial
    bench.pull()
    assert not worker.in_flight
    bench.take("f", work=0.02)
    bench.pull()
    assert [attempt.item for attempt in worker.in_flight] == [bench.items["f"]] and not worker.reenabled


@pytest.mark.parametrize(
    "faulty, error_text",
    [
        ({"operator": 7}, "operator is malformed: not an address: 7"),
        ({"operator": "here"}, "operator is malformed: not an address: 'here'"),
        (
            {"operator": "127.0.0.1:80", "listen": "127.0.0.1:80"},
            "operator is malformed: '127.0.0.1:80' is also the listen address for clients",
        ),
    ],
)
def test_an_invalid_operators_address_is_named(tmp_path, faulty, error_text) -> None:
    with pytest.raises(BadConfiguration) as error:
        configuration(tmp_path, **faulty)
    assert str(error.value) == error_text


def test_the_operators_address_comes_from_the_environment_too(tmp_path) -> None:
    assert configuration(tmp_path).operator is None
    found = read(
        {"BALANCER_CONFIG": str(tmp_path / "configuration.json"), "BALANCER_OPERATOR": "127.0.0.1:9"}
    )
    assert found.operator == ("127.0.0.1", 9)


def test_it_is_not_ready_before_the_first_list_of_workers(tmp_path) -> None:
    """Guards against reporting ready without a list of workers, when every client would be rejected."""
    operated = Operated(tmp_path, known={"seq": 0, "whole": True, "hosts": []})
    operated.stop()
    operated.discovery = StubServer(None)
    operated.start(operated.configure())
    trace = [operated.call("GET /ready"), first(operated.ask(READY))]
    operated.scheduler.list_updated(ListForm.FAILED, [])
    gevent.sleep(0.15)
    trace.append(operated.call("GET /ready"))
    operated.scheduler.list_updated(ListForm.FULL, [])
    gevent.sleep(0.15)
    trace += [operated.call("GET /ready"), first(operated.ask(READY))]
    assert trace == ["503 no", "HTTP/1.1 503 Service Unavailable", "503 no", "200 yes", "HTTP/1.1 200 OK"]
    operated.stop()


def test_clients_are_served_if_the_operators_address_is_in_use(tmp_path) -> None:
    held = door()
    served = Served(tmp_path, DONE, operator="%s:%d" % held.getsockname())
    assert first(served.ask(post())) == "HTTP/1.1 200 OK | 7"
    served.stop()


# ---- drain


def test_a_drain_closes_kept_connections_between_requests_and_can_be_undone(tmp_path) -> None:
    operated = Operated(tmp_path, *[DONE] * 9)
    limits = operated.scheduler.limits
    kept, idle = operated.ask(post()), operated.ask(post())
    trace = [first(kept), first(idle), operated.call("PUT /drain"), first(operated.ask(READY))]
    kept.sendall(post())  # at first nothing changes
    trace += [first(kept), first(operated.ask(post()))]
    gevent.sleep(limits.drain_grace)
    kept.sendall(post())  # then each answer closes its connection, so that no request crosses a close
    trace += [first(kept), kept.recv(9).decode(), first(operated.ask(READY))]
    gevent.sleep(limits.final_request + 0.05)
    trace += [
        idle.recv(9).decode(),
        str(len(operated.scheduler.door.conversations)),
        operated.call("PUT /undrain"),
        first(operated.ask(READY)),
        first(operated.ask(post())),
    ]
    served, again = "HTTP/1.1 200 OK | 7", "HTTP/1.1 503 Service Unavailable"
    assert trace == [
        served,
        served,
        "200 yes",
        again,
        served,
        served,
        "HTTP/1.1 200 OK | Connection: close | 7",
        "",
        again + " | Connection: close",
        "",
        "0",
        "200 yes",
        "HTTP/1.1 200 OK",
        served,
    ]
    operated.stop()


def test_a_request_that_crosses_the_end_of_a_drain_is_served(tmp_path) -> None:
    """Received bytes are read before an idle connection is closed."""
    operated = Operated(tmp_path, DONE, DONE)
    sock = operated.ask(post())
    first(sock)
    operated.call("PUT /drain")
    (conversation,) = operated.scheduler.door.conversations
    gevent.sleep(operated.scheduler.limits.drain_grace + operated.scheduler.limits.final_request - 0.1)
    half = post()
    sock.sendall(half[:60])
    gevent.sleep(0.2)
    assert not conversation.ended
    sock.sendall(half[60:])
    assert first(sock) == "HTTP/1.1 200 OK | Connection: close | 7"
    operated.stop()


def test_a_drain_undone_half_way_and_one_that_meets_sigterm(tmp_path) -> None:
    operated = Operated(tmp_path, *[DONE] * 9)
    kept = operated.ask(post())
    trace = [first(kept)[9:12]]
    for call in ("PUT /drain", "PUT /undrain", "PUT /drain", "PUT /drain", "PUT /undrain"):
        trace.append(operated.call(call)[:3])
        gevent.sleep(0.2)
    gevent.sleep(operated.scheduler.limits.drain_grace + operated.scheduler.limits.final_request)
    kept.sendall(post())
    trace += [first(kept)[9:12], operated.call("PUT /drain")[:3]]
    gevent.sleep(operated.scheduler.limits.drain_grace)
    operated.stop_asked.set()
    gevent.sleep(0)
    trace += [operated.call("PUT /undrain"), operated.call("GET /ready"), operated.call("PUT /drain")]
    assert trace == ["200"] * 8 + ["409 the process is about to exit", "503 no", "200 yes"]
    operated.running.join(3.0)
    assert operated.running.successful()


def test_a_disabled_worker_stays_disabled_after_sighup_and_a_new_discovery_address(tmp_path) -> None:
    operated = Operated(tmp_path, DONE)
    there = StubServer(
        told(42, entry("a", dial="%s:%d" % operated.worker.address, site="east"), whole=True), None
    )
    operated.call("PUT /workers/disable?who=a")
    operated.found = lambda: operated.configure(discovery="%s:%d" % there.address, operator="127.0.0.1:0")
    operated.again.set()
    gevent.sleep(0.1)
    assert there.requests and first(operated.ask(post()))[9:12] == "503"
    assert (operated.worker.requests, operated.figure("out_of_rotation")) == ([], 1)
    operated.call("PUT /workers/enable?who=a")
    assert first(operated.ask(post())) == "HTTP/1.1 200 OK | 7"
    operated.stop()
