"""Copies of messages to other stores: a queue and a window of unconfirmed bytes for each. No I/O.

What is to be copied may exceed by far what a link can hold. A message's bytes are read from the disk only
when the window has room for them, and leave the window once the other store has confirmed them on its disk,
so heartbeats and assignments on the same link are never delayed by more than one window.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from opalwick.post.store.state import StoreState

WINDOW = 1 << 20  # bytes unconfirmed by one store: a tenth of a second of a 100 Mbit/s link
CONFIRM_TIMEOUT = 5.0  # s until an unconfirmed copy leaves the window; the next comparison finds it again


class InFlight(NamedTuple):
    """A copy that was sent, or is read from the disk to be sent."""

    size: int  # bytes
    since: float  # s, this store's clock


class Target:
    """Copies to one store."""

    def __init__(self) -> None:
        self.queue: dict[str, tuple[Any, ...]] = {}  # message id: reason of the fetch; in order
        self.in_flight: dict[str, InFlight] = {}
        self.unconfirmed = 0  # bytes


class Transfers:
    """All copies from this store to others."""

    def __init__(self, store: StoreState) -> None:
        self.store = store
        self.targets: dict[str, Target] = {}
        self.sent_bytes = 0  # since the start

    @property
    def waiting(self) -> int:
        """Copies that are queued or unconfirmed."""
        return sum(len(target.queue) + len(target.in_flight) for target in self.targets.values())

    def push(self, node: str, mid: str, why: tuple[Any, ...]) -> None:
        """Queues a copy of a message to a store. `why`: passed with its bytes to `MessageStore.fetched`."""
        target = self.targets.setdefault(node, Target())
        if mid not in target.in_flight:
            target.queue[mid] = why
            self.fill(target)

    def confirmed(self, node: str, mid: str) -> None:
        """That store has the copy on its disk, has rejected it or has the message's end; or there was nothing
        to send.
        """
        if (target := self.targets.get(node)) is not None:
            target.queue.pop(mid, None)
            self.release(target, mid)
            self.fill(target)

    def down(self, node: str) -> None:
        """The link to that store is down. The comparison on the next link finds what is left to copy."""
        self.targets.pop(node, None)

    def tick(self) -> None:
        """Gives up copies that were not confirmed in time."""
        for target in self.targets.values():
            for mid in list(target.in_flight):
                if self.store.now - target.in_flight[mid].since < CONFIRM_TIMEOUT:
                    break  # they are in order of time
                self.release(target, mid)
            self.fill(target)

    def release(self, target: Target, mid: str) -> None:
        if (copy := target.in_flight.pop(mid, None)) is not None:
            target.unconfirmed -= copy.size

    def fill(self, target: Target) -> None:
        """Starts queued copies as long as the window has room; one at least, whatever its size."""
        while target.queue:
            mid = next(iter(target.queue))
            size = self.store.size_of(mid)
            if target.in_flight and target.unconfirmed + size > WINDOW:
                return
            why = target.queue.pop(mid)
            target.in_flight[mid] = InFlight(size, self.store.now)
            target.unconfirmed += size
            self.sent_bytes += size
            self.store.fetch(mid, why)
