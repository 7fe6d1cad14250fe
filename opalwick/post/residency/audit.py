"""The residency audit: in which country replicas and runs of messages with a home were, by window of time, on
each store's disk.

A row is written in the transaction that stores the message or its end, so the audit has neither more nor less
than the disk. Its table is created with the first row: a store that never had such a message has no table.
"""

from __future__ import annotations

import hashlib
import json
import sqlite3
from typing import Any

WINDOW = 60  # s; one day of a small site is a few thousand rows
RETENTION = 7 * 86400  # s until rows are deleted: a week, for operators who check once a week

_TABLE = """create table if not exists audit (window integer, home text, what text, country text,
 count integer, primary key (window, home, what, country)) without rowid"""


def window(unix: float) -> int:
    """Start of the window that contains this unix time."""
    return int(unix // WINDOW) * WINDOW


def record(db: sqlite3.Connection, fields: tuple[Any, ...]) -> None:
    """Counts one more: `fields` are window, home, `copies` or `runs`, country. Part of the caller's
    transaction.
    """
    db.execute(_TABLE)
    new_window = db.execute("select 1 from audit where window = ? limit 1", fields[:1]).fetchone() is None
    db.execute("insert into audit values (?, ?, ?, ?, 1) on conflict do update set count = count + 1", fields)
    if new_window:
        db.execute("delete from audit where window < ?", (fields[0] - RETENTION,))


def rows(db: sqlite3.Connection) -> list[tuple[int, str, str, str, int]]:
    """All rows: window, home, what, country, count."""
    if db.execute("select 1 from sqlite_master where name = 'audit'").fetchone() is None:
        return []
    return db.execute("select window, home, what, country, count from audit order by 1, 2, 3, 4").fetchall()


def with_digest(rows: list[tuple[int, str, str, str, int]]) -> dict[str, Any]:
    """The rows with a digest, which shows whether two reports are the same. `abroad`: the count of those that
    were not at home.
    """
    listed = [dict(zip(("window", "home", "what", "country", "count"), row)) for row in rows]
    return {
        "rows": listed,
        "abroad": sum(row[4] for row in rows if row[1] != row[3]),
        "sha256": hashlib.sha256(json.dumps(listed, sort_keys=True).encode()).hexdigest(),
    }
