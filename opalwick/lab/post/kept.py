"""Connections that clients keep open and go on using until the process at the other end is gone.

A client that has one sends its next request there, also while that counter calls itself not ready any more:
the platform only chooses where new connections go.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from opalwick.lab.post.process import Machine
    from opalwick.lab.post.world import World

MOST = 6  # kept at once by the clients of one zone


class KeptConnection:
    """On the virtual clock: it lasts as long as the process, and until that closes what is idle."""

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
        """The request on it is over; `keep`: with a whole answer, after which more may be asked."""
        self.busy = False
        if not keep:
            self.close()

    def close(self) -> None:
        self.process = None


class KeptConnections:
    """All that the clients of a day keep open."""

    connection_of: Any = KeptConnection

    def __init__(self, world: World) -> None:
        self.world, self.draw = world, world.draws.of("kept connections")
        self.of: dict[str, list[KeptConnection]] = {zone: [] for zone in world.day.zones}

    def take(self, zone: str) -> KeptConnection | None:
        """One for a request of that zone, which is then busy; None: it has a connection of its own."""
        if self.draw.random() >= self.world.day.kept:
            return None
        here = self.of[zone] = [one for one in self.of[zone] if one.busy or one.open]
        idle = [one for one in here if not one.busy]
        if idle and (len(here) >= MOST or self.draw.random() < 0.7):
            found = self.draw.choice(idle)
            found.busy = True
            return found
        if len(here) >= MOST:
            return None
        here.append(self.connection_of(self.world.platform.pick(zone)))
        return here[-1]
