"""Estimates how long an idle connection may be reused, from how reuse succeeded."""

from __future__ import annotations


class IdleTime:
    """The age up to which idle connections are reused, in seconds.

    The peer may close idle connections sooner than it announces, which may show only when one is used again.
    """

    def __init__(self, maximum: float) -> None:
        self.maximum = self.limit = maximum  # seconds

    def record_use(self, idle: float, was_open: bool) -> None:
        """Records whether a connection that had been idle for `idle` seconds was still open at its next
        use."""
        if not was_open:
            # A fifth below twice the age at which it broke: breaks that are independent of age occur at any
            # age alike, so the true limit is higher. At least 0.1 s, as a connection reused within that time
            # has hardly been idle.
            self.limit = max(0.1, 0.8 * min(self.limit, 2.0 * idle))
        elif idle > 0.5 * self.limit:
            # it was open at a relevant age; growth and shrinking balance at one break in ten such uses
            self.limit = min(self.maximum, 1.06 * self.limit)
