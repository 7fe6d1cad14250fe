"""Messages of one service that wait for a worker at home, while those there have no room. No I/O.

What has the lowest `prio` goes first (it stands for worth: nothing else tells of it). Among partners of one
prio each has its turn, so that one with much does not hold up one with little. Of one partner's the oldest
that can still begin in time goes first, then those that are late (`Waiting`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from opalwick.post.counter.desks import WaitQueue

Rank = tuple[int, str]  # prio, partner


class Shelf:
    def __init__(self) -> None:
        self.rows: dict[Rank, WaitQueue] = {}
        self.given: dict[str, int] = {}  # turns that a partner has had, while any of its waits

    def __len__(self) -> int:
        return sum(map(len, self.rows.values()))

    def put(self, prio: int, partner: str, aim_at: float, item: Any) -> None:
        if partner not in self.given:
            # it takes its turn with the others: from nought it would be given all that comes
            self.given[partner] = min(self.given.values(), default=0)
        self.rows.setdefault((prio, partner), WaitQueue()).put(aim_at, item)

    def take(self, now: float) -> Any:
        """The next one; there must be one."""
        first = min(self.rows, key=lambda rank: (rank[0], self.given[rank[1]], rank[1]))
        row = self.rows[first]
        item = row.take(now)
        self.given[first[1]] += 1
        if not len(row):
            del self.rows[first]
            if all(partner != first[1] for _, partner in self.rows):
                del self.given[first[1]]
        return item

    def sift(self, over: Callable[[Any], bool]) -> list[Any]:
        """Takes out those that need not wait any more."""
        found = []
        for row in self.rows.values():
            found += row.remove_if(over)
        self.rows = {rank: row for rank, row in self.rows.items() if len(row)}
        self.given = {p: n for p, n in self.given.items() if any(p == rank[1] for rank in self.rows)}
        return found
