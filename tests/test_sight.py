"""What is judged of workers, and the failures found so far."""

from __future__ import annotations

from helper import START, Bench, category

from opalwick.interface import Customer, Effect, Group, ListForm, Outcome, Phase, ReportSource


def test_no_start_note_moves_an_item() -> None:
    """i8b8146: an item waiting behind others was taken to be about to begin."""
    bench = Bench("AB")
    bench.take("x")
    bench.pull()
    bench.wait(0.5, "no note came")
    full = bench.items["x"].attempts[0].worker
    bench.lines.append(f"others seen there: {full.others:g}")
    bench.matches("no_note")


def test_a_start_note_keeps_an_item() -> None:
    bench = Bench("AB")
    bench.take("x")
    bench.pull()
    bench.begin("x")
    bench.wait(0.5, "it had begun")
    bench.matches("note")


def test_a_report_does_not_count_own_items_as_others() -> None:
    """i8b8146: a seldom used worker looked crowded by the item that it reported on."""
    bench = Bench("A")
    bench.take("x", work=2.0)
    bench.pull()
    bench.begin("x")
    bench.wait(1.5)
    bench.balancer.load_reported(bench.workers["A"], (3.0,))
    bench.lines.append(f"others: {bench.workers['A'].others:g}")
    bench.matches("own_report")


def test_a_lone_break_does_not_shun_a_worker() -> None:
    """if746ac: with breaks at every worker, shunning for each left none in use."""
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


def test_no_connection_at_a_worker_that_answers_does_not_shun_it() -> None:
    """i26ca39: workers at their limit of connections were shunned, cleared and tried again at once."""
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


def test_a_kept_connection_that_breaks_as_it_is_used_does_not_shun_a_worker() -> None:
    """Workers that closed idle connections sooner than they say were left alone for seconds, idle."""
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


def test_a_worker_that_turns_away_rests_before_the_next() -> None:
    """One that takes so many a second looked best, empty as it was; items spent their hand-offs there."""
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


def test_a_silent_worker_is_left_alone_and_tried_again() -> None:
    bench = Bench("AB", reports_start=False)
    hung = bench.workers["A"]
    names = "abcdefghijklmnopqrstuvwxyz"
    for name in names:
        bench.take(name)
        list(bench.balancer.decisions())
        bench.wait(0.2)
        for item in bench.items.values():
            for ho in item.attempts:
                if not ho.ended and ho.cancelled:
                    bench.end(chr(item.id), ho.number, Outcome.CANCELLED)
                elif not ho.ended and ho.worker is not hung:
                    bench.end(chr(item.id), ho.number)
        list(bench.balancer.decisions())
    sent = sum(ho.worker is hung for item in bench.items.values() for ho in item.attempts)
    bench.lines = [f"items sent to the hung worker: {sent} of {len(names)}"]
    bench.matches("hung")


def test_crowded_workers_defer_what_earns_least() -> None:
    """id50b00: a standing queue of late work that never drained."""
    bench = Bench("A", [category(credit=1.0, due=2.0), category(credit=10.0, due=2.0)])
    names = "abcdefghijkl"
    for i, name in enumerate(names):
        bench.take(name, category=i % 2, work=0.5)
        bench.pull()
    bench.matches("crowded")


def test_a_kind_slow_by_chance_is_tried_again() -> None:
    """Locks' rough-2: a few long items condemned a kind of worker, which was then never used."""
    bench = Bench("AB", [category(due=0.4)])
    w = bench.workers["A"]
    w.run_sum, w.work_sum, w.ran_at = 20.0, 2.0, bench.now
    for seconds in (0, 10, 30):
        bench.now += seconds
        bench.balancer.clock(bench.now)
        bench.balancer.estimate(w)
        bench.lines.append(f"pace {w.pace:.1f}")
    bench.matches("pace")


def test_traffic_beyond_a_share_does_not_push_out_traffic_within_one() -> None:
    """i959873: with a third of the workers lost, all customers were deferred alike."""
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


def test_an_hour_of_refusals_in_a_row_is_borne() -> None:
    """The lab's baselines found it: past 1,023 in a row the doubled pause was beyond all floats. The input
    failed half-way and the work item was lost; of the list, nobody waited any more before asking again."""
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


def test_start_notes_that_come_late_tell_that_others_queue() -> None:
    """bxl-channel-sync, overload: with no reports every worker looked empty, and 44% came late."""
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


def test_a_note_is_awaited_as_long_as_trips_take() -> None:
    """bxl-channel-sync: a tenth of a second lost to each full worker, of due times of an eighth."""
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


def test_a_ticketed_item_looks_at_its_whole_cell() -> None:
    """bxl-channel-sync: of sixteen workers drawn at random one or two were in a pod of four."""
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
    assert {ho.worker.cell for ho in bench.items["x"].attempts} == {home}


def test_a_worker_that_fails_fast_is_drawn_less_and_a_bad_item_or_hour_shuns_none() -> None:
    """bxl-channel-sync, fast_errors: an error was a sign of health, and what fails fast looks empty."""
    bench = Bench("AB")
    a = bench.workers["A"]

    def fail(name: str, among: str) -> None:
        bench.take(name, work=0.05)
        list(bench.balancer.decisions())
        ho = bench.items[name].attempts[-1]
        bad = (ho.worker is bench.workers["A"] and "A" in among) or (ho.worker is not a and "B" in among)
        bench.end(name, ho.number, Outcome.ERROR if bad else Outcome.FINISHED)
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
            ho = bench.items["y"].attempts[-1]
            sent[chr(ho.worker.id)] += 1
            bench.balancer.close(bench.items["y"])
            bench.end("y", ho.number, Outcome.CANCELLED)
            list(bench.balancer.decisions())
        bench.lines.append(f"{times} tried, failing {among}; of 20 sent {sent['A']} to A, {sent['B']} to B")
    bench.matches("failing")
