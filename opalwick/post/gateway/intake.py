"""Replicates new messages to stores and decides when and how each client is answered. No I/O.

202 is sent once `copies` stores have the message on disk. When the outcome at some store is unknown the
client gets 504, since the message may still be delivered. 503 means that no store has the message, so it is
never delivered.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from opalwick.post.residency.policy import Policy
from opalwick.post.wire_pb2 import Holders, Keep, Letter, Refuse

# s until one more store is asked: half of the shortest latency target, several disk syncs and round trips
HEDGE = 0.04
GIVE_UP = 0.4  # s until a client gets 504: within the shortest client deadline of 0.5 s
# s that late stores are still sent the list of replicas: longer than any peer message is in transit
ANSWERED_RETENTION = 30.0
# s that a store has waited for its disk after which it is used last: half of HEDGE
SLOW_DISK_DELAY = 0.02
HEARTBEAT_TIMEOUT = 0.8  # s without a heartbeat after which a store is skipped: three heartbeat intervals

FINAL_PLACEMENT = 1  # version of the replicas that a gateway names once it has accepted a message


def final_holders(mid: str, replicas: list[str]) -> Holders:
    """The replicas of an accepted message, in place of those that it was first sent to."""
    return Holders(mid=mid, holders=replicas, placement=FINAL_PLACEMENT)


def existing_name(letter: Letter) -> str:
    """For a message that already has its complete name."""
    return letter.mid


class ClientAnswer(NamedTuple):
    """An answer to a client: 202 with the message's name, 503 or 504."""

    call: Any
    status: int
    name: str = ""
    request: str = ""  # the client's request id


class Accepted(NamedTuple):
    """An accepted message that this gateway delivers."""

    letter: Letter
    touched: tuple[str, ...]  # stores that have it or may have it


class StoreState:
    """A connected store, as last reported by its heartbeats."""

    __slots__ = ("behind", "last_heartbeat", "leaving", "node", "zone")

    def __init__(self, node: str, zone: str, now: float) -> None:
        self.node, self.zone, self.last_heartbeat, self.leaving = node, zone, now, False
        self.behind = False  # its disk is slow


class PendingMessage:
    """A message whose client has not been answered yet."""

    __slots__ = (
        "call",
        "full",
        "hedged",
        "letter",
        "parked",
        "reassigned",
        "requested",
        "since",
        "stored",
    )

    def __init__(self, call: Any, letter: Letter, parked: bool, since: float) -> None:
        self.call, self.letter, self.parked, self.since, self.hedged = call, letter, parked, since, False
        self.reassigned = False  # a store has assigned it to another gateway
        self.requested: list[str] = []  # stores that the message was sent to
        self.stored: list[str] = []  # stores that have it on disk
        self.full: list[str] = []  # stores that rejected it for lack of room


