"""Copies of messages from and to other stores. No I/O; part of `message_store.py`."""

from __future__ import annotations

from typing import Any

from opalwick.post.store.comparison import placement_of
from opalwick.post.store.outcomes import Outcomes
from opalwick.post.store.placement import Placement
from opalwick.post.store.records import Entry, Write
from opalwick.post.wire_pb2 import Assign, Differ, Hand, Holders, Kept, Letter


class Replicas(Outcomes):
    """The replicas that are stored here, and those that are read to be sent."""

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
        self.comparison.learn_placement(node, msg.mid, placement)
        if entry is not None:
            self.learn_owner(entry, msg.owner, msg.claim)
        elif msg.mid not in self.ends and node in self.peers and self.node in placement.replicas:
            self.comparison.request_listed(node, msg.mid)

    def learn_owner(self, entry: Entry, owner: str, claim: int) -> None:
        """Another store names the gateway that delivers a message; empty: none. Without an owner here, the
        message would be assigned a second time once this store acts for it.
        """
        if owner and not entry.owner and claim >= entry.claim:
            entry.claim = claim
            self.set_owner(entry, owner)

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
        elif mid in self.dead_sizes:
            self.stored_bytes -= self.dead_sizes.pop(mid)
            self.writes.append(Write("drop", (mid,)))
            self.dead_bytes.lacking(mid)

    def hand(self, node: str, msg: Hand) -> None:
        """Stores replicas that another store sends. Their owner goes on delivering."""
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
                self.hand_new(node, message, process, confirmation)
                if not msg.restored:
                    self.comparison.surplus.hold(message.mid)

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
        self.learn_owner(known, process, message.claim)
        self.writes.append(Write("none", (), then))

    def hand_new(
        self, node: str, message: Letter, process: str, then: tuple[tuple[str, str, Any], ...]
    ) -> None:
        entry = self.entry_of(message)
        if process:
            entry.owner = process
            self.owned.setdefault(process, set()).add(entry.mid)
        self.add(entry)
        self.comparison.surplus.placed(entry.mid, entry.replicas)
        self.comparison.copied(node, entry.mid)
        self.figures["handed"] += 1
        self.write_message(entry, message, *then)
        self.audit(entry, "copies", self.country(self.zone))

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
        if kind == "move" and not self.protocols.get(target):
            placement = Placement(*why[2:])  # a store of the version before takes it for final
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
