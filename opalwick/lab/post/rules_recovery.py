"""What must go on once all is well again: RECOVER."""

from __future__ import annotations

from opalwick.lab.post.history import INF, History

CALM = 6.0  # s without any trouble after which nothing has a reason to wait


class RecoveryRules(History):
    """Each method is one rule."""

    def recovers(self) -> None:
        """RECOVER: after the closing fault, and after the last trouble of any day."""
        served = [(one.at, one.status == 202) for one in self.tries.values() if one.kind != "probe"]
        if self.closing_at < INF and self.back_at < INF:
            before = [good for at, good in served if at < self.closing_at]
            # a further trouble after it has its own time
            others = [s for s in self.spells if s.end > self.back_at]
            after = [
                good
                for at, good in served
                if at > self.back_at + self.bounds["recover"]
                and not any(s.begin <= at <= s.end + self.bounds["recover"] for s in others)
            ]
            if before and 4 * sum(before) >= len(before) and len(after) >= 5 and 4 * sum(after) < len(after):
                self.breach(
                    "RECOVER", self.back_at, "", f"{sum(after)} of {len(after)} served after all were back"
                )
        last = max((s.end for s in self.spells), default=0.0)
        after = [good for at, good in served if at > last + self.bounds["recover"]]
        # depots without room refuse rightly, for as long as they keep what has died
        if self.history["room"] and self.spells and len(after) >= 8 and 4 * sum(after) < len(after):
            self.breach("RECOVER", last, "", f"{sum(after)} of {len(after)} served after the last trouble")

    def waits(self) -> None:
        """RECOVER: accepted and due, all in touch for long, its service at work, and nobody works on it."""
        end = self.asking_at
        if end == INF or any(s.end > end - CALM for s in self.spells):
            return
        troubled = {f[0] for f in self.history["faults"] if f[2] > end - CALM}
        # workers' own troubles have no rows: the day's list has them; ceilings may have more than they bear
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
            keys = self.may_be(end, end)
            services = {r[2] for k in keys if (r := self.find(k, one.host, one.target))}
            if one.poison or len(services) != 1 or self.history["services"][min(services)]["rate"]:
                continue
            if not any(run.at > end - CALM for run in self.of[one.id]):
                self.breach(
                    "RECOVER",
                    end,
                    one.id,
                    f"accepted by {one.counter} at {one.at:.3f} s, due, and left alone "
                    f"for {CALM:g} s in which nothing was wrong",
                )
