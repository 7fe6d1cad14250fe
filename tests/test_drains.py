"""Where only a listed drain binds: what is called gone, or left out, may still be sent to."""

from __future__ import annotations

from helper import Bench

from opalwick.interface import ListForm, Outcome, Phase


def worker_with_work() -> Bench:
    bench = Bench("A", only_draining_binds=True)
    bench.take("a")
    bench.pull()
    return bench


def taken(bench: Bench, name: str) -> bool:
    """Whether a new work item goes to A, the only worker there is."""
    bench.take(name)
    bench.pull()
    return bool(bench.items[name].attempts)


def beside(bench: Bench, form: ListForm = ListForm.CHANGES, **phases: Phase) -> None:
    """B is listed and left out by hand, so that A is not the last one of the list."""
    bench.list(form, **{"B": Phase.READY, **phases})
    bench.balancer.set_disabled(bench.workers["B"], True)


def test_gone_binds_until_a_sign_and_a_drain_in_spite_of_signs() -> None:
    for phase, ready in ((Phase.GONE, True), (Phase.DRAINING, False)):
        bench = worker_with_work()
        beside(bench, A=phase)
        assert not bench.workers["A"].usable
        bench.begin("a")  # what was on its way begins, and goes on undisturbed
        assert taken(bench, "b") is ready and not bench.items["a"].attempts[0].cancelled


def test_draining_then_gone_or_missing_stays_closed() -> None:
    for form, after in ((ListForm.CHANGES, {"A": Phase.GONE}), (ListForm.FULL, {})):
        bench = worker_with_work()
        beside(bench, A=Phase.DRAINING)
        beside(bench, form, **after)
        bench.begin("a")
        bench.end("a")
        assert bench.workers["A"].phase is Phase.GONE and not taken(bench, "b")


def test_gone_then_back_missing_then_named_as_draining_and_a_restart() -> None:
    bench = worker_with_work()
    beside(bench, A=Phase.GONE)
    beside(bench, A=Phase.READY)
    assert taken(bench, "b")
    beside(bench, ListForm.FULL)  # missing
    bench.begin("a")
    assert taken(bench, "c")
    beside(bench, A=Phase.DRAINING)
    assert not taken(bench, "d")
    bench.list(ListForm.CHANGES, A=Phase.READY, ready={"A": bench.now - 60.0})
    assert taken(bench, "e")
    beside(bench, ListForm.CACHED, A=Phase.DRAINING)  # a list from before the restart: it binds all the same
    bench.begin("e")
    assert not taken(bench, "f")


def test_left_out_by_hand_binds_whatever_signs_come() -> None:
    bench = worker_with_work()
    beside(bench, A=Phase.GONE)
    bench.balancer.set_disabled(bench.workers["A"], True)
    bench.begin("a")
    assert not taken(bench, "b")
    bench.balancer.set_disabled(bench.workers["A"], False)
    assert taken(bench, "c")


def test_an_answer_that_it_is_full_is_no_sign_and_all_gone_at_once_is_the_lists_fault() -> None:
    bench = worker_with_work()
    beside(bench, A=Phase.GONE)
    bench.end("a", 0, Outcome.FULL)
    assert not taken(bench, "b")
    bench = worker_with_work()
    bench.list(ListForm.FULL)
    assert taken(bench, "b")


def test_elsewhere_gone_binds_in_spite_of_signs() -> None:
    bench = Bench("A")
    bench.take("a")
    bench.pull()
    beside(bench, A=Phase.GONE)
    bench.begin("a")
    assert not taken(bench, "b")
