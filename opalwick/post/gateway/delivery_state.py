"""State of a gateway's deliveries, and the parts of it that all of its concerns use. No sockets, no clock.

`Rounds` in `scheduling.py` is the complete state machine. The modules between the two have one concern each:
`worker_selection.py` which workers there are for each service, `outcomes.py` what follows from the outcome of
a delivery, and how messages end.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from typing import Any

from opalwick.post.gateway.dispatchers import Dispatcher
from opalwick.post.gateway.item import Item, RememberedEnd, Start, Stop, UnconfirmedEnd
from opalwick.post.gateway.ownership import Agreement
from opalwick.post.gateway.routes import Routes
from opalwick.post.maintenance.resting import Resting
from opalwick.post.residency.policy import Policy
from opalwick.post.residency.queue import ResidencyQueue
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Worker
from opalwick.random_source import RandomSource


class DeliveryState:
    """The messages that this gateway delivers, their schedule, and the effects that are to be carried out.
    Times are in seconds of its clock.
    """

    def __init__(
        self, node: str, settings: Settings, seed: int, now: float, may_send: Callable[[Item], bool]
    ) -> None:
        """`may_send`: whether the replicas of a message have recently received messages from this gateway."""
        self.node, self.settings, self.now, self.seed = node, settings, now, seed
        self.chance = RandomSource(seed)
        self.may_send = may_send
        self.items: dict[str, Item] = {}
        self.schedule: list[tuple[float, int, Item]] = []
        self.agreement = Agreement(self.items, self.send, self.schedule_now, may_send)
        self.serial = 0
        self.routes: Routes | None = None
        self.dispatchers: dict[str, Dispatcher] = {}
        self.wake_at = math.inf  # earliest timer of a dispatcher
        # services whose messages wait, or have waited, for permits
        self.awaiting_permits: dict[str, None] = {}
        self.zones: dict[str, int] = {}
        self.workers: dict[str, Worker] = {}
        self.resting = Resting()  # workers whose rack is drained or unavailable
        self.gateway_count = 1  # gateways that share the workers
        self.connection_limits: dict[tuple[str, int], int] = {}  # by address
        self.gateways_in_country = 1
        # by service: names of its data residency dispatchers
        self.residency_dispatchers: dict[str, list[str]] = {}
        self.unconfirmed_ends: dict[str, UnconfirmedEnd] = {}  # by message
        self.remembered_ends: dict[str, RememberedEnd] = {}  # by message
        # by store: number of the last full list of deliveries sent to it
        self.list_numbers: dict[str, int] = {}
        self.ends_by_service: dict[str, int] = {}  # final outcomes sent since the start
        self.leaving = False
        self.policy: Policy | None = None  # where messages subject to data residency may run
        self.country = ""  # of this gateway
        # by dispatcher: messages waiting for a worker in their country
        self.residency_queues: dict[str, ResidencyQueue] = {}
        self.outbox: list[tuple[str, str, Any]] = []
        self.commands: list[Start | Stop] = []
        counted = ("delivered", "failed", "dead", "unknown", "parked", "turned_away")
        self.figures = dict.fromkeys((*counted, "begun_after_end", "second_successes"), 0)

    def clock(self, now: float) -> None:
        self.now = now

    def effects(self) -> tuple[list[tuple[str, str, Any]], list[Start | Stop]]:
        """Returns the messages to stores and the commands since the last call, and clears both."""
        found = self.outbox, self.commands
        self.outbox, self.commands = [], []
        return found

    def held(self) -> int:
        """Number of messages that this gateway owns."""
        return len(self.items)

    def send(self, node: str, kind: str, content: Any) -> None:
        self.outbox.append((node, kind, content))

    def schedule_now(self, item: Item) -> None:
        """Schedules it for the next tick."""
        self.schedule_at(self.now, item)

    def schedule_at(self, when: float, item: Item) -> None:
        """Schedules it, unless it is scheduled already or no longer handled here."""
        if item.reassigned:
            self.remove(item)
            return
        if item.scheduled or item.closed:
            return
        item.scheduled = True
        self.serial += 1
        heapq.heappush(self.schedule, (when, self.serial, item))

    # hooks of the complete state machine

    def apply(self, dispatcher: Dispatcher, decided: Iterable[Any], judged: Any = None) -> None:
        """Applies a dispatcher's decisions."""
        raise NotImplementedError

    def remove(self, item: Item) -> None:
        """Removes an item that is no longer handled here."""
        raise NotImplementedError

    def return_to_stores(self, which: Callable[[Item], bool]) -> None:
        """Returns the selected messages that aren't in flight to their stores."""
        raise NotImplementedError
