"""Which faults a day on processes may have: signals, an emptied disk, what relays do to links, what workers
and callers do."""

from __future__ import annotations

from opalwick.lab.post.day import PostDay
from opalwick.lab.post.kinds import KINDS

MACHINES = ("kill", "wipe", "term", "hup", "freeze", "stutter", "kill_all", "alone", "cut_workers")
LINKS = tuple(name for name, kind in KINDS.items() if kind.on == "links")
BORNE = (
    MACHINES
    + LINKS
    + tuple(name for name, kind in KINDS.items() if kind.on == "workers")
    + ("burst", "poison", "changes", "races", "reads", "stale", "invalid", "orders_again", "lost_acks")
)
# what a hunt on processes draws from
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


def strange(day: PostDay) -> list[str]:
    """Kinds of its faults that need the virtual clock's machines, ways and disks."""
    return sorted({fault.kind for fault in day.faults} - set(BORNE))
