"""A depot's keeping, played from traces: what it keeps, whom it assigns, what it says and when."""

from __future__ import annotations

import pytest
from post_helper import Player, client_message, peer_message

from opalwick.post.depot.keeping import LAPSE, STILL, Keeping
from opalwick.post.depot.records import Fetch, Write
from opalwick.post.wire_pb2 import Hand, Keep, Letter, Pulse

STATES = ["unknown", "pending", "complete", "dead", "unsure"]
READY = "0.00 c1 up 7 n; c2 up 8 n; d2 up; d2 differ last"


class Depot(Player):
    """d1 in zone n. Others pulse four times a second from `up` on; the disk has what was synced."""

    def __init__(self, script: str = "", room: float = 1e9) -> None:
        super().__init__()
        self.k, self.pulses, self.stalled = Keeping("d1", "n", 0.0, 120.0, room), dict[str, Pulse](), False
        self.queue: list[Write | Fetch] = []
        self.letters, self.ends = dict[str, tuple](), dict[str, tuple]()
        self.play(script)
        self.lines.clear()

    def do_up(self, who: str, life_zone: str = "") -> None:
        if who[0] == "c":
            life, zone = life_zone.split()
            self.k.counter_up(who, int(life), zone)
        else:
            self.k.depot_up(who)
        self.do_pulses(who, "ready settled")

    def do_pulses(self, who: str, text: str) -> None:
        """It says this with each pulse from now on."""
        self.pulses[who] = peer_message("pulse", text)
        self.pulse(who)

    def do_silent(self, who: str) -> None:
        del self.pulses[who]

    def do_down(self, depot: str) -> None:
        self.pulses.pop(depot, None)
        self.k.depot_down(depot)

    def do_keep(self, who: str, text: str) -> None:
        parked = " parked" in text
        self.k.keep(who, Keep(letter=client_message(text.replace(" parked", "")), parked=parked))

    def do_hand(self, who: str, text: str) -> None:
        self.k.hand(who, Hand(letters=[client_message(one) for one in text.split(" and ")]))

    def do_disk(self, me: str, what: str) -> None:
        self.stalled = what == "stalls"

    def do_leaves(self, me: str) -> None:
        self.k.leaving = True

    def do_restarts(self, me: str) -> None:
        self.k, self.queue, self.pulses = Keeping("d1", "n", self.now, 120.0), [], {}
        for end in self.ends.values():
            self.k.loaded_end(*end)
        for mid, octets, *rest in self.letters.values():
            if mid not in self.ends:
                self.k.loaded(mid, tuple(Letter.FromString(octets).holders), *rest, len(octets))

    def do_asks(self, who: str, mids: str) -> None:
        told = [(mid, self.k.state(mid)) for mid in mids.split()]
        self.note(", ".join(f"{mid} {STATES[one.state]} {one.seal}".strip() for mid, one in told))

    def hear(self, who: str, kind: str, said) -> None:
        getattr(self.k, kind)(who, said)

    def pulse(self, who: str) -> None:
        """Who pulses has heard all that was said to it."""
        self.pulses[who].echo = self.now
        (self.k.counter_pulse if who[0] == "c" else self.k.depot_pulse)(who, self.pulses[who])

    def step(self) -> None:
        self.k.clock(self.now)
        for who in self.pulses if round(self.now * 20) % 5 == 0 else ():
            self.pulse(who)
        self.k.tick()

    def settle(self) -> None:
        writes, sends, fetches = self.k.effects()
        self.sent(sends)
        for kind, fields, _ in writes:
            if kind != "none":
                shown = (f"{x:g}" if type(x) is float else str(x) for x in fields if type(x) is not bytes)
                self.note(f"write {kind} {' '.join(shown)}")
        self.queue += [*writes, *fetches]
        if not self.stalled:
            batch, self.queue = self.queue, []
            self.k.synced([one for one in batch if isinstance(one, Write)])
            for one in batch:
                if isinstance(one, Write):
                    self.write(*one[:2])
                    self.sent(list(one.then))
                else:
                    row = self.letters.get(one.mid)
                    self.k.fetched(*one, None if row is None else Letter.FromString(row[1]))
            self.sent(self.k.effects()[1])

    def write(self, kind: str, fields: tuple) -> None:
        known = self.letters
        if kind == "keep":
            known.setdefault(fields[0], fields)
        elif kind == "tried" and (row := known.get(fields[0])):
            known[fields[0]] = (*row[:2], fields[1], row[3], *fields[2:])
        elif kind == "end":
            self.ends.setdefault(fields[0], fields)
            known.pop(fields[0] if fields[1] else "", None)
        elif kind in ("forget", "drop"):
            self.ends.pop(fields[0], None)
            known.pop(fields[0], None)


