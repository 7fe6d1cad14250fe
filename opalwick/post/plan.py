"""Whether a deploy file bears what `survive` says, by the machines of a site; and what is wrong in the file.

A site is a file of the bench (its words are turned into ours here) or a settings file: that one tells neither
how many machines there are nor where, so one of each class in each zone is taken.
"""

from __future__ import annotations

import math
import re
import tomllib
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from opalwick.post.office.views import MAX_VOTERS
from opalwick.post.operators import Metrics
from opalwick.post.settings import Faulty, Settings, Survive

CLASSES = ("edge", "disk", "core")
SERVES = ("edge", "disk", "ctl")
HELPERS = ("env", "npx", "sh", "bash", "dash", "exec", "nohup", "nice", "sudo")
# what our programs need: class, what they serve
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
        """The one of ours that it runs, whatever options stand behind it; empty: none."""
        words = self.run.partition(" --")[0]
        return next((name for name in PROGRAMS if words.endswith(name)), "")

    def machines(self, there: int) -> int:
        """Of so many in a zone."""
        return min(there, self.count) if self.count else math.ceil(self.share * there - 1e-9)


@dataclass(slots=True)
class Site:
    zones: dict[str, str]  # each zone's region
    survive: Survive
    machines: dict[str, dict[str, int]] = field(default_factory=dict)  # class: zone: how many
    assumed: bool = False


class Line(NamedTuple):
    """A thing that has to hold: what there is of it, and what is needed."""

    what: str
    has: int
    needs: int
    why: str

    @property
    def ok(self) -> bool:
        return self.has >= self.needs


# ---- the deploy file


