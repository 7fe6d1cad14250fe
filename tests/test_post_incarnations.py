"""A conversation between two processes ends with either of them: nothing that was sent to, or agreed with, an
earlier process of a node counts for the later one. The case of the review is described in
`docs/incidents/copies-in-flight-to-an-earlier-process.md`.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from post_stores import COPIES, SYNC_S, StoreCluster
from test_post_roles import SETTINGS

from opalwick.post.base_role import RoleBase
from opalwick.post.controller.role import Controller
from opalwick.post.gateway.role import Gateway
from opalwick.post.link import Link, Process, Shell
from opalwick.post.settings import parse
from opalwick.post.store.comparison import REPLICATION
from opalwick.post.store.role import StoreRole
from opalwick.post.store.transfers import Copy, Target
from opalwick.post.wire_pb2 import Differ, End, Envelope, Hello, Keep, Letter, Mine, Pulse, Told

GATEWAY = SETTINGS.replace("depot", "counter").replace("disk", "none").replace("datadir=/data\n", "")
CONTROLLER = GATEWAY.replace("counter", "office")


class PeerLink:
    """A link that records what was sent on it; `unread` has come and was not read yet."""

    queued_bytes = 0

    def __init__(self, role: Any, peer: str, life: int, node: str = "d2") -> None:
        self.role, self.last_received = role, role.now
        self.peer = Hello(node=node, role=peer, zone="b", ip="10.0.0.2", life=life, replication=REPLICATION)
        self.said: list[tuple[str, Any]] = []
        self.unread: list[tuple[str, Any]] = []

    def send(self, kind: str, message: Any) -> None:
        self.said.append((kind, message))

    def finish(self) -> None:
        for kind, message in self.unread:
            self.role.receive(self, kind, message)
        self.role.remove_link(self)

    def sent(self, kind: str) -> list[Any]:
        return [message for said, message in self.said if said == kind]


class StoreUnderTest:
    """A store's role with its disk in memory."""

    def __init__(self) -> None:
        self.role = StoreRole(parse(SETTINGS, "here"), 1, 0.0, "disk")
        self.disk: dict[str, bytes] = {}
        self.clock(1.0)

    def clock(self, now: float) -> None:
        self.role.clock(now)

    def link(self, peer: str, life: int, node: str = "d2") -> PeerLink:
        link = PeerLink(self.role, peer, life, node)
        self.role.add_link(link)
        self.settle()
        return link

    def receive(self, link: PeerLink, kind: str, message: Any) -> None:
        self.role.receive(link, kind, message)
        self.settle()

    def keep(self, link: PeerLink, *mids: str) -> None:
        for mid in mids:
            letter = Letter(mid=mid, holders=["d1", "d2"], due=9.0, until=90.0, body=b"x")
            self.receive(link, "keep", Keep(letter=letter, parked=True))

    def settle(self) -> None:
        self.role.settle()
        while self.role.queue:
            writes, fetches = self.role.batch()
            self.disk.update({write.fields[0]: write.fields[1] for write in writes if write.kind == "keep"})
            self.role.synced(writes, fetches, [self.disk.get(fetch.mid) for fetch in fetches])
            self.role.settle()


def copied(link: PeerLink) -> list[str]:
    """Ids of the messages that were sent as copies."""
    return [message.mid for hand in link.sent("hand") for message in hand.letters]


# ---- a later process ends the links of the earlier one


def test_copies_in_flight_to_an_earlier_process_are_owed_to_the_later_one() -> None:
    """Guards against LOST: a store that lost power while it was refilled was back before its old link closed;
    the copies on their way to its earlier process were taken for sent, and one disk had them for a minute.
    """
    store = StoreUnderTest()
    store.keep(store.link("counter", 1, "c1"), "m1", "m2")
    earlier = store.link("depot", 10)
    store.receive(earlier, "differ", Differ(lack=["m1", "m2"], last=True))
    assert copied(earlier) == ["m1", "m2"]
    later = store.link("depot", 20)
    store.receive(later, "differ", Differ(lack=["m1", "m2"], last=True))
    assert copied(later) == ["m1", "m2"]


@pytest.mark.parametrize(
    "make, peer",
    [
        (lambda: StoreRole(parse(SETTINGS, "here"), 1, 0.0, "disk"), "depot"),
        (lambda: StoreRole(parse(SETTINGS, "here"), 1, 0.0, "disk"), "counter"),
        (lambda: Gateway(parse(GATEWAY, "here"), 1, 0.0, 8), "depot"),
        (lambda: Gateway(parse(GATEWAY, "here"), 1, 0.0, 8), "office"),
        (lambda: Controller(parse(CONTROLLER, "here"), 1, 0.0, None), "office"),
        (lambda: Controller(parse(CONTROLLER, "here"), 1, 0.0, None), "depot"),
    ],
    ids=[
        "store-store",
        "store-gateway",
        "gateway-store",
        "gateway-controller",
        "controllers",
        "controller-store",
    ],
)
def test_the_earlier_process_is_down_before_the_later_one_is_up(make: Any, peer: str) -> None:
    """Guards against state that is kept as the last link to a name never closes; in all roles."""
    role, order = make(), list[tuple[str, int]]()
    up, down = role.on_link_up, role.on_link_down
    role.on_link_up = lambda link: (order.append(("up", link.peer.life)), up(link))
    role.on_link_down = lambda link: (order.append(("down", link.peer.life)), down(link))
    links = [PeerLink(role, peer, life) for life in (10, 10, 20)]
    for link in links:
        role.add_link(link)
    assert order == [("up", 10), ("up", 10), ("down", 10), ("down", 10), ("up", 20)]
    assert role.links["d2"] == [links[2]]
    role.remove_link(links[0])  # its socket closes later
    assert len(order) == 5


