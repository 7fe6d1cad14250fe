"""Messages of one service that wait for a worker in their home country, while the workers there have no
capacity. No I/O.

The lowest `prio` goes first (there is no other measure of a message's worth). Partners of one prio take
turns, so that one with many messages does not delay one with few. Within a partner the oldest message that
can still start in time goes first, then those that are late (`Waiting`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from opalwick.post.counter.desks import Waiting

Rank = tuple[int, str]  # prio, partner


class Shelf:
    """A queue by prio, then by partners' turns, then by age."""

    def __init__(self) -> None:
        self.rows: dict[Rank, Waiting] = {}
        self.given: dict[str, int] = {}  # turns that each partner with waiting messages has had

    def __len__(self) -> int:
        return sum(map(len, self.rows.values()))

    def put(self, prio: int, partner: str, aim_at: float, item: Any) -> None:
        """Adds an item. `aim_at`: the time by which it should start."""
        if partner not in self.given:
            # it joins at the others' level: from 0 it would get every turn for a while
            self.given[partner] = min(self.given.values(), default=0)
        self.rows.setdefault((prio, partner), Waiting()).put(aim_at, item)

    def take(self, now: float) -> Any:
        """Removes and returns the next item; the queue must not be empty."""
        rank = min(self.rows, key=lambda rank: (rank[0], self.given[rank[1]], rank[1]))
        queue = self.rows[rank]
        item = queue.take(now)
        self.given[rank[1]] += 1
        if not len(queue):
            del self.rows[rank]
            if all(partner != rank[1] for _, partner in self.rows):
                del self.given[rank[1]]
        return item

    def sift(self, over: Callable[[Any], bool]) -> list[Any]:
        """Removes and returns the items for which `over` is true."""
        removed = []
        for queue in self.rows.values():
            removed += queue.sift(over)
        self.rows = {rank: queue for rank, queue in self.rows.items() if len(queue)}
        self.given = {p: n for p, n in self.given.items() if any(p == rank[1] for rank in self.rows)}
        return removed
