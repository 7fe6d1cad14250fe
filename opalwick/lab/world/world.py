"""The world of a day: fleet, list, clients, links and faults, on an agenda that some clock moves."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from opalwick.lab.agenda import Agenda
from opalwick.lab.day import Day
from opalwick.lab.draws import Draws, spread
from opalwick.lab.ledger import Ledger
from opalwick.lab.world.clients import Clients
from opalwick.lab.world.listing import Listing
from opalwick.lab.world.ways import Copies, LinkFaults
from opalwick.lab.world.worker import Marks, Worker

AGAIN = 0.2  # seconds after which a connection says again what was lost, doubled each time: Linux' least
LOST_MOST = 3.0 * AGAIN  # by two in a row; a third one, at usual shares one in some hundred, is passed over


class Processes(Protocol):
    """What a fault may do to schedulers; each by its number."""

    def kill(self, scheduler: int) -> None: ...

    def start(self, scheduler: int) -> None: ...

    def end(self, scheduler: int) -> None:
        """Planned: it is told to end, and given its time."""

    def pause(self, scheduler: int, still: bool) -> None: ...

    def move_list(self) -> None:
        """The list is to be had elsewhere, and schedulers are told where."""

    def cut(self, scheduler: int, worker: str) -> None:
        """What is open on this link is reset, or falls silent by the link's state."""


class Links:
    """What is wrong with the ways: between a scheduler (number) and a worker (name), and for words."""

    def __init__(self) -> None:
        self.silent: dict[tuple[int, str], int] = {}
        self.refused: dict[tuple[int, str], int] = {}
        self.mute: dict[tuple[int, str], int] = {}  # requests come through, answers do not
        self.resets: dict[tuple[int, str], float] = {}  # share of requests cut half-way
        self.delay: dict[tuple[int, str], float] = {}  # seconds more, one way
        self.loss = self.doubled = 0.0  # shares of words
        self.late = 0.0  # seconds that a word may be late, at most
        self.apart: dict[tuple[int, int], int] = {}  # schedulers that do not hear each other

    def fate(self, one: int, other: int, draw: random.Random, loss: float) -> list[float]:
        """Of a word between two schedulers: by how much each of its copies is late; none: it is lost."""
        lost, doubled, late = draw.random(), draw.random(), draw.random() * self.late
        if (one, other) in self.apart or lost < loss + self.loss:
            return []
        return [late, late + 0.5 * self.late] if doubled < self.doubled else [late]


