"""Days drawn for one deployment in which every kind of trouble that its bench offers comes, in every variant.

    python bench/hard_days.py BENCH SITE [--times 2] [--seed 1] [--jobs 4] [--days N] [--why TEXT]

BENCH is the operators' program, SITE a site file; neither is part of this repository. `BENCH kinds SITE`
names the kinds; one without an entry in VARIANTS is an error (exit code 2), so that nothing is left out in
silence. The days are a covering design: each variant comes at least `--times` times, several overlap in each
day, and two start within a second of each other at least once a day. One JSON line a day goes to standard
output, then a table of what was played (alone with `--table-only`). Exit code 1 where a day broke a rule or
could not be played.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import re
import subprocess
import sys
import tomllib
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

TROUBLES_PER_DAY = 6
MACHINE_CLASSES = ("front", "store", "core")
CORE_CUT_HOW = (
    "",
    "all",
    "near",
    "oldest",
    "one_way",
    "seeds",
    "both",
    "lure",
    "leader",
    "turn",
    "reset",
    "refuse",
    "leader meet drain",
    "leader race",
    "leader hard",
    "reader",
    "behind",
    "split",
    "relieve",
)
# by kind: the variants of `how`; "CLASS/" before one: on that class of machines
VARIANTS: dict[str, tuple[str, ...]] = {
    "release": ("",),
    "answer_lost": ("", "reset"),
    "garble": ("", "extra", "unframed", "early", "extra late"),
    "node_kill": (
        "front/",
        "front/power",
        "store/",
        "store/power",
        "core/",
        "core/power",
        "core/leader race drain",
        "core/meet drain",
        "core/leader hard",
        "core/power leader race drain",
    ),
    "node_freeze": ("front/", "store/", "core/", "core/leader meet", "core/leader race drain"),
    "roll_term": ("front/", "store/", "core/", "store/busy", "core/busy", "core/remove", "core/meet race"),
    "add_nodes": ("front/", "store/", "core/"),
    "replace_core": ("core/", "core/planned", "core/oldest", "store/", "store/planned", "store/oldest"),
    "after_ack_kill": ("", "kill", "timed", "taken", "store/", "taken gone", "store/kill"),
    "after_ack_wipe": ("", "oldest", "store/", "store/oldest"),
    "disk_stall": ("core/", "store/"),
    "core_cut": (*("core/" + how for how in CORE_CUT_HOW), "store/", "store/reset", "store/one_way"),
    "config_change": ("route", "weights", "timeout", "tenant", "quota", "idle"),
    "config_storm": ("",),
    "config_race": ("",),
    "bad_config": (
        "cut_short",
        "unknown_service",
        "same_place",
        "no_weight",
        "no_timeout",
        "old_version",
        "same_version",
        "stale_match",
        "shared_key",
    ),
    "retire": ("", "wipe"),
    "node_slow": ("front/", "store/", "core/"),
    "herd_kill": ("front/", "front/power", "core/", "core/power", "core/off", "core/taken", "core/taken all"),
    "seed_turnover": ("",),
    "disk_slow": ("core/", "store/"),
    "disk_full": ("core/", "store/"),
    "clock_step": ("", "back", "ahead"),
    "hup": ("",),
    "reset_conns": ("front/", "store/", "core/"),
    "node_cut": ("", "all", "servers"),
    "ack_lost": ("",),
    "burst": ("",),
    "poison": ("",),
    "idle_race": ("",),
    "scale_in": ("", "spot"),
    "scale_out": ("",),
    "srv_crash": ("", "dark", "gone"),
    "srv_slow": ("",),
    "srv_grey": ("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
    "srv_lying_health": ("errors", "hang", "reset", "bad"),
    "srv_flap": ("",),
    "replace_with_reuse": ("", "drain", "dark"),
}
PLANNED = {
    "release",
    "roll_term",
    "add_nodes",
    "config_change",
    "config_storm",
    "config_race",
    "bad_config",
    "retire",
    "hup",
    "scale_in",
    "scale_out",
    "seed_turnover",
}
COUNTED = {
    "replace_core",
    "after_ack_kill",
    "after_ack_wipe",
    "disk_stall",
    "core_cut",
    "disk_slow",
    "disk_full",
}
LEFT_OVER = 9.0  # s from the day's begin after which no trouble begins, where restarts are to follow
# machines that are restarted by plan, and how many seconds before the day's end
RESTARTS = (("store", 12.0), ("front", 6.0))
CLOSINGS = (
    "",
    "power_off_all",
    "wipe_after_ack",
    "kill_all",
    "wipe_after_ack/timed",
    "power_off_all/taken",
    "wipe_after_ack/oldest",
)


class Variant(NamedTuple):
    kind: str
    on: str  # a class of machines, or empty
    how: str

    @property
    def name(self) -> str:
        return " ".join(part for part in (self.kind, self.on, self.how) if part)


def variants_of(kinds: list[str]) -> list[Variant]:
    """All variants of these kinds; SystemExit(2) names a kind that is not known here."""
    found = []
    for kind in kinds:
        if kind not in VARIANTS:
            print(f"hard_days: the bench offers {kind!r}, which VARIANTS does not have", file=sys.stderr)
            raise SystemExit(2)
        for text in VARIANTS[kind]:
            on, slash, how = text.partition("/")
            found.append(Variant(kind, on, how) if slash else Variant(kind, "", text))
    return found


def entry(draw: random.Random, variant: Variant, at: float, length: float) -> dict[str, Any]:
    """One entry of a day, as the site files write them; times in seconds."""
    found: dict[str, Any] = {"at": round(at, 2), "kind": variant.kind}
    if variant.on:
        found["on"] = variant.on
    if variant.how or variant.kind in ("garble", "core_cut"):
        found["how"] = variant.how
    if variant.kind in COUNTED or (
        variant.on in ("store", "core")
        and variant.kind in ("node_kill", "node_freeze", "node_slow", "roll_term", "add_nodes")
    ):
        found["count"] = 1
    if variant.kind == "core_cut":
        found["for_s"] = round(draw.choice((2.0, 5.0, min(20.0, length - at - 2.0))), 1)
    elif variant.kind == "retire":
        found["for_s"] = 8.0
    elif variant.kind == "config_storm":
        found.update(for_s=4.0, gap_s=round(draw.uniform(0.1, 0.4), 2))
    elif variant.kind in ("config_race", "bad_config"):
        found.update(count=draw.randint(2, 4), gap_s=round(draw.uniform(0.4, 1.3), 2))
    elif variant.kind == "burst":
        found.update(x=1.6, for_s=3.0)
    elif variant.kind == "poison":
        found.update(share=0.05, for_s=3.0)
    elif variant.kind not in ("config_change", "add_nodes", "release", "hup", "roll_term"):
        found["for_s"] = round(draw.uniform(1.5, 6.0), 1)
    return found


def plan_days(
    variants: list[Variant], times: int, seed: int, length: float, restarts: bool = False
) -> list[dict[str, Any]]:
    """Days in which each variant comes `times` times; no day has one twice in a row of the same kind. With
    `restarts` the troubles come early, and stores and gateways are restarted by plan in the calm after them.
    """
    draw = random.Random(seed)
    deck: list[Variant] = []
    for _ in range(times):
        part = variants[:]
        draw.shuffle(part)
        deck += part
    days = []
    for number in range(0, len(deck), TROUBLES_PER_DAY):
        hand = deck[number : number + TROUBLES_PER_DAY]
        starts = sorted(draw.uniform(1.5, LEFT_OVER if restarts else length - 9.0) for _ in hand)
        if len(starts) > 1:
            starts[1] = starts[0] + draw.uniform(0.0, 1.0)
        day: dict[str, Any] = {"plan": [], "faults": [], "played": [variant.name for variant in hand]}
        for variant, at in zip(hand, starts):
            day["plan" if variant.kind in PLANNED else "faults"].append(entry(draw, variant, at, length))
        if restarts:
            day["plan"] += [
                {"at": length - before, "kind": "roll_term", "on": on, "gap_s": 1.0}
                for on, before in RESTARTS
            ]
        closing, _, how = CLOSINGS[len(days) % len(CLOSINGS)].partition("/")
        if closing:
            day["closing"] = {
                "kind": closing,
                "down_s": round(draw.uniform(0.6, 2.0), 2),
                **({"how": how} if how else {}),
            }
        day["seed"] = draw.randrange(1, 2**28)
        days.append(day)
    return days


def toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml(part)}" for key, part in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml(part) for part in value) + "]"
    return json.dumps(value)


def write_day(site: dict[str, Any], day: dict[str, Any], name: str, folder: pathlib.Path) -> pathlib.Path:
    """The day as a file of its own, with the load and the marks of the site's first day of trouble."""
    like = next(one for one in site["day"] if one["slot"] == "trouble")
    fields = {
        "name": name,
        "slot": "trouble",
        "seed": day["seed"],
        "one": like["one"],
        "zero": like["zero"],
        "goal": {"floor": 0.0},
        "labels": [],
        "plan": day["plan"],
        "faults": day["faults"],
        "traffic": like["traffic"],
    }
    if "closing" in day:
        fields["closing"] = day["closing"]
    path = folder / f"{name}.toml"
    path.write_text("[[day]]\n" + "".join(f"{key} = {toml(value)}\n" for key, value in fields.items()))
    return path