def test_what_an_earlier_process_has_sent_is_read_before_its_link_ends() -> None:
    """Guards against a second run: an end that lies unread as the gateway's next process connects counts."""
    store = StoreUnderTest()
    earlier = store.link("counter", 10, "c1")
    store.keep(earlier, "m1")
    earlier.unread = [("end", End(mid="m1", complete=True, seal="s"))]
    store.link("counter", 20, "c1")
    assert store.role.store.ends["m1"].seal == "s"


def test_an_answer_to_a_list_of_an_earlier_process_is_not_given_to_the_later_one() -> None:
    """Guards against a gateway that takes itself for the owner by what its earlier process had listed."""
    store = StoreUnderTest()
    other = store.link("depot", 5)
    store.receive(other, "pulse", Pulse(settled=True))
    earlier = store.link("counter", 10, "c1")
    store.keep(earlier, "m1")
    # the answer waits until the other store has echoed a heartbeat
    store.receive(earlier, "mine", Mine(mids=["m1"], claims=[0], whole=True, number=1))
    assert not earlier.sent("checked")
    store.clock(1.2)
    later = store.link("counter", 20, "c1")
    store.receive(other, "pulse", Pulse(settled=True, echo=9.0))
    assert not later.sent("checked")


def test_an_answer_to_an_earlier_process_of_this_store_answers_no_question_of_the_later_one() -> None:
    """Guards against confirmations that were never given: numbers of questions began anew with each start."""
    numbers = []
    for life in (7, 8):
        role = StoreRole(parse(SETTINGS, "here"), life, 0.0, "disk")
        link = PeerLink(role, "depot", 10)
        role.add_link(link)
        role.settle()
        numbers += [message.number for message in link.sent("have")]
    assert len(numbers) == len(set(numbers)) == 2


# ---- which process is the later one


def test_a_process_with_a_lower_number_counts_once_it_has_proven_to_live() -> None:
    """Guards against a node whose clock was set back: it was never linked again. Its messages wait."""
    store = StoreUnderTest()
    store.link("counter", 20, "c1")
    store.clock(5.0)
    later = store.link("counter", 10, "c1")
    assert [kind for kind, _ in later.said] == ["pulse"] and later.sent("pulse")[0].at == 5.0
    store.keep(later, "m1")
    store.receive(later, "pulse", Pulse(at=1.0, echo=4.9))
    assert store.role.store.entries == {} and store.role.links["c1"] != [later]
    store.receive(later, "pulse", Pulse(at=1.2, echo=5.0))
    assert "m1" in store.role.store.entries and store.role.links["c1"] == [later]
    assert store.role.store.gateways["c1"].incarnation == 10


def test_a_late_link_of_an_ended_process_replaces_nothing_but_its_ends_count() -> None:
    store = StoreUnderTest()
    later = store.link("counter", 20, "c1")
    store.keep(later, "m1")
    late = store.link("counter", 10, "c1")
    for kind, message in (
        ("end", End(mid="m1", complete=True, seal="s")),
        ("mine", Mine(whole=True, number=1)),
        ("pulse", Pulse(at=1.0, ready=True, echo=0.5)),
    ):
        store.receive(late, kind, message)
    store.role.remove_link(late)
    store.settle()
    assert store.role.store.ends["m1"].complete and store.role.links["c1"] == [later]
    assert store.role.store.reported == set() and not store.role.store.gateways["c1"].ready


# ---- with sockets


class Recorder(RoleBase):
    """A role that records its inputs."""

    role = "depot"

    def __init__(self) -> None:
        super().__init__(parse(SETTINGS, "here"), 1, 0.0)
        self.inputs: list[tuple[str, int]] = []

    def on_link_up(self, link: Any) -> None:
        self.inputs.append(("up", link.peer.life))

    def on_link_down(self, link: Any) -> None:
        self.inputs.append(("down", link.peer.life))

    def handle(self, link: Any, kind: str, message: Any) -> None:
        if kind == "told":
            self.inputs.append((kind, message.call))


def encoded(**message: Any) -> bytes:
    data = Envelope(**message).SerializeToString()
    return len(data).to_bytes(4) + data


