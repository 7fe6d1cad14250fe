"""Whether one more message may wait for a worker at home, and when a rejected client should try again. No
I/O.

A gateway has its own counts for each partner: how many messages wait, since when the oldest does, and how
many ended recently. From these it estimates how long the next one would wait; above the partner's bound it is
rejected at once.
"""

from __future__ import annotations

from collections import deque

RATE_WINDOW = 5.0  # s over which ends are counted: a few dozen jobs of a slow service
MIN_RETRY_AFTER = 0.5  # s, the least Retry-After: sooner the client is back before anything has changed
# s, the longest Retry-After where nothing ends: there is no estimate, and a further try costs little
MAX_RETRY_AFTER = 30.0


class WaitEstimate:
    """Estimates of waiting times by partner."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.ends: dict[str, deque[float]] = {}  # by partner
        # by partner: how many wait, and since when the oldest does
        self.waiting: dict[str, tuple[int, float]] = {}

    def ended(self, partner: str, now: float) -> None:
        """Records that a message of the partner ended."""
        self.ends.setdefault(partner, deque()).append(now)

    def rate(self, partner: str, now: float) -> float:
        """Recent ends per second."""
        ends = self.ends.get(partner)
        if not ends:
            return 0.0
        while ends and ends[0] < now - RATE_WINDOW:
            ends.popleft()
        return len(ends) / max(0.5, min(RATE_WINDOW, now - self.started_at))

    def wait(self, partner: str, now: float) -> float:
        """Seconds that one more message would wait: the number of waiting ones at the present rate; where
        nothing ends, as long again as the oldest has waited.
        """
        count, oldest = self.waiting.get(partner, (0, now))
        if not count:
            return 0.0
        rate = self.rate(partner, now)
        return count / rate if rate else now - oldest

    def retry_after(self, partner: str, now: float, bound: float) -> float:
        """Seconds until a rejected client should try again: by then the estimate is within the bound."""
        wait = self.wait(partner, now)
        if self.rate(partner, now):
            return max(MIN_RETRY_AFTER, wait - bound)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
