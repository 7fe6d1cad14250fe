"""The lab of fleets: the judge catches each planted fault; sound fleets pass, and so does the program's."""

from __future__ import annotations

import multiprocessing
import signal
import subprocess
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import pytest
from fleet_members import PLANTED, SOUND
from typer.testing import CliRunner

from opalwick.commands import app
from opalwick.lab.day import BadDay, write
from opalwick.lab.fleet.agents import AgentProcess
from opalwick.lab.fleet.day import FleetDay, built_in, parse, read
from opalwick.lab.fleet.judge import judge
from opalwick.lab.fleet.kinds import KINDS
from opalwick.lab.fleet.run import drawn, failures, hunt, reported, shrink
from opalwick.lab.fleet.sockets import play as play_sockets
from opalwick.lab.fleet.virtual import play
from opalwick.lab.ledger import pack
from opalwick.lab.sockets.stage import NotReady
from opalwick.settings_file import Seconds

FLEET = """
title = "stand-ins"
length = "16 s"
members = 5
workers = 2
bounds = {{ vacant = "4 s" }}
load = {{ rate = 0.001, most = 0 }}
{faults}
"""
FAULTS = {
    "calm": "",
    "lost": '[[faults]]\nkind = "lost"\nat = "3 s"\nlasts = "6 s"\nof = ["s0"]',
    # past every lease, and more than once: the owner is the first that is there
    "stopped": '[[faults]]\nkind = "stop"\nat = "3 s"\nlasts = "3 s"\nof = ["s0"]\n'
    '[[faults]]\nkind = "stop"\nat = "7500 ms"\nlasts = "1800 ms"\nof = ["s0"]',
    "split": '[[faults]]\nkind = "alone"\nat = "3 s"\nlasts = "3500 ms"\nof = ["s0"]',
    "late": '[[faults]]\nkind = "late"\nat = "2 s"\nlasts = "8 s"\npart = 1.0\nsize = 0.6',
    "loss": '[[faults]]\nkind = "loss"\nat = "2 s"\nlasts = "8 s"\npart = 1.0\nsize = 0.2',
}


def fleet(name: str) -> FleetDay:
    return parse(FLEET.format(faults=FAULTS[name]), "fleet.toml")


def standing(made: type) -> type[AgentProcess]:
    return type(made.__name__, (AgentProcess,), {"agent": made})


def properties(history: dict) -> set[str]:
    return {one["property"] for one in judge({**history, "rows": history["ledger"].rows})["broken"]}


@pytest.mark.parametrize("name", FAULTS)
def test_sound_members_break_nothing(name: str) -> None:
    history = play(fleet(name), 3, process=standing(SOUND))
    assert properties(history) == set()
    report = judge({**history, "rows": []})
    assert report["owners"]["two"] == 0 and report["limits"]["over"] == 0.0 and report["false_dead"] == 0
    if name == "lost":
        assert 2.0 < report["detect_s"]["max"] < 4.0 and 0.5 < report["owners"]["none_s"] < 5.0


@pytest.mark.parametrize("made", PLANTED, ids=lambda made: made.__name__)
def test_each_planted_fault_is_caught_by_name(made: type) -> None:
    broken, day = PLANTED[made]
    assert broken in properties(play(fleet(day), 3, process=standing(made)))


ON_SOCKETS = ["TwoOwners", "AccusesAfterAPause", "LongWords", "NeverDetects"]


def on_sockets(name: str, day: str, folder: Path) -> tuple[str, str, set[str]]:
    """Of a fleet of five processes: the day, the member, and the properties that were broken."""
    program = [str(Path(__file__).parent / "fleet_members.py"), name]
    history = play_sockets(fleet(day), 3, folder, program)
    assert history["exits"] == []
    return day, name, properties(history)


def test_the_same_is_seen_of_processes(tmp_path: Path) -> None:
    """Six fleets of five processes side by side, with four kinds of fault, in the time that one takes."""
    days = {made.__name__: found for made, found in PLANTED.items()}
    runs = [(name, days[name][1], tmp_path / name) for name in ON_SOCKETS]
    runs += [("Sound", day, tmp_path / day) for day in ("stopped", "split", "lost")]
    with ProcessPoolExecutor(len(runs), multiprocessing.get_context("spawn")) as pool:
        found = list(pool.map(on_sockets, *zip(*runs)))
    for day, name, seen in found:
        assert days[name][0] in seen if name in days else seen == set(), (day, name, seen)


def test_a_member_that_ends_as_it_starts_is_named_with_its_code_and_its_log(tmp_path: Path) -> None:
    program = ["-c", "import sys; sys.exit('no such place')"]
    with pytest.raises(NotReady, match=r"^s0 ended by itself with 1; its log: no such place\n\ns1 ended"):
        play_sockets(fleet("stopped"), 3, tmp_path, program)


def test_one_seed_gives_one_history() -> None:
    day = drawn(read("mixed"), 1, 7)
    small = msgspec.structs.replace(day, members=4, workers=4)

    def octets() -> bytes:
        history = play(small, 5)
        return pack({key: value for key, value in history.items() if key != "ledger"}, history["ledger"])

    assert octets() == octets()


def test_built_in_days_break_no_rule_and_no_promise() -> None:
    days = {name: read(name) for name in built_in()}
    assert {
        "calm",
        "loss",
        "pauses",
        "one-way",
        "split",
        "flap",
        "restart-all",
        "seven-in-ten",
        "late-start",
        "mixed",
    } <= days.keys()
    for name in ("pauses", "late-start"):
        day = parse(write(days[name]).replace("workers = 18", "workers = 4"), name)
        report, _ = reported(play(day, 2))
        assert failures(report) == 0 and report["taken"] > 500, (name, report["breaches"], report["fleet"])


