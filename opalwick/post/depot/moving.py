"""Copies that must stand elsewhere: those of a depot that is to be taken away, and those that a depot which
is gone should have had. No socket, no disk, no clock; part of `keeping.py`.

A copy moves in steps: its octets go to another depot, which writes them and says so; then all who keep the
message learn who does from now on, and one that is not named drops its copy. Until that, more copies stand
than are owed, never fewer.
"""

from __future__ import annotations

import zlib
from collections import deque
from typing import Any, NamedTuple

from opalwick.post.depot.messages import Messages
from opalwick.post.depot.records import Entry
from opalwick.post.wire_pb2 import Holders

AT_ONCE = 64  # messages on the way at once: some hundred kilobytes, a tenth of a second of a disk
AGAIN = 2.0  # s until a move that nobody answered is tried again, perhaps elsewhere
REPAIR = 8.0  # s that a depot is away until what it keeps is copied anew: over twice its slowest restart
# s unheard, where one has come that was never here: it is taken to be in that one's place, and a further loss
# may follow once the new one has had its time
REPLACED = 1.2
LOOK = 0.5  # s between looks for what must move


class Transfer(NamedTuple):
    """A copy of a message that is on its way to another depot."""

    target: str
    since: float  # s, this depot's clock
    holders: tuple[str, ...]  # who keeps the message once it is there


