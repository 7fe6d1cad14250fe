"""Each number stands for one content through repeats, takeovers and many changes; size of the state."""

from __future__ import annotations

import json
from random import Random

import pytest
from post_helper import Controllers

from opalwick.post.controller.conf_history import HISTORY, Match, digest, follow, match
from opalwick.post.directory import MAX_GONE_NODES, MAX_GONE_WORKERS, Directory
from opalwick.post.wire_pb2 import Conf, News, Node, Worker


def test_white_space_and_field_order_do_not_change_the_digest() -> None:
    one, other = {"gen": 7, "routing": [{"a": 1, "b": 2}]}, {"routing": [{"b": 2, "a": 1}], "gen": 7}
    assert digest(json.dumps(one).encode()) == digest(json.dumps(other, indent=2).encode())
    assert digest(b'{"gen":7}') != digest(b'{"gen":8}') and digest(b"no json") != digest(b"no  json")


def test_the_content_of_a_number_is_compared_within_the_history() -> None:
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
    """Both repeatedly send each number with their own content to any controller, while controllers restart or
    lose their disks one after the other; `Controllers` checks each answer against all earlier ones."""
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
    """The state sent to it and stored on its disk does not grow with the number of missed changes."""
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
        o.do_crash(backup)  # the new primary has only the member that was away
        o.until(o.now + 4.0)
        o.do_read("p")
        o.until(o.now + 0.2)
        assert o.answers[-1][1:] == ("read", gen, 200)
        o.do_start(backup)
        o.until(o.now + 3.0)
        sizes.append(max(len(disk.conf) + len(disk.view) for disk in o.disks.values() if disk is not None))
    assert sizes[1] < 22 * HISTORY + 200 and sizes[0] > 100


def test_the_directory_keeps_a_limited_number_of_departed_workers_and_nodes() -> None:
    """Without a limit it grows with every release. The newest entries stay, so a late heartbeat of a departed
    worker is recognised.
    """
    directory = Directory()
    for n in range(3 * MAX_GONE_WORKERS):
        for gone in (False, True):
            directory.merge(
                News(
                    workers=[Worker(id=f"w{n}", calls=1, gone=gone)],
                    nodes=[Node(node=f"n{n}", life=1, gone=gone)],
                )
            )
    assert len(directory.workers) <= MAX_GONE_WORKERS and len(directory.nodes) <= MAX_GONE_NODES
    late = directory.merge(News(workers=[Worker(id=f"w{3 * MAX_GONE_WORKERS - 1}", calls=9)]))
    assert not late.workers and directory.whole().ByteSize() < 100_000


@pytest.mark.parametrize("seed", range(10))
def test_an_office_that_ends_leaves_nothing_alone(seed: int) -> None:
    """The primary hands over and a leaving backup is replaced before the process ends, so that its disk and
    a further disk may be lost right after."""
    o = Controllers(seed)
    o.until(1.5)
    for round in range(3):
        o.do_put("p", f"{round + 1} a")
        o.until(o.now + 0.1)
        view = o.views[o.primary()].view
        me = o.primary() if (seed + round) % 2 else next(m for m in view.members if m != o.primary())
        o.views[me].leave()
        for other in o.names:
            o.views[other].shutting_down.add(me)
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
            o.views[other].shutting_down.discard(me)
        o.do_crash(lost, "wiped")
        o.until(o.now + 3.0)
        o.do_read("p")
        o.until(o.now + 0.2)
        assert o.answers[-1][1:] == ("read", round + 1, 200)
        o.do_start(lost)
        o.until(o.now + 4.0)
