"""A day: what the fleet is, what it is asked, what goes wrong. Read from TOML, checked whole before use."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

from opalwick.settings_file import (
    InvalidFile,
    Seconds,
    decode,
    decode_hook,
    fault_at,
    format_seconds,
    line_of,
)
from opalwick.lab.kinds import KINDS

BUILT_IN = Path(__file__).parent / "days"


class BadDay(InvalidFile):
    """Names the file, the line and the key."""


class Model(Struct, forbid_unknown_fields=True):
    """Workers of one kind."""

    name: str
    count: int
    slots: int = 4
    speed: float = 1.0  # seconds of work done in a second by a slot
    speed_spread: float = 0.1  # coefficient of variation among them
    queue: int = 24  # that may wait; past it a worker turns away
    cold_share: float = 0.25  # of its speed, when it has just started
    ramp: Seconds = Seconds(10)  # until it has all of it
    errors: float = 0.0  # share of the items that fail as they run
    cancel: str = "waiting"  # what a cancel drops: "waiting", "all" or "nothing"
    memory: float = 0.0  # units; 0: not counted
    cell_size: int = 4


class Kind(Struct, forbid_unknown_fields=True):
    """A category of work items."""

    name: str
    share: float = 1.0  # of the arrivals, against the others' shares
    work: Seconds = Seconds(0.1)  # mean, on a slot of speed 1
    spread: float = 1.5  # coefficient of variation
    slots: float = 1.0
    memory: float = 0.0
    due: Seconds = Seconds(0.1)
    stretch: float = 2.0  # the due time grows by this multiple of the work
    expiry: Seconds = Seconds(5)
    credit: float = 1.0
    tardy_credit: float = 0.0
    effect: str = "rerunnable"  # or "ticketed", "exclusive"
    group: str = "all"  # that discards repeats: "all", "zone", "cell"
    window: Seconds = Seconds(10)


class Customer(Struct, forbid_unknown_fields=True):
    name: str
    share: float = 1.0
    quota: float = 0.0  # work items a second


class Load(Struct, forbid_unknown_fields=True):
    rate: float = 0.0  # work items a second over all; 0: by `fill`
    fill: float = 0.6  # of what the fleet can do when all is well
    shape: str = "steady"  # or "wave", "bursts", "onoff"
    swing: float = 0.3  # how far the shape goes from the mean
    period: Seconds = Seconds(10)  # of the wave, between bursts, of on and off together
    skew: float = 0.5  # the first zone's share of the arrivals over an equal one, less 1
    hints: str = "rough"  # or "exact", "none"
    subjects: int = 0  # how many there are; 0: work items have none
    popularity: float = 1.0  # exponent by which a few subjects have most
    most: int = 0  # work items that clients want, all day; 0: any number


class Clients(Struct, forbid_unknown_fields=True):
    retries: int = 1  # of one that was deferred or failed harmlessly
    backoff: Seconds = Seconds(0.02)
    honour: float = 0.9  # share of the advice to come back that is followed
    leave: float = 0.0  # share that go away before their answer
    patience: Seconds = Seconds(0.3)  # after which those go, in the mean


class Network(Struct, forbid_unknown_fields=True):
    same: Seconds = Seconds(0.0002)  # one way, within a zone
    cross: Seconds = Seconds(0.004)
    client: Seconds = Seconds(0.0001)
    jitter: float = 0.3
    loss: float = 0.0  # of datagrams
    idle: Seconds = Seconds(10)  # a worker closes a connection then
    connect: Seconds = Seconds(0.25)  # a connection that does not come up is given up

    def slowest(self) -> float:
        """The longest way between two parties without a fault, seconds."""
        return max(self.same, self.cross) * (1.0 + self.jitter)


class Listing(Struct, forbid_unknown_fields=True):
    lag: Seconds = Seconds(0.2)  # until a change is in the list
    notice: Seconds = Seconds(3)  # until a dead worker is found out
    calls: float = 200.0  # a second, one after the other
    ask_every: Seconds = Seconds(10)  # a scheduler that has not asked for so long is deemed to know


class Reports(Struct, forbid_unknown_fields=True):
    period: Seconds = Seconds(0.5)
    delay: Seconds = Seconds(0.15)
    noise: float = 0.05


class Rules(Struct, forbid_unknown_fields=True):
    grace: Seconds = Seconds(0.25)
    fall_multiple: float = 2.5
    fall_span: Seconds = Seconds(2)


class Allow(Struct, forbid_unknown_fields=True):
    hand_offs: int = 5
    copies: bool = True
    cancel: bool = True
    words: bool = True
    retry_after: Seconds = Seconds(2)  # the longest advice that clients honour; 0: none
    starts: bool = True  # workers tell of starts and progress
    progress: Seconds = Seconds(1)


class Fault(Struct, forbid_unknown_fields=True):
    kind: str
    at: Seconds
    lasts: Seconds = Seconds(5)
    part: float = 0.25  # of the workers, schedulers or links that it may meet
    size: float = 0.0  # what it means the catalogue tells; 0: its usual size


class Day(Struct, forbid_unknown_fields=True):
    title: str
    length: Seconds
    models: list[Model]
    categories: list[Kind]
    schedulers: int = 3
    zones: list[str] = field(default_factory=lambda: ["east", "west"])
    customers: list[Customer] = []
    load: Load = field(default_factory=Load)
    clients: Clients = field(default_factory=Clients)
    network: Network = field(default_factory=Network)
    listing: Listing = field(default_factory=Listing)
    reports: Reports = field(default_factory=Reports)
    rules: Rules = field(default_factory=Rules)
    allow: Allow = field(default_factory=Allow)
    faults: list[Fault] = []

    def capacity(self) -> float:
        """Seconds of work a second, by all workers when all is well."""
        return sum(m.count * m.slots * m.speed for m in self.models)

    def rate(self) -> float:
        """Work items a second, in the mean."""
        if self.load.rate:
            return self.load.rate
        shares = sum(k.share for k in self.categories)
        work = sum(k.share / shares * k.work * max(k.slots, 0.01) for k in self.categories)
        return self.load.fill * self.capacity() / work


_CHOICES = {
    "cancel": ("waiting", "all", "nothing"),
    "effect": ("rerunnable", "ticketed", "exclusive"),
    "group": ("all", "zone", "cell"),
    "shape": ("steady", "wave", "bursts", "onoff"),
    "hints": ("rough", "exact", "none"),
}
# the least and most that make sense; a size past these is a slip, and a run would never end
_SPANS: dict[str, tuple[float, float]] = {
    "schedulers": (1, 1000),
    "count": (0, 5000),
    "slots": (0.01, 1000),
    "speed": (0.01, 100),
    "share": (0, 1e6),
    "rate": (0, 1e5),
    "fill": (0.001, 20),
    "part": (0, 1),
    "errors": (0, 1),
    "cold_share": (0.01, 1),
    "honour": (0, 1),
    "leave": (0, 1),
    "loss": (0, 1),
    "hand_offs": (1, 20),
    "retries": (0, 20),
    "calls": (0.1, 1e6),
    "cell_size": (1, 1000),
    "queue": (0, 1e5),
    "length": (0.5, 86400),
    "period": (0.001, 86400),
}


def check(found: Day, text: str, name: str) -> None:
    def wrong(path: list[str | int], why: str) -> InvalidFile:
        return fault_at(text, name, path, why, BadDay)

    def walk(value: Any, path: list[str | int]) -> None:
        key = path[-1] if path else ""
        if isinstance(value, Struct):
            for each in value.__struct_fields__:
                walk(getattr(value, each), [*path, each])
        elif isinstance(value, list):
            for i, one in enumerate(value):
                walk(one, [*path, i])
        elif key in _CHOICES and isinstance(value, str) and value not in _CHOICES[key]:
            raise wrong(path, f"{value!r} is none of {', '.join(_CHOICES[key])}")
        elif isinstance(value, (int, float)) and not isinstance(value, bool):
            least, most = _SPANS.get(str(key), (0, 1e9))
            if not least <= value <= most:
                raise wrong(path, f"{value:g} is not from {least:g} to {most:g}")

    walk(found, [])
    for needed in ("zones", "categories", "models"):
        if not getattr(found, needed):
            raise wrong([needed], "none is given")
    for many in ("categories", "models", "customers"):
        names = [one.name for one in getattr(found, many)]
        for i, each in enumerate(names):
            if each in names[:i]:
                raise wrong([many, i, "name"], f"{each!r} stands twice")
            if not re.fullmatch(r"[A-Za-z][\w-]*", each):
                raise wrong([many, i, "name"], f"{each!r} is no name (letters, digits, _ and -)")
    if len(found.zones) > found.schedulers:
        raise wrong(["zones"], "more zones than schedulers: each needs one")
    if not sum(k.share for k in found.categories):
        raise wrong(["categories", 0, "share"], "all shares are nought")
    for i, fault in enumerate(found.faults):
        if fault.kind not in KINDS:
            raise wrong(["faults", i, "kind"], f"{fault.kind!r} is none of {', '.join(sorted(KINDS))}")
        if fault.at >= found.length:
            raise wrong(["faults", i, "at"], "it begins after the day's end")


def parse(text: str, name: str) -> Day:
    """BadDay for what is no day."""
    found = decode(text, name, Day, BadDay)
    check(found, text, name)
    return found


def text_of(which: str, folder: Path, what: str) -> tuple[Path, str]:
    """The file that a name means, built in or of its own, and what it says. BadDay for what is none."""
    path = folder / f"{which}.toml"
    if not path.is_file() or "/" in which:
        path = Path(which)
    try:
        return path, path.read_text()
    except OSError as problem:
        raise BadDay(
            f"{which}: neither a built-in {what} ({', '.join(built_in(folder))}) "
            f"nor a file that can be read: {problem.strerror}"
        ) from None
    except UnicodeDecodeError as problem:
        raise BadDay(f"{which}: not text at byte {problem.start}") from None


def read(which: str) -> Day:
    """A built-in day by its name, else a file. BadDay for what is no day."""
    path, text = text_of(which, BUILT_IN, "day")
    return parse(text, str(path) if "/" in which or path.parent != BUILT_IN else f"{which}.toml")


def built_in(folder: Path = BUILT_IN) -> list[str]:
    return sorted(path.stem for path in folder.glob("*.toml"))


def changed(day: Day, settings: dict[str, Any], text: str, name: str) -> Day:
    """The day with other settings, by path such as "load.fill"; `text`, `name`: the file that asks."""
    nested = plain(day)
    for path, value in settings.items():
        *tables, key = path.split(".")
        table: Any = nested
        for each in tables:
            if isinstance(table, list) and each.isdigit() and int(each) < len(table):
                table = table[int(each)]
            elif isinstance(table, dict) and isinstance(table.get(each), (dict, list)):
                table = table[each]
            else:
                raise BadDay(
                    f"{name}:{line_of(text, ['vary', path])}: vary.{path}: a day has no {each!r} there"
                )
        if not isinstance(table, dict) or key not in table:
            raise BadDay(f"{name}:{line_of(text, ['vary', path])}: vary.{path}: a day has no {key!r} there")
        table[key] = value
    try:
        found = msgspec.convert(nested, type=Day, dec_hook=decode_hook, strict=True)
        check(found, "", name)
    except (msgspec.ValidationError, BadDay) as problem:
        paths = ", ".join(settings)
        raise BadDay(
            f"{name}:{line_of(text, ['vary', next(iter(settings), '')])}: vary ({paths}): {problem}"
        ) from None
    return found


def plain(value: Any) -> Any:
    """As TOML or MessagePack has it; times with their unit."""
    if isinstance(value, Seconds):
        return format_seconds(value)
    if isinstance(value, Struct):
        return {key: plain(getattr(value, key)) for key in value.__struct_fields__}
    if isinstance(value, list):
        return [plain(one) for one in value]
    return value


def write(day: Struct) -> str:
    """The day as a file that `parse` takes."""

    def one(value: Any) -> str:
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, str):
            return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
        if isinstance(value, dict):
            return "{" + ", ".join(f"{one(k)} = {one(v)}" for k, v in value.items()) + "}"
        return "[" + ", ".join(map(one, value)) + "]" if isinstance(value, list) else repr(value)

    simple, tables = [], []
    for key, value in plain(day).items():
        if value is None:  # a part that the day does not have
            continue
        if isinstance(value, dict):
            tables.append("\n".join([f"\n[{key}]", *(f"{k} = {one(v)}" for k, v in value.items())]))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [
                "\n".join([f"\n[[{key}]]", *(f"{k} = {one(v)}" for k, v in entry.items())]) for entry in value
            ]
        else:
            simple.append(f"{key} = {one(value)}")
    return "\n".join([*simple, *tables]) + "\n"
