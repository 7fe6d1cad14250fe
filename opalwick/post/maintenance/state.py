"""The maintenance coordinator's state on the controllers' disks, from which a new coordinator continues.

It changes as a whole. What gateways and stores receive is derived from it (`rules`, `depots`), so every
action is saved, and everything saved is acted upon.
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
RESTING = (DRAINING, AWAY, LOST)  # states of racks whose workers get no deliveries
MAX_LOG = 200  # log entries to keep; a window of twenty racks has a hundred

_DECLARED = BasicDecoder(Declaration)


@dataclass(frozen=True, slots=True)
class RackState:
    """The progress of one rack."""

    state: str = WAITING
    for_s: float = 0.0  # s in this state at the time of saving
    ids: tuple[str, ...] = ()  # workers present when the rack was handed over
    slots: dict[str, int] = field(default_factory=dict)  # their slots by service
    lives: dict[str, int] = field(default_factory=dict)  # incarnations of its machines
    depots: tuple[str, ...] = ()  # stores among them to be emptied, without those that were retiring before
    recalled: bool = False  # the rack is requested back, because a need is not met
    as_is: bool = False  # an operator reported it as back, whatever its incarnations are


@dataclass(frozen=True, slots=True)
class State:
    """The state of a maintenance window."""

    serial: int  # of the window, incremented with each start
    declared: Declaration
    steps: tuple[tuple[str, ...], ...]
    racks: dict[str, RackState]
    phase: str = RUNNING
    at: int = 0  # index of the current step
    ran_s: float = 0.0
    lost: dict[str, float] = field(default_factory=dict)  # by tenant: slot-seconds lost
    # by tenant, as planned: the least loss per slot and weight
    fair: dict[str, float] = field(default_factory=dict)
    log: tuple[dict[str, Any], ...] = ()

    def racks_in(self, *states: str) -> list[str]:
        """The racks in one of these states."""
        return [name for name, course in self.racks.items() if course.state in states]

    @property
    def rules(self) -> list[str]:
        """The rules that select the resting workers."""
        return [rule for name in self.racks_in(*RESTING) for rule in self.declared.rack(name).rules]

    @property
    def depots(self) -> list[str]:
        """The stores to be emptied."""
        return [depot for name in self.racks_in(*RESTING) for depot in self.racks[name].depots]

    @property
    def over(self) -> bool:
        return self.phase in OVER

    def logged(self, what: str, **more: Any) -> State:
        """The state with another log entry."""
        entry = {"at_s": round(self.ran_s, 3), "what": what, **more}
        return replace(self, log=(*self.log, entry)[-MAX_LOG:])

    def body(self) -> bytes:
        return json.dumps(asdict(self), separators=(",", ":")).encode()


def read(body: bytes) -> State | None:
    """The state from its JSON text; None if empty. It was written by a controller, so it is valid."""
    if not body:
        return None
    given = json.loads(body)
    given["declared"] = _DECLARED.decode(given["declared"])
    given["steps"] = tuple(map(tuple, given["steps"]))
    given["log"] = tuple(given["log"])
    given["racks"] = {
        name: RackState(**(course | {key: tuple(course[key]) for key in ("ids", "depots")}))
        for name, course in given["racks"].items()
    }
    return State(**given)
