"""What every front shares: the reducer with its one timer, the list of workers, words, the signals."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from opalwick.interface import ListForm
from opalwick.program.configuration import BadConfiguration, Configuration
from opalwick.program.handover import Handover, place as meeting
from opalwick.program.operators import Operators
from opalwick.protocol import figures
from opalwick.protocol.discovery import Discovery, encode_list, parse_list
from opalwick.protocol.handover import read_count, read_ids, read_pairs
from opalwick.protocol.probes import probe
from opalwick.routing.reducer import Datagram, Probe, Reducer, Timer, Watch
from opalwick.transport.connection import Address, listen
from opalwick.transport.datagrams import Datagrams
from opalwick.transport.pool import Pool
from opalwick.transport.pulse import StallDetector


AGENT = b"\2"  # how words of the fleet's parts begin (`fleet/words.py`), which is not imported while off


class State(Enum):
    """Of the process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # by an operator's hand: clients are sent away, until they are let in again
    LEAVING = "leaving"  # told to end, or another process serves in its place


class Core:
    """A front is a subclass: it feeds `put` with what is asked for, and carries out Send, Close and
    Answer.
    """

    hands_over = False  # whether a front can leave its door to another process

    def __init__(
        self, configuration: Configuration, stop: Event, again: Event, read: Callable[[], Configuration]
    ) -> None:
        """To end when `stop` is set; to read its configuration, with `read`, each time that `again` is."""
        self.stop, self.again, self.read = stop, again, read
        c = self.configuration = configuration
        self.limits, self.names = c.limits, c.names
        now = time.monotonic()
        unix = self.unix = time.time() - now
        self.reducer = Reducer(c.terms, c.seed, now)
        self.pool = Pool(c.limits.workers, c.limits.idle_worker, c.limits.ring)  # to workers
        self.state = State.STARTING
        self.counts = figures.Counts(c.names.categories.values())
        self.operators = Operators(c.operator, c.limits, self) if c.operator else None
        self.wake_at, self.rearmed = now, Event()
        self.pulse = StallDetector(now)
        self.agent: Any = None  # of the parts of the fleet that are on
        self.agent_at = math.inf  # when it wants to be woken
        if c.fleet is not None:
            from opalwick.fleet.agent import Agent

            # sixteenths of a second of the wall clock: the later of two starts is the later life. Nothing
            # rests on that clock: one that is behind is told of the life that is known, and takes the next
            life = c.fleet["life"] or int(time.time() * 16.0)
            self.agent = Agent(c.terms.position, len(c.peers), life, now, c.fleet["terms"], c.seed)
            self.agent_at = now
        self.waking = False  # it stood still, and takes in what lay unread
        self.put_at, self.gap = now, 0.0  # time of the last input; how long it stood still last
        self.peers = {place: i for i, place in enumerate(c.peers)}
        self.datagrams: Datagrams | None = None
        path = meeting(c.directory, f"{c.name} {c.listen}") if c.directory and c.inherited is not None else ""
        self.handover = Handover(path if self.hands_over else "", self, self.forever)
        self.relieved = False  # by a process that follows
        self.other_ids: set[Any] = set()  # work items open in the other process
        self.lent = 0  # descriptors that it holds
        try:
            version, _, known = parse_list(c.known, c.names, unix)
        except ValueError as problem:
            logger.warning("known: {}; starting from no list", problem)
            version, known = 0, []
        self.discovery = Discovery(c.discovery, version, c.names, unix, c.limits, self.listed)
        self.watched: bool | None = None  # whether the last call to discovery was answered
        self.known, self.had_list = known, Event()
        self.place: Address = c.listen  # as bound, once it is

    # ---- reducer and effects; none of this waits, so one input is done before the next

    def put(self, kind: str, *fields: Any) -> None:
        now = self.put_at = time.monotonic()
        if self.pulse.overdue(now):
            self.stood(now)
        try:
            if self.waking:
                self.reducer.apply(now, kind, *fields)
                return
            for effect in self.reducer.reduce(now, kind, *fields):
                self.perform(effect)
        except Exception:  # noqa: BLE001 - one work item's trouble must not end the others'
            logger.exception("input {} failed", kind)
            # the wake that was still to be asked for may be among what is lost
            self.perform(Timer(time.monotonic() + 0.1))

    def stood(self, now: float) -> None:
        """It stood still until now: the answers, lists and requests that lie in its sockets are taken in
        before anything is decided, or a worker whose answer lies unread is taken for silent, and one that
        drains for ready. What lay there as words tells of a load that is gone.
        """
        gap = self.pulse.tick(now)
        if gap > 0.0 and not self.waking:
            logger.warning("this process stood still for {:.2f} s", gap)
            self.waking, self.gap = True, gap
            if self.agent is not None:
                self.agent.clock(now)
                self.agent.stood()
            if gap > self.pulse.LONG_STALL and self.datagrams is not None:
                self.datagrams.discard_unread()
            gevent.spawn(self.come_to, now)

    def come_to(self, now: float) -> None:
        """Two turns of the loop find what lies in the sockets; a long list takes some more."""
        for _ in range(2):
            gevent.sleep(0)
        while self.discovery.has_unread() and time.monotonic() < now + self.TAKE_IN:
            gevent.sleep(0.001)
        self.waking = False
        self.pulse.tick(time.monotonic())
        self.put("woken")
        self.step()

    def step(self) -> None:
        """What the fleet's parts want done by now."""
        if self.agent is None or self.relieved:
            return
        self.agent.clock(time.monotonic())
        changed = False
        for decision in self.agent.decisions():
            match type(decision).__name__:
                case "Send" if self.datagrams is not None and decision.to < len(self.configuration.peers):
                    self.datagrams.send(self.configuration.peers[decision.to], decision.octets)
                case "Wake":
                    self.agent_at = decision.at
                    self.rearmed.set()
                case "Event":
                    changed = True
                    logger.info(
                        "fleet: s{} {} in life {}: {}",
                        decision.member,
                        decision.kind,
                        decision.life,
                        decision.why,
                    )
                    if row := self.agent.record(decision):
                        told = {"at": time.monotonic(), "what": row[0], "fields": row[1:]}
                        logger.bind(fleet=told).debug("record")
        if changed:  # once, however many came or went
            self.put("absent", self.agent.absent())

    TAKE_IN = 0.1  # seconds that a list may take to be read; a second of a busy core reads one of thousands

    def perform(self, effect: Any) -> None:
        """What is the same for every front; a front takes its own effects first."""
        match effect:
            case Timer(at):
                if at < self.wake_at or self.wake_at <= time.monotonic():
                    self.wake_at = at
                    self.rearmed.set()
            case Probe(worker, place):
                gevent.spawn(self.probe, worker, place)
            case Watch():
                gevent.spawn(self.discovery.watch)
            case Datagram(to, octets):
                # the one that follows speaks for both: words of two would take each other's place
                if self.datagrams is not None and not self.relieved and to < len(self.configuration.peers):
                    self.datagrams.send(self.configuration.peers[to], octets)

    def probe(self, worker: Any, place: Address) -> None:
        self.put("probed", worker, probe(place, self.pool, self.limits, self.names.load_metrics))

    def sweep(self) -> None:
        while True:
            gevent.sleep(0.25 * self.limits.idle_worker)
            self.pool.sweep()

    def keep_time(self) -> None:
        """The one timer."""
        while True:
            self.rearmed.clear()
            due = min(self.wake_at, self.agent_at)
            rearmed = self.rearmed.wait(min(self.pulse.PERIOD, max(0.0, due - time.monotonic())))
            self.stood(time.monotonic())
            if time.monotonic() >= self.agent_at and not self.waking:
                self.agent_at = math.inf
                self.step()
            # the event loop's clock may run a little ahead: a wake that came early would be passed over by
            # the module, and none would follow
            if rearmed or time.monotonic() < self.wake_at:
                continue
            self.wake_at = float("inf")
            self.put("woken")

    def listed(self, form: ListForm, found: list[tuple]) -> None:
        watched = form is not ListForm.FAILED
        if watched:
            self.had_list.set()
        if watched != self.watched:
            self.watched = watched
            if watched:
                logger.info("the list is watched")
            else:
                logger.warning("the watch on the list failed; what is held stays in use")
        self.put("listed", form, found)

    def heard(self, sender: Address, octets: bytes) -> None:
        now = time.monotonic()
        if self.pulse.overdue(now):
            self.stood(now)
        if self.relieved or self.waking and self.gap > self.pulse.LONG_STALL:
            return  # it may have lain there for as long
        if (peer := self.peers.get(sender)) is None:
            return
        if self.agent is not None and octets.startswith(AGENT):
            self.agent.clock(now)
            self.agent.heard(peer, octets)
            self.step()
        else:
            self.put("heard", peer, octets)

    # ---- the state of the process, and what operators ask for

    def move(self, state: State) -> None:
        # told to end it leaves for good; relieved it may be needed again
        if state is not self.state and not (self.state is State.LEAVING and self.stop.is_set()):
            logger.info("{} was {} and is {}", self.configuration.name, self.state.value, state.value)
            self.state = state
            self.moved()
            if state is State.SERVING:
                self.handover.serving()

    def moved(self) -> None:
        """What a front does about a new state."""

    def ready(self) -> bool:
        """Whether this process serves."""
        return self.state is State.SERVING

    def accepts_work(self) -> bool:
        """Whether the scheduler does, by this process or the one that follows."""
        return self.ready() or self.relieved

    def drain(self, on: bool, told: bool = False) -> bool:
        """Whether that holds now: one that leaves sends clients away, and lets none in again.

        `told`: by the other process, which knows it.
        """
        if self.state is not State.LEAVING:
            self.move(State.DRAINING if on else State.SERVING)
        if not told:
            self.handover.tell("drain", on=on)
        return on or self.accepts_work()

    def worker_out(self, id: str, out: bool, told: bool = False) -> bool:
        """Leaves a worker out or puts it back; False where there is none with this id."""
        if id not in self.reducer.workers:
            return False
        logger.info("worker {} is {} by hand", id, "left out" if out else "put back")
        self.put("disabled" if out else "enabled", id)
        if not told:
            self.handover.tell("out", who=id, out=out)
        return True

    # ---- a new version under load: the old and the new process

    def state_of_things(self) -> dict[str, Any]:
        """For the process that follows: all that it must know before it serves."""
        return {
            "list": encode_list(self.discovery.version, self.reducer.list_rows(), self.names, self.unix),
            "out": self.reducer.disabled_names(),
            "draining": self.state is State.DRAINING,
            "learned": self.reducer.learned(),
            **self.goings_on(),
        }

    def goings_on(self) -> dict[str, Any]:
        """For the other process: what it must count with its own."""
        return {
            "ids": self.open_ids(),
            "descriptors": self.descriptors(),
            "in_flight": self.reducer.in_flight(),
        }

    def descriptor(self) -> int | None:
        return None if self.datagrams is None else self.datagrams.sock.fileno()

    def take_over(self, told: dict[str, Any]) -> State:
        """What the process before knows; the state that follows from it."""
        try:
            self.discovery.version, _, self.known = parse_list(told.get("list"), self.names, self.unix)
        except ValueError as problem:
            logger.warning("the process before: {}", problem)
        self.put("listed", ListForm.CACHED, self.known)
        self.put("taught", told.get("learned"))
        for name in read_ids(told, "out"):
            self.put("disabled", name)
        self.heard_from_other("now", told)
        return State.DRAINING if told.get("draining") is True else State.SERVING

    def heard_from_other(self, kind: str, told: dict[str, Any]) -> None:
        match kind:
            case "now":
                self.other_ids = {name.encode("latin-1", "replace") for name in read_ids(told, "ids")}
                self.lent = min(read_count(told, "descriptors"), self.limits.clients + self.limits.workers)
                self.pool.max_open = self.share(self.limits.workers)
                self.put("beside", read_pairs(told, "in_flight"))
            case "out":
                if isinstance(who := told.get("who"), str):
                    self.worker_out(who, told.get("out") is True, True)
            case "drain":
                self.drain(told.get("on") is True, True)
            case "serving":
                if not self.handover.follows and not self.stop.is_set():
                    self.relieved = True
                    self.move(State.LEAVING)
                    gevent.spawn(self.depart)
            case _:
                logger.warning("the other process says {!r}, which is passed over", kind[:40])

    def share(self, most: int) -> int:
        """Of a limit: while there is another process, both together keep to it."""
        return max(4, most - self.lent * most // (self.limits.clients + self.limits.workers))

    def alone(self) -> None:
        self.other_ids, self.lent, self.pool.max_open = set(), 0, self.limits.workers
        self.put("beside", {})
        if self.relieved and not self.stop.is_set():
            logger.warning("the process that follows is gone; this one goes on")
            self.relieved = False
            self.move(State.SERVING)

    def depart(self) -> None:
        """Relieved: it ends once it has finished."""
        gevent.sleep(self.limits.min_stay)
        while self.relieved and not self.finished():
            gevent.sleep(0.02)
        if self.relieved:
            self.stop.set()

    def open_ids(self) -> list[str]:
        return []

    def descriptors(self) -> int:
        return 0

    def finished(self) -> bool:
        return not self.open_items()

    def figures(self) -> bytes:
        counts = {} if self.agent is None else self.agent.counts
        fleet = {f"fleet_{name}": value for name, value in counts.items()}
        return figures.render(
            self.names.categories,
            self.counts,
            {"open_requests": self.open_items(), **self.reducer.gauges(), **fleet},
        )

    def fleet(self) -> bytes | None:
        """The view of the fleet's members, for people; none where the part is off."""
        if self.agent is None:
            return None
        self.agent.clock(time.monotonic())
        return self.agent.told().encode()

    # ---- running

    def reread(self) -> None:
        """Runs in a greenlet of its own. Discovery may move under load; all else is laid out at the start."""
        while True:
            self.again.wait()
            self.again.clear()
            try:
                found = self.read()
            except BadConfiguration as problem:
                logger.error("the configuration was read again and is not used: {}", problem)
                continue
            if found.discovery != self.discovery.address:
                logger.info("discovery is at {}:{} now", *found.discovery)
                self.discovery.set_address(found.discovery)
                self.put("moved")
            if others := [path for path in self.configuration.changed(found) if path != "discovery"]:
                logger.warning("changed, but not applied before a restart: {}", ", ".join(others))

    @staticmethod
    def forever(work: Callable[..., None], *fields: Any) -> None:
        """A fault in one of the standing greenlets must not leave the scheduler without it."""
        while True:
            try:
                work(*fields)
            except Exception:  # noqa: BLE001
                logger.exception("{} failed", work.__name__)
                gevent.sleep(0.1)

    def open(self) -> None:
        """The listener at `place`; before the list is handed in, which may take a while."""
        if self.configuration.inherited is not None:
            self.listener = socket.socket(fileno=self.configuration.inherited)
        else:
            self.listener = listen(self.place, self.limits.backlog)
        self.place = self.listener.getsockname()

    def listen_to_words(self, place: Address) -> None:
        """Runs in a greenlet of its own. The place may still be held by a process that is about to end."""
        while self.datagrams is None:
            try:
                self.datagrams = Datagrams(place, self.handover.passed)
            except OSError as problem:
                logger.warning("no words from other schedulers: {}:{}: {}", *place, problem)
                gevent.sleep(1.0)
        self.datagrams.receive(self.heard)

    LOOK = 0.25  # seconds between two records: a few for each second that a belief may be wrong

    def record(self) -> None:
        """Runs in a greenlet of its own, where the configuration names a file: the lab reads it."""
        while True:
            now = time.monotonic()
            for what, *fields in self.reducer.aggregation_state(now):
                logger.bind(fleet={"at": now, "what": "holds", "fields": [what, *fields]}).debug("holds")
            gevent.sleep(self.LOOK)

    def start(self) -> None:
        """The front's standing greenlets."""
        raise NotImplementedError

    def open_items(self) -> int:
        raise NotImplementedError

    def close(self) -> None:
        """Told to end, and the reducer knows: until all is answered."""
        raise NotImplementedError

    def run(self) -> None:
        """Until it was told to close and all is answered."""
        self.open()
        self.pulse.ticked_at = time.monotonic()  # what a start takes is no standing still
        if self.operators is not None:
            gevent.spawn(self.forever, self.operators.accept)
        state, told = State.SERVING, self.handover.meet()
        if told is None:
            self.put("listed", ListForm.CACHED, self.known)
        else:
            state = self.take_over(told)
        if records := self.configuration.records:
            logger.add(records, level="DEBUG", serialize=True, filter=lambda said: "fleet" in said["extra"])
            gevent.spawn(self.forever, self.record)
        for work in (self.keep_time, self.reread, self.sweep):
            gevent.spawn(self.forever, work)
        if (place := self.configuration.peer_listen) and self.configuration.terms.may_message_peers:
            gevent.spawn(self.forever, self.listen_to_words, place)
        self.start()
        # without any list it could only send clients away
        while not (self.known or self.had_list.is_set() or self.stop.is_set()):
            self.had_list.wait(0.1)
        self.move(state)
        self.handover.start()
        logger.info("{} serves on {}:{}", self.configuration.name, *self.place)
        self.stop.wait()
        logger.info("{} is to end; {} work items unanswered", self.configuration.name, self.open_items())
        self.move(State.LEAVING)
        if self.agent is not None and not self.relieved:
            self.agent.leave()
            self.step()
        self.put("closing", time.monotonic() + self.limits.exit_after_sigterm)
        self.close()
        self.handover.close()
        logger.info("{} ends", self.configuration.name)
