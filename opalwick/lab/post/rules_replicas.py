"""Invariant of the replicas between faults: REPLICAS."""

from __future__ import annotations

from opalwick.lab.post.history import History


class ReplicaRules(History):
    """Rules on replicas; each method checks one."""

    def full_replicas(self) -> None:
        """REPLICAS: `sync` seconds after the last fault of a machine with data, or of a link, each message
        that has not ended is on as many disks as required, and so is each end with the bytes of a dead
        message: the next loss may come then.
        """
        if not self.history["room"]:  # stores without free space rightly refuse replicas
            return
        reported = set[str]()
        for at, id, what, count, required in self.thin:
            if id not in reported and self.is_calm(at):
                reported.add(id)
                self.add_violation(
                    "REPLICAS",
                    at,
                    id,
                    f"{what} on {count} disks of {required}, {self.bounds['sync']:g} s after all faults",
                )

    def is_calm(self, at: float) -> bool:
        """Whether the disks have had `sync` seconds without faults, and at least as much since the start of
        traffic.
        """
        since = at - self.bounds["sync"]
        return since >= self.from_ and not any(
            s.begin <= at and s.end >= since and (s.nodes & self.core or s.links)
            for s in self.fault_intervals
        )
