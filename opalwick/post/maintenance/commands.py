"""`opalwick post maintenance`: plans, starts, watches, controls and reports a maintenance window."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter

from opalwick.post.command_helpers import (
    Address,
    At,
    CommandError,
    Json,
    fetch_statuses,
    print_json,
    print_table,
    read_file,
    send_request,
)
from opalwick.post.settings import parse_endpoint

EXIT_FAILED = 1
Record = Annotated[str, Parameter(help="Appends each status to this file, as a JSON line.")]
POLL_INTERVAL = 1.0  # s between the polls of `watch`, about as often as a rack's state may change
WATCH_TIMEOUT = 30.0  # s until `watch` gives up without an answer: a new primary is elected within 2 s
OVER = ("done", "aborted")

maintenance = App(name="maintenance", help="Takes racks down in turn while capacity stays sufficient.")


def declared(file: str) -> Any:
    """Parses a declaration; raises Problem with file, line and key."""
    from returns.result import Success

    from opalwick.post.maintenance.racks import parse

    found = parse(read_file(file), file)
    if not isinstance(found, Success):
        raise CommandError(str(found.failure()))
    return found.unwrap()


def fleet(answers: dict[Address, Any]) -> Any:
    """The planner's snapshot of the fleet from the statuses of all processes; raises Problem."""
    from opalwick.post.maintenance.fleet import Fleet, LiveWorker, Machine

    statuses = [one for one in answers.values() if isinstance(one, dict)]
    office = next((one for one in statuses if one["role"] == "office" and one["active"]), None)
    if office is None:
        raise CommandError("no active primary answers")
    units = tuple(
        LiveWorker(w["id"], w["svc"], w["zone"], w["address"].rpartition(":")[0], w["capacity"])
        for w in office["workers"]
        if w["state"] == "up"
    )
    machines = tuple(
        Machine(one["node"], one["role"], one["zone"], one["life"], one.get("settled", True))
        for one in sorted(statuses, key=lambda one: str(one["node"]))
    )
    demand: dict[str, float] = {}
    for one in statuses:
        for svc, desk in one.get("desks", {}).items():
            demand[svc] = demand.get(svc, 0.0) + (desk["queue"] or 0) + (desk["jobs"] or 0)
    return Fleet(units, machines, len(office["view"]["voters"]), demand)


def offices(answers: dict[Address, Any]) -> list[Address]:
    """The addresses of the controllers' HTTP calls."""
    found = [
        parse_endpoint(one.get("ctl", ""))
        for one in answers.values()
        if isinstance(one, dict) and one["role"] == "office"
    ]
    return [place for place in found if place is not None]


def order(places: list[Address], method: str, path: str, body: bytes | None = None) -> tuple[int, Any]:
    """Calls one controller after the other until one gives a definite answer. Each forwards to the primary.
    Raises Problem if none does.
    """
    last: tuple[int, Any] = 0, "no controller answers"
    for where in places:
        try:
            last = send_request(where, path, method, body)
        except CommandError as problem:
            last = 0, str(problem)
        if last[0] not in (0, 503):
            return last
    raise CommandError(f"{path}: {last[1]}")


def ordered(at: str, what: str, body: bytes | None = None) -> int:
    status, answer = order(offices(fetch_statuses(at)), "POST", f"/maintenance/{what}", body)
    if status == 200:
        return 0
    print(answer.get("err", answer) if isinstance(answer, dict) else answer)
    return EXIT_FAILED


@maintenance.command
def plan(file: str, /, *, at: At = "", json: Json = False) -> int:
    """Shows when racks would go down, by the current fleet; exit code 1 if no plan meets every need.

    Parameters
    ----------
    file
        the declaration (TOML or JSON)
    """
    from opalwick.post.maintenance.planner import NoPlan, Planner

    planner = Planner(declared(file), fleet(fetch_statuses(at)))
    found = planner.plan()
    if isinstance(found, NoPlan):
        if not print_json(
            {
                "why": found.why,
                "sure": found.proven,
                "stands": {rack: [str(one) for one in why] for rack, why in found.blocking.items()},
            },
            json,
        ):
            print(found.why if found.proven else f"{found.why}: no plan was found, but one may exist")
            print_table(
                "needs that prevent it",
                [{"rack": rack, "need": str(one)} for rack, why in found.blocking.items() for one in why],
            )
        return EXIT_FAILED
    if print_json(
        {"steps": found.steps, "seconds": found.seconds, "loss": found.loss, "fair": found.fair}, json
    ):
        return 0
    print_table(
        "steps",
        [
            {"step": i + 1, "racks": list(step), "away": planner.seconds([step])}
            for i, step in enumerate(found.steps)
        ],
    )
    print_table(
        "seconds away, per slot and weight",
        [
            {"tenant": t, "planned": round(loss, 1), "least": round(found.fair[t], 1)}
            for t, loss in found.loss.items()
        ],
    )
    return 0


