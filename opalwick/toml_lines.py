"""Finds the line of a key in a TOML file."""

from __future__ import annotations

import re


def line_of(text: str, path: list[str | int]) -> int:
    """Line number of a path such as ["faults", 0, "kind"], or of the table that should contain it."""
    table: list[str | int] = []
    counts: dict[str, int] = {}
    best, depth = 1, -1
    for number, line in enumerate(text.splitlines(), 1):
        if matched := re.match(r"\s*\[\[\s*([\w.-]+)\s*\]\]", line):
            counts[matched[1]] = counts.get(matched[1], -1) + 1
            table = [*matched[1].split("."), counts[matched[1]]]
        elif matched := re.match(r"\s*\[\s*([\w.-]+)\s*\]", line):
            table = list(matched[1].split("."))
        elif matched := re.match(r'\s*"?([\w.-]+)"?\s*=', line):
            key_path = [*table, matched[1]]
            if key_path == path[: len(key_path)] and len(key_path) > depth:
                best, depth = number, len(key_path)
            continue
        else:
            continue
        if table == path[: len(table)] and len(table) > depth:
            best, depth = number, len(table)
    return best
