"""A process on the virtual clock: a real reducer, and what stands between it and the world.

Each scheduler here stands for the program (`opalwick/program`): it feeds its reducer with the same inputs and
carries out the same effects, over links whose delays are drawn. What the program's sockets would make of a
trouble on a link is written down here once more, as the sockets themselves are not there.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, Protocol

from opalwick.interface import ListForm, Outcome, SchedulerConfig
from opalwick.lab.agenda import Entry
from opalwick.lab.day import Day
from opalwick.lab.settings import settings
from opalwick.lab.world.clients import ClientRequest
from opalwick.lab.world.listing import Listed
from opalwick.lab.world.worker import Job, Worker
from opalwick.lab.world.world import World
from opalwick.protocol.clients import hash_subject
from opalwick.protocol.settings import flatten, read_scheduler_config
from opalwick.routing.reducer import Answer, Close, Datagram, Final, Reducer, Send, Timer, Watch
from opalwick.transport.idle_time import IdleTime
from opalwick.transport.stalls import StallDetector

START = 1000.0  # the reducers' clock when the day begins: nought means "never" to the module
LONG_AGO = -1e9
_FINALS = {Final.FINISHED: "finished", Final.DEFERRED: "deferred", Final.WRITTEN_OFF: "written off"}
_OUTCOMES = {
    "done": Outcome.FINISHED,
    "failed": Outcome.ERROR,
    "turned": Outcome.FULL,
    "broke": Outcome.BROKEN,
}

# makes the reducer of a scheduler: the real one, one with a baseline in place of the module, or a mutant
Make = Callable[[SchedulerConfig, int, float, World, int], Reducer]


class Host(Protocol):
    """What a process stands on: all of a day."""

    day: Day
    world: World
    make: Make

    def row(self, scheduler: int, entry: Listed) -> tuple: ...

    def word(self, sender: Any, to: int, octets: bytes) -> None: ...


class Hand:
    """A hand-off on its way: the scheduler's end of it."""

    __slots__ = (
        "arrival",
        "at",
        "job",
        "kept",
        "key",
        "number",
        "over",
        "rested",
        "sent",
        "timer",
        "until",
        "worker",
    )

    def __init__(self, key: Any, number: int, worker: Worker) -> None:
        self.key, self.number, self.worker = key, number, worker
        self.job: Job | None = None
        self.sent = self.over = self.kept = False  # sent: its connection was up, and the request left
        self.at = 0.0  # when it was decided
        self.until = 0.0  # when its time ends, by its sender's clock
        self.rested = 0.0  # seconds that its kept connection had been idle
        self.arrival: Entry | None = None
        self.timer: Entry | None = None


class Process:
    """What runs, stands still and dies, with a clock of its own, whatever it does."""

    def __init__(self, stage: Host, i: int) -> None:
        self.stage, self.world, self.i = stage, stage.world, i
        self.agenda, self.zone = stage.world.agenda, i % len(stage.day.zones)
        self.alive, self.still, self.leaving = True, False, False
        self.rate = stage.world.clock_rate[i]
        self.later: list[tuple] = []  # what came while it stood still: it lies in its sockets
        self.overdue: list[tuple] = []  # its own timers that ran out meanwhile
        self.still_from = -1e9
        self.known: list[tuple] = []  # the list as it last had it

    def now(self) -> float:
        """By its own clock, which may be fast or slow."""
        return START + self.agenda.now * self.rate

    def event(self, call: Callable[..., None], *fields: Any) -> None:
        """What reaches the process: in order, once it runs."""
        if not self.alive:
            return
        if self.still:
            self.later.append((call, fields))
        else:
            call(*fields)

    def elapsed(self, call: Callable[..., None], *fields: Any) -> None:
        """A timer of its own ran out. What lies in its sockets comes first, as in the program."""
        if self.alive and self.still:
            self.overdue.append((call, fields))
        elif self.alive:
            call(*fields)

    def after(self, seconds: float, call: Callable[..., None], *fields: Any) -> Entry:
        return self.agenda.after(seconds, self.event, call, *fields)

    def timer(self, seconds: float, call: Callable[..., None], *fields: Any) -> Entry:
        """By its own clock."""
        return self.agenda.after(seconds / self.rate, self.elapsed, call, *fields)

    def pause(self, still: bool) -> None:
        """As SIGSTOP and SIGCONT: its clock goes on meanwhile."""
        self.still = still
        if still:
            self.still_from = self.agenda.now
            return
        later, overdue = self.later, self.overdue
        self.later, self.overdue = [], []
        self.resume((self.agenda.now - self.still_from) * self.rate, later + overdue)

    def resume(self, gap: float, calls: list[tuple]) -> None:
        """It stood still for `gap` seconds; `calls` have waited for it."""
        for call, fields in calls:
            self.event(call, *fields)

    def heard(self, peer: int, octets: bytes) -> None:
        raise NotImplementedError

    def put(self, kind: str, *fields: Any) -> None:
        """An input of the reducer's, where there is one."""

    def die(self, crashed: bool) -> None:
        self.alive = False


