"""The operator's configuration: what is acknowledged must be kept, so it is read whole and strictly first.

The fields are named as in the body. Times are in milliseconds, `retain_s` in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from mashumaro.codecs.basic import BasicDecoder
from returns.result import Failure, Result, Success

from opalwick.post.settings import endpoint
from opalwick.post.strict import (
    Strict,
    Wrong,
    above,
    by,
    decoded,
    each,
    filled,
    from_json,
    from_one,
    one,
    text,
)


def _stem(value: Any) -> str:
    if not text(value).startswith("/"):
        raise Wrong("must begin with '/'")
    return str(value)


def _static(value: Any) -> str | None:
    if value is not None and endpoint(text(value), by_number=False) is None:
        raise Wrong(f"must be host:port or null, not {value!r}")
    return value


@dataclass(frozen=True, slots=True)
class Route:
    name: str = by(filled)
    vhost: str = by(filled)
    stem: str = by(_stem)
    svc: str = by(filled)
    limit_ms: float = by(above)
    type: str = "deferred"
    target_ms: float = 80.0
    prio: int = 0
    tries: int = by(from_one, default=3)
    fifo: bool = False
    retain_s: float = 90.0
    notify: bool = False
    start_ms: float = 1200.0

    class Config(Strict):
        pass


@dataclass(frozen=True, slots=True)
class Service:
    name: str = by(filled)
    probe: str = by(_stem, default="/healthz")
    max_conns: int = 64
    proto: str = "h1"
    tls: bool = False
    rate_per_s: float = 0.0  # 0: no ceiling
    dedup: bool = False
    poll: bool = False
    static: str | None = by(_static, default=None)

    class Config(Strict):
        pass


@dataclass(frozen=True, slots=True)
class Caps:
    head_bytes: int = 16384
    body_bytes: int = 262144
    head_ms: float = 3000.0
    idle_ms: float = 15000.0

    class Config(Strict):
        pass


@dataclass(frozen=True, slots=True)
class Configuration:
    gen: int
    routing: list[Route] = by(each(Route))
    backends: list[Service] = by(each(Service))
    caps: Caps = by(one(Caps), default=Caps())

    class Config(Strict):
        pass


_WHOLE = BasicDecoder(Configuration)


def _repeats(values: Iterable[Any]) -> tuple[int, int] | None:
    seen: dict[Any, int] = {}
    for i, value in enumerate(values):
        if (before := seen.setdefault(value, i)) != i:
            return before, i
    return None


def check(body: bytes) -> Result[Configuration, str]:
    """A Failure is one sentence that names the field; what it names must not come into force."""
    return from_json(body, lambda given: decoded(_WHOLE, given, "")).bind(_fits)


def _fits(read: Configuration) -> Result[Configuration, str]:
    """Whether its parts fit together."""
    for name, kind in (("routing", read.routing), ("backends", read.backends)):
        if two := _repeats(one.name for one in kind):  # type: ignore[attr-defined]
            return Failure(f"{name}[{two[0]}] and {name}[{two[1]}] have the same name")
    if two := _repeats((route.vhost.casefold(), route.stem) for route in read.routing):
        return Failure(f"routing[{two[0]}] and routing[{two[1]}] have the same vhost and stem")
    known = {service.name for service in read.backends}
    for i, route in enumerate(read.routing):
        if route.svc not in known:
            return Failure(f"routing[{i}].svc names an unknown service {route.svc!r}")
    return Success(read)
