"""The soak's histories, and what counts of them. The processes themselves are played by .ci/run."""

from __future__ import annotations

import itertools
import json
from collections import Counter
from pathlib import Path

import pytest
from typer.testing import CliRunner

from opalwick.commands import app
from opalwick.lab.post import soak as soaks
from opalwick.lab.post.soak import FAULT_KINDS, PLANNED_WORK, SoakResult, ends, soak, soak_day, with_processes
from opalwick.lab.post.sockets.kinds import unsupported_faults

REPORT = {"messages": 9, "accepted": 8, "lost": 0, "doubled": 1, "void": "", "broken": []}
BREACH = {"rule": "TWICE", "at": 1.0, "message": "m", "why": "again"}
FAULT = {"rule": "FAULT", "at": 1.0, "message": "depot-0", "why": "an invariant does not hold"}


@pytest.mark.parametrize("seed", range(1, 41))
def test_troubles_overlap_and_restarts_come_in_calm(seed: int) -> None:
    day = soak_day(seed)
    assert unsupported_faults(day) == []
    troubles = [fault for fault in day.faults if fault.kind in FAULT_KINDS]
    restarts = [fault for fault in day.faults if fault.kind == "term"]
    series = [fault for fault in day.faults if fault.kind in PLANNED_WORK]
    assert len(troubles) + len(restarts) + len(series) == len(day.faults)
    assert len(troubles) in (2, 3) and [fault.of for fault in restarts] == [["depot"], ["counter"]]
    for one, other in itertools.pairwise(troubles):
        assert one.at <= other.at < one.at + one.lasts
    assert restarts[0].at > max(map(ends, troubles)) + day.bounds.contact
    # two kinds of planned work go on through the troubles, and two through the restarts
    among, late = series[:2], series[2:]
    assert len(late) == 2 and all(one.at == troubles[0].at and ends(one) < restarts[0].at for one in among)
    assert all(one.at == restarts[0].at and ends(one) > restarts[1].at for one in late)
    assert 0.0 < day.kept < 1.0 and day.strangers > 0.0
    assert soak_day(seed) == day and soak_day(seed, restarts=False).length < day.length


@pytest.mark.parametrize("processes", [12, 60, 200])
def test_a_history_with_many_processes(processes: int) -> None:
    day = soak_day(3, processes=processes)
    assert day.counters + day.depots + day.offices == processes and day.offices == 5
    assert day.depots >= 3 and day.counters >= 3 and day.faults[:2] == soak_day(3).faults[:2]
    assert with_processes(day, 0) is day
    for few in ("11", "201", "-1"):
        asked = ["lab", "soak", "--processes", few]
        assert CliRunner().invoke(app, asked).exit_code == 2


def test_a_void_history_counts_for_faults_alone() -> None:
    result = SoakResult(1)
    result.add(1, {**REPORT, "broken": [BREACH, FAULT]}, Counter(overlap=2))
    result.add(2, {**REPORT, "void": "busy", "broken": [BREACH, FAULT]}, Counter(overlap=1))
    assert [(one["seed"], one["rule"]) for one in result.broken] == [(1, "TWICE"), (1, "FAULT"), (2, "FAULT")]
    assert (result.seeds, result.void, result.accepted, result.repeats) == (2, 1, 8, {"overlap": 3})


@pytest.mark.parametrize(
    "report, code", [(REPORT, 0), ({**REPORT, "broken": [BREACH]}, 1), ({**REPORT, "void": "busy"}, 3)]
)
def test_its_command_and_exit_codes(
    report: dict, code: int, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(soaks, "run", lambda day, seed, clock, out: report)
    asked = ["lab", "soak", "--seeds", "2", "--json", "--out", str(tmp_path)]
    done = CliRunner().invoke(app, asked)
    assert done.exit_code == code, done.output
    told = json.loads(done.output.splitlines()[-1])
    assert told["seeds"] == 2 and told["repeats"] == {"read_success": 0, "overlap": 0, "unknown_end": 0}
    assert CliRunner().invoke(app, ["lab", "soak", "--seeds", "0"]).exit_code == 2


def test_no_history_begins_after_its_minutes(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    clock = iter([0.0, 0.0, 61.0, 62.0])
    monkeypatch.setattr(soaks.time, "monotonic", lambda: next(clock))
    monkeypatch.setattr(soaks, "run", lambda day, seed, clock, out: REPORT)
    assert soak(1, 5, 1.0, tmp_path).seeds == 1
