"""Checks the history of a scenario against all rules and builds the report.

Independent of the system under test: nothing of it is imported.
"""

from __future__ import annotations

from typing import Any

from opalwick.lab.post.history import INF, Try
from opalwick.lab.post.rules_configuration import ConfigurationRules
from opalwick.lab.post.rules_control import ControlRules
from opalwick.lab.post.rules_messages import MessageRules
from opalwick.lab.post.rules_recovery import RecoveryRules
from opalwick.lab.post.rules_replicas import ReplicaRules


class Judge(MessageRules, ConfigurationRules, ControlRules, RecoveryRules, ReplicaRules):
    """A scenario's history with the rules of all modules."""

    def judge(self) -> dict[str, Any]:
        """Applies every rule and returns the report."""
        for rule in (
            self.answers,
            self.requests,
            self.twice,
            self.again,
            self.at_work,
            self.failed,
            self.asked,
            self.strangers,
            self.denied,
            self.lost,
            self.kept,
            self.full_replicas,
            self.ceiling,
            self.drain,
            self.configuration,
            self.steps_back,
            self.read_back,
            self.numbers,
            self.seen_old,
            self.drained_alone,
            self.acknowledged,
            self.cut_off,
            self.recovers,
            self.waits,
            self.early,
        ):
            rule()
        for at, node, problem, where in self.history["problems"]:
            self.add_violation(
                "FAULT", at, node, f"{problem}: {where.strip().splitlines()[-2].strip() if where else ''}"
            )
        self.violations.sort(key=lambda b: (b.at, b.rule, b.id))
        return self.report()

    def report(self) -> dict[str, Any]:
        tries = [one for one in self.tries.values() if one.kind != "probe"]
        accepted = [one for one in self.tries.values() if one.status == 202]
        end = self.history["ended"]
        firsts: dict[int, Try] = {}
        for one in tries:
            firsts.setdefault(one.message, one)
        in_target = [one for one in tries if one.status == 202 and one.ended <= firsts[one.message].at + 0.08]
        waiting = [one for one in accepted if not self.ended_by(one, end)]
        doubled = sum(
            max(0, sum(run.status == 200 and run.began < INF for run in self.runs_of[one.id]) - 1)
            for one in accepted
        )
        late = 0
        for one in accepted:
            began = min((run.began for run in self.runs_of[one.id]), default=INF)
            late += INF > began > firsts.get(one.message, one).at + one.delay + 0.6
        return {
            "day": self.history["day"],
            "seed": self.history["seed"],
            "messages": len(firsts),
            "accepted": len(accepted),
            "ended": len(accepted) - len(waiting),
            "waiting": len(waiting),
            "lost": sum(b.rule == "LOST" for b in self.violations),
            "doubled": doubled,
            "late": late,
            "in_aim": round(len(in_target) / len(firsts), 4) if firsts else 0.0,
            "broken": [{"rule": b.rule, "at": b.at, "message": b.id, "why": b.why} for b in self.violations],
        }


def judge(history: dict[str, Any]) -> dict[str, Any]:
    return Judge(history).judge()
