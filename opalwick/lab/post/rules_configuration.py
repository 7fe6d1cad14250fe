"""Invariants of configurations: CONFIG, NUMBER, STALE."""

from __future__ import annotations

from collections import defaultdict

from opalwick.lab.post.history import INF, History, Try

SLOW = 8.0  # factor on the time to switch versions, for a machine with a slowing fault


class ConfigurationRules(History):
    """Rules on configurations; each method checks one."""

    def configuration(self) -> None:
        """CONFIG: an acknowledged configuration is in force in time; an invalid one never is."""
        for key, at in self.conf_acked.items():
            if not self.confs[key]["valid"]:
                self.add_violation(
                    "CONFIG", at, str(self.confs[key]["gen"]), "an invalid configuration was acknowledged"
                )
        for one in self.tries.values():
            if one.status not in (202, 404) or not self.undisturbed(
                one.counter, one.at, min(one.ended, one.at + 2.0)
            ):
                continue
            keys = self.possible_versions(one.at, one.ended)
            routes = [self.find(key, one.host, one.target) for key in keys]
            if not keys:
                continue
            if one.status == 404 and all(routes):
                self.add_violation(
                    "CONFIG", one.at, one.id, f"{one.counter} answered 404 although its route exists"
                )
            for run in self.runs_of[one.id]:
                if run.began < INF and self.undisturbed(run.counter, one.at, run.began):
                    keys = self.possible_versions(one.at, run.at)
                    if keys and run.svc not in {
                        r[2] for k in keys if (r := self.find(k, one.host, one.target))
                    }:
                        self.add_violation(
                            "CONFIG",
                            run.at,
                            one.id,
                            f"{run.svc} ran it for {run.counter}, which only an older version allows",
                        )
                        break

    def steps_back(self) -> None:
        """CONFIG: within one process incarnation a gateway never returns to an older version, nor uses one
        that was never sent."""
        by: dict[tuple[str, int], list[Try]] = defaultdict(list)
        for one in self.tries.values():
            if one.status in (202, 404):
                by[one.counter, one.life].append(one)
        keys = self.valid()
        for (counter, _), tries in by.items():
            tries.sort(key=lambda one: one.ended)
            newest: list[
                tuple[float, int]
            ] = []  # when it was observed, and the lowest version that it can be
            for one in tries:
                # a gateway restarted between request and answer counts as two incarnations
                fits = [
                    self.confs[k]["gen"]
                    for k in keys
                    if self.conf_sent[k] <= one.ended
                    and (self.find(k, one.host, one.target) is not None) == (one.status == 202)
                ]
                if not fits:
                    self.add_violation(
                        "CONFIG",
                        one.ended,
                        one.id,
                        f"{counter} answered {one.status}, which no valid version allows",
                    )
                    continue
                for seen, gen in newest:
                    if one.at > seen + self.bounds["revert"] and max(fits) < gen:
                        slowed = any(
                            s.kind in ("stutter", "late", "lossy", "slow_disk")
                            and counter in s.nodes
                            and s.begin <= one.at <= s.end + self.contact
                            for s in self.fault_intervals
                        )
                        if not slowed or one.at > seen + SLOW * self.bounds["revert"]:
                            self.add_violation(
                                "CONFIG",
                                one.at,
                                one.id,
                                f"{counter} had version {gen} at {seen:.3f} s and then "
                                f"answered {one.status} as version {max(fits)} at most does",
                            )
                            break
                if not newest or min(fits) > newest[-1][1]:
                    newest.append((one.ended, min(fits)))

    def read_back(self) -> None:
        """CONFIG, LOST: at the end the newest acknowledged configuration, or a newer one, can be read."""
        if self.conf_read is None:
            return
        at, key = self.conf_read
        acked = [k for k in self.conf_acked if self.confs[k]["valid"]]
        newest = max((self.confs[k]["gen"] for k in acked), default=-1)
        if key == -2:
            if not any(s.end >= at - self.contact - 2.0 for s in self.fault_intervals) and newest >= 0:
                self.add_violation("CONFIG", at, str(newest), "reading the configuration back gave no answer")
        elif key == -1:
            self.add_violation("CONFIG", at, str(newest), "the configuration read back is none that was sent")
        elif self.confs[key]["gen"] < newest:
            rule = "LOST" if self.closing_at < at else "CONFIG"
            self.add_violation(
                rule,
                at,
                str(newest),
                f"version {self.confs[key]['gen']} read back, but {newest} was acknowledged",
            )

    def numbers(self) -> None:
        """NUMBER: one configuration is acknowledged under a version number, and never refused afterwards."""
        confirmed: dict[int, tuple[int, float]] = {}
        for key, at in sorted(self.conf_acked.items(), key=lambda item: item[1]):
            if key in self.superseded or not self.confs[key]["valid"]:
                continue
            known, since = confirmed.setdefault(self.confs[key]["gen"], (key, at))
            if known != key:
                self.add_violation(
                    "NUMBER",
                    at,
                    str(self.confs[key]["gen"]),
                    f"a second configuration was acknowledged under this number; the first at {since:.3f} s",
                )
        for at, key, status in self.refusals:
            acked = self.conf_acked.get(key, INF)
            if acked < at and key not in self.superseded:
                self.add_violation(
                    "NUMBER",
                    at,
                    str(self.confs[key]["gen"]),
                    f"refused with {status} after it was acknowledged at {acked:.3f} s",
                )

    def seen_old(self) -> None:
        """STALE: no controller returns a configuration older than one acknowledged before the read began."""
        for at, key, began, office in self.versions_read:
            acked = [
                self.confs[k]["gen"]
                for k, t in self.conf_acked.items()
                if t < began and self.confs[k]["valid"] and k not in self.superseded
            ]
            newest = max(acked, default=-1)
            if key == -1 or self.confs[key]["gen"] < newest:
                has = (
                    "a configuration that was never sent"
                    if key == -1
                    else f"version {self.confs[key]['gen']}"
                )
                self.add_violation(
                    "STALE", at, str(newest), f"{office} returned {has}, but {newest} was acknowledged"
                )
