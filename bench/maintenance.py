"""Maintenance windows: plans over drawn fleets, and drawn windows with one fault each against taking racks
down without a conductor. A JSON line a result.

    python bench/maintenance.py plans --fleets 1000
    python bench/maintenance.py windows --windows 500 --against 100 --jobs 2
"""

from __future__ import annotations

import argparse
import json
import random
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import msgspec

from opalwick.lab.post.day import Fault, PostDay, parse
from opalwick.lab.post.judge import judge
from opalwick.lab.post.kinds import CLOSING, KINDS
from opalwick.lab.post.run import history, play
from opalwick.lab.post.window import on_time_shares
from opalwick.post.maintenance.fleet import Fleet, LiveWorker, Machine
from opalwick.post.maintenance.needs import unmet_needs
from opalwick.post.maintenance.planner import EXACT_LIMIT, MAX_UNFAIRNESS, NoPlan, Planner
from opalwick.post.maintenance.racks import Declaration, check
from opalwick.settings_file import Seconds

ZONES = "abc"
ROLES = ("counter", "depot", "office")
DAY = """title = "drawn window"
length = "60 s"
rate = 8.0
asks = 0.05
[window]
racks = 2
together = 3
least = 3
[[services]]
name = "plain"
workers = 6
slots = 2
work = "60 ms"
[[services]]
name = "marked"
workers = 6
slots = 2
dedup = true
"""
WAYS = ("", "singly", "zones", "greedy")
COUNTS = ("messages", "lost", "doubled", "late", "cut_off", "few_copies")


# ---- plans


