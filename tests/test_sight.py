"""Estimates of workers from what is observed of them; each test guards against a failure that occurred."""

from __future__ import annotations

from helper import START, Bench, category

from opalwick.interface import Customer, Effect, Group, ListForm, Outcome, Phase, ReportSource


def test_an_item_without_a_start_report_is_sent_elsewhere() -> None:
    """An item that waited behind others was taken to be about to start (issue i8b8146)."""
    bench = Bench("AB")
    bench.take("x")
    bench.pull()
    bench.wait(0.5, "no note came")
    full = bench.items["x"].attempts[0].worker
    bench.lines.append(f"others seen there: {full.others:g}")
    bench.matches("no_note")


def test_an_item_with_a_start_report_is_not_sent_elsewhere() -> None:
    bench = Bench("AB")
    bench.take("x")
    bench.pull()
    bench.begin("x")
    bench.wait(0.5, "it had begun")
    bench.matches("note")


def test_a_report_does_not_count_own_items_as_others() -> None:
    """A seldom used worker looked loaded by the very item that it reported on (issue i8b8146)."""
    bench = Bench("A")
    bench.take("x", work=2.0)
    bench.pull()
    bench.begin("x")
    bench.wait(1.5)
    bench.balancer.load_reported(bench.workers["A"], (3.0,))
    bench.lines.append(f"others: {bench.workers['A'].others:g}")
    bench.matches("own_report")


def test_a_single_break_does_not_eject_a_worker() -> None:
    """With breaks at every worker, ejecting one for each break left none in use (issue if746ac)."""
    bench = Bench("A")
    bench.take("x", "y", "z", work=0.5)
    bench.pull()
    bench.wait(0.05)
    bench.begin("z")
    bench.wait(0.02)
    bench.end("x", 0, Outcome.BROKEN)
    bench.pull("x broke after z gave a sign")
    bench.wait(0.05)
    bench.end("x", 1, Outcome.BROKEN)
    bench.pull("x broke again, and no sign since the send")
    bench.matches("lone_break")


def test_no_connection_at_a_worker_that_responds_does_not_eject_it() -> None:
    """Workers at their limit of connections were ejected, reinstated and retried at once (issue i26ca39)."""
    for sign in (True, False):
        bench = Bench("A")
        bench.take("x", "y", work=0.5)
        bench.pull()
        bench.wait(0.05)
        if sign:
            bench.begin("y")
        bench.end("x", 0, Outcome.NO_CONNECTION)
        bench.pull(f"sign since the send: {sign}")
        bench.matches(f"no_connection_{sign}")


def test_a_reused_connection_that_breaks_at_its_use_does_not_eject_a_worker() -> None:
    """Workers that close idle connections sooner than they announce were avoided for seconds, and idle."""
    bench = Bench("A")
    bench.take("x", work=0.5)
    bench.pull()
    bench.wait(0.01)
    bench.end("x", 0, Outcome.BROKEN, kept=True)
    bench.pull("x broke as it was sent, on a kept connection")
    bench.wait(0.15)
    bench.end("x", 1, Outcome.BROKEN, kept=True)
    bench.pull("x broke later, without a word")
    bench.matches("kept_break")


def test_a_worker_that_rejects_is_not_used_for_a_moment() -> None:
    """A worker with a limited rate looked best, as it was empty, and items used up their attempts there."""
    bench = Bench("A")
    for name, pause in zip("uvwxyz", (0.05, 0.06, 0.19, 0.05, 0.06, 0.0)):
        bench.take(name)
        bench.pull(f"rests until {max(0.0, bench.workers['A'].backoff_until - START):g}")
        if bench.items[name].attempts:
            bench.wait(0.01)
            bench.end(name, 0, Outcome.FINISHED if name == "x" else Outcome.FULL)
            bench.pull()
        bench.wait(pause)
    bench.matches("turned_away")


