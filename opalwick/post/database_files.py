"""SQLite databases that one process uses exclusively: opening, checksums of rows, and handling of unreadable
files.
"""

from __future__ import annotations

import os
import sqlite3
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

CORRUPT = b""  # in place of data that fails its checksum


def open_database(path: str, pages: int, *pragmas: str) -> sqlite3.Connection:
    """Opens a database whose commits are synced to disk. `pages`: pages of the write-ahead log at which it is
    checkpointed.
    """
    db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    with closing_on_error(db):
        for pragma in (
            "locking_mode = exclusive",  # one process: the write-ahead log's index needs no shared memory
            "journal_mode = wal",
            "synchronous = full",
            f"wal_autocheckpoint = {pages}",
            *pragmas,
        ):
            db.execute(f"pragma {pragma}").fetchall()
    return db


@contextmanager
def closing_on_error(db: sqlite3.Connection) -> Iterator[None]:
    """Closes the database if the block fails: a later close would remove the write-ahead log of the file that
    has the same name by then.
    """
    try:
        yield
    except BaseException:
        db.close()
        raise


def add_columns(db: sqlite3.Connection, table: str, **columns: str) -> None:
    """Adds columns, given with their types, that a file of an earlier version lacks."""
    existing = {row[1] for row in db.execute(f"pragma table_info({table})")}
    for name, kind in columns.items():
        if name not in existing:
            db.execute(f"alter table {table} add column {name} {kind}")


def sync_directory(folder: str) -> None:
    """Syncs a directory, so that the names of its files survive a power failure."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    except OSError:  # some file systems cannot sync directories; there the sync of each file covers its name
        pass
    finally:
        os.close(descriptor)


def checksum(*fields: Any) -> int:
    """Checksum of fields that must not change: CRC-32, which detects any error burst of up to 32 bits."""
    return zlib.crc32(b"\0".join(f if isinstance(f, bytes) else str(f).encode() for f in fields))


def is_corrupt(problem: BaseException) -> bool:
    """Whether the database file is corrupt, rather than used wrongly: sqlite3 has no separate exception class
    for corruption.
    """
    return type(problem) is sqlite3.DatabaseError


def set_aside(path: str) -> None:
    """Renames an unreadable database file for later inspection. Removes its log and index, which are
    useless without it.
    """
    os.replace(path, path + ".broken")
    for suffix in ("-wal", "-shm"):
        if os.path.exists(path + suffix):
            os.remove(path + suffix)
