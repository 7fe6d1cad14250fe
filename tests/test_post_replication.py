"""Replicas of messages and of ends after losses: full again within `sync_s` of the last return, whatever came
before. The cases of the review are described in `docs/incidents/replicas-*.md`.
"""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import post_stores
import pytest
from post_stores import COPIES, STATE_S, SYNC_S, StoreCluster
from post_troubles import Troubles
from test_post_roles import SETTINGS

from opalwick.post.message_state import MessageState
from opalwick.post.settings import parse
from opalwick.post.store.gateway import ASSIGN_WINDOW
from opalwick.post.store.message_store import MessageStore
from opalwick.post.store.role import BODY_WINDOW, StoreRole
from opalwick.post.store.transfers import Target
from opalwick.post.wire_pb2 import (
    Ask,
    Differ,
    End,
    Hand,
    Have,
    Hello,
    Holders,
    Keep,
    Letter,
    Mine,
    Pulse,
    Told,
)

# ---- the placement has a version


def test_a_store_that_missed_a_removal_does_not_have_the_new_replicas_dropped() -> None:
    """It came back with the placements of before, and the stores that had the new replicas deleted them as it
    told them to; once it lost its disk, the messages were gone.
    """
    d = StoreCluster("d1 d2 d3 d4")
    mids = d.keep_many(300)
    d.kill("d1")
    d.retire("d2")
    d.until(d.now + 2.8)
    d.start("d1")
    d.until(d.now + 4.0)
    d.remove("d2")
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)
    d.restart("d1", lose_disk=True)
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)


def test_a_removed_store_leaves_full_replicas_though_another_one_is_down() -> None:
    """A replica on a store that is down does not count: that store may come back without its disk."""
    d = StoreCluster("d1 d2 d3 d4")
    mids = d.keep_many(60)
    d.kill("d1", lose_disk=True)
    d.retire("d2")
    d.until(d.now + 2.0)
    d.remove("d2")
    assert all(d.copies(mid) for mid in mids)
    d.start("d1")
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)


@pytest.mark.parametrize("seed", range(3))
def test_two_stores_removed_at_once_leave_full_replicas(seed: int) -> None:
    """Each moved its replicas to the same third store and told the other one to drop its own."""
    d = StoreCluster("d1 d2 d3 d4 d5", seed)
    mids = d.keep_many(400, 2_000)
    d.retire("d1", "d2")
    d.until(d.now + 6.0)
    d.remove("d1")
    d.remove("d2")
    assert all(len(d.copies(mid)) >= COPIES for mid in mids)
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)


def test_an_older_placement_replaces_no_newer_one_and_deletes_nothing() -> None:
    d = StoreCluster()
    d.keep("m", "d1", "d2")
    store = d.stores["d1"]
    store.holders("d2", Holders(mid="m", holders=["d1", "d3"], placement=4))
    for older in (Holders(mid="m", holders=["d2", "d3"], placement=3), Holders(mid="m", holders=["d2"])):
        store.holders("d3", older)
    store.differ("d3", Differ(drop=["m"]))
    assert store.entries["m"].placement == (("d1", "d3"), 4)


def test_a_replica_is_deleted_only_once_the_listed_stores_have_theirs_on_disk() -> None:
    d = StoreCluster()
    d.keep("m", "d1", "d2")
    d.kill("d3")
    for name in ("d1", "d2"):
        d.stores[name].holders("c1", Holders(mid="m", holders=["d2", "d3"], placement=1))
    d.until(d.now + 3.0)
    assert d.copies("m") == ["d1", "d2"]
    d.start("d3")
    d.until(d.now + 3.0)
    assert d.copies("m") == ["d2", "d3"]


def test_two_stores_that_replaced_each_other_during_a_cut_agree_again() -> None:
    """Neither was in the placement that the other one had made, so they compared nothing, and two sets of
    replicas went on side by side.
    """
    d = cluster_with_two_placements(40)
    for one, other in CUT:
        d.link(one, other)
    d.until(d.now + SYNC_S)
    assert_one_placement(d, 40)


