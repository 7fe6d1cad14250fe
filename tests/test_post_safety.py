"""Guarantees of controllers, stores and gateways while they are isolated, removed or shut down."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from test_post_roles import Spy

from opalwick.post.controller.role import Controller
from opalwick.post.gateway.process import GatewayShell
from opalwick.post.gateway.role import Gateway
from opalwick.post.settings import parse
from opalwick.post.store.disk import Disk
from opalwick.post.store.role import StoreRole
from opalwick.post.wire_pb2 import (
    Conf,
    Confirmed,
    Hand,
    Keep,
    Kept,
    Known,
    Letter,
    News,
    Node,
    Pulse,
    Route,
    Service,
    View,
)
from opalwick.protocol.http import Malformed, Message

OFFICE = """node=o1
role=office
ip=10.0.0.1
az=a
region=r
port_range=7300,7315
bootstrap=true
seeds={seeds}
"""
DEPOT = """node=d1
role=depot
serves=disk
ip=10.0.0.1
az=a
region=r
port_range=7300,7315
datadir=/data
seeds=10.0.0.9:8262
"""
WORKER = {"svc": "s", "address": "10.9.0.1:80", "capacity": 1, "state": "up", "calls": 1}


class FakeCall:
    """A client's request, and the answer to it."""

    def __init__(self, method: str, path: str, body: Any = None) -> None:
        self.message = Message(0.0)
        self.message.method, self.message.target = method.encode(), path.encode()
        self.message.body = json.dumps(body).encode() if body is not None else b""
        self.status, self.body = 0, b""

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        assert self.status == 0, "answered twice"
        self.status, self.body = status, body


def new_controller(*seeds: int) -> Controller:
    text = OFFICE.format(seeds=",".join(f"10.0.0.{n}:8262" for n in seeds))
    return Controller(parse(text, "here"), 1, 0.0, None)


def request(controller: Controller, method: str, path: str, body: Any = None) -> FakeCall:
    call = FakeCall(method, path, body)
    controller.called(call)  # type: ignore[arg-type]
    controller.settle()
    return call


def link_controllers(controller: Controller, *numbers: int) -> list[Spy]:
    links = []
    for number in numbers:
        link = Spy("office", f"o{number}")
        link.peer.ip = f"10.0.0.{number}"
        controller.add_link(link)
        links.append(link)
    return links


LEAVING = [("PUT", WORKER | {"state": "draining", "calls": 2}), ("DELETE", None)]


@pytest.mark.parametrize("method, body", LEAVING)
def test_an_isolated_controller_confirms_no_drain_and_publishes_it_to_all_it_reaches(
    method: str, body: Any
) -> None:
    controller, gateway = new_controller(1, 2, 3), Spy("counter", "c1")
    link_controllers(controller, 2, 3)
    controller.add_link(gateway)
    assert request(controller, "PUT", "/workers/w1", WORKER).status == 200
    for number in (2, 3):
        controller.remove_link(controller.links[f"o{number}"][0])
    gateway.said.clear()
    assert request(controller, method, "/workers/w1", body).status == 503
    updates = [w for kind, news in gateway.said if kind == "news" for w in news.workers]
    assert updates and (updates[-1].draining or updates[-1].gone)
    # the client should try another controller, which may reach the others
    assert request(controller, "PUT", "/workers/w2", WORKER).status == 503


@pytest.mark.parametrize("method, body", LEAVING)
def test_a_drain_is_confirmed_once_a_majority_has_recorded_it(method: str, body: Any) -> None:
    controller = new_controller(1, 2, 3)
    one, other = link_controllers(controller, 2, 3)
    request(controller, "PUT", "/workers/w1", WORKER)
    call = request(controller, method, "/workers/w1", body)
    spread = next(word for kind, word in one.said if kind == "spread")
    assert call.status == 0 and any(kind == "spread" for kind, _ in other.said)
    controller.handle(one, "known", Known(call=spread.call - 1, view=View()))  # of another call
    assert call.status == 0
    controller.handle(one, "known", Known(call=spread.call, view=View()))
    controller.handle(other, "known", Known(call=spread.call, view=View()))
    assert call.status == 200


