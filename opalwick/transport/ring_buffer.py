"""A ring buffer of bytes: one direction of one connection."""

from __future__ import annotations


class RingBuffer:
    """A ring buffer with access to contiguous parts; `size` bytes are in use from `start`."""

    __slots__ = ("view", "start", "size")

    def __init__(self, capacity: int) -> None:
        self.view, self.start, self.size = memoryview(bytearray(capacity)), 0, 0

    def free(self) -> memoryview:
        """Returns the next contiguous free part; empty if the buffer is full."""
        if not self.size:
            self.start = 0
        end, room = self.start + self.size, len(self.view)
        return self.view[end:] if end < room else self.view[end - room : self.start]

    def commit(self, count: int) -> None:
        """Marks bytes that were written into `free()` as used."""
        self.size += count

    def used(self) -> memoryview:
        """Returns the next contiguous part in use; empty if there is none."""
        return self.view[self.start : min(self.start + self.size, len(self.view))]

    def consume(self, count: int) -> None:
        """Removes the first bytes."""
        self.start, self.size = (self.start + count) % len(self.view), self.size - count

    def write(self, data: memoryview) -> int:
        """Copies as much as fits into the next free part; returns the number of bytes."""
        free = self.free()
        count = min(len(free), len(data))
        free[:count] = data[:count]
        self.size += count
        return count
