"""A controller as a process: HTTP connections, the disk in a thread, links and timers."""

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
from opalwick.post.controller.disk import Disk
from opalwick.post.controller.role import Controller
from opalwick.post.settings import Settings
from opalwick.protocol.server_connection import Call, Conversation
from opalwick.protocol.listener import Listener
from opalwick.protocol.http import Malformed, Message
from opalwick.transport.connection import listen
from opalwick.transport.limits import Limits, compute_limits
from opalwick.transport.stalls import StallDetector as StallDetector

MAX_BODY = 4 << 20  # bytes of a call: a configuration of ten thousand routes
STORE_INTERVAL = (
    0.5  # s between checks whether to store the directory; what a crash loses is reported again anyway
)
DRAIN_TIMEOUT = 1.0  # s at shutdown for calls that were already read: callers wait no longer
POLL_INTERVAL = 0.02  # s between checks whether the handover at shutdown is complete


def limits(settings: Settings) -> Limits:
    """The limits of a controller's HTTP listener."""
    found = compute_limits(settings.nofile - 200, settings.mem_mb, 4096, 15.0, 0.5, 60.0, 2.0)
    return replace(found, body=MAX_BODY)


class Calling(Conversation):
    """An HTTP connection of a worker or an operator."""

    server: Any

    def on_request(self, message: Message, now: float) -> None:
        call = self.add_call(message)
        try:
            self.server.called(call)
        except Malformed as problem:
            call.answer(
                problem.status, json.dumps({"err": problem.text}).encode(), "Content-Type: application/json"
            )


class ControllerShell(Shell):
    """Runs the controller's role on sockets and a disk."""

    role: Controller

    def __init__(self, settings: Settings, process: Process) -> None:
        self.disk, self.settings = Disk(settings.datadir), settings
        now = time.monotonic()
        stored = self.disk.load()
        if self.disk.lost:  # a lost disk means that this is not the first start, whatever the settings say
            settings = replace(settings, bootstrap=False)
            events.emit(208, blank=True)
        super().__init__(Controller(settings, int(time.time() * 1000), now, stored), process)
        self.role.load_directory(self.disk.remembered())
        self.threads = ThreadPool(1)  # a stalled disk must not delay heartbeats
        self.saving = Event()
        self.limits = limits(settings)
        self.pulse = StallDetector(now)  # detects stalls of this process
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
        """Runs in its own greenlet: writes one record at a time, the newest of those pending."""
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
        """Runs in its own greenlet: stores the directory when it has changed."""
        while True:
            gevent.sleep(STORE_INTERVAL)
            if (directory := self.role.directory_to_store()) is not None:
                self.threads.apply(self.disk.remember, (directory,))

    def beat(self) -> None:
        """Runs in its own greenlet: feeds the stall detector."""
        while True:
            self.pulse.tick(time.monotonic())
            gevent.sleep(self.pulse.PERIOD)

    def serve(self) -> None:
        """Runs until the process is told to stop and its shutdown is complete."""
        listener = listen(self.settings.binds["ctl"], 256)
        self.door = Listener(
            listener,
            self.limits,
            self.pulse,
            lambda c, full: Calling(c, self.limits, self, full),
            lambda: self.limits.clients,
        )
        for work in (self.save, self.remember, self.beat, self.door.close_idle):
            self.keep_running(work)
        accepting = self.keep_running(self.door.accept)
        self.start_greenlets()
        self.stop.wait()
        events.emit(207)
        self.door.close_at = self.door.end_at = time.monotonic()
        self.door.end_changed.set()
        self.role.clock(time.monotonic())
        self.role.leave()
        self.settle()
        while not self.role.gone:
            gevent.sleep(POLL_INTERVAL)
            self.role.clock(time.monotonic())
        # connections that were not accepted were not read: the caller tries another controller
        accepting.kill()
        until = time.monotonic() + DRAIN_TIMEOUT
        while self.door.conversations and time.monotonic() < until:
            gevent.sleep(POLL_INTERVAL)
        self.ending = True
        self.disk.close()