class Moving:
    def __init__(self, keeping: Messages, copies: int, spread: bool) -> None:
        self.k, self.copies, self.spread = keeping, copies, spread
        self.retiring = set[str]()  # depots that are to be taken away; may be this one
        self.zones: dict[str, str] = {}  # of depots
        self.away_since: dict[str, float] = {}  # depots that were here and are not
        self.came: dict[str, float] = {}  # depots that have come and never were here before
        self.disks: dict[str, str] = {}
        self.on_way: dict[str, Transfer] = {}  # by message
        self.ends: dict[str, set[str]] = {}  # ends on their way: who has not said that it has them
        self.ends_since: dict[str, float] = {}
        self.ends_done = set[str]()
        self.todo: deque[str] = deque()
        self.look_at = 0.0
        self.figures = {"moved": 0, "repaired": 0}

    # ---- who is there

    def up(self, node: str, zone: str, disk: str) -> None:
        if node not in self.zones and self.k.settled:
            self.came[node] = self.k.now
        self.zones[node] = zone
        self.away_since.pop(node, None)
        known, self.disks[node] = self.disks.get(node), disk
        if known is not None and known != disk:  # it lost its disk: it has no end any more
            for mid, end in self.k.ends.items():
                if node in end.holders:
                    self.k.tell_end(mid, [node])

    def down(self, node: str) -> None:
        self.away_since[node] = self.k.now

    def able(self) -> list[str]:
        k = self.k
        return [
            node
            for node, at in k.peers.items()
            if k.now - at < 1.0 and k.peers_settled.get(node, False) and node not in self.retiring
        ]

    def at(self, node: str) -> str:
        """The country that a depot is in, by the policy."""
        return self.k.country(self.zones.get(node, "") if node != self.k.node else self.k.zone)

    def choose(self, mid: str, holders: tuple[str, ...], count: int = 1, home: str = "") -> list[str]:
        """Depots that may have a copy, the best first: in a zone of its own (or of others, if it need not
        be spread), then by a hash all share."""
        zones = {self.zones.get(node, "") if node != self.k.node else self.k.zone for node in holders}
        return sorted(
            (node for node in self.able() if node not in holders and (not home or self.at(node) == home)),
            key=lambda node: (
                (self.zones.get(node) in zones) == self.spread,
                zlib.crc32(f"{mid}/{node}".encode()),
            ),
        )[:count]

    # ---- time

    def tick(self) -> None:
        k = self.k
        if not k.settled or k.now < self.look_at:
            return
        self.look_at = k.now + LOOK
        for mid in [mid for mid, transfer in self.on_way.items() if k.now - transfer.since > AGAIN]:
            del self.on_way[mid]
        for mid in [mid for mid, at in self.ends_since.items() if k.now - at > AGAIN and mid in self.ends]:
            del self.ends[mid]  # tried again, perhaps elsewhere
        if k.node in self.retiring:
            for entry in sorted(k.entries.values(), key=lambda e: e.until)[: 4 * AT_ONCE]:
                self.start(entry, k.node)
            self.move_ends()
            if (key := k.seal.due(self.drained)) is not None:
                k.seals(key)
            return
        gone = self.gone()
        if gone:
            for entry in sorted(k.entries.values(), key=lambda e: e.until):
                lost = next((node for node in entry.holders if node in gone), None)
                if lost is not None and k.acts(entry):
                    self.start(entry, lost)

    def gone(self) -> set[str]:
        """Depots that keep nothing any more, as far as can be told."""
        k = self.k
        self.came = {node: at for node, at in self.came.items() if k.now - at < REPAIR}
        gone = {node for node, at in self.away_since.items() if k.now - at > REPAIR}
        if self.came:
            unheard = self.away_since | k.peers
            gone |= {node for node, at in unheard.items() if k.now - at > REPLACED}
        return gone

    def start(self, entry: Entry, without: str) -> None:
        if entry.mid in self.on_way or len(self.on_way) >= AT_ONCE:
            return
        left = tuple(node for node in entry.holders if node != without)
        target = self.choose(entry.mid, entry.holders, home=entry.home)
        # who else is named may be enough already, where a depot was asked in vain at first
        if target or len(left) >= self.copies:
            holders = left if len(left) >= self.copies else (*left, target[0])
            if holders == left:
                self.settle(entry, holders)
                return
            self.on_way[entry.mid] = Transfer(target[0], self.k.now, holders)
            self.k.fetch(entry.mid, ("move", target[0], holders))

    def move_ends(self) -> None:
        """Of a depot that is to be taken away: enough others have each end, and a dead message's octets."""
        for mid, end in list(self.k.ends.items()):
            if mid in self.ends_done or mid in self.ends or mid in self.k.unsynced:
                continue
            if len(self.ends) >= 4 * AT_ONCE:
                break
            others = [node for node in end.holders if node != self.k.node and node in self.able()]
            # an end does not tell whose message it was: where all that had it are in one country it stays
            countries = {self.at(node) for node in end.holders}
            home = countries.pop() if len(countries) == 1 else ""
            targets = others + self.choose(mid, end.holders, max(0, self.copies - len(others)), home)
            if not targets:
                continue
            self.ends[mid], self.ends_since[mid] = set(targets), self.k.now
            if mid in self.k.dead:
                self.k.fetch(mid, ("dead", tuple(targets)))
            else:
                self.say_end(mid, targets)

    def say_end(self, mid: str, targets: Any) -> None:
        self.k.tell_end(mid, targets)

    # ---- answers

    def kept(self, node: str, mid: str, refused: bool) -> None:
        """A depot has what was on its way to it."""
        transfer = self.on_way.get(mid)
        if transfer is None or transfer.target != node:
            return
        del self.on_way[mid]
        if 2 * len(self.on_way) < AT_ONCE:
            self.look_at = self.k.now  # further ones need not wait for the next look
        entry = self.k.entries.get(mid)
        if entry is not None and not refused:
            self.settle(entry, transfer.holders)
        elif mid in self.k.ends and not refused:  # it has ended while its copy was on its way
            self.k.tell_end(mid, [node])

    def settle(self, entry: Entry, holders: tuple[str, ...]) -> None:
        """All who keep it, or did, and who delivers it, learn who does from now on."""
        word = Holders(mid=entry.mid, holders=holders)
        for node in dict.fromkeys((*entry.holders, *holders)):
            if node != self.k.node:
                self.k.send(node, "holders", word)
        if entry.owner:
            self.k.send(entry.owner.rpartition("/")[0], "holders", word)
        self.figures["moved" if self.k.node not in holders else "repaired"] += 1
        self.k.holders(self.k.node, word)

    def ended(self, node: str, mid: str) -> None:
        missing = self.ends.get(mid)
        if missing is not None:
            missing.discard(node)
            if not missing:
                del self.ends[mid], self.ends_since[mid]
                self.ends_done.add(mid)

    @property
    def empty(self) -> bool:
        """It is to be taken away, nothing is here that does not stand elsewhere, and nothing will be."""
        return self.drained and self.k.seal.written is not None

    @property
    def drained(self) -> bool:
        """It is to be taken away, and nothing is here that does not stand elsewhere."""
        return (
            self.k.node in self.retiring
            and self.k.settled
            and not self.k.entries
            and not self.on_way
            and all(mid in self.ends_done for mid in self.k.ends)
        )
