"""What a conductor keeps on the offices' disks: all that the next one needs to go on from there.

It changes as a whole; what counters and depots are told follows from it (`rules`, `depots`), so that nothing
is done that is not saved, and nothing is saved that is not done.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from mashumaro.codecs.basic import BasicDecoder

from opalwick.post.maintenance.racks import Declaration

RUNNING, PAUSED, ABORTING, DONE, ABORTED = "running", "paused", "aborting", "done", "aborted"
OVER = (DONE, ABORTED)
WAITING, DRAINING, AWAY, BACK, LOST = "waiting", "draining", "away", "back", "lost"
RESTING = (DRAINING, AWAY, LOST)  # racks whose workers get nothing
LOG = 200  # entries of the log that are kept: a window of twenty racks has a hundred

_DECLARED = BasicDecoder(Declaration)


@dataclass(frozen=True, slots=True)
class Course:
    """How it stands with one rack."""

    state: str = WAITING
    for_s: float = 0.0  # in this state, when it was saved
    ids: tuple[str, ...] = ()  # workers that were there as it was handed over
    slots: dict[str, int] = field(default_factory=dict)  # and their slots, by service
    lives: dict[str, int] = field(default_factory=dict)  # and its machines'
    depots: tuple[str, ...] = ()  # of these, to be emptied: not those that were so before
    recalled: bool = False  # it is wanted back: a need is hurt
    as_is: bool = False  # an operator says that it is back, whatever its lives are


@dataclass(frozen=True, slots=True)
class State:
    serial: int  # of the window: grows with each that is started
    declared: Declaration
    steps: tuple[tuple[str, ...], ...]
    racks: dict[str, Course]
    phase: str = RUNNING
    at: int = 0  # of the steps
    ran_s: float = 0.0
    lost: dict[str, float] = field(default_factory=dict)  # by tenant: slot-seconds away
    fair: dict[str, float] = field(default_factory=dict)  # as planned: the least per slot and weight
    log: tuple[dict[str, Any], ...] = ()

    def of(self, *states: str) -> list[str]:
        return [name for name, course in self.racks.items() if course.state in states]

    @property
    def rules(self) -> list[str]:
        """Whose workers rest."""
        return [rule for name in self.of(*RESTING) for rule in self.declared.rack(name).rules]

    @property
    def depots(self) -> list[str]:
        """That are to be empty."""
        return [depot for name in self.of(*RESTING) for depot in self.racks[name].depots]

    @property
    def over(self) -> bool:
        return self.phase in OVER

    def told(self, what: str, **more: Any) -> State:
        entry = {"at_s": round(self.ran_s, 3), "what": what, **more}
        return replace(self, log=(*self.log, entry)[-LOG:])

    def body(self) -> bytes:
        return json.dumps(asdict(self), separators=(",", ":")).encode()


def read(body: bytes) -> State | None:
    """Empty: none. It was written by an office, so that it is whole."""
    if not body:
        return None
    given = json.loads(body)
    given["declared"] = _DECLARED.decode(given["declared"])
    given["steps"] = tuple(map(tuple, given["steps"]))
    given["log"] = tuple(given["log"])
    given["racks"] = {
        name: Course(**(course | {key: tuple(course[key]) for key in ("ids", "depots")}))
        for name, course in given["racks"].items()
    }
    return State(**given)
