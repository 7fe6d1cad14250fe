"""What can go wrong in a day, as a day's file names it; `faults.py` does it. No world is known here."""

from __future__ import annotations

from typing import NamedTuple


class Kind(NamedTuple):
    what: str
    size: float  # the usual one
    sizes: tuple[float, float]  # that `hunt` draws from


KINDS = {
    "slow": Kind(
        "workers run SIZE times slower",
        4.0,
        (2.0, 10.0),
    ),
    "pauses": Kind(
        "workers stand still for SIZE seconds, now and then",
        0.3,
        (0.05, 0.8),
    ),
    "hang": Kind(
        "workers hang: they take connections and do and say nothing",
        1.0,
        (1.0, 1.0),
    ),
    "late_reports": Kind(
        "load reports are SIZE seconds older",
        2.0,
        (0.7, 5.0),
    ),
    "wrong_reports": Kind(
        "load reports are made up, up to SIZE times the slots",
        2.0,
        (1.0, 4.0),
    ),
    "untrue_reports": Kind(
        "load reports are untrue: workers tell a share SIZE of what they hold, and the rest as free",
        0.0,
        (0.0, 0.5),
    ),
    "throttle": Kind(
        "workers take SIZE requests a second, and turn the others away",
        4.0,
        (1.0, 8.0),
    ),
    "resets": Kind(
        "workers reset a share SIZE of the connections as a request arrives",
        0.3,
        (0.05, 0.9),
    ),
    "worker_crash": Kind(
        "workers crash and are back, cold, after SIZE seconds",
        2.0,
        (0.5, 6.0),
    ),
    "release": Kind(
        "a release: workers drain one after the other and are back, cold, after SIZE seconds",
        1.0,
        (0.3, 3.0),
    ),
    "shrink": Kind(
        "workers drain and go for good",
        1.0,
        (1.0, 1.0),
    ),
    "growth": Kind(
        "the fleet grows by this part, with cold workers",
        1.0,
        (1.0, 1.0),
    ),
    "list_behind": Kind(
        "changes come into the list SIZE seconds later",
        3.0,
        (1.0, 8.0),
    ),
    "list_down": Kind(
        "the list service fails every call",
        1.0,
        (1.0, 1.0),
    ),
    "list_moved": Kind(
        "the list service moves; schedulers are told where it is",
        1.0,
        (1.0, 1.0),
    ),
    "scheduler_crash": Kind(
        "schedulers are killed and are back after SIZE seconds",
        1.0,
        (0.5, 5.0),
    ),
    "planned_restart": Kind(
        "schedulers are restarted as planned, one after the other",
        1.0,
        (1.0, 1.0),
    ),
    "scheduler_pause": Kind(
        "schedulers stand still",
        1.0,
        (1.0, 1.0),
    ),
    "clock_step": Kind(
        "the wall clocks of schedulers are SIZE seconds off against the workers'",
        2.0,
        (-8.0, 8.0),
    ),
    "silent_links": Kind(
        "links from schedulers to workers fall silent: nothing comes through, nothing is reset",
        1.0,
        (1.0, 1.0),
    ),
    "refused": Kind(
        "new connections on links are refused",
        1.0,
        (1.0, 1.0),
    ),
    "half_resets": Kind(
        "a share SIZE of the requests on links is cut half-way by a reset",
        0.2,
        (0.02, 0.6),
    ),
    "one_sided": Kind(
        "links are one-sided: requests come through, and nothing that the worker says comes back",
        1.0,
        (1.0, 1.0),
    ),
    "lossy_ways": Kind(
        "ways between zones lose a share SIZE: connections say it again later, words are gone",
        0.1,
        (0.02, 0.4),
    ),
    "slow_links": Kind(
        "links are SIZE seconds slower, each way",
        0.05,
        (0.01, 0.3),
    ),
    "bad_words": Kind(
        "a share SIZE of schedulers' words is lost, a third of it doubled, all late by up to that",
        0.3,
        (0.1, 0.9),
    ),
    "split": Kind(
        "schedulers are split in two groups that do not hear each other",
        1.0,
        (1.0, 1.0),
    ),
    "burst": Kind(
        "SIZE times the arrivals, in one category and zone drawn",
        3.0,
        (2.0, 6.0),
    ),
    "heavy": Kind(
        "this part of the work items is SIZE times heavier",
        5.0,
        (2.0, 12.0),
    ),
    "impatient": Kind(
        "a further share SIZE of the clients goes away before its answer",
        0.3,
        (0.1, 0.8),
    ),
    "bad_clients": Kind(
        "SIZE times a second a bad client: asks again at once, leaves at once, or sends what cannot be read",
        10.0,
        (2.0, 40.0),
    ),
}
