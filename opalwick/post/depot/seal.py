"""Whether a depot takes nothing any more, for good. No I/O; part of `keeping.py`.

A depot that is to be taken away refuses new messages from the moment that it hears so. Once nothing is left
there it writes a seal and only then says that it is empty, so that after the operator was told `complete`
nobody can be promised anything that rests on its disk: not by a gateway that never heard of the order, and
not after a restart at which the depot itself has not heard of it yet.
"""

from __future__ import annotations

Key = tuple[int, int]  # of a configuration: its number, and changes beside it


class Seal:
    def __init__(self) -> None:
        self.ordered: Key | None = None  # by the newest configuration this depot is to be taken away
        self.written: Key | None = None  # on the disk: sealed by the order of that configuration
        self.on_way = False  # to the disk

    @property
    def closed(self) -> bool:
        """Whether new messages are refused."""
        return self.ordered is not None or self.written is not None

    def loaded(self, key: Key | None) -> None:
        """From the disk, at the start."""
        self.written = key

    def learned(self, key: Key, retiring: bool) -> bool:
        """A configuration says whether this depot is to be taken away. True: the seal is to be lifted, as the
        order was taken back by a newer configuration than the one that it was given by.
        """
        self.ordered = key if retiring else None
        if retiring or self.written is None or key <= self.written:
            return False
        self.written = None
        return True

    def due(self, empty: bool) -> Key | None:
        """The key to seal with, if nothing is left and that is not on the disk or on its way there."""
        if not empty or self.ordered is None or self.written is not None or self.on_way:
            return None
        self.on_way = True
        return self.ordered

    def synced(self, key: Key) -> None:
        self.on_way = False
        if self.ordered is not None:  # else the order was taken back meanwhile
            self.written = key
