"""The judge: each mutant is caught, and nothing sound is blamed."""

from __future__ import annotations

import pytest
from lab_days import MUTANTS, day, report

from opalwick.lab.judge import judge


@pytest.mark.parametrize("name", MUTANTS)
def test_the_judge_catches_a_mutant(name: str) -> None:
    make, rule, faults = MUTANTS[name]
    found = report(day(*faults), make)
    assert found["rules"][rule] > 0, found["rules"]


def test_the_same_days_without_a_mutant_break_nothing() -> None:
    for faults in dict.fromkeys(faults for _, _, faults in MUTANTS.values()):
        found = report(day(*faults))
        assert sum(found["rules"].values()) == 0, (faults, found["breaches"])
        assert found["taken"] > 100


HEAD = {
    "title": "by hand",
    "seed": 1,
    "policy": "opalwick",
    "clock": "virtual",
    "length": 10.0,
    "ended": 9_000_000,
    "rules": {"grace": 0.25, "slack": 0.01, "held": 0.5, "cancel": True},
    "categories": [
        {"name": "look", "effect": "rerunnable", "group": "all", "window": 1.0, "tardy_credit": 0.0},
        {"name": "pay", "effect": "exclusive", "group": "all", "window": 1.0, "tardy_credit": 0.0},
    ],
    "workers": {"A": [0, 0], "B": [0, 0]},
    "faults": [],
}


def judged(*rows: tuple) -> dict:
    return judge(HEAD | {"rows": [list(row) for row in rows]})


def asked(at: int, id: str = "x", category: int = 0, scheduler: str = "s0") -> tuple:
    return at, "asked", id, id, scheduler, category, -1, at + 5_000_000, at + 500_000, 1.0, None, 100_000


def test_a_client_that_leaves_as_its_answer_comes() -> None:
    found = judged(
        asked(0),
        (1000, "arrived", 1, "x", "A"),
        (1100, "began", 1),
        (90_000, "done", 1, "r"),
        (91_000, "gone", "x", "left"),
        (91_000, "answered", "x", "finished", "r", 0.0),
    )
    assert sum(found["rules"].values()) == 0
    # nothing is owed to it, so it does not count for the figure either
    assert (found["figure"], found["finished"]) == (0.0, 1)


def test_a_scheduler_killed_in_mid_answer() -> None:
    found = judged(
        asked(0),
        (1000, "arrived", 1, "x", "A"),
        (1100, "began", 1),
        (90_000, "done", 1, "r"),
        (90_100, "down", "s0"),
        (90_200, "gone", "x", "crash"),
        (2_000_000, "up", "s0"),
    )
    assert sum(found["rules"].values()) == 0
    assert found["left"] == 1


def test_a_connection_that_the_scheduler_ends_is_a_loss() -> None:
    assert judged(asked(0), (5000, "gone", "x", "broken"))["rules"]["lost"] == 1


def test_a_worker_restarted_under_its_old_name() -> None:
    found = judged(
        (0, "told", "s0", "A", "draining"),
        (2_000_000, "told", "s0", "A", "ready"),
        asked(3_000_000),
        (3_001_000, "arrived", 1, "x", "A"),
        (3_002_000, "began", 1),
        (3_100_000, "done", 1, "r"),
        (3_101_000, "answered", "x", "finished", "r", 0.0),
    )
    assert sum(found["rules"].values()) == 0


@pytest.mark.parametrize("at, broken", [(200_000, 0), (255_000, 0), (300_000, 1)])
def test_the_grace_counts_from_the_telling(at: int, broken: int) -> None:
    found = judged(
        (0, "told", "s0", "A", "draining"),
        asked(at - 1000),
        (at, "arrived", 1, "x", "A"),
        (at + 100, "turned", 1),
        (at + 200, "answered", "x", "deferred", None, 0.0),
    )
    assert found["rules"]["late_sends"] == broken