def test_placements_made_during_a_cut_become_one_again_though_all_stores_were_restarted() -> None:
    """What each had to tell the other was known to the processes of before only, and neither was in the
    placement of the other: both replica sets stayed, and each had its message delivered.
    """
    d = cluster_with_two_placements(40)
    names = list(d.stores)
    for name in names:
        d.kill(name)
    for name in names:
        d.start(name)
    d.until(d.now + SYNC_S)
    assert_one_placement(d, 40)


CUT = [(one, other) for one in ("d1", "d4") for other in ("d2", "d3", "d5")]


def cluster_with_two_placements(count: int) -> StoreCluster:
    """Stores whose links of `CUT` are closed, and messages of which each side has its own placement."""
    d = StoreCluster("d1 d2 d3 d4")
    for n in range(count):
        d.keep(f"m{n}", "d1", "d2")
    d.start("d5")
    for one, other in CUT:
        d.unlink(one, other)
    d.until(d.now + 9.0)
    for n in range(count):
        assert len({d.stores[name].entries[f"m{n}"].replicas for name in ("d1", "d2")}) == 2
        assert len(d.copies(f"m{n}")) == 2 * COPIES
    return d


def assert_one_placement(d: StoreCluster, count: int) -> None:
    """Each message has its full replicas, and all of them name the same stores."""
    for n in range(count):
        copies = d.copies(f"m{n}")
        assert len(copies) == COPIES
        assert {d.stores[name].entries[f"m{n}"].replicas for name in copies} <= {
            tuple(copies),
            tuple(copies[::-1]),
        }


@pytest.mark.parametrize("ended", [False, True])
@pytest.mark.parametrize("newer", [("d3", "d1"), ("d2", "d1")])
def test_the_other_stores_of_a_placement_are_told_by_whoever_learns_a_newer_one(
    newer: tuple[str, str], ended: bool
) -> None:
    """Those of the one before were not told of ends, and those of the newer one not at all: a store to be
    removed went on waiting for one that waited for it.
    """
    d = StoreCluster()
    d.keep("m", "d1", "d2")
    if ended:
        d.end("m")
    learned = Holders(mid="m", holders=newer, placement=2)
    d.receive("d1", "d3", "differ", Differ(holders=[learned]))
    d.until(d.now + 0.01)
    known = d.stores["d2"].ends["m"] if ended else d.stores["d2"].entries["m"]
    assert known.placement == (newer, 2)


def test_a_placement_that_comes_with_an_end_is_passed_on() -> None:
    d = StoreCluster()
    d.keep("m", "d1", "d2")
    d.end("m")
    d.receive("d1", "d3", "end", End(mid="m", complete=True, holders=["d3", "d1"], placement=2))
    d.until(d.now + 0.1)
    assert d.stores["d2"].ends["m"].placement == (("d3", "d1"), 2)


@pytest.mark.parametrize("ended", [False, True])
def test_a_copy_with_an_older_placement_is_checked_with_the_stores_that_it_lists(
    ended: bool,
) -> None:
    """A store with a new disk got it from one that was to be removed and was out of date, after it had
    compared with the others: it stayed, and the store could not be removed, until the next look in a minute.
    """
    d = StoreCluster("d1 d2 d3 d4")
    d.keep("m", "d1", "d2")
    newest = Holders(mid="m", holders=["d1", "d2"], placement=2)
    for name in ("d1", "d2"):
        d.receive(name, "c1", "holders", newest)
    if ended:
        d.end("m")
        d.receive("d3", "d4", "end", End(mid="m", complete=True, holders=["d1", "d3"], placement=1))
    else:
        copy = Letter(mid="m", body=b"x", holders=["d1", "d3"], placement=1, due=60.0, until=90.0)
        d.receive("d3", "d4", "hand", Hand(letters=[copy], answer=True, restored=True))
    d.until(d.now + 0.5)
    if ended:
        assert d.stores["d3"].ends["m"].placement == (("d1", "d2"), 2)
    else:
        assert d.copies("m") == ["d1", "d2"]