@pytest.mark.parametrize("id", ["x" * 129, "a%20b", "a%2fb", "a%7f"])
def test_a_worker_id_that_cannot_be_registered_is_not_recorded_by_its_removal(id: str) -> None:
    """Guards against ids of any length that were sent to all processes and stored in their directories."""
    controller = new_controller(1)
    for method, body in (("PUT", WORKER), ("DELETE", None)):
        with pytest.raises(Malformed, match="id in the path"):
            request(controller, method, f"/workers/{id}", body)
    assert not controller.directory.workers


def test_a_drain_without_a_majority_is_answered_in_time_and_not_confirmed() -> None:
    controller = new_controller(1, 2, 3)
    link_controllers(controller, 2, 3)  # the links are up, without replies
    call = request(controller, "PUT", "/workers/w1", WORKER | {"state": "draining"})
    controller.clock(0.9)
    controller.tick()
    assert call.status == 503


def test_a_controller_records_and_publishes_a_drain_before_it_acknowledges_it() -> None:
    controller, gateway = new_controller(1, 2, 3), Spy("counter", "c1")
    one, _ = link_controllers(controller, 2, 3)
    controller.add_link(gateway)
    steps: list[str] = []
    gateway.send = lambda kind, word: steps.append(f"gateway {kind}")  # type: ignore[method-assign]
    one.send = lambda kind, word: steps.append(f"o2 {kind}")  # type: ignore[method-assign]
    worker = {"id": "w1", "svc": "s", "draining": True, "calls": 2}
    from opalwick.post.wire_pb2 import Spread, Worker

    controller.handle(one, "spread", Spread(call=9, news=News(workers=[Worker(**worker)])))
    assert steps == ["gateway news", "o2 known"]


# ---- removal of a store


def single_controller(stores: int = 4) -> tuple[Controller, list[Spy]]:
    """A controller that is the only voter, with a configuration in force, and its links to stores."""
    controller = new_controller(1)
    controller.registry.node(0.0, Node(node="o1", role="office", ip="10.0.0.1", life=1))
    links = []
    for n in range(stores):
        links.append(Spy("depot", f"d{n}"))
        controller.add_link(links[-1])
    pass_time(controller, 9.0, links)
    conf = {"gen": 7, "routing": [], "backends": [], "caps": {}}
    call = request(controller, "PUT", "/conf", conf)
    pass_time(controller, 9.2, links)
    assert call.status == 200
    return controller, links


def pass_time(controller: Controller, until: float, links: Sequence[Spy] = ()) -> None:
    while controller.now < until:
        controller.clock(round(controller.now + 0.05, 3))
        for link in links:
            link.last_received = controller.now
        controller.tick()
        controller.settle()
        while saves := controller.batch():
            controller.synced(saves)
            controller.settle()


def test_complete_is_agreed_and_never_revoked() -> None:
    controller, links = single_controller()
    call = request(controller, "POST", "/retire/d1", {"over_s": 9})
    pass_time(controller, controller.now + 0.2, links)
    assert call.status == 200
    state = request(controller, "GET", "/retire/d1")
    pass_time(controller, controller.now + 0.2, links)
    assert json.loads(state.body) == {"state": "active"}
    controller.handle(links[1], "pulse", Pulse(settled=True, empty=True))
    assert not Conf.FromString(controller.views.in_force).emptied
    pass_time(controller, controller.now + 0.2, links)
    assert list(Conf.FromString(controller.views.in_force).emptied) == ["d1"]
    # restarted, it has yet to check whether it is empty
    controller.handle(links[1], "pulse", Pulse(settled=True))
    stored = controller.views.conf
    state = request(controller, "GET", "/retire/d1")
    pass_time(controller, controller.now + 0.2, links)
    assert json.loads(state.body) == {"state": "complete"}
    assert list(Conf.FromString(stored).emptied) == ["d1"]  # on disk, for the next primary
    again = request(controller, "POST", "/retire/d1", {"over_s": 9})
    pass_time(controller, controller.now + 0.2, links)
    assert again.status == 200


