"""What was promised of messages: REFUSED, UNASKED, ROUTE, TWICE, AGAIN, MIXED, LOST, COPIES, EARLY."""

from __future__ import annotations

from collections import defaultdict

from opalwick.lab.post.history import INF, History

PROMISES = (408, 421, 429, 503)
SAID = 0.01  # s that a word of an end is on its way to the depots, and a delivery to its worker
COPIES = 2  # as `survive.boxes` of all days is 1
REPAIRED = 13.0  # s without any trouble after which each copy that was lost stands elsewhere
CALM = 6.0  # s without any trouble after which nothing has a reason to wait


class MessageRules(History):
    """Each method is one rule."""

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

    def strangers(self) -> None:
        """MIXED: something is shown for a name that nobody was given, or is answered as if it were one."""
        for one in self.strange.values():
            if one.status > 0 and one.status not in (404, 503):
                self.breach("MIXED", one.at, one.name[:64], f"{one.counter} answers {one.status}: {one.kind}")

    def denied(self) -> None:
        """LOST: 404 for the state of a message whose end has not been over for longer than it is told."""
        for at, id, what, status, *_ in self.told:
            one = self.tries[id]
            if what == "state" and status == 404 and not self.ended_by(one, at - self.bounds["state"]):
                self.breach("LOST", at, id, "its state is asked by its name, and answered 404")

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
