"""Report of a maintenance window, with plots of live slots against needs and of each tenant's outage."""

from __future__ import annotations

from html import escape
from typing import Any

WIDTH, HEIGHT, MARGIN = 900, 160, 60  # size of a plot and its left margin, in pixels
COLOURS = ("#1b6ca8", "#c2571a", "#3d8b40", "#7a4fa3", "#a02c4c")


def parts(found: dict[str, Any]) -> list[dict[str, Any]]:
    """By tenant: slot-seconds lost, its part of the total, and its fair part by slots and weight, relative to
    the least loss in the plan.
    """
    declared, lost = found["declared"], found["lost"]
    weight: dict[str, float] = {}
    for need in declared["needs"]:
        tenant = need["tenant"] or need["service"]
        weight[tenant] = weight.get(tenant, 0.0) + need["weight"]
    # the least loss per slot and weight, times slots and weight, is the unavoidable loss
    fair = {t: found["fair"].get(t, 0.0) * weight.get(t, 1.0) * slots(found, t) for t in lost}
    whole, due = sum(lost.values()) or 1.0, sum(fair.values()) or 1.0
    return [
        {
            "tenant": t,
            "slot_seconds": round(value, 1),
            "part": round(value / whole, 4),
            "fair": round(fair[t] / due, 4),
            "over": round(value / whole / (fair[t] / due), 3) if fair[t] else None,
        }
        for t, value in sorted(lost.items())
    ]


def slots(found: dict[str, Any], tenant: str) -> float:
    """The live slots of a tenant's services; at least 1."""
    of = {need["service"]: need["tenant"] or need["service"] for need in found["declared"]["needs"]}
    return sum(count for svc, count in found["live"].items() if of.get(svc, svc) == tenant) or 1.0


def steps(points: list[tuple[float, float]], end: float, top: float, colour: str, dash: str = "") -> str:
    """An SVG step line."""

    def x(at: float) -> float:
        return MARGIN + (WIDTH - MARGIN) * at / (end or 1.0)

    def y(value: float) -> float:
        return HEIGHT - 20 - (HEIGHT - 40) * value / (top or 1.0)

    vertices, last = [], None
    for at, value in points:
        if last is not None:
            vertices.append(f"{x(at):.1f},{y(last):.1f}")
        vertices.append(f"{x(at):.1f},{y(value):.1f}")
        last = value
    return (
        f'<polyline fill="none" stroke="{colour}" stroke-width="1.5" stroke-dasharray="{dash}" '
        f'points="{" ".join(vertices)}"/>'
    )


def plot(title: str, lines: list[tuple[str, list[tuple[float, float]], str, str]], end: float) -> str:
    top = max((value for _, points, _, _ in lines for _, value in points), default=1.0) * 1.1
    drawn = "".join(steps(points, end, top, colour, dash) for _, points, colour, dash in lines)
    names = " ".join(f'<tspan fill="{colour}">{escape(name)}</tspan>' for name, _, colour, _ in lines)
    return (
        f'<svg width="{WIDTH}" height="{HEIGHT}"><text x="0" y="14">{escape(title)}: {names}</text>'
        f'<text x="0" y="{HEIGHT - 20}">0</text><text x="0" y="34">{top:.0f}</text>'
        f'<text x="{WIDTH - 60}" y="{HEIGHT - 4}">{end:.0f} s</text>{drawn}</svg>'
    )


def live(samples: list[dict[str, Any]]) -> str:
    """A plot for each service, of live and required slots, and one of the slot-seconds lost."""
    end = max(one["ran_s"] for one in samples)
    found = []
    for need in samples[-1]["declared"]["needs"]:
        svc = need["service"]
        found.append(
            plot(
                svc,
                [
                    ("live slots", [(s["ran_s"], s["live"].get(svc, 0)) for s in samples], COLOURS[0], ""),
                    (
                        "needed",
                        [(s["ran_s"], need["share"] * s["demand"].get(svc, 0.0)) for s in samples],
                        COLOURS[1],
                        "4 3",
                    ),
                ],
                end,
            )
        )
    lost = sorted({t for s in samples for t in s["lost"]})
    found.append(
        plot(
            "slot-seconds away",
            [
                (t, [(s["ran_s"], s["lost"].get(t, 0.0)) for s in samples], COLOURS[i % len(COLOURS)], "")
                for i, t in enumerate(lost)
            ],
            end,
        )
    )
    return "\n".join(found)


def rows(found: list[dict[str, Any]]) -> str:
    """An HTML table."""
    if not found:
        return "<p>none</p>"
    head = "".join(f"<th>{escape(key)}</th>" for key in found[0])
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(value))}</td>" for value in row.values()) + "</tr>"
        for row in found
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def page(found: dict[str, Any], samples: list[dict[str, Any]]) -> str:
    """The report as an HTML page; `samples` is the record of `watch`, or empty."""
    log = [
        {
            "at": one["at_s"],
            "what": one["what"],
            "racks": one.get("racks", one.get("rack", "")),
            "why": "; ".join(one.get("why", [])),
        }
        for one in found["log"]
    ]
    return f"""<!doctype html><meta charset="utf-8"><title>{escape(found["window"])}</title>
<style>body{{font:14px sans-serif;margin:2em}}td,th{{padding:2px 10px;text-align:left}}
text{{font:12px sans-serif}}</style>
<h1>{escape(found["window"])}: {escape(found["phase"])} after {found["ran_s"]:.1f} s</h1>
{live(samples) if samples else "<p>No record given: no plots.</p>"}
<h2>Shares of the outage</h2>{rows(parts(found))}
<h2>Steps</h2>{rows(log)}
"""
