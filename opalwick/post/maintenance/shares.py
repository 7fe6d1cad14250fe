"""Weighted max-min fair shares of a service with scarce capacity, at one gateway. No socket, no clock.

A service is short at a gateway once the due messages there keep the gateway's part of the workers' slots
busy. Until then every partner may use all places: unused shares are lent. From then on, messages of a partner
are accepted only within its share of the places, of which there are three to a slot. So a partner that
borrowed gets no more until enough of its messages have ended, and one that did not is still served. Accepted
messages are never dropped. So at most a third more than the places is held, and a partner that stays within
its share waits behind no more than that.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

PLACES_PER_SLOT = 3.0  # due messages per slot: one that runs and two that wait
# part of the places up to which unused shares are lent: each slot is busy and nothing waits
LENT = 1.0 / PLACES_PER_SLOT
# s, range of Retry-After: within a client's waiting time, and the time in which a window changes
MIN_RETRY_AFTER, MAX_RETRY_AFTER = 0.1, 5.0
PRIORITY_STEP = 0.25  # part of a partner's share that each lower priority leaves to its higher ones
MIN_PRIORITY_SHARE = 0.25  # part left to the lowest priority, so that priority alone excludes nothing
AVERAGING_TIME = 2.0  # s over which demand and the rate of completions are averaged


def maxmin(wants: Mapping[str, float], weights: Mapping[str, float], total: float) -> dict[str, float]:
    """Max-min fair allocation by water filling: each gets what it wants, or else an amount that is
    proportional to its weight among all that want more.
    """
    allocation = dict.fromkeys(wants, 0.0)
    rest, open_ = total, sorted(name for name, want in wants.items() if want > 0.0)
    while open_ and rest > 1e-12:
        unit = rest / sum(weights.get(name, 1.0) for name in open_)
        full = [name for name in open_ if wants[name] - allocation[name] <= unit * weights.get(name, 1.0)]
        for name in full or open_:
            given = wants[name] - allocation[name] if full else unit * weights.get(name, 1.0)
            allocation[name] += given
            rest -= given
        if not full:
            break
        open_ = [name for name in open_ if name not in full]
    return allocation


class Share:
    """The shares of the partners in one service."""

    def __init__(self, partners: Mapping[str, str], weights: Mapping[str, float], now: float) -> None:
        self.partners, self.weights = dict(partners), dict(weights)
        self.places = 0.0  # due messages that this gateway may hold
        self.held: dict[str, int] = {}  # by partner
        # recent demand by partner; only what a partner does not want is lent
        self.wanted: dict[str, float] = {}
        self.prios: dict[str, set[int]] = {}
        self.completed, self.completion_rate, self.observed_at = 0, 0.0, now
        self.taken = 0
        self.figures = {"refused": 0, "lent": 0}

    def partner(self, route: str) -> str:
        return self.partners.get(route, route)

    def observe(self, now: float, places: float, held: Mapping[str, int], ended: int) -> None:
        """Updates the due messages by partner, and the number that have ended since the last call."""
        passed = now - self.observed_at
        if passed > 0.0:
            part = min(1.0, passed / AVERAGING_TIME)
            self.completion_rate += part * (ended / passed - self.completion_rate)
            for partner in {*self.wanted, *held}:
                wants = float(held.get(partner, 0))
                known = self.wanted.get(partner, 0.0)
                self.wanted[partner] = max(wants, known + part * (wants - known))
        self.places, self.held, self.observed_at = places, dict(held), now

    @property
    def scarce(self) -> bool:
        """Whether the slots are all busy, so that nothing more is lent."""
        return sum(self.held.values()) >= LENT * self.places

    def allotted(self, partner: str) -> float:
        """The partner's part of the places if it had unlimited demand."""
        wants = {name: want for name, want in self.wanted.items() if want > 0.0}
        wants[partner] = self.places + 1.0
        return maxmin(wants, self.weights, self.places)[partner]

    def admit(self, route: str, prio: int) -> float:
        """Requests a place for a message: 0 if it is accepted (and counted), else the seconds until a retry.
        Priority 0 is the highest."""
        partner = self.partner(route)
        ranks = self.prios.setdefault(partner, set())
        ranks.add(prio)
        held = self.held.get(partner, 0)
        part = max(MIN_PRIORITY_SHARE, 1.0 - PRIORITY_STEP * sum(other < prio for other in ranks))
        if self.scarce:
            allotted = part * self.allotted(partner)
            if held + 1 > max(1.0, allotted):
                self.figures["refused"] += 1
                over = held + 1 - allotted
                refill_rate = self.completion_rate * allotted / self.places if self.places else 0.0
                wait = over / refill_rate if refill_rate > 0.0 else MAX_RETRY_AFTER
                return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait / part))
        elif held + 1 > self.allotted(partner):
            self.figures["lent"] += 1
        self.held[partner] = held + 1
        self.wanted[partner] = max(self.wanted.get(partner, 0.0), held + 1.0)
        return 0.0


def packed(shares: list[Any]) -> bytes:
    """The form that gateways read; empty if there are no shares."""
    return json.dumps([[s.service, s.routes, s.weights] for s in shares]).encode() if shares else b""


def read(body: bytes, now: float) -> dict[str, Share]:
    """The shares by service; `body` comes from `packed`."""
    return {svc: Share(partners, weights, now) for svc, partners, weights in json.loads(body or b"[]")}
