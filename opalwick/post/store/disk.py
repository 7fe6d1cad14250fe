"""A store's disk: one sqlite3 file of messages and ends. Makes no decisions.

A batch is one transaction, synced before `commit` returns (WAL, synchronous=FULL): its content may then be
confirmed to others.

Sqlite detects writes torn by a loss of power: its log has checksums, and an incomplete transaction is
discarded. Later corruption is detected by checksums of our own on each message and each end: a corrupted row
counts as lost, and the store gets the message again from the other replicas. A file that is no longer a
database is set aside, and its content counts as lost.
"""

from __future__ import annotations

import math
import os
import uuid
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from opalwick.post.database_files import (
    CORRUPT,
    add_columns,
    closing_on_error,
    open_database,
    sync_directory,
    checksum,
)
from opalwick.post.residency import audit

_TABLES = """
create table if not exists letters (mid text primary key, letter blob not null, due real not null,
                                    until real not null, fails integer not null, lost integer not null,
                                    holders text not null default '', sum integer,
                                    version integer not null default 0);
create table if not exists ends (mid text primary key, complete integer not null, seal text not null,
                                 until real not null, holders text not null default '',
                                 sum integer, version integer not null default 0) without rowid;
create table if not exists facts (name text primary key, value text not null) without rowid;
"""


class Row(NamedTuple):
    """A row of the table `letters` (messages). Times are unix seconds by this machine's clock."""

    mid: str
    letter: bytes
    due: float
    until: float
    fails: int
    lost: int
    holders: str  # separated by blanks; empty where they are the ones that the message names
    version: int = 0  # of the placement `holders`


