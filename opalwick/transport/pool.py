"""Connections that are kept for reuse, within a budget of descriptors."""

from __future__ import annotations

import math
import time
from collections import Counter

from opalwick.transport.connection import Address, Connection, opened
from opalwick.transport.idle import IdleTime


class NoRoom(Exception):
    """The budget of descriptors is spent and no connection is idle, or that of the address is."""


class Pool:
    def __init__(self, most: int, idle: float, ring: int, each: int = 0) -> None:
        """`each`: connections to one address, in use and kept; 0: only `most` binds."""
        self.most, self.ring, self.each, self.open = most, ring, each, 0
        self.open_to: Counter[Address] = Counter()
        self.each_to: dict[Address, int] = {}  # where it is another number than `each`
        self.idle = IdleTime(idle)
        self.idle_of: dict[Address, float] = {}  # of those that said so, while any is open
        self.kept: dict[Address, list[Connection]] = {}  # the latest used last

    def take(self, address: Address) -> Connection:
        """A connection that is open, or a new one that is not yet connected (`used` is 0)."""
        kept = self.kept.get(address)
        while kept:
            connection = kept.pop()  # the latest used: the rest can grow old and go
            # a request that crosses the other side's close may have run: neither old nor closed ones are used
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
        except OSError as problem:  # the process has fewer descriptors than it was told
            raise NoRoom from problem
        connection.address = address
        self.open += 1
        self.open_to[address] += 1
        return connection

    def give(self, address: Address, connection: Connection) -> None:
        if connection.closed:
            return self.close(connection)
        connection.idle_since = time.monotonic()
        self.kept.setdefault(address, []).append(connection)

    def learn(self, connection: Connection, held: bool) -> None:
        self.idle.learn(connection.rested, held)

    def rests(self, address: Address, seconds: float) -> None:
        """That address keeps idle connections so long, as it says with an answer."""
        self.idle_of[address] = seconds

    def rest(self, address: Address) -> float:
        """From then on a connection to that address is too old."""
        return min(self.idle.now, self.idle_of.get(address, math.inf))

    def close(self, connection: Connection) -> None:
        self.open -= 1
        address = connection.address
        self.open_to[address] -= 1
        if not self.open_to[address]:  # addresses come and go
            del self.open_to[address]
            self.idle_of.pop(address, None)
        connection.close()

    def drop(self, address: Address) -> None:
        """The kept ones to that address: the other side was silent, or has ended."""
        for connection in self.kept.pop(address, []):
            self.close(connection)

    def shed(self) -> bool:
        """At the brim: the connection that has been idle longest goes."""
        kept = min(
            (kept for kept in self.kept.values() if kept), key=lambda kept: kept[0].idle_since, default=None
        )
        if kept is None:
            return False
        self.close(kept.pop(0))
        return True

    def sweep(self) -> None:
        """Drops what has been idle too long."""
        for address, kept in list(self.kept.items()):
            while kept and time.monotonic() - kept[0].idle_since >= self.rest(address):
                self.close(kept.pop(0))
            if not kept:
                del self.kept[address]
