"""What a fleet without owners, limits and verdicts of its own does: the figures that later parts are held
against. From histories alone, as the judge."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from opalwick.lab.fleet.judge import GroundTruth, quantile

FRESH = 1.0  # seconds: the decision module uses no older sums
LOOK = 250_000  # us between two looks at what a member holds


def _windows(history: dict[str, Any], kind: str) -> list[tuple[int, int]]:
    return [(round(a * 1e6), round(b * 1e6)) for name, a, b in history["faults"] if name == kind]


def sums(history: dict[str, Any]) -> dict[str, float] | None:
    """Of the sums of what is in flight in a zone: how long most members that run had none, in seconds and
    over the zones; how long they told two keepers; and the share of all looks that found none."""
    rows = [row for row in history["fleet"]["rows"] if row[1] == "holds" and row[3] == "sums"]
    if not rows:
        return None
    looks: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for at, _, _member, _, zone, keeper, age, _share in rows:
        looks[at // LOOK, zone].append((age, keeper))
    none = two = longest = 0
    spans: dict[int, int] = defaultdict(int)
    for (_, zone), held in sorted(looks.items()):
        lacking = sum(age >= FRESH for age, _ in held) > len(held) / 2
        none += lacking
        spans[zone] = spans[zone] + 1 if lacking else 0
        longest = max(longest, spans[zone])
        two += len({keeper for age, keeper in held if age < FRESH}) > 1
    ages = [row[6] for row in rows]
    return {
        "zone_without_s": round(none * LOOK / 1e6, 2),
        "longest_without_s": round(longest * LOOK / 1e6, 2),
        "two_keepers_s": round(two * LOOK / 1e6, 2),
        "looks_without": round(sum(age >= FRESH for age in ages) / len(ages), 4),
        "age_p50_s": quantile([age for age in ages if age < FRESH], 0.5),
        "age_p99_s": quantile([age for age in ages if age < FRESH], 0.99),
    }


def _hand_offs(history: dict[str, Any]) -> list[tuple[int, str, str]]:
    """When, at which worker, by which scheduler."""
    asked, found = {}, []
    for at, what, *fields in history["rows"]:
        if what == "asked":
            asked[fields[0]] = fields[2]
        elif what == "arrived" and fields[1] in asked:
            found.append((at, fields[2], asked[fields[1]]))
    return found


def bad_workers(history: dict[str, Any], hand_offs: list[tuple[int, str, str]]) -> dict[str, float] | None:
    """What went to workers that hang: hand-offs a worker, by how many schedulers, and after a second."""
    hit = [row for row in history["fleet"]["rows"] if row[1] == "hit" and row[2] == "bad_worker"]
    windows = _windows(history, "bad_worker")
    if not hit or not windows:
        return None
    total = late = 0
    who = set()
    names = {(name, at) for at, *_, workers in hit for name in workers}
    for name, began in names:
        end = next((b for a, b in windows if abs(a - began) < 1000), began)
        for at, worker, scheduler in hand_offs:
            if worker == name and began <= at < end:
                total, late = total + 1, late + (at > began + 1_000_000)
                who.add((name, scheduler))
    return {
        "hand_offs": round(total / len(names), 2),
        "schedulers": round(len(who) / len(names), 2),
        "after_a_second": round(late / len(names), 2),
    }


def by_hand(history: dict[str, Any], hand_offs: list[tuple[int, str, str]]) -> dict[str, float] | None:
    """Hand-offs a second to a worker that is out by hand at one scheduler, by the others, and by that one."""
    spans: dict[str, list[int]] = {}
    for at, what, *fields in history["fleet"]["rows"]:
        if what == "by_hand":
            by, worker, out = fields
            if out:
                spans[worker] = [at + 500_000, at + 500_000, by]
            elif worker in spans:
                spans[worker][1] = max(at, spans[worker][0])
    seconds = sum(end - begin for begin, end, _ in spans.values()) / 1e6
    if not seconds:
        return None
    others = own = 0
    for at, worker, scheduler in hand_offs:
        if worker in spans and spans[worker][0] <= at < spans[worker][1]:
            mine = scheduler == f"s{spans[worker][2]}"
            own, others = own + mine, others + (not mine)
    return {"others_a_s": round(others / seconds, 3), "own_a_s": round(own / seconds, 3)}


def cold_workers(history: dict[str, Any]) -> dict[str, float] | None:
    """By what share of the most that it bears all together pushed a cold worker, at most in each."""
    most: dict[str, float] = {}
    for row in history["fleet"]["rows"]:
        if row[1] == "pushed":
            most[row[2]] = max(most.get(row[2], 0.0), row[3])
    if not most:
        return None
    return {"p50": quantile(list(most.values()), 0.5), "max": max(most.values()), "workers": len(most)}


def recovered(history: dict[str, Any]) -> dict[str, float] | None:
    """Seconds after each start in the day until a member has fresh sums of some zone."""
    truth, times = GroundTruth(history["fleet"]), []
    held: dict[int, list[int]] = defaultdict(list)
    for row in history["fleet"]["rows"]:
        if row[1] == "holds" and row[3] == "sums" and row[6] < FRESH:
            held[row[2]].append(row[0])
    for member, incarnations in enumerate(truth.incarnations):
        for begin, end, _ in incarnations[1:]:
            after = next((at for at in held[member] if begin < at < end), None)
            if after is not None:
                times.append((after - begin) / 1e6)
    return {"p50": quantile(times, 0.5), "max": max(times)} if times else None


def measures(history: dict[str, Any]) -> dict[str, Any]:
    hand_offs = _hand_offs(history)
    return {
        "sums": sums(history),
        "sums_after_start_s": recovered(history),
        "cold_pushed": cold_workers(history),
        "bad_worker": bad_workers(history, hand_offs),
        "by_hand": by_hand(history, hand_offs),
    }
