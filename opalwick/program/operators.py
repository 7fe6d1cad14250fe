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

from opalwick.protocol.operators import OperatorActions, serve_call
from opalwick.transport.connection import Address, Connection, listen
from opalwick.transport.limits import Limits


class Operators:
    """Accepts and serves operators' connections."""

    def __init__(self, place: Address, limits: Limits, serves: OperatorActions) -> None:
        self.limits, self.handler, self.address = limits, serves, place
        self.listener: Any = None
        self.connections: dict[Connection, None] = {}  # in the order accepted

    def accept(self) -> None:
        """Runs in its own greenlet. While the address can't be bound, clients are still served."""
        while self.listener is None:
            try:
                self.listener = listen(self.address, self.limits.backlog)
                self.address = self.listener.getsockname()
                logger.info("listening for operators on {}:{}", *self.address)
            except OSError as exc:
                logger.error("cannot listen for operators on {}:{}: {}", *self.address, exc)
                gevent.sleep(1.0)
        while True:
            socket.wait_read(self.listener.fileno())
            # at the limit the oldest is closed: requests are answered at once, so it has not sent a whole one
            while len(self.connections) >= self.limits.operators:
                oldest = next(iter(self.connections))
                del self.connections[oldest]
                oldest.close()
            try:
                connection = Connection(self.listener.accept()[0], self.limits.ring)
            except OSError:  # no descriptor left, or the peer has disconnected
                gevent.sleep(0.01)
                continue
            self.connections[connection] = None
            gevent.spawn(self.serve, connection)
            gevent.sleep(0)

    def serve(self, connection: Connection) -> None:
        try:
            serve_call(connection, self.limits, self.handler, time.monotonic() + self.limits.operator_call)
        except OSError:  # disconnected, timed out, or closed at the limit
            pass
        finally:
            self.connections.pop(connection, None)
            connection.close()
