"""A store's state machine, played from traces: what it stores, which gateway it assigns messages to, and what
it sends when.
"""

from __future__ import annotations

import pytest
from post_helper import Player, client_message, peer_message

from opalwick.post.store.gateway_leases import LAPSE
from opalwick.post.store.message_store import STALL, MessageStore
from opalwick.post.store.records import Fetch, Write
from opalwick.post.wire_pb2 import Hand, Keep, Letter, Pulse

STATES = ["unknown", "pending", "complete", "dead", "unsure"]
READY = "0.00 c1 up 7 n; c2 up 8 n; d2 up; d2 differ last"


class Store(Player):
    """The store d1 in zone n. Others send a heartbeat four times a second from `up` on; the disk has what was
    synced.
    """

    def __init__(self, script: str = "", room: float = 1e9) -> None:
        super().__init__()
        self.k, self.pulses, self.stalled = (
            MessageStore("d1", "n", 0.0, 120.0, room),
            dict[str, Pulse](),
            False,
        )
        self.queue: list[Write | Fetch] = []
        self.letters, self.ends = dict[str, tuple](), dict[str, tuple]()
        self.play(script)
        self.lines.clear()

    def do_up(self, node: str, process_zone: str = "") -> None:
        if node[0] == "c":
            process, zone = process_zone.split()
            self.k.counter_up(node, int(process), zone)
        else:
            self.k.depot_up(node)
        self.do_pulses(node, "ready settled")

    def do_pulses(self, node: str, text: str) -> None:
        """It sends this with each heartbeat from now on."""
        self.pulses[node] = peer_message("pulse", text)
        self.pulse(node)

    def do_silent(self, node: str) -> None:
        del self.pulses[node]

    def do_down(self, node: str) -> None:
        self.pulses.pop(node, None)
        self.k.depot_down(node)

    def do_keep(self, node: str, text: str) -> None:
        parked = " parked" in text
        self.k.keep(node, Keep(letter=client_message(text.replace(" parked", "")), parked=parked))

    def do_hand(self, node: str, text: str) -> None:
        self.k.hand(node, Hand(letters=[client_message(one) for one in text.split(" and ")]))

    def do_disk(self, me: str, what: str) -> None:
        self.stalled = what == "stalls"

    def do_leaves(self, me: str) -> None:
        self.k.leaving = True

    def do_restarts(self, me: str) -> None:
        self.k, self.queue, self.pulses = MessageStore("d1", "n", self.now, 120.0), [], {}
        for end in self.ends.values():
            self.k.loaded_end(*end)
        for mid, data, *rest in self.letters.values():
            if mid not in self.ends:
                self.k.loaded(mid, tuple(Letter.FromString(data).holders), *rest, len(data))

    def do_asks(self, node: str, mids: str) -> None:
        states = [(mid, self.k.state(mid)) for mid in mids.split()]
        self.note(", ".join(f"{mid} {STATES[one.state]} {one.seal}".strip() for mid, one in states))

    def hear(self, node: str, kind: str, msg) -> None:
        getattr(self.k, kind)(node, msg)

    def pulse(self, node: str) -> None:
        """A node that sends a heartbeat has received all that was sent to it."""
        self.pulses[node].echo = self.now
        (self.k.counter_pulse if node[0] == "c" else self.k.depot_pulse)(node, self.pulses[node])

    def step(self) -> None:
        self.k.clock(self.now)
        for node in self.pulses if round(self.now * 20) % 5 == 0 else ():
            self.pulse(node)
        self.k.tick()

    def settle(self) -> None:
        writes, sends, fetches = self.k.effects()
        self.sent(sends)
        for kind, fields, _ in writes:
            if kind != "none":
                values = (f"{x:g}" if type(x) is float else str(x) for x in fields if type(x) is not bytes)
                self.note(f"write {kind} {' '.join(values)}")
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
        rows = self.letters
        if kind == "keep":
            rows.setdefault(fields[0], fields)
        elif kind == "tried" and (row := rows.get(fields[0])):
            rows[fields[0]] = (*row[:2], fields[1], row[3], *fields[2:])
        elif kind == "end":
            self.ends.setdefault(fields[0], fields)
            rows.pop(fields[0] if fields[1] else "", None)
        elif kind in ("forget", "drop"):
            self.ends.pop(fields[0], None)
            rows.pop(fields[0], None)


def test_kept_and_ended_are_sent_only_once_written(snapshot) -> None:
    """A duplicate is confirmed after the first's write; the first end counts; a crash loses what was not
    synced.
    """
    d = Store()
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


