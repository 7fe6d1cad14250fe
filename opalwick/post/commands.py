"""`opalwick post`: what operators of the post call.

Exit codes: 0 fine; 1 what was asked for is not so (a plan that is short, configurations that differ, a
message that nobody knows); 2 what was given is faulty, or nobody answers.
"""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote

from cyclopts import App, CycloptsError

from opalwick.post.asking import At, Json, Place, Problem, ask_all, day, everybody, facts, given, table, told
from opalwick.post.asking import ask as ask
from opalwick.post.maintenance.commands import maintenance
from opalwick.post.settings import Faulty, parse

FAULTS = 100  # of a configuration that are told
NO, FAULTY = 1, 2

app = App(
    name="opalwick post",
    help_format="plaintext",
    version_flags=[],
    help="Checks, plans, asks and replays the post: the ingest and dispatch service.",
)
dead = App(name="dead", help="Messages that ended without a success, as the depots keep them.")
config = App(name="config", help="The configuration in force.")
plans = App(name="plan", help="Whether what is planned bears what is asked of it.")
for part in (dead, config, plans, maintenance):
    app.command(part)
# the library finds the module when it is called for
app.command(
    "opalwick.post.home.commands:home", name="home", help="Where partners' work may be, and where it is."
)


def merged(answers: dict[Place, Any]) -> dict[str, Any]:
    """One picture of what all say; `look` names what should not be so."""
    said = sorted(
        (one for one in answers.values() if isinstance(one, dict)),
        key=lambda one: (one["role"], one["zone"], one["node"]),
    )
    known = {node["node"]: node for one in said for node in one["directory"]}
    here = {one["node"]: one for one in said}
    silent = {where[0]: one for where, one in answers.items() if not isinstance(one, dict)}
    of = {role: [one for one in said if one["role"] == role] for role in ("counter", "depot", "office")}
    look = [
        f"{node['node']} ({node['role']}, {node['zone']}) does not answer: {silent[node['ip']]}"
        for node in known.values()
        if node["node"] not in here and node["ip"] in silent
    ]
    newest = max((one["conf"] for one in said), default=0)
    for one in said:
        lives = {n["life"] for other in said for n in other["directory"] if n["node"] == one["node"]}
        if max(lives, default=0) > one["life"]:
            look.append(f"{one['node']}: others have heard a newer life of it")
        if one["conf"] < newest:
            look.append(f"{one['node']} is at configuration {one['conf']}, others at {newest}")
    for one in of["counter"]:
        look += [f"{one['node']} is not ready: {why}" for why in one["why_not"]]
    for one in of["depot"]:
        if not one["settled"]:
            look.append(
                f"{one['node']} has not settled: it awaits "
                f"{', '.join(one['awaits'] + one['unheard']) or 'its time'}"
            )
        if one["room"] and one["octets"] > 0.8 * one["room"]:
            look.append(f"{one['node']} has {one['octets'] / one['room']:.0%} of its room taken")
    primaries = [one["node"] for one in of["office"] if one["active"]]
    if of["office"] and len(primaries) != 1:
        look.append(f"active primaries among the offices that answer: {', '.join(primaries) or 'none'}")
    look += [f"{one['node']} has lost its disk and does not vote yet" for one in of["office"] if one["blank"]]
    desks: dict[str, dict[str, Any]] = {}
    ceilings: dict[str, dict[str, Any]] = {}
    for one in of["counter"]:
        for name, desk in one["desks"].items():
            total = desks.setdefault(
                name,
                dict.fromkeys(("queue", "jobs", "out", "blocks", "firsts", "copies", "cancels"), 0)
                | {"workers": {}},
            )
            for key in total.keys() - {"workers"}:
                total[key] += desk[key] or 0
            for worker in desk["workers"]:
                total["workers"].setdefault(worker["state"], set()).add(worker["id"])
        for svc, ceiling in one["ceilings"].items():
            total = ceilings.setdefault(svc, {"rate": ceiling["rate"], "holders": [], "wants": 0})
            total["wants"] += ceiling["wants"]
            if ceiling["here"]:
                total["holders"].append(one["node"])
    for svc, total in ceilings.items():
        if len(total["holders"]) > 1:
            look.append(f"the ceiling of {svc} is held by {', '.join(total['holders'])}")
    for name, desk in desks.items():
        desk["workers"] = {state: len(ids) for state, ids in sorted(desk["workers"].items())}
        if desk["queue"] + desk["jobs"] and not desk["workers"].get("ready"):
            look.append(f"{name}: messages wait, and no counter has a worker in use")
    office = next((one for one in of["office"] if one["active"]), None)
    return {
        "nodes": [
            {
                "node": name,
                "role": node["role"],
                "zone": node["zone"],
                "ip": node["ip"],
                "life": here[name]["life"] if name in here else node["life"],
                "answers": name in here,
                "conf": here[name]["conf"] if name in here else None,
            }
            for name, node in sorted(known.items(), key=lambda n: (n[1]["role"], n[1]["zone"], n[0]))
        ],
        "primary": office and {key: office[key] for key in ("node", "epoch", "view", "conf", "duties")},
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
            for one in of["depot"]
        ],
        "counters": [
            {key: one[key] for key in ("node", "ready", "held", "keeping", "oldest_due")}
            | {
                "ends": one["ends"]["waiting"],
                "permits": {key: one["figures"].get(key, 0) for key in ("granted", "used_here", "late")},
            }
            for one in of["counter"]
        ],
        "oldest_due": max((one["oldest_due"] for one in of["depot"]), default=0.0),
        "desks": desks,
        "ceilings": ceilings,
        "look": look,
    }


