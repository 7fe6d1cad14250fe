"""A fleet's day: who is there, what goes wrong between them, what is promised. Checked whole before use."""

from __future__ import annotations

import re
import resource
from pathlib import Path

import msgspec
from msgspec import Struct, field

from opalwick.checked import InvalidFile, Seconds, decode, fault_at
from opalwick.lab.day import Allow, BadDay, Clients, Day, Kind, Listing, Load, Model, Network, text_of, write
from opalwick.lab.day import built_in as others
from opalwick.lab.day import check as check_day
from opalwick.lab.fleet.kinds import KINDS, PARTS

BUILT_IN = Path(__file__).parent / "days"
# descriptors of the lab's own process a member: its relay, its list service, clients' and kept connections
DESCRIPTORS = 12


class Fault(Struct, forbid_unknown_fields=True):
    kind: str
    at: Seconds
    lasts: Seconds = Seconds(5)
    part: float = 0.25  # of the members (or workers, or pairs) that it may meet
    size: float = 0.0  # what it means the catalogue tells; 0: its usual size
    of: list[str] = []  # members (s3) or groups by name that it meets, instead of a part drawn
    to: list[str] = []  # for ways: where they lead; none: to all


class Bounds(Struct, forbid_unknown_fields=True):
    """What is promised; the judge holds each part that is on to its own."""

    detect: Seconds = Seconds(5)  # a crash is known to every live, connected member
    pause: Seconds = Seconds(2)  # a shorter one is never a death
    false: Seconds = Seconds(2)  # no live member that a chain of two reaches is held gone for longer
    agree: Seconds = Seconds(5)  # after a heal all views agree
    vacant: Seconds = Seconds(5)  # with a majority connected a duty has an owner again
    stale: Seconds = Seconds(5)  # age of what is acted on, while the links are up
    unused: float = 1.0  # share of a limit, while there was demand
    longest: int = 256  # octets of a word


def _categories() -> list[Kind]:
    """Of each effect one, so that every rule can be broken."""
    ms = Seconds
    return [
        Kind("look", 0.5, ms(0.06), 1.5, due=ms(0.15), expiry=ms(5), credit=2.0),
        Kind("pay", 0.25, ms(0.08), 1.5, due=ms(0.3), expiry=ms(4), credit=4.0, effect="exclusive"),
        Kind(
            "book",
            0.25,
            ms(0.15),
            1.5,
            due=ms(0.3),
            expiry=ms(5),
            credit=3.0,
            effect="ticketed",
            group="zone",
        ),
    ]


class FleetDay(Struct, forbid_unknown_fields=True):
    title: str
    length: Seconds
    members: int = 12
    groups: list[str] = field(default_factory=lambda: ["east", "west"])
    parts: list[str] = field(default_factory=lambda: ["sums"])
    workers: int = 18  # where no models are given: so many of four slots
    models: list[Model] = []
    categories: list[Kind] = field(default_factory=_categories)
    load: Load = field(default_factory=lambda: Load(fill=0.4))
    clients: Clients = field(default_factory=Clients)
    network: Network = field(default_factory=Network)
    listing: Listing = field(default_factory=Listing)
    allow: Allow = field(default_factory=Allow)
    bounds: Bounds = field(default_factory=Bounds)
    faults: list[Fault] = []

    def day(self) -> Day:
        """The same as a day of work items; the faults between members are `fleet/faults.py`'s."""
        return Day(
            title=self.title,
            length=self.length,
            models=self.models or [Model("middle", self.workers)],
            categories=self.categories,
            schedulers=self.members,
            zones=self.groups,
            load=self.load,
            clients=self.clients,
            network=self.network,
            listing=self.listing,
            allow=msgspec.structs.replace(self.allow, words=bool(self.parts)),
        )

    def named(self, names: list[str]) -> list[int]:
        """Members by their own names or their groups'. KeyError for one that is neither."""
        found: dict[int, None] = {}
        for name in names:
            if name in self.groups:
                zone = self.groups.index(name)
                found |= dict.fromkeys(i for i in range(self.members) if i % len(self.groups) == zone)
            elif re.fullmatch(r"s\d{1,4}", name) and int(name[1:]) < self.members:
                found[int(name[1:])] = None
            else:
                raise KeyError(name)
        return list(found)