class Intake:
    """Replication of all messages that are being accepted at a gateway."""

    def __init__(self, zone: str, copies: int, capacity: int, spread: bool = True) -> None:
        """`capacity`: messages being accepted at once. `spread`: replicas must be in different zones."""
        self.zone, self.copies, self.capacity, self.spread, self.now = zone, copies, capacity, spread, 0.0
        self.stores: dict[str, StoreState] = {}
        self.retiring = set[str]()  # stores that are being decommissioned
        self.policy: Policy | None = None  # where messages with a data residency may be stored
        self.pending: dict[str, PendingMessage] = {}
        self.timers: list[tuple[float, str]] = []
        # messages answered before all stores had replied: when, and the replicas
        self.answered_messages: dict[str, tuple[float, list[str]]] = {}
        self.sends: list[tuple[str, str, Any]] = []
        self.answers: list[ClientAnswer] = []
        self.accepted: list[Accepted] = []
        self.figures = {"accepted": 0, "refused": 0, "unsure": 0, "hedged": 0}

    def clock(self, now: float) -> None:
        """Sets the current time, in s."""
        self.now = now

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[ClientAnswer], list[Accepted]]:
        """Peer messages to send (store, kind, message), client answers, and accepted messages since the last
        call.
        """
        found = self.sends, self.answers, self.accepted
        self.sends, self.answers, self.accepted = [], [], []
        return found

    # ---- stores ("depot" is the wire's name for the role)

    def depot_up(self, node: str, zone: str) -> None:
        self.stores[node] = StoreState(node, zone, self.now)

    def depot_down(self, node: str) -> None:
        self.stores.pop(node, None)

    def depot_pulse(self, node: str, leaving: bool, behind: float = 0.0) -> None:
        """A store's heartbeat. `behind`: s that it has waited for its disk."""
        if (store := self.stores.get(node)) is not None:
            store.last_heartbeat, store.leaving, store.behind = self.now, leaving, behind >= SLOW_DISK_DELAY

    def eligible(self, home: str = "") -> list[StoreState]:
        """Stores that accept messages. `home`: the country that the message must not leave, if any."""
        return [
            d
            for d in self.stores.values()
            if not d.leaving
            and self.now - d.last_heartbeat < HEARTBEAT_TIMEOUT
            and d.node not in self.retiring
            and (not home or (self.policy is not None and self.policy.country(d.zone) == home))
        ]

    def ranked(self, mid: str, home: str = "") -> list[StoreState]:
        """Stores for a message, in order of preference: one in the gateway's own zone (all of those, if
        replicas need not be in different zones), then one of each other zone, by a hash that distributes
        messages among stores. Stores with slow disks come last.
        """
        eligible = sorted(
            self.eligible(home), key=lambda d: (d.zone != self.zone, zlib.crc32(f"{mid}/{d.node}".encode()))
        )
        first: list[StoreState] = []
        rest: list[StoreState] = []
        zones: set[str] = set()
        for store in eligible:
            (rest if store.zone in zones else first).append(store)
            if self.spread or store.zone != self.zone:
                zones.add(store.zone)
        # the sort is stable: the order above holds among stores with equally fast disks
        return sorted(first + rest, key=lambda store: store.behind)

    # ---- messages

    def under_way(self, node: str) -> list[str]:
        """Messages sent to this store that this gateway will deliver. Includes those just accepted and not
        yet passed on by `effects()`: the store would otherwise consider them to have no owner.
        """
        mids = [mid for mid, entry in self.pending.items() if node in entry.requested and not entry.parked]
        return mids + [letter.mid for letter, touched in self.accepted if node in touched]

    def offered(
        self, call: Any, letter: Letter, parked: bool, name: Callable[[Letter], str] = existing_name
    ) -> None:
        """A client's message. `parked`: stores hold it until it is due, and then assign it to a gateway.
        `name`: returns the message's complete name, once `letter.holders` lists the stores it is sent to.
        """
        ranked = self.ranked(letter.mid, letter.home)[: self.copies]
        if len(ranked) < self.copies or len(self.pending) >= self.capacity:
            self.figures["refused"] += 1
            self.answers.append(ClientAnswer(call, 503))
            return
        letter.holders.extend(store.node for store in ranked)
        letter.mid = name(letter)
        entry = self.pending[letter.mid] = PendingMessage(call, letter, parked, self.now)
        for store in ranked:
            self.send_keep(entry, store.node)
        heapq.heappush(self.timers, (self.now + HEDGE, letter.mid))

    def send_keep(self, entry: PendingMessage, node: str) -> None:
        entry.requested.append(node)
        self.sends.append((node, "keep", Keep(letter=entry.letter, parked=entry.parked)))

    def kept(self, node: str, mid: str, refused: bool = False) -> None:
        """A store has the message on disk, or with `refused` has rejected it."""
        entry = self.pending.get(mid)
        if entry is None:
            self.kept_late(node, mid, refused)
            return
        if node in entry.stored or node in entry.full:
            return
        if refused:
            self.rejected(entry, node)
            return
        entry.stored.append(node)
        if len(entry.stored) >= self.copies:
            del self.pending[mid]
            letter = entry.letter
            replicas = [node for node in entry.requested if node in entry.stored]
            touched = tuple(node for node in entry.requested if node not in entry.full)
            # a surplus replica would stay on a store that is never sent the outcome
            if len(touched) > len(replicas):
                self.answered_messages[mid] = self.now, replicas
            if entry.hedged:  # the replicas are not the stores that were chosen first
                del letter.holders[:]
                letter.holders.extend(replicas)
                for one in touched:  # a store with a slow disk might assign the message from memory
                    self.sends.append((one, "holders", final_holders(mid, replicas)))
            self.figures["accepted"] += 1
            self.answers.append(ClientAnswer(entry.call, 202, mid, letter.rid))
            if not entry.parked:
                self.accepted.append(Accepted(letter, touched))
            if entry.reassigned:
                self.taken_away([mid])
        elif len(entry.full) + len(entry.stored) == len(entry.requested) > self.copies - 1 and entry.full:
            self.rejected(entry, "")

    def taken_away(self, mids: Iterable[str]) -> None:
        """A store has assigned these messages to another gateway: they are not delivered here, whether they
        have been accepted or will be.
        """
        for mid in mids:
            if (entry := self.pending.get(mid)) is not None:
                entry.reassigned = True
        for one in [one for one in self.accepted if one.letter.mid in mids]:
            self.accepted.remove(one)
            # stores that have this gateway as the owner must not wait for it to deliver
            refuse = Refuse(mid=one.letter.mid, claim=one.letter.claim)
            self.sends += [(node, "refuse", refuse) for node in one.touched]

    def kept_late(self, node: str, mid: str, refused: bool) -> None:
        """A store replied after the client was answered: it is sent the list of replicas, and deletes the
        message if it is not one of them.
        """
        found = self.answered_messages.get(mid)
        if found is not None and not refused:
            self.sends.append((node, "holders", final_holders(mid, found[1])))

    def rejected(self, entry: PendingMessage, node: str) -> None:
        """The store has no room and has not stored the message: another one is used, or if none is left the
        client is answered at once.
        """
        if node:
            entry.full.append(node)
        mid = entry.letter.mid
        other = next(
            (d.node for d in self.ranked(mid, entry.letter.home) if d.node not in entry.requested), None
        )
        if other is not None:
            entry.hedged = True
            self.send_keep(entry, other)
            return
        if len(entry.full) == len(entry.requested):  # no store has it or ever had it
            del self.pending[mid]
            self.figures["refused"] += 1
            self.answers.append(ClientAnswer(entry.call, 503))
        elif len(entry.full) + len(entry.stored) == len(entry.requested):
            self.give_up(entry)

    def give_up(self, entry: PendingMessage) -> None:
        """Too few stores have confirmed the message. Those that have it are told to delete it, as the client
        will not ask for it again.
        """
        del self.pending[entry.letter.mid]
        self.figures["unsure"] += 1
        self.answers.append(ClientAnswer(entry.call, 504))
        self.answered_messages[entry.letter.mid] = self.now, []
        for node in entry.requested:
            if node not in entry.full:
                self.sends.append((node, "holders", Holders(mid=entry.letter.mid)))

    def next_at(self) -> float:
        """When `tick` is due next."""
        return self.timers[0][0] if self.timers else float("inf")

    def tick(self) -> None:
        """Sends messages that are not replicated in time to one more store, and gives up overdue ones."""
        while self.timers and self.timers[0][0] <= self.now:
            mid = heapq.heappop(self.timers)[1]
            entry = self.pending.get(mid)
            if entry is None:
                continue
            deadline = entry.since + GIVE_UP
            if self.now >= deadline:
                self.give_up(entry)
                continue
            other = next(
                (d.node for d in self.ranked(mid, entry.letter.home) if d.node not in entry.requested), None
            )
            if other is not None:
                entry.hedged = True
                self.figures["hedged"] += 1
                self.send_keep(entry, other)
            heapq.heappush(self.timers, (min(self.now + HEDGE, deadline), mid))
        while (
            self.answered_messages
            and self.now - next(iter(self.answered_messages.values()))[0] > ANSWERED_RETENTION
        ):
            del self.answered_messages[next(iter(self.answered_messages))]
