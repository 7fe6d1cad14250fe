"""In-memory disks of the roles: a transaction is durable once its sync has ended.

`process.py` calls them when a sync ends; a sync that never ends leaves nothing. Real files, and torn ones in
sqlite, have tests of their own.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Sequence
from typing import Any

from opalwick.post.store import disk
from opalwick.post.controller.views import Stored


class Depot(disk.Disk):
    """A store's disk (role depot): its own SQL statements on an in-memory database."""

    def __init__(self, name: str) -> None:
        self.id, self.starts, self.rotten = name, 1, 0
        self.db = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        self.db.executescript(disk._TABLES)
        self.db.execute("insert into facts values ('learner', '1')")
        self.on_commit: Callable[[Sequence[tuple[str, tuple[Any, ...]]]], None] | None = None

    def commit(self, writes: Sequence[tuple[str, tuple[Any, ...]]]) -> None:
        super().commit(writes)
        if self.on_commit is not None:
            self.on_commit(writes)


class Office:
    """A controller's disk (role office): one record and a directory, as in `post/controller/disk.py`."""

    def __init__(self) -> None:
        self.stored: Stored | None = None
        self.directory = b""

    def load(self) -> Stored | None:
        return self.stored

    def save(self, stored: Stored) -> None:
        self.stored = stored

    def remember(self, directory: bytes) -> None:
        self.directory = directory

    def remembered(self) -> bytes:
        return self.directory
