"""Whether the depots that keep a message agree that it is delivered here. No I/O; part of `rounds.py`.

A message that one depot gives to this counter may have ended, or have another deliverer, by what another
depot knows that keeps it too. So each of them is asked, and the message begins once all that are in touch
have agreed. Whether a depot is in touch is the role's to say (`may_send` of the rounds).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from opalwick.post.wire_pb2 import Mine

if TYPE_CHECKING:
    from opalwick.post.counter.rounds import Item, Rounds

LOOK = 0.05  # s between looks whether a depot that has not answered is out of touch: the role's own step


class Agreement:
    def __init__(self, rounds: Rounds) -> None:
        self.rounds = rounds
        self.waiting: dict[str, Item] = {}  # items whose turn it is, by message
        self.look_at = 0.0

    def await_from(self, item: Item, nodes: set[str]) -> None:
        """It begins once these have agreed, or are out of touch."""
        item.awaited, item.since = nodes, self.rounds.now

    def tell(self, item: Item, claim: int, holders: Iterable[str]) -> None:
        """All that keep the message hear that it is delivered here; those that it awaits are asked."""
        for node in holders:
            word = Mine(mids=[item.mid], claims=[claim], ask=node in item.awaited)
            self.rounds.sends.append((node, "mine", word))

    def ask_again(self, node: str) -> None:
        """That depot's answers may have been lost with a link."""
        asked = [item for item in self.rounds.items.values() if node in item.awaited and not item.foreign]
        if asked:
            mids, claims = [item.mid for item in asked], [item.claim for item in asked]
            self.rounds.sends.append((node, "mine", Mine(mids=mids, claims=claims, ask=True)))

    def agreed(self, node: str, mids: Iterable[str]) -> None:
        """A depot knows no end of these messages and no other deliverer."""
        for mid in mids:
            if (item := self.rounds.items.get(mid)) is None:
                continue
            item.awaited.discard(node)
            if not item.awaited and self.waiting.pop(mid, None) is not None:
                self.rounds.at(self.rounds.now, item)

    def holds_back(self, item: Item) -> bool:
        """Whether it must wait for depots; it goes on by itself once they have agreed or are out of touch."""
        if not item.awaited or self.rounds.may_send(item):
            return False
        self.waiting[item.mid] = item
        return True

    def tick(self) -> None:
        if not self.waiting or self.rounds.now < self.look_at:
            return
        self.look_at = self.rounds.now + LOOK
        for mid, item in list(self.waiting.items()):
            if self.goes_on(item):
                del self.waiting[mid]
                self.rounds.at(self.rounds.now, item)

    def goes_on(self, item: Item) -> bool:
        over = item.over or item.foreign or item.until <= self.rounds.now
        return over or self.rounds.may_send(item)
