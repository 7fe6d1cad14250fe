"""Implements `python -m opalwick lab post`: runs scenarios or hunts for failures, and prints reports."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import typer

from opalwick.lab.day import BadDay, write
from opalwick.lab.post.day import PostDay, drawn, read
from opalwick.lab.post.run import hunt, run, shrink

DRAWN_ON = "calm"  # the scenario that random faults are added to
SHRUNK = 3  # failing histories that a hunt shrinks, each with another set of violated rules
BROKEN, VOID = 1, 3  # exit codes, the same as those of `lab run`
COUNTS = ("messages", "accepted", "ended", "waiting", "lost", "doubled", "late")


def load_scenario(which: str, seed: int, clock: str = "virtual", on: str = DRAWN_ON) -> PostDay:
    """Returns the named scenario, or a random one for "drawn". Raises BadDay for one that this clock cannot
    run."""
    if clock == "virtual":
        return drawn(read(on), seed) if which == "drawn" else read(which)
    from opalwick.lab.post.sockets.kinds import DRAWN, unsupported_faults

    day = drawn(read(on), seed, DRAWN) if which == "drawn" else read(which)
    if kinds := unsupported_faults(day):
        raise BadDay(f"{which}: --clock sockets cannot bring about {', '.join(kinds)}")
    return day


def line(report: dict[str, Any]) -> str:
    """Returns the summary line of a report."""
    counts = ", ".join(f"{key} {report[key]}" for key in COUNTS)
    return f"{report['day']} (seed {report['seed']}): {counts}, in aim {report['in_aim']:.4f}"


def print_report(report: dict[str, Any], most: int = 10) -> None:
    """Prints a report with at most `most` violations."""
    typer.echo(line(report))
    if report.get("void"):
        typer.echo(f"  void: {report['void']}")
    if "abroad" in report:
        gone = ", ".join(f"{key} {count}" for key, count in report["abroad"].items())
        typer.echo(
            f"  abroad: {gone}; refused {report['refused']}, in aim of clients at home "
            f"{report['at_home']:.4f}, alone {report['alone']:.4f}"
        )
    for breach in report["broken"][:most]:
        message = f" (message {breach['message']})" if breach["message"] else ""
        typer.echo(f"  broken: {breach['rule']} at {breach['at']:.3f} s: {breach['why']}{message}")


def window_totals(reports: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns totals of the scenarios with a maintenance window; empty if there are none."""
    if not reports:
        return {}
    messages = sum(r["messages"] for r in reports)
    return {
        "needs_below": round(sum(r["needs_below"] for r in reports), 3),
        "needs_below_alone": round(sum(r["needs_below_alone"] for r in reports), 3),
        "share_max": max(r["share_max"] for r in reports),
        "in_aim_without": round(sum(r["in_aim_without"] * r["messages"] for r in reports) / messages, 4),
        "phases": [r["phase"] for r in reports],
    }


