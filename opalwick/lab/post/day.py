"""A day of the post: machines, services, traffic, what goes wrong. Checked whole before use."""

from __future__ import annotations

import random
from collections.abc import Iterable
from pathlib import Path

import msgspec
from msgspec import Struct, field

from opalwick.checked import InvalidFile, Seconds, decode, fault_at
from opalwick.lab.day import BadDay, text_of
from opalwick.lab.day import built_in as others
from opalwick.lab.post.kinds import ALL, CHANGES, CLOSING, KINDS

BUILT_IN = Path(__file__).parent / "days"
ROLES = ("counter", "depot", "office")


class Fault(Struct, forbid_unknown_fields=True):
    kind: str
    at: Seconds  # since the traffic began
    lasts: Seconds = Seconds(2)
    part: float = 0.34  # of those that it may meet
    size: float = 0.0  # what it means the catalogue tells; 0: its usual size
    of: list[str] = []  # machines (depot-1), roles or zones, services for workers; none: a part of all
    to: list[str] = []  # for links: where they lead


class Service(Struct, forbid_unknown_fields=True):
    name: str
    share: float = 1.0  # of the messages
    workers: int = 3
    slots: int = 4
    queue: int = 8
    work: Seconds = Seconds(0.03)
    errors: float = 0.02  # share of runs that end with 500
    dedup: bool = False
    rate: float = 0.0  # ceiling a second; 0: none
    static: bool = False
    tries: int = 4
    limit: Seconds = Seconds(0.6)
    start: Seconds = Seconds(0.6)
    retain: Seconds = Seconds(90)


class Homed(Struct, forbid_unknown_fields=True):
    """A partner: the messages of one service, and the country (a region here) that they must not leave."""

    service: str
    country: str
    refuse: bool = False  # while home is short; else they wait
    wait: Seconds = Seconds(60)
    later: bool = False  # not a partner from the start: a fault adds it


def _services() -> list[Service]:
    return [
        Service("plain", 0.45, tries=6),
        Service("marked", 0.35, dedup=True, work=Seconds(0.015)),
        Service("metered", 0.2, 1, rate=6.0, static=True, work=Seconds(0.02), slots=6),
    ]


class Bounds(Struct, forbid_unknown_fields=True):
    """As deployments have them; a closing fault's `recover` is shorter here than theirs."""

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
    same: Seconds = Seconds(0.0002)
    cross: Seconds = Seconds(0.0014)
    client: Seconds = Seconds(0.003)
    jitter: float = 0.3
    bound: int = 16 << 20  # octets that may wait on a link


class Order(Struct, forbid_unknown_fields=True):
    """Of an operator, during a window."""

    at: Seconds  # since the traffic began
    what: str  # pause, resume, abort, or back RACK


class Window(Struct, forbid_unknown_fields=True):
    """A maintenance window; `window.py` plays it. Racks are named zone-1, zone-2 and so on."""

    at: Seconds = Seconds(1)  # since the traffic began: when it is started
    racks: int = 1  # in each zone: the first has the zone's machines, the workers are dealt out
    away: Seconds = Seconds(2.5)  # that the crew works on a rack
    longest: Seconds = Seconds(12)  # that it may, as declared
    whole: Seconds = Seconds(300)  # the window's length
    together: int = 1
    least: int = 2  # workers that each service needs
    share: float = 1.0  # of the demand, in slots
    never: list[str] = []  # racks that do not come back
    weights: dict[str, float] = {}  # by service
    shares: bool = False  # the partners' shares are held
    partners: dict[str, float] = {}  # their weights, by route
    orders: list[Order] = []
    # without a conductor, and without a drain: "singly", "zones" (all racks of one at a time) or "greedy"
    blind: str = ""


