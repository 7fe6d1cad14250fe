"""The list service: published list, sequential calls, long polls, and faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from opalwick.lab.agenda import Agenda, Entry
from opalwick.lab.day import Day
from opalwick.lab.ledger import Ledger
from opalwick.lab.world.worker import Worker


class Listed(NamedTuple):
    worker: Worker
    phase: str  # "ready", "draining", "gone"
    born: float  # seconds since the start of the scenario; negative: long ago


# result of a call: version, whether the list is complete, entries; None: it failed
Reply = Callable[[tuple[int, bool, list[Listed]] | None], None]


class Call:
    """A call of a scheduler; it waits for changes after version `since` until `until`."""

    __slots__ = ("reply", "scheduler", "since", "timer", "until")

    def __init__(self, scheduler: int, since: int, until: float, reply: Reply) -> None:
        self.scheduler, self.since, self.until, self.reply = scheduler, since, until, reply
        self.timer: Entry | None = None


class Listing:
    """The list of workers; changes are published after a lag."""

    CHANGES_KEPT = 500  # changes kept; a call for older ones gets the complete list
    QUEUE = 2000  # calls that wait; further ones fail at once

    def __init__(
        self, day: Day, agenda: Agenda, ledger: Ledger, names: Sequence[str], workers: Sequence[Worker]
    ) -> None:
        self.day, self.agenda, self.ledger, self.names = day, agenda, ledger, names
        self.version = 1
        self.entries: dict[str, Listed] = {w.name: Listed(w, "ready", w.born) for w in workers}
        self.changes: deque[tuple[int, str]] = deque(maxlen=self.CHANGES_KEPT)
        self.queue: deque[Call] = deque()
        self.watchers: dict[Call, None] = {}
        self.busy = False
        self.down, self.behind = False, 0.0
        self.cut: set[int] = set()  # schedulers whose calls fail
        self.last_call_at = [0.0] * len(names)  # by scheduler: time of its last call or answer
        self.pending = [0] * len(names)
        # by scheduler: the last reported phase of each worker; missing: ready
        self.reported: list[dict[str, str]] = [{} for _ in names]
        self.reported_empty = [False] * len(names)

    # ---- changes of workers

    def change(self, worker: Worker, phase: str, lag: float | None = None) -> None:
        """Publishes a phase after `lag` seconds, by default the scenario's."""
        wait = (self.day.listing.lag if lag is None else lag) + self.behind
        self.agenda.after(wait, self._publish, worker, phase, worker.born)

    def _publish(self, worker: Worker, phase: str, born: float) -> None:
        before = self.entries.get(worker.name)
        if before is not None and before.phase == phase and before.born == born:
            return
        if before is not None and born < before.born:  # outdated: a change of the previous process
            return
        self.version += 1
        self.entries[worker.name] = Listed(worker, phase, born)
        self.changes.append((self.version, worker.name))
        if phase != "ready":
            for i in range(len(self.names)):
                self.agenda.at(
                    self.last_call_at[i] + self.day.listing.ask_every,
                    self._assume_reported,
                    i,
                    worker.name,
                    phase,
                    self.version,
                )
        if not self.down:
            waiting, self.watchers = list(self.watchers), {}
            for call in waiting:
                if call.timer is not None:
                    call.timer.cancel()
                self._enqueue(call)

    def _assume_reported(self, scheduler: int, name: str, phase: str, version: int) -> None:
        """A scheduler without an open call counts as informed; an open call gets an answer or fails."""
        if self.reported[scheduler].get(name) or self.entries[name].phase == "ready":
            return
        due = self.last_call_at[scheduler] + self.day.listing.ask_every
        if self.pending[scheduler] or due > self.agenda.now:
            self.agenda.at(
                max(due, self.agenda.now + 1.0), self._assume_reported, scheduler, name, phase, version
            )
        else:
            self.reported[scheduler][name] = phase
            self.ledger.note(self.agenda.now, "deemed", self.names[scheduler], name, phase)

    # ---- calls of schedulers

    def call(self, scheduler: int, since: int, wait: float, reply: Reply) -> None:
        """Replies with changes after `since`, at the latest after `wait` seconds."""
        self.last_call_at[scheduler] = self.agenda.now
        if self.down or scheduler in self.cut or len(self.queue) >= self.QUEUE:
            reply(None)
            return
        self.pending[scheduler] += 1
        self._enqueue(Call(scheduler, since, self.agenda.now + wait, reply))

    def _enqueue(self, call: Call) -> None:
        self.queue.append(call)
        if not self.busy:
            self.busy = True
            self.agenda.after(1.0 / self.day.listing.calls, self._next)

    def _next(self) -> None:
        if not self.queue:
            self.busy = False
            return
        call = self.queue.popleft()
        self.agenda.after(1.0 / self.day.listing.calls, self._next)
        if self.down:
            self._end(call, None)
            return
        if call.since >= self.version and self.agenda.now < call.until:
            call.timer = self.agenda.at(call.until, self._timed_out, call)
            self.watchers[call] = None
            return
        self._answer(call)

    def _timed_out(self, call: Call) -> None:
        if call in self.watchers:
            del self.watchers[call]
            self._answer(call)

    def _answer(self, call: Call) -> None:
        if call.since and (
            call.since >= self.version or (self.changes and self.changes[0][0] <= call.since + 1)
        ):
            changed = dict.fromkeys(name for version, name in self.changes if version > call.since)
            self._end(call, (self.version, False, [self.entries[name] for name in changed]))
            return
        self._end(call, (self.version, True, [e for e in self.entries.values() if e.phase != "gone"]))

    def _end(self, call: Call, reply_fields: tuple[int, bool, list[Listed]] | None) -> None:
        i = call.scheduler
        self.pending[i] -= 1
        self.last_call_at[i] = self.agenda.now
        if reply_fields is not None:
            _, complete, entries = reply_fields
            phases = {e.worker.name: e.phase for e in entries}
            if complete:
                phases |= {name: "gone" for name in self.entries if name not in phases}
            reported = self.reported[i]
            for name, phase in phases.items():
                if phase != reported.get(name, "ready"):
                    self.ledger.note(self.agenda.now, "told", self.names[i], name, phase)
                    reported[name] = phase
            ready = any(reported.get(name, "ready") == "ready" for name in self.entries)
            if self.reported_empty[i] == ready:
                self.reported_empty[i] = not ready
                self.ledger.note(self.agenda.now, "none", self.names[i], not ready)
        call.reply(reply_fields)

    def forget(self, scheduler: int) -> None:
        """A scheduler restarts, with the list that it last had."""
        self.last_call_at[scheduler] = self.agenda.now
        self.reported[scheduler] = {}

    def drop(self, scheduler: int) -> None:
        """A scheduler's connections are lost: its long polls end."""
        for call in [c for c in self.watchers if c.scheduler == scheduler]:
            del self.watchers[call]
            if call.timer is not None:
                call.timer.cancel()
            self._end(call, None)

    # ---- faults

    def fails(self, down: bool) -> None:
        self.down = down
        if down:
            waiting, self.watchers = list(self.watchers), {}
            for call in waiting:
                if call.timer is not None:
                    call.timer.cancel()
                self._end(call, None)
