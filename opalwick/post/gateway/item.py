"""A message that a gateway delivers, and the commands to start or stop a delivery of it."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from opalwick.post.wire_pb2 import End, Letter, Route


class Item:
    """A message that this gateway delivers. Times are in seconds of the gateway's own clock."""

    __slots__ = (
        "attempt",
        "awaited",
        "awaited_since",
        "claim",
        "closed",
        "delivery_countries",
        "dispatcher_name",
        "due_at",
        "expires_at",
        "fails",
        "first_due_at",
        "given_up",
        "in_flight",
        "lost",
        "message",
        "mid",
        "partner",
        "permit_expires_at",
        "queued",
        "ran_in",
        "reassigned",
        "rejections",
        "replicas",
        "route",
        "scheduled",
    )

    def __init__(self, message: Letter, replicas: tuple[str, ...], now: float) -> None:
        """`replicas`: stores that hold a replica of the message."""
        self.message, self.mid, self.replicas = message, message.mid, replicas
        self.due_at, self.expires_at = now + message.due, now + message.until
        self.first_due_at = self.due_at
        # `lost` counts deliveries with an unknown outcome
        self.fails, self.lost, self.claim = message.fails, message.lost, message.claim
        self.attempt, self.rejections = 0, 0
        self.in_flight: dict[int, float] = {}  # by delivery: when it was sent
        # `closed`: no longer handled here. `given_up`: by the dispatcher. `queued`: for a permit, or for a
        # worker
        self.closed = self.given_up = self.queued = False
        self.permit_expires_at = math.inf  # infinite if it needs no permit
        self.reassigned = False  # to another gateway: no further attempt here
        self.awaited = set[str]()  # replicas that have not confirmed that this gateway delivers it
        self.awaited_since = now  # when it was received, or its replicas were last asked
        self.scheduled = False  # whether the schedule has an entry for it
        self.route: Route | None = None
        self.dispatcher_name = ""
        self.partner = ""  # its customer, if it is subject to data residency
        # country of each delivery, if it is subject to data residency
        self.delivery_countries: dict[int, str] = {}
        self.ran_in = ""  # country of the successful delivery


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


class UnconfirmedEnd(NamedTuple):
    """A final outcome that some replicas have not yet confirmed to have on disk."""

    end: End
    missing: set[str]  # stores that have not confirmed it
    since: float  # s, this gateway's clock


class RememberedEnd(NamedTuple):
    """The final outcome of a message, kept for as long as an assignment of it may still arrive."""

    at: float  # s, this gateway's clock: when this gateway recorded it
    end: End