def test_an_end_is_reported_only_once_it_is_written() -> None:
    d = Store("0.10 c1 keep m1\n0.20 d1 disk stalls; c1 end mid=m1 complete seal=s1")
    assert STATES[d.k.state("m1").state] == "pending"


def test_messages_of_an_expired_gateway_are_assigned_again(snapshot) -> None:
    """With a greater claim, after LAPSE, and not while another store receives its heartbeats; its late
    reports are rejected.
    """
    d = Store(READY)
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
    [(at, node)] = d.got("assign", "m1")
    assert 5.0 < at < 5.2 + LAPSE and node == "c2" and list(d.said[-1][3].gone) == ["m2"]


@pytest.mark.parametrize("held, other", [("c1", "c2"), ("c2", "c1")])
def test_a_live_owner_keeps_its_message_whatever_claim_another_was_given(held: str, other: str) -> None:
    """d2, which has no link to this store, assigned it to the other gateway: that one is informed, and begins
    no attempt.
    """
    d = Store(READY)
    d.k.gateways["c1"].assigned = int(held == "c2")
    d.play(f"2.00 c1 keep m1 parked; {held} mine mids=m1 claims=1\n2.10 {other} mine mids=m1 claims=2 ask")
    assert d.k.entries["m1"].owner.startswith(held + "/")
    answers = [(node, list(msg.gone), list(msg.agreed)) for _, node, kind, msg in d.said if kind == "checked"]
    assert answers == [(other, ["m1"], [])]
    d.play(f"2.20 {held} silent\n4.40 {other} mine mids=m1 claims=3 ask")
    assert d.k.entries["m1"].owner.startswith(other + "/")
    assert [list(msg.agreed) for _, node, kind, msg in d.said if kind == "checked"][-1] == ["m1"]


def test_a_store_agrees_to_what_has_no_end_and_no_other_owner() -> None:
    d = Store(READY)
    d.play("2.00 c1 keep m1; c1 keep m2; c1 keep m3 due=5 parked; c1 end mid=m2 complete seal=s")
    d.play("2.10 c2 mine mids=m1,m2,m3,m4 claims=1,1,1,1 ask")
    answers = [(node, list(msg.gone), list(msg.agreed)) for _, node, kind, msg in d.said if kind == "checked"]
    assert answers == [("c2", ["m1"], ["m3", "m4"])]  # m4 is not on this store: another may have it
    assert (2.1, "c2") in d.got("end")


def test_who_delivers_learns_that_another_has_succeeded() -> None:
    """Otherwise it would try again after a failed attempt of its own."""
    d = Store(f"{READY}\n2.00 c1 keep m1; c1 keep m2\n2.10 c2 end mid=m1 complete seal=s1; c1 end mid=m2")
    # and to the other replica, which c2 may lack or have no link to
    assert d.got("end") == [(2.1, "c1"), (2.1, "d2")] and d.got("ended") == [(2.1, "c2"), (2.1, "c1")]


def test_what_a_counter_let_go_is_assigned_anew() -> None:
    """It reports so if another store took a message away; or that report was lost, and a whole list lacks the
    message.
    """
    d = Store(READY)
    d.play("""
        2.00 c1 keep m1; c1 keep m2; c1 keep m3; c1 keep m4 due=1 parked
        2.10 c1 refuse mid=m1 claim=0; c2 refuse mid=m2 claim=0
        2.90 c1 mine mids=m2 claims=0; c2 silent
        2.96 c1 mine mids=m2 claims=0 whole number=4
        3.10 c1 pulses ready""")
    assert d.got("assign", "m1") and d.got("assign", "m3") and not d.got("assign", "m2")
    assert len(d.got("assign", "m4")) == 1  # the assignment may still be in transit


def test_who_was_silent_is_told_what_is_its_own_once_the_others_know_that_it_is_heard() -> None:
    """Guards against two owners of one message: c1 gets in touch again with d1 alone, while d2 frees its
    message and has c2 deliver it.
    """
    d = Store(READY + "\n2.00 c1 keep m1 holders=d2,d1\n2.05 c1 silent")
    d.play("3.90 c1 pulses ready; c1 mine mids=m1 claims=0 whole number=3\n3.95 d2 park mid=m1 claim=1")
    assert "checked" not in [kind for _, _, kind, _ in d.said]
    d.play("4.05 c1 asks m1")
    [(at, node, msg)] = [(at, node, msg) for at, node, kind, msg in d.said if kind == "checked"]
    assert (at, node, list(msg.gone), msg.number) == (4.0, "c1", ["m1"], 3)
    d.play("4.10 c2 mine mids=m1 claims=2")
    assert d.k.entries["m1"].owner == "c2/8"


