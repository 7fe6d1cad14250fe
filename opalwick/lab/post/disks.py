"""Disks as the roles' shells have them, in memory: what a transaction holds is there once its sync has
ended.

`process.py` calls them as a sync ends, or never. Real files, and what sqlite makes of a torn one, have
tests of their own.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Sequence
from typing import Any

from opalwick.post.depot import disk
from opalwick.post.office.views import Stored


class Depot(disk.Disk):
    """The depot's own statements, on a database in memory."""

    def __init__(self, name: str) -> None:
        self.id, self.starts, self.rotten = name, 1, 0
        self.db = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        self.db.executescript(disk._TABLES)
        self.told: Callable[[Sequence[tuple[str, tuple[Any, ...]]]], None] | None = None

    def commit(self, writes: Sequence[tuple[str, tuple[Any, ...]]]) -> None:
        super().commit(writes)
        if self.told is not None:
            self.told(writes)


class Office:
    """One record, and a memory of the directory; as `post/office/disk.py` has them."""

    def __init__(self) -> None:
        self.stored: Stored | None = None
        self.told = b""

    def load(self) -> Stored | None:
        return self.stored

    def save(self, stored: Stored) -> None:
        self.stored = stored

    def remember(self, told: bytes) -> None:
        self.told = told

    def remembered(self) -> bytes:
        return self.told
