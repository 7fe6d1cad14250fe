"""Unit tests of the roles with recorded links."""

from __future__ import annotations

from typing import Any

import pytest

from opalwick.post.controller.role import Controller
from opalwick.post.gateway.role import Gateway
from opalwick.post.settings import parse
from opalwick.post.store.role import StoreRole
from opalwick.post.wire_pb2 import Ask, Checked, Conf, End, Hello, Keep, Letter, Pulse
from opalwick.post.worker_heartbeats import Heartbeat

SETTINGS = """node=d1
role=depot
serves=disk
ip=10.0.0.1
az=a
region=r
port_range=7300,7315
datadir=/data
seeds=10.0.0.9:8262
"""


class Spy:
    """A link that records what was sent on it."""

    queued_bytes = 0

    def __init__(self, role: str, node: str = "c1") -> None:
        self.peer, self.last_received = Hello(node=node, role=role, zone="a", ip="10.0.0.2", life=1), 0.0
        self.said: list[tuple[str, Any]] = []

    def send(self, kind: str, payload: Any) -> None:
        self.said.append((kind, payload))


@pytest.mark.parametrize("complete, state, body", [(True, 2, b""), (False, 3, b"octets")])
def test_a_message_that_ends_while_its_body_is_fetched(complete: bool, state: int, body: bytes) -> None:
    """A body is requested while the message is pending and the message ends in the same batch. Without care
    the answer is an empty body with status 200 (see the scenario MIXED).
    """
    store, link = StoreRole(parse(SETTINGS, "here"), 1, 0.0, "x"), Spy("counter")
    store.add_link(link)
    message = Letter(mid="m.1.1", body=b"octets", holders=["d1"], until=90.0)
    store.handle(link, "keep", Keep(letter=message))
    store.settle()
    store.synced(*store.batch(), [])
    store.handle(link, "ask", Ask(call=7, mid="m.1.1", body=True))
    store.handle(link, "end", End(mid="m.1.1", complete=complete, seal="s"))
    store.settle()
    writes, fetches = store.batch()
    store.synced(writes, fetches, [None if complete else message.SerializeToString()])
    sent = [payload for kind, payload in link.said if kind == "told"]
    assert [(payload.call, payload.state, payload.body) for payload in sent] == [(7, state, body)]


def test_a_store_does_not_end_before_a_slow_disk_has_written_its_batch() -> None:
    """Otherwise the disk thread goes on with a closed disk, and the process ends with an error."""
    store, link = StoreRole(parse(SETTINGS, "here"), 1, 0.0, "x"), Spy("counter")
    store.clock(1.0)
    store.add_link(link)
    store.handle(link, "keep", Keep(letter=Letter(mid="m.1.1", holders=["d1"], until=90.0)))
    store.settle()
    batch = store.batch()
    store.leave()
    store.clock(5.0)
    assert not store.gone
    store.synced(*batch, [])
    assert store.gone and "kept" in [kind for kind, _ in link.said]


def test_a_gateway_repeats_its_ownership_check_once_messages_arrive_in_time() -> None:
    """A store's answer that arrives when the last echo is old proves nothing. The gateway has to check again,
    as no other answer is due.
    """
    text = SETTINGS.replace("depot", "counter").replace("disk", "none").replace("datadir=/data\n", "")
    gateway, store = Gateway(parse(text, "here"), 1, 0.0, 8), Spy("depot", "d1")
    gateway.add_link(store)
    gateway.settle()

    def receive(now: float, kind: str, payload: Any) -> int:
        """How often the full list of its messages was sent again."""
        gateway.clock(now)
        store.said.clear()
        gateway.receive(store, kind, payload)
        gateway.settle()
        return sum(kind == "mine" and payload.whole for kind, payload in store.said)

    assert receive(3.0, "pulse", Pulse(echo=1.0)) == 1  # messages are 2 s late, and stay so
    assert receive(3.1, "checked", Checked(number=gateway.rounds.list_numbers["d1"])) == 0
    assert not gateway.confirmed_owners and receive(3.2, "pulse", Pulse(echo=1.2)) == 0
    # the interval between echoes does not count as a delay
    assert receive(3.3, "pulse", Pulse(echo=2.6)) == 1
    receive(3.4, "checked", Checked(number=gateway.rounds.list_numbers["d1"]))
    assert gateway.confirmed_owners == {"d1"} and receive(3.5, "pulse", Pulse(echo=3.4)) == 0


def test_a_controller_without_a_majority_marks_no_worker_as_silent() -> None:
    """Gateways may reach both sides of a partition. A controller that is cut off receives no heartbeats and
    must not report workers as silent; one that receives them reports each change.
    """
    text = (
        SETTINGS.replace("depot", "office")
        .replace("disk", "ctl")
        .replace("datadir", "binds.ctl=10.0.0.1:8262\nd")
    )
    controller = Controller(
        parse(text.replace("seeds=", "seeds=10.0.0.1:8262,10.0.0.8:8262,"), "here"), 1, 0.0, None
    )
    gateway, other = Spy("counter"), Spy("office", "o2")
    other.peer.ip = "10.0.0.8"
    for link in (gateway, other):
        controller.add_link(link)

    def sent(now: float) -> list[bool]:
        controller.clock(now)
        controller.registry.beat(now, Heartbeat("w", "s", "h", 1, "a", "v1", 2, False, 0.0, int(now)))
        gateway.said.clear()
        controller.clock(now + 9.0)
        controller.tick()
        return [
            worker.silent for kind, payload in gateway.said if kind == "news" for worker in payload.workers
        ]

    assert sent(1.0) == [True]
    controller.remove_link(other)
    assert sent(20.0) == []


def test_a_store_may_be_emptied_if_enough_remain_after_a_loss() -> None:
    """409 refuses the order for good; 503 allows a repeat, if one of the remaining stores is only
    disconnected.
    """
    text = (
        SETTINGS.replace("depot", "office")
        .replace("disk", "ctl")
        .replace("datadir", "binds.ctl=10.0.0.1:8262\nd")
        .replace("seeds=10.0.0.9", "seeds=10.0.0.1")
    )
    controller = Controller(parse(text + "bootstrap=true\n", "here"), 1, 0.0, None)
    controller.views.copies = 1  # the only controller
    controller.clock(1.0)
    controller.tick()
    answers: list[int] = []

    def settled() -> list[int]:
        for _ in range(9):
            controller.settle()
            controller.synced(controller.batch())
        return answers

    settled()
    controller.views.put(controller.wait(lambda status, body: None), Conf(gen=1).SerializeToString())
    settled()
    links = [Spy("depot", f"d{n}") for n in (1, 2, 3, 4)]
    for link in links:
        controller.add_link(link)
        link.last_received = controller.now
    for _ in range(2):
        controller.retirement.retire("d2", lambda status, body: answers.append(status))
    assert settled() == [200, 200] and list(Conf.FromString(controller.views.in_force).retiring) == ["d2"]
    # of the two that would remain, one may be lost
    controller.retirement.retire("d3", lambda status, body: answers.append(status))
    controller.views.put(controller.wait(lambda status, body: None), Conf(gen=2).SerializeToString())
    settled()
    controller.remove_link(links[0])
    controller.retirement.retire("d3", lambda status, body: answers.append(status))
    assert settled()[2:] == [409, 503]
