"""A scheduler after a stall: data queued in its sockets is as old as when it arrived, not as when it is read.

The process is blocked as by a SIGSTOP or a long garbage collection, while the kernel goes on receiving.
"""

from __future__ import annotations

import socket as plain
import threading
import time

import gevent
import pytest
from helper import Client, ReducerHarness, StubServer, post
from lab_days import day, report
from test_discovery import entry, told
from test_scheduler import DONE, Served, first

from opalwick.interface import Outcome
from opalwick.lab import virtual
from opalwick.lab.baselines import maker
from opalwick.lab.fleet.day import parse
from opalwick.lab.fleet.faults import STARVED
from opalwick.lab.fleet.virtual import FleetStage, Member
from opalwick.lab.scheduler import START, Scheduler
from opalwick.lab.world.clients import ClientRequest, WorkItem
from opalwick.routing.reducer import Answer, Close, Final, Send
from opalwick.transport import connection
from opalwick.transport.connection import Connection
from opalwick.transport.stalls import StallDetector


def stall(seconds: float) -> None:
    """Blocks this whole process, stand-ins included; data already written still passes through the kernel."""
    gevent.sleep(0.06)  # at least one check of the pulse
    time.sleep(seconds)


def run_later(after: float, do) -> threading.Timer:
    """Runs `do` in a thread, on plain sockets, as another process would during the stall."""
    timer = threading.Timer(after, do)
    timer.start()
    return timer


@pytest.fixture(params=["kernel", "gap"])
def age_source(request, monkeypatch) -> str:
    """With the age of received bytes from the kernel, and with the length of the stall alone."""
    if request.param == "gap":
        monkeypatch.setattr(connection, "kernel_age", lambda sock: None)
    return request.param


@pytest.mark.parametrize("kept", [True, False], ids=["kept", "in the backlog"])
def test_a_request_that_expired_unread_is_not_sent(tmp_path, age_source, kept) -> None:
    served = Served(tmp_path, DONE, DONE)
    sock = gevent.socket.create_connection(served.scheduler.address, 2.0) if kept else None
    gevent.sleep(0.1)  # the connection is accepted, or not yet opened
    if sock is None:
        sock = gevent.socket.socket()
        sock.connect(served.scheduler.address)
    sock.sendall(post(X_Time_Left_Ms="480"))
    time.sleep(0.7)
    assert first(sock) == "HTTP/1.1 503 Service Unavailable | Retry-After: 2"
    assert served.worker.requests == []
    sock.sendall(post(X_Time_Left_Ms="480"))  # the next request is served
    assert first(sock) == "HTTP/1.1 200 OK | 7"
    served.stop()


def test_a_request_that_arrived_late_in_a_stall_is_served_if_the_kernel_reports_its_age(
    tmp_path, age_source
) -> None:
    served = Served(tmp_path, DONE)
    sock = plain.create_connection(served.scheduler.address)
    gevent.sleep(0.1)
    run_later(0.6, lambda: sock.sendall(post(X_Time_Left_Ms="480")))
    time.sleep(0.7)
    gevent.sleep(0.2)
    sock.settimeout(1.0)
    status = sock.recv(4096).split(b"\r\n")[0]
    # without the kernel's report the stall is the bound, and what may have expired must not be sent
    assert status == (b"HTTP/1.1 200 OK" if age_source == "kernel" else b"HTTP/1.1 503 Service Unavailable")
    sock.close()
    served.stop()


def test_pipelined_requests_count_from_the_beginning_of_the_stall() -> None:
    client = Client()
    gevent.sleep(0.02)
    client.sock.sendall(post("/look/1", X_Correlation_Id="c1") + post("/look/2", X_Correlation_Id="c2"))
    began = time.monotonic()
    time.sleep(0.5)
    gevent.sleep(0.05)
    ages = [round(began - call.message.first_at, 1) for call in client.calls]
    assert ages == [0.0, 0.0]  # the kernel reports no age for a socket pair, so both count from the beginning


