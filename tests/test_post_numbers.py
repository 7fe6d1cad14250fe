"""One number, one content: through repeats, takeovers and thousands of changes; how large the state gets."""

from __future__ import annotations

import json
from random import Random

import pytest
from post_helper import Controllers

from opalwick.post.directory import GONE_NODES, GONE_WORKERS, Directory
from opalwick.post.office.numbers import HISTORY, Match, digest, follow, match
from opalwick.post.wire_pb2 import Conf, News, Node, Worker


def test_blanks_and_the_order_of_fields_make_no_other_content() -> None:
    one, other = {"gen": 7, "routing": [{"a": 1, "b": 2}]}, {"routing": [{"b": 2, "a": 1}], "gen": 7}
    assert digest(json.dumps(one).encode()) == digest(json.dumps(other, indent=2).encode())
    assert digest(b'{"gen":7}') != digest(b'{"gen":8}') and digest(b"no json") != digest(b"no  json")


def test_what_a_number_stands_for_is_known_as_far_as_it_is_remembered() -> None:
    newest = Conf()
    for gen in range(1, 3001):
        conf = Conf(gen=gen, said=b"%d" % gen)
        follow(conf, newest)
        newest = conf
    assert len(newest.past) == HISTORY and newest.ByteSize() < 22 * HISTORY + 20
    assert match(newest, Conf(gen=3000, said=b"3000")) is Match.SAME
    assert match(newest, Conf(gen=2999, said=b"2999")) is Match.SAME
    assert match(newest, Conf(gen=2999, said=b"x")) is match(newest, Conf(gen=3000, said=b"x")) is Match.OTHER
    assert match(newest, Conf(gen=5, said=b"5")) is Match.UNKNOWN


@pytest.mark.parametrize("seed", range(40))
def test_two_operators_under_one_number_through_takeovers(seed: int) -> None:
    """Each sends each number with a content of its own, again and again, to any office, while one after the
    other is started anew, cut off or loses its disk; `Controllers` holds each answer against all before."""
    o = Controllers(seed, late=(0.001, 0.1), lost=0.02, sync=(0.001, 0.04))
    r, sent = Random(seed), list[str]()
    o.until(1.0)
    for round in range(24):
        fresh = [f"{round // 2 + 1} {who}" for who in "ab"]
        sent += fresh
        for text in [*fresh, *r.sample(sent, min(4, len(sent)))]:
            o.do_put(o.primary() or r.choice(o.names), text)
            o.until(o.now + r.random() * 0.1)
        if r.random() < 0.4:
            me = r.choice(o.names)
            o.do_crash(me, "wiped" if r.random() < 0.3 and len(o.views) == 3 else "")
            o.until(o.now + r.choice((0.1, 1.5)))
            o.do_start(me)
            o.until(o.now + 2.5)
    assert sum(status == 200 for *_, status in o.answers) > 20
    assert sum(status == 409 for *_, status in o.answers) > 3


def test_a_member_that_was_away_for_a_thousand_changes_has_the_newest_at_once() -> None:
    """What it is sent and has on its disk does not grow with the changes that it missed."""
    o = Controllers(5)
    o.until(1.0)
    sizes, gen = [], 0
    for until in (10, 1000):
        o.do_crash("o3" if o.primary() != "o3" else "o2")
        while gen < until:
            gen += 1
            o.do_put("p", f"{gen} x")
            o.until(o.now + 0.02)
        away = next(name for name in o.names if name not in o.views)
        o.do_start(away)
        o.until(o.now + 3.0)
        backup = next(name for name in o.names if name not in (away, o.primary()))
        o.do_crash(backup)  # whoever leads now has only the one that was away
        o.until(o.now + 4.0)
        o.do_read("p")
        o.until(o.now + 0.2)
        assert o.answers[-1][1:] == ("read", gen, 200)
        o.do_start(backup)
        o.until(o.now + 3.0)
        sizes.append(max(len(disk.conf) + len(disk.view) for disk in o.disks.values() if disk is not None))
    assert sizes[1] < 22 * HISTORY + 200 and sizes[0] > 100


def test_what_is_remembered_of_those_that_left_is_bounded() -> None:
    """A release an hour for years; the newest stay, so that a late beat of them is known for what it is."""
    directory = Directory()
    for n in range(3 * GONE_WORKERS):
        for gone in (False, True):
            directory.merge(
                News(
                    workers=[Worker(id=f"w{n}", calls=1, gone=gone)],
                    nodes=[Node(node=f"n{n}", life=1, gone=gone)],
                )
            )
    assert len(directory.workers) <= GONE_WORKERS and len(directory.nodes) <= GONE_NODES
    late = directory.merge(News(workers=[Worker(id=f"w{3 * GONE_WORKERS - 1}", calls=9)]))
    assert not late.workers and directory.whole().ByteSize() < 100_000


@pytest.mark.parametrize("seed", range(10))
def test_an_office_that_ends_leaves_nothing_alone(seed: int) -> None:
    """The primary hands over at once, a backup's place is filled; its disk may be gone with it, and a further
    disk may be lost right after."""
    o = Controllers(seed)
    o.until(1.5)
    for round in range(3):
        o.do_put("p", f"{round + 1} a")
        o.until(o.now + 0.1)
        view = o.views[o.primary()].view
        me = o.primary() if (seed + round) % 2 else next(m for m in view.members if m != o.primary())
        o.views[me].leave()
        for other in o.names:
            o.views[other].leavers.add(me)
        began = o.now
        while o.views[me].needed:
            o.until(o.now + 0.01)
            assert o.now < began + 0.8, "it is still needed"
        o.do_crash(me, "wiped")
        o.do_put("p", f"{round + 1} a")
        o.until(o.now + 0.15)
        assert o.answers[-1][1:] == ("put", round + 1, 200)
        lost = o.primary()
        o.do_start(me)
        o.until(o.now + 4.0)
        for other in o.names:
            o.views[other].leavers.discard(me)
        o.do_crash(lost, "wiped")
        o.until(o.now + 3.0)
        o.do_read("p")
        o.until(o.now + 0.2)
        assert o.answers[-1][1:] == ("read", round + 1, 200)
        o.do_start(lost)
        o.until(o.now + 4.0)
