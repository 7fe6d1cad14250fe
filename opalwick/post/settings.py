"""What a process is told at its start and on SIGHUP. All faults are told at once, each with its line.

The words of the file end here: times are seconds from here on.
"""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass
from typing import Any

from jproperties import ParseError, Properties

_LINE = re.compile(r"[ \t\f]*([^\s=:#!\\]+)[ \t\f]*[=:]")
_NUMBER = re.compile(r"[0-9]{1,15}(?:[.][0-9]+)?(?:[eE][+-]?[0-9])?")
_ENDPOINT = re.compile(r"([A-Za-z0-9_-]+(?:[.][A-Za-z0-9_-]+)*):([0-9]{1,5})")


class Faulty(Exception):
    """The file cannot be used: a line to each fault, `FILE:LINE: KEY: what is wrong`."""


@dataclass(frozen=True, slots=True)
class Survive:
    """How many of each may be lost at one time with every rule still kept."""

    boxes: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def spread(self) -> bool:
        """Whether copies stand in different zones: where none may be lost, octets between them are spared."""
        return bool(self.zones or self.regions)


@dataclass(frozen=True, slots=True)
class Bounds:
    """In seconds, but for `ceil_excess`, which is a factor."""

    seed_lag: float = 3.0
    reuse: float = 2.0
    contact: float = 4.0
    ack: float = 5.0
    sync: float = 4.5
    drain: float = 3.0
    grace: float = 6.0
    loss: float = 0.2
    apply: float = 3.0
    revert: float = 0.25
    stretch: float = 12.0
    recover: float = 12.0
    done: float = 10.0
    state: float = 120.0
    notify: float = 5.0
    visible: float = 3.0
    skew: float = 0.1
    ceil_win: float = 5.0
    ceil_excess: float = 1.1


# as the file has them; the unit is the name's ending
_BOUNDS = {
    name: f"bounds.{name}{unit}"
    for unit, names in (
        ("_s", "seed_lag reuse sync grace recover done state notify ceil_win"),
        ("_ms", "contact ack drain loss apply revert stretch visible skew"),
        ("", "ceil_excess"),
    )
    for name in names.split()
}
_BINDS = {"edge": ("front", "ready"), "ctl": ("ctl",)}


@dataclass(frozen=True, slots=True)
class Settings:
    node: str
    role: str
    size: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]  # each zone's region
    binds: dict[str, tuple[str, int]]
    ports: tuple[int, int]  # both ends are ours
    seeds: tuple[tuple[str, int], ...]
    bootstrap: bool
    counted: bool
    cpu: float
    ncpu: int
    mem_mb: float
    nofile: int
    net_mbps: float
    disk_mb: float
    datadir: str  # empty: no disk
    beat: float  # seconds
    policy: tuple[str, ...]
    survive: Survive
    bounds: Bounds
    config_mode: str


