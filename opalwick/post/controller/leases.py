"""Leases of exclusive tasks, as one voter grants them: each to one process at a time. Nothing is stored.

The holder of a lease has the grants of a majority, and counts the lease's time from before its request. So no
two processes hold the same lease at once while their clocks run at the same rate. A voter that has just
started grants nothing for the longest lease time, because it may have granted leases before.
"""

from __future__ import annotations

MAX_LEASE = 1.5  # s of a lease at most, hence the time that a task stands still after its holder fails


class LeaseTable:
    """The leases that this voter granted. The wire's name for an exclusive task is "duty"."""

    def __init__(self, now: float, first: bool) -> None:
        """`first`: this is the system's first start, so no lease can have been granted before."""
        self.no_grants_until = now if first else now + MAX_LEASE
        self.grants: dict[str, tuple[str, float]] = {}  # by duty: holder, end of the lease in s

    def joins(self, now: float) -> None:
        """Called when it becomes a voter. Until it learns of that, a majority without it may have granted
        leases, up to one lease time after the first of these voters learned of it. So it grants nothing for
        two.
        """
        self.no_grants_until = max(self.no_grants_until, now + 2.0 * MAX_LEASE)

    def lease(self, now: float, who: str, duties: list[str], span: float) -> list[str]:
        """Requests (or with `span` 0 releases) leases for `span` s; returns the duties granted to `who`."""
        if now < self.no_grants_until:
            return []
        granted = []
        for duty in duties:
            holder, until = self.grants.get(duty, ("", 0.0))
            if span <= 0.0:  # release
                if holder == who:
                    del self.grants[duty]
            elif holder == who or until <= now:
                self.grants[duty] = who, now + min(span, MAX_LEASE)
                granted.append(duty)
        return granted

    def holders(self, now: float) -> dict[str, str]:
        """The holder of each current lease, by duty; expired leases are removed."""
        self.grants = {duty: grant for duty, grant in self.grants.items() if grant[1] > now}
        return {duty: holder for duty, (holder, _) in self.grants.items()}
