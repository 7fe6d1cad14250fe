"""Clients: open-loop arrivals, retries and cancellations."""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Callable
from itertools import accumulate
from typing import Any, Protocol

from opalwick.lab.agenda import Agenda, Entry
from opalwick.lab.day import Day
from opalwick.lab.draws import Draws, spread
from opalwick.lab.ledger import Ledger


class WorkItem:
    """A work item of a client, over all its requests; times in seconds."""

    __slots__ = (
        "bad",
        "category",
        "customer",
        "due_at",
        "expiry_at",
        "first_at",
        "follows",
        "hint",
        "key",
        "number",
        "over",
        "patience",
        "subject",
        "tries",
        "work",
        "worth",
        "zone",
    )
    number: int
    category: int  # index among the scenario's categories
    zone: int
    customer: int  # -1: none
    subject: int  # 0: none
    work: float  # true duration in seconds on a slot of speed 1
    hint: float  # the client's estimate of `work`; 0: none
    key: str | None
    first_at: float
    expiry_at: float
    due_at: float
    worth: float
    patience: float  # seconds until the client cancels
    follows: bool  # whether it follows the advice when to retry
    bad: str  # kind of a misbehaving client: "again", "once"; "": none

    def __init__(self) -> None:
        self.tries, self.over = 0, False


class ClientRequest:
    """One request of a client. `id` is sixteen hexadecimal digits."""

    __slots__ = ("ended", "id", "leaving", "recorded", "scheduler", "sent_at", "transport_state", "want")

    def __init__(self, id: str, want: WorkItem, scheduler: int) -> None:
        self.id, self.want, self.scheduler = id, want, scheduler
        self.recorded = self.ended = False
        self.leaving: Entry | None = None
        self.sent_at = 0.0
        self.transport_state: Any = None  # state of the transport


class Transport(Protocol):
    """Transport of requests to schedulers, virtual or on sockets."""

    def ask(self, attempt: ClientRequest) -> None: ...

    def leave(self, attempt: ClientRequest) -> None: ...


class LoadBalancer:
    """Load balancer: spreads requests over the schedulers of a zone that it believes to be up."""

    DETECTION = 2.0  # seconds until it detects that a scheduler died: several probes

    def __init__(self, day: Day, agenda: Agenda, draw: random.Random) -> None:
        self.agenda, self.draw = agenda, draw
        self.zones = [
            [i for i in range(day.schedulers) if i % len(day.zones) == zone] for zone in range(len(day.zones))
        ]
        self.up = [True] * day.schedulers
        self.starts = [0] * day.schedulers

    def pick(self, zone: int, but: int = -1) -> int | None:
        """A scheduler other than `but`; None where none is up."""
        candidates = [i for i in self.zones[zone] if self.up[i] and i != but]
        if not candidates:  # fall back to other zones
            candidates = [i for i, up in enumerate(self.up) if up and i != but]
        return candidates[int(self.draw.random() * len(candidates))] if candidates else None

    def lost(self, scheduler: int) -> None:
        self.agenda.after(self.DETECTION, self._mark_down, scheduler, self.starts[scheduler])

    def _mark_down(self, scheduler: int, start: int) -> None:
        # one that restarted meanwhile must not be marked down for the rest of the scenario
        if self.starts[scheduler] == start:
            self.up[scheduler] = False

    def _set(self, scheduler: int, up: bool) -> None:
        self.up[scheduler] = up

    def back(self, scheduler: int) -> None:
        self.starts[scheduler] += 1
        self.up[scheduler] = True


