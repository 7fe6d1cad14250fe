"""Scenarios of the broker ("days" in files and reports): machines, services, traffic, faults.

A scenario is validated completely before use.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from pathlib import Path

import msgspec
from msgspec import Struct, field

from opalwick.settings_file import InvalidFile, Seconds, decode, fault_at
from opalwick.lab.day import BadDay, text_of
from opalwick.lab.day import built_in as others
from opalwick.lab.post.kinds import ALL, CHANGES, CLOSING, KINDS

BUILT_IN = Path(__file__).parent / "days"
ROLES = ("counter", "depot", "office")


class Fault(Struct, forbid_unknown_fields=True):
    """One injected fault; the meaning of `size` depends on its kind, see `kinds.py`."""

    kind: str
    at: Seconds  # since the traffic began
    lasts: Seconds = Seconds(2)
    part: float = 0.34  # share of its possible targets
    size: float = 0.0  # 0: the default of its kind
    of: list[
        str
    ] = []  # targets: machines (depot-1), roles or zones; services for workers; empty: `part` of all
    to: list[str] = []  # for links: the other ends


class Service(Struct, forbid_unknown_fields=True):
    """A service with its workers and the options of its route."""

    name: str
    share: float = 1.0  # of the messages
    workers: int = 3
    slots: int = 4
    queue: int = 8
    work: Seconds = Seconds(0.03)
    errors: float = 0.02  # share of runs that end with 500
    dedup: bool = False
    rate: float = 0.0  # limit of requests per second; 0: none
    static: bool = False
    tries: int = 4
    limit: Seconds = Seconds(0.6)
    start: Seconds = Seconds(0.6)
    retain: Seconds = Seconds(90)


class Residency(Struct, forbid_unknown_fields=True):
    """Data residency of a partner: a service, and the country (region) that its messages must not leave."""

    service: str
    country: str
    refuse: bool = False  # messages are rejected while the country lacks capacity; else they wait
    wait: Seconds = Seconds(60)
    later: bool = False  # added by a fault; not a partner from the start


def _services() -> list[Service]:
    return [
        Service("plain", 0.45, tries=6),
        Service("marked", 0.35, dedup=True, work=Seconds(0.015)),
        Service("metered", 0.2, 1, rate=6.0, static=True, work=Seconds(0.02), slots=6),
    ]


class Bounds(Struct, forbid_unknown_fields=True):
    """Time limits of the rules, as in deployments; only `recover` after a closing fault is shorter here."""

    contact: Seconds = Seconds(4)
    ack: Seconds = Seconds(5)
    sync: Seconds = Seconds(4.5)
    drain: Seconds = Seconds(3)
    grace: Seconds = Seconds(6)
    loss: Seconds = Seconds(0.2)
    apply: Seconds = Seconds(3)
    revert: Seconds = Seconds(0.25)
    recover: Seconds = Seconds(5)
    skew: Seconds = Seconds(0.1)
    ceil_win: Seconds = Seconds(5)
    ceil_excess: float = 1.1
    reuse: Seconds = Seconds(2)
    state: Seconds = Seconds(120)


class Network(Struct, forbid_unknown_fields=True):
    """One-way latencies within a zone, between zones and from clients."""

    same: Seconds = Seconds(0.0002)
    cross: Seconds = Seconds(0.0014)
    client: Seconds = Seconds(0.003)
    jitter: float = 0.3
    bound: int = 16 << 20  # bytes that may be queued on a link


class Order(Struct, forbid_unknown_fields=True):
    """An operator's order during a maintenance window."""

    at: Seconds  # since the traffic began
    what: str  # pause, resume, abort, or back RACK


class Window(Struct, forbid_unknown_fields=True):
    """A maintenance window, run by `window.py`. Racks are named zone-1, zone-2 and so on."""

    at: Seconds = Seconds(1)  # start, since the traffic began
    racks: int = 1  # in each zone; the first has the zone's machines, workers are spread over all
    away: Seconds = Seconds(2.5)  # time that work on one rack takes
    longest: Seconds = Seconds(12)  # declared maximum of that time
    whole: Seconds = Seconds(300)  # length of the window
    together: int = 1
    least: int = 2  # workers that each service needs
    share: float = 1.0  # of the demand for slots that must stay available
    never: list[str] = []  # racks that don't come back
    weights: dict[str, float] = {}  # by service
    shares: bool = False  # partners' shares of capacity are enforced
    partners: dict[str, float] = {}  # their weights, by route
    orders: list[Order] = []
    # without the maintenance coordinator and without drains: "singly", "zones" (all racks of one zone at a
    # time) or "greedy"
    blind: str = ""


