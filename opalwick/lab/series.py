"""A history as figures over time and by worker: what the report draws."""

from __future__ import annotations

from typing import Any

PART = 1.0  # seconds a step: shorter than most faults, with some dozens of work items in each


def series(history: dict[str, Any]) -> dict[str, Any]:
    """Counts a step by outcome, times by category (ms, thinned), hand-offs begun by worker and step."""
    steps = int(history["ended"] / 1e6 / PART) + 1
    over: dict[str, list[int]] = {
        what: [0] * steps for what in ("in time", "late", "deferred", "written off", "gone")
    }
    names = [c["name"] for c in history["categories"]]
    times: dict[str, list[float]] = {name: [] for name in names}
    load: dict[str, list[int]] = {}
    asked: dict[Any, tuple] = {}
    firsts: dict[Any, int] = {}
    hands: dict[int, str] = {}
    for at, what, *fields in history["rows"]:
        step = min(steps - 1, int(at / 1e6 / PART))
        if what == "asked":
            firsts.setdefault(fields[1], at)
            asked[fields[0]] = (fields[1], fields[3], fields[6])
        elif what == "answered" and fields[0] in asked:
            want, category, due = asked[fields[0]]
            if fields[1] == "finished":
                over["in time" if at <= due else "late"][step] += 1
                times[names[category]].append((at - firsts[want]) / 1e3)
            elif fields[1] in over:
                over[fields[1]][step] += 1
        elif what == "gone":
            over["gone"][step] += 1
        elif what == "arrived":
            hands[fields[0]] = fields[2]
        elif what == "began" and fields[0] in hands:
            load.setdefault(hands[fields[0]], [0] * steps)[step] += 1
    thinned = {}
    for name, found in times.items():
        found.sort()
        # two hundred quantiles draw the same curve as all
        thinned[name] = (
            [round(found[min(len(found) - 1, i * len(found) // 200)], 2) for i in range(200)] if found else []
        )
    return {
        "step": PART,
        "over": over,
        "times": thinned,
        "load": dict(sorted(load.items(), key=lambda w: (len(w[0]), w[0]))),
        "faults": history["faults"],
        "length": history["length"],
    }
