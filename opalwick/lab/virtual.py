"""The virtual clock: one world and as many processes as the day has schedulers, on one agenda."""

from __future__ import annotations

from typing import Any

from opalwick.lab.baselines import maker
from opalwick.lab.day import Day
from opalwick.lab.faults import begin
from opalwick.lab.proxy import Sidecar
from opalwick.lab.scheduler import LONG_AGO, START, Make, Process, Scheduler, Start
from opalwick.lab.world.clients import ClientRequest
from opalwick.lab.world.listing import Listed
from opalwick.lab.world.world import LOST_MOST, World

_PHASES = {"gone": 0, "ready": 1, "draining": 2}


class Stage:
    """All schedulers of a day; what the world asks of carrier and processes."""

    def __init__(self, day: Day, seed: int, make: Make, process: Start = Scheduler) -> None:
        self.day, self.make, self.process = day, make, process
        self.world = World(day, seed)
        self.world.clients.carrier = self
        self.world.processes = self
        self.starts = [0] * day.schedulers
        first = [self.row(0, entry) for entry in self.world.listing.entries.values()]
        self.running: list[Process | None] = [None] * day.schedulers
        self.kept = [first] * day.schedulers  # the list as each last had it
        for i in range(day.schedulers):
            self.start(i)

    def row(self, scheduler: int, entry: Listed) -> tuple:
        w = entry.worker
        born = (START + entry.born + self.world.clock_off[scheduler]) if entry.born >= 0 else LONG_AGO
        return w.name, w.number, w.zone, w.kind, w.cell, _PHASES[entry.phase], born, None, 1.0

    # ---- carrier

    def ask(self, attempt: ClientRequest) -> None:
        way = self.day.network.client
        found = self.running[attempt.scheduler]
        # a process that has closed its listener refuses
        if found is None or found.leaving:
            self.world.agenda.after(2.0 * way, self.world.clients.not_connected, attempt)
            return
        self.world.agenda.after(way, self._arrive, attempt, found)

    def _arrive(self, attempt: ClientRequest, found: Scheduler) -> None:
        if not found.alive:
            self.world.clients.not_connected(attempt)
            return
        attempt.transport_state = found
        if not attempt.ended:
            self.world.clients.accepted(attempt)
            # from here on it lies in the kernel, whether the process runs or not
            found.event(found.ask, attempt, self.world.agenda.now)

    def leave(self, attempt: ClientRequest) -> None:
        if attempt.transport_state is not None:
            attempt.transport_state.after(self.day.network.client, attempt.transport_state.leave, attempt)

    # ---- words

    def word(self, sender: Any, to: int, octets: bytes) -> None:
        draw = sender.words
        if not (copies := self.world.word(sender.i, to, octets, draw)):
            return
        way = self.world.latency(sender.zone, to % len(self.day.zones), draw)
        for late, said in copies:
            self.world.agenda.after(way + late, self._heard, to, sender.i, said)

    def _heard(self, to: int, peer: int, octets: bytes) -> None:
        if (found := self.running[to]) is not None:
            found.event(found.heard, peer, octets)

    # ---- processes

    def start(self, i: int) -> None:
        if self.running[i] is None:
            self.starts[i] += 1
            self.world.ledger.note(self.world.agenda.now, "up", self.world.names[i])
            self.world.listing.forget(i)
            self.running[i] = self.process(self, i, self.kept[i], self.starts[i])
            self.world.clients.front.back(i)

    def _over(self, i: int, crashed: bool) -> None:
        found = self.running[i]
        if found is None:
            return
        self.kept[i], self.running[i] = found.known, None
        found.die(crashed)
        self.world.ledger.note(self.world.agenda.now, "down", self.world.names[i])
        self.world.listing.drop(i)

    def kill(self, i: int) -> None:
        if self.running[i] is not None:
            self._over(i, True)
            self.world.clients.front.lost(i)

    def end(self, i: int) -> None:
        found = self.running[i]
        if found is None or found.leaving:
            return
        # as the program's limits: all is answered 0.4 s after the longest expiry or three seconds
        leave = min(max(k.expiry for k in self.day.categories), 3.0) + 0.4
        agenda = self.world.agenda
        found.event(found.put, "closing", found.now() + leave)
        # the front sends elsewhere after 0.3 s; until then connections are still taken
        agenda.after(0.3, self.world.clients.front._set, i, False)
        agenda.after(0.5, setattr, found, "leaving", True)
        agenda.after(leave + 0.1, self._ended, i, found)

    def _ended(self, i: int, found: Scheduler) -> None:
        if self.running[i] is found:
            self._over(i, False)
            self.world.agenda.after(0.4, self.start, i)

    def pause(self, i: int, still: bool) -> None:
        if (found := self.running[i]) is not None and found.still != still:
            self.world.ledger.note(
                self.world.agenda.now, "paused" if still else "resumed", self.world.names[i]
            )
            found.pause(still)

    def move_list(self) -> None:
        """The old place ends what it has, and each scheduler is told of the new one."""
        for i, found in enumerate(self.running):
            if found is not None:
                self.world.listing.drop(i)
                found.after(0.01, found.put, "moved")

    def cut(self, scheduler: int, worker: str) -> None:
        """Kept connections on this link: a silent link holds them open, a refusing one has them reset."""
        found = self.running[scheduler]
        if isinstance(found, Scheduler) and (scheduler, worker) not in self.world.links.silent:
            found.idle.pop(worker, None)


# seconds beyond the longest way that an answer may take to be written; the virtual clock needs none
SLACK = 0.002
# seconds past which an item that nobody works on counts as held back: a move and its check take up to a few
# tenths of a second where no note comes, and the door's own ticks some milliseconds
HELD = 0.6


def play(
    day: Day, seed: int, policy: str = "opalwick", make: Make | None = None, front: str = "http"
) -> dict[str, Any]:
    """The history of one day. Times are the virtual clock's."""
    stage = Stage(day, seed, make or maker(policy), Sidecar if front == "processor" else Scheduler)
    world = stage.world
    begin(world)
    # all that was taken comes to its end: the longest expiry and a second more
    world.agenda.run(day.length + max(k.expiry for k in day.categories) + 1.5)
    network = day.network
    longest = network.slowest() + slowest_link(day)
    slack = SLACK + 3.0 * longest + 2.0 * network.client
    head = world.head(policy, "virtual", slack, HELD)
    if front == "processor":
        # a proxy takes nothing back when another answer has come: the processor cannot ask it to
        head["rules"]["cancel"] = False
    return {**head, "front": front, "ledger": world.ledger}


def slowest_link(day: Day) -> float:
    """The most that a fault of the day adds to a link, in seconds."""
    lossy = LOST_MOST if any(f.kind == "lossy_ways" for f in day.faults) else 0.0
    return lossy + max((f.size or 0.05 for f in day.faults if f.kind == "slow_links"), default=0.0)
