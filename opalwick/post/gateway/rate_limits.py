"""Rate limits of services: one gateway at a time holds the lease of a service's limit and grants permits.

A majority of controllers grants the lease, whose span counts from before the request was sent. The holder
stops granting `MARGIN` before its end, and starts without saved permits. A permit is used within
`PERMIT_LIFETIME` of its request or not at all. So at most rate * (w + PERMIT_LIFETIME) + MAX_SAVED messages
arrive in a window w. No I/O.
"""

from __future__ import annotations

import zlib
from typing import Any

from opalwick.post.wire_pb2 import Lease, Leased, Permit, Permitted

LEASE_SPAN = 1.4  # s: span of a lease: three renewals, and below the longest span that a controller grants
RENEW_INTERVAL = 0.4  # s between lease requests of a holder, or of a gateway that needs a lease nobody holds
IDLE_INTERVAL = 2.0  # s between lease requests that only ask who the holder is
MARGIN = 0.3  # s: allows for clock drift and for a stalled process
# s for a majority to grant: ten network round trips; after that, partial grants are released
GRANT_TIMEOUT = 0.3
PERMIT_LIFETIME = 0.25  # s: less than a twentieth of the shortest window over which the rate is checked
MAX_SAVED = 3.0  # permits: with PERMIT_LIFETIME, a limit of 20/s is exceeded by less than a tenth in 5 s
# s that each gateway, by rank, waits longer before it requests a lease that nobody holds: a few round trips
RANK_DELAY = 0.1
# gateways that hold the leases while they are available: all others are linked to these alone
MAX_HOLDERS = 4
PERMIT_BATCH = 8  # permits per request: enough for a few tens of milliseconds


