"""A scheduler that stood still and wakes late: what lay in its sockets is as old as it is.

The process is held up as it is by a stop or a long collection: nothing runs, the kernel goes on taking in.
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
from opalwick.lab.world.clients import Try, Want
from opalwick.routing.reducer import Answer, Close, Final, Send
from opalwick.transport import connection
from opalwick.transport.connection import Connection
from opalwick.transport.pulse import StallDetector


def stand_still(seconds: float) -> None:
    """Of this whole process, the stand-ins included; what was written before goes on through the kernel."""
    gevent.sleep(0.06)  # one beat at least
    time.sleep(seconds)


def elsewhere(after: float, do) -> threading.Timer:
    """Another process's doing meanwhile, on plain sockets."""
    timer = threading.Timer(after, do)
    timer.start()
    return timer


@pytest.fixture(params=["kernel", "gap"])
def word(request, monkeypatch) -> str:
    """With the kernel's word of how old the bytes are, and with the gap alone."""
    if request.param == "gap":
        monkeypatch.setattr(connection, "kernel_age", lambda sock: None)
    return request.param


@pytest.mark.parametrize("kept", [True, False], ids=["kept", "in the backlog"])
def test_a_request_that_outlived_its_time_unread_is_not_sent(tmp_path, word, kept) -> None:
    served = Served(tmp_path, DONE, DONE)
    sock = gevent.socket.create_connection(served.scheduler.place, 2.0) if kept else None
    gevent.sleep(0.1)  # it is waited for, or nobody is outside
    if sock is None:
        sock = gevent.socket.socket()
        sock.connect(served.scheduler.place)
    sock.sendall(post(X_Time_Left_Ms="480"))
    time.sleep(0.7)
    assert first(sock) == "HTTP/1.1 503 Service Unavailable | Retry-After: 2"
    assert served.worker.requests == []
    sock.sendall(post(X_Time_Left_Ms="480"))  # and the next one is served
    assert first(sock) == "HTTP/1.1 200 OK | 7"
    served.stop()


def test_what_came_at_the_end_of_the_standstill_is_served_on_the_kernels_word(tmp_path, word) -> None:
    served = Served(tmp_path, DONE)
    sock = plain.create_connection(served.scheduler.place)
    gevent.sleep(0.1)
    elsewhere(0.6, lambda: sock.sendall(post(X_Time_Left_Ms="480")))
    time.sleep(0.7)
    gevent.sleep(0.2)
    sock.settimeout(1.0)
    said = sock.recv(4096).split(b"\r\n")[0]
    # without it the gap is the bound, and nobody may be sent what may be over
    assert said == (b"HTTP/1.1 200 OK" if word == "kernel" else b"HTTP/1.1 503 Service Unavailable")
    sock.close()
    served.stop()


def test_pipelined_requests_count_from_the_beginning_but_for_the_last() -> None:
    client = Client()
    gevent.sleep(0.02)
    client.sock.sendall(post("/look/1", X_Correlation_Id="c1") + post("/look/2", X_Correlation_Id="c2"))
    began = time.monotonic()
    time.sleep(0.5)
    gevent.sleep(0.05)
    ages = [round(began - call.message.first_at, 1) for call in client.calls]
    assert ages == [0.0, 0.0]  # of a pair of plain sockets no kernel tells: both from the beginning


def test_an_answer_that_lies_unread_is_not_taken_for_silence(tmp_path) -> None:
    """The worker answers while the scheduler stands still, past all patience; the drain of the other worker
    lies beside it, and what comes at the same moment does not go there."""
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
    elsewhere(0.2, lambda: worker.sendall(DONE))
    stand_still(1.5)
    assert first(sock) == "HTTP/1.1 200 OK | 7"
    [w] = served.scheduler.reducer.balancer.all_workers
    assert (w.ejections, w.limit >= 4.0 * w.slots) == (0, True)
    worker.close()
    served.stop()


def test_a_drain_that_lies_unread_is_read_before_anything_is_sent(tmp_path) -> None:
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
    sock = gevent.socket.create_connection(served.scheduler.place, 2.0)
    gevent.sleep(0.1)
    sock.sendall(post(X_Time_Left_Ms="3000"))
    time.sleep(0.8)
    gevent.sleep(0.1)
    assert worker.requests == []
    served.stop()


def test_nothing_is_decided_while_it_takes_in_what_lay_there() -> None:
    desk = ReducerHarness()
    desk.take("one")
    [ho] = desk.reducer.items["one"].attempts
    desk.now += 4.9  # long past its note, and shortly before its expiry
    desk.reducer.apply(desk.now, "ended", "one", ho.number, Outcome.FINISHED, False, (), "late")
    desk.put("woken")
    assert desk.lines[-1] == " 4.90  woken: finished one late"


