"""Which workers a gateway uses, and by how many connections."""

from __future__ import annotations

from collections import Counter

import pytest

from opalwick.post.gateway.connection_budget import choose_workers, connection_budget
from opalwick.post.gateway.dispatchers import WorkerRow

ZONES = "nesw"


def row(id: str, zone: str, draining: bool = False) -> WorkerRow:
    return WorkerRow(id, "10.0.0.1", 80, zone, 6, draining, 0.0)


@pytest.mark.parametrize(
    "limit, workers, gateways", [(58, 8, 64), (58, 4, 64), (460, 44, 66), (100, 3, 7), (110, 12, 8)]
)
def test_all_gateways_together_stay_below_the_limit_of_a_worker(
    limit: int, workers: int, gateways: int
) -> None:
    rows = [row(f"w{n}", ZONES[n % 4]) for n in range(workers)]
    count, each = connection_budget(limit, workers, gateways)
    assert count >= 2 and each >= 1
    taken = Counter(
        used.id
        for n in range(gateways)
        for used in choose_workers(rows, f"c{n}", ZONES[n % 4], count)
        for _ in range(each)
    )
    assert max(taken.values()) <= limit and len(taken) == workers


def test_workers_of_the_own_zone_come_first_and_a_draining_one_is_replaced() -> None:
    rows = [row(f"w{n}", ZONES[n % 4]) for n in range(8)]
    used = choose_workers(rows, "c1", "n", 3)
    assert [r.zone for r in used[:2]] == ["n", "n"]
    rows = [r._replace(draining=True) if r.id == "w0" else r for r in rows]
    after = choose_workers(rows, "c1", "n", 3)
    assert [r.id for r in after if r.draining] == ["w0"]  # in use until it has ended
    assert sum(not r.draining for r in after) == 3 and len({r.id for r in after} - {r.id for r in used}) == 1


def test_an_unknown_limit_is_no_limit() -> None:
    assert (
        connection_budget(0, 5, 64) == (5, 0)
        and connection_budget(58, 0, 64) == (0, 0)
        and connection_budget(105, 1, 66) == (1, 1)
    )
