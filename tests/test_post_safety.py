"""What an office, a depot and a counter say while they are cut off, taken away or told to end."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from test_post_roles import Spy

from opalwick.post.counter.agent import GatewayShell
from opalwick.post.counter.role import Counter
from opalwick.post.depot.disk import Disk
from opalwick.post.depot.role import Depot
from opalwick.post.office.role import Office
from opalwick.post.settings import parse
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


class Calling:
    def __init__(self, method: str, path: str, body: Any = None) -> None:
        self.message = Message(0.0)
        self.message.method, self.message.target = method.encode(), path.encode()
        self.message.body = json.dumps(body).encode() if body is not None else b""
        self.status, self.body = 0, b""

    def answer(self, status: int, body: bytes = b"", *fields: str) -> None:
        assert self.status == 0, "answered twice"
        self.status, self.body = status, body


def office(*seeds: int) -> Office:
    text = OFFICE.format(seeds=",".join(f"10.0.0.{n}:8262" for n in seeds))
    return Office(parse(text, "here"), 1, 0.0, None)


def asks(o: Office, method: str, path: str, body: Any = None) -> Calling:
    call = Calling(method, path, body)
    o.called(call)  # type: ignore[arg-type]
    o.settle()
    return call


def linked(o: Office, *numbers: int) -> list[Spy]:
    links = []
    for number in numbers:
        link = Spy("office", f"o{number}")
        link.peer.ip = f"10.0.0.{number}"
        o.add_link(link)
        links.append(link)
    return links


LEAVING = [("PUT", WORKER | {"state": "draining", "calls": 2}), ("DELETE", None)]


@pytest.mark.parametrize("method, body", LEAVING)
def test_a_cut_off_office_confirms_no_drain_and_tells_all_that_it_reaches(method: str, body: Any) -> None:
    o, edge = office(1, 2, 3), Spy("counter", "c1")
    linked(o, 2, 3)
    o.add_link(edge)
    assert asks(o, "PUT", "/workers/w1", WORKER).status == 200
    for number in (2, 3):
        o.remove_link(o.links[f"o{number}"][0])
    edge.said.clear()
    assert asks(o, method, "/workers/w1", body).status == 503
    told = [w for kind, news in edge.said if kind == "news" for w in news.workers]
    assert told and (told[-1].draining or told[-1].gone)
    assert asks(o, "PUT", "/workers/w2", WORKER).status == 503  # the next one may reach the others


@pytest.mark.parametrize("method, body", LEAVING)
def test_a_drain_is_confirmed_once_a_majority_has_taken_it_in(method: str, body: Any) -> None:
    o = office(1, 2, 3)
    one, other = linked(o, 2, 3)
    asks(o, "PUT", "/workers/w1", WORKER)
    call = asks(o, method, "/workers/w1", body)
    spread = next(word for kind, word in one.said if kind == "spread")
    assert call.status == 0 and any(kind == "spread" for kind, _ in other.said)
    o.handle(one, "known", Known(call=spread.call - 1, view=View()))  # of another call
    assert call.status == 0
    o.handle(one, "known", Known(call=spread.call, view=View()))
    o.handle(other, "known", Known(call=spread.call, view=View()))
    assert call.status == 200


@pytest.mark.parametrize("id", ["x" * 129, "a%20b", "a%2fb", "a%7f"])
def test_who_cannot_be_registered_is_not_kept_as_one_that_has_left(id: str) -> None:
    """An id of any length went to all processes, and stood in their directories."""
    o = office(1)
    for method, body in (("PUT", WORKER), ("DELETE", None)):
        with pytest.raises(Malformed, match="id in the path"):
            asks(o, method, f"/workers/{id}", body)
    assert not o.directory.workers


def test_a_drain_that_no_majority_takes_in_has_an_answer_in_time_which_promises_nothing() -> None:
    o = office(1, 2, 3)
    linked(o, 2, 3)  # the links are up, and nothing comes back
    call = asks(o, "PUT", "/workers/w1", WORKER | {"state": "draining"})
    o.clock(0.9)
    o.tick()
    assert call.status == 503


def test_an_office_takes_a_drain_in_and_tells_its_own_before_it_says_so() -> None:
    o, edge = office(1, 2, 3), Spy("counter", "c1")
    one, _ = linked(o, 2, 3)
    o.add_link(edge)
    order: list[str] = []
    edge.send = lambda kind, word: order.append(f"edge {kind}")  # type: ignore[method-assign]
    one.send = lambda kind, word: order.append(f"o2 {kind}")  # type: ignore[method-assign]
    worker = {"id": "w1", "svc": "s", "draining": True, "calls": 2}
    from opalwick.post.wire_pb2 import Spread, Worker

    o.handle(one, "spread", Spread(call=9, news=News(workers=[Worker(**worker)])))
    assert order == ["edge news", "o2 known"]


# ---- a depot that is taken away


def alone(depots: int = 4) -> tuple[Office, list[Spy]]:
    """An office that is the only voter, with a configuration in force."""
    o = office(1)
    o.registry.node(0.0, Node(node="o1", role="office", ip="10.0.0.1", life=1))
    links = []
    for n in range(depots):
        links.append(Spy("depot", f"d{n}"))
        o.add_link(links[-1])
    pass_time(o, 9.0, links)
    conf = {"gen": 7, "routing": [], "backends": [], "caps": {}}
    call = asks(o, "PUT", "/conf", conf)
    pass_time(o, 9.2, links)
    assert call.status == 200
    return o, links


def pass_time(o: Office, until: float, links: Sequence[Spy] = ()) -> None:
    while o.now < until:
        o.clock(round(o.now + 0.05, 3))
        for link in links:
            link.last_received = o.now
        o.tick()
        o.settle()
        while saves := o.batch():
            o.synced(saves)
            o.settle()


def test_complete_is_agreed_and_never_taken_back() -> None:
    o, links = alone()
    call = asks(o, "POST", "/retire/d1", {"over_s": 9})
    pass_time(o, o.now + 0.2, links)
    assert call.status == 200
    state = asks(o, "GET", "/retire/d1")
    pass_time(o, o.now + 0.2, links)
    assert json.loads(state.body) == {"state": "active"}
    o.handle(links[1], "pulse", Pulse(settled=True, empty=True))
    assert not Conf.FromString(o.views.in_force).emptied
    pass_time(o, o.now + 0.2, links)
    assert list(Conf.FromString(o.views.in_force).emptied) == ["d1"]
    o.handle(links[1], "pulse", Pulse(settled=True))  # started anew, it has to look first
    stored = o.views.conf
    state = asks(o, "GET", "/retire/d1")
    pass_time(o, o.now + 0.2, links)
    assert json.loads(state.body) == {"state": "complete"}
    assert list(Conf.FromString(stored).emptied) == ["d1"]  # on the disk, for whoever is primary next
    again = asks(o, "POST", "/retire/d1", {"over_s": 9})
    pass_time(o, o.now + 0.2, links)
    assert again.status == 200


def test_an_office_that_is_not_sure_of_the_majority_neither_refuses_nor_confirms() -> None:
    """Before: 404 for a machine that it had not heard of, `complete` from its memory, 409 and 200."""
    o = office(1, 2, 3)
    linked(o, 2, 3)
    for method in ("POST", "GET"):
        assert asks(o, method, "/retire/d1", {"over_s": 9}).status == 503
    o, _links = alone()
    o.views.view.voters.extend(["10.0.0.2", "10.0.0.3"])  # cut off from these, it does not know it yet
    o.views.heard_at = {"10.0.0.2": o.now, "10.0.0.3": o.now}
    o.empty["d1"] = True
    for method, path in (("GET", "/retire/d1"), ("POST", "/retire/nobody"), ("GET", "/conf")):
        call = asks(o, method, path, {"over_s": 9})
        o.clock(o.now + 0.9)
        o.tick()
        o.settle()
        assert call.status in (503, 504), (method, path)


def test_other_content_under_a_held_number_is_refused_and_the_same_acknowledged() -> None:
    o, links = alone()
    conf = {"caps": {}, "backends": [], "routing": [], "gen": 7}
    for body, status in ((conf, 200), (conf | {"caps": {"idle_ms": 9}}, 409), (conf | {"gen": 5}, 200)):
        call = asks(o, "PUT", "/conf", body)
        pass_time(o, o.now + 0.2, links)
        assert call.status == status, call.body
    assert b"take a higher number" in asks_after(o, links, conf | {"caps": {"idle_ms": 9}})


def asks_after(o: Office, links: list[Spy], body: Any) -> bytes:
    call = asks(o, "PUT", "/conf", body)
    pass_time(o, o.now + 0.2, links)
    return call.body


def test_news_of_a_configuration_leave_its_history_at_home() -> None:
    o, _ = alone()
    conf = Conf(
        gen=8,
        said=b"{}",
        digest=b"d",
        past=[Confirmed(gen=7, digest=b"e")],
        emptied=["d1"],
        services=[Service(name="s")],
    )
    edge = Spy("counter", "c1")
    o.add_link(edge)
    o.publish(conf.SerializeToString())
    told = next(word.conf for kind, word in edge.said if kind == "news" and word.conf.gen == 8)
    assert (told.said, told.digest, list(told.past)) == (b"", b"", []) and list(told.emptied) == ["d1"]


def test_a_sealed_depot_takes_nothing_after_a_restart_at_which_it_has_heard_nothing(tmp_path: Path) -> None:
    disk = Disk(str(tmp_path))
    assert disk.seal() is None
    disk.commit([("seal", (7, 2))])
    disk.close()
    disk = Disk(str(tmp_path))
    assert disk.seal() == (7, 2)
    depot, link, peer = Depot(parse(DEPOT, "here"), 2, 0.0, disk.id), Spy("counter"), Spy("depot", "d2")
    depot.keeping.seal.loaded(disk.seal())
    depot.add_link(link)
    depot.add_link(peer)
    letter = Letter(mid="m.1.1", body=b"x", holders=["d1", "d2"], until=90.0)
    depot.handle(link, "keep", Keep(letter=letter))
    depot.handle(peer, "hand", Hand(letters=[letter]))
    depot.settle()
    assert not depot.keeping.entries and not depot.queue
    assert [word.refused for kind, word in link.said if kind == "kept"] == [True]
    office_link = Spy("office", "o1")
    depot.add_link(office_link)
    for gen, seq, sealed in ((7, 1, True), (7, 2, True), (7, 3, False)):  # the order was taken back
        depot.receive(office_link, "news", News(conf=Conf(gen=gen, seq=seq), whole=True))
        depot.settle()
        assert (depot.keeping.seal.written is not None) is sealed
    disk.commit([(write.kind, write.fields) for write in depot.batch()[0]])
    assert disk.seal() is None
    disk.close()


# ---- a counter that has just started


def test_what_is_accepted_as_a_depot_is_heard_again_is_told_as_its_own() -> None:
    """Found by a drawn day (TWICE): the last `kept` and a pulse came in one read. The message was no wait any
    and no delivery yet, so it was not listed; the depot gave it to another, and both delivered it."""
    text = DEPOT.replace("depot", "counter").replace("disk", "none").replace("datadir=/data\n", "")
    counter = Counter(parse(text, "here"), 1, 0.0, 8)
    depots = [Spy("depot", name) for name in ("d1", "d2")]
    counter.directory.merge(
        News(
            conf=Conf(
                gen=1,
                body_bytes=99,
                routes=[Route(name="r", host="h", stem="/", svc="s", deferred=True, retain=90.0, tries=3)],
                services=[Service(name="s")],
            )
        )
    )
    counter.rounds.configured(counter.directory.conf)  # type: ignore[arg-type]
    for depot in depots:
        counter.add_link(depot)
    counter.settle()
    call = Calling("POST", "/x")
    letter = Letter(rid="1", host=b"h", method=b"POST", target=b"/x", body=b"x")
    counter.offered(call, call.message, letter, 0.0)  # type: ignore[arg-type]
    keep = next(word for kind, word in depots[0].said if kind == "keep")
    for depot in depots:
        depot.said.clear()
        counter.receive(depot, "kept", Kept(mid=keep.letter.mid))
    for depot in depots:
        counter.receive(depot, "pulse", Pulse(echo=0.1))
    counter.settle()
    assert call.status == 202
    for depot in depots:
        listed = [list(word.mids) for kind, word in depot.said if kind == "mine" and word.whole]
        assert listed and all(keep.letter.mid in mids for mids in listed), depot.said


# ---- a counter that is told to end


def test_a_request_that_comes_in_the_last_moment_before_the_end_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by a drawn day (LOST): read after the last look whether anybody waits, and never answered."""
    shell = GatewayShell.__new__(GatewayShell)
    order: list[str] = []
    conversations: dict[str, None] = {}

    class Accepting:
        def kill(self) -> None:
            order.append("no more are accepted")

    class Door:
        def __init__(self, *_: Any) -> None:
            self.conversations, self.close_at, self.end_at = conversations, 0.0, 0.0
            self.turned, self.closing = SimpleNamespace(set=lambda: None), True

        def accept(self) -> None: ...

        def usher(self) -> None: ...

    def sleep(seconds: float) -> None:
        order.append("waits")
        if order[-3:] == ["waits"] * 3:  # it is answered a while later
            conversations.clear()

    def finish(until: float) -> None:
        GatewayShell.finish(shell, until)
        order.append("looked")
        if order.count("looked") == 1:
            conversations["a client"] = None  # read by now

    agent = "opalwick.post.counter.agent"
    monkeypatch.setattr(f"{agent}.Door", Door)
    monkeypatch.setattr(f"{agent}.listening", lambda *_: None)
    monkeypatch.setattr(f"{agent}.gevent.sleep", sleep)
    there: Any = shell
    there.settings = SimpleNamespace(binds={"front": 1, "ready": 2}, bounds=SimpleNamespace(grace=6.0))
    there.role = SimpleNamespace(
        clock=lambda now: None,
        leave=lambda: None,
        gone=True,
        closing=True,
        rounds=SimpleNamespace(held=lambda: 0, ending={}),
    )
    there.limits = there.pulse = there.pool = None
    there.stop = SimpleNamespace(wait=lambda: None)
    monkeypatch.setattr(shell, "keep_running", lambda work: Accepting())
    monkeypatch.setattr(shell, "start_greenlets", lambda: None)
    monkeypatch.setattr(shell, "finish", finish)
    shell.serve()
    assert order == ["looked", *["no more are accepted"] * 2, *["waits"] * 3, "looked", "waits"]