def test_an_unread_answer_does_not_count_as_missing(tmp_path) -> None:
    """Guards against treating a worker as unresponsive whose answer arrived during a stall and is unread."""
    hold = plain.create_server(("127.0.0.1", 0))
    served = Served(
        tmp_path,
        known={
            "seq": 41,
            "whole": True,
            "hosts": [entry("a", dial="%s:%d" % hold.getsockname(), site="east")],
        },
    )
    sock = served.ask(post(X_Time_Left_Ms="5000"))
    worker = hold.accept()[0]
    worker.recv(4096)
    run_later(0.2, lambda: worker.sendall(DONE))
    stall(1.5)
    assert first(sock) == "HTTP/1.1 200 OK | 7"
    [w] = served.scheduler.reducer.balancer.all_workers
    assert (w.ejections, w.limit >= 4.0 * w.slots) == (0, True)
    worker.close()
    served.stop()


def test_an_unread_drain_is_read_before_anything_is_sent(tmp_path) -> None:
    lists = plain.create_server(("127.0.0.1", 0))
    worker = StubServer(DONE)

    def host(health: str) -> dict:
        return entry("a", dial="%s:%d" % worker.address, site="east", health=health)

    def serve() -> None:
        sock = lists.accept()[0]
        sock.recv(4096)
        sock.sendall(told(41, host("ready")))
        sock.recv(4096)
        time.sleep(0.4)
        sock.sendall(told(42, host("draining")))
        sock.recv(4096)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    served = Served(
        tmp_path,
        discovery="%s:%d" % lists.getsockname(),
        known={"seq": 41, "whole": True, "hosts": [host("ready")]},
    )
    sock = gevent.socket.create_connection(served.scheduler.address, 2.0)
    gevent.sleep(0.1)
    sock.sendall(post(X_Time_Left_Ms="3000"))
    time.sleep(0.8)
    gevent.sleep(0.1)
    assert worker.requests == []
    served.stop()


def test_nothing_is_decided_while_queued_input_is_read() -> None:
    desk = ReducerHarness()
    desk.take("one")
    [attempt] = desk.reducer.items["one"].attempts
    desk.now += 4.9  # long after the report of its start was due, and shortly before its expiry
    desk.reducer.apply(desk.now, "ended", "one", attempt.number, Outcome.FINISHED, False, (), "late")
    desk.put("woken")
    assert desk.lines[-1] == " 4.90  woken: finished one late"


def test_queued_bytes_are_read_after_a_timeout_but_not_without_limit() -> None:
    one, other = gevent.socket.socketpair()
    from helper import PlainSocket

    ours = Connection(PlainSocket(other), 64)
    one.sendall(b"x" * 4000)
    assert sum(len(ours.read(0.0)) for _ in range(16)) == 16 * 64
    with pytest.raises(TimeoutError):
        ours.read(0.0)
    with pytest.raises(TimeoutError):
        Connection(PlainSocket(one), 64).read(0.0)


def test_a_pulse_bounds_the_arrival_of_queued_input() -> None:
    pulse = StallDetector(10.0)
    assert pulse.tick(10.05) == 0.0 and not pulse.overdue(10.1) and pulse.earliest_arrival(10.06) == 10.05
    assert pulse.overdue(16.0) and pulse.stalled_between(10.1, 16.0) and not pulse.stalled_between(16.0, 16.0)
    assert round(pulse.tick(16.0), 2) == 5.95 and pulse.earliest_arrival(16.1) == 10.05
    assert (
        pulse.earliest_arrival(16.3) == 16.0
        and pulse.stalled_between(10.1, 16.3)
        and not pulse.stalled_between(16.0, 16.3)
    )


class AsRead(Scheduler):
    """Planted fault: a request's time counts from when it is read."""

    def came_at(self, arrived: float) -> float:
        return START + self.agenda.now


def test_the_virtual_clock_shows_the_fault_and_the_scheduler_is_without_it(monkeypatch) -> None:
    paused = day("scheduler_pause 2 4 0.5 1", fill=0.4)
    assert sum(report(paused)["rules"].values()) == 0
    monkeypatch.setattr(virtual, "Scheduler", AsRead)
    broken = report(paused)
    assert broken["rules"]["late_sends"] > 0
    assert {b["why"] for b in broken["breaches"]} == {"for a work item past its expiry"}


