"""Costs and behaviour in large fleets: peer messages, draws, lightly loaded schedulers."""

from __future__ import annotations

from helper import START, Bench, category

from opalwick.interface import ListForm, Phase

FLEET = "".join(chr(code) for code in range(0x100, 0x150))


def test_load_reports_go_to_one_aggregator_and_skip_a_silent_one() -> None:
    """Load reports to all peers, ten times a second, exceeded the CPU limit in full-size scenarios."""
    bench = Bench("AB", schedulers=300, may_message_peers=True, position=7, price_peer_message=0.0)
    bench.take("x", work=0.5)
    bench.pull()
    bench.begin("x")
    bench.wait(0.5, "no sum came")
    bench.balancer.totals_received(0xFFFFFFF0, 0, 299, [])  # marks wrap around at 32 bits
    bench.wait(0.25, "the third keeper answered")
    bench.matches("keeper")


def test_an_aggregator_answers_with_the_load_of_the_others() -> None:
    bench = Bench("AB", schedulers=300, may_message_peers=True, position=0)
    a, b = bench.workers["A"], bench.workers["B"]
    bench.balancer.report_received(5, 1000, 0, [(a, 2.0, 1.0)])
    bench.balancer.report_received(6, 1000, 0, [(a, 1.0, 0.5), (b, 3.0, 0.5)])
    bench.pull("5 and 6 told")
    bench.balancer.report_received(6, 900, 0, [(b, 9.0, 9.0)])
    bench.balancer.report_received(5, 1100, 0, [])
    bench.pull("an older word of 6 came late, 5 holds nothing")
    bench.balancer.clock(START + 2.5)
    bench.balancer.report_received(5, 3500, 0, [])
    bench.pull("6 has been silent for more than two seconds")
    bench.matches("sums")


def test_load_totals_keep_items_off_a_worker_that_others_fill() -> None:
    for slots in (0.0, 12.0):
        bench = Bench("AB", schedulers=300, may_message_peers=True, position=7)
        bench.balancer.totals_received(1, 0, 300, [(bench.workers["A"], slots, slots * 0.2)])
        bench.take(*"uvwxyz", work=0.2)
        bench.pull(f"others hold {slots:g} slots at A")
        bench.matches(f"sum_{slots:g}")


def test_a_light_item_is_sent_after_heavy_ones() -> None:
    """Items worth less than a twentieth of a mean item were always deferred."""
    bench = Bench("ABCD")
    bench.take(*"abc", work=2.0)
    bench.take("x", work=0.02)
    bench.pull("three heavy, one light, room for all")
    bench.matches("light")


def test_an_item_expected_to_run_stays_where_start_is_not_reported() -> None:
    """Items about to finish were given up, as their whole running time was still expected."""
    bench = Bench(
        "A",
        [category(due=0.1, due_stretch=1.5), category(due=8.0, credit=3.0)],
        reports_start=False,
        max_attempts=1,
    )
    bench.take("x", work=0.6)
    bench.take("a", "b", "c", "d", "e", "f", category=1, work=0.6)
    bench.pull()
    bench.wait(0.8, "x is about to finish")
    bench.matches("taken_to_run")


def test_a_waiting_item_counts_once_at_its_worker() -> None:
    """A queued item was also counted as load ahead of itself: long items that would have
    finished in time were given up after a tenth of a second.
    """
    bench = Bench("A", [category(due=8.0)], max_attempts=1, credit_per_work=False)
    for name, work in zip("abcdxe", (1.0, 1.0, 1.0, 1.0, 3.0, 1.0)):
        bench.take(name, work=work)
        bench.pull()
    for name in "abcd":
        bench.begin(name)
    bench.wait(0.5, "x, three times a mean item, waits behind four")
    bench.matches("counted_once")


def test_the_workers_of_a_large_fleet_are_sampled_evenly() -> None:
    """Examining all workers for each item exceeded the CPU limit; a sample must not prefer some workers."""
    bench = Bench(FLEET)
    samples = dict.fromkeys(bench.workers.values(), 0)
    for _ in range(2000):
        for w in bench.balancer.sample():
            samples[w] += 1
    bench.lines.append(
        f"of 2000 draws each worker is met by {min(samples.values()) // 50 * 50}"
        f" to {-(-max(samples.values()) // 50) * 50}"
    )
    bench.list(ListForm.FULL, A=Phase.READY)
    bench.take("x")
    bench.pull("the list shrank to A")
    bench.list(ListForm.FULL)
    bench.take("y")
    bench.pull("the list is empty")
    bench.list(ListForm.FULL, **dict.fromkeys(FLEET, Phase.READY))
    bench.lines.append(f"{len(bench.balancer.workers)} again, looked at {len(bench.balancer.sample())}")
    bench.matches("ring")


def test_hundreds_of_schedulers_use_a_starting_worker_without_overloading_it() -> None:
    """With its budget in equal parts a part was less than a work item, so new workers stayed idle."""
    lines = []
    for work in (0.02, 0.4, 2.0):
        sent = 0
        for seed in range(1, 301):
            bench = Bench("B", schedulers=300, seed=seed * 0x9E3779B97F4A7C15)
            bench.list(ListForm.FULL, ready={"B": START}, B=Phase.READY)
            bench.take("x", work=work)
            list(bench.balancer.decisions())
            sent += len(bench.items["x"].attempts)
        lines.append(f"300 items of {work:g} s, it bears 6 s: {sent} sent, {sent * work:g} s")
    bench.lines = lines
    bench.matches("cold_crowd")


def test_an_item_worth_less_than_the_price_of_another_zone_stays() -> None:
    """With the own zone full, light items went to another zone for more than their credit."""
    for price in (0.0, 0.16):
        bench = Bench("AB", price_cross_zone=price)
        bench.list(ListForm.FULL, zones="01", A=Phase.DRAINING, B=Phase.READY)
        bench.take("h", work=2.0)
        bench.take("x", work=0.05)
        bench.pull(f"a heavy and a light item, crossing costs {price:g}")
        bench.matches(f"crossing_{price:g}")
