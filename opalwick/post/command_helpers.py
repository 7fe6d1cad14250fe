"""Shared by the commands: requests to processes, output, and reading of files."""

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

from opalwick.post.settings import parse_endpoint, read

TIMEOUT = 3.0  # s for the answer of one process
MAX_PARALLEL = 16  # simultaneous requests

At = Annotated[
    str,
    Parameter(help="HOST:PORT of the operators' server of any process; default: that of OPALWICK_CONFIG."),
]
Json = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON, for programs.")]


class CommandError(Exception):
    """A command fails: printed on standard error, with exit code 2."""


# ---- requests

Address = tuple[str, int]


def resolve_address(at: str) -> Address:
    """The address of `--at`, else that of the settings file of OPALWICK_CONFIG."""
    if at:
        found = parse_endpoint(at, by_number=False)
        if found is None:
            raise CommandError(f"--at: must be HOST:PORT, not {at!r}")
        return found
    if not (path := os.environ.get("OPALWICK_CONFIG", "")):
        raise CommandError("--at: missing, and OPALWICK_CONFIG is not set")
    settings = read(path)
    return settings.ip, settings.ports[0] + 1


def send_request(
    where: Address, path: str, method: str = "GET", body: bytes | None = None
) -> tuple[int, Any]:
    """The status and the JSON body of the answer; raises `CommandError` if there is none."""
    connection = HTTPConnection(*where, timeout=TIMEOUT)
    try:
        connection.request(method, path, body, {"Connection": "close"})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, ValueError, HTTPException) as problem:
        raise CommandError(f"{where[0]}:{where[1]}: {problem or type(problem).__name__}") from None
    finally:
        connection.close()


def send_requests(places: Iterable[Address], path: str) -> dict[Address, tuple[int, Any]]:
    """Status and body by address; status 0 and the reason where there is no answer."""

    def fetch(where: Address) -> tuple[int, Any]:
        try:
            return send_request(where, path)
        except CommandError as problem:
            return 0, str(problem)

    addresses = list(places)
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        return dict(zip(addresses, pool.map(fetch, addresses)))


def fetch_statuses(at: str) -> dict[Address, Any]:
    """The status of each process, found through the directories of all that answer, or the reason for none.

    Raises `CommandError` if the first process does not answer.
    """
    first = resolve_address(at)
    status, body = send_request(first, "/status")
    if status != 200:
        raise CommandError(f"{first[0]}:{first[1]}: {body}")
    found: dict[Address, Any] = {first: body}
    # the first process under its address in the directory
    same = body["ip"], body["operators"]
    while True:
        new = (
            {
                (node["ip"], body["operators"])
                for known in found.values()
                if isinstance(known, dict)
                for node in known["directory"]
                if not node["gone"]
            }
            - set(found)
            - {same}
        )
        if not new:
            return found
        for where, (status, answer) in send_requests(sorted(new), "/status").items():
            found[where] = answer if status == 200 else str(answer)


# ---- output


def print_table(title: str, rows: list[dict[str, Any]]) -> None:
    """Prints rows of equal keys; nothing if there are none."""
    if not rows:
        return
    from rich.console import Console
    from rich.markup import escape
    from rich.table import Table

    # a pipe has no width: wide enough that nothing is cut
    console = Console(width=None if sys.stdout.isatty() else 240, highlight=False)
    table_view = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for name in rows[0]:
        table_view.add_column(name.replace("_", " "), overflow="fold")
    for row in rows:
        table_view.add_row(*(escape(format_cell(one)) for one in row.values()))
    console.print(table_view)
    console.print()


def format_cell(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key} {format_cell(one)}" for key, one in value.items())
    if isinstance(value, list):
        return ", ".join(map(format_cell, value))
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None or value == "" else str(value)


def print_json(value: Any, as_json: bool) -> bool:
    """Prints the value as JSON if `as_json`; returns `as_json`."""
    if as_json:
        print(json.dumps(value, indent=1))
    return as_json


def start_time(incarnation: int) -> str:
    """The start time of a process incarnation, by the clock of its machine (UTC)."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(incarnation / 1000.0))


def print_fields(value: dict[str, Any]) -> None:
    for key, one in value.items():
        print(f"{key.replace('_', ' ')}: {format_cell(one)}")


# ---- files


def read_file(file: str) -> str:
    """The text of a file; raises `CommandError` if it cannot be read or is not UTF-8."""
    try:
        return Path(file).read_bytes().decode("utf-8")
    except OSError as problem:
        raise CommandError(f"{file}: {problem.strerror or problem}") from None
    except UnicodeDecodeError as problem:
        line = problem.object[: problem.start].count(b"\n") + 1
        raise CommandError(f"{file}:{line}: not valid UTF-8") from None
