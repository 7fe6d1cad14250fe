"""HTTP listener for operators, in every scheduler process.

Connections are limited in number and each has one deadline, so that idle ones don't block others. No request
handler blocks.
"""

from __future__ import annotations

import time
from typing import Any

import gevent
from gevent import socket
from loguru import logger

from opalwick.protocol.operators import Serves, converse
from opalwick.transport.connection import Address, Connection, listening
from opalwick.transport.limits import Limits


class Operators:
    """Accepts and serves operators' connections."""

    def __init__(self, place: Address, limits: Limits, serves: Serves) -> None:
        self.limits, self.serves, self.place = limits, serves, place
        self.listener: Any = None
        self.calls: dict[Connection, None] = {}  # in the order accepted

    def accept(self) -> None:
        """Runs in its own greenlet. While the address can't be bound, clients are still served."""
        while self.listener is None:
            try:
                self.listener = listening(self.place, self.limits.backlog)
                self.place = self.listener.getsockname()
                logger.info("listening for operators on {}:{}", *self.place)
            except OSError as exc:
                logger.error("cannot listen for operators on {}:{}: {}", *self.place, exc)
                gevent.sleep(1.0)
        while True:
            socket.wait_read(self.listener.fileno())
            # at the limit the oldest is closed: requests are answered at once, so it has not sent a whole one
            while len(self.calls) >= self.limits.operators:
                oldest = next(iter(self.calls))
                del self.calls[oldest]
                oldest.close()
            try:
                connection = Connection(self.listener.accept()[0], self.limits.ring)
            except OSError:  # no descriptor left, or the peer has disconnected
                gevent.sleep(0.01)
                continue
            self.calls[connection] = None
            gevent.spawn(self.serve, connection)
            gevent.sleep(0)

    def serve(self, connection: Connection) -> None:
        try:
            converse(connection, self.limits, self.serves, time.monotonic() + self.limits.call)
        except OSError:  # disconnected, timed out, or closed at the limit
            pass
        finally:
            self.calls.pop(connection, None)
            connection.close()
