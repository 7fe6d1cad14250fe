"""Replication of new messages at a gateway: which stores are used, and when a client gets which answer."""

from __future__ import annotations

from collections import Counter

import pytest
from post_helper import Player

from opalwick.post.gateway.intake import GIVE_UP, SLOW_DISK_DELAY, Intake
from opalwick.post.wire_pb2 import Letter

ZONES = {"d1": "n", "d2": "s", "d3": "w", "d4": "n", "d5": "s"}


def test_copies_cross_zones_only_where_zones_may_be_lost() -> None:
    """Without spreading, all stores of the gateway's own zone come first, then one of each other zone."""
    c = Clients("d1 d2 d3 d4 d5")
    assert {"".join(ZONES[d.node] for d in c.i.ranked(f"m{n}"))[:3] for n in range(9)} <= {"nsw", "nws"}
    c.i.spread = False
    assert {tuple(ZONES[d.node] for d in c.i.ranked(f"m{n}"))[:2] for n in range(9)} == {("n", "n")}
    assert {ZONES[d.node] for d in c.i.ranked("m1")[2:4]} == {"s", "w"}


class Clients(Player):
    """A gateway in zone n with two replicas per message. Stores send 4 heartbeats a second until `silent`."""

    STEP = 0.01

    def __init__(self, depots: str = "d1 d2 d3", most: int = 8) -> None:
        super().__init__()
        self.i, self.leaving, self.statuses = Intake("n", 2, most), dict[str, bool](), list[int]()
        for who in depots.split():
            self.do_up(who)

    def do_up(self, who: str) -> None:
        self.i.depot_up(who, ZONES[who])
        self.leaving[who] = False

    def do_down(self, who: str) -> None:
        self.i.depot_down(who)

    def do_silent(self, who: str) -> None:
        del self.leaving[who]

    def do_leaves(self, who: str) -> None:
        self.leaving[who] = True
        self.i.depot_pulse(who, True)

    def do_sends(self, call: str, text: str) -> None:
        """A client sends a message. `text`: its id, and whether it is parked."""
        mid, *parked = text.split()
        self.i.clock(self.now)
        self.i.offered(call, Letter(mid=mid), bool(parked))

    def hear(self, who: str, kind: str, said) -> None:
        self.i.kept(who, said.mid, said.refused)

    def step(self) -> None:
        self.i.clock(self.now + 1e-5)  # timers fire a little late
        for who, leaving in self.leaving.items() if round(self.now * 100) % 25 == 0 else ():
            self.i.depot_pulse(who, leaving)
        if self.i.next_at() <= self.now:
            self.i.tick()

    def settle(self) -> None:
        sends, answers, accepted = self.i.effects()
        self.sent(sends)
        for call, status, name, _ in answers:
            self.statuses.append(status)
            self.note(f"{status} {name}".strip() + f" to {call}")
        for letter, touched in accepted:
            self.note(f"accepted {letter.mid}, holders {','.join(letter.holders)}, told {','.join(touched)}")


def test_202_only_after_two_stores_have_the_message(snapshot) -> None:
    """A store that confirms twice counts once. A parked message has no owner yet."""
    c = Clients()
    assert (
        c.play("""
        0.10 call1 sends m1; d1 kept mid=m1; d1 kept mid=m1
        0.13 d2 kept mid=m1
        0.20 call2 sends m2 parked; d1 kept mid=m2
        0.22 d2 kept mid=m2; d2 kept mid=m2""")
        == snapshot
    )
    assert c.statuses == [202, 202] and not c.i.pending


def test_one_more_depot_after_a_while_and_holders_as_they_are(snapshot) -> None:
    """One more store is asked after each HEDGE. 504 is final, even if stores confirm later. Stores that
    are not replicas are sent the list of replicas at once: one with a slow disk would otherwise assign the
    message if it is due before the disk has caught up.
    """
    c = Clients()
    assert (
        c.play("""
        0.10 call1 sends m1; d1 kept mid=m1
        0.16 d3 kept mid=m1; d2 kept mid=m1
        0.20 call2 sends m3; d1 kept mid=m3
        0.70 d2 kept mid=m3
        1.00 d2 down; call3 sends m4; d1 kept mid=m4
        1.03 d3 kept mid=m4
        1.10 call4 sends m5
        1.20 d1 kept mid=m5; d4 up
        1.30 d4 kept mid=m5""")
        == snapshot
    )
    assert c.statuses == [202, 504, 202, 202] and not c.i.pending


