"""Whether one more message may wait at home, and when a client that is refused should come again. No I/O.

A counter knows what it holds itself: so many of a partner's wait, the oldest for so long, so many have ended
of late. What that promises is what the next one would wait; over the partner's bound it is refused at once.
"""

from __future__ import annotations

from collections import deque

LOOK = 5.0  # s over which ends are counted: some tens of jobs of a slow service
LEAST = 0.5  # s in Retry-After at least: below it the client is back before anything has changed
LONGEST = 30.0  # s in Retry-After at most, where nothing moves: nobody knows, and a look costs little


class Short:
    def __init__(self, now: float) -> None:
        self.born = now
        self.ends: dict[str, deque[float]] = {}  # by partner
        self.waiting: dict[str, tuple[int, float]] = {}  # by partner: how many wait, since when the oldest

    def ended(self, partner: str, now: float) -> None:
        self.ends.setdefault(partner, deque()).append(now)

    def rate(self, partner: str, now: float) -> float:
        """Ends a second, of late."""
        ends = self.ends.get(partner)
        if not ends:
            return 0.0
        while ends and ends[0] < now - LOOK:
            ends.popleft()
        return len(ends) / max(0.5, min(LOOK, now - self.born))

    def wait(self, partner: str, now: float) -> float:
        """s that one more would wait: what is before it at the present pace; where nothing moves, as long
        again as the oldest has waited."""
        count, oldest = self.waiting.get(partner, (0, now))
        if not count:
            return 0.0
        rate = self.rate(partner, now)
        return count / rate if rate else now - oldest

    def again(self, partner: str, now: float, bound: float) -> float:
        """s until a client that is refused need not ask: what is before it is within the bound by then."""
        wait = self.wait(partner, now)
        if self.rate(partner, now):
            return max(LEAST, wait - bound)
        return min(LONGEST, max(LEAST, wait))
