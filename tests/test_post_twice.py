"""A message whose success was read, or whose delivery is out, is not begun by anybody that could know.

Each of these was found or refuted by `docs/incidents/twice-after-a-read-success.md`.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from post_cluster import Cluster

from opalwick.post.counter.agreement import Agreement
from opalwick.post.depot.moving import Transfer
from opalwick.post.wire_pb2 import Hello, Keep, Letter, Mine


def test_a_list_of_deliveries_is_not_overtaken_by_what_was_accepted_after_it() -> None:
    """The list was made as the first echo was heard and said with the next words, after those of a request
    that came in between. The depots gave that message to another counter, and both delivered it.
    """
    cluster = Cluster(counters=2, depots=2)
    cluster.start_counter("c3", 13)
    cluster.read()  # the depots have heard c3, and have not said so yet
    cluster.pulses()
    cluster.read("c3")  # the first echo: a pulse, from which nothing follows before the next tick
    call = cluster.offer("c3")
    cluster.read()
    assert call.status == 202
    mid = call.name
    cluster.run(1.0)
    assert cluster.began[mid] == ["c3"]


@pytest.mark.parametrize("moved", [False, True])
def test_two_depots_that_do_not_hear_each_other_have_a_message_begun_once(moved: bool) -> None:
    """Each of them acted, and gave it to another counter; both counters were linked to both depots. `moved`:
    one of them had its copy made anew elsewhere, as the other was away for long.
    """
    cluster = Cluster(counters=5, depots=3)
    mid = cluster.accepted("c1", delay=14.0 if moved else 0.0)
    cluster.run(0.1)
    first, second = cluster.holders(mid)
    for node in ("c1", "c3"):  # the two choose different counters
        cluster.roles[second].keeping.counters[node].given = 19
    cluster.part(first, second)
    before = list(cluster.began[mid])
    if not moved:
        cluster.end("c1")  # with its delivery out: each depot gives the message to another at once
    cluster.run(16.0)
    assert cluster.began[mid][:-1] == before
    cluster.out[mid] = cluster.out[mid][-1:]
    cluster.answer(mid)
    cluster.run(8.0)
    assert cluster.began[mid][:-1] == before


@pytest.mark.parametrize("again", [False, True])
def test_an_end_that_one_holder_missed_reaches_it_before_the_other_is_stopped(again: bool) -> None:
    """A counter that ended just after one of its links had broken left that depot without the end. Depots
    compared what they keep only as a link between them came up; once the other was stopped by plan, it had
    the message delivered again. `again`: the counter is started again at once.
    """
    cluster = Cluster(counters=2, depots=3)
    mid = cluster.accepted("c1")
    cluster.run(0.1)
    assert cluster.began[mid] == ["c1"]
    first, second = cluster.holders(mid)
    cluster.part("c1", second)
    cluster.answer(mid)
    cluster.read()
    cluster.end("c1")
    if again:
        cluster.start_counter("c1", 11)
    cluster.run(4.0)
    cluster.roles[first].leave()
    cluster.run(0.5)
    cluster.end(first)
    cluster.run(4.0)
    assert cluster.began[mid] == ["c1"]


def test_a_counter_that_has_just_started_waits_for_the_depots_that_it_dials() -> None:
    """Else it would begin what one depot gives it before it could ask the others."""
    cluster = Cluster(counters=2, depots=3)
    mid = cluster.accepted("c1", delay=4.0)
    first, second = cluster.holders(mid)
    cluster.run(3.9)
    cluster.start_counter("c3", 13)
    cluster.part("c3", second)
    counter, letter = (
        cluster.roles["c3"],
        Letter(mid=mid, host=b"h", target=b"/x", holders=[first, second], until=9.0),
    )
    counter.mine = {first, second}
    counter.rounds.assigned(first, letter)
    item = counter.rounds.items[mid]
    assert counter.awaits(second, item)
    cluster.link("c3", second)
    cluster.read()
    assert item.awaited == set()
    item.awaited = {second}
    cluster.part("c3", second)
    cluster.run(0.4)
    assert not counter.awaits(second, item)  # it is out of touch


def test_a_depot_of_an_earlier_version_that_never_answers_holds_nothing_up_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Agreement, "agreed", lambda self, node, mids: None)
    cluster = Cluster(counters=2, depots=3)
    mid = cluster.accepted("c1", delay=4.0)
    cluster.run(4.0 + 1.0)
    assert cluster.began[mid] == []
    cluster.run(1.0)
    assert len(cluster.began[mid]) == 1


def test_a_copy_that_was_on_its_way_as_the_message_ended_is_told() -> None:
    """Its new holder would have had it delivered, once the others were stopped."""
    cluster = Cluster(counters=2, depots=3)
    mid = cluster.accepted("c1")
    cluster.run(0.1)
    first, _ = cluster.holders(mid)
    keeping = cluster.roles[first].keeping
    target = next(node for node in ("d1", "d2", "d3") if node not in cluster.holders(mid))
    keeping.moving.on_way[mid] = Transfer(target, cluster.now, (first, target))
    keeping.fetch(mid, ("move", target, (first, target)))
    cluster.settle(first)
    cluster.answer(mid)
    cluster.read()
    assert mid in cluster.roles[target].keeping.ends


def test_words_of_an_earlier_life_of_a_counter_are_no_claim_of_the_later_one() -> None:
    cluster = Cluster(counters=2, depots=2)
    depot, old = cluster.roles["d1"], cluster.ends["d1", "c1"]
    later = Hello(node="c1", role="counter", zone="b", life=old.peer.life + 1)
    depot.add_link(SimpleNamespace(peer=later, last_received=cluster.now, send=lambda kind, word: None))
    depot.handle(old, "keep", Keep(letter=Letter(mid="m", holders=["d1", "d2"], due=9.0, until=90.0)))
    assert depot.keeping.entries["m"].owner == ""
    depot.handle(old, "mine", Mine(mids=["m"], claims=[7]))
    assert depot.keeping.entries["m"].owner == ""
