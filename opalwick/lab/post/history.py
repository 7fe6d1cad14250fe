"""History of a scenario: what clients, workers, operators and the fault injection observed.

The rules that check it are in `rules_*.py`. Nothing of the system under test is imported. The rows' names for
the roles are counter (gateway), depot (store) and office (controller).

A row is (microseconds since the scenario began, what, ...):
  up (node, start), down (node)             a process has started, has ended
  trouble (number, kind, planned, nodes, ways), well (number)      begin and end of a fault;
      a way is a direction of a link, (from, to)
  closing (seconds), back                   a fault of all machines at once; all are back
  traffic (from, to), asking                when messages are sent; begin of the read-back at the end
  sent (id, message, counter, kind, host, target, delay, zone, poison)     one try by a client
  answer (id, status, name), broke (id, whether it was read), silent (id)  how that ended for the client
  asked (id, "state" | "body", counter), told (id, which, status, state, seal, whether the body is
      what was sent)                        a query for a message, and its answer
  asked_wrong (number, kind, counter, name), told_wrong (number, status)   for a name that was never issued
  arrived (run, id, worker, service, counter, whether it is what was sent)  a request at a worker
  turned (run, status), began (run), finished (run, status, seal)          its rejection, start, result
  said (run, status, seal), read (run)      the whole answer was sent; the gateway has read it
  bare (id)                                 accepted, and neither it nor its completion is on a store's disk
  failed (id, count)                    accepted, and the stores have counted so many failed runs of it
  thin (id, "message" | "body" | "end", count, required)       accepted, and on fewer disks than required
  copies (id, count)                        at `asking`: disks that have it, where none has its completion
  drains (worker), drain_acked (worker, office), gone (worker, whether it crashed)
  conf_sent (key, office), conf_acked (key, office), conf_refused (key, status), conf_read (key; -1
      none that was sent, -2 no answer), conf_superseded (key): acknowledged as older than what is in force
  conf_seen (key, when the read began, office)          read during the scenario

The rules and their exceptions are those of the deployments; where the history leaves a question open, it is
decided in the system's favour.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any, NamedTuple

INF = float("inf")


class Violation(NamedTuple):
    """A violation of a rule; `id` is a message, node, worker or version."""

    rule: str
    at: float
    id: str
    why: str


class FaultInterval(NamedTuple):
    """The interval of one fault: nodes and directions of links that it affects."""

    begin: float
    end: float
    kind: str
    planned: bool
    nodes: frozenset[str]
    links: frozenset[tuple[str, str]]


class UnknownNameQuery:
    """A request for a message by a name that was never issued, or under another host."""

    __slots__ = ("at", "counter", "kind", "name", "status")

    def __init__(self, at: float, kind: str, counter: str, name: str) -> None:
        self.at, self.kind, self.counter, self.name = at, kind, counter, name
        self.status = 0  # of the answer; 0 or less: none came


class Run:
    """One request at a worker; times in s, INF for what has not happened."""

    __slots__ = (
        "at",
        "began",
        "counter",
        "ended",
        "id",
        "intact",
        "number",
        "read",
        "said",
        "seal",
        "status",
        "svc",
        "turned",
        "worker",
    )

    def __init__(
        self, number: int, id: str, worker: str, svc: str, counter: str, intact: bool, at: float
    ) -> None:
        self.number, self.id, self.worker, self.svc, self.counter = number, id, worker, svc, counter
        self.intact, self.at = intact, at
        self.began = self.ended = self.said = self.read = INF
        self.status, self.seal, self.turned = 0, "", 0


class Try:
    """One try of a client to send a message; times in s."""

    __slots__ = (
        "at",
        "broke",
        "counter",
        "delay",
        "ended",
        "host",
        "id",
        "kind",
        "life",
        "message",
        "name",
        "poison",
        "status",
        "target",
        "was_read",
        "zone",
    )

    def __init__(self, at: float, fields: tuple[Any, ...]) -> None:
        (
            self.id,
            self.message,
            self.counter,
            self.kind,
            self.host,
            self.target,
            self.delay,
            self.zone,
            self.poison,
        ) = fields
        self.at, self.status, self.ended, self.name = at, 0, INF, ""
        self.broke = self.was_read = False
        self.life = -1


class History:
    """The parsed history of a scenario, with the violations that the rules found."""

    def __init__(self, history: dict[str, Any]) -> None:
        self.history = history
        self.bounds: dict[str, float] = history["bounds"]
        self.contact = self.bounds["contact"]
        self.confs: list[dict[str, Any]] = history["confs"]
        self.roles = {node: found[0] for node, found in history["machines"].items()}
        self.violations: list[Violation] = []
        self.tries: dict[str, Try] = {}
        self.runs: dict[int, Run] = {}
        self.runs_of: dict[str, list[Run]] = defaultdict(list)
        self.fault_intervals: list[FaultInterval] = []
        self.incarnations: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.query_answers: list[tuple[float, str, str, int, str, str, bool]] = []
        self.unknown_name_queries: dict[int, UnknownNameQuery] = {}
        self.not_on_disk: list[tuple[float, str]] = []
        self.thin: list[tuple[float, str, str, int, int]] = []
        self.failed_runs: list[tuple[float, str, int]] = []
        self.copies: dict[str, int] = {}
        self.conf_sent: dict[int, float] = {}
        self.conf_acked: dict[int, float] = {}
        self.acks: list[tuple[float, int, str]] = []
        self.conf_refused: dict[int, float] = {}
        self.refusals: list[tuple[float, int, int]] = []
        self.superseded: set[int] = set()
        self.versions_read: list[tuple[float, int, float, str]] = []
        self.conf_read: tuple[float, int] | None = None
        self.drain_acks: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.drain_began: dict[str, float] = {}
        self.gone: dict[str, float] = {}
        self.closing_at = self.back_at = self.asking_at = INF
        self.from_, self.to = 0.0, 0.0
        self.read(history["rows"])
        self.core = frozenset(node for node, role in self.roles.items() if role != "counter")

    def read(self, rows: list[tuple[Any, ...]]) -> None:
        open_: dict[int, tuple[float, str, bool, list[str], list[list[str]]]] = {}
        for us, what, *f in rows:
            at = us / 1e6
            if what == "arrived":
                run = self.runs[f[0]] = Run(f[0], f[1], f[2], f[3], f[4], f[5], at)
                self.runs_of[run.id].append(run)
            elif what == "began":
                self.runs[f[0]].began = at
            elif what == "finished":
                run = self.runs[f[0]]
                run.ended, run.status, run.seal = at, f[1], f[2]
            elif what == "said":
                run = self.runs[f[0]]
                run.said = at
                if run.began == INF:  # answered from the first success, or rejected
                    run.status, run.seal = f[1], f[2]
            elif what == "read":
                self.runs[f[0]].read = at
            elif what == "turned":
                self.runs[f[0]].turned = f[1]
            elif what == "sent":
                one = self.tries[f[0]] = Try(at, tuple(f))
                incarnations = self.incarnations[one.counter]
                one.life = incarnations[-1][1] if incarnations else -1
            elif what == "answer":
                one = self.tries[f[0]]
                one.status, one.ended, one.name = f[1], at, f[2]
            elif what == "broke":
                one = self.tries[f[0]]
                one.ended, one.broke, one.was_read = at, True, f[1]
            elif what == "silent":
                self.tries[f[0]].ended = at
            elif what == "bare":
                self.not_on_disk.append((at, f[0]))
            elif what == "thin":
                self.thin.append((at, f[0], f[1], f[2], f[3]))
            elif what == "failed":
                self.failed_runs.append((at, f[0], f[1]))
            elif what == "copies":
                self.copies[f[0]] = f[1]
            elif what == "told":
                self.query_answers.append((at, *f))  # type: ignore[arg-type]
            elif what == "asked_wrong":
                self.unknown_name_queries[f[0]] = UnknownNameQuery(at, *f[1:])
            elif what == "told_wrong":
                self.unknown_name_queries[f[0]].status = f[1]
            elif what == "trouble":
                open_[f[0]] = at, f[1], f[2], f[3], f[4]
            elif what == "well":
                begin, kind, planned, nodes, links = open_.pop(f[0])
                self.add_interval(begin, at, kind, planned, nodes, links)
            elif what == "up":
                self.incarnations[f[0]].append((at, f[1]))
            elif what == "conf_sent":
                self.conf_sent.setdefault(f[0], at)
            elif what == "conf_acked":
                self.conf_acked.setdefault(f[0], at)
                self.acks.append((at, f[0], f[1]))
            elif what == "conf_refused":
                self.conf_refused.setdefault(f[0], at)
                self.refusals.append((at, f[0], f[1]))
            elif what == "conf_superseded":
                self.superseded.add(f[0])
            elif what == "conf_seen":
                self.versions_read.append((at, f[0], f[1], f[2]))
            elif what == "conf_read":
                self.conf_read = at, f[0]
            elif what == "drains":
                self.drain_began[f[0]] = at
            elif what == "drain_acked":
                self.drain_acks[f[0]].append((at, f[1]))
            elif what == "gone":
                self.gone[f[0]] = at
            elif what == "traffic":
                self.from_, self.to = f[0], f[1]
            elif what == "asking":
                self.asking_at = at
            elif what == "closing":
                self.closing_at = at
            elif what == "back":
                self.back_at = at
        for begin, kind, planned, nodes, links in open_.values():
            self.add_interval(begin, self.history["ended"], kind, planned, nodes, links)

    def add_interval(
        self, begin: float, end: float, kind: str, planned: bool, nodes: list[str], links: list[list[str]]
    ) -> None:
        self.fault_intervals.append(
            FaultInterval(begin, end, kind, planned, frozenset(nodes), frozenset((a, b) for a, b in links))
        )

    def add_violation(self, rule: str, at: float, id: str, why: str) -> None:
        self.violations.append(Violation(rule, round(at, 6), id, why))

    def affects(self, spell: FaultInterval, node: str) -> bool:
        """Whether the fault affects that machine or the core (stores and controllers)."""
        if node in spell.nodes or spell.nodes & self.core:
            return True
        return any(node in way or (way[0] in self.core and way[1] in self.core) for way in spell.links)

    def undisturbed(self, node: str, since: float, at: float) -> bool:
        """Whether no fault affected the node or the core from `since` to `at`."""
        return not any(
            s.begin <= at and s.end >= since - self.contact and self.affects(s, node)
            for s in self.fault_intervals
        )

    def settled(self, since: float, at: float) -> bool:
        """Whether no fault affected the core or any link from `since` to `at`."""
        return not any(
            s.begin <= at and s.end >= since - self.contact and (s.nodes & self.core or s.links)
            for s in self.fault_intervals
        )

    def unplanned(self, since: float, at: float) -> bool:
        return any(not s.planned and s.begin <= at and s.end >= since for s in self.fault_intervals)

    def link_faulty(self, run: Run) -> bool:
        return any(
            s.begin <= run.at
            and s.end >= run.at - self.contact
            and ((run.counter, run.worker) in s.links or (run.worker, run.counter) in s.links)
            for s in self.fault_intervals
        )

    @staticmethod
    def partitions(spell: FaultInterval, a: str, b: str) -> bool:
        """Whether the fault partitions the two nodes from each other."""
        return spell.kind in ("cut", "alone") and ((a, b) in spell.links or (b, a) in spell.links)

    def find(self, key: int, host: str, target: str) -> list[Any] | None:
        """The route in that configuration: host, stem, service, tries, limit, retain."""
        found = [r for r in self.confs[key]["routes"] if r[0] == host and target.startswith(r[1])]
        return max(found, key=lambda r: len(r[1])) if found else None

    def possible_versions(self, at: float, until: float) -> list[int]:
        """Keys of the versions that may be in force at some time between: the newest one acknowledged at
        least `apply` seconds before, and all newer ones that were sent."""
        known = [
            k for k, t in self.conf_acked.items() if t + self.bounds["apply"] < at and self.confs[k]["valid"]
        ]
        least = max((self.confs[k]["gen"] for k in known), default=-1)
        return [
            k
            for k, t in self.conf_sent.items()
            if t <= until and self.confs[k]["valid"] and self.confs[k]["gen"] >= least
        ]

    def valid(self) -> list[int]:
        return sorted(
            (k for k in self.conf_sent if self.confs[k]["valid"]), key=lambda k: self.confs[k]["gen"]
        )

    def ended_by(self, one: Try, at: float) -> str:
        """Why the message has ended by then; empty: it has not, whatever the system reports."""
        runs = [run for run in self.runs_of[one.id] if run.said <= at]
        if any(run.status == 200 for run in runs):
            return "done"
        if any(run.status == 422 for run in runs):
            return "rejected by its worker"
        fails = sum(run.status == 500 for run in runs)
        for key in self.possible_versions(one.at, at):
            route = self.find(key, one.host, one.target)
            if route is None:
                return "its route was dropped"
            if fails >= route[3]:
                return "out of tries"
            if one.at + route[5] <= at:
                return "retention time is over"
        return ""

    def succeeded(self, id: str, at: float) -> set[str]:
        """Completion tokens of its successful runs, including those whose answer was lost."""
        return {run.seal for run in self.runs_of[id] if run.status == 200 and run.ended <= at and run.seal}
