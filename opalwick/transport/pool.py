"""A pool of reusable connections, within a budget of descriptors."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable

from opalwick.transport.connection import Address, Connection, new_connection
from opalwick.transport.idle_time import IdleTime


class PoolExhausted(Exception):
    """The budget of descriptors is used up and no connection is idle, or the limit of the address is
    reached."""


class Pool:
    """Connections by address, in use and idle."""

    def __init__(
        self,
        max_open: int,
        idle: float,
        ring: int,
        max_per_address: int = 0,
        connect: Callable[[int], Connection] = new_connection,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`max_open`: connections in total; `idle`: seconds; `ring`: bytes of a buffer; `max_per_address`:
        connections to one address, in use and idle, 0 for no limit beside `max_open`. `connect`: makes a
        connection with buffers of that size. `clock`: the time in seconds."""
        self.max_open, self.ring, self.max_per_address, self.open = max_open, ring, max_per_address, 0
        self.connect, self.clock = connect, clock
        self.open_to: Counter[Address] = Counter()
        self.max_by_address: dict[Address, int] = {}  # limits of addresses that differ from `max_per_address`
        self.idle_time = IdleTime(idle)
        self.announced_idle: dict[Address, float] = {}  # seconds, as peers announced it, while one is open
        self.idle: dict[Address, list[Connection]] = {}  # idle connections, the most recently used last

    def acquire(self, address: Address, request_id: bytes = b"") -> Connection:
        """Returns an open connection, or a new one that is not yet connected (`uses` is 0). `request_id`: of
        the request to be written; not on a connection that had an unfinished one with the same id.

        Raises PoolExhausted.
        """
        if (connection := self.reuse(address, request_id)) is not None:
            return connection
        most = self.max_by_address.get(address, self.max_per_address)
        if most and self.open_to[address] >= most and not self.close_oldest(address):
            raise PoolExhausted
        if self.open >= self.max_open and not self.evict():
            raise PoolExhausted
        try:
            connection = self.connect(self.ring)
        except OSError as problem:  # the process has fewer descriptors than configured
            raise PoolExhausted from problem
        connection.address = address
        self.open += 1
        self.open_to[address] += 1
        return connection

    def reuse(self, address: Address, request_id: bytes) -> Connection | None:
        """Takes the most recently used idle connection, so that surplus ones age and are closed."""
        idle = self.idle.get(address, [])
        for connection in reversed(list(idle)):
            # a request sent while the peer closes may have run, so old and closed connections are not used;
            # nor is one on which something came that nobody has asked for
            connection.idle_before_use = self.clock() - connection.idle_since
            if connection.idle_before_use >= self.idle_limit(address) or connection.readable():
                idle.remove(connection)
                self.close(connection)
            elif request_id not in connection.unfinished:
                idle.remove(connection)
                connection.uses += 1
                return connection
        return None

    def release(self, address: Address, connection: Connection) -> None:
        """Returns a connection to the pool after use, also a closed one."""
        if connection.closed or connection.unfinished.full:
            return self.close(connection)
        connection.idle_since = self.clock()
        self.idle.setdefault(address, []).append(connection)

    def record_use(self, connection: Connection, was_open: bool) -> None:
        """Records whether a reused connection was still open."""
        self.idle_time.record_use(connection.idle_before_use, was_open)

    def set_idle_limit(self, address: Address, seconds: float) -> None:
        """Sets for how many seconds the peer keeps idle connections, as announced in its response."""
        self.announced_idle[address] = seconds

    def idle_limit(self, address: Address) -> float:
        """Returns the idle time in seconds from which a connection to the address is not reused."""
        return min(self.idle_time.limit, self.announced_idle.get(address, math.inf))

    def close(self, connection: Connection) -> None:
        """Closes a connection and removes it from the counts."""
        self.open -= 1
        address = connection.address
        self.open_to[address] -= 1
        if not self.open_to[address]:  # addresses change over time, so unused ones must not accumulate
            del self.open_to[address]
            self.announced_idle.pop(address, None)
        connection.close()

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to an address, whose peer did not respond or has ended."""
        for connection in self.idle.pop(address, []):
            self.close(connection)

    def close_oldest(self, address: Address) -> bool:
        """Closes the connection to an address that has been idle for longest. False if none is idle."""
        if not (idle := self.idle.get(address)):
            return False
        self.close(idle.pop(0))
        return True

    def evict(self) -> bool:
        """Closes the connection that has been idle for longest. False if none is idle."""
        oldest = min(
            (idle for idle in self.idle.values() if idle), key=lambda idle: idle[0].idle_since, default=None
        )
        if oldest is None:
            return False
        self.close(oldest.pop(0))
        return True

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        for address, idle in list(self.idle.items()):
            while idle and self.clock() - idle[0].idle_since >= self.idle_limit(address):
                self.close(idle.pop(0))
            if not idle:
                del self.idle[address]
