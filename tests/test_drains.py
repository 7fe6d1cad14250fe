"""The setting `only_draining_binds`: workers listed as gone, or missing from the list, may still be used."""

from __future__ import annotations

from helper import Bench

from opalwick.interface import ListForm, Outcome, Phase


def worker_with_work() -> Bench:
    bench = Bench("A", only_draining_binds=True)
    bench.take("a")
    bench.pull()
    return bench


def accepts(bench: Bench, name: str) -> bool:
    """Whether a new work item is sent to A, the only enabled worker."""
    bench.take(name)
    bench.pull()
    return bool(bench.items[name].attempts)


def list_with_b(bench: Bench, form: ListForm = ListForm.CHANGES, **phases: Phase) -> None:
    """Updates the list with B beside A, and disables B, so that A is not the last worker of the list."""
    bench.list(form, **{"B": Phase.READY, **phases})
    bench.balancer.set_disabled(bench.workers["B"], True)


def test_gone_binds_until_a_sign_of_life_and_draining_in_spite_of_it() -> None:
    for phase, ready in ((Phase.GONE, True), (Phase.DRAINING, False)):
        bench = worker_with_work()
        list_with_b(bench, A=phase)
        assert not bench.workers["A"].usable
        bench.begin("a")  # an attempt in progress starts, and goes on
        assert accepts(bench, "b") is ready and not bench.items["a"].attempts[0].cancelled


def test_draining_then_gone_or_missing_stays_excluded() -> None:
    for form, after in ((ListForm.CHANGES, {"A": Phase.GONE}), (ListForm.FULL, {})):
        bench = worker_with_work()
        list_with_b(bench, A=Phase.DRAINING)
        list_with_b(bench, form, **after)
        bench.begin("a")
        bench.end("a")
        assert bench.workers["A"].phase is Phase.GONE and not accepts(bench, "b")


def test_gone_then_back_missing_then_named_as_draining_and_a_restart() -> None:
    bench = worker_with_work()
    list_with_b(bench, A=Phase.GONE)
    list_with_b(bench, A=Phase.READY)
    assert accepts(bench, "b")
    list_with_b(bench, ListForm.FULL)  # missing
    bench.begin("a")
    assert accepts(bench, "c")
    list_with_b(bench, A=Phase.DRAINING)
    assert not accepts(bench, "d")
    bench.list(ListForm.CHANGES, A=Phase.READY, ready={"A": bench.now - 60.0})
    assert accepts(bench, "e")
    list_with_b(bench, ListForm.CACHED, A=Phase.DRAINING)  # a list cached before a restart binds too
    bench.begin("e")
    assert not accepts(bench, "f")


def test_a_disabled_worker_is_excluded_whatever_signs_of_life_arrive() -> None:
    bench = worker_with_work()
    list_with_b(bench, A=Phase.GONE)
    bench.balancer.set_disabled(bench.workers["A"], True)
    bench.begin("a")
    assert not accepts(bench, "b")
    bench.balancer.set_disabled(bench.workers["A"], False)
    assert accepts(bench, "c")


def test_a_rejection_as_full_is_no_sign_of_life_and_a_list_with_all_gone_is_ignored() -> None:
    bench = worker_with_work()
    list_with_b(bench, A=Phase.GONE)
    bench.end("a", 0, Outcome.FULL)
    assert not accepts(bench, "b")
    bench = worker_with_work()
    bench.list(ListForm.FULL)
    assert accepts(bench, "b")


def test_without_the_setting_gone_binds_in_spite_of_signs_of_life() -> None:
    bench = Bench("A")
    bench.take("a")
    bench.pull()
    list_with_b(bench, A=Phase.GONE)
    bench.begin("a")
    assert not accepts(bench, "b")
