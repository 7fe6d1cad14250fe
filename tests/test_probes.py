"""Probes: how workers' responses are read, and that malformed ones do no harm."""

from __future__ import annotations

import subprocess
import sys

import gevent
import pytest
from gevent.event import Event
from helper import SETTINGS, START, Bench, ReducerHarness, StubServer, limits, logged, post, settings
from test_scheduler import DONE, Served, configuration, first

from opalwick.interface import ListForm, LoadMetric, Outcome, Phase, ReportSource
from opalwick.processor.exchange import Exchange
from opalwick.program.configuration import BadConfiguration
from opalwick.program.core import Core
from opalwick.protocol.probes import parse_report, probe
from opalwick.protocol.settings import InvalidSettings, reject_contradictions
from opalwick.routing.reducer import Probe
from opalwick.transport.pool import Pool

PROBING = {"report_source": ReportSource.PROBES, "may_probe": True, "price_probe": 0.006}
PULL = {
    "load-report": {"how": "pull", "names": ["x0", "active"]},
    "ceilings": SETTINGS["ceilings"] | {"may-probe": True},
    "prices": {"probe": 0.006},
}


def without_reports(workers: str, **changes) -> Bench:
    """Makes a bench in which no load of any worker has been reported."""
    bench = Bench(workers, **changes)
    for w in bench.workers.values():
        w.others_at = -1e9
    return bench


