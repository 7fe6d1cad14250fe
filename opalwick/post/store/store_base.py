"""State of a store, and the changes of it that keep its parts consistent. No I/O.

`MessageStore` in `message_store.py` is the complete state machine. The modules between the two have one
concern each: `outcomes.py` how messages end, `gateway_leases.py` which gateway delivers a message,
`assignment.py` who is assigned one, `replicas.py` copies from and to other stores.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

from opalwick.post.residency.policy import Policy
from opalwick.post.store.comparison import Comparison
from opalwick.post.store.dead_bytes import DeadBytes
from opalwick.post.store.gateway import Gateway
from opalwick.post.store.placement import HolderIndex, Placement
from opalwick.post.store.rebalancing import Rebalancing
from opalwick.post.store.reconciliation import Reconciliation
from opalwick.post.store.records import Entry, Fetch, KnownEnd, Send, Write
from opalwick.post.store.seal import Seal
from opalwick.post.store.transfers import Transfers
from opalwick.post.wire_pb2 import Letter, Mine

AWAY = 1.2  # s without a heartbeat of the acting store until the next replica acts


def ignore_event(number: int, **fields: Any) -> None:
    """Discards an event: the default before the role sets its own."""


class StoreBase:
    """State of a store. Times are in seconds of this store's clock; sizes are in bytes."""

    transfers: Transfers
    comparison: Comparison
    rebalancing: Rebalancing
    reconciliation: Reconciliation
    dead_bytes: DeadBytes

    def __init__(
        self,
        node: str,
        zone: str,
        now: float,
        state_s: float,
        room: float = math.inf,
        copies: int = 2,
        spread: bool = True,
    ) -> None:
        """`state_s`: seconds that the record of an end outlives every replica. `room`: capacity in bytes.
        `copies`: replicas of each message; `spread`: in different zones.
        """
        self.node, self.zone, self.now, self.state_s = node, zone, now, state_s
        self.started_at = self.ticked_at = now
        self.skipped_timeouts = False  # the last tick skipped time-outs, as the process had been stalled
        self.entries: dict[str, Entry] = {}
        self.ends: dict[str, KnownEnd] = {}  # by message id
        self.owned: dict[str, set[str]] = {}
        self.gateways: dict[str, Gateway] = {}
        # (time, message): when to check that an assignment was acknowledged
        self.unacknowledged: list[tuple[float, str]] = []
        self.peers: dict[str, float] = {}  # linked stores: when the last heartbeat was received
        self.peers_settled: dict[str, bool] = {}
        self.protocols: dict[str, int] = {}  # of linked stores: see `Hello.replication`
        self.disks: dict[str, str] = {}  # of stores that were linked: id of the disk
        # by store: gateway process: when that store received it last
        self.peer_reports: dict[str, dict[str, float]] = {}
        # by store: the newest timestamp of this one that it has received
        self.peer_echoes: dict[str, float] = {}
        # by gateway: a whole list that awaits its answer, and since when
        self.pending_lists: dict[str, tuple[float, Mine]] = {}
        # by store: gateway processes that it receives no heartbeat of
        self.peer_queries: dict[str, list[str]] = {}
        self.silent_owners: dict[
            str, float
        ] = {}  # owners without a heartbeat here: since when others are asked
        # (due, message): those without an owner; may hold some that have one again
        self.waiting: list[tuple[float, str]] = []
        self.expiry: list[tuple[float, str]] = []
        # gateways and stores of the cluster; None until controllers have reported them
        self.expected: set[str] | None = None
        # all other stores, without those that were emptied to be removed; None as above
        self.members: set[str] | None = None
        self.reported = set[str]()  # gateways that have listed their messages since the start
        self.settled = self.leaving = False
        self.writes: list[Write] = []
        self.sends: list[Send] = []
        self.fetches: list[Fetch] = []
        self.unsynced = set[str]()  # ends that are not on the disk yet: not reported to anyone
        self.dead_sizes: dict[str, int] = {}  # bytes of each dead message
        self.room, self.stored_bytes = room, 0  # bytes: capacity, stored
        self.policy: Policy | None = None  # data residency rules; None: there are none
        self.seal = Seal()  # whether this store is to be removed and rejects messages
        self.entry_holders, self.end_holders = HolderIndex(copies), HolderIndex(copies)
        counts = ("kept", "ended", "assigned", "lapsed", "handed", "refused")
        self.figures = dict.fromkeys((*counts, "second_successes", "missed_ends"), 0)
        # Callbacks that the role sets: `number` in the catalogue of events, and the event's fields. `trace`
        # is for events of single messages.
        self.event: Callable[..., None] = ignore_event
        self.trace: Callable[..., None] = ignore_event

    def clock(self, now: float) -> None:
        """Sets the time; called before each input."""
        self.now = now

    def effects(self) -> tuple[list[Write], list[Send], list[Fetch]]:
        """Takes what the inputs so far have produced."""
        effects = self.writes, self.sends, self.fetches
        self.writes, self.sends, self.fetches = [], [], []
        return effects

    def loaded(
        self,
        mid: str,
        replicas: tuple[str, ...],
        due: float,
        until: float,
        fails: int,
        lost: int,
        size: int,
        home: str = "",
        version: int = 0,
    ) -> None:
        """Restores a pending message of `size` bytes. `version`: of its placement."""
        entry = Entry(mid, Placement(replicas, version), due, until, fails, lost, size, home)
        self.add(entry)
        self.comparison.surplus.placed(mid, entry.replicas)

    def loaded_end(
        self,
        mid: str,
        complete: bool,
        seal: str,
        until: float,
        replicas: tuple[str, ...] = (),
        version: int = 0,
    ) -> None:
        """Restores the record of an end."""
        self.add_end(mid, KnownEnd(complete, seal, until, Placement(replicas or (self.node,), version)))
        if not complete:
            self.dead_bytes.lacking(mid)

    def loaded_dead(self, mid: str, size: int) -> None:
        """Restores a dead message, which takes `size` bytes."""
        self.dead_sizes[mid] = size
        self.stored_bytes += size
        self.dead_bytes.arrived(mid)

    def add(self, entry: Entry) -> None:
        self.entries[entry.mid] = entry
        self.stored_bytes += entry.size
        self.entry_holders.add(entry.mid, entry.replicas)
        self.comparison.arrived(entry.mid)
        heapq.heappush(self.expiry, (entry.until, entry.mid))
        if not entry.owner:
            heapq.heappush(self.waiting, (entry.due, entry.mid))

    def remove(self, mid: str) -> Entry | None:
        """Removes a pending message that has ended or is no longer stored here."""
        if (entry := self.entries.pop(mid, None)) is not None:
            self.clear_assignment(entry)
            self.entry_holders.remove(mid, entry.replicas)
            self.comparison.surplus.forget(mid)
        return entry

    def add_end(self, mid: str, end: KnownEnd) -> None:
        self.ends[mid] = end
        self.end_holders.add(mid, end.replicas)
        self.comparison.arrived(mid)
        heapq.heappush(self.expiry, (end.until, mid))

    def place(self, mid: str, placement: Placement) -> bool:
        """Adopts a placement if it is newer than the known one. Returns whether it was."""
        known = self.entries.get(mid) or self.ends.get(mid)
        if known is None or not placement.is_newer_than(known.placement):
            return False
        ended = isinstance(known, KnownEnd)
        index = self.end_holders if ended else self.entry_holders
        index.remove(mid, known.replicas)
        index.add(mid, placement.replicas)
        if isinstance(known, KnownEnd):
            self.ends[mid] = known._replace(placement=placement)
        else:
            self.comparison.left_out(mid, set(known.replicas) - set(placement.replicas))
            known.placement = placement
            self.comparison.surplus.placed(mid, placement.replicas)
        kind = "end_holders" if ended else "holders"
        self.writes.append(Write(kind, (mid, " ".join(placement.replicas), placement.version)))
        return True

    def set_owner(self, entry: Entry, process: str, why: str = "") -> None:
        """Sets the owner; empty: none. `why`: the reason for having none, for traces."""
        self.clear_assignment(entry)
        if entry.owner == process:
            return
        if entry.owner:
            self.owned.get(entry.owner, set()).discard(entry.mid)
        entry.owner = process
        if process:
            self.owned.setdefault(process, set()).add(entry.mid)
        else:
            entry.release_reason = why
            heapq.heappush(self.waiting, (entry.due, entry.mid))

    def clear_assignment(self, entry: Entry) -> None:
        """The message's assignment is acknowledged, or no longer in force."""
        if not entry.assigned_at:
            return
        entry.assigned_at = 0.0
        if (gateway := self.gateways.get(entry.owner.rpartition("/")[0])) is not None:
            gateway.unacknowledged_bytes = max(0, gateway.unacknowledged_bytes - entry.size)

    def drop(self, entry: Entry) -> None:
        """Deletes this store's replica."""
        self.set_owner(entry, "")
        self.remove(entry.mid)
        self.stored_bytes -= entry.size
        self.writes.append(Write("drop", (entry.mid,)))

    def entry_of(self, message: Letter) -> Entry:
        """A pending message as this store knows it, from the one that was received."""
        entry = Entry(
            message.mid,
            Placement(tuple(message.holders), message.placement),
            self.now + message.due,
            self.now + message.until,
            message.fails,
            message.lost,
            message.ByteSize(),
            message.home,
        )
        entry.claim = message.claim
        return entry

    def write_message(self, entry: Entry, message: Letter, *then: tuple[str, str, Any]) -> None:
        fields = (
            entry.mid,
            message.SerializeToString(),
            entry.due,
            entry.until,
            message.fails,
            message.lost,
        )
        self.writes.append(Write("keep", fields, then))

    def audit(self, entry: Entry, what: str, country: str) -> None:
        """Counts a replica or a run of a message with a home for the residency audit (`home/audit.py`)."""
        if entry.home:
            self.writes.append(Write("audit", (self.now, entry.home, what, country)))

    def send(self, node: str, kind: str, msg: Any) -> None:
        self.sends.append(Send(node, kind, msg))

    def fetch(self, mid: str, why: tuple[Any, ...]) -> None:
        self.fetches.append(Fetch(mid, why))

    def size_of(self, mid: str) -> int:
        """Bytes of a pending or dead message on the disk."""
        entry = self.entries.get(mid)
        return entry.size if entry is not None else self.dead_sizes.get(mid, 0)

    def replicas_of(self, mid: str) -> tuple[str, ...]:
        """Stores that have the message, or had it when it ended; empty where it is unknown."""
        known = self.entries.get(mid) or self.ends.get(mid)
        return known.replicas if known is not None else ()

    def owes_copy(self, node: str, mid: str) -> bool:
        """Whether that store should get a copy of the message from this one: it is listed, or to be listed,
        as a replica, and the message's bytes are here.
        """
        here = mid in self.entries or mid in self.dead_sizes
        return here and (node in self.replicas_of(mid) or self.rebalancing.awaits(node, mid))

    def expects_bytes(self, mid: str) -> bool:
        """Whether the bytes of a dead message are not here yet, and may still come from another store."""
        return self.dead_bytes.expected(mid)

    def country(self, zone: str) -> str:
        return self.policy.country(zone) if self.policy is not None else ""

    def is_available(self, node: str) -> bool:
        """Whether that store is linked, answers and has settled."""
        return self.now - self.peers.get(node, -1e9) < AWAY and self.peers_settled.get(node, False)

    def is_acting(self, known: Entry | KnownEnd) -> bool:
        """Whether this store assigns the message and repairs its placement: it is the first of its replicas
        that is available.
        """
        for node in known.replicas:
            if node == self.node:
                return True
            if self.is_available(node):
                return False
        return True  # it is here, though it is not listed as a replica and no listed one is available
