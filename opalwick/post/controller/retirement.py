"""Retirement of stores: an order to empty one, its progress, and its end. No I/O; part of `role.py`."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from opalwick.post.controller.views import OK
from opalwick.post.residency.policy import in_force
from opalwick.post.wire_pb2 import Conf

if TYPE_CHECKING:
    from opalwick.post.controller.role import Controller

Answer = Callable[[int, bytes], None]


def unknown_store(name: str) -> bytes:
    return json.dumps({"err": f"no store {name!r} is registered"}).encode()


class Retirement:
    """The stores that are being removed. Only the primary orders and records anything."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    def retire(self, name: str, answer: Answer) -> None:
        """Orders that a store be emptied: gateways avoid it, and its replicas move elsewhere."""
        v, copies = self.controller.views, self.controller.settings.survive.boxes + 1
        newest = Conf.FromString(v.newest())
        if not self.is_store(name):
            answer(404, unknown_store(name))
            return
        if not newest.gen:
            answer(503, b"")  # without a configuration there are no messages
            return
        if name in newest.retiring:
            v.put(self.controller.wait(answer), v.newest())
            return
        left = {node.node for node in self.controller.nodes("depot")} - {name, *newest.retiring}
        # enough stores for all replicas after the tolerated losses; with fewer, messages would be refused
        # then
        enough = copies + self.controller.settings.survive.boxes
        if len(left) < enough or self.stores_in_country(name, newest, left) < enough:
            answer(409, b"")
            return
        there = [
            link.peer.node
            for link in self.controller.links_to("depot")
            if self.controller.now - link.last_received < 1.0
        ]
        here = left.intersection(there)
        if len(here) < enough or self.stores_in_country(name, newest, here) < enough:
            answer(503, b"")  # a store is disconnected; the order may be repeated
            return
        newest.retiring.append(name)
        newest.seq += 1
        self.controller.event(212, depot=name, left=len(left))
        v.put(self.controller.wait(answer), newest.SerializeToString())

    def is_store(self, name: str) -> bool:
        node = self.controller.directory.nodes.get(name)
        if node is not None and node.role == "depot":
            return True
        return name in Conf.FromString(self.controller.views.newest()).retiring

    def report(self, name: str, answer: Answer) -> None:
        """Reports "complete" only from the configuration in force, so that the answer never changes back."""
        if not self.is_store(name):
            answer(404, unknown_store(name))
            return
        done = name in Conf.FromString(self.controller.views.in_force).emptied
        answer(OK, b'{"state":"complete"}' if done else b'{"state":"active"}')

    def record_emptied(self) -> None:
        """At the primary: records retiring stores that reported that they have no messages left."""
        v = self.controller.views
        current = Conf.FromString(v.in_force)
        fresh = [
            name
            for name in current.retiring
            if self.controller.empty.get(name, False) and name not in current.emptied
        ]
        if fresh and not v.queue:
            current.emptied.extend(fresh)
            current.seq += 1
            self.controller.event(216, depots=",".join(fresh))
            v.put(self.controller.wait(lambda status, body: None), current.SerializeToString())

    def stores_in_country(self, name: str, conf: Conf, left: set[str]) -> float:
        """The number of stores in `left` in the country of store `name`; infinite if no partner needs that
        country.
        """
        policy = in_force(conf, self.controller.settings)
        home = policy.country(self.controller.directory.nodes[name].zone) if policy is not None else ""
        if policy is None or all(partner.home != home for partner in conf.home.partners):
            return math.inf
        return sum(policy.country(self.controller.directory.nodes[node].zone) == home for node in left)

    def remove_retired(self) -> None:
        """At the primary: removes stores that are gone from the list of retiring ones."""
        current = Conf.FromString(self.controller.views.in_force)
        nodes = self.controller.directory.nodes
        own = self.controller.window.emptied_stores()
        remaining = [
            name for name in current.retiring if name not in nodes or not nodes[name].gone or name in own
        ]
        if len(remaining) < len(current.retiring) and not self.controller.views.queue:
            del current.retiring[:]
            current.retiring.extend(remaining)
            emptied = [name for name in current.emptied if name in remaining]
            del current.emptied[:]
            current.emptied.extend(emptied)
            current.seq += 1
            self.controller.views.put(
                self.controller.wait(lambda status, body: None), current.SerializeToString()
            )
