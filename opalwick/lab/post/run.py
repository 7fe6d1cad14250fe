"""Runs and judges scenarios of the messaging service, generates random ones in bulk, and shrinks a failing
scenario to a minimal one."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from opalwick.settings_file import Seconds
from opalwick.lab.day import BadDay, write
from opalwick.lab.hunt import Shrinking
from opalwick.lab.post import home_faults, home_world  # noqa: F401 - the import registers its faults
from opalwick.lab.post.day import PostDay, drawn, parse
from opalwick.lab.post.faults import Scene
from opalwick.lab.post.home_judge import judge as judge_home
from opalwick.lab.post.home_world import HomeWorld
from opalwick.lab.post.judge import judge
from opalwick.lab.post.window import Crew, Crowd, on_time_shares, without_window
from opalwick.lab.post.world import World

CHUNK = 8  # histories per task of a hunt's process pool


def play(
    day: PostDay, seed: int, words: bool = False, clock: str = "virtual", out: Path | None = None
) -> World:
    """Runs a scenario and returns its final state. `clock`: "virtual" or "sockets" (real processes). `out`:
    the folder for settings and logs on sockets; None: they are deleted. Raises BadDay for a scenario that
    this clock cannot run."""
    if clock == "sockets" and day.regions:
        raise BadDay(f"{day.title}: scenarios with several countries run on the virtual clock only")
    if clock == "sockets":
        from opalwick.lab.post.sockets.world import SocketWorld

        world: World = SocketWorld(day, seed, out)
    else:
        world = (HomeWorld if day.regions else World)(day, seed, words)
    scene = Scene(world)
    if day.crowd:
        Crowd(world)
    if day.window is not None:
        world.crew = Crew(world, scene)
    world.run()
    return world


def history(world: World) -> dict[str, Any]:
    """Returns the history for the judge: header and rows."""
    return {**world.head(), "rows": world.ledger.rows}


def run(day: PostDay, seed: int, clock: str = "virtual", out: Path | None = None) -> dict[str, Any]:
    """Runs and judges a scenario, and returns the report, with violations under "broken". On sockets, `void`
    is the reason why the run is invalid (the machine was too busy) or empty, and `page` is a summary in
    Markdown."""
    began = time.perf_counter()
    world = play(day, seed, clock=clock, out=out)
    observed = history(world)
    report = judge_home(observed) if day.regions else judge(observed)
    if not world.begins_at:
        report["broken"].append(
            {
                "rule": "FAULT",
                "at": world.agenda.now,
                "message": "",
                "why": "the first configuration was never acknowledged",
            }
        )
    if world.crew is not None:
        report |= window_figures(world, day, seed)
    if day.homes:
        report |= alone(day, seed)
    report["seconds"] = round(time.perf_counter() - began, 3)
    if clock == "sockets":
        from opalwick.lab.post.sockets.page import summary

        report["void"] = world.void()  # type: ignore[attr-defined]
        report["page"] = summary(world, report)
    return report


def window_figures(world: World, day: PostDay, seed: int) -> dict[str, Any]:
    """Returns what a maintenance window adds to a report, compared with a run without the window."""
    plain = play(without_window(day), seed)
    now, then = on_time_shares(world.ledger.rows, day), on_time_shares(plain.ledger.rows, day)
    return {
        **world.crew.figures(),
        **{key: round(value, 4) for key, value in now.items()},
        **{key + "_without": round(value, 4) for key, value in then.items()},
    }


def alone(day: PostDay, seed: int) -> dict[str, Any]:
    """Returns the share of messages in aim if each country were a cluster of its own, with its own machines,
    clients and faults."""
    good = messages = 0.0
    for country in dict.fromkeys(day.regions):
        found = judge_home(history(play(home_world.single_country(day, country), seed)))
        good, messages = good + found["in_aim"] * found["messages"], messages + found["messages"]
    return {"alone": round(good / messages, 4) if messages else 0.0, "alone_messages": int(messages)}


# ---- random scenarios


def trial(text: str, first: int, count: int) -> list[dict[str, Any]]:
    """Runs random scenarios based on this one, for `count` seeds from `first`."""
    found = []
    for seed in range(first, first + count):
        day = drawn(parse(text, "day"), seed)
        try:
            report = run(day, seed)
        except Exception as problem:  # noqa: BLE001 - any exception of the program is a finding
            report = {
                "seed": seed,
                "broken": [{"rule": "FAULT", "at": 0.0, "message": "", "why": repr(problem)}],
                "messages": 0,
                "accepted": 0,
                "waiting": 0,
                "seconds": 0.0,
            }
        found.append({**report, "faults": [f.kind for f in day.faults]})
    return found


def hunt(day: PostDay, first: int, histories: int, jobs: int = 0) -> Iterator[dict[str, Any]]:
    """Yields the reports of random scenarios in the order of their seeds. `jobs`: processes; 0: one per
    processor."""
    text, starts = write(day), range(first, first + histories, CHUNK)
    counts = [min(CHUNK, first + histories - start) for start in starts]
    if jobs == 1:
        for start, count in zip(starts, counts):
            yield from trial(text, start, count)
        return
    with ProcessPoolExecutor(jobs or None) as pool:
        for found in pool.map(trial, [text] * len(starts), starts, counts):
            yield from found


def shrink(
    day: PostDay, seed: int, told: Callable[[str], None] = lambda _: None, rules: set[str] | None = None
) -> PostDay:
    """Returns the smallest scenario found that still violates one of these rules (None: any), reducing faults
    first, then messages and services. Raises ValueError if the given scenario violates none."""

    def fails(candidate: PostDay) -> bool:
        try:
            broken = {b["rule"] for b in run(parse(write(candidate), "day"), seed)["broken"]}
        except Exception:  # noqa: BLE001 - a scenario that cannot run does not reproduce the failure
            return False
        return bool(broken & rules if rules else broken)

    small, replace = Shrinking(day, fails, told), msgspec.structs.replace
    at = 0
    while at < len(small.day.faults):
        rest = small.day.faults[:at] + small.day.faults[at + 1 :]
        at += not small.attempt(replace(small.day, faults=rest), f"{len(rest)} faults")
    for i in range(len(small.day.faults)):
        fault = small.day.faults[i]
        while fault.lasts > 0.3:
            fault = replace(fault, lasts=Seconds(round(fault.lasts / 2, 2)))
            faults = [*small.day.faults[:i], fault, *small.day.faults[i + 1 :]]
            if not small.attempt(replace(small.day, faults=faults), f"{fault.kind} for {fault.lasts:g} s"):
                break
    for key, least in (("delayed", 0.0), ("poison", 0.0), ("asks", 0.0), ("rate", 3.0), ("length", 2.0)):
        while getattr(small.day, key) > least:
            value = getattr(small.day, key) / 2 if least else 0.0
            kind = type(getattr(small.day, key))
            if not small.attempt(replace(small.day, **{key: kind(round(value, 3))}), f"{key} {value:g}"):
                break
    for service in list(small.day.services):
        if len(small.day.services) > 1:
            rest_ = [s for s in small.day.services if s is not service]
            small.attempt(replace(small.day, services=rest_), f"without {service.name}")
    low, high = 0, small.day.most or round(small.day.rate * small.day.length) + 1
    while high - low > max(1, high // 20):
        middle = (low + high) // 2
        if small.attempt(replace(small.day, most=middle), f"{middle} messages"):
            high = middle
        else:
            low = middle
    return small.day
