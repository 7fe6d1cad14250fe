"""Assigns messages that are due and have no owner to gateways. No I/O; part of `message_store.py`."""

from __future__ import annotations

import heapq

from opalwick.post.names import process_id
from opalwick.post.store.gateway import Gateway
from opalwick.post.store.gateway_leases import GatewayLeases
from opalwick.post.store.records import Entry, Fetch

ASSIGN_LEAD = 0.05  # s that a message is assigned before it is due: a network trip and a sync
ASSIGN_RETRY = 0.6  # s until an unacknowledged assignment is sent again, to the same gateway
ASSIGN_BATCH = 200  # messages assigned in one tick, so that other work gets its turn


class Assignment(GatewayLeases):
    """Assignments, and their repetition until they are acknowledged."""

    def assign(self) -> None:
        """Assigns messages that are due and have no owner."""
        later: list[tuple[float, str]] = []
        remaining = ASSIGN_BATCH
        candidates: list[Gateway] | None = None
        by_country = dict[str, list[Gateway]]()
        while self.waiting and remaining and self.waiting[0][0] <= self.now + ASSIGN_LEAD:
            due, mid = heapq.heappop(self.waiting)
            entry = self.entries.get(mid)
            if entry is None or entry.owner or entry.due > due + 1e-6:
                continue
            if not self.is_acting(entry):
                later.append((self.now + 0.25, mid))
                entry.due = max(entry.due, self.now + 0.25) if entry.due > self.now else entry.due
                continue
            if candidates is None:
                candidates = self.candidates()
            if entry.home:
                if entry.home not in by_country:
                    by_country[entry.home] = self.candidates(entry.home)
                if not (eligible := by_country[entry.home]):  # it waits, without holding up others
                    later.append((self.now + 0.25, mid))
                    continue
            elif not (eligible := candidates):
                if self.policy is None:
                    later.append((due, mid))
                    break
                later.append((self.now + 0.25, mid))
                continue
            if not (eligible := [c for c in eligible if c.has_room(entry.size)]):
                later.append((due, mid))  # until some of what they were assigned is acknowledged
                remaining -= 1
                continue
            remaining -= 1
            chosen = min(eligible, key=lambda c: c.assigned)
            chosen.assigned += 1
            entry.claim += 1
            self.set_owner(entry, process_id(chosen.node, chosen.incarnation))
            self.send_assignment(entry)
        for item in later:
            heapq.heappush(self.waiting, item)

    def send_assignment(self, entry: Entry) -> None:
        """Sends an assignment to its owner and waits for the acknowledgement."""
        if not entry.assigned_at:
            self.gateways[entry.owner.rpartition("/")[0]].unacknowledged_bytes += entry.size
        entry.assigned_at = self.now
        heapq.heappush(self.unacknowledged, (self.now + ASSIGN_RETRY, entry.mid))
        self.fetches.append(Fetch(entry.mid, ("assign", entry.owner, entry.claim)))

    def repeat_assignments(self) -> None:
        """Sends assignments again that were not acknowledged in time."""
        while self.unacknowledged and self.unacknowledged[0][0] <= self.now:
            entry = self.entries.get(heapq.heappop(self.unacknowledged)[1])
            if entry is None or not entry.assigned_at:
                continue
            if self.now - entry.assigned_at >= ASSIGN_RETRY - 1e-6:
                self.send_assignment(entry)

    def candidates(self, home: str = "") -> list[Gateway]:
        """Gateways that may be assigned a message: those of this zone, where there are any. `home`: only
        those in that country.
        """
        available = [
            c
            for c in self.gateways.values()
            if c.linked
            and c.ready
            and not c.leaving
            and self.now - c.last_seen < 1.0
            and (not home or self.country(c.zone) == home)
        ]
        return [c for c in available if c.zone == self.zone] or available