FLEET = """
title = "one hand-off"
length = "2 s"
members = 2
workers = 2
load = { rate = 0.001, most = 0 }
"""


def fleet() -> tuple[FleetStage, Member]:
    """Two members without load, and a request at the first one that is not in its reducer."""
    stage, want = FleetStage(parse(FLEET, "fleet.toml"), 3, maker("opalwick")), WorkItem()
    want.category, want.key, want.work, want.follows, want.bad = 0, None, 0.05, False, "once"
    member = stage.running[0]
    assert isinstance(member, Member)
    member.calls["x"] = ClientRequest("x", want, 0)
    return stage, member


def seen(stage: FleetStage) -> list[str]:
    """What the workers recorded."""
    stage.world.agenda.run(2.0)
    return [row[1] for row in stage.world.ledger.rows if row[1] in ("arrived", "dropped")]


def late(stage: FleetStage) -> None:
    """Starves the first member, so that new events wait in its queue."""
    stage.starve(0, 9.0)
    stage.running[0].free_at = stage.world.agenda.now + 0.1


@pytest.mark.parametrize("how", ["given up", "its time over", "answered, and nothing may be taken back"])
def test_nothing_is_sent_on_a_connection_that_is_established_too_late(how) -> None:
    """Found by `lab fleet pauses --seed 71209`: a starved member sent a request 0.28 s after its answer, as
    the cancellation was queued behind the new connection. The program closes the connection at once."""
    stage, member = fleet()
    late(stage)
    member.perform(Send("x", 0, "w0", None, 0.05 if how == "its time over" else 5.0))
    stage.world.agenda.run(0.02)
    if how != "its time over":
        member.perform(Answer("x", Final.DEFERRED))
    if how == "given up":
        member.perform(Close("x", 0))
    assert seen(stage) == [] and not member.out


def test_a_cancelled_attempt_is_closed_at_once() -> None:
    stage, member = fleet()
    member.perform(Send("x", 0, "w0", None, 5.0))
    stage.world.agenda.run(0.02)
    late(stage)
    member.perform(Close("x", 0))
    stage.world.agenda.run(0.03)
    assert [row[1] for row in stage.world.ledger.rows[-2:]] == ["began", "dropped"] and member.out
    assert seen(stage) == ["arrived", "dropped"] and not member.out


def test_a_starved_member_is_late_within_the_reported_bound_and_in_order() -> None:
    stage, member = fleet()
    agenda, done = stage.world.agenda, []
    stage.starve(0, 9.0)
    for number in range(100):
        member.event(lambda number=number: done.append((agenda.now, number)))
    stage.starve(0, 0.0)
    member.event(lambda: done.append((agenda.now, 100)))
    agenda.run(1.0)
    assert [number for _, number in done] == list(range(101))
    assert 0.17 < done[-1][0] <= STARVED * 9.0 + 1e-9


def test_a_request_unread_at_the_death_of_its_scheduler_is_cut() -> None:
    stage, member = fleet()
    clients = stage.world.clients
    attempt = clients.tries["y"] = ClientRequest("y", member.calls.pop("x").want, 0)
    want = attempt.want
    want.number, want.customer, want.subject, want.hint, want.worth = 1, -1, 0, 0.0, 1.0
    want.first_at, want.expiry_at, want.due_at = 0.0, 5.0, 1.0
    late(stage)
    stage._arrive(attempt, member)
    stage.kill(0)
    stage.world.agenda.run(1.0)
    assert ("y", "crash") in [row[2:] for row in stage.world.ledger.rows if row[1] == "gone"]


def test_a_starved_member_reads_queued_input_at_once_after_a_stop() -> None:
    """Guards against queueing waiting events anew at each of many stops: an item was answered 1.07 s past its
    expiry."""
    stage, member = fleet()
    agenda, done = stage.world.agenda, []
    late(stage)
    for at in (0.0, 0.05):
        agenda.at(at, member.event, lambda at=at: done.append((round(agenda.now, 3), at)))
    agenda.at(0.02, stage.pause, 0, True)
    agenda.at(0.12, stage.pause, 0, False)
    agenda.run(1.0)
    assert done == [(0.12, 0.0), (0.12, 0.05)]
