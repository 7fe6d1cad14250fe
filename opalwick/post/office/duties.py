"""Leases on duties, as one voter grants them: to one process at a time, for a span. Nothing is on the disk.

Who holds a duty has a majority's grants, and counts its span from before it asked; so no two hold it at once
while clocks run alike. A voter that has just started grants nothing for the longest span: it may have granted
before.
"""

from __future__ import annotations

LONGEST = 1.5  # s of a lease at most: what a duty rests for after its holder's death


class Duties:
    def __init__(self, now: float, first: bool) -> None:
        """`first`: the system's first start: nothing can have been granted."""
        self.silent_until = now if first else now + LONGEST
        self.held: dict[str, tuple[str, float]] = {}  # duty: process, until

    def joins(self, now: float) -> None:
        """It has become a voter: a majority that it was not part of may have granted until it heard of it, a
        span after the first of these did.
        """
        self.silent_until = max(self.silent_until, now + 2.0 * LONGEST)

    def lease(self, now: float, who: str, duties: list[str], span: float) -> list[str]:
        """Those that are its for that span from now."""
        if now < self.silent_until:
            return []
        granted = []
        for duty in duties:
            holder, until = self.held.get(duty, ("", 0.0))
            if span <= 0.0:  # given back
                if holder == who:
                    del self.held[duty]
            elif holder == who or until <= now:
                self.held[duty] = who, now + min(span, LONGEST)
                granted.append(duty)
        return granted

    def holders(self, now: float) -> dict[str, str]:
        self.held = {duty: held for duty, held in self.held.items() if held[1] > now}
        return {duty: holder for duty, (holder, _) in self.held.items()}
