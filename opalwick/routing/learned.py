"""What one process has learned of workers and work, for the process that follows it.

Times go as they are: both processes read one clock. What comes back is checked number by number, and what is
odd is left out: it was only learned, and will be again.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from opalwick.balance import Balancer
from opalwick.interface import Worker
from opalwick.protocol.handover import number

# of each object the fields that tell what it has shown, not what is out for it now
_ALL = (
    "firsts",
    "copies",
    "rate",
    "taken_at",
    "largest",
    "mean_run",
    "noise",
    "full",
    "queue",
    "failing",
    "others",
    "fetch",
    "value",
    "work",
)
_CATEGORY = ("run", "ended", "allowance")
_KIND = ("ran", "asked", "size", "reports")
_WORKER = (
    "mean",
    "mean_at",
    "others",
    "others_at",
    "ran",
    "ran_at",
    "asked",
    "failed",
    "tried",
    "failed_at",
    "limit",
    "sign_at",
    "doubt",
    "shun_until",
    "turned",
    "rest_until",
    "told_busy",
    "told_left",
)
_ZONE = ("trip", "note_in", "answered", "heard_at", "heard")


def _told(thing: Any, fields: Sequence[str]) -> list[float]:
    return [getattr(thing, field) for field in fields]


def _take(thing: Any, fields: Sequence[str], told: Any) -> None:
    if not isinstance(told, list) or len(told) != len(fields):
        return
    found = [number(value) for value in told]
    if any(value is None for value in found):
        return
    for field, value in zip(fields, found):
        setattr(thing, field, type(getattr(thing, field))(value))


def _entry(told: Mapping[str, Any], key: str, name: Any) -> Any:
    found = told.get(key)
    return found.get(name) if isinstance(found, dict) else None


def exported(balancer: Balancer, workers: Mapping[Any, Worker]) -> dict[str, Any]:
    return {
        "all": _told(balancer, _ALL),
        "categories": [_told(c, _CATEGORY) for c in balancer.terms.categories],
        "kinds": {str(i): _told(kind, _KIND) for i, kind in balancer.kinds.items()},
        "zones": {str(i): _told(zone, _ZONE) for i, zone in balancer.zones.items()},
        "workers": {name: [_told(w, _WORKER), w.sends] for name, w in workers.items()},
    }


def imported(balancer: Balancer, workers: Mapping[Any, Worker], told: Any) -> None:
    """After the list: what is told of workers or kinds that are not in it is passed over."""
    if not isinstance(told, dict):
        return
    _take(balancer, _ALL, told.get("all"))
    categories = told.get("categories")
    for category, shown in zip(balancer.terms.categories, categories if isinstance(categories, list) else ()):
        _take(category, _CATEGORY, shown)
    for i, kind in balancer.kinds.items():
        _take(kind, _KIND, _entry(told, "kinds", str(i)))
    for i, zone in balancer.zones.items():
        _take(zone, _ZONE, _entry(told, "zones", str(i)))
    for name, w in workers.items():
        shown = _entry(told, "workers", name)
        if isinstance(shown, list) and len(shown) == 2 and isinstance(shown[1], list):
            _take(w, _WORKER, shown[0])
            # the budget of a cold worker counts what either process sent it
            w.sends = [
                (send[0], send[1])
                for send in shown[1]
                if isinstance(send, list) and len(send) == 2 and None not in map(number, send)
            ]
    balancer.resize()
