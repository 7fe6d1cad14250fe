"""The load balancer: all decisions of opalwick. Its inputs and decisions are typed in `interface.py`.

Usage: one Balancer per scheduler. Set the time with clock(), report events with the methods under "inputs",
which only update state, then iterate over decisions() to the end; what is yielded counts as carried out.

The basic path: a random worker that is not overloaded, blocks of items, hedged attempts by cyclic rows of the
block, cancellation at the first finish. Six mechanisms extend it, marked by number where they apply:
  1 estimation   when an item would end at a worker: from own attempts, start reports, elapsed times, load
                 reports, probes where load is reported in no other way, and load reports of peers
  2 limit        of own attempts at a worker: additive increase, multiplicative decrease; ejection if silent
  3 slow start   a new worker counts for less, by its age; random admission bounds what all schedulers send
  4 retry        another attempt after one that ended without an answer or has not started when it should have
  5 shedding     a work item that can no longer meet its due time is answered at once
  6 affinity     items with a subject go to workers ranked by rendezvous hashing, alike at every scheduler
In the code a is an attempt, c a category, w a worker, z a zone.
"""
from __future__ import annotations

import heapq
import math
from bisect import bisect
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from itertools import accumulate

from opalwick.random_source import RandomSource
from opalwick.interface import (NEVER_RAN, Attempt, Block, Cancel, Customer, Decision, Defer, Effect, Fail,
                                Group, Kind, ListForm, LoadMetric, LoadReport, LoadRow, LoadTotals, Outcome,
                                Phase, Probe, ReportSource, SchedulerConfig, Send, Subscribe, Wake, Worker,
                                WorkItem, Zone)
from opalwick.load_aggregation import LoadAggregator, older