# ---- files


def kind(text: str) -> str:
    """What a file is, by its content: JSON, TOML or lines a.b=value."""
    if text.lstrip().startswith("{"):
        return "json"
    if re.search(r"(?m)^\s*(\[+[A-Za-z]|build\s*=)", text):
        return "toml"
    return "json" if text.lstrip().startswith("[") else "settings"


def configuration_faults(text: str, name: str) -> list[str]:
    """All there are: after each, a value that will do takes the faulty one's place, and it is read again."""
    from returns.result import Success

    from opalwick.post.configuration import check

    faults: list[str] = []
    body = text.encode()
    while len(faults) < FAULTS:
        match check(body):
            case Success(_):
                return faults
            case failure:
                why = str(failure.failure())
        where = re.match(r"(?:routing|backends|caps|gen)[^ ]*", why)
        try:
            whole = json.loads(text if not faults else body)
        except (ValueError, RecursionError) as problem:
            line = getattr(problem, "lineno", 0)
            return [*faults, f"{name}:{line}: {why}" if line else f"{name}: {why}"]
        faults.append(f"{name}: {why}")
        if where is None or not isinstance(whole, dict):
            return faults
        mend(whole, re.findall(r"\w+", where[0]), why, len(faults))
        body = json.dumps(whole).encode()
    return [*faults, f"{name}: there may be more"]


def mend(whole: dict[str, Any], way: list[str], why: str, serial: int) -> None:
    """A value that will do where `way` leads to."""
    top, *rest = way
    free = {"name": f"mended-{serial}", "stem": f"/mended-{serial}/", "vhost": "mended", "limit_ms": 1}
    if "have the same" in why:  # the second of the two, which stands last
        found = re.findall(r"(routing|backends)\[(\d+)\]", why)[-1]
        whole[found[0]][int(found[1])]["name" if "same name" in why else "stem"] = (
            free["name"] if "same name" in why else free["stem"]
        )
    elif not rest:
        whole[top] = {"gen": 1, "caps": {}}.get(top, [])
    elif top == "caps":
        whole[top].pop(rest[0], None)
    elif len(rest) == 1:
        whole[top][int(rest[0])] = {"name": free["name"]} | (
            {} if top == "backends" else free | {"svc": known(whole, serial)}
        )
    else:
        one, key = whole[top][int(rest[0])], rest[1]
        if top == "routing" and key == "svc":
            one[key] = known(whole, serial)
        elif key in free:
            one[key] = free[key]
        else:
            one.pop(key, None)


def known(whole: dict[str, Any], serial: int) -> str:
    """A service's name, made if need be."""
    backends = whole.setdefault("backends", [])
    for one in backends if isinstance(backends, list) else []:
        if isinstance(one, dict) and isinstance(one.get("name"), str) and one["name"]:
            return str(one["name"])
    whole["backends"] = [*(backends if isinstance(backends, list) else []), {"name": f"mended-{serial}"}]
    return f"mended-{serial}"


