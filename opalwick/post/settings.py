"""The settings file of a process, read at its start and on SIGHUP.

All errors are reported together, each with its line. Times in the file may be in milliseconds (`_ms`);
`Settings` has them in seconds.
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


class InvalidFile(Exception):
    """The file cannot be used. One line for each error: `FILE:LINE: KEY: what is wrong`."""


@dataclass(frozen=True, slots=True)
class Survive:
    """How many of each may be lost at the same time without breaking any guarantee."""

    boxes: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def across_zones(self) -> bool:
        """Whether replicas are placed in different zones. If none may be lost, one zone saves traffic."""
        return bool(self.zones or self.regions)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits in seconds; `ceil_excess` is a factor."""

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


# key in the file of each field; its suffix is the unit
_BOUNDS = {
    name: f"bounds.{name}{suffix}"
    for suffix, names in (
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
    ports: tuple[int, int]  # first and last, inclusive
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
    beat: float  # s between the heartbeats of a worker
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


def parse_endpoint(text: str, by_number: bool = True) -> tuple[str, int] | None:
    """Splits `IPv4:port`, or `host:port` if not `by_number`; None if `text` has another form."""
    matched = _ENDPOINT.fullmatch(text)
    if (
        matched is None
        or not 0 < (port := int(matched[2])) < 65536
        or (by_number and not _is_ipv4(matched[1]))
    ):
        return None
    return matched[1], port


class _Reader:
    """Reads values by key. An invalid value is recorded and replaced, so that all errors are found."""

    def __init__(self, text: str, name: str) -> None:
        self.name = name
        self.errors: list[tuple[int, str]] = []
        self.lines: dict[str, int] = {}
        read = Properties()
        for number, line in enumerate(re.split(r"\r\n|\r|\n", text), 1):
            if not line.strip() or line.lstrip()[0] in "#!":
                continue
            matched = _LINE.match(line)
            if matched is None or line.endswith("\\"):
                self.errors.append((number, f"{name}:{number}: not a line of the form key=value"))
                continue
            self.lines[matched[1]] = number
            try:
                # line by line, since the library does not report line numbers
                read.load(line)
            except ParseError as e:
                self.errors.append(
                    (number, f"{name}:{number}: {matched[1]}: {e.message or 'invalid escape sequence'}")
                )
        self.values: dict[str, str] = {key: value.strip() for key, value in read.properties.items()}

    def add_error(self, key: str, problem: str) -> None:
        line = self.lines.get(key)
        # missing keys have no line and are sorted last
        self.errors.append(
            (
                line or 1 << 30,
                f"{self.name}:{line}: {key}: {problem}" if line else f"{self.name}: {key}: {problem}",
            )
        )

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            self.add_error(key, "missing")
            return ""
        if not value and default is None:
            self.add_error(key, "empty")
        return value

    def comma_list(self, key: str, default: str = "") -> tuple[str, ...]:
        return tuple(part.strip() for part in self.values.get(key, default).split(",") if part.strip())

    def flag(self, key: str) -> bool:
        value = self.values.get(key, "false")
        if value not in ("true", "false"):
            self.add_error(key, f"must be true or false, not {value!r}")
        return value == "true"

    def number(self, key: str, default: float, positive: bool = False) -> float:
        value = self.values.get(key)
        if value is None:
            return default
        if _NUMBER.fullmatch(value) is None:
            self.add_error(key, f"must be a number of at least 0, not {value!r}")
            return default
        if positive and not float(value):
            self.add_error(key, "must be above 0")
        return float(value)

    def integer(self, key: str, default: int, positive: bool = False) -> int:
        value = self.number(key, default, positive)
        if not float(value).is_integer():
            self.add_error(key, f"must be a whole number, not {self.values[key]!r}")
        return int(value)

    def seconds(self, key: str, default: float, positive: bool = False) -> float:
        if not key.endswith("_ms"):
            return self.number(key, default, positive)
        return self.number(key, default * 1000.0, positive) / 1000.0

    def ip(self, key: str) -> str:
        value = self.text(key)
        if value and not _is_ipv4(value):
            self.add_error(key, f"must be an IPv4 address, not {value!r}")
        return value

    def endpoint(self, key: str, value: str) -> tuple[str, int]:
        matched = parse_endpoint(value)
        if matched is None:
            self.add_error(key, f"must be IPv4:PORT, not {value!r}")
            return "", 0
        return matched

    def ports(self, key: str) -> tuple[int, int]:
        value = self.text(key)
        matched = re.fullmatch(r"([0-9]{1,5})\s*,\s*([0-9]{1,5})", value)
        first, last = (int(matched[1]), int(matched[2])) if matched else (0, 0)
        if value and not 0 < first <= last < 65536:
            self.add_error(key, f"must be FIRST,LAST, two ports, not {value!r}")
        return first, last


def parse(text: str, name: str) -> Settings:
    """Parses the settings; raises `InvalidFile` with every error, and `name` as the file."""
    r = _Reader(text, name)
    serves, zone = r.comma_list("serves"), r.text("az")
    zones = {key[6:]: value for key, value in r.values.items() if key.startswith("zones.")}
    region = r.text("region", zones.get(zone, ""))
    binds = {key[6:]: r.endpoint(key, value) for key, value in r.values.items() if key.startswith("binds.")}
    for service in serves:
        for bind in _BINDS.get(service, ()):
            if bind not in binds:
                r.add_error(f"binds.{bind}", "missing")
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
        seeds=tuple(r.endpoint("seeds", seed) for seed in r.comma_list("seeds")),
        bootstrap=r.flag("bootstrap"),
        counted=r.flag("counted"),
        cpu=r.number("caps.cpu", 0.5, positive=True),
        ncpu=r.integer("caps.ncpu", 1, positive=True),
        mem_mb=r.number("caps.mem_mb", 256.0, positive=True),
        nofile=r.integer("caps.nofile", 1024, positive=True),
        net_mbps=r.number("caps.net_mbps", 100.0, positive=True),
        disk_mb=r.number("caps.disk_mb", 0.0),
        datadir=r.text("datadir", None if "disk" in serves else ""),
        beat=r.seconds("beat_ms", 1.2, positive=True),
        policy=r.comma_list("policy", "base,drain,config,cost,ingest,recover"),
        survive=Survive(
            *(
                r.integer(f"survive.{unit}", getattr(Survive(), unit))
                for unit in ("boxes", "zones", "regions")
            )
        ),
        bounds=Bounds(
            **{
                field: r.seconds(key, getattr(default, field), field in ("ceil_win", "ceil_excess"))
                for field, key in _BOUNDS.items()
            }
        ),
        config_mode=r.text("config_mode", "highest"),
    )
    if r.errors:
        raise InvalidFile("\n".join(error for _, error in sorted(r.errors, key=lambda error: error[0])))
    return settings


def read(path: str) -> Settings:
    """Reads and parses a file; raises `InvalidFile` also if it cannot be opened or is not UTF-8."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as e:
        raise InvalidFile(f"{path}: {e.strerror or e}") from None
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as e:
        line = len(re.findall(rb"\r\n|\r|\n", data[: e.start])) + 1
        raise InvalidFile(f"{path}:{line}: not valid UTF-8") from None
    return parse(text, path)
