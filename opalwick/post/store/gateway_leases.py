"""Which gateway delivers each message: claims, and leases that heartbeats extend. No I/O; part of
`message_store.py`.

One gateway at a time delivers a message: the one that accepted it at first, and after that the one that the
acting store among the message's replicas assigns it to. A gateway's lease has expired once no linked store
has received its heartbeat for `LAPSE`; the gateway itself stops `MARGIN` sooner (`gateway/scheduling.py`).
"""

from __future__ import annotations

import heapq
import zlib

from opalwick.post.names import process_id
from opalwick.post.store.gateway import Gateway
from opalwick.post.store.records import Entry, Send, Write
from opalwick.post.store.store_base import AWAY, StoreBase
from opalwick.post.wire_pb2 import Checked, End, Mine, Park, Pulse, Refuse

LAPSE = 2.0  # s without a heartbeat after which a gateway's lease expires: eight heartbeats
# s without a gateway's heartbeat, two of them, until other stores are asked whether they receive it
QUERY_AFTER = 0.5
# s that the others are asked for at least before the lease expires: a heartbeat each way, and one more
QUERY_FOR = 0.75
MARGIN = 0.5  # s that a gateway stops sooner: two heartbeats in transit, and their age
REFUSED = 0.2  # s until a message that a gateway rejected is assigned again, give or take half


class GatewayLeases(StoreBase):
    """The gateways and the messages that each delivers."""

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
            self.pending_lists.pop(node, None)

    def counter_ended(self, node: str) -> None:
        """The known process of a gateway has ended: its messages are free. The next one may have any
        incarnation number.
        """
        if (gateway := self.gateways.pop(node, None)) is not None:
            self.lapsed(process_id(node, gateway.incarnation))

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

    def check_owners(self, stalled: bool) -> None:
        """Asks other stores about owners without a heartbeat here, and frees the messages of those that none
        has heard. `stalled`: this process may have heartbeats that it has not read.
        """
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