def test_a_copy_of_a_move_that_was_not_completed_is_neither_delivered_nor_kept() -> None:
    """The store that moved it was killed before it named the new placement; the copy already had that, so its
    store had the message delivered beside the one that was left of the placement in force.
    """
    d = StoreCluster("d1 d2 d3 d4")
    d.keep("m", "d1", "d2", due=2.0)
    d.retire("d2")
    while not (moved := [name for name in ("d3", "d4") if "m" in d.stores[name].entries]):
        d.until(d.now + 0.001)
    d.kill("d1")
    assert d.stores[moved[0]].entries["m"].replicas == ("d1", "d2")
    d.until(d.now + 4.0)
    assert sum(store.figures["assigned"] > 0 for store in d.stores.values()) == 1
    d.start("d1")
    d.until(d.now + SYNC_S)
    assert len(d.copies("m")) == COPIES


def test_the_new_stores_of_a_message_learn_who_delivers_it_with_the_placement() -> None:
    """It was assigned while its copy was on the way; the new store, which acted for it next, assigned it
    again.
    """
    source, target = MessageStore("d2", "b", 0.0, STATE_S), MessageStore("d3", "c", 0.0, STATE_S)
    for store, peer in ((source, "d3"), (target, "d2")):
        store.depot_up(peer, "a", peer, 100.0)
        store.depot_pulse(peer, Pulse(settled=True))
        store.counter_up("c1", 1, "a")
        store.counter_pulse("c1", Pulse(ready=True))
    source.loaded("m", ("d1", "d2"), 0.1, 90.0, 0, 0, 10)
    source.settled = True
    source.ordered((1, 1), {"d2"})
    source.tick()
    for fetch in source.effects()[2]:
        source.fetched(fetch.mid, fetch.why, Letter(mid="m", body=b"x"))
    deliver(source, target, "hand")
    assert target.entries["m"].owner == ""
    source.clock(0.1)
    source.tick()
    assert source.entries["m"].owner == "c1/1"
    source.rebalancing.kept("d3", "m", False)
    deliver(source, target, "holders")
    assert target.entries["m"].replicas == ("d3",)
    assert (target.entries["m"].owner, target.entries["m"].claim) == ("c1/1", 1)


def test_a_store_that_is_named_in_a_placement_without_having_the_message_asks_for_it() -> None:
    """Its copy was dropped before the move was completed, and it did not get another one."""
    d = StoreCluster()
    d.keep("m", "d1")
    d.receive("d1", "c1", "holders", Holders(mid="m", holders=["d1", "d2"], placement=1))
    d.receive("d2", "d1", "holders", Holders(mid="m", holders=["d1", "d2"], placement=1))
    d.until(d.now + 0.1)
    assert d.copies("m") == ["d1", "d2"]


def deliver(source: MessageStore, target: MessageStore, kind: str) -> None:
    """Passes on what a store sends to another one of that kind."""
    for send in source.effects()[1]:
        if (send.node, send.kind) == (target.node, kind):
            getattr(target, kind)(source.node, send.word)


# ---- bulk has a window


def test_a_store_gets_all_its_replicas_back_however_many_bytes_they_have() -> None:
    """All were queued on the link at once, which was closed as it held more than it may, again and again."""
    d = StoreCluster()
    mids = d.keep_many(1_500, 60_000)
    d.restart("d1", lose_disk=True)
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)
    assert d.closed_links == 0


def test_transfers_go_on_where_they_stopped_when_a_link_is_made_again() -> None:
    d = StoreCluster()
    mids = d.keep_many(600, 100_000)
    d.restart("d1", lose_disk=True)
    for _ in range(5):
        d.until(d.now + 0.2)
        d.unlink("d1", "d2")
        d.link("d1", "d2")
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)


