"""The list of tests known to fail: its format, and how they are run."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from typing import Any

import pytest

_spec = importlib.util.spec_from_file_location("known_red", Path(__file__).parent.parent / ".ci/known_red.py")
assert _spec is not None and _spec.loader is not None
known_red: Any = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(known_red)

TESTS = "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"


def listed(root: Path, *lines: str) -> Path:
    (root / "test_some.py").write_text(TESTS)
    (root / known_red.LIST).write_text("# a comment\n\n" + "".join(line + "\n" for line in lines))
    return root


def test_the_projects_list_is_valid_and_its_tests_exist() -> None:
    for red in known_red.read(known_red.ROOT / known_red.LIST):
        assert (known_red.ROOT / red.test.split("::")[0]).exists()


def test_listed_tests_are_deselected_and_run_separately(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    root = listed(
        tmp_path, "test_some.py::test_fails | a fault | 7", "test_some.py::test_passes | mended | #8"
    )
    assert known_red.main(["check"], root) == 0 == known_red.main(["deselect"], root)
    output = capsys.readouterr().out
    assert output == "--deselect=test_some.py::test_fails --deselect=test_some.py::test_passes\n"
    assert known_red.main(["run"], root) == 0
    fails, passes = capsys.readouterr().out.splitlines()
    assert "test_fails: still fails (a fault; issue 7)" in fails
    assert "test_passes: passes by now: take its line out" in passes


def test_a_listed_test_that_does_not_exist_fails(tmp_path: Path) -> None:
    root = listed(tmp_path, "test_some.py::test_gone | a fault | 7")
    assert known_red.main(["run"], root) == known_red.FAILED


@pytest.mark.parametrize(
    "lines, why",
    [
        (["t.py::a | x"], ":3: must be TEST | CAUSE | ISSUE"),
        (["t.py::a | | 7"], ":3: must be TEST | CAUSE | ISSUE"),
        (["t.py | x | 7"], ":3: 't.py' is no test's id"),
        (["t.py::a | x | soon"], ":3: 'soon' is no issue's number"),
        ([f"t.py::{n} | x | 7" for n in "abcd"], "4 tests are listed, 3 may be"),
    ],
)
def test_invalid_lists_are_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], lines: list[str], why: str
) -> None:
    for call in ("check", "deselect", "run"):
        assert known_red.main([call], listed(tmp_path, *lines)) == known_red.FAULTY
        assert why in capsys.readouterr().err


def test_a_missing_list_is_empty(tmp_path: Path) -> None:
    assert known_red.read(tmp_path / known_red.LIST) == [] and known_red.main(["check", "run"], tmp_path) == 2