class HeldLease:
    """A lease of a service's rate limit, with a token bucket of its permits."""

    __slots__ = ("expires_at", "rate", "refilled_at", "tokens")

    def __init__(self, rate: float, now: float, until: float) -> None:
        self.rate, self.tokens, self.refilled_at, self.expires_at = rate, 0.0, now, until

    def take(self, now: float, count: int) -> int:
        """Takes up to `count` permits; returns how many."""
        self.tokens = min(MAX_SAVED, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        given = min(count, int(self.tokens))
        self.tokens -= given
        return given


class Ceilings:
    """Leases and permits of all rate limits in one gateway process. Times are in seconds of its clock."""

    def __init__(self, node: str, life: int) -> None:
        """`life`: number of the process incarnation."""
        self.node, self.process = node, f"{node}/{life}"
        self.now = 0.0
        self.rates: dict[str, float] = {}
        self.gateways: list[str] = []
        self.ranks: dict[str, int] = {}  # by service: this gateway's rank among all
        self.voter_count = 1
        # number of voters that each controller reported; it may be changing
        self.reported_voters: dict[str, int] = {}
        self.leases: dict[str, HeldLease] = {}
        self.holders: dict[str, str] = {}  # by service: the process that a majority of controllers reported
        # by controller and service: the process that it reported
        self.reported_holders: dict[str, dict[str, str]] = {}
        self.unheld_since: dict[str, float] = {}
        self.released_at: dict[str, float] = {}  # when a lease was last released
        self.requested_at: dict[str, float] = {}  # when a lease was requested that isn't granted yet
        # lease requests by number: when sent, which controllers replied, grants by service
        self.lease_requests: dict[int, tuple[float, set[str], dict[str, int]]] = {}
        self.last_call = 0
        self.leaving = False
        self.next_lease_at = 0.0
        self.waiting: dict[str, int] = {}  # by service: messages that wait for permits
        self.permit_requests: dict[int, tuple[str, float]] = {}  # open permit requests: service, when sent
        self.next_request_at: dict[str, float] = {}
        self.outbox: list[tuple[str, str, Any]] = []  # node, kind, content; "offices": all controllers
        self.granted: list[tuple[str, int]] = []  # service, number of permits
        self.figures = {"granted": 0, "used_here": 0, "late": 0}

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[tuple[str, int]]]:
        """Returns the messages to send and the permits to use since the last call, and clears both."""
        found = self.outbox, self.granted
        self.outbox, self.granted = [], []
        return found

    def configured(self, rates: dict[str, float], gateways: list[str], controllers: int) -> None:
        """`rates`: messages per second by service. `counters`: all gateways. `offices`: number of controllers
        in the directory, used until the first one reports the number of voters.
        """
        if self.gateways != gateways or self.rates.keys() != rates.keys():
            self.ranks = {}
        self.rates, self.gateways = rates, gateways
        self.voter_count = self.voter_count if self.reported_holders else max(1, controllers)
        self.leases = {svc: held for svc, held in self.leases.items() if rates.get(svc) == held.rate}

    def rank(self, svc: str) -> int:
        """This gateway's rank among all for that lease: 0 requests it first. All gateways compute it by the
        same hash; the `MAX_HOLDERS` possible holders come first.
        """
        if svc not in self.ranks:
            homes = sorted(self.gateways, key=lambda node: (zlib.crc32(node.encode()), node))[:MAX_HOLDERS]
            order = sorted(
                self.gateways, key=lambda node: (node not in homes, zlib.crc32(f"{svc}/{node}".encode()))
            )
            self.ranks[svc] = order.index(self.node) if self.node in order else len(order)
        return self.ranks[svc]

    def current_lease(self, svc: str) -> HeldLease | None:
        """The lease, if this process holds it now."""
        held = self.leases.get(svc)
        return held if held is not None and self.now < held.expires_at else None

    # ---- leases

    def tick(self, now: float) -> None:
        self.now = now
        if self.rates and now >= self.next_lease_at:
            self.request_leases()
        for svc, count in self.waiting.items():
            if count > 0:
                self.request_permits(svc, count)

    def request_leases(self) -> None:
        """Sends lease requests to all controllers: renewals, requests for leases that nobody holds once it is
        this gateway's turn, and releases.
        """
        requested, released = [], []
        next_at = self.now + (RENEW_INTERVAL if self.leases or any(self.waiting.values()) else IDLE_INTERVAL)
        for svc in sorted(self.rates):
            holder = self.holders.get(svc, "")
            if self.current_lease(svc) is not None:
                requested.append(svc)
            elif self.leaving:
                continue
            elif svc in self.requested_at:
                if self.now - self.requested_at[svc] < GRANT_TIMEOUT:
                    next_at = min(next_at, self.requested_at[svc] + GRANT_TIMEOUT)
                    continue
                # only a minority granted it: unless it is released, no gateway could ever get a majority
                del self.requested_at[svc]
                self.released_at[svc] = self.unheld_since[svc] = self.now
                released.append(svc)
                next_at = min(next_at, self.now + RANK_DELAY * (1 + self.rank(svc)))
            elif holder and holder != self.process:
                self.unheld_since.pop(svc, None)
            else:
                turn_at = self.unheld_since.setdefault(svc, self.now) + RANK_DELAY * self.rank(svc)
                if self.now >= turn_at:
                    self.requested_at[svc] = self.now
                    requested.append(svc)
                    next_at = min(next_at, self.now + GRANT_TIMEOUT)
                else:
                    next_at = min(next_at, turn_at)
        if released:
            self.outbox.append(("offices", "lease", Lease(duties=released, span=0.0)))
        self.last_call += 1
        self.lease_requests = {
            call: asked for call, asked in self.lease_requests.items() if self.now - asked[0] < 1.0
        }
        self.lease_requests[self.last_call] = self.now, set(), {}
        self.outbox.append(
            ("offices", "lease", Lease(call=self.last_call, duties=requested, span=LEASE_SPAN))
        )
        self.next_lease_at = max(next_at, self.now + 0.02)

    def leased(self, controller: str, reply: Leased) -> None:
        """Processes a controller's reply to a lease request."""
        if reply.voters:
            self.reported_voters[controller] = reply.voters
            self.voter_count = max(self.reported_voters.values())
        if not reply.same:
            self.reported_holders[controller] = dict(reply.held)
        asked = self.lease_requests.get(reply.call)
        if asked is not None and controller not in asked[1]:
            at, replied, grants = asked
            replied.add(controller)
            for svc in reply.granted:
                if at <= self.released_at.get(svc, -1e9):
                    continue  # released since then: another gateway may hold it by now
                grants[svc] = grants.get(svc, 0) + 1
                if grants[svc] >= self.voter_count // 2 + 1 and svc in self.rates:
                    self.acquire(svc, at + LEASE_SPAN - MARGIN)
        vote_counts: dict[tuple[str, str], int] = {}
        for held in self.reported_holders.values():
            for svc, process in held.items():
                vote_counts[svc, process] = vote_counts.get((svc, process), 0) + 1
        self.holders = {
            svc: process
            for (svc, process), votes in vote_counts.items()
            if votes >= self.voter_count // 2 + 1
        }

    def acquire(self, svc: str, until: float) -> None:
        """A majority granted the lease until that time."""
        self.requested_at.pop(svc, None)
        held = self.current_lease(svc)
        if held is None:
            self.leases[svc] = HeldLease(self.rates[svc], self.now, until)
        else:
            held.expires_at = max(held.expires_at, until)

    def leave(self) -> None:
        """The process is to end: releases all leases, so that another gateway can get them at once. The
        permits that it has granted are used by then.
        """
        released = sorted({*self.leases, *self.requested_at})
        self.released_at = {svc: self.now for svc in self.rates}
        self.requested_at = {}
        self.leases, self.leaving = {}, True
        if released:
            self.outbox.append(("offices", "lease", Lease(duties=released, span=0.0)))

    def office_down(self, controller: str) -> None:
        self.reported_holders.pop(controller, None)
        self.reported_voters.pop(controller, None)

    # ---- permits

    def want(self, svc: str, count: int) -> None:
        """Sets how many messages wait for permits of a service, and requests them."""
        if count > 0:
            self.waiting[svc] = count
            self.request_permits(svc, count)
        else:
            self.waiting.pop(svc, None)

    def request_permits(self, svc: str, count: int) -> None:
        if self.now < self.next_request_at.get(svc, 0.0):
            return
        held = self.current_lease(svc)
        if held is not None:
            given = held.take(self.now, count)
            if given:
                self.figures["used_here"] += given
                self.waiting[svc] = max(0, count - given)
                self.granted.append((svc, given))
            if given < count:
                self.next_request_at[svc] = self.now + max(0.005, (1.0 - held.tokens) / held.rate)
            return
        holder = self.holders.get(svc, "").rpartition("/")[0]
        self.next_request_at[svc] = self.now + PERMIT_LIFETIME  # bounds the delay if a message is lost
        if not holder:
            self.next_lease_at = min(self.next_lease_at, self.now + RENEW_INTERVAL)
        elif holder != self.node:
            self.last_call += 1
            self.permit_requests[self.last_call] = svc, self.now
            self.outbox.append(
                (holder, "permit", Permit(call=self.last_call, svc=svc, count=min(count, PERMIT_BATCH)))
            )

    def permit(self, node: str, request: Permit) -> Permitted:
        """Answers another gateway's permit request."""
        held = self.current_lease(request.svc)
        if held is None:
            return Permitted(call=request.call, svc=request.svc, holder=False, wait=PERMIT_LIFETIME)
        given = held.take(self.now, request.count)
        self.figures["granted"] += given
        wait = 0.0 if given == request.count else max(0.005, (1.0 - held.tokens) / held.rate)
        return Permitted(call=request.call, svc=request.svc, count=given, wait=wait, holder=True)

    def answered(self, reply: Permitted) -> None:
        """Processes the reply to a permit request."""
        asked = self.permit_requests.pop(reply.call, None)
        if asked is None:
            return
        svc, at = asked
        self.next_request_at[svc] = self.now + reply.wait
        if not reply.holder:  # find the current holder
            self.holders.pop(svc, None)
            self.next_lease_at = min(self.next_lease_at, self.now + 0.05)
        if reply.count and self.now - at < PERMIT_LIFETIME:
            self.waiting[svc] = max(0, self.waiting.get(svc, 0) - reply.count)
            self.granted.append((svc, reply.count))
        elif reply.count:
            self.figures["late"] += reply.count
        if self.waiting.get(svc, 0) > 0 and not reply.wait:
            self.request_permits(svc, self.waiting[svc])

    def next_at(self) -> float:
        """When `tick` must be called next."""
        waits = [self.next_request_at.get(svc, 0.0) for svc, count in self.waiting.items() if count > 0]
        return min([self.next_lease_at if self.rates else float("inf"), *waits])

    def forget(self) -> None:
        """Discards permit requests without a reply; called periodically."""
        unanswered = [
            call
            for call, asked in self.permit_requests.items()
            if self.now - asked[1] > 2.0 * PERMIT_LIFETIME
        ]
        for call in unanswered:  # the holder may be gone: find the current one
            del self.permit_requests[call]
            self.next_lease_at = min(self.next_lease_at, self.now)
