"""Membership: which members are present, which have gone, left or returned as a new process.

Based on SWIM (Das, Gupta, Motivala 2002): direct and indirect probes, suspicion, incarnations, updates
piggybacked on probes; and on Lifeguard (Dadgar, Phillips, Currey 2017): local health, confirmation by others,
notifying the suspect first. docs/design/fleet.md has the differences, their reasons and the derived bounds.

Usage: set the time with clock(), pass in events, which only update the state, then consume decisions() until
none is left. Times are seconds on the process's own clock.
"""

from __future__ import annotations

import heapq
import math
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from opalwick.chance import RandomSource
from opalwick.fleet.words import BUCKETS, MOST, News, State, What, Word, later, newer, packed, unpacked


@dataclass(frozen=True, slots=True)
class Terms:
    """Times and counts of the protocol."""

    every: float = 0.4  # seconds between probes of a watched member
    answer: float = 0.25  # seconds to wait for a direct answer before indirect probes start
    missed: float = 0.6  # seconds from its start until a probe counts as missed
    suspect: float = 1.7  # seconds from the first missed probe until the member is gone, if others confirm
    helpers: int = 3  # members that are asked for an indirect probe
    watched: int = 2  # successors in the ring that each member watches, of those that answer
    digest: float = 3.0  # seconds between comparisons of the whole list with a random member

    @property
    def pause(self) -> float:
        """The longest stall in seconds that never counts as a death. A resumed process contacts its watchers
        at once; 0.2 s are reserved for that."""
        return self.missed + self.suspect - 0.2

    @property
    def detect(self) -> float:
        """Seconds until all connected members have detected a crash, without message loss: a probe interval,
        the suspicion, and the dissemination, which takes a few round trips at a fan-out of four."""
        return 1.1 * self.every + self.missed + self.suspect + 0.2


class Send(NamedTuple):
    """A message to send."""

    to: int
    payload: bytes


class Wake(NamedTuple):
    """The time at which decisions() is due again."""

    at: float


class Event(NamedTuple):
    """A change of state of a member."""

    kind: str  # joined, suspected, cleared, gone, returned, left, majority, minority, displaced
    member: int
    life: int
    why: str


Decision = Send | Wake | Event


@dataclass(slots=True, eq=False)
class Suspicion:
    """This member's own suspicion of a peer that did not answer it."""

    began: float  # when the first missed probe started
    lasts: float
    misses: int = 1
    silent: dict[int, float] = field(
        default_factory=dict
    )  # members that report no answer from it either, and when


@dataclass(slots=True, eq=False)
class Peer:
    """What this member holds about another one."""

    number: int
    state: State = State.UNKNOWN
    life: int = 0
    incarnation: int = 0
    since: float = -math.inf  # when the state began, as far as reported
    why: str = "no message received yet"
    own: bool = False  # gone without confirmation by others, which is not disseminated
    heard_at: float = -math.inf  # last message from it
    reached_at: float = -math.inf  # last direct answer
    others_at: float = -math.inf  # last indirect answer
    round_about: int = 0  # consecutive answers that were indirect
    saved: int = 0  # consecutive suspicions ended only by its refutation through others
    suspicion: Suspicion | None = None

    @property
    def known(self) -> bool:
        return self.state is not State.UNKNOWN

    @property
    def there(self) -> bool:
        return self.state in (State.ALIVE, State.SUSPECT)


@dataclass(slots=True, eq=False)
class Probe:
    """A probe that is not yet answered."""

    number: int
    peer: Peer
    began: float
    asked: bool = False  # indirect probes were requested
    heard_of: bool = False  # a helper at least has answered, so this member's own connection works
    relay: tuple[int, int] | None = None  # on behalf of another member: its position and its probe's number