def test_a_controller_that_is_not_sure_of_its_majority_neither_rejects_nor_confirms() -> None:
    """Guards against answers from its own state: 404 for an unknown machine, `complete`, 409 and 200."""
    controller = new_controller(1, 2, 3)
    link_controllers(controller, 2, 3)
    for method in ("POST", "GET"):
        assert request(controller, method, "/retire/d1", {"over_s": 9}).status == 503
    controller, _links = single_controller()
    # isolated from these, which it has not noticed yet
    controller.views.view.voters.extend(["10.0.0.2", "10.0.0.3"])
    controller.views.answered_at = {"10.0.0.2": controller.now, "10.0.0.3": controller.now}
    controller.empty["d1"] = True
    for method, path in (("GET", "/retire/d1"), ("POST", "/retire/nobody"), ("GET", "/conf")):
        call = request(controller, method, path, {"over_s": 9})
        controller.clock(controller.now + 0.9)
        controller.tick()
        controller.settle()
        assert call.status in (503, 504), (method, path)


def test_other_content_under_a_used_number_is_rejected_and_the_same_acknowledged() -> None:
    controller, links = single_controller()
    conf = {"caps": {}, "backends": [], "routing": [], "gen": 7}
    for body, status in ((conf, 200), (conf | {"caps": {"idle_ms": 9}}, 409), (conf | {"gen": 5}, 200)):
        call = request(controller, "PUT", "/conf", body)
        pass_time(controller, controller.now + 0.2, links)
        assert call.status == status, call.body
    assert b"take a higher number" in request_body(controller, links, conf | {"caps": {"idle_ms": 9}})


def request_body(controller: Controller, links: list[Spy], body: Any) -> bytes:
    call = request(controller, "PUT", "/conf", body)
    pass_time(controller, controller.now + 0.2, links)
    return call.body


def test_directory_updates_omit_the_history_of_a_configuration() -> None:
    controller, _ = single_controller()
    conf = Conf(
        gen=8,
        said=b"{}",
        digest=b"d",
        past=[Confirmed(gen=7, digest=b"e")],
        emptied=["d1"],
        services=[Service(name="s")],
    )
    gateway = Spy("counter", "c1")
    controller.add_link(gateway)
    controller.publish(conf.SerializeToString())
    sent = next(word.conf for kind, word in gateway.said if kind == "news" and word.conf.gen == 8)
    assert (sent.said, sent.digest, list(sent.past)) == (b"", b"", []) and list(sent.emptied) == ["d1"]


def test_a_sealed_store_accepts_nothing_after_a_restart_without_updates(tmp_path: Path) -> None:
    disk = Disk(str(tmp_path))
    assert disk.seal() is None
    disk.commit([("seal", (7, 2))])
    disk.close()
    disk = Disk(str(tmp_path))
    assert disk.seal() == (7, 2)
    store, link, peer = StoreRole(parse(DEPOT, "here"), 2, 0.0, disk.id), Spy("counter"), Spy("depot", "d2")
    store.store.seal.loaded(disk.seal())
    store.add_link(link)
    store.add_link(peer)
    message = Letter(mid="m.1.1", body=b"x", holders=["d1", "d2"], until=90.0)
    store.handle(link, "keep", Keep(letter=message))
    store.handle(peer, "hand", Hand(letters=[message]))
    store.settle()
    assert not store.store.entries and not store.queue
    assert [word.refused for kind, word in link.said if kind == "kept"] == [True]
    controller_link = Spy("office", "o1")
    store.add_link(controller_link)
    for gen, seq, sealed in ((7, 1, True), (7, 2, True), (7, 3, False)):  # the removal was revoked
        store.receive(controller_link, "news", News(conf=Conf(gen=gen, seq=seq), whole=True))
        store.settle()
        assert (store.store.seal.written is not None) is sealed
    disk.commit([(write.kind, write.fields) for write in store.batch()[0]])
    assert disk.seal() is None
    disk.close()


