"""Weighted max-min shares of a service while it is short, as one counter holds them. No socket, no clock.

A service is short here once the messages that are due at this counter keep its part of the workers' slots
busy. Until then everybody may have all: what one leaves unused is lent. From then on a partner is taken in
only within its share of the places, which are three to a slot, so that who borrowed gets no more until it has
given back, and who has not borrowed is still served. Nothing that was taken in is dropped. So at most a third
more than the places is held, and a partner that stays within its share waits behind no more than that.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

DEPTH = 3.0  # messages due to each slot: one that runs, and by right two that wait
LENT = 1.0 / DEPTH  # part of the places up to which what others leave is lent: each slot busy, nobody waiting
SOONEST, LATEST = 0.1, 5.0  # s of Retry-After: within a client's patience, and one in which a window changes
STEP = 0.25  # part of its share that each lower priority leaves to the higher ones of the same partner
LEAST = 0.25  # part that the lowest has: none is shut out by priority alone
MEAN = 2.0  # s over which the pace of ends is taken


def maxmin(wants: Mapping[str, float], weights: Mapping[str, float], whole: float) -> dict[str, float]:
    """Each gets what it wants, or the same part for its weight as all others that do not: water filling."""
    found = dict.fromkeys(wants, 0.0)
    left, open_ = whole, sorted(name for name, want in wants.items() if want > 0.0)
    while open_ and left > 1e-12:
        unit = left / sum(weights.get(name, 1.0) for name in open_)
        full = [name for name in open_ if wants[name] - found[name] <= unit * weights.get(name, 1.0)]
        for name in full or open_:
            given = wants[name] - found[name] if full else unit * weights.get(name, 1.0)
            found[name] += given
            left -= given
        if not full:
            break
        open_ = [name for name in open_ if name not in full]
    return found


class Share:
    """Of one service."""

    def __init__(self, partners: Mapping[str, str], weights: Mapping[str, float], now: float) -> None:
        self.partners, self.weights = dict(partners), dict(weights)
        self.places = 0.0  # messages due that this counter may hold
        self.held: dict[str, int] = {}  # by partner
        self.wanted: dict[str, float] = {}  # of late: what lends no more than it does not want
        self.prios: dict[str, set[int]] = {}
        self.ends, self.pace, self.at = 0, 0.0, now
        self.taken = 0
        self.figures = {"refused": 0, "lent": 0}

    def partner(self, route: str) -> str:
        return self.partners.get(route, route)

    def observe(self, now: float, places: float, held: Mapping[str, int], ended: int) -> None:
        """What is due here by partner, and how many have ended here since the last time."""
        passed = now - self.at
        if passed > 0.0:
            part = min(1.0, passed / MEAN)
            self.pace += part * (ended / passed - self.pace)
            for partner in {*self.wanted, *held}:
                wants = float(held.get(partner, 0))
                known = self.wanted.get(partner, 0.0)
                self.wanted[partner] = max(wants, known + part * (wants - known))
        self.places, self.held, self.at = places, dict(held), now

    @property
    def short(self) -> bool:
        return sum(self.held.values()) >= LENT * self.places

    def allotted(self, partner: str) -> float:
        """Its part of the places, had it any number to bring in."""
        wants = {name: want for name, want in self.wanted.items() if want > 0.0}
        wants[partner] = self.places + 1.0
        return maxmin(wants, self.weights, self.places)[partner]

    def ask(self, route: str, prio: int) -> float:
        """Nought: it may come in, and is counted. Else the seconds after which to come again. The highest
        priority is 0."""
        partner = self.partner(route)
        ranks = self.prios.setdefault(partner, set())
        ranks.add(prio)
        held = self.held.get(partner, 0)
        part = max(LEAST, 1.0 - STEP * sum(other < prio for other in ranks))
        if self.short:
            allotted = part * self.allotted(partner)
            if held + 1 > max(1.0, allotted):
                self.figures["refused"] += 1
                over = held + 1 - allotted
                own = self.pace * allotted / self.places if self.places else 0.0
                wait = over / own if own > 0.0 else LATEST
                return min(LATEST, max(SOONEST, wait / part))
        elif held + 1 > self.allotted(partner):
            self.figures["lent"] += 1
        self.held[partner] = held + 1
        self.wanted[partner] = max(self.wanted.get(partner, 0.0), held + 1.0)
        return 0.0


def packed(shares: list[Any]) -> bytes:
    """As counters read it; nothing for none."""
    return json.dumps([[s.service, s.routes, s.weights] for s in shares]).encode() if shares else b""


def read(body: bytes, now: float) -> dict[str, Share]:
    """By service."""
    return {svc: Share(partners, weights, now) for svc, partners, weights in json.loads(body or b"[]")}
