"""A depot's disk: one sqlite3 file of messages and ends. Nothing here decides.

A batch is one transaction, synced before `commit` returns (WAL, synchronous=FULL): what it holds may be told.

What a loss of power tore is told by sqlite: its log has sums, and what was not committed whole is not there.
What has rotten since is told by sums of our own on each message and each end: such a one counts as lost, and
the depot gets it anew from the others. A file that is no database any more is set aside: its disk is lost.
"""

from __future__ import annotations

import os
import uuid
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from opalwick.post.files import (
    CORRUPT,
    add_columns,
    closing_on_error,
    open_database,
    sync_directory,
    checksum,
)
from opalwick.post.home import audit

_TABLES = """
create table if not exists letters (mid text primary key, letter blob not null, due real not null,
                                    until real not null, fails integer not null, lost integer not null,
                                    holders text not null default '', sum integer);
create table if not exists ends (mid text primary key, complete integer not null, seal text not null,
                                 until real not null, holders text not null default '',
                                 sum integer) without rowid;
create table if not exists facts (name text primary key, value text not null) without rowid;
"""


class Row(NamedTuple):
    """Of the table `letters`; times are unix seconds by this machine's clock."""

    mid: str
    letter: bytes
    due: float
    until: float
    fails: int
    lost: int
    holders: str  # with blanks between, where they are not those that the letter names


class Disk:
    def __init__(self, folder: str) -> None:
        os.makedirs(folder, exist_ok=True)
        self.path = os.path.join(folder, "depot.sqlite3")
        self.rotten = 0  # messages and ends that were not what was written
        # 500 pages, 2 MB: some 20 ms of a slow disk, a quarter of an aim; 4 MB kept in memory
        self.db = open_database(self.path, 500, "cache_size = -4096")
        with closing_on_error(self.db):
            self.db.executescript(_TABLES)
            for table in ("letters", "ends"):  # without a sum from before: it is taken as it is
                add_columns(self.db, table, holders="text not null default ''", sum="integer")
            self.id, self.life = self.started()
            self.purge()

    def started(self) -> tuple[str, int]:
        """The disk's own name, drawn when it was empty, and how often a process began on it."""
        self.db.execute("begin immediate")
        facts = dict(self.db.execute("select name, value from facts"))
        name, life = facts.get("disk") or uuid.uuid4().hex[:12], int(facts.get("life", "0")) + 1
        self.db.executemany(
            "insert or replace into facts values (?, ?)", [("disk", name), ("life", str(life))]
        )
        self.db.execute("commit")
        sync_directory(os.path.dirname(self.path))
        return name, life

    def purge(self) -> None:
        """At a start, before all else is read: what has rotten is lost, and let go. A message whose end has
        rotten goes with it, or it would begin anew.
        """
        bad = [
            mid
            for mid, letter, known in self.db.execute("select mid, letter, sum from letters")
            if known is not None and known != checksum(mid, letter)
        ]
        ends = self.db.execute("select mid, complete, seal, sum from ends")
        bad += [
            mid
            for mid, complete, seal, known in ends
            if known is not None and known != checksum(mid, complete, seal)
        ]
        self.rotten += len(bad)
        if bad:
            self.commit([("forget", (mid,)) for mid in bad])

    def seal(self) -> tuple[int, int] | None:
        """The number and changes of the configuration by whose order this disk was sealed, if it was."""
        found = self.db.execute("select value from facts where name = 'seal'").fetchone()
        if found is None:
            return None
        gen, seq = found[0].split()
        return int(gen), int(seq)

    def letters(self) -> Iterator[Row]:
        return map(
            Row._make, self.db.execute("select mid, letter, due, until, fails, lost, holders from letters")
        )

    def ends(self) -> list[tuple[str, int, str, float, str]]:
        return self.db.execute("select mid, complete, seal, until, holders from ends").fetchall()

    def letter(self, mid: str) -> bytes | None:
        """Its octets; None where there are none, CORRUPT where they are not what was written."""
        found = self.db.execute("select letter, sum from letters where mid = ?", (mid,)).fetchone()
        if found is None:
            return None
        if found[1] is not None and found[1] != checksum(mid, found[0]):
            self.rotten += 1
            return CORRUPT
        return bytes(found[0])

    def commit(self, writes: Sequence[tuple[str, tuple[Any, ...]]]) -> None:
        """All of them durable, or sqlite3.Error and none."""
        run = self.db.execute
        run("begin immediate")
        try:
            for kind, fields in writes:
                if kind == "keep":
                    run(
                        "insert or ignore into letters (mid, letter, due, until, fails, lost, sum)"
                        " values (?, ?, ?, ?, ?, ?, ?)",
                        (*fields, checksum(*fields[:2])),
                    )
                elif kind == "end":
                    run(
                        "insert or ignore into ends (mid, complete, seal, until, holders, sum)"
                        " values (?, ?, ?, ?, ?, ?)",
                        (*fields, checksum(*fields[:3])),
                    )
                    if fields[1]:  # of a dead one the octets may still be asked for
                        run("delete from letters where mid = ?", fields[:1])
                elif kind == "tried":  # mid, due, fails, lost
                    run("update letters set due = ?2, fails = ?3, lost = ?4 where mid = ?1", fields)
                elif kind == "holders":  # mid, names with blanks between
                    run("update letters set holders = ?2 where mid = ?1", fields)
                elif kind == "drop":
                    run("delete from letters where mid = ?", fields)
                elif kind == "audit":  # window, home, copies or runs, country
                    audit.note(self.db, fields)
                elif kind == "seal":  # number and changes of a configuration
                    run("insert or replace into facts values ('seal', ?)", (f"{fields[0]} {fields[1]}",))
                elif kind == "unseal":
                    run("delete from facts where name = 'seal'")
                elif kind == "forget":
                    run("delete from ends where mid = ?", fields)
                    run("delete from letters where mid = ?", fields)
            run("commit")
        except BaseException:
            if self.db.in_transaction:
                run("rollback")
            raise

    def close(self) -> None:
        self.db.close()
