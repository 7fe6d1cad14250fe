"""`opalwick post home`: the data residency policy, where messages are, and why a partner's or a message's
work waits.
"""

from __future__ import annotations

import json as written
from typing import Any
from urllib.parse import quote

from cyclopts import App

from opalwick.post.commands import (
    NEGATIVE,
    At,
    CommandError,
    Json,
    fetch_statuses,
    print_fields,
    print_json,
    print_table,
    read_file,
    send_requests,
)

home = App(name="home", help="Where partners' messages may be, and where they are.")


def reports(at: str) -> list[dict[str, Any]]:
    """The residency report of each process that answers. Raises Problem if none does."""
    reports = [
        report for status, report in send_requests(fetch_statuses(at), "/home").values() if status == 200
    ]
    if not reports:
        raise CommandError("no process answers")
    return reports


def combined(reports: list[dict[str, Any]]) -> dict[str, Any]:
    """One report from all processes' reports; `look` lists what should not be so."""
    by_role = {
        role: [one for one in reports if one["role"] == role] for role in ("office", "counter", "depot")
    }
    first = max(by_role["office"], key=lambda one: (one["in_force"], one["policy"]), default=None)
    newest = first["policy"] if first is not None else 0
    audited: dict[tuple[int, str, str, str], int] = {}
    for store in by_role["depot"]:
        for row in store["list"]["rows"]:
            key = row["window"], row["home"], row["what"], row["country"]
            audited[key] = audited.get(key, 0) + row["count"]
    faults = [
        f"{one['node']} applies policy {one['policy']}, {newest} is the newest"
        for one in by_role["counter"] + by_role["depot"]
        if one["policy"] != newest
    ]
    faults += [
        f"{one['node']} has no certain country: check its settings"
        for one in by_role["counter"] + by_role["depot"]
        if one["policy"] and not one["country"]
    ]
    faults += [
        f"the guard of {one['node']} has refused {n} at check {door!r}"
        for one in by_role["counter"] + by_role["depot"]
        for door, n in one["refused"].items()
        if n
    ]
    faults += [
        f"{count} {what} of {whose} were in {country or 'no country'} in the window from {window}"
        for (window, whose, what, country), count in sorted(audited.items())
        if whose != country
    ]
    return {
        "policy": newest,
        "said": first["said"] if first is not None else None,
        "zones": first["zones"] if first is not None else {},
        "processes": [
            {key: one[key] for key in ("node", "role", "policy", "country", "passed", "refused")}
            for one in by_role["counter"] + by_role["depot"]
        ],
        "partners": [
            {"node": one["node"], "partner": name, **row}
            for one in by_role["counter"]
            for name, row in sorted(one["partners"].items())
        ],
        "list": [
            dict(zip(("window", "home", "what", "country"), key)) | {"count": n}
            for key, n in sorted(audited.items())
        ],
        "signed": {one["node"]: one["list"]["sha256"] for one in by_role["depot"]},
        "look": faults,
    }


@home.command
def show(*, at: At = "", json: Json = False) -> int:
    """The policy in force, the country of each process, what waits, and where replicas and runs were.

    Exit code 1: something is not at home, or a process applies another policy.
    """
    report = combined(reports(at))
    if print_json(report, json):
        return NEGATIVE if report["look"] else 0
    print(f"policy {report['policy']}" if report["policy"] else "no policy: messages may be anywhere")
    if report["said"] is not None:
        print(written.dumps(report["said"], indent=1))
    print_table(
        "zones", [{"zone": zone, "country": country} for zone, country in sorted(report["zones"].items())]
    )
    print_table("processes", report["processes"])
    print_table("waiting", report["partners"])
    print_table("copies and runs", report["list"])
    print_table(
        "signed", [{"depot": node, "sha256": digest} for node, digest in sorted(report["signed"].items())]
    )
    for line in report["look"]:
        print(f"look: {line}")
    return NEGATIVE if report["look"] else 0


@home.command
def check(file: str, /, *, settings: str = "") -> int:
    """Checks a policy as the controllers would, and names what is wrong.

    Parameters
    ----------
    file
        a policy (JSON)
    settings
        a settings file, for the regions that exist
    """
    from returns.result import Success

    from opalwick.post.residency.policy_file import check as read
    from opalwick.post.settings import parse

    zones = parse(read_file(settings), settings).zones if settings else None
    match read(read_file(file).encode(), zones):
        case Success(found):
            print(
                f"{file}: policy {found.gen}: {len(found.partners)} partners in {len(found.countries)} "
                "countries" + ("" if zones is not None else "; regions were not checked (--settings)")
            )
            return 0
        case failure:
            raise CommandError(f"{file}: {failure.failure()}")


@home.command
def explain(who: str, /, *, at: At = "", json: Json = False) -> int:
    """Where a partner's messages, or one message, may be, where they are, and why they wait.

    Parameters
    ----------
    who
        a partner (its host, route or service), or a message's X-Msg-Id
    """
    report = combined(reports(at))
    partners = (report["said"] or {}).get("partners", [])
    rule = next((p for p in partners if who in (p.get("host"), p.get("route"), p.get("service"))), None)
    if rule is not None:
        summary: dict[str, Any] = {
            "partner": rule,
            "countries": [z for z, c in sorted(report["zones"].items()) if c == rule["home"]],
            "waiting": [row for row in report["partners"] if row["partner"].partition(" ")[2] == who],
            "list": [row for row in report["list"] if row["home"] == rule["home"]],
        }
        if not print_json(summary, json):
            print_fields(
                {
                    "home": rule["home"],
                    "zones": summary["countries"],
                    "without capacity at home": rule.get("short", "wait"),
                }
            )
            print_table("waiting", summary["waiting"])
            print_table("copies and runs of its country", summary["list"])
        return 0
    replies = send_requests(fetch_statuses(at), f"/message/{quote(who, safe='')}")
    seen = [one for status, one in replies.values() if status == 200]
    if not print_json(seen, json):
        for one in seen:
            place = next((p["country"] for p in report["processes"] if p["node"] == one["node"]), "")
            may = one.get("home") or ("any country" if "home" in one else "unknown, as it has ended")
            print_fields(
                {"node": one["node"], "in": place, "may be in": may, "state": one["state"], "why": one["why"]}
            )
            print()
        if not seen:
            print("no partner has that name, and no process that answers has such a message")
    return 0 if seen else NEGATIVE
