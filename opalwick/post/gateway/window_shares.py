"""Customers' shares of the remaining capacity of services during a maintenance window. No I/O.

Without a declaration of shares it is inactive: `active` is False, and the code for shares is not imported.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from opalwick.post.maintenance.resting import Resting
from opalwick.post.wire_pb2 import Route

if TYPE_CHECKING:
    from opalwick.post.gateway.scheduling import Rounds
    from opalwick.post.maintenance.shares import Share

# s between counts of due messages: a tenth of the time that a message may wait for its start
CHECK_INTERVAL = 0.1


class WindowShares:
    """Admits messages of services that have declared shares. Times are in seconds of the gateway's clock."""

    def __init__(self, rounds: Rounds) -> None:
        self.rounds = rounds
        self.body = b""
        self.by_service: dict[str, Share] = {}  # by service
        self.check_at = 0.0
        self.ended = 0

    @property
    def active(self) -> bool:
        return bool(self.by_service)

    def configured(self, now: float, body: bytes) -> None:
        """Applies a declaration of shares; an empty one turns them off."""
        if body == self.body:
            return
        self.body, self.by_service = body, {}
        if body:
            from opalwick.post.maintenance.shares import read

            self.by_service, self.check_at = read(body, now), now
            self.tick(now)

    def slots(self, svc: str, depth: float, resting: Resting) -> float:
        """This gateway's part of the slots of the service's available workers, times `depth`."""
        slots = sum(
            w.capacity
            for w in self.rounds.workers.values()
            if w.svc == svc
            and not (w.gone or w.silent or w.draining)
            and not (resting and resting(w.id, w.zone, w.host))
        )
        return depth * slots / self.rounds.gateway_count

    def tick(self, now: float) -> None:
        """Counts the due messages of each customer; called periodically."""
        if not self.by_service or now < self.check_at:
            return
        from opalwick.post.maintenance.shares import PLACES_PER_SLOT

        self.check_at = now + CHECK_INTERVAL
        due_by_service: dict[str, dict[str, int]] = {svc: {} for svc in self.by_service}
        for item in self.rounds.items.values():
            if (
                item.closed
                or item.first_due_at > now
                or item.route is None
                or item.route.svc not in self.by_service
            ):
                continue
            svc = item.route.svc
            partner = self.by_service[svc].partner(item.route.name)
            due_by_service[svc][partner] = due_by_service[svc].get(partner, 0) + 1
        for svc, share in self.by_service.items():
            ended = self.rounds.ends_by_service.get(svc, 0)
            share.observe(
                now,
                self.slots(svc, PLACES_PER_SLOT, self.rounds.resting),
                due_by_service[svc],
                ended - share.completed,
            )
            share.completed = ended

    def retry_after(self, route: Route) -> float:
        """Returns 0 if a message of this route is admitted, else the seconds after which to retry."""
        share = self.by_service.get(route.svc)
        return share.admit(route.name, route.prio) if share is not None else 0.0

    def figures(self) -> dict[str, dict[str, int]]:
        return {svc: dict(share.figures) for svc, share in self.by_service.items()}
