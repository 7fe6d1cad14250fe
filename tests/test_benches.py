"""The benches that need no operators' kit: what a page holds is what a run wrote, and what a plan covers."""

from __future__ import annotations

import importlib.util
import json
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

BENCH = Path(__file__).parent.parent / "bench"


def bench(name: str) -> Any:
    spec = importlib.util.spec_from_file_location(name, BENCH / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


# ---- capacity


def test_the_capacity_page_holds_what_the_run_wrote() -> None:
    capacity = bench("capacity")
    told = json.loads(capacity.FILE.read_text())
    page = capacity.PAGE.read_text()
    assert capacity.with_table(page, told) == page
    assert told["target"] == capacity.TARGET and set(told["roles"]) == {"edge", "store", "control"}
    # what is worked out follows from what was measured
    assert capacity.worked_out(told["measured"]) == told


def test_no_miss_is_rounded_away() -> None:
    capacity = bench("capacity")
    told = json.loads(capacity.FILE.read_text())
    factors = [miss["factor"] for miss in told["misses"]]
    assert factors == sorted(factors, reverse=True) and factors[0] > 1
    assert all(miss["what"] and miss["mechanism"] for miss in told["misses"])


def test_a_line_goes_through_the_two_largest_counts() -> None:
    rows = [{"n": 1, "y": 9.0}, {"n": 10, "y": 2.0}, {"n": 20, "y": 4.0}]
    assert bench("capacity").line(rows, "n", lambda row: row["y"], 100) == pytest.approx(20.0)


# ---- days of every kind and variant


def test_each_variant_comes_as_often_as_asked_for_and_two_at_a_time() -> None:
    hard = bench("hard_days")
    variants = hard.variants_of(list(hard.VARIANTS))
    days = hard.plan_days(variants, 2, 7, 34.0)
    assert Counter(name for day in days for name in day["played"]) == {one.name: 2 for one in variants}
    for day in days:
        starts = sorted(one["at"] for one in [*day["plan"], *day["faults"]])
        assert starts[0] > 0.0 and starts[-1] < 34.0
        assert len(starts) < 2 or starts[1] - starts[0] <= 1.01
    assert days == hard.plan_days(variants, 2, 7, 34.0) != hard.plan_days(variants, 2, 8, 34.0)


def test_a_kind_that_is_not_known_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    hard = bench("hard_days")
    with pytest.raises(SystemExit) as ended:
        hard.variants_of(["node_kill", "quake"])
    assert ended.value.code == 2 and "'quake'" in capsys.readouterr().err


def test_a_day_is_a_file_that_reads_back(tmp_path: Path) -> None:
    hard = bench("hard_days")
    site = {"day": [{"slot": "trouble", "one": 0.9, "zero": 0.5, "traffic": [{"zone": "a", "per_s": 1.5}]}]}
    day = hard.plan_days(hard.variants_of(["core_cut", "retire", "garble"]), 1, 3, 34.0)[1]
    path = hard.write_day(site, day, "hard-3-1", tmp_path)
    (found,) = tomllib.loads(path.read_text())["day"]
    assert found["plan"] == day["plan"] and found["faults"] == day["faults"]
    assert found["name"] == "hard-3-1" and found["traffic"] == site["day"][0]["traffic"]
    assert all(one["for_s"] > 0 for one in found["faults"] if one["kind"] == "core_cut")


def test_a_broken_rule_a_fault_and_a_day_that_was_not_played_all_count() -> None:
    hard = bench("hard_days")
    good = {"breaks": {}, "fault": None}
    assert not hard.failed(good)
    assert all(
        hard.failed(one) for one in (good | {"breaks": {"LOST": 1}}, good | {"fault": "x"}, {"void": "busy"})
    )
