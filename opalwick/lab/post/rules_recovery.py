"""Invariants of recovery once faults have ended: RECOVER."""

from __future__ import annotations

from opalwick.lab.post.history import INF, History

CALM = 6.0  # s without faults after which no message has a reason to wait


class RecoveryRules(History):
    """Rules on recovery; each method checks one."""

    def recovers(self) -> None:
        """RECOVER: traffic is accepted again after the closing fault and after the last fault."""
        served = [(one.at, one.status == 202) for one in self.tries.values() if one.kind != "probe"]
        if self.closing_at < INF and self.back_at < INF:
            before = [good for at, good in served if at < self.closing_at]
            # a later fault has a recovery time of its own
            others = [s for s in self.fault_intervals if s.end > self.back_at]
            after = [
                good
                for at, good in served
                if at > self.back_at + self.bounds["recover"]
                and not any(s.begin <= at <= s.end + self.bounds["recover"] for s in others)
            ]
            if before and 4 * sum(before) >= len(before) and len(after) >= 5 and 4 * sum(after) < len(after):
                self.add_violation(
                    "RECOVER",
                    self.back_at,
                    "",
                    f"{sum(after)} of {len(after)} messages accepted after all machines were back",
                )
        last = max((s.end for s in self.fault_intervals), default=0.0)
        after = [good for at, good in served if at > last + self.bounds["recover"]]
        # stores without free space rightly reject messages, for as long as they keep dead letters
        if self.history["room"] and self.fault_intervals and len(after) >= 8 and 4 * sum(after) < len(after):
            self.add_violation(
                "RECOVER", last, "", f"{sum(after)} of {len(after)} messages accepted after the last fault"
            )

    def waits(self) -> None:
        """RECOVER: an accepted message is due and its service works, but it was not delivered for CALM s
        without faults."""
        end = self.asking_at
        if end == INF or any(s.end > end - CALM for s in self.fault_intervals):
            return
        troubled = {f[0] for f in self.history["faults"] if f[2] > end - CALM}
        # faults of workers have no rows, only entries in the scenario's list; services with a rate limit may
        # have more messages than they can run
        if troubled & {
            "lost_answers",
            "broken_off",
            "errors",
            "slow",
            "hang",
            "crash",
            "moved",
            "release",
            "dark",
            "burst",
        } or any(at > end - CALM for at in self.gone.values()):
            return
        for one in self.tries.values():
            if one.status != 202 or self.ended_by(one, end) or one.at + one.delay > end - CALM + 1.0:
                continue
            keys = self.possible_versions(end, end)
            services = {r[2] for k in keys if (r := self.find(k, one.host, one.target))}
            if one.poison or len(services) != 1 or self.history["services"][min(services)]["rate"]:
                continue
            if not any(run.at > end - CALM for run in self.runs_of[one.id]):
                self.add_violation(
                    "RECOVER",
                    end,
                    one.id,
                    f"accepted by {one.counter} at {one.at:.3f} s, due, but not delivered "
                    f"in {CALM:g} s without faults",
                )
