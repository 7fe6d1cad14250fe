"""A fleet's scenario as one HTML page: a row per member over time, faults as bands, leases and beliefs."""

from __future__ import annotations

import html
import json
from collections import defaultdict
from typing import Any

from opalwick.lab.fleet.judge import FOREVER, GroundTruth
from opalwick.lab.report import STYLE, svg

_STATE = {"up": "#cfe3d2", "still": "#e8c15a", "down": "#b03030"}
_OWNERS = ("#29487d", "#7a3b8f", "#2a7f7f", "#a0522d", "#556b2f", "#8b0000")


def _bands(axis: Any, faults: list[list[Any]]) -> None:
    for kind, since, until in faults:
        axis.axvspan(since, until, color="#888888", alpha=0.12, lw=0)
        axis.annotate(
            kind, (since, 1.0), xycoords=("data", "axes fraction"), fontsize=6, va="bottom", rotation=20
        )


def _members(history: dict[str, Any]) -> str:
    """Members that ran, were paused or down; dots: held gone by some member; bars: owners of leases."""
    from matplotlib.figure import Figure

    fleet, truth, end = history["fleet"], GroundTruth(history["fleet"]), history["length"]
    n = fleet["members"]
    figure = Figure(figsize=(11.0, min(30.0, 1.2 + 0.2 * n)))
    axis = figure.subplots()

    def spans(found: list[list[int]]) -> list[tuple[float, float]]:
        return [(a / 1e6, (end if b >= FOREVER else b / 1e6) - a / 1e6) for a, b, *_ in found]

    for i in range(n):
        axis.broken_barh([(0.0, end)], (i - 0.4, 0.8), facecolors=_STATE["down"])
        axis.broken_barh(spans(truth.incarnations[i]), (i - 0.4, 0.8), facecolors=_STATE["up"])
        axis.broken_barh(spans(truth.pauses[i]), (i - 0.4, 0.8), facecolors=_STATE["still"])
    gone = [(row[0] / 1e6, row[4]) for row in fleet["rows"] if row[1] == "believes" and row[5] == "gone"]
    axis.plot([at for at, _ in gone], [whom for _, whom in gone], "k.", ms=3, label="held gone by somebody")
    claims: dict[str, list[tuple[float, float, int]]] = defaultdict(list)
    for row in fleet["rows"]:
        if row[1] == "claims":
            claims[row[4]].append((row[0] / 1e6, min(end, row[6] / 1e6), row[2]))
    for k, (lease, found) in enumerate(sorted(claims.items())):
        colour = _OWNERS[k % len(_OWNERS)]
        for begin, until, member in found:
            axis.broken_barh([(begin, until - begin)], (member - 0.15, 0.3), facecolors=colour)
        axis.plot([], [], color=colour, lw=4, label=f"owns {lease}")
    _bands(axis, history["faults"])
    axis.set_xlim(0, end)
    axis.set_ylim(n - 0.4, -0.6)
    axis.set_yticks(range(n) if n <= 60 else [], [f"s{i}" for i in range(n)] if n <= 60 else [], fontsize=6)
    axis.set_xlabel("s")
    axis.legend(fontsize=7, loc="upper right")
    return svg(figure)


def _aggregates(history: dict[str, Any]) -> str:
    """Age of the load aggregates that members hold, a line per zone: the median and the worst."""
    from matplotlib.figure import Figure

    ages: dict[int, dict[int, list[float]]] = defaultdict(lambda: defaultdict(list))
    for row in history["fleet"]["rows"]:
        if row[1] == "holds" and row[3] == "sums":
            ages[row[4]][row[0] // 250_000].append(min(row[6], 3.0))
    if not ages:
        return ""
    figure = Figure(figsize=(11.0, 2.6))
    axis = figure.subplots()
    for zone, samples in sorted(ages.items()):
        x = [at * 0.25 for at in sorted(samples)]
        [line] = axis.plot(
            x, [sorted(samples[at])[len(samples[at]) // 2] for at in sorted(samples)], label=f"zone {zone}"
        )
        axis.plot(x, [max(samples[at]) for at in sorted(samples)], color=line.get_color(), lw=0.5, ls=":")
    _bands(axis, history["faults"])
    axis.set_xlim(0, history["length"])
    axis.set_ylabel("age of load aggregates, s (3: or more)")
    axis.legend(fontsize=7)
    return "<h2>Load aggregates</h2>" + svg(figure)


def _limits(history: dict[str, Any]) -> str:
    """Total spending, an area per member, against the limit."""
    from matplotlib.figure import Figure

    rows = history["fleet"]["rows"]
    rates = {row[4]: row[5] for row in rows if row[1] == "limit"}
    if not rates:
        return ""
    steps = int(history["length"]) + 1
    figure = Figure(figsize=(11.0, 2.6 * len(rates)))
    axes = figure.subplots(len(rates), 1, squeeze=False)[:, 0]
    for axis, (limit, rate) in zip(axes, sorted(rates.items())):
        spent = [[0.0] * steps for _ in range(history["fleet"]["members"])]
        for row in rows:
            if row[1] == "spent" and row[4] == limit:
                spent[row[2]][min(steps - 1, int(row[0] / 1e6))] += row[5]
        axis.stackplot(range(steps), *spent, step="post")
        axis.axhline(rate, color="#b03030", lw=1)
        _bands(axis, history["faults"])
        axis.set_xlim(0, history["length"])
        axis.set_ylabel(f"{limit}, a second")
    return "<h2>Limits</h2>" + svg(figure)


def page(history: dict[str, Any], report: dict[str, Any]) -> str:
    """The whole HTML page."""
    title, fleet = html.escape(history["title"]), report["fleet"]
    rows = [
        f"<tr class=bad><td>{one['at']:.3f}</td><td class=l>{html.escape(one['property'])}</td>"
        f"<td class=l>{html.escape(one['why'])}</td><td>{one['seen']:g}</td>"
        f"<td>{one['bound']:g} {one['unit']}</td></tr>"
        for one in fleet["broken"][:100]
    ]
    rows += [
        f"<tr class=bad><td>{one['at']:.3f}</td><td class=l>{one['rule']}</td>"
        f"<td class=l>{html.escape(one['why'])}: {one['item']}</td><td></td><td></td></tr>"
        for one in report["breaches"][:100]
    ]
    table = (
        "<tr><th>at s</th><th class=l>what</th><th class=l>what was seen</th><th>seen</th><th>bound</th></tr>"
    )
    figures = {key: value for key, value in fleet.items() if key != "broken"}
    return "\n".join(
        [
            f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>",
            f"<h1>{title}</h1>",
            f"<p>seed {history['seed']}, {history['clock']} clock, {fleet['members']} members; "
            f"figure {report['figure']:.4f}, {report['taken']} work items accepted.</p>",
            f"<p class=bad>Void: {html.escape(report['void'])}</p>" if report["void"] else "",
            f"<h2>Violations</h2><table>{table}{''.join(rows)}</table>" if rows else "<p>No violations.</p>",
            f"<h2>Members</h2>{_members(history)}",
            _aggregates(history),
            _limits(history),
            f"<h2>Figures</h2><pre>{html.escape(json.dumps(figures, indent=1))}</pre>",
        ]
    )
