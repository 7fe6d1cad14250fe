"""Stores that a gateway keeps links to, and links to other stores on demand."""

from __future__ import annotations

from typing import Any

from opalwick.post.gateway.linked_stores import STORES_PER_OTHER_ZONE, STORES_PER_REPLICA, linked_stores
from opalwick.post.gateway.role import Gateway
from opalwick.post.gateway.store_contact import TEMPORARY_LINK_IDLE
from opalwick.post.names import complete_name
from opalwick.post.settings import parse
from opalwick.post.wire_pb2 import Assign, Conf, Hello, Letter, News, Node, Pulse, Route, Service, Told
from opalwick.protocol.http import Message

ZONES = "abcd"
SETTINGS = """node=c1
role=counter
serves=edge
ip=10.0.1.1
az=a
region=r
port_range=7300,7315
binds.front=10.0.1.1:80
binds.ready=10.0.1.1:81
seeds=10.0.0.9:8262
survive.boxes=2
"""


def depots(count: int) -> list[Node]:
    return [
        Node(node=f"d{n}", role="depot", zone=ZONES[n % 4], ip=f"10.0.2.{n}", life=1) for n in range(count)
    ]


class Spy:
    """A link that records the messages sent on it."""

    queued_bytes = 0

    def __init__(self, role: str, node: str, zone: str = "a") -> None:
        self.peer, self.last_received = Hello(node=node, role=role, zone=zone, ip="10.0.2.7", life=1), 0.0
        self.said: list[tuple[str, Any]] = []

    def send(self, kind: str, word: Any) -> None:
        self.said.append((kind, word))

    def kinds(self) -> list[str]:
        return [kind for kind, _ in self.said if kind != "pulse"]


class LookupCall:
    """A client's call that records its answers."""

    def __init__(self) -> None:
        self.message = Message(0.0)
        self.answers: list[tuple[int, bytes]] = []

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        self.answers.append((status, body))


def counter(count: int = 100) -> Gateway:
    c = Gateway(parse(SETTINGS, "here"), 1, 0.0, 8)
    office = Spy("office", "o1")
    c.add_link(office)
    conf = Conf(
        gen=1,
        services=[Service(name="s")],
        routes=[Route(name="r", host="h", stem="/", svc="s", deferred=True, tries=3, limit=1.0)],
    )
    c.receive(office, "news", News(nodes=depots(count), conf=conf, whole=True))
    return c


def test_the_number_of_linked_stores_is_bounded() -> None:
    sets = {count: linked_stores(depots(count), "c1", "a", 3, False) for count in (12, 48, 400)}
    assert [len(found) for found in sets.values()] == [
        3 * STORES_PER_REPLICA,
        3 * STORES_PER_REPLICA + 3 * STORES_PER_OTHER_ZONE,
        3 * STORES_PER_REPLICA + 3 * STORES_PER_OTHER_ZONE,
    ]
    few = [node for node in depots(48) if node.zone == "b" or node.node == "d0"]
    assert (
        len(linked_stores(few, "c1", "a", 3, False)) == 3 * STORES_PER_REPLICA
    )  # its own zone has one store
    assert (
        len(linked_stores(depots(400), "c1", "a", 3, True))
        == 3 * STORES_PER_REPLICA + 3 * 3 * STORES_PER_OTHER_ZONE
    )
    # one more store changes at most one of the set, and every store is in the set of some gateway
    more = {d.node for d in linked_stores(depots(401), "c1", "a", 3, False)}
    assert len(more - {d.node for d in sets[400]}) <= 1
    seen = {d.node for n in range(64) for d in linked_stores(depots(48), f"c{n}", ZONES[n % 4], 3, False)}
    assert len(seen) == 48


def test_other_replicas_are_linked_on_demand_and_released() -> None:
    """A gateway that is assigned a message must notify all its replicas of the owner and of the outcome, and
    closes links to other stores some time after their last use.
    """
    c = counter()
    linked = sorted(c.linked_stores)
    near, far = Spy("depot", linked[0]), next(f"d{n}" for n in range(100) if f"d{n}" not in c.linked_stores)
    c.add_link(near)
    place = (c.directory.nodes[far].ip, 7300)
    assert place not in c.wanted
    letter = Letter(mid="m", host=b"h", target=b"/", holders=[linked[0], far], until=1)
    c.receive(near, "assign", Assign(letter=letter))
    c.settle()
    assert place in c.wanted and "mine" in near.kinds()
    late = Spy("depot", far, "b")
    c.add_link(late)  # its link is established
    c.settle()
    # the queued request, its repetition as answers may be lost with a link, and the list of all deliveries
    assert late.kinds() == ["mine"] * 3
    requests = [message for kind, message in late.said if kind == "mine"]
    assert [(request.ask, request.whole) for request in requests] == [
        (True, False),
        (True, False),
        (False, True),
    ]
    c.clock(2.0)  # its retention has expired
    c.receive(near, "pulse", Pulse(settled=True, at=1.0, echo=2.0))
    c.settle()
    assert "end" in near.kinds() and "end" in late.kinds()
    c.clock(TEMPORARY_LINK_IDLE + 4.0)
    c.tick()
    assert place in c.wanted  # a store that has not confirmed the outcome stays linked
    for spy in (near, late):
        c.receive(spy, "ended", next(word for kind, word in spy.said if kind == "end"))
    c.clock(TEMPORARY_LINK_IDLE + 6.0)
    c.tick()
    assert place not in c.wanted and all((c.directory.nodes[node].ip, 7300) in c.wanted for node in linked)


def test_a_lookup_queries_the_stores_hinted_by_the_name() -> None:
    c, call = counter(), LookupCall()
    far = next(f"d{n}" for n in range(100) if f"d{n}" not in c.linked_stores)
    call.message.headers[b"host"] = b"h"
    c.asked_back(call, complete_name(c.names.begin_name(1), [far], "h"), True)
    link = Spy("depot", far, "b")
    c.add_link(link)
    [ask] = [word for kind, word in link.said if kind == "ask"]
    c.receive(link, "told", Told(call=ask.call, state=1, body=b"octets"))
    assert call.answers == [(200, b"octets")]
