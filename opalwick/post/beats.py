"""What a worker says of itself. Checked by hand: each says it every second or so, to few schedulers."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from opalwick.post.settings import parse_endpoint

# fields of the body, as openapi/post.yaml has them; `id` may be repeated there
NEEDED = ("svc", "address", "capacity", "state", "calls")
OPTIONAL = ("id", "az", "gen", "chill_ms")
_ID = re.compile(r"[!-.0-~]{1,128}")
BAD_ID = "the id in the path must be 1 to 128 printable characters without space or '/'"
_MOST = 2**31 - 1  # slots, and the milliseconds of a slow start
_MOST_CALLS = 2**63 - 1


@dataclass(frozen=True, slots=True)
class Beat:
    id: str
    svc: str
    host: str
    port: int
    zone: str
    gen: str  # of the worker's software
    capacity: int
    draining: bool
    chill: float  # seconds that it stays slow for yet
    calls: int  # rises: a late beat is known by it


def is_worker_id(id: str) -> bool:
    """Whether a worker may have it: none that cannot be registered is kept as one that has left either."""
    return _ID.fullmatch(id) is not None


def beat(id: str, body: bytes) -> Result[Beat, str]:
    """A Failure is one sentence that names the field."""
    if not is_worker_id(id):
        return Failure(BAD_ID)
    try:
        given: Any = json.loads(body.decode("utf-8"))
    except (ValueError, RecursionError) as e:
        return Failure(f"the body is not JSON: {e}")
    if type(given) is not dict:
        return Failure("the body must be a JSON object")
    for name in NEEDED:
        if name not in given:
            return Failure(f"{name} is missing")
    svc, zone, gen = given["svc"], given.get("az", ""), given.get("gen", "")
    for name, text in (("svc", svc), ("az", zone), ("gen", gen)):
        # half a character could not be passed on in UTF-8
        if type(text) is not str or not text.isprintable():
            return Failure(f"{name} must be printable text")
    if not svc:
        return Failure("svc is empty")
    address = given["address"]
    place = parse_endpoint(address) if type(address) is str else None
    if place is None:
        return Failure("address must be IPv4:port")
    capacity, calls, chill_ms = given["capacity"], given["calls"], given.get("chill_ms", 0)
    if type(capacity) is not int or not 0 < capacity <= _MOST:
        return Failure(f"capacity must be a whole number from 1 to {_MOST}")
    if type(calls) is not int or not 0 <= calls <= _MOST_CALLS:
        return Failure(f"calls must be a whole number from 0 to {_MOST_CALLS}")
    if type(chill_ms) not in (int, float) or not 0 <= chill_ms <= _MOST:
        return Failure(f"chill_ms must be a number from 0 to {_MOST}")
    state = given["state"]
    if state != "up" and state != "draining":
        return Failure("state must be 'up' or 'draining'")
    if given.get("id", id) != id:
        return Failure("id is not that of the path")
    return Success(Beat(id, svc, *place, zone, gen, capacity, state == "draining", chill_ms / 1000.0, calls))
