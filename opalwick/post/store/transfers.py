"""Copies of messages to other stores: a queue and a window of unconfirmed bytes for each. No I/O.

What is to be copied may exceed by far what a link can hold. A message's bytes are read from the disk only
when the window has room for them, and leave the window once the other store has confirmed them on its disk,
so heartbeats and assignments on the same link are never delayed by more than one window.

A copy is owed until it is confirmed or rejected, or until the other store should not have it any more: one
that is not confirmed in time goes back to the queue. All that is owed to a store ends with its process, as
the next process compares anew what it has.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Any

from opalwick.post.store.state import StoreState

WINDOW = 1 << 20  # bytes unconfirmed by one store: a tenth of a second of a 100 Mbit/s link
CONFIRM_TIMEOUT = 1.0  # s until an unconfirmed copy is sent again; doubled each time up to the next value
MAX_CONFIRM_TIMEOUT = 4.0  # s
HEARD_WITHIN = 0.8  # s: a store without a heartbeat for longer gets no copy again until it is heard


@dataclass(slots=True)
class Copy:
    """A copy of a message that is owed to a store."""

    why: tuple[Any, ...]  # passed with the bytes to `MessageStore.fetched`
    since: float  # s, this store's clock: when it was queued first
    size: int = 0  # bytes, once it is sent or read from the disk to be sent
    number: int = 0  # in the order of sending to that store
    sent_at: float = 0.0  # s: when it was sent last
    sends: int = 0  # how often it was sent


class Target:
    """Copies to one store."""

    def __init__(self) -> None:
        # by the number of other linked replicas, the order of repair: message id: copy; in order
        self.queues: dict[int, dict[str, Copy]] = {}
        self.in_flight: dict[str, Copy] = {}
        self.unconfirmed = 0  # bytes
        self.last_number = 0  # of the copy sent last
        self.confirmed_number = 0  # the highest of a confirmed copy
        self.confirmed_at = -math.inf  # s: when it last confirmed a copy
        self.check_at = math.inf  # s: no copy in flight is overdue before

    @property
    def copies(self) -> list[Copy]:
        """All copies that are queued or unconfirmed."""
        queued = [copy for queue in self.queues.values() for copy in queue.values()]
        return [*queued, *self.in_flight.values()]

    def enqueue(self, mid: str, replicas: int, copy: Copy) -> None:
        """`replicas`: how many other linked stores have the message."""
        self.dequeue(mid)
        self.queues.setdefault(replicas, {})[mid] = copy

    def dequeue(self, mid: str) -> Copy | None:
        for replicas, queue in self.queues.items():
            if (copy := queue.pop(mid, None)) is not None:
                if not queue:
                    del self.queues[replicas]
                return copy
        return None

    def first(self) -> str | None:
        """The queued message with the fewest replicas, of these the one queued first."""
        return next(iter(self.queues[min(self.queues)])) if self.queues else None

    def due_at(self, mid: str, copy: Copy) -> float:
        """When the copy is overdue. A store confirms copies in order: one that was not overtaken may wait
        behind others, so its time begins with the last confirmation.
        """
        timeout = min(CONFIRM_TIMEOUT * 2.0 ** (copy.sends - 1), MAX_CONFIRM_TIMEOUT)
        overtaken = copy.number < self.confirmed_number
        begin = copy.sent_at if overtaken else max(copy.sent_at, self.confirmed_at)
        spread = zlib.crc32(f"{mid}/{copy.number}".encode()) / 2**32
        return begin + timeout * (0.75 + 0.5 * spread)


class Transfers:
    """All copies from this store to others."""

    def __init__(self, store: StoreState) -> None:
        self.store = store
        self.targets: dict[str, Target] = {}
        self.sent_bytes = 0  # since the start
        self.repeated = 0  # copies sent again, since the start

    @property
    def waiting(self) -> int:
        """Copies that are queued or unconfirmed."""
        return sum(len(target.copies) for target in self.targets.values())

    @property
    def oldest(self) -> float:
        """Seconds since the oldest copy that is not confirmed was queued; 0: there is none."""
        begins = [copy.since for target in self.targets.values() for copy in target.copies]
        return self.store.now - min(begins, default=self.store.now)

    def push(self, node: str, mid: str, why: tuple[Any, ...]) -> None:
        """Queues a copy of a message to a store. `why`: passed with its bytes to `MessageStore.fetched`."""
        target = self.targets.setdefault(node, Target())
        if mid in target.in_flight:
            return
        copy = target.dequeue(mid) or Copy(why, self.store.now)
        copy.why = why
        target.enqueue(mid, self.other_replicas(node, mid), copy)
        self.fill(target, node)

    def other_replicas(self, node: str, mid: str) -> int:
        """How many linked stores beside that one should have the message."""
        return sum(other in self.store.peers for other in self.store.replicas_of(mid) if other != node)

    def confirmed(self, node: str, mid: str) -> None:
        """That store has the copy on its disk, has rejected it or has the message's end; or there was nothing
        to send.
        """
        if (target := self.targets.get(node)) is None:
            return
        target.dequeue(mid)
        if (copy := target.in_flight.get(mid)) is not None:
            target.confirmed_number = max(target.confirmed_number, copy.number)
            target.confirmed_at = self.store.now
            self.release(target, mid)
        self.fill(target, node)

    def down(self, node: str) -> None:
        """The link to that store is down. The comparison on the next link finds what is left to copy."""
        self.targets.pop(node, None)

    def tick(self) -> None:
        """Queues copies again that were not confirmed in time."""
        for node, target in self.targets.items():
            if target.check_at <= self.store.now and self.is_heard(node):
                self.repeat_overdue(node, target)
            self.fill(target, node)

    def is_heard(self, node: str) -> bool:
        return self.store.now - self.store.peers.get(node, -math.inf) < HEARD_WITHIN

    def repeat_overdue(self, node: str, target: Target) -> None:
        """Takes overdue copies from the window, and queues those that are still owed."""
        now, repeated, oldest = self.store.now, 0, 0.0
        for mid, copy in list(target.in_flight.items()):
            if target.due_at(mid, copy) > now:
                continue
            self.release(target, mid)
            if self.store.owes_copy(node, mid):
                repeated, oldest = repeated + 1, max(oldest, now - copy.since)
                target.enqueue(mid, self.other_replicas(node, mid), copy)
        target.check_at = min(
            (target.due_at(mid, copy) for mid, copy in target.in_flight.items()), default=math.inf
        )
        if repeated:
            self.repeated += repeated
            self.store.event(308, to=node, copies=repeated, oldest=round(oldest, 3))

    def release(self, target: Target, mid: str) -> None:
        if (copy := target.in_flight.pop(mid, None)) is not None:
            target.unconfirmed -= copy.size

    def fill(self, target: Target, node: str) -> None:
        """Starts queued copies as long as the window has room; one at least, whatever its size."""
        while (mid := target.first()) is not None:
            size = self.store.size_of(mid)
            if target.in_flight and target.unconfirmed + size > WINDOW:
                return
            copy = target.dequeue(mid)
            assert copy is not None
            if copy.sends and not self.store.owes_copy(node, mid):
                continue
            self.start(target, mid, copy, size)

    def start(self, target: Target, mid: str, copy: Copy, size: int) -> None:
        """Has the message's bytes read from the disk, to be sent."""
        target.last_number += 1
        copy.number, copy.size = target.last_number, size
        copy.sent_at, copy.sends = self.store.now, copy.sends + 1
        target.in_flight[mid] = copy
        target.unconfirmed += size
        target.check_at = min(target.check_at, target.due_at(mid, copy))
        self.sent_bytes += size
        self.store.fetch(mid, copy.why)
