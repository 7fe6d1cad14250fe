"""Estimates how long an idle connection may be reused, from how reuse succeeded."""

from __future__ import annotations


class IdleTime:
    """The age up to which idle connections are reused, in seconds.

    The peer may close idle connections sooner than it announces, which may show only when one is used again.
    """

    def __init__(self, longest: float) -> None:
        self.longest = self.now = longest  # seconds

    def learn(self, rested: float, held: bool) -> None:
        """Records whether a connection that had been idle for `rested` seconds was still open at its next
        use."""
        if not held:
            # A fifth below twice the age at which it broke: breaks that are independent of age occur at any
            # age alike, so the true limit is higher. At least 0.1 s, as a connection reused within that time
            # has hardly been idle.
            self.now = max(0.1, 0.8 * min(self.now, 2.0 * rested))
        elif rested > 0.5 * self.now:
            # it was open at a relevant age; growth and shrinking balance at one break in ten such uses
            self.now = min(self.longest, 1.06 * self.now)
