"""Heartbeats of workers: parsing and validation.

Validation is written out by hand for speed: each worker sends one about every second, to few controllers.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from opalwick.post.settings import parse_endpoint

# fields of the body, as in openapi/post.yaml; `id` may be repeated in it
REQUIRED = ("svc", "address", "capacity", "state", "calls")
OPTIONAL = ("id", "az", "gen", "chill_ms")
_WORKER_ID = re.compile(r"[!-.0-~]{1,128}")
BAD_ID = "the id in the path must be 1 to 128 printable characters without space or '/'"
_MAX_INT32 = 2**31 - 1  # limit of slots, and of the milliseconds of a slow start
_MAX_CALLS = 2**63 - 1


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A worker's heartbeat."""

    id: str
    svc: str
    host: str
    port: int
    zone: str
    gen: str  # version of the worker's software
    capacity: int
    draining: bool
    chill: float  # s of slow start that remain
    calls: int  # increases with each heartbeat, so that late ones can be detected


def is_worker_id(id: str) -> bool:
    """Whether a worker may have this id. Workers with other ids are not recorded as having left, either."""
    return _WORKER_ID.fullmatch(id) is not None


def parse_heartbeat(id: str, body: bytes) -> Result[Heartbeat, str]:
    """Parses the body of a heartbeat. A Failure is one sentence that names the field at fault."""
    if not is_worker_id(id):
        return Failure(BAD_ID)
    try:
        fields: Any = json.loads(body.decode("utf-8"))
    except (ValueError, RecursionError) as e:
        return Failure(f"the body is not JSON: {e}")
    if type(fields) is not dict:
        return Failure("the body must be a JSON object")
    for name in REQUIRED:
        if name not in fields:
            return Failure(f"{name} is missing")
    svc, zone, gen = fields["svc"], fields.get("az", ""), fields.get("gen", "")
    for name, value in (("svc", svc), ("az", zone), ("gen", gen)):
        # isprintable also excludes lone surrogates, which cannot be encoded in UTF-8
        if type(value) is not str or not value.isprintable():
            return Failure(f"{name} must be printable text")
    if not svc:
        return Failure("svc is empty")
    address = fields["address"]
    place = parse_endpoint(address) if type(address) is str else None
    if place is None:
        return Failure("address must be IPv4:port")
    capacity, calls, chill_ms = fields["capacity"], fields["calls"], fields.get("chill_ms", 0)
    if type(capacity) is not int or not 0 < capacity <= _MAX_INT32:
        return Failure(f"capacity must be a whole number from 1 to {_MAX_INT32}")
    if type(calls) is not int or not 0 <= calls <= _MAX_CALLS:
        return Failure(f"calls must be a whole number from 0 to {_MAX_CALLS}")
    if type(chill_ms) not in (int, float) or not 0 <= chill_ms <= _MAX_INT32:
        return Failure(f"chill_ms must be a number from 0 to {_MAX_INT32}")
    state = fields["state"]
    if state != "up" and state != "draining":
        return Failure("state must be 'up' or 'draining'")
    if fields.get("id", id) != id:
        return Failure("id is not that of the path")
    return Success(
        Heartbeat(id, svc, *place, zone, gen, capacity, state == "draining", chill_ms / 1000.0, calls)
    )
