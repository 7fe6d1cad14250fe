"""Request bodies of workers and operators: validation errors, and agreement with the OpenAPI description."""

from __future__ import annotations

import json
from dataclasses import MISSING, fields
from pathlib import Path

import pytest
import yaml

from opalwick.post import configuration, worker_heartbeats
from opalwick.post.configuration import check
from opalwick.post.worker_heartbeats import parse_heartbeat

DESCRIPTION = yaml.safe_load((Path(__file__).parent.parent / "openapi" / "post.yaml").read_text())
SCHEMAS = DESCRIPTION["components"]["schemas"]
ROUTE = {"name": "r1", "vhost": "a.example", "stem": "/x/", "svc": "s1", "limit_ms": 1500}
BEAT = {"svc": "s1", "address": "10.128.0.9:8080", "capacity": 2, "state": "up", "calls": 4}


def example(path: str) -> bytes:
    request = DESCRIPTION["paths"][path]["put"]["requestBody"]
    return json.dumps(request["content"]["application/json"]["example"]).encode()


@pytest.mark.parametrize("name", ["Configuration", "Route", "Service", "Caps"])
def test_the_description_has_the_fields_that_are_read(name):
    read, described = fields(getattr(configuration, name)), SCHEMAS[name]["properties"]
    assert [f.name for f in read] == list(described)
    assert [f.name for f in read if f.default is MISSING] == SCHEMAS[name].get("required", [])
    assert all(
        f.default == described[f.name]["default"]
        for f in read
        if f.default is not MISSING and f.name != "caps"
    )


def test_the_examples_are_valid():
    assert {*worker_heartbeats.REQUIRED, *worker_heartbeats.OPTIONAL} == set(SCHEMAS["Beat"]["properties"])
    assert list(worker_heartbeats.REQUIRED) == SCHEMAS["Beat"]["required"]
    parsed = parse_heartbeat("i-7f", example("/workers/{id}")).unwrap()
    assert parsed == worker_heartbeats.Heartbeat(
        "i-7f", "huvo11a", "10.128.0.9", 8080, "maipu", "v1", 2, False, 0.0, 4
    )
    assert check(example("/conf")).unwrap().routing[0].limit_ms == 1500.0


def conf(*routes: dict, **more: object) -> bytes:
    return json.dumps(
        {"gen": 7, "routing": [ROUTE | route for route in routes], "backends": [{"name": "s1"}]} | more
    ).encode()


def test_optional_and_unknown_fields():
    parsed = check(conf({"new": [1]}, {"name": "r2", "stem": "/x", "type": "now"}, gen=7.0, new=0)).unwrap()
    assert parsed.gen == 7 and type(parsed.gen) is int and parsed.routing[1].type == "now"
    assert parsed.caps.body_bytes == 262144 and parsed.backends[0].static is None


@pytest.mark.parametrize(
    "body, why",
    [
        (b'{"gen":7', "the body is not JSON: "),
        (b"\xff", "the body is not JSON: "),
        (b"[" * 100000, "the body is not JSON: "),
        (b"[]", "the body must be an object"),
        (conf().replace(b"7", b"NaN"), "the body is not plain JSON: NaN is not a number"),
        (
            conf().replace(b"{", b'{"gen":8,', 1),
            "the body is not plain JSON: an object has the key 'gen' twice",
        ),
        (conf(gen=True), "gen must be a number"),
        (conf(gen="7"), "gen must be a number"),
        (conf(gen=-1), "gen must not be below 0"),
        (conf(gen=7.5), "gen must be a whole number"),
        (conf(gen=2**63), "gen must not be above "),
        (conf(routing=None), "routing must be a list"),
        (conf(caps={"idle_ms": False}), "caps.idle_ms must be a number"),
        (b'{"gen":7}', "routing is missing"),
        (conf(backends=["s1"]), "backends[0] must be an object"),
        (conf(backends=[{"name": "s1"}] * 2), "backends[0] and backends[1] have the same name"),
        (conf(backends=[{"name": "s1", "static": "10.0.0.1"}]), "backends[0].static must be host:port "),
        (conf(backends=[{}]), "backends[0].name is missing"),
        (conf({}, {}), "routing[0] and routing[1] have the same name"),
        (conf({}, {"name": "r2", "vhost": "A.example"}), "routing[0] and routing[1] have the same vhost"),
        (conf({}, {"name": "r2", "stem": "/y", "svc": "x"}), "routing[1].svc names an unknown service 'x'"),
        (conf({"limit_ms": 0}), "routing[0].limit_ms must be above 0"),
        (conf({"limit_ms": 10**400}), "routing[0].limit_ms must not be above "),
        (conf({"limit_ms": None}), "routing[0].limit_ms must be a number"),
        (conf({"tries": 0}), "routing[0].tries must be at least 1"),
        (conf({"fifo": 1}), "routing[0].fifo must be true or false"),
        (conf({"type": 3}), "routing[0].type must be a string"),
        (conf({"stem": "x"}), "routing[0].stem must begin with '/'"),
        (conf({"type": "\ud800"}), "routing[0].type contains an unpaired surrogate"),
    ],
)
def test_an_invalid_configuration(body, why):
    assert check(body).failure().startswith(why)


@pytest.mark.parametrize(
    "id, change, why",
    [
        ("a/b", {}, "the id in the path must be"),
        ("a" * 129, {}, "the id in the path must be"),
        ("i", {"id": "j"}, "id is not that of the path"),
        ("i", {"address": "there:1"}, "address must be IPv4:port"),
        ("i", {"capacity": True}, "capacity must be a whole number"),
        ("i", {"state": "off"}, "state must be"),
        ("i", {"chill_ms": float("nan")}, "chill_ms must be a number"),
        ("i", {"calls": -1}, "calls must be"),
        ("i", {"gen": 1}, "gen must be printable text"),
        ("i", {"svc": ""}, "svc is empty"),
    ],
)
def test_an_invalid_beat(id, change, why):
    assert parse_heartbeat(id, json.dumps(BEAT | change).encode()).failure().startswith(why)