# ---- a gateway that has just started


def test_what_is_accepted_as_a_depot_is_heard_again_is_told_as_its_own() -> None:
    """Guards against a second delivery (rule TWICE): the last `kept` and a heartbeat arrived in one read. The
    message was no longer being stored and not yet scheduled, so it was missing in the list of deliveries. The
    store assigned it to another gateway, and both delivered it.
    """
    text = DEPOT.replace("depot", "counter").replace("disk", "none").replace("datadir=/data\n", "")
    gateway = Gateway(parse(text, "here"), 1, 0.0, 8)
    stores = [Spy("depot", name) for name in ("d1", "d2")]
    gateway.directory.merge(
        News(
            conf=Conf(
                gen=1,
                body_bytes=99,
                routes=[Route(name="r", host="h", stem="/", svc="s", deferred=True, retain=90.0, tries=3)],
                services=[Service(name="s")],
            )
        )
    )
    gateway.rounds.configured(gateway.directory.conf)  # type: ignore[arg-type]
    for store in stores:
        gateway.add_link(store)
    gateway.settle()
    call = FakeCall("POST", "/x")
    message = Letter(rid="1", host=b"h", method=b"POST", target=b"/x", body=b"x")
    gateway.offered(call, call.message, message, 0.0)  # type: ignore[arg-type]
    keep = next(word for kind, word in stores[0].said if kind == "keep")
    for store in stores:
        store.said.clear()
        gateway.receive(store, "kept", Kept(mid=keep.letter.mid))
    for store in stores:
        gateway.receive(store, "pulse", Pulse(echo=0.1))
    gateway.settle()
    assert call.status == 202
    for store in stores:
        listed = [list(word.mids) for kind, word in store.said if kind == "mine" and word.whole]
        assert listed and all(keep.letter.mid in mids for mids in listed), store.said


# ---- shutdown of a gateway


def test_a_request_that_comes_in_the_last_moment_before_the_end_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lost request (rule LOST): it was read after the last check for waiting clients, and
    never answered.
    """
    shell = GatewayShell.__new__(GatewayShell)
    steps: list[str] = []
    conversations: dict[str, None] = {}

    class Accepting:
        def kill(self) -> None:
            steps.append("no more are accepted")

    class Listener:
        def __init__(self, *_: Any) -> None:
            self.conversations, self.close_at, self.end_at = conversations, 0.0, 0.0
            self.end_changed, self.closing = SimpleNamespace(set=lambda: None), True

        def accept(self) -> None: ...

        def close_idle(self) -> None: ...

    def sleep(seconds: float) -> None:
        steps.append("waits")
        if steps[-3:] == ["waits"] * 3:  # it is answered after a while
            conversations.clear()

    def finish(until: float) -> None:
        GatewayShell.finish(shell, until)
        steps.append("looked")
        if steps.count("looked") == 1:
            conversations["a client"] = None  # read by now

    agent = "opalwick.post.gateway.process"
    monkeypatch.setattr(f"{agent}.Listener", Listener)
    monkeypatch.setattr(f"{agent}.listen", lambda *_: None)
    monkeypatch.setattr(f"{agent}.gevent.sleep", sleep)
    there: Any = shell
    there.settings = SimpleNamespace(binds={"front": 1, "ready": 2}, bounds=SimpleNamespace(grace=6.0))
    there.role = SimpleNamespace(
        clock=lambda now: None,
        leave=lambda: None,
        gone=True,
        closing=True,
        rounds=SimpleNamespace(held=lambda: 0, unconfirmed_ends={}),
    )
    there.limits = there.pulse = there.pool = None
    there.stop = SimpleNamespace(wait=lambda: None)
    monkeypatch.setattr(shell, "keep_running", lambda work: Accepting())
    monkeypatch.setattr(shell, "start_greenlets", lambda: None)
    monkeypatch.setattr(shell, "finish", finish)
    shell.serve()
    assert steps == ["looked", *["no more are accepted"] * 2, *["waits"] * 3, "looked", "waits"]
