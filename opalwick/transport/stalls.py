"""Detects stalls of this process, and dates received data accordingly.

While a process is stalled (stopped process or machine, busy core, long garbage collection) the kernel goes on
receiving, so data that is read afterwards is older than the read. A periodic timer that fires late shows a
stall; TCP_INFO, where available, gives the age of the data of one connection.
"""

from __future__ import annotations

import struct
from typing import Any

from gevent import socket

# struct tcp_info has eight bytes of flags, then counts of four bytes each; the twelfth is
# tcpi_last_data_recv, the milliseconds since the last data was received
_AGE = struct.Struct("I")
_AT = 8 + 11 * 4


def kernel_age(sock: Any) -> float | None:
    """Returns the seconds since this connection last received data; None if the kernel does not report it.

    Exact to a tick of the kernel, ten milliseconds at the most.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _AT + _AGE.size)
    except (OSError, AttributeError):
        return None
    return _AGE.unpack_from(info, _AT)[0] / 1000.0 if len(info) >= _AT + _AGE.size else None


class StallDetector:
    """A watchdog: `tick` is called by a periodic timer. Times are seconds on the process's clock."""

    # the timer's period; time limits on sockets are extended by as much, so a shorter stall causes no timeout
    PERIOD = 0.05
    STALL = 0.15  # a longer gap is a stall; a burst of connections or a full garbage collection takes less
    LONG_STALL = 0.5  # decisions and reports from before a stall of this length are outdated
    FRESH = 0.02  # data that can be no older counts as new, which saves a system call under load

    def __init__(self, now: float) -> None:
        self.ticked_at = now
        self.stalled_from = self.stalled_to = -1e9  # the last stall

    def overdue(self, now: float) -> bool:
        """Whether the process is stalled: the timer is overdue."""
        return now - self.ticked_at > self.STALL

    def tick(self, now: float) -> float:
        """Called by the timer. Returns the length of a stall that has just ended; 0 if there was none."""
        gap, before, self.ticked_at = now - self.ticked_at, self.ticked_at, now
        if gap <= self.STALL:
            return 0.0
        self.stalled_from, self.stalled_to = before, now
        return gap

    def stalled_between(self, since: float, now: float) -> bool:
        """Whether there was a stall longer than LONG_STALL between these times."""
        return (
            self.stalled_to > since
            and self.stalled_to - self.stalled_from > self.LONG_STALL
            or now - self.ticked_at > self.LONG_STALL
            and self.ticked_at + self.LONG_STALL > since
        )

    def earliest_after(self, since: float, now: float) -> float:
        """Returns the earliest time for data that arrived after `since`, where the kernel reports no age. An
        interval of up to STALL is an ordinary period of the timer, and counts as `now`."""
        return since if now - since > self.STALL else now

    def earliest_arrival(self, now: float) -> float:
        """Returns the earliest time at which data that is found only now may have arrived."""
        # 0.25 s after a stall all data that arrived during it is read, with any number of connections
        return self.stalled_from if now - self.stalled_to < 0.25 else self.ticked_at
