"""The HTTP front: clients' connections on one side, hand-offs to workers on the other."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from opalwick.program.configuration import Configuration
from opalwick.program.core import Core, State
from opalwick.protocol.clients import Conversation, WorkItemCall, retry_after
from opalwick.protocol.door import Listener
from opalwick.protocol.workers import WorkerRequest
from opalwick.routing.reducer import Answer, Close, Final, Send


class Scheduler(Core):
    hands_over = True

    def __init__(
        self, configuration: Configuration, stop: Event, again: Event, read: Callable[[], Configuration]
    ) -> None:
        super().__init__(configuration, stop, again, read)
        c = configuration
        self.calls: dict[bytes, WorkItemCall] = {}  # taken and not yet answered, by the client's id
        self.out: dict[tuple[bytes, int], WorkerRequest] = {}
        self.bodies = self.open_count = 0  # bytes, work items: unanswered
        self.accepting: Any = None
        # when the door itself defers: a second, in which a crowd passes, or as long as clients honour
        self.retry_fields = retry_after(min(1.0, c.terms.max_retry_after))

    # ---- effects

    def perform(self, effect: Any) -> None:
        match effect:
            case Send(id, number, _, place, give_up_after):
                # from the moment of the decision: this process may have stood still since
                call, decided, until = self.calls[id], self.put_at, self.put_at + give_up_after
                dropped = False

                def wanted() -> bool:
                    # what was decided before this process stood still is decided anew, once: the worker may
                    # have drained meanwhile, and a connection that takes a trip comes up only after it
                    nonlocal dropped
                    if not (dropped or call.redispatched) and self.pulse.stalled_between(
                        decided, time.monotonic()
                    ):
                        dropped = call.redispatched = True
                    return call.accepted and call.reply is None and not dropped

                def tell(kind: str, *fields: Any) -> None:
                    if kind == "ended":
                        del self.out[id, number]
                        # the client's own: it is told so, and nobody else is asked
                        if handing.rejected_status:
                            call.answer(handing.rejected_status, b"turned away by a worker")
                    self.put(kind, id, number, *fields)

                handing = self.out[id, number] = WorkerRequest(
                    place,
                    call.message,
                    until,
                    wanted,
                    self.pool,
                    self.limits,
                    self.names.load_metrics,
                    self.counts,
                    tell,
                )
                gevent.spawn(handing.run)
            case Close(id, number):
                if (id, number) in self.out:
                    self.out[id, number].cancel()
            case Answer(id) if id not in self.calls:
                pass  # its client left while this process took in what lay there
            case Answer(id, Final.FINISHED, result):
                self.calls[id].answer(200, result, "Content-Type: application/octet-stream")
            case Answer(id, Final.DEFERRED, _, come_back_in):
                self.calls[id].answer(503, b"", *retry_after(come_back_in))
            case Answer(id, Final.WRITTEN_OFF):
                self.calls[id].answer(504)
            case _:
                super().perform(effect)

    # ---- what the clients' side asks for

    @property
    def closing(self) -> bool:
        return self.door.closing

    def has_room_for(self, body: int) -> bool:
        return self.open_count < self.limits.work_items and self.bodies + body <= self.limits.bodies

    def has_open_item(self, id: bytes) -> bool:
        """Whether a work item with this id is open, at a worker if nowhere else: a second one must not get
        what the first is owed, nor be taken for it there."""
        return id in self.reducer.items or id in self.other_ids

    def accept_item(self, call: WorkItemCall, *fields: Any) -> None:
        self.open_count += 1
        self.bodies += len(call.message.body)
        self.calls[call.id] = call
        self.put("taken", call.id, *fields)

    def client_left(self, call: WorkItemCall) -> None:
        self.put("left", call.id)

    def call_ended(self, call: WorkItemCall) -> None:
        if call.accepted:
            call.accepted = False
            del self.calls[call.id]
            self.open_count -= 1
            self.bodies -= len(call.message.body)
            call.message.body = b""  # the item is remembered until its expiry
            self.door.evict_active()

    # ---- running

    def open(self) -> None:
        super().open()
        self.door = Listener(
            self.listener,
            self.limits,
            self.pulse,
            lambda connection, full: Conversation(connection, self.limits, self.names, self, full),
            self.most,
            self.pool,
        )

    def moved(self) -> None:
        """The door: from `close_at` on each answer ends its connection, so that nothing crosses a close; from
        `end_at` on those that ask nothing more are ended.
        """
        door, now, limits = self.door, time.monotonic(), self.limits
        match self.state:
            case State.SERVING:
                door.close_at = door.end_at = math.inf
            case State.DRAINING:
                door.close_at = now + limits.drain_grace
                door.end_at = door.close_at + limits.final_request
            case State.LEAVING if self.relieved:
                door.close_at, door.end_at = now, now + limits.final_request
            case State.LEAVING:
                door.close_at = door.end_at = min(door.close_at, now + limits.accept_after_sigterm)
        if self.relieved:
            self.accepting.kill(block=False)
        elif self.accepting.dead:
            self.accepting = gevent.spawn(self.forever, door.accept)
        door.end_changed.set()

    def start(self) -> None:
        gevent.spawn(self.forever, self.door.close_idle)
        self.accepting = gevent.spawn(self.forever, self.door.accept)

    def open_items(self) -> int:
        return self.open_count

    def open_ids(self) -> list[str]:
        return [id.decode("latin-1") for id in self.reducer.items if isinstance(id, bytes)]

    def most(self) -> int:
        """Connections from clients, at this moment."""
        return self.share(self.limits.clients)

    def descriptors(self) -> int:
        return len(self.door.conversations) + self.pool.open

    def finished(self) -> bool:
        return not self.door.conversations and not self.open_count

    def close(self) -> None:
        gevent.sleep(max(0.0, self.door.close_at - time.monotonic()))
        self.accepting.kill()
        if self.configuration.inherited is None:
            self.door.accept_backlog()  # what waits there otherwise is left to the next process
        self.listener.close()
        # a request that has not come whole is not taken, so one that drips on may be left
        while self.door.conversations and time.monotonic() < self.reducer.exit_at + self.limits.linger:
            gevent.sleep(0.01)
