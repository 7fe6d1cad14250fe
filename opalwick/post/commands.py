"""`opalwick post`: the command line for operators of the service.

Exit codes: 0 success; 1 a negative answer (a plan with too few machines, configurations that differ, an
unknown message); 2 invalid input, or no process answers.
"""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote

from cyclopts import App, CycloptsError

from opalwick.post.command_helpers import (
    Address,
    At,
    CommandError,
    Json,
    fetch_statuses,
    print_fields,
    print_json,
    print_table,
    read_file,
    send_requests,
    start_time,
)
from opalwick.post.command_helpers import send_request as send_request
from opalwick.post.maintenance.commands import maintenance
from opalwick.post.settings import InvalidFile, parse

MAX_ERRORS = 100  # of a configuration that are reported
NEGATIVE, INVALID = 1, 2

app = App(
    name="opalwick post",
    help_format="plaintext",
    version_flags=[],
    help="Commands for the ingest and dispatch service: checks, plans, status and replay.",
)
dead = App(name="dead", help="Messages that ended without a success, as kept by the stores.")
config = App(name="config", help="The configuration in force.")
plans = App(name="plan", help="Checks plans against the losses that they must withstand.")
for part in (dead, config, plans, maintenance):
    app.command(part)
# the library imports the module when the command is called
app.command(
    "opalwick.post.residency.commands:home",
    name="home",
    help="Data residency: where work may be, and where it is.",
)


def combined_status(answers: dict[Address, Any]) -> dict[str, Any]:
    """Combines the statuses of all processes; `look` lists what needs attention."""
    statuses = sorted(
        (one for one in answers.values() if isinstance(one, dict)),
        key=lambda one: (one["role"], one["zone"], one["node"]),
    )
    known = {node["node"]: node for one in statuses for node in one["directory"]}
    by_node = {one["node"]: one for one in statuses}
    failures = {where[0]: one for where, one in answers.items() if not isinstance(one, dict)}
    by_role = {
        role: [one for one in statuses if one["role"] == role] for role in ("counter", "depot", "office")
    }
    look = [
        f"{node['node']} ({node['role']}, {node['zone']}) does not answer: {failures[node['ip']]}"
        for node in known.values()
        if node["node"] not in by_node and node["ip"] in failures
    ]
    newest = max((one["conf"] for one in statuses), default=0)
    for one in statuses:
        incarnations = {
            n["life"] for other in statuses for n in other["directory"] if n["node"] == one["node"]
        }
        if max(incarnations, default=0) > one["life"]:
            look.append(f"{one['node']}: others have seen a newer incarnation of it")
        if one["conf"] < newest:
            look.append(f"{one['node']} is at configuration {one['conf']}, others are at {newest}")
    for one in by_role["counter"]:
        look += [f"{one['node']} is not ready: {why}" for why in one["why_not"]]
    for one in by_role["depot"]:
        if not one["settled"]:
            look.append(
                f"{one['node']} has not caught up: it waits for "
                f"{', '.join(one['awaits'] + one['unheard']) or 'the settling time'}"
            )
        if one["room"] and one["octets"] > 0.8 * one["room"]:
            look.append(f"{one['node']} has {one['octets'] / one['room']:.0%} of its space in use")
    primaries = [one["node"] for one in by_role["office"] if one["active"]]
    if by_role["office"] and len(primaries) != 1:
        look.append(f"active primaries among the controllers that answer: {', '.join(primaries) or 'none'}")
    look += [
        f"{one['node']} has lost its disk and does not vote yet" for one in by_role["office"] if one["blank"]
    ]
    dispatchers: dict[str, dict[str, Any]] = {}
    limits: dict[str, dict[str, Any]] = {}
    for one in by_role["counter"]:
        for name, dispatcher in one["desks"].items():
            total = dispatchers.setdefault(
                name,
                dict.fromkeys(("queue", "jobs", "out", "blocks", "firsts", "copies", "cancels"), 0)
                | {"workers": {}},
            )
            for key in total.keys() - {"workers"}:
                total[key] += dispatcher[key] or 0
            for worker in dispatcher["workers"]:
                total["workers"].setdefault(worker["state"], set()).add(worker["id"])
        for svc, limit in one["ceilings"].items():
            total = limits.setdefault(svc, {"rate": limit["rate"], "holders": [], "wants": 0})
            total["wants"] += limit["wants"]
            if limit["here"]:
                total["holders"].append(one["node"])
    for svc, total in limits.items():
        if len(total["holders"]) > 1:
            look.append(f"the rate limit of {svc} is held by more than one: {', '.join(total['holders'])}")
    for name, dispatcher in dispatchers.items():
        dispatcher["workers"] = {state: len(ids) for state, ids in sorted(dispatcher["workers"].items())}
        if dispatcher["queue"] + dispatcher["jobs"] and not dispatcher["workers"].get("ready"):
            look.append(f"{name}: messages are waiting, and no gateway has a worker in use")
    primary = next((one for one in by_role["office"] if one["active"]), None)
    return {
        "nodes": [
            {
                "node": name,
                "role": node["role"],
                "zone": node["zone"],
                "ip": node["ip"],
                "life": by_node[name]["life"] if name in by_node else node["life"],
                "answers": name in by_node,
                "conf": by_node[name]["conf"] if name in by_node else None,
            }
            for name, node in sorted(known.items(), key=lambda n: (n[1]["role"], n[1]["zone"], n[0]))
        ],
        "primary": primary and {key: primary[key] for key in ("node", "epoch", "view", "conf", "duties")},
        "depots": [
            {
                key: one[key]
                for key in (
                    "node",
                    "disk",
                    "settled",
                    "pending",
                    "dead",
                    "waiting_due",
                    "oldest_due",
                    "octets",
                    "room",
                )
            }
            for one in by_role["depot"]
        ],
        "counters": [
            {key: one[key] for key in ("node", "ready", "held", "keeping", "oldest_due")}
            | {
                "ends": one["ends"]["waiting"],
                "permits": {key: one["figures"].get(key, 0) for key in ("granted", "used_here", "late")},
            }
            for one in by_role["counter"]
        ],
        "oldest_due": max((one["oldest_due"] for one in by_role["depot"]), default=0.0),
        "desks": dispatchers,
        "ceilings": limits,
        "look": look,
    }


