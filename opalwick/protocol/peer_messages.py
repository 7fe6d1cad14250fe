"""Binary encoding of the messages between schedulers; a message has at most 256 bytes."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator

from opalwick.interface import LoadRow, LoadTotals, LoadReport, Worker

# Header: kind, zone, mark and, in load totals, the number of schedulers included. Then one row per worker:
# its id folded to 16 bits, load in half slots, and the seconds of work left on a logarithmic scale.
_REPORT, _TOTALS, _ROW = struct.Struct("<BBI"), struct.Struct("<BBIH"), struct.Struct("<HBB")
_MAX_ROWS = (256 - _TOTALS.size) // _ROW.size
_SECONDS = [math.expm1(step / 20.0) / 20.0 for step in range(256)]


def fold_id(wid: int) -> int:
    """Folds a worker's 32-bit id to 16 bits."""
    return (wid ^ wid >> 16) & 0xFFFF


def _rows(rows: list[LoadRow]) -> bytes:
    return b"".join(
        [
            _ROW.pack(
                fold_id(w.id), min(255, round(slots * 2)), min(255, round(20.0 * math.log1p(20.0 * left)))
            )
            for w, slots, left in rows
        ]
    )


def encode(decision: LoadReport | LoadTotals) -> Iterator[bytes]:
    """Yields the messages that encode a load report or load totals."""
    if isinstance(decision, LoadReport):
        # A receiver replaces the previous report by a new one, so only one message is sent: the rows with the
        # most remaining work that fit.
        heaviest = sorted(decision.rows, key=lambda row: -row[2])[:_MAX_ROWS]
        yield _REPORT.pack(0, decision.zone, decision.mark) + _rows(heaviest)
        return
    # A zone with more workers than fit takes several messages: a worker left out would keep its last total.
    for at in range(0, max(1, len(decision.rows)), _MAX_ROWS):
        yield (
            _TOTALS.pack(1, decision.zone, decision.mark, decision.schedulers)
            + _rows(decision.rows[at : at + _MAX_ROWS])
        )


def decode(data: bytes, shorts: dict[int, Worker | None]) -> tuple[str, list] | None:
    """Decodes a message to a reducer input and its fields, without the sender; None if it is not valid.

    Rows of unknown workers are left out.
    """
    head = {0: _REPORT, 1: _TOTALS}.get(data[0]) if data else None
    if head is None or len(data) < head.size or (len(data) - head.size) % _ROW.size:
        return None
    _, zone, mark, *schedulers = head.unpack_from(data)
    rows = [
        (w, slots * 0.5, _SECONDS[left])
        for key, slots, left in _ROW.iter_unpack(data[head.size :])
        if (w := shorts.get(key)) is not None
    ]
    return ("told", [mark, zone, rows]) if head is _REPORT else ("summed", [mark, zone, *schedulers, rows])