def play(bench: str, site: str, path: pathlib.Path, day: dict[str, Any], why: str) -> dict[str, Any]:
    """Plays one day; what it printed is kept beside the day's file."""
    done = subprocess.run(
        [
            bench,
            "run",
            site,
            str(path),
            "--report",
            str(path.with_suffix(".json")),
            "--why",
            why,
            "--jobs",
            "1",
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    path.with_suffix(".out").write_text(done.stdout + done.stderr)
    found = {"day": path.stem, "played": day["played"], "closing": day.get("closing", {}).get("kind", "")}
    report = path.with_suffix(".json")
    if done.returncode or not report.exists():
        return {**found, "void": done.stderr.strip()[-300:] or done.stdout.strip()[-300:]}
    told = json.loads(report.read_text())
    return {
        **found,
        "worth": told["G"],
        "breaks": told["breaks"],
        "fault": told["fault"],
        "missed": told["missed"],
        "first": told["first"][:2],
        "wall_s": told["wall_s"],
    }


def failed(found: dict[str, Any]) -> bool:
    """A rule was broken, a program failed, or the day could not be played."""
    return "void" in found or bool(found["breaks"]) or bool(found["fault"])


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--times", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--days", type=int, default=0, help="the first so many alone")
    parser.add_argument("--why", default="Days drawn for every kind and variant of trouble")
    parser.add_argument("--out", default="found/hard-days")
    parser.add_argument("--restarts", action="store_true", help="early troubles, calm, planned restarts")
    parser.add_argument("--table-only", action="store_true", help="what would be played")
    told = parser.parse_args()
    site = tomllib.loads(pathlib.Path(told.site).read_text())
    printed = subprocess.run(
        [told.bench, "kinds", told.site], capture_output=True, text=True, check=True
    ).stdout
    variants = variants_of(re.findall(r"^(\w+):", printed, re.MULTILINE))
    days = plan_days(variants, told.times, told.seed, float(site["length_s"]), told.restarts)
    days = days[: told.days or len(days)]
    folder = pathlib.Path(told.out) / site["name"]
    folder.mkdir(parents=True, exist_ok=True)
    failures = 0
    if not told.table_only:
        with ThreadPoolExecutor(told.jobs) as pool:
            paths = [
                write_day(site, day, f"hard-{told.seed}-{number}", folder) for number, day in enumerate(days)
            ]
            for one in pool.map(lambda pair: play(told.bench, told.site, *pair, told.why), zip(paths, days)):
                failures += failed(one)
                print(json.dumps(one), flush=True)
    counts = Counter(name for day in days for name in day["played"])
    print(
        json.dumps(
            {
                "site": site["name"],
                "days": len(days),
                "variants": len(variants),
                "failed": failures,
                "played": dict(sorted(counts.items())),
            }
        )
    )
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