class Clients:
    """All clients of a scenario; the transport reports what happens to their requests."""

    def __init__(self, day: Day, agenda: Agenda, ledger: Ledger, draws: Draws, names: list[str]) -> None:
        self.day, self.agenda, self.ledger, self.draws, self.names = day, agenda, ledger, draws, names
        self.front = LoadBalancer(day, agenda, draws.of("front"))
        self.carrier: Transport | None = None
        self.tries: dict[str, ClientRequest] = {}  # open
        self.want_count = 0
        self.skipped = 0  # sends for which no scheduler was up
        self.heavier, self.heavier_share = 1.0, 0.0
        self.impatient = 0.0  # additional share of clients that cancel early
        self.most = math.inf  # maximum number of work items, which `shrink` lowers
        self.popularity_sums = list(
            accumulate((i + 1) ** -day.load.popularity for i in range(day.load.subjects))
        )
        self.customer_sums = list(accumulate(c.share for c in day.customers))
        self.on_want: Callable[[WorkItem], None] = lambda _: None

    def begin(self) -> None:
        day = self.day
        total, rate = sum(k.share for k in day.categories), day.rate()
        for c, kind in enumerate(day.categories):
            for zone in range(len(day.zones)):
                weight = 1.0 + (day.load.skew if zone == 0 and len(day.zones) > 1 else 0.0)
                share = weight / (len(day.zones) + (weight - 1.0))
                if kind.share:
                    self.stream(
                        f"arrivals/{c}/{zone}", c, zone, rate * kind.share / total * share, day.length
                    )

    def stream(
        self,
        purpose: str,
        category: int,
        zone: int,
        rate: float,
        until: float,
        shaped: bool = True,
        bad: str = "",
    ) -> None:
        """Arrivals of one category in one zone: a Poisson process, thinned to the shape of the load."""
        draw = self.draws.of(purpose)
        peak = self._peak() if shaped else 1.0

        def next() -> None:
            self.agenda.after(draw.expovariate(rate * peak), arrive)

        def arrive() -> None:
            if self.agenda.now >= until:
                return
            accepted = draw.random() * peak < (self._shape(self.agenda.now) if shaped else 1.0)
            if accepted:
                self._arrive(draw, category, zone, bad)
            next()

        if rate > 0:
            next()

    def _peak(self) -> float:
        swing = self.day.load.swing
        return {"steady": 1.0, "wave": 1.0 + swing, "bursts": 1.0 + 4.0 * swing, "onoff": 1.0 + swing}[
            self.day.load.shape
        ]

    def _shape(self, now: float) -> float:
        """The rate relative to its mean."""
        shape, swing = self.day.load.shape, self.day.load.swing
        phase = now / self.day.load.period
        if shape == "wave":
            return 1.0 + swing * math.sin(2.0 * math.pi * phase)
        if shape == "onoff":
            return 1.0 + (swing if phase % 1.0 < 0.5 else -swing)
        if shape == "bursts":  # a tenth of the time at a high rate, the rest below the mean
            return 1.0 + 4.0 * swing if phase % 1.0 < 0.1 else 1.0 - 0.4 * swing / 0.9
        return 1.0

    def _arrive(self, draw: random.Random, category: int, zone: int, bad: str) -> None:
        day, kind, now = self.day, self.day.categories[category], self.agenda.now
        want = WorkItem()
        work = max(1e-4, spread(draw, kind.work, kind.spread))
        # all values are drawn whether they are used or not: a setting must not shift later draws
        hint, customer_draw, subject = spread(draw, 1.0, 0.4), draw.random(), draw.random()
        leave_draw, patience, key, follows = draw.random(), draw.random(), draw.getrandbits(64), draw.random()
        if self.heavier_share and self.draws.of("heavy").random() < self.heavier_share:
            work *= self.heavier
        if self.want_count >= self.most:
            return
        self.want_count += 1
        want.number, want.category, want.zone, want.bad = self.want_count, category, zone, bad
        want.work = work
        want.hint = {"rough": work * hint, "exact": work, "none": 0.0}[day.load.hints]
        want.customer = self._sample(self.customer_sums, customer_draw)
        want.subject = self._sample(self.popularity_sums, subject) + 1
        want.key = f"{key:016x}" if kind.effect == "ticketed" else None
        want.first_at, want.expiry_at = now, now + kind.expiry
        want.due_at = min(now + kind.due + kind.stretch * work, want.expiry_at)
        want.worth = 0.0 if bad else kind.credit * work  # misbehaving clients count for the rules alone
        want.follows = follows < day.clients.honour
        leaving = leave_draw < day.clients.leave + self.impatient
        want.patience = -math.log(1.0 - patience) * day.clients.patience if leaving else math.inf
        if bad == "once":
            want.patience = 0.001  # it sends and leaves at once
        self.on_want(want)
        self._send(want)

    @staticmethod
    def _sample(cumulative: list[float], draw: float) -> int:
        """The index among cumulative sums for `x` from 0 to 1; -1 where there are none."""
        if not cumulative:
            return -1
        return min(bisect(cumulative, draw * cumulative[-1]), len(cumulative) - 1)

    def _send(self, want: WorkItem, but: int = -1) -> None:
        now = self.agenda.now
        if want.over or now >= want.expiry_at - 0.005:
            return
        scheduler = self.front.pick(want.zone, but)
        if scheduler is None:
            self.skipped += 1
            self._retry(want, 0.0)
            return
        want.tries += 1
        # the id is opaque and differs for each request
        id = f"{(want.number << 8 | min(255, want.tries)) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF:016x}"
        attempt = self.tries[id] = ClientRequest(id, want, scheduler)
        attempt.sent_at = now
        if want.patience < math.inf:
            attempt.leaving = self.agenda.at(want.first_at + want.patience, self._leave, attempt)
        # an unanswered request is cancelled in the end, or a hung scheduler would hold it for ever
        self.agenda.at(want.expiry_at + 1.0, self._leave, attempt)
        assert self.carrier is not None
        self.carrier.ask(attempt)

    def _leave(self, attempt: ClientRequest) -> None:
        if attempt.ended:
            return
        assert self.carrier is not None
        early = self.agenda.now < attempt.want.expiry_at
        if early:
            attempt.want.over = True
            if attempt.recorded:
                self.ledger.note(self.agenda.now, "gone", attempt.id, "left")
        self._end(attempt)
        self.carrier.leave(attempt)

    # ---- calls by the transport

    def accepted(self, attempt: ClientRequest) -> None:
        """A scheduler has accepted the whole request."""
        if attempt.recorded or attempt.ended:
            return
        attempt.recorded = True
        want = attempt.want
        self.ledger.note(
            self.agenda.now,
            "asked",
            attempt.id,
            want.number,
            self.names[attempt.scheduler],
            want.category,
            want.customer,
            round(want.expiry_at * 1e6),
            round(want.due_at * 1e6),
            round(want.worth, 9),
            want.key,
            round(want.work * 1e6),
        )

    def answered(
        self, attempt: ClientRequest, final: str, result: Any = None, come_back_in: float = 0.0
    ) -> None:
        if attempt.recorded:  # also a second answer, which the ledger must show
            self.ledger.note(self.agenda.now, "answered", attempt.id, final, result, round(come_back_in, 6))
        if attempt.ended:
            return
        self._end(attempt)
        want = attempt.want
        if final == "finished":
            want.over = True
        elif final == "deferred" or self.day.categories[want.category].effect == "rerunnable":
            self._retry(want, come_back_in if want.follows else 0.0)

    def not_connected(self, attempt: ClientRequest) -> None:
        """The connection failed before anything was sent, so another scheduler is tried at once."""
        if attempt.ended:
            return
        self._end(attempt)
        attempt.want.tries -= 1
        self.agenda.after(0.002, self._send, attempt.want, attempt.scheduler)

    def cut(self, attempt: ClientRequest, crashed: bool) -> None:
        """Its connection ended without an answer."""
        if attempt.ended:
            return
        if attempt.recorded:
            self.ledger.note(self.agenda.now, "gone", attempt.id, "crash" if crashed else "broken")
        self._end(attempt)
        if self.day.categories[attempt.want.category].effect == "rerunnable":
            self._retry(attempt.want, 0.0)

    def _end(self, attempt: ClientRequest) -> None:
        attempt.ended = True
        self.tries.pop(attempt.id, None)
        if attempt.leaving is not None:
            attempt.leaving.cancel()

    def _retry(self, want: WorkItem, advice: float) -> None:
        if want.over or want.bad == "once" or (want.tries > self.day.clients.retries and not want.bad):
            return
        pause = self.day.clients.backoff * 2 ** min(want.tries - 1, 6)
        draw = self.draws.of("backoff")
        self.agenda.after(
            0.002 if want.bad else max(advice, pause) * (1.0 + 0.2 * draw.random()), self._send, want
        )