def test_a_worker_without_responses_is_avoided_and_retried() -> None:
    bench = Bench("AB", reports_start=False)
    hung = bench.workers["A"]
    names = "abcdefghijklmnopqrstuvwxyz"
    for name in names:
        bench.take(name)
        list(bench.balancer.decisions())
        bench.wait(0.2)
        for item in bench.items.values():
            for attempt in item.attempts:
                if not attempt.ended and attempt.cancelled:
                    bench.end(chr(item.id), attempt.number, Outcome.CANCELLED)
                elif not attempt.ended and attempt.worker is not hung:
                    bench.end(chr(item.id), attempt.number)
        list(bench.balancer.decisions())
    sent = sum(attempt.worker is hung for item in bench.items.values() for attempt in item.attempts)
    bench.lines = [f"items sent to the hung worker: {sent} of {len(names)}"]
    bench.matches("hung")


def test_loaded_workers_defer_the_items_with_the_least_credit() -> None:
    """A persistent queue of late items never drained (issue id50b00)."""
    bench = Bench("A", [category(credit=1.0, due=2.0), category(credit=10.0, due=2.0)])
    names = "abcdefghijkl"
    for i, name in enumerate(names):
        bench.take(name, category=i % 2, work=0.5)
        bench.pull()
    bench.matches("crowded")


def test_a_kind_of_worker_that_was_slow_by_chance_is_retried() -> None:
    """A kind of worker was never used again after a few long items (scenario locks, variant rough-2)."""
    bench = Bench("AB", [category(due=0.4)])
    w = bench.workers["A"]
    w.run_sum, w.work_sum, w.ran_at = 20.0, 2.0, bench.now
    for seconds in (0, 10, 30):
        bench.now += seconds
        bench.balancer.clock(bench.now)
        bench.balancer.estimate(w)
        bench.lines.append(f"pace {w.pace:.1f}")
    bench.matches("pace")


def test_traffic_above_a_quota_does_not_displace_traffic_within_one() -> None:
    """With a third of the workers lost, all customers were deferred alike (issue i959873)."""
    greedy, modest = Customer(quota=5.0), Customer(quota=5.0)
    bench = Bench("A", [category(due=2.0, credit=1.0)], customers=[greedy, modest])
    customers = {}
    for i in range(40):
        name = chr(0x61 + i)
        bench.take(name, work=0.1, customer=modest if i % 8 == 7 else greedy)
        customers[name] = "modest" if i % 8 == 7 else "greedy"
        list(bench.balancer.decisions())
    for who in ("greedy", "modest"):
        sent = [bool(bench.items[name].attempts) for name in customers if customers[name] == who]
        bench.lines.append(f"{who}: {sum(sent)} of {len(sent)} sent")
    bench.matches("shares")


def test_more_than_a_thousand_rejections_in_a_row() -> None:
    """After 1,023 rejections in a row the doubled pause overflowed a float: the input failed half-way and the
    work item was lost. For the worker list, the pause before the next request was lost."""
    bench = Bench("A", kinds=[category(expiry=60.0)], must_subscribe=True)
    bench.workers["A"].rejections = bench.balancer.refusals = 1100
    bench.take("x")
    bench.pull()
    bench.end("x", 0, Outcome.FULL)
    assert "defer x for 1 s" in str(bench.pull() and bench.lines[-1])
    bench.workers["A"].ejections, bench.workers["A"].ejected_until = 1100, 0.0
    bench.balancer.eject(bench.workers["A"])
    assert bench.workers["A"].ejected_until == bench.now + 8.0
    bench.balancer.subscribing = True
    bench.list(ListForm.FAILED)
    assert bench.balancer.subscribe_at > bench.now + 1.0


def blind(workers: str = "ABCD", **changes) -> Bench:
    bench = Bench("", report_source=ReportSource.NONE, load_metrics=(), **changes)
    bench.list(ListForm.FULL, **dict.fromkeys(workers, Phase.READY))
    return bench


