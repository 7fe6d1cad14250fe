"""Rate limits of services: one gateway at a time holds the lease of a service's limit and grants permits.

A majority of controllers grants the lease, whose span counts from before the request was sent. The holder
stops granting `MARGIN` before its end, and starts without saved permits. A permit is used within `USE` of its
request or not at all. So at most rate * (w + USE) + SAVED messages arrive in a window w. No I/O.
"""

from __future__ import annotations

import zlib
from typing import Any

from opalwick.post.wire_pb2 import Lease, Leased, Permit, Permitted

SPAN = 1.4  # s: span of a lease: three renewals, and below the longest span that a controller grants
RENEW = 0.4  # s between lease requests of a holder, or of a gateway that needs a lease nobody holds
IDLE = 2.0  # s between lease requests that only ask who the holder is
MARGIN = 0.3  # s: allows for clock drift and for a stalled process
REPLY = 0.3  # s for a majority to grant: ten network round trips; after that, partial grants are released
USE = 0.25  # s: less than a twentieth of the shortest window over which the rate is checked
SAVED = 3.0  # permits: with USE, a limit of 20/s is exceeded by less than a tenth in 5 s
# s that each gateway, by rank, waits longer before it requests a lease that nobody holds: a few round trips
TURN = 0.1
HOMES = 4  # gateways that hold the leases while they are available: all others are linked to these alone
BATCH = 8  # permits per request: enough for a few tens of milliseconds


class Held:
    """A lease of a service's rate limit, with a token bucket of its permits."""

    __slots__ = ("at", "rate", "tokens", "until")

    def __init__(self, rate: float, now: float, until: float) -> None:
        self.rate, self.tokens, self.at, self.until = rate, 0.0, now, until

    def take(self, now: float, count: int) -> int:
        """Takes up to `count` permits; returns how many."""
        self.tokens = min(SAVED, self.tokens + (now - self.at) * self.rate)
        self.at = now
        given = min(count, int(self.tokens))
        self.tokens -= given
        return given