class PostDay(Struct, forbid_unknown_fields=True):
    title: str
    length: Seconds  # of the traffic
    after: Seconds = Seconds(6)  # that what was accepted has after it
    counters: int = 3
    depots: int = 3
    offices: int = 3
    zones: list[str] = field(default_factory=lambda: ["a", "b", "c"])
    services: list[Service] = field(default_factory=_services)
    rate: float = 12.0  # messages a second
    most: int = 0  # messages at all; 0: any number
    delayed: float = 0.15  # share that must not run at once
    delay: Seconds = Seconds(2.0)  # by how much, in the mean
    poison: float = 0.01
    asks: float = 0.2  # share of the accepted that are asked back meanwhile
    kept: float = 0.0  # share of the messages on connections that clients keep open
    strangers: float = 4.0  # questions a second for names that nobody was given
    beat: Seconds = Seconds(1.2)
    disk_mb: float = 400.0
    sync: Seconds = Seconds(0.001)
    network: Network = field(default_factory=Network)
    bounds: Bounds = field(default_factory=Bounds)
    faults: list[Fault] = []
    window: Window | None = None
    crowd: float = 0.0  # messages a second that one further partner of the first service brings
    regions: list[str] = []  # each zone's; none: all zones are in one
    homes: list[Homed] = []  # a system of several countries, whose partners stay at home (`home_world.py`)
    roam: float = 0.04  # share of a partner's clients who are abroad

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
        """Machines by name, role or zone. KeyError for one that is none of these."""
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
            raise wrong([key], "one stands twice")
    if not sum(s.share for s in found.services):
        raise wrong(["services", 0, "share"], "all shares are nought")
    for i, s in enumerate(found.services):
        if not s.static and not 1 <= s.workers <= 100:
            raise wrong(["services", i, "workers"], f"{s.workers} is not from 1 to 100")
        if min(s.slots, s.tries) < 1 or s.limit <= 0:
            raise wrong(["services", i], "slots, tries and limit must be above 0")
    if found.regions and len(found.regions) != len(found.zones):
        raise wrong(["regions"], f"{len(found.regions)} for {len(found.zones)} zones")
    for i, home in enumerate(found.homes):
        if home.service not in {s.name for s in found.services}:
            raise wrong(["homes", i, "service"], f"{home.service!r} is no service here")
        if home.country not in found.regions:
            raise wrong(["homes", i, "country"], f"{home.country!r} is no region here")
    services = {s.name for s in found.services} | {*found.zones, *found.regions}
    for i, fault in enumerate(found.faults):
        at: list[str | int] = ["faults", i]
        if fault.kind not in ALL:
            raise wrong([*at, "kind"], f"{fault.kind!r} is none of {', '.join(sorted(ALL))}")
        if fault.at >= found.length + found.after:
            raise wrong([*at, "at"], "it begins after the day's end")
        if not 0.0 <= fault.part <= 1.0:
            raise wrong([*at, "part"], f"{fault.part:g} is not from 0 to 1")
        on = ALL[fault.kind].on
        if fault.to and on != "links":
            raise wrong([*at, "to"], f"{fault.kind} is not about links")
        for key in ("of", "to"):
            try:
                if on != "workers":
                    found.named(getattr(fault, key))
                elif strange := set(getattr(fault, key)) - services:
                    raise KeyError(min(strange))
            except KeyError as who:
                raise wrong([*at, key], f"{who.args[0]!r} is nobody here") from None


def parse(text: str, name: str) -> PostDay:
    """BadDay for what is none."""
    found = decode(text, name, PostDay, BadDay)
    _check(found, text, name)
    return found


def built_in() -> list[str]:
    return others(BUILT_IN)


def read(which: str) -> PostDay:
    """A built-in day by its name, else a file. BadDay for what is no day of the post."""
    path, text = text_of(which, BUILT_IN, "day of the post")
    return parse(text, str(path))


def drawn(day: PostDay, seed: int, kinds: Iterable[str] = KINDS) -> PostDay:
    """The day with one to four faults of these kinds, and now and then another size: the same for the same
    seed."""
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
    if draw.random() < 0.5:  # what is kept is given up while something is wrong
        services = [msgspec.structs.replace(s, retain=Seconds(draw.choice((3, 6, 90)))) for s in services]
    return msgspec.structs.replace(
        day,
        title=f"{day.title}: drawn {seed}",
        services=services,
        **more,
        faults=sorted(faults, key=lambda f: f.at),
    )
