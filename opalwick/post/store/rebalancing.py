"""Repair and rebalancing: replaces stores that are lost or are to be removed in the placements of messages
and ends, and adds replicas where there are too few. No sockets, disk or clock; part of `message_store.py`.

What is to be done follows from the placements and the present stores alone, and is looked for again at each
scan. A placement changes in steps: the bytes go to the new stores, which write and confirm them; then all
stores of the old and the new placement are sent the new one. A store that it does not list deletes its
replica once enough of the listed ones have confirmed theirs (`comparison.py`).
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import NamedTuple

from opalwick.post.store.comparison import holders_message
from opalwick.post.store.placement import HolderIndex, Placement
from opalwick.post.store.records import Entry, KnownEnd
from opalwick.post.store.state import StoreState
from opalwick.post.store.transfers import Transfers
from opalwick.post.wire_pb2 import Holders

MAX_MOVES = 256  # messages in transfer at once; their bytes are bounded by the window of each store
MAX_END_MOVES = 512  # ends in transfer at once, of some hundred bytes each
MOVE_TIMEOUT = 2.0  # s until an unconfirmed move is planned anew, and the ends of it are sent again
REFUSAL_PAUSE = 2.0  # s for which a store that has refused a replica is chosen for no other
# s that a store is away until its replicas are restored elsewhere: over twice its slowest restart
REPAIR_AFTER = 8.0
# s without a heartbeat after which a store counts as replaced, if a store that is new to the cluster has
# come; soon, as a further store may be lost once the new one has had its time to fill
REPLACED_AFTER = 1.2
# s by which a disk is newer than this one if its store has come after the cluster's first start
NEWER_DISK = 5.0
SCAN_INTERVAL = 0.5  # s between scans for replicas to move


class Move(NamedTuple):
    """A change of a placement whose new replicas are being written."""

    unconfirmed: set[str]  # new stores
    since: float  # s, this store's clock
    before: Placement
    after: Placement


class Rebalancing:
    """Changes of placements that this store carries out."""

    def __init__(self, store: StoreState, transfers: Transfers, copies: int, spread: bool) -> None:
        self.store, self.transfers, self.copies, self.spread = store, transfers, copies, spread
        self.retiring = set[str]()  # stores that are to be removed; may include this one
        self.zones: dict[str, str] = {}  # by store
        self.born = store.now
        self.disk_created = store.now  # s, this store's clock
        self.away_since: dict[str, float] = {}  # stores that were linked and are not: since when
        self.newcomers: dict[str, float] = {}  # stores that have connected for the first time: when
        self.refusals: dict[str, float] = {}  # by store: when it last refused a replica
        self.moves: dict[str, Move] = {}  # by message id
        self.end_moves: dict[str, Move] = {}
        self.next_scan = 0.0
        self.figures = {"moved": 0, "repaired": 0, "ends_repaired": 0}

    # ---- membership

    def up(self, node: str, zone: str, disk_age: float) -> None:
        """A link to a store is up. `disk_age`: seconds since its disk was new."""
        store = self.store
        newer_disk = store.now - self.disk_created - disk_age > NEWER_DISK
        if node not in self.zones and disk_age < REPAIR_AFTER and (store.settled or newer_disk):
            self.newcomers[node] = store.now
        self.zones[node] = zone
        self.away_since.pop(node, None)

    def down(self, node: str) -> None:
        """The link to a store is down."""
        self.away_since[node] = self.store.now
        for moves in (self.moves, self.end_moves):
            for mid in [mid for mid, move in moves.items() if node in move.unconfirmed]:
                del moves[mid]

    def lost_stores(self) -> set[str]:
        """Stores of some placement, or of the cluster, that are taken to be lost with their replicas."""
        store = self.store
        self.newcomers = {
            node: since for node, since in self.newcomers.items() if store.now - since < REPAIR_AFTER
        }
        listed = {*store.entry_holders.by_holder, *store.end_holders.by_holder, *(store.members or ())}
        lost = set[str]()
        for node in listed - {store.node}:
            if node in store.peers:
                age = store.now - store.peers[node] if self.newcomers else 0.0
            else:
                age = store.now - self.away_since.get(node, self.born)
            if age > (REPLACED_AFTER if self.newcomers else REPAIR_AFTER):
                lost.add(node)
        return lost

    def available(self) -> list[str]:
        """Stores that can take a replica."""
        store = self.store
        return [
            node
            for node, received_at in store.peers.items()
            if store.now - received_at < 1.0
            and store.peers_settled.get(node, False)
            and node not in self.retiring
            and store.now - self.refusals.get(node, -REFUSAL_PAUSE) >= REFUSAL_PAUSE
        ]

    def country_of(self, node: str) -> str:
        """The country that a store is in, by the data residency policy; empty where it is unknown."""
        return self.store.country(self.zone_of(node))

    def zone_of(self, node: str) -> str:
        return self.zones.get(node, "") if node != self.store.node else self.store.zone

    def choose(
        self, mid: str, excluded: Iterable[str], beside: Iterable[str], count: int, home: str = ""
    ) -> list[str]:
        """Returns up to `count` stores for a further replica, the best first: in a zone without one of
        `beside` (if replicas need not be spread: in a zone with one), then by a hash that is the same at all
        stores. `home`: only stores in that country.
        """
        candidates = [
            node
            for node in self.available()
            if node not in excluded and (not home or self.country_of(node) == home)
        ]
        zones = {self.zone_of(node) for node in beside}
        chosen: list[str] = []
        while candidates and len(chosen) < count:
            best = min(
                candidates,
                key=lambda node: (
                    (self.zones.get(node) in zones) == self.spread,
                    zlib.crc32(f"{mid}/{node}".encode()),
                ),
            )
            candidates.remove(best)
            zones.add(self.zone_of(best))
            chosen.append(best)
        return chosen

    # ---- what is to be done

    def plan(self, mid: str, known: Entry | KnownEnd, home: str, lost: set[str]) -> Placement | None:
        """The placement that a message or end should have; None: the present one, or there is no store for a
        better one.
        """
        store, current = self.store, known.placement
        bad = lost | self.retiring
        staying = [node for node in current.replicas if node not in bad]
        if not staying and store.node not in bad:
            staying = [store.node]  # no store of the placement is left, but this one has it
        leaving = any(node in self.retiring for node in current.replicas)
        if leaving:  # its disk goes as soon as it is empty: only replicas that are there now count
            staying = [node for node in staying if node == store.node or node in store.peers]
        count = self.copies - len(staying)
        excluded = (*current.replicas, store.node)
        new = self.choose(mid, excluded, staying, count, home) if count > 0 else []
        replicas = (*staying, *new)
        if replicas == current.replicas or not replicas or len(replicas) < self.least(leaving, lost):
            return None
        if not leaving and not new and len(staying) < self.copies:
            return None  # as a lost store may still come back with its replica
        return current.changed_to(replicas)

    def least(self, leaving: bool, lost: set[str]) -> int:
        """Replicas that a changed placement must have."""
        if not leaving:
            return 1
        store = self.store
        stores = {store.node, *(store.members if store.members is not None else store.peers)}
        return max(1, min(self.copies, len(stores - self.retiring - lost)))

    def affected(self, index: HolderIndex, lost: set[str]) -> set[str]:
        """Ids of what has too few replicas, or one on a store that is lost or to be removed."""
        found = set(index.thin)
        for node in lost | self.retiring:
            found |= index.by_holder.get(node, set())
        return found

    # ---- time

    def tick(self, lost: set[str]) -> None:
        """Starts moves, and gives up those that were not confirmed in time. `lost`: as by `lost_stores`."""
        store = self.store
        if not store.settled or store.now < self.next_scan:
            return
        self.next_scan = store.now + SCAN_INTERVAL
        for moves in (self.moves, self.end_moves):
            for mid in [mid for mid, move in moves.items() if store.now - move.since > MOVE_TIMEOUT]:
                del moves[mid]
        self.start_moves(lost)
        self.start_end_moves(lost)
        if store.node in self.retiring and (key := store.seal.due(self.drained)) is not None:
            store.write_seal(key)

    def start_moves(self, lost: set[str]) -> None:
        """Of pending messages, those with the fewest replicas left first."""
        store = self.store
        room = MAX_MOVES - len(self.moves)
        if room <= 0:
            return
        bad = lost | self.retiring
        found = [
            entry
            for mid in self.affected(store.entry_holders, lost)
            if mid not in self.moves and store.is_acting(entry := store.entries[mid])
        ]
        found.sort(key=lambda e: (sum(node not in bad for node in e.replicas), e.until, e.mid))
        for entry in found:
            if room <= 0:
                return
            if (after := self.plan(entry.mid, entry, entry.home, lost)) is None:
                continue
            room -= 1
            self.start_move(entry, after)

    def start_move(self, entry: Entry, after: Placement) -> None:
        new = set(after.replicas) - set(entry.replicas) - {self.store.node}
        if not new:
            self.complete(entry, after)
            return
        self.moves[entry.mid] = Move(new, self.store.now, entry.placement, after)
        for node in sorted(new):
            self.transfers.push(node, entry.mid, ("move", node, after.replicas, after.version))

    def start_end_moves(self, lost: set[str]) -> None:
        """Of ends, with the bytes of dead messages."""
        store = self.store
        for mid in sorted(self.affected(store.end_holders, lost)):
            if len(self.end_moves) >= MAX_END_MOVES:
                return
            end = store.ends[mid]
            if mid in self.end_moves or mid in store.unsynced or not store.is_acting(end):
                continue
            if store.expects_bytes(mid):
                continue  # its stores may be replaced once the bytes are here to be copied
            # an end does not say whose message it was: if all replicas were in one country, it stays there
            countries = {self.country_of(node) for node in end.replicas}
            home = countries.pop() if len(countries) == 1 else ""
            if (after := self.plan(mid, end, home, lost)) is not None:
                self.start_end_move(mid, end, after)

    def start_end_move(self, mid: str, end: KnownEnd, after: Placement) -> None:
        store = self.store
        new = set(after.replicas) - set(end.replicas) - {store.node}
        if not new:
            self.complete_end(mid, end, after)
            return
        self.end_moves[mid] = Move(new, store.now, end.placement, after)
        for node in sorted(new):
            if mid in store.dead_sizes:
                self.transfers.push(node, mid, ("dead", node))
            else:
                store.send_end(mid, [node])

    def awaits(self, node: str, mid: str) -> bool:
        """Whether a move of the message, or of its end, waits for that store."""
        moves = (self.moves.get(mid), self.end_moves.get(mid))
        return any(move is not None and node in move.unconfirmed for move in moves)

    # ---- answers

    def kept(self, node: str, mid: str, refused: bool) -> None:
        """A store has written or refused a copy of a message."""
        store = self.store
        self.transfers.confirmed(node, mid)
        if refused:
            self.refusals[node] = store.now
        move = self.moves.get(mid)
        if move is None or node not in move.unconfirmed:
            return
        entry = store.entries.get(mid)
        if entry is None:
            del self.moves[mid]
            if mid in store.ends and not refused:  # the message ended during the transfer
                store.send_end(mid, [node])
            return
        if refused or entry.placement != move.before:
            del self.moves[mid]  # the next scan plans anew
            return
        move.unconfirmed.discard(node)
        if not move.unconfirmed:
            del self.moves[mid]
            self.complete(entry, move.after)
        if 2 * len(self.moves) < MAX_MOVES:
            self.next_scan = store.now  # starts further moves without waiting for the next scan

    def complete(self, entry: Entry, after: Placement) -> None:
        """Sends the new placement to all stores that are or were in it, and to the owner."""
        msg = holders_message(entry.mid, after)
        msg.owner, msg.claim = entry.owner, entry.claim
        if entry.owner:
            self.store.send(entry.owner.rpartition("/")[0], "holders", msg)
        self.announce(msg, entry.placement, after)
        self.figures["moved" if self.store.node not in after.replicas else "repaired"] += 1

    def announce(self, msg: Holders, before: Placement, after: Placement) -> None:
        """Adopts a placement and sends it to the other stores that it concerns. `msg`: the same."""
        for node in dict.fromkeys((*before.replicas, *after.replicas)):
            if node != self.store.node:
                self.store.send(node, "holders", msg)
        self.store.place(msg.mid, after)

    def ended(self, node: str, mid: str) -> None:
        """A store has confirmed an end, with the bytes of a dead message."""
        self.transfers.confirmed(node, mid)
        move = self.end_moves.get(mid)
        if move is None:
            return
        move.unconfirmed.discard(node)
        if move.unconfirmed:
            return
        del self.end_moves[mid]
        end = self.store.ends.get(mid)
        if end is not None and end.placement == move.before:
            self.complete_end(mid, end, move.after)
        if 2 * len(self.end_moves) < MAX_END_MOVES:
            self.next_scan = self.store.now

    def complete_end(self, mid: str, end: KnownEnd, after: Placement) -> None:
        self.announce(holders_message(mid, after), end.placement, after)
        self.figures["ends_repaired"] += 1

    # ---- reports

    @property
    def empty(self) -> bool:
        """This store is to be removed, all that it has is elsewhere too, and its disk is sealed against
        more.
        """
        return self.drained and self.store.seal.written is not None

    @property
    def drained(self) -> bool:
        """This store is to be removed, and all that it has is elsewhere too."""
        store = self.store
        return (
            store.node in self.retiring
            and store.settled
            and not store.entries
            and not self.moves
            and not store.end_holders.by_holder.get(store.node)
        )

    def replica_counts(self, lost: set[str]) -> dict[int, int]:
        """Of the pending messages for which this store acts: how many have how many replicas on stores that
        are neither lost nor to be removed, as far as those are fewer than required.
        """
        bad = lost | self.retiring
        counts: dict[int, int] = {}
        for mid in self.affected(self.store.entry_holders, lost):
            entry = self.store.entries[mid]
            good = sum(node not in bad for node in entry.replicas)
            if good < self.copies and self.store.is_acting(entry):
                counts[good] = counts.get(good, 0) + 1
        return counts
