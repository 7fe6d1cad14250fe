"""The state machine of a store: which messages it stores and which gateway delivers each. No sockets, disk or
clock.

Inputs update the state and produce `writes` (each with the peer messages that may be sent once it is synced),
`sends` (at once) and `fetches`, which the agent takes with `effects()`. Input methods that are named after a
kind of wire message take the sender's node and that message. "Counter" is the wire's name for a gateway,
"depot" for a store, "letter" for a stored message.

One gateway at a time delivers a message: the one that accepted it at first, and after that the one that the
acting store among the message's replicas assigns it to. A gateway's lease has expired once no linked store
has received its heartbeat for `LAPSE`; the gateway itself stops `MARGIN` sooner (`counter/rounds.py`).
"""

from __future__ import annotations

import heapq
import math
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from opalwick.post.store.comparison import REPLICATION, Comparison, placement_of
from opalwick.post.store.placement import HolderIndex, Placement
from opalwick.post.store.rebalancing import Rebalancing
from opalwick.post.store.reconciliation import Reconciliation
from opalwick.post.store.records import Entry, Fetch, KnownEnd, Send, Write
from opalwick.post.store.seal import Seal
from opalwick.post.store.transfers import Transfers
from opalwick.post.residency.policy import Policy
from opalwick.post.message_state import MessageState
from opalwick.post.names import process_id
from opalwick.post.wire_pb2 import (
    Assign,
    Checked,
    Differ,
    End,
    Ended,
    Hand,
    Have,
    Holders,
    Keep,
    Kept,
    Letter,
    Mine,
    Park,
    Pulse,
    Refuse,
    Told,
    Tried,
)

LAPSE = 2.0  # s without a heartbeat after which a gateway's lease expires: eight heartbeats
# s without a gateway's heartbeat, two of them, until other stores are asked whether they receive it
QUERY_AFTER = 0.5
# s that the others are asked for at least before the lease expires: a heartbeat each way, and one more
QUERY_FOR = 0.75
MARGIN = 0.5  # s that a gateway stops sooner: two heartbeats in transit, and their age
AWAY = 1.2  # s without a heartbeat of the acting store until the next replica acts
SETTLE = 1.5  # s after its start that a store waits for the others' state: gateways connect within 0.8 s
ASSIGN_LEAD = 0.05  # s that a message is assigned before it is due: a network trip and a sync
STALL = 0.5  # s between two ticks from which this process counts as stalled: ten times the usual interval
REFUSED = 0.2  # s until a message that a gateway rejected is assigned again, give or take half
ASSIGN_RETRY = 0.6  # s until an unacknowledged assignment is sent again, to the same gateway
ASSIGN_BATCH = 200  # messages assigned in one tick, so that other work gets its turn
# bytes assigned to one gateway that it has not acknowledged: half a second of a 100 Mbit/s link
ASSIGN_WINDOW = 4 << 20


class Gateway:
    """A gateway ("counter" on the wire) as this store sees it."""

    __slots__ = (
        "assigned",
        "incarnation",
        "last_seen",
        "leaving",
        "linked",
        "node",
        "ready",
        "unacknowledged_bytes",
        "zone",
    )

    def __init__(self, node: str, incarnation: int, zone: str, now: float) -> None:
        self.node, self.incarnation, self.zone, self.last_seen = node, incarnation, zone, now
        self.linked, self.ready, self.leaving, self.assigned = True, False, False, 0
        self.unacknowledged_bytes = 0  # of messages assigned to it

    def has_room(self, size: int) -> bool:
        """Whether that many bytes more may be assigned to it; one message may always be."""
        return not self.unacknowledged_bytes or self.unacknowledged_bytes + size <= ASSIGN_WINDOW


def ignore_event(number: int, **fields: Any) -> None:
    """Discards an event: the default before the role sets its own."""


