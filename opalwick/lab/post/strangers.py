"""Queries with names that were never issued: altered, guessed, made up, or under other hosts.

They go to any gateway, ready or not: also to one that has just started, is partitioned or paused.
They record in the history: `asked_wrong` (number, kind, counter, name), `told_wrong` (number, status).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from opalwick.lab.post.workers import request
from opalwick.post.names import BASE36_DIGITS, NameGenerator, complete_name, base36, node_tag

if TYPE_CHECKING:
    import random

    from opalwick.lab.post.world import World

QUERY_TIMEOUT = 2.0  # s
HOST = "lode17.example"  # of all messages of the traffic
RECENT = 200  # newest names from which one is drawn, as their messages may not have ended yet


class Wrong(NamedTuple):
    """A name that was never issued, or an issued one under another host."""

    name: str
    host: str = HOST


def altered(draw: random.Random, name: str, other: str) -> Wrong:
    at = draw.randrange(len(name))
    return Wrong(name[:at] + draw.choice((BASE36_DIGITS + "-_.").replace(name[at], "")) + name[at + 1 :])


def cut_off(draw: random.Random, name: str, other: str) -> Wrong:
    return Wrong(name[: draw.randrange(len(name))] if draw.random() < 0.5 else name[draw.randrange(1, 9) :])


def longer(draw: random.Random, name: str, other: str) -> Wrong:
    return Wrong(name + draw.choice(("-x", "_0000", ".0", "0", "/", "%20", "?a=1", ",", name)))


def spelled(draw: random.Random, name: str, other: str) -> Wrong:
    return Wrong(draw.choice((name.upper(), name.replace(".", "%2e"), "/" + name, "%" + name, "")))


def mixed(draw: random.Random, name: str, other: str) -> Wrong:
    """One name with a part of another."""
    pieces, others = name.split("."), other.split(".")
    at = draw.randrange(min(len(pieces), len(others)))
    return Wrong(".".join([*pieces[:at], others[at], *pieces[at + 1 :]]))


def next_number(draw: random.Random, name: str, other: str) -> Wrong:
    """The name of a neighbouring message of the same process, as far as it can be guessed."""
    pieces = name.split(".")
    pieces[2] = base36(int(pieces[2], 36) + draw.choice((-1, 1, 2)) if pieces[2] != "0" else 1)
    return Wrong(".".join(pieces))


def made(draw: random.Random, name: str, other: str) -> Wrong:
    """A well-formed name with a wrong secret."""
    names = NameGenerator("", 0, draw.randbytes)
    begun = ".".join([*name.split(".")[:3], names.secret()])
    return Wrong(complete_name(begun, draw.sample([f"depot-{n}" for n in range(3)], 2), HOST))


def version_before(draw: random.Random, name: str, other: str) -> Wrong:
    """The first parts of an issued name in the format of the previous version."""
    tags = [node_tag(f"depot-{n}") for n in draw.sample(range(3), 2)]
    return Wrong("-".join([".".join(name.split(".")[:3]), *tags]))


def request_id(draw: random.Random, name: str, other: str) -> Wrong:
    return Wrong(f"{draw.randrange(1 << 10):06x}")


def other_host(draw: random.Random, name: str, other: str) -> Wrong:
    return Wrong(name, draw.choice(("lode18.example", "lode17.exampl", "x.lode17.example", "ctl")))


KINDS: tuple[Callable[[random.Random, str, str], Wrong], ...] = (
    altered,
    cut_off,
    longer,
    spelled,
    mixed,
    next_number,
    made,
    version_before,
    request_id,
    other_host,
)


class Strangers:
    """Callers without any issued name; queries arrive at random, `strangers` per second."""

    def __init__(self, world: World) -> None:
        self.world, self.draw, self.number = world, world.draws.of("strangers"), 0

    def begin(self) -> None:
        if self.world.day.strangers > 0:
            self.world.agenda.after(self.draw.expovariate(self.world.day.strangers), self.come)

    def come(self) -> None:
        self.begin()
        names = list(self.world.clients.names.values())
        if len(names) < 2:
            return
        name, other = self.draw.sample(names[-RECENT:], 2)
        kind = self.draw.choice(KINDS)
        wrong = kind(self.draw, name, other)
        if wrong.host != HOST or wrong.name not in names:
            self.ask(kind.__name__, wrong)

    def ask(self, kind: str, wrong: Wrong) -> None:
        world = self.world
        machine = self.draw.choice(world.of("counter"))
        self.number += 1
        number = self.number
        world.note("asked_wrong", number, kind, machine.node, wrong.name)

        def done(status: int, body: bytes, fields: tuple[str, ...]) -> None:
            world.note("told_wrong", number, status)

        stem = self.draw.choice(("/message/", "/message-body/"))
        message = request(b"GET", stem + wrong.name, wrong.host)
        world.exchange(world, "", machine, message, done, QUERY_TIMEOUT)
