"""Table tests of small parts: outcomes, routes, names, directory, registry, leases, delivery requests."""

from __future__ import annotations

import re
from random import Random
from types import SimpleNamespace

import pytest
from post_helper import fill, show

from opalwick.post.controller.leases import MAX_LEASE, LeaseTable
from opalwick.post.controller.registry import FORGET_AFTER, MISSED_HEARTBEATS, Registry
from opalwick.post.delivery_outcome import DeliveryOutcome, outcome_of_status
from opalwick.post.directory import Directory, is_empty
from opalwick.post.gateway.delivery import Delivery, request_bytes
from opalwick.post.gateway.dispatchers import Load, parse_load
from opalwick.post.gateway.routes import Routes
from opalwick.post.names import (
    NameGenerator,
    ParsedName,
    base36,
    complete_name,
    matches_tags,
    message_id,
    node_tag,
    parse_name,
    process_id,
)
from opalwick.post.wire_pb2 import Conf, Field, Letter, News, Node, Route, Worker
from opalwick.post.worker_heartbeats import Heartbeat


@pytest.mark.parametrize(
    "status, not_run, has_token, expected",
    [
        (200, False, True, "DONE"),
        (299, False, True, "DONE"),
        (200, False, False, "BROKEN"),
        (302, False, True, "BROKEN"),
        (422, False, False, "REFUSED"),
        (422, True, False, "FULL"),
        (500, False, False, "FAILED"),
        (500, True, False, "FULL"),
        (421, False, False, "ABSENT"),
        (421, True, False, "ABSENT"),
        (409, True, False, "RUNNING"),
        (409, False, False, "BROKEN"),
        (503, True, False, "FULL"),
        (429, True, False, "FULL"),
        (400, True, False, "FULL"),
        (503, False, False, "BROKEN"),
        (504, False, False, "BROKEN"),
        (404, False, False, "BROKEN"),
    ],
)
def test_outcome_of_a_response(status: int, not_run: bool, has_token: bool, expected: str) -> None:
    outcome = outcome_of_status(status, not_run, has_token)
    assert outcome is DeliveryOutcome[expected]
    # only a token, 422 and 500 prove that it ran, and `X-Not-Run` or 421 that it did not
    assert outcome.ran is (False if not_run or status == 421 else True if outcome.name != "BROKEN" else None)


@pytest.mark.parametrize(
    "host, path, expected",
    [
        ("a.example", "/x/1", "x"),
        ("a.example", "/x/y/1", "xy"),
        ("a.example", "/x", None),
        ("A.Example", "/x/", "x"),
        ("a.example:8044", "/x/1", "x"),
        ("b.example", "/x/y/1", "b"),
        ("b.example", "/z", None),
        ("c.example", "/x/1", None),
        ("a.example", "/x/?q=/x/y/", "x"),
    ],
)
def test_the_longest_stem_of_a_host(host: str, path: str, expected: str | None) -> None:
    routes = Routes(
        Conf(
            gen=3,
            routes=[
                Route(name=name, host=host, stem=stem)
                for name, host, stem in (
                    ("x", "a.example", "/x/"),
                    ("xy", "a.example", "/x/y/"),
                    ("b", "b.example", "/x/"),
                )
            ],
        )
    )
    route = routes.find(host, path)
    assert (route.name if route else None) == expected and routes.gen == 3


def test_names() -> None:
    assert [base36(n) for n in (0, 35, 36, 36**6)] == ["0", "z", "10", "1000000"]
    assert process_id("c1", 7) == "c1/7" and len(node_tag("any")) <= 7
    stores, drawn = [f"disk-{n}" for n in range(5)], Random(1)
    names = NameGenerator("edge-1", 36**8 - 1, drawn.randbytes)
    generated = [
        complete_name(names.begin_name(n), stores[:copies], "H:80") for n, copies in enumerate((1, 2, 3, 5))
    ]
    for name in generated:
        parsed = parse_name(name, "h")
        assert (
            parsed is not None
            and parsed.mid == message_id(name) == name
            and re.fullmatch("[0-9a-z_.]+", name)
        )
        assert (
            parsed.all_stores_in(stores)
            and not parsed.all_stores_in(stores[1:])
            and not parsed.all_stores_in([])
        )
        assert [parsed.hints_at(store) for store in stores[:2]] == [True, parsed.store_count > 1]
    longest = complete_name(
        NameGenerator("edge-1", 36**9 - 1, drawn.randbytes).begin_name(36**6 - 1), stores, "h"
    )
    assert parse_name(longest, "h") and len(longest) <= 64
    assert len({names.begin_name(1) for _ in range(1000)}) == 1000  # although the number is the same


