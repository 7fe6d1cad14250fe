"""Roles played against their own words: what a depot says once its disk has answered."""

from __future__ import annotations

from typing import Any

import pytest

from opalwick.post.beats import Heartbeat
from opalwick.post.counter.role import Counter
from opalwick.post.depot.role import Depot
from opalwick.post.office.role import Office
from opalwick.post.settings import parse
from opalwick.post.wire_pb2 import Ask, Checked, Conf, End, Hello, Keep, Letter, Pulse

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
    """A link that remembers what was said on it."""

    def __init__(self, role: str, node: str = "c1") -> None:
        self.peer, self.last_received = Hello(node=node, role=role, zone="a", ip="10.0.0.2", life=1), 0.0
        self.said: list[tuple[str, Any]] = []

    def send(self, kind: str, word: Any) -> None:
        self.said.append((kind, word))


@pytest.mark.parametrize("complete, state, body", [(True, 2, b""), (False, 3, b"octets")])
def test_octets_of_a_message_that_ends_while_they_are_fetched(
    complete: bool, state: int, body: bytes
) -> None:
    """Found by a hunt (MIXED): asked for while pending, ended in the same batch: an empty body as 200."""
    depot, link = Depot(parse(SETTINGS, "here"), 1, 0.0, "x"), Spy("counter")
    depot.add_link(link)
    letter = Letter(mid="m.1.1", body=b"octets", holders=["d1"], until=90.0)
    depot.handle(link, "keep", Keep(letter=letter))
    depot.settle()
    depot.synced(*depot.batch(), [])
    depot.handle(link, "ask", Ask(call=7, mid="m.1.1", body=True))
    depot.handle(link, "end", End(mid="m.1.1", complete=complete, seal="s"))
    depot.settle()
    writes, fetches = depot.batch()
    depot.synced(writes, fetches, [None if complete else letter.SerializeToString()])
    told = [word for kind, word in link.said if kind == "told"]
    assert [(word.call, word.state, word.body) for word in told] == [(7, state, body)]


def test_a_depot_does_not_end_while_a_batch_is_on_its_way_to_a_slow_disk() -> None:
    """Found by a soak: its thread went on with a disk that was closed, and the process ended with a fault."""
    depot, link = Depot(parse(SETTINGS, "here"), 1, 0.0, "x"), Spy("counter")
    depot.clock(1.0)
    depot.add_link(link)
    depot.handle(link, "keep", Keep(letter=Letter(mid="m.1.1", holders=["d1"], until=90.0)))
    depot.settle()
    batch = depot.batch()
    depot.leave()
    depot.clock(5.0)
    assert not depot.gone
    depot.synced(*batch, [])
    assert depot.gone and "kept" in [kind for kind, _ in link.said]


def test_a_counter_asks_again_whose_its_messages_are_once_words_are_not_late_any_more() -> None:
    """A depot's answer that came when the last echo was old proved nothing; and nothing else was to come."""
    text = SETTINGS.replace("depot", "counter").replace("disk", "none").replace("datadir=/data\n", "")
    counter, depot = Counter(parse(text, "here"), 1, 0.0, 8), Spy("depot", "d1")
    counter.add_link(depot)
    counter.settle()

    def hear(now: float, kind: str, word: Any) -> int:
        """How often all that it delivers was told anew."""
        counter.clock(now)
        depot.said.clear()
        counter.receive(depot, kind, word)
        counter.settle()
        return sum(kind == "mine" and word.whole for kind, word in depot.said)

    assert hear(3.0, "pulse", Pulse(echo=1.0)) == 1  # two seconds late, and late they stay
    assert hear(3.1, "checked", Checked(number=counter.rounds.numbers["d1"])) == 0
    assert not counter.sure and hear(3.2, "pulse", Pulse(echo=1.2)) == 0
    assert hear(3.3, "pulse", Pulse(echo=2.6)) == 1  # the echoes' own distance is no gap
    hear(3.4, "checked", Checked(number=counter.rounds.numbers["d1"]))
    assert counter.sure == {"d1"} and hear(3.5, "pulse", Pulse(echo=3.4)) == 0


def test_an_office_that_reaches_no_majority_silences_nobody() -> None:
    """Counters reach both sides: who is cut off hears no beats, and who hears them tells counters of each."""
    text = (
        SETTINGS.replace("depot", "office")
        .replace("disk", "ctl")
        .replace("datadir", "binds.ctl=10.0.0.1:8262\nd")
    )
    office = Office(parse(text.replace("seeds=", "seeds=10.0.0.1:8262,10.0.0.8:8262,"), "here"), 1, 0.0, None)
    counter, other = Spy("counter"), Spy("office", "o2")
    other.peer.ip = "10.0.0.8"
    for link in (counter, other):
        office.add_link(link)

    def told(now: float) -> list[bool]:
        office.clock(now)
        office.registry.beat(now, Heartbeat("w", "s", "h", 1, "a", "v1", 2, False, 0.0, int(now)))
        counter.said.clear()
        office.clock(now + 9.0)
        office.tick()
        return [worker.silent for kind, word in counter.said if kind == "news" for worker in word.workers]

    assert told(1.0) == [True]
    office.remove_link(other)
    assert told(20.0) == []


def test_a_depot_may_be_emptied_where_enough_are_left_after_a_loss() -> None:
    """409 ends the order for good: where one of those that would be left is only away it may come again."""
    text = (
        SETTINGS.replace("depot", "office")
        .replace("disk", "ctl")
        .replace("datadir", "binds.ctl=10.0.0.1:8262\nd")
        .replace("seeds=10.0.0.9", "seeds=10.0.0.1")
    )
    office = Office(parse(text + "bootstrap=true\n", "here"), 1, 0.0, None)
    office.views.copies = 1  # alone
    office.clock(1.0)
    office.tick()
    answers: list[int] = []

    def settled() -> list[int]:
        for _ in range(9):
            office.settle()
            office.synced(office.batch())
        return answers

    settled()
    office.views.put(office.wait(lambda status, body: None), Conf(gen=1).SerializeToString())
    settled()
    links = [Spy("depot", f"d{n}") for n in (1, 2, 3, 4)]
    for link in links:
        office.add_link(link)
        link.last_received = office.now
    for _ in range(2):
        office.retire("d2", lambda status, body: answers.append(status))
    assert settled() == [200, 200] and list(Conf.FromString(office.views.in_force).retiring) == ["d2"]
    office.retire("d3", lambda status, body: answers.append(status))  # of two one may be lost
    office.views.put(office.wait(lambda status, body: None), Conf(gen=2).SerializeToString())
    settled()
    office.remove_link(links[0])
    office.retire("d3", lambda status, body: answers.append(status))
    assert settled()[2:] == [409, 503]