class Ceilings:
    """Leases and permits of all rate limits in one gateway process. Times are in seconds of its clock."""

    def __init__(self, node: str, life: int) -> None:
        """`life`: number of the process incarnation."""
        self.node, self.me = node, f"{node}/{life}"
        self.now = 0.0
        self.rates: dict[str, float] = {}
        self.counters: list[str] = []
        self.ranks: dict[str, int] = {}  # by service: this gateway's rank among all
        self.offices = 1  # number of voters
        self.voters: dict[str, int] = {}  # number of voters that each controller reported; it may be changing
        self.held: dict[str, Held] = {}
        self.holders: dict[str, str] = {}  # by service: the process that a majority of controllers reported
        self.heard: dict[str, dict[str, str]] = {}  # by controller and service: the process that it reported
        self.none_since: dict[str, float] = {}
        self.back_at: dict[str, float] = {}  # when a lease was last released
        self.tried: dict[str, float] = {}  # when a lease was requested that isn't granted yet
        # lease requests by number: when sent, which controllers replied, grants by service
        self.asked: dict[int, tuple[float, set[str], dict[str, int]]] = {}
        self.calls = 0
        self.leaving = False
        self.lease_at = 0.0
        self.wants: dict[str, int] = {}  # by service: messages that wait for permits
        self.permits: dict[int, tuple[str, float]] = {}  # open permit requests: service, when sent
        self.again_at: dict[str, float] = {}
        self.sends: list[tuple[str, str, Any]] = []  # node, kind, content; "offices": all controllers
        self.permitted: list[tuple[str, int]] = []  # service, number of permits
        self.figures = {"granted": 0, "used_here": 0, "late": 0}

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[tuple[str, int]]]:
        """Returns the messages to send and the permits to use since the last call, and clears both."""
        found = self.sends, self.permitted
        self.sends, self.permitted = [], []
        return found

    def configured(self, rates: dict[str, float], gateways: list[str], controllers: int) -> None:
        """`rates`: messages per second by service. `counters`: all gateways. `offices`: number of controllers
        in the directory, used until the first one reports the number of voters.
        """
        if self.counters != gateways or self.rates.keys() != rates.keys():
            self.ranks = {}
        self.rates, self.counters = rates, gateways
        self.offices = self.offices if self.heard else max(1, controllers)
        self.held = {svc: held for svc, held in self.held.items() if rates.get(svc) == held.rate}

    def rank(self, svc: str) -> int:
        """This gateway's rank among all for that lease: 0 requests it first. All gateways compute it by the
        same hash; the `HOMES` gateways come first.
        """
        if svc not in self.ranks:
            homes = sorted(self.counters, key=lambda node: (zlib.crc32(node.encode()), node))[:HOMES]
            order = sorted(
                self.counters, key=lambda node: (node not in homes, zlib.crc32(f"{svc}/{node}".encode()))
            )
            self.ranks[svc] = order.index(self.node) if self.node in order else len(order)
        return self.ranks[svc]

    def holds(self, svc: str) -> Held | None:
        """The lease, if this process holds it now."""
        held = self.held.get(svc)
        return held if held is not None and self.now < held.until else None

    # ---- leases

    def tick(self, now: float) -> None:
        self.now = now
        if self.rates and now >= self.lease_at:
            self.lease()
        for svc, count in self.wants.items():
            if count > 0:
                self.ask(svc, count)

    def lease(self) -> None:
        """Sends lease requests to all controllers: renewals, requests for leases that nobody holds once it is
        this gateway's turn, and releases.
        """
        requested, released = [], []
        next_at = self.now + (RENEW if self.held or any(self.wants.values()) else IDLE)
        for svc in sorted(self.rates):
            holder = self.holders.get(svc, "")
            if self.holds(svc) is not None:
                requested.append(svc)
            elif self.leaving:
                continue
            elif svc in self.tried:
                if self.now - self.tried[svc] < REPLY:
                    next_at = min(next_at, self.tried[svc] + REPLY)
                    continue
                # only a minority granted it: unless it is released, no gateway could ever get a majority
                del self.tried[svc]
                self.back_at[svc] = self.none_since[svc] = self.now
                released.append(svc)
                next_at = min(next_at, self.now + TURN * (1 + self.rank(svc)))
            elif holder and holder != self.me:
                self.none_since.pop(svc, None)
            else:
                turn_at = self.none_since.setdefault(svc, self.now) + TURN * self.rank(svc)
                if self.now >= turn_at:
                    self.tried[svc] = self.now
                    requested.append(svc)
                    next_at = min(next_at, self.now + REPLY)
                else:
                    next_at = min(next_at, turn_at)
        if released:
            self.sends.append(("offices", "lease", Lease(duties=released, span=0.0)))
        self.calls += 1
        self.asked = {call: asked for call, asked in self.asked.items() if self.now - asked[0] < 1.0}
        self.asked[self.calls] = self.now, set(), {}
        self.sends.append(("offices", "lease", Lease(call=self.calls, duties=requested, span=SPAN)))
        self.lease_at = max(next_at, self.now + 0.02)

    def leased(self, controller: str, reply: Leased) -> None:
        """Processes a controller's reply to a lease request."""
        if reply.voters:
            self.voters[controller] = reply.voters
            self.offices = max(self.voters.values())
        if not reply.same:
            self.heard[controller] = dict(reply.held)
        asked = self.asked.get(reply.call)
        if asked is not None and controller not in asked[1]:
            at, replied, grants = asked
            replied.add(controller)
            for svc in reply.granted:
                if at <= self.back_at.get(svc, -1e9):
                    continue  # released since then: another gateway may hold it by now
                grants[svc] = grants.get(svc, 0) + 1
                if grants[svc] >= self.offices // 2 + 1 and svc in self.rates:
                    self.has(svc, at + SPAN - MARGIN)
        vote_counts: dict[tuple[str, str], int] = {}
        for held in self.heard.values():
            for svc, process in held.items():
                vote_counts[svc, process] = vote_counts.get((svc, process), 0) + 1
        self.holders = {
            svc: process for (svc, process), votes in vote_counts.items() if votes >= self.offices // 2 + 1
        }

    def has(self, svc: str, until: float) -> None:
        """A majority granted the lease until that time."""
        self.tried.pop(svc, None)
        held = self.holds(svc)
        if held is None:
            self.held[svc] = Held(self.rates[svc], self.now, until)
        else:
            held.until = max(held.until, until)

    def leave(self) -> None:
        """The process is to end: releases all leases, so that another gateway can get them at once. The
        permits that it has granted are used by then.
        """
        released = sorted({*self.held, *self.tried})
        self.back_at = {svc: self.now for svc in self.rates}
        self.tried = {}
        self.held, self.leaving = {}, True
        if released:
            self.sends.append(("offices", "lease", Lease(duties=released, span=0.0)))

    def office_down(self, controller: str) -> None:
        self.heard.pop(controller, None)
        self.voters.pop(controller, None)

    # ---- permits

    def want(self, svc: str, count: int) -> None:
        """Sets how many messages wait for permits of a service, and requests them."""
        if count > 0:
            self.wants[svc] = count
            self.ask(svc, count)
        else:
            self.wants.pop(svc, None)

    def ask(self, svc: str, count: int) -> None:
        if self.now < self.again_at.get(svc, 0.0):
            return
        held = self.holds(svc)
        if held is not None:
            given = held.take(self.now, count)
            if given:
                self.figures["used_here"] += given
                self.wants[svc] = max(0, count - given)
                self.permitted.append((svc, given))
            if given < count:
                self.again_at[svc] = self.now + max(0.005, (1.0 - held.tokens) / held.rate)
            return
        holder = self.holders.get(svc, "").rpartition("/")[0]
        self.again_at[svc] = self.now + USE  # bounds the delay if a message is lost
        if not holder:
            self.lease_at = min(self.lease_at, self.now + RENEW)
        elif holder != self.node:
            self.calls += 1
            self.permits[self.calls] = svc, self.now
            self.sends.append((holder, "permit", Permit(call=self.calls, svc=svc, count=min(count, BATCH))))

    def permit(self, node: str, request: Permit) -> Permitted:
        """Answers another gateway's permit request."""
        held = self.holds(request.svc)
        if held is None:
            return Permitted(call=request.call, svc=request.svc, holder=False, wait=USE)
        given = held.take(self.now, request.count)
        self.figures["granted"] += given
        wait = 0.0 if given == request.count else max(0.005, (1.0 - held.tokens) / held.rate)
        return Permitted(call=request.call, svc=request.svc, count=given, wait=wait, holder=True)

    def answered(self, reply: Permitted) -> None:
        """Processes the reply to a permit request."""
        asked = self.permits.pop(reply.call, None)
        if asked is None:
            return
        svc, at = asked
        self.again_at[svc] = self.now + reply.wait
        if not reply.holder:  # find the current holder
            self.holders.pop(svc, None)
            self.lease_at = min(self.lease_at, self.now + 0.05)
        if reply.count and self.now - at < USE:
            self.wants[svc] = max(0, self.wants.get(svc, 0) - reply.count)
            self.permitted.append((svc, reply.count))
        elif reply.count:
            self.figures["late"] += reply.count
        if self.wants.get(svc, 0) > 0 and not reply.wait:
            self.ask(svc, self.wants[svc])

    def next_at(self) -> float:
        """When `tick` must be called next."""
        waits = [self.again_at.get(svc, 0.0) for svc, count in self.wants.items() if count > 0]
        return min([self.lease_at if self.rates else float("inf"), *waits])

    def forget(self) -> None:
        """Discards permit requests without a reply; called periodically."""
        unanswered = [call for call, asked in self.permits.items() if self.now - asked[1] > 2.0 * USE]
        for call in unanswered:  # the holder may be gone: find the current one
            del self.permits[call]
            self.lease_at = min(self.lease_at, self.now)
