"""Checks a deploy file, and whether its roles on the machines of a site withstand the losses of `survive`.

A site is read from a site file of the bench, whose terms are mapped to ours here, or from a settings file.
That has neither the number of machines nor their zones, so one of each class in each zone is assumed.
"""

from __future__ import annotations

import math
import re
import tomllib
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from opalwick.post.controller.views import MAX_VOTERS
from opalwick.post.operators import MetricsEndpoint
from opalwick.post.settings import InvalidFile, Settings, Survive

CLASSES = ("edge", "disk", "core")
SERVES = ("edge", "disk", "ctl")
WRAPPERS = ("env", "npx", "sh", "bash", "dash", "exec", "nohup", "nice", "sudo")
# of each program: the class of machines it needs, and what it must serve
PROGRAMS = {
    "carrier counter": ("edge", "edge"),
    "carrier depot": ("disk", "disk"),
    "postmaster": ("core", "ctl"),
}
_BENCH = {"front": "edge", "store": "disk", "core": "core"}


@dataclass(frozen=True, slots=True)
class Role:
    name: str
    run: str
    on: str
    serves: tuple[str, ...]
    share: float = 0.0
    count: int = 0
    apart: bool = False

    @property
    def program(self) -> str:
        """The program of `PROGRAMS` that it runs, without options; empty: none of them."""
        words = self.run.partition(" --")[0]
        return next((name for name in PROGRAMS if words.endswith(name)), "")

    def machines(self, available: int) -> int:
        """How many of a zone's machines it runs on."""
        return min(available, self.count) if self.count else math.ceil(self.share * available - 1e-9)


@dataclass(slots=True)
class Site:
    zones: dict[str, str]  # each zone's region
    survive: Survive
    machines: dict[str, dict[str, int]] = field(default_factory=dict)  # count by class and zone
    assumed: bool = False


class Requirement(NamedTuple):
    """A requirement of the plan: how many there are, and how many are needed."""

    what: str
    has: int
    needs: int
    why: str

    @property
    def met(self) -> bool:
        return self.has >= self.needs


# ---- the deploy file