class PostDay(Struct, forbid_unknown_fields=True):
    """A scenario; rates are per second."""

    title: str
    length: Seconds  # of the traffic
    after: Seconds = Seconds(6)  # time after the traffic in which accepted messages can end
    counters: int = 3
    depots: int = 3
    offices: int = 3
    zones: list[str] = field(default_factory=lambda: ["a", "b", "c"])
    services: list[Service] = field(default_factory=_services)
    rate: float = 12.0  # messages a second
    most: int = 0  # maximum of messages; 0: none
    delayed: float = 0.15  # share of messages with a delay
    delay: Seconds = Seconds(2.0)  # mean delay
    body_bytes: int = 0  # least size of a message's body
    poison: float = 0.01
    asks: float = 0.2  # share of accepted messages that clients query during the traffic
    kept: float = 0.0  # share of messages sent on persistent connections
    strangers: float = 4.0  # queries per second for names that were never issued
    beat: Seconds = Seconds(1.2)
    disk_mb: float = 400.0
    sync: Seconds = Seconds(0.001)
    network: Network = field(default_factory=Network)
    bounds: Bounds = field(default_factory=Bounds)
    faults: list[Fault] = []
    window: Window | None = None
    crowd: float = 0.0  # messages per second from a further partner of the first service
    regions: list[str] = []  # of each zone; empty: all zones are in one region
    homes: list[Residency] = []  # partners with data residency, in several countries (`home_world.py`)
    roam: float = 0.04  # share of a partner's clients in other countries

    def region(self, zone: str) -> str:
        return self.regions[self.zones.index(zone)] if self.regions else "r"

    def machines(self) -> dict[str, tuple[str, str]]:
        """Role and zone by name."""
        counts = {"counter": self.counters, "depot": self.depots, "office": self.offices}
        return {
            f"{role}-{i}": (role, self.zones[i % len(self.zones)])
            for role, count in counts.items()
            for i in range(count)
        }

    def named(self, names: list[str]) -> list[str]:
        """Machines selected by name, role, zone or region. Raises KeyError for any other name."""
        found: dict[str, None] = {}
        for name in names:
            hit = [
                node
                for node, (role, zone) in self.machines().items()
                if name in (node, role, zone, self.region(zone))
            ]
            if not hit:
                raise KeyError(name)
            found |= dict.fromkeys(hit)
        return list(found)


_SPANS = {
    "counters": (1, 1000),
    "depots": (2, 50),
    "offices": (1, 9),
    "rate": (0, 5000),
    "body_bytes": (0, 262_144),
    "delayed": (0, 1),
    "poison": (0, 1),
    "asks": (0, 1),
    "kept": (0, 1),
    "strangers": (0, 1000),
    "length": (0.5, 600),
    "after": (0, 600),
    "most": (0, 1e6),
    "disk_mb": (0, 1e6),
    "sync": (0, 10),
}