class Disk:
    """The open database. Raises sqlite3.Error where the file cannot be read or written."""

    def __init__(self, folder: str) -> None:
        os.makedirs(folder, exist_ok=True)
        self.path = os.path.join(folder, "depot.sqlite3")
        self.rotten = 0  # corrupted messages and ends found so far
        # 500 pages, 2 MB: a checkpoint takes some 20 ms on a slow disk, a quarter of a service's aim; 4 MB of
        # cache
        self.db = open_database(self.path, 500, "cache_size = -4096")
        with closing_on_error(self.db):
            self.db.executescript(_TABLES)
            for table in ("letters", "ends"):  # rows from before there were checksums are taken as they are
                add_columns(
                    self.db,
                    table,
                    holders="text not null default ''",
                    sum="integer",
                    version="integer not null default 0",
                )
            self.id, self.starts = self.record_start()
            self.purge()

    def record_start(self) -> tuple[str, int]:
        """Returns the disk's id, made when the disk was empty, and how often a process has started on it."""
        self.db.execute("begin immediate")
        facts = dict(self.db.execute("select name, value from facts"))
        name, starts = facts.get("disk") or uuid.uuid4().hex[:12], int(facts.get("life", "0")) + 1
        changed = [("disk", name), ("life", str(starts))]
        if "disk" not in facts:
            changed.append(("learner", "1"))
        self.db.executemany("insert or replace into facts values (?, ?)", changed)
        self.db.execute("commit")
        sync_directory(os.path.dirname(self.path))
        return name, starts

    def purge(self) -> None:
        """At the start, before anything else is read: deletes corrupted rows. A message whose end is
        corrupted is deleted with it, or it would be delivered again.
        """
        corrupted = [
            mid
            for mid, letter, known in self.db.execute("select mid, letter, sum from letters")
            if known is not None and known != checksum(mid, letter)
        ]
        ends = self.db.execute("select mid, complete, seal, sum from ends")
        corrupted += [
            mid
            for mid, complete, seal, known in ends
            if known is not None and known != checksum(mid, complete, seal)
        ]
        self.rotten += len(corrupted)
        if corrupted:
            self.commit([("forget", (mid,)) for mid in corrupted] + [("untaught", ())])

    def created(self, now: float) -> float:
        """When the disk was new, in Unix seconds: now, if it has no record of that and is a learner's."""
        found = self.db.execute("select value from facts where name = 'created'").fetchone()
        if found is not None:
            return float(found[0])
        if not self.is_learner():
            return -math.inf
        self.db.execute("insert into facts values ('created', ?)", (str(now),))
        return now

    def is_learner(self) -> bool:
        """Whether other stores have yet to tell what should be on this disk: it is new, or has lost rows."""
        return self.db.execute("select 1 from facts where name = 'learner'").fetchone() is not None

    def seal(self) -> tuple[int, int] | None:
        """The generation and changes of the configuration that sealed this disk; None: it is not sealed."""
        found = self.db.execute("select value from facts where name = 'seal'").fetchone()
        if found is None:
            return None
        gen, seq = found[0].split()
        return int(gen), int(seq)

    def letters(self) -> Iterator[Row]:
        """All messages, pending or dead."""
        return map(Row._make, self.db.execute(f"select {', '.join(Row._fields)} from letters"))

    def ends(self) -> list[tuple[str, int, str, float, str, int]]:
        """All ends: message id, complete, seal, until, holders, version of the placement."""
        return self.db.execute("select mid, complete, seal, until, holders, version from ends").fetchall()

    def letter(self, mid: str) -> bytes | None:
        """The message's bytes; None: it is not there; ROTTEN: its checksum does not match."""
        found = self.db.execute("select letter, sum from letters where mid = ?", (mid,)).fetchone()
        if found is None:
            return None
        if found[1] is not None and found[1] != checksum(mid, found[0]):
            self.rotten += 1
            return CORRUPT
        return bytes(found[0])

    def commit(self, writes: Sequence[tuple[str, tuple[Any, ...]]]) -> None:
        """Makes all writes durable, or none and raises sqlite3.Error."""
        execute = self.db.execute
        execute("begin immediate")
        try:
            for kind, fields in writes:
                if kind == "keep":
                    execute(
                        "insert or ignore into letters (mid, letter, due, until, fails, lost, sum)"
                        " values (?, ?, ?, ?, ?, ?, ?)",
                        (*fields, checksum(*fields[:2])),
                    )
                elif kind == "end":
                    execute(
                        "insert or ignore into ends (mid, complete, seal, until, holders, version, sum)"
                        " values (?, ?, ?, ?, ?, ?, ?)",
                        (*fields, checksum(*fields[:3])),
                    )
                    if fields[1]:  # a dead message's bytes can still be requested
                        execute("delete from letters where mid = ?", fields[:1])
                elif kind == "tried":  # message id, due, fails, lost
                    execute("update letters set due = ?2, fails = ?3, lost = ?4 where mid = ?1", fields)
                elif kind == "holders":  # message id, stores separated by blanks, version
                    execute("update letters set holders = ?2, version = ?3 where mid = ?1", fields)
                elif kind == "end_holders":
                    execute("update ends set holders = ?2, version = ?3 where mid = ?1", fields)
                elif kind == "drop":
                    execute("delete from letters where mid = ?", fields)
                elif kind == "audit":  # window, home, copies or runs, country
                    audit.record(self.db, fields)
                elif kind == "seal":  # generation and changes of a configuration
                    execute("insert or replace into facts values ('seal', ?)", (f"{fields[0]} {fields[1]}",))
                elif kind == "unseal":
                    execute("delete from facts where name = 'seal'")
                elif kind == "taught":
                    execute("delete from facts where name = 'learner'")
                elif kind == "untaught":
                    execute("insert or replace into facts values ('learner', '1')")
                elif kind == "forget":
                    execute("delete from ends where mid = ?", fields)
                    execute("delete from letters where mid = ?", fields)
            execute("commit")
        except BaseException:
            if self.db.in_transaction:
                execute("rollback")
            raise

    def close(self) -> None:
        self.db.close()