# ---- files


def file_kind(text: str) -> str:
    """The kind of a file by its content: JSON, TOML or lines key=value."""
    if text.lstrip().startswith("{"):
        return "json"
    if re.search(r"(?m)^\s*(\[+[A-Za-z]|build\s*=)", text):
        return "toml"
    return "json" if text.lstrip().startswith("[") else "settings"


def configuration_errors(text: str, name: str) -> list[str]:
    """All errors: after each, the invalid value is replaced by a valid one, and the file is checked again."""
    from returns.result import Success

    from opalwick.post.configuration import check

    errors: list[str] = []
    body = text.encode()
    while len(errors) < MAX_ERRORS:
        match check(body):
            case Success(_):
                return errors
            case failure:
                why = str(failure.failure())
        where = re.match(r"(?:routing|backends|caps|gen)[^ ]*", why)
        try:
            document = json.loads(text if not errors else body)
        except (ValueError, RecursionError) as problem:
            line = getattr(problem, "lineno", 0)
            return [*errors, f"{name}:{line}: {why}" if line else f"{name}: {why}"]
        errors.append(f"{name}: {why}")
        if where is None or not isinstance(document, dict):
            return errors
        replace_invalid(document, re.findall(r"\w+", where[0]), why, len(errors))
        body = json.dumps(document).encode()
    return [*errors, f"{name}: there may be more errors"]


