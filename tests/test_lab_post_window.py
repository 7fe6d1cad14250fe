"""Maintenance windows on the virtual clock, with the post's own roles: the hard cases, and mutants."""

from __future__ import annotations

from typing import Any

import pytest

from opalwick.lab.post.day import PostDay, parse
from opalwick.lab.post.judge import judge
from opalwick.lab.post.run import history, play
from opalwick.lab.post.window import on_time_shares
from opalwick.lab.post.world import World
from opalwick.post.gateway.scheduling import Rounds
from opalwick.post.store.rebalancing import Rebalancing

DAY = """title = "small"
length = "{length} s"
rate = 6.0
asks = 0.05
{top}
[window]
{window}
[[services]]
name = "plain"
workers = 6
slots = {slots}
work = "60 ms"
[[services]]
name = "marked"
workers = 6
slots = 2
dedup = true
"""


def day(window: str = "", faults: str = "", length: int = 30, top: str = "", slots: int = 2) -> PostDay:
    return parse(DAY.format(window=window, length=length, top=top, slots=slots) + faults, "small.toml")


def fault(kind: str, at: float, lasts: float = 1.0, rest: str = "") -> str:
    return f'[[faults]]\nkind = "{kind}"\nat = "{at} s"\nlasts = "{lasts} s"\n{rest}\n'


def played(found: PostDay, seed: int = 3) -> tuple[World, dict[str, Any], dict[str, Any]]:
    world = play(found, seed)
    return world, judge(history(world)), world.crew.figures()


def sound(report: dict[str, Any], figures: dict[str, Any], phase: str = "done") -> None:
    assert not report["broken"] and not report["lost"], report["broken"][:2]
    assert not figures["cut_off"] and not figures["few_copies"] and not figures["needs_below_alone"]
    assert figures["phase"] == phase, (figures["refused"], figures["log"])


def whats(figures: dict[str, Any]) -> list[str]:
    return [entry["what"] for entry in figures["log"]]


def test_every_rack_goes_down_and_nobody_notices() -> None:
    world, report, figures = played(day())
    sound(report, figures)
    assert figures["needs_below"] == 0.0 and figures["share_max"] < 1.1
    assert figures["handed_over"] == {"a-1": 1, "b-1": 1, "c-1": 1}
    assert on_time_shares(world.ledger.rows, world.day)["in_aim"] > 0.97
    # the system's own depots too: each was emptied, and back
    assert all(m.starts == 2 for m in world.machines.values())


@pytest.mark.parametrize("at", (1.6, 4.5))
def test_the_conductor_is_killed_and_another_goes_on(at: float) -> None:
    """All three offices, one after the other: one of them conducts."""
    faults = "".join(fault("kill", at + 1.5 * i, rest=f'of = ["office-{i}"]\nsize = 0.4') for i in range(3))
    _, report, figures = played(day(faults=faults, length=38))
    sound(report, figures)


@pytest.mark.parametrize("kind", ("freeze", "alone"))
def test_a_conductor_that_wakes_late_or_was_cut_off_is_fenced(kind: str) -> None:
    faults = "".join(fault(kind, 2.0 + 5.0 * i, 3.0, f'of = ["office-{i}"]') for i in range(3))
    _world, report, figures = played(day(faults=faults, length=38))
    sound(report, figures)
    assert set(figures["handed_over"].values()) == {1}


def test_the_core_is_cut_in_two_in_mid_step() -> None:
    faults = fault("cut", 2.5, 4.0, 'of = ["a"]\nto = ["b", "c"]\npart = 1.0')
    _, report, figures = played(day(faults=faults, length=38))
    sound(report, figures)


def test_a_rack_that_does_not_come_back_is_gone_on_without() -> None:
    window = 'never = ["b-1"]\nlongest = "6 s"\norders = [{at = "26 s", what = "resume"}]'
    _, report, figures = played(day(window, length=34))
    assert not report["broken"] and not figures["cut_off"]
    # two of three depots and offices are what is needed: the third rack must stay
    assert figures["phase"] == "running" and "needed" in "".join(figures["why"])
    assert figures["needs_below"] == 0.0 and len(figures["handed_over"]) == 2


