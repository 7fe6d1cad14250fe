"""The reducer alone: its inputs and the resulting effects, without sockets and clocks."""

from __future__ import annotations

from helper import ReducerHarness

from opalwick.interface import ListForm, Outcome, Phase


def test_a_work_item_from_acceptance_to_its_answer() -> None:
    desk = ReducerHarness()
    desk.take("a")
    desk.now += 0.01
    desk.put("began", "a", 0)
    desk.put("ended", "a", 0, Outcome.FINISHED, False, (3.0, 1.0), b"7")
    # a second result, unknown attempt numbers and unknown keys change nothing
    desk.put("ended", "a", 0, Outcome.FINISHED, False, (), b"8")
    desk.put("began", "a", 5)
    desk.put("progressed", "nobody", 0, 0.5)
    desk.put("left", "nobody")
    assert not desk.reducer.items
    desk.matches("reducer_item")


def test_an_item_that_never_ran_is_retried_and_finally_deferred() -> None:
    """Without free file descriptors no attempt can be sent: the client gets its answer at once."""
    desk = ReducerHarness()
    desk.take("a")
    for number in range(3):
        desk.put("ended", "a", number, Outcome.NOT_SENT)
    desk.matches("reducer_not_sent")


def test_an_item_answered_by_the_host_is_not_sent_again() -> None:
    desk = ReducerHarness()
    desk.take("a")
    assert (
        not [
            effect
            for effect in desk.put("ended", "a", 0, Outcome.ERROR, True)
            if type(effect).__name__ != "Timer"
        ]
        and not desk.reducer.items
    )


def test_attempts_of_a_disconnected_client_are_cancelled() -> None:
    desk = ReducerHarness()
    desk.take("a")
    desk.put("left", "a")
    desk.put("ended", "a", 0, Outcome.CANCELLED)
    assert not desk.reducer.items
    desk.matches("reducer_left")


def test_an_item_that_may_have_run_fails_when_its_group_has_no_worker() -> None:
    desk = ReducerHarness(workers="A")
    desk.take("a", category=1)
    desk.put("listed", ListForm.CHANGES, [desk.row("A", Phase.DRAINING)], note="A drains")
    desk.put("ended", "a", 0, Outcome.BROKEN)
    desk.matches("reducer_ticketed")


def test_workers_get_new_addresses_and_a_failed_watch_is_repeated() -> None:
    desk = ReducerHarness(workers="A")
    desk.now += 0.1
    desk.put("listed", ListForm.FULL, [desk.row("A", place="elsewhere")], note="whole list")
    desk.take("a")
    desk.put("listed", ListForm.FAILED, [], note="watch failed")
    desk.now += 0.5
    desk.put("woken")
    desk.put("woken")
    desk.put("listed", ListForm.FAILED, [], note="watch failed")
    desk.put("moved", note="discovery is elsewhere")  # the backoff applied to the old address
    desk.matches("reducer_list")


def test_peer_messages_between_schedulers() -> None:
    """A load report is answered with the totals; malformed messages are ignored."""
    desk, other = ReducerHarness(), ReducerHarness(position=1)
    other.take("a")
    other.now += 1.2
    for effect in other.put("woken"):
        if hasattr(effect, "payload"):
            desk.now = other.now
            for answer in desk.put("heard", 1, effect.payload, note="heard"):
                if hasattr(answer, "payload"):
                    other.put("heard", 0, answer.payload, note="heard")
    for odd in (b"", b"\x00", b"\x01\xff\xff\xff\xff\xff\x00\x00", b"\x07" * 40, b"\x00" * 7):
        desk.put("heard", 1, odd, note=f"{len(odd)} odd bytes")
    desk.matches("reducer_words")


def test_items_accepted_during_shutdown_are_sent_and_all_are_answered_before_it() -> None:
    desk = ReducerHarness()
    desk.take("a")
    desk.put("began", "a", 0)
    desk.now += 0.2
    desk.put("closing", desk.now + 2.0)
    desk.take("b")
    desk.put("began", "b", 0)
    desk.now += 1.0
    desk.put("woken")
    desk.now += 0.991
    desk.put("woken")
    desk.matches("reducer_closing")
