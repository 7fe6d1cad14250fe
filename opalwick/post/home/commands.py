"""`opalwick post home`: the policy, where things are by it, and why a partner's or a message's work waits."""

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

home = App(name="home", help="Where partners' work may be, and where it is.")


def answers(at: str) -> list[dict[str, Any]]:
    """What each process that answers says of homes."""
    found = [said for status, said in send_requests(fetch_statuses(at), "/home").values() if status == 200]
    if not found:
        raise CommandError("nobody answers")
    return found


def picture(found: list[dict[str, Any]]) -> dict[str, Any]:
    """One picture of what all say; `look` names what should not be so."""
    of = {role: [one for one in found if one["role"] == role] for role in ("office", "counter", "depot")}
    first = max(of["office"], key=lambda one: (one["in_force"], one["policy"]), default=None)
    newest = first["policy"] if first is not None else 0
    listed: dict[tuple[int, str, str, str], int] = {}
    for depot in of["depot"]:
        for row in depot["list"]["rows"]:
            key = row["window"], row["home"], row["what"], row["country"]
            listed[key] = listed.get(key, 0) + row["count"]
    look = [
        f"{one['node']} goes by policy {one['policy']}, {newest} is the newest"
        for one in of["counter"] + of["depot"]
        if one["policy"] != newest
    ]
    look += [
        f"{one['node']} is in no country for sure: see its settings"
        for one in of["counter"] + of["depot"]
        if one["policy"] and not one["country"]
    ]
    look += [
        f"the guard of {one['node']} has refused {n} at the door {door!r}"
        for one in of["counter"] + of["depot"]
        for door, n in one["refused"].items()
        if n
    ]
    look += [
        f"{count} {what} of {whose} were in {country or 'nowhere'} in the window from {window}"
        for (window, whose, what, country), count in sorted(listed.items())
        if whose != country
    ]
    return {
        "policy": newest,
        "said": first["said"] if first is not None else None,
        "zones": first["zones"] if first is not None else {},
        "processes": [
            {key: one[key] for key in ("node", "role", "policy", "country", "passed", "refused")}
            for one in of["counter"] + of["depot"]
        ],
        "partners": [
            {"node": one["node"], "partner": name, **row}
            for one in of["counter"]
            for name, row in sorted(one["partners"].items())
        ],
        "list": [
            dict(zip(("window", "home", "what", "country"), key)) | {"count": n}
            for key, n in sorted(listed.items())
        ],
        "signed": {one["node"]: one["list"]["sha256"] for one in of["depot"]},
        "look": look,
    }


@home.command
def show(*, at: At = "", json: Json = False) -> int:
    """The policy in force, who is in which country, what waits, and the list of where copies and runs were.

    Exit code 1: something is not at home, or somebody goes by another policy.
    """
    found = picture(answers(at))
    if print_json(found, json):
        return NEGATIVE if found["look"] else 0
    print(f"policy {found['policy']}" if found["policy"] else "there is no policy: work may be anywhere")
    if found["said"] is not None:
        print(written.dumps(found["said"], indent=1))
    print_table(
        "zones", [{"zone": zone, "country": country} for zone, country in sorted(found["zones"].items())]
    )
    print_table("processes", found["processes"])
    print_table("waiting", found["partners"])
    print_table("copies and runs", found["list"])
    print_table(
        "signed", [{"depot": node, "sha256": digest} for node, digest in sorted(found["signed"].items())]
    )
    for line in found["look"]:
        print(f"look: {line}")
    return NEGATIVE if found["look"] else 0


@home.command
def check(file: str, /, *, settings: str = "") -> int:
    """Reads a policy as it would be read, and names what is wrong.

    Parameters
    ----------
    file
        a policy (JSON)
    settings
        a settings file, for the regions that there are
    """
    from returns.result import Success

    from opalwick.post.home.reading import check as read
    from opalwick.post.settings import parse

    zones = parse(read_file(settings), settings).zones if settings else None
    match read(read_file(file).encode(), zones):
        case Success(found):
            print(
                f"{file}: policy {found.gen}: {len(found.partners)} partners in {len(found.countries)} "
                "countries" + ("" if zones is not None else "; regions were not looked up (--settings)")
            )
            return 0
        case failure:
            raise CommandError(f"{file}: {failure.failure()}")


@home.command
def explain(who: str, /, *, at: At = "", json: Json = False) -> int:
    """Where a partner's work, or one message, may be, where it is, and why it waits.

    Parameters
    ----------
    who
        a partner (its host, route or service), or a message's X-Msg-Id
    """
    found = picture(answers(at))
    partners = (found["said"] or {}).get("partners", [])
    rule = next((p for p in partners if who in (p.get("host"), p.get("route"), p.get("service"))), None)
    if rule is not None:
        said: dict[str, Any] = {
            "partner": rule,
            "countries": [z for z, c in sorted(found["zones"].items()) if c == rule["home"]],
            "waiting": [row for row in found["partners"] if row["partner"].partition(" ")[2] == who],
            "list": [row for row in found["list"] if row["home"] == rule["home"]],
        }
        if not print_json(said, json):
            print_fields(
                {
                    "home": rule["home"],
                    "zones": said["countries"],
                    "while home is short": rule.get("short", "wait"),
                }
            )
            print_table("waiting", said["waiting"])
            print_table("copies and runs of its country", said["list"])
        return 0
    replies = send_requests(fetch_statuses(at), f"/message/{quote(who, safe='')}")
    seen = [one for status, one in replies.values() if status == 200]
    if not print_json(seen, json):
        for one in seen:
            place = next((p["country"] for p in found["processes"] if p["node"] == one["node"]), "")
            may = one.get("home") or ("any country" if "home" in one else "not kept once it has ended")
            print_fields(
                {"node": one["node"], "in": place, "may be in": may, "state": one["state"], "why": one["why"]}
            )
            print()
        if not seen:
            print("no partner has that name, and nobody that answers knows such a message")
    return 0 if seen else NEGATIVE
