"""The four rules of the scheduler, just inside and just outside their limits."""

from __future__ import annotations

from helper import START, Bench, category

from opalwick.interface import Effect, Group, ListForm, Outcome, Phase


def test_every_item_is_answered_before_its_expiry() -> None:
    bench = Bench("A", [category(late_credit=0.5), category(Effect.AT_MOST_ONCE, late_credit=0.5)])
    bench.take("x", expiry=2.0)
    bench.take("y", category=1, expiry=2.0)
    bench.pull("two taken")
    bench.begin("x")
    bench.begin("y")
    bench.wait(2.1, "nothing had come back")
    bench.matches("expiry")


def test_what_may_have_run() -> None:
    """Each outcome of the first attempt, for each kind of category."""
    kinds = [
        category(),
        category(Effect.KEYED),
        category(Effect.KEYED, Group.ZONE),
        category(Effect.AT_MOST_ONCE),
    ]
    lines = []
    for i, kind in enumerate(("rerunnable", "ticketed, all", "ticketed, zone", "exclusive")):
        for outcome in Outcome:
            if outcome is Outcome.FINISHED:
                continue
            bench = Bench("AB", kinds)
            bench.list(ListForm.FULL, zones="01", A=Phase.READY, B=Phase.READY)
            bench.workers["B"].limit = 1.0
            bench.workers["B"].ejections, bench.workers["B"].ejected_until = 1, START + 0.04
            bench.take("x", category=i, work=0.4)
            list(bench.balancer.decisions())
            bench.wait(0.05)
            bench.workers["A"].phase = Phase.DRAINING
            bench.lines.clear()
            bench.end("x", 0, outcome)
            bench.pull(f"{kind}, A {outcome.name.lower()}")
            lines += bench.lines
    bench.lines = lines
    bench.matches("may_have_run")


def test_the_deduplication_window_of_a_keyed_item() -> None:
    for seconds in (1.45, 1.55):
        bench = Bench("AB", [category(Effect.KEYED, due=5.0, expiry=9.0)])
        bench.take("x")
        bench.pull()
        bench.wait(seconds)
        bench.lines.clear()
        bench.end("x", 0, Outcome.ERROR)
        bench.pull("window 2 s, half a second kept for the trip")
        bench.matches(f"window_{seconds}")


def test_a_worker_restarted_since_may_not_have_the_key() -> None:
    bench = Bench("AB", [category(Effect.KEYED, Group.CELL, due=5.0)], ramp=0.1)
    bench.take("x")
    bench.pull()
    used = chr(bench.items["x"].attempts[0].worker.id)
    other = "B" if used == "A" else "A"
    bench.wait(0.5)
    bench.list(ListForm.CHANGES, ready={other: bench.now - 0.2}, **{other: Phase.READY})
    bench.list(ListForm.CHANGES, **{used: Phase.DRAINING})
    bench.end("x", 0, Outcome.BROKEN)
    bench.pull("the other of the cell restarted after the send")
    bench.matches("restarted_cell")


def test_no_new_attempts_at_draining_gone_or_missing_workers() -> None:
    bench = Bench("ABCD")
    bench.list(ListForm.CHANGES, A=Phase.DRAINING, B=Phase.GONE)
    bench.take("a", "b", "c")
    bench.pull("A drains, B is gone")
    bench.list(ListForm.FULL, A=Phase.READY, D=Phase.DRAINING)
    bench.take("d", "e")
    bench.pull("C is missing from a full list, D drains, A is ready again")
    bench.matches("drains")


def test_no_worker_at_all() -> None:
    bench = Bench("")
    bench.take("x", work=0.1)
    bench.pull("empty list")
    bench.wait(0.8, "none came")
    bench.matches("no_worker")


def test_the_budget_of_a_cold_worker() -> None:
    bench = Bench("AB", schedulers=2)
    bench.list(ListForm.FULL, ready={"B": START}, A=Phase.DRAINING, B=Phase.READY)
    bench.take(*"abcdefgh", work=0.4)
    bench.pull("only a worker just started, budget 1.5 s of work")
    bench.matches("cold")


