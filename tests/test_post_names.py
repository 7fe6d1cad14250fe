"""A message's state is returned only for the exact name that was given to its client, under its own host.

Guards against the fault in `docs/incidents/mixed-state-for-a-name-never-given.md`: a state was returned for a
name that no client had been given.
"""

from __future__ import annotations

import json
import re

import pytest
from post_cluster import Cluster

from opalwick.post.names import node_tag
from opalwick.post.store.placement import Placement

LETTERS = "0123456789abcdefghijklmnopqrstuvwxyz"
NOT_SHOWN = (404, 503)


@pytest.fixture(scope="module")
def cluster() -> Cluster:
    found = Cluster(counters=3, depots=3)
    found.announce_stores()
    return found


def changed_letters(name: str) -> list[str]:
    """The name with one letter changed, at each of its places."""
    found = []
    for at, letter in enumerate(name):
        other = LETTERS[(LETTERS.index(letter) + 7) % 36] if letter in LETTERS else "x"
        found.append(name[:at] + other + name[at + 1 :])
    return found


def other_spellings(name: str) -> list[str]:
    """Variants that could be mistaken for the same name, and strings that are no name at all."""
    parts = re.split("([-_.])", name)
    found = [
        *("".join(parts[:count]) for count in range(1, len(parts))),  # cut off after any of its parts
        *("".join(parts[count:]) for count in range(1, len(parts))),
        *("".join([*parts[:at], *parts[at + 2 :]]) for at in range(0, len(parts) - 2, 2)),  # without one
        *("".join([*parts[:at], parts[at], "-", *parts[at:]]) for at in range(0, len(parts), 2)),  # twice
        name + "-x",
        name + "_" + parts[-1],
        name.upper(),
        name + "/",
        name + "?x=1",
        name + "%20",
        name.replace(".", "%2e"),
        name + "," + name,
        name + " " + name,
        name[:-1],
        name[1:],
        "",
        "-",
        ".",
        "x" * 10_000,
        name * 200,
        "\x00",
        "é",
    ]
    return [other for other in found if other != name]


@pytest.mark.parametrize("body", [False, True])
def test_only_the_spelling_that_was_given_out_is_a_name(cluster: Cluster, body: bool) -> None:
    name = cluster.named("c1", delay=60.0)
    for node in ("c1", "c2"):
        assert cluster.ask(node, name, body=body).status == 200
        wrong = {
            other: status
            for other in changed_letters(name) + other_spellings(name)
            if (status := cluster.ask(node, other, body=body).status) not in NOT_SHOWN
        }
        assert not wrong


def test_who_has_one_name_cannot_make_another(cluster: Cluster) -> None:
    """Neighbouring names belong to messages of other clients and must not be derivable from one's own."""
    names = [cluster.named("c1", delay=60.0) for _ in range(40)]
    shown = []
    for name in names[::20]:
        for at in range(len(name)):
            for letter in LETTERS:
                forged = name[:at] + letter + name[at + 1 :]
                if forged not in names and cluster.ask("c2", forged).status not in NOT_SHOWN:
                    shown.append(forged)
        parts = name.split(".")
        for other in names:  # one part of a name replaced by that of another
            for at, part in enumerate(other.split(".")):
                forged = ".".join([*parts[:at], part, *parts[at + 1 :]])
                if forged not in names and cluster.ask("c2", forged).status not in NOT_SHOWN:
                    shown.append(forged)
    assert not shown


def test_a_message_is_shown_under_its_own_host_alone(cluster: Cluster) -> None:
    name = cluster.named("c1", delay=60.0)
    for host in (b"h", b"H", b"h:8080"):  # equal under the rules of routes
        assert cluster.ask("c2", name, host).status == 200
    for host in (b"other", b"hh", b"h.example", b"", b"h,h"):
        assert cluster.ask("c2", name, host).status in NOT_SHOWN
        assert cluster.ask("c2", name, host, body=True).status in NOT_SHOWN


def test_a_true_name_is_shown_by_every_gateway_for_as_long_as_it_has_to_be() -> None:
    cluster = Cluster(counters=3, depots=3)
    name = cluster.named("c1")
    cluster.run(0.1)
    [mid] = cluster.out
    cluster.answer(mid)
    cluster.run(1.0)
    cluster.end("c1")  # the process that gave the name has gone
    cluster.start_gateway("c1", 11)
    cluster.announce_stores()
    cluster.run(4.0)
    for node in ("c1", "c2", "c3"):
        found = cluster.ask(node, name)
        assert (found.status, json.loads(found.body)) == (200, {"state": "complete", "seal": "seal of c1"})
    for one in ("d1", "d2"):  # stores become unavailable one after the other: never 404
        cluster.end(one)
        assert cluster.ask("c2", name).status in (200, 503)


def test_names_of_the_earlier_version_stay_valid(monkeypatch: pytest.MonkeyPatch) -> None:
    """Stores of the earlier version hold a message under the first part of its name, and compare the tags
    with its replicas.
    """
    cluster = Cluster(counters=2, depots=3)
    cluster.announce_stores()
    monkeypatch.setattr(
        "opalwick.post.gateway.admission.complete_message_name", lambda letter: "1c.k3f9a2.zz"
    )
    cluster.named("c1", delay=60.0)
    first, second = cluster.holders("1c.k3f9a2.zz")
    third = ({"d1", "d2", "d3"} - {first, second}).pop()
    name = "-".join(["1c.k3f9a2.zz", node_tag(first), node_tag(second)])
    assert json.loads(cluster.ask("c2", name).body) == {"state": "pending"}
    assert cluster.ask("c2", name, body=True).body == b"x"
    for tags in ([second, first], [first], [first, third], [first, second, second], [third], []):
        other = "-".join(["1c.k3f9a2.zz", *map(node_tag, tags)])
        assert cluster.ask("c2", other).status in NOT_SHOWN
        assert cluster.ask("c2", other, body=True).status in NOT_SHOWN
    assert cluster.ask("c2", name.replace("zz", "zy")).status == 404
    for node in (first, second):  # its replicas have changed: whether the name was ever given is uncertain
        cluster.roles[node].store.place("1c.k3f9a2.zz", Placement((first, third), 1))
    assert cluster.ask("c2", name).status == 503