@maintenance.command
def start(file: str, /, *, at: At = "") -> int:
    """Plans by the current fleet and starts the window.

    Parameters
    ----------
    file
        the declaration (TOML or JSON)
    """
    body = json.dumps(declared(file).json()).encode()
    status, answer = order(offices(fetch_statuses(at)), "PUT", "/maintenance", body)
    if status == 200:
        return 0
    print(answer.get("err", answer) if isinstance(answer, dict) else answer)
    return EXIT_FAILED


@maintenance.command
def pause(*, at: At = "") -> int:
    """Takes no further rack down; racks that are away come back."""
    return ordered(at, "pause")


@maintenance.command
def resume(*, at: At = "") -> int:
    """Continues, without the racks that are away for too long."""
    return ordered(at, "resume")


@maintenance.command
def abort(*, at: At = "") -> int:
    """Requests racks back that are away, and ends the window."""
    return ordered(at, "abort")


@maintenance.command
def back(rack: str, /, *, at: At = "") -> int:
    """Reports a rack as back: it did not go down, or not all of it has returned.

    Parameters
    ----------
    rack
        its name
    """
    return ordered(at, "back", json.dumps({"rack": rack}).encode())


def current(places: list[Address]) -> dict[str, Any]:
    """The status of the current window; raises Problem."""
    status, answer = order(places, "GET", "/maintenance")
    if status != 200:
        raise CommandError(answer["err"] if isinstance(answer, dict) else str(answer))
    return dict(answer)


def line(found: dict[str, Any]) -> str:
    """The status in one line of text."""
    racks = ", ".join(
        f"{name} {one['state']}" + (" (requested back)" if one["recalled"] else "")
        for name, one in found["racks"].items()
        if one["state"] != "waiting"
    )
    waits = f"; waiting: {'; '.join(found['why'])}" if found["why"] else ""
    many = len(found["steps"])
    return f"{found['phase']}, step {min(found['step'] + 1, many)} of {many}: {racks or 'all up'}{waits}"


@maintenance.command
def watch(*, at: At = "", record: Record = "", once: Annotated[bool, Parameter(negative="")] = False) -> int:
    """Shows the progress of the window until it is over; exit code 1 if it was aborted."""
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn

    console = Console(highlight=False, soft_wrap=True)
    before, places, silent = "", offices(fetch_statuses(at)), 0.0
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    ) as progress:
        task = progress.add_task("", total=1.0)
        while True:
            try:
                found, silent = current(places), 0.0
            except CommandError:  # the controller may be in a rack that went down
                if (silent := silent + POLL_INTERVAL) > WATCH_TIMEOUT:
                    raise
                time.sleep(POLL_INTERVAL)
                continue
            if record:
                with Path(record).open("a") as file:
                    file.write(json.dumps({"time": time.time(), **found}) + "\n")
            ended = sum(one["state"] in ("back", "lost") for one in found["racks"].values())
            progress.update(task, completed=ended, total=len(found["racks"]), description=found["window"])
            if (now := line(found)) != before:
                console.print(f"{found['ran_s']:8.1f} s  {now}", markup=False)
                before = now
            if once or found["phase"] in OVER:
                return int(found["phase"] == "aborted")
            time.sleep(POLL_INTERVAL)


@maintenance.command
def report(*, at: At = "", record: str = "", out: str = "", json: Json = False) -> int:
    """Reports what the window did, step by step.

    Parameters
    ----------
    record
        file written by `watch --record`, from which live slots are plotted against needs
    out
        file for an HTML page with plots
    """
    from opalwick.post.maintenance.report import page, parts

    samples = read(record) if record else []
    found = samples[-1] if samples else current(offices(fetch_statuses(at)))
    if out:
        Path(out).write_text(page(found, samples))
    if print_json(
        {
            "window": found["window"],
            "phase": found["phase"],
            "ran_s": found["ran_s"],
            "shares": parts(found),
            "log": found["log"],
        },
        json,
    ):
        return 0
    print(line(found))
    print_table("shares of the outage", parts(found))
    print_table(
        "steps",
        [
            {
                "at": one["at_s"],
                "what": one["what"],
                "racks": one.get("racks", one.get("rack", "")),
                "why": one.get("why", ""),
            }
            for one in found["log"]
        ],
    )
    return 0


def read(file: str) -> list[dict[str, Any]]:
    """The lines of a record; raises Problem."""
    found = []
    for number, text in enumerate(read_file(file).splitlines(), 1):
        try:
            found.append(dict(json.loads(text)))
        except (ValueError, TypeError):
            raise CommandError(f"{file}:{number}: this line is not a record of a window") from None
    return found