class _Deploy:
    """Reads a deploy file and collects its errors, each with its line."""

    def __init__(self, text: str, name: str) -> None:
        self.lines, self.name = text.split("\n"), name
        self.errors: list[tuple[int, str]] = []
        try:
            self.given: dict[str, Any] = tomllib.loads(text)
        except tomllib.TOMLDecodeError as problem:
            found = re.search(r"line (\d+)", str(problem))
            raise InvalidFile(f"{name}:{found[1] if found else len(self.lines)}: {problem}") from None

    def line(self, role: str, key: str) -> int:
        """The line of that key, else of its table, else 0."""
        at, inside = 0, not role
        for number, line in enumerate(self.lines, 1):
            if line.lstrip().startswith("["):
                inside = re.sub(r"[\s\"']", "", line.partition("#")[0]) == f"[roles.{role}]"
                at = number if inside else at
            elif inside and re.match(rf"\s*[\"']?{re.escape(key)}[\"']?\s*=", line):
                return number
        return at

    def add_error(self, role: str, key: str, problem: str) -> None:
        line = self.line(role, key)
        where = f"roles.{role}.{key}" if role and key else f"roles.{role}" if role else key
        self.errors.append(
            (
                line or 1 << 30,
                f"{self.name}:{line}: {where}: {problem}" if line else f"{self.name}: {where}: {problem}",
            )
        )

    def role(self, name: str, given: Any) -> Role | None:
        if not isinstance(given, dict):
            self.add_error("", "roles", f"{name!r} must be a table")
            return None
        for key in given:
            if key not in ("run", "on", "share", "count", "apart", "serves", "metrics"):
                self.add_error(name, key, "unknown field")
        run, on, serves = given.get("run"), given.get("on"), given.get("serves", [])
        if not isinstance(run, str) or not run.split():
            self.add_error(name, "run", "must be a program with its arguments")
            run = ""
        elif run.split()[0].rpartition("/")[2] in WRAPPERS or re.search(r"[|&;<>$`*]", run):
            self.add_error(name, "run", f"must not need a shell or a wrapper program, as {run!r} does")
        if on not in CLASSES:
            self.add_error(name, "on", f"must be one of {', '.join(CLASSES)}, not {on!r}")
        if not isinstance(serves, list) or any(one not in SERVES for one in serves):
            self.add_error(name, "serves", f"must be a list of any of {', '.join(SERVES)}, not {serves!r}")
            serves = [one for one in serves if one in SERVES] if isinstance(serves, list) else []
        share, count, apart = given.get("share"), given.get("count"), given.get("apart", False)
        if (share is None) == (count is None):
            self.add_error(name, "" if share is None else "count", "must have either share or count")
        if share is not None and (type(share) not in (int, float) or not 0 < share <= 1):
            self.add_error(name, "share", f"must be above 0 and at most 1, not {share!r}")
            share = 1.0
        if count is not None and (type(count) is not int or count < 1):
            self.add_error(name, "count", f"must be a whole number of at least 1, not {count!r}")
            count = 1
        if (metrics := given.get("metrics")) is not None:
            try:
                MetricsEndpoint.parse(str(metrics))
            except ValueError as problem:
                self.add_error(name, "metrics", str(problem))
        if type(apart) is not bool:
            self.add_error(name, "apart", "must be true or false")
        if on != "disk" and "disk" in serves:
            self.add_error(name, "serves", f"disk can only be served on disk machines, not on {on!r}")
        role = Role(name, run, str(on), tuple(serves), float(share or 0.0), int(count or 0), bool(apart))
        if run and not role.program:
            programs = ", ".join(map(repr, PROGRAMS))
            self.add_error(
                name, "run", f"unknown program: must end in one of {programs}, followed by options"
            )
        elif run:
            needed, service = PROGRAMS[role.program]
            if on in CLASSES and on != needed:
                self.add_error(name, "on", f"{role.program!r} needs {needed} machines, not {on}")
            if service not in serves:
                self.add_error(name, "serves", f"{role.program!r} serves {service!r}, which is missing")
            if service == "edge" and share != 1:
                self.add_error(
                    name,
                    "share" if share is not None else "count",
                    "must be share = 1.0: the gateway runs on all machines of its class",
                )
        return role

    def read(self) -> list[Role]:
        for key in self.given:
            if key not in ("build", "packages", "roles"):
                self.add_error("", key, "unknown field")
        if not isinstance(self.given.get("build"), str) or not self.given["build"].strip():
            self.add_error("", "build", "must be a command")
        packages = self.given.get("packages", [])
        if not isinstance(packages, list) or not all(isinstance(p, str) and p.strip() for p in packages):
            self.add_error("", "packages", "must be a list of names of system packages")
        given = self.given.get("roles")
        if not isinstance(given, dict) or not given:
            self.add_error("", "roles", "must have at least one role")
            given = {}
        roles = [role for name, fields in given.items() if (role := self.role(name, fields)) is not None]
        for kind in CLASSES:
            of_class = [role for role in roles if role.on == kind]
            if len(of_class) > 2 and sum(role.share == 1 for role in of_class) > 2:
                self.add_error(of_class[2].name, "on", f"more than two roles run on each {kind} machine")
            for i, role in enumerate(of_class):
                for other in of_class[:i]:
                    for service in set(role.serves) & set(other.serves):
                        self.add_error(
                            role.name, "serves", f"{service} is served on {kind} by {other.name!r} too"
                        )
        for program in PROGRAMS if roles else ():
            if not any(role.program == program for role in roles):
                self.add_error("", "roles", f"no role runs {program!r}")
        if self.errors:
            raise InvalidFile("\n".join(error for _, error in sorted(self.errors)))
        return roles


def parse_deploy(text: str, name: str) -> list[Role]:
    """Parses a deploy file; raises `InvalidFile` with every error, and its line where there is one."""
    return _Deploy(text, name).read()


# ---- the site


def parse_site(text: str, name: str) -> Site:
    """Parses a site file of the bench."""
    try:
        given = tomllib.loads(text)
        zones = {zone["name"]: zone["region"] for zone in given["zones"]}
        losses = given.get("tolerate", {})
        parsed = Site(
            zones, Survive(*(int(losses.get(unit, 0)) for unit in ("machines", "zones", "regions")))
        )
        for group in given["machines"]:
            counts = parsed.machines.setdefault(_BENCH[group["class"]], {})
            counts[group["zone"]] = counts.get(group["zone"], 0) + int(group["count"])
    except tomllib.TOMLDecodeError as problem:
        line = re.search(r"line (\d+)", str(problem))
        raise InvalidFile(f"{name}:{line[1] if line else 1}: {problem}") from None
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise InvalidFile(f"{name}: not a site file: {type(problem).__name__} {problem}") from None
    return parsed


