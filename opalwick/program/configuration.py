"""Reads and validates the configuration file and applies defaults."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from opalwick.interface import SchedulerConfig
from opalwick.protocol.discovery import parse_address
from opalwick.protocol.settings import (
    InvalidSettings,
    NameMaps,
    SettingValues,
    flatten,
    read_name_maps,
    read_scheduler_config,
    reject_contradictions,
)
from opalwick.transport.connection import Address
from opalwick.transport.limits import Limits, compute_limits


class BadConfiguration(Exception):
    """The configuration is invalid; the message names the key."""


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    listen: Address
    discovery: Address
    inherited: int | None  # descriptor of the client listener, if the platform opened it
    directory: str  # of the handover socket, where a successor process finds this one; empty: none
    operator: Address | None
    peer_listen: Address | None
    peers: list[Address]
    seed: int
    known: dict[str, Any]  # the last known list of workers
    scheduler_config: SchedulerConfig
    names: NameMaps
    limits: Limits
    fleet: dict[str, Any] | None  # validated settings of fleet membership; None: off
    records: str  # file for records of this scheduler's view of the fleet; empty: none
    raw: dict[str, Any]  # as read, without the keys that differ at every start

    def differences(self, other: Configuration) -> list[str]:
        """The sorted paths of the keys that differ."""
        ours, theirs = flatten(self.raw), flatten(other.raw)
        return sorted(path for path in ours.keys() | theirs.keys() if ours.get(path) != theirs.get(path))


def _take(given: Mapping[str, Any], key: str, kind: type, default: Any = None) -> Any:
    value = given.get(key, default)
    if value is None:
        raise BadConfiguration(f"{key} is missing")
    if not isinstance(value, kind):
        raise BadConfiguration(f"{key} is malformed: {value!r} is not {kind.__name__}")
    return value


def _address(text: Any, key: str, minimum: int = 1) -> Address:
    try:
        return parse_address(text, minimum)
    except ValueError as exc:
        raise BadConfiguration(f"{key} is malformed: {exc}") from None


def _number(limits: Mapping[str, Any], key: str, default: float, minimum: float) -> float:
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < 1e9:
        raise BadConfiguration(f"limits.{key} is malformed: {value!r} is not a number of {minimum:g} or more")
    return value


# keys of `fleet`, in microseconds; for defaults and meaning see `fleet/members.py`
_FLEET_TIMES = ("every-us", "answer-us", "missed-us", "suspect-us", "digest-us")


def _fleet(
    given: Mapping[str, Any], terms: SchedulerConfig, peers: list[Any], peer_listen: Any
) -> dict[str, Any] | None:
    """The validated `fleet` settings, or None if membership is off.

    Raises BadConfiguration for unknown keys and invalid values.
    """
    fleet = _take(given, "fleet", dict, {})
    for key, value in fleet.items():
        if key not in ("members", "life", *_FLEET_TIMES):
            raise BadConfiguration(f"fleet.{key} is unknown")
        if key == "members":
            if not isinstance(value, bool):
                raise BadConfiguration(f"fleet.members is malformed: {value!r} is not a boolean")
        elif isinstance(value, bool) or not isinstance(value, int) or not 0 < value < 1 << 32:
            raise BadConfiguration(f"fleet.{key} is malformed: {value!r} is not a positive 32-bit integer")
    if not fleet.get("members"):
        return None
    if not terms.may_message_peers:
        raise BadConfiguration(
            "fleet.members needs settings.ceilings.peers: messages between schedulers are off"
        )
    if not peers or peer_listen is None:
        raise BadConfiguration(f"fleet.members needs {'peer_listen' if peers else 'peers'}")
    if terms.position >= len(peers):
        raise BadConfiguration(f"fleet.members: peers has no address for position {terms.position}")
    from opalwick.fleet.membership import MembershipConfig as Times

    found = Times(**{key[:-3]: fleet[key] * 1e-6 for key in _FLEET_TIMES if key in fleet})
    for less, more in (
        ("answer", "missed"),
        ("every", "suspect"),
        ("missed", "suspect"),
        ("every", "digest"),
    ):
        if getattr(found, less) >= getattr(found, more):
            raise BadConfiguration(
                f"fleet.{less}-us: {getattr(found, less):g} s is not under "
                f"fleet.{more}-us, {getattr(found, more):g} s"
            )
    return {"terms": found, "life": fleet.get("life", 0)}


def _inherited(text: str | None) -> int | None:
    """The descriptor of a listening stream socket that this process inherited, or None.

    Raises BadConfiguration if the descriptor is not such a socket.
    """
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise BadConfiguration(f"BALANCER_FD is malformed: {text!r} is not a descriptor's number")
    try:
        with socket.socket(fileno=os.dup(int(text))) as found:
            if found.type != socket.SOCK_STREAM or not found.getsockopt(
                socket.SOL_SOCKET, socket.SO_ACCEPTCONN
            ):
                raise BadConfiguration(f"BALANCER_FD is malformed: {text} does not listen")
    except (OSError, OverflowError) as exc:
        raise BadConfiguration(f"BALANCER_FD is malformed: {text} is no open socket: {exc}") from None
    return int(text)


def read(environment: Mapping[str, str], path: str | None = None) -> Configuration:
    """Reads the file at `path`, by default the one that BALANCER_CONFIG names.

    The name and the addresses may be given in the environment instead. Raises BadConfiguration.
    """
    path = path or environment.get("BALANCER_CONFIG")
    if not path:
        raise BadConfiguration("BALANCER_CONFIG is missing")
    try:
        given = json.loads(Path(path).read_text())
    except OSError as exc:
        raise BadConfiguration(f"BALANCER_CONFIG cannot be read: {exc}") from None
    except ValueError as exc:
        raise BadConfiguration(f"BALANCER_CONFIG is not JSON: {exc}") from None
    if not isinstance(given, dict):
        raise BadConfiguration("BALANCER_CONFIG is not an object")
    listen = _address(given.get("listen") or environment.get("BALANCER_LISTEN"), "listen", 0)
    operator = given.get("operator") or environment.get("BALANCER_OPERATOR")
    operator_at = None if operator is None else _address(operator, "operator", 0)
    if operator_at == listen and listen[1]:
        raise BadConfiguration(f"operator is malformed: {operator!r} is also the listen address for clients")
    seed = _take(given, "seed", str, "0")
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise BadConfiguration(f"seed is malformed: {seed!r} is not hexadecimal") from None
    limits = _take(given, "limits", dict, {})
    peers = _take(given, "peers", list, [])
    peer_listen = given.get("peer_listen")
    settings = flatten(_take(given, "settings", dict))
    try:
        terms = read_scheduler_config(settings)
        reject_contradictions(settings)
        names = read_name_maps(settings, terms)
        values = SettingValues(settings)
        budgets = compute_limits(
            # defaults for a small machine
            int(_number(limits, "sockets", 1024, 1)),
            _number(limits, "memory_mb", 192, 1),
            int(values.number("ceilings.max-open", 20000)),
            values.seconds("ceilings.conn-idle-us", 10.0),
            values.seconds("ceilings.connect-timeout-us", 0.25),
            terms.subscribe_within,
            max((c.expiry for c in terms.categories), default=0.0),
        )
    except InvalidSettings as exc:
        raise BadConfiguration(f"settings: {exc}") from None
    return Configuration(
        name=_take(given, "name", str, environment.get("BALANCER_NAME", "opalwick")),
        listen=listen,
        inherited=_inherited(environment.get("BALANCER_FD")),
        directory=environment.get("TMPDIR", ""),
        operator=operator_at,
        discovery=_address(given.get("discovery") or environment.get("BALANCER_DISCOVERY"), "discovery"),
        peer_listen=None if peer_listen is None else _address(peer_listen, "peer_listen", 0),
        peers=[_address(peer, f"peers.{i}") for i, peer in enumerate(peers)],
        seed=seed_number,
        records=_take(given, "records", str, ""),
        fleet=_fleet(given, terms, peers, peer_listen),
        known=_take(given, "known", dict, {"seq": 0, "whole": True, "hosts": []}),
        scheduler_config=terms,
        names=names,
        limits=budgets,
        raw={key: value for key, value in given.items() if key not in ("known", "seed")},
    )
