"""Persistent connections of clients, used until the process at the other end has ended.

A client with such a connection sends its next request on it, even while that gateway reports itself as not
ready: the platform only chooses where new connections go.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from opalwick.lab.post.process import Machine
    from opalwick.lab.post.world import World

MAX_PER_ZONE = 6  # connections kept open at once by the clients of one zone


class KeptConnection:
    """A connection in virtual time: it lasts until the process ends or closes its idle connections."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.process: Any = machine.proc
        self.busy = True

    @property
    def open(self) -> bool:
        process = self.process
        if process is None or self.machine.proc != process or not process.alive:
            return False
        return bool(process.still) or not process.role.closing

    def answered(self, keep: bool) -> None:
        """Ends the request on it; `keep`: a whole answer came, so that the connection can be used again."""
        self.busy = False
        if not keep:
            self.close()

    def close(self) -> None:
        self.process = None


class KeptConnections:
    """The persistent connections of all clients, by zone."""

    connection_of: Any = KeptConnection

    def __init__(self, world: World) -> None:
        self.world, self.draw = world, world.draws.of("kept connections")
        self.of: dict[str, list[KeptConnection]] = {zone: [] for zone in world.day.zones}

    def take(self, zone: str) -> KeptConnection | None:
        """Reserves a connection for a request from that zone; None: the request opens one of its own."""
        if self.draw.random() >= self.world.day.kept:
            return None
        here = self.of[zone] = [one for one in self.of[zone] if one.busy or one.open]
        idle = [one for one in here if not one.busy]
        if idle and (len(here) >= MAX_PER_ZONE or self.draw.random() < 0.7):
            found = self.draw.choice(idle)
            found.busy = True
            return found
        if len(here) >= MAX_PER_ZONE:
            return None
        here.append(self.connection_of(self.world.platform.pick(zone)))
        return here[-1]
