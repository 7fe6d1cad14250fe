"""Messages of one service that wait for a worker in their home country, while the workers there have no
capacity. No I/O.

The lowest `prio` goes first (there is no other measure of a message's worth). Partners of one prio take
turns, so that one with many messages does not delay one with few. Within a partner the oldest message that
can still start in time goes first, then those that are late (`Waiting`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from opalwick.post.gateway.dispatchers import WaitQueue

Rank = tuple[int, str]  # prio, partner


class ResidencyQueue:
    """A queue by prio, then by partners' turns, then by age."""

    def __init__(self) -> None:
        self.queues: dict[Rank, WaitQueue] = {}
        self.turns: dict[str, int] = {}  # turns that each partner with waiting messages has had

    def __len__(self) -> int:
        return sum(map(len, self.queues.values()))

    def put(self, prio: int, partner: str, aim_at: float, item: Any) -> None:
        """Adds an item. `aim_at`: the time by which it should start."""
        if partner not in self.turns:
            # it joins at the others' level: from 0 it would get every turn for a while
            self.turns[partner] = min(self.turns.values(), default=0)
        self.queues.setdefault((prio, partner), WaitQueue()).put(aim_at, item)

    def take(self, now: float) -> Any:
        """Removes and returns the next item; the queue must not be empty."""
        rank = min(self.queues, key=lambda rank: (rank[0], self.turns[rank[1]], rank[1]))
        queue = self.queues[rank]
        item = queue.take(now)
        self.turns[rank[1]] += 1
        if not len(queue):
            del self.queues[rank]
            if all(partner != rank[1] for _, partner in self.queues):
                del self.turns[rank[1]]
        return item

    def remove_if(self, over: Callable[[Any], bool]) -> list[Any]:
        """Removes and returns the items for which `over` is true."""
        removed = []
        for queue in self.queues.values():
            removed += queue.remove_if(over)
        self.queues = {rank: queue for rank, queue in self.queues.items() if len(queue)}
        self.turns = {p: n for p, n in self.turns.items() if any(p == rank[1] for rank in self.queues)}
        return removed
