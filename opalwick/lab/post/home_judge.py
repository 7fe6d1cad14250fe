"""Judges data residency: where partners' messages were according to workers, disks and links, against the
policies as sent and acknowledged. Imports nothing of the code that it judges.

The possible homes of a message are those of every policy that may have been in force between its sending and
its answer. Everything done with the message must have been in one of them, the same one for all.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from opalwick.lab.post.history import INF, Try
from opalwick.lab.post.judge import Judge
from opalwick.lab.post.rules_messages import NEVER_RUN

ACCEPT_AIM = 0.08  # s within which a 202 is expected
START_AIM = 0.6  # s after a message is due within which its run begins, as for `late` in the report
RECOVERY_WINDOW = 2.0  # s over which recovery is measured, which is some tens of messages
RECOVERED_SHARE = 0.95  # share of messages in aim at which the cluster counts as recovered


class HomeJudge(Judge):
    """The judge for scenarios with data residency."""

    def __init__(self, history: dict[str, Any]) -> None:
        self.regions: dict[str, str] = history["regions"]
        self.zones = {node: found[1] for node, found in history["machines"].items()}
        self.stands: dict[str, str] = {}
        self.stored: list[tuple[float, str, str, int]] = []
        self.carried: list[tuple[float, str, str, str, str, int]] = []
        self.stood: list[float] = []
        self.home_sent: dict[int, float] = {}
        self.home_acked: dict[int, float] = {}
        super().__init__(history)
        for us, what, *f in history["rows"]:
            if what == "stands":
                self.stands[f[0]] = f[1]
                self.stood.append(us / 1e6)
            elif what == "stored":
                self.stored.append((us / 1e6, *f))  # type: ignore[arg-type]
            elif what == "carried":
                self.carried.append((us / 1e6, *f))  # type: ignore[arg-type]
            elif what == "home_sent":
                self.home_sent[f[0]] = us / 1e6
            elif what == "home_acked":
                self.home_acked[f[0]] = us / 1e6
        self.abroad = {"runs": 0, "copies": 0, "bytes": 0}

    # ---- the homes of a message

    def policies(self, at: float, until: float) -> list[dict[str, str]]:
        """Returns the policies that may be in force at some time between; with an empty one while the first
        is not certainly in force."""
        acked = [n for n, t in self.home_acked.items() if t + self.bounds["apply"] < at]
        least = max(acked, default=0)
        found = [self.history["homes"][n - 1] for n, t in self.home_sent.items() if t <= until and n >= least]
        return found if least else [*found, {}]

    def homes(self, one: Try) -> set[str] | None:
        """Returns the countries that may be the message's home; None if it may have none."""
        until = min(one.ended, one.at + 2.0)
        found = set()
        for policy in self.policies(one.at, until):
            for key in self.possible_versions(one.at, until) or self.valid():
                route = self.find(key, one.host, one.target)
                if route is not None:
                    found.add(policy.get(route[2], ""))
        return None if "" in found or not found else found

    # ---- where messages were

    def places(self) -> dict[str, list[tuple[float, str, str, int, str]]]:
        """Returns the sightings of each message by id: time, kind, country, bytes, node or worker."""
        found: dict[str, list[tuple[float, str, str, int, str]]] = defaultdict(list)
        for run in self.runs.values():
            country = self.regions[self.stands[run.worker]]
            found[run.id].append((run.at, "arrived", country, 0, run.worker))
            if run.began < INF:
                found[run.id].append((run.began, "runs", country, 0, run.worker))
        for at, node, id, size in self.stored:
            found[id].append((at, "copies", self.regions[self.zones[node]], size, node))
        for at, node, _, kind, id, size in self.carried:
            found[id].append((at, kind, self.regions[self.zones[node]], size, node))
        return found

    def waits(self) -> None:
        """Skips the rule with `claims` faults: a worker that has reported two locations is in no country
        until it restarts, so that messages for it rightly wait."""
        if not any(f[0] == "claims" for f in self.history["faults"]):
            super().waits()

    def stays(self) -> None:
        """ABROAD: every sighting of a message is in one of its possible homes."""
        sizes: dict[str, int] = {}
        for _, _, _, _, id, size in self.carried:
            sizes[id] = max(size, sizes.get(id, 0))
        for id, seen in self.places().items():
            one = self.tries.get(id)
            homes = self.homes(one) if one is not None else None
            if one is None or homes is None:
                continue
            away = min(([p for p in seen if p[2] != home] for home in sorted(homes)), key=len)
            for _at, what, _country, size, _who in away:
                if what in ("runs", "copies"):
                    self.abroad[what] += 1
                if what != "runs":
                    self.abroad["bytes"] += size or sizes.get(id, 0)
            if away:
                at, what, country, _, who = away[0]
                self.add_violation(
                    "ABROAD", at, id, f"{what} at {who} in {country}; its home: {sorted(homes)}"
                )

    def audited(self) -> None:
        """AUDIT: the stores' own audit list agrees with their disks."""
        listed = {(home, what, country): count for home, what, country, count in self.history["audit"]}
        for home, what, country in listed:
            if home != country:
                self.add_violation(
                    "AUDIT", self.history["ended"], "", f"listed: {what} of {home} in {country}"
                )
        if self.history["disks"] or len(self.history["homes"]) != 1:
            return  # a list was lost with its disk, or homes of messages have changed
        owned = {id for id, one in self.tries.items() if self.homes(one) is not None}
        copies = sum(id in owned for _, _, id, _ in self.stored)
        if listed and copies != sum(n for (_, what, _), n in listed.items() if what == "copies"):
            self.add_violation(
                "AUDIT", self.history["ended"], "", f"{copies} copies on disks, listed: {listed}"
            )

    # ---- the report

    def again(self) -> None:
        super().again()
        self.stays()
        self.audited()

    def report(self) -> dict[str, Any]:
        first: dict[int, Try] = {}
        last: dict[int, Try] = {}
        for one in self.tries.values():
            if one.kind != "probe":
                first.setdefault(one.message, one)
                last[one.message] = one
        good = dict.fromkeys(first, False)
        for one in self.tries.values():
            began = min((run.began for run in self.runs_of[one.id]), default=INF)
            if one.message in good and one.status == 202:
                at = first[one.message].at
                timely = one.ended <= at + ACCEPT_AIM and began <= at + one.delay + START_AIM
                good[one.message] = good[one.message] or timely
        marks = sorted((first[message].at - self.from_, done) for message, done in good.items())
        near = [done for message, done in good.items() if self.near(first[message])]
        return super().report() | {
            "in_aim": round(sum(good.values()) / len(good), 4) if good else 0.0,
            "at_home": round(sum(near) / len(near), 4) if near else 0.0,
            "at_home_messages": len(near),
            "abroad": self.abroad,
            "refused": sum(one.status in NEVER_RUN for one in last.values()),
            "recovered_s": self.recovered(marks),
        }

    def near(self, one: Try) -> bool:
        """Whether its client was in a country that may accept it."""
        homes = self.homes(one)
        return homes is None or self.regions[one.zone] in homes

    def recovered(self, marks: list[tuple[float, bool]]) -> float | None:
        """Returns the time in s from the end of the last fault to the first window with the recovered share
        of messages in aim; None if there was no fault, or too few messages come after it."""
        ends = [f[2] for f in self.history["faults"]] + [s.end for s in self.fault_intervals]
        since = max((end - self.from_ for end in ends), default=INF)
        if since < INF:  # workers that replace lost ones may come later
            since = max(since, *(at - self.from_ for at in self.stood))
        for shift in range(100):
            at = since + 0.5 * shift
            seen = [done for when, done in marks if at <= when < at + RECOVERY_WINDOW]
            if len(seen) < 10:
                return None
            if sum(seen) >= RECOVERED_SHARE * len(seen):
                return 0.5 * shift
        return None


def judge(history: dict[str, Any]) -> dict[str, Any]:
    return HomeJudge(history).judge()
