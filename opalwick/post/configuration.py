"""The operator's configuration, validated in full before it is acknowledged: from then on it must be kept.

Fields have the names of the body. Times are in milliseconds, `retain_s` in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from mashumaro.codecs.basic import BasicDecoder
from returns.result import Failure, Result, Success

from opalwick.post.settings import parse_endpoint
from opalwick.post.strict import (
    InvalidValue,
    StrictConfig,
    at_least_one,
    decode,
    from_json,
    list_of,
    non_empty,
    object_of,
    positive,
    read_by,
    text,
)


def _stem(value: Any) -> str:
    if not text(value).startswith("/"):
        raise InvalidValue("must begin with '/'")
    return str(value)


def _static(value: Any) -> str | None:
    if value is not None and parse_endpoint(text(value), by_number=False) is None:
        raise InvalidValue(f"must be host:port or null, not {value!r}")
    return value


@dataclass(frozen=True, slots=True)
class Route:
    name: str = read_by(non_empty)
    vhost: str = read_by(non_empty)
    stem: str = read_by(_stem)
    svc: str = read_by(non_empty)
    limit_ms: float = read_by(positive)
    type: str = "deferred"
    target_ms: float = 80.0
    prio: int = 0
    tries: int = read_by(at_least_one, default=3)
    fifo: bool = False
    retain_s: float = 90.0
    notify: bool = False
    start_ms: float = 1200.0

    class Config(StrictConfig):
        pass


@dataclass(frozen=True, slots=True)
class Service:
    name: str = read_by(non_empty)
    probe: str = read_by(_stem, default="/healthz")
    max_conns: int = 64
    proto: str = "h1"
    tls: bool = False
    rate_per_s: float = 0.0  # 0: no rate limit
    dedup: bool = False
    poll: bool = False
    static: str | None = read_by(_static, default=None)

    class Config(StrictConfig):
        pass


@dataclass(frozen=True, slots=True)
class Caps:
    head_bytes: int = 16384
    body_bytes: int = 262144
    head_ms: float = 3000.0
    idle_ms: float = 15000.0

    class Config(StrictConfig):
        pass


@dataclass(frozen=True, slots=True)
class Configuration:
    gen: int
    routing: list[Route] = read_by(list_of(Route))
    backends: list[Service] = read_by(list_of(Service))
    caps: Caps = read_by(object_of(Caps), default=Caps())

    class Config(StrictConfig):
        pass


_CONFIGURATION = BasicDecoder(Configuration)


def find_duplicate(values: Iterable[Any]) -> tuple[int, int] | None:
    """The positions of the first value that repeats an earlier one, the earlier one first."""
    seen: dict[Any, int] = {}
    for i, value in enumerate(values):
        if (before := seen.setdefault(value, i)) != i:
            return before, i
    return None


def check(body: bytes) -> Result[Configuration, str]:
    """Parses and validates a configuration. A Failure is one sentence that names the invalid field;
    such a configuration must not come into force.
    """
    return from_json(body, lambda value: decode(_CONFIGURATION, value, "")).bind(_check_references)


def _check_references(configuration: Configuration) -> Result[Configuration, str]:
    """Checks references and uniqueness across the parts."""
    for name, items in (("routing", configuration.routing), ("backends", configuration.backends)):
        if pair := find_duplicate(item.name for item in items):  # type: ignore[attr-defined]
            return Failure(f"{name}[{pair[0]}] and {name}[{pair[1]}] have the same name")
    if pair := find_duplicate((route.vhost.casefold(), route.stem) for route in configuration.routing):
        return Failure(f"routing[{pair[0]}] and routing[{pair[1]}] have the same vhost and stem")
    known = {service.name for service in configuration.backends}
    for i, route in enumerate(configuration.routing):
        if route.svc not in known:
            return Failure(f"routing[{i}].svc names an unknown service {route.svc!r}")
    return Success(configuration)
