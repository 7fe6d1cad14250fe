"""Reads the operator's policy as a whole and strictly, like the configuration; only controllers and the
command line need it. The fields are those of the request's body; `wait_s` is in seconds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from mashumaro.codecs.basic import BasicDecoder
from returns.result import Failure, Result, Success

from opalwick.post.configuration import find_duplicate
from opalwick.post.settings import parse_endpoint
from opalwick.post.strict import (
    InvalidValue,
    StrictConfig,
    decode,
    from_json,
    list_of,
    non_empty,
    positive,
    read_by,
)
from opalwick.post.wire_pb2 import Country, Endpoint, Home, Keeper, Node, Partner, Zone

# s, the longest expected wait at home if the policy does not set it: two thirds of 90 s
DEFAULT_WAIT = 60.0


def _names(value: Any) -> list[str]:
    if type(value) is not list or not value:
        raise InvalidValue("must be a list of at least one")
    return [non_empty(one) for one in value]


def _short(value: Any) -> str:
    if value not in ("wait", "refuse"):
        raise InvalidValue("must be 'wait' or 'refuse'")
    return str(value)


def _optional(value: Any) -> str | None:
    return None if value is None else non_empty(value)


def _digest(value: Any) -> str:
    if len(text := non_empty(value)) != 64 or set(text) - set("0123456789abcdef"):
        raise InvalidValue("must be a sha256 in 64 lowercase hexadecimal digits")
    return text


def _address(value: Any) -> str:
    if parse_endpoint(non_empty(value), by_number=False) is None:
        raise InvalidValue(f"must be host:port, not {value!r}")
    return str(value)


@dataclass(frozen=True, slots=True)
class _Country:
    name: str = read_by(non_empty)
    regions: list[str] = read_by(_names)

    class Config(StrictConfig):
        pass


@dataclass(frozen=True, slots=True)
class _Partner:
    home: str = read_by(non_empty)
    host: str | None = read_by(_optional, default=None)
    route: str | None = read_by(_optional, default=None)
    service: str | None = read_by(_optional, default=None)
    short: str = read_by(_short, default="wait")
    wait_s: float = read_by(positive, default=DEFAULT_WAIT)

    class Config(StrictConfig):
        pass


@dataclass(frozen=True, slots=True)
class _Endpoint:
    address: str = read_by(_address)
    region: str = read_by(non_empty)

    class Config(StrictConfig):
        pass


@dataclass(frozen=True, slots=True)
class _Keeper:
    name: str = read_by(non_empty)
    sha256: str = read_by(_digest)

    class Config(StrictConfig):
        pass


@dataclass(frozen=True, slots=True)
class _Policy:
    gen: int
    countries: list[_Country] = read_by(list_of(_Country))
    partners: list[_Partner] = read_by(list_of(_Partner))
    endpoints: list[_Endpoint] = read_by(list_of(_Endpoint), default=())
    keepers: list[_Keeper] = read_by(list_of(_Keeper), default=())

    class Config(StrictConfig):
        pass


_WHOLE = BasicDecoder(_Policy)


def key_digest(key: str) -> str:
    """The digest of a keeper's key, as the policy has it."""
    return hashlib.sha256(key.encode()).hexdigest()


def check(body: bytes, zones: dict[str, str] | None = None) -> Result[Home, str]:
    """Checks a policy. A Failure is one sentence that names the field. `zones`: each zone's region, where
    they are known.
    """
    return from_json(body, lambda given: decode(_WHOLE, given, "")).bind(
        lambda read: _home(read, body, zones)
    )


def _home(read: _Policy, body: bytes, zones: dict[str, str] | None) -> Result[Home, str]:
    """The policy as controllers store it, if its parts are consistent."""
    if read.gen < 1:
        return Failure("gen must be at least 1")
    if why := _faults(read, None if zones is None else set(zones.values())):
        return Failure(why)
    return Success(
        Home(
            gen=read.gen,
            said=body,
            countries=[Country(name=c.name, regions=c.regions) for c in read.countries],
            partners=[
                Partner(
                    host=p.host or "",
                    route=p.route or "",
                    svc=p.service or "",
                    home=p.home,
                    refuse=p.short == "refuse",
                    wait=p.wait_s,
                )
                for p in read.partners
            ],
            endpoints=[Endpoint(address=e.address, region=e.region) for e in read.endpoints],
            keepers=[Keeper(name=k.name, digest=k.sha256) for k in read.keepers],
            zones=[Zone(name=name, region=region) for name, region in sorted((zones or {}).items())],
        )
    )


def _faults(read: _Policy, regions: set[str] | None) -> str:
    """The first inconsistency; empty if there is none."""
    for name, ones in (
        ("countries", [c.name for c in read.countries]),
        ("keepers", [k.name for k in read.keepers]),
        ("endpoints", [e.address for e in read.endpoints]),
    ):
        if pair := find_duplicate(ones):
            return f"{name}[{pair[0]}] and {name}[{pair[1]}] have the same name"
    country_of: dict[str, str] = {}
    for i, country in enumerate(read.countries):
        for j, region in enumerate(country.regions):
            if regions is not None and region not in regions:
                return f"countries[{i}].regions[{j}] names an unknown region {region!r}"
            if country_of.setdefault(region, country.name) != country.name:
                return f"countries[{i}].regions[{j}]: {region!r} is in {country_of[region]!r} already"
    for i, place in enumerate(read.endpoints):
        if place.region not in country_of:
            return f"endpoints[{i}].region names a region {place.region!r} of no country"
    names = {c.name for c in read.countries}
    for i, p in enumerate(read.partners):
        if sum(x is not None for x in (p.host, p.route, p.service)) != 1:
            return f"partners[{i}] must have one of host, route and service"
        if p.home not in names:
            return f"partners[{i}].home names an unknown country {p.home!r}"
    if pair := find_duplicate((p.host and p.host.lower(), p.route, p.service) for p in read.partners):
        return f"partners[{pair[0]}] and partners[{pair[1]}] are the same"
    return ""


def too_few_stores(home: Home, zones: dict[str, str], stores: Iterable[Node], copies: int) -> str:
    """Returns a sentence that names the partner whose home has too few stores for all replicas; empty if all
    homes have enough.
    """
    country_of = {region: partner.name for partner in home.countries for region in partner.regions}
    count_in: dict[str, int] = {}
    for store in stores:
        country = country_of.get(zones.get(store.zone, ""), "")
        count_in[country] = count_in.get(country, 0) + 1
    for i, partner in enumerate(home.partners):
        if count_in.get(partner.home, 0) < copies:
            return (
                f"partners[{i}].home: {partner.home} has {count_in.get(partner.home, 0)} stores, "
                f"{copies} replicas are required"
            )
    return ""
