"""What the commands of the post share: processes are asked, answers told, files read."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from opalwick.post.settings import endpoint, read

WITHIN = 3.0  # s for one process's answer
ONCE = 16  # that are asked at once

At = Annotated[
    str, Parameter(help="HOST:PORT of any process's operators; else this machine's, by OPALWICK_CONFIG.")
]
Json = Annotated[bool, Parameter(name="--json", negative="", help="As JSON, for programs.")]


class Problem(Exception):
    """Told on standard error; the exit code is 2."""


# ---- asking

Place = tuple[str, int]


def place(at: str) -> Place:
    if at:
        found = endpoint(at, by_number=False)
        if found is None:
            raise Problem(f"--at: must be HOST:PORT, not {at!r}")
        return found
    if not (path := os.environ.get("OPALWICK_CONFIG", "")):
        raise Problem("--at: missing, and OPALWICK_CONFIG names no settings file")
    settings = read(path)
    return settings.ip, settings.ports[0] + 1


def ask(where: Place, path: str, method: str = "GET", body: bytes | None = None) -> tuple[int, Any]:
    """The status and the JSON of the answer; Problem where none comes."""
    call = HTTPConnection(*where, timeout=WITHIN)
    try:
        call.request(method, path, body, {"Connection": "close"})
        answer = call.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, ValueError, HTTPException) as problem:
        raise Problem(f"{where[0]}:{where[1]}: {problem or type(problem).__name__}") from None
    finally:
        call.close()


def ask_all(places: Iterable[Place], path: str) -> dict[Place, tuple[int, Any]]:
    """Status nought and why, where no answer comes."""

    def one(where: Place) -> tuple[int, Any]:
        try:
            return ask(where, path)
        except Problem as problem:
            return 0, str(problem)

    wanted = list(places)
    with ThreadPoolExecutor(ONCE) as pool:
        return dict(zip(wanted, pool.map(one, wanted)))


def everybody(at: str) -> dict[Place, Any]:
    """The status of each process, from the directory of the one that is asked and of those found there; a
    text where there is none."""
    first = place(at)
    status, told = ask(first, "/status")
    if status != 200:
        raise Problem(f"{first[0]}:{first[1]}: {told}")
    found: dict[Place, Any] = {first: told}
    # the same process under the ip that it has in the directory
    same = told["ip"], told["operators"]
    while True:
        new = (
            {
                (node["ip"], told["operators"])
                for one in found.values()
                if isinstance(one, dict)
                for node in one["directory"]
                if not node["gone"]
            }
            - set(found)
            - {same}
        )
        if not new:
            return found
        for where, (status, said) in ask_all(sorted(new), "/status").items():
            found[where] = said if status == 200 else str(said)


# ---- telling


def table(title: str, rows: list[dict[str, Any]]) -> None:
    if not rows:
        return
    from rich.console import Console
    from rich.markup import escape
    from rich.table import Table

    # a pipe has no width: nothing is cut there
    console = Console(width=None if sys.stdout.isatty() else 240, highlight=False)
    shown = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for name in rows[0]:
        shown.add_column(name.replace("_", " "), overflow="fold")
    for row in rows:
        shown.add_row(*(escape(cell(one)) for one in row.values()))
    console.print(shown)
    console.print()


def cell(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key} {cell(one)}" for key, one in value.items())
    if isinstance(value, list):
        return ", ".join(map(cell, value))
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None or value == "" else str(value)


def told(value: Any, as_json: bool) -> bool:
    """Whether it was asked for as JSON, and is done with."""
    if as_json:
        print(json.dumps(value, indent=1))
    return as_json


def day(life: int) -> str:
    """When a life began, by its own clock."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(life / 1000.0))


def facts(value: dict[str, Any]) -> None:
    for key, one in value.items():
        print(f"{key.replace('_', ' ')}: {cell(one)}")


# ---- files


def given(file: str) -> str:
    try:
        return Path(file).read_bytes().decode("utf-8")
    except OSError as problem:
        raise Problem(f"{file}: {problem.strerror or problem}") from None
    except UnicodeDecodeError as problem:
        line = problem.object[: problem.start].count(b"\n") + 1
        raise Problem(f"{file}:{line}: this line is no UTF-8") from None
