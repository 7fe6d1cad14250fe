"""Anti-entropy between two linked stores: both end up with all messages and ends that either of them lists
for the other, under the newest placement. No I/O; part of `message_store.py`.

Each side sends what the other should have as well (`have`), part by part; the other one answers each part
with what differs there (`differ`), once all that it has of it is on its disk. So an answer is also a
confirmation: what it does not name is on that disk. A replica that the newest placement does not list is
deleted only after enough of the listed stores have confirmed theirs.

A store with a new disk is a learner: it cannot tell that there is no such message before every other store
has sent the whole list of what should be here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from opalwick.post.store.batches import batches
from opalwick.post.store.placement import Placement
from opalwick.post.store.questions import Kind, Questions
from opalwick.post.store.records import Write
from opalwick.post.store.state import StoreState
from opalwick.post.store.surplus import SurplusReplicas, list_pending
from opalwick.post.store.transfers import Transfers
from opalwick.post.wire_pb2 import Differ, End, Have, Holders

# s between comparisons on a link that stays up, in case an answer was lost with an error of either process
COMPARE_INTERVAL = 60.0
# version of the peer messages between stores that this process has (`Hello.replication`); 0: no placements
# with versions, and no answer that confirms
REPLICATION = 1


class Part(NamedTuple):
    """A part of a comparison that is to be sent."""

    pending: list[str]
    ended: list[str]


class Comparison:
    """The comparisons of this store with all linked ones."""

    def __init__(self, store: StoreState, transfers: Transfers, copies: int) -> None:
        self.store, self.transfers = store, transfers
        self.awaited = set[str]()  # stores that have not answered all parts of the comparison
        self.parts: dict[str, deque[Part]] = {}
        self.compared_at: dict[str, float] = {}
        self.questions = Questions(store)
        self.listed_by = set[str]()  # linked stores that have sent the whole list of what should be here
        self.missing: dict[
            str, str
        ] = {}  # messages that should be here and are not: the store that lists each
        self.doubtful: dict[str, None] = {}  # messages for which no store of their placement vouches
        self.orphans_found = False  # since the last link came up
        # by store that was away as a placement without it was adopted: the messages
        self.uninformed: dict[str, set[str]] = {}
        self.seen_before = set[str]()  # stores that were linked since the start of this process
        # ends that were not on the disk as a list was sent: the stores that it was sent to
        self.postponed: dict[str, set[str]] = {}
        self.received: dict[
            str, str
        ] = {}  # copies that have come since the last tick: the store that sent each
        self.learner = False
        self.surplus = SurplusReplicas(store, self.questions, copies)

    # ---- links

    def start(self, node: str) -> None:
        """Compares all that this store and that one should both have."""
        store = self.store
        self.awaited.add(node)
        self.orphans_found = False
        self.compared_at[node] = store.now
        self.questions.cancel(node, Kind.PART)
        pending, ended = store.entry_holders.of(node), store.end_holders.of(node)
        parts = deque(Part(batch, []) for batch in batches(pending))
        parts.extend(Part([], batch) for batch in batches(ended))
        self.parts[node] = parts or deque([Part([], [])])
        self.send_next(node)
        self.ask(node, self.conflicts_possible_with(node))

    def conflicts_possible_with(self, node: str) -> list[str]:
        """Messages whose placement does not list that store, while that store may have another placement of
        them that does not list this one. Whoever was away when a placement was made is not on disk with it,
        so after a start these are all messages whose placement was changed.
        """
        mids = self.uninformed.pop(node, set())
        if node not in self.seen_before:
            self.seen_before.add(node)
            for mid, entry in self.store.entries.items():
                if entry.placement.version and node not in entry.replicas:
                    mids.add(mid)
        return sorted(mids)

    def down(self, node: str) -> None:
        """The link to that store is down."""
        self.awaited.discard(node)
        self.listed_by.discard(node)
        self.parts.pop(node, None)
        self.compared_at.pop(node, None)
        self.questions.cancel(node)
        self.missing = {mid: sender for mid, sender in self.missing.items() if sender != node}

    def send_next(self, node: str) -> None:
        """Sends the next part of the comparison, of what is still here."""
        store, part = self.store, self.parts[node].popleft()
        message = list_pending(self.store, [mid for mid in part.pending if mid in store.entries])
        for mid in part.ended:
            if mid in store.unsynced:
                self.postponed.setdefault(mid, set()).add(node)
            self.list_end(message, mid)
        message.last = not self.parts[node]
        self.questions.ask(node, Kind.PART, message)

    def list_end(self, message: Have, mid: str) -> None:
        """Adds an end to a list, if it is on this disk."""
        end = self.store.ends.get(mid)
        if end is not None and mid not in self.store.unsynced:
            message.ended.append(mid)
            message.ended_stamps.append(end.placement.stamp)

    def synced(self, mid: str) -> None:
        """An end is on the disk now."""
        for node in sorted(self.postponed.pop(mid, set()) & self.store.peers.keys()):
            self.provide(node, mid)

    # ---- the other store's list

    def have(self, node: str, msg: Have) -> None:
        """Answers another store's list of what should be here as well; with `ends` it only asks which of them
        have ended, or have a newer placement.
        """
        store = self.store
        reply = Differ(last=msg.last, number=msg.number)
        stamps: Sequence[int | None] = list(msg.stamps) or [None] * len(msg.pending)
        for mid, stamp in zip(msg.pending, stamps):
            if mid in store.ends:
                reply.ends.append(store.end_message(mid))
            elif (entry := store.entries.get(mid)) is not None:
                self.compare_placements(reply, mid, entry.placement, stamp)
            elif not msg.ends:
                self.report_missing(reply, node, mid)
        for mid, stamp in zip(msg.ended, msg.ended_stamps):
            end = store.ends.get(mid)
            if end is not None and (end.complete or mid in store.dead_sizes):
                self.compare_placements(reply, mid, end.placement, stamp)
            elif not msg.ends:
                self.report_missing(reply, node, mid)
        if msg.last and not msg.ends:
            self.listed_by.add(node)
        if msg.number or not msg.ends or reply.ends:
            # behind all writes so far: what the answer does not name is on this disk
            store.writes.append(Write("none", (), ((node, "differ", reply),)))

    def compare_placements(self, reply: Differ, mid: str, known: Placement, stamp: int | None) -> None:
        if stamp is None or known.stamp == stamp:
            return
        if known.stamp > stamp:
            reply.holders.append(holders_message(mid, known))
        else:
            reply.stale.append(mid)

    def report_missing(self, reply: Differ, node: str, mid: str) -> None:
        """Requests what should be here, unless it is not to be stored here or comes from another store."""
        sender = self.missing.get(mid, node)
        if self.store.seal.closed or (sender != node and sender in self.store.peers):
            reply.absent.append(mid)
            return
        self.missing[mid] = node
        reply.lack.append(mid)

    def request_listed(self, node: str, mid: str) -> None:
        """Another store names a placement with this store, which has nothing of the message."""
        reply = Differ()
        self.report_missing(reply, node, mid)
        if reply.lack:
            self.store.send(node, "differ", reply)

    def arrived(self, mid: str) -> None:
        """The message or its end is here now."""
        self.missing.pop(mid, None)

    # ---- the other store's answer

    def differ(self, node: str, msg: Differ) -> None:
        """Handles the differences that a store reports."""
        store = self.store
        question = self.questions.answered(node, msg.number)
        for end in msg.ends:
            self.learn_end(node, end)
        for mid in msg.drop:  # from a store of the version before, which compares no versions
            if (entry := store.entries.get(mid)) is not None and not store.protocols.get(node):
                store.drop(entry)
        for holders in msg.holders:
            self.learn_placement(node, holders.mid, placement_of(holders))
        for mid in msg.stale:
            if (known := store.entries.get(mid) or store.ends.get(mid)) is not None:
                store.send(node, "holders", holders_message(mid, known.placement))
        for mid in sorted(msg.lack, key=self.risk):
            self.provide(node, mid)
        self.doubtful.update((mid, None) for mid in (*msg.lack, *msg.absent) if mid in store.entries)
        if question is not None:
            unconfirmed = {*msg.lack, *msg.absent, *(end.mid for end in msg.ends)}
            for mid in question.confirmable:
                if mid not in unconfirmed:
                    self.confirm(node, mid)
        unnumbered = not msg.number and (msg.last or not store.protocols.get(node))
        if unnumbered:  # of a version that names no numbers: it answers the part that was sent last
            self.questions.cancel(node, Kind.PART)
        if unnumbered or (question is not None and question.kind is Kind.PART):
            self.advance(node, msg.last)

    def advance(self, node: str, last: bool) -> None:
        """A part was answered; `last`: of the comparison."""
        if self.parts.get(node):
            self.send_next(node)
        elif last:
            self.awaited.discard(node)

    def learn_end(self, node: str, end: End) -> None:
        """Another store knows how a message ended; the other replicas may not have heard of it either."""
        store = self.store
        entry = store.entries.get(end.mid)
        store.learn_end(node, end)
        if entry is not None:
            store.send_end(end.mid, [n for n in entry.replicas if n in store.peers and n != node])

    def learn_placement(self, node: str, mid: str, placement: Placement) -> None:
        """Another store names a placement. If it is newer, the other stores of it and of the one that it
        replaces may have missed it without a link to the store that made it: they are told.
        """
        store = self.store
        known = store.entries.get(mid) or store.ends.get(mid)
        before = known.replicas if known is not None else ()
        if not store.place(mid, placement):
            return
        for other in sorted({*before, *placement.replicas} - {node, store.node}):
            if other in store.peers:
                store.send(other, "holders", holders_message(mid, placement))

    def risk(self, mid: str) -> tuple[int, float]:
        """Sorts messages to copy: those with the fewest linked replicas first, then by time."""
        store = self.store
        known = store.entries.get(mid) or store.ends.get(mid)
        if known is None:
            return 0, 0.0
        return sum(node in store.peers for node in known.replicas), known.until

    def provide(self, node: str, mid: str) -> None:
        """Sends that store what it lacks."""
        store = self.store
        if mid in store.ends:
            if mid in store.dead_sizes:
                self.transfers.push(node, mid, ("dead", node))
            else:
                store.send_end(mid, [node])
        elif mid in store.entries:
            self.transfers.push(node, mid, ("hand", node))

    # ---- changes of placements

    def left_out(self, mid: str, nodes: set[str]) -> None:
        """The newest placement no longer lists these stores. One that is away may change its own placement
        meanwhile, so that neither lists the other: they compare once it is back.
        """
        for node in nodes - self.store.peers.keys() - {self.store.node}:
            self.uninformed.setdefault(node, set()).add(mid)

    def confirm(self, node: str, mid: str) -> None:
        """That store has the message on its disk."""
        self.doubtful.pop(mid, None)
        self.surplus.confirm(node, mid)

    # ---- doubtful messages

    def find_orphans(self) -> None:
        """Marks messages of which no other replica is linked: their placement may be outdated."""
        self.orphans_found = True
        store = self.store
        for mid, entry in store.entries.items():
            if not any(node in store.peers for node in entry.replicas):
                self.doubtful[mid] = None

    def probe(self) -> None:
        """Asks all linked stores outside of their placement about doubtful messages: whether they have ended,
        or have a newer placement.
        """
        mids = [mid for mid in self.doubtful if mid in self.store.entries]
        self.doubtful.clear()
        for node in self.store.peers:
            self.ask(node, [mid for mid in mids if node not in self.store.entries[mid].replicas])

    def ask(self, node: str, mids: list[str]) -> None:
        """Asks a store whether these messages have ended there or have another placement; it need not have
        them.
        """
        store = self.store
        present = [mid for mid in mids if mid in store.entries or mid in store.ends]
        for batch in batches(present):
            message = list_pending(self.store, [mid for mid in batch if mid in store.entries])
            message.ends = True
            for mid in batch:
                self.list_end(message, mid)
            self.questions.ask(node, Kind.PROBE, message)

    # ---- copies that have come

    def copied(self, node: str, mid: str) -> None:
        """A copy of a message or of its end has come from a store, whose placement may be outdated. The other
        listed stores may have compared with this one before it was here.
        """
        self.received[mid] = node

    def check_received(self) -> None:
        """Asks the other listed stores about copies that are on this disk now."""
        store, by_node = self.store, dict[str, list[str]]()
        for mid, sender in list(self.received.items()):
            if mid in store.unsynced:
                continue
            del self.received[mid]
            for node in store.replicas_of(mid):
                if node in store.peers and node not in (sender, store.node):
                    by_node.setdefault(node, []).append(mid)
        for node, mids in by_node.items():
            self.ask(node, mids)

    # ---- time

    def tick(self) -> None:
        """Sends what is due."""
        store = self.store
        for node, at in list(self.compared_at.items()):
            if node not in self.awaited and store.now - at >= COMPARE_INTERVAL:
                self.start(node)
        self.questions.tick()
        self.surplus.tick()
        if self.received:
            self.check_received()
        if not self.awaited:
            if not self.orphans_found:
                self.find_orphans()
            if self.doubtful:
                self.probe()

    def learned(self, lost: set[str]) -> bool:
        """Whether this store has just ceased to be a learner. `lost`: stores that are taken to be lost."""
        store = self.store
        if not self.learner or store.members is None or not store.members - lost <= self.listed_by:
            return False
        self.learner = False
        store.writes.append(Write("taught", ()))
        return True

    def is_complete(self) -> bool:
        """Whether every linked store has answered, also about messages that no other store vouches for."""
        unanswered = self.awaited or self.doubtful or self.questions.awaits(Kind.PROBE)
        return self.orphans_found and not unanswered

    def restart(self, nodes: Iterable[str]) -> None:
        """Compares everything again, as after a start."""
        for node in nodes:
            self.start(node)


def holders_message(mid: str, placement: Placement) -> Holders:
    """A placement as a peer message."""
    return Holders(mid=mid, holders=placement.replicas, placement=placement.version)


def placement_of(msg: Holders | End) -> Placement:
    """The placement that a peer message names."""
    return Placement(tuple(msg.holders), msg.placement)
