"""The watch on the list of workers, against a stub server."""

from __future__ import annotations

import json

import gevent
from helper import StubServer, limits, settings

from opalwick.protocol.discovery import Discovery, parse_list
from opalwick.protocol.settings import read_name_maps, read_scheduler_config


def entry(name: str, **changes) -> dict:
    return {
        "host": name,
        "dial": "127.0.0.2:5000",
        "site": "west",
        "class": "small",
        "block": 3,
        "health": "ready",
        "share": 1.0,
        "born_ms": 0,
    } | changes


def told(seq: int, *hosts: dict, whole: bool = False, status: int = 200) -> bytes:
    body = json.dumps({"seq": seq, "whole": whole, "hosts": hosts})
    return f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


def watched(*script: bytes | None, **changes) -> list[str]:
    stand, lines = StubServer(*script), []
    terms = read_scheduler_config(settings())

    def on_list(form, rows) -> None:
        lines.append(
            " ".join(
                [
                    form.name,
                    *(
                        f"{name}: zone {zone}, kind {kind}, cell {cell}, {phase.name}"
                        f"{f', since {since:g}' if since > 0 else ''} at {place[1]}"
                        for name, _, zone, kind, cell, phase, since, place, _ in rows
                    ),
                ]
            )
        )

    discovery = Discovery(
        stand.address, 41, read_name_maps(settings(), terms), 1e6, limits(**changes), on_list
    )
    running = gevent.spawn(discovery.watch)
    running.join(3.0)
    assert running.successful()
    return [*lines, *(text.split(" HTTP")[0] for text in stand.requests), f"{stand.connections} connections"]


def test_a_worker_with_a_malformed_size_stays_usable() -> None:
    sizes = ["much", None, float("nan"), float("inf"), -1, 0, 10**400, True, 4.5]
    hosts = [entry(f"w{i}", share=share) for i, share in enumerate(sizes)]
    terms = read_scheduler_config(settings())
    _, _, found = parse_list(
        {"seq": 1, "whole": True, "hosts": hosts}, read_name_maps(settings(), terms), 0.0
    )
    assert [row[-1] for row in found] == [0.0] * 7 + [1.0, 4.5]


def test_a_watch_goes_on_until_a_call_fails() -> None:
    assert watched(
        told(41),
        told(42, entry("a", born_ms=1000005000), whole=True),
        told(42),
        told(43, entry("a", health="gone"), entry("b", health="draining", dial="127.0.0.3:5001")),
        told(0, status=503),
    ) == [
        "CHANGES",
        "FULL a: zone 1, kind 1, cell 3, READY, since 5 at 5000",
        "CHANGES a: zone 1, kind 1, cell 3, GONE at 5000 b: zone 1, kind 1, cell 3, DRAINING at 5001",
        "FAILED",
        "GET /api/targets?since=41&timeout_ms=1",
        "GET /api/targets?since=41&timeout_ms=20000",
        "GET /api/targets?since=42&timeout_ms=20000",
        "GET /api/targets?since=42&timeout_ms=20000",
        "GET /api/targets?since=43&timeout_ms=20000",
        "1 connections",
    ]


def test_malformed_entries_do_not_affect_the_others() -> None:
    assert watched(
        told(
            42,
            entry("a", dial="nowhere"),
            {"host": "b"},
            entry("c", health="odd"),
            entry("d"),
            entry("e", block=None),
            entry("f", site=["x"]),
            entry("g", block=float("inf")),
        )
    )[0] == ("CHANGES d: zone 1, kind 1, cell 3, READY at 5000")


def test_an_invalid_list_fails_the_watch() -> None:
    for response in (
        b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n[]",
        b"220 ready\r\n",
        b"HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\n{",
        told(float("inf")),
        told("x"),
        told(1).replace(b"[]", b" 7"),
    ):
        assert watched(response)[0] == "FAILED"


def test_a_watch_without_a_response_times_out() -> None:
    """An unreachable machine sends nothing, and no TCP keepalive detects it."""
    assert watched(None, discovery_call=0.1)[0] == "FAILED"
    assert watched(told(41), None, watch=0.05, watch_grace=0.1)[:2] == ["CHANGES", "FAILED"]


def test_a_closed_connection_is_opened_again_without_a_gap() -> None:
    closing = told(42).replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
    lines = watched(told(41), closing, told(43, entry("a")), None, watch=0.1, watch_grace=0.1)
    assert lines[-1] == "2 connections"


def test_a_list_of_many_workers_is_longer_than_a_work_item_may_be() -> None:
    many = [entry(f"w{i}") for i in range(1000)]
    assert watched(told(42, *many, whole=True))[0].count("READY") == 1000
