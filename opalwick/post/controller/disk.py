"""A controller's disk in sqlite3: one record, synced before `save` returns, and a cached copy of the
directory for use at start-up, before any worker or node has reported.
"""

from __future__ import annotations

import os
import sqlite3

from opalwick.post.database_files import (
    add_columns,
    is_corrupt,
    closing_on_error,
    open_database,
    sync_directory,
    set_aside,
    checksum,
)
from opalwick.post.controller.views import Stored


class Disk:
    """The state on disk. Raises sqlite3.Error if the database cannot be opened or written."""

    def __init__(self, folder: str) -> None:
        os.makedirs(folder, exist_ok=True)
        path = os.path.join(folder, "office.sqlite3")
        self.lost = False  # a record existed but can no longer be read
        try:
            self.open(folder, path)
        except sqlite3.Error as problem:
            if not is_corrupt(problem):
                raise
            set_aside(path)
            self.open(folder, path)
            self.lost = True

    def open(self, folder: str, path: str) -> None:
        self.db = open_database(path, 100)  # pages; a change takes a few
        with closing_on_error(self.db):
            self.db.execute(
                "create table if not exists office (one integer primary key check (one = 1),"
                " promised integer, view blob, member integer, conf blob, blank integer)"
            )
            # a record of an older version has no checksum and is accepted
            add_columns(self.db, "office", voted="text not null default ''", sum="integer")
            self.db.execute(
                "create table if not exists memory (one integer primary key check (one = 1), told blob)"
            )
            self.load()
        sync_directory(folder)

    def load(self) -> Stored | None:
        """The stored record; None if there is none or its checksum is wrong (then `lost` is set)."""
        found = self.db.execute(
            "select promised, view, member, conf, blank, voted, sum from office"
        ).fetchone()
        if found is None:
            return None
        if found[6] is not None and found[6] != checksum(*found[:6]):
            self.lost = True
            return None
        return Stored(found[0], found[1], bool(found[2]), found[3], bool(found[4]), found[5])

    def save(self, stored: Stored) -> None:
        """Writes the record durably; raises sqlite3.Error otherwise."""
        values = (
            stored.promised,
            stored.view,
            int(stored.member),
            stored.conf,
            int(stored.blank),
            stored.voted,
        )
        self.db.execute("begin immediate")
        try:
            self.db.execute(
                "insert or replace into office (one, promised, view, member, conf, blank, voted, sum)"
                " values (1, ?, ?, ?, ?, ?, ?, ?)",
                (*values, checksum(*values)),
            )
            self.db.execute("commit")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("rollback")
            raise

    def remember(self, told: bytes) -> None:
        """Stores the copy of the directory."""
        self.db.execute("insert or replace into memory values (1, ?)", (told,))

    def remembered(self) -> bytes:
        """The copy of the directory; empty if there is none."""
        found = self.db.execute("select told from memory").fetchone()
        return b"" if found is None else bytes(found[0])

    def close(self) -> None:
        self.db.close()
