"""The basic path: blocks, hedged attempts by cyclic rows and their limits, cancellation."""

from __future__ import annotations

from helper import Bench

from opalwick.interface import ListForm, Outcome, Phase


def warmed(**changes) -> Bench:
    """Ten work items done, so that the hedge budget and the recent means are above 0."""
    bench = Bench("AB", **changes)
    for name in "abcdefghij":
        bench.take(name)
        list(bench.balancer.decisions())
        bench.begin(name)
        bench.wait(0.3)
        bench.end(name)
        list(bench.balancer.decisions())
    bench.lines.clear()
    return bench


def pair(bench: Bench, work: float = 0.5) -> tuple[str, str]:
    """x and y form a block; the one at A is returned first."""
    bench.take("x", "y", work=work)
    bench.pull("x and y taken")
    on_a = bench.items["x"].attempts[0].worker is bench.workers["A"]
    return ("x", "y") if on_a else ("y", "x")


def slow_pair(bench: Bench) -> tuple[str, str]:
    """A pair of which the second has done a twentieth when the first is about to finish."""
    first, second = pair(bench)
    bench.begin(first)
    bench.begin(second)
    bench.wait(0.25)
    bench.balancer.attempt_progressed(bench.items[second].attempts[0], 0.05)
    return first, second


def hedged(bench: Bench) -> str:
    """The item of a slow pair that has just been hedged."""
    first, second = slow_pair(bench)
    bench.end(first)
    bench.pull(f"copy of {second}")
    return second


def test_a_freed_worker_hedges_the_next_item_of_its_row() -> None:
    bench = warmed()
    first, second = slow_pair(bench)
    bench.end(first)
    bench.pull(f"{first} finished, {second} is slow")
    bench.wait(0.1)
    bench.end(second, 1)
    bench.pull("the copy finished")
    bench.matches("copy")


def test_no_hedge_at_a_worker_at_its_recent_mean() -> None:
    bench = warmed()
    first, _second = slow_pair(bench)
    bench.workers["A"].mean_outstanding, bench.workers["A"].mean_at = 0.0, bench.now
    bench.end(first)
    bench.pull(f"{first} finished, mean of its worker 0")
    bench.matches("copy_mean")


def test_no_hedges_beyond_a_fifth_of_first_attempts() -> None:
    for hedges in (1, 2):
        bench = warmed()
        bench.balancer.hedges = hedges
        first, _second = slow_pair(bench)
        bench.end(first)
        bench.pull(f"{hedges} copies before, 12 first sends")
        bench.matches(f"copy_cap_{hedges}")


def test_no_hedge_at_a_draining_worker_nor_when_it_would_end_late() -> None:
    bench = warmed()
    first, second = slow_pair(bench)
    bench.list(ListForm.CHANGES, A=Phase.DRAINING)
    bench.end(first)
    bench.pull("its worker drains")
    bench.matches("copy_drain")
    bench = warmed()
    first, second = pair(bench)
    bench.begin(first)
    bench.begin(second)
    bench.wait(0.2)
    bench.end(first)
    bench.pull("the original runs and ends sooner")
    bench.matches("copy_late")


def test_an_ignored_cancel_counts_until_it_would_have_ended() -> None:
    bench = warmed()
    second = hedged(bench)
    bench.begin(second, 1)
    bench.wait(0.1)
    bench.end(second, 0)
    bench.pull("the original finished first")
    bench.end(second, 1, Outcome.CANCELLED)
    a = bench.workers["A"]
    bench.lines.append(f"in flight at A: {len(a.in_flight)}, lingering {len(a.still_running)}")
    bench.wait(1.0)
    a.as_of = -1.0
    bench.balancer.estimate(a)
    bench.lines.append(f"a second later: {len(a.still_running)}")
    bench.matches("ignored_cancel")


def test_a_block_holds_two_items_on_distinct_workers() -> None:
    bench = warmed()
    bench.balancer.first_attempts = 100
    bench.take("x", "y", "z", work=0.5)
    bench.pull("three taken, two workers")
    bench.lines.append(
        "blocks: "
        + " ".join("".join(sorted(chr(item.id) for item in bench.items[name].block.items)) for name in "xyz")
    )
    bench.matches("blocks")


def test_a_cancelled_hedge_that_had_not_started_frees_its_worker() -> None:
    bench = warmed()
    second = hedged(bench)
    bench.end(second, 0)
    bench.take("p", "q", work=0.5)
    bench.pull("the original finished, two more taken")
    bench.end(second, 1, Outcome.CANCELLED)
    bench.lines.append(f"freed, to be looked at: {len(bench.balancer.freed)}")
    bench.matches("cancelled_copy")
