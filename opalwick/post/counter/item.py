"""A message that a gateway delivers, and the commands to start or stop a delivery of it."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from opalwick.post.wire_pb2 import End, Letter, Route


class Item:
    """A message that this gateway delivers. Times are in seconds of the gateway's own clock."""

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

    def __init__(self, message: Letter, replicas: tuple[str, ...], now: float) -> None:
        """`replicas`: stores that hold a replica of the message."""
        self.letter, self.mid, self.touched = message, message.mid, replicas
        self.due, self.until = now + message.due, now + message.until
        self.aim_at = self.due  # when it was first due
        # `lost` counts deliveries with an unknown outcome
        self.fails, self.lost, self.claim = message.fails, message.lost, message.claim
        self.attempt, self.turned = 0, 0
        self.out: dict[int, float] = {}  # deliveries in flight: when each was sent
        self.over = self.given_up = self.queued = False
        self.use_by = math.inf  # when its permit expires, where it needs one
        self.foreign = False  # reassigned to another gateway: no further attempt here
        self.awaited = set[str]()  # replicas that have not confirmed that this gateway delivers it
        self.since = now  # when this gateway received it
        self.dated = False  # it has an entry in the schedule
        self.route: Route | None = None
        self.svc = ""  # name of its dispatcher
        self.partner = ""  # its customer, if it is subject to data residency
        self.sent: dict[int, str] = {}  # country of each delivery, if it is subject to data residency
        self.ran = ""  # country of the successful delivery


class Start(NamedTuple):
    """Starts a delivery. A replayed trace shows it under the names of its fields."""

    item: Item
    key: Any
    number: int
    place: Any  # host, port, id of the worker
    within: float  # s that the worker has
    away: bool  # the worker is in another zone


class Stop(NamedTuple):
    """Cancels a delivery; see `Start`."""

    key: Any
    number: int


class UntoldEnd(NamedTuple):
    """A final outcome that some replicas have not yet confirmed to have on disk."""

    word: End
    missing: set[str]  # stores that have not confirmed it
    since: float  # s, this gateway's clock


class RememberedEnd(NamedTuple):
    """The final outcome of a message, kept for as long as an assignment of it may still arrive."""

    at: float  # s, this gateway's clock: when this gateway recorded it
    word: End