def descriptors() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def _check(found: FleetDay, text: str, name: str) -> None:
    def wrong(path: list[str | int], why: str) -> InvalidFile:
        return fault_at(text, name, path, why, BadDay)

    if not 1 <= found.members <= 1000:
        raise wrong(["members"], f"{found.members} is not from 1 to 1000")
    if len(set(found.groups)) < len(found.groups):
        raise wrong(["groups"], "a group stands twice")
    if len(found.groups) > found.members:
        raise wrong(["groups"], "more groups than members: each needs one")
    if not found.models and not 1 <= found.workers <= 5000:
        raise wrong(["workers"], f"{found.workers} is not from 1 to 5000")
    for i, part in enumerate(found.parts):
        if part not in PARTS:
            raise wrong(["parts"], f"{part!r} is no part of the program: there is {', '.join(PARTS)}")
        if part in found.parts[:i]:
            raise wrong(["parts"], f"{part!r} stands twice")
    for i, fault in enumerate(found.faults):
        at: list[str | int] = ["faults", i]
        if fault.kind not in KINDS:
            raise wrong([*at, "kind"], f"{fault.kind!r} is none of {', '.join(sorted(KINDS))}")
        kind = KINDS[fault.kind]
        if fault.at >= found.length:
            raise wrong([*at, "at"], "it begins after the day's end")
        if not 0.0 <= fault.part <= 1.0:
            raise wrong([*at, "part"], f"{fault.part:g} is not from 0 to 1")
        if not 0.0 <= fault.size <= 1e4:
            raise wrong([*at, "size"], f"{fault.size:g} is not from 0 to 10000")
        ends = []
        for key in ("of", "to"):
            try:
                ends.append(found.named(getattr(fault, key)))
            except KeyError as who:
                raise wrong(
                    [*at, key], f"{who.args[0]!r} is no member (s0 to s{found.members - 1}) and no group"
                ) from None
        if fault.to and not kind.pairs:
            raise wrong([*at, "to"], f"{fault.kind} is about members, and not about ways to others")
        if kind.pairs and ends[0] and ends[1] and not {(i, j) for i in ends[0] for j in ends[1] if i != j}:
            raise wrong([*at, "to"], "a way from a member to itself is none")
    check_day(found.day(), text, name)


def parse(text: str, name: str) -> FleetDay:
    """BadDay for what is none."""
    found = decode(text, name, FleetDay, BadDay)
    _check(found, text, name)
    return found


def built_in() -> list[str]:
    return others(BUILT_IN)


def read(which: str) -> FleetDay:
    """A built-in day by its name (`fleet:NAME` where days of work items have the same), else a file.

    BadDay for what is no fleet's day.
    """
    which = which.removeprefix("fleet:")
    path, text = text_of(which, BUILT_IN, "fleet day")
    return parse(text, str(path))


def is_fleet(which: str) -> bool:
    """Whether a name or a file means a fleet's day rather than one of work items alone."""
    if which.startswith("fleet:"):
        return True
    if "/" not in which and (BUILT_IN / f"{which}.toml").is_file():
        return which not in others()
    try:
        return re.search(r"^members\s*=", Path(which).read_text(), re.M) is not None
    except (OSError, UnicodeDecodeError):
        return False


def fits(day: FleetDay, members: int) -> FleetDay:
    """The day with so many members, for `--members`; what is named must be among them."""
    changed = msgspec.structs.replace(day, members=members)
    _check(changed, write(changed), f"--members {members}")
    return changed