def test_503_only_if_no_store_was_sent_the_message(snapshot) -> None:
    """Too many messages in progress, or too few stores that are in contact and not shutting down."""
    c = Clients("d1 d2", most=2)
    assert (
        c.play("""
        0.10 call1 sends m1; call2 sends m2; call3 sends m3
        0.15 d1 kept mid=m1; d2 kept mid=m1; call4 sends m4
        0.60 d2 silent
        2.00 call5 sends m5; d2 up; call6 sends m6; d2 leaves; call7 sends m7""")
        == snapshot
    )
    said = {w.letter.mid for _, _, kind, w in c.said if kind == "keep"}
    assert said == {"m1", "m2", "m4", "m6"} and c.statuses == [503, 202, 504, 504, 503, 503]


def test_a_full_store_is_skipped(snapshot) -> None:
    """A store that rejected a message does not have it and is not notified of its outcome. 504 if another
    store may have it.
    """
    c = Clients()
    assert (
        c.play("""
        0.10 call1 sends m1; d1 kept mid=m1 refused; d2 kept mid=m1; d3 kept mid=m1
        0.20 d3 down; call2 sends m2; d1 kept mid=m2 refused; d2 kept mid=m2
        0.30 call3 sends m3; d1 kept mid=m3 refused; d2 kept mid=m3 refused""")
        == snapshot
    )
    assert c.statuses == [202, 504, 503]


def test_a_timer_at_the_moment_of_the_time_out_terminates() -> None:
    """Rounding of the clock must not make the timer repeat without end at the moment of the time-out."""
    start = next(n / 10 for n in range(1, 99) if n / 10 + GIVE_UP - n / 10 < GIVE_UP)
    c, calls, ranked = Clients(), iter(range(99)), Intake.ranked
    c.i.ranked = lambda mid, _="": ranked(c.i, mid) if next(calls) < 98 else pytest.fail("endless loop")
    c.play(f"{start} call1 sends m1")
    c.i.clock(start + GIVE_UP)
    c.i.tick()


def test_a_late_store_is_sent_the_list_of_replicas() -> None:
    c = Clients()
    c.play("0.10 call1 sends m1; d1 kept mid=m1\n0.16 d3 kept mid=m1; d2 kept mid=m1")
    assert {node for _, node in c.got("holders")} == {"d1", "d2", "d3"}


def test_messages_are_distributed_over_zones_and_stores() -> None:
    """First replica in the own zone, second elsewhere; silent and leaving stores are skipped."""
    c = Clients("d1 d2 d3 d4 d5", most=1000)
    letters = [Letter(mid=f"m{n}") for n in range(400)]
    for letter in letters:
        c.i.offered("call", letter, False)
    firsts, seconds = (Counter(letter.holders[n] for letter in letters) for n in (0, 1))
    assert set(firsts) == {"d1", "d4"} and set(seconds) == {"d2", "d3", "d5"}
    assert min(firsts.values()) > 150 and min(seconds.values()) > 80
    c.do_leaves("d1")
    c.do_silent("d3")
    c.until(1.1)
    assert next(d.node for d in c.i.ranked("m1")) == "d4" and {d.node for d in c.i.eligible()} == {
        "d2",
        "d4",
        "d5",
    }


def test_a_store_with_a_slow_disk_is_used_last() -> None:
    """It is still used, since the other stores may be unavailable."""
    i = Clients("d1 d2 d3").i
    i.depot_pulse("d1", False, SLOW_DISK_DELAY)
    assert [d.node for d in i.ranked("m1")][2] == "d1"
    i.depot_pulse("d1", False, 0.0)
    assert next(d.node for d in i.ranked("m1")) == "d1"
