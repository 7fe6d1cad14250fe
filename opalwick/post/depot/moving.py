"""Repair and rebalancing: moves replicas off a store that is to be removed, and restores those of a lost
store. No sockets, disk or clock; part of `keeping.py`.

A replica moves in steps: its bytes go to another store, which writes and confirms them; then all stores that
have the message receive the new list of replicas, and one that is not on the list drops its own. Until then
there are more replicas than required, never fewer.
"""

from __future__ import annotations

import zlib
from collections import deque
from typing import Any, NamedTuple

from opalwick.post.depot.messages import Messages
from opalwick.post.depot.records import Entry
from opalwick.post.wire_pb2 import Holders

AT_ONCE = 64  # transfers in progress at once: a few hundred kilobytes, a tenth of a second of a disk
AGAIN = 2.0  # s until an unanswered transfer is tried again, perhaps to another store
# s that a store is away until its replicas are restored elsewhere: over twice its slowest restart
REPAIR = 8.0
# s without a heartbeat after which a store counts as replaced, if a store that is new to the cluster has
# come; soon, as a further store may be lost once the new one has had its time to fill
REPLACED = 1.2
LOOK = 0.5  # s between scans for replicas to move


class Transfer(NamedTuple):
    """A replica that is being transferred to another store."""

    target: str
    since: float  # s, this store's clock
    holders: tuple[str, ...]  # stores that have the message once the transfer is done


