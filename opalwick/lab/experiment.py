"""One run, and sweeps of many: settings x policies x seeds, on all cores, picked up where they were ended."""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from itertools import product
from pathlib import Path
from typing import Any

from msgspec import Struct, field

from opalwick.settings_file import decode, line_of
from opalwick.lab.baselines import POLICIES
from opalwick.lab.day import BadDay, Day, changed, read, write
from opalwick.lab.judge import judge
from opalwick.lab.ledger import pack
from opalwick.lab.series import series

# what a history on sockets tells besides its rows
SOCKETS = ("exits", "rude", "rude_unanswered", "late_ms", "relays_late_ms")


def judged(history: dict[str, Any]) -> tuple[dict[str, Any], dict[str, Any]]:
    """The report and the series of a history as it was just played."""
    rows = {**history, "rows": history["ledger"].rows}
    seen = {key: history[key] for key in SOCKETS if key in history}
    return judge(rows) | seen, series(rows)


def run(
    day: Day,
    seed: int,
    clock: str = "virtual",
    policy: str = "opalwick",
    out: Path | None = None,
    front: str = "http",
) -> dict[str, Any]:
    """Plays and judges one day; with `out` the history, the day, the report and the series are kept there."""
    if clock == "virtual":
        from opalwick.lab.virtual import play

        history = play(day, seed, policy, front=front)
    else:
        from opalwick.lab.sockets.stage import play as play_sockets

        history = play_sockets(day, seed, None if out is None else out / "logs", front)
    report, drawn = judged(history)
    if out is not None:
        keep(out, history, day, report, drawn)
    return report


def keep(
    out: Path, history: dict[str, Any], day: Struct, report: dict[str, Any], drawn: dict[str, Any]
) -> None:
    out.mkdir(parents=True, exist_ok=True)
    head = {key: value for key, value in history.items() if key != "ledger"}
    write_whole(out / "history.zst", pack(head, history["ledger"]))
    write_whole(out / "day.toml", write(day).encode())
    write_whole(out / "run.json", json.dumps({"report": report, "series": drawn}).encode())


def write_whole(path: Path, octets: bytes) -> None:
    """Whole or not at all, whenever it is killed."""
    kept = path.with_name(f".{path.name}.{os.getpid()}")
    kept.write_bytes(octets)
    kept.replace(path)


class Sweep(Struct, forbid_unknown_fields=True):
    days: list[str]
    policies: list[str] = field(default_factory=lambda: ["opalwick"])
    seeds: int | list[int] = 3
    vary: dict[str, list[Any]] = {}  # path of a setting of the day: its values
    title: str = ""


class Task(Struct):
    day: str
    policy: str
    seed: int
    settings: dict[str, Any]
    text: str  # the day as it is played

    def name(self) -> str:
        """The same for the same work, whatever else is in the sweep."""
        told = json.dumps([self.policy, self.seed, self.text], sort_keys=True)
        return hashlib.sha256(told.encode()).hexdigest()[:20]