def replace_invalid(document: dict[str, Any], path: list[str], why: str, serial: int) -> None:
    """Puts a valid value at `path`, so that the next error can be found."""
    top, *rest = path
    valid = {
        "name": f"placeholder-{serial}",
        "stem": f"/placeholder-{serial}/",
        "vhost": "placeholder",
        "limit_ms": 1,
    }
    if "have the same" in why:  # the second of the two, which is named last
        found = re.findall(r"(routing|backends)\[(\d+)\]", why)[-1]
        document[found[0]][int(found[1])]["name" if "same name" in why else "stem"] = (
            valid["name"] if "same name" in why else valid["stem"]
        )
    elif not rest:
        document[top] = {"gen": 1, "caps": {}}.get(top, [])
    elif top == "caps":
        document[top].pop(rest[0], None)
    elif len(rest) == 1:
        document[top][int(rest[0])] = {"name": valid["name"]} | (
            {} if top == "backends" else valid | {"svc": any_service(document, serial)}
        )
    else:
        one, key = document[top][int(rest[0])], rest[1]
        if top == "routing" and key == "svc":
            one[key] = any_service(document, serial)
        elif key in valid:
            one[key] = valid[key]
        else:
            one.pop(key, None)


def any_service(document: dict[str, Any], serial: int) -> str:
    """The name of a service; adds one if there is none."""
    backends = document.setdefault("backends", [])
    for one in backends if isinstance(backends, list) else []:
        if isinstance(one, dict) and isinstance(one.get("name"), str) and one["name"]:
            return str(one["name"])
    document["backends"] = [
        *(backends if isinstance(backends, list) else []),
        {"name": f"placeholder-{serial}"},
    ]
    return f"placeholder-{serial}"


@app.command
def check(file: str, /) -> int:
    """Validates a file and reports every error, with its line or field.

    Parameters
    ----------
    file
        a settings file, a deploy file (TOML) or an operator's configuration (JSON), recognized by its content
    """
    from opalwick.post import plan

    text = read_file(file)
    match file_kind(text):
        case "toml":
            roles = plan.parse_deploy(text, file)
            print(f"{file}: a deploy file: {', '.join(f'{r.name} on {r.on}' for r in roles)}")
        case "json":
            if errors := configuration_errors(text, file):
                raise CommandError("\n".join(errors))
            document = json.loads(text)
            print(
                f"{file}: configuration {document['gen']}: {len(document['routing'])} routes, "
                f"{len(document['backends'])} services"
            )
        case _:
            found = parse(text, file)
            print(
                f"{file}: settings of {found.node} in {found.zone}: serves "
                f"{', '.join(found.serves) or 'nothing'}, links on {found.ip}:{found.ports[0]}, "
                f"operators on {found.ip}:{found.ports[0] + 1}"
            )
    return 0


@app.command
def status(*, at: At = "", json: Json = False) -> int:
    """Shows the processes and their state, found through the directories of the processes that answer."""
    found = combined_status(fetch_statuses(at))
    if print_json(found, json):
        return NEGATIVE if found["look"] else 0
    print_table("processes", [node | {"life": start_time(node["life"])} for node in found["nodes"]])
    if (first := found["primary"]) is not None:
        print(
            f"primary: {first['node']}, epoch {first['epoch']}, configuration {first['conf']}, members "
            f"{', '.join(first['view']['members'])}, voters {', '.join(first['view']['voters'])}\n"
        )
    print_table("stores", found["depots"])
    print_table("gateways", found["counters"])
    print_table("dispatchers", [{"service": name, **desk} for name, desk in sorted(found["desks"].items())])
    print_table("rate limits", [{"service": name, **one} for name, one in sorted(found["ceilings"].items())])
    print(f"oldest undelivered message: due for {found['oldest_due']} s")
    for line in found["look"]:
        print(f"attention: {line}")
    return NEGATIVE if found["look"] else 0


