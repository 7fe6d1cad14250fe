"""What an operator declares of a window: its racks, what has to stay, how long a rack may be away.

Read whole and strictly, from TOML (a file: faults name file, line and key) or JSON (a call: the key alone).
Times are seconds.
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

from opalwick.lines import line_of
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
        raise InvalidValue("must be an object: a partner by each route's name")
    return {non_empty(route): non_empty(partner) for route, partner in value.items()}


def _weights(value: Any) -> dict[str, float]:
    if type(value) is not dict:
        raise InvalidValue("must be an object: a weight by each partner")
    return {non_empty(partner): positive(weight) for partner, weight in value.items()}


class _Known(StrictConfig):
    """A word that is misspelt must not pass for one that is left out."""

    forbid_extra_keys = True


@dataclass(frozen=True, slots=True)
class Rack:
    """Machines of the system by name; workers by their addresses, their zone or their ids."""

    name: str = read_by(non_empty)
    longest_s: float = read_by(positive)  # that it may be away
    machines: tuple[str, ...] = read_by(_names, default=())
    nets: tuple[str, ...] = read_by(_nets, default=())
    zones: tuple[str, ...] = read_by(_names, default=())
    workers: tuple[str, ...] = read_by(_names, default=())
    beside: tuple[str, ...] = read_by(_names, default=())  # racks that may be down with it; empty: any

    class Config(_Known):
        pass

    @property
    def rules(self) -> list[str]:
        """Whose workers rest, as counters read it; see `resting`."""
        return [
            *(f"id:{id}" for id in self.workers),
            *(f"zone:{zone}" for zone in self.zones),
            *(f"net:{net}" for net in self.nets),
        ]


@dataclass(frozen=True, slots=True)
class Need:
    """Of a service: live slots as a share of the present demand, workers, zones with one."""

    service: str = read_by(non_empty)
    share: float = read_by(_share, default=1.0)
    least: int = read_by(integer, default=1)
    zones: int = read_by(integer, default=1)
    tenant: str = read_by(text, default="")  # empty: the service's own name
    weight: float = read_by(positive, default=1.0)  # of the tenant: what it may lose against the others

    class Config(_Known):
        pass


@dataclass(frozen=True, slots=True)
class Own:
    """Of the system itself. Offices always keep their majority."""

    copies: int = read_by(at_least_one, default=2)  # disks that a message is on: survive.boxes + 1
    spare: int = read_by(integer, default=0)  # depots beyond these
    counters: int = read_by(at_least_one, default=1)

    class Config(_Known):
        pass


@dataclass(frozen=True, slots=True)
class Shares:
    """Of what is left of a service while it is short, among partners."""

    service: str = read_by(non_empty)
    routes: dict[str, str] = read_by(_partners)  # partner by route; another route is its own partner
    weights: dict[str, float] = read_by(_weights, default_factory=dict)  # 1 where none is given

    class Config(_Known):
        pass


@dataclass(frozen=True, slots=True)
class Declaration:
    name: str = read_by(non_empty)
    longest_s: float = read_by(positive)  # of the whole window
    racks: list[Rack] = read_by(list_of(Rack))
    needs: list[Need] = read_by(list_of(Need), default_factory=list)
    own: Own = read_by(object_of(Own), default=Own())
    together: int = read_by(at_least_one, default=1)  # racks that are down at once, at most
    shares: list[Shares] = read_by(list_of(Shares), default_factory=list)

    class Config(_Known):
        pass

    def rack(self, name: str) -> Rack:
        return next(rack for rack in self.racks if rack.name == name)

    def tenant(self, service: str) -> str:
        return next((need.tenant or service for need in self.needs if need.service == service), service)

    def weight(self, tenant: str) -> float:
        """The sum of what its services declare."""
        return sum(n.weight for n in self.needs if (n.tenant or n.service) == tenant) or 1.0

    def json(self) -> dict[str, Any]:
        return asdict(self)


_WHOLE = BasicDecoder(Declaration)


def _twice(values: Iterable[tuple[str, Any]]) -> tuple[str, str, Any] | None:
    """Two ways that lead to the same value."""
    seen: dict[Any, str] = {}
    for way, value in values:
        if value in seen:
            return seen[value], way, value
        seen[value] = way
    return None


def _checked(found: Declaration) -> None:
    if not found.racks:
        raise InvalidValue("no rack is there", "racks")
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
        if two := _twice(rows):
            raise InvalidValue(f"the {what} {two[2]!r} stands at {two[0]} too", two[1])
    nets = [
        (f"racks[{i}].nets[{j}]", ipaddress.IPv4Network(net))
        for i, rack in enumerate(found.racks)
        for j, net in enumerate(rack.nets)
    ]
    for n, (way, net) in enumerate(nets):
        for before, other in nets[:n]:
            if net.overlaps(other):
                raise InvalidValue(f"{net} overlaps {other} at {before}", way)
    for i, rack in enumerate(found.racks):
        if not (rack.machines or rack.rules):
            raise InvalidValue(
                "nothing stands in it: machines, nets, zones or workers are due", f"racks[{i}]"
            )
        if rack.longest_s > found.longest_s:
            raise InvalidValue(
                f"is longer than the window's own {found.longest_s:g}", f"racks[{i}].longest_s"
            )
        for j, beside in enumerate(rack.beside):
            if beside not in names or beside == rack.name:
                raise InvalidValue(f"{beside!r} is no other rack", f"racks[{i}].beside[{j}]")
    for key in ("needs", "shares"):
        if two := _twice((f"{key}[{i}].service", one.service) for i, one in enumerate(getattr(found, key))):
            raise InvalidValue(f"{two[2]!r} stands at {two[0]} too", two[1])


def _read(given: Any) -> Declaration:
    found: Declaration = decode(_WHOLE, given, "")
    _checked(found)
    return found


def check(body: bytes) -> Result[Declaration, str]:
    """Of JSON. A Failure is one sentence that names the field."""
    return from_json(body, _read)


def parse(text: str, name: str) -> Result[Declaration, str]:
    """Of TOML, or JSON where the text begins so. A Failure is `FILE:LINE: KEY: what is wrong`."""
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
        way = [int(i) if i else key for key, i in re.findall(r"([^.\[\]]+)|\[(\d+)\]", wrong.path)]
        shown = wrong.path.lstrip(".") or "the file"
        return Failure(f"{name}:{line_of(text, way)}: {shown}: {wrong.problem}")
