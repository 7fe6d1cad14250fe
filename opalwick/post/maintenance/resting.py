"""Selects the workers that get no deliveries while their rack is drained or away. Gateways import only this
module of the package.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any


class Resting:
    """Whether a worker matches one of the rules `id:ID`, `zone:ZONE`, `net:CIDR`."""

    __slots__ = ("ids", "nets", "rules", "zones")

    def __init__(self, rules: Iterable[str] = ()) -> None:
        self.rules = tuple(rules)
        self.ids, self.zones = set[str](), set[str]()
        self.nets: list[Any] = []
        for rule in self.rules:
            kind, _, value = rule.partition(":")
            if kind == "net":
                from ipaddress import IPv4Network  # not needed without such a rule

                self.nets.append(IPv4Network(value))
            else:
                (self.ids if kind == "id" else self.zones).add(value)

    def __bool__(self) -> bool:
        return bool(self.rules)

    def __call__(self, id: str, zone: str, host: str) -> bool:
        if id in self.ids or zone in self.zones:
            return True
        if not self.nets:
            return False
        from ipaddress import IPv4Address

        try:
            address = IPv4Address(host)
        except ValueError:  # a host name matches no range
            return False
        return any(address in net for net in self.nets)
