"""Environment of the schedulers: workers, list service, clients, links and faults, driven by an agenda."""

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
from opalwick.lab.world.worker import Deduplication, Worker

RETRANSMIT = 0.2  # seconds until a connection retransmits, doubled each time: the minimum of Linux
# delay by two losses in a row; a third one, at usual shares one in some hundred, is not simulated
LOST_MOST = 3.0 * RETRANSMIT


class Processes(Protocol):
    """Fault injection into scheduler processes, each by its number."""

    def kill(self, scheduler: int) -> None: ...

    def start(self, scheduler: int) -> None: ...

    def end(self, scheduler: int) -> None:
        """Planned shutdown: it is signalled to end and may finish its work."""

    def pause(self, scheduler: int, still: bool) -> None: ...

    def move_list(self) -> None:
        """Moves the list service to a new address and reconfigures the schedulers."""

    def cut(self, scheduler: int, worker: str) -> None:
        """Resets or silences the open connections of this link, as the link's state demands."""


class Links:
    """Faults on links: between a scheduler (number) and a worker (name), and for peer messages."""

    def __init__(self) -> None:
        self.silent: dict[tuple[int, str], int] = {}
        self.refused: dict[tuple[int, str], int] = {}
        self.mute: dict[tuple[int, str], int] = {}  # requests arrive, answers do not
        self.resets: dict[tuple[int, str], float] = {}  # share of requests that are reset half-way
        self.delay: dict[tuple[int, str], float] = {}  # additional seconds, one way
        self.loss = self.doubled = 0.0  # shares of peer messages
        self.late = 0.0  # maximum delay of a peer message, in seconds
        # (sender, receiver) without a link between schedulers
        self.partitioned: dict[tuple[int, int], int] = {}

    def delays(self, sender: int, receiver: int, draw: random.Random, loss: float) -> list[float]:
        """Delays in seconds of each copy of a message between two schedulers; none: it is lost."""
        loss_draw, doubled, delay = draw.random(), draw.random(), draw.random() * self.late
        if (sender, receiver) in self.partitioned or loss_draw < loss + self.loss:
            return []
        return [delay, delay + 0.5 * self.late] if doubled < self.doubled else [delay]


class World:
    """The environment of one scenario; the same seed gives the same draws."""

    def __init__(self, day: Day, seed: int, agenda: Agenda | None = None) -> None:
        self.day, self.seed = day, seed
        self.agenda = agenda or Agenda()
        self.ledger, self.draws, self.marks = Ledger(), Draws(seed), Deduplication()
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
        self.lossy = 0.0  # share of packets lost on links between zones
        # by scheduler: offset in seconds of its wall clock from the workers'
        self.clock_off = [0.0] * day.schedulers
        self.clock_rate = [1.0] * day.schedulers  # on the virtual clock: rate of its own clock
        self.attempt_count = 0
        self.shaded: list[tuple[str, float, float]] = []  # kind, start and end of each fault, for the report
        self.added: list[Worker] = []
        # called with a cold worker that is loaded, and the share of what it can bear
        self.on_push: Callable[[Worker, float], None] = lambda *_: None

    def add(self, kind: int, cold: bool = False) -> Worker:
        """Adds a worker of a model by number; a cold one is started now."""
        model, i = self.day.models[kind], self.count
        self.count += 1
        zone = i % len(self.day.zones)
        draw = self.draws.of(f"worker/{i}")
        speed = max(0.05, spread(draw, model.speed, model.speed_spread))
        # a cell lies within one zone
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
        worker.on_fall = self.restart_after_overload
        worker.on_push = lambda w, share: self.on_push(w, share)
        self.workers[worker.name] = worker
        if cold:
            worker.rise()
            self.added.append(worker)
            self.listing.change(worker, "ready")
        return worker

    # ---- workers start and end

    def restart_after_overload(self, worker: Worker) -> None:
        self.crash(worker, 3.0)

    def crash(self, worker: Worker, back_in: float | None) -> None:
        """Ends it without notice; restarts it, cold, after `back_in` seconds unless that is None."""
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
        """Planned end: it is listed as draining and finishes what runs.

        Unless `back_in` is None it restarts, cold, after as many seconds.
        """
        if not worker.alive or worker.leaving:
            return
        self.listing.change(worker, "draining")

        def when_empty(_: Worker) -> None:
            worker.on_empty = None
            # it stays until all senders have the update, with a margin
            self.agenda.after(self.day.listing.lag + 4.0 * self.day.rules.grace, self.gone, worker, back_in)

        worker.on_empty = when_empty
        worker.drain()

    def gone(self, worker: Worker, back_in: float | None) -> None:
        if not worker.alive or not worker.leaving:
            return
        worker.die()
        self.listing.change(worker, "gone")
        if back_in is not None:
            self.agenda.after(back_in, self.rise, worker)

    # ---- links

    def latency(self, sender: int, receiver: int, draw: random.Random) -> float:
        """Latency between two zones, one way in seconds."""
        mean = self.day.network.same if sender == receiver else self.day.network.cross
        way = mean * (1.0 + self.day.network.jitter * draw.random())
        if self.lossy and sender != receiver:
            pause = RETRANSMIT
            while draw.random() < self.lossy and pause < LOST_MOST:
                way, pause = way + pause, 2.0 * pause
        return way

    def word(self, sender: int, receiver: int, data: bytes, draw: random.Random) -> Copies:
        """Copies of a peer message that arrive, each with its delay in seconds."""
        delays = self.links.delays(sender, receiver, draw, self.day.network.loss)
        zones = len(self.day.zones)
        if self.lossy and sender % zones != receiver % zones and draw.random() < self.lossy:
            return []
        if not self.link_faults.active:
            return [(delay, data) for delay in delays]
        now = self.agenda.now
        return [
            (delay + more, changed)
            for delay in delays
            for more, changed in self.link_faults.apply(now, sender, receiver, data, draw)
        ]

    def new_attempt_number(self) -> int:
        """The number of a new delivery attempt."""
        self.attempt_count += 1
        return self.attempt_count

    # ---- history

    def head(self, policy: str, clock: str, slack: float, held: float) -> dict[str, Any]:
        """Header of the history. `slack` and `held` are the judge's tolerances in seconds."""
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
            "faults": [list(span) for span in self.shaded],
        }
