"""The policy in force as every process reads it: whose messages have a home, and which country a zone is in.

It comes beside the configuration (`Conf.home`) and is looked up, never changed. A zone's region is what the
policy has from the office that took it, one word for all; a process whose own settings say otherwise takes
that zone for nowhere. A region's country is what the policy says; what it does not name is nobody's home.
"""

from __future__ import annotations

from opalwick.post.counter.routes import Routes
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Conf, Letter, Partner


class Policy:
    def __init__(self, conf: Conf, settings: Settings) -> None:
        home = conf.home
        self.gen = int(home.gen)
        self.routes = Routes(conf)
        self.settings = settings
        self.zones = {one.name: one.region for one in home.zones}
        self.countries = {region: one.name for one in home.countries for region in one.regions}
        self.endpoints = {one.address: self.countries.get(one.region, "") for one in home.endpoints}
        # each in the order in which it decides: what names less stands behind what names more
        self.by_route = {one.route: one for one in home.partners if one.route}
        self.by_host = {one.host.lower(): one for one in home.partners if one.host}
        self.by_svc = {one.svc: one for one in home.partners if one.svc}

    def country(self, zone: str) -> str:
        """Empty where nobody knows."""
        region = self.zones.get(zone, "")
        return self.countries.get(region, "") if self.settings.zones.get(zone, region) == region else ""

    def here(self, zone: str) -> str:
        """Of this process, which began in that zone. One whose settings have moved it since, or do not agree
        with themselves, is nowhere until it starts anew."""
        s = self.settings
        return self.country(zone) if (zone, s.zones.get(zone)) == (s.zone, s.region) else ""

    def partner(self, letter: Letter) -> Partner | None:
        """Whose message it is: by its route, else its host, else its service."""
        host = letter.host.decode("latin-1").lower()
        found = self.routes.find(host, letter.target.decode("latin-1"))
        if found is not None and (one := self.by_route.get(found.name)) is not None:
            return one
        one = self.by_host.get(host) or self.by_host.get(host.partition(":")[0])
        return one or (self.by_svc.get(found.svc) if found is not None else None)


def in_force(conf: Conf | None, settings: Settings) -> Policy | None:
    return Policy(conf, settings) if conf is not None and conf.home.gen else None


def named(partner: Partner) -> str:
    """A partner by its one name."""
    return next(
        f"{kind} {value}"
        for kind, value in (("route", partner.route), ("host", partner.host), ("service", partner.svc))
        if value
    )
