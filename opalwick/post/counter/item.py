"""A message that a counter delivers, and the orders to start or stop a delivery of it."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from opalwick.post.wire_pb2 import End, Letter, Route


class Item:
    """A message that this counter delivers. Times are its own clock's."""

    __slots__ = (
        "aim_at",
        "attempt",
        "awaited",
        "claim",
        "dated",
        "due",
        "fails",
        "foreign",
        "given_up",
        "letter",
        "lost",
        "mid",
        "out",
        "over",
        "partner",
        "queued",
        "ran",
        "route",
        "sent",
        "since",
        "svc",
        "touched",
        "turned",
        "until",
        "use_by",
    )

    def __init__(self, letter: Letter, touched: tuple[str, ...], now: float) -> None:
        self.letter, self.mid, self.touched = letter, letter.mid, touched
        self.due, self.until = now + letter.due, now + letter.until
        self.aim_at = self.due  # when it was due first
        self.fails, self.lost, self.claim = letter.fails, letter.lost, letter.claim
        self.attempt, self.turned = 0, 0
        self.out: dict[int, float] = {}  # deliveries on their way: when each was sent
        self.over = self.given_up = self.queued = False
        self.use_by = math.inf  # when its permit is over, where it needs one
        self.foreign = False  # another delivers it by now: no further attempt here
        self.awaited = set[str]()  # depots that keep it and have not agreed that it is delivered here
        self.since = now  # when it came here
        self.dated = False  # it has its turn in `due`
        self.route: Route | None = None
        self.svc = ""  # the desk's name
        self.partner = ""  # whose it is, where it has a home
        self.sent: dict[int, str] = {}  # deliveries: the country, where it has a home
        self.ran = ""  # that where its success ran


class Start(NamedTuple):
    item: Item
    key: Any
    number: int
    place: Any  # host, port, id
    within: float  # s that the worker has
    away: bool  # in another zone


class Stop(NamedTuple):
    key: Any
    number: int


class UntoldEnd(NamedTuple):
    """An end that is not on the disks of all depots that keep the message."""

    word: End
    missing: set[str]  # depots that have not said that they have it
    since: float  # s, this counter's clock


class RememberedEnd(NamedTuple):
    """How a message has ended, for as long as an assignment of it may still be on its way."""

    at: float  # s, this counter's clock: when it was known here
    word: End
