"""The listener: accepts clients' connections, evicts some of them at the limit, closes them at shutdown."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from opalwick.protocol.conversation import Conversation
from opalwick.transport.connection import Connection, readable
from opalwick.transport.limits import Limits
from opalwick.transport.pool import Pool
from opalwick.transport.pulse import Pulse


class Door:
    """Accepts and tracks connections. `accept` and `usher` run in greenlets of their own."""

    def __init__(
        self,
        listener: Any,
        limits: Limits,
        pulse: Pulse,
        conversation: Callable[[Connection, bool], Conversation],
        most: Callable[[], int],
        pool: Pool | None = None,
    ) -> None:
        """`conversation` makes one for a connection, accepted above the limit or not. `most` returns the
        current limit of connections. `pool`: its idle connections are evicted first where no descriptor is
        left."""
        self.listener, self.limits, self.pulse = listener, limits, pulse
        self.conversation, self.most, self.pool = conversation, most, pool
        self.conversations: dict[Conversation, None] = {}
        self.close_at = math.inf  # from this time on connections are closed after a response
        self.end_at = math.inf  # from this time on connections that wait for a request are closed
        self.turned = Event()  # `end_at` has changed

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their response."""
        return time.monotonic() >= self.close_at

    def accept(self) -> None:
        """Accepts connections; doesn't return."""
        empty_at = time.monotonic()  # the last time at which the backlog was empty
        while True:
            was_empty = not readable(self.listener)
            socket.wait_read(self.listener.fileno())
            if was_empty:
                empty_at = self.pulse.since(time.monotonic())
            # At the limit a waiting connection is evicted. If there is none, it pays to wait for a moment
            # while some have sent nothing and may soon be evicted. An accepted connection must get a
            # response, so above the limit and its spare connections all wait in the backlog.
            while (
                (excess := len(self.conversations) - self.most()) >= 0
                and not self.shed()
                and (excess >= self.limits.spare or any(c.silent() for c in self.conversations))
            ):
                gevent.sleep(0.01)
            try:
                connection = Connection(self.listener.accept()[0], self.limits.ring, empty_at)
            except OSError:
                # no descriptor left: an idle connection is evicted, and the client waits in the backlog
                if self.pool is None or not self.pool.shed():
                    self.shed()
                gevent.sleep(0.01)
                continue
            self.admit(connection)
            gevent.sleep(0)  # a burst of connections must not starve other greenlets

    def admit(self, connection: Connection) -> None:
        """Serves an accepted connection in a greenlet of its own."""
        conversation = self.conversation(connection, len(self.conversations) >= self.most())
        self.conversations[conversation] = None
        gevent.spawn(self.converse, conversation)

    def empty(self) -> None:
        """Accepts all connections in the backlog: for their clients they are connected, and closing would
        reset them."""
        self.listener.settimeout(0.0)
        since = self.pulse.since(time.monotonic())
        try:
            while True:
                self.admit(Connection(self.listener.accept()[0], self.limits.ring, since))
        except OSError:  # the backlog is empty
            pass

    def shed(self) -> bool:
        """Evicts the waiting connection with the fewest requests and the longest wait. False if there is
        none."""
        waiting = [(wait, c) for c in self.conversations if (wait := c.waits(self.limits.drip)) is not None]
        for _, conversation in sorted(waiting, key=lambda found: found[0]):
            if not conversation.reads():
                conversation.close()
                del self.conversations[conversation]
                return True
        return False

    def thin(self) -> None:
        """Evicts connections of active clients above their limit, after a call has ended."""
        # counting them is avoided while there are fewer connections in total
        while (
            len(self.conversations) > self.limits.kept
            and sum(c.asked > 0 for c in self.conversations) > self.limits.kept
            and self.shed()
        ):
            pass

    def converse(self, conversation: Conversation) -> None:
        """Serves a connection until it is closed."""
        try:
            conversation.run()
        finally:
            self.conversations.pop(conversation, None)

    def usher(self) -> None:
        """From `end_at` on closes connections that wait for a request; others are closed after their
        response. Doesn't return."""
        while True:
            self.turned.clear()
            if (remaining := self.end_at - time.monotonic()) > 0:
                self.turned.wait(min(60.0, remaining))
                continue
            # a new connection still gets a moment for its first request
            for conversation in [
                c
                for c in self.conversations
                if c.waits(0.0 if c.asked else self.limits.quiet) is not None and not c.reads()
            ]:
                conversation.close()
            gevent.sleep(0.01)
