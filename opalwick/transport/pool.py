"""A pool of reusable connections, within a budget of descriptors."""

from __future__ import annotations

import math
import time
from collections import Counter

from opalwick.transport.connection import Address, Connection, opened
from opalwick.transport.idle import IdleTime


class NoRoom(Exception):
    """The budget of descriptors is used up and no connection is idle, or the limit of the address is
    reached."""


class Pool:
    """Connections by address, in use and idle."""

    def __init__(self, most: int, idle: float, ring: int, each: int = 0) -> None:
        """`most`: connections in total; `idle`: seconds; `ring`: bytes of a buffer; `each`: connections to
        one address, in use and idle, 0 for no limit beside `most`."""
        self.most, self.ring, self.each, self.open = most, ring, each, 0
        self.open_to: Counter[Address] = Counter()
        self.each_to: dict[Address, int] = {}  # limits of addresses that differ from `each`
        self.idle = IdleTime(idle)
        self.idle_of: dict[Address, float] = {}  # seconds, as peers announced it, while one is open
        self.kept: dict[Address, list[Connection]] = {}  # idle connections, the most recently used last

    def take(self, address: Address) -> Connection:
        """Returns an open connection, or a new one that is not yet connected (`used` is 0). Raises NoRoom."""
        kept = self.kept.get(address)
        while kept:
            connection = kept.pop()  # the most recently used, so that surplus ones age and are closed
            # a request sent while the peer closes may have run, so old and closed connections are not used
            connection.rested = time.monotonic() - connection.idle_since
            if connection.rested < self.rest(address) and not connection.readable():
                connection.used += 1
                return connection
            self.close(connection)
        each = self.each_to.get(address, self.each)
        if each and self.open_to[address] >= each:
            raise NoRoom
        if self.open >= self.most and not self.shed():
            raise NoRoom
        try:
            connection = opened(self.ring)
        except OSError as problem:  # the process has fewer descriptors than configured
            raise NoRoom from problem
        connection.address = address
        self.open += 1
        self.open_to[address] += 1
        return connection

    def give(self, address: Address, connection: Connection) -> None:
        """Returns a connection to the pool after use, also a closed one."""
        if connection.closed:
            return self.close(connection)
        connection.idle_since = time.monotonic()
        self.kept.setdefault(address, []).append(connection)

    def learn(self, connection: Connection, held: bool) -> None:
        """Records whether a reused connection was still open."""
        self.idle.learn(connection.rested, held)

    def rests(self, address: Address, seconds: float) -> None:
        """Sets for how many seconds the peer keeps idle connections, as announced in its response."""
        self.idle_of[address] = seconds

    def rest(self, address: Address) -> float:
        """Returns the idle time in seconds from which a connection to the address is not reused."""
        return min(self.idle.now, self.idle_of.get(address, math.inf))

    def close(self, connection: Connection) -> None:
        """Closes a connection and removes it from the counts."""
        self.open -= 1
        address = connection.address
        self.open_to[address] -= 1
        if not self.open_to[address]:  # addresses change over time, so unused ones must not accumulate
            del self.open_to[address]
            self.idle_of.pop(address, None)
        connection.close()

    def drop(self, address: Address) -> None:
        """Closes the idle connections to an address, whose peer did not respond or has ended."""
        for connection in self.kept.pop(address, []):
            self.close(connection)

    def shed(self) -> bool:
        """Closes the connection that has been idle for longest. False if none is idle."""
        kept = min(
            (kept for kept in self.kept.values() if kept), key=lambda kept: kept[0].idle_since, default=None
        )
        if kept is None:
            return False
        self.close(kept.pop(0))
        return True

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        for address, kept in list(self.kept.items()):
            while kept and time.monotonic() - kept[0].idle_since >= self.rest(address):
                self.close(kept.pop(0))
            if not kept:
                del self.kept[address]
