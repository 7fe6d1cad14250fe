"""The disks of a store and of a controller: what was committed is there after reopening, whole or not at
all.
"""

from __future__ import annotations

import gc
import os
import sqlite3
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from test_post_roles import SETTINGS

from opalwick.post.controller.disk import Disk as OfficeDisk
from opalwick.post.controller.views import Stored
from opalwick.post.database_files import CORRUPT
from opalwick.post.settings import parse
from opalwick.post.store.disk import Disk
from opalwick.post.store.process import open_disk
from opalwick.post.store.records import Fetch
from opalwick.post.store.role import StoreRole
from opalwick.post.wire_pb2 import Keep, Letter

KEEPS = [("keep", (f"m{n}", b"octets %d" % n, 10.0, 90.0, 0, 0)) for n in (1, 2, 3)]


@pytest.fixture
def folder():
    """In memory where possible: syncs cost nothing there, and the reopened content is the same."""
    with TemporaryDirectory(dir="/dev/shm" if os.access("/dev/shm", os.W_OK) else None) as found:
        yield Path(found)


def lines(disk: Disk) -> str:
    rows = [
        (
            "letter",
            r.mid,
            r.letter.decode(),
            f"due={r.due}",
            f"until={r.until}",
            f"fails={r.fails}",
            f"lost={r.lost}",
            f"holders={r.holders}/{r.version}",
        )
        for r in disk.letters()
    ]
    return "\n".join(" ".join(map(str, row)) for row in sorted(rows) + [("end", *end) for end in disk.ends()])


def test_what_a_batch_committed_is_there_after_reopening(folder, snapshot) -> None:
    """A dead message's bytes stay until its record expires, a complete one's are deleted; the first write
    counts.
    """
    disk = Disk(str(folder / "new" / "folder"))
    name, starts = disk.id, disk.starts
    disk.commit([*KEEPS, ("tried", ("m1", 12.0, 2, 1)), ("end", ("m2", 1, "s2", 210.0, "d1 d2", 0))])
    disk.commit(
        [
            ("end", ("m3", 0, "", 210.0, "d1 d2", 4)),
            ("holders", ("m1", "d3 d1", 2)),
            ("end_holders", ("m3", "d1 d3", 5)),
            ("end", ("m2", 0, "", 1.0, "d1 d2", 0)),
            ("end", ("m9", 1, "s9", 5.0, "d1 d2", 0)),
            ("keep", ("m1", b"other", 0.0, 0.0, 9, 9)),
            ("tried", ("m8", 0.0, 1, 1)),
        ]
    )
    disk.close()
    disk = Disk(str(folder / "new" / "folder"))
    assert lines(disk) == snapshot and (disk.id, disk.starts) == (name, starts + 1)
    assert disk.letter("m3") == b"octets 3" and disk.letter("m2") is None
    disk.commit([("forget", ("m3",)), ("forget", ("m9",)), ("drop", ("m1",))])
    assert lines(disk) == "end m2 1 s2 210.0 d1 d2 0" and disk.letter("m3") is None
    disk.close()
    other = Disk(str(folder / "empty"))
    assert other.id != name and other.starts == starts and lines(other) == ""
    other.close()


@pytest.mark.parametrize("fault", ["a write that fails", "a full disk"])
def test_a_failed_batch_leaves_nothing(folder, fault: str) -> None:
    disk = Disk(str(folder))
    disk.commit(KEEPS[:1])
    failing: tuple = ("keep", ("m9",))
    if fault == "a full disk":
        disk.db.execute("pragma max_page_count = 1").fetchall()
        failing = ("keep", ("m9", bytes(1 << 20), 0.0, 1.0, 0, 0))
    with pytest.raises(sqlite3.Error):
        disk.commit([KEEPS[1], ("end", ("m1", 1, "s1", 5.0, "d1 d2", 0)), failing])
    assert [r.mid for r in disk.letters()] == ["m1"] and disk.ends() == []
    disk.db.execute("pragma max_page_count = 1000000").fetchall()
    disk.commit(KEEPS[2:])  # further commits work
    disk.close()
    disk = Disk(str(folder))
    assert [r.mid for r in disk.letters()] == ["m1", "m3"] and disk.ends() == []
    disk.close()