class Members:
    """The state of membership in one process."""

    FRESH = 3.0  # seconds: an older report of a death was missed, or comes from another partition
    BEGIN = 3.0  # seconds after the start in which a later life under its own name counts as a former one
    PUSHES = 4  # members to which a death or a return is pushed at once
    PUSH_IN = 0.05  # seconds over which pushes are batched, as many members may die at once
    RIDE, MANY = 6, 30  # updates piggybacked on a message; as many as fit while more than MANY are pending
    JOINS = 6  # transmissions of a first joining, few because all members may start at once
    HEALTH = 4  # worst score of own health: time limits for probes are then five times as long
    APART_MOST = 64  # stored pairs of members with a one-way connection

    def __init__(self, me: int, count: int, life: int, now: float, terms: Terms, seed: int) -> None:
        self.me, self.count, self.life, self.terms, self.now = me, count, life & 0xFFFFFFFF, terms, now
        self.chance = RandomSource(seed)
        self.incarnation, self.started = 0, now
        self.peers = {i: Peer(i) for i in range(count) if i != me}
        self.ring = [self.peers[(me + k) % count] for k in range(1, count)]
        self.order: list[Peer] = []  # rest of the current round robin
        self.probes: dict[int, Probe] = {}  # by number
        self.number = 0
        self.due: list[tuple[float, int, str, object]] = []
        self.serial = 0
        self.news: dict[int, int] = {}  # member: transmissions left of its update
        self.tellings = 3 * max(1, math.ceil(math.log2(count + 1)))
        self.pushed, self.push_at = False, -math.inf
        self.owed: list[tuple[int, Word]] = []
        self.events: list[Event] = []
        self.apart: dict[
            tuple[int, int], float
        ] = {}  # (receiver, sender) of a failed direction: when reported
        self.apart_news: dict[tuple[int, int], int] = {}
        self.health = 0  # Lifeguard's local health score; 0: healthy
        self.doubts_until = -math.inf  # end of the time after a stall in which no suspicion is started
        self.quiet, self.gone_away = False, False  # another process has this name; this one has left
        self.most: bool | None = None  # whether a majority is present; None: unknown
        self.digest_at = now
        self.counts = dict.fromkeys(
            (
                "probes",
                "missed",
                "suspicions",
                "refutations",
                "false",
                "odd",
                "old",
                "words",
                "sent",
                "octets",
            ),
            0,
        )
        self._at(now, "tick", None)

    # ---- inputs

    def clock(self, now: float) -> None:
        self.now = now

    def stood(self) -> None:
        """After a stall of this process: missing answers mean nothing, so suspicions are dropped, the own
        health score is lowered, and the whole list is compared with another member."""
        self.probes.clear()
        for peer in self.peers.values():
            peer.suspicion = None
        self.doubts_until = self.now + 1.0
        self.health = min(self.HEALTH, self.health + 1)
        self.digest_at = self.now
        self._at(self.now, "tick", None)
        for peer in self.ring[-2:]:  # its watchers: they get a message before they declare it gone
            if peer.there:
                self._probe(peer)

    def leave(self) -> None:
        """Leaves for good, and announces it so that others don't have to detect it."""
        if not self.gone_away:
            self.gone_away = True
            self.incarnation = (self.incarnation + 1) & 0xFFFF
            update = News(self.me, State.LEFT, self.life, self.incarnation, 0.0)
            for peer in {*self._some(2 * self.PUSHES), *self.ring[:2]}:
                self.owed.append((peer.number, self._word(What.NEWS, news=[update])))

    def heard(self, sender: int, payload: bytes) -> None:
        """Processes a message from the address of a member."""
        word = unpacked(payload)
        if word is None or word.sender != sender or sender not in self.peers:
            self.counts["odd"] += 1
            return
        if self.gone_away:
            return
        self.counts["words"] += 1
        if self.quiet:
            for item in word.news:
                if item.about == self.me:
                    self._back(item)
            return
        peer = self.peers[sender]
        if peer.state is not State.UNKNOWN and newer(peer.life, word.life):
            self.counts["old"] += 1  # from a former process, which may still run: it is notified
            self._owe(sender, What.NEWS, self._item(peer))
            return
        self._met(peer, word)
        for item in word.news:
            self._learn(item)
        self._answer(peer, word)

    # ---- outputs

    def decisions(self) -> Iterator[Decision]:
        while self.due and self.due[0][0] <= self.now:
            _, _, what, whom = heapq.heappop(self.due)
            if not self.gone_away and (not self.quiet or what == "tick"):
                getattr(self, f"_due_{what}")(whom)
        if self.pushed and self.now >= self.push_at:
            self._push()
        owed, self.owed = self.owed, []
        for to, word in owed:
            yield self._send(to, word)
        self._majority()
        events, self.events = self.events, []
        yield from events
        wake = min(self.due[0][0] if self.due else math.inf, self.push_at if self.pushed else math.inf)
        if wake < math.inf:
            yield Wake(max(wake, self.now))

    def share(self) -> float:
        """Fraction of the configured members that are present, with this one."""
        return (1 + sum(peer.there for peer in self.peers.values())) / self.count

    def alone(self) -> bool:
        """Whether no message was received in the last few probe intervals."""
        least = self.now - 5.0 * self.terms.every
        return all(max(p.heard_at, p.reached_at, p.others_at) < least for p in self.peers.values())

    def reach(self, peer: Peer) -> str:
        """How a peer is reached: directly, only through others, or not at all."""
        least = self.now - 10.0 * self.terms.every * max(1.0, self.count / 40.0)
        if max(peer.reached_at, peer.heard_at) >= least and not peer.round_about:
            return "reached"
        if max(peer.others_at, peer.heard_at) >= least or peer.there and peer.suspicion is None:
            return "by others"
        return "not reached"

    def view(self) -> list[dict[str, object]]:
        """One row for each member, for display."""
        rows: list[dict[str, object]] = [
            {
                "member": self.me,
                "state": "self",
                "life": self.life,
                "incarnation": self.incarnation,
                "why": "this member",
            }
        ]
        for p in self.peers.values():
            state = "doubted" if p.suspicion is not None and p.there else p.state.name.lower()
            rows.append(
                {
                    "member": p.number,
                    "state": state,
                    "life": p.life,
                    "incarnation": p.incarnation,
                    "since_s": None if p.since == -math.inf else round(self.now - p.since, 1),
                    "heard_s": None if p.heard_at == -math.inf else round(self.now - p.heard_at, 1),
                    "reach": self.reach(p) if p.there else "",
                    "why": p.why,
                }
            )
        return sorted(rows, key=lambda row: row["member"])  # type: ignore[arg-type, return-value]

    # ---- received messages

    def _met(self, peer: Peer, word: Word) -> None:
        """A message came from the peer itself, with its life and incarnation."""
        if peer.state is State.UNKNOWN or newer(word.life, peer.life):
            self._alive(peer, word.life, word.incarnation, "message received from it")
        elif peer.there:
            if later(word.incarnation, peer.incarnation):
                self._alive(peer, word.life, word.incarnation, "message received from it")
        elif peer.own or later(word.incarnation, peer.incarnation):
            self._alive(peer, word.life, word.incarnation, "message received from it")
        else:  # it receives the state held of it, and refutes that
            self._owe(peer.number, What.NEWS)
        peer.heard_at = self.now
        if peer.suspicion is not None and peer.there:
            self._cleared(peer)

    def _learn(self, item: News) -> None:
        if item.state is State.APART:
            if item.about < self.count and item.life < self.count and item.age < 10.0:
                self._apart(item.about, item.life, self.now - item.age)
            return
        if item.about == self.me:
            return self._of_me(item)
        peer = self.peers.get(item.about)
        if peer is None or item.state is State.UNKNOWN:
            return
        known = peer.state is not State.UNKNOWN
        if known and newer(peer.life, item.life):
            return
        fresh = not known or newer(item.life, peer.life)
        if not fresh and later(peer.incarnation, item.incarnation):
            return
        match item.state:
            case State.ALIVE if fresh or later(item.incarnation, peer.incarnation):
                self._alive(peer, item.life, item.incarnation, "reported by others")
            case State.SUSPECT if (
                fresh
                or peer.state is State.ALIVE
                or (peer.there and later(item.incarnation, peer.incarnation))
            ):
                if fresh:
                    self._alive(peer, item.life, item.incarnation, "reported by others")
                peer.incarnation = item.incarnation
                self._suspected(peer, self.now - item.age, "others suspect it")
                if peer.heard_at > peer.since:  # it is notified, so that it can refute
                    self._owe(peer.number, What.NEWS)
            case State.GONE if fresh or peer.there:
                # a message came since, or the death is old and was not reported before: it comes from another
                # partition, or was missed. The peer is notified and probed before the report is accepted
                spoke = peer.heard_at > self.now - item.age - self.terms.pause
                if not fresh and (spoke or item.age > self.FRESH):
                    self._owe(peer.number, What.NEWS, item)
                    self._doubt(peer, self.now, 0.5 * self.terms.suspect)
                else:
                    peer.life, peer.incarnation = item.life, item.incarnation
                    self._gone(peer, self.now - item.age, "reported by others")
            case State.LEFT if fresh or peer.state is not State.LEFT:
                peer.life, peer.incarnation = item.life, item.incarnation
                self._left(peer)

    def _of_me(self, item: News) -> None:
        if newer(item.life, self.life):
            if self.now - self.started < self.BEGIN:
                # a former process under a clock that was ahead: this process is the later one all the same
                self._renamed(item.life, "other members hold a later life for this name")
            else:
                self.quiet = True
                self.probes.clear()
                why = "another process has started under this name"
                self.events.append(Event("displaced", self.me, item.life, why))
        elif item.life == self.life and item.state in (State.SUSPECT, State.GONE, State.LEFT):
            if not later(self.incarnation, item.incarnation):
                self.incarnation = (item.incarnation + 1) & 0xFFFF
                self.counts["refutations"] += 1
                self.health = min(self.HEALTH, self.health + 1)
                self._tell(self.me, push=True)

    def _back(self, item: News) -> None:
        """While displaced: rejoins under a new life once the process that took its name is gone."""
        if item.state in (State.GONE, State.LEFT) and not newer(self.life, item.life):
            self.quiet = False
            self._renamed(item.life, "the other process under this name is gone")

    def _renamed(self, after: int, why: str) -> None:
        self.life, self.incarnation = (after + 1) & 0xFFFFFFFF, 0
        self.events.append(Event("returned", self.me, self.life, why))
        self._tell(self.me, push=True)

    def _answer(self, peer: Peer, word: Word) -> None:
        match word.what:
            case What.PING | What.AROUND:
                self._owe(peer.number, What.ANSWER, number=word.number, about=self.me)
                if word.what is What.AROUND:
                    for helper in self._some(self.terms.helpers, peer):
                        self._owe(helper.number, What.PASS, number=word.number, about=peer.number)
            case What.ANSWER:
                probe = self.probes.get(word.number)
                if probe is not None and probe.peer.number == word.about:
                    self._answered(probe, straight=word.about == peer.number)
            case What.ASK if word.about in self.peers:
                self._probe(self.peers[word.about], (peer.number, word.number))
            case What.PASS if word.about in self.peers:
                self._owe(word.about, What.ANSWER, self._item(peer), number=word.number, about=peer.number)
            case What.SILENT if word.about in self.peers:
                suspicion = self.peers[word.about].suspicion
                if suspicion is not None:
                    suspicion.silent[peer.number] = self.now
                if (probe := self.probes.get(word.number)) is not None:
                    probe.heard_of = True
            case What.DIGEST:
                ours = self._digest()
                differ = [b for b in range(BUCKETS) if ours[b] != word.digest[b]]
                self._items(peer.number, differ, back=True)
            case What.ITEMS if word.about == 1:
                self._items(peer.number, sorted({item.about % BUCKETS for item in word.news}), back=False)

    # ---- probes

    def _due_tick(self, _: object) -> None:
        t = self.terms
        # one pending tick at a time, as one more is scheduled after a stall
        self.due = [entry for entry in self.due if entry[2] != "tick"]
        heapq.heapify(self.due)
        self._at(self.now + t.every * (0.9 + 0.2 * self.chance.draw()), "tick", None)
        if self.quiet:  # asks for the state of the process that took its name
            for peer in self._some(1):
                self._owe(peer.number, What.NEWS)
            return
        asked = dict.fromkeys(self._watch())
        asked |= dict.fromkeys(self._robin())
        absent = [
            p for p in self.ring if not p.there and (p.state is not State.LEFT or self.now - p.since > 30.0)
        ]
        if absent:  # it may have returned, or the partition may be over
            asked[absent[int(self.chance.draw() * len(absent))]] = None
        busy = {probe.peer: probe for probe in self.probes.values() if probe.relay is None}
        for peer in asked:
            if peer not in busy:
                self._probe(peer)
            elif self.health:  # longer time limits, but no fewer messages, as others may still receive them
                self._owe(peer.number, What.PING, number=busy[peer].number)
        if self.now >= self.digest_at:
            self.digest_at = self.now + t.digest * (0.8 + 0.4 * self.chance.draw())
            for peer in self._some(1):
                self.owed.append((peer.number, self._word(What.DIGEST, digest=self._digest())))

    def _watch(self) -> Iterator[Peer]:
        """The successors in the ring: two that answer, and three for each that doesn't, so that a long row of
        dead members is passed in a few intervals; and all that are suspected."""
        left = self.terms.watched
        for peer in self.ring:
            if peer.there:
                if peer.suspicion is not None:
                    left += 2 * self.terms.watched
                    yield peer
                elif left > 0:
                    yield peer
                left -= 1

    def _robin(self) -> Iterator[Peer]:
        """One member, each once a round, in an order shuffled anew for each round."""
        while self.order:
            peer = self.order.pop()
            if peer.there:
                yield peer
                return
        self.order = [peer for peer in self.ring if peer.there]
        for i in range(len(self.order) - 1, 0, -1):
            j = int(self.chance.draw() * (i + 1))
            self.order[i], self.order[j] = self.order[j], self.order[i]
        if self.order:
            yield self.order.pop()

    def _probe(self, peer: Peer, relay: tuple[int, int] | None = None) -> None:
        self.number = (self.number + 1) & 0xFFFF
        probe = self.probes[self.number] = Probe(self.number, peer, self.now, relay=relay)
        self.counts["probes"] += relay is None
        self._owe(peer.number, What.PING, number=probe.number)
        self._at(self.now + self.terms.answer * self._patience(), "late", probe)

    def _patience(self) -> float:
        return 1.0 + self.health

    def _due_late(self, probe: Probe) -> None:
        if self.probes.get(probe.number) is not probe:
            return
        if (
            probe.relay is not None
        ):  # the member that requested it is notified that there is no answer here either
            # a message came since the other's probe began: it is present, and may only receive nothing
            if probe.peer.heard_at > probe.began - 0.8 * self.terms.answer:
                return self._answered(probe, straight=False)
            del self.probes[probe.number]
            self._owe(probe.relay[0], What.SILENT, number=probe.relay[1], about=probe.peer.number)
            return
        if probe.peer.there:
            self._owe(probe.peer.number, What.AROUND, number=probe.number)
            for helper in self._helpers(probe.peer):
                self._owe(helper.number, What.ASK, number=probe.number, about=probe.peer.number)
        # time for the helpers' own probes, and a trip each way
        self._at(probe.began + self.terms.missed * self._patience(), "missed", probe)

    def _due_missed(self, probe: Probe) -> None:
        if self.probes.pop(probe.number, None) is not probe or not probe.peer.there:
            return
        if probe.peer.heard_at > probe.began:  # no answer, but another message from it
            return
        self.counts["missed"] += 1
        if not probe.heard_of and sum(p.there for p in self.ring) > 1:
            self.health = min(
                self.HEALTH, self.health + 1
            )  # not even a helper has answered: the fault may be here
        if probe.peer.suspicion is not None:
            probe.peer.suspicion.misses += 1
        elif self.now >= self.doubts_until:
            self._doubt(probe.peer, probe.began, self.terms.suspect)

    def _answered(self, probe: Probe, straight: bool) -> None:
        del self.probes[probe.number]
        if probe.relay is not None:
            self._owe(
                probe.relay[0],
                What.ANSWER,
                self._item(probe.peer),
                number=probe.relay[1],
                about=probe.peer.number,
            )
            return
        peer = probe.peer
        self.health = max(0, self.health - 1)
        if straight:
            peer.reached_at, peer.round_about = self.now, 0
        else:
            peer.others_at, peer.round_about = self.now, peer.round_about + 1
            if peer.round_about == 3:  # no direct answer three times in a row: one direction fails
                self._apart(self.me, peer.number, self.now)
        if peer.suspicion is not None:
            self._cleared(peer)

    # ---- suspicion

    def _doubt(self, peer: Peer, began: float, lasts: float) -> None:
        if peer.suspicion is None:
            peer.suspicion = Suspicion(began, lasts, 0 if lasts < self.terms.suspect else 1)
            self.counts["suspicions"] += 1
            self._probe(peer)
            # announced half-way, so that it can refute. If only that has ended former suspicions, as in a
            # ring of one-way failures, its answers are what is lost, and each time it gets twice the time
            lasts *= 2 ** min(peer.saved, 3)
            peer.suspicion.lasts = lasts
            self._at(
                began + self.terms.missed + 0.4 * min(lasts, self.terms.suspect),
                "tell",
                (peer, peer.suspicion),
            )
            self._at(began + self.terms.missed + lasts, "judge", (peer, peer.suspicion))

    def _due_tell(self, whom: tuple[Peer, Suspicion]) -> None:
        peer, suspicion = whom
        if peer.suspicion is suspicion and peer.state is State.ALIVE:
            self._suspected(
                peer, suspicion.began, f"no answer to this member nor to {len(suspicion.silent)} others"
            )

    def _due_judge(self, whom: tuple[Peer, Suspicion]) -> None:
        """Declares it gone if others confirm; without confirmation only after as long again, and without
        dissemination."""
        peer, suspicion = whom
        if peer.suspicion is not suspicion or not peer.there:
            return
        patient = suspicion.began + (self.terms.missed + suspicion.lasts) * (1.0 + 0.5 * self.health)
        recent = [at for at in suspicion.silent.values() if at > self.now - 3.0 * self.terms.every]
        others = sum(p.there and p.suspicion is None for p in self.ring if p is not peer)
        if self.now >= patient and suspicion.misses >= 2 and recent:
            self._gone(peer, self.now, f"no answer to this member nor to {len(recent)} others")
        elif (
            self.now >= patient + self.terms.missed + suspicion.lasts and suspicion.misses >= 2 and not others
        ):
            peer.own = True
            self._gone(peer, self.now, "no answer, and no other member answers either")
        else:
            self._at(self.now + 0.1, "judge", whom)

    def _due_overdue(self, peer: Peer) -> None:
        """Others suspected it and have reported nothing since: this member probes it."""
        if peer.state is State.SUSPECT and self.now - peer.since > self.terms.missed + self.terms.suspect:
            if peer.heard_at < self.now - self.terms.pause:
                self._doubt(peer, self.now, 0.5 * self.terms.suspect)
            self._at(self.now + self.terms.pause, "overdue", peer)

    def _cleared(self, peer: Peer) -> None:
        """It has answered: ends this member's own suspicion, which counts as false."""
        peer.suspicion, peer.saved = None, 0
        self.counts["false"] += 1

    # ---- state of a member

    def _alive(self, peer: Peer, life: int, incarnation: int, why: str) -> None:
        kind = (
            "joined"
            if peer.state is State.UNKNOWN
            else "returned"
            if life != peer.life or not peer.there
            else "cleared"
            if peer.state is State.SUSPECT
            else ""
        )
        peer.state, peer.life, peer.incarnation, peer.own = State.ALIVE, life, incarnation, False
        if peer.suspicion is not None:
            peer.saved += 1
        peer.suspicion, peer.why = None, why
        if kind:
            peer.since = self.now
            self.events.append(Event(kind, peer.number, life, why))
        self._tell(peer.number, push=kind == "returned")
        if kind == "joined":
            self.news[peer.number] = self.JOINS

    def _suspected(self, peer: Peer, since: float, why: str) -> None:
        peer.state, peer.since, peer.why = State.SUSPECT, since, why
        self.events.append(Event("suspected", peer.number, peer.life, why))
        self._tell(peer.number)
        self._at(since + self.terms.missed + self.terms.suspect + 1.0, "overdue", peer)

    def _gone(self, peer: Peer, since: float, why: str) -> None:
        peer.state, peer.since, peer.why, peer.suspicion = State.GONE, since, why, None
        self.events.append(Event("gone", peer.number, peer.life, why))
        if not peer.own:
            self._tell(peer.number, push=True)

    def _left(self, peer: Peer) -> None:
        peer.state, peer.since, peer.why, peer.suspicion = (
            State.LEFT,
            self.now,
            "it announced that it leaves",
            None,
        )
        self.events.append(Event("left", peer.number, peer.life, peer.why))
        self._tell(peer.number, push=True)

    def _majority(self) -> None:
        most = self.share() > 0.5
        if most is not self.most:
            if self.most is not None:
                self.events.append(
                    Event(
                        "majority" if most else "minority",
                        self.me,
                        self.life,
                        f"{self.share():.0%} of the members are present",
                    )
                )
            self.most = most

    def _apart(self, one: int, other: int, at: float) -> None:
        """`one` receives nothing from `other`, though others do."""
        if self.now - self.apart.get((one, other), -math.inf) > 5.0:
            if len(self.apart) >= self.APART_MOST:
                del self.apart[min(self.apart, key=lambda pair: self.apart[pair])]
            self.apart_news[one, other] = (
                4  # transmissions: few, as the report is useful for a short time only
            )
        self.apart[one, other] = max(at, self.apart.get((one, other), at))

    # ---- sent messages

    def _at(self, when: float, what: str, whom: object) -> None:
        self.serial += 1
        heapq.heappush(self.due, (when, self.serial, what, whom))

    def _some(self, count: int, but: Peer | None = None) -> list[Peer]:
        """Up to `count` random members that are present and not suspected here."""
        there = [p for p in self.ring if p.there and p is not but and p.suspicion is None]
        for i in range(min(count, len(there))):
            j = i + int(self.chance.draw() * (len(there) - i))
            there[i], there[j] = there[j], there[i]
        return there[:count]

    def _helpers(self, peer: Peer) -> list[Peer]:
        """The peer's successor in the ring, which it probes even if it receives nothing, then random ones."""
        order = [(peer.number + k) % self.count for k in range(1, self.count)]
        after = [p for n in order if n != self.me and (p := self.peers[n]).there and p.suspicion is None][:1]
        drawn = [p for p in self._some(self.terms.helpers, peer) if p not in after]
        return after + drawn[: self.terms.helpers - 1]

    def _tell(self, about: int, push: bool = False) -> None:
        self.news[about] = self.tellings
        if push:
            if not self.pushed:
                self.pushed, self.push_at = True, max(self.now, self.push_at) + self.PUSH_IN
            self.news[about] += self.PUSHES

    def _push(self) -> None:
        self.pushed = False
        for peer in self._some(self.PUSHES):
            self.owed.append((peer.number, self._word(What.NEWS, most=MOST)))

    def _item(self, peer: Peer) -> News:
        age = 0.0 if peer.since == -math.inf else max(0.0, self.now - peer.since)
        return News(peer.number, peer.state, peer.life, peer.incarnation, age)

    def _held(self, about: int) -> News:
        if about == self.me:
            return News(self.me, State.ALIVE, self.life, self.incarnation, 0.0)
        return self._item(self.peers[about])

    def _owe(self, to: int, what: What, *news: News, number: int = 0, about: int = 0) -> None:
        self.owed.append((to, Word(what, self.me, self.life, self.incarnation, number, about, news)))

    def _word(
        self, what: What, news: list[News] | None = None, digest: list[int] | None = None, most: int = 0
    ) -> Word:
        """A message; `most`: number of pending updates to add to those given."""
        return Word(
            what,
            self.me,
            self.life,
            self.incarnation,
            0,
            0,
            [*(news or ()), *self._riding(most)],
            digest or (),
        )

    def _riding(self, most: int) -> list[News]:
        """Pending updates, the least often sent first; each is sent a bounded number of times."""
        found = []
        for about in sorted(self.news, key=lambda a: -self.news[a])[:most]:
            self.news[about] -= 1
            if not self.news[about]:
                del self.news[about]
            if about == self.me or not self.peers[about].own:
                found.append(self._held(about))
        for pair in list(self.apart_news)[: max(0, min(2, most - len(found)))]:
            self.apart_news[pair] -= 1
            if not self.apart_news[pair]:
                del self.apart_news[pair]
            age = max(0.0, self.now - self.apart.get(pair, 0.0))
            found.append(News(pair[0], State.APART, pair[1], 0, age))
        return found

    def _send(self, to: int, word: Word) -> Send:
        if word.what is not What.DIGEST and word.what is not What.ITEMS and not self.gone_away:
            news = list(word.news)
            peer = self.peers[to]  # Lifeguard: the suspect itself is notified first
            included = any(n.about == to for n in news)
            if peer.state in (State.SUSPECT, State.GONE) and not peer.own and not included:
                news.insert(0, self._item(peer))
            room = self.RIDE if len(self.news) <= self.MANY else MOST
            news += [
                n
                for n in self._riding(max(0, room - len(news)))
                if all(n.about != known.about for known in news)
            ]
            word = word._replace(news=news[:MOST])
        payload = packed(word)
        self.counts["sent"] += 1
        self.counts["octets"] += len(payload)
        return Send(to, payload)

    # ---- comparison of whole lists

    def _digest(self) -> list[int]:
        """Checksums of the list by bucket, equal where two members hold the same."""
        sums = [0] * BUCKETS
        for about in range(self.count):
            held = self._held(about)
            if held.state is State.UNKNOWN or about != self.me and self.peers[about].own:
                continue
            state = State.ALIVE if held.state is State.SUSPECT else held.state
            entry = b"%d/%d/%d/%d" % (about, state, held.life, held.incarnation)
            sums[about % BUCKETS] = (sums[about % BUCKETS] + zlib.crc32(entry)) & 0xFFFF
        return sums

    def _items(self, to: int, buckets: list[int], back: bool) -> None:
        """Sends the entries of those buckets in as few messages as possible; `back`: requests the other's."""
        items = [
            self._held(about)
            for about in range(self.count)
            if about % BUCKETS in buckets
            and (
                about == self.me or self.peers[about].state is not State.UNKNOWN and not self.peers[about].own
            )
        ]
        for at in range(0, len(items), MOST):
            self.owed.append(
                (
                    to,
                    Word(
                        What.ITEMS,
                        self.me,
                        self.life,
                        self.incarnation,
                        0,
                        1 if back else 0,
                        items[at : at + MOST],
                    ),
                )
            )