class World:
    def __init__(self, day: Day, seed: int, agenda: Agenda | None = None) -> None:
        self.day, self.seed = day, seed
        self.agenda = agenda or Agenda()
        self.ledger, self.draws, self.marks = Ledger(), Draws(seed), Marks()
        self.names = [f"s{i}" for i in range(day.schedulers)]
        self.links, self.link_faults = Links(), LinkFaults()
        self.workers: dict[str, Worker] = {}
        self.count = 0
        for kind, model in enumerate(day.models):
            for _ in range(model.count):
                self.add(kind)
        self.listing = Listing(day, self.agenda, self.ledger, self.names, list(self.workers.values()))
        self.clients = Clients(day, self.agenda, self.ledger, self.draws, self.names)
        self.clients.most = day.load.most or float("inf")
        self.processes: Processes | None = None
        self.lossy = 0.0  # share of what is lost on ways between zones
        self.clock_off = [0.0] * day.schedulers  # by scheduler: its wall clock against the workers'
        self.clock_rate = [1.0] * day.schedulers  # on the virtual clock: how fast its own runs
        self.hand_offs = 0
        self.shaded: list[tuple[str, float, float]] = []  # faults as they were, for the report
        self.added: list[Worker] = []
        self.on_push: Callable[[Worker, float], None] = lambda *_: (
            None
        )  # a cold one, by what share of its most

    def add(self, kind: int, cold: bool = False) -> Worker:
        model, i = self.day.models[kind], self.count
        self.count += 1
        zone = i % len(self.day.zones)
        draw = self.draws.of(f"worker/{i}")
        speed = max(0.05, spread(draw, model.speed, model.speed_spread))
        # cells lie within a zone, as buildings do
        cell = zone + len(self.day.zones) * (i // (len(self.day.zones) * model.cell_size))
        worker = Worker(
            f"w{i}",
            i + 1,
            model,
            kind,
            zone,
            cell,
            speed,
            self.day,
            self.agenda,
            self.ledger,
            draw,
            self.marks,
        )
        worker.on_fall = self.fell
        worker.on_push = lambda w, share: self.on_push(w, share)
        self.workers[worker.name] = worker
        if cold:
            worker.rise()
            self.added.append(worker)
            self.listing.change(worker, "ready")
        return worker

    # ---- the life of workers

    def fell(self, worker: Worker) -> None:
        self.crash(worker, 3.0)

    def crash(self, worker: Worker, back_in: float | None) -> None:
        """It dies without a word, and comes back, cold, unless `back_in` is none."""
        if not worker.alive:
            return
        worker.die()
        self.listing.change(worker, "gone", self.day.listing.notice)
        if back_in is not None:
            self.agenda.after(back_in, self.rise, worker)

    def rise(self, worker: Worker) -> None:
        if not worker.alive:
            worker.rise()
            self.listing.change(worker, "ready")

    def drain(self, worker: Worker, back_in: float | None) -> None:
        """Planned: it is listed as draining, finishes what runs, ends; and comes back, cold."""
        if not worker.alive or worker.leaving:
            return
        self.listing.change(worker, "draining")

        def empty(_: Worker) -> None:
            worker.on_empty = None
            # it stays until all that may still send have heard, and some time more
            self.agenda.after(self.day.listing.lag + 4.0 * self.day.rules.grace, self.gone, worker, back_in)

        worker.on_empty = empty
        worker.drain()

    def gone(self, worker: Worker, back_in: float | None) -> None:
        if not worker.alive or not worker.leaving:
            return
        worker.die()
        self.listing.change(worker, "gone")
        if back_in is not None:
            self.agenda.after(back_in, self.rise, worker)

    # ---- the way

    def way(self, one: int, other: int, draw: random.Random) -> float:
        """Seconds one way between two zones."""
        mean = self.day.network.same if one == other else self.day.network.cross
        way = mean * (1.0 + self.day.network.jitter * draw.random())
        if self.lossy and one != other:
            again = AGAIN
            while draw.random() < self.lossy and again < LOST_MOST:
                way, again = way + again, 2.0 * again
        return way

    def word(self, one: int, other: int, octets: bytes, draw: random.Random) -> Copies:
        """What becomes of a word between two schedulers."""
        fate = self.links.fate(one, other, draw, self.day.network.loss)
        zones = len(self.day.zones)
        if self.lossy and one % zones != other % zones and draw.random() < self.lossy:
            return []
        if not self.link_faults.active:
            return [(late, octets) for late in fate]
        now = self.agenda.now
        return [
            (late + more, changed)
            for late in fate
            for more, changed in self.link_faults.apply(now, one, other, octets, draw)
        ]

    def number(self) -> int:
        self.hand_offs += 1
        return self.hand_offs

    # ---- the day

    def head(self, policy: str, clock: str, slack: float, held: float) -> dict[str, Any]:
        """The head of the history. `slack` and `held` are the judge's tolerances in seconds."""
        day = self.day
        return {
            "title": day.title,
            "seed": self.seed,
            "policy": policy,
            "clock": clock,
            "length": float(day.length),
            "ended": round(self.agenda.now * 1e6),
            "rules": {
                "grace": float(day.rules.grace),
                "slack": slack,
                "held": held,
                "cancel": day.allow.cancel,
            },
            "categories": [
                {
                    "name": k.name,
                    "effect": k.effect,
                    "group": k.group,
                    "window": float(k.window),
                    "tardy_credit": k.tardy_credit,
                }
                for k in day.categories
            ],
            "workers": {w.name: [w.zone, w.cell] for w in self.workers.values()},
            "faults": [list(shade) for shade in self.shaded],
        }
