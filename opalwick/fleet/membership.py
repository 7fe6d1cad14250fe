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

from opalwick.random_source import RandomSource
from opalwick.fleet.messages import (
    BUCKETS,
    MAX_UPDATES,
    Update,
    State,
    MessageType,
    Message,
    is_newer_incarnation,
    is_newer_life,
    encode,
    decode,
)


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Times and counts of the protocol."""

    every: float = 0.4  # seconds between probes of a watched member
    answer: float = 0.25  # seconds to wait for a direct answer before indirect probes start
    missed: float = 0.6  # seconds from its start until a probe counts as missed
    suspect: float = 1.7  # seconds from the first missed probe until the member is gone, if others confirm
    helpers: int = 3  # members that receive a request for an indirect probe
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

    started_at: float  # when the first missed probe started
    duration: float
    misses: int = 1
    confirmations: dict[int, float] = field(
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
    unconfirmed: bool = False  # gone without confirmation by others, which is not disseminated
    received_at: float = -math.inf  # last message from it
    reached_at: float = -math.inf  # last direct answer
    reached_indirectly_at: float = -math.inf  # last indirect answer
    indirect_streak: int = 0  # consecutive answers that were indirect
    refuted_streak: int = 0  # consecutive suspicions ended only by its refutation through others
    suspicion: Suspicion | None = None

    @property
    def known(self) -> bool:
        return self.state is not State.UNKNOWN

    @property
    def present(self) -> bool:
        return self.state in (State.ALIVE, State.SUSPECT)


@dataclass(slots=True, eq=False)
class Probe:
    """A probe that is not yet answered."""

    number: int
    peer: Peer
    started_at: float
    asked: bool = False  # indirect probes were requested
    helper_answered: bool = False  # a helper at least has answered, so this member's own connection works
    relay: tuple[int, int] | None = None  # on behalf of another member: its position and its probe's number


class Members:
    """The state of membership in one process."""

    RECENT_DEATH = 3.0  # seconds: an older report of a death was missed, or comes from another partition
    STARTUP = 3.0  # seconds after the start in which a later life under its own name counts as a former one
    PUSH_FANOUT = 4  # members to which a death or a return is pushed at once
    PUSH_DELAY = 0.05  # seconds over which pushes are batched, as many members may die at once
    # updates piggybacked on a message; as many as fit while more than MANY_PENDING are pending
    PIGGYBACK, MANY_PENDING = 6, 30
    JOIN_TRANSMISSIONS = 6  # transmissions of a first joining, few because all members may start at once
    MAX_HEALTH = 4  # worst score of own health: time limits for probes are then five times as long
    MAX_ONE_WAY = 64  # stored pairs of members with a one-way connection

    def __init__(
        self, me: int, count: int, life: int, now: float, terms: MembershipConfig, seed: int
    ) -> None:
        self.me, self.count, self.life, self.terms, self.now = me, count, life & 0xFFFFFFFF, terms, now
        self.random = RandomSource(seed)
        self.incarnation, self.started = 0, now
        self.peers = {i: Peer(i) for i in range(count) if i != me}
        self.ring = [self.peers[(me + k) % count] for k in range(1, count)]
        self.round_robin: list[Peer] = []  # rest of the current round robin
        self.probes: dict[int, Probe] = {}  # by number
        self.number = 0
        self.timers: list[tuple[float, int, str, object]] = []
        self.serial = 0
        self.pending: dict[int, int] = {}  # member: transmissions left of its update
        self.transmissions = 3 * max(1, math.ceil(math.log2(count + 1)))
        self.push_scheduled, self.push_at = False, -math.inf
        self.outbox: list[tuple[int, Message]] = []
        self.events: list[Event] = []
        self.one_way: dict[
            tuple[int, int], float
        ] = {}  # (receiver, sender) of a failed direction: when reported
        self.one_way_pending: dict[tuple[int, int], int] = {}
        self.health = 0  # Lifeguard's local health score; 0: healthy
        self.no_suspicion_until = -math.inf  # end of the time after a stall in which no suspicion is started
        self.displaced, self.has_left = False, False  # another process has this name; this one has left
        self.has_majority: bool | None = None  # whether a majority is present; None: unknown
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
        self._schedule(now, "tick", None)

    # ---- inputs

    def clock(self, now: float) -> None:
        self.now = now

    def after_stall(self) -> None:
        """After a stall of this process: missing answers mean nothing, so suspicions are dropped, the own
        health score is lowered, and the whole list is compared with another member."""
        self.probes.clear()
        for peer in self.peers.values():
            peer.suspicion = None
        self.no_suspicion_until = self.now + 1.0
        self.health = min(self.MAX_HEALTH, self.health + 1)
        self.digest_at = self.now
        self._schedule(self.now, "tick", None)
        for peer in self.ring[-2:]:  # its watchers: they get a message before they declare it gone
            if peer.present:
                self._probe(peer)

    def leave(self) -> None:
        """Leaves for good, and announces it so that others don't have to detect it."""
        if not self.has_left:
            self.has_left = True
            self.incarnation = (self.incarnation + 1) & 0xFFFF
            update = Update(self.me, State.LEFT, self.life, self.incarnation, 0.0)
            for peer in {*self._random_peers(2 * self.PUSH_FANOUT), *self.ring[:2]}:
                self.outbox.append((peer.number, self._message(MessageType.UPDATES, updates=[update])))

    def receive(self, sender: int, payload: bytes) -> None:
        """Processes a message from the address of a member."""
        message = decode(payload)
        if message is None or message.sender != sender or sender not in self.peers:
            self.counts["odd"] += 1
            return
        if self.has_left:
            return
        self.counts["words"] += 1
        if self.displaced:
            for item in message.updates:
                if item.member == self.me:
                    self._on_displacer_state(item)
            return
        peer = self.peers[sender]
        if peer.state is not State.UNKNOWN and is_newer_life(peer.life, message.life):
            self.counts["old"] += 1  # from a former process, which may still run: it is notified
            self._queue(sender, MessageType.UPDATES, self._peer_update(peer))
            return
        self._on_message(peer, message)
        for item in message.updates:
            self._apply_update(item)
        self._respond(peer, message)

    # ---- outputs

    def decisions(self) -> Iterator[Decision]:
        while self.timers and self.timers[0][0] <= self.now:
            _, _, what, whom = heapq.heappop(self.timers)
            if not self.has_left and (not self.displaced or what == "tick"):
                getattr(self, f"_due_{what}")(whom)
        if self.push_scheduled and self.now >= self.push_at:
            self._push()
        outbox, self.outbox = self.outbox, []
        for to, message in outbox:
            yield self._send(to, message)
        self._check_majority()
        events, self.events = self.events, []
        yield from events
        wake = min(
            self.timers[0][0] if self.timers else math.inf, self.push_at if self.push_scheduled else math.inf
        )
        if wake < math.inf:
            yield Wake(max(wake, self.now))

    def present_share(self) -> float:
        """Fraction of the configured members that are present, with this one."""
        return (1 + sum(peer.present for peer in self.peers.values())) / self.count

    def alone(self) -> bool:
        """Whether no message was received in the last few probe intervals."""
        least = self.now - 5.0 * self.terms.every
        return all(
            max(p.received_at, p.reached_at, p.reached_indirectly_at) < least for p in self.peers.values()
        )

    def reach(self, peer: Peer) -> str:
        """How a peer is reached: directly, only through others, or not at all."""
        least = self.now - 10.0 * self.terms.every * max(1.0, self.count / 40.0)
        if max(peer.reached_at, peer.received_at) >= least and not peer.indirect_streak:
            return "reached"
        if (
            max(peer.reached_indirectly_at, peer.received_at) >= least
            or peer.present
            and peer.suspicion is None
        ):
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
            state = "doubted" if p.suspicion is not None and p.present else p.state.name.lower()
            rows.append(
                {
                    "member": p.number,
                    "state": state,
                    "life": p.life,
                    "incarnation": p.incarnation,
                    "since_s": None if p.since == -math.inf else round(self.now - p.since, 1),
                    "heard_s": None if p.received_at == -math.inf else round(self.now - p.received_at, 1),
                    "reach": self.reach(p) if p.present else "",
                    "why": p.why,
                }
            )
        return sorted(rows, key=lambda row: row["member"])  # type: ignore[arg-type, return-value]

    # ---- received messages

    def _on_message(self, peer: Peer, message: Message) -> None:
        """A message came from the peer itself, with its life and incarnation."""
        if peer.state is State.UNKNOWN or is_newer_life(message.life, peer.life):
            self._mark_alive(peer, message.life, message.incarnation, "message received from it")
        elif peer.present:
            if is_newer_incarnation(message.incarnation, peer.incarnation):
                self._mark_alive(peer, message.life, message.incarnation, "message received from it")
        elif peer.unconfirmed or is_newer_incarnation(message.incarnation, peer.incarnation):
            self._mark_alive(peer, message.life, message.incarnation, "message received from it")
        else:  # it is sent its state as held here, and can refute it
            self._queue(peer.number, MessageType.UPDATES)
        peer.received_at = self.now
        if peer.suspicion is not None and peer.present:
            self._end_suspicion(peer)

    def _apply_update(self, item: Update) -> None:
        if item.state is State.ONE_WAY:
            if item.member < self.count and item.life < self.count and item.age < 10.0:
                self._mark_one_way(item.member, item.life, self.now - item.age)
            return
        if item.member == self.me:
            return self._on_own_state(item)
        peer = self.peers.get(item.member)
        if peer is None or item.state is State.UNKNOWN:
            return
        known = peer.state is not State.UNKNOWN
        if known and is_newer_life(peer.life, item.life):
            return
        fresh = not known or is_newer_life(item.life, peer.life)
        if not fresh and is_newer_incarnation(peer.incarnation, item.incarnation):
            return
        match item.state:
            case State.ALIVE if fresh or is_newer_incarnation(item.incarnation, peer.incarnation):
                self._mark_alive(peer, item.life, item.incarnation, "reported by others")
            case State.SUSPECT if (
                fresh
                or peer.state is State.ALIVE
                or (peer.present and is_newer_incarnation(item.incarnation, peer.incarnation))
            ):
                if fresh:
                    self._mark_alive(peer, item.life, item.incarnation, "reported by others")
                peer.incarnation = item.incarnation
                self._mark_suspect(peer, self.now - item.age, "others suspect it")
                if peer.received_at > peer.since:  # it is notified, so that it can refute
                    self._queue(peer.number, MessageType.UPDATES)
            case State.GONE if fresh or peer.present:
                # a message came since, or the death is old and was not reported before: it comes from another
                # partition, or was missed. The peer is notified and probed before the report is accepted
                received_since = peer.received_at > self.now - item.age - self.terms.pause
                if not fresh and (received_since or item.age > self.RECENT_DEATH):
                    self._queue(peer.number, MessageType.UPDATES, item)
                    self._suspect(peer, self.now, 0.5 * self.terms.suspect)
                else:
                    peer.life, peer.incarnation = item.life, item.incarnation
                    self._mark_gone(peer, self.now - item.age, "reported by others")
            case State.LEFT if fresh or peer.state is not State.LEFT:
                peer.life, peer.incarnation = item.life, item.incarnation
                self._mark_left(peer)

    def _on_own_state(self, item: Update) -> None:
        if is_newer_life(item.life, self.life):
            if self.now - self.started < self.STARTUP:
                # a former process under a clock that was ahead: this process is the later one all the same
                self._start_life(item.life, "other members hold a later life for this name")
            else:
                self.displaced = True
                self.probes.clear()
                why = "another process has started under this name"
                self.events.append(Event("displaced", self.me, item.life, why))
        elif item.life == self.life and item.state in (State.SUSPECT, State.GONE, State.LEFT):
            if not is_newer_incarnation(self.incarnation, item.incarnation):
                self.incarnation = (item.incarnation + 1) & 0xFFFF
                self.counts["refutations"] += 1
                self.health = min(self.MAX_HEALTH, self.health + 1)
                self._queue_update(self.me, push=True)

    def _on_displacer_state(self, item: Update) -> None:
        """While displaced: rejoins under a new life once the process that took its name is gone."""
        if item.state in (State.GONE, State.LEFT) and not is_newer_life(self.life, item.life):
            self.displaced = False
            self._start_life(item.life, "the other process under this name is gone")

    def _start_life(self, after: int, why: str) -> None:
        self.life, self.incarnation = (after + 1) & 0xFFFFFFFF, 0
        self.events.append(Event("returned", self.me, self.life, why))
        self._queue_update(self.me, push=True)

    def _respond(self, peer: Peer, message: Message) -> None:
        match message.type:
            case MessageType.PING | MessageType.PING_INDIRECT:
                self._queue(peer.number, MessageType.ACK, number=message.number, about=self.me)
                if message.type is MessageType.PING_INDIRECT:
                    for helper in self._random_peers(self.terms.helpers, peer):
                        self._queue(
                            helper.number, MessageType.RELAY, number=message.number, about=peer.number
                        )
            case MessageType.ACK:
                probe = self.probes.get(message.number)
                if probe is not None and probe.peer.number == message.about:
                    self._answered(probe, straight=message.about == peer.number)
            case MessageType.PING_REQUEST if message.about in self.peers:
                self._probe(self.peers[message.about], (peer.number, message.number))
            case MessageType.RELAY if message.about in self.peers:
                self._queue(
                    message.about,
                    MessageType.ACK,
                    self._peer_update(peer),
                    number=message.number,
                    about=peer.number,
                )
            case MessageType.NACK if message.about in self.peers:
                suspicion = self.peers[message.about].suspicion
                if suspicion is not None:
                    suspicion.confirmations[peer.number] = self.now
                if (probe := self.probes.get(message.number)) is not None:
                    probe.helper_answered = True
            case MessageType.DIGEST:
                ours = self._digest()
                differ = [b for b in range(BUCKETS) if ours[b] != message.digest[b]]
                self._send_entries(peer.number, differ, back=True)
            case MessageType.ENTRIES if message.about == 1:
                self._send_entries(
                    peer.number, sorted({item.member % BUCKETS for item in message.updates}), back=False
                )

    # ---- probes

    def _due_tick(self, _: object) -> None:
        t = self.terms
        # one pending tick at a time, as one more is scheduled after a stall
        self.timers = [entry for entry in self.timers if entry[2] != "tick"]
        heapq.heapify(self.timers)
        self._schedule(self.now + t.every * (0.9 + 0.2 * self.random.draw()), "tick", None)
        if self.displaced:  # requests the state of the process that took its name
            for peer in self._random_peers(1):
                self._queue(peer.number, MessageType.UPDATES)
            return
        targets = dict.fromkeys(self._ring_targets())
        targets |= dict.fromkeys(self._round_robin_target())
        absent = [
            p for p in self.ring if not p.present and (p.state is not State.LEFT or self.now - p.since > 30.0)
        ]
        if absent:  # it may have returned, or the partition may be over
            targets[absent[int(self.random.draw() * len(absent))]] = None
        busy = {probe.peer: probe for probe in self.probes.values() if probe.relay is None}
        for peer in targets:
            if peer not in busy:
                self._probe(peer)
            elif self.health:  # longer time limits, but no fewer messages, as others may still receive them
                self._queue(peer.number, MessageType.PING, number=busy[peer].number)
        if self.now >= self.digest_at:
            self.digest_at = self.now + t.digest * (0.8 + 0.4 * self.random.draw())
            for peer in self._random_peers(1):
                self.outbox.append((peer.number, self._message(MessageType.DIGEST, digest=self._digest())))

    def _ring_targets(self) -> Iterator[Peer]:
        """The successors in the ring: two that answer, and three for each that doesn't, so that a long row of
        dead members is passed in a few intervals; and all that are suspected."""
        left = self.terms.watched
        for peer in self.ring:
            if peer.present:
                if peer.suspicion is not None:
                    left += 2 * self.terms.watched
                    yield peer
                elif left > 0:
                    yield peer
                left -= 1

    def _round_robin_target(self) -> Iterator[Peer]:
        """One member, each once a round, in an order shuffled anew for each round."""
        while self.round_robin:
            peer = self.round_robin.pop()
            if peer.present:
                yield peer
                return
        self.round_robin = [peer for peer in self.ring if peer.present]
        for i in range(len(self.round_robin) - 1, 0, -1):
            j = int(self.random.draw() * (i + 1))
            self.round_robin[i], self.round_robin[j] = self.round_robin[j], self.round_robin[i]
        if self.round_robin:
            yield self.round_robin.pop()

    def _probe(self, peer: Peer, relay: tuple[int, int] | None = None) -> None:
        self.number = (self.number + 1) & 0xFFFF
        probe = self.probes[self.number] = Probe(self.number, peer, self.now, relay=relay)
        self.counts["probes"] += relay is None
        self._queue(peer.number, MessageType.PING, number=probe.number)
        self._schedule(self.now + self.terms.answer * self._time_factor(), "late", probe)

    def _time_factor(self) -> float:
        return 1.0 + self.health

    def _due_late(self, probe: Probe) -> None:
        if self.probes.get(probe.number) is not probe:
            return
        if (
            probe.relay is not None
        ):  # the member that requested it is notified that there is no answer here either
            # a message came since the other's probe began: it is present, and may only receive nothing
            if probe.peer.received_at > probe.started_at - 0.8 * self.terms.answer:
                return self._answered(probe, straight=False)
            del self.probes[probe.number]
            self._queue(probe.relay[0], MessageType.NACK, number=probe.relay[1], about=probe.peer.number)
            return
        if probe.peer.present:
            self._queue(probe.peer.number, MessageType.PING_INDIRECT, number=probe.number)
            for helper in self._helpers(probe.peer):
                self._queue(
                    helper.number, MessageType.PING_REQUEST, number=probe.number, about=probe.peer.number
                )
        # time for the helpers' own probes, and a trip each way
        self._schedule(probe.started_at + self.terms.missed * self._time_factor(), "missed", probe)

    def _due_missed(self, probe: Probe) -> None:
        if self.probes.pop(probe.number, None) is not probe or not probe.peer.present:
            return
        if probe.peer.received_at > probe.started_at:  # no answer, but another message from it
            return
        self.counts["missed"] += 1
        if not probe.helper_answered and sum(p.present for p in self.ring) > 1:
            self.health = min(
                self.MAX_HEALTH, self.health + 1
            )  # not even a helper has answered: the fault may be here
        if probe.peer.suspicion is not None:
            probe.peer.suspicion.misses += 1
        elif self.now >= self.no_suspicion_until:
            self._suspect(probe.peer, probe.started_at, self.terms.suspect)

    def _answered(self, probe: Probe, straight: bool) -> None:
        del self.probes[probe.number]
        if probe.relay is not None:
            self._queue(
                probe.relay[0],
                MessageType.ACK,
                self._peer_update(probe.peer),
                number=probe.relay[1],
                about=probe.peer.number,
            )
            return
        peer = probe.peer
        self.health = max(0, self.health - 1)
        if straight:
            peer.reached_at, peer.indirect_streak = self.now, 0
        else:
            peer.reached_indirectly_at, peer.indirect_streak = self.now, peer.indirect_streak + 1
            if peer.indirect_streak == 3:  # no direct answer three times in a row: one direction fails
                self._mark_one_way(self.me, peer.number, self.now)
        if peer.suspicion is not None:
            self._end_suspicion(peer)

    # ---- suspicion

    def _suspect(self, peer: Peer, began: float, lasts: float) -> None:
        if peer.suspicion is None:
            peer.suspicion = Suspicion(began, lasts, 0 if lasts < self.terms.suspect else 1)
            self.counts["suspicions"] += 1
            self._probe(peer)
            # announced half-way, so that it can refute. If only that has ended former suspicions, as in a
            # ring of one-way failures, its answers are what is lost, and each time it gets twice the time
            lasts *= 2 ** min(peer.refuted_streak, 3)
            peer.suspicion.duration = lasts
            self._schedule(
                began + self.terms.missed + 0.4 * min(lasts, self.terms.suspect),
                "announce",
                (peer, peer.suspicion),
            )
            self._schedule(began + self.terms.missed + lasts, "expire", (peer, peer.suspicion))

    def _due_announce(self, whom: tuple[Peer, Suspicion]) -> None:
        peer, suspicion = whom
        if peer.suspicion is suspicion and peer.state is State.ALIVE:
            self._mark_suspect(
                peer,
                suspicion.started_at,
                f"no answer to this member nor to {len(suspicion.confirmations)} others",
            )

    def _due_expire(self, whom: tuple[Peer, Suspicion]) -> None:
        """Declares it gone if others confirm; without confirmation only after as long again, and without
        dissemination."""
        peer, suspicion = whom
        if peer.suspicion is not suspicion or not peer.present:
            return
        patient = suspicion.started_at + (self.terms.missed + suspicion.duration) * (1.0 + 0.5 * self.health)
        recent = [at for at in suspicion.confirmations.values() if at > self.now - 3.0 * self.terms.every]
        others = sum(p.present and p.suspicion is None for p in self.ring if p is not peer)
        if self.now >= patient and suspicion.misses >= 2 and recent:
            self._mark_gone(peer, self.now, f"no answer to this member nor to {len(recent)} others")
        elif (
            self.now >= patient + self.terms.missed + suspicion.duration
            and suspicion.misses >= 2
            and not others
        ):
            peer.unconfirmed = True
            self._mark_gone(peer, self.now, "no answer, and no other member answers either")
        else:
            self._schedule(self.now + 0.1, "expire", whom)

    def _due_overdue(self, peer: Peer) -> None:
        """Others suspected it and have reported nothing since: this member probes it."""
        if peer.state is State.SUSPECT and self.now - peer.since > self.terms.missed + self.terms.suspect:
            if peer.received_at < self.now - self.terms.pause:
                self._suspect(peer, self.now, 0.5 * self.terms.suspect)
            self._schedule(self.now + self.terms.pause, "overdue", peer)

    def _end_suspicion(self, peer: Peer) -> None:
        """It has answered: ends this member's own suspicion, which counts as false."""
        peer.suspicion, peer.refuted_streak = None, 0
        self.counts["false"] += 1

    # ---- state of a member

    def _mark_alive(self, peer: Peer, life: int, incarnation: int, why: str) -> None:
        kind = (
            "joined"
            if peer.state is State.UNKNOWN
            else "returned"
            if life != peer.life or not peer.present
            else "cleared"
            if peer.state is State.SUSPECT
            else ""
        )
        peer.state, peer.life, peer.incarnation, peer.unconfirmed = State.ALIVE, life, incarnation, False
        if peer.suspicion is not None:
            peer.refuted_streak += 1
        peer.suspicion, peer.why = None, why
        if kind:
            peer.since = self.now
            self.events.append(Event(kind, peer.number, life, why))
        self._queue_update(peer.number, push=kind == "returned")
        if kind == "joined":
            self.pending[peer.number] = self.JOIN_TRANSMISSIONS

    def _mark_suspect(self, peer: Peer, since: float, why: str) -> None:
        peer.state, peer.since, peer.why = State.SUSPECT, since, why
        self.events.append(Event("suspected", peer.number, peer.life, why))
        self._queue_update(peer.number)
        self._schedule(since + self.terms.missed + self.terms.suspect + 1.0, "overdue", peer)

    def _mark_gone(self, peer: Peer, since: float, why: str) -> None:
        peer.state, peer.since, peer.why, peer.suspicion = State.GONE, since, why, None
        self.events.append(Event("gone", peer.number, peer.life, why))
        if not peer.unconfirmed:
            self._queue_update(peer.number, push=True)

    def _mark_left(self, peer: Peer) -> None:
        peer.state, peer.since, peer.why, peer.suspicion = State.LEFT, self.now, "it announced it", None
        self.events.append(Event("left", peer.number, peer.life, peer.why))
        self._queue_update(peer.number, push=True)

    def _check_majority(self) -> None:
        most = self.present_share() > 0.5
        if most is not self.has_majority:
            if self.has_majority is not None:
                self.events.append(
                    Event(
                        "majority" if most else "minority",
                        self.me,
                        self.life,
                        f"{self.present_share():.0%} of the members are present",
                    )
                )
            self.has_majority = most

    def _mark_one_way(self, one: int, other: int, at: float) -> None:
        """`one` receives nothing from `other`, though others do."""
        if self.now - self.one_way.get((one, other), -math.inf) > 5.0:
            if len(self.one_way) >= self.MAX_ONE_WAY:
                del self.one_way[min(self.one_way, key=lambda pair: self.one_way[pair])]
            self.one_way_pending[one, other] = 4  # transmissions: few, as the report is soon out of date
        self.one_way[one, other] = max(at, self.one_way.get((one, other), at))

    # ---- sent messages

    def _schedule(self, when: float, what: str, whom: object) -> None:
        self.serial += 1
        heapq.heappush(self.timers, (when, self.serial, what, whom))

    def _random_peers(self, count: int, but: Peer | None = None) -> list[Peer]:
        """Up to `count` random members that are present and not suspected here."""
        there = [p for p in self.ring if p.present and p is not but and p.suspicion is None]
        for i in range(min(count, len(there))):
            j = i + int(self.random.draw() * (len(there) - i))
            there[i], there[j] = there[j], there[i]
        return there[:count]

    def _helpers(self, peer: Peer) -> list[Peer]:
        """The peer's successor in the ring, which it probes even if it receives nothing, then random ones."""
        order = [(peer.number + k) % self.count for k in range(1, self.count)]
        after = [p for n in order if n != self.me and (p := self.peers[n]).present and p.suspicion is None][
            :1
        ]
        drawn = [p for p in self._random_peers(self.terms.helpers, peer) if p not in after]
        return after + drawn[: self.terms.helpers - 1]

    def _queue_update(self, about: int, push: bool = False) -> None:
        self.pending[about] = self.transmissions
        if push:
            if not self.push_scheduled:
                self.push_scheduled, self.push_at = True, max(self.now, self.push_at) + self.PUSH_DELAY
            self.pending[about] += self.PUSH_FANOUT

    def _push(self) -> None:
        self.push_scheduled = False
        for peer in self._random_peers(self.PUSH_FANOUT):
            self.outbox.append((peer.number, self._message(MessageType.UPDATES, most=MAX_UPDATES)))

    def _peer_update(self, peer: Peer) -> Update:
        age = 0.0 if peer.since == -math.inf else max(0.0, self.now - peer.since)
        return Update(peer.number, peer.state, peer.life, peer.incarnation, age)

    def _update_about(self, about: int) -> Update:
        if about == self.me:
            return Update(self.me, State.ALIVE, self.life, self.incarnation, 0.0)
        return self._peer_update(self.peers[about])

    def _queue(self, to: int, what: MessageType, *updates: Update, number: int = 0, about: int = 0) -> None:
        self.outbox.append((to, Message(what, self.me, self.life, self.incarnation, number, about, updates)))

    def _message(
        self,
        what: MessageType,
        updates: list[Update] | None = None,
        digest: list[int] | None = None,
        most: int = 0,
    ) -> Message:
        """A message; `most`: number of pending updates to add to those given."""
        return Message(
            what,
            self.me,
            self.life,
            self.incarnation,
            0,
            0,
            [*(updates or ()), *self._piggybacked(most)],
            digest or (),
        )

    def _piggybacked(self, most: int) -> list[Update]:
        """Pending updates, the least often sent first; each is sent a bounded number of times."""
        found = []
        for about in sorted(self.pending, key=lambda a: -self.pending[a])[:most]:
            self.pending[about] -= 1
            if not self.pending[about]:
                del self.pending[about]
            if about == self.me or not self.peers[about].unconfirmed:
                found.append(self._update_about(about))
        for pair in list(self.one_way_pending)[: max(0, min(2, most - len(found)))]:
            self.one_way_pending[pair] -= 1
            if not self.one_way_pending[pair]:
                del self.one_way_pending[pair]
            age = max(0.0, self.now - self.one_way.get(pair, 0.0))
            found.append(Update(pair[0], State.ONE_WAY, pair[1], 0, age))
        return found

    def _send(self, to: int, message: Message) -> Send:
        if (
            message.type is not MessageType.DIGEST
            and message.type is not MessageType.ENTRIES
            and not self.has_left
        ):
            updates = list(message.updates)
            peer = self.peers[to]  # Lifeguard: the suspect itself is notified first
            included = any(n.member == to for n in updates)
            if peer.state in (State.SUSPECT, State.GONE) and not peer.unconfirmed and not included:
                updates.insert(0, self._peer_update(peer))
            room = self.PIGGYBACK if len(self.pending) <= self.MANY_PENDING else MAX_UPDATES
            updates += [
                n
                for n in self._piggybacked(max(0, room - len(updates)))
                if all(n.member != known.member for known in updates)
            ]
            message = message._replace(updates=updates[:MAX_UPDATES])
        payload = encode(message)
        self.counts["sent"] += 1
        self.counts["octets"] += len(payload)
        return Send(to, payload)

    # ---- comparison of whole lists

    def _digest(self) -> list[int]:
        """Checksums of the list by bucket, equal where two members hold the same."""
        sums = [0] * BUCKETS
        for about in range(self.count):
            update = self._update_about(about)
            if update.state is State.UNKNOWN or about != self.me and self.peers[about].unconfirmed:
                continue
            state = State.ALIVE if update.state is State.SUSPECT else update.state
            entry = b"%d/%d/%d/%d" % (about, state, update.life, update.incarnation)
            sums[about % BUCKETS] = (sums[about % BUCKETS] + zlib.crc32(entry)) & 0xFFFF
        return sums

    def _send_entries(self, to: int, buckets: list[int], back: bool) -> None:
        """Sends the entries of those buckets in as few messages as possible; `back`: requests the other's."""
        items = [
            self._update_about(about)
            for about in range(self.count)
            if about % BUCKETS in buckets
            and (
                about == self.me
                or self.peers[about].state is not State.UNKNOWN
                and not self.peers[about].unconfirmed
            )
        ]
        for at in range(0, len(items), MAX_UPDATES):
            self.outbox.append(
                (
                    to,
                    Message(
                        MessageType.ENTRIES,
                        self.me,
                        self.life,
                        self.incarnation,
                        0,
                        1 if back else 0,
                        items[at : at + MAX_UPDATES],
                    ),
                )
            )
