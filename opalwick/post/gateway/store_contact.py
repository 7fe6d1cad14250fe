"""A gateway's links to stores, and what it knows by them: which of them have received its heartbeats lately,
and whether they agree that it owns its messages. No I/O; part of `role.py`.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

from opalwick.post.base_role import RoleBase
from opalwick.post.gateway.intake import Intake
from opalwick.post.gateway.item import Item
from opalwick.post.gateway.linked_stores import linked_stores
from opalwick.post.gateway.scheduling import Rounds
from opalwick.post.residency.guard import Guard
from opalwick.post.settings import Settings
from opalwick.post.store.gateway_leases import LAPSE, MARGIN

TEMPORARY_LINK_IDLE = 30.0  # s that a temporary link to a store is kept after its last use
PENDING_LIFETIME = 5.0  # s that messages for a store wait for a temporary link: several connection attempts
MAX_PENDING = 512  # limit of such messages per store
FIRST_ECHO_WAIT = 0.5  # s to wait for the first echo of a linked store: a heartbeat each way
START_UP = 2.0  # s after the start in which links to stores may be missing: several connection attempts
# s to wait for a temporary link: five times a connection and a round trip between regions
TEMPORARY_LINK_WAIT = 0.3


class StoreContact(RoleBase):
    """The part of a gateway that keeps in contact with stores. Times are in seconds of its clock."""

    def __init__(self, settings: Settings, life: int, now: float, accepts: int) -> None:
        """`accepts`: limit of messages that are being stored at once."""
        super().__init__(settings, life, now)
        seed = crc32(f"{self.node}/{life}".encode())
        self.replica_count = settings.survive.boxes + 1
        self.intake = Intake(self.zone, self.replica_count, accepts, settings.survive.across_zones)
        self.rounds = Rounds(self.node, settings, seed, now, self.may_send)
        self.guard = Guard(self.zone, settings, self.directory, self.event)
        # by store: the latest time of sending of which it has confirmed the receipt
        self.confirmed_receipt: dict[str, float] = {}
        self.confirmed_owners = set[str]()  # stores that have since confirmed who owns their messages
        self.outdated = set[str]()  # stores whose confirmation of owners was outdated when it arrived
        self.lists_due: dict[str, None] = {}  # stores to which the full list of deliveries must be sent
        self.linked_stores: set[str] = set()
        self.temporary_links: dict[str, float] = {}  # stores with a temporary link: when last used
        self.pending: dict[str, list[tuple[float, str, Any]]] = {}
        self.started_at = now

    def may_send(self, item: Item) -> bool:
        """Whether this gateway is sure to own the message: stores that have a replica received heartbeats so
        recently that none considers the gateway failed, and all of these stores have confirmed the owner
        since the last time at which they may have considered it failed.
        """
        fresh = [node for node in item.replicas if self.fresh(node)]
        if not fresh or not all(node in self.confirmed_owners for node in fresh):
            return False
        return not any(self.awaits(node, item) for node in item.awaited)

    def awaits(self, node: str, item: Item) -> bool:
        """Whether to wait for that store, which has a replica and has not confirmed that this gateway
        delivers the message. An unreachable store is not waited for.
        """
        since = self.now - item.awaited_since
        if self.fresh(node):  # a store of an earlier version never answers
            return since < LAPSE - MARGIN
        if node in self.links:  # the link may be new
            return since < FIRST_ECHO_WAIT
        # a store without its regular link is unreachable, unless this process has just started
        connecting = (
            node in self.temporary_links
            if node not in self.linked_stores
            else self.now - self.started_at < START_UP
        )
        return connecting and since < TEMPORARY_LINK_WAIT

    def fresh(self, node: str) -> bool:
        """Whether that store has received this gateway's heartbeats so recently that it can't consider it
        failed.
        """
        return self.now - self.confirmed_receipt.get(node, -1e9) < LAPSE - MARGIN

    def echoed(self, node: str, at: float) -> None:
        """A store's echo: it received what this gateway sent at that time of the gateway's clock."""
        before = self.confirmed_receipt.get(node, -1e9)
        if at <= before:
            return
        self.confirmed_receipt[node] = at
        if at - before >= LAPSE - MARGIN or (node in self.outdated and self.fresh(node)):
            # after so long a gap the store may have assigned the messages to other gateways
            self.confirmed_owners.discard(node)
            self.outdated.discard(node)
            self.lists_due[node] = None

    def on_process_ended(self, node: str) -> None:
        """The next process of a store has received no heartbeat yet, and has confirmed no owner."""
        self.confirmed_receipt.pop(node, None)
        self.confirmed_owners.discard(node)
        self.outdated.discard(node)

    def call_on(self, node: str, kind: str, content: Any) -> None:
        """Sends a message to a store. If there is no link to it, opens a temporary one first."""
        if node not in self.linked_stores:
            self.temporary_links[node] = self.now
        if self.send(node, kind, content) or node in self.linked_stores:
            return  # what a regular store has missed is sent again when its link is up
        target = self.directory.nodes.get(node)
        if target is not None and not target.gone:
            self.maintain_link(target.ip)
            if len(pending := self.pending.setdefault(node, [])) < MAX_PENDING:
                pending.append((self.now, kind, content))

    def close_unused_links(self) -> None:
        """Closes temporary links to stores that are no longer used."""
        if not self.temporary_links:
            return
        used = {node for item in self.rounds.items.values() for node in item.replicas}
        used |= {
            node for unconfirmed in self.rounds.unconfirmed_ends.values() for node in unconfirmed.missing
        }
        used |= {node for wait in self.intake.pending.values() for node in wait.requested}
        for node, at in list(self.temporary_links.items()):
            if self.now - at > TEMPORARY_LINK_IDLE and node not in used:
                del self.temporary_links[node]
                self.pending.pop(node, None)
                if (target := self.directory.nodes.get(node)) is not None and node not in self.linked_stores:
                    self.wanted.pop((target.ip, self.port), None)

    def select_stores(self) -> None:
        """Selects the stores to which it keeps links."""
        watched = self.nodes("depot")
        if self.guard.policy is None:  # with a policy, a message may have to be stored in any country
            watched = linked_stores(
                watched, self.node, self.zone, self.replica_count, self.settings.survive.across_zones
            )
        for store in watched:
            self.maintain_link(store.ip)
        self.temporary_links |= dict.fromkeys(
            self.linked_stores - {store.node for store in watched}, self.now
        )
        self.linked_stores = {store.node for store in watched}

    def send_delivery_lists(self) -> None:
        """Sends the full list of deliveries to stores that were just linked, or that receive heartbeats
        again. The list is built when it is sent, after all earlier messages. If it were older than a `keep`
        sent ahead of it, it would lack that message, and the store would conclude that this gateway does not
        own it.
        """
        for node in self.lists_due:
            self.send(node, "mine", self.rounds.delivery_list(node, self.intake.under_way(node)))
        self.lists_due.clear()