def read_sweep(path: str) -> list[Task]:
    """All runs of a sweep, checked whole before the first. BadDay names the file, line and key at fault."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as problem:
        raise BadDay(f"{path}: cannot be read: {problem}") from None
    found = decode(text, path, Sweep, BadDay)
    for policy in found.policies:
        if policy not in POLICIES:
            raise BadDay(
                f"{path}:{line_of(text, ['policies'])}: policies: {policy!r} is none of {', '.join(POLICIES)}"
            )
    for key, values in found.vary.items():
        if not values:
            raise BadDay(f"{path}:{line_of(text, ['vary', key])}: vary.{key}: no value is given")
    seeds = list(range(1, found.seeds + 1)) if isinstance(found.seeds, int) else found.seeds
    tasks = []
    for which in found.days:
        # a day's file may stand beside the sweep's
        beside = Path(path).parent / which
        day = read(str(beside) if beside.is_file() else which)
        for chosen in product(*found.vary.values()):
            settings = dict(zip(found.vary, chosen))
            there = write(changed(day, settings, text, path) if settings else day)
            tasks += [
                Task(which, policy, seed, settings, there) for policy in found.policies for seed in seeds
            ]
    if not tasks:
        raise BadDay(f"{path}:1: days, policies or seeds: nothing to run")
    return tasks


def work(task: Task, out: Path) -> str:
    from opalwick.lab.day import parse
    from opalwick.lab.virtual import play

    report, drawn = judged(play(parse(task.text, task.day), task.seed, task.policy))
    write_whole(
        out / f"{task.name()}.json",
        json.dumps(
            {
                "task": {
                    "day": task.day,
                    "policy": task.policy,
                    "seed": task.seed,
                    "settings": task.settings,
                },
                "report": report,
                "series": drawn,
            }
        ).encode(),
    )
    return task.name()


def sweep(tasks: list[Task], out: Path, jobs: int = 0) -> Iterator[tuple[int, int]]:
    """Runs what is not there yet; yields how many are done, of how many, at the start and after each."""
    kept = out / "runs"
    kept.mkdir(parents=True, exist_ok=True)
    missing = [task for task in tasks if not (kept / f"{task.name()}.json").is_file()]
    done = len(tasks) - len(missing)
    yield done, len(tasks)
    if not missing:
        return
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1) as pool:
        # the longest first would need to be known; days in the order given keep all cores busy but at the end
        for future in as_completed([pool.submit(work, task, kept) for task in missing]):
            future.result()
            done += 1
            yield done, len(tasks)


class BadResults(Exception):
    """A folder that holds no results; names it."""


def results(folder: Path) -> list[dict[str, Any]]:
    """The runs that a folder holds: one from `run`, or many from `sweep`."""
    paths = sorted((folder / "runs").glob("*.json")) or [folder / "run.json"]
    found = []
    for path in paths:
        try:
            one = json.loads(path.read_text())
            report = one["report"]
            one.setdefault(
                "task",
                {"day": report["day"], "policy": report["policy"], "seed": report["seed"], "settings": {}},
            )
            report["rules"], one["series"]["over"]
        except OSError as problem:
            raise BadResults(
                f"{folder}: holds no results of run or sweep ({problem.strerror}: {path.name})"
            ) from None
        except (ValueError, KeyError, TypeError) as problem:
            raise BadResults(f"{path}: not a result: {problem!r}") from None
        found.append(one)
    return found


def label(task: dict[str, Any]) -> str:
    settings = " ".join(f"{key}={value}" for key, value in task["settings"].items())
    return f"{task['day']} {settings}".strip()


def interval(samples: list[float]) -> tuple[float, float, float]:
    """The mean and a 95% interval of it, by bootstrap with a fixed seed. One sample has none."""
    import numpy

    if len(samples) < 2:
        mean = samples[0] if samples else 0.0
        return mean, mean, mean
    given = numpy.asarray(samples)
    draw = numpy.random.default_rng(0)
    means = given[draw.integers(0, len(given), (4000, len(given)))].mean(axis=1)
    low, high = numpy.percentile(means, [2.5, 97.5])
    return float(given.mean()), float(low), float(high)


def compare(one: list[dict[str, Any]], other: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A row a day and policy that both have: the second less the first, over the seeds that both have."""

    def table(found: list[dict[str, Any]]) -> dict[tuple[str, str], dict[int, float]]:
        rows: dict[tuple[str, str], dict[int, float]] = {}
        for run in found:
            rows.setdefault((label(run["task"]), run["task"]["policy"]), {})[run["task"]["seed"]] = run[
                "report"
            ]["figure"]
        return rows

    ours, theirs = table(one), table(other)
    rows = []
    for key in ours:
        seeds = sorted(ours[key].keys() & theirs.get(key, {}).keys())
        if seeds:
            mean, low, high = interval([theirs[key][seed] - ours[key][seed] for seed in seeds])
            rows.append(
                {
                    "day": key[0],
                    "policy": key[1],
                    "seeds": len(seeds),
                    "first": sum(ours[key][s] for s in seeds) / len(seeds),
                    "second": sum(theirs[key][s] for s in seeds) / len(seeds),
                    "difference": mean,
                    "low": low,
                    "high": high,
                }
            )
    return rows
