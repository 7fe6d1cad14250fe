"""Tests that are known to fail for a fault which is not mended yet, as KNOWN-RED.txt lists them.

    known_red.py check       faulty lines are named, exit code 2
    known_red.py deselect    pytest's options that leave the listed tests out of the main run
    known_red.py run         runs just these and prints how each ended; exit code 1 where one cannot be run

A line is `TEST | CAUSE | ISSUE`: a test's id as pytest has it, why it fails, the issue's number. Blank lines
and those that begin with # are passed over. Three lines at most: a fourth fault is mended first.
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
    test: str
    cause: str
    issue: str


class Wrong(Exception):
    """What is wrong with the list, a line a fault."""


def read(path: Path) -> list[Red]:
    """None where there is no file."""
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
            said = "passes by now: take its line out"
        elif done.returncode == FAILS:
            said = "still fails"
        else:  # no such test, or it cannot be collected
            said, code = f"cannot be run: {done.stdout.strip()[-300:]}", FAILED
        print(f"known red: {red.test}: {said} ({red.cause}; issue {red.issue})")
    return code


def main(arguments: list[str], root: Path = ROOT) -> int:
    if len(arguments) != 1 or arguments[0] not in ("check", "deselect", "run"):
        print(__doc__, file=sys.stderr)
        return FAULTY
    try:
        listed = read(root / LIST)
    except Wrong as problem:
        print(problem, file=sys.stderr)
        return FAULTY
    if arguments[0] == "deselect":
        print(" ".join(f"--deselect={red.test}" for red in listed))
    elif arguments[0] == "run":
        return run(listed, root)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
