"""What can go wrong among members, as a fleet's day names it; `faults.py` does it."""

from __future__ import annotations

from typing import NamedTuple


class Kind(NamedTuple):
    what: str
    size: float  # the usual one
    sizes: tuple[float, float]  # that `hunt` draws from
    pairs: bool = False  # it is about the ways from some members to some others: `of` and `to`
    clocks: tuple[str, ...] = ("virtual", "sockets")


KINDS = {
    # ---- words on their ways
    "loss": Kind("a share SIZE of the words is lost", 0.2, (0.05, 0.4), True),
    "bursts": Kind(
        "words are lost in spells of half a second, a share SIZE of the time", 0.3, (0.1, 0.5), True
    ),
    "one_way": Kind("words from OF to TO are lost; the other way they come", 1.0, (1.0, 1.0), True),
    "cut": Kind("words between OF and TO are lost, both ways", 1.0, (1.0, 1.0), True),
    "mute": Kind("members are heard by nobody, and hear", 1.0, (1.0, 1.0)),
    "deaf": Kind("members hear nobody, and are heard", 1.0, (1.0, 1.0)),
    "ring": Kind("each hears the half of the ring before it alone", 1.0, (1.0, 1.0)),
    "sides": Kind(
        "SIZE sides that do not hear each other; the groups, where there are so many", 2.0, (2.0, 4.0)
    ),
    "alone": Kind("members that hear nobody and are heard by nobody", 1.0, (1.0, 1.0)),
    "flap": Kind("two sides, apart and together again each SIZE seconds", 2.0, (0.5, 4.0)),
    "late": Kind("words are SIZE seconds late", 0.5, (0.05, 2.0), True),
    "uneven": Kind(
        "words from OF to TO are SIZE seconds late; the other way they are not", 0.5, (0.1, 1.0), True
    ),
    "reorder": Kind("words are late by up to SIZE seconds, each by its own", 0.3, (0.05, 1.0), True),
    "doubled": Kind(
        "a share SIZE of the words comes twice, the second time late by up to a second", 0.3, (0.1, 0.9), True
    ),
    "changed": Kind("one byte of a share SIZE of the words is changed on its way", 0.1, (0.02, 0.5), True),
    "large_lost": Kind("words longer than SIZE octets are lost", 100.0, (40.0, 200.0), True),
    "kind_lost": Kind(
        "every second kind of word is lost: those whose first octet is odd", 1.0, (1.0, 1.0), True
    ),
    # ---- processes
    "stop": Kind("members stand still while it lasts (SIGSTOP, SIGCONT)", 1.0, (1.0, 1.0)),
    "stops": Kind(
        "members stand still for SIZE seconds again and again, as often as they run", 1.0, (0.01, 3.0)
    ),
    "kill": Kind(
        "members are killed and are back after SIZE seconds, with the list as they last had it",
        1.0,
        (0.05, 6.0),
    ),
    "kill_old": Kind(
        "members are killed and are back after SIZE seconds, with the list of the day's start",
        1.0,
        (0.05, 6.0),
    ),
    "lost": Kind("members are killed, and are back when it ends", 1.0, (1.0, 1.0)),
    "restart": Kind("members are killed at once and all started within SIZE seconds", 1.0, (0.1, 3.0)),
    "rolling": Kind("members are told to end and started anew, a tenth at a time", 1.0, (1.0, 1.0)),
    "late_start": Kind("members are not there when the day begins: they come when it ends", 1.0, (1.0, 1.0)),
    "twin": Kind("a second process under the name of a member", 1.0, (1.0, 1.0)),
    "starve": Kind("CPU is taken away: members get a part of one in SIZE and one more", 9.0, (2.0, 20.0)),
    "memory": Kind(
        "members are started anew with SIZE MB of memory", 40.0, (32.0, 64.0), clocks=("sockets",)
    ),
    "clock": Kind("members' clocks run SIZE times as fast", 1.1, (0.9, 1.1), clocks=("virtual",)),
    # ---- ways to workers and to the list
    "workers_cut": Kind("members' ways to a share SIZE of the workers fall silent", 0.5, (0.2, 1.0)),
    "list_cut": Kind("members' calls of the list service fail", 1.0, (1.0, 1.0)),
    # ---- workers, for what the fleet as a whole does about them
    "bad_worker": Kind("workers hang: they take connections and do and say nothing", 1.0, (1.0, 1.0)),
    "cold_worker": Kind("workers crash and are back, cold, after SIZE seconds", 1.0, (0.5, 4.0)),
    "by_hand": Kind("workers are taken out by hand, at one scheduler alone", 1.0, (1.0, 1.0)),
}
WORKERS = {"bad_worker", "cold_worker", "by_hand"}  # of which `part` is a share
# parts of the program that a day may have on; without words between them members know nothing of each other
PARTS = ("sums", "members")