def test_late_start_reports_show_that_others_queue() -> None:
    """Without load reports every worker looked empty, and 44% of the items were late (scenario
    bxl-channel-sync, variant overload)."""
    for note in (0.01, 0.8):
        bench = blind(schedulers=20, kinds=[category(due=3.0)])
        deferred = 0
        for _ in range(40):
            bench.take("x", work=0.2)
            list(bench.balancer.decisions())
            if not bench.items["x"].attempts:
                deferred += 1
                bench.now += 0.3
                bench.balancer.clock(bench.now)
                continue
            bench.balancer.clock(bench.now + note)
            bench.begin("x")
            bench.balancer.clock(bench.now + note + 0.2)
            bench.end("x")
            list(bench.balancer.decisions())
            bench.now += note + 0.3
            bench.balancer.clock(bench.now)
        b = bench.balancer
        bench.lines = [
            f"notes after {note:g} s: none at once {b.queued_share:.2f}, ahead {b.mean_queue:.1f}, "
            f"others {b.mean_others:.1f}"
        ]
        b.estimate(w := next(iter(bench.workers.values())))
        bench.lines.append(f"a worker is taken to hold {w.busy:.1f}; of 40 deferred {deferred}")
        bench.matches(f"blind_{note:g}")


def test_a_start_report_is_awaited_for_about_a_round_trip() -> None:
    """Each full worker cost 0.1 s of a due time of 0.125 s (scenario bxl-channel-sync)."""
    bench = blind(workers="AB")
    for name in "abcdefghijklmnop":
        bench.take(name, work=0.05)
        list(bench.balancer.decisions())
        bench.wait(0.01)
        bench.begin(name)
        bench.wait(0.05)
        bench.end(name)
        list(bench.balancer.decisions())
    bench.lines = []
    bench.take("x", work=0.05)
    bench.pull("x taken")
    bench.wait(0.15, "no note came")
    bench.matches("note_in")


def test_a_keyed_item_considers_its_whole_cell() -> None:
    """Of sixteen workers drawn at random, only one or two were in its cell of four (scenario
    bxl-channel-sync)."""
    fleet = [chr(0x100 + i) for i in range(60)]
    bench = blind(
        workers="", kinds=[category(Effect.KEYED, Group.CELL, dedup_window=7.0, due=0.1, due_stretch=1.0)]
    )
    bench.list(ListForm.FULL, **dict.fromkeys(fleet, Phase.READY))
    for i, w in enumerate(bench.workers.values()):
        w.cell = i // 4
    bench.take("x")
    bench.pull()
    home = bench.items["x"].attempts[0].worker.cell
    assert {w.cell for w in bench.balancer.bound_cell(bench.items["x"])} == {home}
    assert len(bench.balancer.bound_cell(bench.items["x"])) == 4
    bench.wait(0.15)
    assert len(bench.items["x"].attempts) > 1
    assert {attempt.worker.cell for attempt in bench.items["x"].attempts} == {home}


def test_a_worker_that_fails_fast_is_selected_less_and_bad_items_or_periods_eject_none() -> None:
    """An error counted as a sign of health, and a worker that fails fast looks empty (scenario
    bxl-channel-sync, variant fast_errors)."""
    bench = Bench("AB")
    a = bench.workers["A"]

    def fail(name: str, among: str) -> None:
        bench.take(name, work=0.05)
        list(bench.balancer.decisions())
        attempt = bench.items[name].attempts[-1]
        bad = (attempt.worker is bench.workers["A"] and "A" in among) or (
            attempt.worker is not a and "B" in among
        )
        bench.end(name, attempt.number, Outcome.ERROR if bad else Outcome.FINISHED)
        bench.balancer.close(bench.items[name])
        list(bench.balancer.decisions())
        bench.now += 0.2
        bench.balancer.clock(bench.now)

    for times, among in ((1, "AB"), (60, "A"), (300, "AB")):
        for _ in range(times):
            fail("x", among)
        sent = {"A": 0, "B": 0}
        for _ in range(20):
            bench.take("y", work=0.05)
            list(bench.balancer.decisions())
            attempt = bench.items["y"].attempts[-1]
            sent[chr(attempt.worker.id)] += 1
            bench.balancer.close(bench.items["y"])
            bench.end("y", attempt.number, Outcome.CANCELLED)
            list(bench.balancer.decisions())
        bench.lines.append(f"{times} tried, failing {among}; of 20 sent {sent['A']} to A, {sent['B']} to B")
    bench.matches("failing")
