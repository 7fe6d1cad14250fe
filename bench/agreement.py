"""The same days on both clocks: python bench/agreement.py [LANES]. One JSON line a run, a mean at the end."""

from __future__ import annotations

import json
import sys
from concurrent.futures import ProcessPoolExecutor

from opalwick.lab.day import read
from opalwick.lab.experiment import run

DAYS, SEEDS = ("calm", "rough", "restarts", "overload", "mixed"), (1, 2, 3)


def both(day: str, seed: int) -> dict:
    found = read(day)
    sockets = run(found, seed, "sockets")
    virtual = run(found, seed)
    return {
        "day": day,
        "seed": seed,
        "virtual": virtual["figure"],
        "sockets": sockets["figure"],
        "difference": round(sockets["figure"] - virtual["figure"], 4),
        "rules": [sum(r["rules"].values()) for r in (virtual, sockets)],
        "breaches": sockets["breaches"][:3],
        "late_ms": sockets["late_ms"],
        "void": sockets["void"],
        "exits": sockets["exits"],
    }


if __name__ == "__main__":
    # a lane needs a core for its emulator and about one for its schedulers
    lanes = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    with ProcessPoolExecutor(lanes, max_tasks_per_child=1) as pool:
        rows = list(pool.map(both, *zip(*[(day, seed) for seed in SEEDS for day in DAYS])))
    for row in rows:
        print(json.dumps(row))
    sound = [row for row in rows if not row["void"]]
    for day in DAYS:
        here = [row["difference"] for row in sound if row["day"] == day]
        print(
            json.dumps(
                {"day": day, "runs": len(here), "mean difference": round(sum(here) / max(1, len(here)), 4)}
            )
        )
