"""What a fleet of today's program does when parts of it fail, without membership and with it.
One JSON line a run; nothing else may load the machine where --sockets is given.

    python bench/fleet.py [--sockets] [DAY ...]
"""

from __future__ import annotations

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import msgspec

from opalwick.lab.fleet.day import built_in, read
from opalwick.lab.fleet.run import run


def played(task: tuple[str, bool, str]) -> dict[str, Any]:
    name, members, clock = task
    day = read(name)
    if members:
        day = msgspec.structs.replace(day, parts=["sums", "members"])
    found = run(day, 1, clock)
    fleet = found["fleet"]
    return {
        "day": name,
        "members": members,
        "clock": clock,
        "taken": found["taken"],
        "figure": found["figure"],
        "rules": sum(found["rules"].values()),
        "broken": fleet["broken_count"],
        "why": [one["why"] for one in fleet["broken"][:2]],
        "detect_s": fleet["detect_s"],
        "false_dead": fleet["false_dead"],
        "bytes_s": fleet["bytes_s"],
        "longest": fleet["longest"],
        "today": fleet["today"],
        "void": found["void"],
        "relays_late_ms": found.get("relays_late_ms"),
    }


if __name__ == "__main__":
    words = sys.argv[1:]
    clock = "sockets" if "--sockets" in words else "virtual"
    names = [word for word in words if not word.startswith("--")] or built_in()
    tasks = [(name, on, clock) for name in names for on in (False, True)]
    if clock == "sockets":
        for task in tasks:
            print(json.dumps(played(task)), flush=True)
    else:
        with ProcessPoolExecutor() as pool:
            for done in pool.map(played, tasks):
                print(json.dumps(done), flush=True)
