"""Tests known to fail because of a fault that is not yet fixed, as listed in KNOWN-RED.txt.

    known_red.py check       reports invalid lines; exit code 2 if there are any
    known_red.py deselect    prints pytest's options that exclude the listed tests from the main run
    known_red.py run         runs only these and prints each result; exit code 1 if one can't be run

A line is `TEST | CAUSE | ISSUE`: pytest's id of the test, why it fails, the number of the issue. Blank lines
and lines that begin with # are ignored. At most three lines are allowed: a fourth fault must be fixed first.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
LIST = "KNOWN-RED.txt"
MOST = 3
FAILED, FAULTY = 1, 2  # exit codes
PASSES, FAILS = 0, 1  # pytest's


class Red(NamedTuple):
    """An entry of the list."""

    test: str
    cause: str
    issue: str


class Wrong(Exception):
    """The list is invalid; the message has one fault per line."""


def read(path: Path) -> list[Red]:
    """Reads the list; empty if there is no file. Raises Wrong."""
    if not path.exists():
        return []
    found, faults = list[Red](), list[str]()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            faults.append(f"{path.name}:{number}: must be TEST | CAUSE | ISSUE")
        elif "::" not in parts[0]:
            faults.append(f"{path.name}:{number}: {parts[0]!r} is no test's id (FILE::TEST)")
        elif not parts[2].lstrip("#").isdigit():
            faults.append(f"{path.name}:{number}: {parts[2]!r} is no issue's number")
        else:
            found.append(Red(*parts))
    if len(found) > MOST:
        faults.append(f"{path.name}: {len(found)} tests are listed, {MOST} may be")
    if faults:
        raise Wrong("\n".join(faults))
    return found


def run(listed: list[Red], root: Path) -> int:
    """Runs the listed tests, prints each result and returns the exit code."""
    code = 0
    for red in listed:
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", red.test],
            cwd=root,
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode == PASSES:
            result = "passes by now: take its line out"
        elif done.returncode == FAILS:
            result = "still fails"
        else:  # the test doesn't exist or can't be collected
            result, code = f"cannot be run: {done.stdout.strip()[-300:]}", FAILED
        print(f"known red: {red.test}: {result} ({red.cause}; issue {red.issue})")
    return code


def main(arguments: list[str], root: Path = ROOT) -> int:
    if len(arguments) != 1 or arguments[0] not in ("check", "deselect", "run"):
        print(__doc__, file=sys.stderr)
        return FAULTY
    try:
        listed = read(root / LIST)
    except Wrong as error:
        print(error, file=sys.stderr)
        return FAULTY
    if arguments[0] == "deselect":
        print(" ".join(f"--deselect={red.test}" for red in listed))
    elif arguments[0] == "run":
        return run(listed, root)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