class MessageStore:
    """State of a store. Times are in seconds of this store's clock; sizes are in bytes."""

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
        self.transfers = Transfers(self)
        self.comparison = Comparison(self, self.transfers, copies)
        self.rebalancing = Rebalancing(self, self.transfers, copies, spread)
        self.reconciliation = Reconciliation(self)
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

    # ---- restored from the disk at the start

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
        self.comparison.placed(mid, entry.replicas)

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

    def loaded_dead(self, mid: str, size: int) -> None:
        """Restores a dead message, which takes `size` bytes."""
        self.dead_sizes[mid] = size
        self.stored_bytes += size

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
            self.comparison.forget(mid)
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
            known.placement = placement
            self.comparison.placed(mid, placement.replicas)
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

    # ---- gateways

    def counter_up(self, node: str, incarnation: int, zone: str) -> None:
        """A link to that process of a gateway is up."""
        current = self.gateways.get(node)
        if current is not None and current.incarnation > incarnation:
            return  # a late link of an earlier process
        if current is None or current.incarnation < incarnation:
            # a node starts its next process only after the one before has ended
            if current is not None:
                self.lapsed(process_id(node, current.incarnation))
            gateway = self.gateways[node] = Gateway(node, incarnation, zone, self.now)
            # it joins at the others' level: from 0 it would be assigned every message for a while
            gateway.assigned = max((c.assigned for c in self.gateways.values()), default=0)
            for process in [
                process
                for process in self.owned
                if process.rpartition("/")[0] == node and process != process_id(node, incarnation)
            ]:
                self.lapsed(process)
            return
        current.linked, current.last_seen = True, self.now

    def counter_down(self, node: str) -> None:
        """The last link to a gateway is down."""
        if node in self.gateways:
            self.gateways[node].linked = False
            self.reported.discard(node)

    def counter_pulse(self, node: str, pulse: Pulse) -> None:
        """A heartbeat of a gateway was received."""
        if (gateway := self.gateways.get(node)) is not None:
            gateway.last_seen, gateway.ready, gateway.leaving = self.now, pulse.ready, pulse.leaving

    def reports_for(self, node: str) -> dict[str, float]:
        """Returns, for that store, gateway processes that it receives no heartbeat of and this one does:
        seconds since the last one here.
        """
        return {
            process: self.now - at
            for process in self.peer_queries.get(node, ())
            if self.now - (at := self.last_seen(process)) < 10.0
        }

    def last_seen(self, process: str) -> float:
        """When the last heartbeat of that gateway process was received here."""
        node, _, incarnation = process.rpartition("/")
        gateway = self.gateways.get(node)
        return gateway.last_seen if gateway is not None and gateway.incarnation == int(incarnation) else -1e9

    def alive(self, process: str) -> bool:
        """Whether this store or a linked one has a heartbeat of that gateway process within `LAPSE`."""
        if self.now - self.last_seen(process) < LAPSE:
            return True
        return any(
            self.now - at < LAPSE
            for peer, reports in self.peer_reports.items()
            if peer in self.peers and (at := reports.get(process)) is not None
        )

    def lapsed(self, process: str, silent: bool = False) -> None:
        """Frees the messages of a gateway process. `silent`: it may still run, and another store that does
        not have this decision may receive its heartbeats again. So its claim is voided, and linked
        replicas are informed before the next heartbeat.
        """
        mids = self.owned.pop(process, set())
        self.silent_owners.pop(process, None)
        self.figures["lapsed"] += len(mids)
        for mid in sorted(mids):
            entry = self.entries[mid]
            self.clear_assignment(entry)
            entry.owner = ""
            entry.release_reason = "silent" if silent else "restarted"
            self.reconciliation.suspect(mid)
            heapq.heappush(self.waiting, (entry.due, mid))
            if silent:
                entry.claim = entry.min_claim = entry.claim + 1
                msg = Park(
                    mid=mid,
                    claim=entry.claim,
                    due=max(0.0, entry.due - self.now),
                    fails=entry.fails,
                    lost=entry.lost,
                )
                self.sends += [Send(node, "park", msg) for node in entry.replicas if node in self.peers]

    # ---- peer messages of gateways

    def keep(self, node: str, msg: Keep) -> None:
        """Stores a message that the gateway accepted; confirmed with `kept` once it is on the disk."""
        message: Letter = msg.letter
        mid = message.mid
        confirmation = (node, "kept", Kept(mid=mid))
        if mid in self.ends:
            self.sends.append(Send(*confirmation))
            return
        if mid in self.entries:
            # already written or queued: the confirmation follows that write in the same queue
            self.writes.append(Write("none", (), (confirmation,)))
            return
        if self.leaving:
            return
        if self.seal.closed or self.stored_bytes + message.ByteSize() > self.room:
            self.figures["refused"] += 1
            self.sends.append(Send(node, "kept", Kept(mid=mid, refused=True)))
            return
        gateway = self.gateways.get(node)
        entry = self.entry_of(message)
        if gateway is not None and not msg.parked:
            entry.owner = process_id(node, gateway.incarnation)
            self.owned.setdefault(entry.owner, set()).add(mid)
        self.add(entry)
        self.figures["kept"] += 1
        self.write_message(entry, message, confirmation)
        self.audit(entry, "copies", self.country(self.zone))

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

    def end(self, node: str, msg: End) -> None:
        """Records how a message ended; confirmed with `ended` once it is on the disk."""
        confirmation = (node, "ended", Ended(mid=msg.mid))
        if node in self.peers:
            self.transfers.confirmed(node, msg.mid)
        if msg.mid in self.ends:
            if node in self.peers:
                self.place(msg.mid, Placement(tuple(msg.holders), msg.placement))
            self.writes.append(Write("none", (), (confirmation,)))
            self.compare_successes(node, msg)
            return
        entry, gateway = self.entries.get(msg.mid), self.gateways.get(node)
        self.finish(msg, confirmation)
        if entry is not None and gateway is not None:
            # that gateway may lack some of the replicas, or have no link to them
            uninformed = set(entry.replicas) - set(msg.holders or entry.replicas)
            if entry.owner != process_id(node, gateway.incarnation):
                uninformed = set(entry.replicas)
            self.send_end(msg.mid, sorted(uninformed & set(self.peers)))
        # only the first replica counts the run
        if entry is not None and msg.complete and self.node in entry.replicas[:1]:
            self.audit(entry, "runs", msg.country)

    def compare_successes(self, node: str, msg: End) -> None:
        """Reports two runs of one message that both succeeded, if the answers to both were read."""
        known = self.ends[msg.mid]
        both_read = known.complete and msg.complete and known.seal and msg.seal
        if both_read and known.seal != msg.seal:
            self.figures["second_successes"] += 1
            self.event(305, message=msg.mid, seal=msg.seal, known=known.seal, by=node)

    def send_end(self, mid: str, nodes: Iterable[str]) -> None:
        """Sends the end of a message to these nodes."""
        for node in nodes:
            self.send(node, "end", self.end_message(mid))

    def end_message(self, mid: str) -> End:
        """The end as a peer message to other stores, with the seconds that a replica of the message may wait
        anywhere.
        """
        end = self.ends[mid]
        waits = max(0.0, end.until - self.now - self.state_s)
        return End(
            mid=mid,
            complete=end.complete,
            seal=end.seal,
            until=waits,
            holders=end.replicas,
            placement=end.placement.version,
        )

    def learn_end(self, node: str, end: End) -> None:
        """Records an end that another store reports."""
        self.transfers.confirmed(node, end.mid)
        if end.mid in self.ends:
            self.place(end.mid, Placement(tuple(end.holders), end.placement))
        else:
            self.finish(end)

    def finish(self, msg: End, *then: tuple[str, str, Any]) -> None:
        """Records the end of a message, which is final: the first report counts. Its owner is informed, if
        another node reported it.
        """
        mid, complete, seal = msg.mid, msg.complete, msg.seal
        entry = self.remove(mid)
        # kept longer than any replica waits elsewhere, so that none is delivered again
        until = max(self.now + msg.until, entry.until if entry is not None else self.now) + self.state_s
        if entry is not None and entry.owner:
            self.owned.get(entry.owner, set()).discard(mid)
            owner_node = entry.owner.rpartition("/")[0]
            if all(node != owner_node for node, *_ in then):
                self.send(owner_node, "end", End(mid=mid, complete=complete, seal=seal))
        if entry is not None and complete:
            self.stored_bytes -= entry.size
        elif entry is not None:
            self.dead_sizes[mid] = entry.size  # its bytes can still be requested
        placement = Placement(tuple(msg.holders) or (self.node,), msg.placement)
        if entry is not None and msg.placement <= entry.placement.version:
            placement = entry.placement
        self.add_end(mid, KnownEnd(complete, seal, until, placement))
        self.unsynced.add(mid)
        self.figures["ended"] += 1
        holders = " ".join(placement.replicas)
        self.trace(353, message=mid, complete=complete, seal=seal, holders=holders.replace(" ", ","))
        self.writes.append(Write("end", (mid, int(complete), seal, until, holders, placement.version), then))

    def synced(self, writes: list[Write]) -> None:
        """These writes are on the disk."""
        for write in writes:
            if write.kind == "end":
                self.unsynced.discard(write.fields[0])
            elif write.kind == "seal":
                self.seal.synced(write.fields)  # type: ignore[arg-type]

    def write_seal(self, key: tuple[int, int]) -> None:
        """Writes the seal: nothing is left here and nothing is accepted any more. Reported once it is on the
        disk.
        """
        self.writes.append(Write("seal", key))

    def ordered(self, key: tuple[int, int], retiring: set[str]) -> None:
        """Handles a configuration: its key, and the stores that it removes; may include this one."""
        self.rebalancing.retiring = retiring
        if self.seal.apply_order(key, self.node in retiring):
            self.writes.append(Write("unseal", ()))

    def tried(self, node: str, msg: Tried) -> None:
        """Records the failed attempts and lost attempts of a message."""
        entry = self.entries.get(msg.mid)
        if entry is not None and (msg.fails > entry.fails or msg.lost > entry.lost):
            entry.fails, entry.lost = max(entry.fails, msg.fails), max(entry.lost, msg.lost)
            self.writes.append(Write("tried", (entry.mid, entry.due, entry.fails, entry.lost)))

    def park(self, node: str, msg: Park) -> None:
        """A gateway returns a message, to be delivered once it is due; or a store has freed it from a gateway
        whose lease expired.
        """
        entry, gateway = self.entries.get(msg.mid), self.gateways.get(node)
        if node in self.peers and entry is not None:
            if msg.claim < entry.claim or (msg.claim == entry.claim and entry.owner):
                return
            entry.min_claim = msg.claim
        if entry is None or (
            msg.claim < entry.claim
            and (gateway is None or entry.assigned_at or entry.owner != process_id(node, gateway.incarnation))
        ):
            return
        entry.due, entry.claim = self.now + msg.due, max(entry.claim, msg.claim)
        entry.fails, entry.lost = max(entry.fails, msg.fails), max(entry.lost, msg.lost)
        if entry.owner:
            self.set_owner(entry, "", "parked")
        else:
            heapq.heappush(self.waiting, (entry.due, entry.mid))
        self.writes.append(Write("tried", (entry.mid, entry.due, entry.fails, entry.lost)))

    def mine(self, node: str, msg: Mine) -> None:
        """Handles a gateway's list of the messages that it delivers, each with its latest claim; `whole`: of
        all of them.

        A live owner keeps its message, whatever claim another gateway was given, for example by a store
        without a link to this one; a void claim loses in any case. The gateway is informed of the messages
        that it has lost.
        """
        if (gateway := self.gateways.get(node)) is None:
            return
        gone = self.resolve_claims(node, msg)
        if msg.whole:
            self.reported.add(node)
            self.free_unlisted(process_id(node, gateway.incarnation), set(msg.mids))
            self.pending_lists[node] = self.now, msg
            self.check(node)
        elif gone or msg.ask:
            agreed = [mid for mid in msg.mids if mid not in self.ends and mid not in gone] if msg.ask else []
            self.sends.append(Send(node, "checked", Checked(gone=gone, number=msg.number, agreed=agreed)))

    def check(self, node: str) -> None:
        """Answers a gateway's whole list, once each linked store has echoed a later heartbeat of this one.
        Until then a store that had no heartbeat of that gateway may free its messages on old information;
        its report of that arrives before its echo.
        """
        since, msg = self.pending_lists[node]
        if msg.mids and any(
            self.peer_echoes.get(peer, -1e9) <= since
            for peer, last_seen in self.peers.items()
            if self.now - last_seen < AWAY
        ):
            return
        del self.pending_lists[node]
        gone = self.resolve_claims(node, msg, take=False)
        self.sends.append(Send(node, "checked", Checked(gone=gone, number=msg.number)))

    def resolve_claims(self, node: str, msg: Mine, take: bool = True) -> list[str]:
        """Returns the listed messages that are not the gateway's. `take`: it becomes the owner of the others;
        false where the list has waited here for a while, as the gateway may have returned some of them
        since.
        """
        process = process_id(node, self.gateways[node].incarnation)
        gone: list[str] = []
        for mid, claim in zip(msg.mids, msg.claims):
            entry = self.entries.get(mid)
            if entry is None:
                if mid in self.ends:  # it lacks the report of the end
                    end = self.ends[mid]
                    self.send(node, "end", End(mid=mid, complete=end.complete, seal=end.seal))
            elif claim >= entry.min_claim and (entry.owner in ("", process) or not self.alive(entry.owner)):
                if entry.owner not in ("", process):
                    self.send_gone(entry.owner, mid)
                if take or entry.owner:
                    entry.claim = max(entry.claim, claim)
                    self.set_owner(entry, process)
            else:
                gone.append(mid)
        return gone

    def free_unlisted(self, process: str, listed: set[str]) -> None:
        """Frees messages that it owns here and does not list: its report of returning them was lost with a
        link.
        """
        for mid in sorted(self.owned.get(process, set()) - listed):
            if not self.entries[mid].assigned_at:  # else the assignment may still be in transit
                self.set_owner(self.entries[mid], "", "unlisted")
                self.reconciliation.suspect(mid)
                # should it still have the message, it does not begin another attempt
                self.send_gone(process, mid)

    def send_gone(self, process: str, mid: str) -> None:
        """Informs a gateway process that a message is no longer its own."""
        node, _, incarnation = process.rpartition("/")
        if (gateway := self.gateways.get(node)) is not None and gateway.incarnation == int(incarnation):
            self.send(node, "checked", Checked(gone=[mid]))

    def refuse(self, node: str, msg: Refuse) -> None:
        """A gateway rejects an assignment, or returns a message because another store reported another
        owner.
        """
        entry, gateway = self.entries.get(msg.mid), self.gateways.get(node)
        if entry is None or gateway is None or entry.owner != process_id(node, gateway.incarnation):
            return
        if msg.claim == entry.claim or not entry.assigned_at:  # else it refers to an earlier assignment
            entry.due = max(entry.due, self.now + self.reassign_delay(entry))
            self.set_owner(entry, "", "refused")

    def reassign_delay(self, entry: Entry) -> float:
        """Seconds until a rejected message is assigned again. It differs from the other replicas' delays:
        otherwise two stores without a link to each other would have each other's gateway reject it for
        ever.
        """
        fraction = zlib.crc32(f"{entry.mid}/{entry.claim}/{self.node}".encode()) / 2**32
        return REFUSED * (0.5 + fraction)

    def holders(self, node: str, msg: Holders) -> None:
        """The accepting gateway or another store names the placement. A replica that it does not list is
        deleted, once enough of the listed stores have confirmed theirs.
        """
        placement = placement_of(msg)
        entry = self.entries.get(msg.mid)
        if entry is not None and not placement.replicas:
            self.drop(entry)  # the gateway has given the message up and promised nothing
            return
        unnumbered = not msg.placement and not self.protocols.get(node)
        if entry is not None and unnumbered and placement.replicas != entry.replicas:
            # the sender's version numbers no placements: whatever it names is taken as a change
            placement = entry.placement.changed_to(placement.replicas)
        self.place(msg.mid, placement)

    def drop(self, entry: Entry) -> None:
        """Deletes this store's replica."""
        self.set_owner(entry, "")
        self.remove(entry.mid)
        self.stored_bytes -= entry.size
        self.writes.append(Write("drop", (entry.mid,)))

    # ---- queries

    def state(self, mid: str) -> Told:
        """The state of a message as it may be reported; an end only once it is on the disk."""
        if mid in self.ends and mid not in self.unsynced:
            end = self.ends[mid]
            return Told(state=MessageState.COMPLETE if end.complete else MessageState.DEAD, seal=end.seal)
        if mid in self.entries or mid in self.unsynced:
            return Told(state=MessageState.PENDING)
        certain = self.settled and not self.comparison.learner and mid not in self.comparison.missing
        return Told(state=MessageState.UNKNOWN if certain else MessageState.UNSURE)

    def replicas_of(self, mid: str) -> tuple[str, ...]:
        """Stores that have the message, or had it when it ended; empty where it is unknown."""
        known = self.entries.get(mid) or self.ends.get(mid)
        return known.replicas if known is not None else ()

    # ---- other stores

    def send(self, node: str, kind: str, msg: Any) -> None:
        self.sends.append(Send(node, kind, msg))

    def fetch(self, mid: str, why: tuple[Any, ...]) -> None:
        self.fetches.append(Fetch(mid, why))

    def size_of(self, mid: str) -> int:
        """Bytes of a pending or dead message on the disk."""
        entry = self.entries.get(mid)
        return entry.size if entry is not None else self.dead_sizes.get(mid, 0)

    def depot_up(
        self,
        node: str,
        zone: str = "",
        disk: str = "",
        disk_age: float = 0.0,
        protocol: int = REPLICATION,
    ) -> None:
        """A link to a store is up. `disk`: id of its disk; `disk_age`: seconds since that was new.
        `protocol`: version of its messages to other stores.
        """
        self.peers[node] = self.now
        self.protocols[node] = protocol
        another_disk = self.disks.get(node, disk) != disk
        self.disks[node] = disk
        self.rebalancing.up(node, zone, disk_age)
        self.comparison.start(node)
        if another_disk and not protocol:  # it compares no ends, and has lost all of them
            for mid in self.end_holders.of(node):
                self.send_end(mid, [node])

    def depot_down(self, node: str) -> None:
        """The link to a store is down."""
        for known in (
            self.peers,
            self.protocols,
            self.peer_reports,
            self.peer_queries,
            self.peer_echoes,
            self.peers_settled,
        ):
            known.pop(node, None)  # type: ignore[attr-defined]
        self.transfers.down(node)
        self.comparison.down(node)
        self.rebalancing.down(node)

    def depot_pulse(self, node: str, pulse: Pulse) -> None:
        """A heartbeat of a store was received."""
        if node in self.peers:
            self.peers[node] = self.now
            self.peers_settled[node] = pulse.settled and not pulse.leaving
            self.peer_reports[node] = {process: self.now - age for process, age in pulse.edges.items()}
            self.peer_queries[node] = list(pulse.deaf)
            self.peer_echoes[node] = pulse.echo
            for gateway in list(self.pending_lists):
                self.check(gateway)

    def have(self, node: str, msg: Have) -> None:
        """Answers another store's list of what should be here as well."""
        self.comparison.have(node, msg)

    def differ(self, node: str, msg: Differ) -> None:
        """Handles the differences that a store reports."""
        for end in msg.ends:
            # not part of the comparison on a new link
            if end.mid not in self.ends and not msg.last and node not in self.comparison.awaited:
                self.figures["missed_ends"] += 1
                self.event(306, message=end.mid, by=node)
        self.comparison.differ(node, msg)

    def rotten(self, mid: str) -> None:
        """The message's bytes on this disk are corrupted: this replica is lost, and requested again from the
        others.
        """
        entry = self.entries.get(mid)
        if entry is not None:
            self.drop(entry)
            for node in entry.replicas:
                if node != self.node:
                    self.comparison.missing[mid] = node
                    self.send(node, "differ", Differ(lack=[mid]))

    def hand(self, node: str, msg: Hand) -> None:
        """Stores replicas that another store sends. Their owner goes on delivering: without an owner here,
        the message would be assigned a second time once this store acts for it.
        """
        for end in msg.ends:
            self.learn_end(node, end)
        for message, process in zip(msg.letters, [*msg.owners, *[""] * len(msg.letters)]):
            confirmation = ((node, "kept", Kept(mid=message.mid)),) if msg.answer else ()
            if message.mid in self.ends:
                self.hand_ended(node, message, confirmation)
            elif (known := self.entries.get(message.mid)) is not None:
                self.hand_known(node, known, message, process, confirmation)
            elif msg.answer and (self.seal.closed or (not msg.restored and not self.has_room(message))):
                self.send(node, "kept", Kept(mid=message.mid, refused=True))
            elif self.seal.written is None:  # a sealed disk takes no replicas
                self.hand_new(message, process, confirmation)

    def has_room(self, message: Letter) -> bool:
        return self.stored_bytes + message.ByteSize() <= self.room

    def hand_ended(self, node: str, message: Letter, then: tuple[tuple[str, str, Any], ...]) -> None:
        """A copy of a message that has ended: its bytes are kept if it is dead."""
        end = self.ends[message.mid]
        if end.complete or message.mid in self.dead_sizes or self.seal.closed:
            self.send_end(message.mid, [node])
            return
        self.loaded_dead(message.mid, message.ByteSize())
        self.comparison.arrived(message.mid)
        self.write_message(self.entry_of(message), message, *then)

    def hand_known(
        self, node: str, known: Entry, message: Letter, process: str, then: tuple[tuple[str, str, Any], ...]
    ) -> None:
        """A copy of a message that is here already: its placement and owner may be news."""
        if message.holders:
            self.holders(node, Holders(mid=known.mid, holders=message.holders, placement=message.placement))
        if process and message.claim >= known.claim and not known.owner:
            known.claim = message.claim
            self.set_owner(known, process)
        self.writes.append(Write("none", (), then))

    def hand_new(self, message: Letter, process: str, then: tuple[tuple[str, str, Any], ...]) -> None:
        entry = self.entry_of(message)
        if process:
            entry.owner = process
            self.owned.setdefault(process, set()).add(entry.mid)
        self.add(entry)
        self.comparison.placed(entry.mid, entry.replicas)
        self.figures["handed"] += 1
        self.write_message(entry, message, *then)
        self.audit(entry, "copies", self.country(self.zone))

    # ---- time

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

    def tick(self) -> None:
        """Handles all that is due by the time that `clock` set."""
        # After a stall, heartbeats of the others may lie here unread. They are read before the next tick,
        # which applies the time-outs; a store that is always slow applies them at every second tick.
        elapsed, self.ticked_at = self.now - self.ticked_at, self.now
        self.skipped_timeouts = stalled = elapsed > STALL and not self.skipped_timeouts
        if stalled and elapsed > AWAY and self.settled:
            # other stores have acted in its place, and peer messages may have been lost with links: as after
            # a start
            self.settled, self.started_at = False, self.now
            self.comparison.restart(self.peers)
        if not self.settled:
            # all expected nodes have reported, or so much time has passed that the missing ones count as
            # absent
            all_reported = self.expected is not None and self.expected <= self.reported | set(self.peers)
            age = self.now - self.started_at
            self.settled = (
                (all_reported or age >= SETTLE) and self.comparison.is_complete()
            ) or age >= 2.0 * SETTLE
        for process in list(self.owned):
            if not self.owned[process] or self.now - self.last_seen(process) < QUERY_AFTER:
                self.silent_owners.pop(process, None)
                if not self.owned[process]:
                    del self.owned[process]
            elif (
                self.now - self.silent_owners.setdefault(process, self.now) >= QUERY_FOR
                and not self.alive(process)
                and self.settled
                and not stalled
            ):
                self.lapsed(process, silent=True)
        for gateway in list(self.pending_lists):
            self.check(gateway)
        self.reconciliation.tick()
        lost = self.rebalancing.lost_stores()
        self.comparison.tick()
        if self.comparison.learned(lost):
            listed_by = ",".join(sorted(self.comparison.listed_by))
            self.event(307, listed_by=listed_by, missing=len(self.comparison.missing))
        self.transfers.tick()
        while self.expiry and self.expiry[0][0] <= self.now:
            self.expire(heapq.heappop(self.expiry)[1])
        if not self.leaving and not stalled:
            self.rebalancing.tick(lost)
        if self.settled and not self.leaving and not stalled:
            while self.unacknowledged and self.unacknowledged[0][0] <= self.now:
                entry = self.entries.get(heapq.heappop(self.unacknowledged)[1])
                if (
                    entry is not None
                    and entry.assigned_at
                    and self.now - entry.assigned_at >= ASSIGN_RETRY - 1e-6
                ):
                    self.send_assignment(entry)
            self.assign()

    def expire(self, mid: str) -> None:
        """Handles a message or a record of an end whose time has come."""
        if (entry := self.entries.get(mid)) is not None:
            if entry.until <= self.now:
                self.finish(End(mid=mid))
        elif (end := self.ends.get(mid)) is not None and end.until <= self.now:
            del self.ends[mid]
            self.end_holders.remove(mid, end.replicas)
            self.stored_bytes -= self.dead_sizes.pop(mid, 0)
            self.writes.append(Write("forget", (mid,)))

    def assign(self) -> None:
        """Assigns messages that are due and have no owner."""
        later: list[tuple[float, str]] = []
        remaining = ASSIGN_BATCH
        candidates: list[Gateway] | None = None
        by_country = dict[str, list[Gateway]]()
        while self.waiting and remaining and self.waiting[0][0] <= self.now + ASSIGN_LEAD:
            due, mid = heapq.heappop(self.waiting)
            entry = self.entries.get(mid)
            if entry is None or entry.owner or entry.due > due + 1e-6:
                continue
            if not self.is_acting(entry):
                later.append((self.now + 0.25, mid))
                entry.due = max(entry.due, self.now + 0.25) if entry.due > self.now else entry.due
                continue
            if candidates is None:
                candidates = self.candidates()
            if entry.home:
                if entry.home not in by_country:
                    by_country[entry.home] = self.candidates(entry.home)
                if not (eligible := by_country[entry.home]):  # it waits, without holding up others
                    later.append((self.now + 0.25, mid))
                    continue
            elif not (eligible := candidates):
                if self.policy is None:
                    later.append((due, mid))
                    break
                later.append((self.now + 0.25, mid))
                continue
            if not (eligible := [c for c in eligible if c.has_room(entry.size)]):
                later.append((due, mid))  # until some of what they were assigned is acknowledged
                remaining -= 1
                continue
            remaining -= 1
            chosen = min(eligible, key=lambda c: c.assigned)
            chosen.assigned += 1
            entry.claim += 1
            self.set_owner(entry, process_id(chosen.node, chosen.incarnation))
            self.send_assignment(entry)
        for item in later:
            heapq.heappush(self.waiting, item)

    def send_assignment(self, entry: Entry) -> None:
        """Sends an assignment to its owner and waits for the acknowledgement."""
        if not entry.assigned_at:
            self.gateways[entry.owner.rpartition("/")[0]].unacknowledged_bytes += entry.size
        entry.assigned_at = self.now
        heapq.heappush(self.unacknowledged, (self.now + ASSIGN_RETRY, entry.mid))
        self.fetches.append(Fetch(entry.mid, ("assign", entry.owner, entry.claim)))

    def country(self, zone: str) -> str:
        return self.policy.country(zone) if self.policy is not None else ""

    def candidates(self, home: str = "") -> list[Gateway]:
        """Gateways that may be assigned a message: those of this zone, where there are any. `home`: only
        those in that country.
        """
        available = [
            c
            for c in self.gateways.values()
            if c.linked
            and c.ready
            and not c.leaving
            and self.now - c.last_seen < 1.0
            and (not home or self.country(c.zone) == home)
        ]
        return [c for c in available if c.zone == self.zone] or available

    def fetched(self, mid: str, why: tuple[Any, ...], message: Letter | None) -> None:
        """The disk's answer to a fetch; None: the message has ended since."""
        kind, target = why[:2]
        entry = self.entries.get(mid)
        if kind != "assign" and mid in self.ends:  # since the request, if it is not for a dead message
            if message is not None:
                end = self.end_message(mid)
                self.send(target, "hand", Hand(letters=[message], answer=True, ends=[end]))
            else:
                self.transfers.confirmed(target, mid)
            self.send_end(mid, [target])  # also for a store of the version before: its bytes, then its end
            return
        if entry is None or message is None:
            if kind != "assign":
                self.transfers.confirmed(target, mid)
            return
        message.due, message.until = max(0.0, entry.due - self.now), max(0.0, entry.until - self.now)
        message.fails, message.lost, message.claim = entry.fails, entry.lost, entry.claim
        placement = entry.placement
        if kind == "move":
            placement = Placement(*why[2:])
        del message.holders[:]
        message.holders.extend(placement.replicas)
        message.placement = placement.version
        if kind == "assign":
            if (entry.owner, entry.claim) == why[1:]:
                self.figures["assigned"] += 1
                self.trace(352, message=mid, to=entry.owner, claim=entry.claim, why=entry.release_reason)
                self.send(target.rpartition("/")[0], "assign", Assign(letter=message))
        else:
            owners, restored = [entry.owner], kind == "hand"
            self.send(target, "hand", Hand(letters=[message], answer=True, owners=owners, restored=restored))
