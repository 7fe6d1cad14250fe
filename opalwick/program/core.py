"""Base of the front ends: runs the reducer, its timer, discovery, peer messages and shutdown."""

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
from opalwick.program.handover import Handover, socket_path
from opalwick.program.operators import Operators
from opalwick.protocol import metrics
from opalwick.protocol.discovery import Discovery, encode_list, parse_list
from opalwick.protocol.handover import read_count, read_ids, read_pairs
from opalwick.protocol.probes import probe
from opalwick.routing.reducer import Datagram, Probe, Reducer, Timer, Watch
from opalwick.transport.connection import Address, listen
from opalwick.transport.datagrams import Datagrams
from opalwick.transport.pool import Pool
from opalwick.transport.stalls import StallDetector


MEMBERSHIP_PREFIX = b"\2"  # as in `fleet/words.py`, which is not imported while membership is off


class State(Enum):
    """State of the process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # requested by an operator: clients are rejected until it is undone
    LEAVING = "leaving"  # shutting down, or another process serves in its place


class Core:
    """Base class of a front end, which passes requests to `put` and performs the effects Send, Close and
    Answer.
    """

    supports_handover = False  # whether the front end can hand its listener over to a successor process

    def __init__(
        self, configuration: Configuration, stop: Event, reload: Event, read: Callable[[], Configuration]
    ) -> None:
        """Shuts down when `stop` is set; reloads the configuration, with `read`, whenever `reload` is set."""
        self.stop, self.reload_requested, self.read = stop, reload, read
        c = self.configuration = configuration
        self.limits, self.names = c.limits, c.names
        now = time.monotonic()
        unix = self.unix = time.time() - now
        self.reducer = Reducer(c.scheduler_config, c.seed, now)
        self.pool = Pool(c.limits.workers, c.limits.idle_worker, c.limits.ring)  # to workers
        self.state = State.STARTING
        self.counts = metrics.Counts(c.names.categories.values())
        self.operators = Operators(c.operator, c.limits, self) if c.operator else None
        self.wake_at, self.timer_changed = now, Event()
        self.pulse = StallDetector(now)
        self.agent: Any = None  # fleet membership; None: off
        self.agent_at = math.inf  # when its next timer is due
        if c.fleet is not None:
            from opalwick.fleet.agent import Agent

            # sixteenths of a second of the wall clock, so that the later of two starts has the higher number.
            # Correctness doesn't rest on the clock: a process whose clock is behind receives the number that
            # others hold for it and takes the next one
            life = c.fleet["life"] or int(time.time() * 16.0)
            self.agent = Agent(c.scheduler_config.position, len(c.peers), life, now, c.fleet["terms"], c.seed)
            self.agent_at = now
        self.resuming = False  # after a stall: queued input is read, nothing is decided yet
        self.put_at, self.stall = now, 0.0  # time of the last input; length of the last stall
        self.peers = {place: i for i, place in enumerate(c.peers)}
        self.datagrams: Datagrams | None = None
        path = (
            socket_path(c.directory, f"{c.name} {c.listen}")
            if c.directory and c.inherited is not None
            else ""
        )
        self.handover = Handover(path if self.supports_handover else "", self, self.run_forever)
        self.superseded = False  # a successor process serves in place of this one
        self.other_ids: set[Any] = set()  # work items open in the other process
        self.other_descriptors = 0  # descriptors that the other process holds
        try:
            version, _, known = parse_list(c.known, c.names, unix)
        except ValueError as exc:
            logger.warning("known: {}; starting without a list of workers", exc)
            version, known = 0, []
        self.discovery = Discovery(c.discovery, version, c.names, unix, c.limits, self.list_updated)
        self.discovery_ok: bool | None = None  # whether the last request succeeded; None: none yet
        self.known, self.list_received = known, Event()
        self.address: Address = c.listen  # as bound, once it is

    # ---- reducer and effects; nothing here blocks, so one input is complete before the next

    def put(self, kind: str, *fields: Any) -> None:
        """Applies an input to the reducer, by its method's name, and performs the effects."""
        now = self.put_at = time.monotonic()
        if self.pulse.overdue(now):
            self.check_stall(now)
        try:
            if self.resuming:
                self.reducer.apply(now, kind, *fields)
                return
            for effect in self.reducer.reduce(now, kind, *fields):
                self.perform(effect)
        except Exception:  # noqa: BLE001 - a failure in one work item must not affect the others
            logger.exception("input {} failed", kind)
            # the effects that were lost may include the next timer
            self.perform(Timer(time.monotonic() + 0.1))

    def check_stall(self, now: float) -> None:
        """Detects a stall that ended now. Queued answers, lists and requests are read before any decision:
        otherwise a worker whose answer is still unread would look unresponsive, and a draining one ready.
        Queued peer messages are dropped after a long stall, as they report outdated load.
        """
        gap = self.pulse.tick(now)
        if gap > 0.0 and not self.resuming:
            logger.warning("the process was stalled for {:.2f} s", gap)
            self.resuming, self.stall = True, gap
            if self.agent is not None:
                self.agent.clock(now)
                self.agent.after_stall()
            if gap > self.pulse.LONG_STALL and self.datagrams is not None:
                self.datagrams.discard_unread()
            gevent.spawn(self.resume, now)

    def resume(self, now: float) -> None:
        """Decides again once queued input is read: two turns of the event loop, more for a long list."""
        for _ in range(2):
            gevent.sleep(0)
        while self.discovery.has_unread() and time.monotonic() < now + self.LIST_READ_TIMEOUT:
            gevent.sleep(0.001)
        self.resuming = False
        self.pulse.tick(time.monotonic())
        self.put("woken")
        self.run_agent()

    def run_agent(self) -> None:
        """Performs what fleet membership has due by now."""
        if self.agent is None or self.superseded:
            return
        self.agent.clock(time.monotonic())
        changed = False
        for decision in self.agent.decisions():
            match type(decision).__name__:
                case "Send" if self.datagrams is not None and decision.to < len(self.configuration.peers):
                    self.datagrams.send(self.configuration.peers[decision.to], decision.payload)
                case "Wake":
                    self.agent_at = decision.at
                    self.timer_changed.set()
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
                        entry = {"at": time.monotonic(), "what": row[0], "fields": row[1:]}
                        logger.bind(fleet=entry).debug("record")
        if changed:  # once, however many members changed
            self.put("absent", self.agent.absent())

    # seconds to read a list of workers; a busy core reads one of thousands in a second
    LIST_READ_TIMEOUT = 0.1

    def perform(self, effect: Any) -> None:
        """Performs the effects common to all front ends; a front end handles its own first."""
        match effect:
            case Timer(at):
                if at < self.wake_at or self.wake_at <= time.monotonic():
                    self.wake_at = at
                    self.timer_changed.set()
            case Probe(worker, address):
                gevent.spawn(self.probe, worker, address)
            case Watch():
                gevent.spawn(self.discovery.watch)
            case Datagram(to, payload):
                # a successor reports for both processes: messages of two would replace each other at peers
                if self.datagrams is not None and not self.superseded and to < len(self.configuration.peers):
                    self.datagrams.send(self.configuration.peers[to], payload)

    def probe(self, worker: Any, address: Address) -> None:
        self.put("probed", worker, probe(address, self.pool, self.limits, self.names.load_metrics))

    def close_idle_connections(self) -> None:
        while True:
            gevent.sleep(0.25 * self.limits.idle_worker)
            self.pool.sweep()

    def run_timers(self) -> None:
        """Runs the timers of the reducer and of fleet membership."""
        while True:
            self.timer_changed.clear()
            due = min(self.wake_at, self.agent_at)
            changed = self.timer_changed.wait(min(self.pulse.PERIOD, max(0.0, due - time.monotonic())))
            self.check_stall(time.monotonic())
            if time.monotonic() >= self.agent_at and not self.resuming:
                self.agent_at = math.inf
                self.run_agent()
            # the event loop's clock may run slightly ahead: the reducer would ignore a wake that is early,
            # and would not request another
            if changed or time.monotonic() < self.wake_at:
                continue
            self.wake_at = float("inf")
            self.put("woken")

    def list_updated(self, form: ListForm, found: list[tuple]) -> None:
        succeeded = form is not ListForm.FAILED
        if succeeded:
            self.list_received.set()
        if succeeded != self.discovery_ok:
            self.discovery_ok = succeeded
            if succeeded:
                logger.info("receiving the list of workers from discovery")
            else:
                logger.warning("discovery did not answer; the last list of workers stays in use")
        self.put("listed", form, found)

    def peer_message(self, sender: Address, payload: bytes) -> None:
        now = time.monotonic()
        if self.pulse.overdue(now):
            self.check_stall(now)
        if self.superseded or self.resuming and self.stall > self.pulse.LONG_STALL:
            return  # the message may have been queued for the whole stall
        if (peer := self.peers.get(sender)) is None:
            return
        if self.agent is not None and payload.startswith(MEMBERSHIP_PREFIX):
            self.agent.clock(now)
            self.agent.receive(peer, payload)
            self.run_agent()
        else:
            self.put("heard", peer, payload)

    # ---- state of the process, operators' requests

    def set_state(self, state: State) -> None:
        # a shutdown is final; a process with a successor may have to serve again
        if state is not self.state and not (self.state is State.LEAVING and self.stop.is_set()):
            logger.info("{}: changed from {} to {}", self.configuration.name, self.state.value, state.value)
            self.state = state
            self.state_changed()
            if state is State.SERVING:
                self.handover.serving()

    def state_changed(self) -> None:
        """Called after a change of state; for front ends to override."""

    def ready(self) -> bool:
        """Whether this process serves."""
        return self.state is State.SERVING

    def accepts_work(self) -> bool:
        """Whether the scheduler accepts work, in this process or in its successor."""
        return self.ready() or self.superseded

    def drain(self, on: bool, notified: bool = False) -> bool:
        """Starts or ends draining; returns whether the request holds, as a leaving process stays closed.

        `notified`: requested by the other process, which needs no notice.
        """
        if self.state is not State.LEAVING:
            self.set_state(State.DRAINING if on else State.SERVING)
        if not notified:
            self.handover.send("drain", on=on)
        return on or self.accepts_work()

    def worker_out(self, id: str, out: bool, notified: bool = False) -> bool:
        """Disables or enables a worker; False if none has this id.

        `notified`: requested by the other process, which needs no notice.
        """
        if id not in self.reducer.workers:
            return False
        logger.info("worker {} was {} by an operator", id, "disabled" if out else "enabled")
        self.put("disabled" if out else "enabled", id)
        if not notified:
            self.handover.send("out", who=id, out=out)
        return True

    # ---- handover between an old and a new process

    def handover_state(self) -> dict[str, Any]:
        """All that a successor process needs before it serves."""
        return {
            "list": encode_list(self.discovery.version, self.reducer.list_rows(), self.names, self.unix),
            "out": self.reducer.disabled_names(),
            "draining": self.state is State.DRAINING,
            "learned": self.reducer.learned(),
            **self.handover_status(),
        }

    def handover_status(self) -> dict[str, Any]:
        """What the other process has to add to its own counts."""
        return {
            "ids": self.open_ids(),
            "descriptors": self.descriptors(),
            "in_flight": self.reducer.in_flight(),
        }

    def descriptor(self) -> int | None:
        """The descriptor of the peer messages' socket, to pass to a successor."""
        return None if self.datagrams is None else self.datagrams.sock.fileno()

    def apply_handover(self, state: dict[str, Any]) -> State:
        """Takes over the old process's state; returns the process state to start in."""
        try:
            self.discovery.version, _, self.known = parse_list(state.get("list"), self.names, self.unix)
        except ValueError as exc:
            logger.warning("list of workers from the old process not used: {}", exc)
        self.put("listed", ListForm.CACHED, self.known)
        self.put("taught", state.get("learned"))
        for name in read_ids(state, "out"):
            self.put("disabled", name)
        self.handover_message("now", state)
        return State.DRAINING if state.get("draining") is True else State.SERVING

    def handover_message(self, kind: str, fields: dict[str, Any]) -> None:
        match kind:
            case "now":
                self.other_ids = {name.encode("latin-1", "replace") for name in read_ids(fields, "ids")}
                self.other_descriptors = min(
                    read_count(fields, "descriptors"), self.limits.clients + self.limits.workers
                )
                self.pool.max_open = self.limit_share(self.limits.workers)
                self.put("beside", read_pairs(fields, "in_flight"))
            case "out":
                if isinstance(who := fields.get("who"), str):
                    self.worker_out(who, fields.get("out") is True, True)
            case "drain":
                self.drain(fields.get("on") is True, True)
            case "serving":
                if not self.handover.is_successor and not self.stop.is_set():
                    self.superseded = True
                    self.set_state(State.LEAVING)
                    gevent.spawn(self.stop_when_finished)
            case _:
                logger.warning("ignored a message of unknown kind {!r} from the other process", kind[:40])

    def limit_share(self, most: int) -> int:
        """This process's share of a limit, as both processes together keep to it during a handover."""
        return max(4, most - self.other_descriptors * most // (self.limits.clients + self.limits.workers))

    def other_process_ended(self) -> None:
        """The other process has ended."""
        self.other_ids, self.other_descriptors, self.pool.max_open = set(), 0, self.limits.workers
        self.put("beside", {})
        if self.superseded and not self.stop.is_set():
            logger.warning("the successor process has ended; serving again")
            self.superseded = False
            self.set_state(State.SERVING)

    def stop_when_finished(self) -> None:
        """With a successor in service: shuts down once open work is finished."""
        gevent.sleep(self.limits.min_stay)
        while self.superseded and not self.finished():
            gevent.sleep(0.02)
        if self.superseded:
            self.stop.set()

    def open_ids(self) -> list[str]:
        """Ids of open work items."""
        return []

    def descriptors(self) -> int:
        """Descriptors in use for connections."""
        return 0

    def finished(self) -> bool:
        return not self.open_items()

    def figures(self) -> bytes:
        """The metrics, as text."""
        counts = {} if self.agent is None else self.agent.counts
        fleet = {f"fleet_{name}": value for name, value in counts.items()}
        return metrics.render(
            self.names.categories,
            self.counts,
            {"open_requests": self.open_items(), **self.reducer.gauges(), **fleet},
        )

    def fleet(self) -> bytes | None:
        """Readable view of the fleet's members; None if membership is off."""
        if self.agent is None:
            return None
        self.agent.clock(time.monotonic())
        return self.agent.as_text().encode()

    # ---- running

    def reload_configuration(self) -> None:
        """Runs in its own greenlet. Only a new address of discovery is applied without a restart: limits and
        tables are sized at the start.
        """
        while True:
            self.reload_requested.wait()
            self.reload_requested.clear()
            try:
                new = self.read()
            except BadConfiguration as exc:
                logger.error("the configuration was read again and is not used: {}", exc)
                continue
            if new.discovery != self.discovery.address:
                logger.info("discovery is at {}:{} now", *new.discovery)
                self.discovery.set_address(new.discovery)
                self.put("moved")
            if ignored := [path for path in self.configuration.differences(new) if path != "discovery"]:
                logger.warning("changed, but not applied before a restart: {}", ", ".join(ignored))

    @staticmethod
    def run_forever(work: Callable[..., None], *fields: Any) -> None:
        """Runs `work` again whenever it fails, as the scheduler can't do without its background greenlets."""
        while True:
            try:
                work(*fields)
            except Exception:  # noqa: BLE001
                logger.exception("{} failed", work.__name__)
                gevent.sleep(0.1)

    def open(self) -> None:
        """Opens the listener at `place`, before the list of workers is applied, which may take a while."""
        if self.configuration.inherited is not None:
            self.listener = socket.socket(fileno=self.configuration.inherited)
        else:
            self.listener = listen(self.address, self.limits.backlog)
        self.address = self.listener.getsockname()

    def receive_peer_messages(self, address: Address) -> None:
        """Runs in its own greenlet. The address may still be in use by a process that is about to end."""
        while self.datagrams is None:
            try:
                self.datagrams = Datagrams(address, self.handover.received_descriptor)
            except OSError as exc:
                logger.warning("cannot receive peer messages on {}:{}: {}", *address, exc)
                gevent.sleep(1.0)
        self.datagrams.receive(self.peer_message)

    RECORD_INTERVAL = 0.25  # seconds: several records per second, as a wrong view may last only a second

    def write_records(self) -> None:
        """Runs in its own greenlet if the configuration names a file; the simulation lab reads that file."""
        while True:
            now = time.monotonic()
            for what, *fields in self.reducer.aggregation_state(now):
                logger.bind(fleet={"at": now, "what": "holds", "fields": [what, *fields]}).debug("holds")
            gevent.sleep(self.RECORD_INTERVAL)

    def start(self) -> None:
        """Starts the front end's background greenlets."""
        raise NotImplementedError

    def open_items(self) -> int:
        """Number of unanswered work items."""
        raise NotImplementedError

    def close(self) -> None:
        """Shutdown, after the reducer's input "closing": returns once all work items are answered."""
        raise NotImplementedError

    def run(self) -> None:
        """Serves until `stop` is set and all work items are answered."""
        self.open()
        self.pulse.ticked_at = time.monotonic()  # the time of the start-up is no stall
        if self.operators is not None:
            gevent.spawn(self.run_forever, self.operators.accept)
        state, previous = State.SERVING, self.handover.connect()
        if previous is None:
            self.put("listed", ListForm.CACHED, self.known)
        else:
            state = self.apply_handover(previous)
        if records := self.configuration.records:
            logger.add(records, level="DEBUG", serialize=True, filter=lambda entry: "fleet" in entry["extra"])
            gevent.spawn(self.run_forever, self.write_records)
        for work in (self.run_timers, self.reload_configuration, self.close_idle_connections):
            gevent.spawn(self.run_forever, work)
        if (
            place := self.configuration.peer_listen
        ) and self.configuration.scheduler_config.may_message_peers:
            gevent.spawn(self.run_forever, self.receive_peer_messages, place)
        self.start()
        # without a list of workers every client would be rejected
        while not (self.known or self.list_received.is_set() or self.stop.is_set()):
            self.list_received.wait(0.1)
        self.set_state(state)
        self.handover.start()
        logger.info("{}: listening on {}:{}", self.configuration.name, *self.address)
        self.stop.wait()
        logger.info("{}: shutting down; {} work items unanswered", self.configuration.name, self.open_items())
        self.set_state(State.LEAVING)
        if self.agent is not None and not self.superseded:
            self.agent.leave()
            self.run_agent()
        self.put("closing", time.monotonic() + self.limits.exit_after_sigterm)
        self.close()
        self.handover.close()
        logger.info("{}: stopped", self.configuration.name)