@app.command
def check(file: str, /) -> int:
    """Reads a file as it would be read, and names every fault, with its line or field.

    Parameters
    ----------
    file
        a settings file, a deploy file (TOML) or an operator's configuration (JSON), told by its content
    """
    from opalwick.post import plan

    text = given(file)
    match kind(text):
        case "toml":
            roles = plan.deploy(text, file)
            print(f"{file}: a deploy file: {', '.join(f'{r.name} on {r.on}' for r in roles)}")
        case "json":
            if faults := configuration_faults(text, file):
                raise Problem("\n".join(faults))
            whole = json.loads(text)
            print(
                f"{file}: configuration {whole['gen']}: {len(whole['routing'])} routes, "
                f"{len(whole['backends'])} services"
            )
        case _:
            found = parse(text, file)
            print(
                f"{file}: settings of {found.node} in {found.zone}: serves "
                f"{', '.join(found.serves) or 'nobody'}, links on {found.ip}:{found.ports[0]}, "
                f"operators on {found.ip}:{found.ports[0] + 1}"
            )
    return 0


@app.command
def status(*, at: At = "", json: Json = False) -> int:
    """Asks one process, and all others that it and they know: who is there, and what all hold."""
    found = merged(everybody(at))
    if told(found, json):
        return NO if found["look"] else 0
    table("who is there", [node | {"life": day(node["life"])} for node in found["nodes"]])
    if (first := found["primary"]) is not None:
        print(
            f"primary: {first['node']}, epoch {first['epoch']}, configuration {first['conf']}, members "
            f"{', '.join(first['view']['members'])}, voters {', '.join(first['view']['voters'])}\n"
        )
    table("depots", found["depots"])
    table("counters", found["counters"])
    table("desks", [{"service": name, **desk} for name, desk in sorted(found["desks"].items())])
    table("ceilings", [{"service": name, **one} for name, one in sorted(found["ceilings"].items())])
    print(f"oldest undelivered: due for {found['oldest_due']} s")
    for line in found["look"]:
        print(f"look: {line}")
    return NO if found["look"] else 0


@app.command
def message(id: str, /, *, at: At = "", json: Json = False) -> int:
    """Where one message is, what was tried, and why it waits, as each process that knows it sees it.

    Parameters
    ----------
    id
        its X-Msg-Id; or its X-Request-Id, while a counter holds it
    """
    answers = ask_all(everybody(at), f"/message/{quote(id, safe='')}")
    found = [said for status, said in answers.values() if status == 200]
    if not told(found, json):
        for one in found:
            facts(one)
            print()
        for status, said in answers.values():
            if status == 0:
                print(f"no answer from {said}")
        if not found:
            print("nobody that answers knows it")
    return 0 if found else NO


def of_role(role: str, at: str) -> list[Place]:
    found = [where for where, one in everybody(at).items() if isinstance(one, dict) and one["role"] == role]
    if not found:
        raise Problem(f"no {role} answers")
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
    answers = ask_all(of_role("depot", at), f"/dead?route={quote(route)}&after={quote(after)}")
    pages = [said for status, said in answers.values() if status == 200]
    found = {one["id"]: one for page in pages for one in page["dead"]}
    # what lies beyond the shortest page may be on a further one of that depot
    edge = min((page["last"] for page in pages if page["more"]), default="")
    shown = [found[id] for id in sorted(found) if not edge or id <= edge]
    if not told({"dead": shown, "after": edge}, json):
        table(
            "dead messages",
            [
                {
                    key: one[key]
                    for key in ("id", "route", "host", "target", "octets", "fails", "lost", "cause")
                }
                for one in shown
            ],
        )
        print(f"{len(shown)} messages" + (f"; more with --after {edge}" if edge else ""))
        for status, said in answers.values():
            if status != 200:
                print(f"not all were asked: {said}")
    return 0


@dead.command(name="show")
def dead_show(id: str, /, *, at: At = "", json: Json = False) -> int:
    """One dead message whole: its fields and its octets (base64).

    Parameters
    ----------
    id
        its name
    """
    answers = ask_all(of_role("depot", at), f"/dead/{quote(id, safe='')}")
    found = next((said for status, said in answers.values() if status == 200), None)
    if found is None:
        print("no depot that answers has it among its dead")
        return NO
    if not told(found, json):
        facts(found)
    return 0


def in_force(at: str) -> dict[str, Any]:
    answers = [said for status, said in ask_all(of_role("office", at), "/conf").values() if status == 200]
    if not answers:
        raise Problem("no office answers")
    return max(answers, key=lambda one: (one["in_force"], one["gen"]))


@config.command
def show(*, at: At = "") -> int:
    """Prints the configuration as it was sent; where no primary answers, the newest that an office keeps."""
    found = in_force(at)
    if not found["in_force"]:
        print(f"no primary answers: this is what {found['node']} ({found['state']}) keeps", file=sys.stderr)
    if found["conf"] is None:
        print("there is no configuration", file=sys.stderr)
        return NO
    print(json.dumps(found["conf"], indent=1))
    return 0


