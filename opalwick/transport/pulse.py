"""Whether this process stood still, and how long ago what it reads now had come.

A stopped process, a stopped machine, a busy core or a long collection: the kernel goes on taking in what
comes, and what is read afterwards is older than the reading. A beat that comes late tells that it was so; the
kernel's own word (TCP_INFO), where there is one, tells how old the bytes of one connection are.
"""

from __future__ import annotations

import struct
from typing import Any

from gevent import socket

# of struct tcp_info: eight octets of flags, then counts of four octets each; the twelfth tells how many
# milliseconds ago the last data came
_AGE = struct.Struct("I")
_AT = 8 + 11 * 4


def kernel_age(sock: Any) -> float | None:
    """Seconds since this connection last received data; None where no kernel tells.

    Exact to a tick of the kernel, ten milliseconds at the most.
    """
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _AT + _AGE.size)
    except (OSError, AttributeError):
        return None
    return _AGE.unpack_from(told, _AT)[0] / 1000.0 if len(told) >= _AT + _AGE.size else None


class Pulse:
    """A beat by the one timer of the process. Times are seconds on the process's clock."""

    EVERY = 0.05  # as each time limit on sockets is stretched by as much, a shorter stall breaks none
    LATE = 0.15  # a beat later than this stood still; a crowd or a full collection takes less
    LONG = 0.5  # what was decided or told before it stood still for so long is of a time that is gone
    NEAR = 0.02  # what may have lain for less is taken as fresh: the cost of asking is spared when busy

    def __init__(self, now: float) -> None:
        self.beat_at = now
        self.still_from = self.still_to = -1e9  # the last time that it stood still

    def late(self, now: float) -> bool:
        return now - self.beat_at > self.LATE

    def beat(self, now: float) -> float:
        """How long it stood still just now; 0: it did not."""
        gap, before, self.beat_at = now - self.beat_at, self.beat_at, now
        if gap <= self.LATE:
            return 0.0
        self.still_from, self.still_to = before, now
        return gap

    def stood(self, since: float, now: float) -> bool:
        """Whether it stood still for long between those moments."""
        return (
            self.still_to > since
            and self.still_to - self.still_from > self.LONG
            or now - self.beat_at > self.LONG
            and self.beat_at + self.LONG > since
        )

    def at_worst(self, since: float, now: float) -> float:
        """When something that came after `since` came, where no kernel tells: the gap is the bound, but the
        space between two beats is no gap."""
        return since if now - since > self.LATE else now

    def since(self, now: float) -> float:
        """The earliest moment at which something may have come that is found only now."""
        # a quarter of a second: what lay there is read by then, however many connections there are
        return self.still_from if now - self.still_to < 0.25 else self.beat_at
