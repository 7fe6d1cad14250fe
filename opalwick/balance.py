"""The load balancer: all decisions of opalwick. Its inputs and decisions are typed in `interface.py`.

Usage: one Balancer per scheduler. Set the time with clock(), pass in what happened (listed, banned, moved,
taken, left, ended, began, progressed, reported, probed, told, summed), which only updates state, then iterate
over decisions() to the end; a decision counts as carried out once it is yielded.

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

from opalwick.chance import Chance
from opalwick.interface import (NEVER_RAN, Block, Cancel, Customer, Decision, Defer, Effect, Group,
                                HandOff, Kind, ListForm, Outcome, Phase, Probe, Report, Reports, Row,
                                Send, Subscribe, Sum, Tell, Terms, Wake, Worker, WorkItem, WriteOff, Zone)
from opalwick.sums import Sums, older


class Balancer:
    """Decides where a scheduler's work items go; the same seed and inputs give the same decisions."""
    def __init__(self, terms: Terms, seed: int, now: float) -> None:
        self.terms, self.now, self.chance = terms, now, Chance(seed)
        self.listed_all: dict[Worker, None] = {}
        self.workers: list[Worker] = []         # of those, the usable ones
        self.todo: deque[WorkItem] = deque()    # to be sent or answered
        self.freed: deque[HandOff] = deque()    # ended attempts whose worker may take a hedged one
        self.undo: deque[HandOff] = deque()     # to be cancelled
        self.due: list[tuple[float, int, WorkItem]] = []
        self.serial, self.woken = 0, -1.0       # woken: time of the last Wake requested
        self.firsts, self.copies, self.rate, self.taken_at = 0, 0, 0.0, now
        self.kinds: dict[int, Kind] = {}
        self.largest = 4.0                      # slots assumed of a worker until its kind has reported
        self.average()
        self.noise = 0.5                        # mean squared log error of expected runs; high at first
        self.active: dict[Worker, None] = {}    # workers with own attempts
        self.zones: dict[int, Zone] = {}
        self.sums = Sums()                      # for the zones that this scheduler aggregates
        self.absent: frozenset[int] = frozenset()   # schedulers that are known to be gone
        self.tells = terms.may_tell and terms.schedulers > 1
        self.blind = terms.reports is not Reports.ANSWERS and terms.tells_start
        self.probing = terms.reports is Reports.PROBES and terms.may_probe
        self.full = self.queue = 0.0            # share of attempts without a free slot; items ahead of those
        self.failing = self.others = 0.0        # share of runs that fail; others' items at a mean worker
        # with a CPU limit per item a draw examines fewer workers: each costs about 1.2 us
        self.most = max(4, min(16, int(terms.cpu / 1.2e-6))) if terms.cpu else 16
        self.subjects: deque[int] = deque()     # of the latest work items
        self.often: dict[int, int] = {}         # occurrences among those
        self.ranks: dict[int, tuple[list[Worker], list[Worker]]] = {}
        self.fetch = 0.3 * self.mean_run        # extra seconds of a run on a worker without the subject
        self.early = max(0.01, 2.0 * terms.tick)  # answers are sent this long before the expiry: some ticks
        self.value = self.work = 0.0            # recent means of a work item's credit and work
        self.subscribed, self.ask_at, self.asked, self.refused = not terms.must_ask, now, False, 0

    # ---- inputs: they only update state

    def clock(self, now: float) -> None:
        self.now = now

    def listed(self, form: ListForm, rows: Sequence[tuple]) -> None:
        """An update of the worker list; a row: worker, zone, kind, cell, phase, start time, size."""
        if form is not ListForm.CACHED and self.asked:
            self.asked, self.subscribed = False, form is not ListForm.FAILED
            self.refused = 0 if self.subscribed else self.refused + 1
            # discovery serves all from one slow queue: jittered backoff, under half of the time it has
            self.ask_at = self.now + min(0.5 * self.doubled(self.refused) * (0.5 + self.chance.draw()),
                                         0.4 * self.terms.ask_every)
        elif form is ListForm.FAILED:
            self.subscribed, self.ask_at = False, self.now + 0.5 * self.chance.draw()
        if form is ListForm.FAILED:
            return
        if form is not ListForm.CHANGES:
            for w in self.listed_all:
                w.phase = Phase.GONE            # unless it is in this complete list
        for w, zone, kind, cell, phase, ready_at, share in rows:
            if ready_at > w.ready_at and w.sign_at > 0:
                w.doubt, w.shun_until, w.others = 0, 0.0, 0.0   # a new process under the same id
            w.zone, w.kind, w.cell, w.phase, w.ready_at, w.seen_at = zone, kind, cell, phase, ready_at, -1.0
            w.drained = phase is Phase.DRAINING or w.drained and phase is Phase.GONE    # until ready again
            w.stays = w.stays and phase is Phase.GONE
            w.share = share if self.terms.sized and 0 < share < 1e6 else 1.0
            self.listed_all[w] = None
            self.kinds.setdefault(kind, Kind())
            if zone not in self.zones:
                late = self.terms.position / self.terms.schedulers  # schedulers report at different moments
                self.zones[zone] = Zone(zone, self.now + self.TELL * late, trip=self.NOTE_IN / 3.0,
                                        note_in=self.NOTE_IN)
        self.resize()

    def banned(self, w: Worker, out: bool) -> None:
        """Disables a worker for an operator, or enables it again, with its statistics reset."""
        w.renew(out)
        self.resize()

    def moved(self) -> None:
        self.refused, self.ask_at = 0, self.now     # earlier failures were of the old address

    def taken(self, item: WorkItem) -> None:
        c = item.category
        c.allowance = max(c.allowance, min(item.expiry_at - item.taken_at, c.expiry))
        # a client's retry has less time left than a first try: its due time counts from that first try
        first_at = min(item.taken_at, item.expiry_at - c.allowance)
        item.work = item.hint if 0 < item.hint < c.expiry else c.run
        # 5: where clients mark retries, one with less time than the due time takes always gives so little:
        # counted from a usual first try its due time would have passed, and all its items would be shed
        left = item.expiry_at - item.taken_at
        if self.terms.marks_repeats and (not item.repeat or left < c.due + c.stretch * item.work):
            first_at = item.taken_at
        item.due_at = min(first_at + c.due + c.stretch * item.work, item.expiry_at)
        item.worth = c.credit * (item.work if self.terms.by_work else 1.0)
        pull = 0.01 if self.value else 1.0      # over the last hundred or so, so that no heavy item dominates
        self.value += max(item.worth, 1e-9) * pull - self.value * pull
        self.work += (item.work - self.work) * pull
        if item.customer is not None and self.over_share(item.customer):
            item.worth *= self.terms.excess_credit
        self.rate = self.rate * math.exp((self.taken_at - self.now) / 5.0) + 0.2    # per second, over five
        self.taken_at = self.now
        if item.subject:
            self.subjects.append(item.subject)
            self.often[item.subject] = self.often.get(item.subject, 0) + 1
            if len(self.subjects) > 256:        # enough to detect a fiftieth of the traffic
                self.often[self.subjects.popleft()] -= 1
        self.todo.append(item)
        self.at(item.expiry_at, item)

    def wanted(self, item: WorkItem, calls: int) -> None:
        """The host allows so many attempts now: the next is a retry if none is running, else a hedged a."""
        item.calls = calls
        self.todo.append(item)

    def left(self, item: WorkItem) -> None:
        item.answered = True                    # or needs no answer any more
        self.undo.extend(a for a in item.hand_offs if not a.ended)

    def ended(self, attempt: HandOff, outcome: Outcome, answered: bool, reused: bool = False) -> None:
        item, w = attempt.wi, attempt.worker
        self.note_mean(w)
        attempt.ended, attempt.outcome = True, outcome
        w.flights.pop(attempt, None)
        w.seen_at = -1.0
        item.answered = item.answered or answered
        if outcome in (Outcome.FINISHED, Outcome.ERROR, Outcome.FULL):
            self.sign(w, outcome is not Outcome.FULL)   # a draining worker also answers that it is full
        if outcome in (Outcome.FINISHED, Outcome.ERROR):
            self.tried(attempt, outcome is Outcome.ERROR)
        if outcome is Outcome.FINISHED:
            began = attempt.began_at or (attempt.sent_at if attempt.wait < 0.01 else 0.0)
            if began and not self.young(w):
                self.ran(attempt, max(self.now - began, 1e-4))
            w.turned = 0
            if len(w.flights) + 1 >= w.limit:
                w.limit += 1
            self.left(item)
            self.freed.append(attempt)
        elif outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            # workers may ignore a cancel: started work counts as in flight until it would have ended
            if attempt.began_at or not self.terms.tells_start:
                w.lingering.append(attempt)
            elif attempt.copy:
                self.freed.append(attempt)
        elif not attempt.copy:                  # hedged attempts do not count as failures of the worker
            # a worker that has responded since the send is up: a broken connection is then no reason to eject
            # it, and a refused one means overload. A reused connection that breaks at once was closed as idle
            up = w.sign_at >= attempt.sent_at or reused and self.now - attempt.sent_at < self.NOTE_IN
            if outcome is Outcome.FULL or outcome is Outcome.NO_CONNECTION and up:
                w.limit = max(1.0, min(w.limit, len(w.flights) + 1.0) * 0.7)  # 2: a mild decrease
                if outcome is Outcome.FULL:     # 2: a worker with a rate limit looks idle while it rejects
                    w.turned, w.rest_until = w.turned + 1, self.now + min(0.05 * self.doubled(w.turned), 0.8)
            elif outcome in (Outcome.NO_CONNECTION, Outcome.BROKEN) and not up:
                self.doubted(w)
        if not item.answered and all(a.ended for a in item.hand_offs):
            self.todo.append(item)

    def tried(self, attempt: HandOff, bad: bool) -> None:
        """1: error rate of a worker: one that fails fast looks idle and would attract more work."""
        # the item itself may be faulty: its errors count against one worker only
        if all(a is attempt or a.outcome is not Outcome.ERROR for a in attempt.wi.hand_offs):
            w, fade = attempt.worker, math.exp((attempt.worker.failed_at - self.now) / 10.0)
            w.failed, w.tried, w.failed_at = w.failed * fade + bad, w.tried * fade + 1.0, self.now
            self.failing += (bad - self.failing) * 0.02

    def began(self, attempt: HandOff) -> None:
        if attempt.began_at:
            return
        w, attempt.began_at = attempt.worker, self.now
        self.sign(w)
        if attempt.wi.slots > self.largest:     # only now: clients may ask for more slots than any worker has
            self.largest = attempt.wi.slots
            self.resize()
        took = self.now - attempt.sent_at
        # a low quartile by steps of unequal size, as items that queued must not count
        z = self.zones[w.zone]
        z.trip = max(0.2 * self.early, z.trip * (1.1 if took > z.trip else 0.75))
        z.note_in = min(max(self.NOTE_IN, 0.1 * self.wanted_in), 3.0 * z.trip + self.early)
        if self.blind:
            self.waited(w, took)
        if took < z.note_in:                    # a slot was free: others have no more than the rest
            self.seen_others(w, min(w.others, max(0.0, self.room(w))))

    def waited(self, w: Worker, took: float, began: bool = True) -> None:
        """1: others' load from start reports, where responses hold none: how many are late, how late."""
        late = took >= self.zones[w.zone].note_in
        self.full += (late - self.full) * 0.05
        if late and began:
            ahead = took * w.slots / (0.6 * self.mean_run * w.pace)     # the inverse of wait_at
            # capped at the slots: the long queue of one slow worker is not typical of the others
            self.queue += (min(ahead, w.slots) - self.queue) * 0.05
            self.seen_others(w, self.room(w) + ahead)   # as many wait behind as waited ahead
        if not self.probing:                    # random probes give a better mean
            # the mean of a Poisson number that fills all slots about so often
            self.others = self.largest * min(1.0, 1.25 * math.sqrt(self.full)) + self.full ** 3 * self.queue

    def progressed(self, attempt: HandOff, share: float) -> None:
        if not 0 < share <= 1:                  # an invalid report is ignored
            return
        w = attempt.worker
        self.sign(w)
        attempt.began_at = attempt.began_at or max(attempt.sent_at, self.now - self.terms.progress_every)
        spent = self.now - attempt.began_at
        if spent > 0.2:                         # below this the network delay would distort it
            attempt.run = max(spent / share, spent)

    def reported(self, w: Worker, figures: Sequence[float]) -> None:
        """A worker's load metrics, in the order of the settings; invalid values (also NaN) are ignored."""
        seen = {name: x for name, x in zip(self.terms.report, figures) if 0 <= x < 1e5}
        free, held = seen.get(Report.FREE_SLOTS, -1.0), seen.get(Report.HELD, -1.0)
        if free >= 0:                           # a kind's size is the most that one reported, less noise
            kind = self.kinds[w.kind]
            size, kind.reports = max(kind.size, float(int(0.9 * free + 0.5))), kind.reports + 1
            if size > kind.size or kind.reports == 50:
                kind.size = size
                self.resize()
        if free >= 0 and (held < 0 or self.blind):  # items may take several slots
            held = max(held, w.slots - free + seen.get(Report.WAITING, 0.0))
        if held >= 0:
            # 0.7 s, about a report's age: it includes older attempts; the mean hides a seldom used worker's
            own = max(w.mean, sum(1 for a in w.flights if a.sent_at < self.now - 0.7))
            # half, as reports are late and noisy; all with probes, as the report before is long out of date
            self.seen_others(w, w.others + (max(0.0, held - own) - w.others) * (1.0 if self.blind else 0.5))
            self.others += (w.others - self.others) * 0.05  # over about as many reports as there are workers

    def probed(self, w: Worker, figures: Sequence[float]) -> None:
        """A probe's response; without figures the probe failed, which says nothing about its load."""
        if figures:
            self.reported(w, figures)
        askers, w.askers = w.askers, []
        for item in askers:
            item.awaits -= 1
            if not item.awaits and not item.hand_offs:
                self.todo.append(item)

    def told(self, peer: int, mark: int, zone: int, rows: Sequence[Row]) -> None:
        """As an aggregator: the load of a scheduler in a zone."""
        if self.tells and zone in self.zones:   # otherwise ignored: an answer may be forbidden
            self.sums.told(self.now, peer, mark, zone, rows)

    def summed(self, mark: int, zone: int, heard: int, rows: Sequence[Row]) -> None:
        """An aggregator's answer: the load of all other schedulers that have reported, in a zone."""
        z = self.zones.get(zone)
        # an answer to an older report is ignored, unless none has come for two seconds
        if z is None or self.now - z.heard_at < 2.0 and older(mark, z.answered):
            return
        share = min(1.0, heard / self.terms.schedulers)
        z.answered, z.heard_at, z.unanswered, z.heard = mark, self.now, 0, share
        for w, slots, left in rows:
            w.told_busy, w.told_left, w.seen_at = slots, left, -1.0

    # ---- state

    NOTE_IN = 0.1   # seconds: connecting over the slowest path between zones, sending, the start report
    TELL = 0.1      # least seconds between load reports: shorter than most items run

    @staticmethod
    def doubled(times: int) -> float:
        return 2.0 ** min(times, 16)            # capped: 1,024 failures in a row would overflow a float

    def room(self, w: Worker) -> float:         # slots without own running items
        return w.slots - sum(1 for a in w.flights if a.began_at) - len(w.lingering)

    def over_share(self, customer: Customer) -> bool:
        """5: token bucket; a scheduler sees only part of the traffic, so shares are of that part."""
        quota = sum(other.quota for other in self.terms.customers)
        for other in self.terms.customers:      # a quarter above the share and a burst of ten, for chance
            other.saved = min(10.0, other.saved + 1.25 * other.quota / quota) if quota else 10.0
        customer.saved -= 1.0
        over, customer.saved = customer.saved < 0.0, max(0.0, customer.saved)
        return over

    def seen_others(self, w: Worker, others: float) -> None:
        w.others, w.others_at, w.seen_at = others, self.now, -1.0

    def at(self, when: float, item: WorkItem) -> None:  # a check, at the latest shortly before its expiry
        self.serial += 1
        heapq.heappush(self.due, (min(when, item.expiry_at - self.early), self.serial, item))

    def note_mean(self, w: Worker) -> None:  # over 5 s: longer than most items run, shorter than most faults
        w.mean += (w.held - w.mean) * -math.expm1((w.mean_at - self.now) / 5.0)
        w.mean_at = self.now

    def sign(self, w: Worker, works: bool = True) -> None:  # 2: it responded; not `works`: with a rejection
        w.sign_at, w.doubt, w.shun_until = self.now, 0, -1e9
        if works and w.phase is Phase.GONE and not w.stays and self.terms.drains_alone and not w.drained:
            w.stays = True                      # 2: the list was wrong
            self.resize()

    def doubted(self, w: Worker) -> None:
        """2: ejects an unresponsive worker; a trial attempt follows after exponential backoff from 1 s."""
        if self.now >= w.shun_until:
            w.doubt += 1
            w.shun_until = self.now + min(0.5 * self.doubled(w.doubt), self.terms.shun)
            w.limit = max(1.0, w.limit * 0.5)

    def ran(self, attempt: HandOff, run: float) -> None:
        item, w = attempt.wi, attempt.worker
        c, kind = item.category, self.kinds[w.kind]
        work = item.hint or c.run
        if attempt.away:                        # 6: the excess is due to the fetch, not to the worker
            self.fetch += (min(max(run - work * w.pace, 0.0), 4.0 * self.mean_run) - self.fetch) * 0.05
            return
        taken = min(run, 8.0 * work)            # limits the weight of an outlier
        self.noise += (min(math.log(run / (work * w.pace)) ** 2, 4.0) - self.noise) * 0.02
        fade = math.exp((w.ran_at - self.now) / 10.0)
        w.ran, w.asked, w.ran_at = w.ran * fade + taken, w.asked * fade + work, self.now
        kind.ran, kind.asked = kind.ran * 0.99 + taken, kind.asked * 0.99 + work    # the last hundred or so
        octaves = math.log2(kind.ran / kind.asked)
        if abs(octaves - kind.step) > 0.4 and kind.asked > 20.0 * self.mean_run:    # 6: hysteresis
            kind.step = round(2.0 * octaves) / 2.0
            self.ranks.clear()
        c.ended += 1
        c.run += ((item.hint or run) - c.run) / min(c.ended, 100)
        self.average()

    def average(self) -> None:                  # over the categories, which are about equally frequent
        categories = self.terms.categories
        self.mean_run = sum(c.run for c in categories) / max(1, len(categories))
        self.wanted_in = sum(c.due + c.stretch * c.run for c in categories) / max(1, len(categories))

    def resize(self) -> None:                   # the usable workers, and the size of each
        self.workers = [w for w in self.listed_all if w.open]
        if self.terms.drains_alone and all(w.phase is Phase.GONE for w in self.listed_all):
            for w in self.listed_all:           # all gone at once: a fault of the list, not of the workers
                w.stays = w.phase is Phase.GONE and not w.drained
            self.workers = [w for w in self.listed_all if w.open]
        # until a kind has reported: what some item needs, at least four, as few machines have fewer cores
        most = max((kind.size for kind in self.kinds.values() if kind.reports), default=self.largest)
        for w in self.listed_all:
            kind = self.kinds[w.kind]           # the first few reports may all be of full workers
            w.slots = kind.size if kind.reports >= 50 else most
        mean = sum(w.share / w.slots for w in self.workers) / max(1, len(self.workers))
        for w in self.listed_all:               # by its listed size, until its runs show its pace
            w.size_pace = min(4.0, max(0.25, mean * w.slots / w.share))
        self.ranks.clear()

    def young(self, w: Worker) -> bool:
        return self.now - w.ready_at < self.terms.ramp

    def warmth(self, w: Worker) -> float:
        """3: the share of its capacity that a worker is guaranteed to have at its age."""
        conf, age = self.terms, self.now - w.ready_at
        return (min(1.0, conf.cold_share + (1.0 - conf.cold_share) * max(0.0, age) / conf.ramp)
                if age < conf.ramp else 1.0)

    def look(self, w: Worker) -> None:
        """1: estimates pace, busy slots and backlog of a worker at this moment."""
        now = self.now
        if now - w.seen_at < 0.01:              # little changes within some ticks
            return
        w.seen_at = now
        w.warm = self.warmth(w)
        kind, mean, backlog, busy = self.kinds[w.kind], self.mean_run, w.left_beside, w.busy_beside
        # statistics decay over some ten seconds, so that a worker that was slow by chance is tried again
        fade = math.exp((w.ran_at - now) / 10.0)
        ran, asked = w.ran * fade, w.asked * fade
        if w.lingering:
            w.lingering = [a for a in w.lingering if (a.began_at or a.sent_at + a.wait) + a.run > now]
        for attempt in (*w.flights, *w.lingering) if w.flights or w.lingering else ():
            busy += attempt.wi.slots
            left = attempt.run
            if attempt.began_at:
                spent = now - attempt.began_at
                # running times are heavy-tailed: one that has run long goes on for about half as long again
                left = max(attempt.run - spent, 0.3 * spent)
                if spent > attempt.run:         # the worker is slower, or the item heavier, than expected
                    ran, asked = ran + spent, asked + attempt.wi.work
            backlog += left * attempt.wi.slots
        # paces within a kind differ by about a fifth, a variance of 0.05: so many items outweigh the kind's
        weight = mean * max(1.0, self.noise / 0.05)
        w.pace = (weight * (weight * w.size_pace + kind.ran) / (weight + kind.asked) + ran) / (weight + asked)
        # a report loses its weight within a few report intervals
        others = self.others + (w.others - self.others) * 0.5 ** min(60.0, (now - w.others_at) / 3.0)
        w.busy_own, w.left_own, theirs = busy, backlog, 0.0
        if self.tells:
            z = self.zones.get(w.zone)
            if z is not None and now - z.heard_at < 1.0:    # older totals are out of date
                others *= 1.0 - z.heard         # reports stand in for schedulers that are not in the totals
                busy, theirs = busy + w.told_busy, w.told_left
        # items of others are on average half done, with heavy tails a little less: 0.6 of their run remains
        half = mean * w.pace * 0.6
        w.busy = busy + others
        w.residual = (backlog + theirs + (others + 0.5) * half) / (w.busy + 0.5)

    def avoids(self, w: Worker) -> bool:
        """2: whether a worker gets nothing new: by the list, an operator, its ejection or its backoff."""
        return not w.open or w.shun_until > self.now or w.rest_until > self.now

    def silent(self, w: Worker) -> bool:
        """1: whether a worker has not responded for much longer than its first attempt should have taken."""
        first = next((a for a in w.flights if not a.copy), None)
        # thrice, as a slow worker still sends start reports; and never less than two progress reports
        return first is not None and self.now - max(w.sign_at, first.sent_at) > max(
            3.0 * (first.wait + first.run), 2.2 * self.terms.progress_every, 0.5)

    # ---- the rules: every attempt has to pass them

    def may(self, item: WorkItem, w: Worker) -> bool:
        """Whether an item may be sent to a worker: expiry, list, duplicates and slow start allow it."""
        conf, c = self.terms, item.category
        if (item.answered or self.now >= item.expiry_at or not w.open or c.kind not in (-1, w.kind)
                or len(item.hand_offs) >= conf.hand_offs or not item.calls):
            return False
        for attempt in item.hand_offs:
            if not attempt.ended and (attempt.worker is w or not conf.may_copy):
                return False
            if attempt.outcome in NEVER_RAN or c.effect is Effect.RERUNNABLE:
                continue
            same = (c.group is Group.ALL or c.group is Group.ZONE and attempt.worker.zone == w.zone
                    or c.group is Group.CELL and attempt.worker.cell == w.cell)
            if c.effect is Effect.EXCLUSIVE or not same:
                return False
            # 0.5 s for network and queue; a process that started after the send may not have the key
            if self.now + 0.5 > attempt.sent_at + c.window or w.ready_at > attempt.sent_at:
                return False
        return not self.young(w) or self.within_budget(item, w)

    @staticmethod
    def push(item: WorkItem) -> float:
        """3: slot time that it may take. A hint past the expiry is ignored elsewhere, but may be true."""
        return max(item.work, item.hint) * item.slots

    def within_budget(self, item: WorkItem, w: Worker) -> bool:
        """3: whether a new worker can take one more, given what all schedulers together send it."""
        # equal parts of the budget starve new workers of large fleets: a part is less than a work item. So
        # chance admits as many as are safe if all schedulers are as busy as this one
        conf, w.sends = self.terms, [send for send in w.sends if self.now - send[0] < self.terms.fall_span]
        bears = conf.fall_multiple * self.warmth(w) * w.slots / max(w.pace, 0.2) * conf.fall_span
        work, own = self.push(item), sum(work for _, work in w.sends)
        # half of it: hints are rough, and rejected items count too
        if work > 0.5 * bears or own and own + work > 0.5 * bears / min(conf.schedulers, 3):
            return False
        # a Poisson number of this mean is over n once in a thousand; a third of n at most, as tails are heavy
        n, meet = bears / work, self.rate * conf.schedulers * conf.fall_span / len(self.workers)
        return self.chance.draw() * meet < n * n / (25.0 + 3.0 * n)

    def may_defer(self, item: WorkItem) -> bool:
        c = item.category                       # whether the client may safely send it again
        return (c.effect is Effect.RERUNNABLE or c.effect is Effect.TICKETED and c.group is Group.ALL
                or all(a.outcome in NEVER_RAN for a in item.hand_offs))

    # ---- decisions

    def decisions(self) -> Iterator[Decision]:
        if not self.subscribed and not self.asked and self.now >= self.ask_at:
            self.asked = True
            yield Subscribe()
        if self.tells:
            yield from self.exchange()
        while self.due and self.due[0][0] <= self.now:
            yield from self.fall_due(heapq.heappop(self.due)[2])
        while self.todo or self.undo or self.freed:
            if self.undo:
                attempt = self.undo.popleft()
                if not attempt.ended and not attempt.cancelled and self.terms.may_cancel:
                    attempt.cancelled = True
                    yield Cancel(attempt)
            elif self.todo:
                yield from self.place(self.todo.popleft())
            else:
                yield from self.copy(self.freed.popleft())
        while self.due and self.due[0][2].answered:
            heapq.heappop(self.due)             # otherwise half of all wakes are for answered items
        asks = math.inf if self.subscribed else max(self.ask_at, self.now + 0.05)
        wake = min(asks, self.due[0][0] if self.due else math.inf)
        if self.tells and (self.active or self.now - self.taken_at < 10.0):
            wake = min(wake, min((z.tell_at for z in self.zones.values()), default=wake))
        if wake < math.inf and (self.woken <= self.now or wake < self.woken):
            self.woken = max(wake, self.now)
            yield Wake(self.woken)

    def exchange(self) -> Iterator[Decision]:
        """1: load reports to each zone's aggregator (to all peers would be quadratic), and totals as a."""
        conf = self.terms
        for z in self.zones.values():
            if self.now < z.tell_at:
                continue
            rate = self.rate * math.exp((self.taken_at - self.now) / 5.0)
            self.active = {w: None for w in self.active if w.held or w.busy_beside}
            here = [w for w in self.active if w.zone == z.id]
            # reports may cost 0.005 of each item's credit, at four bytes a row and sixteen for the rest; for
            # other zones a fifth of that, unless own items are there
            price = conf.price_tell * (4 * sum(w.zone == z.id for w in self.workers) + 16) / 256
            often = rate * 0.005 / max(price, 1e-9) * (1.0 if here or z.id == conf.zone else 0.2)
            z.tell_at = self.now + min(1.0, max(self.TELL, 1.0 / max(often, 1e-9)))
            if not here and not z.told_any and rate <= 0.05:
                continue
            if z.unanswered >= 2:               # two lost in a row: it is down or unreachable
                z.tries, z.unanswered, z.home_at = z.tries + 1, 0, self.now + 5.0
            elif z.tries and self.now >= z.home_at:
                z.tries = z.unanswered = 0
            z.told_any, z.unanswered = bool(here), z.unanswered + 1
            for w in here:
                self.look(w)
            # the clock is the sequence mark, so that reports after a restart count as newer
            report = Tell(z.keeper(conf.schedulers, self.absent), int(self.now * 1000) & 0xFFFFFFFF, z.id,
                          [(w, w.busy_own, w.left_own) for w in here])
            if report.to == conf.position:
                self.told(*report)
            else:
                yield report
        for to, *totals in self.sums.answers(self.now, self.workers):
            if to == conf.position:
                self.summed(*totals)
            else:
                yield Sum(to, *totals)

    def fall_due(self, item: WorkItem) -> Iterator[Decision]:
        """4, 5: checks an item that should have started or ended, or is about to expire."""
        if item.answered:
            return
        live = [a for a in item.hand_offs if not a.ended]
        if self.now >= item.expiry_at - self.early - 1e-6:
            return (yield from self.answer(item))
        if not live:
            return self.todo.append(item)
        for a in live:
            if not a.copy and self.silent(a.worker):
                self.doubted(a.worker)
        if any(a.began_at and a.worker.shun_until < self.now for a in live) or item.calls < math.inf:
            # a host that allows attempts one by one can cancel none
            return self.at(self.now + max(0.5, live[0].run), item)
        for a in live:
            if self.terms.tells_start and self.now - a.sent_at >= self.zones[a.worker.zone].note_in - 1e-6:
                # 1: no start report: others occupy every slot, whatever the last load report said
                self.seen_others(a.worker, max(a.worker.others, self.room(a.worker)))
        best = max(self.prospect(item, a.worker, a) for a in live)
        # an item that is not rerunnable only where a missing start report shows that it is queued
        if item.category.effect is Effect.RERUNNABLE or self.terms.tells_start:
            w = self.choose(item)
            # clearly more, as its place in the queue is lost; much more where start is not reported
            if w is not None and self.prospect(item, w) > best + (0.03 if self.terms.tells_start else 0.25):
                for a in live if self.blind else ():
                    self.waited(a.worker, self.now - a.sent_at, False)
                self.undo.extend(live)
                yield self.hand(item, w, False)
                return
        # a bonus of a quarter of its own time, for its place in the queue
        if all(self.gain(item, a.worker, best, 0.0) + 0.25 * item.work / self.work < 0.0 for a in live):
            return (yield from self.answer(item))
        self.at(self.now + 0.1 + 0.25 * abs(item.due_at - self.now), item)

    def answer(self, item: WorkItem) -> Iterator[Decision]:
        """5: gives an item up: deferred where the client may safely send it again, else failed."""
        self.left(item)
        yield Defer(item, self.terms.retry_after) if self.may_defer(item) else WriteOff(item)

    def place(self, item: WorkItem) -> Iterator[Decision]:
        live = any(not a.ended for a in item.hand_offs)
        if item.answered or not item.calls or live and item.calls == math.inf:
            return
        if self.probing and not item.looked and not live and not item.hand_offs:
            yield from self.ask(item)
            if item.awaits:
                return
        w = self.choose(item)
        if live:                                # one more was allowed: a hedged attempt within the budget
            if w is not None and self.copies + 1 <= 0.2 * self.firsts and not self.time_short(item, w):
                self.copies += 1
                yield self.hand(item, w, True)
            item.calls = 0
        elif w is not None:
            yield self.hand(item, w, False)
        elif not self.workers and self.now < item.due_at - item.work and not item.hand_offs:
            self.at(self.now + 0.1, item)       # an empty list may fill before the item is late
        else:
            yield from self.answer(item)

    def ask(self, item: WorkItem) -> Iterator[Decision]:
        """1: probes a part of the sample, so large that one more probe would not pay."""
        # the best of n beats the best of n - 1 by about 1 / n n; it matters in a twentieth of the cases, and
        # in more for items that need several slots at once
        item.looked = self.some()
        count = math.sqrt(0.05 * item.slots * item.worth / self.value / max(self.terms.price_probe, 1e-4))
        for w in item.looked[:int(count)]:
            if self.now - w.others_at > 0.3:    # otherwise its load is recent enough
                if not w.askers or self.now - w.asked_at > 1.0:
                    w.askers, w.asked_at = [], self.now
                    yield Probe(w)
                w.askers.append(item)
                item.awaits += 1
        if item.awaits:                         # after a round trip the draw goes on without what is missing
            self.at(self.now + max(self.zones[w.zone].note_in for w in item.looked), item)

    def wait_at(self, item: WorkItem, w: Worker) -> float:
        # others' load is uncertain by half a slot, less after reports: softplus, so that filling up counts
        doubt = 0.2 if self.blind and self.now - w.others_at < 1.0 else 0.5
        over = (w.busy + item.slots - w.slots) / doubt
        over = doubt * (over if over > 20.0 else math.log1p(math.exp(over)))
        # for one slot about residual / slots for each ahead; for several, until the last of them is free
        spare = max(0.0, w.slots - item.slots)
        ahead = spare + over
        wait = math.log((min(ahead, w.slots) + 0.5) / (spare + 0.5)) + max(0.0, ahead - w.slots) / w.slots
        return wait * w.residual / w.warm

    def prospect(self, item: WorkItem, w: Worker, sent: HandOff | None = None, more: float = 0.0) -> float:
        """1: expected share of its credit, if sent to a worker now, or by an attempt that is there."""
        self.look(w)
        run = item.work * w.pace / w.warm + more
        if sent is not None:
            out = self.now - sent.sent_at
            if w.shun_until > self.now:
                return 0.0
            if sent.began_at:
                wait, run = 0.0, max(0.0, run - (self.now - sent.began_at))
            elif self.terms.tells_start and out >= self.zones[w.zone].note_in:
                wait = max(w.residual / w.slots, sent.wait - out, 0.5 * out)    # or half as long again
            else:
                # without start reports it is assumed to have started when expected: it may be near its end
                wait, spent = max(0.0, min(self.wait_at(item, w), sent.wait - out)), max(0.0, out - sent.wait)
                run = max(run - spent, 0.3 * spent)
        else:
            wait = self.wait_at(item, w) + self.zones[w.zone].trip
        # a logistic curve; the spread is a third of the estimate, and a round trip
        z = (item.due_at - self.now - wait - run) / (0.35 * (wait + run) + 0.02)
        chance = 1.0 / (1.0 + math.exp(-max(-30.0, min(30.0, z))))
        if w.failed > 0.0 and sent is None:  # smoothed by twenty runs at the common rate: a single error
            fade = math.exp((w.failed_at - self.now) / 10.0)    # stays within the draw's margin
            worse = (w.failed * fade + 20.0 * self.failing) / (w.tried * fade + 20.0) - self.failing
            chance *= 1.0 - max(0.0, worse)
        return chance + item.category.tardy_credit * (1.0 - chance)

    def gain(self, item: WorkItem, w: Worker, prospect: float, more: float) -> float:
        """5: expected credit, in mean work items, less the credit that it costs the items queued there."""
        # as many queued items as slots lose the mean credit of the slot time that it takes
        crowd = min(1.0, max(0.0, (w.busy + more - w.slots) / w.slots))
        work = item.work / self.work
        # the least gain: 0.05 of a mean item, and less for a light one, which could never reach that
        return prospect * item.worth / self.value - 0.05 * min(1.0, work) - crowd * work

    def choose(self, item: WorkItem) -> Worker | None:
        """A random draw among the workers whose gain is close to the best."""
        homes, spill = self.homes(item) if item.subject else ((), ())
        found = self.promising(item, self.bound(item) or not item.hand_offs and item.looked
                               or [*homes, *spill] or self.some(), homes)
        if not found and homes:
            found = self.promising(item, self.some(), homes)
        if not found:
            return None
        best = max(gain for gain, _ in found)
        near = [w for gain, w in found if gain >= best - 0.05 * item.worth / self.value]
        # not those over one and a half times their recent mean by an item; the one matters at small means
        calm = [w for w in near if w.held <= 1.5 * w.mean + 1.0] or near
        # weighted by capacity; where probes show when a fast worker fills up, more, as work hints are rough
        ends = list(accumulate(w.slots / w.pace ** (3 if self.probing else 1) * w.warm for w in calm))
        return calm[min(bisect(ends, self.chance.draw() * ends[-1]), len(calm) - 1)]

    def promising(self, item: WorkItem, looked: Iterable[Worker], homes: Sequence[Worker]
                  ) -> list[tuple[float, Worker]]:
        """Of the workers examined those that the rules allow and that promise a gain, each with its gain."""
        found, conf = [], self.terms
        for w in looked:
            self.look(w)                        # first, as cancelled attempts may have ended by now
            held = w.held
            w.limit = w.limit or 4.0 * w.slots  # 2: a queue of a few times the slots; rejections reduce it
            if self.avoids(w) or held >= w.limit or w.doubt and held or not self.may(item, w):
                continue
            away = bool(item.subject) and w not in homes
            gain = self.gain(item, w, prospect := self.prospect(item, w, None, away * self.fetch), item.slots)
            # one that was enabled again is in slow start and never close to the best: a light item tests it
            if (w.owed and prospect > 0.5 and item.work < self.work
                    and item.category.effect is Effect.RERUNNABLE):
                return [(math.inf, w)]
            # 5: a small gain pays neither another zone nor a fetch; 6: a fetch also occupies a slot
            gain -= (w.zone != conf.zone) * conf.price_cross
            gain -= away * (conf.price_fetch + 2.5 * self.fetch / self.mean_run)
            if gain >= 0.0:
                found.append((gain, w))
        return found

    def homes(self, item: WorkItem) -> tuple[list[Worker], list[Worker]]:
        """6: the workers that have probably cached the item's subject, and some more for when those are full.

        By rendezvous hashing: schedulers agree without messages, and list changes move few subjects. One that
        is popular gets as many workers as its traffic fills, in each zone; a rare one has one for all."""
        s, conf = item.subject, self.terms
        if s not in self.ranks:
            if len(self.ranks) >= 512:          # covers the cached subjects of some tens of workers
                self.ranks.clear()
            order = sorted(self.workers, key=lambda w: self.rank(s, w), reverse=True)
            self.ranks[s] = order, [w for w in order if w.zone == conf.zone]
        order, near = self.ranks[s]
        if any(map(self.young, order)):         # 3: in slow start with a probability that rises with age
            out = {w for w in order if self.young(w) and self.chance.draw() >= self.warmth(w)}
            order, near = ([w for w in some if w not in out] for some in (order, near))
        count = self.often.get(s, 0)
        if count >= 10 and near:
            k = 1 + int(1.5 * len(near) * count / (len(self.subjects) + 16.0))
            return near[:k], near[k:k + 3]
        return order[:1], near[:2]

    def rank(self, subject: int, w: Worker) -> float:
        """6: alike at every scheduler; the more capacity a worker has, the more often it is the highest."""
        mixed = Chance(subject * 0x9E3779B97F4A7C15 ^ w.id * 0xC2B2AE3D27D4EB4F).mixed()
        return math.log(max(mixed, 1e-12)) * 2.0 ** self.kinds[w.kind].step / w.slots

    def bound(self, item: WorkItem) -> list[Worker] | None:
        """All workers of the cell that a ticketed item is bound to: a random sample would hold few."""
        tied = [a.worker.cell for a in item.hand_offs if a.outcome not in NEVER_RAN]
        if not tied or item.category.effect is not Effect.TICKETED or item.category.group is not Group.CELL:
            return None
        return [w for w in self.workers if w.cell == tied[0]]

    def some(self) -> list[Worker]:
        """For one draw: CPU is scarce, and the best of sixteen is nearly as good as the best of all."""
        count = len(self.workers)
        if count <= self.most:
            return self.workers
        # random start, random step coprime to the count: two draws, each as expensive as examining a worker
        drawn: dict[Worker, None]
        at, step, drawn = int(self.chance.draw() * count), 1 + int(self.chance.draw() * (count - 1)), {}
        while math.gcd(step, count) > 1:
            step += 1
        for _ in range(2 * self.most):          # 3: in slow start with a probability that rises with age
            w, at = self.workers[at], (at + step) % count
            if not self.young(w) or self.chance.draw() < self.warmth(w):
                drawn[w] = None
                if len(drawn) >= self.most:
                    break
        return list(drawn)

    def hand(self, item: WorkItem, w: Worker, copy: bool) -> Send:
        self.look(w)
        wait, run = self.wait_at(item, w), item.work * w.pace / w.warm
        away = bool(item.subject) and w not in self.homes(item)[0]
        attempt = HandOff(item, w, len(item.hand_offs), self.now, wait, run + away * self.fetch, copy, away)
        self.note_mean(w)
        if not item.hand_offs:
            self.firsts += 1
            if item.category.effect is Effect.RERUNNABLE:
                self.join(item, w)
        item.hand_offs.append(attempt)
        item.calls -= 1
        w.flights[attempt] = self.active[w] = None
        w.seen_at, w.owed = -1.0, False
        if self.young(w):
            w.sends.append((self.now, self.push(item)))
        if not copy:                            # 4: checked some time after it should have started
            check = max(0.05, 1.5 * wait + 0.25 * run)
            check = self.zones[w.zone].note_in if self.terms.tells_start else check
            self.at(self.now + check, item)
        return Send(attempt, item.expiry_at - self.now)

    def join(self, item: WorkItem, w: Worker) -> None:
        """Adds an item to a block: items of one category that need slots together, on distinct workers."""
        c, block = item.category, item.category.open
        if block is None or w in block.workers or all(other.answered for other in block.items):
            c.open = item.block = Block([item], [w])
            return
        block.items.append(item)
        block.workers.append(w)
        item.block = block
        c.open = None                           # full: blocks have two items

    def copy(self, freed: HandOff) -> Iterator[Decision]:
        """A freed worker takes a hedged attempt of the next unfinished item in its cyclic row."""
        block, w = freed.wi.block, freed.worker
        if block is None or w not in block.workers:
            return
        self.note_mean(w)
        if w.held >= w.mean or self.copies + 1 > 0.2 * self.firsts:
            return
        row = block.workers.index(w)
        for item in block.items[row:] + block.items[:row]:
            if not item.answered and self.may(item, w) and any(not a.ended for a in item.hand_offs):
                if not self.time_short(item, w):
                    self.copies += 1
                    yield self.hand(item, w, True)
                return

    def time_short(self, item: WorkItem, w: Worker) -> bool:
        """Whether a hedged attempt would end after the due time, or after the original's expected end."""
        self.look(w)
        run = item.work * w.pace / w.warm
        end = self.now + self.wait_at(item, w) + run
        first = math.inf
        for attempt in item.hand_offs:
            if not attempt.ended:
                begins = attempt.began_at or attempt.sent_at + attempt.wait
                if not attempt.began_at and self.terms.tells_start:     # as in prospect: half as long again
                    begins = max(begins, self.now + 0.5 * (self.now - attempt.sent_at))
                first = min(first, max(begins + attempt.run, self.now))
        # a margin of half its run: expected ends are rough, and a hedged attempt that loses is wasted work
        return end > item.due_at or end + 0.5 * run > first
