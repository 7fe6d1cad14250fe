"""The state machine of a store: which messages it stores and which gateway delivers each. No sockets, disk or
clock.

Inputs update the state and produce `writes` (each with the peer messages that may be sent once it is synced),
`sends` (at once) and `fetches`, which the agent takes with `effects()`. Input methods that are named after a
kind of wire message take the sender's node and that message. "Counter" is the wire's name for a gateway,
"depot" for a store, "letter" for a stored message.
"""

from __future__ import annotations

import heapq
import math
from typing import Any

from opalwick.post.names import process_id
from opalwick.post.store.assignment import Assignment
from opalwick.post.store.comparison import REPLICATION, Comparison
from opalwick.post.store.dead_bytes import DeadBytes
from opalwick.post.store.rebalancing import Rebalancing
from opalwick.post.store.reconciliation import Reconciliation
from opalwick.post.store.records import Send, Write
from opalwick.post.store.replicas import Replicas
from opalwick.post.store.store_base import AWAY
from opalwick.post.store.transfers import Transfers
from opalwick.post.wire_pb2 import Differ, Have, Keep, Kept, Letter, Pulse, Tried

SETTLE = 1.5  # s after its start that a store waits for the others' state: gateways connect within 0.8 s
STALL = 0.5  # s between two ticks from which this process counts as stalled: ten times the usual interval


class MessageStore(Assignment, Replicas):
    """The complete state machine."""

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
        super().__init__(node, zone, now, state_s, room, copies, spread)
        self.transfers = Transfers(self)
        self.comparison = Comparison(self, self.transfers, copies)
        self.rebalancing = Rebalancing(self, self.transfers, copies, spread)
        self.reconciliation = Reconciliation(self)
        self.dead_bytes = DeadBytes(self)

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

    def tick(self) -> None:
        """Handles all that is due by the time that `clock` set."""
        stalled = self.check_stall()
        self.settled = self.settled or self.has_settled()
        self.check_owners(stalled)
        for gateway in list(self.pending_lists):
            self.check(gateway)
        self.reconciliation.tick()
        lost = self.rebalancing.lost_stores()
        self.comparison.tick()
        self.check_learner(lost)
        self.dead_bytes.tick()
        self.transfers.tick()
        while self.expiry and self.expiry[0][0] <= self.now:
            self.expire(heapq.heappop(self.expiry)[1])
        if not self.leaving and not stalled:
            self.rebalancing.tick(lost)
        if self.settled and not self.leaving and not stalled:
            self.repeat_assignments()
            self.assign()

    def check_stall(self) -> bool:
        """Whether this process had stalled since the last tick, so that no time-outs apply now."""
        # After a stall, heartbeats of the others may lie here unread. They are read before the next tick,
        # which applies the time-outs; a store that is always slow applies them at every second tick.
        elapsed, self.ticked_at = self.now - self.ticked_at, self.now
        self.skipped_timeouts = elapsed > STALL and not self.skipped_timeouts
        if self.skipped_timeouts and elapsed > AWAY and self.settled:
            # other stores have acted in its place, and peer messages may have been lost with links: as after
            # a start
            self.settled, self.started_at = False, self.now
            self.comparison.restart(self.peers)
        return self.skipped_timeouts

    def has_settled(self) -> bool:
        """Whether all expected nodes have reported and all linked stores were compared with, or so much time
        has passed that the missing ones count as absent.
        """
        all_reported = self.expected is not None and self.expected <= self.reported | set(self.peers)
        age = self.now - self.started_at
        if age >= 2.0 * SETTLE:
            return True
        return (all_reported or age >= SETTLE) and self.comparison.is_complete()

    def repair_figures(self) -> dict[str, Any]:
        """What is left to be repaired, for operators."""
        return {
            "to_copy": self.transfers.waiting,
            "oldest_copy": round(self.transfers.oldest, 3),
            "surplus": self.comparison.surplus.count,
            "missing": len(self.comparison.missing) + self.dead_bytes.count,
            "learner": self.comparison.learner,
        }

    def check_learner(self, lost: set[str]) -> None:
        """Logs that all others have told what should be here."""
        if self.comparison.learned(lost):
            listed_by = ",".join(sorted(self.comparison.listed_by))
            self.event(307, listed_by=listed_by, missing=len(self.comparison.missing))
