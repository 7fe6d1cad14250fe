"""The process of a store: its disk in a thread, its links and its clock. `role.py` has the behaviour."""

from __future__ import annotations

import os
import sqlite3
import time
from typing import Any

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from opalwick.post import events
from opalwick.post.store.disk import Disk
from opalwick.post.store.records import Fetch, Write
from opalwick.post.store.role import StoreRole
from opalwick.post.database_files import is_corrupt, set_aside
from opalwick.post.residency.audit import window
from opalwick.post.link import Process, Shell
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Letter

COMMIT_RETRY = 0.2  # s until a batch that failed on the disk is tried again
# s that a batch waits for further writes: two syncs of a usual disk, a fortieth of a service's aim
BATCH_DELAY = 0.002


class StoreShell(Shell):
    """Runs a store. Raises sqlite3.Error where its disk cannot be opened."""

    role: StoreRole

    def __init__(self, settings: Settings, process: Process) -> None:
        self.disk = open_disk(settings.datadir)
        self.clock_offset = time.time() - time.monotonic()
        super().__init__(
            StoreRole(settings, int(time.time() * 1000), time.monotonic(), self.disk.id), process
        )
        self.threads = ThreadPool(1)  # a disk that stalls must not stop the heartbeats
        self.queued = Event()
        load(self.role, self.disk, self.clock_offset)

    def look(self, work: Any) -> Any:  # type: ignore[override]
        """Runs `work` with the disk, in the disk's thread, and returns its result."""
        return self.threads.apply(work, (self.disk,))

    def perform(self) -> None:
        if self.role.queue:
            self.queued.set()

    def work(self) -> None:
        """Writes one batch after the other, in a greenlet of its own; never returns."""
        while True:
            if not self.role.queue:
                self.queued.clear()
                self.queued.wait()
            gevent.sleep(BATCH_DELAY)
            writes, fetches = self.role.batch()
            while True:
                try:
                    found = self.threads.apply(run_batch, (self.disk, self.clock_offset, writes, fetches))
                    break
                except sqlite3.Error as problem:  # nothing is confirmed, and no later write overtakes it
                    events.emit(303, problem=repr(problem), writes=len(writes))
                    gevent.sleep(COMMIT_RETRY)
            self.role.clock(time.monotonic())
            self.guarded(self.role.synced, writes, fetches, found)
            self.settle()

    def serve(self) -> None:
        """Runs until the stop event, then shuts down."""
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


def open_disk(folder: str) -> Disk:
    """Opens and checks the disk. A broken file is set aside and replaced by an empty one."""
    try:
        return Disk(folder)
    except sqlite3.Error as problem:
        if not is_corrupt(problem):
            raise
        path = os.path.join(folder, "depot.sqlite3")
        set_aside(path)
        events.emit(304, path=path + ".broken", problem=repr(problem))
        return Disk(folder)


def load(role: StoreRole, disk: Disk, unix: float) -> None:
    """Restores the role's state from the disk. `unix`: seconds from its clock to unix time."""
    store = role.store
    store.seal.loaded(disk.seal())
    store.comparison.learner = disk.is_learner()
    store.rebalancing.disk_created = disk.created(store.now + unix) - unix
    for mid, complete, seal, until, holders, version in disk.ends():
        store.loaded_end(mid, bool(complete), seal, until - unix, tuple(holders.split()), version)
    for row in disk.letters():
        if row.mid in store.ends:
            store.loaded_dead(row.mid, len(row.letter))
        else:
            message = Letter.FromString(row.letter)
            store.loaded(
                row.mid,
                tuple(row.holders.split() or message.holders),
                row.due - unix,
                row.until - unix,
                row.fails,
                row.lost,
                len(row.letter),
                message.home,
                row.version or message.placement,
            )
    events.emit(301, disk=disk.id, messages=len(store.entries), ends=len(store.ends), rotten=disk.rotten)


def run_batch(disk: Disk, unix: float, writes: list[Write], fetches: list[Fetch]) -> list[bytes | None]:
    """Runs in the disk's thread: syncs the writes and returns the bytes for each fetch. `unix`: seconds from
    the store's clock to unix time. Raises sqlite3.Error if nothing was written.
    """
    rows: list[tuple[str, tuple[Any, ...]]] = []
    for kind, fields, _ in writes:
        if kind == "keep":
            mid, message, due, until, fails, lost = fields
            rows.append((kind, (mid, message, due + unix, until + unix, fails, lost)))
        elif kind == "end":
            rows.append((kind, (*fields[:3], fields[3] + unix, *fields[4:])))
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
