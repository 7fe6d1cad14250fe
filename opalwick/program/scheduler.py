"""The HTTP front end: clients' connections on one side, attempts at workers on the other."""

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
from opalwick.protocol.listener import Listener
from opalwick.protocol.workers import WorkerRequest
from opalwick.routing.reducer import Answer, Close, Final, Send


class Scheduler(Core):
    """Accepts work items over HTTP and sends them to workers."""

    supports_handover = True

    def __init__(
        self, configuration: Configuration, stop: Event, reload: Event, read: Callable[[], Configuration]
    ) -> None:
        super().__init__(configuration, stop, reload, read)
        c = configuration
        self.calls: dict[bytes, WorkItemCall] = {}  # accepted and not yet answered, by the client's id
        self.attempts: dict[tuple[bytes, int], WorkerRequest] = {}
        self.body_bytes = self.open_count = 0  # bytes and number of unanswered work items
        self.accepting: Any = None
        # Retry-After of requests deferred on arrival: 1 s for a burst to pass, or the most clients honour
        self.retry_fields = retry_after(min(1.0, c.scheduler_config.max_retry_after))

    # ---- effects

    def perform(self, effect: Any) -> None:
        match effect:
            case Send(id, number, _, place, give_up_after):
                # counted from the decision, as this process may have been stalled since
                call, decided, until = self.calls[id], self.put_at, self.put_at + give_up_after
                dropped = False

                def still_wanted() -> bool:
                    # an attempt decided before a stall is dropped and decided again, once: the worker may
                    # have drained meanwhile, and a new connection is established only after the stall
                    nonlocal dropped
                    if not (dropped or call.redispatched) and self.pulse.stalled_between(
                        decided, time.monotonic()
                    ):
                        dropped = call.redispatched = True
                    return call.accepted and call.reply is None and not dropped

                def report(kind: str, *fields: Any) -> None:
                    if kind == "ended":
                        del self.attempts[id, number]
                        # the client's error: final, no other worker is asked
                        if attempt.rejected_status:
                            call.answer(attempt.rejected_status, b"turned away by a worker")
                    self.put(kind, id, number, *fields)

                attempt = self.attempts[id, number] = WorkerRequest(
                    place,
                    call.message,
                    until,
                    still_wanted,
                    self.pool,
                    self.limits,
                    self.names.load_metrics,
                    self.counts,
                    report,
                )
                gevent.spawn(attempt.run)
            case Close(id, number):
                if (id, number) in self.attempts:
                    self.attempts[id, number].cancel()
            case Answer(id) if id not in self.calls:
                pass  # the client disconnected while input queued during a stall was read
            case Answer(id, Final.FINISHED, result):
                self.calls[id].answer(200, result, "Content-Type: application/octet-stream")
            case Answer(id, Final.DEFERRED, _, come_back_in):
                self.calls[id].answer(503, b"", *retry_after(come_back_in))
            case Answer(id, Final.WRITTEN_OFF):
                self.calls[id].answer(504)
            case _:
                super().perform(effect)

    # ---- called by clients' connections

    @property
    def closing(self) -> bool:
        return self.door.closing

    def has_room_for(self, body: int) -> bool:
        """Whether a work item with a body of so many bytes can be accepted."""
        return self.open_count < self.limits.work_items and self.body_bytes + body <= self.limits.bodies

    def has_open_item(self, id: bytes) -> bool:
        """Whether a work item with this id is open, if only at a worker: a second one must not get the
        first one's answer, nor be taken for it by the worker."""
        return id in self.reducer.items or id in self.other_ids

    def accept_item(self, call: WorkItemCall, *fields: Any) -> None:
        self.open_count += 1
        self.body_bytes += len(call.message.body)
        self.calls[call.id] = call
        self.put("taken", call.id, *fields)

    def client_left(self, call: WorkItemCall) -> None:
        self.put("left", call.id)

    def call_ended(self, call: WorkItemCall) -> None:
        if call.accepted:
            call.accepted = False
            del self.calls[call.id]
            self.open_count -= 1
            self.body_bytes -= len(call.message.body)
            call.message.body = b""  # the reducer keeps the item until its expiry
            self.door.evict_active()

    # ---- running

    def open(self) -> None:
        super().open()
        self.door = Listener(
            self.listener,
            self.limits,
            self.pulse,
            lambda connection, full: Conversation(connection, self.limits, self.names, self, full),
            self.max_connections,
            self.pool,
        )

    def state_changed(self) -> None:
        """From `close_at` on each answer closes its connection, so that no request crosses a close; from
        `end_at` on idle connections are closed.
        """
        door, now, limits = self.door, time.monotonic(), self.limits
        match self.state:
            case State.SERVING:
                door.close_at = door.end_at = math.inf
            case State.DRAINING:
                door.close_at = now + limits.drain_grace
                door.end_at = door.close_at + limits.final_request
            case State.LEAVING if self.superseded:
                door.close_at, door.end_at = now, now + limits.final_request
            case State.LEAVING:
                door.close_at = door.end_at = min(door.close_at, now + limits.accept_after_sigterm)
        if self.superseded:
            self.accepting.kill(block=False)
        elif self.accepting.dead:
            self.accepting = gevent.spawn(self.run_forever, door.accept)
        door.end_changed.set()

    def start(self) -> None:
        gevent.spawn(self.run_forever, self.door.close_idle)
        self.accepting = gevent.spawn(self.run_forever, self.door.accept)

    def open_items(self) -> int:
        return self.open_count

    def open_ids(self) -> list[str]:
        return [id.decode("latin-1") for id in self.reducer.items if isinstance(id, bytes)]

    def max_connections(self) -> int:
        """The most connections from clients at this time."""
        return self.limit_share(self.limits.clients)

    def descriptors(self) -> int:
        return len(self.door.conversations) + self.pool.open

    def finished(self) -> bool:
        return not self.door.conversations and not self.open_count

    def close(self) -> None:
        gevent.sleep(max(0.0, self.door.close_at - time.monotonic()))
        self.accepting.kill()
        if self.configuration.inherited is None:
            self.door.accept_backlog()  # an inherited listener's backlog is left to the next process
        self.listener.close()
        # a request is accepted only once complete, so slow ones may be abandoned here
        while self.door.conversations and time.monotonic() < self.reducer.exit_at + self.limits.linger:
            gevent.sleep(0.01)