class Moving:
    """Transfers of replicas and ends from this store to others."""

    def __init__(self, store: Messages, copies: int, spread: bool) -> None:
        self.k, self.copies, self.spread = store, copies, spread
        self.retiring = set[str]()  # stores that are to be removed; may include this one
        self.zones: dict[str, str] = {}  # by store
        self.away_since: dict[str, float] = {}  # stores that were linked and are not: since when
        self.came: dict[str, float] = {}  # stores that have connected for the first time: when
        self.disks: dict[str, str] = {}
        self.on_way: dict[str, Transfer] = {}  # by message id
        self.ends: dict[str, set[str]] = {}  # ends in transfer: the stores that have not confirmed them
        self.ends_since: dict[str, float] = {}
        self.ends_done = set[str]()
        self.todo: deque[str] = deque()
        self.look_at = 0.0
        self.figures = {"moved": 0, "repaired": 0}

    # ---- membership

    def up(self, node: str, zone: str, disk: str) -> None:
        """A link to a store is up. One that comes back with another disk is sent the ends that it had."""
        if node not in self.zones and self.k.settled:
            self.came[node] = self.k.now
        self.zones[node] = zone
        self.away_since.pop(node, None)
        known, self.disks[node] = self.disks.get(node), disk
        if known is not None and known != disk:  # it lost its disk, and with it all ends
            for mid, end in self.k.ends.items():
                if node in end.holders:
                    self.k.tell_end(mid, [node])

    def down(self, node: str) -> None:
        """The link to a store is down."""
        self.away_since[node] = self.k.now

    def able(self) -> list[str]:
        """Stores that can take a replica."""
        k = self.k
        return [
            node
            for node, received_at in k.peers.items()
            if k.now - received_at < 1.0 and k.peers_settled.get(node, False) and node not in self.retiring
        ]

    def at(self, node: str) -> str:
        """The country that a store is in, by the data residency policy; empty where it is unknown."""
        return self.k.country(self.zones.get(node, "") if node != self.k.node else self.k.zone)

    def choose(self, mid: str, holders: tuple[str, ...], count: int = 1, home: str = "") -> list[str]:
        """Returns up to `count` stores for a further replica, the best first: in a zone without one (if
        replicas need not be spread: in a zone with one), then by a hash that is the same at all stores.
        `home`: only stores in that country.
        """
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
        """Starts transfers, and drops those that were not answered in time."""
        k = self.k
        if not k.settled or k.now < self.look_at:
            return
        self.look_at = k.now + LOOK
        for mid in [mid for mid, transfer in self.on_way.items() if k.now - transfer.since > AGAIN]:
            del self.on_way[mid]
        for mid in [
            mid for mid, since in self.ends_since.items() if k.now - since > AGAIN and mid in self.ends
        ]:
            del self.ends[mid]  # sent again by the next scan, perhaps to another store
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
        """Stores that are taken to be lost with their replicas."""
        k = self.k
        self.came = {node: since for node, since in self.came.items() if k.now - since < REPAIR}
        gone = {node for node, since in self.away_since.items() if k.now - since > REPAIR}
        if self.came:
            last_seen = self.away_since | k.peers
            gone |= {node for node, since in last_seen.items() if k.now - since > REPLACED}
        return gone

    def start(self, entry: Entry, without: str) -> None:
        """Starts moving a replica away from the store `without`."""
        if entry.mid in self.on_way or len(self.on_way) >= AT_ONCE:
            return
        left = tuple(node for node in entry.holders if node != without)
        target = self.choose(entry.mid, entry.holders, home=entry.home)
        # the other replicas may be enough, where the gateway replaced a store that did not answer
        if target or len(left) >= self.copies:
            holders = left if len(left) >= self.copies else (*left, target[0])
            if holders == left:
                self.settle(entry, holders)
                return
            self.on_way[entry.mid] = Transfer(target[0], self.k.now, holders)
            self.k.fetch(entry.mid, ("move", target[0], holders))

    def move_ends(self) -> None:
        """Of a store that is to be removed: sends each end, and a dead message's bytes, until enough others
        have it.
        """
        for mid, end in list(self.k.ends.items()):
            if mid in self.ends_done or mid in self.ends or mid in self.k.unsynced:
                continue
            if len(self.ends) >= 4 * AT_ONCE:
                break
            others = [node for node in end.holders if node != self.k.node and node in self.able()]
            # an end does not say whose message it was: if all replicas were in one country, it stays there
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
        """Sends an end to these stores."""
        self.k.tell_end(mid, targets)

    # ---- answers

    def kept(self, node: str, mid: str, refused: bool) -> None:
        """A store has answered a transfer."""
        transfer = self.on_way.get(mid)
        if transfer is None or transfer.target != node:
            return
        del self.on_way[mid]
        if 2 * len(self.on_way) < AT_ONCE:
            self.look_at = self.k.now  # starts further transfers without waiting for the next scan
        entry = self.k.entries.get(mid)
        if entry is not None and not refused:
            self.settle(entry, transfer.holders)
        elif mid in self.k.ends and not refused:  # the message ended during the transfer
            self.k.tell_end(mid, [node])

    def settle(self, entry: Entry, holders: tuple[str, ...]) -> None:
        """Sends the new list of replicas to all stores that are or were on it, and to the owner."""
        msg = Holders(mid=entry.mid, holders=holders)
        for node in dict.fromkeys((*entry.holders, *holders)):
            if node != self.k.node:
                self.k.send(node, "holders", msg)
        if entry.owner:
            self.k.send(entry.owner.rpartition("/")[0], "holders", msg)
        self.figures["moved" if self.k.node not in holders else "repaired"] += 1
        self.k.holders(self.k.node, msg)

    def ended(self, node: str, mid: str) -> None:
        """A store has confirmed an end."""
        missing = self.ends.get(mid)
        if missing is not None:
            missing.discard(node)
            if not missing:
                del self.ends[mid], self.ends_since[mid]
                self.ends_done.add(mid)

    @property
    def empty(self) -> bool:
        """This store is to be removed, all that it has is elsewhere too, and its disk is sealed against
        more.
        """
        return self.drained and self.k.seal.written is not None

    @property
    def drained(self) -> bool:
        """This store is to be removed, and all that it has is elsewhere too."""
        return (
            self.k.node in self.retiring
            and self.k.settled
            and not self.k.entries
            and not self.on_way
            and all(mid in self.ends_done for mid in self.k.ends)
        )
