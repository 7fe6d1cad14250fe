"""A one-page summary of a run in Markdown, for a terminal or a file."""

from __future__ import annotations

from collections import Counter
from typing import Any


def quantile(values: list[float], share: float) -> float:
    """Returns the quantile of the values; 0.0 if there are none."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def summary(world: Any, report: dict[str, Any]) -> str:
    """Returns the summary: what clients and workers observed in each second, and which processes and workers
    failed."""
    begin, day = world.begins_at, world.day
    sent: dict[str, float] = {}
    accepted: dict[str, float] = {}
    ran: dict[str, float] = {}
    runs: dict[int, str] = {}
    incidents: list[tuple[float, str]] = []
    statuses = Counter[int]()
    for us, what, *fields in world.ledger.rows:
        at = us / 1e6
        if what == "sent":
            sent[fields[0]] = at
        elif what == "answer":
            statuses[fields[1]] += 1
            if fields[1] == 202:
                accepted[fields[0]] = at
        elif what in ("broke", "silent"):
            statuses[0] += 1
        elif what == "arrived":
            runs[fields[0]] = fields[1]
        elif what == "began":
            ran.setdefault(runs[fields[0]], at)
        elif what in ("up", "down") and at > begin:
            incidents.append((at, f"{fields[0]}'s process {'is there again' if what == 'up' else 'is gone'}"))
        elif what == "gone" and fields[1]:
            incidents.append((at, f"worker {fields[0]} crashed"))
    acks = [accepted[id] - sent[id] for id in accepted]
    waits = [ran[id] - sent[id] for id in accepted if id in ran and not world.wants[id].delay]
    lines = [
        f"# {day.title}",
        "",
        f"{len(world.machines)} processes on this machine, each on a loopback address of its own: "
        f"{day.counters} gateways, {day.depots} stores, {day.offices} controllers; "
        f"{day.rate:g} messages a second for {float(day.length):g} s.",
        "",
        "- "
        + ", ".join(
            f"{key} {report[key]}" for key in ("messages", "accepted", "ended", "waiting", "lost", "doubled")
        ),
        "- answers: " + ", ".join(f"{status or 'none'}: {n}" for status, n in sorted(statuses.items())),
        f"- accept: half within {1e3 * quantile(acks, 0.5):.0f} ms, "
        f"99% within {1e3 * quantile(acks, 0.99):.0f} ms; "
        f"{100 * report['in_aim']:.1f}% of the messages within 80 ms of their first try",
        f"- first run of messages without delay: half within {1e3 * quantile(waits, 0.5):.0f} ms of sending, "
        f"99% within {1e3 * quantile(waits, 0.99):.0f} ms",
        f"- rules broken: {', '.join(sorted({b['rule'] for b in report['broken']})) or 'none'}",
        *([f"- run invalid: {report['void']}"] if report.get("void") else []),
        "",
        "| second | sent | accepted | first runs | incidents |",
        "| --- | --- | --- | --- | --- |",
    ]
    for second in range(int(float(day.length) + float(day.after))):
        low, high = begin + second, begin + second + 1
        counts = [sum(low <= at < high for at in times.values()) for times in (sent, accepted, ran)]
        here = "; ".join(what for at, what in sorted(incidents) if low <= at < high)
        lines.append(f"| {second} | {counts[0]} | {counts[1]} | {counts[2]} | {here} |")
    return "\n".join(lines) + "\n"
