"""Ids of messages in peer messages of bounded size. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

BATCH = 500  # message ids in one peer message


def batches(mids: list[str]) -> Iterator[list[str]]:
    """Cuts a list of message ids into parts for one peer message each; nothing for an empty list."""
    for at in range(0, len(mids), BATCH):
        yield mids[at : at + BATCH]
