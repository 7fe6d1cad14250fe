"""The declaration of a maintenance window: its racks, the required capacity, how long a rack may be away.

Parsed strictly from TOML (a file: errors name file, line and key) or JSON (a call: errors name the key).
Times are in seconds.
"""

from __future__ import annotations

import ipaddress
import re
import tomllib
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from mashumaro.codecs.basic import BasicDecoder
from returns.result import Failure, Result, Success

from opalwick.toml_lines import line_of
from opalwick.post.strict import (
    InvalidValue,
    StrictConfig,
    at_least_one,
    decode,
    from_json,
    integer,
    list_of,
    non_empty,
    object_of,
    positive,
    read_by,
    text,
)


def _share(value: Any) -> float:
    if type(value) not in (int, float) or not 0.0 <= value <= 1.0:
        raise InvalidValue("must be a number from 0 to 1")
    return float(value)


def _names(value: Any) -> tuple[str, ...]:
    if type(value) is not list:
        raise InvalidValue("must be a list")
    found = []
    for i, name in enumerate(value):
        try:
            found.append(non_empty(name))
        except InvalidValue as wrong:
            raise InvalidValue(wrong.problem, f"[{i}]") from None
    return tuple(found)


def _nets(value: Any) -> tuple[str, ...]:
    found = []
    for i, name in enumerate(_names(value)):
        try:
            found.append(str(ipaddress.IPv4Network(name)))
        except ValueError as problem:
            raise InvalidValue(f"must be a range such as 10.1.2.0/24: {problem}", f"[{i}]") from None
    return tuple(found)


def _partners(value: Any) -> dict[str, str]:
    if type(value) is not dict:
        raise InvalidValue("must be an object that maps route names to partners")
    return {non_empty(route): non_empty(partner) for route, partner in value.items()}


def _weights(value: Any) -> dict[str, float]:
    if type(value) is not dict:
        raise InvalidValue("must be an object that maps partners to weights")
    return {non_empty(partner): positive(weight) for partner, weight in value.items()}


class _NoExtraKeys(StrictConfig):
    """Rejects unknown keys, so that a misspelt key is not taken for an omitted one."""

    forbid_extra_keys = True


@dataclass(frozen=True, slots=True)
class Rack:
    """A rack: machines of the system by name; workers by address range, zone or id."""

    name: str = read_by(non_empty)
    longest_s: float = read_by(positive)  # s that it may be away at most
    machines: tuple[str, ...] = read_by(_names, default=())
    nets: tuple[str, ...] = read_by(_nets, default=())
    zones: tuple[str, ...] = read_by(_names, default=())
    workers: tuple[str, ...] = read_by(_names, default=())
    beside: tuple[str, ...] = read_by(
        _names, default=()
    )  # racks that may be down at the same time; empty: any

    class Config(_NoExtraKeys):
        pass

    @property
    def rules(self) -> list[str]:
        """The rules that select its workers; see `resting`."""
        return [
            *(f"id:{id}" for id in self.workers),
            *(f"zone:{zone}" for zone in self.zones),
            *(f"net:{net}" for net in self.nets),
        ]


@dataclass(frozen=True, slots=True)
class Need:
    """Minimum of a service: live slots as a share of current demand, workers, zones that have a worker."""

    service: str = read_by(non_empty)
    share: float = read_by(_share, default=1.0)
    least: int = read_by(integer, default=1)
    zones: int = read_by(integer, default=1)
    tenant: str = read_by(text, default="")  # empty: the name of the service
    weight: float = read_by(
        positive, default=1.0
    )  # weight of the tenant: the loss it may have relative to others

    class Config(_NoExtraKeys):
        pass


@dataclass(frozen=True, slots=True)
class SystemNeeds:
    """Minimum of the system itself. Controllers always keep their majority."""

    copies: int = read_by(at_least_one, default=2)  # replicas of a message: survive.boxes + 1
    spare: int = read_by(integer, default=0)  # stores beyond these
    counters: int = read_by(at_least_one, default=1)  # gateways

    class Config(_NoExtraKeys):
        pass


@dataclass(frozen=True, slots=True)
class Shares:
    """The shares of partners in a service while its capacity is short."""

    service: str = read_by(non_empty)
    routes: dict[str, str] = read_by(
        _partners
    )  # partner by route; a route that is not listed is its own partner
    weights: dict[str, float] = read_by(_weights, default_factory=dict)  # by partner; the default is 1

    class Config(_NoExtraKeys):
        pass