def test_a_broken_day_is_shrunk_to_the_fault_that_breaks_it(monkeypatch: pytest.MonkeyPatch) -> None:
    from opalwick.lab.fleet import run

    monkeypatch.setattr(run, "play", lambda day, seed: play(day, seed, process=standing(PLANTED_ONE)))
    day = parse(FLEET.format(faults="\n".join(FAULTS[name] for name in ("late", "split", "loss"))), "d")
    small = shrink(day, 3)
    assert [fault.kind for fault in small.faults] == ["alone"] and small.members < 5


PLANTED_ONE = next(made for made in PLANTED if made.__name__ == "NeverHeals")

WRONG = {
    'kind = "melt"': "d:12: faults[0].kind: 'melt' is none of",
    'kind = "cut"\nof = ["s1"]\nto = ["s1"]': "a way from a member to itself is none",
    'kind = "stop"\nof = ["s9"]': "'s9' is no member (s0 to s4) and no group",
    'kind = "stop"\nto = ["s1"]': "stop is about members, and not about ways to others",
    'kind = "stop"\npart = 2.0': "2 is not from 0 to 1",
    'kind = "stop"\nsizes = 2.0': "unknown field `sizes`",
}


@pytest.mark.parametrize("said", WRONG)
def test_a_faulty_day_is_told_by_key_and_line(said: str) -> None:
    text = FLEET.format(faults="") + f'\n[[faults]]\nat = "1 s"\n{said}\n'
    with pytest.raises(BadDay) as found:
        parse(text, "d")
    assert WRONG[said] in str(found.value) and str(found.value).startswith("d:")
    with pytest.raises(BadDay, match="'vote' is no part of the program"):
        parse(FLEET.format(faults='parts = ["vote"]'), "d")


def test_the_command_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def lab(*words: str) -> tuple[int, str]:
        found = CliRunner().invoke(app, ["lab", *words])
        return found.exit_code, found.output

    code, said = lab("fleet", "days")
    assert code == 0 and "seven-in-ten" in said
    file = tmp_path / "day.toml"
    file.write_text(FLEET.format(faults=FAULTS["lost"]).replace("rate = 0.001, most = 0", "rate = 5.0"))
    code, said = lab("fleet", str(file), "--out", str(tmp_path / "out"), "--members", "3", "--json")
    assert code == 0 and '"members": 3' in said and "no rule broken" in said
    assert "<svg" in (tmp_path / "out" / "fleet.html").read_text()
    code, said = lab("judge", str(tmp_path / "out"))
    assert code == 0 and "fleet of 3" in said
    code, said = lab("hunt", str(file), "--minutes", "1", "--days", "2", "--out", str(tmp_path / "found"))
    assert code == 0 and "2 days, 0 broken" in said
    assert lab("fleet", "melt")[0] == 2 and lab("fleet", "calm", "--clock", "sun")[0] == 2
    import resource

    most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (300, most[1]))
    try:
        code, said = lab("fleet", str(file), "--clock", "sockets", "--members", "40")
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, most)
    assert code == 2 and "members: 40 on sockets need about" in said


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGINT], ids=["killed", "Ctrl-C"])
def test_nothing_is_left_behind_by_a_lab_that_ends_early(how: signal.Signals, tmp_path: Path) -> None:
    file = tmp_path / "day.toml"
    file.write_text(FLEET.format(faults=FAULTS["calm"]).replace("members = 5", "members = 3"))
    words = ["lab", "fleet", str(file), "--clock", "sockets", "--out", str(tmp_path / "out")]
    lab = subprocess.Popen(
        [sys.executable, "-m", "opalwick", *words],
        cwd=Path(__file__).parents[1],
        # ignored where the tests run in a shell's background, and then by the lab, whose day lasts over 20 s
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )

    def children() -> list[int]:
        found = []
        for stat in Path("/proc").glob("[0-9]*/cmdline"):
            try:
                if str(tmp_path).encode() in (stat.parent / "environ").read_bytes():
                    found.append(int(stat.parent.name))
            except OSError:
                continue
        return found

    until = time.monotonic() + 20.0
    while len(children()) < 3 and time.monotonic() < until:
        time.sleep(0.1)
    assert len(children()) >= 3
    lab.send_signal(how)
    lab.wait(10.0)
    while children() and time.monotonic() < until + 5.0:
        time.sleep(0.05)
    assert children() == []


def test_fifty_drawn_days_break_nothing() -> None:
    small = parse(FLEET.format(faults="").replace("rate = 0.001, most = 0", "rate = 20.0"), "small")
    small = msgspec.structs.replace(small, length=Seconds(10.0), members=6)
    found = list(hunt(small, 1, 50))
    assert len(found) == 50 and [one for one in found if one["broken"]] == []


def test_every_kind_of_fault_is_played() -> None:
    lines = []
    for name, kind in KINDS.items():
        if "virtual" in kind.clocks:
            lines.append(f'[[faults]]\nkind = "{name}"\nat = "1 s"\nlasts = "2 s"\npart = 0.5')
    text = FLEET.format(faults="\n".join(lines)).replace("rate = 0.001, most = 0", "rate = 20.0")
    report, _ = reported(play(parse(text, "d"), 2))
    assert sum(report["rules"].values()) == 0 and report["taken"] > 50
