"""Plays a fleet's scenario and checks its history: by the four rules, and by the fleet's invariants."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

import msgspec

from opalwick.settings_file import Seconds
from opalwick.lab.day import write
from opalwick.lab.experiment import judged, keep, write_whole
from opalwick.lab.fleet.day import Fault, FleetDay, parse
from opalwick.lab.fleet.judge import judge
from opalwick.lab.fleet.kinds import KINDS, WORKERS
from opalwick.lab.fleet.today import measures
from opalwick.lab.fleet.virtual import play
from opalwick.lab.hunt import Shrinking
from opalwick.lab.judge import broken


def reported(history: dict[str, Any]) -> tuple[dict[str, Any], dict[str, Any]]:
    """The report, with its "fleet" section, and the time series of work items."""
    report, drawn = judged(history)
    rows = {**history, "rows": history["ledger"].rows}
    report["fleet"] = of_fleet(rows)
    return report, drawn


def of_fleet(rows: dict[str, Any]) -> dict[str, Any]:
    """The report's "fleet" section for a history with its rows."""
    return {**judge(rows), "today": measures(rows)}


def run(
    day: FleetDay,
    seed: int,
    clock: str = "virtual",
    out: Path | None = None,
    told: Callable[[float], None] = lambda _: None,
) -> dict[str, Any]:
    """Plays a scenario and returns its report.

    `out`: directory for history, scenario, report and HTML page; `told`: called with the elapsed seconds.
    """
    if clock == "virtual":
        history = play(day, seed, told=told)
    else:
        from opalwick.lab.fleet.sockets import play as play_sockets

        history = play_sockets(day, seed, None if out is None else out / "logs", told=told)
    report, drawn = reported(history)
    if out is not None:
        from opalwick.lab.fleet.report import page

        keep(out, history, day, report, drawn)
        write_whole(out / "fleet.html", page(history, report).encode())
    return report


def failures(report: dict[str, Any]) -> int:
    """Number of violations of rules and invariants."""
    return broken(report) + report["fleet"]["broken_count"]


# ---- random scenarios


def drawn(day: FleetDay, seed: int, number: int) -> FleetDay:
    """The scenario with one to four random faults instead of its own: the same for the same numbers."""
    draw = random.Random(f"{seed}/{number}")
    names = sorted(name for name, kind in KINDS.items() if "virtual" in kind.clocks)
    faults = []
    for _ in range(draw.choice((1, 2, 2, 3, 3, 4))):
        name = draw.choice(names)
        least, most = KINDS[name].sizes
        at = 0.0 if name in ("late_start", "clock") else draw.uniform(0.1, 0.6) * day.length
        part = draw.choice((0.05, 0.1, 0.2, 0.3)) if name in WORKERS else draw.choice((0.1, 0.25, 0.5, 1.0))
        faults.append(
            Fault(
                name,
                Seconds(round(at, 1)),
                Seconds(round(draw.uniform(0.1, 0.4) * day.length, 1)),
                part,
                round(draw.uniform(least, most), 3),
            )
        )
    return msgspec.structs.replace(
        day, title=f"{day.title}: drawn {seed}/{number}", faults=sorted(faults, key=lambda f: f.at)
    )


def trial(text: str, seed: int, number: int) -> dict[str, Any]:
    """Plays one random scenario; an exception of the program counts as a failure."""
    day = drawn(parse(text, "day"), seed, number)
    found = {"number": number, "faults": [f.kind for f in day.faults], "day": write(day)}
    try:
        report, _ = reported(play(day, number))
    except Exception as error:  # noqa: BLE001 - any exception of the program is a finding
        return {**found, "problem": repr(error), "broken": 1, "figure": 0.0, "why": [repr(error)]}
    why = [b["why"] for b in report["breaches"][:3]] + [b["why"] for b in report["fleet"]["broken"][:3]]
    return {**found, "broken": failures(report), "figure": report["figure"], "why": why}


def hunt(day: FleetDay, seed: int, days: int, jobs: int = 0) -> Iterator[dict[str, Any]]:
    """Plays `days` random scenarios in `jobs` processes; yields each result as it is ready."""
    text = write(day)
    with ProcessPoolExecutor(jobs or None) as pool:
        for future in as_completed([pool.submit(trial, text, seed, number) for number in range(1, days + 1)]):
            yield future.result()


def shrink(day: FleetDay, seed: int, told: Callable[[str], None] = lambda _: None) -> FleetDay:
    """Reduces a scenario that fails: first its faults, then members, workers and load.

    Raises:
        ValueError: where the scenario does not fail as it is.
    """

    def fails(candidate: FleetDay) -> bool:
        try:
            parse(write(candidate), "day")  # a fault may name a member that has been removed
            return failures(reported(play(candidate, seed))[0]) > 0
        except Exception:  # noqa: BLE001 - as in `trial`; an invalid scenario does not count as failing
            return False

    shrinking, replace = Shrinking(day, fails, told), msgspec.structs.replace
    index = 0
    while index < len(shrinking.day.faults):
        rest = shrinking.day.faults[:index] + shrinking.day.faults[index + 1 :]
        index += not shrinking.attempt(replace(shrinking.day, faults=rest), f"{len(rest)} faults")
    rated = replace(
        shrinking.day, load=replace(shrinking.day.load, rate=round(shrinking.day.day().rate(), 3))
    )
    if fails(rated):
        shrinking.day = rated
    while shrinking.day.members > len(shrinking.day.groups) and shrinking.attempt(
        replace(shrinking.day, members=max(len(shrinking.day.groups), shrinking.day.members // 2)),
        f"{shrinking.day.members // 2} members",
    ):
        pass
    while shrinking.day.workers > 1 and shrinking.attempt(
        replace(shrinking.day, workers=shrinking.day.workers // 2), f"{shrinking.day.workers // 2} workers"
    ):
        pass
    while shrinking.day.load.rate > 0.5 and shrinking.attempt(
        replace(shrinking.day, load=replace(shrinking.day.load, rate=shrinking.day.load.rate / 2)),
        f"{shrinking.day.load.rate / 2:.1f} items a second",
    ):
        pass
    return shrinking.day