def test_a_newer_process_of_a_gateway_frees_at_once(snapshot) -> None:
    d = Store(READY)
    assert d.play("2.00 c1 keep m1\n2.10 c1 up 6 n\n2.20 c1 up 9 n\n2.30 c1 asks m1") == snapshot
    assert d.got("assign")[0][0] <= 2.25


def test_parked_messages_are_assigned_when_due_and_again_until_acknowledged(snapshot) -> None:
    """To gateways of the store's zone that are ready, in turn, and sent again to the same one. A rejected
    message goes to another.
    """
    d = Store(READY)
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


def test_the_first_available_replica_assigns(snapshot) -> None:
    """d2 comes before this store, and does not act while it is silent, not settled, leaving or no replica."""
    d = Store(READY)
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


def test_stores_exchange_ends_and_replicas(snapshot) -> None:
    d = Store(READY)
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
    """Messages from before the restart wait for the gateways and for d2's answer, three seconds at most."""
    d = Store(READY)
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


def test_a_store_that_shuts_down_accepts_and_assigns_nothing() -> None:
    d = Store(f"""{READY}
        2.00 c1 keep m1 due=1 parked
        2.10 d1 leaves; c1 keep m2; c1 keep m1 due=1 parked; c1 end mid=m3 complete seal=s3
        5.00 c1 asks m2""")
    assert d.got("kept") == [(2.0, "c1"), (2.1, "c1")] and d.got("ended") and not d.got("assign")
    assert set(d.k.entries) == {"m1"}


def test_retention_capacity_and_how_long_an_end_is_reported(snapshot) -> None:
    """The record of an end outlives every replica. A complete message frees its space at once, a dead one
    once its record expires.
    """
    d = Store(room=60.0)
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
    assert {msg.mid for _, _, kind, msg in d.said if kind == "kept" and msg.refused} == {"m3", "m5"}
    assert d.k.ends == {} == d.ends and d.letters == {} and d.k.stored_bytes == 0


def test_a_stall_is_not_taken_for_the_others_silence() -> None:
    d = Store(f"{READY}\n2.00 c1 keep m1")
    d.now = 6.0
    d.step()
    d.settle()
    assert d.k.entries["m1"].owner == "c1/7" and not d.got("assign")


def test_one_that_stood_still_asks_what_has_ended_before_it_assigns() -> None:
    """Its links may have ended with unread peer messages, so ends may have been lost."""
    d = Store(f"{READY}\n2.00 c1 keep m1 due=1 parked; c1 keep m2 due=1 parked")
    d.now = 6.0
    d.step()
    d.settle()
    d.play("6.10 d2 down\n6.30 d2 up\n6.35 d2 differ ends=(mid=m1 complete seal=s1) last\n8.00 c1 up 7 n")
    assert not d.got("assign", "m1") and d.got("assign", "m2")[0][0] >= 6.35


def test_a_slow_store_lets_the_lease_of_a_dead_gateway_expire() -> None:
    """The time-outs apply at every second tick; the heartbeats that it reports to other stores must not seem
    new either.
    """
    d = Store(f"{READY}\n2.00 c1 keep m1; c1 silent")
    d.STEP = STALL + 0.1
    d.until(20.0)
    assert d.k.entries["m1"].owner != "c1/7" and not d.k.silent_owners
    d.k.peer_queries["d2"] = ["c1/7"]
    assert d.k.reports_for("d2").get("c1/7", 9.0) > LAPSE


def test_other_stores_are_asked_before_the_lease_of_a_gateway_expires() -> None:
    """Stores report only on gateways that another lists, so a store that has stalled lists them before it
    applies time-outs.
    """
    d = Store(f"{READY}\n2.00 c1 keep m1; c1 silent\n2.60 d2 pulses settled")
    assert list(d.k.silent_owners) == ["c1/7"]
    d.k.silent_owners.clear()
    d.now += 3.0
    d.until(d.now + 0.5)
    assert list(d.k.silent_owners) == ["c1/7"] and d.k.entries["m1"].owner == "c1/7"
    d.play(f"{d.now + 0.1} d2 pulses settled edges=c1/7:0.1")
    d.until(d.now + 4.0)
    assert d.k.entries["m1"].owner == "c1/7"
    d.do_pulses("d2", "settled")  # d2 receives no heartbeat of it any more
    d.until(d.now + 2.1)
    assert d.k.entries["m1"].owner != "c1/7" and not d.k.silent_owners
