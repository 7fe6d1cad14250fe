"""A scheduler's metrics: counters, and their text in statsd format."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping

from opalwick.interface import Category

_FINALS = ("fulfilled", "throttled", "faulted")
_ODD = re.compile(r"[^A-Za-z0-9_-]")  # would end a metric's name, or its line


class Counts:
    """Counters since the start of the process."""

    def __init__(self, categories: Iterable[Category]) -> None:
        self.responses = {category: [0, 0, 0] for category in categories}
        self.attempts_sent = 0  # attempts whose request was completely written

    def count_response(self, category: Category, status: int) -> None:
        """Counts a final response that was written, whichever component produced it."""
        self.responses[category][0 if status == 200 else 1 if status in (429, 503) else 2] += 1


def render(categories: Mapping[str, Category], counts: Counts, gauges: Mapping[str, int]) -> bytes:
    """Renders one metric per line. Names are from the settings only, never from clients' requests."""
    lines = []
    for name, category in categories.items():
        for final, count in zip(_FINALS, counts.responses[category]):
            lines.append(f"svc.operations.{_ODD.sub('_', name)}.{final}:{count}|c\n")
    lines.append(f"svc.relayed:{counts.attempts_sent}|c\n")
    lines += [f"svc.{name}:{value}|g\n" for name, value in gauges.items()]
    return "".join(lines).encode()
