"""The list of where copies and runs of messages with a home were, a window at a time, on each depot's disk.

It is written in the transaction that keeps the message, or its end, so it tells neither more nor less. Its
table is made with its first row: a depot that never had such a message has none.
"""

from __future__ import annotations

import hashlib
import json
import sqlite3
from typing import Any

WINDOW = 60  # s: a day of a small site is some thousand rows
MOST = 7 * 86400  # s that rows are kept: a week, for who looks on Mondays

_TABLE = """create table if not exists audit (window integer, home text, what text, country text,
 count integer, primary key (window, home, what, country)) without rowid"""


def window(unix: float) -> int:
    """When the window began that this time of day is in."""
    return int(unix // WINDOW) * WINDOW


def note(db: sqlite3.Connection, fields: tuple[Any, ...]) -> None:
    """One more: window, home, `copies` or `runs`, country. Part of the caller's transaction."""
    db.execute(_TABLE)
    fresh = db.execute("select 1 from audit where window = ? limit 1", fields[:1]).fetchone() is None
    db.execute("insert into audit values (?, ?, ?, ?, 1) on conflict do update set count = count + 1", fields)
    if fresh:
        db.execute("delete from audit where window < ?", (fields[0] - MOST,))


def rows(db: sqlite3.Connection) -> list[tuple[int, str, str, str, int]]:
    """All there are: window, home, what, country, count."""
    if db.execute("select 1 from sqlite_master where name = 'audit'").fetchone() is None:
        return []
    return db.execute("select window, home, what, country, count from audit order by 1, 2, 3, 4").fetchall()


def signed(found: list[tuple[int, str, str, str, int]]) -> dict[str, Any]:
    """The list with a digest over it, by which two readings are told apart; `abroad`: what is not at home."""
    whole = [dict(zip(("window", "home", "what", "country", "count"), row)) for row in found]
    return {
        "rows": whole,
        "abroad": sum(row[4] for row in found if row[1] != row[3]),
        "sha256": hashlib.sha256(json.dumps(whole, sort_keys=True).encode()).hexdigest(),
    }