# stage, number, the list as last had, how often it has been started
Start = Callable[[Any, int, list[tuple], int], Process]


class Scheduler(Process):
    """One process of the program, from its start to its end."""

    def __init__(self, stage: Host, i: int, known: list[tuple], serial: int) -> None:
        super().__init__(stage, i)
        self.stood_to = -1e9  # the end of the last time that it stood still for long
        self.waking = self.old_words = False  # takes in what lay there, and decides nothing yet
        self.redone: set[Any] = set()  # work items of which a hand-off was decided anew for that
        terms = read_scheduler_config(flatten(settings(stage.day, i)))
        self.terms = terms
        # each start has a seed of its own, as the platform gives it
        seed = zlib.crc32(f"{stage.world.seed}/{i}/{serial}".encode())
        self.adapt(terms)
        self.reducer = stage.make(terms, seed, self.now(), stage.world, i)
        self.calls: dict[str, ClientRequest] = {}
        self.closed: set[str] = set()  # of those that have their answer, or whose client left
        self.out: dict[tuple[Any, int], Hand] = {}
        self.idle: dict[str, list[float]] = {}  # by worker: kept connections, since when each is idle
        idle = float(stage.day.network.idle)
        self.idle_time = IdleTime(max(0.5 * idle, idle - 3.0))  # as Limits.idle_worker
        self.wake: Entry | None = None
        self.wake_at, self.version = float("inf"), 1
        self.known = known
        self.way, self.words = stage.world.draws.of(f"way/{i}"), stage.world.draws.of(f"words/{i}")
        self.put("listed", ListForm.CACHED, known)

    def adapt(self, terms: SchedulerConfig) -> None:
        """What a front makes of the settings."""

    def resume(self, gap: float, calls: list[tuple]) -> None:
        # as `Core.check_stall` and `Core.resume`: it takes in first, and then decides
        self.waking, self.old_words = gap > StallDetector.STALL, gap > StallDetector.LONG_STALL
        if self.old_words:
            self.stood_to = self.agenda.now
        super().resume(gap, calls)
        if self.waking:
            self.waking = False
            self.put("woken")

    def came_at(self, arrived: float) -> float:
        """When a request came, by its own clock: what the kernel tells of what lay there."""
        return START + arrived * self.rate

    # ---- reducer

    def put(self, kind: str, *fields: Any) -> None:
        if self.waking:
            self.reducer.apply(self.now(), kind, *fields)
            return
        for effect in self.reducer.reduce(self.now(), kind, *fields):
            self.perform(effect)

    def perform(self, effect: Any) -> None:
        match effect:
            case Send(key, number, name, _, give_up_after):
                self.send(key, number, name, give_up_after)
            case Close(key, number):
                if (hand := self.out.get((key, number))) is not None:
                    self.give_up(hand)
            case Answer(key, final, result, come_back_in):
                self.answer(key, _FINALS[final], result, come_back_in)
            case Timer(at):
                if at < self.wake_at or self.wake_at <= self.now():
                    self.wake_at = at
                    if self.wake is not None:
                        self.wake.cancel()
                    self.wake = self.agenda.at((at - START) / self.rate, self.elapsed, self.woken)
            case Watch():
                self.after(0.0, self.watch, 0.0)
            case Datagram(to, octets):
                self.stage.word(self, to, octets)

    def woken(self) -> None:
        self.wake_at = float("inf")
        self.put("woken")

    def heard(self, peer: int, octets: bytes) -> None:
        if not (self.waking and self.old_words):  # else it may have lain there for as long
            self.put("heard", peer, octets)

    # ---- clients

    def ask(self, attempt: ClientRequest, arrived: float) -> None:
        want, day = attempt.want, self.stage.day
        self.world.clients.accepted(attempt)
        self.calls[attempt.id] = attempt
        came = self.came_at(arrived)
        kind = day.categories[want.category]
        customer = self.terms.customers[want.customer] if want.customer >= 0 else None
        self.put(
            "taken",
            attempt.id,
            self.terms.categories[want.category],
            customer,
            came,
            came + want.expiry_at - arrived,  # the client tells how much time it has left
            want.hint,
            kind.slots,
            hash_subject(str(want.subject).encode() if want.subject else b""),
            want.tries > 1,
        )

    def answer(self, key: Any, final: str, result: Any, come_back_in: float) -> None:
        self.closed.add(key)
        if (attempt := self.calls.get(key)) is not None:
            self.agenda.after(
                self.stage.day.network.client,
                self.world.clients.answered,
                attempt,
                final,
                result,
                come_back_in,
            )

    def leave(self, attempt: ClientRequest) -> None:
        self.closed.add(attempt.id)
        self.put("left", attempt.id)

    # ---- workers

    def _way(self, worker: Worker) -> float:
        return self.world.latency(self.zone, worker.zone, self.way) + self.world.links.delay.get(
            (self.i, worker.name), 0.0
        )

    def send(self, key: Any, number: int, name: str, give_up_after: float) -> None:
        worker, now, links = self.world.workers[name], self.agenda.now, self.world.links
        hand = self.out[key, number] = Hand(key, number, worker)
        hand.at, hand.until = now, self.now() + give_up_after
        hand.timer = self.timer(give_up_after, self.end, hand, Outcome.TIMED_OUT)
        link, way, network = (self.i, name), self._way(worker), self.stage.day.network
        idle = self.idle.get(name, [])
        kept = False
        while idle and not kept:  # the latest used first; those idle for too long go
            hand.rested = now - idle.pop()
            kept = hand.rested < self.idle_time.limit
        if not worker.alive or link in links.refused:
            kept = False  # it was reset as the process or the link went
            if link not in links.silent and link not in links.mute:
                self.after(2.0 * way, self.end, hand, Outcome.NO_CONNECTION)
                self._swallow(key, name, 2.0 * way)
                return
        if link in links.silent or (link in links.mute and not kept):
            # a handshake needs both ways
            if not kept:
                self.timer(network.connect, self.end, hand, Outcome.NO_CONNECTION)
            self._swallow(key, name, give_up_after if kept else network.connect)
            return
        if link in links.resets and self.way.random() < links.resets[link]:
            # half of the request had gone: it cannot run, and no last byte was written
            self.after(2.0 * way, self.end, hand, Outcome.NO_CONNECTION)
            self._swallow(key, name, 2.0 * way)
            return
        hand.kept = kept
        if kept:
            self.leaves(hand, way)
        else:
            self.after(2.0 * way, self.up, hand, way)

    def up(self, hand: Hand, way: float) -> None:
        """A new connection has come up: the request follows, unless `OutgoingRequest.is_obsolete`: it was
        given up, its time is over, its work item has its answer, or this was decided before it stood still
        for long."""
        if hand.over:
            return
        if self.stood_to > hand.at and hand.key not in self.redone:
            self.redone.add(hand.key)
            self.end(hand, Outcome.NOT_SENT)
            return
        if self.now() >= hand.until or hand.key in self.closed:
            self.end(hand, Outcome.NOT_SENT)
            return
        self.leaves(hand, way)

    def leaves(self, hand: Hand, way: float) -> None:
        # the request goes on even if its sender stands still: it is in the kernel
        hand.sent = True
        hand.arrival = self.agenda.after(way, self.arrive, hand)

    def _swallow(self, key: Any, name: str, seconds: float) -> None:
        self.world.ledger.note(
            self.agenda.now, "swallowed", key, name, round((self.agenda.now + seconds) * 1e6)
        )

    def arrive(self, hand: Hand) -> None:
        worker, way = hand.worker, self._way(hand.worker)
        if hand.over:
            return
        if not worker.alive:  # it died meanwhile: a reset, and nobody knows what ran
            self._swallow(hand.key, worker.name, way)
            self.after(way, self.end, hand, Outcome.BROKEN)
            return
        if (self.i, worker.name) in self.world.links.silent:
            self._swallow(hand.key, worker.name, 1e3)
            return
        attempt = self.calls[hand.key]
        want, kind = attempt.want, self.stage.day.categories[attempt.want.category]

        def tell(what: str, *fields: Any) -> None:
            links, link = self.world.links, (self.i, worker.name)
            if link in links.silent or link in links.mute:
                self._swallow(hand.key, worker.name, 1e3)
                return
            self.after(self._way(worker), self.told, hand, what, *fields)

        hand.job = Job(
            self.world.new_attempt_number(),
            hand.key,
            want.category,
            want.key,
            want.work,
            kind.slots,
            kind.memory,
            tell,
        )
        worker.arrive(hand.job)

    def told(self, hand: Hand, what: str, *fields: Any) -> None:
        if hand.over:
            return
        if what in ("began", "progressed"):
            self.put(what, hand.key, hand.number, *fields)
            return
        figures: tuple[float, ...] = ()
        result = None
        if what != "broke":
            load, *rest = fields
            figures, result = (load["x0"], load["active"]), rest[0] if rest else None
            self.idle.setdefault(hand.worker.name, []).append(self.agenda.now)
        self.end(hand, _OUTCOMES[what], figures, result)

    def end(self, hand: Hand, outcome: Outcome, figures: tuple[float, ...] = (), result: Any = None) -> None:
        if hand.over:
            return
        hand.over = True
        if outcome is Outcome.TIMED_OUT:
            self.close(hand)
        self.settle(hand, outcome, figures, result)

    def settle(
        self, hand: Hand, outcome: Outcome, figures: tuple[float, ...] = (), result: Any = None
    ) -> None:
        if hand.timer is not None:
            hand.timer.cancel()
        del self.out[hand.key, hand.number]
        self.over(hand, outcome, figures, result)

    def over(self, hand: Hand, outcome: Outcome, figures: tuple[float, ...], result: Any) -> None:
        """What a hand-off came to, for the reducer."""
        kept = hand.kept and outcome is Outcome.BROKEN
        if hand.kept and (kept or outcome in (Outcome.FINISHED, Outcome.ERROR, Outcome.FULL)):
            self.idle_time.record_use(hand.rested, not kept)
        self.put("ended", hand.key, hand.number, outcome, False, figures, result, kept)

    def close(self, hand: Hand) -> None:
        """The worker sees the connection end after the request, and if the link lets it."""
        if hand.job is not None and (self.i, hand.worker.name) not in self.world.links.silent:
            self.agenda.after(self._way(hand.worker), hand.worker.drop, hand.job)

    def give_up(self, hand: Hand) -> None:
        """As `OutgoingRequest.cancel`: the connection is closed at once, whatever else waits for this process
        (one that was starved sent 0.28 s after its answer, `late-send.md`); the outcome is told in its turn.
        """
        if hand.over:
            return
        hand.over = True
        if hand.job is None and hand.arrival is not None:
            # it is on its way: it arrives, and the close after it
            hand.arrival.cancel()
            self.agenda.after(self._way(hand.worker), self._crossed, hand)
        else:
            self.agenda.after(0.0, self.close, hand)
        self.after(0.0, self.settle, hand, Outcome.CANCELLED if hand.sent else Outcome.NOT_SENT)

    def _crossed(self, hand: Hand) -> None:
        hand.over = False
        try:
            self.arrive(hand)
        finally:
            hand.over = True
        if hand.job is not None:
            self.close(hand)

    # ---- the list

    def watch(self, wait: float) -> None:
        """As the program's: the first call comes back at once, the next ones wait; a failed one ends it."""
        way, stage = self.stage.day.network.cross, self.stage

        def reply(found: tuple[int, bool, list[Listed]] | None) -> None:
            self.after(way, self.listed, wait, found)

        self.agenda.after(
            way, lambda: stage.world.listing.call(self.i, self.version, wait, reply) if self.alive else None
        )

    def listed(self, wait: float, found: tuple[int, bool, list[Listed]] | None) -> None:
        if found is None:
            self.put("listed", ListForm.FAILED, [])
            return
        version, whole, entries = found
        self.version = version
        if entries or whole or not wait:
            rows = [self.stage.row(self.i, entry) for entry in entries]
            self.remember(whole, rows)
            self.put("listed", ListForm.FULL if whole else ListForm.CHANGES, rows)
        self.watch(min(self.stage.day.listing.ask_every, 60.0))

    def remember(self, whole: bool, rows: list[tuple]) -> None:
        held = {} if whole else {row[0]: row for row in self.known}
        held |= {row[0]: row for row in rows}
        self.known = [row for row in held.values() if row[5]]

    # ---- its end

    def die(self, crashed: bool) -> None:
        super().die(crashed)
        for hand in list(self.out.values()):
            if hand.over:  # given up, and closed already
                continue
            hand.over = True
            self.close(hand)
            if hand.arrival is not None and hand.job is None:
                hand.arrival.cancel()  # half-way: the reset overtakes it
        tries = self.world.clients.tries.values()
        # and what lay there unread
        unread = [
            attempt for attempt in tries if attempt.transport_state is self and attempt.id not in self.calls
        ]
        for attempt in [*self.calls.values(), *unread]:
            if not attempt.ended:
                self.agenda.after(self.stage.day.network.client, self.world.clients.cut, attempt, crashed)
