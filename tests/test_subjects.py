"""Cache affinity: items with the same subject go to the same workers, from every scheduler."""

from __future__ import annotations

from collections import Counter

from helper import Bench, category

from opalwick.interface import ListForm, Phase

FLEET = "ABCDEFGHIJKLMNOPQR"
ZONES = "012" * 6


def scheduler(position: int, **more) -> Bench:
    bench = Bench(
        FLEET, schedulers=3, position=position, zone=position, seed=position + 1, price_fetch=0.05, **more
    )
    bench.list(ListForm.CHANGES, ZONES, **{name: Phase.READY for name in FLEET})
    return bench


def places(bench: Bench, subject: int, count: int) -> Counter:
    """The workers that get a sequence of items of a subject."""
    found: Counter = Counter()
    for _ in range(count):
        bench.take("x", subject=subject)
        bench.pull()
        bench.begin("x")
        found[chr(bench.items["x"].attempts[0].worker.id)] += 1
        bench.end("x")
        bench.pull()
    return found


def test_a_rare_subject_has_one_worker_for_all_schedulers() -> None:
    used = Counter(
        place for i in range(3) for subject in (5, 6, 7, 8, 9) for place in places(scheduler(i), subject, 2)
    )
    assert all(count % 3 == 0 for count in used.values()), used


def test_a_popular_subject_has_several_workers_in_each_zone() -> None:
    for i in range(3):
        bench = scheduler(i)
        places(bench, 5, 30)
        found = places(bench, 5, 40)
        assert len(found) > 2 and {bench.workers[name].zone for name in found} == {i}


def test_few_subjects_move_when_a_worker_is_gone() -> None:
    bench = scheduler(0)
    before = {s: next(iter(places(bench, s, 1))) for s in range(1, 41)}
    bench.list(ListForm.CHANGES, A=Phase.GONE)
    after = {s: next(iter(places(bench, s, 1))) for s in range(1, 41)}
    assert {s for s in before if before[s] != after[s]} == {s for s in before if before[s] == "A"}


def test_an_item_leaves_its_full_worker_only_if_it_is_worth_a_fetch() -> None:
    """When items went to any free worker once the preferred one was full, fetches occupied the fleet, and 70%
    of the items were deferred at low load.
    """
    bench = scheduler(0, kinds=[category(), category(credit=8.0)])
    preferred = next(iter(places(bench, 5, 1)))
    bench.balancer.load_reported(bench.workers[preferred], (0.0,))
    w = bench.workers[preferred]
    w.others, w.others_at, w.as_of = 14.0, bench.now, -1.0
    bench.take("y", "z", category=1, subject=5)
    bench.take("b", subject=5, work=0.05)
    bench.pull()
    for name in "yz":
        assert chr(bench.items[name].attempts[0].worker.id) != preferred
        assert bench.items[name].attempts[0].cache_miss
    assert all(chr(ho.worker.id) == preferred for ho in bench.items["b"].attempts)


def test_items_without_a_subject_go_to_any_worker() -> None:
    bench = scheduler(0)
    assert len(places(bench, 0, 60)) > 12 and not bench.balancer.rankings


def test_a_first_try_with_little_time_left_counts_from_now_where_repeats_are_marked() -> None:
    """Counted from a usual first try their due time had passed, so that all of them were given up."""
    for marked in (False, True):
        bench = Bench("A", marks_retries=marked)
        bench.take("a")
        bench.pull()
        bench.take("b", expiry=0.5, work=0.1)
        bench.pull()
        assert bool(bench.items["b"].attempts) is marked


def test_start_delays_are_estimated_per_zone() -> None:
    """A slow path to one zone made the start reports from all other zones look late, or early."""
    bench = Bench("AB", zone=0)
    bench.list(ListForm.CHANGES, "01", A=Phase.READY, B=Phase.READY)
    for _ in range(40):
        bench.take("x")
        bench.pull()
        w = bench.items["x"].attempts[0].worker
        bench.wait(0.01 if w.zone == 0 else 0.06)
        bench.begin("x", len(bench.items["x"].attempts) - 1)
        bench.end("x", len(bench.items["x"].attempts) - 1)
        bench.pull()
    near, far = (bench.balancer.zones[i].start_delay for i in (0, 1))
    assert near < 0.02 < 0.04 < far