@app.command
def message(id: str, /, *, at: At = "", json: Json = False) -> int:
    """Shows where one message is, its attempts, and why it waits, as each process that has it reports.

    Parameters
    ----------
    id
        its X-Msg-Id; or its X-Request-Id, while a gateway holds it
    """
    answers = send_requests(fetch_statuses(at), f"/message/{quote(id, safe='')}")
    found = [answer for status, answer in answers.values() if status == 200]
    if not print_json(found, json):
        for one in found:
            print_fields(one)
            print()
        for status, answer in answers.values():
            if status == 0:
                print(f"no answer from {answer}")
        if not found:
            print("no process that answers has it")
    return 0 if found else NEGATIVE


def addresses_of_role(role: str, at: str) -> list[Address]:
    found = [
        where for where, one in fetch_statuses(at).items() if isinstance(one, dict) and one["role"] == role
    ]
    if not found:
        raise CommandError(f"no {role} answers")
    return found


@dead.command(name="list")
def dead_list(*, route: str = "", after: str = "", at: At = "", json: Json = False) -> int:
    """Lists dead messages by id, a page at a time, of one route or of all.

    Parameters
    ----------
    route
        its name in the configuration
    after
        only ids after this one
    """
    answers = send_requests(
        addresses_of_role("depot", at), f"/dead?route={quote(route)}&after={quote(after)}"
    )
    pages = [answer for status, answer in answers.values() if status == 200]
    found = {one["id"]: one for page in pages for one in page["dead"]}
    # ids beyond the end of the shortest page may be on a later page of that store
    last = min((page["last"] for page in pages if page["more"]), default="")
    shown = [found[id] for id in sorted(found) if not last or id <= last]
    if not print_json({"dead": shown, "after": last}, json):
        print_table(
            "dead messages",
            [
                {
                    key: one[key]
                    for key in ("id", "route", "host", "target", "octets", "fails", "lost", "cause")
                }
                for one in shown
            ],
        )
        print(f"{len(shown)} messages" + (f"; more with --after {last}" if last else ""))
        for status, answer in answers.values():
            if status != 200:
                print(f"incomplete: {answer}")
    return 0


@dead.command(name="show")
def dead_show(id: str, /, *, at: At = "", json: Json = False) -> int:
    """Shows one dead message: its fields and its body (base64).

    Parameters
    ----------
    id
        its id
    """
    answers = send_requests(addresses_of_role("depot", at), f"/dead/{quote(id, safe='')}")
    found = next((answer for status, answer in answers.values() if status == 200), None)
    if found is None:
        print("no store that answers has it as a dead message")
        return NEGATIVE
    if not print_json(found, json):
        print_fields(found)
    return 0


def configuration_in_force(at: str) -> dict[str, Any]:
    """The configuration in force, or the newest stored; raises `CommandError` if no controller answers."""
    answers = [
        answer
        for status, answer in send_requests(addresses_of_role("office", at), "/conf").values()
        if status == 200
    ]
    if not answers:
        raise CommandError("no controller answers")
    return max(answers, key=lambda one: (one["in_force"], one["gen"]))


@config.command
def show(*, at: At = "") -> int:
    """Prints the configuration as it was sent; if no primary answers, the newest that a controller stores."""
    found = configuration_in_force(at)
    if not found["in_force"]:
        print(
            f"no primary answers: this is the one stored by {found['node']} ({found['state']})",
            file=sys.stderr,
        )
    if found["conf"] is None:
        print("there is no configuration", file=sys.stderr)
        return NEGATIVE
    print(json.dumps(found["conf"], indent=1))
    return 0


