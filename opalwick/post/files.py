"""Databases of one process each: how they are opened, sums of what was written, and what becomes of a file
that cannot be read.
"""

from __future__ import annotations

import os
import sqlite3
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

ROTTEN = b""  # in place of octets that are not what was written


def database(path: str, pages: int, *pragmas: str) -> sqlite3.Connection:
    """What is committed there is synced. `pages` of the log are written back at once."""
    db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    with closed_if_it_fails(db):
        for line in (
            "locking_mode = exclusive",  # one process: the index of the log needs no shared memory
            "journal_mode = wal",
            "synchronous = full",
            f"wal_autocheckpoint = {pages}",
            *pragmas,
        ):
            db.execute(f"pragma {line}").fetchall()
    return db


@contextmanager
def closed_if_it_fails(db: sqlite3.Connection) -> Iterator[None]:
    """Closed later, it would remove the log of the file that has its name by then."""
    try:
        yield
    except BaseException:
        db.close()
        raise


def add_columns(db: sqlite3.Connection, table: str, **columns: str) -> None:
    """Those that a file of an earlier version lacks, each with its type."""
    has = {row[1] for row in db.execute(f"pragma table_info({table})")}
    for name, kind in columns.items():
        if name not in has:
            db.execute(f"alter table {table} add column {name} {kind}")


def keep_names(folder: str) -> None:
    """The names of the files there last as well."""
    holder = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(holder)
    except OSError:  # some places sync no folders; the files' own syncs hold them
        pass
    finally:
        os.close(holder)


def sum_of(*fields: Any) -> int:
    """Of what may not change: CRC-32, which finds any burst of 32 bits."""
    return zlib.crc32(b"\0".join(f if isinstance(f, bytes) else str(f).encode() for f in fields))


def broken(problem: BaseException) -> bool:
    """Whether the file itself is at fault, and not its use: sqlite has no class of its own for that."""
    return type(problem) is sqlite3.DatabaseError


def set_aside(path: str) -> None:
    """A file that cannot be read stays for whoever looks; its log and index are nothing without it."""
    os.replace(path, path + ".broken")
    for ending in ("-wal", "-shm"):
        if os.path.exists(path + ending):
            os.remove(path + ending)