@dataclass(frozen=True, slots=True)
class Declaration:
    """A maintenance window as declared."""

    name: str = read_by(non_empty)
    longest_s: float = read_by(positive)  # s, duration of the whole window
    racks: list[Rack] = read_by(list_of(Rack))
    needs: list[Need] = read_by(list_of(Need), default_factory=list)
    own: SystemNeeds = read_by(object_of(SystemNeeds), default=SystemNeeds())
    together: int = read_by(at_least_one, default=1)  # racks that may be down at the same time
    shares: list[Shares] = read_by(list_of(Shares), default_factory=list)

    class Config(_NoExtraKeys):
        pass

    def rack(self, name: str) -> Rack:
        """The rack of that name, which must exist."""
        return next(rack for rack in self.racks if rack.name == name)

    def tenant(self, service: str) -> str:
        """The tenant of a service, by default the name of the service."""
        return next((need.tenant or service for need in self.needs if need.service == service), service)

    def weight(self, tenant: str) -> float:
        """The sum of the weights of its services."""
        return sum(n.weight for n in self.needs if (n.tenant or n.service) == tenant) or 1.0

    def json(self) -> dict[str, Any]:
        return asdict(self)


_WHOLE = BasicDecoder(Declaration)


def _duplicate(values: Iterable[tuple[str, Any]]) -> tuple[str, str, Any] | None:
    """The paths of the first duplicate value, and the value; None if there is none."""
    seen: dict[Any, str] = {}
    for path, value in values:
        if value in seen:
            return seen[value], path, value
        seen[value] = path
    return None


def _validate(found: Declaration) -> None:
    if not found.racks:
        raise InvalidValue("must have at least one rack", "racks")
    names = {rack.name for rack in found.racks}
    for what, key in (("name", "name"), ("machine", "machines"), ("worker", "workers"), ("zone", "zones")):
        rows: list[tuple[str, Any]] = []
        for i, rack in enumerate(found.racks):
            value = getattr(rack, key)
            rows += (
                [(f"racks[{i}].{key}", value)]
                if key == "name"
                else [(f"racks[{i}].{key}[{j}]", one) for j, one in enumerate(value)]
            )
        if duplicate := _duplicate(rows):
            raise InvalidValue(f"the {what} {duplicate[2]!r} is at {duplicate[0]} too", duplicate[1])
    nets = [
        (f"racks[{i}].nets[{j}]", ipaddress.IPv4Network(net))
        for i, rack in enumerate(found.racks)
        for j, net in enumerate(rack.nets)
    ]
    for n, (path, net) in enumerate(nets):
        for before, other in nets[:n]:
            if net.overlaps(other):
                raise InvalidValue(f"{net} overlaps {other} at {before}", path)
    for i, rack in enumerate(found.racks):
        if not (rack.machines or rack.rules):
            raise InvalidValue("is empty: needs machines, nets, zones or workers", f"racks[{i}]")
        if rack.longest_s > found.longest_s:
            raise InvalidValue(
                f"is longer than the window's own {found.longest_s:g}", f"racks[{i}].longest_s"
            )
        for j, beside in enumerate(rack.beside):
            if beside not in names or beside == rack.name:
                raise InvalidValue(f"{beside!r} is not the name of another rack", f"racks[{i}].beside[{j}]")
    for key in ("needs", "shares"):
        if duplicate := _duplicate(
            (f"{key}[{i}].service", one.service) for i, one in enumerate(getattr(found, key))
        ):
            raise InvalidValue(f"{duplicate[2]!r} is at {duplicate[0]} too", duplicate[1])


def _read(given: Any) -> Declaration:
    found: Declaration = decode(_WHOLE, given, "")
    _validate(found)
    return found


def check(body: bytes) -> Result[Declaration, str]:
    """Parses JSON. A Failure is one sentence that names the field."""
    return from_json(body, _read)


def parse(text: str, name: str) -> Result[Declaration, str]:
    """Parses TOML, or JSON if the text starts with `{`. A Failure is `FILE:LINE: KEY: what is wrong`."""
    if text.lstrip().startswith("{"):
        return check(text.encode()).alt(lambda why: f"{name}: {why}")
    try:
        given = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        line = re.search(r"line (\d+)", str(problem))
        return Failure(f"{name}:{line[1] if line else len(text.splitlines())}: not TOML: {problem}")
    try:
        return Success(_read(given))
    except InvalidValue as wrong:
        path = [int(i) if i else key for key, i in re.findall(r"([^.\[\]]+)|\[(\d+)\]", wrong.path)]
        shown = wrong.path.lstrip(".") or "the file"
        return Failure(f"{name}:{line_of(text, path)}: {shown}: {wrong.problem}")
