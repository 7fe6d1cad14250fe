"""The fault kinds that scenarios on real processes support: signals, deleted data, relayed links, and the
behaviour of workers and clients."""

from __future__ import annotations

from opalwick.lab.post.day import PostDay
from opalwick.lab.post.kinds import KINDS

MACHINES = ("kill", "wipe", "term", "hup", "freeze", "stutter", "kill_all", "alone", "cut_workers")
LINKS = tuple(name for name, kind in KINDS.items() if kind.on == "links")
SUPPORTED = (
    MACHINES
    + LINKS
    + tuple(name for name, kind in KINDS.items() if kind.on == "workers")
    + ("burst", "poison", "changes", "races", "reads", "stale", "invalid", "orders_again", "lost_acks")
)
# the kinds of random scenarios on real processes
DRAWN = (
    "kill",
    "term",
    "freeze",
    "stutter",
    "wipe",
    "changes",
    "errors",
    "crash",
    "release",
    "lost_answers",
    "kill_all",
)


def unsupported_faults(day: PostDay) -> list[str]:
    """Returns the fault kinds of a scenario that need the simulated machines, network and disks."""
    return sorted({fault.kind for fault in day.faults} - set(SUPPORTED))
