"""A depot as a process: its disk in a thread, its links, its time. What it does is `role.py`'s."""

from __future__ import annotations

import os
import sqlite3
import time
from typing import Any

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from opalwick.post import events
from opalwick.post.depot.disk import Disk
from opalwick.post.depot.records import Fetch, Write
from opalwick.post.depot.role import Depot
from opalwick.post.files import is_corrupt, set_aside
from opalwick.post.home.audit import window
from opalwick.post.link import Process, Shell
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Letter

FAILED = 0.2  # s until a batch that the disk refused is tried again
GATHER = 0.002  # s that a batch waits for more: two syncs' worth of a usual disk, a fortieth of an aim


class DepotShell(Shell):
    role: Depot

    def __init__(self, settings: Settings, process: Process) -> None:
        self.disk = opened(settings.datadir)
        self.unix = time.time() - time.monotonic()
        super().__init__(Depot(settings, int(time.time() * 1000), time.monotonic(), self.disk.id), process)
        self.threads = ThreadPool(1)  # a disk that stalls must not stop the pulses
        self.queued = Event()
        load(self.role, self.disk, self.unix)

    def look(self, work: Any) -> Any:  # type: ignore[override]
        """In the disk's thread."""
        return self.threads.apply(work, (self.disk,))

    def perform(self) -> None:
        if self.role.queue:
            self.queued.set()

    def work(self) -> None:
        """Runs in a greenlet of its own: one batch at a time is on the disk."""
        while True:
            if not self.role.queue:
                self.queued.clear()
                self.queued.wait()
            gevent.sleep(GATHER)
            writes, fetches = self.role.batch()
            while True:
                try:
                    found = self.threads.apply(on_disk, (self.disk, self.unix, writes, fetches))
                    break
                except sqlite3.Error as problem:  # nothing of it is told, and nothing goes past it
                    events.emit(303, problem=repr(problem), writes=len(writes))
                    gevent.sleep(FAILED)
            self.role.clock(time.monotonic())
            self.guarded(self.role.synced, writes, fetches, found)
            self.settle()

    def serve(self) -> None:
        self.keep_running(self.work)
        self.start_greenlets()
        self.stop.wait()
        events.emit(302)
        self.role.clock(time.monotonic())
        self.role.leave()
        while not self.role.gone:
            gevent.sleep(0.01)
            self.role.clock(time.monotonic())
        self.ending = True
        self.disk.close()


def opened(folder: str) -> Disk:
    """The disk, read once as a whole; an empty one where its file is broken."""
    try:
        return Disk(folder)
    except sqlite3.Error as problem:
        if not is_corrupt(problem):
            raise
        path = os.path.join(folder, "depot.sqlite3")
        set_aside(path)
        events.emit(304, path=path + ".broken", problem=repr(problem))
        return Disk(folder)


def load(role: Depot, disk: Disk, unix: float) -> None:
    """What the disk has, into the role. `unix`: from its clock to the time of day."""
    k = role.keeping
    k.seal.loaded(disk.seal())
    for mid, complete, seal, until, holders in disk.ends():
        k.loaded_end(mid, bool(complete), seal, until - unix, tuple(holders.split()))
    for row in disk.letters():
        if row.mid in k.ends:
            k.loaded_dead(row.mid, len(row.letter))
        else:
            letter = Letter.FromString(row.letter)
            k.loaded(
                row.mid,
                tuple(row.holders.split() or letter.holders),
                row.due - unix,
                row.until - unix,
                row.fails,
                row.lost,
                len(row.letter),
                letter.home,
            )
    events.emit(301, disk=disk.id, messages=len(k.entries), ends=len(k.ends), rotten=disk.rotten)


def on_disk(disk: Disk, unix: float, writes: list[Write], fetches: list[Fetch]) -> list[bytes | None]:
    """In the disk's thread: all that the writes say, synced; and the octets that the fetches want."""
    rows: list[tuple[str, tuple[Any, ...]]] = []
    for kind, fields, _ in writes:
        if kind == "keep":
            mid, letter, due, until, fails, lost = fields
            rows.append((kind, (mid, letter, due + unix, until + unix, fails, lost)))
        elif kind == "end":
            rows.append((kind, (*fields[:3], fields[3] + unix, fields[4])))
        elif kind == "tried":
            rows.append((kind, (fields[0], fields[1] + unix, *fields[2:])))
        elif kind == "audit":
            at, *rest = fields
            rows.append((kind, (window(at + unix), *rest)))
        elif kind != "none":
            rows.append((kind, fields))
    if rows:
        disk.commit(rows)
    return [disk.letter(fetch.mid) for fetch in fetches]
