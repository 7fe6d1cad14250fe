"""Invariants of workers' rate limits and drains and of operators' orders: CEILING, DRAIN, ALONE, ACKS."""

from __future__ import annotations

from opalwick.lab.post.history import INF, History

ALONE = (
    1.5  # s of partition after which a controller has noticed: time-out of its links, and an answer in flight
)


class ControlRules(History):
    """Rules on workers and operators; each method checks one."""

    def ceiling(self) -> None:
        """CEILING: a service receives no more requests in any window than its rate allows."""
        window, excess = self.bounds["ceil_win"], self.bounds["ceil_excess"]
        for svc, found in self.history["services"].items():
            if not found["rate"]:
                continue
            times = [
                (run.at, run.id) for run in self.runs.values() if run.svc == svc and not self.link_faulty(run)
            ]
            times.sort()
            most = found["rate"] * window * excess + 5
            low = 0
            for i, (at, id) in enumerate(times):
                while times[low][0] <= at - window:
                    low += 1
                if i - low + 1 > most:
                    self.add_violation(
                        "CEILING",
                        at,
                        id,
                        f"{i - low + 1} requests arrived at {svc} within {window:g} s; {most:g} are allowed",
                    )
                    break

    def drain(self) -> None:
        """DRAIN: a worker receives nothing more once its acknowledged drain is due."""
        for run in self.runs.values():
            acks = self.drain_acks.get(run.worker)
            if not acks or run.turned == 421 or run.id not in self.tries:
                continue
            since = next((at for at, office in acks if self.undisturbed(office, at, at)), INF)
            if (
                run.at > since + self.bounds["drain"]
                and self.undisturbed(run.counter, since, run.at)
                and not self.link_faulty(run)
            ):
                self.add_violation(
                    "DRAIN",
                    run.at,
                    run.id,
                    f"{run.counter} sent to {run.worker} {run.at - since:.3f} s after "
                    "its drain was acknowledged",
                )

    def drained_alone(self) -> None:
        """ALONE: no controller acknowledges a drain while partitioned from the majority for ALONE seconds."""
        offices = [node for node, role in self.roles.items() if role == "office"]
        for worker, acks in self.drain_acks.items():
            for at, office in acks:
                cut = {
                    other
                    for other in offices
                    if other != office
                    and any(
                        s.begin < at - ALONE and s.end > at and self.partitions(s, office, other)
                        for s in self.fault_intervals
                    )
                }
                if 2 * (len(offices) - len(cut)) <= len(offices):
                    why = f"{office} acknowledged a drain while partitioned from {sorted(cut)}"
                    self.add_violation("ALONE", at, worker, why)

    def acknowledged(self) -> None:
        """ACKS: while the stores and controllers are free of faults, a valid configuration and a drain are
        acknowledged in time."""
        ack = self.bounds["ack"]
        for key, sent in self.conf_sent.items():
            gen = self.confs[key]["gen"]
            rivals = [other for other in self.conf_sent if other != key and self.confs[other]["gen"] == gen]
            if key in self.conf_refused and any(other not in self.conf_refused for other in rivals):
                continue  # its number was given to a rival configuration
            if (
                self.confs[key]["valid"]
                and self.conf_acked.get(key, INF) > sent + ack + 0.1
                and (sent + ack + 0.1 < self.history["ended"] and self.settled(sent, sent + ack + 0.1))
            ):
                self.add_violation(
                    "ACKS", sent, str(self.confs[key]["gen"]), f"not acknowledged within {ack:g} s"
                )
        late = [
            w
            for w, at in self.drain_began.items()
            if self.settled(at, at + ack)
            and at + ack < self.history["ended"]
            and min((t for t, _ in self.drain_acks.get(w, [])), default=INF) > at + ack
            and self.gone.get(w, INF) > at + ack
        ]
        if late and len(late) >= max(3, len(self.drain_began) / 5):
            self.add_violation(
                "ACKS", self.drain_began[late[0]], late[0], f"{len(late)} drains were not acknowledged"
            )
