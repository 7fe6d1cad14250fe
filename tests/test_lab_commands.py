"""The lab's command line: results, exit codes, and what it says of faulty input."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from lab_days import FLEET
from typer.testing import CliRunner

from opalwick.commands import app
from opalwick.lab.experiment import interval, read_sweep, sweep
from opalwick.lab.ledger import unpack

SHORT = FLEET.replace('"8 s"', '"2 s"')


def lab(*words: object) -> tuple[int, str]:
    found = CliRunner().invoke(app, ["lab", *map(str, words)])
    assert found.exception is None or isinstance(found.exception, SystemExit), found.exception
    return found.exit_code, found.output


@pytest.fixture
def short(tmp_path: Path) -> Path:
    (tmp_path / "short.toml").write_text(SHORT)
    return tmp_path / "short.toml"


def test_a_run_is_kept_judged_again_and_reported(short: Path, tmp_path: Path) -> None:
    code, said = lab("run", short, "--seed", 4, "--out", tmp_path / "out", "--json")
    assert code == 0
    found = json.loads(said.splitlines()[-1])
    assert {
        "taken",
        "finished",
        "deferred",
        "written_off",
        "left",
        "rules",
        "figure",
        "in_time",
        "latency_ms",
        "categories",
        "seed",
    } <= found.keys()
    assert found["taken"] == found["finished"] + found["deferred"] + found["written_off"] + found["left"] > 0
    code, again = lab("judge", tmp_path / "out" / "history.zst", "--json")
    assert code == 0 and json.loads(again.splitlines()[-1]) == found
    code, said = lab("report", tmp_path / "out")
    page = (tmp_path / "out" / "report.html").read_text()
    assert code == 0 and page.count("<svg") == 3 and "<script" not in page and "src=" not in page


def test_a_broken_rule_ends_with_one(short: Path, tmp_path: Path) -> None:
    lab("run", short, "--out", tmp_path / "out")
    history = unpack((tmp_path / "out" / "history.zst").read_bytes(), "x")
    from opalwick.lab.ledger import Ledger, pack

    ledger = Ledger()
    ledger.rows = [tuple(row) for row in history.pop("rows") if row[1] != "answered"]
    (tmp_path / "cut.zst").write_bytes(pack(history, ledger))
    code, said = lab("judge", tmp_path / "cut.zst")
    assert code == 1 and "broken: lost" in said


@pytest.mark.parametrize(
    "words, told",
    [
        (("run", "nowhere"), "nowhere: neither a built-in day"),
        (("run", "calm", "--policy", "best"), "--policy: 'best' is none of"),
        (("run", "calm", "--clock", "wall"), "--clock: 'wall' is neither"),
        (("run", "large", "--clock", "sockets"), "sockets on one machine bear 16"),
        (("run", "calm", "--clock", "sockets", "--policy", "random"), "virtual clock only"),
        (("judge", "/dev/null"), "/dev/null: not a history"),
        (("judge", "nowhere"), "nowhere: cannot be read"),
        (("report", "nowhere"), "holds no results"),
        (("compare", "nowhere", "nowhere"), "holds no results"),
        (("sweep", "nowhere", "--out", "x"), "nowhere: cannot be read"),
        (("hunt", "calm", "--minutes", "0"), "--minutes"),
        (("shrink", "demo", "--seed", "1", "--below", "0.1"), "does not fail as it is"),
        (("configuration", "calm", "--scheduler", "9"), "schedulers 0 to 2"),
        (("configuration", "calm", "--port", "80"), "no ports that may be used"),
    ],
)
def test_faulty_input_is_named_and_ends_with_two(words: tuple, told: str) -> None:
    code, said = lab(*words)
    assert code == 2 and told in said, said


@pytest.mark.parametrize(
    "text, told",
    [
        ("days = 3\n", "sweep.toml:1: days: Expected `array`"),
        ('days = ["calm"]\npolicy = "x"\n', "sweep.toml:2: policy: Object contains unknown field"),
        ('days = ["calm"]\npolicies = ["x"]\n', "sweep.toml:2: policies: 'x' is none of"),
        (
            'days = ["calm"]\n[vary]\n"load.fil" = [1]\n',
            "sweep.toml:3: vary.load.fil: a day has no 'fil' there",
        ),
        (
            'days = ["calm"]\n[vary]\n"rules.grace" = [250]\n',
            "sweep.toml:3: vary (rules.grace): 250 is no time",
        ),
        ('days = ["calm"]\n[vary]\n"load.fill" = [-1.0]\n', "vary (load.fill)"),
        ('days = ["none"]\n', "none: neither a built-in day"),
        ("days = [\n", "not TOML"),
    ],
)
def test_a_faulty_sweep_is_told_by_file_line_and_key(text: str, told: str, tmp_path: Path) -> None:
    (tmp_path / "sweep.toml").write_text(text)
    code, said = lab("sweep", tmp_path / "sweep.toml", "--out", tmp_path / "out")
    assert code == 2 and told in said, said
    assert not (tmp_path / "out").exists()


def test_a_sweep_goes_on_where_it_was_ended(short: Path, tmp_path: Path) -> None:
    (tmp_path / "sweep.toml").write_text(
        'days = ["short.toml"]\npolicies = ["opalwick", "random"]\nseeds = 2\n'
        '[vary]\n"load.fill" = [0.3, 0.6]\n'
    )
    tasks = read_sweep(str(tmp_path / "sweep.toml"))
    out = tmp_path / "out"
    steps = sweep(tasks, out, 1)
    for done, _ in steps:
        if done == 3:
            steps.close()  # killed here
            break
    before = {path.name: path.stat().st_mtime_ns for path in (out / "runs").iterdir()}
    assert 3 <= len(before) <= 8
    assert list(sweep(tasks, out, 2))[-1] == (8, 8)
    after = {path.name: path.stat().st_mtime_ns for path in (out / "runs").iterdir()}
    assert len(after) == 8 and before.items() <= after.items()
    code, said = lab("compare", out, out)
    assert code == 0 and said.count("no difference shown") == 4
    code, said = lab("report", out)
    assert code == 0 and (out / "report.html").read_text().count("<h2>") == 2


def test_an_interval_holds_the_mean() -> None:
    mean, low, high = interval([0.1, 0.2, 0.3, 0.4])
    assert mean == pytest.approx(0.25) and low < mean < high
    assert interval([0.5]) == (0.5, 0.5, 0.5)


def test_a_configuration_is_one_that_serve_reads(tmp_path: Path) -> None:
    code, said = lab("configuration", "mixed", "--scheduler", 1)
    (tmp_path / "config.json").write_text(said)
    found = CliRunner().invoke(app, ["check", str(tmp_path / "config.json")])
    assert (
        code == 0 and found.exit_code == 0 and "s1: listens on 127.0.0.1:21001, 3 categories" in found.output
    )


def test_a_missing_extra_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(__import__("sys").modules, "zstandard", None)
    code, said = lab("days")
    assert code == 2 and "opalwick[lab]" in said


def test_serve_as_deployed_imports_nothing_of_the_lab() -> None:
    import subprocess
    import sys

    told = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys; import opalwick.program.service; "
            "print([m for m in sys.modules if 'lab' in m.split('.') or m in ('msgspec', 'numpy', 'typer')])",
        ],
        env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[1])},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    assert told == "[]"
