"""Figures of a fleet without leases, limits and shared results about workers, as a baseline for those parts.

They are computed from histories alone, as in `judge.py`.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from opalwick.lab.fleet.judge import GroundTruth, quantile

FRESH = 1.0  # seconds: the decision module uses no older aggregates
SAMPLE_PERIOD = 250_000  # us between two samples of the aggregates that a member holds


def _windows(history: dict[str, Any], kind: str) -> list[tuple[int, int]]:
    return [(round(a * 1e6), round(b * 1e6)) for name, a, b in history["faults"] if name == kind]


def aggregates(history: dict[str, Any]) -> dict[str, float] | None:
    """Aggregates of the load in flight in a zone: for how many seconds, over all zones, most running members
    had none, for how many they named two aggregators, and the share of samples without one."""
    rows = [row for row in history["fleet"]["rows"] if row[1] == "holds" and row[3] == "sums"]
    if not rows:
        return None
    samples_by_zone: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for at, _, _member, _, zone, aggregator, age, _share in rows:
        samples_by_zone[at // SAMPLE_PERIOD, zone].append((age, aggregator))
    missing = conflicting = longest = 0
    spans: dict[int, int] = defaultdict(int)
    for (_, zone), samples in sorted(samples_by_zone.items()):
        without = sum(age >= FRESH for age, _ in samples) > len(samples) / 2
        missing += without
        spans[zone] = spans[zone] + 1 if without else 0
        longest = max(longest, spans[zone])
        conflicting += len({aggregator for age, aggregator in samples if age < FRESH}) > 1
    ages = [row[6] for row in rows]
    return {
        "zone_without_s": round(missing * SAMPLE_PERIOD / 1e6, 2),
        "longest_without_s": round(longest * SAMPLE_PERIOD / 1e6, 2),
        "two_keepers_s": round(conflicting * SAMPLE_PERIOD / 1e6, 2),
        "looks_without": round(sum(age >= FRESH for age in ages) / len(ages), 4),
        "age_p50_s": quantile([age for age in ages if age < FRESH], 0.5),
        "age_p99_s": quantile([age for age in ages if age < FRESH], 0.99),
    }


def _attempts(history: dict[str, Any]) -> list[tuple[int, str, str]]:
    """Delivery attempts: when (us), at which worker, by which scheduler."""
    accepted_by, found = {}, []
    for at, what, *fields in history["rows"]:
        if what == "asked":
            accepted_by[fields[0]] = fields[2]
        elif what == "arrived" and fields[1] in accepted_by:
            found.append((at, fields[2], accepted_by[fields[1]]))
    return found


def bad_workers(history: dict[str, Any], attempts: list[tuple[int, str, str]]) -> dict[str, float] | None:
    """Delivery attempts at hanging workers: per worker, by how many schedulers, and those after a second."""
    hit = [row for row in history["fleet"]["rows"] if row[1] == "hit" and row[2] == "bad_worker"]
    windows = _windows(history, "bad_worker")
    if not hit or not windows:
        return None
    total = late = 0
    senders = set()
    names = {(name, at) for at, *_, workers in hit for name in workers}
    for name, began in names:
        end = next((b for a, b in windows if abs(a - began) < 1000), began)
        for at, worker, scheduler in attempts:
            if worker == name and began <= at < end:
                total, late = total + 1, late + (at > began + 1_000_000)
                senders.add((name, scheduler))
    return {
        "hand_offs": round(total / len(names), 2),
        "schedulers": round(len(senders) / len(names), 2),
        "after_a_second": round(late / len(names), 2),
    }


def by_hand(history: dict[str, Any], attempts: list[tuple[int, str, str]]) -> dict[str, float] | None:
    """Attempts a second at workers disabled by an operator at one scheduler: by the others, and by it."""
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
    for at, worker, scheduler in attempts:
        if worker in spans and spans[worker][0] <= at < spans[worker][1]:
            is_own = scheduler == f"s{spans[worker][2]}"
            own, others = own + is_own, others + (not is_own)
    return {"others_a_s": round(others / seconds, 3), "own_a_s": round(own / seconds, 3)}


def cold_workers(history: dict[str, Any]) -> dict[str, float] | None:
    """Highest load on each cold worker, as a share of what it can bear."""
    shares: dict[str, float] = {}
    for row in history["fleet"]["rows"]:
        if row[1] == "pushed":
            shares[row[2]] = max(shares.get(row[2], 0.0), row[3])
    if not shares:
        return None
    return {"p50": quantile(list(shares.values()), 0.5), "max": max(shares.values()), "workers": len(shares)}


def recovered(history: dict[str, Any]) -> dict[str, float] | None:
    """Seconds from each restart of a member until it has fresh aggregates of some zone."""
    truth, times = GroundTruth(history["fleet"]), []
    samples: dict[int, list[int]] = defaultdict(list)
    for row in history["fleet"]["rows"]:
        if row[1] == "holds" and row[3] == "sums" and row[6] < FRESH:
            samples[row[2]].append(row[0])
    for member, incarnations in enumerate(truth.incarnations):
        for begin, end, _ in incarnations[1:]:
            after = next((at for at in samples[member] if begin < at < end), None)
            if after is not None:
                times.append((after - begin) / 1e6)
    return {"p50": quantile(times, 0.5), "max": max(times)} if times else None


def measures(history: dict[str, Any]) -> dict[str, Any]:
    """The report's "today" section of "fleet"."""
    attempts = _attempts(history)
    return {
        "sums": aggregates(history),
        "sums_after_start_s": recovered(history),
        "cold_pushed": cold_workers(history),
        "bad_worker": bad_workers(history, attempts),
        "by_hand": by_hand(history, attempts),
    }
