"""What a window did, as a page with plots: live slots against needs, and who bore how much of the outage."""

from __future__ import annotations

from html import escape
from typing import Any

WIDE, HIGH, LEFT = 900, 160, 60  # of a plot, in pixels
COLOURS = ("#1b6ca8", "#c2571a", "#3d8b40", "#7a4fa3", "#a02c4c")


def parts(found: dict[str, Any]) -> list[dict[str, Any]]:
    """Of each tenant: slot-seconds away, its part of all of them, and the part that its slots and weight make
    fair, as the plan's least has it."""
    declared, lost = found["declared"], found["lost"]
    weight: dict[str, float] = {}
    for need in declared["needs"]:
        tenant = need["tenant"] or need["service"]
        weight[tenant] = weight.get(tenant, 0.0) + need["weight"]
    # the least loss of a tenant over its slots and weight, times these, is what it had to lose
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
    """Of its services, as they are live and away."""
    of = {need["service"]: need["tenant"] or need["service"] for need in found["declared"]["needs"]}
    return sum(count for svc, count in found["live"].items() if of.get(svc, svc) == tenant) or 1.0


def steps(points: list[tuple[float, float]], end: float, most: float, colour: str, dash: str = "") -> str:
    def x(at: float) -> float:
        return LEFT + (WIDE - LEFT) * at / (end or 1.0)

    def y(value: float) -> float:
        return HIGH - 20 - (HIGH - 40) * value / (most or 1.0)

    way, last = [], None
    for at, value in points:
        if last is not None:
            way.append(f"{x(at):.1f},{y(last):.1f}")
        way.append(f"{x(at):.1f},{y(value):.1f}")
        last = value
    return (
        f'<polyline fill="none" stroke="{colour}" stroke-width="1.5" stroke-dasharray="{dash}" '
        f'points="{" ".join(way)}"/>'
    )


def plot(title: str, lines: list[tuple[str, list[tuple[float, float]], str, str]], end: float) -> str:
    most = max((value for _, points, _, _ in lines for _, value in points), default=1.0) * 1.1
    drawn = "".join(steps(points, end, most, colour, dash) for _, points, colour, dash in lines)
    names = " ".join(f'<tspan fill="{colour}">{escape(name)}</tspan>' for name, _, colour, _ in lines)
    return (
        f'<svg width="{WIDE}" height="{HIGH}"><text x="0" y="14">{escape(title)}: {names}</text>'
        f'<text x="0" y="{HIGH - 20}">0</text><text x="0" y="34">{most:.0f}</text>'
        f'<text x="{WIDE - 60}" y="{HIGH - 4}">{end:.0f} s</text>{drawn}</svg>'
    )


def live(samples: list[dict[str, Any]]) -> str:
    """A plot a service: live slots, and what the need asks for."""
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
    if not found:
        return "<p>none</p>"
    head = "".join(f"<th>{escape(key)}</th>" for key in found[0])
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(value))}</td>" for value in row.values()) + "</tr>"
        for row in found
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def page(found: dict[str, Any], samples: list[dict[str, Any]]) -> str:
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
{live(samples) if samples else "<p>no record was given: nothing is drawn</p>"}
<h2>Shares of the outage</h2>{rows(parts(found))}
<h2>Steps</h2>{rows(log)}
"""
