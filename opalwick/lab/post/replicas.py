"""Counts the replicas of messages and ends on the simulated disks of the stores, as seen from outside."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opalwick.lab.post.world import World

REQUIRED = 2  # `survive.boxes` is 1 in all scenarios


class ReplicaCounter:
    """The replicas of all messages at one moment after the other."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.read_at = 0.0
        self.bodies: dict[str, int] = {}  # by message name: disks that have its bytes
        self.ends: dict[str, int] = {}  # by message name: disks that have its end
        self.dead: set[str] = set()  # ended without a success, by all records
        self.ended_at: dict[str, float] = {}  # by message name: when its end was first seen

    def read(self, disks: Iterable[sqlite3.Connection]) -> None:
        """Reads the disks of all stores, whether or not their machines are up."""
        self.read_at = self.world.agenda.now
        self.bodies, self.ends = {}, {}
        complete = set[str]()
        for disk in disks:
            for (mid,) in disk.execute("select mid from letters"):
                self.bodies[mid] = self.bodies.get(mid, 0) + 1
            for mid, success in disk.execute("select mid, complete from ends"):
                self.ends[mid] = self.ends.get(mid, 0) + 1
                self.ended_at.setdefault(mid, self.read_at)
                if success:
                    complete.add(mid)
        self.dead = self.ends.keys() - complete

    def lacking(self, name: str) -> tuple[str, int, int] | None:
        """What an accepted message has too few of: `message`, `end` or `body` (of a dead one), how many there
        are and how many are required; None: nothing.
        """
        bodies, ends = self.bodies.get(name, 0), self.ends.get(name, 0)
        if name not in self.ended_at:
            return ("message", bodies, REQUIRED) if bodies < REQUIRED else None
        bounds, age = self.world.day.bounds, self.read_at - self.ended_at[name]
        if not float(bounds.sync) < age < float(bounds.state):
            return None
        if ends < REQUIRED:
            return "end", ends, REQUIRED
        return ("body", bodies, REQUIRED) if name in self.dead and bodies < REQUIRED else None
