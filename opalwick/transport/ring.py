"""A ring of bytes: one direction of one connection."""

from __future__ import annotations


class Ring:
    __slots__ = ("view", "start", "size")

    def __init__(self, room: int) -> None:
        self.view, self.start, self.size = memoryview(bytearray(room)), 0, 0

    def free(self) -> memoryview:
        """The next free stretch; empty when full."""
        if not self.size:
            self.start = 0
        end, room = self.start + self.size, len(self.view)
        return self.view[end:] if end < room else self.view[end - room : self.start]

    def filled(self, count: int) -> None:
        self.size += count

    def held(self) -> memoryview:
        """The next stretch of bytes held; empty when none is."""
        return self.view[self.start : min(self.start + self.size, len(self.view))]

    def drop(self, count: int) -> None:
        self.start, self.size = (self.start + count) % len(self.view), self.size - count

    def put(self, data: memoryview) -> int:
        """Takes in as much as fits into the next free stretch."""
        free = self.free()
        count = min(len(free), len(data))
        free[:count] = data[:count]
        self.size += count
        return count
