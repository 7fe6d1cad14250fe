"""The results of a run or a sweep as one HTML file that needs nothing beside it."""

from __future__ import annotations

import html
import io
from pathlib import Path
from typing import Any

from opalwick.lab.experiment import interval, label

_COLOURS = {
    "in time": "#3a7d44",
    "late": "#e0a030",
    "deferred": "#7a8fb8",
    "written off": "#b03030",
    "gone": "#999999",
}
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:1100px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.25em .7em;text-align:right}
td:first-child,th:first-child,td.l,th.l{text-align:left}.bad{background:#f6d5d5}svg{max-width:100%;height:auto}"""


def svg(figure: Any) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _over_time(runs: list[dict[str, Any]]) -> str:
    """Policies side by side: outcomes a second, faults shaded."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(5.2 * len(runs), 3.0))
    axes = figure.subplots(1, len(runs), squeeze=False, sharey=True)[0]
    for axis, run in zip(axes, runs):
        s = run["series"]
        x = [i * s["step"] for i in range(len(next(iter(s["over"].values()))))]
        axis.stackplot(
            x,
            *[s["over"][what] for what in _COLOURS],
            labels=list(_COLOURS),
            colors=list(_COLOURS.values()),
            step="post",
        )
        for i, (kind, since, until) in enumerate(s["faults"]):
            axis.axvspan(since, until, color="black", alpha=0.07)
            axis.text(since, axis.get_ylim()[1] * (0.97 - 0.09 * (i % 4)), kind, fontsize=7, va="top")
        axis.set_title(run["task"]["policy"], fontsize=10)
        axis.set_xlabel("s")
        axis.set_xlim(0, s["length"])
    axes[0].set_ylabel("work items a second")
    axes[0].legend(fontsize=7, loc="lower left")
    return svg(figure)


def _latency(runs: list[dict[str, Any]]) -> str:
    from matplotlib.figure import Figure

    names = list(runs[0]["series"]["times"])
    figure = Figure(figsize=(4.2 * len(names), 2.8))
    for axis, name in zip(figure.subplots(1, len(names), squeeze=False)[0], names):
        for run in runs:
            if times := run["series"]["times"][name]:
                axis.plot(
                    [max(t, 0.1) for t in times],
                    [i / len(times) for i in range(len(times))],
                    label=run["task"]["policy"],
                    linewidth=1.2,
                )
        axis.set_xscale("log")
        axis.set_title(name, fontsize=10)
        axis.set_xlabel("ms until finished")
        axis.legend(fontsize=7)
    return svg(figure)


def _workers(run: dict[str, Any]) -> str:
    from matplotlib.figure import Figure

    load = run["series"]["load"]
    if not load:
        return ""
    figure = Figure(figsize=(8.0, min(8.0, 0.8 + 0.18 * len(load))))
    axis = figure.subplots()
    image = axis.imshow(list(load.values()), aspect="auto", interpolation="nearest", cmap="viridis")
    axis.set_yticks(
        range(len(load)) if len(load) <= 40 else [], list(load) if len(load) <= 40 else [], fontsize=6
    )
    axis.set_xlabel("s")
    figure.colorbar(image, label="begun a second")
    return svg(figure)


def _table(groups: dict[tuple[str, str], list[dict[str, Any]]]) -> str:
    rows = [
        "<table><tr><th>day</th><th class=l>policy</th><th>runs</th><th>figure</th><th>95% interval</th>"
        "<th>in time</th><th>deferred</th><th>written off</th><th>p50 ms</th><th>p99 ms</th>"
        "<th>rules broken</th></tr>"
    ]
    for (day, policy), runs in groups.items():
        reports = [run["report"] for run in runs]
        mean, low, high = interval([r["figure"] for r in reports])

        def share(key: str, reports: list[Any] = reports) -> str:
            return f"{sum(r[key] for r in reports) / max(1, sum(r['taken'] for r in reports)):.2%}"

        broken = sum(sum(r["rules"].values()) for r in reports)
        latency = [sum(r["latency_ms"][q] for r in reports) / len(reports) for q in ("p50", "p99")]
        rows.append(
            f"<tr><td>{html.escape(day)}</td><td class=l>{html.escape(policy)}</td><td>{len(runs)}</td>"
            f"<td>{mean:.4f}</td><td>{low:.4f} to {high:.4f}</td>"
            f"<td>{sum(r['in_time'] for r in reports) / len(reports):.4f}</td><td>{share('deferred')}</td>"
            f"<td>{share('written_off')}</td><td>{latency[0]:.0f}</td><td>{latency[1]:.0f}</td>"
            f"<td{' class=bad' if broken else ''}>{broken}</td></tr>"
        )
    return "\n".join([*rows, "</table>"])


def page(runs: list[dict[str, Any]], title: str) -> str:
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for run in sorted(runs, key=lambda run: (label(run["task"]), run["task"]["policy"], run["task"]["seed"])):
        groups.setdefault((label(run["task"]), run["task"]["policy"]), []).append(run)
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(title)}</h1>",
        _table(groups),
    ]
    if void := sorted({run["report"]["void"] for run in runs if run["report"].get("void")}):
        parts.append(f"<p class=bad>Void: {html.escape('; '.join(void))}</p>")
    breaches = [(run, breach) for run in runs for breach in run["report"]["breaches"]]
    if breaches:
        parts.append(
            "<h2>Broken rules</h2><table><tr><th>day, policy, seed</th><th>at s</th><th class=l>rule</th>"
            "<th class=l>what was seen</th></tr>"
        )
        for run, breach in breaches[:100]:
            task = run["task"]
            parts.append(
                f"<tr class=bad><td>{html.escape(label(task))}, {task['policy']}, {task['seed']}</td>"
                f"<td>{breach['at']:.3f}</td><td class=l>{breach['rule']}</td>"
                f"<td class=l>{html.escape(breach['why'])}: {breach['item']} {breach['worker'] or ''}</td>"
                "</tr>"
            )
        parts.append("</table>")
    for day in dict.fromkeys(key[0] for key in groups):
        # the first seed of each policy stands for it; the table has them all
        firsts = [found[0] for key, found in groups.items() if key[0] == day]
        parts += [f"<h2>{html.escape(day)}</h2>", _over_time(firsts), "<h3>Times</h3>", _latency(firsts)]
        ours = next((run for run in firsts if run["task"]["policy"] == "opalwick"), firsts[0])
        parts += [f"<h3>Load by worker, {html.escape(ours['task']['policy'])}</h3>", _workers(ours)]
    return "\n".join(parts)


def write(runs: list[dict[str, Any]], folder: Path) -> Path:
    path = folder / "report.html"
    path.write_text(page(runs, f"opalwick lab: {folder.name}"))
    return path
