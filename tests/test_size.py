"""What grows with schedulers and workers: words, draws, quiet schedulers."""

from __future__ import annotations

from helper import START, Bench, category

from opalwick.interface import ListForm, Phase

FLEET = "".join(chr(code) for code in range(0x100, 0x150))


def test_words_go_to_one_keeper_and_pass_over_a_silent_one() -> None:
    """Grown bookings: a word to all, ten times a second, cut full-size days off for CPU."""
    bench = Bench("AB", schedulers=300, may_tell=True, position=7, price_tell=0.0)
    bench.take("x", work=0.5)
    bench.pull()
    bench.begin("x")
    bench.wait(0.5, "no sum came")
    bench.balancer.summed(0xFFFFFFF0, 0, 299, [])  # marks come round at 32 bits
    bench.wait(0.25, "the third keeper answered")
    bench.matches("keeper")


def test_a_keeper_answers_with_what_the_others_hold() -> None:
    bench = Bench("AB", schedulers=300, may_tell=True, position=0)
    a, b = bench.workers["A"], bench.workers["B"]
    bench.balancer.told(5, 1000, 0, [(a, 2.0, 1.0)])
    bench.balancer.told(6, 1000, 0, [(a, 1.0, 0.5), (b, 3.0, 0.5)])
    bench.pull("5 and 6 told")
    bench.balancer.told(6, 900, 0, [(b, 9.0, 9.0)])
    bench.balancer.told(5, 1100, 0, [])
    bench.pull("an older word of 6 came late, 5 holds nothing")
    bench.balancer.clock(START + 2.5)
    bench.balancer.told(5, 3500, 0, [])
    bench.pull("6 has been silent for more than two seconds")
    bench.matches("sums")


def test_a_sum_keeps_items_off_a_worker_that_others_fill() -> None:
    for slots in (0.0, 12.0):
        bench = Bench("AB", schedulers=300, may_tell=True, position=7)
        bench.balancer.summed(1, 0, 300, [(bench.workers["A"], slots, slots * 0.2)])
        bench.take(*"uvwxyz", work=0.2)
        bench.pull(f"others hold {slots:g} slots at A")
        bench.matches(f"sum_{slots:g}")


def test_a_light_item_is_sent_after_heavy_ones() -> None:
    """Grown bookings: what was worth less than a twentieth of a mean item was always deferred."""
    bench = Bench("ABCD")
    bench.take(*"abc", work=2.0)
    bench.take("x", work=0.02)
    bench.pull("three heavy, one light, room for all")
    bench.matches("light")


def test_an_item_taken_to_run_is_kept_where_no_note_tells() -> None:
    """Grown water: what was about to finish was given up, as its whole run was still counted."""
    bench = Bench(
        "A", [category(due=0.1, stretch=1.5), category(due=8.0, credit=3.0)], tells_start=False, hand_offs=1
    )
    bench.take("x", work=0.6)
    bench.take("a", "b", "c", "d", "e", "f", category=1, work=0.6)
    bench.pull()
    bench.wait(0.8, "x is about to finish")
    bench.matches("taken_to_run")


def test_a_waiting_item_counts_once_at_its_worker() -> None:
    """Grown locks: long items with good prospects were given up after a tenth of a second."""
    bench = Bench("A", [category(due=8.0)], hand_offs=1, by_work=False)
    for name, work in zip("abcdxe", (1.0, 1.0, 1.0, 1.0, 3.0, 1.0)):
        bench.take(name, work=work)
        bench.pull()
    for name in "abcd":
        bench.begin(name)
    bench.wait(0.5, "x, three times a mean item, waits behind four")
    bench.matches("counted_once")


def test_the_workers_of_a_large_fleet_are_met_evenly() -> None:
    """Looking at all workers for each item cut a day off; fewer must not mean that some are met too often."""
    bench = Bench(FLEET)
    met = dict.fromkeys(bench.workers.values(), 0)
    for _ in range(2000):
        for w in bench.balancer.some():
            met[w] += 1
    bench.lines.append(
        f"of 2000 draws each worker is met by {min(met.values()) // 50 * 50}"
        f" to {-(-max(met.values()) // 50) * 50}"
    )
    bench.list(ListForm.FULL, A=Phase.READY)
    bench.take("x")
    bench.pull("the list shrank to A")
    bench.list(ListForm.FULL)
    bench.take("y")
    bench.pull("the list is empty")
    bench.list(ListForm.FULL, **dict.fromkeys(FLEET, Phase.READY))
    bench.lines.append(f"{len(bench.balancer.workers)} again, looked at {len(bench.balancer.some())}")
    bench.matches("ring")


def test_hundreds_of_schedulers_fill_a_cold_worker_and_do_not_push_it_over() -> None:
    """iac0a64, h17a8e1: even parts of its budget were less than a work item, so new workers idled."""
    lines = []
    for work in (0.02, 0.4, 2.0):
        sent = 0
        for seed in range(1, 301):
            bench = Bench("B", schedulers=300, seed=seed * 0x9E3779B97F4A7C15)
            bench.list(ListForm.FULL, ready={"B": START}, B=Phase.READY)
            bench.take("x", work=work)
            list(bench.balancer.decisions())
            sent += len(bench.items["x"].hand_offs)
        lines.append(f"300 items of {work:g} s, it bears 6 s: {sent} sent, {sent * work:g} s")
    bench.lines = lines
    bench.matches("cold_crowd")


def test_an_item_that_earns_less_than_its_crossing_does_not_cross() -> None:
    """iac0a64: with the own zone full, light items crossed for more than they were worth."""
    for price in (0.0, 0.16):
        bench = Bench("AB", price_cross=price)
        bench.list(ListForm.FULL, zones="01", A=Phase.DRAINING, B=Phase.READY)
        bench.take("h", work=2.0)
        bench.take("x", work=0.05)
        bench.pull(f"a heavy and a light item, crossing costs {price:g}")
        bench.matches(f"crossing_{price:g}")
