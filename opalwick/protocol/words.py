"""What schedulers tell each other, as octets of at most 256, for every front."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator

from opalwick.interface import LoadRow, LoadTotals, LoadReport, Worker

# kind, zone, mark and, in sums, how many were heard; then a row a worker: the low and high half of its id
# folded, half slots, and seconds to run on a scale of even ratios
_WORD, _SUM, _ROW = struct.Struct("<BBI"), struct.Struct("<BBIH"), struct.Struct("<HBB")
_FIT = (256 - _SUM.size) // _ROW.size
_SECONDS = [math.expm1(step / 20.0) / 20.0 for step in range(256)]


def short(wid: int) -> int:
    return (wid ^ wid >> 16) & 0xFFFF


def _rows(rows: list[LoadRow]) -> bytes:
    return b"".join(
        [
            _ROW.pack(
                short(w.id), min(255, round(slots * 2)), min(255, round(20.0 * math.log1p(20.0 * left)))
            )
            for w, slots, left in rows
        ]
    )


def packed(decision: LoadReport | LoadTotals) -> Iterator[bytes]:
    if isinstance(decision, LoadReport):
        # one message, as a second would take the first's place: the heaviest that fit
        heaviest = sorted(decision.rows, key=lambda row: -row[2])[:_FIT]
        yield _WORD.pack(0, decision.zone, decision.mark) + _rows(heaviest)
        return
    # a zone of more workers than fit takes several: what is left out would stay as last told
    for at in range(0, max(1, len(decision.rows)), _FIT):
        yield (
            _SUM.pack(1, decision.zone, decision.mark, decision.schedulers)
            + _rows(decision.rows[at : at + _FIT])
        )


def unpacked(octets: bytes, shorts: dict[int, Worker | None]) -> tuple[str, list] | None:
    """The balancer's input and its fields, without who said it; None for what is not one of ours."""
    head = {0: _WORD, 1: _SUM}.get(octets[0]) if octets else None
    if head is None or len(octets) < head.size or (len(octets) - head.size) % _ROW.size:
        return None
    _, zone, mark, *heard = head.unpack_from(octets)
    rows = [
        (w, slots * 0.5, _SECONDS[left])
        for key, slots, left in _ROW.iter_unpack(octets[head.size :])
        if (w := shorts.get(key)) is not None
    ]
    return ("told", [mark, zone, rows]) if head is _WORD else ("summed", [mark, zone, *heard, rows])
