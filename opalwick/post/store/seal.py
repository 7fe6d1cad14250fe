"""Whether a store rejects all new messages for good. No I/O; part of `message_store.py`.

A store that is to be removed rejects new messages as soon as it receives that configuration. Once nothing is
left there, it writes a seal to its disk and only then reports that it is empty. So after the operator was
told `complete`, no accepted message can depend on this disk: not one of a gateway that has not received the
configuration, and not one that arrives after a restart, before the store itself has received the
configuration again.
"""

from __future__ import annotations

Key = tuple[int, int]  # of a configuration: its generation, and the number of changes since


class Seal:
    """The order to remove this store, and its record on the disk."""

    def __init__(self) -> None:
        self.retire_order: Key | None = None  # the newest configuration, if it removes this store
        self.written: Key | None = None  # the configuration whose order is recorded on the disk
        self.writing = False  # the write of the seal is in progress

    @property
    def closed(self) -> bool:
        """Whether new messages are refused."""
        return self.retire_order is not None or self.written is not None

    def loaded(self, key: Key | None) -> None:
        """Restores the seal from the disk at the start."""
        self.written = key

    def apply_order(self, key: Key, retiring: bool) -> bool:
        """Handles a configuration, which removes this store or not. Returns True if the seal is to be lifted,
        because a configuration newer than the one that gave the order took it back.
        """
        self.retire_order = key if retiring else None
        if retiring or self.written is None or key <= self.written:
            return False
        self.written = None
        return True

    def due(self, empty: bool) -> Key | None:
        """Returns the key to write if the store is empty and the seal is neither on the disk nor being
        written; the caller must write it.
        """
        if not empty or self.retire_order is None or self.written is not None or self.writing:
            return None
        self.writing = True
        return self.retire_order

    def synced(self, key: Key) -> None:
        """The seal was synced to the disk."""
        self.writing = False
        if self.retire_order is not None:  # else the order was taken back during the write
            self.written = key