def test_kept_and_ended_are_said_only_once_written(snapshot) -> None:
    """A duplicate waits for the first's write; the first end stands; a crash loses what was not synced."""
    d = Depot()
    assert (
        d.play("""
        0.10 d1 disk stalls; c1 keep m1
        0.15 c1 keep m1
        0.20 c1 end mid=m1 complete seal=s1
        0.25 c2 end mid=m1
        0.40 d1 disk goes
        0.50 c2 keep m1; c1 keep m2; c1 tried mid=m2 fails=2 lost=1; d1 disk stalls; c1 keep m3
        0.60 d1 restarts; d1 disk goes; c1 asks m1 m2 m3
        2.20 c1 asks m3""")
        == snapshot
    )
    assert d.got("kept", "m1") == [(0.4, "c1"), (0.4, "c1"), (0.5, "c2")] and not d.got("kept", "m3")
    assert d.got("ended") == [(0.4, "c1"), (0.4, "c2")] and d.k.entries["m2"].fails == 2


def test_an_asker_is_told_an_end_only_once_it_is_written() -> None:
    d = Depot("0.10 c1 keep m1\n0.20 d1 disk stalls; c1 end mid=m1 complete seal=s1")
    assert STATES[d.k.state("m1").state] == "pending"


def test_a_lapsed_counters_messages_are_assigned_anew(snapshot) -> None:
    """With a greater number, after LAPSE, and not while another depot hears it; its late words are fenced."""
    d = Depot(READY)
    assert (
        d.play("""
        2.00 c1 keep m1; c1 keep m2; d2 pulses settled edges=c1/7:0.1
        2.05 c1 silent
        5.00 d2 pulses settled edges=c1/7:1.9
        5.10 d2 pulses settled
        5.40 c2 mine mids=m1,m2 claims=2,2
        5.60 c1 park mid=m1 due=0; c1 mine mids=m1 claims=0; c1 tried mid=m1 fails=1
        5.70 c1 end mid=m1 complete seal=s1; c2 mine mids=m1 claims=2
        5.80 c1 up 7 n; c1 mine mids=m1,m2 claims=0,0 whole number=4
        6.00 c1 asks m2""")
        == snapshot
    )
    [(at, who)] = d.got("assign", "m1")
    assert 5.0 < at < 5.2 + LAPSE and who == "c2" and list(d.said[-1][3].gone) == ["m2"]


@pytest.mark.parametrize("held, other", [("c1", "c2"), ("c2", "c1")])
def test_who_delivers_and_is_heard_stays_whatever_number_another_was_given(held: str, other: str) -> None:
    """d2, which does not hear this one, gave it to the other: that one is told, and begins nothing."""
    d = Depot(READY)
    d.k.counters["c1"].given = int(held == "c2")
    d.play(f"2.00 c1 keep m1 parked; {held} mine mids=m1 claims=1\n2.10 {other} mine mids=m1 claims=2 ask")
    assert d.k.entries["m1"].owner.startswith(held + "/")
    told = [(node, list(w.gone), list(w.agreed)) for _, node, kind, w in d.said if kind == "checked"]
    assert told == [(other, ["m1"], [])]
    d.play(f"2.20 {held} silent\n4.40 {other} mine mids=m1 claims=3 ask")
    assert d.k.entries["m1"].owner.startswith(other + "/")
    assert [list(w.agreed) for _, node, kind, w in d.said if kind == "checked"][-1] == ["m1"]


def test_a_depot_that_is_asked_agrees_to_what_has_no_end_and_no_other_deliverer() -> None:
    d = Depot(READY)
    d.play("2.00 c1 keep m1; c1 keep m2; c1 keep m3 due=5 parked; c1 end mid=m2 complete seal=s")
    d.play("2.10 c2 mine mids=m1,m2,m3,m4 claims=1,1,1,1 ask")
    told = [(node, list(w.gone), list(w.agreed)) for _, node, kind, w in d.said if kind == "checked"]
    assert told == [("c2", ["m1"], ["m3", "m4"])]  # m4 is not known here: another may have it
    assert (2.1, "c2") in d.got("end")


def test_who_delivers_learns_that_another_has_succeeded() -> None:
    """Else it would try again after a failure of its own."""
    d = Depot(f"{READY}\n2.00 c1 keep m1; c1 keep m2\n2.10 c2 end mid=m1 complete seal=s1; c1 end mid=m2")
    # and the other depot that keeps it, which c2 may not know or not reach
    assert d.got("end") == [(2.1, "c1"), (2.1, "d2")] and d.got("ended") == [(2.1, "c2"), (2.1, "c1")]


