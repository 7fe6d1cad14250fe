"""How long a kept connection may stand idle, as the other side shows it."""

from __future__ import annotations


class IdleTime:
    """The other side may close sooner than it says, and nothing may tell of it until the next use."""

    def __init__(self, longest: float) -> None:
        self.longest = self.now = longest  # seconds

    def learn(self, rested: float, held: bool) -> None:
        """A connection that had been idle so long broke at its next use, or held."""
        if not held:
            # a fifth under twice the age at which it broke: breaks that have nothing to do with age come as
            # often at any, and what is used again within a tenth of a second has hardly been idle
            self.now = max(0.1, 0.8 * min(self.now, 2.0 * rested))
        elif rested > 0.5 * self.now:
            # held up at an age that counts: with one break in ten of those it comes to rest
            self.now = min(self.longest, 1.06 * self.now)
