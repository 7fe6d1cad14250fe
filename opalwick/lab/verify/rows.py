"""In-memory replacement of a store's disk, with the effects of the SQL statements in `post/store/disk.py`.

It does without SQLite because a state is copied thousands of times a second. A test compares the two.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from typing import Any

from opalwick.post.store.disk import Row


class InMemoryDisk:
    """Writes are durable at once; the model decides when a sync completes, if it does."""

    def __init__(self, name: str) -> None:
        self.id, self.rotten = name, 0
        self.messages_by_id: dict[str, Row] = {}
        self.ends_by_id: dict[str, tuple[str, int, str, float, str, int]] = {}
        self.learner = True
        self.sealed: tuple[int, int] | None = None
        self.dropped: set[str] = set()

    def seal(self) -> tuple[int, int] | None:
        return self.sealed

    def letters(self) -> Iterator[Row]:
        return iter(list(self.messages_by_id.values()))

    def ends(self) -> list[tuple[str, int, str, float, str, int]]:
        return list(self.ends_by_id.values())

    def is_learner(self) -> bool:
        return self.learner

    def created(self, now: float) -> float:
        """All disks of a model are of the same age."""
        return -math.inf

    def letter(self, mid: str) -> bytes | None:
        found = self.messages_by_id.get(mid)
        return None if found is None else found.letter

    def commit(self, writes: Sequence[tuple[str, tuple[Any, ...]]]) -> None:
        messages, ends = self.messages_by_id, self.ends_by_id
        for kind, fields in writes:
            if kind in ("seal", "unseal"):
                self.sealed = (fields[0], fields[1]) if kind == "seal" else None
                continue
            if kind in ("taught", "untaught"):
                self.learner = kind == "untaught"
                continue
            mid = fields[0]
            known = messages.get(mid)
            if kind == "keep":
                messages.setdefault(mid, Row._make((*fields, "", 0)))
            elif kind == "end":
                ends.setdefault(mid, (mid, *fields[1:]))
                if fields[1]:
                    messages.pop(mid, None)
            elif kind == "tried" and known is not None:
                messages[mid] = known._replace(due=fields[1], fails=fields[2], lost=fields[3])
            elif kind == "holders" and known is not None:
                messages[mid] = known._replace(holders=fields[1], version=fields[2])
            elif kind == "end_holders" and mid in ends:
                ends[mid] = (*ends[mid][:4], fields[1], fields[2])
            elif kind == "drop":
                messages.pop(mid, None)
                self.dropped.add(mid)
            elif kind == "forget":
                messages.pop(mid, None)
                ends.pop(mid, None)
