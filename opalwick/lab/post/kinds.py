"""What can go wrong in a day of the post, as its file names it; `faults.py` does it. No world is known
here."""

from __future__ import annotations

from typing import NamedTuple


class Kind(NamedTuple):
    what: str
    size: float  # the usual one
    sizes: tuple[float, float]  # that `drawn` draws from
    on: str = "machines"  # what `of` and `part` are about: machines, links, workers, or nothing


KINDS = {
    # ---- machines and their processes
    "kill": Kind("processes are killed and are back after SIZE seconds", 0.6, (0.2, 3.5)),
    "power": Kind("machines lose power and are back after SIZE seconds", 1.5, (0.5, 4.0)),
    "wipe": Kind("machines lose power and their disks, and are back after SIZE seconds", 1.0, (0.3, 3.0)),
    "term": Kind("processes are told to end, one after the other, SIZE seconds apart", 1.0, (0.3, 2.0)),
    "joined": Kind("a machine more, for good; `of`: its role, else a depot", 1.0, (1.0, 1.0)),
    "replaced": Kind(
        "a machine is gone with its disk for good; SIZE seconds later an empty one comes elsewhere",
        1.0,
        (0.3, 3.0),
    ),
    "emptied": Kind("a depot is to be emptied, and is taken away once it says so", 1.0, (1.0, 1.0)),
    "hup": Kind(
        "settings files change, and processes are told (SIGHUP), one after the other, SIZE seconds apart",
        0.3,
        (0.02, 1.0),
    ),
    "freeze": Kind("processes stand still while it lasts", 1.0, (1.0, 1.0)),
    "stutter": Kind("processes stand still for SIZE seconds, again and again", 0.4, (0.05, 2.6)),
    "step": Kind("the time of day of machines steps by SIZE seconds", 0.5, (-2.0, 2.0)),
    "slow_disk": Kind("a sync takes SIZE seconds", 0.1, (0.02, 0.6)),
    "stalled_disk": Kind("no sync ends while it lasts", 1.0, (1.0, 1.0)),
    # ---- links
    "reset": Kind("links between machines are reset, again each SIZE seconds", 0.5, (0.05, 1.5), "links"),
    "cut": Kind("links are silent both ways while it lasts", 1.0, (1.0, 1.0), "links"),
    "one_way": Kind("links are silent one way while it lasts", 1.0, (1.0, 1.0), "links"),
    "flap": Kind("links are silent and whole again each SIZE seconds", 1.0, (0.3, 2.9), "links"),
    "late": Kind("words are SIZE seconds late", 0.5, (0.02, 2.8), "links"),
    "lossy": Kind("a share SIZE of the words is lost and said again", 0.1, (0.02, 0.4), "links"),
    "alone": Kind("machines are cut off from all others", 1.0, (1.0, 1.0)),
    "cut_workers": Kind("ways between machines and workers are silent", 1.0, (1.0, 1.0)),
    # ---- workers
    "lost_answers": Kind("a share SIZE of the workers' answers gets lost", 0.2, (0.02, 0.6), "workers"),
    "broken_off": Kind("a share SIZE of the requests ends with a reset", 0.2, (0.02, 0.6), "workers"),
    "errors": Kind("a further share SIZE of the runs ends with 500", 0.3, (0.05, 0.9), "workers"),
    "slow": Kind("workers run SIZE times slower", 4.0, (2.0, 30.0), "workers"),
    "hang": Kind("workers take requests and do and say nothing", 1.0, (1.0, 1.0), "workers"),
    "crash": Kind(
        "workers crash; others are there, under new ids, after SIZE seconds", 1.0, (0.2, 4.0), "workers"
    ),
    "moved": Kind(
        "workers crash, and SIZE seconds later another service has their addresses",
        2.0,
        (2.0, 4.0),
        "workers",
    ),
    "release": Kind(
        "workers drain one after the other, SIZE seconds apart, and new ones come", 0.7, (0.2, 2.0), "workers"
    ),
    "dark": Kind("endpoints give no answer at all", 1.0, (1.0, 1.0), "workers"),
    # ---- clients and operators
    "burst": Kind("SIZE times the messages", 3.0, (2.0, 5.0), ""),
    "poison": Kind("a share SIZE of the messages can never be done", 0.2, (0.05, 0.5), ""),
    "changes": Kind("a new configuration each SIZE seconds", 1.0, (0.4, 2.5), ""),
    "races": Kind("two new configurations at once, to two offices, each SIZE seconds", 1.2, (0.4, 2.5), ""),
    "same_number": Kind("two contents under one new number at once, each SIZE seconds", 1.2, (0.4, 2.5), ""),
    "orders_again": Kind("an acknowledged order is sent again each SIZE seconds", 0.6, (0.2, 2.0), ""),
    "lost_acks": Kind("a share SIZE of the answers to operators gets lost", 0.4, (0.1, 0.7), ""),
    "reads": Kind("the configuration is read each SIZE seconds", 0.3, (0.1, 1.0), ""),
    "stale": Kind("an older configuration is sent again each SIZE seconds", 0.8, (0.3, 2.0), ""),
    "invalid": Kind("an invalid configuration each SIZE seconds", 0.8, (0.3, 2.0), ""),
    # ---- all at once, right after a configuration was acknowledged
    "power_all": Kind("every machine loses power and is back after SIZE seconds", 1.0, (0.5, 2.0), ""),
    "kill_all": Kind("every process is killed and is back after SIZE seconds", 0.6, (0.3, 1.5), ""),
    "wipe_one": Kind(
        "one machine loses its disk as all lose power; back after SIZE seconds", 1.0, (0.5, 2.0), ""
    ),
}
# only where partners have homes (`home_faults.py`); none of them is drawn upon other days
AT_HOME = {
    "rehomed": Kind("partners, by services, are at home in another country", 0.0, (0.0, 0.0), "workers"),
    "added": Kind("those that were no partners from the start become some", 0.0, (0.0, 0.0), ""),
    "claims": Kind("workers say that they stand in another country", 0.0, (0.0, 0.0), "workers"),
    "usurped": Kind(
        "workers crash, and SIZE seconds later others abroad have their addresses", 2.0, (2.0, 4.0), "workers"
    ),
    "resettled": Kind("the settings of machines change: their zone is in another region", 0.0, (0.0, 0.0)),
    "retire": Kind("machines that keep messages are ordered to be emptied", 0.0, (0.0, 0.0)),
}
ALL = KINDS | AT_HOME
# machines come and go for good: days have these, and `drawn` adds others to them
CHANGES = ("joined", "replaced", "emptied")
# after which, and whose machines' return, traffic must be served again
CLOSING = ("power_all", "kill_all", "wipe_one")
