"""What clients, workers and the list service saw, row by row, and the file that keeps it.

A row is (microseconds since the day began, what, ...):
  asked      id, want, scheduler, category, customer, expiry, due (times in us), worth, key, work in us: a
             client's request is whole at a scheduler that has accepted it
  answered   id, "finished" | "deferred" | "written off" | "fault", result, seconds to come back in
  gone       id, "left" (by its client) | "crash" (of its scheduler) | "broken" (by the scheduler)
  arrived    hand-off, id, worker: the whole request is there
  began, done (result), failed, dropped (its connection closed), turned (away or back), broke   hand-off
  swallowed  id, worker, until: the network did away with something sent for it, and may for so long
  told       scheduler, worker, phase: the list service wrote it
  deemed     scheduler, worker, phase: what it must be taken to know without having been told
  fell       worker, whether it was cold
  up, down, paused, resumed   scheduler
  starved    scheduler, seconds by which it is late in everything for want of CPU
  none       scheduler, whether the list that it was told has no ready worker
  late       seconds that the emulator itself was late
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

VERSION = 1


class Ledger:
    def __init__(self) -> None:
        self.rows: list[tuple] = []

    def note(self, now: float, what: str, *fields: Any) -> None:
        self.rows.append((round(now * 1e6), what, *fields))


class BadHistory(Exception):
    """Names the file and what is wrong with it."""


def pack(head: dict[str, Any], ledger: Ledger) -> bytes:
    import zstandard

    return zstandard.ZstdCompressor(level=6).compress(
        msgspec.msgpack.encode({"version": VERSION, **head, "rows": ledger.rows})
    )


def unpack(octets: bytes, name: str) -> dict[str, Any]:
    """The head with its rows; BadHistory where the file is none."""
    import zstandard

    try:
        # a gigabyte: far more than the longest day gives, and less than a machine has
        found = msgspec.msgpack.decode(
            zstandard.ZstdDecompressor().decompress(octets, max_output_size=1 << 30)
        )
    except (zstandard.ZstdError, msgspec.DecodeError, MemoryError) as problem:
        raise BadHistory(f"{name}: not a history: {problem}") from None
    if not isinstance(found, dict) or not {"rows", "rules", "categories"} <= found.keys():
        raise BadHistory(f"{name}: not a history: it holds no rows, rules and categories")
    if found.get("version") != VERSION:
        raise BadHistory(f"{name}: a history of version {found.get('version')}; this reads {VERSION}")
    return found


def load(path: str) -> dict[str, Any]:
    try:
        return unpack(Path(path).read_bytes(), path)
    except OSError as problem:
        raise BadHistory(f"{path}: cannot be read: {problem.strerror}") from None
