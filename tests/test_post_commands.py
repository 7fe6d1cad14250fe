"""Commands for operators: checks of files, plans, traces, and the operators' server on a loopback socket."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any

import gevent
import pytest
import yaml
from test_post_events import ROLES, SETTINGS
from test_post_roles import Spy
from typer.testing import CliRunner

from opalwick.commands import app
from opalwick.post import commands, plan, replay
from opalwick.post.__main__ import split_options
from opalwick.post.commands import combined_status, differences, run, send_request
from opalwick.post.gateway.intake import Intake
from opalwick.post.operators import MetricsEndpoint, OperatorServer
from opalwick.post.settings import InvalidFile
from opalwick.post.store.disk import Disk
from opalwick.post.wire_pb2 import Conf, End, Keep, Letter, News, Route, Service, Worker
from opalwick.protocol.http import Message

HERE = Path(__file__).parent.parent
DEPLOY = (HERE / "deploy" / "system.toml").read_text()
CONF = {
    "gen": 7,
    "routing": [{"name": "r1", "vhost": "h", "stem": "/x/", "svc": "s1", "limit_ms": 5}],
    "backends": [{"name": "s1"}],
}


def site(counts: dict[str, list[int]], **lost: int) -> str:
    zones = "abcd"[: max(map(len, counts.values()))]
    lines = [f"zones = [{', '.join(f'{{name = {z!r}, region = {z + z!r}}}' for z in zones)}]"]
    lines += (
        ["machines = ["]
        + [
            f"{{class = {kind!r}, zone = {z!r}, count = {n}}},"
            for kind, each in counts.items()
            for z, n in zip(zones, each)
        ]
        + ["]", "[tolerate]"]
    )
    return "\n".join(lines + [f"{what} = {n}" for what, n in lost.items()])


# ---- check

BAD_DEPLOY = """build = ""
[roles.a]
run = "env python3 -m opalwick.post carrier counter"
on = "edge"
share = 0.5
serves = ["edge"]
[roles.b]
run = "python3 -m opalwick.post postmaster"
on = "cloud"
count = 0
serves = ["ctl", "all"]
more = 1
"""
BAD_CONF = {
    "gen": "7",
    "backends": [{"name": "s1", "max_conns": -1}, {"name": "s1"}],
    "routing": [
        {"name": "r1", "vhost": "h", "stem": "x", "svc": "s9", "limit_ms": 0},
        {"name": "r1", "vhost": "h", "stem": "/x", "svc": "s1"},
        7,
    ],
}


@pytest.mark.parametrize(
    "text, errors",
    [
        (
            SETTINGS + "caps.cpu=zero\nbeat_ms=0\n",
            [
                "FILE:8: caps.cpu: must be a number of at least 0, not 'zero'",
                "FILE:9: beat_ms: must be above 0",
            ],
        ),
        (
            BAD_DEPLOY,
            [
                "FILE:1: build: must be a command",
                "FILE:3: roles.a.run: must not need a shell or a wrapper program, as "
                "'env python3 -m opalwick.post carrier counter' does",
                "FILE:5: roles.a.share: must be share = 1.0: the gateway runs on all machines of its class",
                "FILE:9: roles.b.on: must be one of edge, disk, core, not 'cloud'",
                "FILE:10: roles.b.count: must be a whole number of at least 1, not 0",
                "FILE:11: roles.b.serves: must be a list of any of edge, disk, ctl, not ['ctl', 'all']",
                "FILE:12: roles.b.more: unknown field",
                "FILE: roles: no role runs 'carrier depot'",
            ],
        ),
        (
            "build = 1\n[roles.a\n",
            ["FILE:2: Expected ']' at the end of a table declaration (at line 2, column 9)"],
        ),
        (
            json.dumps(BAD_CONF),
            [
                "FILE: " + why
                for why in (
                    "gen must be a number",
                    "routing[0].stem must begin with '/'",
                    "routing[0].limit_ms must be above 0",
                    "routing[1].limit_ms is missing",
                    "routing[2] must be an object",
                    "backends[0].max_conns must not be below 0",
                    "routing[0] and routing[1] have the same name",
                    "backends[0] and backends[1] have the same name",
                    "routing[0].svc names an unknown service 's9'",
                )
            ],
        ),
        (
            '{"gen": 7,\n"routing": [}',
            ["FILE:2: the body is not JSON: Expecting value: line 2 column 13 (char 23)"],
        ),
    ],
)
def test_every_error_is_reported_with_its_line_or_field(
    tmp_path: Path, capsys: Any, text: str, errors: list[str]
) -> None:
    file = tmp_path / "file"
    file.write_text(text)
    assert run(["check", str(file)]) == 2
    output = capsys.readouterr().err.replace(str(file), "FILE").splitlines()
    assert output == ["opalwick: " + error for error in errors]


def test_valid_files_and_command_lines(tmp_path: Path) -> None:
    conf, settings = tmp_path / "conf", tmp_path / "settings"
    conf.write_text(json.dumps(CONF))
    settings.write_text(SETTINGS)
    for file, expected in (
        (conf, "configuration 7: 1 routes, 1 services"),
        (settings, "on 127.0.0.1:7301"),
        (HERE / "deploy" / "system.toml", "a deploy file: counter on edge, depot on disk"),
    ):
        result = CliRunner().invoke(app, ["post", "check", str(file)])
        assert (result.exit_code, expected in result.output) == (0, True), result.output
    for line in ("check", "status --att x", "nothing", "status --at nowhere", "check /nowhere/x"):
        assert run(line.split()) == 2
    for line in ("", "status", "message", "dead list", "config diff", "plan deploy", "replay"):
        assert run([*line.split(), "--help"]) == 0


# ---- plan


@pytest.mark.parametrize(
    "counts, lost, unmet",
    [
        ({"front": [2, 2, 2], "store": [1, 1, 1], "core": [1, 1, 1]}, {"machines": 1}, []),
        ({"front": [2, 2, 2], "store": [1, 1, 1], "core": [1, 1, 1]}, {"machines": 1, "zones": 1}, []),
        (
            {"front": [2, 2, 2], "store": [1, 1, 0], "core": [1, 1, 1]},
            {"machines": 1},
            [("stores left", 1, 2)],
        ),
        ({"front": [1, 1], "store": [4, 0], "core": [2, 1]}, {"machines": 1}, []),
        (
            {"front": [1, 1], "store": [4, 0], "core": [1, 1]},
            {"zones": 1},
            [
                ("zones that have a replica of a message", 1, 2),
                ("disks that have the configuration", 1, 2),
                ("stores left", 0, 1),
                ("voters left", 1, 2),
            ],
        ),
        (
            {"front": [1, 1], "store": [2, 2], "core": [2, 1]},
            {"machines": 1, "zones": 1},
            [("disks that have the configuration", 2, 3), ("voters left", 1, 2)],
        ),
        ({"front": [9, 9], "store": [9, 9], "core": [4, 4]}, {"machines": 2}, []),
        ({"front": [9, 9], "store": [9, 9], "core": [2, 2]}, {"machines": 2}, [("voters left", 2, 3)]),
        (
            {"front": [1, 1, 1], "store": [2, 2, 2], "core": [1, 1, 1]},
            {"zones": 1},
            [("zones that have a replica of a message", 1, 2), ("disks that have the configuration", 1, 2)],
        ),
    ],
)
def test_a_plan_reports_unmet_requirements(counts: Any, lost: Any, unmet: list[Any]) -> None:
    lines = plan.requirements(plan.parse_deploy(DEPLOY, "d"), plan.parse_site(site(counts, **lost), "s"))
    assert [(line.what, line.has, line.needs) for line in lines if not line.met] == unmet


def test_plan_and_its_exit_code(tmp_path: Path, capsys: Any) -> None:
    site_file, settings = tmp_path / "site", tmp_path / "settings"
    site_file.write_text(site({"front": [1, 1], "store": [1, 1], "core": [1, 1]}, machines=1))
    settings.write_text(SETTINGS + "zones.b=r\nzones.c=r\n")
    command = ["plan", "deploy", str(HERE / "deploy" / "system.toml")]
    assert (run([*command, str(site_file)]), run([*command, str(settings)])) == (1, 0)
    assert re.search(r"SHORT +stores left +1 +2", capsys.readouterr().out)
    with pytest.raises(InvalidFile, match="s: not a site file: KeyError 'zones'"):
        plan.parse_site("a = 1", "s")


# ---- traces


def test_the_example_and_a_recorded_trace_replay(capsys: Any) -> None:
    assert run(["replay", str(HERE / "docs" / "operate" / "post-trace.jsonl")]) == 0
    steps = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [step["left"][2] for step in steps if step["input"] == "tick" and step["left"]] == [
        [{"mid": "m1", "why": ["assign", "c2/9", 2]}]
    ]
    assert [step["returned"] for step in steps if step["input"] == "lease"] == [["ceiling"], [], ["ceiling"]]
    lines = ['{"at": 0, "core": "intake", "input": "new", "fields": ["a", 1, 8]}']
    core = Intake("a", 1, 8)
    replay.record(core, "intake", lambda: 0.5, lines.append, ("depot_up", "offered", "kept"))
    core.clock(0.5)
    core.depot_up("d1", "a")
    core.offered("call", Letter(mid="m", body=b"x"), False)
    live = [replay.to_json(one) for one in core.effects()]
    replayed = list(replay.play(lines))
    assert len(replayed) == 3 and replayed[-1]["left"] == live


@pytest.mark.parametrize(
    "line, why",
    [
        ("{", "t:2: not JSON"),
        ('{"at": 1, "core": "x", "input": "y"}', "t:2: core: unknown 'x'; known are intake"),
        ('{"at": 1, "core": "intake"}', "t:2: input: missing"),
        ('{"at": "z", "core": "intake", "input": "y"}', "t:2: at"),
        ('{"at": 1, "core": "views", "input": "tick"}', "t:2: 'views' does not exist"),
        ('{"at": 1, "core": "intake", "input": "_x"}', "t:2: input: intake has no '_x'"),
        ('{"at": 1, "core": "intake", "input": "tick", "fields": [1]}', "t:2: intake tick: TypeError"),
    ],
)
def test_an_invalid_trace(line: str, why: str) -> None:
    first = '{"at": 0, "core": "intake", "input": "new", "fields": ["a", 1, 8]}'
    with pytest.raises(replay.InvalidTrace, match=f"^{re.escape(why)}"):
        list(replay.play([first, line], "t"))


# ---- the operators' server


def conf(gen: int = 7) -> News:
    route = Route(name="r1", host="h", stem="/x/", svc="s1", tries=2, limit=5.0)
    return News(
        conf=Conf(gen=gen, routes=[route], services=[Service(name="s1", rate=4.0)]),
        workers=[Worker(id="w1", svc="s1", host="127.0.0.1", port=1, zone="a", capacity=2, calls=1)],
    )


def made(role: str) -> Any:
    """A role with a configuration, a worker and a link."""
    process = ROLES[role]()
    process.node = f"{role}-1"
    link = Spy("office" if role != "office" else "counter", "peer")
    process.add_link(link)
    if role == "office":
        process.registry.apply(conf())
    else:
        process.handle(link, "news", conf())
    return process


def answers(process: Any, path: str, read_disk: Any = None) -> tuple[int, Any]:
    message = Message(0.0)
    message.method, message.target = b"GET", path.encode()
    status, body, kind = OperatorServer(process, None, read_disk, lambda: 1.0).answer(message)
    return status, json.loads(body) if kind == "application/json" else body.decode()


def depot(folder: Path) -> tuple[Any, Any]:
    """A store with four dead messages, of two routes and of none, and one pending message."""
    store, disk, link = made("depot"), Disk(str(folder)), Spy("counter")
    store.add_link(link)
    for mid, target in (("a", "/x/1"), ("b", "/y"), ("c", "/x/2"), ("d", "/x/3"), ("e", "/x/4")):
        letter = Letter(
            mid=mid,
            rid="i" + mid,
            host=b"h",
            target=target.encode(),
            method=b"POST",
            body=b"o",
            holders=["depot-1"],
            until=9e9,
        )
        store.handle(link, "keep", Keep(letter=letter))
        disk.commit([("keep", (mid, letter.SerializeToString(), 0.0, 9e9, int(mid == "c"), 0))])
        if mid != "e":
            store.handle(link, "end", End(mid=mid))
    return store, lambda work: work(disk)


def test_dead_messages_by_route_and_page(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store, read_disk = depot(tmp_path)
    page = answers(store, "/dead?route=r1", read_disk)[1]
    assert [(one["id"], one["cause"]) for one in page["dead"]] == [
        ("a", "refused for good (422)"),
        ("c", "its attempt 2 of 2 failed, or refused for good (422)"),
        ("d", "refused for good (422)"),
    ]
    assert answers(store, "/dead/b", read_disk)[1]["cause"] == "no route takes it any more"
    assert answers(store, "/dead/b", read_disk)[1]["body"] == "bw=="
    monkeypatch.setattr("opalwick.post.store.status.PAGE", 2)
    page = answers(store, "/dead", read_disk)[1]
    assert ([one["id"] for one in page["dead"]], page["last"], page["more"]) == (["a", "b"], "b", True)
    page = answers(store, "/dead?after=b", read_disk)[1]
    assert ([one["id"] for one in page["dead"]], page["more"]) == (["c", "d"], False)
    assert answers(store, "/message/e")[1]["why"] == "c1/1 delivers it: ask there"
    assert answers(store, "/message/a")[1]["state"] == "dead"


def test_why_a_message_waits_at_a_gateway() -> None:
    gateway = made("counter")
    gateway.rounds.accepted(Letter(mid="m", rid="q", host=b"h", target=b"/x/1", until=90.0, gen=9), ("d1",))
    reasons = []
    for step in range(4):
        if step == 1:
            gateway.rounds.items["m"].message.gen = 7
        if step == 2:
            gateway.confirmed_receipt["d1"] = 1.0
        if step == 3:
            gateway.confirmed_owners.add("d1")
            gateway.tick()
            gateway.settle()
        reasons.append(answers(gateway, "/message/" + "mq"[step % 2])[1]["why"])
    assert reasons == [
        "configuration 9, under which it was accepted, has not been received yet",
        "none of its stores (d1) has recently acknowledged this gateway's heartbeats",
        "d1 must first confirm that this gateway still owns it",
        "waits for a permit of the rate limit of s1, held by an unknown gateway",
    ]


def test_the_statuses_of_all_processes_are_combined(tmp_path: Path) -> None:
    statuses = {
        ("10.0.0.%d" % i, 7301): answers(made(role), "/status")[1]
        for i, role in enumerate(("counter", "depot", "office"))
    }
    gateway, _, controller = statuses.values()
    gateway["why_not"] = []
    controller |= {"active": True, "blank": False, "conf": 7}
    assert combined_status(statuses)["look"] == ["depot-1 has not caught up: it waits for the settling time"]
    other = json.loads(json.dumps(gateway)) | {
        "node": "counter-2",
        "conf": 6,
        "why_not": ["it is shutting down"],
    }
    other["desks"]["s1"] |= {"firsts": 5, "queue": 2, "workers": []}
    gateway["desks"]["s1"]["workers"][0]["state"] = "silent"
    gateway["ceilings"]["s1"]["here"] = other["ceilings"]["s1"]["here"] = True
    gateway["directory"].append({"node": "gone", "role": "depot", "zone": "b", "ip": "10.0.0.9", "life": 1})
    found = combined_status(
        statuses | {("10.0.0.8", 7301): other, ("10.0.0.9", 7301): "10.0.0.9:7301: refused"}
    )
    assert found["look"] == [
        "gone (depot, b) does not answer: 10.0.0.9:7301: refused",
        "counter-2 is at configuration 6, others are at 7",
        "counter-2 is not ready: it is shutting down",
        "depot-1 has not caught up: it waits for the settling time",
        "the rate limit of s1 is held by more than one: counter-1, counter-2",
        "s1: messages are waiting, and no gateway has a worker in use",
    ]
    assert (found["desks"]["s1"]["firsts"], found["desks"]["s1"]["workers"]) == (5, {"silent": 1})
    assert differences(CONF, CONF | {"gen": 8, "routing": [CONF["routing"][0] | {"limit_ms": 6}]}) == [
        "gen: 7 -> 8",
        "routing r1.limit_ms: 5 -> 6",
    ]


def test_each_role_answers_as_it_is_described(tmp_path: Path) -> None:
    described = yaml.safe_load((HERE / "openapi" / "operators.yaml").read_text())
    assert set(described["paths"]) == {
        "/status",
        "/message/{id}",
        "/dead",
        "/dead/{id}",
        "/conf",
        "/metrics",
        "/home",
    }
    schemas, store = described["components"]["schemas"], depot(tmp_path)
    for role, process, read_disk in (
        ("counter", made("counter"), None),
        ("depot", *store),
        ("office", made("office"), None),
    ):
        operators = OperatorServer(process, ("127.0.0.1", 0), read_disk)
        server = gevent.spawn(operators.accept)
        gevent.sleep(0)

        def call(path: str, operators: Any = operators) -> tuple[int, Any]:
            return gevent.get_hub().threadpool.apply(send_request, (operators.address, path))

        status, body = call("/status")
        own = schemas[f"{role.capitalize()}Status"]["allOf"][1]
        missing = {*schemas["Common"]["required"], *own["required"], *own["properties"]} - body.keys()
        assert (status, body["role"], body["conf"], missing) == (200, role, 7 * (role != "office"), set())
        available = {
            "/conf": role == "office",
            "/dead": role == "depot",
            "/message/e": role == "depot",
            "/home": True,
        }
        assert {path: call(path)[0] == 200 for path in available} == available
        assert [call(path)[0] for path in ("/nix", "/status?x=1", "/dead/%ff", "/message/zz")] == [
            404,
            400,
            400,
            404,
        ]
        metrics = answers(process, "/metrics")[1]
        assert f'opalwick_post_process{{node="{role}-1",role="{role}"' in metrics
        assert "process_resident_memory_bytes" in metrics and "opalwick_post_link_age_seconds" in metrics
        server.kill()
        operators.door.sock.close()
    with pytest.raises(commands.CommandError, match=r"127.0.0.1:\d+: "):
        send_request(operators.address, "/status")


def trace(process: str, number: int, at: float, **fields: Any) -> str:
    return f"{process} " + json.dumps(
        {"message": "m", **fields, "timestamp": at, "message_type": f"post:{number}"}
    )


def test_each_role_serves_its_metrics_where_the_deploy_file_says() -> None:
    """The platform reads the field, the process reads the option: both must have the same value."""
    for role in tomllib.loads(DEPLOY)["roles"].values():
        _, options = split_options(role["run"].split("opalwick.post ")[1].split())
        assert options.metrics == MetricsEndpoint.parse(role["metrics"])


@pytest.mark.parametrize(
    "words", ["--metrics", "--metrics 9464", "--metrics /metrics", "--metrics 0/x", "--tarce"]
)
def test_an_invalid_option_is_reported(words: str) -> None:
    with pytest.raises(ValueError, match=r"--metrics must be PORT/PATH|--tarce: unknown option"):
        split_options(["postmaster", *words.split()])


def test_repeats_are_listed_by_cause_from_the_logs_of_all_processes(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    first = {"attempt": 1, "delivery": 0}
    log = tmp_path / "all.log"
    lines = [
        "a line that is not an event",
        trace("c1", 151, 1.0, **first),
        trace("c1", 152, 1.1, **first, verdict="DONE"),
        trace("d1", 352, 1.2, to="c2/7", claim=1, why="unlisted"),
        trace("c2", 151, 1.3, **first),
        trace("c2", 152, 1.4, **first, verdict="DONE"),
    ]
    log.write_text("\n".join([*lines, lines[1][:40]]))
    assert run(["runs", str(log)]) == 1
    output = capsys.readouterr().out
    assert "1 after a success that was read\n" in output
    assert "m: c1 read DONE at 1.100, c2 sent it +0.200 s from then (assigned by d1 as unlisted)" in output
    log.write_text("\n".join(lines[:3]))
    assert run(["runs", str(log)]) == 0
    assert run(["runs", str(tmp_path / "none")]) == 2
    assert "none: No such file" in capsys.readouterr().err
    assert run(["runs"]) == 2
