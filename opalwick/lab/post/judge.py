"""Judges a day of the post by what clients, workers, operators and whoever made the trouble saw. It imports
nothing of what it judges.

A row is (microseconds since the day began, what, ...):
  up (node, start), down (node)             a process began, is gone
  trouble (number, kind, planned, nodes, ways), well (number)      from, to; a way is (from, to)
  closing (seconds), back                   all were hit at once; all are there again
  traffic (from, to), asking                when messages are sent; when it is asked back at the end
  sent (id, message, counter, kind, host, target, delay, zone, poison)     one try of a client
  answer (id, status, name), broke (id, whether it was read), silent (id)  how that ended for the client
  asked (id, "state" | "body", counter), told (id, which, status, state, seal, whether the bytes are
      those sent)
  arrived (run, id, worker, service, counter, whether it is what was sent)  at a worker
  turned (run, status), began (run), finished (run, status, seal)          and what became of it
  said (run, status, seal), read (run)      the whole answer went out; its sender has read it
  bare (id)                                 accepted, and on no depot's disk any more, nor its end
  copies (id, count)                        at `asking`: disks that have it, where none has its end
  drains (worker), drain_acked (worker, office), gone (worker, whether it crashed)
  conf_sent (key, office), conf_acked (key, office), conf_refused (key, status), conf_read (key; -1
      other, -2 none), conf_superseded (key): acknowledged as older than what is in force
  conf_seen (key, when the reading began, office)       read in the middle of the day

The rules and their excuses are those of the deployments; what cannot be known counts in the system's
favour.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any, NamedTuple

INF = float("inf")
PROMISES = (408, 421, 429, 503)
SLOW = 8.0  # times that a slowed machine has longer for the step back
SAID = 0.01  # s that a word of an end is on its way to the depots, and a delivery to its worker
COPIES = 2  # as `survive.boxes` of all days is 1
REPAIRED = 13.0  # s without any trouble after which each copy that was lost stands elsewhere
ALONE = 1.5  # s cut off after which an office has noticed: its links' silence, and an answer on its way
CALM = 6.0  # s without any trouble after which nothing has a reason to wait


class Breach(NamedTuple):
    rule: str
    at: float
    id: str
    why: str


class Spell(NamedTuple):
    begin: float
    end: float
    kind: str
    planned: bool
    nodes: frozenset[str]
    ways: frozenset[tuple[str, str]]


class Run:
    __slots__ = (
        "number",
        "id",
        "worker",
        "svc",
        "counter",
        "intact",
        "at",
        "began",
        "ended",
        "status",
        "seal",
        "said",
        "read",
        "turned",
    )

    def __init__(
        self, number: int, id: str, worker: str, svc: str, counter: str, intact: bool, at: float
    ) -> None:
        self.number, self.id, self.worker, self.svc, self.counter = number, id, worker, svc, counter
        self.intact, self.at = intact, at
        self.began = self.ended = self.said = self.read = INF
        self.status, self.seal, self.turned = 0, "", 0


class Try:
    __slots__ = (
        "id",
        "message",
        "counter",
        "kind",
        "host",
        "target",
        "delay",
        "zone",
        "poison",
        "at",
        "status",
        "ended",
        "name",
        "broke",
        "was_read",
        "life",
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


class Judge:
    def __init__(self, history: dict[str, Any]) -> None:
        self.history = history
        self.bounds: dict[str, float] = history["bounds"]
        self.contact = self.bounds["contact"]
        self.confs: list[dict[str, Any]] = history["confs"]
        self.roles = {node: found[0] for node, found in history["machines"].items()}
        self.breaches: list[Breach] = []
        self.tries: dict[str, Try] = {}
        self.runs: dict[int, Run] = {}
        self.of: dict[str, list[Run]] = defaultdict(list)
        self.spells: list[Spell] = []
        self.lives: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.told: list[tuple[float, str, str, int, str, str, bool]] = []
        self.bare: list[tuple[float, str]] = []
        self.copies: dict[str, int] = {}
        self.conf_sent: dict[int, float] = {}
        self.conf_acked: dict[int, float] = {}
        self.acks: list[tuple[float, int, str]] = []
        self.conf_refused: dict[int, float] = {}
        self.refusals: list[tuple[float, int, int]] = []
        self.superseded: set[int] = set()
        self.seen: list[tuple[float, int, float, str]] = []
        self.conf_read: tuple[float, int] | None = None
        self.drains: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.draining: dict[str, float] = {}
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
                self.of[run.id].append(run)
            elif what == "began":
                self.runs[f[0]].began = at
            elif what == "finished":
                run = self.runs[f[0]]
                run.ended, run.status, run.seal = at, f[1], f[2]
            elif what == "said":
                run = self.runs[f[0]]
                run.said = at
                if run.began == INF:  # a repeat of the first success, or turned away
                    run.status, run.seal = f[1], f[2]
            elif what == "read":
                self.runs[f[0]].read = at
            elif what == "turned":
                self.runs[f[0]].turned = f[1]
            elif what == "sent":
                one = self.tries[f[0]] = Try(at, tuple(f))
                lives = self.lives[one.counter]
                one.life = lives[-1][1] if lives else -1
            elif what == "answer":
                one = self.tries[f[0]]
                one.status, one.ended, one.name = f[1], at, f[2]
            elif what == "broke":
                one = self.tries[f[0]]
                one.ended, one.broke, one.was_read = at, True, f[1]
            elif what == "silent":
                self.tries[f[0]].ended = at
            elif what == "bare":
                self.bare.append((at, f[0]))
            elif what == "copies":
                self.copies[f[0]] = f[1]
            elif what == "told":
                self.told.append((at, *f))  # type: ignore[arg-type]
            elif what == "trouble":
                open_[f[0]] = at, f[1], f[2], f[3], f[4]
            elif what == "well":
                begin, kind, planned, nodes, ways = open_.pop(f[0])
                self.spell(begin, at, kind, planned, nodes, ways)
            elif what == "up":
                self.lives[f[0]].append((at, f[1]))
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
                self.seen.append((at, f[0], f[1], f[2]))
            elif what == "conf_read":
                self.conf_read = at, f[0]
            elif what == "drains":
                self.draining[f[0]] = at
            elif what == "drain_acked":
                self.drains[f[0]].append((at, f[1]))
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
        for begin, kind, planned, nodes, ways in open_.values():
            self.spell(begin, self.history["ended"], kind, planned, nodes, ways)

    def spell(
        self, begin: float, end: float, kind: str, planned: bool, nodes: list[str], ways: list[list[str]]
    ) -> None:
        self.spells.append(
            Spell(begin, end, kind, planned, frozenset(nodes), frozenset((a, b) for a, b in ways))
        )

    def breach(self, rule: str, at: float, id: str, why: str) -> None:
        self.breaches.append(Breach(rule, round(at, 6), id, why))

    # ---- who was in touch

    def hit(self, spell: Spell, node: str) -> bool:
        """Whether it touches that machine, or the core."""
        if node in spell.nodes or spell.nodes & self.core:
            return True
        return any(node in way or way[0] in self.core and way[1] in self.core for way in spell.ways)

    def touch(self, node: str, since: float, at: float) -> bool:
        """In touch all the time from `since` to `at`."""
        return not any(
            s.begin <= at and s.end >= since - self.contact and self.hit(s, node) for s in self.spells
        )

    def settled(self, since: float, at: float) -> bool:
        """The core, and no link in trouble."""
        return not any(
            s.begin <= at and s.end >= since - self.contact and (s.nodes & self.core or s.ways)
            for s in self.spells
        )

    def unplanned(self, since: float, at: float) -> bool:
        return any(not s.planned and s.begin <= at and s.end >= since for s in self.spells)

    def held_up(self, run: Run) -> bool:
        return any(
            s.begin <= run.at
            and s.end >= run.at - self.contact
            and ((run.counter, run.worker) in s.ways or (run.worker, run.counter) in s.ways)
            for s in self.spells
        )

    # ---- configurations

    def find(self, key: int, host: str, target: str) -> list[Any] | None:
        """The route: host, stem, service, tries, limit, retain."""
        found = [r for r in self.confs[key]["routes"] if r[0] == host and target.startswith(r[1])]
        return max(found, key=lambda r: len(r[1])) if found else None

    def may_be(self, at: float, until: float) -> list[int]:
        """Keys of versions that may be in force at some time between: the newest that was acknowledged
        `apply` before, and all that were sent and are newer."""
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

    # ---- what a message has come to

    def ended_by(self, one: Try, at: float) -> str:
        """Why it has ended by then; empty: it has not, whatever anybody says."""
        runs = [run for run in self.of[one.id] if run.said <= at]
        if any(run.status == 200 for run in runs):
            return "done"
        if any(run.status == 422 for run in runs):
            return "refused for good"
        fails = sum(run.status == 500 for run in runs)
        for key in self.may_be(one.at, at):
            route = self.find(key, one.host, one.target)
            if route is None:
                return "its route was dropped"
            elif fails >= route[3]:
                return "failed for good"
            elif one.at + route[5] <= at:
                return "kept for long enough"
        return ""

    def succeeded(self, id: str, at: float) -> set[str]:
        """Seals of its successful runs; one whose answer got lost is one."""
        return {run.seal for run in self.of[id] if run.status == 200 and run.ended <= at and run.seal}

    # ---- the rules

    def judge(self) -> dict[str, Any]:
        for rule in (
            self.answers,
            self.requests,
            self.twice,
            self.again,
            self.asked,
            self.lost,
            self.kept,
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
            self.breach(
                "FAULT", at, node, f"{problem}: {where.strip().splitlines()[-2].strip() if where else ''}"
            )
        self.breaches.sort(key=lambda b: (b.at, b.rule, b.id))
        return self.report()

    def answers(self) -> None:
        """REFUSED: what was promised never to run has run."""
        for one in self.tries.values():
            if one.status in PROMISES:
                for run in self.of[one.id]:
                    if run.began < INF:
                        self.breach(
                            "REFUSED",
                            max(run.began, one.ended),
                            one.id,
                            f"answered {one.status} by {one.counter} and run by {run.worker}",
                        )

    def requests(self) -> None:
        """UNASKED, ROUTE."""
        for run in self.runs.values():
            one = self.tries.get(run.id)
            if one is None or not run.intact:
                self.breach("UNASKED", run.at, run.id, f"{run.worker} got what no client sent so")
                continue
            if run.began == INF:
                continue
            allowed = {
                route[2]
                for key, sent in self.conf_sent.items()
                if sent <= run.at
                and (route := self.find(key, one.host, one.target)) is not None
                and self.confs[key]["valid"]
            }
            if run.svc not in allowed:
                self.breach(
                    "ROUTE", run.at, run.id, f"{run.svc} ran it at {run.worker}; allowed: {sorted(allowed)}"
                )

    def twice(self) -> None:
        for id, runs in self.of.items():
            one = self.tries.get(id)
            if one is None or len(runs) < 2:
                continue
            for first in runs:
                if first.status != 200 or first.began == INF or first.read == INF:
                    continue
                route = next((r for k in self.valid() if (r := self.find(k, one.host, one.target))), None)
                limit = min(
                    (r[4] for k in self.valid() if (r := self.find(k, one.host, one.target))), default=0.0
                )
                if route is None or first.said > first.at + limit - 0.05:
                    continue
                for run in runs:
                    if (
                        run.began < INF
                        and run.began > first.read
                        and run is not first
                        and not self.unplanned(first.began - self.contact, run.at)
                    ):
                        self.breach(
                            "TWICE",
                            run.began,
                            id,
                            f"run by {first.worker} at {first.began:.3f}, whose answer "
                            f"{first.counter} had read, and again by {run.worker} for {run.counter}",
                        )
                        break

    def again(self) -> None:
        """AGAIN: whatever befalls others, what one has succeeded in, and told, is not sent again by anybody.
        This is not a rule of the deployments, which ask a price for it; it is what ends kept by a counter and
        numbers of assignments promise."""
        for id, runs in self.of.items():
            if len(runs) < 2 or id not in self.tries:
                continue
            for first in runs:
                if first.status != 200 or first.read == INF:
                    continue
                for run in runs:
                    if (
                        run.began < INF
                        and run.at > first.read + SAID
                        and not self.held_up(run)
                        and not any(
                            s.begin <= run.at
                            and s.end >= first.at - self.contact
                            and (first.counter in s.nodes or any(first.counter in way for way in s.ways))
                            for s in self.spells
                        )
                    ):
                        self.breach(
                            "AGAIN",
                            run.began,
                            id,
                            f"{first.counter} had read its success at {first.read:.3f}, and "
                            f"is well; {run.counter} sent it to {run.worker} again",
                        )
                        break
                else:
                    continue
                break

    def asked(self) -> None:
        """MIXED: states and bytes that are not so."""
        for at, id, what, status, state, seal, same in self.told:
            one = self.tries[id]
            if status != 200:
                continue
            if what == "body":
                if not same:
                    self.breach("MIXED", at, id, "other bytes than were sent")
            elif state == "complete":
                if seal not in self.succeeded(id, at):
                    self.breach("MIXED", at, id, f"complete with the stamp {seal!r} of no successful run")
            elif state == "dlq":
                if not self.ended_by(one, at):
                    self.breach("MIXED", at, id, "dlq, and it has not ended")
            elif state != "pending":
                self.breach("MIXED", at, id, f"the state {state!r}")

    def lost(self) -> None:
        """LOST: what was accepted has not ended, and is not there at the end."""
        if self.asking_at == INF:
            return
        last: dict[str, list[tuple[float, str, int, str, bool]]] = defaultdict(list)
        for at, id, what, status, state, _, same in self.told:
            if at >= self.asking_at:
                last[id].append((at, what, status, state, same))
        for one in self.tries.values():
            # what ends while it is asked for may be told either way
            if one.status != 202 or self.ended_by(one, self.history["ended"]):
                continue
            found = last.get(one.id, [])
            states = [entry[3] for entry in found if entry[1] == "state" and entry[2] == 200]
            if any(state in ("complete", "dlq") for state in states):
                self.breach(
                    "LOST", one.at, one.id, f"accepted by {one.counter}, not ended, and told as {states[-1]}"
                )
            elif not any(entry[1] == "body" and entry[4] for entry in found):
                told = ", ".join(f"{entry[1]} {entry[2]}" for entry in found) or "nothing"
                self.breach(
                    "LOST",
                    one.at,
                    one.id,
                    f"accepted by {one.counter}, not ended, and its bytes do not come back ({told})",
                )

    def kept(self) -> None:
        """COPIES: an accepted message is never on no disk; once nothing was wrong for long it is on two."""
        seen: set[str] = set()
        for at, id in self.bare:
            if id not in seen and not self.ended_by(self.tries[id], at):
                seen.add(id)
                self.breach("COPIES", at, id, "accepted, not ended, and on no disk any more")
        # a step of the time of day moves no copy, but may end a message sooner where its depots restart
        if any(s.end > self.asking_at - REPAIRED for s in self.spells):
            return
        for id, count in self.copies.items():
            one = self.tries[id]
            if count < COPIES and not self.ended_by(one, self.asking_at) and one.at < self.asking_at - CALM:
                self.breach(
                    "COPIES",
                    self.asking_at,
                    id,
                    f"on {count} disk{'s'[: count != 1]}, with nothing wrong for {REPAIRED:g} s",
                )

    def ceiling(self) -> None:
        window, excess = self.bounds["ceil_win"], self.bounds["ceil_excess"]
        for svc, found in self.history["services"].items():
            if not found["rate"]:
                continue
            times = [
                (run.at, run.id) for run in self.runs.values() if run.svc == svc and not self.held_up(run)
            ]
            times.sort()
            most = found["rate"] * window * excess + 5
            low = 0
            for i, (at, id) in enumerate(times):
                while times[low][0] <= at - window:
                    low += 1
                if i - low + 1 > most:
                    self.breach(
                        "CEILING",
                        at,
                        id,
                        f"{i - low + 1} arrivals at {svc} within {window:g} s; {most:g} may",
                    )
                    break

    def drain(self) -> None:
        for run in self.runs.values():
            acks = self.drains.get(run.worker)
            if not acks or run.turned == 421 or run.id not in self.tries:
                continue
            since = next((at for at, office in acks if self.touch(office, at, at)), INF)
            if (
                run.at > since + self.bounds["drain"]
                and self.touch(run.counter, since, run.at)
                and not self.held_up(run)
            ):
                self.breach(
                    "DRAIN",
                    run.at,
                    run.id,
                    f"{run.counter} sent to {run.worker} {run.at - since:.3f} s after "
                    "its drain was acknowledged",
                )

    def configuration(self) -> None:
        """CONFIG: what was acknowledged is in force in time; what is invalid never is."""
        for key, at in self.conf_acked.items():
            if not self.confs[key]["valid"]:
                self.breach(
                    "CONFIG", at, str(self.confs[key]["gen"]), "an invalid configuration was acknowledged"
                )
        for one in self.tries.values():
            if one.status not in (202, 404) or not self.touch(
                one.counter, one.at, min(one.ended, one.at + 2.0)
            ):
                continue
            keys = self.may_be(one.at, one.ended)
            routes = [self.find(key, one.host, one.target) for key in keys]
            if not keys:
                continue
            if one.status == 404 and all(routes):
                self.breach("CONFIG", one.at, one.id, f"{one.counter} answered 404, and its route is there")
            for run in self.of[one.id]:
                if run.began < INF and self.touch(run.counter, one.at, run.began):
                    keys = self.may_be(one.at, run.at)
                    if keys and run.svc not in {
                        r[2] for k in keys if (r := self.find(k, one.host, one.target))
                    }:
                        self.breach(
                            "CONFIG",
                            run.at,
                            one.id,
                            f"{run.svc} ran it for {run.counter} as only an older version allows",
                        )
                        break

    def steps_back(self) -> None:
        """CONFIG: within a life of its process a counter never goes back; nor uses what nobody sent."""
        by: dict[tuple[str, int], list[Try]] = defaultdict(list)
        for one in self.tries.values():
            if one.status in (202, 404):
                by[one.counter, one.life].append(one)
        keys = self.valid()
        for (counter, _), tries in by.items():
            tries.sort(key=lambda one: one.ended)
            newest: list[tuple[float, int]] = []  # when it was seen, and at least which version
            for one in tries:
                # a counter that was started anew between sending and answer is two lives
                fits = [
                    self.confs[k]["gen"]
                    for k in keys
                    if self.conf_sent[k] <= one.ended
                    and (self.find(k, one.host, one.target) is not None) == (one.status == 202)
                ]
                if not fits:
                    self.breach(
                        "CONFIG",
                        one.ended,
                        one.id,
                        f"{counter} answered {one.status}, as no valid version allows",
                    )
                    continue
                for seen, gen in newest:
                    if one.at > seen + self.bounds["revert"] and max(fits) < gen:
                        slowed = any(
                            s.kind in ("stutter", "late", "lossy", "slow_disk")
                            and counter in s.nodes
                            and s.begin <= one.at <= s.end + self.contact
                            for s in self.spells
                        )
                        if not slowed or one.at > seen + SLOW * self.bounds["revert"]:
                            self.breach(
                                "CONFIG",
                                one.at,
                                one.id,
                                f"{counter} had version {gen} at {seen:.3f} s and "
                                f"answered {one.status} as {max(fits)} at most does",
                            )
                            break
                if not newest or min(fits) > newest[-1][1]:
                    newest.append((one.ended, min(fits)))

    def read_back(self) -> None:
        if self.conf_read is None:
            return
        at, key = self.conf_read
        acked = [k for k in self.conf_acked if self.confs[k]["valid"]]
        newest = max((self.confs[k]["gen"] for k in acked), default=-1)
        if key == -2:
            if not any(s.end >= at - self.contact - 2.0 for s in self.spells) and newest >= 0:
                self.breach("CONFIG", at, str(newest), "the configuration does not come when it is read back")
        elif key == -1:
            self.breach("CONFIG", at, str(newest), "what is read back is nothing that was sent")
        elif self.confs[key]["gen"] < newest:
            rule = "LOST" if self.closing_at < at else "CONFIG"
            self.breach(
                rule,
                at,
                str(newest),
                f"version {self.confs[key]['gen']} is read back, {newest} was acknowledged",
            )

    def numbers(self) -> None:
        """NUMBER: one content is confirmed under a number, and never refused from then on."""
        confirmed: dict[int, tuple[int, float]] = {}
        for key, at in sorted(self.conf_acked.items(), key=lambda item: item[1]):
            if key in self.superseded or not self.confs[key]["valid"]:
                continue
            known, since = confirmed.setdefault(self.confs[key]["gen"], (key, at))
            if known != key:
                self.breach(
                    "NUMBER",
                    at,
                    str(self.confs[key]["gen"]),
                    f"a second content is confirmed, the first was at {since:.3f} s",
                )
        for at, key, status in self.refusals:
            acked = self.conf_acked.get(key, INF)
            if acked < at and key not in self.superseded:
                self.breach(
                    "NUMBER",
                    at,
                    str(self.confs[key]["gen"]),
                    f"refused with {status}, and was acknowledged at {acked:.3f} s",
                )

    def seen_old(self) -> None:
        """STALE: nobody hands out an older configuration than was acknowledged before it was asked."""
        for at, key, began, office in self.seen:
            acked = [
                self.confs[k]["gen"]
                for k, t in self.conf_acked.items()
                if t < began and self.confs[k]["valid"] and k not in self.superseded
            ]
            newest = max(acked, default=-1)
            if key == -1 or self.confs[key]["gen"] < newest:
                has = "nothing that was sent" if key == -1 else f"version {self.confs[key]['gen']}"
                self.breach("STALE", at, str(newest), f"{office} hands out {has}, {newest} was acknowledged")

    def drained_alone(self) -> None:
        """ALONE: no office confirms a drain that has long been cut off from most of the others."""
        offices = [node for node, role in self.roles.items() if role == "office"]
        for worker, acks in self.drains.items():
            for at, office in acks:
                cut = {
                    other
                    for other in offices
                    if other != office
                    and any(
                        s.begin < at - ALONE and s.end > at and self.both(s, office, other)
                        for s in self.spells
                    )
                }
                if 2 * (len(offices) - len(cut)) <= len(offices):
                    why = f"{office} confirms a drain, cut off from {sorted(cut)}"
                    self.breach("ALONE", at, worker, why)

    @staticmethod
    def both(spell: Spell, a: str, b: str) -> bool:
        """Whether it cuts them off both ways."""
        return spell.kind in ("cut", "alone") and ((a, b) in spell.ways or (b, a) in spell.ways)

    def acknowledged(self) -> None:
        """ACKS: with the core settled a valid configuration, and a drain, is acknowledged in time."""
        ack = self.bounds["ack"]
        for key, sent in self.conf_sent.items():
            gen = self.confs[key]["gen"]
            rivals = [other for other in self.conf_sent if other != key and self.confs[other]["gen"] == gen]
            if key in self.conf_refused and any(other not in self.conf_refused for other in rivals):
                continue  # its number went to another content
            if (
                self.confs[key]["valid"]
                and self.conf_acked.get(key, INF) > sent + ack + 0.1
                and (sent + ack + 0.1 < self.history["ended"] and self.settled(sent, sent + ack + 0.1))
            ):
                self.breach("ACKS", sent, str(self.confs[key]["gen"]), f"not acknowledged within {ack:g} s")
        late = [
            w
            for w, at in self.draining.items()
            if self.settled(at, at + ack)
            and at + ack < self.history["ended"]
            and min((t for t, _ in self.drains.get(w, [])), default=INF) > at + ack
            and self.gone.get(w, INF) > at + ack
        ]
        if late and len(late) >= max(3, len(self.draining) / 5):
            self.breach("ACKS", self.draining[late[0]], late[0], f"{len(late)} drains were not acknowledged")

    def cut_off(self) -> None:
        """LOST: a request whose connection ended without an answer, around planned work alone."""
        loss, grace = self.bounds["loss"], self.bounds["grace"]
        for one in self.tries.values():
            if not one.broke or not one.was_read or self.unplanned(one.at - self.contact, one.ended):
                continue
            planned = any(
                s.planned and one.counter in s.nodes and s.begin <= one.ended <= s.begin + grace + 1.0
                for s in self.spells
            )
            if planned and (self.of[one.id] or one.ended > one.at + loss):
                self.breach(
                    "LOST", one.ended, one.id, f"{one.counter} read it whole, and its connection ended"
                )

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

    def early(self) -> None:
        """EARLY: no run before its delay is over; and 202 does not wait for a run."""
        late = told = 0
        for one in self.tries.values():
            runs = [run for run in self.of[one.id] if run.began < INF]
            if not runs:
                continue
            first = min(runs, key=lambda run: run.began)
            # by the first try: that is when the client began to count
            # what a disk keeps goes by the time of day
            if (
                one.delay
                and first.began < one.at + one.delay - self.bounds["skew"]
                and not any(s.kind == "step" and s.begin <= first.began for s in self.spells)
            ):
                self.breach(
                    "EARLY",
                    first.began,
                    one.id,
                    f"run {first.began - one.at:.3f} s after it was sent, with a delay of {one.delay:g} s",
                )
            if one.status == 202 and first.ended < INF and first.ended > one.at + 0.08:
                late += 1
                told += one.ended < first.ended
        if late >= 5 and 2 * told < late:
            self.breach(
                "EARLY", self.from_, "", f"of {late} long first runs {told} were accepted before their end"
            )

    # ---- figures

    def report(self) -> dict[str, Any]:
        tries = [one for one in self.tries.values() if one.kind != "probe"]
        accepted = [one for one in self.tries.values() if one.status == 202]
        end = self.history["ended"]
        firsts: dict[int, Try] = {}
        for one in tries:
            firsts.setdefault(one.message, one)
        aims = [one for one in tries if one.status == 202 and one.ended <= firsts[one.message].at + 0.08]
        waiting = [one for one in accepted if not self.ended_by(one, end)]
        doubled = sum(
            max(0, sum(run.status == 200 and run.began < INF for run in self.of[one.id]) - 1)
            for one in accepted
        )
        late = 0
        for one in accepted:
            began = min((run.began for run in self.of[one.id]), default=INF)
            late += INF > began > firsts.get(one.message, one).at + one.delay + 0.6
        return {
            "day": self.history["day"],
            "seed": self.history["seed"],
            "messages": len(firsts),
            "accepted": len(accepted),
            "ended": len(accepted) - len(waiting),
            "waiting": len(waiting),
            "lost": sum(b.rule == "LOST" for b in self.breaches),
            "doubled": doubled,
            "late": late,
            "in_aim": round(len(aims) / len(firsts), 4) if firsts else 0.0,
            "broken": [{"rule": b.rule, "at": b.at, "message": b.id, "why": b.why} for b in self.breaches],
        }


def judge(history: dict[str, Any]) -> dict[str, Any]:
    return Judge(history).judge()