def test_what_lies_there_counts_before_the_time_that_is_over_but_not_for_ever() -> None:
    one, other = gevent.socket.socketpair()
    from helper import PlainSocket

    ours = Connection(PlainSocket(other), 64)
    one.sendall(b"x" * 4000)
    assert sum(len(ours.read(0.0)) for _ in range(16)) == 16 * 64
    with pytest.raises(TimeoutError):
        ours.read(0.0)
    with pytest.raises(TimeoutError):
        Connection(PlainSocket(one), 64).read(0.0)


def test_a_pulse_knows_since_when_something_may_have_lain_there() -> None:
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
    """The door as it was: a request's time counts from when it is read."""

    def came_at(self, arrived: float) -> float:
        return START + self.agenda.now


def test_the_virtual_clock_shows_the_fault_and_the_door_is_without_it(monkeypatch) -> None:
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
    """Two members without load, and a request at the first that its reducer knows nothing of."""
    stage, want = FleetStage(parse(FLEET, "fleet.toml"), 3, maker("opalwick")), Want()
    want.category, want.key, want.work, want.follows, want.bad = 0, None, 0.05, False, "once"
    member = stage.running[0]
    assert isinstance(member, Member)
    member.calls["x"] = Try("x", want, 0)
    return stage, member


def seen(stage: FleetStage) -> list[str]:
    """What workers saw."""
    stage.world.agenda.run(2.0)
    return [row[1] for row in stage.world.ledger.rows if row[1] in ("arrived", "dropped")]


def late(stage: FleetStage) -> None:
    """The first member is starved, and what reaches it now waits for its turn."""
    stage.starve(0, 9.0)
    stage.running[0].free_at = stage.world.agenda.now + 0.1


@pytest.mark.parametrize("how", ["given up", "its time over", "answered, and nothing may be taken back"])
def test_nothing_is_sent_on_a_connection_that_comes_up_too_late(how) -> None:
    """`lab fleet pauses --seed 71209`: a starved member sent 0.28 s after its answer. Its giving up waited
    for its turn behind the connection's coming up; in the program the connection is closed at once."""
    stage, member = fleet()
    late(stage)
    member.perform(Send("x", 0, "w0", None, 0.05 if how == "its time over" else 5.0))
    stage.world.agenda.run(0.02)
    if how != "its time over":
        member.perform(Answer("x", Final.DEFERRED))
    if how == "given up":
        member.perform(Close("x", 0))
    assert seen(stage) == [] and not member.out


def test_what_is_taken_back_is_closed_at_once() -> None:
    stage, member = fleet()
    member.perform(Send("x", 0, "w0", None, 5.0))
    stage.world.agenda.run(0.02)
    late(stage)
    member.perform(Close("x", 0))
    stage.world.agenda.run(0.03)
    assert [row[1] for row in stage.world.ledger.rows[-2:]] == ["began", "dropped"] and member.out
    assert seen(stage) == ["arrived", "dropped"] and not member.out


def test_a_starved_member_is_as_late_as_the_judge_is_told_and_in_order() -> None:
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


def test_a_request_that_lies_unread_as_its_scheduler_dies_is_cut() -> None:
    stage, member = fleet()
    clients = stage.world.clients
    attempt = clients.tries["y"] = Try("y", member.calls.pop("x").want, 0)
    want = attempt.want
    want.number, want.customer, want.subject, want.hint, want.worth = 1, -1, 0, 0.0, 1.0
    want.first_at, want.expiry_at, want.due_at = 0.0, 5.0, 1.0
    late(stage)
    stage._arrive(attempt, member)
    stage.kill(0)
    stage.world.agenda.run(1.0)
    assert ("y", "crash") in [row[2:] for row in stage.world.ledger.rows if row[1] == "gone"]


def test_a_starved_member_that_was_stopped_takes_in_at_once_what_lay_there() -> None:
    """Stopped again and again it queued anew each time what had waited: answered 1.07 s past its expiry."""
    stage, member = fleet()
    agenda, done = stage.world.agenda, []
    late(stage)
    for at in (0.0, 0.05):
        agenda.at(at, member.event, lambda at=at: done.append((round(agenda.now, 3), at)))
    agenda.at(0.02, stage.pause, 0, True)
    agenda.at(0.12, stage.pause, 0, False)
    agenda.run(1.0)
    assert done == [(0.12, 0.0), (0.12, 0.05)]