def differences(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """What the new one changes: routes and services by name, fields one by one."""
    said = []
    for top in ("gen", "caps"):
        if old.get(top) != new.get(top):
            said.append(f"{top}: {old.get(top)} -> {new.get(top)}")
    for top in ("routing", "backends"):
        before, after = ({one["name"]: one for one in whole.get(top, [])} for whole in (old, new))
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                said.append(f"{top} {name}: dropped")
            elif name not in before:
                said.append(f"{top} {name}: new {after[name]}")
            else:
                a, b = before[name], after[name]
                said += [
                    f"{top} {name}.{key}: {a.get(key)} -> {b.get(key)}"
                    for key in sorted(a.keys() | b.keys())
                    if a.get(key) != b.get(key)
                ]
    return said


@config.command
def diff(file: str, /, *, at: At = "") -> int:
    """What a configuration would change; exit code 1 where it changes something.

    Parameters
    ----------
    file
        an operator's configuration (JSON)
    """
    text = given(file)
    if faults := configuration_faults(text, file):
        raise Problem("\n".join(faults))
    said = differences(in_force(at)["conf"] or {}, json.loads(text))
    for line in said:
        print(line)
    return NO if said else 0


@plans.command(name="deploy")
def plan_deploy(file: str, site: str, /) -> int:
    """Whether a deploy file bears what the site's `survive` says; exit code 1 where a number is short.

    Parameters
    ----------
    file
        the deploy file (TOML)
    site
        a site file (TOML), or a settings file: one machine of each class in each zone is taken then
    """
    from opalwick.post import plan

    roles, text = plan.deploy(given(file), file), given(site)
    where = plan.site(text, site) if kind(text) == "toml" else plan.told(parse(text, site))
    if where.assumed:
        print(
            f"{site} is a settings file: one machine of each class is taken in each of "
            f"{len(where.zones)} zones"
        )
    lines = plan.plan(roles, where)
    table(
        "plan",
        [
            {
                "": "ok" if line.ok else "SHORT",
                "what": line.what,
                "has": line.has,
                "needs": line.needs,
                "why": line.why,
            }
            for line in lines
        ],
    )
    return 0 if all(line.ok for line in lines) else NO


@app.command
def runs(*logs: str, most: int = 20) -> int:
    """Which messages were sent to a worker again, and why, from the logs of processes started with --trace.

    Exit code 1 where one was sent again after a success that was read.

    Parameters
    ----------
    logs
        A file for each process; or one of all, with the process' name before each line.
    most
        Repeats that are shown of each cause.
    """
    from opalwick.post.runs import Cause, Event, read_events, repeats

    if not logs:
        raise Problem("no log is given")
    events = list[Event]()
    for name in logs:
        try:
            with open(name, errors="replace") as log:
                events += read_events(log, Path(name).stem)
        except OSError as problem:
            raise Problem(f"{name}: {problem.strerror}") from problem
    found = repeats(events)
    for cause in Cause:
        of_cause = [repeat for repeat in found if repeat.cause is cause]
        print(f"{len(of_cause)} {cause.value}")
        for repeat in of_cause[:most]:
            print(f"    {repeat}")
    return NO if any(repeat.cause is Cause.READ_SUCCESS for repeat in found) else 0


@app.command
def replay(trace: str, /) -> int:
    """Plays a recorded trace through the state machines, and prints what each step returns, a line each.

    Parameters
    ----------
    trace
        JSON lines, as docs/operate/post-trace.jsonl
    """
    from opalwick.post.replay import BadTrace, play

    try:
        for step in play(given(trace).split("\n"), trace):
            print(json.dumps(step))
    except BadTrace as problem:
        raise Problem(str(problem)) from None
    return 0


def run(arguments: list[str]) -> int:
    try:
        code = app(arguments, exit_on_error=False, print_error=True, result_action="return_value")
    except CycloptsError:  # it has been told
        return FAULTY
    except (Problem, Faulty) as problem:
        for line in str(problem).split("\n"):
            print(f"opalwick: {line}", file=sys.stderr)
        return FAULTY
    except ModuleNotFoundError as problem:
        print(
            f"opalwick: {problem.name} is missing: pip install 'opalwick[post]', or -r requirements-post.txt",
            file=sys.stderr,
        )
        return FAULTY
    except BrokenPipeError:  # who read it has gone
        sys.stderr.close()
        return 0
    return code if isinstance(code, int) else 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
