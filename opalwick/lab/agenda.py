"""What is due when: the one heap of a run, whichever clock moves it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Entry:
    """Something due; `cancel` takes it back."""

    __slots__ = ("call", "fields")

    def __init__(self, call: Callable[..., None], fields: tuple) -> None:
        self.call: Callable[..., None] | None = call
        self.fields = fields

    def cancel(self) -> None:
        self.call, self.fields = None, ()


class Agenda:
    """`now` is seconds since the day began. Equal times keep the order in which they were asked for."""

    def __init__(self) -> None:
        self.now, self.serial = 0.0, 0
        self.heap: list[tuple[float, int, Entry]] = []
        self.changed: Callable[[], None] = lambda: None  # told when the next due time comes sooner

    def at(self, when: float, call: Callable[..., None], *fields: Any) -> Entry:
        entry = Entry(call, fields)
        self.serial += 1
        sooner = not self.heap or when < self.heap[0][0]
        heapq.heappush(self.heap, (max(when, self.now), self.serial, entry))
        if sooner:
            self.changed()
        return entry

    def after(self, seconds: float, call: Callable[..., None], *fields: Any) -> Entry:
        return self.at(self.now + seconds, call, *fields)

    def next(self) -> float | None:
        """When something is due next; None: nothing is."""
        while self.heap and self.heap[0][2].call is None:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def fire(self) -> None:
        """Takes the next one, and moves the time to it unless it has passed already."""
        when, _, entry = heapq.heappop(self.heap)
        self.now = max(self.now, when)
        if entry.call is not None:
            entry.call(*entry.fields)

    def run(self, until: float) -> None:
        """The virtual clock: all that is due up to then, at its time."""
        while (when := self.next()) is not None and when <= until:
            self.fire()
        self.now = until
