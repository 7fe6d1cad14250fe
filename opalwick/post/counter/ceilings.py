"""Services that bear only so many messages a second: one counter has the ceiling and hands out permits.

The holder's lease on the duty is granted by a majority of offices and counted from before it asked; it stops
`MARGIN` before its end, and begins with nothing saved up. A permit is used within `USE` of being asked for or
not at all. So the most that arrives in a window w is rate * (w + USE) + SAVED. No I/O.
"""

from __future__ import annotations

import zlib
from typing import Any

from opalwick.post.wire_pb2 import Lease, Leased, Permit, Permitted

SPAN = 1.4  # s of a lease: three renewals, and under what a voter grants at most
RENEW = 0.4  # s between words to the offices of one that has a duty, or wants what nobody has
IDLE = 2.0  # s between words of one that only wants to know who has it
MARGIN = 0.3  # s: a hand's breadth for clocks that run apart and a process that stands still
REPLY = 0.3  # s for a majority to grant: ten trips; then what was granted is given back
USE = 0.25  # s: under a twentieth of the shortest window that is judged
SAVED = 3.0  # permits: with USE, a ceiling of 20 a second stays under a tenth more in five seconds
TURN = 0.1  # s that each next counter waits longer until it asks for a duty that nobody has: some trips
HOMES = 4  # counters that have duties while they are there: all others are linked to these alone
BATCH = 8  # permits asked for at once: what a few tens of milliseconds need


class Held:
    __slots__ = ("at", "rate", "tokens", "until")

    def __init__(self, rate: float, now: float, until: float) -> None:
        self.rate, self.tokens, self.at, self.until = rate, 0.0, now, until

    def take(self, now: float, count: int) -> int:
        self.tokens = min(SAVED, self.tokens + (now - self.at) * self.rate)
        self.at = now
        given = min(count, int(self.tokens))
        self.tokens -= given
        return given


