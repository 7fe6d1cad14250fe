"""A fleet's scenario: members, faults and bounds. It is validated as a whole before use."""

from __future__ import annotations

import re
import resource
from pathlib import Path

import msgspec
from msgspec import Struct, field

from opalwick.settings_file import InvalidFile, Seconds, decode, fault_at
from opalwick.lab.day import Allow, BadDay, Clients, Day, Kind, Listing, Load, Model, Network, text_of, write
from opalwick.lab.day import built_in as others
from opalwick.lab.day import check as check_day
from opalwick.lab.fleet.kinds import KINDS, PARTS

BUILT_IN = Path(__file__).parent / "days"
# file descriptors of the lab's process per member: relay, list service, clients' and idle connections
DESCRIPTORS = 12


class Fault(Struct, forbid_unknown_fields=True):
    """One injected fault; `at` and `lasts` in seconds."""

    kind: str
    at: Seconds
    lasts: Seconds = Seconds(5)
    part: float = 0.25  # share of the members (or workers, or pairs) that it affects
    size: float = 0.0  # its meaning depends on the kind; 0: the default size
    of: list[str] = []  # affected members (s3) or groups by name, instead of a drawn share
    to: list[str] = []  # for links: their receivers; empty: all


class Bounds(Struct, forbid_unknown_fields=True):
    """Bounds that the judge checks, each for the parts that are enabled."""

    detect: Seconds = Seconds(5)  # until a crash is detected by every live, connected member
    pause: Seconds = Seconds(2)  # a shorter pause must not be held a crash
    false: Seconds = Seconds(2)  # no live member reached over at most two hops is held gone for longer
    agree: Seconds = Seconds(5)  # after a partition has healed all views agree
    vacant: Seconds = Seconds(5)  # with a majority connected a lease has an owner again
    stale: Seconds = Seconds(5)  # age of data that is acted on, while the links are up
    unused: float = 1.0  # share of a limit, while there was demand
    longest: int = 256  # bytes of a message


def _categories() -> list[Kind]:
    """One category of each effect, so that every rule can be violated."""
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
    """A scenario of a fleet, as its TOML file has it; `length` in seconds."""

    title: str
    length: Seconds
    members: int = 12
    groups: list[str] = field(default_factory=lambda: ["east", "west"])
    parts: list[str] = field(default_factory=lambda: ["sums"])
    workers: int = 18  # number of workers of four slots, where no models are given
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
        """The same as a scenario of work items, without the faults; `fleet/faults.py` injects those."""
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
        """Members by their own names or their groups'.

        Raises:
            KeyError: for a name of neither.
        """
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
    """The soft limit of open file descriptors."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def _check(found: FleetDay, text: str, name: str) -> None:
    def invalid(path: list[str | int], why: str) -> InvalidFile:
        return fault_at(text, name, path, why, BadDay)

    if not 1 <= found.members <= 1000:
        raise invalid(["members"], f"{found.members} is not from 1 to 1000")
    if len(set(found.groups)) < len(found.groups):
        raise invalid(["groups"], "a group is listed twice")
    if len(found.groups) > found.members:
        raise invalid(["groups"], "more groups than members: each needs one")
    if not found.models and not 1 <= found.workers <= 5000:
        raise invalid(["workers"], f"{found.workers} is not from 1 to 5000")
    for i, part in enumerate(found.parts):
        if part not in PARTS:
            raise invalid(["parts"], f"{part!r} is no part of the program: there is {', '.join(PARTS)}")
        if part in found.parts[:i]:
            raise invalid(["parts"], f"{part!r} is listed twice")
    for i, fault in enumerate(found.faults):
        at: list[str | int] = ["faults", i]
        if fault.kind not in KINDS:
            raise invalid([*at, "kind"], f"{fault.kind!r} is none of {', '.join(sorted(KINDS))}")
        kind = KINDS[fault.kind]
        if fault.at >= found.length:
            raise invalid([*at, "at"], "the fault begins after the end of the scenario")
        if not 0.0 <= fault.part <= 1.0:
            raise invalid([*at, "part"], f"{fault.part:g} is not from 0 to 1")
        if not 0.0 <= fault.size <= 1e4:
            raise invalid([*at, "size"], f"{fault.size:g} is not from 0 to 10000")
        ends = []
        for key in ("of", "to"):
            try:
                ends.append(found.named(getattr(fault, key)))
            except KeyError as who:
                raise invalid(
                    [*at, key], f"{who.args[0]!r} is no member (s0 to s{found.members - 1}) and no group"
                ) from None
        if fault.to and not kind.pairs:
            raise invalid([*at, "to"], f"{fault.kind} is about members, and not about ways to others")
        if kind.pairs and ends[0] and ends[1] and not {(i, j) for i in ends[0] for j in ends[1] if i != j}:
            raise invalid([*at, "to"], "a way from a member to itself is none")
    check_day(found.day(), text, name)


def parse(text: str, name: str) -> FleetDay:
    """Reads a scenario from TOML; `name` appears in error messages.

    Raises:
        BadDay: where it is invalid.
    """
    found = decode(text, name, FleetDay, BadDay)
    _check(found, text, name)
    return found


def built_in() -> list[str]:
    """Names of the built-in scenarios."""
    return others(BUILT_IN)


def read(which: str) -> FleetDay:
    """A built-in scenario by its name (`fleet:NAME` where one of work items has the same), else a file.

    Raises:
        BadDay: where it is not a valid fleet scenario.
    """
    which = which.removeprefix("fleet:")
    path, text = text_of(which, BUILT_IN, "fleet day")
    return parse(text, str(path))


def is_fleet(which: str) -> bool:
    """Whether a name or a file denotes a fleet's scenario rather than one of work items alone."""
    if which.startswith("fleet:"):
        return True
    if "/" not in which and (BUILT_IN / f"{which}.toml").is_file():
        return which not in others()
    try:
        return re.search(r"^members\s*=", Path(which).read_text(), re.M) is not None
    except (OSError, UnicodeDecodeError):
        return False


def with_members(day: FleetDay, members: int) -> FleetDay:
    """The scenario with this number of members, for `--members`.

    Raises:
        BadDay: where a fault names a member that no longer exists.
    """
    changed = msgspec.structs.replace(day, members=members)
    _check(changed, write(changed), f"--members {members}")
    return changed
