"""A counter's shares of what is left of its services while a maintenance window is in force. No I/O.

Without a declaration of shares nothing of it is made: `on` is False.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from opalwick.post.maintenance.resting import Resting
from opalwick.post.wire_pb2 import Route

if TYPE_CHECKING:
    from opalwick.post.counter.rounds import Rounds
    from opalwick.post.maintenance.shares import Share

LOOK = 0.1  # s between looks at what is due: a tenth of what a message may wait for its begin


class Holding:
    def __init__(self, rounds: Rounds) -> None:
        self.rounds = rounds
        self.body = b""
        self.of: dict[str, Share] = {}  # by service
        self.look_at = 0.0
        self.ended = 0

    @property
    def on(self) -> bool:
        return bool(self.of)

    def configured(self, now: float, body: bytes) -> None:
        if body == self.body:
            return
        self.body, self.of = body, {}
        if body:
            from opalwick.post.maintenance.shares import read

            self.of, self.look_at = read(body, now), now
            self.tick(now)

    def places(self, svc: str, depth: float, resting: Resting) -> float:
        """This counter's part of what the service's workers that may be sent to have."""
        slots = sum(
            w.capacity
            for w in self.rounds.workers.values()
            if w.svc == svc
            and not (w.gone or w.silent or w.draining)
            and not (resting and resting(w.id, w.zone, w.host))
        )
        return depth * slots / self.rounds.schedulers

    def tick(self, now: float) -> None:
        if not self.of or now < self.look_at:
            return
        from opalwick.post.maintenance.shares import PLACES_PER_SLOT

        self.look_at = now + LOOK
        held: dict[str, dict[str, int]] = {svc: {} for svc in self.of}
        for item in self.rounds.items.values():
            if item.over or item.aim_at > now or item.route is None or item.route.svc not in self.of:
                continue
            svc = item.route.svc
            partner = self.of[svc].partner(item.route.name)
            held[svc][partner] = held[svc].get(partner, 0) + 1
        for svc, share in self.of.items():
            ended = self.rounds.by_service.get(svc, 0)
            share.observe(
                now,
                self.places(svc, PLACES_PER_SLOT, self.rounds.resting),
                held[svc],
                ended - share.completed,
            )
            share.completed = ended

    def ask(self, route: Route) -> float:
        """Nought, or the seconds after which to come again."""
        share = self.of.get(route.svc)
        return share.admit(route.name, route.prio) if share is not None else 0.0

    def figures(self) -> dict[str, dict[str, int]]:
        return {svc: dict(share.figures) for svc, share in self.of.items()}
