"""How a counter has messages kept: at how many depots, which, and when a client gets its answer. No I/O.

202 goes out once `copies` depots have it on their disks. An accept whose end at a depot is unknown gets no
promise (504): it may still run. Where nothing was said to any depot the answer is 503, and it never runs.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from opalwick.post.home.policy import Policy
from opalwick.post.wire_pb2 import Holders, Keep, Letter, Refuse

HEDGE = 0.04  # s until one more depot is asked: half of the shortest aim, several syncs and trips
GIVE_UP = 0.4  # s until a client is told that nobody knows: within the shortest deadline of 0.5
REMEMBER = 30.0  # s that a late depot is told who keeps a message: longer than any word is on its way
# s that a depot has waited for its disk after which it is asked last: half of HEDGE
BEHIND = 0.02
FRESH = 0.8  # s without a word after which a depot is passed over: three pulses


def known_name(letter: Letter) -> str:
    """Of a message that has its whole name already."""
    return letter.mid


class Told(NamedTuple):
    """To the client: 202 with the message's name, 503 or 504. `request`: the id that the client gave it."""

    call: Any
    status: int
    name: str = ""
    request: str = ""


class Accepted(NamedTuple):
    letter: Letter
    touched: tuple[str, ...]


class Depot:
    __slots__ = ("behind", "heard_at", "leaving", "node", "zone")

    def __init__(self, node: str, zone: str, now: float) -> None:
        self.node, self.zone, self.heard_at, self.leaving = node, zone, now, False
        self.behind = False


class Wait:
    __slots__ = ("asked", "began", "call", "full", "hedged", "kept", "letter", "parked", "taken_away")

    def __init__(self, call: Any, letter: Letter, parked: bool, began: float) -> None:
        self.call, self.letter, self.parked, self.began, self.hedged = call, letter, parked, began, False
        self.taken_away = False  # a depot has it delivered by another counter
        self.asked: list[str] = []
        self.kept: list[str] = []
        self.full: list[str] = []  # those that have no room for it


