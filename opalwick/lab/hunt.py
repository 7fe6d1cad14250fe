"""Searches for bad days: faults drawn from the catalogue, and what opalwick loses against the oracle on them.
`shrink` cuts a failing day to the little that still fails."""

from __future__ import annotations

import json
import os
import random
import time
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec

from opalwick.settings_file import Seconds
from opalwick.lab.day import Day, Fault, parse, write
from opalwick.lab.experiment import judged
from opalwick.lab.judge import broken
from opalwick.lab.kinds import KINDS
from opalwick.lab.scheduler import Make
from opalwick.lab.virtual import play


def drawn(day: Day, seed: int, number: int) -> Day:
    """The day with one to four faults: the same for the same numbers."""
    draw = random.Random(f"{seed}/{number}")
    faults = []
    for _ in range(draw.choice((1, 2, 2, 3, 3, 4))):
        name = draw.choice(sorted(KINDS))
        least, most = KINDS[name].sizes
        at = round(draw.uniform(0.1, 0.7) * day.length, 1)
        faults.append(
            Fault(
                name,
                Seconds(at),
                Seconds(round(draw.uniform(0.1, 0.5) * day.length, 1)),
                round(draw.choice((0.05, 0.1, 0.2, 0.3, 0.5)), 3),
                round(draw.uniform(least, most), 3),
            )
        )
    return msgspec.structs.replace(
        day, title=f"{day.title}: drawn {seed}/{number}", faults=sorted(faults, key=lambda f: f.at)
    )


def trial(text: str, seed: int, number: int, front: str = "http") -> dict[str, Any]:
    day = drawn(parse(text, "day"), seed, number)
    ours, _ = judged(play(day, number, front=front))
    best, _ = judged(play(day, number, "oracle", front=front))
    return {
        "number": number,
        "figure": ours["figure"],
        "oracle": best["figure"],
        "loss": round(best["figure"] - ours["figure"], 5),
        "broken": broken(ours),
        "rules": ours["rules"],
        "breaches": ours["breaches"][:5],
        "faults": [f.kind for f in day.faults],
        "day": write(day),
    }


def hunt(
    day: Day, seed: int, minutes: float, days: int = 0, jobs: int = 0, front: str = "http"
) -> Iterator[dict[str, Any]]:
    """Trials as they end, for so long or so many. One that fails tells why under "problem"."""
    text, until, number = write(day), time.monotonic() + 60.0 * minutes, 0
    jobs = jobs or os.cpu_count() or 1
    with ProcessPoolExecutor(jobs) as pool:
        out: dict[Future, int] = {}
        while True:
            while len(out) < jobs and time.monotonic() < until and (not days or number < days):
                number += 1
                out[pool.submit(trial, text, seed, number, front)] = number
            if not out:
                return
            done, _ = wait(out, return_when=FIRST_COMPLETED)
            for future in done:
                which = out.pop(future)
                problem = future.exception()
                if problem is not None:
                    yield {
                        "number": which,
                        "problem": repr(problem),
                        "broken": 1,
                        "loss": 1.0,
                        "rules": {},
                        "faults": [f.kind for f in drawn(day, seed, which).faults],
                        "figure": 0.0,
                        "oracle": 0.0,
                        "breaches": [],
                        "day": write(drawn(day, seed, which)),
                    }
                else:
                    yield future.result()


def keep(found: list[dict[str, Any]], out: Path, worst: int = 10) -> list[dict[str, Any]]:
    """Writes the days that broke a rule and the worst ones as files; gives those."""
    out.mkdir(parents=True, exist_ok=True)
    chosen = [one for one in found if one["broken"]]
    chosen += sorted((one for one in found if not one["broken"]), key=lambda one: -one["loss"])[:worst]
    for one in chosen:
        (out / f"drawn-{one['number']}.toml").write_text(
            f"# seed {one['number']}; figure {one['figure']:.4f}, oracle {one['oracle']:.4f}, "
            f"rules broken {one['broken']}\n" + one["day"]
        )
    with open(out / "found.jsonl", "w") as file:
        for one in sorted(found, key=lambda one: one["number"]):
            file.write(json.dumps({key: value for key, value in one.items() if key != "day"}) + "\n")
    return chosen


# ---- shrink

Fails = Callable[[Day], bool]


def fails(seed: int, below: float | None, policy: str = "opalwick", make: Make | None = None) -> Fails:
    """Whether a day still fails: a rule broken, a crash, or with `below` a figure under it."""

    def failing(day: Day) -> bool:
        try:
            report, _ = judged(play(day, seed, policy, make))
        except Exception:  # noqa: BLE001 - whatever the module raises is the failure looked for
            return True
        if below is not None:
            return report["taken"] > 0 and report["figure"] < below
        return broken(report) > 0

    return failing


D = TypeVar("D", bound=msgspec.Struct)


class Shrinking(Generic[D]):
    """A day that fails, made smaller for as long as it goes on failing. ValueError where it does not fail."""

    def __init__(self, day: D, failing: Callable[[D], bool], told: Callable[[str], None]) -> None:
        if not failing(day):
            raise ValueError("the day does not fail as it is")
        self.day, self.failing, self.told = day, failing, told

    def attempt(self, candidate: D, what: str) -> bool:
        if candidate != self.day and self.failing(candidate):
            self.day = candidate
            self.told(what)
            return True
        return False


def shrink(day: Day, failing: Fails, told: Callable[[str], None] = lambda _: None) -> Day:
    """The smallest day found that still fails: faults first, then workers and schedulers, then work items.

    ValueError where the day does not fail as it is.
    """
    small, replace = Shrinking(day, failing, told), msgspec.structs.replace

    # faults: halves, then one by one
    size = max(1, len(small.day.faults) // 2)
    while small.day.faults and size:
        at = 0
        while at < len(small.day.faults):
            rest = small.day.faults[:at] + small.day.faults[at + size :]
            if not small.attempt(replace(small.day, faults=rest), f"{len(rest)} faults"):
                at += size
        size //= 2
    # the arrivals stay as many while the fleet gets smaller: a fixed rate, else `fill` would follow the fleet
    rated = replace(small.day, load=replace(small.day.load, rate=round(small.day.rate(), 3)))
    if failing(rated):
        small.day = rated
    for i in range(len(small.day.models)):
        step = small.day.models[i].count
        while step:
            model = small.day.models[i]
            less = [
                *small.day.models[:i],
                replace(model, count=max(0, model.count - step)),
                *small.day.models[i + 1 :],
            ]
            if not (
                sum(m.count for m in less)
                and small.attempt(replace(small.day, models=less), f"{sum(m.count for m in less)} workers")
            ):
                step //= 2
    models = [m for m in small.day.models if m.count]
    small.attempt(replace(small.day, models=models), f"{len(models)} models")
    while small.day.schedulers > len(small.day.zones) and small.attempt(
        replace(small.day, schedulers=max(len(small.day.zones), small.day.schedulers // 2)),
        "fewer schedulers",
    ):
        pass
    # items: the fewest, from the first on, by halving the span between what fails and what does not
    low, high = 0, round(small.day.rate() * small.day.length) + 1
    while high - low > max(1, high // 50):
        middle = (low + high) // 2
        if small.attempt(
            replace(small.day, load=replace(small.day.load, most=middle)), f"{middle} work items"
        ):
            high = middle
        else:
            low = middle
    return small.day
