"""Load aggregation: the load that each scheduler reports in a zone, and its totals per worker."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from opalwick.interface import LoadRow, Worker


def older(mark: int, known: int) -> bool:
    """Whether a mark is older; marks are 32-bit serial numbers that wrap around."""
    return (mark - known) & 0xFFFFFFFF >= 0x80000000


class LoadAggregator:
    """The load reports that an aggregator has received, at most one per scheduler and zone."""

    def __init__(self) -> None:
        # by scheduler and zone: mark, time of receipt, rows; the oldest first
        self.reports: dict[tuple[int, int], tuple[int, float, Sequence[LoadRow]]] = {}
        self.unanswered: dict[tuple[int, int], None] = {}  # keys of the reports to be answered
        self.totals: dict[Worker, tuple[float, float]] = {}
        self.schedulers: dict[int, int] = {}  # by zone: schedulers with a current report

    def add(self, now: float, peer: int, mark: int, zone: int, rows: Sequence[LoadRow]) -> None:
        """Stores a report in place of that scheduler's earlier one; a delayed older one is ignored."""
        key = peer, zone
        if key in self.reports and older(mark, self.reports[key][0]):
            return
        self._drop(key)
        self.reports[key] = mark, now, rows
        self.unanswered[key] = None
        self._add(zone, rows, 1)

    def answers(self, now: float, workers: Sequence[Worker]) -> Iterator[tuple]:
        """For each report to be answered: scheduler, mark, zone, schedulers in the totals, others' load."""
        # after two seconds without a newer report a scheduler is down or unreachable
        while self.reports and now - next(iter(self.reports.values()))[1] > 2.0:
            self._drop(next(iter(self.reports)))
        while self.unanswered:
            key = next(iter(self.unanswered))
            del self.unanswered[key]
            if key in self.reports:
                mark, _, rows = self.reports[key]
                own = {w: (slots, left) for w, slots, left in rows}
                others = []
                for w in workers:
                    if w.zone == key[1]:
                        slots, left = self.totals.get(w, (0.0, 0.0))
                        less_slots, less_left = own.get(w, (0.0, 0.0))
                        others.append((w, max(0.0, slots - less_slots), max(0.0, left - less_left)))
                yield key[0], mark, key[1], self.schedulers[key[1]], others

    def _drop(self, key: tuple[int, int]) -> None:
        if key in self.reports:
            self._add(key[1], self.reports.pop(key)[2], -1)

    def _add(self, zone: int, rows: Sequence[LoadRow], sign: int) -> None:
        self.schedulers[zone] = self.schedulers.get(zone, 0) + sign
        for w, slots, left in rows:
            all_slots, all_left = self.totals.get(w, (0.0, 0.0))
            self.totals[w] = all_slots + sign * slots, all_left + sign * left