def test_a_controllers_record_and_its_saved_directory(folder) -> None:
    disk = OfficeDisk(str(folder))
    assert disk.load() is None and disk.remembered() == b""
    for stored in (Stored(4, b"view", True, b"conf", False), Stored(7, b"view 7", False, b"", True)):
        disk.save(stored)
        disk.remember(stored.view)
        disk.close()
        disk = OfficeDisk(str(folder))
        assert disk.load() == stored and disk.remembered() == stored.view
    disk.db.execute("pragma max_page_count = 1").fetchall()
    with pytest.raises(sqlite3.Error):
        disk.save(Stored(9, b"", True, bytes(1 << 20), False))
    assert disk.load() == stored
    disk.close()


def test_corrupted_rows_count_as_lost(folder) -> None:
    """A corrupted message; a message with a corrupted end, which must not be delivered again; and corruption
    of an open disk.
    """
    disk = Disk(str(folder))
    disk.commit([*KEEPS, ("end", ("m2", 0, "", 210.0, "d1 d2", 0))])
    disk.db.execute("update letters set letter = x'6f6374657473' where mid = 'm1'")
    disk.db.execute("update ends set complete = 1 where mid = 'm2'")
    assert disk.letter("m1") == CORRUPT and disk.letter("m3") == b"octets 3" and disk.rotten == 1
    disk.close()
    disk = open_disk(str(folder))
    assert (
        lines(disk) == "letter m3 octets 3 due=10.0 until=90.0 fails=0 lost=0 holders=/0" and disk.rotten == 2
    )
    disk.close()


def test_a_corrupted_replica_is_requested_from_the_others() -> None:
    store = StoreRole(parse(SETTINGS, "here"), 1, 0.0, "x")
    k = store.store
    k.keep("c1", Keep(letter=Letter(mid="m1", holders=["d1", "d2"], until=90.0), parked=True))
    store.settle()
    writes, _ = store.batch()
    store.synced(writes, [Fetch("m1", ("assign", "c1/7", 1))], [CORRUPT])
    writes, sends, _ = k.effects()
    assert "m1" not in k.entries and [w.kind for w in writes] == ["drop"]
    other = "d1" if k.node != "d1" else "d2"
    requested = [(s.kind, list(s.word.lack)) for s in sends if s.node == other]
    assert requested == [("differ", ["m1"])]


def test_a_broken_file_is_set_aside_and_a_controller_is_a_learner_then(folder) -> None:
    """Even if its settings allow a first start: it may have voted."""
    for make, name in ((open_disk, "depot"), (OfficeDisk, "office")):
        disk = make(str(folder))
        if name == "office":
            disk.save(Stored(4, b"view", True, b"conf", False))
        disk.close()
        path = folder / f"{name}.sqlite3"
        path.write_bytes(bytes(100) + path.read_bytes()[100:])
        disk = make(str(folder))
        assert (folder / f"{name}.sqlite3.broken").exists()
        if name == "office":
            assert disk.lost and disk.load() is None
            disk.save(Stored(9, b"view", True, b"conf", False))
            disk.db.execute("update office set promised = 8")
            disk.close()
            disk = make(str(folder))
            assert disk.lost and disk.load() is None
        else:
            assert lines(disk) == ""
        disk.close()


def test_a_file_that_is_broken_further_in_leaves_the_new_one_alone(folder) -> None:
    """The connection to the broken file must be closed before the new one is made: closing it later would
    remove the write-ahead log of the new file.
    """
    disk = open_disk(str(folder))
    disk.commit(KEEPS)
    disk.close()
    path = folder / "depot.sqlite3"
    path.write_bytes(path.read_bytes()[:4096] + b"\xff" * (path.stat().st_size - 4096))
    disk = open_disk(str(folder))
    disk.commit(KEEPS[:1])
    gc.collect()
    assert (folder / "depot.sqlite3.broken").exists() and (folder / "depot.sqlite3-wal").exists()
    disk.close()
    disk = open_disk(str(folder))
    assert [row.mid for row in disk.letters()] == ["m1"]
    disk.close()