def test_another_schedulers_knowledge_binds_nobody_else() -> None:
    found = judged(
        (0, "told", "s1", "A", "gone"),
        asked(900_000),
        (901_000, "arrived", 1, "x", "A"),
        (901_100, "turned", 1),
        (901_200, "answered", "x", "deferred", None, 0.0),
    )
    assert sum(found["rules"].values()) == 0


def test_an_exclusive_item_may_go_on_only_after_a_turn_away() -> None:
    sound = judged(
        asked(0, category=1),
        (1000, "arrived", 1, "x", "A"),
        (1100, "turned", 1),
        (3000, "arrived", 2, "x", "B"),
        (3100, "began", 2),
        (90_000, "done", 2, "r"),
        (91_000, "answered", "x", "finished", "r", 0.0),
    )
    assert sum(sound["rules"].values()) == 0
    for end in ("broke", "failed", "dropped"):
        found = judged(
            asked(0, category=1),
            (1000, "arrived", 1, "x", "A"),
            (1100, end, 1),
            (3000, "arrived", 2, "x", "B"),
            (3100, "turned", 2),
        )
        assert found["rules"]["doubled"] == 1, end


def test_waiting_for_a_list_is_no_holding_back() -> None:
    rows = asked(0), (1_200_000, "answered", "x", "deferred", None, 0.0)
    assert judged(*rows)["rules"]["answered_late"] == 1
    assert judged((0, "none", "s0", True), *rows)["rules"]["answered_late"] == 0


def test_odd_rows_are_counted_and_not_judged() -> None:
    found = judged((0, "nonsense", 1), (5, "answered", "nobody", "finished", None, 0.0), (6, "done", 99, "r"))
    assert found["stray"] == 2
    assert sum(found["rules"].values()) == 0


def test_an_emulator_that_was_late_blames_nobody_else() -> None:
    rows = asked(0), (5_300_000, "answered", "x", "written off", None, 0.0)
    assert judged(*rows)["rules"]["lost"] == 1
    assert judged(*rows, (5_310_000, "late", 0.4))["rules"]["lost"] == 0
    assert judged(*rows, (9_000_000, "late", 0.4))["rules"]["lost"] == 1


def test_a_scheduler_that_stood_still_could_not_know_that_its_client_had_left() -> None:
    """Found by a hunt: impatient clients, throttling workers, and a scheduler that is stopped for a while."""
    rows = asked(0), (500_000, "gone", "x", "left"), (800_000, "arrived", 1, "x", "A"), (801_000, "turned", 1)
    assert judged(*rows)["rules"]["late_sends"] == 1
    still = (400_000, "paused", "s0"), (790_000, "resumed", "s0")
    ordered = sorted([*rows, *still])
    assert judged(*ordered)["rules"]["late_sends"] == 0


def test_a_starved_scheduler_is_late_while_it_is_and_a_little_after_but_never_behind_its_answer() -> None:
    spans = (5_000_000, "starved", "s0", 0.4), (5_200_000, "starved", "s0", 0.0)

    def lost(at: int) -> int:
        rows = asked(0), (at, "answered", "x", "written off", None, 0.0)
        return judged(*sorted([*rows, *spans], key=lambda row: row[0]))["rules"]["lost"]

    # past the expiry by 0.3 s; what counts is whether it was starved then, and not at the day's end
    assert lost(5_300_000) == 0
    found = judged(
        asked(0), (5_300_000, "answered", "x", "written off", None, 0.0), (6_000_000, "starved", "s0", 0.4)
    )
    assert found["rules"]["lost"] == 1
    rows = asked(0), (5_100_000, "answered", "x", "finished", None, 0.0), (5_130_000, "arrived", 1, "x", "A")
    assert judged(*sorted([*rows, *spans], key=lambda row: row[0]))["rules"]["late_sends"] == 1
    rows = asked(0), (5_100_000, "gone", "x", "left"), (5_130_000, "arrived", 1, "x", "A")
    assert judged(*sorted([*rows, *spans], key=lambda row: row[0]))["rules"]["late_sends"] == 0