def test_a_link_on_which_nothing_says_that_the_peer_has_ended_is_read_out_and_closed() -> None:
    """A loss of power: neither FIN nor RST comes, and the next process connects meanwhile."""
    role = Recorder()
    shell = Shell(role, Process(Event(), Event(), "nowhere"))
    pairs = [socket.socketpair(socket.AF_UNIX) for _ in range(2)]
    links = [Link.__new__(Link) for _ in pairs]
    for link, (near, _) in zip(links, pairs):
        far_options = SimpleNamespace(setsockopt=lambda *_: None)
        link.__init__(Wrapped(near, far_options), shell)  # type: ignore[misc]
    readers = [gevent.spawn(shell.run, link) for link in links]
    earlier, later = (far for _, far in pairs)
    earlier.sendall(encoded(hello=Hello(node="d2", role="depot", life=10)) + encoded(told=Told(call=1)))
    gevent.sleep(0.05)
    assert role.inputs == [("up", 10), ("told", 1)]
    # both arrive while this process is busy, and the reader of the later link has its turn first
    later.sendall(encoded(hello=Hello(node="d2", role="depot", life=20)) + encoded(told=Told(call=3)))
    near_later = links[1].sock.recv(65536)
    earlier.sendall(encoded(told=Told(call=2)))
    links[1].feed(near_later)
    assert role.inputs[2:] == [("told", 2), ("down", 10), ("up", 20), ("told", 3)]
    gevent.sleep(0.05)
    assert links[0].closed and readers[0].ready() and not links[1].closed
    links[1].close()
    gevent.joinall(readers, timeout=1.0)
    for _, far in pairs:
        far.close()


class Wrapped:
    """A socket without the options of TCP."""

    def __init__(self, sock: Any, options: Any) -> None:
        self.sock, self.setsockopt = sock, options.setsockopt

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


# ---- a copy that is not confirmed is owed


class LossyCluster(StoreCluster):
    """Loses peer messages while their links stay, as an error of either process does."""

    def __init__(self, names: str = "d1 d2 d3") -> None:
        self.lost_kinds: dict[str, int] = {}  # by kind: how many more are lost
        super().__init__(names)

    def receive(self, name: str, sender: str, kind: str, message: Any) -> None:
        if self.lost_kinds.get(kind, 0) > 0:
            self.lost_kinds[kind] -= 1
            return
        super().receive(name, sender, kind, message)


@pytest.mark.parametrize("kind", ["hand", "kept"])
def test_copies_that_are_not_confirmed_are_sent_again_within_sync_s(kind: str) -> None:
    """Guards against LOST: a copy whose transfer or confirmation was lost was given up for a minute."""
    d = LossyCluster()
    mids = d.keep_many(300)
    d.lost_kinds[kind] = 40
    d.restart("d1", lose_disk=True)
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)
    assert not any(store.transfers.waiting or store.transfers.oldest for store in d.stores.values())
    assert sum(store.transfers.repeated for store in d.stores.values()) >= 1


@pytest.mark.parametrize("kind", ["have", "differ"])
def test_a_comparison_whose_answer_is_lost_is_asked_again(kind: str) -> None:
    """Guards against a store that is not refilled for a minute, as one message was lost while its link
    stayed.
    """
    d = LossyCluster()
    mids = d.keep_many(300)
    d.lost_kinds[kind] = 2
    d.restart("d1", lose_disk=True)
    d.until(d.now + SYNC_S)
    assert {mid: len(d.copies(mid)) for mid in mids} == dict.fromkeys(mids, COPIES)
    assert not any(store.comparison.questions.open for store in d.stores.values())


def test_a_copy_is_not_sent_again_to_a_store_that_should_not_have_it_any_more() -> None:
    store = StoreUnderTest()
    store.keep(store.link("counter", 1, "c1"), "m1")
    peer = store.link("depot", 10)
    store.receive(peer, "differ", Differ(lack=["m1"], last=True))
    store.receive(peer, "end", End(mid="m1", complete=True, holders=["d1", "d2"]))
    for step in range(100):
        store.clock(1.0 + 0.05 * step)
        store.receive(peer, "pulse", Pulse(settled=True))
        store.role.tick()
        store.settle()
    assert copied(peer) == ["m1"] and store.role.store.transfers.waiting == 0


def test_what_has_the_fewest_replicas_is_copied_first() -> None:
    d = StoreCluster("d1 d2 d3 d4")
    store = d.stores["d1"]
    target = store.transfers.targets.setdefault("d2", Target())
    target.in_flight["full"] = Copy(("hand", "d2"), 0.0, 2 << 20)  # the window is full
    target.unconfirmed = 2 << 20
    for mid, holders in (("m1", ["d1", "d2", "d3"]), ("m2", ["d1", "d2"])):
        store.keep("c1", Keep(letter=Letter(mid=mid, holders=holders, due=9.0, until=90.0), parked=True))
        store.transfers.push("d2", mid, ("hand", "d2"))
    assert target.first() == "m2"
