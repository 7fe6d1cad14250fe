"""Membership: messages, small fleets, fault scenarios on the virtual clock, and real processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from helper import TRACES, ReducerHarness
from test_scheduler import Served
from typer.testing import CliRunner

from opalwick.commands import app
from opalwick.fleet.membership import Event, Members, MembershipConfig, Send, Wake
from opalwick.fleet.messages import MAX_UPDATES, Message, MessageType, State, Update, decode, encode
from opalwick.lab.fleet.day import FleetDay, parse
from opalwick.lab.fleet.judge import judge
from opalwick.lab.fleet.run import failures, reported
from opalwick.lab.fleet.sockets import play as play_sockets
from opalwick.lab.fleet.virtual import AgentOnly, play
from opalwick.program.configuration import BadConfiguration


class Net:
    """Members whose messages take 10 ms; their events are recorded in `lines`."""

    def __init__(self, count: int, make: type[Members] = Members) -> None:
        self.now, self.lines = 0.0, []
        self.members = {i: make(i, count, 1, 0.0, MembershipConfig(), i) for i in range(count)}
        self.in_flight: list[tuple[float, int, int, bytes]] = []
        self.lost = lambda one, other: False

    def run(self, until: float) -> None:
        while self.now < until:
            self.now = round(self.now + 0.01, 2)
            came = [message for message in self.in_flight if message[0] <= self.now]
            self.in_flight = [message for message in self.in_flight if message[0] > self.now]
            for _, one, to, payload in came:
                if to in self.members:
                    self.members[to].clock(self.now)
                    self.members[to].receive(one, payload)
            for i, member in list(self.members.items()):
                member.clock(self.now)
                for decision in member.decisions():
                    match decision:
                        case Send(to, payload) if not self.lost(i, to):
                            assert len(payload) <= 256
                            self.in_flight.append((self.now + 0.01, i, to, payload))
                        case Event(kind, who, life, why):
                            self.lines.append(f"{self.now:6.2f}  s{i}: s{who} {kind} in life {life}: {why}")
                        case Wake(at):
                            assert at >= self.now - 1e-9


def test_a_crash_a_return_and_a_leave_as_a_trace() -> None:
    net = Net(3)
    net.run(3.0)
    del net.members[2]
    net.run(7.0)
    net.members[2] = Members(2, 3, 2, net.now, MembershipConfig(), 9)
    net.run(9.0)
    net.members[0].leave()
    net.run(10.0)
    kept = [line for line in (TRACES / "members.txt").read_text().splitlines() if not line.startswith("#")]
    assert net.lines == kept


def test_messages_round_trip_and_fit() -> None:
    news = [Update(i, State.GONE, 2**32 - 1, 65535, 15.9375) for i in range(MAX_UPDATES)]
    for message in (
        Message(MessageType.PING, 299, 7, 1, 65535, 0, news),
        Message(MessageType.DIGEST, 1, 2, 3, digest=range(16)),
    ):
        payload = encode(message)
        assert len(payload) <= 256 and decode(payload) == message._replace(digest=tuple(message.digest))
        for at in range(len(payload)):  # one byte corrupted on the way
            assert decode(payload[:at] + bytes([payload[at] ^ 4]) + payload[at + 1 :]) is None
        assert all(decode(payload[:at]) is None for at in range(len(payload)))
    member = Members(0, 3, 1, 0.0, MembershipConfig(), 1)
    member.receive(1, b"\2nonsense")
    member.receive(2, encode(Message(MessageType.PING, 1, 1, 0)))  # from the address of another member
    assert member.counts["odd"] == 2 and not any(isinstance(d, Event) for d in member.decisions())


def test_a_scheduler_without_membership_ignores_the_messages() -> None:
    desk = ReducerHarness()
    desk.put("heard", 1, encode(Message(MessageType.PING, 1, 1, 0)), note="a membership message")
    assert desk.lines[-1].endswith("nothing")


def test_lives_and_incarnations_wrap_around() -> None:
    """Lives of 32 bits and incarnations of 16 bits wrap around; one near the end is still the older."""
    member = Members(0, 2, 1, 0.0, MembershipConfig(), 1)
    for life, incarnation in ((2**32 - 1, 65535), (2**32 - 1, 0), (3, 0)):
        member.receive(1, encode(Message(MessageType.UPDATES, 1, life, incarnation)))
        assert (member.peers[1].life, member.peers[1].incarnation) == (life, incarnation)
    member.receive(1, encode(Message(MessageType.UPDATES, 1, 2**32 - 1, 1)))
    assert member.peers[1].life == 3 and member.counts["old"] == 1


def test_a_process_with_an_old_clock_takes_the_next_life() -> None:
    net = Net(3)
    net.run(1.0)
    net.members[2] = Members(2, 3, 0, net.now, MembershipConfig(), 9)  # its clock was set back
    net.run(2.5)
    assert net.members[2].life == 2 and net.members[0].peers[2].life == 2


FAULTS = {
    "calm": "",
    "crash": 'kind = "lost", lasts = "10 s", of = ["s3"]',
    "killed and back at once": 'kind = "kill", lasts = "1 s", of = ["s3"], size = 0.1',
    "flaps": 'kind = "kill", lasts = "2 s", part = 0.2, size = 1.0',
    "two under one name": 'kind = "twin", lasts = "5 s", of = ["s2"]',
    "stop 0.2": 'kind = "stop", lasts = "200 ms", part = 0.4',
    "stop 1.9 of a third": 'kind = "stop", lasts = "1900 ms", part = 0.33',
    "stop 3 of all": 'kind = "stop", lasts = "3 s", part = 1.0',
    "stop 10": 'kind = "stop", lasts = "10 s", part = 0.3',
    "starved": 'kind = "starve", lasts = "10 s", part = 0.2, size = 9.0',
    "loss 30%": 'kind = "loss", lasts = "14 s", part = 1.0, size = 0.3',
    "bursts": 'kind = "bursts", lasts = "12 s", part = 0.5, size = 0.3',
    "doubled": 'kind = "doubled", lasts = "12 s", part = 1.0, size = 0.5',
    "reordered": 'kind = "reorder", lasts = "12 s", part = 1.0, size = 0.3',
    "late": 'kind = "late", lasts = "12 s", part = 1.0, size = 0.5',
    "changed": 'kind = "changed", lasts = "12 s", part = 1.0, size = 0.3',
    "large lost": 'kind = "large_lost", lasts = "12 s", part = 1.0, size = 100.0',
    "kinds lost": 'kind = "kind_lost", lasts = "12 s", part = 1.0',
    "one way": 'kind = "one_way", lasts = "10 s", of = ["s2"], to = ["s3"]',
    "deaf": 'kind = "deaf", lasts = "10 s", of = ["s2"]',
    "mute": 'kind = "mute", lasts = "10 s", of = ["s2"]',
    "ring": 'kind = "ring", lasts = "10 s"',
    "halves": 'kind = "sides", lasts = "8 s", size = 2.0',
    "thirds": 'kind = "sides", lasts = "8 s", size = 3.0',
    "one against all": 'kind = "alone", lasts = "8 s", of = ["s2"]',
    "flapping": 'kind = "flap", lasts = "12 s", size = 2.0',
    "all restarted": 'kind = "restart", lasts = "2 s", part = 1.0, size = 1.0',
    "seven in ten": 'kind = "lost", lasts = "8 s", part = 0.7',
    "rolling": 'kind = "rolling", lasts = "10 s", part = 1.0',
    "late start": 'kind = "late_start", lasts = "8 s", part = 0.3',
    "clocks": 'kind = "clock", lasts = "1 s", part = 0.5, size = 1.1',
}


def fleet(fault: str, members: int = 12, seconds: int = 26) -> FleetDay:
    text = f'title = "m"\nlength = "{seconds} s"\nmembers = {members}\nworkers = 2\nparts = ["members"]\n'
    text += "load = { rate = 0.001, most = 0 }\n"
    if fault:
        at = "0 s" if "late_start" in fault or "clock" in fault else "7 s"
        text += f'faults = [{{ at = "{at}", {fault} }}]\n'
    return parse(text, "m")


def seen(day: FleetDay, process: type = AgentOnly, seed: int = 5) -> dict:
    return judge({**play(day, seed, process=process), "rows": []})


@pytest.mark.parametrize("name", FAULTS)
def test_fault_scenarios_violate_no_property(name: str) -> None:
    report = seen(fleet(FAULTS[name]))
    assert report["broken"] == [] and report["longest"] <= 256
    assert report["bytes_s"] < 2500


def test_a_crash_is_detected_in_time_at_any_size() -> None:
    for members in (5, 60):
        report = seen(fleet(FAULTS["crash"], members, 30))
        assert report["broken"] == [] and report["detect_s"]["max"] <= MembershipConfig().detect
        assert report["bytes_s"] < 600


class Hasty(Members):
    """Fault: declares a death without confirmation, and disseminates it."""

    def _due_expire(self, whom) -> None:
        peer, suspicion = whom
        if peer.suspicion is suspicion and peer.present:
            self._mark_gone(peer, self.now, "so there")


class NeverRefutes(Members):
    """Fault: does not refute suspicions."""

    def _on_own_state(self, item) -> None: ...


class OneLife(Members):
    """Fault: mistakes a restarted process for the former one."""

    def receive(self, sender, payload) -> None:
        message = decode(payload)
        if message is not None:
            payload = encode(
                message._replace(life=1, updates=[item._replace(life=1) for item in message.updates])
            )
        super().receive(sender, payload)


class NeverCompares(Members):
    """Fault: compares no lists, and probes no members that are gone."""

    def _due_tick(self, whom) -> None:
        self.digest_at = self.now + 99.0
        self.ring = [peer for peer in self.ring if peer.present or peer.state is State.UNKNOWN]
        super()._due_tick(whom)


MUTANTS = {
    Hasty: ("deaf", "false"),
    NeverRefutes: ("stop 10", "agree"),
    OneLife: ("killed and back at once", "agree"),
    NeverCompares: ("halves", "agree"),
}


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_a_planted_fault_violates_its_property(mutant: type, monkeypatch) -> None:
    monkeypatch.setattr("opalwick.fleet.agent.Members", mutant)
    name, broken = MUTANTS[mutant]
    assert broken in {one["property"] for one in seen(fleet(FAULTS[name]))["broken"]}


def test_an_aggregator_that_is_gone_is_skipped_at_once() -> None:
    text = 'title = "m"\nlength = "20 s"\nmembers = 6\nworkers = 6\nparts = ["sums"PARTS]\n'
    text += '[[faults]]\nkind = "lost"\nat = "6 s"\nlasts = "10 s"\nof = ["s0"]\n'
    found = {}
    for parts in ("", ', "members"'):
        report, _ = reported(play(parse(text.replace("PARTS", parts), "m"), 3))
        assert failures(report) == 0
        found[parts] = report["fleet"]["today"]["sums"]["looks_without"]
    assert found[', "members"'] <= found[""]


def test_processes_with_membership_through_a_stop_a_kill_and_a_partition(tmp_path: Path) -> None:
    three = (
        'kind = "stop", lasts = "1500 ms", of = ["s1"] }, '
        '{ kind = "lost", at = "10 s", lasts = "5 s", of = ["s0"] }, '
        '{ kind = "sides", at = "20 s", lasts = "5 s", size = 2.0'
    )
    day = fleet(three, 5, 32)
    history = play_sockets(day, 3, tmp_path)
    report = judge({**history, "rows": []})
    assert history["exits"] == [] and report["broken"] == [], report
    assert 1.9 < report["detect_s"]["p50"] <= MembershipConfig().detect + 0.3


WRONG = {
    '{"members": 1}': "fleet.members is malformed",
    '{"members": true, "every": 3}': "fleet.every is unknown",
    '{"members": true, "every-us": 9000000}': "fleet.every-us: 9 s is not under fleet.suspect-us",
    '{"members": true, "answer-us": -3}': "fleet.answer-us is malformed",
}


@pytest.mark.parametrize("settings", WRONG)
def test_an_invalid_configuration_is_reported_by_its_key(settings: str, tmp_path) -> None:
    from test_scheduler import configuration

    with pytest.raises(BadConfiguration, match=WRONG[settings]):
        configuration(tmp_path, fleet=json.loads(settings))
    for changes, why in (
        ({"peers": []}, "needs peers"),
        ({"peer_listen": None}, "needs peer_listen"),
        ({"peers": ["127.0.0.1:1"], "settings.position": 1}, "peers has no address for position 1"),
    ):
        position = changes.pop("settings.position", None)
        if position is not None:
            from helper import SETTINGS

            changes["settings"] = SETTINGS | {"position": position}
        with pytest.raises(BadConfiguration, match=why):
            configuration(tmp_path, fleet={"members": True}, **changes)


def test_operators_see_the_members_and_nothing_is_imported_while_it_is_off(tmp_path) -> None:
    served = Served(tmp_path, fleet={"members": True}, operator="127.0.0.1:0")
    place = "%s:%d" % served.scheduler.operators.address
    import gevent

    done = gevent.get_hub().threadpool.spawn(CliRunner().invoke, app, ["fleet", "members", place])
    found = done.get()
    assert found.exit_code == 0 and "alone" in found.output and "no message received yet" in found.output
    assert b"svc.fleet_probes:" in served.scheduler.figures()
    served.stop()
    assert CliRunner().invoke(app, ["fleet", "members", "nowhere"]).exit_code == 2
    code = (
        "import sys; import opalwick.program.scheduler; "
        "print([m for m in sys.modules if m.startswith('opalwick.fleet')])"
    )
    env = os.environ | {"PYTHONPATH": str(Path(__file__).parents[1])}
    done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