def fleet(draw: random.Random) -> tuple[Declaration, Fleet]:
    """Of 3 to 14 racks in three zones, with two or three services of two tenants, some of the system's own
    machines in some of them."""
    racks, services = draw.randrange(3, 15), ["gate", "berth", "pump"][: draw.choice((2, 3))]
    units, machines, given = [], [], []
    for r in range(racks):
        own: list[str] = []
        for role in ROLES:
            if draw.random() < 0.4:
                machines.append(Machine(f"{role}-{r}", role, ZONES[r % 3], 1))
                own.append(f"{role}-{r}")
        for svc in services:
            units += [
                LiveWorker(f"{svc}-{r}.{n}", svc, ZONES[r % 3], f"10.{r}.0.{n + 1}", draw.choice((2, 4, 8)))
                for n in range(draw.choice((0, 1, 2, 2, 3)))
            ]
        given.append(
            {
                "name": f"r{r}",
                "longest_s": draw.choice((600, 600, 900, 1800)),
                "machines": own,
                "nets": [f"10.{r}.0.0/16"],
            }
        )
    for n in range(4):  # those that stand in no rack
        machines += [Machine(f"{role}-x{n}", role, ZONES[n % 3], 1) for role in ROLES]
    for rack in given:
        if draw.random() < 0.2:
            rack["beside"] = sorted(draw.sample([g["name"] for g in given if g is not rack], racks // 2))
    needs = [
        {
            "service": svc,
            "share": draw.choice((0.5, 0.8, 1.0)),
            "least": draw.choice((1, 2)),
            "zones": draw.choice((1, 1, 2)),
            "tenant": draw.choice(("east", "west")),
            "weight": draw.choice((1.0, 1.0, 2.0)),
        }
        for svc in services
    ]
    found = check(
        json.dumps(
            {
                "name": "drawn",
                "longest_s": 1e6,
                "together": draw.choice((1, 2, 3, 4)),
                "racks": given,
                "needs": needs,
            }
        ).encode()
    ).unwrap()
    slots = {svc: sum(u.slots for u in units if u.svc == svc) for svc in services}
    return found, Fleet(
        tuple(units),
        tuple(machines),
        sum(m.role == "office" for m in machines),
        {svc: draw.uniform(0.2, 0.8) * n for svc, n in slots.items()},
    )


def by_zone(p: Planner) -> tuple[tuple[str, ...], ...]:
    """All racks of a zone at a time, whatever they need."""
    return tuple(
        step for z in range(3) if (step := tuple(name for name in p.racks if int(name[1:]) % 3 == z))
    )


def plans(fleets: int, seed: int) -> None:
    began, spent, worst = time.process_time(), 0.0, 0.0
    rows: dict[str, dict[str, float]] = {}
    counts = {
        "planned": 0,
        "impossible": 0,
        "worse_than_greedy": 0,
        "worse_than_singly": 0,
        "small": 0,
        "search_worse_than_exact": 0,
        "search_over_1.1": 0,
        "needs_broken": 0,
    }
    for n in range(fleets):
        p = Planner(*fleet(random.Random(f"{seed}/{n}")))
        at = time.process_time()
        found = p.plan()
        passed = time.process_time() - at
        spent, worst = spent + passed, max(worst, passed)
        if isinstance(found, NoPlan):
            counts["impossible"] += 1
            assert any(p.unmet_needs((name,)) for name in p.racks)
            continue
        counts["planned"] += 1
        counts["needs_broken"] += any(unmet_needs(p.declared, p.fleet, p.down(step)) for step in found.steps)
        ours, greedy, singly = (p.normalized(steps) for steps in (found.steps, p.greedy(), p.one_at_a_time()))
        counts["worse_than_greedy"] += p.key(ours) > p.key(greedy)
        counts["worse_than_singly"] += p.key(ours) > p.key(singly)
        if len(p.racks) <= EXACT_LIMIT:
            counts["small"] += 1
            searched, exact = p.search(), p.exact()
            counts["search_worse_than_exact"] += p.key(searched) > p.key(exact)
            counts["search_over_1.1"] += len(searched) > 1.1 * len(exact) or max(
                p.loss(searched)
            ) > 1.1 * max(p.loss(exact))
        for name, steps in (
            ("planner", ours),
            ("greedy", greedy),
            ("one at a time", singly),
            ("zone by zone", by_zone(p)),
        ):
            row = rows.setdefault(name, dict.fromkeys(("steps", "hours", "unfair", "breaks_needs"), 0.0))
            row["steps"] += len(steps)
            row["hours"] += p.seconds(steps) / 3600.0
            row["unfair"] += max(p.loss(steps)) > MAX_UNFAIRNESS * max(p.fair) + 1e-6
            row["breaks_needs"] += not all(p.feasible(step) for step in steps)
    many = counts["planned"] or 1
    for name, row in rows.items():
        print(
            json.dumps(
                {
                    "way": name,
                    "steps": round(row["steps"] / many, 3),
                    "hours": round(row["hours"] / many, 3),
                    "unfair": int(row["unfair"]),
                    "breaks_needs": int(row["breaks_needs"]),
                }
            )
        )
    print(
        json.dumps(
            {
                **counts,
                "fleets": fleets,
                "seed": seed,
                "ms_mean": round(1e3 * spent / fleets, 2),
                "ms_worst": round(1e3 * worst, 1),
                "seconds": round(time.process_time() - began, 1),
            }
        )
    )


# ---- windows


def drawn(seed: int, way: str) -> PostDay:
    """The same fault for the same seed, whatever the way."""
    draw, day = random.Random(f"window/{seed}"), parse(DAY, "window")
    kind = draw.choice(sorted(set(KINDS) - set(CLOSING)))
    least, most = KINDS[kind].sizes
    of = [draw.choice((*ROLES, *ZONES))] if KINDS[kind].on in ("machines", "links") else []
    fault = Fault(
        kind,
        Seconds(round(draw.uniform(0.0, 30.0), 2)),
        Seconds(round(draw.uniform(0.5, 4.0), 2)),
        draw.choice((0.34, 0.34, 0.67)),
        round(draw.uniform(least, most), 3),
        of,
    )
    assert day.window is not None
    return msgspec.structs.replace(day, faults=[fault], window=msgspec.structs.replace(day.window, blind=way))


def window(job: tuple[int, str]) -> dict[str, Any]:
    seed, way = job
    day = drawn(seed, way)
    world = play(day, seed)
    report, figures = judge(history(world)), world.crew.figures()
    return {
        "seed": seed,
        "way": way or "conductor",
        "fault": day.faults[0].kind,
        "broken": [b["rule"] for b in report["broken"]],
        **{key: report[key] for key in COUNTS[:4]},
        **{
            key: figures[key]
            for key in (
                "cut_off",
                "few_copies",
                "needs_below",
                "needs_below_alone",
                "share_max",
                "phase",
                "took",
            )
        },
        **on_time_shares(world.ledger.rows, day),
    }


def windows(count: int, against: int, seed: int, jobs: int, keep: str) -> None:
    work = [(seed + n, way) for way in WAYS for n in range(count if not way else against)]
    found: dict[str, list[dict[str, Any]]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for one in pool.map(window, work, chunksize=4):
            found.setdefault(one["way"], []).append(one)
            if keep:
                with open(keep, "a") as file:
                    file.write(json.dumps(one) + "\n")
            if one["way"] == "conductor" and (
                one["broken"]
                or one["lost"]
                or one["phase"] != "done"
                or one["needs_below_alone"]
                or one["cut_off"]
                or one["few_copies"]
            ):
                print(json.dumps(one), flush=True)
    summed(found)


def summed(found: dict[str, list[dict[str, Any]]]) -> None:
    for way, every in found.items():
        shares = [one["share_max"] for one in every if one["share_max"]]
        print(
            json.dumps(
                {
                    "way": way,
                    "windows": len(every),
                    "broken": sum(bool(one["broken"]) for one in every),
                    "done": sum(one["phase"] == "done" for one in every),
                    **{key: sum(one[key] for one in every) for key in COUNTS},
                    "below_alone": sum(one["needs_below_alone"] > 0 for one in every),
                    "below_s": round(sum(one["needs_below"] for one in every), 2),
                    "below_alone_s": round(sum(one["needs_below_alone"] for one in every), 2),
                    "in_aim": round(sum(one["in_aim"] for one in every) / len(every), 4),
                    "worst_in_aim": round(min(one["in_aim"] for one in every), 4),
                    "share_over_1.1": sum(share > 1.1 for share in shares),
                    "took": round(sum(one["took"] or 0.0 for one in every) / len(every), 1),
                }
            ),
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("plans", "windows"))
    parser.add_argument("--fleets", type=int, default=1000)
    parser.add_argument("--windows", type=int, default=500)
    parser.add_argument("--against", type=int, default=100, help="windows of each way without a conductor")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--keep", default="", help="a file that each window's figures are appended to")
    given = parser.parse_args()
    if given.what == "plans":
        plans(given.fleets, given.seed)
    else:
        windows(given.windows, given.against, given.seed, given.jobs, given.keep)


if __name__ == "__main__":
    main()