def test_requests_for_the_worker_list() -> None:
    bench = Bench("A", must_subscribe=True)
    bench.pull("start")
    for _ in range(5):
        bench.list(ListForm.FAILED)
        bench.wait(5.0, "it failed")
    bench.list(ListForm.CHANGES)
    bench.wait(9.0, "it came")
    bench.matches("asking")


def test_invalid_inputs_are_ignored() -> None:
    bench = Bench("A")
    before = [(k.slots, k.reports) for k in bench.balancer.kinds.values()]
    for figure in (float("nan"), float("inf"), -3.0, 1e30):
        bench.balancer.load_reported(bench.workers["A"], (figure, figure, figure))
    bench.balancer.report_received(9, 5, 3, [])
    bench.take("x")
    bench.pull(f"sizes unchanged {before == [(k.slots, k.reports) for k in bench.balancer.kinds.values()]}")
    bench.balancer.attempt_progressed(bench.items["x"].attempts[0], float("nan"))
    bench.end("x")
    bench.balancer.close(bench.items["x"])
    bench.pull("the client left with the answer")
    bench.matches("nonsense")


def test_a_large_new_fleet_is_used() -> None:
    """An even part of the budget for cold workers was smaller than one work item (issue i4483a9)."""
    names = "".join(chr(code) for code in range(0x100, 0x150))
    bench = Bench("A", schedulers=8)
    bench.list(ListForm.FULL, ready=dict.fromkeys(names, START - 3.0), **dict.fromkeys(names, Phase.READY))
    bench.take("x", work=0.3)
    list(bench.balancer.decisions())
    bench.lines.append(f"x is out at a worker three seconds old: {len(bench.items['x'].attempts) == 1}")
    bench.matches("new_fleet")


def test_a_keyed_item_without_a_start_report_is_retried_late_and_within_its_group() -> None:
    """An item on a connection without a response waited until its expiry, though its group discards a
    repeat."""
    for zones in ("0001", "0111"):
        bench = Bench("ABCD", [category(Effect.KEYED, Group.ZONE)])
        bench.list(ListForm.FULL, zones, A=Phase.READY, B=Phase.DRAINING, C=Phase.DRAINING, D=Phase.DRAINING)
        bench.take("x")
        bench.pull()
        bench.list(ListForm.FULL, zones, A=Phase.READY, B=Phase.READY, C=Phase.READY, D=Phase.READY)
        bench.wait(0.9, f"workers in zones {zones}")
        bench.matches(f"ticketed_silent_{zones}")


def test_a_hint_past_the_expiry_keeps_an_item_from_a_cold_worker() -> None:
    """An item of 8.5 s with 5 s left was taken for an average one, and overloaded a worker that was starting
    (in a random scenario of the lab). Beside the budget of cold workers such a hint is still ignored."""
    bench = Bench("A", ramp=10.0)
    bench.list(ListForm.FULL, ready={"A": bench.now - 5.0}, A=Phase.READY)
    for name, work in (("x", 1.0), ("y", 40.0)):
        bench.take(name, work=work, expiry=5.0)
    allowed = [bench.balancer.within_budget(bench.items[name], bench.workers["A"]) for name in "xy"]
    assert allowed == [True, False]
    assert bench.items["y"].work < 5.0


def test_a_category_bound_to_a_kind_goes_to_no_other() -> None:
    """Workers of another kind rejected its items as full, and were then treated as full for all items
    (scenario mill-orders-nam)."""
    bench = Bench("ABCD", [category(kind=1), category()])
    for name, kind in zip("ABCD", (0, 1, 0, 1)):
        bench.balancer.update_workers(
            ListForm.CHANGES, [(bench.workers[name], 0, kind, 0, Phase.READY, 0.0, 1.0)]
        )
    for i in range(24):
        bench.take("x", category=i % 2)
        bench.pull()
        w = bench.items["x"].attempts[0].worker
        assert i % 2 or w.kind == 1
        bench.begin("x")
        bench.end("x")
        bench.pull()
