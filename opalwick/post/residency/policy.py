"""The data residency policy in force, as each process reads it: which messages have a home, and which country
a zone is in.

It comes with the configuration (`Conf.home`) and is never changed here. A zone's region is the one that the
policy has from the controller that accepted it, so that all processes agree; a process whose own settings
differ treats that zone as being in no country. A region's country is the one in the policy; a region that it
does not name is in no country.
"""

from __future__ import annotations

from opalwick.post.gateway.routes import Routes
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Conf, Letter, Partner


class Policy:
    """The tables of one configuration's policy, for a process with these settings."""

    def __init__(self, conf: Conf, settings: Settings) -> None:
        home = conf.home
        self.gen = int(home.gen)
        self.routes = Routes(conf)
        self.settings = settings
        self.zones = {one.name: one.region for one in home.zones}
        self.countries = {region: one.name for one in home.countries for region in one.regions}
        self.endpoints = {one.address: self.countries.get(one.region, "") for one in home.endpoints}
        # in order of precedence: the more specific rule first
        self.by_route = {one.route: one for one in home.partners if one.route}
        self.by_host = {one.host.lower(): one for one in home.partners if one.host}
        self.by_svc = {one.svc: one for one in home.partners if one.svc}

    def country(self, zone: str) -> str:
        """The country of a zone; empty where it is unknown."""
        region = self.zones.get(zone, "")
        return self.countries.get(region, "") if self.settings.zones.get(zone, region) == region else ""

    def own_country(self, zone: str) -> str:
        """The country of this process, which started in that zone. Empty, until the next start, if its
        settings have moved it since or contradict themselves.
        """
        s = self.settings
        return self.country(zone) if (zone, s.zones.get(zone)) == (s.zone, s.region) else ""

    def partner(self, letter: Letter) -> Partner | None:
        """The partner that a message belongs to: by its route, else its host, else its service."""
        host = letter.host.decode("latin-1").lower()
        found = self.routes.find(host, letter.target.decode("latin-1"))
        if found is not None and (one := self.by_route.get(found.name)) is not None:
            return one
        one = self.by_host.get(host) or self.by_host.get(host.partition(":")[0])
        return one or (self.by_svc.get(found.svc) if found is not None else None)


def in_force(conf: Conf | None, settings: Settings) -> Policy | None:
    """The policy of a configuration; None if it has none."""
    return Policy(conf, settings) if conf is not None and conf.home.gen else None


def partner_name(partner: Partner) -> str:
    """The partner's name with its kind, as in `route r1`."""
    return next(
        f"{kind} {value}"
        for kind, value in (("route", partner.route), ("host", partner.host), ("service", partner.svc))
        if value
    )