def test_names_of_the_previous_version() -> None:
    stores = ["disk-maipu-1", "disk-nunoa-1"]
    tags = tuple(map(node_tag, stores))
    name = "-".join(["1c.k3f9a2.zz", *tags])
    assert (
        parse_name(name, "any") == ParsedName("1c.k3f9a2.zz", (), tags) and message_id(name) == "1c.k3f9a2.zz"
    )
    assert (
        matches_tags(tags, stores)
        and not matches_tags(tags, stores[::-1])
        and not matches_tags(tags[:1], stores)
    )
    for other in ("1c.k3f9a2.zz", "1c.k3f9a2.zz-", "1c.k3f9a2-x", "1C.k3f9a2.zz-x", name + "\n", name + "-"):
        assert parse_name(other, "any") is None


@pytest.mark.parametrize(
    "known, worker, accepted",
    [
        ("", "calls=1", True),
        ("calls=4", "calls=5", True),
        ("calls=4", "calls=4", False),
        ("calls=4", "calls=3", False),
        ("calls=4", "silent calls=4", True),
        ("silent calls=4", "calls=4", False),
        ("silent calls=4", "calls=5", True),
        ("calls=9", "gone calls=1", True),
        ("gone calls=1", "calls=9", False),
        ("gone calls=1", "gone", False),
    ],
)
def test_which_update_of_a_worker_is_newer(known: str, worker: str, accepted: bool) -> None:
    d = Directory()
    if known:
        d.merge(News(workers=[fill(Worker(id="w"), known)]))
    fresh = d.merge(News(workers=[fill(Worker(id="w"), worker)]))
    held = "id=w " + (worker if accepted else known)
    assert show(d.workers["w"]) == held and is_empty(fresh) is not accepted


def test_a_directory_keeps_the_newest_from_any_source() -> None:
    d, other = Directory(), Directory()
    for life, gone, accepted in (
        (5, False, True),
        (5, False, False),
        (4, True, False),
        (5, True, True),
        (5, False, False),
        (6, False, True),
    ):
        assert bool(d.merge(News(nodes=[Node(node="c1", life=life, gone=gone)])).nodes) is accepted
    for gen, accepted in ((3, True), (3, False), (2, False), (4, True)):
        assert d.merge(News(conf=Conf(gen=gen))).HasField("conf") is accepted
    other.merge(d.whole())
    assert other.whole() == d.whole() and other.conf is not None and other.conf.gen == 4
    assert is_empty(News()) and not is_empty(d.whole())


def beat(calls: int, **more: object) -> Heartbeat:
    fields = dict(
        id="w", svc="s", host="10.0.0.1", port=80, zone="n", gen="v1", capacity=2, draining=False, chill=0.0
    )
    return Heartbeat(**(fields | more), calls=calls)  # type: ignore[arg-type]


def test_gateways_receive_only_changes_of_a_worker(snapshot) -> None:
    """Each heartbeat goes to the other controllers. A worker is silent after MISSED, until its next one."""
    r, lines = Registry(1.0, 0.0), []

    def note(at: float, what: str, news: News, counters: bool) -> None:
        lines.append(f"{at:6.1f} {what}: {show(news) or 'nothing new'}" + " (counters too)" * counters)

    for at, what, given in (
        (0.0, "first", beat(1, chill=3.0)),
        (1.0, "same", beat(2, chill=2.0)),
        (1.5, "late", beat(1)),
        (2.0, "drains", beat(3, draining=True)),
        (4.0, "new software", beat(5, draining=True, gen="v2")),
    ):
        note(at, what, *r.beat(at, given))
    assert [w.chill for w in r.whole(2.0).workers] == [1.0]
    for at in (4.0 + MISSED_HEARTBEATS, 4.1 + MISSED_HEARTBEATS, 5.0 + MISSED_HEARTBEATS):
        news = r.tick(at)
        note(at, "tick", news, bool(news.workers))
    note(9.0, "back", *r.beat(9.0, beat(6)))
    note(9.5, "left", *r.left(9.5, "w"))
    note(9.6, "left again", *r.left(9.6, "w"))
    note(9.7, "late", *r.beat(9.7, beat(7)))
    note(9.8, "left unknown", *r.left(9.8, "v"))
    r.tick(9.5 + FORGET_AFTER)
    assert "w" in r.directory.workers
    r.tick(9.7 + FORGET_AFTER)
    assert "w" not in r.directory.workers and "v" in r.directory.workers
    assert "\n".join(lines) == snapshot
    known = Worker(id="w", svc="s", host="h", port=80)
    for change in ("svc=t", "host=g", "port=81", "zone=s", "capacity=3", "draining", "gone", "silent"):
        assert r.differs(fill(Worker(id="w", svc="s", host="h", port=80), change), known), change