def differences(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """The changes from old to new: routes and services by name, field by field."""
    changes = []
    for top in ("gen", "caps"):
        if old.get(top) != new.get(top):
            changes.append(f"{top}: {old.get(top)} -> {new.get(top)}")
    for top in ("routing", "backends"):
        before, after = ({one["name"]: one for one in document.get(top, [])} for document in (old, new))
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                changes.append(f"{top} {name}: removed")
            elif name not in before:
                changes.append(f"{top} {name}: added {after[name]}")
            else:
                a, b = before[name], after[name]
                changes += [
                    f"{top} {name}.{key}: {a.get(key)} -> {b.get(key)}"
                    for key in sorted(a.keys() | b.keys())
                    if a.get(key) != b.get(key)
                ]
    return changes


@config.command
def diff(file: str, /, *, at: At = "") -> int:
    """Shows what a configuration would change; exit code 1 if it changes anything.

    Parameters
    ----------
    file
        an operator's configuration (JSON)
    """
    text = read_file(file)
    if errors := configuration_errors(text, file):
        raise CommandError("\n".join(errors))
    changes = differences(configuration_in_force(at)["conf"] or {}, json.loads(text))
    for change in changes:
        print(change)
    return NEGATIVE if changes else 0


@plans.command(name="deploy")
def plan_deploy(file: str, site: str, /) -> int:
    """Checks a deploy file against the losses of a site's `survive`; exit code 1 if a number is too small.

    Parameters
    ----------
    file
        the deploy file (TOML)
    site
        a site file (TOML), or a settings file: then one machine of each class in each zone is assumed
    """
    from opalwick.post import plan

    roles, text = plan.parse_deploy(read_file(file), file), read_file(site)
    where = (
        plan.parse_site(text, site) if file_kind(text) == "toml" else plan.site_of_settings(parse(text, site))
    )
    if where.assumed:
        print(
            f"{site} is a settings file: one machine of each class is assumed in each of "
            f"{len(where.zones)} zones"
        )
    lines = plan.requirements(roles, where)
    print_table(
        "plan",
        [
            {
                "": "ok" if line.met else "SHORT",
                "what": line.what,
                "has": line.has,
                "needs": line.needs,
                "why": line.why,
            }
            for line in lines
        ],
    )
    return 0 if all(line.met for line in lines) else NEGATIVE


@app.command
def runs(*logs: str, most: int = 20) -> int:
    """Shows which messages were delivered again, and why, from the logs of processes started with --trace.

    Exit code 1 if a message was delivered again after its success had been read.

    Parameters
    ----------
    logs
        A file for each process, or one for all with the process name before each line.
    most
        Maximum number of repeats shown for each cause.
    """
    from opalwick.post.repeats import Cause, Event, read_events, repeats

    if not logs:
        raise CommandError("no log file is given")
    events = list[Event]()
    for name in logs:
        try:
            with open(name, errors="replace") as log:
                events += read_events(log, Path(name).stem)
        except OSError as problem:
            raise CommandError(f"{name}: {problem.strerror}") from problem
    found = repeats(events)
    for cause in Cause:
        of_cause = [repeat for repeat in found if repeat.cause is cause]
        print(f"{len(of_cause)} {cause.value}")
        for repeat in of_cause[:most]:
            print(f"    {repeat}")
    return NEGATIVE if any(repeat.cause is Cause.READ_SUCCESS for repeat in found) else 0


@app.command
def replay(trace: str, /) -> int:
    """Replays a recorded trace through the state machines and prints the result of each step, one per line.

    Parameters
    ----------
    trace
        JSON lines such as docs/operate/post-trace.jsonl
    """
    from opalwick.post.replay import InvalidTrace, play

    try:
        for step in play(read_file(trace).split("\n"), trace):
            print(json.dumps(step))
    except InvalidTrace as problem:
        raise CommandError(str(problem)) from None
    return 0


def run(arguments: list[str]) -> int:
    try:
        code = app(arguments, exit_on_error=False, print_error=True, result_action="return_value")
    except CycloptsError:  # already printed
        return INVALID
    except (CommandError, InvalidFile) as problem:
        for line in str(problem).split("\n"):
            print(f"opalwick: {line}", file=sys.stderr)
        return INVALID
    except ModuleNotFoundError as problem:
        print(
            f"opalwick: {problem.name} is missing: pip install 'opalwick[post]', or -r requirements-post.txt",
            file=sys.stderr,
        )
        return INVALID
    except BrokenPipeError:  # the reader of the output has ended
        sys.stderr.close()
        return 0
    return code if isinstance(code, int) else 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