class _Deploy:
    """Reads it; every fault is noted with its line."""

    def __init__(self, text: str, name: str) -> None:
        self.lines, self.name = text.split("\n"), name
        self.faults: list[tuple[int, str]] = []
        try:
            self.given: dict[str, Any] = tomllib.loads(text)
        except tomllib.TOMLDecodeError as problem:
            found = re.search(r"line (\d+)", str(problem))
            raise Faulty(f"{name}:{found[1] if found else len(self.lines)}: {problem}") from None

    def line(self, role: str, key: str) -> int:
        """Where that key stands, or its table, or nought."""
        at, inside = 0, not role
        for number, line in enumerate(self.lines, 1):
            if line.lstrip().startswith("["):
                inside = re.sub(r"[\s\"']", "", line.partition("#")[0]) == f"[roles.{role}]"
                at = number if inside else at
            elif inside and re.match(rf"\s*[\"']?{re.escape(key)}[\"']?\s*=", line):
                return number
        return at

    def wrong(self, role: str, key: str, what: str) -> None:
        line = self.line(role, key)
        where = f"roles.{role}.{key}" if role and key else f"roles.{role}" if role else key
        self.faults.append(
            (
                line or 1 << 30,
                f"{self.name}:{line}: {where}: {what}" if line else f"{self.name}: {where}: {what}",
            )
        )

    def role(self, name: str, given: Any) -> Role | None:
        if not isinstance(given, dict):
            self.wrong("", "roles", f"{name!r} must be a table")
            return None
        for key in given:
            if key not in ("run", "on", "share", "count", "apart", "serves", "metrics"):
                self.wrong(name, key, "no such field")
        run, on, serves = given.get("run"), given.get("on"), given.get("serves", [])
        if not isinstance(run, str) or not run.split():
            self.wrong(name, "run", "a program with its arguments is due")
            run = ""
        elif run.split()[0].rpartition("/")[2] in HELPERS or re.search(r"[|&;<>$`*]", run):
            self.wrong(name, "run", f"runs without any shell or helper: {run!r} needs one")
        if on not in CLASSES:
            self.wrong(name, "on", f"must be one of {', '.join(CLASSES)}, not {on!r}")
        if not isinstance(serves, list) or any(one not in SERVES for one in serves):
            self.wrong(name, "serves", f"must be a list out of {', '.join(SERVES)}, not {serves!r}")
            serves = [one for one in serves if one in SERVES] if isinstance(serves, list) else []
        share, count, apart = given.get("share"), given.get("count"), given.get("apart", False)
        if (share is None) == (count is None):
            self.wrong(name, "" if share is None else "count", "either share or count is due")
        if share is not None and (type(share) not in (int, float) or not 0 < share <= 1):
            self.wrong(name, "share", f"must be over 0 and up to 1, not {share!r}")
            share = 1.0
        if count is not None and (type(count) is not int or count < 1):
            self.wrong(name, "count", f"must be a whole number from 1, not {count!r}")
            count = 1
        if (metrics := given.get("metrics")) is not None:
            try:
                Metrics.parse(str(metrics))
            except ValueError as problem:
                self.wrong(name, "metrics", str(problem))
        if type(apart) is not bool:
            self.wrong(name, "apart", "must be true or false")
        if on != "disk" and "disk" in serves:
            self.wrong(name, "serves", f"disk is served on disk machines alone, not on {on!r}")
        role = Role(name, run, str(on), tuple(serves), float(share or 0.0), int(count or 0), bool(apart))
        if run and not role.program:
            programs = ", ".join(map(repr, PROGRAMS))
            self.wrong(name, "run", f"none of our programs: it must end in {programs}, and options behind it")
        elif run:
            where, what = PROGRAMS[role.program]
            if on in CLASSES and on != where:
                self.wrong(name, "on", f"{role.program!r} needs {where} machines, not {on}")
            if what not in serves:
                self.wrong(name, "serves", f"{role.program!r} serves {what!r}, which is not there")
            if what == "edge" and share != 1:
                self.wrong(
                    name,
                    "share" if share is not None else "count",
                    "what carries the traffic runs on all machines of its class: share = 1.0",
                )
        return role

    def whole(self) -> list[Role]:
        for key in self.given:
            if key not in ("build", "packages", "roles"):
                self.wrong("", key, "no such field")
        if not isinstance(self.given.get("build"), str) or not self.given["build"].strip():
            self.wrong("", "build", "a command is due")
        packages = self.given.get("packages", [])
        if not isinstance(packages, list) or not all(isinstance(p, str) and p.strip() for p in packages):
            self.wrong("", "packages", "must be a list of names of system packages")
        given = self.given.get("roles")
        if not isinstance(given, dict) or not given:
            self.wrong("", "roles", "no role is there")
            given = {}
        roles = [role for name, one in given.items() if (role := self.role(name, one)) is not None]
        for kind in CLASSES:
            here = [role for role in roles if role.on == kind]
            if len(here) > 2 and sum(role.share == 1 for role in here) > 2:
                self.wrong(here[2].name, "on", f"more than two roles run on each {kind} machine")
            for i, role in enumerate(here):
                for other in here[:i]:
                    for twice in set(role.serves) & set(other.serves):
                        self.wrong(role.name, "serves", f"{twice} is served on {kind} by {other.name!r} too")
        for program in PROGRAMS if roles else ():
            if not any(role.program == program for role in roles):
                self.wrong("", "roles", f"no role runs {program!r}")
        if self.faults:
            raise Faulty("\n".join(what for _, what in sorted(self.faults)))
        return roles


def deploy(text: str, name: str) -> list[Role]:
    """`Faulty` with every fault, each with its line where it has one."""
    return _Deploy(text, name).whole()


# ---- the site


