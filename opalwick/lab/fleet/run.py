"""One fleet's day, played and judged twice: by the four rules, and by what the fleet promises."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

import msgspec

from opalwick.checked import Seconds
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
    """The report, with its "fleet", and the series of work items."""
    report, drawn = judged(history)
    rows = {**history, "rows": history["ledger"].rows}
    report["fleet"] = of_fleet(rows)
    return report, drawn


def of_fleet(rows: dict[str, Any]) -> dict[str, Any]:
    """The report's "fleet" of a history with its rows."""
    return {**judge(rows), "today": measures(rows)}


def run(
    day: FleetDay,
    seed: int,
    clock: str = "virtual",
    out: Path | None = None,
    told: Callable[[float], None] = lambda _: None,
) -> dict[str, Any]:
    """Plays and judges; with `out` the history, the day, the report and an HTML page are kept there."""
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
    return broken(report) + report["fleet"]["broken_count"]


# ---- drawn days


def drawn(day: FleetDay, seed: int, number: int) -> FleetDay:
    """The day with one to four faults among its members: the same for the same numbers."""
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
    day = drawn(parse(text, "day"), seed, number)
    found = {"number": number, "faults": [f.kind for f in day.faults], "day": write(day)}
    try:
        report, _ = reported(play(day, number))
    except Exception as problem:  # noqa: BLE001 - whatever the program raises is what is looked for
        return {**found, "problem": repr(problem), "broken": 1, "figure": 0.0, "why": [repr(problem)]}
    why = [b["why"] for b in report["breaches"][:3]] + [b["why"] for b in report["fleet"]["broken"][:3]]
    return {**found, "broken": failures(report), "figure": report["figure"], "why": why}


def hunt(day: FleetDay, seed: int, days: int, jobs: int = 0) -> Iterator[dict[str, Any]]:
    """So many drawn days, as they end."""
    text = write(day)
    with ProcessPoolExecutor(jobs or None) as pool:
        for future in as_completed([pool.submit(trial, text, seed, number) for number in range(1, days + 1)]):
            yield future.result()


def shrink(day: FleetDay, seed: int, told: Callable[[str], None] = lambda _: None) -> FleetDay:
    """The smallest day found that still fails: faults first, then members, workers and load.

    ValueError where the day does not fail as it is.
    """

    def fails(candidate: FleetDay) -> bool:
        try:
            parse(write(candidate), "day")  # a cut may name one that is there no more
            return failures(reported(play(candidate, seed))[0]) > 0
        except Exception:  # noqa: BLE001 - as in `trial`; and what is no day at all does not fail as one
            return False

    small, replace = Shrinking(day, fails, told), msgspec.structs.replace
    at = 0
    while at < len(small.day.faults):
        rest = small.day.faults[:at] + small.day.faults[at + 1 :]
        at += not small.attempt(replace(small.day, faults=rest), f"{len(rest)} faults")
    rated = replace(small.day, load=replace(small.day.load, rate=round(small.day.day().rate(), 3)))
    if fails(rated):
        small.day = rated
    while small.day.members > len(small.day.groups) and small.attempt(
        replace(small.day, members=max(len(small.day.groups), small.day.members // 2)),
        f"{small.day.members // 2} members",
    ):
        pass
    while small.day.workers > 1 and small.attempt(
        replace(small.day, workers=small.day.workers // 2), f"{small.day.workers // 2} workers"
    ):
        pass
    while small.day.load.rate > 0.5 and small.attempt(
        replace(small.day, load=replace(small.day.load, rate=small.day.load.rate / 2)),
        f"{small.day.load.rate / 2:.1f} items a second",
    ):
        pass
    return small.day