def _check(found: PostDay, text: str, name: str) -> None:
    def wrong(path: list[str | int], why: str) -> InvalidFile:
        return fault_at(text, name, path, why, BadDay)

    for key, (least, most) in _SPANS.items():
        if not least <= getattr(found, key) <= most:
            raise wrong([key], f"{getattr(found, key):g} is not from {least:g} to {most:g}")
    for key in ("zones", "services"):
        names = [one if isinstance(one, str) else one.name for one in getattr(found, key)]
        if not names:
            raise wrong([key], "none is given")
        if len(set(names)) < len(names):
            raise wrong([key], "a name is given twice")
    if not sum(s.share for s in found.services):
        raise wrong(["services", 0, "share"], "all shares are 0")
    for i, s in enumerate(found.services):
        if not s.static and not 1 <= s.workers <= 100:
            raise wrong(["services", i, "workers"], f"{s.workers} is not from 1 to 100")
        if min(s.slots, s.tries) < 1 or s.limit <= 0:
            raise wrong(["services", i], "slots, tries and limit must be above 0")
    if found.regions and len(found.regions) != len(found.zones):
        raise wrong(["regions"], f"{len(found.regions)} regions for {len(found.zones)} zones")
    for i, home in enumerate(found.homes):
        if home.service not in {s.name for s in found.services}:
            raise wrong(["homes", i, "service"], f"{home.service!r} is not a service of this scenario")
        if home.country not in found.regions:
            raise wrong(["homes", i, "country"], f"{home.country!r} is not a region of this scenario")
    services = {s.name for s in found.services} | {*found.zones, *found.regions}
    for i, fault in enumerate(found.faults):
        at: list[str | int] = ["faults", i]
        if fault.kind not in ALL:
            raise wrong([*at, "kind"], f"{fault.kind!r} is none of {', '.join(sorted(ALL))}")
        if fault.at >= found.length + found.after:
            raise wrong([*at, "at"], "it begins after the end of the scenario")
        if not 0.0 <= fault.part <= 1.0:
            raise wrong([*at, "part"], f"{fault.part:g} is not from 0 to 1")
        on = ALL[fault.kind].on
        if fault.to and on != "links":
            raise wrong([*at, "to"], f"{fault.kind} does not affect links")
        for key in ("of", "to"):
            try:
                if on != "workers":
                    found.named(getattr(fault, key))
                elif unknown := set(getattr(fault, key)) - services:
                    raise KeyError(min(unknown))
            except KeyError as error:
                raise wrong([*at, key], f"{error.args[0]!r} is not in this scenario") from None


def parse(text: str, name: str) -> PostDay:
    """Decodes and validates a scenario. Raises BadDay."""
    found = decode(text, name, PostDay, BadDay)
    _check(found, text, name)
    return found


def built_in() -> list[str]:
    """Names of the scenarios that the package contains."""
    return others(BUILT_IN)


def read(which: str) -> PostDay:
    """Reads a built-in scenario by its name, else a file. Raises BadDay if it isn't a valid scenario."""
    path, text = text_of(which, BUILT_IN, "day of the post")
    return parse(text, str(path))


def drawn(day: PostDay, seed: int, kinds: Iterable[str] = KINDS) -> PostDay:
    """Adds one to four random faults of these kinds, sometimes with other sizes of disks or delays.

    The result depends only on the scenario, the kinds and the seed.
    """
    draw = random.Random(f"post/{seed}")
    faults = list(day.faults)
    names, closing = sorted(set(kinds) - {*CLOSING, *CHANGES}), [kind for kind in CLOSING if kind in kinds]
    for _ in range(draw.choice((1, 2, 2, 3, 3, 4))):
        kind = draw.choice(names)
        least, most = KINDS[kind].sizes
        lasts = draw.choice((draw.uniform(0.2, 1.5), draw.uniform(1.0, 4.0), draw.uniform(2.5, 6.0)))
        of: list[str] = []
        if KINDS[kind].on in ("machines", "links") and draw.random() < 0.7:
            of = [draw.choice((*ROLES, *ROLES, draw.choice(day.zones)))]
        to = [draw.choice(ROLES)] if KINDS[kind].on == "links" and draw.random() < 0.4 else []
        faults.append(
            Fault(
                kind,
                Seconds(round(draw.uniform(0.0, 0.8) * day.length, 2)),
                Seconds(round(lasts, 2)),
                draw.choice((0.1, 0.34, 0.34, 0.67, 1.0)),
                round(draw.uniform(least, most), 3),
                of,
                to,
            )
        )
    if draw.random() < 0.25 and closing:
        kind = draw.choice(closing)
        least, most = KINDS[kind].sizes
        faults.append(
            Fault(
                kind,
                Seconds(round(draw.uniform(0.3, 0.7) * day.length, 2)),
                size=round(draw.uniform(least, most), 3),
            )
        )
    more: dict[str, float] = {}
    if draw.random() < 0.15:
        more["delayed"] = 0.5
    if draw.random() < 0.15:
        more["disk_mb"] = round(draw.uniform(0.005, 0.05), 4)
    services = day.services
    if draw.random() < 0.5:  # so that retention also ends during faults
        services = [msgspec.structs.replace(s, retain=Seconds(draw.choice((3, 6, 90)))) for s in services]
    return msgspec.structs.replace(
        day,
        title=f"{day.title}: drawn {seed}",
        services=services,
        **more,
        faults=sorted(faults, key=lambda f: f.at),
    )
