"""Guards against second deliveries of a message that has succeeded, or has a delivery in flight.

The cases are described in `docs/incidents/twice-after-a-read-success.md`.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from post_cluster import Cluster

from opalwick.post.gateway.ownership import Agreement
from opalwick.post.store.placement import Placement
from opalwick.post.wire_pb2 import Hello, Keep, Letter, Mine


def test_a_list_of_deliveries_contains_messages_accepted_before_it_is_sent() -> None:
    """The list was built at the first echo, but sent after the message of a request that came in between, so
    it lacked that message. The stores assigned it to another gateway, and both gateways delivered it.
    """
    cluster = Cluster(counters=2, depots=2)
    cluster.start_gateway("c3", 13)
    cluster.read()  # the stores have received c3's heartbeat, and have not echoed it yet
    cluster.send_keepalives()
    cluster.read("c3")  # the first echo: a heartbeat, which has no effect before the next tick
    call = cluster.offer("c3")
    cluster.read()
    assert call.status == 202
    mid = call.name
    cluster.run(1.0)
    assert cluster.began[mid] == ["c3"]


@pytest.mark.parametrize("moved", [False, True])
def test_two_stores_without_a_link_have_a_message_delivered_once(moved: bool) -> None:
    """Each store assigned the message to a different gateway; both gateways were linked to both stores.
    `moved`: one store had its replica made again elsewhere, as the other one was unreachable for long.
    """
    cluster = Cluster(counters=5, depots=3)
    mid = cluster.accepted("c1", delay=14.0 if moved else 0.0)
    cluster.run(0.1)
    first, second = cluster.holders(mid)
    for node in ("c1", "c3"):  # the two choose different counters
        cluster.roles[second].store.gateways[node].assigned = 19
    cluster.disconnect(first, second)
    started = list(cluster.began[mid])
    if not moved:
        # with its delivery in flight: each store assigns the message to another gateway at once
        cluster.end("c1")
    cluster.run(16.0)
    assert cluster.began[mid][:-1] == started
    cluster.out[mid] = cluster.out[mid][-1:]
    cluster.answer(mid)
    cluster.run(8.0)
    assert cluster.began[mid][:-1] == started


@pytest.mark.parametrize("again", [False, True])
def test_a_final_outcome_that_one_replica_missed_reaches_it_before_the_other_is_stopped(again: bool) -> None:
    """A gateway that ended just after one of its links broke left that store without the final outcome.
    Stores compared their messages only when a link between them came up; once the other store was stopped
    for maintenance, the first had the message delivered again. `again`: the gateway is restarted at once.
    """
    cluster = Cluster(counters=2, depots=3)
    mid = cluster.accepted("c1")
    cluster.run(0.1)
    assert cluster.began[mid] == ["c1"]
    first, second = cluster.holders(mid)
    cluster.disconnect("c1", second)
    cluster.answer(mid)
    cluster.read()
    cluster.end("c1")
    if again:
        cluster.start_gateway("c1", 11)
    cluster.run(4.0)
    cluster.roles[first].leave()
    cluster.run(0.5)
    cluster.end(first)
    cluster.run(4.0)
    assert cluster.began[mid] == ["c1"]


def test_a_gateway_that_has_just_started_waits_for_the_stores_that_it_connects_to() -> None:
    """Otherwise it would deliver what one store assigns before it could ask the other replicas."""
    cluster = Cluster(counters=2, depots=3)
    mid = cluster.accepted("c1", delay=4.0)
    first, second = cluster.holders(mid)
    cluster.run(3.9)
    cluster.start_gateway("c3", 13)
    cluster.disconnect("c3", second)
    gateway, message = (
        cluster.roles["c3"],
        Letter(mid=mid, host=b"h", target=b"/x", holders=[first, second], until=9.0),
    )
    gateway.linked_stores = {first, second}
    gateway.rounds.assigned(first, message)
    item = gateway.rounds.items[mid]
    assert gateway.awaits(second, item)
    cluster.link("c3", second)
    cluster.read()
    assert item.awaited == set()
    item.awaited = {second}
    cluster.disconnect("c3", second)
    cluster.run(0.4)
    assert not gateway.awaits(second, item)  # it is unreachable


def test_a_store_of_an_earlier_version_that_never_answers_delays_messages_only_briefly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Agreement, "agreed", lambda self, node, mids: None)
    cluster = Cluster(counters=2, depots=3)
    mid = cluster.accepted("c1", delay=4.0)
    cluster.run(4.0 + 1.0)
    assert cluster.began[mid] == []
    cluster.run(1.0)
    assert len(cluster.began[mid]) == 1


def test_a_replica_in_transit_when_the_message_ended_gets_the_final_outcome() -> None:
    """Otherwise the store with the new replica would have it delivered once the others are stopped."""
    cluster = Cluster(counters=2, depots=3)
    mid = cluster.accepted("c1")
    cluster.run(0.1)
    first, _ = cluster.holders(mid)
    storage = cluster.roles[first].store
    target = next(node for node in ("d1", "d2", "d3") if node not in cluster.holders(mid))
    storage.rebalancing.start_move(storage.entries[mid], Placement((first, target), 1))
    cluster.settle(first)
    cluster.answer(mid)
    cluster.read()
    assert mid in cluster.roles[target].store.ends


def test_messages_from_an_earlier_incarnation_of_a_gateway_are_no_claim_of_the_later_one() -> None:
    cluster = Cluster(counters=2, depots=2)
    store, earlier = cluster.roles["d1"], cluster.ends["d1", "c1"]
    later = Hello(node="c1", role="counter", zone="b", life=earlier.peer.life + 1)
    store.add_link(SimpleNamespace(peer=later, last_received=cluster.now, send=lambda kind, word: None))
    store.handle(earlier, "keep", Keep(letter=Letter(mid="m", holders=["d1", "d2"], due=9.0, until=90.0)))
    assert store.store.entries["m"].owner == ""
    store.handle(earlier, "mine", Mine(mids=["m"], claims=[7]))
    assert store.store.entries["m"].owner == ""
