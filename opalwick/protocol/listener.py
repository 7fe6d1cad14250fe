"""The listener: accepts clients' connections, evicts some of them at the limit, closes them at shutdown."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from opalwick.protocol.server_connection import Conversation
from opalwick.transport.connection import Connection, readable
from opalwick.transport.limits import Limits
from opalwick.transport.pool import Pool
from opalwick.transport.stalls import StallDetector


class Listener:
    """Accepts and tracks connections. `accept` and `close_idle` run in greenlets of their own."""

    def __init__(
        self,
        sock: Any,
        limits: Limits,
        pulse: StallDetector,
        conversation: Callable[[Connection, bool], Conversation],
        max_connections: Callable[[], int],
        pool: Pool | None = None,
    ) -> None:
        """`conversation` makes one for a connection, accepted above the limit or not. `max_connections`
        returns the current limit. `pool`: its idle connections are evicted first where no descriptor is
        left."""
        self.sock, self.limits, self.pulse = sock, limits, pulse
        self.conversation, self.max_connections, self.pool = conversation, max_connections, pool
        self.conversations: dict[Conversation, None] = {}
        self.close_at = math.inf  # from this time on connections are closed after a response
        self.end_at = math.inf  # from this time on connections that wait for a request are closed
        self.end_changed = Event()  # `end_at` has changed

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their response."""
        return time.monotonic() >= self.close_at

    def accept(self) -> None:
        """Accepts connections; doesn't return."""
        empty_at = time.monotonic()  # the last time at which the backlog was empty
        while True:
            was_empty = not readable(self.sock)
            socket.wait_read(self.sock.fileno())
            if was_empty:
                empty_at = self.pulse.earliest_arrival(time.monotonic())
            # At the limit a waiting connection is evicted. If there is none, it pays to wait for a moment
            # while some have sent nothing and may soon be evicted. An accepted connection must get a
            # response, so above the limit and its spare connections all wait in the backlog.
            while (
                (excess := len(self.conversations) - self.max_connections()) >= 0
                and not self.evict()
                and (
                    excess >= self.limits.spare_clients
                    or any(c.has_received_nothing() for c in self.conversations)
                )
            ):
                gevent.sleep(0.01)
            try:
                connection = Connection(self.sock.accept()[0], self.limits.ring, empty_at)
            except OSError:
                # no descriptor left: an idle connection is evicted, and the client waits in the backlog
                if self.pool is None or not self.pool.evict():
                    self.evict()
                gevent.sleep(0.01)
                continue
            self.admit(connection)
            gevent.sleep(0)  # a burst of connections must not starve other greenlets

    def admit(self, connection: Connection) -> None:
        """Serves an accepted connection in a greenlet of its own."""
        conversation = self.conversation(connection, len(self.conversations) >= self.max_connections())
        self.conversations[conversation] = None
        gevent.spawn(self.serve, conversation)

    def accept_backlog(self) -> None:
        """Accepts all connections in the backlog: for their clients they are connected, and closing would
        reset them."""
        self.sock.settimeout(0.0)
        since = self.pulse.earliest_arrival(time.monotonic())
        try:
            while True:
                self.admit(Connection(self.sock.accept()[0], self.limits.ring, since))
        except OSError:  # the backlog is empty
            pass

    def evict(self) -> bool:
        """Evicts the waiting connection with the fewest requests and the longest wait. False if there is
        none."""
        waiting = [
            (wait, c)
            for c in self.conversations
            if (wait := c.eviction_rank(self.limits.evict_incomplete)) is not None
        ]
        for _, conversation in sorted(waiting, key=lambda found: found[0]):
            if not conversation.has_unread():
                conversation.close()
                del self.conversations[conversation]
                return True
        return False

    def evict_active(self) -> None:
        """Evicts connections of active clients above their limit, after a call has ended."""
        # counting them is avoided while there are fewer connections in total
        while (
            len(self.conversations) > self.limits.active_clients
            and sum(c.request_count > 0 for c in self.conversations) > self.limits.active_clients
            and self.evict()
        ):
            pass

    def serve(self, conversation: Conversation) -> None:
        """Serves a connection until it is closed."""
        try:
            conversation.run()
        finally:
            self.conversations.pop(conversation, None)

    def close_idle(self) -> None:
        """From `end_at` on closes connections that wait for a request; others are closed after their
        response. Doesn't return."""
        while True:
            self.end_changed.clear()
            if (remaining := self.end_at - time.monotonic()) > 0:
                self.end_changed.wait(min(60.0, remaining))
                continue
            # a new connection still gets a moment for its first request
            for conversation in [
                c
                for c in self.conversations
                if c.eviction_rank(0.0 if c.request_count else self.limits.evict_silent) is not None
                and not c.has_unread()
            ]:
                conversation.close()
            gevent.sleep(0.01)
