"""What a scheduler tells its operators of itself: counts, and the text that holds them."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping

from opalwick.interface import Category

_FINALS = ("fulfilled", "throttled", "faulted")
_ODD = re.compile(r"[^A-Za-z0-9_-]")  # would end a name, or a line


class Counts:
    """Each thing is counted once, where it happens; from nought at the process's start."""

    def __init__(self, categories: Iterable[Category]) -> None:
        self.finals = {category: [0, 0, 0] for category in categories}
        self.relayed = 0  # hand-offs written whole

    def final(self, category: Category, status: int) -> None:
        """An answer that was written, whoever worded it."""
        self.finals[category][0 if status == 200 else 1 if status in (429, 503) else 2] += 1


def text(categories: Mapping[str, Category], counts: Counts, gauges: Mapping[str, int]) -> bytes:
    """A line a figure; names come from the settings alone, never from what clients say."""
    lines = []
    for name, category in categories.items():
        for final, count in zip(_FINALS, counts.finals[category]):
            lines.append(f"svc.operations.{_ODD.sub('_', name)}.{final}:{count}|c\n")
    lines.append(f"svc.relayed:{counts.relayed}|c\n")
    lines += [f"svc.{name}:{value}|g\n" for name, value in gauges.items()]
    return "".join(lines).encode()
