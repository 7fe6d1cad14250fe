"""A soak test of real processes on real sockets: overlapping faults, a quiet period, then planned restarts.

Each seed gives one history with two or three faults, each of which begins while the one before lasts. After
the last fault, and a quiet period long enough for the rules to apply again, the stores and then the gateways
are restarted in sequence: that shows any bad state which a fault has left in a process. The judge and the
invariants of the processes are checked over the whole history.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from opalwick.settings_file import Seconds
from opalwick.lab.post.day import ROLES, Fault, PostDay, read
from opalwick.lab.post.kinds import KINDS
from opalwick.lab.post.run import run
from opalwick.post.repeats import Cause, Event, read_events, repeats

FAULT_KINDS = (
    "kill",
    "wipe",
    "freeze",
    "stutter",
    "alone",
    "cut",
    "one_way",
    "flap",
    "reset",
    "late",
    "cut_workers",
    "lost_answers",
    "second_answers",
    "broken_off",
    "crash",
)
# planned work that is repeated throughout the faults, and again throughout the restarts
PLANNED_WORK = ("hup", "changes", "races", "reads", "stale", "invalid", "orders_again", "release")
FIRST_FAULT = (0.5, 2.0)  # s from the start of the traffic to the first fault
FAULT_DURATION = (1.0, 3.5)  # s, duration of a fault
QUIET_PERIOD = 1.0  # s beyond the bound `contact` between the last fault and the first restart
RESTART_INTERVAL = 1.2  # s between restarts
MAX_RESTARTS = 8  # most processes of each role that are restarted
RESTART_DURATION = 3.0  # s that a restart takes at most
COMPLETION_TIME = 4.0  # s after the traffic for the accepted messages to be completed
PERSISTENT_SHARE = 0.6  # share of the messages that clients send on persistent connections
LEAST_PROCESSES, MOST_PROCESSES = 12, 200
CONTROLLERS = 5  # controllers of a history with many processes
STORE_SHARE = 0.15  # stores as a share of its processes
GATEWAY_RATE = 1.5  # messages per second for each of its gateways


@dataclass
class SoakResult:
    """The result of a soak test. Counts of messages include only valid histories."""

    seed: int
    seeds: int = 0  # histories that were run
    void: int = 0  # invalid histories: the machine was too busy for the time bounds to hold
    messages: int = 0
    accepted: int = 0
    lost: int = 0
    doubled: int = 0  # successes beyond the first of a message, which faults may cause
    broken: list[dict[str, Any]] = field(default_factory=list)
    repeats: dict[str, int] = field(default_factory=dict)  # repeated attempts by cause, of all histories
    seconds: float = 0.0

    def add(self, seed: int, report: dict[str, Any], causes: Counter[str]) -> None:
        """Adds the report of one history."""
        self.seeds += 1
        for cause, count in causes.items():
            self.repeats[cause] = self.repeats.get(cause, 0) + count
        if report["void"]:
            self.void += 1
        else:
            for key in ("messages", "accepted", "lost", "doubled"):
                setattr(self, key, getattr(self, key) + report[key])
        for breach in report["broken"]:
            # a busy machine does not excuse a failed process or a violated invariant
            if not report["void"] or breach["rule"] == "FAULT":
                self.broken.append({"seed": seed, **breach})


def random_faults(draw: random.Random) -> list[Fault]:
    """Returns two or three random faults, each beginning while the one before lasts."""
    found: list[Fault] = []
    begin = draw.uniform(*FIRST_FAULT)
    for _ in range(draw.choice((2, 3))):
        kind = KINDS[name := draw.choice(FAULT_KINDS)]
        lasts = draw.uniform(*FAULT_DURATION)
        of = [draw.choice(ROLES)] if kind.on in ("machines", "links") else []
        to = [draw.choice(ROLES)] if kind.on == "links" and draw.random() < 0.5 else []
        size = draw.uniform(*kind.sizes)
        found.append(
            Fault(
                name,
                Seconds(round(begin, 2)),
                Seconds(round(lasts, 2)),
                draw.choice((0.34, 0.34, 0.67)),
                round(min(size, 3.0), 3),
                of,
                to,
            )
        )
        begin += draw.uniform(0.0, 0.8) * lasts
    return found


def random_planned_work(draw: random.Random, begin: float, end: float) -> list[Fault]:
    """Returns two random kinds of planned work, each lasting from `begin` to `end` in seconds."""
    return [
        Fault(
            name,
            Seconds(round(begin, 2)),
            Seconds(round(end - begin, 2)),
            1.0,
            round(draw.uniform(0.1, 1.0), 3),
            [],
            [],
        )
        for name in draw.sample(PLANNED_WORK, 2)
    ]


def ends(fault: Fault) -> float:
    """Returns the end of a fault, in seconds from the start of the traffic."""
    return float(fault.at) + max(float(fault.lasts), fault.size if fault.kind in ("kill", "wipe") else 0.0)


def with_processes(day: PostDay, processes: int) -> PostDay:
    """Returns the scenario with about that many processes; unchanged if 0."""
    if not processes:
        return day
    depots = max(day.depots, round(STORE_SHARE * processes))
    counters = max(day.counters, processes - depots - CONTROLLERS)
    return msgspec.structs.replace(
        day, counters=counters, depots=depots, offices=CONTROLLERS, rate=GATEWAY_RATE * counters
    )


def restarted(day: PostDay, at: float, few: int) -> tuple[list[Fault], float]:
    """Returns restarts of stores, then gateways, one after the other, at most `few` of each, and the time in
    seconds when they are over."""
    found = list[Fault]()
    for role, count in (("depot", day.depots), ("counter", day.counters)):
        part = min(1.0, few / count)
        found.append(Fault("term", Seconds(round(at, 2)), Seconds(0.1), part, RESTART_INTERVAL, [role], []))
        at += min(few, count) * RESTART_INTERVAL + RESTART_DURATION
    return found, at


def soak_day(seed: int, restarts: bool = True, processes: int = 0) -> PostDay:
    """Returns the scenario for a seed. Without `restarts` it ends with its faults. `processes`: about how
    many, instead of the usual nine; 0: nine.
    """
    draw = random.Random(f"soak/{seed}")
    faults = random_faults(draw)
    day = with_processes(read("calm"), processes)
    end = max(map(ends, faults)) + 1.0
    faults += random_planned_work(draw, float(faults[0].at), end)
    if restarts:
        at = end + float(day.bounds.contact) + QUIET_PERIOD
        planned, end = restarted(day, at, MAX_RESTARTS)
        faults += [*planned, *random_planned_work(draw, at, end - RESTART_DURATION)]
    return msgspec.structs.replace(
        day,
        title=f"soak {seed}",
        length=Seconds(round(end, 2)),
        after=Seconds(COMPLETION_TIME),
        delayed=0.3,
        kept=PERSISTENT_SHARE,
        faults=faults,
    )


def repeats_by_cause(folder: Path) -> Counter[str]:
    """Counts repeated delivery attempts by cause, from the logs that the processes left in a folder."""
    events = list[Event]()
    for log in sorted(folder.glob("*.log")):
        events += read_events(log.read_text(errors="replace").splitlines(), log.stem)
    found = Counter({cause.name.lower(): 0 for cause in Cause})
    found.update(repeat.cause.name.lower() for repeat in repeats(events))
    return found


def soak(
    seed: int,
    seeds: int,
    minutes: float,
    out: Path,
    restarts: bool = True,
    processes: int = 0,
    told: Callable[[int, dict[str, Any]], None] = lambda seed, report: None,
) -> SoakResult:
    """Runs up to `seeds` histories, from that seed on, until `minutes` have passed. `out`: the folder for
    logs. `told`: called with the seed and the report of each history."""
    began, result = time.monotonic(), SoakResult(seed)
    for number in range(seed, seed + seeds):
        if time.monotonic() - began >= 60.0 * minutes:
            break
        folder = out / f"soak-{number}"
        report = run(soak_day(number, restarts, processes), number, "sockets", folder)
        result.add(number, report, repeats_by_cause(folder))
        told(number, report)
    result.seconds = round(time.monotonic() - began, 1)
    return result
