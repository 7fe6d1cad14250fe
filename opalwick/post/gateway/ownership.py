"""Confirmation by stores that a message is delivered by this gateway. No I/O; part of `rounds.py`.

A message that one store assigns to this gateway may have ended or have another owner according to another
store that has a replica. Therefore all of these stores are asked, and delivery starts once every store that
is in contact has agreed. Whether a store is in contact is decided by the role (`may_send` of the rounds).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from opalwick.post.gateway.item import Item
from opalwick.post.wire_pb2 import Mine

# s between checks whether a store that has not answered has lost contact: the interval of the role's ticks
CHECK_INTERVAL = 0.05


class Agreement:
    """Messages whose delivery waits for stores to confirm that this gateway owns them."""

    def __init__(
        self,
        items: Mapping[str, Item],
        send: Callable[[str, str, Mine], None],
        resume: Callable[[Item], None],
        may_send: Callable[[Item], bool],
    ) -> None:
        """`items`: all messages that this gateway delivers, by id. `send`: sends a peer message (store, kind,
        message). `resume`: schedules the item again. `may_send`: whether the item's stores are in contact.
        """
        self.items, self.send, self.resume, self.may_send = items, send, resume, may_send
        self.waiting: dict[str, Item] = {}  # items that are due for delivery, by message id
        self.next_check = 0.0

    def await_from(self, item: Item, nodes: set[str], now: float) -> None:
        """Delivery starts once these stores have agreed or have lost contact."""
        item.awaited, item.awaited_since = nodes, now

    def announce(self, item: Item, claim: int, replicas: Iterable[str]) -> None:
        """Notifies all stores with a replica that the message is delivered here, and requests an answer from
        those whose agreement is needed.
        """
        for node in replicas:
            mine = Mine(mids=[item.mid], claims=[claim], ask=node in item.awaited)
            self.send(node, "mine", mine)

    def ask_again(self, node: str) -> None:
        """Repeats requests to a store whose answers may have been lost with a link."""
        asked = [item for item in self.items.values() if node in item.awaited and not item.reassigned]
        if asked:
            mids, claims = [item.mid for item in asked], [item.claim for item in asked]
            self.send(node, "mine", Mine(mids=mids, claims=claims, ask=True))

    def agreed(self, node: str, mids: Iterable[str]) -> None:
        """A store has neither an outcome nor another owner of these messages."""
        for mid in mids:
            if (item := self.items.get(mid)) is None:
                continue
            item.awaited.discard(node)
            if not item.awaited and self.waiting.pop(mid, None) is not None:
                self.resume(item)

    def must_wait(self, item: Item) -> bool:
        """Whether the item must wait for stores. It is resumed once they have agreed or have lost contact."""
        if not item.awaited or self.may_send(item):
            return False
        self.waiting[item.mid] = item
        return True

    def tick(self, now: float) -> None:
        """Resumes items whose stores have lost contact, and those that need no delivery any more."""
        if not self.waiting or now < self.next_check:
            return
        self.next_check = now + CHECK_INTERVAL
        for mid, item in list(self.waiting.items()):
            if self.may_resume(item, now):
                del self.waiting[mid]
                self.resume(item)

    def may_resume(self, item: Item, now: float) -> bool:
        over = item.closed or item.reassigned or item.expires_at <= now
        return over or self.may_send(item)
