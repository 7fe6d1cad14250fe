"""An office as a process: workers' and operators' connections, its disk in a thread, its links, its time."""

from __future__ import annotations

import json
import time
from dataclasses import replace
from typing import Any

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from opalwick.post import events
from opalwick.post.link import Process, Shell
from opalwick.post.office.disk import Disk
from opalwick.post.office.role import Office
from opalwick.post.settings import Settings
from opalwick.protocol.conversation import Call, Conversation
from opalwick.protocol.door import Listener
from opalwick.protocol.http import Malformed, Message
from opalwick.transport.connection import listen
from opalwick.transport.limits import Limits, compute_limits
from opalwick.transport.pulse import StallDetector as Standing

BODY = 4 << 20  # octets of a call: a configuration of ten thousand routes
REMEMBER = 0.5  # s between looks whether the directory has changed: what is lost of it is told again anyway
ANSWERED = 1.0  # s that calls which were read may take yet: callers wait no longer
LOOK = 0.02  # s between looks whether what rests on this office is elsewhere


def limits(settings: Settings) -> Limits:
    found = compute_limits(settings.nofile - 200, settings.mem_mb, 4096, 15.0, 0.5, 60.0, 2.0)
    return replace(found, body=BODY)


class Calling(Conversation):
    """A connection of a worker or an operator."""

    server: Any

    def on_request(self, message: Message, now: float) -> None:
        call = self.add_call(message)
        try:
            self.server.called(call)
        except Malformed as problem:
            call.answer(
                problem.status, json.dumps({"err": problem.text}).encode(), "Content-Type: application/json"
            )


class OfficeShell(Shell):
    role: Office

    def __init__(self, settings: Settings, process: Process) -> None:
        self.disk, self.settings = Disk(settings.datadir), settings
        now = time.monotonic()
        stored = self.disk.load()
        if self.disk.lost:  # whatever its settings say, this is no first start
            settings = replace(settings, bootstrap=False)
            events.say(208, blank=True)
        super().__init__(Office(settings, int(time.time() * 1000), now, stored), process)
        self.role.recall(self.disk.remembered())
        self.threads = ThreadPool(1)  # a disk that stalls must not stop the beats
        self.saving = Event()
        self.limits = limits(settings)
        self.pulse = Standing(now)  # whether this process stood still
        self.door: Any = None

    def called(self, call: Call) -> None:
        self.role.clock(time.monotonic())
        self.role.called(call)
        self.settle()

    @property
    def closing(self) -> bool:
        return bool(self.door is not None and self.door.closing)

    def perform(self) -> None:
        if self.role.saves:
            self.saving.set()

    def save(self) -> None:
        """Runs in a greenlet of its own: one record at a time, the newest of those that wait."""
        while True:
            if not self.role.saves:
                self.saving.clear()
                self.saving.wait()
            saves = self.role.batch()
            self.threads.apply(self.disk.save, (saves[-1].stored,))
            self.role.clock(time.monotonic())
            self.guarded(self.role.synced, saves)
            self.settle()

    def remember(self) -> None:
        """Runs in a greenlet of its own."""
        while True:
            gevent.sleep(REMEMBER)
            if (told := self.role.memory()) is not None:
                self.threads.apply(self.disk.remember, (told,))

    def beat(self) -> None:
        """Runs in a greenlet of its own."""
        while True:
            self.pulse.tick(time.monotonic())
            gevent.sleep(self.pulse.PERIOD)

    def serve(self) -> None:
        listener = listen(self.settings.binds["ctl"], 256)
        self.door = Listener(
            listener,
            self.limits,
            self.pulse,
            lambda c, full: Calling(c, self.limits, self, full),
            lambda: self.limits.clients,
        )
        for work in (self.save, self.remember, self.beat, self.door.close_idle):
            self.forever(work)
        accepting = self.forever(self.door.accept)
        self.begin()
        self.stop.wait()
        events.say(207)
        self.door.close_at = self.door.end_at = time.monotonic()
        self.door.end_changed.set()
        self.role.clock(time.monotonic())
        self.role.leave()
        self.settle()
        while not self.role.gone:
            gevent.sleep(LOOK)
            self.role.clock(time.monotonic())
        accepting.kill()  # what was not accepted was not read: the caller goes on
        until = time.monotonic() + ANSWERED
        while self.door.conversations and time.monotonic() < until:
            gevent.sleep(LOOK)
        self.ending = True
        self.disk.close()
