"""Statistics on workers and work that one process hands over to its successor at a restart.

Times are passed unchanged, as both processes read one clock. Every number received is validated, and invalid
entries are dropped: the successor can collect the statistics again.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from opalwick.balance import Balancer
from opalwick.interface import Worker
from opalwick.protocol.handover import finite_number

# of each object the attributes that hold statistics, not its current load. The values are handed over without
# their names: the order is part of the format
_ALL = (
    "first_attempts",
    "hedges",
    "arrival_rate",
    "accepted_at",
    "assumed_slots",
    "mean_run",
    "run_error",
    "queued_share",
    "mean_queue",
    "error_rate",
    "mean_others",
    "fetch_s",
    "mean_credit",
    "mean_work",
)
_CATEGORY = ("mean_run", "finished", "max_time_left")
_KIND = ("run_sum", "work_sum", "slots", "reports")
_WORKER = (
    "mean_outstanding",
    "mean_at",
    "others",
    "others_at",
    "run_sum",
    "ran_at",
    "work_sum",
    "errors",
    "runs",
    "errors_at",
    "limit",
    "alive_at",
    "ejections",
    "ejected_until",
    "rejections",
    "backoff_until",
    "peers_busy",
    "peers_left",
)
_ZONE = ("start_delay", "start_timeout", "answered_mark", "totals_at", "coverage")


def _values(owner: Any, fields: Sequence[str]) -> list[float]:
    return [getattr(owner, field) for field in fields]


def _restore(owner: Any, fields: Sequence[str], received: Any) -> None:
    if not isinstance(received, list) or len(received) != len(fields):
        return
    found = [finite_number(value) for value in received]
    if any(value is None for value in found):
        return
    for field, value in zip(fields, found):
        setattr(owner, field, type(getattr(owner, field))(value))


def _entry(received: Mapping[str, Any], key: str, name: Any) -> Any:
    found = received.get(key)
    return found.get(name) if isinstance(found, dict) else None


def exported(balancer: Balancer, workers: Mapping[Any, Worker]) -> dict[str, Any]:
    """The statistics in a form that JSON can hold."""
    return {
        "all": _values(balancer, _ALL),
        "categories": [_values(c, _CATEGORY) for c in balancer.config.categories],
        "kinds": {str(i): _values(kind, _KIND) for i, kind in balancer.kinds.items()},
        "zones": {str(i): _values(zone, _ZONE) for i, zone in balancer.zones.items()},
        "workers": {name: [_values(w, _WORKER), w.cold_sends] for name, w in workers.items()},
    }


def imported(balancer: Balancer, workers: Mapping[Any, Worker], received: Any) -> None:
    """Restores what `exported` gave; to be called after the worker list, as entries of unlisted workers and
    kinds are ignored.
    """
    if not isinstance(received, dict):
        return
    _restore(balancer, _ALL, received.get("all"))
    categories = received.get("categories")
    for category, saved in zip(
        balancer.config.categories, categories if isinstance(categories, list) else ()
    ):
        _restore(category, _CATEGORY, saved)
    for i, kind in balancer.kinds.items():
        _restore(kind, _KIND, _entry(received, "kinds", str(i)))
    for i, zone in balancer.zones.items():
        _restore(zone, _ZONE, _entry(received, "zones", str(i)))
    for name, w in workers.items():
        saved = _entry(received, "workers", name)
        if isinstance(saved, list) and len(saved) == 2 and isinstance(saved[1], list):
            _restore(w, _WORKER, saved[0])
            # the slow-start budget of a worker counts what either process sent it
            w.cold_sends = [
                (send[0], send[1])
                for send in saved[1]
                if isinstance(send, list) and len(send) == 2 and None not in map(finite_number, send)
            ]
    balancer.update_sizes()