def site(text: str, name: str) -> Site:
    """Of a site file of the bench."""
    try:
        given = tomllib.loads(text)
        zones = {zone["name"]: zone["region"] for zone in given["zones"]}
        lost = given.get("tolerate", {})
        found = Site(zones, Survive(*(int(lost.get(what, 0)) for what in ("machines", "zones", "regions"))))
        for kind in given["machines"]:
            here = found.machines.setdefault(_BENCH[kind["class"]], {})
            here[kind["zone"]] = here.get(kind["zone"], 0) + int(kind["count"])
    except tomllib.TOMLDecodeError as problem:
        line = re.search(r"line (\d+)", str(problem))
        raise Faulty(f"{name}:{line[1] if line else 1}: {problem}") from None
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise Faulty(f"{name}: no site file: {type(problem).__name__} {problem}") from None
    return found


def told(settings: Settings) -> Site:
    """Of a settings file."""
    return Site(
        dict(settings.zones),
        settings.survive,
        {kind: dict.fromkeys(settings.zones, 1) for kind in CLASSES},
        True,
    )


# ---- what has to hold


def most(here: dict[str, int], groups: dict[str, str], lost: int) -> int:
    """The most of them that are gone with so many groups."""
    sums: dict[str, int] = {}
    for zone, count in here.items():
        sums[groups[zone]] = sums.get(groups[zone], 0) + count
    return sum(sorted(sums.values(), reverse=True)[:lost])


def placed(roles: list[Role], program: str, site: Site) -> dict[str, int]:
    found: dict[str, int] = {}
    for role in roles:
        if role.program == program:
            for zone, count in site.machines.get(role.on, {}).items():
                found[zone] = found.get(zone, 0) + role.machines(count)
    return {zone: count for zone, count in found.items() if count}


def plan(roles: list[Role], site: Site) -> list[Line]:
    """Every loss that `survive` allows, in its worst place, against what our programs do."""
    s, copies = site.survive, site.survive.boxes + 1
    depots, offices, counters = (
        placed(roles, program, site) for program in ("carrier depot", "postmaster", "carrier counter")
    )
    voters = min(MAX_VOTERS, sum(offices.values()))
    single = {zone: zone for zone in site.zones}
    spread = min(copies, len(depots))  # different zones that a message's copies are in for sure
    lines = [
        Line("counters", sum(counters.values()), 1, "clients reach nobody else"),
        Line("depots", sum(depots.values()), copies, f"a message is kept by survive.boxes + 1 = {copies}"),
        Line(
            "zones with depots",
            len(depots),
            min(copies, len(site.zones)) if s.spread else 1,
            "a message's copies are in different zones, where some may be lost",
        ),
        Line(
            "offices that keep the configuration",
            voters,
            copies,
            f"it is on survive.boxes + 1 = {copies} disks before it is acknowledged",
        ),
    ]
    for word, lost, groups in (
        ("boxes", s.boxes, None),
        ("zones", s.zones, single),
        ("regions", s.regions, site.zones),
    ):
        if not lost:
            continue
        said = f"survive.{word} = {lost}"
        if groups is None:
            gone_depots, gone_voters, gone_zones = lost, lost, 0
        else:
            gone_depots = most(depots, groups, lost)
            gone_voters = min(voters, most(offices, groups, lost))
            # each zone has one copy at most where there are zones enough
            gone_zones = most(dict.fromkeys(depots, 1), groups, lost)
            lines.append(
                Line(
                    "zones that have a copy of a message",
                    spread,
                    gone_zones + 1,
                    f"{said}: {gone_zones} of them may be gone",
                )
            )
            lines.append(
                Line(
                    "disks that have the configuration",
                    min(copies, voters),
                    gone_voters + 1,
                    f"{said}: {gone_voters} voters may be gone",
                )
            )
        lines += [
            Line(
                "depots left",
                max(0, sum(depots.values()) - gone_depots),
                copies,
                f"{said}: messages are still taken, on {copies} disks",
            ),
            Line(
                "voters left",
                max(0, voters - gone_voters),
                voters // 2 + 1,
                f"{said}: of {voters} voters a majority must be there"
                + (f"; more than {MAX_VOTERS} never vote" if sum(offices.values()) > MAX_VOTERS else ""),
            ),
        ]
    return lines