class Ceilings:
    def __init__(self, node: str, life: int) -> None:
        self.node, self.me = node, f"{node}/{life}"
        self.now = 0.0
        self.rates: dict[str, float] = {}
        self.counters: list[str] = []
        self.ranks: dict[str, int] = {}  # this counter's place among all, by duty
        self.offices = 1  # voters
        self.voters: dict[str, int] = {}  # as each office has told; who votes may be changing
        self.held: dict[str, Held] = {}
        self.holders: dict[str, str] = {}  # by what a majority of offices said
        self.heard: dict[str, dict[str, str]] = {}  # office: duty: process
        self.none_since: dict[str, float] = {}
        self.back_at: dict[str, float] = {}  # when it was given back last
        self.tried: dict[str, float] = {}  # asked for, and not yet had
        self.asked: dict[int, tuple[float, set[str], dict[str, int]]] = {}  # lease calls: at, offices, grants
        self.calls = 0
        self.leaving = False
        self.lease_at = 0.0
        self.wants: dict[str, int] = {}  # how many wait
        self.permits: dict[int, tuple[str, float]] = {}  # calls under way: service, when asked
        self.again_at: dict[str, float] = {}
        self.sends: list[tuple[str, str, Any]] = []  # to nodes; "offices": to all
        self.permitted: list[tuple[str, int]] = []
        self.figures = {"granted": 0, "used_here": 0, "late": 0}

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[tuple[str, int]]]:
        found = self.sends, self.permitted
        self.sends, self.permitted = [], []
        return found

    def configured(self, rates: dict[str, float], counters: list[str], offices: int) -> None:
        """`offices`: as far as is known; each of their answers tells whose majority grants."""
        if self.counters != counters or self.rates.keys() != rates.keys():
            self.ranks = {}
        self.rates, self.counters = rates, counters
        self.offices = self.offices if self.heard else max(1, offices)
        self.held = {svc: held for svc, held in self.held.items() if rates.get(svc) == held.rate}

    def rank(self, svc: str) -> int:
        """This counter's place among all for that duty, by a hash that all share; the homes come first."""
        if svc not in self.ranks:
            homes = sorted(self.counters, key=lambda node: (zlib.crc32(node.encode()), node))[:HOMES]
            order = sorted(
                self.counters, key=lambda node: (node not in homes, zlib.crc32(f"{svc}/{node}".encode()))
            )
            self.ranks[svc] = order.index(self.node) if self.node in order else len(order)
        return self.ranks[svc]

    def holds(self, svc: str) -> Held | None:
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
        """To all offices: its duties again, those that nobody has in its turn, and what it must give back."""
        asks, back = [], []
        next_at = self.now + (RENEW if self.held or any(self.wants.values()) else IDLE)
        for svc in sorted(self.rates):
            holder = self.holders.get(svc, "")
            if self.holds(svc) is not None:
                asks.append(svc)
            elif self.leaving:
                continue
            elif svc in self.tried:
                if self.now - self.tried[svc] < REPLY:
                    next_at = min(next_at, self.tried[svc] + REPLY)
                    continue
                # some granted it and not enough: kept, none could ever have it
                del self.tried[svc]
                self.back_at[svc] = self.none_since[svc] = self.now
                back.append(svc)
                next_at = min(next_at, self.now + TURN * (1 + self.rank(svc)))
            elif holder and holder != self.me:
                self.none_since.pop(svc, None)
            else:
                turn = self.none_since.setdefault(svc, self.now) + TURN * self.rank(svc)
                if self.now >= turn:
                    self.tried[svc] = self.now
                    asks.append(svc)
                    next_at = min(next_at, self.now + REPLY)
                else:
                    next_at = min(next_at, turn)
        if back:
            self.sends.append(("offices", "lease", Lease(duties=back, span=0.0)))
        self.calls += 1
        self.asked = {call: asked for call, asked in self.asked.items() if self.now - asked[0] < 1.0}
        self.asked[self.calls] = self.now, set(), {}
        self.sends.append(("offices", "lease", Lease(call=self.calls, duties=asks, span=SPAN)))
        self.lease_at = max(next_at, self.now + 0.02)

    def leased(self, office: str, word: Leased) -> None:
        if word.voters:
            self.voters[office] = word.voters
            self.offices = max(self.voters.values())
        if not word.same:
            self.heard[office] = dict(word.held)
        asked = self.asked.get(word.call)
        if asked is not None and office not in asked[1]:
            at, told, grants = asked
            told.add(office)
            for svc in word.granted:
                if at <= self.back_at.get(svc, -1e9):
                    continue  # given back since: another may have it by now
                grants[svc] = grants.get(svc, 0) + 1
                if grants[svc] >= self.offices // 2 + 1 and svc in self.rates:
                    self.has(svc, at + SPAN - MARGIN)
        count: dict[tuple[str, str], int] = {}
        for held in self.heard.values():
            for svc, who in held.items():
                count[svc, who] = count.get((svc, who), 0) + 1
        self.holders = {svc: who for (svc, who), votes in count.items() if votes >= self.offices // 2 + 1}

    def has(self, svc: str, until: float) -> None:
        """A majority granted it until then."""
        self.tried.pop(svc, None)
        held = self.holds(svc)
        if held is None:
            self.held[svc] = Held(self.rates[svc], self.now, until)
        else:
            held.until = max(held.until, until)

    def leave(self) -> None:
        """It is to end: another may have its duties at once, and what it still grants is used by then."""
        back = sorted({*self.held, *self.tried})
        self.back_at = {svc: self.now for svc in self.rates}
        self.tried = {}
        self.held, self.leaving = {}, True
        if back:
            self.sends.append(("offices", "lease", Lease(duties=back, span=0.0)))

    def office_down(self, office: str) -> None:
        self.heard.pop(office, None)
        self.voters.pop(office, None)

    # ---- permits

    def want(self, svc: str, count: int) -> None:
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
        self.again_at[svc] = self.now + USE  # a lost word costs no more
        if not holder:
            self.lease_at = min(self.lease_at, self.now + RENEW)
        elif holder != self.node:
            self.calls += 1
            self.permits[self.calls] = svc, self.now
            self.sends.append((holder, "permit", Permit(call=self.calls, svc=svc, count=min(count, BATCH))))

    def permit(self, node: str, word: Permit) -> Permitted:
        """Another counter asks."""
        held = self.holds(word.svc)
        if held is None:
            return Permitted(call=word.call, svc=word.svc, holder=False, wait=USE)
        given = held.take(self.now, word.count)
        self.figures["granted"] += given
        wait = 0.0 if given == word.count else max(0.005, (1.0 - held.tokens) / held.rate)
        return Permitted(call=word.call, svc=word.svc, count=given, wait=wait, holder=True)

    def answered(self, word: Permitted) -> None:
        asked = self.permits.pop(word.call, None)
        if asked is None:
            return
        svc, at = asked
        self.again_at[svc] = self.now + word.wait
        if not word.holder:  # who has it now?
            self.holders.pop(svc, None)
            self.lease_at = min(self.lease_at, self.now + 0.05)
        if word.count and self.now - at < USE:
            self.wants[svc] = max(0, self.wants.get(svc, 0) - word.count)
            self.permitted.append((svc, word.count))
        elif word.count:
            self.figures["late"] += word.count
        if self.wants.get(svc, 0) > 0 and not word.wait:
            self.ask(svc, self.wants[svc])

    def next_at(self) -> float:
        waits = [self.again_at.get(svc, 0.0) for svc, count in self.wants.items() if count > 0]
        return min([self.lease_at if self.rates else float("inf"), *waits])

    def forget(self) -> None:
        unheard = [call for call, asked in self.permits.items() if self.now - asked[1] > 2.0 * USE]
        for call in unheard:  # the holder may be gone: who has it now?
            del self.permits[call]
            self.lease_at = min(self.lease_at, self.now)