def totals(reports: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns one report with the totals of all scenarios."""
    messages = sum(r["messages"] for r in reports)
    return {
        "day": ", ".join(r["day"] for r in reports),
        "seed": reports[0]["seed"],
        **{key: sum(r[key] for r in reports) for key in COUNTS},
        "in_aim": round(sum(r["in_aim"] * r["messages"] for r in reports) / messages, 4) if messages else 0.0,
        **window_totals([r for r in reports if "needs_below" in r]),
        "broken": [{"day": r["day"], "seed": r["seed"], **b} for r in reports for b in r["broken"]],
        **residency_totals(reports),
        "seconds": round(sum(r["seconds"] for r in reports), 3),
        **({"void": voids} if (voids := sum(bool(r.get("void")) for r in reports)) else {}),
    }


def residency_totals(reports: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns totals of the scenarios with data residency; empty if there are none."""
    found = [r for r in reports if "abroad" in r]
    if not found:
        return {}
    asked, near = (sum(r[key] for r in found) for key in ("alone_messages", "at_home_messages"))
    good = sum(r["at_home"] * r["at_home_messages"] for r in found)
    return {
        "at_home": round(good / near, 4) if near else None,
        "abroad": {key: sum(r["abroad"][key] for r in found) for key in found[0]["abroad"]},
        "refused": sum(r["refused"] for r in found),
        "alone": round(sum(r["alone"] * r["alone_messages"] for r in found) / asked, 4) if asked else None,
        "recovered_s": max((r["recovered_s"] for r in found if r["recovered_s"] is not None), default=None),
    }


def code_of(broken: int, void: int) -> int:
    """Returns the exit code. A void run proves nothing, whatever rules it violates."""
    return VOID if void else BROKEN if broken else 0


def played(days: list[str], seed: int, as_json: bool, clock: str = "virtual", out: Path | None = None) -> int:
    """Runs and prints scenarios; returns the exit code."""
    reports = []
    for which, day in [
        (which, load_scenario(which, seed, clock)) for which in days
    ]:  # all are read before the first one runs
        place = out / f"{Path(which).stem}-{seed}" if out is not None and clock == "sockets" else None
        reports.append({**run(day, seed, clock, place), "day": which})
        if place is not None:
            (place / "seen.md").write_text(reports[-1]["page"])
            typer.echo(reports[-1]["page"])
        print_report(reports[-1])
    total = totals(reports)
    if as_json:
        typer.echo(json.dumps(total))
    return code_of(len(total["broken"]), total.get("void", 0))


def on_sockets(seed: int, histories: int, as_json: bool) -> int:
    """Runs random scenarios on real processes, one after the other, and returns the exit code."""
    reports = []
    for number in range(seed, seed + histories):
        reports.append({**run(load_scenario("drawn", number, "sockets"), number, "sockets"), "day": "drawn"})
        print_report(reports[-1], 3)
    total = {**totals(reports), "day": "hunt", "histories": histories}
    typer.echo(
        f"{histories} histories on processes in {total['seconds']:.0f} s, "
        f"{sum(bool(r['broken']) for r in reports)} broken, {total.get('void', 0)} void"
    )
    if as_json:
        typer.echo(json.dumps(total))
    counted = [r for r in reports if not r["void"]]
    return code_of(sum(len(r["broken"]) for r in counted), not counted)


def hunted(seed: int, histories: int, jobs: int, out: Path | None, as_json: bool, on: str = DRAWN_ON) -> int:
    """Hunts for failing random scenarios, shrinks and prints them; returns the exit code. `out`: the folder
    for scenario files, or None. Raises BadDay for counts out of range."""
    if histories < 1 or jobs < 0:
        raise BadDay(f"--histories {histories}, --jobs {jobs}: at least 1 history and 0 jobs are needed")
    began, bad, reports = time.perf_counter(), list[dict[str, Any]](), list[dict[str, Any]]()
    for report in hunt(read(on), seed, histories, jobs):
        reports.append({key: value for key, value in report.items() if key != "broken"})
        if report["broken"]:
            bad.append(report)
            first, count = report["broken"][0], len(report["broken"])
            typer.echo(
                f"seed {report['seed']}: {count} broken, {first['rule']} at {first['at']:.3f} s: "
                f"{first['why']} ({', '.join(report['faults'])})"
            )
            if out is not None:
                out.mkdir(parents=True, exist_ok=True)
                (out / f"post-{report['seed']}.toml").write_text(
                    f"# seed {report['seed']}\n" + write(load_scenario("drawn", report["seed"], on=on))
                )
    spent = time.perf_counter() - began
    by_rules = dict[frozenset[str], dict[str, Any]]()
    for report in bad:
        by_rules.setdefault(frozenset(b["rule"] for b in report["broken"]), report)
    for rules, report in list(by_rules.items())[:SHRUNK]:
        number = report["seed"]
        small = shrink(load_scenario("drawn", number, on=on), number, rules=set(rules))
        again = run(small, number)
        typer.echo(f"\n# seed {number}: python -m opalwick lab post FILE --seed {number}")
        typer.echo(write(small))
        print_report(again, 3)
        if out is not None:
            (out / f"post-{number}-small.toml").write_text(f"# seed {number}\n" + write(small))
    typer.echo(
        f"{len(reports)} histories in {spent:.1f} s ({len(reports) / spent:.1f} a second), {len(bad)} broken"
    )
    if as_json:
        total = {key: sum(r.get(key, 0) for r in reports) for key in COUNTS}
        typer.echo(
            json.dumps(
                {
                    "day": "hunt",
                    "seed": seed,
                    "histories": len(reports),
                    **total,
                    "broken": [{"seed": r["seed"], **b} for r in bad for b in r["broken"][:3]],
                    "seconds": round(spent, 3),
                }
            )
        )
    return code_of(len(bad), 0)