def test_what_a_counter_let_go_is_assigned_anew() -> None:
    """It says so where another depot took it away; or that word was lost, and a whole list lacks it."""
    d = Depot(READY)
    d.play("""
        2.00 c1 keep m1; c1 keep m2; c1 keep m3; c1 keep m4 due=1 parked
        2.10 c1 refuse mid=m1 claim=0; c2 refuse mid=m2 claim=0
        2.90 c1 mine mids=m2 claims=0; c2 silent
        2.96 c1 mine mids=m2 claims=0 whole number=4
        3.10 c1 pulses ready""")
    assert d.got("assign", "m1") and d.got("assign", "m3") and not d.got("assign", "m2")
    assert len(d.got("assign", "m4")) == 1  # it may not have come there yet


def test_who_was_silent_is_told_what_is_its_own_once_the_others_know_that_it_is_heard() -> None:
    """c1 comes back, to d1 alone, as d2 takes its message away and has c2 deliver it. Found by `verify`."""
    d = Depot(READY + "\n2.00 c1 keep m1 holders=d2,d1\n2.05 c1 silent")
    d.play("3.90 c1 pulses ready; c1 mine mids=m1 claims=0 whole number=3\n3.95 d2 park mid=m1 claim=1")
    assert "checked" not in [kind for _, _, kind, _ in d.said]
    d.play("4.05 c1 asks m1")
    [(at, node, said)] = [(at, node, said) for at, node, kind, said in d.said if kind == "checked"]
    assert (at, node, list(said.gone), said.number) == (4.0, "c1", ["m1"], 3)
    d.play("4.10 c2 mine mids=m1 claims=2")
    assert d.k.entries["m1"].owner == "c2/8"


def test_a_newer_life_frees_at_once(snapshot) -> None:
    d = Depot(READY)
    assert d.play("2.00 c1 keep m1\n2.10 c1 up 6 n\n2.20 c1 up 9 n\n2.30 c1 asks m1") == snapshot
    assert d.got("assign")[0][0] <= 2.25


def test_parked_messages_are_assigned_when_due_and_again_until_acknowledged(snapshot) -> None:
    """To near counters that are ready, in turn, and again to the same. What one refused goes to another."""
    d = Depot(READY)
    assert (
        d.play("""
        0.10 c3 up 5 s
        2.00 c1 keep m1 due=1 parked; c1 keep m2 due=1 parked; c1 keep m3 due=2 parked
        3.20 c2 refuse mid=m2 claim=1
        3.50 c1 mine mids=m2 claims=2
        3.90 c2 pulses ready leaving; c1 pulses leaving
        4.20 c3 mine mids=m3 claims=1; c1 mine mids=m1 claims=1
        4.50 c1 park mid=m1 claim=1 due=0.2 fails=1
        5.20 c3 mine mids=m1 claims=2""")
        == snapshot
    )
    assert d.got("assign", "m1") == [(2.95, "c1"), (3.6, "c1"), (4.2, "c1"), (4.65, "c3")]
    assert d.got("assign", "m2") == [(2.95, "c2"), (3.35, "c1")] and d.got("assign", "m3") == [(3.95, "c3")]


def test_the_first_holder_that_is_there_assigns(snapshot) -> None:
    """d2 comes before this one, and does not act while it is silent, not settled, leaving or no holder."""
    d = Depot(READY)
    assert (
        d.play("""
        2.00 c1 keep m1 holders=d2,d1 parked
        3.00 d2 silent
        4.60 c1 mine mids=m1 claims=1
        5.00 d2 pulses settled; c1 keep m2 holders=d2,d1 parked
        6.00 d2 pulses settled leaving
        6.40 c2 mine mids=m2 claims=1
        7.00 d2 pulses settled; c1 keep m3 holders=d2,d1 parked; c1 keep m4 holders=d2,d1 parked
        7.40 c1 holders mid=m4 holders=d1,d3
        7.70 c1 mine mids=m4 claims=1
        8.00 d2 down
        8.40 c2 mine mids=m3 claims=1""")
        == snapshot
    )
    firsts = [d.got("assign", mid)[0][0] for mid in ("m1", "m2", "m4", "m3")]
    assert all(since < at <= since + 0.3 for at, since in zip(firsts, (4.2, 6.0, 7.4, 8.0)))


def test_depots_bring_each_other_ends_and_copies(snapshot) -> None:
    d = Depot(READY)
    assert (
        d.play("""
        0.50 c1 keep m1; c1 keep m2; c1 keep m3 holders=d1,d3; c1 end mid=m4 complete seal=s4
        0.60 d2 down
        0.70 d2 up
        0.80 d2 differ ends=(mid=m1 complete seal=s1) lack=m2,m9 last
        0.90 d2 have pending=m1,m4,m5 last
        1.00 d2 hand m5 until=60 claim=3 and m4
        1.10 d2 have pending=m5 last; c2 mine mids=m5,m4 claims=3,0""")
        == snapshot
    )
    assert set(d.k.entries) == {"m2", "m3", "m5"} and d.k.entries["m5"].claim == 3


