"""A counter's intake, played from traces: which depots are asked, and when a client gets which answer."""

from __future__ import annotations

from collections import Counter

import pytest
from post_helper import Player

from opalwick.post.counter.intake import BEHIND, GIVE_UP, Intake
from opalwick.post.wire_pb2 import Letter

ZONES = {"d1": "n", "d2": "s", "d3": "w", "d4": "n", "d5": "s"}


def test_copies_cross_zones_only_where_zones_may_be_lost() -> None:
    """All near ones, then one of each other zone, then the rest."""
    c = Clients("d1 d2 d3 d4 d5")
    assert {"".join(ZONES[d.node] for d in c.i.ranked(f"m{n}"))[:3] for n in range(9)} <= {"nsw", "nws"}
    c.i.spread = False
    assert {tuple(ZONES[d.node] for d in c.i.ranked(f"m{n}"))[:2] for n in range(9)} == {("n", "n")}
    assert {ZONES[d.node] for d in c.i.ranked("m1")[2:4]} == {"s", "w"}


class Clients(Player):
    """A counter in zone n with an intake of two copies. Depots pulse four times a second until `silent`."""

    STEP = 0.01

    def __init__(self, depots: str = "d1 d2 d3", most: int = 8) -> None:
        super().__init__()
        self.i, self.leaving, self.told = Intake("n", 2, most), dict[str, bool](), list[int]()
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
        """A client: a message, and whether it is parked."""
        mid, *parked = text.split()
        self.i.clock(self.now)
        self.i.offered(call, Letter(mid=mid), bool(parked))

    def hear(self, who: str, kind: str, said) -> None:
        self.i.kept(who, said.mid, said.refused)

    def step(self) -> None:
        self.i.clock(self.now + 1e-5)  # a wake comes a little late
        for who, leaving in self.leaving.items() if round(self.now * 100) % 25 == 0 else ():
            self.i.depot_pulse(who, leaving)
        if self.i.next_at() <= self.now:
            self.i.tick()

    def settle(self) -> None:
        sends, told, accepted = self.i.effects()
        self.sent(sends)
        for call, status, name, _ in told:
            self.told.append(status)
            self.note(f"{status} {name}".strip() + f" to {call}")
        for letter, touched in accepted:
            self.note(f"accepted {letter.mid}, holders {','.join(letter.holders)}, told {','.join(touched)}")


def test_202_only_once_two_have_it(snapshot) -> None:
    """Who says so twice counts once; what is parked is no counter's yet."""
    c = Clients()
    assert (
        c.play("""
        0.10 call1 sends m1; d1 kept mid=m1; d1 kept mid=m1
        0.13 d2 kept mid=m1
        0.20 call2 sends m2 parked; d1 kept mid=m2
        0.22 d2 kept mid=m2; d2 kept mid=m2""")
        == snapshot
    )
    assert c.told == [202, 202] and not c.i.waits


def test_one_more_depot_after_a_while_and_holders_as_they_are(snapshot) -> None:
    """After HEDGE, and again; 504 when nobody knows, which late words do not undo. Who does not keep it knows
    at once: where it is due before that disk has caught up it would be assigned from there.
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
    assert c.told == [202, 504, 202, 202] and not c.i.waits


def test_503_only_where_nothing_was_said_to_a_depot(snapshot) -> None:
    """Too many under way; too few depots that are heard, and stay."""
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
    assert said == {"m1", "m2", "m4", "m6"} and c.told == [503, 202, 504, 504, 503, 503]


def test_a_full_depot_is_passed_over(snapshot) -> None:
    """Whoever refused never had it and is told no end. 504 where another may have it."""
    c = Clients()
    assert (
        c.play("""
        0.10 call1 sends m1; d1 kept mid=m1 refused; d2 kept mid=m1; d3 kept mid=m1
        0.20 d3 down; call2 sends m2; d1 kept mid=m2 refused; d2 kept mid=m2
        0.30 call3 sends m3; d1 kept mid=m3 refused; d2 kept mid=m3 refused""")
        == snapshot
    )
    assert c.told == [202, 504, 503]


def test_a_look_at_the_very_moment_of_giving_up_ends() -> None:
    """As a lab's clock has it, or by bad luck a real one."""
    began = next(n / 10 for n in range(1, 99) if n / 10 + GIVE_UP - n / 10 < GIVE_UP)
    c, looks, order = Clients(), iter(range(99)), Intake.ranked
    c.i.ranked = lambda mid, _="": order(c.i, mid) if next(looks) < 98 else pytest.fail("endless loop")
    c.play(f"{began} call1 sends m1")
    c.i.clock(began + GIVE_UP)
    c.i.tick()


def test_a_late_depot_learns_who_holds_what_it_was_asked_for() -> None:
    c = Clients()
    c.play("0.10 call1 sends m1; d1 kept mid=m1\n0.16 d3 kept mid=m1; d2 kept mid=m1")
    assert {node for _, node in c.got("holders")} == {"d1", "d2", "d3"}


def test_messages_spread_over_zones_and_over_the_depots_of_a_zone() -> None:
    """The first holder is near, the second elsewhere; silent and leaving ones are passed over."""
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
    assert next(d.node for d in c.i.ranked("m1")) == "d4" and {d.node for d in c.i.able()} == {
        "d2",
        "d4",
        "d5",
    }


def test_a_depot_whose_disk_is_slow_is_asked_last() -> None:
    """Not left out: with two others away it is all there is."""
    i = Clients("d1 d2 d3").i
    i.depot_pulse("d1", False, BEHIND)
    assert [d.node for d in i.ranked("m1")][2] == "d1"
    i.depot_pulse("d1", False, 0.0)
    assert next(d.node for d in i.ranked("m1")) == "d1"