def test_what_is_assigned_to_a_gateway_has_a_window() -> None:
    """After a gateway's end 200 large messages were assigned at once, which closed the other gateway's link
    each time.
    """
    store = MessageStore("d1", "a", 0.0, 120.0)
    store.counter_up("c1", 1, "a")
    for n in range(80):
        store.loaded(f"m{n:02}", ("d1",), 0.0, 90.0, 0, 0, 250_000)
    for now in (3.05, 3.1):
        store.clock(now)
        store.counter_pulse("c1", Pulse(ready=True))
        store.tick()
    first = [fetch.mid for fetch in store.effects()[2]]
    assert len(first) == ASSIGN_WINDOW // 250_000
    store.clock(3.2)
    store.mine("c1", Mine(mids=first[:4], claims=[1] * 4, ask=True))
    store.counter_pulse("c1", Pulse(ready=True))
    store.tick()
    assert len(store.effects()[2]) == 4


def test_a_body_is_not_sent_on_a_link_that_is_full_already() -> None:
    """The answers to many lookups at once closed the link, and with it all else that was on it."""
    role = StoreRole(parse(SETTINGS, "here"), 1, 0.0, "disk")
    sent: list[Told] = []
    link = SimpleNamespace(queued_bytes=0, peer=Hello(node="c1"), send=lambda kind, told: sent.append(told))
    letter = Letter(mid="m", body=b"x" * 9, holders=["d1", "d2"], until=90.0)
    role.store.keep("c1", Keep(letter=letter, parked=True))
    role.settle()
    role.batch()
    for queued, state in ((0, MessageState.PENDING), (BODY_WINDOW + 1, MessageState.UNSURE)):
        link.queued_bytes = queued
        role.answer(link, Ask(mid="m", body=True))
        role.synced([], role.batch()[1], [letter.SerializeToString()])
        assert sent[-1].state == state and bool(sent[-1].body) == (state == MessageState.PENDING)


# ---- repair follows from state


def test_a_store_that_is_gone_since_before_a_restart_is_replaced() -> None:
    """Only a store that had been linked in this life of a process could be missed by it."""
    d = StoreCluster()
    mids = d.keep_many(300)
    d.until(d.now + 6.0)
    for name in ("d1", "d2", "d3"):
        d.kill(name, lose_disk=name == "d2")
    d.until(d.now + 1.3)
    for name in ("d1", "d3"):
        d.start(name)
    d.until(d.now + 0.7)
    d.start("d4")
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)


def test_a_message_without_a_linked_replica_is_asked_for_before_it_is_assigned() -> None:
    """d1 was away while its message moved and ended: none of the stores that it has on record is there."""
    d = StoreCluster("d1 d2 d3 d4")
    d.keep("m", "d1", "d2", due=5.0)
    d.kill("d1")
    d.retire("d2")
    d.until(d.now + 2.0)
    d.remove("d2")
    d.end("m")
    d.until(d.now + 3.5)
    d.start("d1")
    d.until(d.now + 3.0)
    assert "m" in d.stores["d1"].ends and not d.stores["d1"].figures["assigned"]


def test_a_store_that_comes_later_is_asked_about_messages_that_no_listed_store_vouches_for() -> None:
    """All restart at once; d1 has settled before the stores that know the outcome are there."""
    d = StoreCluster("d1 d2 d3 d4")
    d.keep("m", "d1", "d2", due=15.0)
    d.kill("d1")
    d.retire("d2")
    d.until(d.now + 2.0)
    d.remove("d2")
    d.end("m")
    for name in ("d3", "d4"):
        d.kill(name)
    d.start("d1")
    d.until(d.now + 4.0)
    assert d.stores["d1"].settled and "m" in d.stores["d1"].entries
    d.start("d3")
    d.start("d4")
    d.until(d.now + 1.0)
    assert "m" in d.stores["d1"].ends and not d.stores["d1"].figures["assigned"]


def test_a_refused_replica_goes_to_another_store() -> None:
    d = StoreCluster("d1 d2 d3 d4")
    mids = d.keep_many(40)
    d.stores["d3"].room = 0.0
    d.retire("d1")
    d.until(d.now + 6.0)
    assert d.stores["d1"].rebalancing.empty
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)


# ---- an end is data


