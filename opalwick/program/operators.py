"""The operators' front: a listener of its own, in every process that schedules.

Its calls have few descriptors and one deadline each, so those that stay silent hold up nobody; nothing that
a call does waits.
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
    def __init__(self, place: Address, limits: Limits, serves: OperatorActions) -> None:
        self.limits, self.serves, self.place = limits, serves, place
        self.listener: Any = None
        self.calls: dict[Connection, None] = {}  # in the order accepted

    def accept(self) -> None:
        """Runs in a greenlet of its own. Clients are served where the place cannot be had, too."""
        while self.listener is None:
            try:
                self.listener = listen(self.place, self.limits.backlog)
                self.place = self.listener.getsockname()
                logger.info("operators call {}:{}", *self.place)
            except OSError as problem:
                logger.error("operators cannot call {}:{}: {}", *self.place, problem)
                gevent.sleep(1.0)
        while True:
            socket.wait_read(self.listener.fileno())
            # at the brim the oldest goes: a call is answered as it comes, so it has said nothing whole so far
            while len(self.calls) >= self.limits.operators:
                oldest = next(iter(self.calls))
                del self.calls[oldest]
                oldest.close()
            try:
                connection = Connection(self.listener.accept()[0], self.limits.ring)
            except OSError:  # no descriptor left, or it has gone away again
                gevent.sleep(0.01)
                continue
            self.calls[connection] = None
            gevent.spawn(self.serve, connection)
            gevent.sleep(0)

    def serve(self, connection: Connection) -> None:
        try:
            serve_call(connection, self.limits, self.serves, time.monotonic() + self.limits.operator_call)
        except OSError:  # gone, silent for too long, or closed from here
            pass
        finally:
            self.calls.pop(connection, None)
            connection.close()
