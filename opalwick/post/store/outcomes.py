"""How messages end at a store, and what it answers about them. No I/O; part of `message_store.py`."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from opalwick.post.message_state import MessageState
from opalwick.post.names import process_id
from opalwick.post.store.comparison import placement_of
from opalwick.post.store.placement import Placement
from opalwick.post.store.records import KnownEnd, Write
from opalwick.post.store.store_base import StoreBase
from opalwick.post.wire_pb2 import End, Ended, Told


class Outcomes(StoreBase):
    """The records of ends."""

    def end(self, node: str, msg: End) -> None:
        """Records how a message ended; confirmed with `ended` once it is on the disk."""
        confirmation = (node, "ended", Ended(mid=msg.mid))
        if node in self.peers:
            self.transfers.confirmed(node, msg.mid)
        if msg.mid in self.ends:
            if node in self.peers:
                self.comparison.learn_placement(node, msg.mid, placement_of(msg))
            self.writes.append(Write("none", (), (confirmation,)))
            self.compare_successes(node, msg)
            return
        entry, gateway = self.entries.get(msg.mid), self.gateways.get(node)
        self.finish(msg, confirmation)
        if node in self.peers:
            self.comparison.copied(node, msg.mid)
        if entry is not None:
            # the sender may lack some of the replicas, or have no link to them
            uninformed = set(entry.replicas) - set(msg.holders or entry.replicas)
            if gateway is not None and entry.owner != process_id(node, gateway.incarnation):
                uninformed = set(entry.replicas)
            self.send_end(msg.mid, sorted(uninformed & set(self.peers) - {node}))
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
            self.comparison.arrived(end.mid)
            self.comparison.learn_placement(node, end.mid, placement_of(end))
        else:
            self.finish(end)
            self.comparison.copied(node, end.mid)

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
        if entry is None and not complete:
            self.dead_bytes.lacking(mid)
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
                self.comparison.synced(write.fields[0])
            elif write.kind == "seal":
                self.seal.synced(write.fields)  # type: ignore[arg-type]

    def expire(self, mid: str) -> None:
        """Handles a message or a record of an end whose time has come."""
        if (entry := self.entries.get(mid)) is not None:
            if entry.until <= self.now:
                self.finish(End(mid=mid))
        elif (end := self.ends.get(mid)) is not None and end.until <= self.now:
            del self.ends[mid]
            self.end_holders.remove(mid, end.replicas)
            self.stored_bytes -= self.dead_sizes.pop(mid, 0)
            self.dead_bytes.arrived(mid)
            self.writes.append(Write("forget", (mid,)))

    def state(self, mid: str) -> Told:
        """The state of a message as it may be reported; an end only once it is on the disk."""
        if mid in self.ends and mid not in self.unsynced:
            end = self.ends[mid]
            return Told(state=MessageState.COMPLETE if end.complete else MessageState.DEAD, seal=end.seal)
        if mid in self.entries or mid in self.unsynced:
            return Told(state=MessageState.PENDING)
        certain = self.settled and not self.comparison.learner and mid not in self.comparison.missing
        return Told(state=MessageState.UNKNOWN if certain else MessageState.UNSURE)