class Balancer:
    """Decides where a scheduler's work items go; the same seed and inputs give the same decisions."""
    def __init__(self, config: SchedulerConfig, seed: int, now: float) -> None:
        self.config, self.now, self.random = config, now, RandomSource(seed)
        self.all_workers: dict[Worker, None] = {}
        self.workers: list[Worker] = []         # of those, the usable ones
        self.pending: deque[WorkItem] = deque()  # to be sent or answered
        self.freed: deque[Attempt] = deque()    # ended attempts whose worker may take a hedged one
        self.to_cancel: deque[Attempt] = deque()
        self.checks: list[tuple[float, int, WorkItem]] = []
        self.serial, self.wake_at = 0, -1.0     # wake_at: the last Wake requested
        self.first_attempts, self.hedges, self.arrival_rate, self.accepted_at = 0, 0, 0.0, now
        self.kinds: dict[int, Kind] = {}
        self.assumed_slots = 4.0                # of a worker, until its kind has reported
        self.update_means()
        self.run_error = 0.5                    # mean squared log error of expected runs; high at first
        self.active: dict[Worker, None] = {}    # workers with own attempts
        self.zones: dict[int, Zone] = {}
        self.aggregator = LoadAggregator()      # for the zones that this scheduler aggregates
        self.absent: frozenset[int] = frozenset()  # schedulers that are known to be gone
        self.reports_load = config.may_message_peers and config.schedulers > 1
        self.inferred = config.report_source is not ReportSource.RESPONSES and config.reports_start
        self.probing = config.report_source is ReportSource.PROBES and config.may_probe
        self.queued_share = self.mean_queue = 0.0  # share of attempts without a free slot; items ahead then
        self.error_rate = self.mean_others = 0.0  # share of runs that fail; others' items at a mean worker
        # with a CPU limit per item a draw examines fewer workers: each costs about 1.2 us
        self.sample_size = max(4, min(16, int(config.cpu_per_item / 1.2e-6))) if config.cpu_per_item else 16
        self.recent_subjects: deque[int] = deque()  # of the latest work items
        self.subject_counts: dict[int, int] = {}  # occurrences among those
        self.rankings: dict[int, tuple[list[Worker], list[Worker]]] = {}
        self.fetch_s = 0.3 * self.mean_run      # extra seconds of a run on a worker without the subject
        self.margin = max(0.01, 2.0 * config.tick)  # answers precede the expiry by this: some ticks
        self.mean_credit = self.mean_work = 0.0  # recent means of a work item's credit and work
        self.subscribed, self.subscribe_at, self.subscribing, self.refusals = (
            not config.must_subscribe, now, False, 0)

    # ---- inputs: they only update state

    def clock(self, now: float) -> None:
        self.now = now

    def update_workers(self, form: ListForm, rows: Sequence[tuple]) -> None:
        """The worker list or a change of it; a row: worker, zone, kind, cell, phase, start time, size."""
        if form is not ListForm.CACHED and self.subscribing:
            self.subscribing, self.subscribed = False, form is not ListForm.FAILED
            self.refusals = 0 if self.subscribed else self.refusals + 1
            # discovery serves all from one slow queue: jittered backoff, under half of the time it has
            self.subscribe_at = self.now + min(0.5 * self.backoff(self.refusals) * (0.5 + self.random.draw()),
                                               0.4 * self.config.subscribe_within)
        elif form is ListForm.FAILED:
            self.subscribed, self.subscribe_at = False, self.now + 0.5 * self.random.draw()
        if form is ListForm.FAILED:
            return
        if form is not ListForm.CHANGES:
            for w in self.all_workers:
                w.phase = Phase.GONE            # unless it is in this complete list
        for w, zone, kind, cell, phase, ready_at, share in rows:
            if ready_at > w.ready_at and w.alive_at > 0:
                w.ejections, w.ejected_until, w.others = 0, 0.0, 0.0  # a new process under the same id
            w.zone, w.kind, w.cell, w.phase, w.ready_at, w.as_of = zone, kind, cell, phase, ready_at, -1.0
            w.drained = phase is Phase.DRAINING or w.drained and phase is Phase.GONE  # until ready again
            w.presumed_up = w.presumed_up and phase is Phase.GONE
            w.listed_size = share if self.config.fixed_sizes and 0 < share < 1e6 else 1.0
            self.all_workers[w] = None
            self.kinds.setdefault(kind, Kind())
            if zone not in self.zones:
                late = self.config.position / self.config.schedulers  # schedulers report at different moments
                self.zones[zone] = Zone(
                    zone, self.now + self.REPORT_INTERVAL * late, start_delay=self.START_TIMEOUT / 3.0,
                    start_timeout=self.START_TIMEOUT)
        self.update_sizes()

    def set_disabled(self, w: Worker, disabled: bool) -> None:
        """Disables a worker for an operator, or enables it again, with its statistics reset."""
        w.reset(disabled)
        self.update_sizes()

    def discovery_moved(self) -> None:
        self.refusals, self.subscribe_at = 0, self.now  # earlier failures were of the old address

    def accept(self, item: WorkItem) -> None:
        c = item.category
        c.max_time_left = max(c.max_time_left, min(item.expiry_at - item.accepted_at, c.expiry))
        # a client's retry has less time left than a first try: its due time counts from that first try
        first_at = min(item.accepted_at, item.expiry_at - c.max_time_left)
        item.work = item.work_hint if 0 < item.work_hint < c.expiry else c.mean_run
        # 5: where clients mark retries, one with less time than the due time takes always gives so little:
        # counted from a usual first try its due time would have passed, and all its items would be shed
        left = item.expiry_at - item.accepted_at
        if self.config.marks_retries and (not item.is_retry or left < c.due + c.due_stretch * item.work):
            first_at = item.accepted_at
        item.due_at = min(first_at + c.due + c.due_stretch * item.work, item.expiry_at)
        item.credit = c.credit * (item.work if self.config.credit_per_work else 1.0)
        weight = 0.01 if self.mean_credit else 1.0  # over the last hundred or so: no heavy item dominates
        self.mean_credit += max(item.credit, 1e-9) * weight - self.mean_credit * weight
        self.mean_work += (item.work - self.mean_work) * weight
        if item.customer is not None and self.over_quota(item.customer):
            item.credit *= self.config.excess_credit
        self.arrival_rate = self.arrival_rate * math.exp((self.accepted_at - self.now) / 5.0) + 0.2
        self.accepted_at = self.now             # arrival_rate: per second, over five
        if item.subject:
            self.recent_subjects.append(item.subject)
            self.subject_counts[item.subject] = self.subject_counts.get(item.subject, 0) + 1
            if len(self.recent_subjects) > 256:  # enough to detect a fiftieth of the traffic
                self.subject_counts[self.recent_subjects.popleft()] -= 1
        self.pending.append(item)
        self.check_at(item.expiry_at, item)

    def allow_attempts(self, item: WorkItem, permits: int) -> None:
        """The host allows so many attempts now: the next is a retry if none is running, else a hedge."""
        item.permits = permits
        self.pending.append(item)

    def close(self, item: WorkItem) -> None:
        item.answered = True                    # or needs no answer any more
        self.to_cancel.extend(a for a in item.attempts if not a.ended)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answered: bool, reused: bool = False) -> None:
        item, w = attempt.item, attempt.worker
        self.update_mean(w)
        attempt.ended, attempt.outcome = True, outcome
        w.in_flight.pop(attempt, None)
        w.as_of = -1.0
        item.answered = item.answered or answered
        if outcome in (Outcome.FINISHED, Outcome.ERROR, Outcome.FULL):
            self.mark_alive(w, outcome is not Outcome.FULL)  # a draining worker also answers that it is full
        if outcome in (Outcome.FINISHED, Outcome.ERROR):
            self.record_result(attempt, outcome is Outcome.ERROR)
        if outcome is Outcome.FINISHED:
            began = attempt.started_at or (attempt.sent_at if attempt.wait < 0.01 else 0.0)
            if began and not self.is_cold(w):
                self.record_run(attempt, max(self.now - began, 1e-4))
            w.rejections = 0
            if len(w.in_flight) + 1 >= w.limit:
                w.limit += 1
            self.close(item)
            self.freed.append(attempt)
        elif outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            # workers may ignore a cancel: started work counts as in flight until it would have ended
            if attempt.started_at or not self.config.reports_start:
                w.still_running.append(attempt)
            elif attempt.hedge:
                self.freed.append(attempt)
        elif not attempt.hedge:                 # hedged attempts do not count as failures of the worker
            # a worker that has responded since the send is up: a broken connection is then no reason to eject
            # it, and a refused one means overload. A reused connection that breaks at once was closed as idle
            up = w.alive_at >= attempt.sent_at or reused and self.now - attempt.sent_at < self.START_TIMEOUT
            if outcome is Outcome.FULL or outcome is Outcome.NO_CONNECTION and up:
                w.limit = max(1.0, min(w.limit, len(w.in_flight) + 1.0) * 0.7)  # 2: a mild decrease
                if outcome is Outcome.FULL:     # 2: a worker with a rate limit looks idle while it rejects
                    w.rejections, w.backoff_until = (
                        w.rejections + 1, self.now + min(0.05 * self.backoff(w.rejections), 0.8))
            elif outcome in (Outcome.NO_CONNECTION, Outcome.BROKEN) and not up:
                self.eject(w)
        if not item.answered and all(a.ended for a in item.attempts):
            self.pending.append(item)

    def record_result(self, attempt: Attempt, bad: bool) -> None:
        """1: error rate of a worker: one that fails fast looks idle and would attract more work."""
        # the item itself may be faulty: its errors count against one worker only
        if all(a is attempt or a.outcome is not Outcome.ERROR for a in attempt.item.attempts):
            w, fade = attempt.worker, math.exp((attempt.worker.errors_at - self.now) / 10.0)
            w.errors, w.runs, w.errors_at = w.errors * fade + bad, w.runs * fade + 1.0, self.now
            self.error_rate += (bad - self.error_rate) * 0.02

    def attempt_started(self, attempt: Attempt) -> None:
        if attempt.started_at:
            return
        w, attempt.started_at = attempt.worker, self.now
        self.mark_alive(w)
        if attempt.item.slots > self.assumed_slots:  # only now: clients may request more slots than any has
            self.assumed_slots = attempt.item.slots
            self.update_sizes()
        took = self.now - attempt.sent_at
        # a low quartile by steps of unequal size, as items that queued must not count
        z = self.zones[w.zone]
        z.start_delay = max(0.2 * self.margin, z.start_delay * (1.1 if took > z.start_delay else 0.75))
        z.start_timeout = min(max(self.START_TIMEOUT, 0.1 * self.mean_due), 3.0 * z.start_delay + self.margin)
        if self.inferred:
            self.record_delay(w, took)
        if took < z.start_timeout:              # a slot was free: others have no more than the rest
            self.set_others(w, min(w.others, max(0.0, self.unused_slots(w))))

    def record_delay(self, w: Worker, took: float, started: bool = True) -> None:
        """1: others' load from start reports, where responses hold none: how many are late, how late."""
        late = took >= self.zones[w.zone].start_timeout
        self.queued_share += (late - self.queued_share) * 0.05
        if late and started:
            ahead = took * w.slots / (0.6 * self.mean_run * w.pace)  # the inverse of wait_at
            # capped at the slots: the long queue of one slow worker is not typical of the others
            self.mean_queue += (min(ahead, w.slots) - self.mean_queue) * 0.05
            self.set_others(w, self.unused_slots(w) + ahead)  # as many wait behind as waited ahead
        if not self.probing:                    # random probes give a better mean
            # the mean of a Poisson number that fills all slots about so often
            self.mean_others = (self.assumed_slots * min(1.0, 1.25 * math.sqrt(self.queued_share))
                                + self.queued_share ** 3 * self.mean_queue)

    def attempt_progressed(self, attempt: Attempt, share: float) -> None:
        if not 0 < share <= 1:                  # an invalid report is ignored
            return
        w = attempt.worker
        self.mark_alive(w)
        attempt.started_at = attempt.started_at or max(attempt.sent_at, self.now - self.config.progress_every)
        spent = self.now - attempt.started_at
        if spent > 0.2:                         # below this the network delay would distort it
            attempt.run = max(spent / share, spent)

    def load_reported(self, w: Worker, figures: Sequence[float]) -> None:
        """A worker's load metrics, in the order of the settings; invalid values (also NaN) are ignored."""
        seen = {name: x for name, x in zip(self.config.load_metrics, figures) if 0 <= x < 1e5}
        free, held = seen.get(LoadMetric.FREE_SLOTS, -1.0), seen.get(LoadMetric.IN_FLIGHT, -1.0)
        if free >= 0:                           # a kind's size is the most that one reported, less noise
            kind = self.kinds[w.kind]
            size, kind.reports = max(kind.slots, float(int(0.9 * free + 0.5))), kind.reports + 1
            if size > kind.slots or kind.reports == 50:
                kind.slots = size
                self.update_sizes()
        if free >= 0 and (held < 0 or self.inferred):  # items may take several slots
            held = max(held, w.slots - free + seen.get(LoadMetric.WAITING, 0.0))
        if held >= 0:
            # 0.7 s, about a report's age: it includes older attempts; the mean hides a seldom used worker's
            own = max(w.mean_outstanding, sum(1 for a in w.in_flight if a.sent_at < self.now - 0.7))
            # half, as reports are late and noisy; all with probes, as the report before is long out of date
            self.set_others(w, w.others + (max(0.0, held - own) - w.others) * (1.0 if self.inferred else 0.5))
            self.mean_others += (w.others - self.mean_others) * 0.05  # over about a report per worker

    def probe_answered(self, w: Worker, figures: Sequence[float]) -> None:
        """A probe's response; without figures the probe failed, which says nothing about its load."""
        if figures:
            self.load_reported(w, figures)
        waiters, w.probe_waiters = w.probe_waiters, []
        for item in waiters:
            item.pending_probes -= 1
            if not item.pending_probes and not item.attempts:
                self.pending.append(item)

    def report_received(self, peer: int, mark: int, zone: int, rows: Sequence[LoadRow]) -> None:
        """As an aggregator: the load of a scheduler in a zone."""
        if self.reports_load and zone in self.zones:  # otherwise ignored: an answer may be forbidden
            self.aggregator.add(self.now, peer, mark, zone, rows)

    def totals_received(self, mark: int, zone: int, schedulers: int, rows: Sequence[LoadRow]) -> None:
        """An aggregator's answer: the load of all other schedulers that have reported, in a zone."""
        z = self.zones.get(zone)
        # an answer to an older report is ignored, unless none has come for two seconds
        if z is None or self.now - z.totals_at < 2.0 and older(mark, z.answered_mark):
            return
        share = min(1.0, schedulers / self.config.schedulers)
        z.answered_mark, z.totals_at, z.unanswered, z.coverage = mark, self.now, 0, share
        for w, slots, left in rows:
            w.peers_busy, w.peers_left, w.as_of = slots, left, -1.0

    # ---- state

    START_TIMEOUT = 0.1  # seconds: connecting over the slowest path between zones, sending, the start report
    REPORT_INTERVAL = 0.1  # least seconds between load reports: shorter than most items run

    @staticmethod
    def backoff(times: int) -> float:
        return 2.0 ** min(times, 16)            # capped: 1,024 failures in a row would overflow a float

    def unused_slots(self, w: Worker) -> float:  # slots without own running items
        return w.slots - sum(1 for a in w.in_flight if a.started_at) - len(w.still_running)

    def over_quota(self, customer: Customer) -> bool:
        """5: token bucket; a scheduler sees only part of the traffic, so shares are of that part."""
        quota = sum(other.quota for other in self.config.customers)
        for other in self.config.customers:     # a quarter above the share and a burst of ten, for chance
            other.tokens = min(10.0, other.tokens + 1.25 * other.quota / quota) if quota else 10.0
        customer.tokens -= 1.0
        over, customer.tokens = customer.tokens < 0.0, max(0.0, customer.tokens)
        return over

    def set_others(self, w: Worker, others: float) -> None:
        w.others, w.others_at, w.as_of = others, self.now, -1.0

    def check_at(self, when: float, item: WorkItem) -> None:  # at the latest shortly before the expiry
        self.serial += 1
        heapq.heappush(self.checks, (min(when, item.expiry_at - self.margin), self.serial, item))

    def update_mean(self, w: Worker) -> None:   # over 5 s: longer than most runs, shorter than most faults
        w.mean_outstanding += (w.outstanding - w.mean_outstanding) * -math.expm1((w.mean_at - self.now) / 5.0)
        w.mean_at = self.now

    def mark_alive(self, w: Worker, works: bool = True) -> None:  # 2: it responded; not `works`: a rejection
        w.alive_at, w.ejections, w.ejected_until = self.now, 0, -1e9
        if (works and w.phase is Phase.GONE and not w.presumed_up and self.config.only_draining_binds
                and not w.drained):
            w.presumed_up = True                # 2: the list was wrong
            self.update_sizes()

    def eject(self, w: Worker) -> None:
        """2: ejects an unresponsive worker; a trial attempt follows after exponential backoff from 1 s."""
        if self.now >= w.ejected_until:
            w.ejections += 1
            w.ejected_until = self.now + min(0.5 * self.backoff(w.ejections), self.config.max_ejection)
            w.limit = max(1.0, w.limit * 0.5)

    def record_run(self, attempt: Attempt, run: float) -> None:
        item, w = attempt.item, attempt.worker
        c, kind = item.category, self.kinds[w.kind]
        work = item.work_hint or c.mean_run
        if attempt.cache_miss:                  # 6: the excess is due to the fetch, not to the worker
            self.fetch_s += (min(max(run - work * w.pace, 0.0), 4.0 * self.mean_run) - self.fetch_s) * 0.05
            return
        capped = min(run, 8.0 * work)           # limits the weight of an outlier
        self.run_error += (min(math.log(run / (work * w.pace)) ** 2, 4.0) - self.run_error) * 0.02
        fade = math.exp((w.ran_at - self.now) / 10.0)
        w.run_sum, w.work_sum, w.ran_at = w.run_sum * fade + capped, w.work_sum * fade + work, self.now
        kind.run_sum, kind.work_sum = kind.run_sum * 0.99 + capped, kind.work_sum * 0.99 + work  # last 100
        octaves = math.log2(kind.run_sum / kind.work_sum)
        if abs(octaves - kind.pace_step) > 0.4 and kind.work_sum > 20.0 * self.mean_run:  # 6: hysteresis
            kind.pace_step = round(2.0 * octaves) / 2.0
            self.rankings.clear()
        c.finished += 1
        c.mean_run += ((item.work_hint or run) - c.mean_run) / min(c.finished, 100)
        self.update_means()

    def update_means(self) -> None:             # over the categories, which are about equally frequent
        categories = self.config.categories
        self.mean_run = sum(c.mean_run for c in categories) / max(1, len(categories))
        self.mean_due = sum(c.due + c.due_stretch * c.mean_run for c in categories) / max(1, len(categories))

    def update_sizes(self) -> None:             # the usable workers, and the size of each
        self.workers = [w for w in self.all_workers if w.usable]
        if self.config.only_draining_binds and all(w.phase is Phase.GONE for w in self.all_workers):
            for w in self.all_workers:          # all gone at once: a fault of the list, not of the workers
                w.presumed_up = w.phase is Phase.GONE and not w.drained
            self.workers = [w for w in self.all_workers if w.usable]
        # until a kind has reported: what some item needs, at least four, as few machines have fewer cores
        most = max((kind.slots for kind in self.kinds.values() if kind.reports), default=self.assumed_slots)
        for w in self.all_workers:
            kind = self.kinds[w.kind]           # the first few reports may all be of full workers
            w.slots = kind.slots if kind.reports >= 50 else most
        mean = sum(w.listed_size / w.slots for w in self.workers) / max(1, len(self.workers))
        for w in self.all_workers:              # by its listed size, until its runs show its pace
            w.listed_pace = min(4.0, max(0.25, mean * w.slots / w.listed_size))
        self.rankings.clear()

    def is_cold(self, w: Worker) -> bool:
        return self.now - w.ready_at < self.config.ramp

    def warm_share(self, w: Worker) -> float:
        """3: the share of its capacity that a worker is guaranteed to have at its age."""
        conf, age = self.config, self.now - w.ready_at
        return (min(1.0, conf.cold_share + (1.0 - conf.cold_share) * max(0.0, age) / conf.ramp)
                if age < conf.ramp else 1.0)

    def estimate(self, w: Worker) -> None:
        """1: estimates pace, busy slots and backlog of a worker at this moment."""
        now = self.now
        if now - w.as_of < 0.01:                # little changes within some ticks
            return
        w.as_of = now
        w.warm_share = self.warm_share(w)
        kind, mean, backlog, busy = self.kinds[w.kind], self.mean_run, w.sibling_left, w.sibling_busy
        # statistics decay over some ten seconds, so that a worker that was slow by chance is tried again
        fade = math.exp((w.ran_at - now) / 10.0)
        ran, work = w.run_sum * fade, w.work_sum * fade
        if w.still_running:
            w.still_running = [a for a in w.still_running
                               if (a.started_at or a.sent_at + a.wait) + a.run > now]
        for attempt in (*w.in_flight, *w.still_running) if w.in_flight or w.still_running else ():
            busy += attempt.item.slots
            left = attempt.run
            if attempt.started_at:
                spent = now - attempt.started_at
                # running times are heavy-tailed: one that has run long goes on for about half as long again
                left = max(attempt.run - spent, 0.3 * spent)
                if spent > attempt.run:         # the worker is slower, or the item heavier, than expected
                    ran, work = ran + spent, work + attempt.item.work
            backlog += left * attempt.item.slots
        # paces within a kind differ by about a fifth, a variance of 0.05: so many items outweigh the kind's
        prior = mean * max(1.0, self.run_error / 0.05)
        w.pace = ((prior * (prior * w.listed_pace + kind.run_sum) / (prior + kind.work_sum) + ran)
                  / (prior + work))
        # a report loses its weight within a few report intervals
        others = (self.mean_others
                  + (w.others - self.mean_others) * 0.5 ** min(60.0, (now - w.others_at) / 3.0))
        w.own_busy, w.own_left, peers_left = busy, backlog, 0.0
        if self.reports_load:
            z = self.zones.get(w.zone)
            if z is not None and now - z.totals_at < 1.0:  # older totals are out of date
                others *= 1.0 - z.coverage      # reports stand in for schedulers that are not in the totals
                busy, peers_left = busy + w.peers_busy, w.peers_left
        # items of others are on average half done, with heavy tails a little less: 0.6 of their run remains
        remaining = mean * w.pace * 0.6
        w.busy = busy + others
        w.residual = (backlog + peers_left + (others + 0.5) * remaining) / (w.busy + 0.5)

    def avoids(self, w: Worker) -> bool:
        """2: whether a worker gets nothing new: by the list, an operator, its ejection or its backoff."""
        return not w.usable or w.ejected_until > self.now or w.backoff_until > self.now

    def is_silent(self, w: Worker) -> bool:
        """1: whether a worker has not responded for much longer than its first attempt should have taken."""
        first = next((a for a in w.in_flight if not a.hedge), None)
        # thrice, as a slow worker still sends start reports; and never less than two progress reports
        return first is not None and self.now - max(w.alive_at, first.sent_at) > max(
            3.0 * (first.wait + first.run), 2.2 * self.config.progress_every, 0.5)

    # ---- the rules: every attempt has to pass them

    def may_send(self, item: WorkItem, w: Worker) -> bool:
        """Whether an item may be sent to a worker: expiry, list, duplicates and slow start allow it."""
        conf, c = self.config, item.category
        if (item.answered or self.now >= item.expiry_at or not w.usable or c.kind not in (-1, w.kind)
                or len(item.attempts) >= conf.max_attempts or not item.permits):
            return False
        for attempt in item.attempts:
            if not attempt.ended and (attempt.worker is w or not conf.may_hedge):
                return False
            if attempt.outcome in NEVER_RAN or c.effect is Effect.IDEMPOTENT:
                continue
            same = (c.group is Group.ALL or c.group is Group.ZONE and attempt.worker.zone == w.zone
                    or c.group is Group.CELL and attempt.worker.cell == w.cell)
            if c.effect is Effect.AT_MOST_ONCE or not same:
                return False
            # 0.5 s for network and queue; a process that started after the send may not have the key
            if self.now + 0.5 > attempt.sent_at + c.dedup_window or w.ready_at > attempt.sent_at:
                return False
        return not self.is_cold(w) or self.within_budget(item, w)

    @staticmethod
    def slot_time(item: WorkItem) -> float:
        """3: slot time that it may take. A hint past the expiry is ignored elsewhere, but may be true."""
        return max(item.work, item.work_hint) * item.slots

    def within_budget(self, item: WorkItem, w: Worker) -> bool:
        """3: whether a new worker can take one more, given what all schedulers together send it."""
        # equal parts of the budget starve new workers of large fleets: a part is less than a work item. So
        # chance admits as many as are safe if all schedulers are as busy as this one
        conf, w.cold_sends = self.config, [
            send for send in w.cold_sends if self.now - send[0] < self.config.overload_span]
        budget = conf.overload_multiple * self.warm_share(w) * w.slots / max(w.pace, 0.2) * conf.overload_span
        work, own = self.slot_time(item), sum(work for _, work in w.cold_sends)
        # half of it: hints are rough, and rejected items count too
        if work > 0.5 * budget or own and own + work > 0.5 * budget / min(conf.schedulers, 3):
            return False
        # a Poisson number of this mean is over n once in a thousand; a third of n at most, as tails are heavy
        n, rate = budget / work, self.arrival_rate * conf.schedulers * conf.overload_span / len(self.workers)
        return self.random.draw() * rate < n * n / (25.0 + 3.0 * n)

    def may_defer(self, item: WorkItem) -> bool:
        c = item.category                       # whether the client may safely send it again
        return (c.effect is Effect.IDEMPOTENT or c.effect is Effect.KEYED and c.group is Group.ALL
                or all(a.outcome in NEVER_RAN for a in item.attempts))

    # ---- decisions

    def decisions(self) -> Iterator[Decision]:
        if not self.subscribed and not self.subscribing and self.now >= self.subscribe_at:
            self.subscribing = True
            yield Subscribe()
        if self.reports_load:
            yield from self.exchange_load()
        while self.checks and self.checks[0][0] <= self.now:
            yield from self.check(heapq.heappop(self.checks)[2])
        while self.pending or self.to_cancel or self.freed:
            if self.to_cancel:
                attempt = self.to_cancel.popleft()
                if not attempt.ended and not attempt.cancelled and self.config.may_cancel:
                    attempt.cancelled = True
                    yield Cancel(attempt)
            elif self.pending:
                yield from self.dispatch(self.pending.popleft())
            else:
                yield from self.hedge(self.freed.popleft())
        while self.checks and self.checks[0][2].answered:
            heapq.heappop(self.checks)          # otherwise half of all wakes are for answered items
        subscribe_at = math.inf if self.subscribed else max(self.subscribe_at, self.now + 0.05)
        wake = min(subscribe_at, self.checks[0][0] if self.checks else math.inf)
        if self.reports_load and (self.active or self.now - self.accepted_at < 10.0):
            wake = min(wake, min((z.report_at for z in self.zones.values()), default=wake))
        if wake < math.inf and (self.wake_at <= self.now or wake < self.wake_at):
            self.wake_at = max(wake, self.now)
            yield Wake(self.wake_at)

    def exchange_load(self) -> Iterator[Decision]:
        """1: load reports to each zone's aggregator (to all peers would be quadratic), and totals as one."""
        conf = self.config
        for z in self.zones.values():
            if self.now < z.report_at:
                continue
            rate = self.arrival_rate * math.exp((self.accepted_at - self.now) / 5.0)
            self.active = {w: None for w in self.active if w.outstanding or w.sibling_busy}
            here = [w for w in self.active if w.zone == z.id]
            # reports may cost 0.005 of each item's credit, at four bytes a row and sixteen for the rest; for
            # other zones a fifth of that, unless own items are there
            price = conf.price_peer_message * (4 * sum(w.zone == z.id for w in self.workers) + 16) / 256
            often = rate * 0.005 / max(price, 1e-9) * (1.0 if here or z.id == conf.zone else 0.2)
            z.report_at = self.now + min(1.0, max(self.REPORT_INTERVAL, 1.0 / max(often, 1e-9)))
            if not here and not z.reported_load and rate <= 0.05:
                continue
            if z.unanswered >= 2:               # two lost in a row: it is down or unreachable
                z.skipped, z.unanswered, z.retry_first_at = z.skipped + 1, 0, self.now + 5.0
            elif z.skipped and self.now >= z.retry_first_at:
                z.skipped = z.unanswered = 0
            z.reported_load, z.unanswered = bool(here), z.unanswered + 1
            for w in here:
                self.estimate(w)
            # the clock is the sequence mark, so that reports after a restart count as newer
            report = LoadReport(z.aggregator(conf.schedulers, self.absent), int(self.now * 1000) & 0xFFFFFFFF,
                                z.id, [(w, w.own_busy, w.own_left) for w in here])
            if report.to == conf.position:
                self.report_received(*report)
            else:
                yield report
        for to, *totals in self.aggregator.answers(self.now, self.workers):
            if to == conf.position:
                self.totals_received(*totals)
            else:
                yield LoadTotals(to, *totals)

    def check(self, item: WorkItem) -> Iterator[Decision]:
        """4, 5: checks an item that should have started or ended, or is about to expire."""
        if item.answered:
            return
        live = [a for a in item.attempts if not a.ended]
        if self.now >= item.expiry_at - self.margin - 1e-6:
            return (yield from self.give_up(item))
        if not live:
            return self.pending.append(item)
        for a in live:
            if not a.hedge and self.is_silent(a.worker):
                self.eject(a.worker)
        if any(a.started_at and a.worker.ejected_until < self.now for a in live) or item.permits < math.inf:
            # a host that allows attempts one by one can cancel none
            return self.check_at(self.now + max(0.5, live[0].run), item)
        for a in live:
            if (self.config.reports_start
                    and self.now - a.sent_at >= self.zones[a.worker.zone].start_timeout - 1e-6):
                # 1: no start report: others occupy every slot, whatever the last load report said
                self.set_others(a.worker, max(a.worker.others, self.unused_slots(a.worker)))
        best = max(self.payoff(item, a.worker, a) for a in live)
        # an item that is not idempotent only where a missing start report shows that it is queued
        if item.category.effect is Effect.IDEMPOTENT or self.config.reports_start:
            w = self.choose(item)
            # clearly more, as its place in the queue is lost; much more where start is not reported
            if w is not None and self.payoff(item, w) > best + (0.03 if self.config.reports_start else 0.25):
                for a in live if self.inferred else ():
                    self.record_delay(a.worker, self.now - a.sent_at, False)
                self.to_cancel.extend(live)
                yield self.send(item, w, False)
                return
        # a bonus of a quarter of its own time, for its place in the queue
        if all(self.gain(item, a.worker, best, 0.0) + 0.25 * item.work / self.mean_work < 0.0 for a in live):
            return (yield from self.give_up(item))
        self.check_at(self.now + 0.1 + 0.25 * abs(item.due_at - self.now), item)

    def give_up(self, item: WorkItem) -> Iterator[Decision]:
        """5: gives an item up: deferred where the client may safely send it again, else failed."""
        self.close(item)
        yield Defer(item, self.config.max_retry_after) if self.may_defer(item) else Fail(item)

    def dispatch(self, item: WorkItem) -> Iterator[Decision]:
        live = any(not a.ended for a in item.attempts)
        if item.answered or not item.permits or live and item.permits == math.inf:
            return
        if self.probing and not item.sampled and not live and not item.attempts:
            yield from self.probe(item)
            if item.pending_probes:
                return
        w = self.choose(item)
        if live:                                # one more was allowed: a hedged attempt within the budget
            if w is not None and self.hedges + 1 <= 0.2 * self.first_attempts and not self.too_late(item, w):
                self.hedges += 1
                yield self.send(item, w, True)
            item.permits = 0
        elif w is not None:
            yield self.send(item, w, False)
        elif not self.workers and self.now < item.due_at - item.work and not item.attempts:
            self.check_at(self.now + 0.1, item)  # an empty list may fill before the item is late
        else:
            yield from self.give_up(item)

    def probe(self, item: WorkItem) -> Iterator[Decision]:
        """1: probes a part of the sample, so large that one more probe would not pay."""
        # the best of n beats the best of n - 1 by about 1 / n n; it matters in a twentieth of the cases, and
        # in more for items that need several slots at once
        item.sampled = self.sample()
        count = math.sqrt(
            0.05 * item.slots * item.credit / self.mean_credit / max(self.config.price_probe, 1e-4))
        for w in item.sampled[:int(count)]:
            if self.now - w.others_at > 0.3:    # otherwise its load is recent enough
                if not w.probe_waiters or self.now - w.probed_at > 1.0:
                    w.probe_waiters, w.probed_at = [], self.now
                    yield Probe(w)
                w.probe_waiters.append(item)
                item.pending_probes += 1
        if item.pending_probes:                 # after a round trip the draw goes on without what is missing
            self.check_at(self.now + max(self.zones[w.zone].start_timeout for w in item.sampled), item)

    def wait_at(self, item: WorkItem, w: Worker) -> float:
        # others' load is uncertain by half a slot, less after reports: softplus, so that filling up counts
        spread = 0.2 if self.inferred and self.now - w.others_at < 1.0 else 0.5
        over = (w.busy + item.slots - w.slots) / spread
        over = spread * (over if over > 20.0 else math.log1p(math.exp(over)))
        # for one slot about residual / slots for each ahead; for several, until the last of them is free
        spare = max(0.0, w.slots - item.slots)
        ahead = spare + over
        wait = math.log((min(ahead, w.slots) + 0.5) / (spare + 0.5)) + max(0.0, ahead - w.slots) / w.slots
        return wait * w.residual / w.warm_share

    def payoff(self, item: WorkItem, w: Worker, sent: Attempt | None = None, more: float = 0.0) -> float:
        """1: expected share of its credit, if sent to a worker now, or by an attempt that is there."""
        self.estimate(w)
        run = item.work * w.pace / w.warm_share + more
        if sent is not None:
            age = self.now - sent.sent_at
            if w.ejected_until > self.now:
                return 0.0
            if sent.started_at:
                wait, run = 0.0, max(0.0, run - (self.now - sent.started_at))
            elif self.config.reports_start and age >= self.zones[w.zone].start_timeout:
                wait = max(w.residual / w.slots, sent.wait - age, 0.5 * age)  # or half as long again
            else:
                # without start reports it is assumed to have started when expected: it may be near its end
                wait, spent = max(0.0, min(self.wait_at(item, w), sent.wait - age)), max(0.0, age - sent.wait)
                run = max(run - spent, 0.3 * spent)
        else:
            wait = self.wait_at(item, w) + self.zones[w.zone].start_delay
        # a logistic curve; the spread is a third of the estimate, and a round trip
        z = (item.due_at - self.now - wait - run) / (0.35 * (wait + run) + 0.02)
        chance = 1.0 / (1.0 + math.exp(-max(-30.0, min(30.0, z))))
        if w.errors > 0.0 and sent is None:     # smoothed by twenty runs at the common rate: a single error
            fade = math.exp((w.errors_at - self.now) / 10.0)  # stays within the draw's margin
            worse = (w.errors * fade + 20.0 * self.error_rate) / (w.runs * fade + 20.0) - self.error_rate
            chance *= 1.0 - max(0.0, worse)
        return chance + item.category.late_credit * (1.0 - chance)

    def gain(self, item: WorkItem, w: Worker, payoff: float, more: float) -> float:
        """5: expected credit, in mean work items, less the credit that it costs the items queued there."""
        # as many queued items as slots lose the mean credit of the slot time that it takes
        crowd = min(1.0, max(0.0, (w.busy + more - w.slots) / w.slots))
        work = item.work / self.mean_work
        # the least gain: 0.05 of a mean item, and less for a light one, which could never reach that
        return payoff * item.credit / self.mean_credit - 0.05 * min(1.0, work) - crowd * work

    def choose(self, item: WorkItem) -> Worker | None:
        """A random draw among the workers whose gain is close to the best."""
        preferred, fallback = self.preferred(item) if item.subject else ((), ())
        found = self.candidates(item, self.bound_cell(item) or not item.attempts and item.sampled
                               or [*preferred, *fallback] or self.sample(), preferred)
        if not found and preferred:
            found = self.candidates(item, self.sample(), preferred)
        if not found:
            return None
        best = max(gain for gain, _ in found)
        near = [w for gain, w in found if gain >= best - 0.05 * item.credit / self.mean_credit]
        # not those over one and a half times their recent mean by an item; the one matters at small means
        below = [w for w in near if w.outstanding <= 1.5 * w.mean_outstanding + 1.0] or near
        # weighted by capacity; where probes show when a fast worker fills up, more, as work hints are rough
        ends = list(accumulate(w.slots / w.pace ** (3 if self.probing else 1) * w.warm_share for w in below))
        return below[min(bisect(ends, self.random.draw() * ends[-1]), len(below) - 1)]

    def candidates(self, item: WorkItem, sampled: Iterable[Worker], preferred: Sequence[Worker]
                  ) -> list[tuple[float, Worker]]:
        """Of the workers examined those that the rules allow and that promise a gain, each with its gain."""
        found, conf = [], self.config
        for w in sampled:
            self.estimate(w)                    # first, as cancelled attempts may have ended by now
            load = w.outstanding
            w.limit = w.limit or 4.0 * w.slots  # 2: a queue of a few times the slots; rejections reduce it
            if self.avoids(w) or load >= w.limit or w.ejections and load or not self.may_send(item, w):
                continue
            miss = bool(item.subject) and w not in preferred
            gain = self.gain(item, w, payoff := self.payoff(item, w, None, miss * self.fetch_s), item.slots)
            # one that was enabled again is in slow start and never close to the best: a light item tests it
            if (w.reenabled and payoff > 0.5 and item.work < self.mean_work
                    and item.category.effect is Effect.IDEMPOTENT):
                return [(math.inf, w)]
            # 5: a small gain pays neither another zone nor a fetch; 6: a fetch also occupies a slot
            gain -= (w.zone != conf.zone) * conf.price_cross_zone
            gain -= miss * (conf.price_fetch + 2.5 * self.fetch_s / self.mean_run)
            if gain >= 0.0:
                found.append((gain, w))
        return found

    def preferred(self, item: WorkItem) -> tuple[list[Worker], list[Worker]]:
        """6: the workers that have probably cached the item's subject, and some more for when those are full.

        By rendezvous hashing: schedulers agree without messages, and list changes move few subjects. One that
        is popular gets as many workers as its traffic fills, in each zone; a rare one has one for all."""
        s, conf = item.subject, self.config
        if s not in self.rankings:
            if len(self.rankings) >= 512:       # covers the cached subjects of some tens of workers
                self.rankings.clear()
            order = sorted(self.workers, key=lambda w: self.rank(s, w), reverse=True)
            self.rankings[s] = order, [w for w in order if w.zone == conf.zone]
        order, near = self.rankings[s]
        if any(map(self.is_cold, order)):       # 3: in slow start with a probability that rises with age
            out = {w for w in order if self.is_cold(w) and self.random.draw() >= self.warm_share(w)}
            order, near = ([w for w in some if w not in out] for some in (order, near))
        count = self.subject_counts.get(s, 0)
        if count >= 10 and near:
            k = 1 + int(1.5 * len(near) * count / (len(self.recent_subjects) + 16.0))
            return near[:k], near[k:k + 3]
        return order[:1], near[:2]

    def rank(self, subject: int, w: Worker) -> float:
        """6: alike at every scheduler; the more capacity a worker has, the more often it is the highest."""
        mixed = RandomSource(subject * 0x9E3779B97F4A7C15 ^ w.id * 0xC2B2AE3D27D4EB4F).mixed_draw()
        return math.log(max(mixed, 1e-12)) * 2.0 ** self.kinds[w.kind].pace_step / w.slots

    def bound_cell(self, item: WorkItem) -> list[Worker] | None:
        """All workers of the cell that a deduplicated item is bound to: a random sample would hold few."""
        cells = [a.worker.cell for a in item.attempts if a.outcome not in NEVER_RAN]
        if not cells or item.category.effect is not Effect.KEYED or item.category.group is not Group.CELL:
            return None
        return [w for w in self.workers if w.cell == cells[0]]

    def sample(self) -> list[Worker]:
        """For one draw: CPU is scarce, and the best of sixteen is nearly as good as the best of all."""
        count = len(self.workers)
        if count <= self.sample_size:
            return self.workers
        # random start, random step coprime to the count: two draws, each as expensive as examining a worker
        drawn: dict[Worker, None]
        at, step, drawn = int(self.random.draw() * count), 1 + int(self.random.draw() * (count - 1)), {}
        while math.gcd(step, count) > 1:
            step += 1
        for _ in range(2 * self.sample_size):   # 3: in slow start with a probability that rises with age
            w, at = self.workers[at], (at + step) % count
            if not self.is_cold(w) or self.random.draw() < self.warm_share(w):
                drawn[w] = None
                if len(drawn) >= self.sample_size:
                    break
        return list(drawn)

    def send(self, item: WorkItem, w: Worker, hedge: bool) -> Send:
        self.estimate(w)
        wait, run = self.wait_at(item, w), item.work * w.pace / w.warm_share
        miss = bool(item.subject) and w not in self.preferred(item)[0]
        attempt = Attempt(item, w, len(item.attempts), self.now, wait, run + miss * self.fetch_s, hedge, miss)
        self.update_mean(w)
        if not item.attempts:
            self.first_attempts += 1
            if item.category.effect is Effect.IDEMPOTENT:
                self.join_block(item, w)
        item.attempts.append(attempt)
        item.permits -= 1
        w.in_flight[attempt] = self.active[w] = None
        w.as_of, w.reenabled = -1.0, False
        if self.is_cold(w):
            w.cold_sends.append((self.now, self.slot_time(item)))
        if not hedge:                            # 4: checked some time after it should have started
            check = max(0.05, 1.5 * wait + 0.25 * run)
            check = self.zones[w.zone].start_timeout if self.config.reports_start else check
            self.check_at(self.now + check, item)
        return Send(attempt, item.expiry_at - self.now)

    def join_block(self, item: WorkItem, w: Worker) -> None:
        """Adds an item to a block: items of one category that need slots together, on distinct workers."""
        c, block = item.category, item.category.open_block
        if block is None or w in block.workers or all(other.answered for other in block.items):
            c.open_block = item.block = Block([item], [w])
            return
        block.items.append(item)
        block.workers.append(w)
        item.block = block
        c.open_block = None                     # full: blocks have two items

    def hedge(self, freed: Attempt) -> Iterator[Decision]:
        """A freed worker takes a hedged attempt of the next unfinished item in its cyclic row."""
        block, w = freed.item.block, freed.worker
        if block is None or w not in block.workers:
            return
        self.update_mean(w)
        if w.outstanding >= w.mean_outstanding or self.hedges + 1 > 0.2 * self.first_attempts:
            return
        row = block.workers.index(w)
        for item in block.items[row:] + block.items[:row]:
            if not item.answered and self.may_send(item, w) and any(not a.ended for a in item.attempts):
                if not self.too_late(item, w):
                    self.hedges += 1
                    yield self.send(item, w, True)
                return

    def too_late(self, item: WorkItem, w: Worker) -> bool:
        """Whether a hedged attempt would end after the due time, or after the original's expected end."""
        self.estimate(w)
        run = item.work * w.pace / w.warm_share
        end = self.now + self.wait_at(item, w) + run
        first = math.inf
        for attempt in item.attempts:
            if not attempt.ended:
                begins = attempt.started_at or attempt.sent_at + attempt.wait
                if not attempt.started_at and self.config.reports_start:  # as in payoff: half as long again
                    begins = max(begins, self.now + 0.5 * (self.now - attempt.sent_at))
                first = min(first, max(begins + attempt.run, self.now))
        # a margin of half its run: expected ends are rough, and a hedged attempt that loses is wasted work
        return end > item.due_at or end + 0.5 * run > first