def test_it_assigns_nothing_until_it_has_caught_up(snapshot) -> None:
    """What it has from before waits for its counters, for d2's answer, or three seconds at most."""
    d = Depot(READY)
    assert (
        d.play("""
        0.10 c1 keep m1; c1 keep m2
        1.00 d1 restarts
        1.30 c1 up 7 n; c1 mine mids=m1 claims=0 whole; d2 up
        3.50 c1 asks m9
        4.05 c1 asks m9; c1 mine mids=m2 claims=1""")
        == snapshot
    )
    assert d.got("assign") == [(4.0, "c1")]


def test_one_that_leaves_takes_nothing_new_and_assigns_nothing() -> None:
    d = Depot(f"""{READY}
        2.00 c1 keep m1 due=1 parked
        2.10 d1 leaves; c1 keep m2; c1 keep m1 due=1 parked; c1 end mid=m3 complete seal=s3
        5.00 c1 asks m2""")
    assert d.got("kept") == [(2.0, "c1"), (2.1, "c1")] and d.got("ended") and not d.got("assign")
    assert set(d.k.entries) == {"m1"}


def test_retention_room_and_how_long_an_end_is_told(snapshot) -> None:
    """An end outlives every copy. A complete message makes room at once, a dead one once it is forgotten."""
    d = Depot(room=60.0)
    d.STEP = 0.25
    assert (
        d.play("""
        0.50 c1 keep m1 until=3 parked; c1 keep m2; c1 keep m3; c1 keep m1
        1.00 c1 end mid=m2 complete seal=s2; c1 keep m4 until=9
        4.00 c1 asks m1 m2; c1 end mid=m1 complete seal=s1; c1 keep m5
        123.00 c1 asks m1 m2
        124.00 c1 asks m1 m2; c1 keep m6 until=1
        209.00 c1 asks m1 m2
        246.00 c1 asks m2""")
        == snapshot
    )
    assert {w.mid for _, _, kind, w in d.said if kind == "kept" and w.refused} == {"m3", "m5"}
    assert d.k.ends == {} == d.ends and d.letters == {} and d.k.held == 0


def test_a_standstill_of_its_own_is_not_taken_for_the_others_silence() -> None:
    d = Depot(f"{READY}\n2.00 c1 keep m1")
    d.now = 6.0
    d.step()
    d.settle()
    assert d.k.entries["m1"].owner == "c1/7" and not d.got("assign")


def test_one_that_stood_still_asks_what_has_ended_before_it_assigns() -> None:
    """Its links may have ended with the words that lay there, before they were read."""
    d = Depot(f"{READY}\n2.00 c1 keep m1 due=1 parked; c1 keep m2 due=1 parked")
    d.now = 6.0
    d.step()
    d.settle()
    d.play("6.10 d2 down\n6.30 d2 up\n6.35 d2 differ ends=(mid=m1 complete seal=s1) last\n8.00 c1 up 7 n")
    assert not d.got("assign", "m1") and d.got("assign", "m2")[0][0] >= 6.35


def test_a_slowed_depot_lets_a_dead_counter_lapse() -> None:
    """Other depots, too, are told each time that it has just heard that counter."""
    d = Depot(f"{READY}\n2.00 c1 keep m1; c1 silent")
    d.STEP = STILL + 0.1
    d.until(20.0)
    assert d.k.entries["m1"].owner != "c1/7" and not d.k.deaf
    d.k.peers_ask["d2"] = ["c1/7"]
    assert d.k.hears("d2").get("c1/7", 9.0) > LAPSE


def test_a_counter_that_others_hear_is_asked_for_before_it_lapses() -> None:
    """Depots tell only whom another asks for, so one that has stood still asks before it judges."""
    d = Depot(f"{READY}\n2.00 c1 keep m1; c1 silent\n2.60 d2 pulses settled")
    assert list(d.k.deaf) == ["c1/7"]
    d.k.deaf.clear()
    d.now += 3.0
    d.until(d.now + 0.5)
    assert list(d.k.deaf) == ["c1/7"] and d.k.entries["m1"].owner == "c1/7"
    d.play(f"{d.now + 0.1} d2 pulses settled edges=c1/7:0.1")
    d.until(d.now + 4.0)
    assert d.k.entries["m1"].owner == "c1/7"
    d.do_pulses("d2", "settled")  # it hears it no more
    d.until(d.now + 2.1)
    assert d.k.entries["m1"].owner != "c1/7" and not d.k.deaf