@pytest.mark.parametrize(
    "first, steps",
    [
        (
            True,
            [
                (0.0, "a", 1.4, True),
                (0.5, "b", 1.4, False),
                (1.0, "a", 1.4, True),
                (2.3, "b", 1.4, False),
                (2.4, "b", 1.4, True),
                (2.5, "a", 0.0, False),
                (2.6, "a", 1.4, False),
                (2.7, "b", 0.0, False),
                (2.7, "a", 99.0, True),
                (2.7 + MAX_LEASE, "b", 1.0, True),
            ],
        ),
        (False, [(0.0, "a", 1.4, False), (MAX_LEASE - 0.1, "a", 1.4, False), (MAX_LEASE, "a", 1.4, True)]),
    ],
)
def test_a_voter_grants_a_lease_to_one_process_for_a_period(first: bool, steps: list) -> None:
    d = LeaseTable(0.0, first)
    for at, who, span, granted in steps:
        assert bool(d.lease(at, who, ["s"], span)) is granted, (at, who)
    assert d.holders(at) == {"s": who} and d.holders(at + MAX_LEASE) == {}


def test_a_delivery_is_the_request_unchanged() -> None:
    message = Letter(
        rid="9c41",
        host=b"a.example",
        method=b"POST",
        target=b"/x/2f?q=1",
        body=b"abc",
        fields=[Field(name=b"x-order-key", value=b"k\xe9")],
    )
    assert request_bytes(message, 1.5, "i-7f") == (
        b"POST /x/2f?q=1 HTTP/1.1\r\nHost: a.example\r\nx-order-key: k\xe9\r\nX-Request-Id: 9c41\r\n"
        b"X-Deadline-Ms: 1500\r\nContent-Length: 3\r\nX-Want-Worker: i-7f\r\n\r\nabc"
    )
    without_id = request_bytes(message, 0.0001, "")  # a static endpoint has no id
    assert b"X-Want-Worker" not in without_id and b"X-Deadline-Ms: 1\r\n" in without_id


@pytest.mark.parametrize(
    "only_request, status, fields, expected, closed",
    [
        (
            True,
            200,
            {b"x-seal": b"s1", b"x-load": b"3,1,8"},
            (DeliveryOutcome.DONE, "s1", Load(3, 1, 8)),
            False,
        ),
        (False, 200, {b"x-seal": b"s1", b"x-load": b"3,1,8"}, (DeliveryOutcome.BROKEN, "", None), True),
        (True, 200, {b"x-seal": b"s1", b"x-request-id": b"other"}, (DeliveryOutcome.BROKEN, "", None), True),
        (
            False,
            200,
            {b"x-seal": b"s1", b"x-request-id": b"9c41", b"keep-alive": b"timeout=5"},
            (DeliveryOutcome.DONE, "s1", None),
            False,
        ),
        (True, 421, {b"x-load": b"0,0,0"}, (DeliveryOutcome.ABSENT, "", None), True),
        (True, 503, {b"x-not-run": b""}, (DeliveryOutcome.FULL, "", None), False),
        (False, 503, {b"x-not-run": b""}, (DeliveryOutcome.BROKEN, "", None), True),
    ],
)
def test_interpretation_of_a_response(
    only_request: bool, status: int, fields: dict, expected: tuple, closed: bool
) -> None:
    """A response to another request proves nothing about this one. One without a request id counts only if no
    other request was sent on its connection. An idle connection is kept for less than its keep-alive."""
    d, connection, rests = Delivery.__new__(Delivery), SimpleNamespace(closed=False), []
    d.request_id, d.address, d.only_request, d.fully_written = b"9c41", ("10.0.0.1", 80), only_request, True
    d.pool = SimpleNamespace(set_idle_limit=lambda at, seconds: rests.append(round(seconds, 2)))  # type: ignore[assignment]
    connection.close = lambda: setattr(connection, "closed", True)
    assert d.interpret(connection, SimpleNamespace(status=status, headers=fields)) == expected  # type: ignore[arg-type]
    assert connection.closed is closed and rests == ([3.4] if b"keep-alive" in fields else [])


@pytest.mark.parametrize("text", [b"", b"1,2", b"1,2,3,4", b"a,b,c", b"-1,0,4", b"1,0,0"])
def test_invalid_loads_are_ignored(text: bytes) -> None:
    assert parse_load(text) is None