def test_the_peer_of_an_emptied_store_dies() -> None:
    """Two copies of each message stand throughout; the rack is called back."""
    faults = fault("power", 5.5, rest='of = ["depot-2"]\nsize = 2.0')
    _, report, figures = played(day(faults=faults, length=40))
    sound(report, figures)
    assert "recalled" in whats(figures)


def test_a_worker_crashes_in_the_last_live_rack() -> None:
    faults = fault("crash", 5.0, rest='of = ["plain"]\nsize = 3.0\npart = 0.34')
    _, report, figures = played(day("least = 4", faults, 45))
    sound(report, figures)


def test_traffic_rises_by_half_in_mid_window() -> None:
    _, report, figures = played(day(faults=fault("burst", 5.0, 15.0, "size = 1.5")))
    sound(report, figures)
    assert figures["needs_below"] == 0.0


def test_an_abort_with_a_rack_half_empty() -> None:
    window = 'orders = [{at = "2.1 s", what = "abort"}]'
    _, report, figures = played(day(window, length=12, top="delayed = 0.6"))
    sound(report, figures, "aborted")
    assert not figures["handed_over"] or "recalled" in whats(figures)


def test_times_of_day_100_ms_apart() -> None:
    faults = "".join(
        fault("step", 0.5, rest=f'of = ["{m}"]\nsize = {size}')
        for m, size in (("office-0", 0.05), ("office-1", -0.05), ("depot-0", 0.05))
    )
    _, report, figures = played(day(faults=faults))
    sound(report, figures)


def test_a_need_that_cannot_be_met_takes_nothing_down() -> None:
    _world, report, figures = played(day("least = 5", length=8))
    assert not report["broken"] and figures["phase"] == "never started" and not figures["handed_over"]
    assert figures["refused"][0][1].startswith("rack a-1 cannot go down even alone: workers of plain: 4 left")


def test_a_tenant_far_over_its_share_is_held_to_it() -> None:
    """Its route is refused with a time to come back; the others are served."""
    window = "shares = true\nshare = 0.2\npartners = {r-plain = 5.0, r-crowd = 1.0}"
    world, report, _figures = played(day(window, length=9, top="crowd = 90.0", slots=1))
    assert not report["broken"] and not report["lost"]
    own, crowd = (
        on_time_shares(world.ledger.rows, world.day),
        on_time_shares(world.ledger.rows, world.day, "crowd"),
    )
    assert own["in_time"] > 0.95 > 0.9 > crowd["in_time"]
    refused = sum(row[1] == "answer" and row[3] == 429 for row in world.ledger.rows)
    assert refused > 50


def test_without_a_window_no_word_of_it_is_said() -> None:
    world = play(parse('title = "x"\nlength = "3 s"\n', "x"), 1, words=True)
    assert world.words and all(b"net:" not in data for *_, data in world.words)
    office = world.machines["office-0"].proc.role
    assert not office.views.in_force or office.window.coordinator.state is None
    assert office.directory.conf is not None and not office.directory.conf.HasField("window")


# ---- mutants


def test_workers_that_do_not_rest_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Rounds, "rest", lambda self, rules: None)
    _, report, figures = played(day(length=12))
    assert figures["cut_off"] or report["broken"] or figures["phase"] != "done"


def test_a_depot_that_says_too_early_that_it_is_empty_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Rebalancing, "empty", property(lambda self: self.store.node in self.retiring))
    monkeypatch.setattr(Rebalancing, "tick", lambda self: None)
    world = play(day(length=6, top='delayed = 0.9\ndelay = "12 s"'), 3)
    assert world.crew.figures()["few_copies"] > 0


def test_lost_answers_do_not_hold_a_drain_for_ever() -> None:
    """A job that was given up is remembered by the decision module: nothing of it is out any more."""
    faults = fault("lost_answers", 0.0, 16.0, "size = 0.4\npart = 1.0")
    _, report, figures = played(day(faults=faults, length=30), 1)
    sound(report, figures)