def answer(body: bytes, status: str = "200 OK", fields: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


@pytest.mark.parametrize(
    "piece, found, kept",
    [
        (answer(b"x0=3,active=1.5"), (3.0, 1.5), 1),
        (answer(b'{"x0":3,"active":1.5}'), (3.0, 1.5), 1),
        (answer(b"x0=0,active=9", "503 Service Unavailable"), (0.0, 9.0), 1),
        (answer(b"x0=3,active=1.5", fields="Connection: close\r\n"), (3.0, 1.5), 0),
        (answer(b"active=much"), (-1.0, -1.0), 1),
        (answer(b""), (), 1),
        (answer(b"nothing here", "404 Not Found"), (), 1),
        (b"HTTP/1.1 what", (), 0),
        (b"", (), 0),  # the worker closes
        (None, (), 0),  # no response
    ],
)
def test_responses_of_a_worker(piece: bytes | None, found: tuple, kept: int) -> None:
    stand, limit = StubServer(piece), limits(probe=0.1)
    pool = Pool(limit.workers, limit.idle_worker, limit.ring)
    assert probe(stand.address, pool, limit, ["x0", "active"]) == found
    assert stand.requests[0].startswith("GET /-/load HTTP/1.1\r\n")
    assert (pool.open, sum(map(len, pool.idle.values()))) == (kept, kept) or pool.open == 0 == kept


def test_a_worker_that_refuses_connections_yields_no_figures() -> None:
    stand = StubServer()
    stand.running.kill()
    stand.listener.close()
    limit = limits()
    pool = Pool(limit.workers, limit.idle_worker, limit.ring)
    assert probe(stand.address, pool, limit, ["x0"]) == () and pool.open == 0


def test_any_report_is_parsed_to_figures_or_nothing() -> None:
    bodies = [b"[]", b"7", b"null", b'"x0=1"', b"\xff=\xfe", b"{", b"x0", b"[" * 5000]
    assert [parse_report(body, ["x0"]) for body in bodies] == [()] * 4 + [(-1.0,), (), (), ()]


def test_a_selection_waits_for_probes_and_takes_a_worker_with_free_slots() -> None:
    """Without reports of the other schedulers' load, one in three first attempts found all slots occupied
    (scenario etkezde-bp)."""
    bench = without_reports("ABC", **PROBING)
    bench.balancer.clock(START)
    bench.take("x")
    bench.pull("taken")
    bench.balancer.probe_answered(bench.workers["A"], (0.0,))
    bench.pull("A is full")
    bench.balancer.probe_answered(bench.workers["B"], (0.0,))
    bench.balancer.probe_answered(bench.workers["C"], (4.0,))
    bench.pull("so is B, C is empty")
    bench.take("y")
    bench.pull("y, while all is fresh")
    bench.matches("probes")


def test_a_selection_goes_on_without_a_probe_and_a_late_one_changes_no_work_item() -> None:
    bench = without_reports("AB", **PROBING)
    bench.take("x")
    bench.pull("taken")
    bench.wait(0.2, "no answer came")
    sent = len(bench.items["x"].attempts)
    for w in bench.workers.values():
        bench.balancer.probe_answered(w, ())  # failed, and that is all
    bench.pull("both failed")
    bench.end("x", sent - 1)
    bench.list(ListForm.CHANGES, A=Phase.GONE)
    for figures in ((float("nan"),), (-3.0,), (float("inf"),), (1.0, 2.0, 3.0), ()):
        bench.balancer.probe_answered(bench.workers["A"], figures)
    bench.pull("odd answers, of one that is gone, nobody asked")
    bench.lines.append(f"others at A {bench.workers['A'].others:.1f}, doubt {bench.workers['A'].ejections}")
    bench.matches("probes_none")


def test_no_probe_is_sent_where_responses_have_reports_or_there_are_none() -> None:
    for changes in (
        {},
        {"may_probe": True},
        {"report_source": ReportSource.NONE, "may_probe": True, "load_metrics": ()},
        {"report_source": ReportSource.PROBES, "load_metrics": (LoadMetric.FREE_SLOTS,)},
    ):
        bench = without_reports("AB", **changes)
        bench.take("x")
        assert "probe" not in bench.word(bench.pull()[0])


def test_the_reducer_probes_by_name_and_ignores_unknown_workers() -> None:
    reducer = ReducerHarness("A", **PULL)
    reducer.take("a")
    reducer.put("probed", "Z", (1.0, 1.0))
    reducer.put("probed", "A", (3.0, 0.0, 7.0))
    reducer.matches("reducer_probes")


def test_a_scheduler_probes_over_sockets(tmp_path) -> None:
    served = Served(tmp_path, answer(b"x0=4,active=0"), DONE, settings=SETTINGS | PULL)
    sock = served.ask(post())
    gevent.sleep(0.1)
    assert first(sock) == "HTTP/1.1 200 OK | 7"
    assert [text.split(" ")[1] for text in served.worker.requests] == ["/-/load", "/look/7"]
    assert served.worker.connections == 1  # reused from the probe for the attempt
    served.stop()


@pytest.mark.parametrize(
    "changes, text",
    [
        (
            {"load-report": {"how": "silent", "names": ["x0"]}},
            "load-report.names holds 'x0', but load-report.how is 'silent'",
        ),
        (
            {"load-report": {"how": "pull", "names": ["x0"]}},
            "ceilings.may-probe is not true, but load-report.how is 'pull': nothing would be reported",
        ),
        (
            PULL | {"load-report": {"how": "pull", "names": []}},
            "load-report.names is empty, but load-report.how is 'pull': probes would report nothing",
        ),
        ({"load-report": {"names": ["x0", "active", "x0"]}}, "load-report.names holds 'x0' twice"),
    ],
)
def test_contradictory_settings_are_rejected(changes: dict, text: str) -> None:
    with pytest.raises(InvalidSettings) as found:
        reject_contradictions(settings(**changes))
    assert str(found.value) == text
    reject_contradictions(settings(**PULL))
    reject_contradictions(settings(**{"load-report": {"how": "silent"}}))


CONTRADICTORY = SETTINGS | {"load-report": {"how": "pull", "names": ["x0"]}}
MESSAGE = "settings: ceilings.may-probe is not true, but load-report.how is 'pull': nothing would be reported"


def test_every_command_rejects_contradictory_settings_in_one_line(tmp_path) -> None:
    with pytest.raises(BadConfiguration) as found:
        configuration(tmp_path, settings=CONTRADICTORY)
    assert str(found.value) == MESSAGE
    (tmp_path / "processor.toml").write_text('scheduler = "configuration.json"\nlisten = "127.0.0.1:9201"\n')
    for command, named in (
        ("check", "configuration.json"),
        ("serve", "configuration.json"),
        ("check", "processor.toml"),
        ("processor", "processor.toml"),
    ):
        done = subprocess.run(
            [sys.executable, "-m", "opalwick", command, str(tmp_path / named)],
            capture_output=True,
            text=True,
            timeout=20,
        )
        assert done.returncode == 2, (command, named)
        assert MESSAGE in done.stderr and done.stderr.count("\n") == 1, done.stderr
        assert done.stdout == ""


def test_contradictory_settings_on_sighup_change_nothing(tmp_path) -> None:
    served = Served(tmp_path, DONE)
    served.found = lambda: configuration(tmp_path, settings=CONTRADICTORY, discovery="127.0.0.1:9")
    with logged("reload_configuration") as lines:
        served.again.set()
        gevent.sleep(0.05)
    assert lines == [f"the configuration was read again and is not used: {MESSAGE}"]
    assert first(served.ask(post())) == "HTTP/1.1 200 OK | 7"
    served.stop()


def test_a_fast_worker_is_selected_more_often_where_probes_show_when_it_fills() -> None:
    """Items far heavier than hinted were late at slow workers while fast ones were idle (scenario etkezde-bp,
    variant quiet)."""
    for changes in ({}, PROBING):
        bench = Bench("AB", **changes)
        bench.workers["A"].listed_pace, bench.workers["B"].listed_pace = 0.8, 1.2
        sent = {"A": 0, "B": 0}
        for _ in range(200):
            for w in bench.workers.values():
                w.others_at = w.as_of = bench.now  # reported just now, so that no probe is sent
                bench.balancer.set_others(w, 0.0)
            bench.take("x", work=0.05)
            list(bench.balancer.decisions())
            attempt = bench.items["x"].attempts[0]
            sent[chr(attempt.worker.id)] += 1
            bench.balancer.close(bench.items["x"])
            bench.end("x", 0, Outcome.CANCELLED)
            bench.now += 0.2
            bench.balancer.clock(bench.now)
            list(bench.balancer.decisions())
        bench.lines.append(
            f"probing {bench.balancer.probing}: {sent['A']} to the fast one, {sent['B']} to the slow"
        )
        bench.matches(f"fast_{bench.balancer.probing}")


def test_the_core_sends_probes_also_for_the_processor(tmp_path) -> None:
    stand = StubServer(answer(b"x0=1,active=3"))
    found = configuration(tmp_path, stand, settings=SETTINGS | PULL)
    core = Core(found, Event(), Event(), lambda: found)
    core.put("listed", ListForm.CACHED, core.known)
    assert Exchange.perform(object.__new__(Exchange), Probe("a", stand.address)) is False
    core.perform(Probe("a", stand.address))
    gevent.sleep(0.1)
    assert core.reducer.workers["a"].others == 3.0
