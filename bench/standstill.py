"""Schedulers that stand still under load, on the wire and on the virtual clock: for how long x how many of
them. One JSON line a run.

    python bench/standstill.py [virtual | sockets] [SECONDS ...]

Twelve processes, 18 workers, fill 0.6; nothing else may load the machine.
"""

from __future__ import annotations

import json
import sys

from opalwick.lab.day import Load
from opalwick.lab.fleet.day import Fault, FleetDay
from opalwick.lab.fleet.run import run
from opalwick.settings_file import Seconds

words = sys.argv[1:]
clocks = [clock for clock in ("virtual", "sockets") if clock in words] or ["virtual", "sockets"]
given = [float(word) for word in words if word not in clocks]
for seconds in given or [0.2, 1.0, 3.0, 6.0, 20.0]:
    for part in (0.01, 0.25, 1.0):
        fault = Fault("stop", Seconds(3), Seconds(seconds), part)
        title = f"{part:g} of all stopped for {seconds:g} s"
        day = FleetDay(title, Seconds(seconds + 8.0), load=Load(fill=0.6), faults=[fault])
        for clock in clocks:
            found = run(day, 4177, clock)
            print(
                json.dumps(
                    {
                        "stopped_s": seconds,
                        "part": part,
                        "clock": clock,
                        "taken": found["taken"],
                        "figure": found["figure"],
                        "rules": sum(found["rules"].values()),
                        "why": sorted({b["why"] for b in found["breaches"]}),
                        "void": found["void"],
                        "late_ms": found.get("late_ms"),
                        "crashed": found.get("exits", []),
                    }
                ),
                flush=True,
            )
