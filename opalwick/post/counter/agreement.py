"""Whether the depots that keep a message agree that it is delivered here. No I/O; part of `rounds.py`.

A message that one depot gives to this counter may have ended, or have another deliverer, by what another
depot knows that keeps it too. So each of them is asked, and the message begins once all that are in touch
have agreed. Whether a depot is in touch is the role's to say (`may_send` of the rounds).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from opalwick.post.counter.item import Item
from opalwick.post.wire_pb2 import Mine

LOOK = 0.05  # s between looks whether a depot that has not answered is out of touch: the role's own step


class Agreement:
    def __init__(
        self,
        items: Mapping[str, Item],
        send: Callable[[str, str, Mine], None],
        resume: Callable[[Item], None],
        may_send: Callable[[Item], bool],
    ) -> None:
        """`items`: all that this counter delivers, by message. `send`: a word of a kind to a depot.
        `resume`: the item has its turn again. `may_send`: whether the item's depots are in touch."""
        self.items, self.send, self.resume, self.may_send = items, send, resume, may_send
        self.waiting: dict[str, Item] = {}  # items whose turn it is, by message
        self.look_at = 0.0

    def await_from(self, item: Item, nodes: set[str], now: float) -> None:
        """It begins once these have agreed, or are out of touch."""
        item.awaited, item.awaited_since = nodes, now

    def tell(self, item: Item, claim: int, holders: Iterable[str]) -> None:
        """All that keep the message hear that it is delivered here; those that it awaits are asked."""
        for node in holders:
            word = Mine(mids=[item.mid], claims=[claim], ask=node in item.awaited)
            self.send(node, "mine", word)

    def ask_again(self, node: str) -> None:
        """That depot's answers may have been lost with a link."""
        asked = [item for item in self.items.values() if node in item.awaited and not item.reassigned]
        if asked:
            mids, claims = [item.mid for item in asked], [item.claim for item in asked]
            self.send(node, "mine", Mine(mids=mids, claims=claims, ask=True))

    def agreed(self, node: str, mids: Iterable[str]) -> None:
        """A depot knows no end of these messages and no other deliverer."""
        for mid in mids:
            if (item := self.items.get(mid)) is None:
                continue
            item.awaited.discard(node)
            if not item.awaited and self.waiting.pop(mid, None) is not None:
                self.resume(item)

    def holds_back(self, item: Item) -> bool:
        """Whether it must wait for depots; it goes on by itself once they have agreed or are out of touch."""
        if not item.awaited or self.may_send(item):
            return False
        self.waiting[item.mid] = item
        return True

    def tick(self, now: float) -> None:
        if not self.waiting or now < self.look_at:
            return
        self.look_at = now + LOOK
        for mid, item in list(self.waiting.items()):
            if self.goes_on(item, now):
                del self.waiting[mid]
                self.resume(item)

    def goes_on(self, item: Item, now: float) -> bool:
        over = item.closed or item.reassigned or item.expires_at <= now
        return over or self.may_send(item)
