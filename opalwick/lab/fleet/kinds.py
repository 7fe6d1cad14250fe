"""Kinds of faults among members, as fleet scenarios name them; `faults.py` injects them."""

from __future__ import annotations

from typing import NamedTuple


class Kind(NamedTuple):
    """Description of a kind of fault; `size` is SIZE in its text."""

    what: str
    size: float  # the default
    sizes: tuple[float, float]  # range that `hunt` draws from
    pairs: bool = False  # it affects links between members, selected by `of` and `to`
    clocks: tuple[str, ...] = ("virtual", "sockets")


KINDS = {
    # ---- messages between members
    "loss": Kind("a share SIZE of the messages is lost", 0.2, (0.05, 0.4), True),
    "bursts": Kind(
        "messages are lost in bursts of half a second, a share SIZE of the time", 0.3, (0.1, 0.5), True
    ),
    "one_way": Kind("messages from OF to TO are lost; the other way they arrive", 1.0, (1.0, 1.0), True),
    "cut": Kind("messages between OF and TO are lost, both ways", 1.0, (1.0, 1.0), True),
    "mute": Kind("members receive, but nothing that they send arrives", 1.0, (1.0, 1.0)),
    "deaf": Kind("members send, but receive nothing", 1.0, (1.0, 1.0)),
    "ring": Kind("each receives from the half of the ring before it alone", 1.0, (1.0, 1.0)),
    "sides": Kind("a partition into SIZE sides; the groups, where there are so many", 2.0, (2.0, 4.0)),
    "alone": Kind("members neither receive nor reach anybody", 1.0, (1.0, 1.0)),
    "flap": Kind("a partition into two sides that comes and heals each SIZE seconds", 2.0, (0.5, 4.0)),
    "late": Kind("messages are SIZE seconds late", 0.5, (0.05, 2.0), True),
    "uneven": Kind(
        "messages from OF to TO are SIZE seconds late; the other way they are not", 0.5, (0.1, 1.0), True
    ),
    "reorder": Kind("messages are late by up to SIZE seconds, each by its own draw", 0.3, (0.05, 1.0), True),
    "doubled": Kind(
        "a share SIZE of the messages arrives twice, the second copy late by up to a second",
        0.3,
        (0.1, 0.9),
        True,
    ),
    "changed": Kind("one byte of a share SIZE of the messages is changed in transit", 0.1, (0.02, 0.5), True),
    "large_lost": Kind("messages longer than SIZE bytes are lost", 100.0, (40.0, 200.0), True),
    "kind_lost": Kind(
        "every second kind of message is lost: those whose first byte is odd", 1.0, (1.0, 1.0), True
    ),
    # ---- processes
    "stop": Kind("members are paused while it lasts (SIGSTOP, SIGCONT)", 1.0, (1.0, 1.0)),
    "stops": Kind(
        "members are paused for SIZE seconds again and again, for as long as they run between",
        1.0,
        (0.01, 3.0),
    ),
    "kill": Kind(
        "members are killed and are back after SIZE seconds, with the list that they last had",
        1.0,
        (0.05, 6.0),
    ),
    "kill_old": Kind(
        "members are killed and are back after SIZE seconds, with the list of the scenario's start",
        1.0,
        (0.05, 6.0),
    ),
    "lost": Kind("members are killed, and are back when it ends", 1.0, (1.0, 1.0)),
    "restart": Kind("members are killed at once and all started within SIZE seconds", 1.0, (0.1, 3.0)),
    "rolling": Kind("members are shut down and restarted, a tenth at a time", 1.0, (1.0, 1.0)),
    "late_start": Kind(
        "members are absent at the start of the scenario and start when the fault ends", 1.0, (1.0, 1.0)
    ),
    "twin": Kind("a second process under the name of a member", 1.0, (1.0, 1.0)),
    "starve": Kind("CPU starvation: members get one part in SIZE + 1 of a core", 9.0, (2.0, 20.0)),
    "memory": Kind("members are restarted with SIZE MB of memory", 40.0, (32.0, 64.0), clocks=("sockets",)),
    "clock": Kind("members' clocks run SIZE times as fast", 1.1, (0.9, 1.1), clocks=("virtual",)),
    # ---- links to workers and to the list service
    "workers_cut": Kind("members' links to a share SIZE of the workers fall silent", 0.5, (0.2, 1.0)),
    "list_cut": Kind("members' calls of the list service fail", 1.0, (1.0, 1.0)),
    # ---- workers, for the reaction of the fleet as a whole
    "bad_worker": Kind("workers hang: they accept connections and do not respond", 1.0, (1.0, 1.0)),
    "cold_worker": Kind("workers crash and are back, cold, after SIZE seconds", 1.0, (0.5, 4.0)),
    "by_hand": Kind("workers are disabled by an operator, at one scheduler alone", 1.0, (1.0, 1.0)),
}
WORKERS = {"bad_worker", "cold_worker", "by_hand"}  # kinds whose `part` is a share of the workers
# parts of the program that a scenario may enable; without messages between members each is isolated
PARTS = ("sums", "members")