class Intake:
    def __init__(self, zone: str, copies: int, most: int, spread: bool = True) -> None:
        """`most`: accepts under way at once. `spread`: copies stand in different zones."""
        self.zone, self.copies, self.most, self.spread, self.now = zone, copies, most, spread, 0.0
        self.depots: dict[str, Depot] = {}
        self.retiring = set[str]()  # depots that are to be taken away
        self.policy: Policy | None = None  # where messages with a home may be kept
        self.waits: dict[str, Wait] = {}
        self.looks: list[tuple[float, str]] = []
        self.over: dict[
            str, tuple[float, list[str]]
        ] = {}  # answered before all depots had: when, who keeps it
        self.sends: list[tuple[str, str, Any]] = []
        self.told: list[Told] = []
        self.accepted: list[Accepted] = []
        self.figures = {"accepted": 0, "refused": 0, "unsure": 0, "hedged": 0}

    def clock(self, now: float) -> None:
        self.now = now

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[Told], list[Accepted]]:
        found = self.sends, self.told, self.accepted
        self.sends, self.told, self.accepted = [], [], []
        return found

    # ---- depots

    def depot_up(self, node: str, zone: str) -> None:
        self.depots[node] = Depot(node, zone, self.now)

    def depot_down(self, node: str) -> None:
        self.depots.pop(node, None)

    def depot_pulse(self, node: str, leaving: bool, behind: float = 0.0) -> None:
        """`behind`: s that it has waited for its disk."""
        if (depot := self.depots.get(node)) is not None:
            depot.heard_at, depot.leaving, depot.behind = self.now, leaving, behind >= BEHIND

    def able(self, home: str = "") -> list[Depot]:
        """`home`: the country that a message must not leave, if there is one."""
        return [
            d
            for d in self.depots.values()
            if not d.leaving
            and self.now - d.heard_at < FRESH
            and d.node not in self.retiring
            and (not home or (self.policy is not None and self.policy.country(d.zone) == home))
        ]

    def order(self, mid: str, home: str = "") -> list[Depot]:
        """Depots for a message, the best first: a near one (all such, if it need not be spread), then one of
        each other zone, by a hash that spreads the messages among them. Those whose disks are slow come last.
        """
        able = sorted(
            self.able(home), key=lambda d: (d.zone != self.zone, zlib.crc32(f"{mid}/{d.node}".encode()))
        )
        first: list[Depot] = []
        rest: list[Depot] = []
        zones: set[str] = set()
        for depot in able:
            (rest if depot.zone in zones else first).append(depot)
            if self.spread or depot.zone != self.zone:
                zones.add(depot.zone)
        # a sort keeps the order of equals
        return sorted(first + rest, key=lambda depot: depot.behind)

    # ---- messages

    def under_way(self, node: str) -> list[str]:
        """What this depot was asked to keep and this counter will deliver: what has just been accepted and is
        not handed on yet is among it, or the depot would take it for nobody's.
        """
        waits = [mid for mid, wait in self.waits.items() if node in wait.asked and not wait.parked]
        return waits + [letter.mid for letter, touched in self.accepted if node in touched]

    def offered(
        self, call: Any, letter: Letter, parked: bool, name: Callable[[Letter], str] = known_name
    ) -> None:
        """`name`: the message's whole name, once `letter.holders` says which depots are asked to keep it."""
        order = self.order(letter.mid, letter.home)[: self.copies]
        if len(order) < self.copies or len(self.waits) >= self.most:
            self.figures["refused"] += 1
            self.told.append(Told(call, 503))
            return
        letter.holders.extend(depot.node for depot in order)
        letter.mid = name(letter)
        wait = self.waits[letter.mid] = Wait(call, letter, parked, self.now)
        for depot in order:
            self.ask(wait, depot.node)
        heapq.heappush(self.looks, (self.now + HEDGE, letter.mid))

    def ask(self, wait: Wait, node: str) -> None:
        wait.asked.append(node)
        self.sends.append((node, "keep", Keep(letter=wait.letter, parked=wait.parked)))

    def kept(self, node: str, mid: str, refused: bool = False) -> None:
        wait = self.waits.get(mid)
        if wait is None:
            self.late(node, mid, refused)
            return
        if node in wait.kept or node in wait.full:
            return
        if refused:
            self.refused(wait, node)
            return
        wait.kept.append(node)
        if len(wait.kept) >= self.copies:
            del self.waits[mid]
            letter = wait.letter
            holders = [node for node in wait.asked if node in wait.kept]
            touched = tuple(node for node in wait.asked if node not in wait.full)
            if len(touched) > len(holders):  # a copy too many would wait where no end is ever told
                self.over[mid] = self.now, holders
            if wait.hedged:  # what was meant first is not what has it
                del letter.holders[:]
                letter.holders.extend(holders)
                for one in touched:  # one whose disk is behind might assign it from memory
                    self.sends.append((one, "holders", Holders(mid=mid, holders=holders)))
            self.figures["accepted"] += 1
            self.told.append(Told(wait.call, 202, mid, letter.rid))
            if not wait.parked:
                self.accepted.append(Accepted(letter, touched))
            if wait.taken_away:
                self.taken_away([mid])
        elif len(wait.full) + len(wait.kept) == len(wait.asked) > self.copies - 1 and wait.full:
            self.refused(wait, "")

    def taken_away(self, mids: Iterable[str]) -> None:
        """These have another deliverer, says a depot: once they are accepted they are not delivered here."""
        for mid in mids:
            if (wait := self.waits.get(mid)) is not None:
                wait.taken_away = True
        for one in [one for one in self.accepted if one.letter.mid in mids]:
            self.accepted.remove(one)
            # those that take this counter for the deliverer must not wait for it
            refuse = Refuse(mid=one.letter.mid, claim=one.letter.claim)
            self.sends += [(node, "refuse", refuse) for node in one.touched]

    def late(self, node: str, mid: str, refused: bool) -> None:
        """It answers after the client was: it is told who keeps the message, and drops it if it does not."""
        found = self.over.get(mid)
        if found is not None and not refused:
            self.sends.append((node, "holders", Holders(mid=mid, holders=found[1])))

    def refused(self, wait: Wait, node: str) -> None:
        """That depot has no room, and never had it: another is asked, or the client is told at once."""
        if node:
            wait.full.append(node)
        mid = wait.letter.mid
        further = next((d.node for d in self.order(mid, wait.letter.home) if d.node not in wait.asked), None)
        if further is not None:
            wait.hedged = True
            self.ask(wait, further)
            return
        if len(wait.full) == len(wait.asked):  # nobody has it, nor ever had
            del self.waits[mid]
            self.figures["refused"] += 1
            self.told.append(Told(wait.call, 503))
        elif len(wait.full) + len(wait.kept) == len(wait.asked):
            self.give_up(wait)

    def give_up(self, wait: Wait) -> None:
        """Too few have said that they have it. Who has it drops it, as the client will not ask again."""
        del self.waits[wait.letter.mid]
        self.figures["unsure"] += 1
        self.told.append(Told(wait.call, 504))
        self.over[wait.letter.mid] = self.now, []
        for node in wait.asked:
            if node not in wait.full:
                self.sends.append((node, "holders", Holders(mid=wait.letter.mid)))

    def next_at(self) -> float:
        return self.looks[0][0] if self.looks else float("inf")

    def tick(self) -> None:
        while self.looks and self.looks[0][0] <= self.now:
            mid = heapq.heappop(self.looks)[1]
            wait = self.waits.get(mid)
            if wait is None:
                continue
            end = wait.began + GIVE_UP
            if self.now >= end:
                self.give_up(wait)
                continue
            further = next(
                (d.node for d in self.order(mid, wait.letter.home) if d.node not in wait.asked), None
            )
            if further is not None:
                wait.hedged = True
                self.figures["hedged"] += 1
                self.ask(wait, further)
            heapq.heappush(self.looks, (min(self.now + HEDGE, end), mid))
        while self.over and self.now - next(iter(self.over.values()))[0] > REMEMBER:
            del self.over[next(iter(self.over))]
