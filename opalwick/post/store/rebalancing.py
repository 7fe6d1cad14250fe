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

from opalwick.post.store.state import StoreState
from opalwick.post.store.records import Entry
from opalwick.post.wire_pb2 import Holders

MAX_TRANSFERS = 64  # transfers in progress at once: a few hundred kilobytes, a tenth of a second of a disk
TRANSFER_RETRY = 2.0  # s until an unanswered transfer is tried again, perhaps to another store
# s that a store is away until its replicas are restored elsewhere: over twice its slowest restart
REPAIR_AFTER = 8.0
# s without a heartbeat after which a store counts as replaced, if a store that is new to the cluster has
# come; soon, as a further store may be lost once the new one has had its time to fill
REPLACED_AFTER = 1.2
SCAN_INTERVAL = 0.5  # s between scans for replicas to move


class Transfer(NamedTuple):
    """A replica that is being transferred to another store."""

    target: str
    since: float  # s, this store's clock
    replicas: tuple[str, ...]  # stores that have the message once the transfer is done


class Rebalancing:
    """Transfers of replicas and ends from this store to others."""

    def __init__(self, store: StoreState, copies: int, spread: bool) -> None:
        self.store, self.copies, self.spread = store, copies, spread
        self.retiring = set[str]()  # stores that are to be removed; may include this one
        self.zones: dict[str, str] = {}  # by store
        self.away_since: dict[str, float] = {}  # stores that were linked and are not: since when
        self.newcomers: dict[str, float] = {}  # stores that have connected for the first time: when
        self.disks: dict[str, str] = {}
        self.transfers: dict[str, Transfer] = {}  # by message id
        self.end_transfers: dict[
            str, set[str]
        ] = {}  # ends in transfer: the stores that have not confirmed them
        self.end_transfers_since: dict[str, float] = {}
        self.moved_ends = set[str]()
        self.todo: deque[str] = deque()
        self.next_scan = 0.0
        self.figures = {"moved": 0, "repaired": 0}

    # ---- membership

    def up(self, node: str, zone: str, disk: str) -> None:
        """A link to a store is up. One that comes back with another disk is sent the ends that it had."""
        if node not in self.zones and self.store.settled:
            self.newcomers[node] = self.store.now
        self.zones[node] = zone
        self.away_since.pop(node, None)
        previous, self.disks[node] = self.disks.get(node), disk
        if previous is not None and previous != disk:  # it lost its disk, and with it all ends
            for mid, end in self.store.ends.items():
                if node in end.replicas:
                    self.store.send_end(mid, [node])

    def down(self, node: str) -> None:
        """The link to a store is down."""
        self.away_since[node] = self.store.now

    def available(self) -> list[str]:
        """Stores that can take a replica."""
        store = self.store
        return [
            node
            for node, received_at in store.peers.items()
            if store.now - received_at < 1.0
            and store.peers_settled.get(node, False)
            and node not in self.retiring
        ]

    def country_of(self, node: str) -> str:
        """The country that a store is in, by the data residency policy; empty where it is unknown."""
        return self.store.country(self.zones.get(node, "") if node != self.store.node else self.store.zone)

    def choose(self, mid: str, replicas: tuple[str, ...], count: int = 1, home: str = "") -> list[str]:
        """Returns up to `count` stores for a further replica, the best first: in a zone without one (if
        replicas need not be spread: in a zone with one), then by a hash that is the same at all stores.
        `home`: only stores in that country.
        """
        zones = {
            self.zones.get(node, "") if node != self.store.node else self.store.zone for node in replicas
        }
        return sorted(
            (
                node
                for node in self.available()
                if node not in replicas and (not home or self.country_of(node) == home)
            ),
            key=lambda node: (
                (self.zones.get(node) in zones) == self.spread,
                zlib.crc32(f"{mid}/{node}".encode()),
            ),
        )[:count]

    # ---- time

    def tick(self) -> None:
        """Starts transfers, and drops those that were not answered in time."""
        store = self.store
        if not store.settled or store.now < self.next_scan:
            return
        self.next_scan = store.now + SCAN_INTERVAL
        for mid in [
            mid for mid, transfer in self.transfers.items() if store.now - transfer.since > TRANSFER_RETRY
        ]:
            del self.transfers[mid]
        for mid in [
            mid
            for mid, since in self.end_transfers_since.items()
            if store.now - since > TRANSFER_RETRY and mid in self.end_transfers
        ]:
            del self.end_transfers[mid]  # sent again by the next scan, perhaps to another store
        if store.node in self.retiring:
            for entry in sorted(store.entries.values(), key=lambda e: e.until)[: 4 * MAX_TRANSFERS]:
                self.start(entry, store.node)
            self.move_ends()
            if (key := store.seal.due(self.drained)) is not None:
                store.write_seal(key)
            return
        gone = self.lost_stores()
        if gone:
            for entry in sorted(store.entries.values(), key=lambda e: e.until):
                lost = next((node for node in entry.replicas if node in gone), None)
                if lost is not None and store.is_acting(entry):
                    self.start(entry, lost)

    def lost_stores(self) -> set[str]:
        """Stores that are taken to be lost with their replicas."""
        store = self.store
        self.newcomers = {
            node: since for node, since in self.newcomers.items() if store.now - since < REPAIR_AFTER
        }
        gone = {node for node, since in self.away_since.items() if store.now - since > REPAIR_AFTER}
        if self.newcomers:
            last_seen = self.away_since | store.peers
            gone |= {node for node, since in last_seen.items() if store.now - since > REPLACED_AFTER}
        return gone

    def start(self, entry: Entry, without: str) -> None:
        """Starts moving a replica away from the store `without`."""
        if entry.mid in self.transfers or len(self.transfers) >= MAX_TRANSFERS:
            return
        left = tuple(node for node in entry.replicas if node != without)
        target = self.choose(entry.mid, entry.replicas, home=entry.home)
        # the other replicas may be enough, where the gateway replaced a store that did not answer
        if target or len(left) >= self.copies:
            replicas = left if len(left) >= self.copies else (*left, target[0])
            if replicas == left:
                self.complete(entry, replicas)
                return
            self.transfers[entry.mid] = Transfer(target[0], self.store.now, replicas)
            self.store.fetch(entry.mid, ("move", target[0], replicas))

    def move_ends(self) -> None:
        """Of a store that is to be removed: sends each end, and a dead message's bytes, until enough others
        have it.
        """
        for mid, end in list(self.store.ends.items()):
            if mid in self.moved_ends or mid in self.end_transfers or mid in self.store.unsynced:
                continue
            if len(self.end_transfers) >= 4 * MAX_TRANSFERS:
                break
            others = [node for node in end.replicas if node != self.store.node and node in self.available()]
            # an end does not say whose message it was: if all replicas were in one country, it stays there
            countries = {self.country_of(node) for node in end.replicas}
            home = countries.pop() if len(countries) == 1 else ""
            targets = others + self.choose(mid, end.replicas, max(0, self.copies - len(others)), home)
            if not targets:
                continue
            self.end_transfers[mid], self.end_transfers_since[mid] = set(targets), self.store.now
            if mid in self.store.dead_sizes:
                self.store.fetch(mid, ("dead", tuple(targets)))
            else:
                self.send_end(mid, targets)

    def send_end(self, mid: str, targets: Any) -> None:
        """Sends an end to these stores."""
        self.store.send_end(mid, targets)

    # ---- answers

    def kept(self, node: str, mid: str, refused: bool) -> None:
        """A store has answered a transfer."""
        transfer = self.transfers.get(mid)
        if transfer is None or transfer.target != node:
            return
        del self.transfers[mid]
        if 2 * len(self.transfers) < MAX_TRANSFERS:
            self.next_scan = self.store.now  # starts further transfers without waiting for the next scan
        entry = self.store.entries.get(mid)
        if entry is not None and not refused:
            self.complete(entry, transfer.replicas)
        elif mid in self.store.ends and not refused:  # the message ended during the transfer
            self.store.send_end(mid, [node])

    def complete(self, entry: Entry, replicas: tuple[str, ...]) -> None:
        """Sends the new list of replicas to all stores that are or were on it, and to the owner."""
        msg = Holders(mid=entry.mid, holders=replicas)
        for node in dict.fromkeys((*entry.replicas, *replicas)):
            if node != self.store.node:
                self.store.send(node, "holders", msg)
        if entry.owner:
            self.store.send(entry.owner.rpartition("/")[0], "holders", msg)
        self.figures["moved" if self.store.node not in replicas else "repaired"] += 1
        self.store.holders(self.store.node, msg)

    def ended(self, node: str, mid: str) -> None:
        """A store has confirmed an end."""
        missing = self.end_transfers.get(mid)
        if missing is not None:
            missing.discard(node)
            if not missing:
                del self.end_transfers[mid], self.end_transfers_since[mid]
                self.moved_ends.add(mid)

    @property
    def empty(self) -> bool:
        """This store is to be removed, all that it has is elsewhere too, and its disk is sealed against
        more.
        """
        return self.drained and self.store.seal.written is not None

    @property
    def drained(self) -> bool:
        """This store is to be removed, and all that it has is elsewhere too."""
        return (
            self.store.node in self.retiring
            and self.store.settled
            and not self.store.entries
            and not self.transfers
            and all(mid in self.moved_ends for mid in self.store.ends)
        )