def _is_ipv4(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


def endpoint(text: str, by_number: bool = True) -> tuple[str, int] | None:
    """`IPv4:port` in two, or `host:port` if not `by_number`; none where it is no such thing."""
    found = _ENDPOINT.fullmatch(text)
    if found is None or not 0 < (port := int(found[2])) < 65536 or (by_number and not _is_ipv4(found[1])):
        return None
    return found[1], port


class _Reader:
    """Each value by its key. What is wrong is noted and a stand-in returned, so that all faults are found."""

    def __init__(self, text: str, name: str) -> None:
        self.name = name
        self.faults: list[tuple[int, str]] = []
        self.lines: dict[str, int] = {}
        read = Properties()
        for number, line in enumerate(re.split(r"\r\n|\r|\n", text), 1):
            if not line.strip() or line.lstrip()[0] in "#!":
                continue
            found = _LINE.match(line)
            if found is None or line.endswith("\\"):
                self.faults.append((number, f"{name}:{number}: this is no line of the form a.b=value"))
                continue
            self.lines[found[1]] = number
            try:
                # one by one: the library counts lines, but keeps none
                read.load(line)
            except ParseError as e:
                self.faults.append((number, f"{name}:{number}: {found[1]}: {e.message or 'a broken escape'}"))
        self.values: dict[str, str] = {key: value.strip() for key, value in read.properties.items()}

    def wrong(self, key: str, what: str) -> None:
        line = self.lines.get(key)
        # the missing ones come last
        self.faults.append(
            (line or 1 << 30, f"{self.name}:{line}: {key}: {what}" if line else f"{self.name}: {key}: {what}")
        )

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            self.wrong(key, "missing")
            return ""
        if not value and default is None:
            self.wrong(key, "empty")
        return value

    def row(self, key: str, default: str = "") -> tuple[str, ...]:
        return tuple(part.strip() for part in self.values.get(key, default).split(",") if part.strip())

    def flag(self, key: str) -> bool:
        value = self.values.get(key, "false")
        if value not in ("true", "false"):
            self.wrong(key, f"must be true or false, not {value!r}")
        return value == "true"

    def number(self, key: str, default: float, above: bool = False) -> float:
        value = self.values.get(key)
        if value is None:
            return default
        if _NUMBER.fullmatch(value) is None:
            self.wrong(key, f"must be a number of at least 0, not {value!r}")
            return default
        if above and not float(value):
            self.wrong(key, "must be above 0")
        return float(value)

    def whole(self, key: str, default: int, above: bool = False) -> int:
        value = self.number(key, default, above)
        if not float(value).is_integer():
            self.wrong(key, f"must be a whole number, not {self.values[key]!r}")
        return int(value)

    def seconds(self, key: str, default: float, above: bool = False) -> float:
        if not key.endswith("_ms"):
            return self.number(key, default, above)
        return self.number(key, default * 1000.0, above) / 1000.0

    def ip(self, key: str) -> str:
        value = self.text(key)
        if value and not _is_ipv4(value):
            self.wrong(key, f"must be an IPv4 address, not {value!r}")
        return value

    def endpoint(self, key: str, value: str) -> tuple[str, int]:
        found = endpoint(value)
        if found is None:
            self.wrong(key, f"must be IPv4:PORT, not {value!r}")
            return "", 0
        return found

    def ports(self, key: str) -> tuple[int, int]:
        value = self.text(key)
        found = re.fullmatch(r"([0-9]{1,5})\s*,\s*([0-9]{1,5})", value)
        first, last = (int(found[1]), int(found[2])) if found else (0, 0)
        if value and not 0 < first <= last < 65536:
            self.wrong(key, f"must be FIRST,LAST, two ports, not {value!r}")
        return first, last


def parse(text: str, name: str) -> Settings:
    """`Faulty` names `name` as the file."""
    r = _Reader(text, name)
    serves, zone = r.row("serves"), r.text("az")
    zones = {key[6:]: value for key, value in r.values.items() if key.startswith("zones.")}
    region = r.text("region", zones.get(zone, ""))
    binds = {key[6:]: r.endpoint(key, value) for key, value in r.values.items() if key.startswith("binds.")}
    for who in serves:
        for bind in _BINDS.get(who, ()):
            if bind not in binds:
                r.wrong(f"binds.{bind}", "missing")
    default: Any = Bounds()
    settings = Settings(
        node=r.text("node"),
        role=r.text("role"),
        size=r.text("size", ""),
        serves=serves,
        ip=r.ip("ip"),
        zone=zone,
        region=region,
        zones={zone: region} | zones,
        binds=binds,
        ports=r.ports("port_range"),
        seeds=tuple(r.endpoint("seeds", seed) for seed in r.row("seeds")),
        bootstrap=r.flag("bootstrap"),
        counted=r.flag("counted"),
        cpu=r.number("caps.cpu", 0.5, above=True),
        ncpu=r.whole("caps.ncpu", 1, above=True),
        mem_mb=r.number("caps.mem_mb", 256.0, above=True),
        nofile=r.whole("caps.nofile", 1024, above=True),
        net_mbps=r.number("caps.net_mbps", 100.0, above=True),
        disk_mb=r.number("caps.disk_mb", 0.0),
        datadir=r.text("datadir", None if "disk" in serves else ""),
        beat=r.seconds("beat_ms", 1.2, above=True),
        policy=r.row("policy", "base,drain,config,cost,ingest,recover"),
        survive=Survive(
            *(r.whole(f"survive.{what}", getattr(Survive(), what)) for what in ("boxes", "zones", "regions"))
        ),
        bounds=Bounds(
            **{
                field: r.seconds(key, getattr(default, field), field in ("ceil_win", "ceil_excess"))
                for field, key in _BOUNDS.items()
            }
        ),
        config_mode=r.text("config_mode", "highest"),
    )
    if r.faults:
        raise Faulty("\n".join(what for _, what in sorted(r.faults, key=lambda fault: fault[0])))
    return settings


def read(path: str) -> Settings:
    """`Faulty` too where the file cannot be opened or is no UTF-8."""
    try:
        with open(path, "rb") as file:
            held = file.read()
    except OSError as e:
        raise Faulty(f"{path}: {e.strerror or e}") from None
    try:
        text = held.decode("utf-8")
    except UnicodeDecodeError as e:
        line = len(re.findall(rb"\r\n|\r|\n", held[: e.start])) + 1
        raise Faulty(f"{path}:{line}: this line is no UTF-8") from None
    return parse(text, path)
