"""The door: takes clients' connections, makes room among them at the brim, ends them when it closes."""

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
    """`accept` and `usher` are for greenlets of their own."""

    def __init__(
        self,
        listener: Any,
        limits: Limits,
        pulse: Pulse,
        conversation: Callable[[Connection, bool], Conversation],
        most: Callable[[], int],
        pool: Pool | None = None,
    ) -> None:
        """`conversation` makes one, full or not; `most`: connections at this moment; `pool`: whose idle ones
        go first where no descriptor is left."""
        self.listener, self.limits, self.pulse = listener, limits, pulse
        self.conversation, self.most, self.pool = conversation, most, pool
        self.conversations: dict[Conversation, None] = {}
        self.close_at = math.inf  # from then on connections end between requests
        self.end_at = math.inf  # and those that wait are ended
        self.turned = Event()  # that has changed

    @property
    def closing(self) -> bool:
        return time.monotonic() >= self.close_at

    def accept(self) -> None:
        none_at = time.monotonic()  # when nobody waited outside
        while True:
            waited = not readable(self.listener)
            socket.wait_read(self.listener.fileno())
            if waited:
                none_at = self.pulse.since(time.monotonic())
            # at the brim one that waits makes room, and it is worth a moment where some may soon have been
            # silent for long enough; what is accepted must be answered, so at the very brim all wait outside
            while (
                (over := len(self.conversations) - self.most()) >= 0
                and not self.shed()
                and (over >= self.limits.spare or any(c.silent() for c in self.conversations))
            ):
                gevent.sleep(0.01)
            try:
                connection = Connection(self.listener.accept()[0], self.limits.ring, none_at)
            except OSError:
                # no descriptor left: an idle connection makes room, and the client waits in the backlog
                if self.pool is None or not self.pool.shed():
                    self.shed()
                gevent.sleep(0.01)
                continue
            self.admit(connection)
            gevent.sleep(0)  # those that come by hundreds must let the others in between

    def admit(self, connection: Connection) -> None:
        conversation = self.conversation(connection, len(self.conversations) >= self.most())
        self.conversations[conversation] = None
        gevent.spawn(self.converse, conversation)

    def empty(self) -> None:
        """Takes what waits in the backlog: it counts as accepted, and closing would lose it."""
        self.listener.settimeout(0.0)
        since = self.pulse.since(time.monotonic())
        try:
            while True:
                self.admit(Connection(self.listener.accept()[0], self.limits.ring, since))
        except OSError:  # no more
            pass

    def shed(self) -> bool:
        """At the brim: the connection that has waited longest goes, of those that asked least first."""
        waiting = [(wait, c) for c in self.conversations if (wait := c.waits(self.limits.drip)) is not None]
        for _, conversation in sorted(waiting, key=lambda found: found[0]):
            if not conversation.reads():
                conversation.close()
                del self.conversations[conversation]
                return True
        return False

    def thin(self) -> None:
        """Something is over: no more that have asked stay than are kept for them."""
        # they are counted only where there are so many connections at all
        while (
            len(self.conversations) > self.limits.kept
            and sum(c.asked > 0 for c in self.conversations) > self.limits.kept
            and self.shed()
        ):
            pass

    def converse(self, conversation: Conversation) -> None:
        try:
            conversation.run()
        finally:
            self.conversations.pop(conversation, None)

    def usher(self) -> None:
        """Ends connections between requests while it is closing; the others end after their answer."""
        while True:
            self.turned.clear()
            if (left := self.end_at - time.monotonic()) > 0:
                self.turned.wait(min(60.0, left))
                continue
            # what has just come may still say what it wants
            for conversation in [
                c
                for c in self.conversations
                if c.waits(0.0 if c.asked else self.limits.quiet) is not None and not c.reads()
            ]:
                conversation.close()
            gevent.sleep(0.01)
