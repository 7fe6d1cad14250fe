"""The running scheduler: feeds the reducer and carries out its effects."""
from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from opalwick.interface import ListForm
from opalwick.program.configuration import BadConfiguration, Configuration
from opalwick.protocol.clients import Call, Conversation, come_back
from opalwick.protocol.discovery import Discovery, rows
from opalwick.protocol.workers import HandingOff
from opalwick.routing.reducer import Answer, Close, Datagram, Final, Reducer, Send, Timer, Watch
from opalwick.transport.connection import Address, Connection, bind
from opalwick.transport.datagrams import Datagrams
from opalwick.transport.pool import Pool


class Scheduler:
    def __init__(self, configuration: Configuration, stop: Event, again: Event,
                 read: Callable[[], Configuration]) -> None:
        """To end when `stop` is set; to read its configuration, with `read`, each time that `again` is."""
        self.stop, self.again, self.read = stop, again, read
        c = self.configuration = configuration
        self.limits, self.names = c.limits, c.names
        now = time.monotonic()
        unix = time.time() - now
        self.reducer = Reducer(c.terms, c.seed, now)
        self.pool = Pool(c.limits.workers, c.limits.idle_worker, c.limits.ring)
        self.conversations: dict[Conversation, None] = {}
        self.calls: dict[bytes, Call] = {}      # taken and not yet answered, by the client's id
        self.out: dict[tuple[bytes, int], HandingOff] = {}
        self.bodies = self.open = 0             # bytes, work items: unanswered
        self.leaving = self.closing = False     # told to end; takes nothing new any more
        self.place = c.listen
        # when the door itself defers: a second, in which a crowd passes, or as long as clients honour
        self.advice = come_back(min(1.0, c.terms.retry_after))
        self.wake_at, self.rearmed = now, Event()
        self.peers = {place: i for i, place in enumerate(c.peers)}
        self.datagrams = Datagrams(c.peer_listen) if c.peer_listen and c.terms.may_tell else None
        try:
            version, _, known = rows(c.known, c.names, unix)
        except ValueError as problem:
            logger.warning("known: {}; starting from no list", problem)
            version, known = 0, []
        self.discovery = Discovery(c.discovery, version, c.names, unix, c.limits, self.listed)
        self.watched: bool | None = None        # whether the last call to discovery was answered
        self.known = known

    # ---- reducer and effects; none of this waits, so one input is done before the next

    def put(self, kind: str, *fields: Any) -> None:
        try:
            for effect in self.reducer.reduce(time.monotonic(), kind, *fields):
                self.perform(effect)
        except Exception:  # noqa: BLE001 - one work item's trouble must not end the others'
            logger.exception("input {} failed", kind)
            # the wake that was still to be asked for may be among what is lost
            self.perform(Timer(time.monotonic() + 0.1))

    def perform(self, effect: Any) -> None:
        match effect:
            case Send(id, number, _, place, give_up_after):
                call, until = self.calls[id], time.monotonic() + give_up_after

                def tell(kind: str, *fields: Any) -> None:
                    if kind == "ended":
                        del self.out[id, number]
                        if handing.fault:       # the client's own: it is told so, and nobody else is asked
                            call.answer(handing.fault, b"turned away by a worker")
                    self.put(kind, id, number, *fields)

                handing = self.out[id, number] = HandingOff(
                    place, call.message, until, lambda: call.taken and call.reply is None, self.pool,
                    self.limits, self.names.figures, tell)
                gevent.spawn(handing.run)
            case Close(id, number):
                if (id, number) in self.out:
                    self.out[id, number].give_up()
            case Answer(id, Final.FINISHED, result):
                self.calls[id].answer(200, result, "Content-Type: application/octet-stream")
            case Answer(id, Final.DEFERRED, _, come_back_in):
                self.calls[id].answer(503, b"", *come_back(come_back_in))
            case Answer(id, Final.WRITTEN_OFF):
                self.calls[id].answer(504)
            case Timer(at):
                if at < self.wake_at or self.wake_at <= time.monotonic():
                    self.wake_at = at
                    self.rearmed.set()
            case Watch():
                gevent.spawn(self.discovery.watch)
            case Datagram(to, octets):
                if self.datagrams is not None and to < len(self.configuration.peers):
                    self.datagrams.send(self.configuration.peers[to], octets)

    def keep_time(self) -> None:
        """The one timer."""
        while True:
            self.rearmed.clear()
            rearmed = self.rearmed.wait(min(60.0, max(0.0, self.wake_at - time.monotonic())))
            # the event loop's clock may run a little ahead: a wake that came early would be passed over by
            # the module, and none would follow
            if rearmed or time.monotonic() < self.wake_at:
                continue
            self.wake_at = float("inf")
            self.put("woken")

    def listed(self, form: ListForm, found: list[tuple]) -> None:
        watched = form is not ListForm.FAILED
        if watched != self.watched:
            self.watched = watched
            if watched:
                logger.info("the list is watched")
            else:
                logger.warning("the watch on the list failed; what is held stays in use")
        self.put("listed", form, found)

    def heard(self, sender: Address, octets: bytes) -> None:
        if (peer := self.peers.get(sender)) is not None:
            self.put("heard", peer, octets)

    # ---- what the clients' side asks for

    def ready(self) -> bool:
        return not self.leaving

    def room_for(self, body: int) -> bool:
        return self.open < self.limits.work_items and self.bodies + body <= self.limits.bodies

    def holds(self, id: bytes) -> bool:
        """Whether a work item with this id is open, at a worker if nowhere else: a second one must not get
        what the first is owed, nor be taken for it there."""
        return id in self.reducer.items

    def take(self, call: Call, *fields: Any) -> None:
        self.open += 1
        self.bodies += len(call.message.body)
        self.calls[call.id] = call
        self.put("taken", call.id, *fields)

    def left(self, call: Call) -> None:
        self.put("left", call.id)

    def done(self, call: Call) -> None:
        if call.taken:
            call.taken = False
            del self.calls[call.id]
            self.open -= 1
            self.bodies -= len(call.message.body)
            call.message.body = b""             # the item is remembered until its expiry
            # they are counted only where there are so many connections at all
            while (len(self.conversations) > self.limits.kept
                   and sum(c.asked > 0 for c in self.conversations) > self.limits.kept and self.shed()):
                pass

    # ---- running

    def accept(self, listener: Any) -> None:
        while True:
            socket.wait_read(listener.fileno())
            # at the brim one that waits makes room, and it is worth a moment where some may soon have been
            # silent for long enough; what is accepted must be answered, so at the very brim all wait outside
            while (over := len(self.conversations) - self.limits.clients) >= 0 and not self.shed() and (
                    over >= self.limits.spare or any(c.silent() for c in self.conversations)):
                gevent.sleep(0.01)
            try:
                connection = Connection(listener.accept()[0], self.limits.ring)
            except OSError:
                # no descriptor left: an idle connection makes room, and the client waits in the backlog
                if not self.pool.shed():
                    self.shed()
                gevent.sleep(0.01)
                continue
            self.admit(connection)
            gevent.sleep(0)                     # those that come by hundreds must let the others in between

    def admit(self, connection: Connection) -> None:
        conversation = Conversation(connection, self.limits, self.names, self,
                                    len(self.conversations) >= self.limits.clients)
        self.conversations[conversation] = None
        gevent.spawn(self.converse, conversation)

    def empty(self, listener: Any) -> None:
        """Takes what waits in the backlog: it counts as accepted, and closing would lose it."""
        listener.settimeout(0.0)
        try:
            while True:
                self.admit(Connection(listener.accept()[0], self.limits.ring))
        except OSError:                         # no more
            pass

    def shed(self) -> bool:
        """At the brim: the connection that has waited longest goes, of those that asked least first."""
        waiting = [(wait, c) for c in self.conversations if (wait := c.waits(self.limits.drip)) is not None]
        for _, conversation in sorted(waiting, key=lambda found: found[0]):
            if not conversation.reads():
                conversation.close()
                del self.conversations[conversation]
                return True
        return False

    def converse(self, conversation: Conversation) -> None:
        try:
            conversation.run()
        finally:
            self.conversations.pop(conversation, None)

    def sweep(self) -> None:
        while True:
            gevent.sleep(0.25 * self.limits.idle_worker)
            self.pool.sweep()

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
            if found.discovery != self.discovery.place:
                logger.info("discovery is at {}:{} now", *found.discovery)
                self.discovery.move(found.discovery)
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

    def run(self) -> None:
        """Until it was told to close and all is answered."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bind(listener, self.configuration.listen)
        self.place = listener.getsockname()
        listener.listen(self.limits.backlog)
        self.put("listed", ListForm.CACHED, self.known)
        for work in (self.keep_time, self.sweep, self.reread):
            gevent.spawn(self.forever, work)
        if self.datagrams is not None:
            gevent.spawn(self.forever, self.datagrams.receive, self.heard)
        accepting = gevent.spawn(self.forever, self.accept, listener)
        logger.info("{} serves on {}:{}", self.configuration.name, *self.configuration.listen)
        self.stop.wait()
        logger.info("{} is to end; {} work items unanswered", self.configuration.name, self.open)
        self.leaving = True
        self.put("closing", time.monotonic() + self.limits.leave)
        gevent.sleep(self.limits.closing)
        self.closing = True
        accepting.kill()
        self.empty(listener)
        listener.close()
        # a request that has not come whole is not taken, so one that drips on may be left
        while self.conversations and time.monotonic() < self.reducer.leave_at + self.limits.linger:
            # what waits may be closed; the others are closed after their answer
            for conversation in [c for c in self.conversations if c.waits() is not None and not c.reads()]:
                conversation.close()
            gevent.sleep(0.01)
        logger.info("{} ends", self.configuration.name)