def site_of_settings(settings: Settings) -> Site:
    """Of a settings file: one machine of each class in each zone is assumed."""
    return Site(
        dict(settings.zones),
        settings.survive,
        {kind: dict.fromkeys(settings.zones, 1) for kind in CLASSES},
        True,
    )


# ---- requirements


def worst_loss(counts: dict[str, int], groups: dict[str, str], lost: int) -> int:
    """The most that the loss of `lost` groups of zones takes away; `counts` is by zone."""
    sums: dict[str, int] = {}
    for zone, count in counts.items():
        sums[groups[zone]] = sums.get(groups[zone], 0) + count
    return sum(sorted(sums.values(), reverse=True)[:lost])


def processes_by_zone(roles: list[Role], program: str, site: Site) -> dict[str, int]:
    """How many processes of that program run in each zone."""
    counts: dict[str, int] = {}
    for role in roles:
        if role.program == program:
            for zone, count in site.machines.get(role.on, {}).items():
                counts[zone] = counts.get(zone, 0) + role.machines(count)
    return {zone: count for zone, count in counts.items() if count}


def requirements(roles: list[Role], site: Site) -> list[Requirement]:
    """The requirements of every loss that `survive` allows, at its worst place."""
    s, replicas = site.survive, site.survive.boxes + 1
    stores, controllers, gateways = (
        processes_by_zone(roles, program, site)
        for program in ("carrier depot", "postmaster", "carrier counter")
    )
    voters = min(MAX_VOTERS, sum(controllers.values()))
    single = {zone: zone for zone in site.zones}
    spread = min(replicas, len(stores))  # the least number of zones that the replicas of a message are in
    lines = [
        Requirement("gateways", sum(gateways.values()), 1, "clients connect to gateways only"),
        Requirement(
            "stores", sum(stores.values()), replicas, f"replicas of a message: survive.boxes + 1 = {replicas}"
        ),
        Requirement(
            "zones with stores",
            len(stores),
            min(replicas, len(site.zones)) if s.across_zones else 1,
            "the replicas of a message are in different zones if zones may be lost",
        ),
        Requirement(
            "controllers that store the configuration",
            voters,
            replicas,
            f"it is on survive.boxes + 1 = {replicas} disks before it is acknowledged",
        ),
    ]
    for unit, lost, groups in (
        ("boxes", s.boxes, None),
        ("zones", s.zones, single),
        ("regions", s.regions, site.zones),
    ):
        if not lost:
            continue
        cause = f"survive.{unit} = {lost}"
        if groups is None:
            lost_stores, lost_voters, lost_zones = lost, lost, 0
        else:
            lost_stores = worst_loss(stores, groups, lost)
            lost_voters = min(voters, worst_loss(controllers, groups, lost))
            # a zone has at most one replica if there are enough zones
            lost_zones = worst_loss(dict.fromkeys(stores, 1), groups, lost)
            lines.append(
                Requirement(
                    "zones that have a replica of a message",
                    spread,
                    lost_zones + 1,
                    f"{cause}: {lost_zones} of them may be lost",
                )
            )
            lines.append(
                Requirement(
                    "disks that have the configuration",
                    min(replicas, voters),
                    lost_voters + 1,
                    f"{cause}: {lost_voters} voters may be lost",
                )
            )
        lines += [
            Requirement(
                "stores left",
                max(0, sum(stores.values()) - lost_stores),
                replicas,
                f"{cause}: messages are still accepted, on {replicas} disks",
            ),
            Requirement(
                "voters left",
                max(0, voters - lost_voters),
                voters // 2 + 1,
                f"{cause}: a majority of the {voters} voters must remain"
                + (f"; at most {MAX_VOTERS} vote" if sum(controllers.values()) > MAX_VOTERS else ""),
            ),
        ]
    return lines