def test_how_messages_ended_is_known_after_losses_in_turn() -> None:
    """A copied end was recorded without its stores, so it was never copied on; after three losses no store
    knew it, and all said that there was no such message.
    """
    d = StoreCluster()
    mids = d.keep_many(120)
    for mid in mids:
        d.end(mid)
    for name in ("d1", "d2", "d1", "d3"):
        d.restart(name, lose_disk=True)
        d.until(d.now + SYNC_S)
        assert {mid: len(d.ends(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)
    assert all(d.knows(mid) for mid in mids)


def test_an_end_that_was_not_synced_as_the_list_was_made_is_sent_once_it_is() -> None:
    """It was in no list, and the store with the new disk did not get it before the next comparison."""
    store = MessageStore("d1", "a", 0.0, STATE_S)
    store.loaded("m", ("d1", "d2"), 9.0, 90.0, 0, 0, 10)
    store.end("c1", End(mid="m", complete=True, seal="s"))
    store.depot_up("d2", "b", "new disk", 0.0)
    writes, sends, _ = store.effects()
    (first,) = [send.word for send in sends if send.kind == "have"]
    assert not first.ended
    store.synced(writes)
    (end,) = [send.word for send in store.effects()[1] if (send.node, send.kind) == ("d2", "end")]
    assert end.mid == "m" and end.complete


def test_a_dead_message_keeps_full_replicas_of_its_bytes() -> None:
    d = StoreCluster("d1 d2 d3 d4")
    mids = d.keep_many(60, 1_000)
    for mid in mids:
        d.end(mid, complete=False)
    d.restart("d1", lose_disk=True)
    d.until(d.now + SYNC_S)
    d.retire("d2")
    d.until(d.now + SYNC_S)
    d.remove("d2")
    for mid in mids:
        assert len(d.ends(mid)) >= COPIES and len(d.copies(mid)) >= COPIES
    assert all(not store.entries for store in d.stores.values())


def test_a_message_that_dies_while_it_is_copied_is_copied_as_a_dead_one() -> None:
    """The end overtook the copy, whose bytes were then not sent: they stayed on one disk."""
    d = StoreCluster("d1 d2")
    d.keep("m", "d1", "d2")
    d.restart("d1", lose_disk=True)
    source = d.stores["d2"]
    while "m" not in source.transfers.targets.get("d1", Target()).in_flight:
        source.differ("d1", Differ(lack=["m"]))
    for name in ("d1", "d2"):
        d.receive(name, "c1", "end", End(mid="m", holders=["d1", "d2"]))
    d.until(d.now + 1.0)
    assert d.copies("m") == ["d1", "d2"] == d.ends("m")


def test_a_dead_message_gets_its_bytes_though_an_end_without_them_came_first() -> None:
    """The store with the new disk learned the end from one that had no bytes, and took it for complete."""
    d = StoreCluster()
    d.keep("m", "d2", "d3")
    d.end("m", complete=False)
    d.receive("d1", "c1", "end", End(mid="m", holders=["d2", "d3"]))
    d.restart("d2", lose_disk=True)
    d.until(d.now + SYNC_S)
    assert d.copies("m") == ["d2", "d3"]


def test_a_dead_message_is_not_moved_without_its_bytes() -> None:
    """The store that acted for it had none yet: the last ones went with the store that was removed."""
    store = MessageStore("d1", "a", 0.0, STATE_S)
    for name, zone in (("d2", "b"), ("d3", "c")):
        store.depot_up(name, zone, name, 100.0)
        store.depot_pulse(name, Pulse(settled=True))
    store.loaded_end("m", False, "", 90.0, ("d1", "d2"), 1)
    store.settled = True
    store.ordered((1, 1), {"d2"})
    store.tick()
    assert not store.rebalancing.end_moves
    requests = [send for send in store.effects()[1] if send.kind == "differ"]
    assert requests == [("d2", "differ", Differ(lack=["m"]))]
    end = End(mid="m", holders=["d1", "d2"], placement=1)
    store.hand("d2", Hand(letters=[Letter(mid="m", body=b"x")], answer=True, ends=[end]))
    for now in (0.4, 0.8):
        store.clock(now)
        store.tick()
    assert store.rebalancing.end_moves["m"].after.replicas == ("d1", "d3")


def test_a_dead_message_whose_bytes_are_corrupted_gets_them_again() -> None:
    """Only a pending message was asked for again; the bytes of a dead one stayed on one disk."""
    d = StoreCluster()
    d.keep("m", "d1", "d2")
    d.end("m", complete=False)
    d.stores["d1"].rotten("m")
    assert not d.stores["d1"].size_of("m")
    d.settle("d1", d.stores["d1"])
    assert d.copies("m") == ["d2"]
    d.until(d.now + 0.1)
    assert d.copies("m") == ["d1", "d2"] == d.ends("m")


def test_a_store_with_a_new_disk_is_unsure_until_all_others_have_listed_what_it_should_have() -> None:
    """Else it would say that there is no such message, though the only store that knows it is away."""
    d = StoreCluster()
    d.keep("m", "d1", "d2")
    d.end("m")
    d.kill("d2")
    d.restart("d1", lose_disk=True, down=0.5)
    d.until(d.now + 4.0)
    learner = d.stores["d1"]
    assert learner.settled and learner.state("m").state == MessageState.UNSURE
    d.start("d2")
    d.until(d.now + 2.0)
    assert learner.state("m").state == MessageState.COMPLETE
    assert learner.state("other").state == MessageState.UNKNOWN
    d.restart("d1")
    d.until(d.now + 0.01)
    assert not d.stores["d1"].comparison.learner  # which is on its disk


# ---- any order of events


@pytest.mark.parametrize("copies", [2, 3])
@pytest.mark.parametrize("seed", range(25))
def test_replicas_are_full_within_sync_s_whatever_has_happened(
    seed: int, copies: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Losses of disks one at a time, restarts, links that break, removals and additions, in any order."""
    monkeypatch.setattr(post_stores, "COPIES", copies)
    draw = Random(f"{seed}/{copies}")
    d = StoreCluster("d1 d2 d3 d4 d5 d6"[: 3 * draw.choice((4, 5, 6)) - 1], seed)
    mids = [f"m{n}" for n in range(60)]
    size = draw.choice((50, 3_000, 60_000))
    for mid in mids:
        d.keep(mid, *draw.sample(sorted(d.stores), copies), size=size, due=draw.choice((5.0, 60.0, 400.0)))
    troubles = Troubles(d, draw, copies)
    ended = set[str]()
    for _ in range(8):
        for mid in draw.sample(mids, 4):
            if mid not in ended and any(mid in store.entries for store in d.stores.values()):
                ended.add(mid)
                complete = draw.random() < 0.7
                d.end(mid, complete)
                if draw.random() < 0.5:  # also to a store that may not have the message
                    end = End(mid=mid, complete=complete, seal="s" * complete, holders=d.ends(mid))
                    d.receive(draw.choice(sorted(d.stores)), "c1", "end", end)
        kind = troubles.play_one()
        for mid in mids:
            if any(mid in store.ends for store in d.stores.values()):  # some expire
                ended.add(mid)
            count = len(d.ends(mid) if mid in ended else d.copies(mid))
            assert count >= copies if mid in ended else count == copies, (kind, mid)
            if any(mid in store.dead_sizes for store in d.stores.values()):
                assert len(d.copies(mid)) >= copies, (kind, mid)
            assert d.knows(mid)


# ---- stores of the version before


def test_a_store_of_the_version_before_is_answered_and_obeyed_as_before() -> None:
    """Its questions have no stamps and no number, its lists no version; its answers confirm nothing."""
    store = MessageStore("d1", "a", 0.0, 120.0)
    store.depot_up("d2", "b", "disk", 100.0, 0)
    for mid in ("m1", "m2"):
        store.loaded(mid, ("d1", "d2"), 9.0, 90.0, 0, 0, 10)
    store.effects()
    store.have("d2", Have(pending=["m1", "m3"], last=True))
    ((answer,),) = [write.then for write in store.effects()[0]]
    assert answer == ("d2", "differ", Differ(lack=["m3"], last=True))
    store.holders("d2", Holders(mid="m1", holders=["d1", "d3"]))
    assert store.entries["m1"].placement == (("d1", "d3"), 1)
    store.differ("d2", Differ(drop=["m2"]))
    assert "m2" not in store.entries
