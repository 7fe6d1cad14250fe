"""The agenda on the real clock, with a record of its delays."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from opalwick.lab.agenda import Agenda

LATE = 0.05  # seconds: each time limit on sockets is extended by as much
# The history is void above this share of late calls, or with a longer delay (seconds). One short delay in a
# few hundred calls is normal for any machine; a stall of half a second is longer than most due times.
MAX_LATE_SHARE, MAX_DELAY = 0.01, 0.5


class RealAgenda(Agenda):
    """Runs calls at their due times; `now` is in seconds since the start of the scenario."""

    def __init__(self) -> None:
        self.zero = time.monotonic()
        super().__init__()
        self.rearmed = Event()
        self.changed = self.rearmed.set
        self.fired = self.late = 0
        self.worst = 0.0
        self.on_late: Callable[[float], None] = lambda _: None

    @property
    def now(self) -> float:  # type: ignore[override]
        return time.monotonic() - self.zero

    @now.setter
    def now(self, _: float) -> None:
        """Ignored, as the real clock advances by itself."""

    def restart(self) -> None:
        """Starts the scenario now; nothing may be due yet."""
        self.zero = time.monotonic()

    def drive(self, until: float) -> None:
        """Runs due calls until that time of the scenario."""
        while (remaining := until - self.now) > 0:
            self.rearmed.clear()
            when = self.next()
            if when is None or when > self.now:
                self.rearmed.wait(min(remaining, 60.0 if when is None else when - self.now))
                continue
            delay = self.now - when
            self.fired += 1
            self.late += delay > LATE
            self.worst = max(self.worst, delay)
            if delay > LATE:
                self.on_late(delay)
            self.fire()
            if self.fired % 64 == 0:  # lets I/O run, which is as old as the due calls
                gevent.sleep(0)

    def void(self) -> str:
        """Why the scenario does not count; empty where it does."""
        if self.worst > MAX_DELAY or self.late > MAX_LATE_SHARE * max(1, self.fired):
            return (
                f"the emulator was late: {self.late} of {self.fired} due times by over {LATE * 1e3:g} ms, "
                f"the worst by {self.worst:.2f} s; the machine is too busy for this scenario"
            )
        return ""
