"""Catalogue of the kinds of faults, by their names in scenario files; `faults.py` injects them.

Independent of the simulated cluster.
"""

from __future__ import annotations

from typing import NamedTuple


class Kind(NamedTuple):
    """Description, default size and targets of a kind of fault."""

    what: str
    size: float  # default
    sizes: tuple[float, float]  # range for random scenarios
    on: str = "machines"  # targets of `of` and `part`: machines, links, workers or none


KINDS = {
    # ---- machines and their processes
    "kill": Kind("processes are killed and restart after SIZE seconds", 0.6, (0.2, 3.5)),
    "power": Kind("machines lose power and are back after SIZE seconds", 1.5, (0.5, 4.0)),
    "wipe": Kind("machines lose power and their disks, and are back after SIZE seconds", 1.0, (0.3, 3.0)),
    "power_again": Kind(
        "a store loses power and its disk, is back after SIZE seconds, and loses power once more while it is"
        " refilled",
        1.0,
        (0.5, 2.8),
    ),
    "term": Kind("processes get SIGTERM one after the other, SIZE seconds apart", 1.0, (0.3, 2.0)),
    "joined": Kind("a machine is added permanently; `of`: its role, else a depot", 1.0, (1.0, 1.0)),
    "replaced": Kind(
        "a machine is lost permanently with its disk; SIZE seconds later an empty one is added elsewhere",
        1.0,
        (0.3, 3.0),
    ),
    "emptied": Kind(
        "a depot is ordered to be emptied, and is removed once that is complete", 1.0, (1.0, 1.0)
    ),
    "hup": Kind(
        "settings files change, and processes get SIGHUP one after the other, SIZE seconds apart",
        0.3,
        (0.02, 1.0),
    ),
    "freeze": Kind("processes are paused", 1.0, (1.0, 1.0)),
    "stutter": Kind("processes are paused for SIZE seconds, repeatedly", 0.4, (0.05, 2.6)),
    "step": Kind("the wall clock of machines steps by SIZE seconds", 0.5, (-2.0, 2.0)),
    "slow_disk": Kind("a sync takes SIZE seconds", 0.1, (0.02, 0.6)),
    "stalled_disk": Kind("no sync ends", 1.0, (1.0, 1.0)),
    # ---- links
    "reset": Kind("links between machines are reset every SIZE seconds", 0.5, (0.05, 1.5), "links"),
    "cut": Kind("links are partitioned in both directions", 1.0, (1.0, 1.0), "links"),
    "one_way": Kind("links are partitioned in one direction", 1.0, (1.0, 1.0), "links"),
    "flap": Kind("links are partitioned and healed in turns of SIZE seconds", 1.0, (0.3, 2.9), "links"),
    "late": Kind("packets have SIZE seconds more latency", 0.5, (0.02, 2.8), "links"),
    "lossy": Kind("a share SIZE of the packets is lost and retransmitted", 0.1, (0.02, 0.4), "links"),
    "alone": Kind("machines are partitioned from all others", 1.0, (1.0, 1.0)),
    "cut_workers": Kind("links between machines and workers are partitioned", 1.0, (1.0, 1.0)),
    # ---- workers
    "lost_answers": Kind("a share SIZE of the workers' answers is lost", 0.2, (0.02, 0.6), "workers"),
    "second_answers": Kind(
        "a share SIZE of the workers' answers is sent a second time, up to a second later",
        0.2,
        (0.02, 0.6),
        "workers",
    ),
    "broken_off": Kind(
        "a share SIZE of the requests ends with a connection reset", 0.2, (0.02, 0.6), "workers"
    ),
    "errors": Kind("a further share SIZE of the runs ends with 500", 0.3, (0.05, 0.9), "workers"),
    "slow": Kind("workers run SIZE times slower", 4.0, (2.0, 30.0), "workers"),
    "hang": Kind("workers accept requests and neither run nor answer them", 1.0, (1.0, 1.0), "workers"),
    "crash": Kind("workers crash; others start under new ids after SIZE seconds", 1.0, (0.2, 4.0), "workers"),
    "moved": Kind(
        "workers crash, and SIZE seconds later another service has their addresses",
        2.0,
        (2.0, 4.0),
        "workers",
    ),
    "release": Kind(
        "workers drain one after the other, SIZE seconds apart, and new ones start",
        0.7,
        (0.2, 2.0),
        "workers",
    ),
    "dark": Kind("endpoints don't answer at all", 1.0, (1.0, 1.0), "workers"),
    # ---- clients and operators
    "burst": Kind("the rate of messages is multiplied by SIZE", 3.0, (2.0, 5.0), ""),
    "poison": Kind("a share SIZE of the messages can never succeed", 0.2, (0.05, 0.5), ""),
    "changes": Kind("a new configuration every SIZE seconds", 1.0, (0.4, 2.5), ""),
    "races": Kind("two new configurations at once, to two offices, every SIZE seconds", 1.2, (0.4, 2.5), ""),
    "same_number": Kind(
        "two different configurations with the same new number at once, every SIZE seconds",
        1.2,
        (0.4, 2.5),
        "",
    ),
    "orders_again": Kind("an acknowledged order is sent again every SIZE seconds", 0.6, (0.2, 2.0), ""),
    "lost_acks": Kind("a share SIZE of the answers to operators is lost", 0.4, (0.1, 0.7), ""),
    "reads": Kind("the configuration is read every SIZE seconds", 0.3, (0.1, 1.0), ""),
    "stale": Kind("an older configuration is sent again every SIZE seconds", 0.8, (0.3, 2.0), ""),
    "invalid": Kind("an invalid configuration is sent every SIZE seconds", 0.8, (0.3, 2.0), ""),
    # ---- faults of all machines at once, right after a configuration was acknowledged
    "power_all": Kind("every machine loses power and is back after SIZE seconds", 1.0, (0.5, 2.0), ""),
    "kill_all": Kind("every process is killed and restarts after SIZE seconds", 0.6, (0.3, 1.5), ""),
    "wipe_one": Kind(
        "all machines lose power and one its disk; back after SIZE seconds", 1.0, (0.5, 2.0), ""
    ),
}
# faults of data residency (`home_faults.py`); not drawn for scenarios without it
AT_HOME = {
    "rehomed": Kind("the data of partners (by service) moves to another country", 0.0, (0.0, 0.0), "workers"),
    "added": Kind("partners declared with `later` are added", 0.0, (0.0, 0.0), ""),
    "claims": Kind("workers report a zone in another country", 0.0, (0.0, 0.0), "workers"),
    "usurped": Kind(
        "workers crash, and SIZE seconds later workers in another country have their addresses",
        2.0,
        (2.0, 4.0),
        "workers",
    ),
    "resettled": Kind("machines' settings change: their zone is in another region", 0.0, (0.0, 0.0)),
    "retire": Kind("stores are ordered to be emptied", 0.0, (0.0, 0.0)),
}
ALL = KINDS | AT_HOME
# machines are added or removed permanently; only in written scenarios, never drawn
CHANGES = ("joined", "replaced", "emptied")
# traffic must be accepted again once the machines are back after these
CLOSING = ("power_all", "kill_all", "wipe_one")
