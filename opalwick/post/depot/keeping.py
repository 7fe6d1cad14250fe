"""What a depot decides: what it keeps, who delivers it, what it tells. No socket, no disk, no clock.

Inputs update what is known and leave `writes` (each with the words that may be said once it is synced) and
`sends` (at once) behind, which the agent takes with `effects()`.

Who delivers a message is one counter at a time: the one that took it, from the start, and after that whoever
the acting depot among its holders assigns it to. A counter that no depot in touch has heard for `lapse` has
none any more; it stops by itself `margin` sooner (`counter/rounds.py`).
"""

from __future__ import annotations

import heapq
import math
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from opalwick.post.depot.moving import Moving
from opalwick.post.depot.reconciliation import BATCH, Reconciliation
from opalwick.post.depot.records import Entry, Fetch, KnownEnd, Send, Write
from opalwick.post.depot.seal import Seal
from opalwick.post.home.policy import Policy
from opalwick.post.message_state import MessageState
from opalwick.post.names import process_id
from opalwick.post.wire_pb2 import (
    Assign,
    Checked,
    Differ,
    End,
    Ended,
    Hand,
    Have,
    Holders,
    Keep,
    Kept,
    Letter,
    Mine,
    Park,
    Pulse,
    Refuse,
    Told,
    Tried,
)

LAPSE = 2.0  # s: a counter unheard for so long delivers nothing any more; eight pulses
DEAF = 0.5  # s: of a counter unheard for two pulses other depots are asked whether they hear it
ASKED = 0.75  # s that they have been asked before it lapses: a pulse each way, and one more
MARGIN = 0.5  # s that a counter stops sooner: two pulses on the way, and their age
AWAY = 1.2  # s that the depot which acts may be unheard until the next holder does
SETTLE = 1.5  # s after its start that a depot waits for what others know: the counters dial within 0.8
LEAD = 0.05  # s that a message is assigned before it is due: a trip and a sync
STILL = 0.5  # s between two ticks after which this process stood still: ten times their distance
REFUSED = 0.2  # s until what a counter has refused is given to another, by half more or less
AGAIN = 0.6  # s until an assignment that was not acknowledged is said again, to the same counter
STEP = 200  # messages assigned in one step, so that others get their turn


class Counter:
    """A counter as this depot sees it."""

    __slots__ = ("given", "heard_at", "leaving", "life", "linked", "node", "ready", "zone")

    def __init__(self, node: str, life: int, zone: str, now: float) -> None:
        self.node, self.life, self.zone, self.heard_at = node, life, zone, now
        self.linked, self.ready, self.leaving, self.given = True, False, False, 0


def untold(number: int, **fields: Any) -> None:
    """Takes an event that nobody listens to."""


class Keeping:
    def __init__(
        self,
        node: str,
        zone: str,
        now: float,
        state_s: float,
        room: float = math.inf,
        copies: int = 2,
        spread: bool = True,
    ) -> None:
        """`state_s`: for how long an end is told after it. `room`: octets of messages that may be kept.
        `copies`: depots that keep a message; `spread`: in different zones.
        """
        self.node, self.zone, self.now, self.state_s = node, zone, now, state_s
        self.started = self.ticked = now
        self.waited = False  # with judging, as it had stood still
        self.entries: dict[str, Entry] = {}
        self.ends: dict[str, KnownEnd] = {}  # by message
        self.owned: dict[str, set[str]] = {}
        self.counters: dict[str, Counter] = {}
        self.asked: list[tuple[float, str]] = []  # when to look whether an assignment was acknowledged
        self.peers: dict[str, float] = {}  # depots that are linked: when heard last
        self.peers_settled: dict[str, bool] = {}
        self.peers_hear: dict[str, dict[str, float]] = {}  # depot: counter process: heard at
        self.peers_echo: dict[str, float] = {}  # depot: the newest of this one's times that it has heard
        self.checks: dict[str, tuple[float, Mine]] = {}  # counter: since when it waits to be told, of what
        self.peers_ask: dict[str, list[str]] = {}  # depot: counter processes that it does not hear
        self.deaf: dict[str, float] = {}  # owners that are not heard here: asked for since
        self.waiting: list[tuple[float, str]] = []  # due, without an owner; may hold some that have one again
        self.expiry: list[tuple[float, str]] = []
        self.expected: set[str] | None = None  # counters and depots that are there, once an office has told
        self.reported = set[str]()  # counters that said what they deliver, since the start
        self.settled, self.awaits = False, set[str]()  # depots whose answer to `have` is awaited
        self.leaving = False
        self.writes: list[Write] = []
        self.sends: list[Send] = []
        self.fetches: list[Fetch] = []
        self.unsynced = set[str]()  # ends that are not on the disk yet: nobody is told of them
        self.dead: dict[str, int] = {}  # octets of dead messages
        self.room, self.held = room, 0  # octets
        self.policy: Policy | None = None  # where messages with a home may be
        self.seal = Seal()  # once nothing is to be kept here any more
        self.moving = Moving(self, copies, spread)
        self.reconciliation = Reconciliation(self)
        counted = ("kept", "ended", "assigned", "lapsed", "handed", "refused")
        self.figures = dict.fromkeys((*counted, "second_successes", "missed_ends"), 0)
        # `number` of the catalogue, and its fields; the role sets both. `trace`: of single messages
        self.event: Callable[..., None] = untold
        self.trace: Callable[..., None] = untold

    def clock(self, now: float) -> None:
        self.now = now

    def effects(self) -> tuple[list[Write], list[Send], list[Fetch]]:
        found = self.writes, self.sends, self.fetches
        self.writes, self.sends, self.fetches = [], [], []
        return found

    # ---- from the disk, at the start

    def loaded(
        self,
        mid: str,
        holders: tuple[str, ...],
        due: float,
        until: float,
        fails: int,
        lost: int,
        size: int,
        home: str = "",
    ) -> None:
        self.add(Entry(mid, holders, due, until, fails, lost, size, home))

    def loaded_end(
        self, mid: str, complete: bool, seal: str, until: float, holders: tuple[str, ...] = ()
    ) -> None:
        self.ends[mid] = KnownEnd(complete, seal, until, holders)
        heapq.heappush(self.expiry, (until, mid))

    def loaded_dead(self, mid: str, size: int) -> None:
        """Octets of one that has ended dead."""
        self.dead[mid] = size
        self.held += size

    def add(self, entry: Entry) -> None:
        self.entries[entry.mid] = entry
        self.held += entry.size
        heapq.heappush(self.expiry, (entry.until, entry.mid))
        if not entry.owner:
            heapq.heappush(self.waiting, (entry.due, entry.mid))

    def own(self, entry: Entry, who: str, why: str = "") -> None:
        """`why`: the word or finding by which it has no owner any more."""
        entry.asked_at = 0.0
        if entry.owner == who:
            return
        if entry.owner:
            self.owned.get(entry.owner, set()).discard(entry.mid)
        entry.owner = who
        if who:
            self.owned.setdefault(who, set()).add(entry.mid)
        else:
            entry.freed_by = why
            heapq.heappush(self.waiting, (entry.due, entry.mid))

    # ---- counters

    def counter_up(self, node: str, life: int, zone: str) -> None:
        known = self.counters.get(node)
        if known is not None and known.life > life:
            return  # a link of a process before it
        if known is None or known.life < life:
            # a process is started again only after the one before has ended
            if known is not None:
                self.lapsed(process_id(node, known.life))
            fresh = self.counters[node] = Counter(node, life, zone, self.now)
            # it takes its turn with the others: from nought it would be given all that comes
            fresh.given = max((c.given for c in self.counters.values()), default=0)
            for who in [
                who for who in self.owned if who.rpartition("/")[0] == node and who != process_id(node, life)
            ]:
                self.lapsed(who)
            return
        known.linked, known.heard_at = True, self.now

    def counter_down(self, node: str) -> None:
        if node in self.counters:
            self.counters[node].linked = False
            self.reported.discard(node)

    def counter_pulse(self, node: str, pulse: Pulse) -> None:
        if (counter := self.counters.get(node)) is not None:
            counter.heard_at, counter.ready, counter.leaving = self.now, pulse.ready, pulse.leaving

    def hears(self, node: str) -> dict[str, float]:
        """For that depot: of counters' processes that it does not hear, how long ago each was heard."""
        return {
            who: self.now - at
            for who in self.peers_ask.get(node, ())
            if self.now - (at := self.heard_at(who)) < 10.0
        }

    def heard_at(self, who: str) -> float:
        node, _, life = who.rpartition("/")
        counter = self.counters.get(node)
        return counter.heard_at if counter is not None and counter.life == int(life) else -1e9

    def alive(self, who: str) -> bool:
        if self.now - self.heard_at(who) < LAPSE:
            return True
        return any(
            self.now - at < LAPSE
            for peer, hears in self.peers_hear.items()
            if peer in self.peers and (at := hears.get(who)) is not None
        )

    def lapsed(self, who: str, silent: bool = False) -> None:
        """`silent`: it may live, and another depot may hear it again that does not know yet. So its number is
        over, and those that keep the message learn it ahead of the next pulse.
        """
        mids = self.owned.pop(who, set())
        self.deaf.pop(who, None)
        self.figures["lapsed"] += len(mids)
        for mid in sorted(mids):
            entry = self.entries[mid]
            entry.owner, entry.asked_at = "", 0.0
            entry.freed_by = "silent" if silent else "restarted"
            self.reconciliation.doubt(mid)
            heapq.heappush(self.waiting, (entry.due, mid))
            if silent:
                entry.claim = entry.taken = entry.claim + 1
                word = Park(
                    mid=mid,
                    claim=entry.claim,
                    due=max(0.0, entry.due - self.now),
                    fails=entry.fails,
                    lost=entry.lost,
                )
                self.sends += [Send(node, "park", word) for node in entry.holders if node in self.peers]

    # ---- words of counters

    def keep(self, node: str, word: Keep) -> None:
        letter: Letter = word.letter
        mid = letter.mid
        said = (node, "kept", Kept(mid=mid))
        if mid in self.ends:
            self.sends.append(Send(*said))
            return
        if mid in self.entries:
            # written already, or about to be: behind it in the same queue
            self.writes.append(Write("none", (), (said,)))
            return
        if self.leaving:
            return
        if self.seal.closed or self.held + letter.ByteSize() > self.room:
            self.figures["refused"] += 1
            self.sends.append(Send(node, "kept", Kept(mid=mid, refused=True)))
            return
        counter = self.counters.get(node)
        entry = Entry(
            mid,
            tuple(letter.holders),
            self.now + letter.due,
            self.now + letter.until,
            letter.fails,
            letter.lost,
            letter.ByteSize(),
            letter.home,
        )
        entry.claim = letter.claim
        if counter is not None and not word.parked:
            entry.owner = process_id(node, counter.life)
            self.owned.setdefault(entry.owner, set()).add(mid)
        self.add(entry)
        self.figures["kept"] += 1
        self.writes.append(
            Write(
                "keep",
                (mid, letter.SerializeToString(), entry.due, entry.until, letter.fails, letter.lost),
                (said,),
            )
        )
        self.noted(entry, "copies", self.country(self.zone))

    def noted(self, entry: Entry, what: str, country: str) -> None:
        """For the list of where copies and runs of messages with a home were (`home/audit.py`)."""
        if entry.home:
            self.writes.append(Write("audit", (self.now, entry.home, what, country)))

    def end(self, node: str, word: End) -> None:
        said = (node, "ended", Ended(mid=word.mid))
        if word.mid in self.ends:
            self.writes.append(Write("none", (), (said,)))
            self.compare_successes(node, word)
            return
        entry, counter = self.entries.get(word.mid), self.counters.get(node)
        self.finish(word.mid, word.complete, word.seal, said, waits=word.until)
        if entry is not None and counter is not None and entry.owner != process_id(node, counter.life):
            # that counter may not know all that keep it, or not reach them
            self.tell_end(word.mid, [holder for holder in entry.holders if holder in self.peers])
        # one of its keepers notes a run
        if entry is not None and word.complete and self.node in entry.holders[:1]:
            self.noted(entry, "runs", word.country)

    def compare_successes(self, node: str, word: End) -> None:
        """Two runs of one message that both succeeded, and whose answers were both read."""
        known = self.ends[word.mid]
        both_read = known.complete and word.complete and known.seal and word.seal
        if both_read and known.seal != word.seal:
            self.figures["second_successes"] += 1
            self.event(305, message=word.mid, seal=word.seal, known=known.seal, by=node)

    def tell_end(self, mid: str, nodes: Iterable[str]) -> None:
        for node in nodes:
            self.send(node, "end", self.end_of(mid))

    def end_of(self, mid: str) -> End:
        """For other depots: with how long a copy of the message may wait anywhere."""
        end = self.ends[mid]
        waits = max(0.0, end.until - self.now - self.state_s)
        return End(mid=mid, complete=end.complete, seal=end.seal, until=waits)

    def finish(
        self, mid: str, complete: bool, seal: str, *then: tuple[str, str, Any], waits: float = 0.0
    ) -> None:
        """It has ended, for ever: the first such word stands. Who delivers it is told, if another said so.
        `waits`: seconds that a copy of it may wait elsewhere, by who told.
        """
        entry = self.entries.pop(mid, None)
        # longer than any copy of it waits elsewhere, so that none begins anew
        until = max(self.now + waits, entry.until if entry is not None else self.now) + self.state_s
        if entry is not None and entry.owner:
            self.owned.get(entry.owner, set()).discard(mid)
            deliverer = entry.owner.rpartition("/")[0]
            if all(node != deliverer for node, *_ in then):
                self.send(deliverer, "end", End(mid=mid, complete=complete, seal=seal))
        if entry is not None and complete:
            self.held -= entry.size
        elif entry is not None:
            self.dead[mid] = entry.size  # its octets may still be asked for
        holders = entry.holders if entry is not None else ()
        self.ends[mid] = KnownEnd(complete, seal, until, holders)
        self.unsynced.add(mid)
        heapq.heappush(self.expiry, (until, mid))
        self.figures["ended"] += 1
        self.trace(353, message=mid, complete=complete, seal=seal, holders=",".join(holders))
        self.writes.append(Write("end", (mid, int(complete), seal, until, " ".join(holders)), then))

    def synced(self, writes: list[Write]) -> None:
        """They are on the disk."""
        for write in writes:
            if write.kind == "end":
                self.unsynced.discard(write.fields[0])
            elif write.kind == "seal":
                self.seal.synced(write.fields)  # type: ignore[arg-type]

    def seals(self, key: tuple[int, int]) -> None:
        """Nothing is left here, and nothing comes any more; told once that is on the disk."""
        self.writes.append(Write("seal", key))

    def ordered(self, key: tuple[int, int], retiring: set[str]) -> None:
        """Depots that are to be taken away by the configuration with that key; may be this one."""
        self.moving.retiring = retiring
        if self.seal.learned(key, self.node in retiring):
            self.writes.append(Write("unseal", ()))

    def tried(self, node: str, word: Tried) -> None:
        entry = self.entries.get(word.mid)
        if entry is not None and (word.fails > entry.fails or word.lost > entry.lost):
            entry.fails, entry.lost = max(entry.fails, word.fails), max(entry.lost, word.lost)
            self.writes.append(Write("tried", (entry.mid, entry.due, entry.fails, entry.lost)))

    def park(self, node: str, word: Park) -> None:
        """The counter gives it back, to be delivered once it is due; or a depot took it from a silent one."""
        entry, counter = self.entries.get(word.mid), self.counters.get(node)
        if node in self.peers and entry is not None:
            if word.claim < entry.claim or (word.claim == entry.claim and entry.owner):
                return
            entry.taken = word.claim
        if entry is None or (
            word.claim < entry.claim
            and (counter is None or entry.asked_at or entry.owner != process_id(node, counter.life))
        ):
            return
        entry.due, entry.claim = self.now + word.due, max(entry.claim, word.claim)
        entry.fails, entry.lost = max(entry.fails, word.fails), max(entry.lost, word.lost)
        if entry.owner:
            self.own(entry, "", "parked")
        else:
            heapq.heappush(self.waiting, (entry.due, entry.mid))
        self.writes.append(Write("tried", (entry.mid, entry.due, entry.fails, entry.lost)))

    def mine(self, node: str, word: Mine) -> None:
        """What a counter says that it delivers, by the latest number that it was given.

        The greater number wins. Depots that do not hear each other give the same one to two counters: then
        the name that comes first wins, with every depot. Who has lost is told.
        """
        if (counter := self.counters.get(node)) is None:
            return
        gone = self.claimed(node, word)
        if word.whole:
            self.reported.add(node)
            self.unlisted(process_id(node, counter.life), set(word.mids))
            self.checks[node] = self.now, word
            self.check(node)
        elif gone or word.ask:
            agreed = (
                [mid for mid in word.mids if mid not in self.ends and mid not in gone] if word.ask else []
            )
            self.sends.append(Send(node, "checked", Checked(gone=gone, number=word.number, agreed=agreed)))

    def check(self, node: str) -> None:
        """Answers what it delivers as a whole, once each depot in touch has echoed a later pulse of this one.
        Until then one that had not heard that counter may take its messages away by what it knew before, and
        its word of that comes before its echo.
        """
        at, word = self.checks[node]
        if word.mids and any(
            self.peers_echo.get(peer, -1e9) <= at
            for peer, heard_at in self.peers.items()
            if self.now - heard_at < AWAY
        ):
            return
        del self.checks[node]
        gone = self.claimed(node, word, take=False)
        self.sends.append(Send(node, "checked", Checked(gone=gone, number=word.number)))

    def claimed(self, node: str, word: Mine, take: bool = True) -> list[str]:
        """Those that are not its. `take`: of the others it is the deliverer from now on; not where the word
        has lain here for a while, and the counter may have given back some of them since.
        """
        who = process_id(node, self.counters[node].life)
        gone: list[str] = []
        for mid, claim in zip(word.mids, word.claims):
            entry = self.entries.get(mid)
            if entry is None:
                if mid in self.ends:  # it has not heard that it ended
                    end = self.ends[mid]
                    self.send(node, "end", End(mid=mid, complete=end.complete, seal=end.seal))
            elif claim >= entry.taken and (entry.owner in ("", who) or not self.alive(entry.owner)):
                if entry.owner not in ("", who):
                    self.tell_gone(entry.owner, mid)
                if take or entry.owner:
                    entry.claim = max(entry.claim, claim)
                    self.own(entry, who)
            else:
                gone.append(mid)
        return gone

    def unlisted(self, who: str, listed: set[str]) -> None:
        """What it was taken to deliver and does not: its word of that was lost with a link."""
        for mid in sorted(self.owned.get(who, set()) - listed):
            if not self.entries[mid].asked_at:  # else it may not have heard of it yet
                self.own(self.entries[mid], "", "unlisted")
                self.reconciliation.doubt(mid)
                self.tell_gone(who, mid)  # should it have it all the same, it begins it no more

    def tell_gone(self, who: str, mid: str) -> None:
        node, _, life = who.rpartition("/")
        if (counter := self.counters.get(node)) is not None and counter.life == int(life):
            self.send(node, "checked", Checked(gone=[mid]))

    def refuse(self, node: str, word: Refuse) -> None:
        """It cannot take it, or has let it go since another depot said that it is somebody else's."""
        entry, counter = self.entries.get(word.mid), self.counters.get(node)
        if entry is None or counter is None or entry.owner != process_id(node, counter.life):
            return
        if word.claim == entry.claim or not entry.asked_at:  # else it is of an assignment before this one
            entry.due = max(entry.due, self.now + self.pause(entry))
            self.own(entry, "", "refused")

    def pause(self, entry: Entry) -> float:
        """Seconds until a message that a counter has refused is given to another: other than those of the
        other depots that keep it, or two that do not hear each other would have each other's counter refuse
        for ever.
        """
        drawn = zlib.crc32(f"{entry.mid}/{entry.claim}/{self.node}".encode()) / 2**32
        return REFUSED * (0.5 + drawn)

    def holders(self, node: str, word: Holders) -> None:
        """Who keeps it, as the counter that took it says; who is not named drops it."""
        entry = self.entries.get(word.mid)
        if entry is None:
            return
        if self.node not in word.holders:
            self.drop(entry)
            return
        entry.holders = tuple(word.holders)
        self.writes.append(Write("holders", (entry.mid, " ".join(entry.holders))))

    def drop(self, entry: Entry) -> None:
        """A copy too many."""
        self.own(entry, "")
        del self.entries[entry.mid]
        self.held -= entry.size
        self.writes.append(Write("drop", (entry.mid,)))

    # ---- what is asked back

    def state(self, mid: str) -> Told:
        if mid in self.ends and mid not in self.unsynced:
            end = self.ends[mid]
            return Told(state=MessageState.COMPLETE if end.complete else MessageState.DEAD, seal=end.seal)
        if mid in self.entries or mid in self.unsynced:
            return Told(state=MessageState.PENDING)
        return Told(state=MessageState.UNKNOWN if self.settled else MessageState.UNSURE)

    def holders_of(self, mid: str) -> tuple[str, ...]:
        """Who keeps it, or kept it when it ended; none where it is not known."""
        known = self.entries.get(mid) or self.ends.get(mid)
        return known.holders if known is not None else ()

    # ---- other depots

    def send(self, node: str, kind: str, word: Any) -> None:
        self.sends.append(Send(node, kind, word))

    def fetch(self, mid: str, why: tuple[Any, ...]) -> None:
        self.fetches.append(Fetch(mid, why))

    def depot_up(self, node: str, zone: str = "", disk: str = "") -> None:
        self.peers[node] = self.now
        self.moving.up(node, zone, disk)
        self.compare(node)

    def compare(self, node: str) -> None:
        """It is told what is pending here that it keeps too, and says what it knows of that."""
        self.awaits.add(node)
        pending = sorted(mid for mid, entry in self.entries.items() if node in entry.holders)
        for at in range(0, max(1, len(pending)), BATCH):
            part = pending[at : at + BATCH]
            self.sends.append(Send(node, "have", Have(pending=part, last=at + BATCH >= len(pending))))

    def depot_down(self, node: str) -> None:
        self.peers.pop(node, None)
        self.peers_hear.pop(node, None)
        self.peers_ask.pop(node, None)
        self.peers_echo.pop(node, None)
        self.peers_settled.pop(node, None)
        self.awaits.discard(node)
        self.moving.down(node)

    def depot_pulse(self, node: str, pulse: Pulse) -> None:
        if node in self.peers:
            self.peers[node] = self.now
            self.peers_settled[node] = pulse.settled and not pulse.leaving
            self.peers_hear[node] = {who: self.now - age for who, age in pulse.edges.items()}
            self.peers_ask[node] = list(pulse.deaf)
            self.peers_echo[node] = pulse.echo
            for counter in list(self.checks):
                self.check(counter)

    def have(self, node: str, word: Have) -> None:
        """What another depot keeps as pending that should be here as well."""
        ends = [self.end_of(mid) for mid in word.pending if mid in self.ends]
        if word.ends:
            if ends:
                self.send(node, "differ", Differ(ends=ends))
            return
        lack = [mid for mid in word.pending if mid not in self.ends and mid not in self.entries]
        drop = [
            mid
            for mid in word.pending
            if (entry := self.entries.get(mid)) is not None and node not in entry.holders
        ]
        self.sends.append(Send(node, "differ", Differ(ends=ends, lack=lack, last=word.last, drop=drop)))

    def differ(self, node: str, word: Differ) -> None:
        for end in word.ends:
            if end.mid not in self.ends:
                if not word.last and node not in self.awaits:  # no link has just come up
                    self.figures["missed_ends"] += 1
                    self.event(306, message=end.mid, by=node)
                self.finish(end.mid, end.complete, end.seal, waits=end.until)
        for mid in word.drop:
            if (entry := self.entries.get(mid)) is not None:
                self.drop(entry)
        for mid in word.lack:
            if mid in self.entries:
                self.fetches.append(Fetch(mid, ("hand", node)))
        if word.last:
            self.awaits.discard(node)

    def rotten(self, mid: str) -> None:
        """Its octets here are not what was written: this copy is lost, and comes anew from the others."""
        entry = self.entries.get(mid)
        if entry is not None:
            self.drop(entry)
            for node in entry.holders:
                if node != self.node:
                    self.send(node, "differ", Differ(lack=[mid]))

    def hand(self, node: str, word: Hand) -> None:
        """What this depot should have had. Who delivers it goes on: unknown here it would be assigned to
        another, once this depot is the one that acts.
        """
        for letter, who in zip(word.letters, [*word.owners, *[""] * len(word.letters)]):
            mid = letter.mid
            then = ((node, "kept", Kept(mid=mid)),) if word.answer else ()
            if mid in self.ends:
                self.tell_end(mid, [node])
            elif (known := self.entries.get(mid)) is not None:
                known.holders = tuple(letter.holders)
                if who and letter.claim >= known.claim and not known.owner:
                    known.claim = letter.claim
                    self.own(known, who)
                self.writes.append(Write("holders", (mid, " ".join(known.holders)), then))
            elif word.answer and (self.seal.closed or self.held + letter.ByteSize() > self.room):
                self.send(node, "kept", Kept(mid=mid, refused=True))
            elif self.seal.written is not None:
                continue  # nothing rests on this disk any more
            else:
                entry = Entry(
                    mid,
                    tuple(letter.holders),
                    self.now + letter.due,
                    self.now + letter.until,
                    letter.fails,
                    letter.lost,
                    letter.ByteSize(),
                    letter.home,
                )
                entry.claim = letter.claim
                if who:
                    entry.owner = who
                    self.owned.setdefault(who, set()).add(mid)
                self.add(entry)
                self.figures["handed"] += 1
                self.writes.append(
                    Write(
                        "keep",
                        (mid, letter.SerializeToString(), entry.due, entry.until, letter.fails, letter.lost),
                        then,
                    )
                )
                self.noted(entry, "copies", self.country(self.zone))

    # ---- time

    def acts(self, entry: Entry) -> bool:
        """Whether this depot is the one that assigns it: the first of its holders that is there."""
        for holder in entry.holders:
            if holder == self.node:
                return True
            if self.now - self.peers.get(holder, -1e9) < AWAY and self.peers_settled.get(holder, False):
                return False
        return True  # it is here, though none of its holders is

    def tick(self) -> None:
        # this process stood still: who was not heard meanwhile may well have spoken, and its words lie here.
        # They are read before the next tick, which judges; a depot that is always slow judges at every second
        stood, self.ticked = self.now - self.ticked, self.now
        self.waited = still = stood > STILL and not self.waited
        if still and stood > AWAY and self.settled:
            # others have acted in its place, and links may have gone with what lay on them: as after a start
            self.settled, self.started = False, self.now
            for node in self.peers:
                self.compare(node)
        if not self.settled:
            # all that are there have told; or so much time has passed that who has not is not there
            known = self.expected is not None and self.expected <= self.reported | set(self.peers)
            age = self.now - self.started
            self.settled = (not self.awaits and (known or age >= SETTLE)) or age >= 2.0 * SETTLE
        for who in list(self.owned):
            if not self.owned[who] or self.now - self.heard_at(who) < DEAF:
                self.deaf.pop(who, None)
                if not self.owned[who]:
                    del self.owned[who]
            elif (
                self.now - self.deaf.setdefault(who, self.now) >= ASKED
                and not self.alive(who)
                and self.settled
                and not still
            ):
                self.lapsed(who, silent=True)
        for counter in list(self.checks):
            self.check(counter)
        self.reconciliation.tick()
        while self.expiry and self.expiry[0][0] <= self.now:
            self.expire(heapq.heappop(self.expiry)[1])
        if not self.leaving and not still:
            self.moving.tick()
        if self.settled and not self.leaving and not still:
            while self.asked and self.asked[0][0] <= self.now:
                entry = self.entries.get(heapq.heappop(self.asked)[1])
                if entry is not None and entry.asked_at and self.now - entry.asked_at >= AGAIN - 1e-6:
                    self.ask(entry)
            self.assign()

    def expire(self, mid: str) -> None:
        if (entry := self.entries.get(mid)) is not None:
            if entry.until <= self.now:
                self.finish(mid, False, "")
        elif (end := self.ends.get(mid)) is not None and end.until <= self.now:
            del self.ends[mid]
            self.moving.ends_done.discard(mid)
            self.held -= self.dead.pop(mid, 0)
            self.writes.append(Write("forget", (mid,)))

    def assign(self) -> None:
        later: list[tuple[float, str]] = []
        left = STEP
        takers: list[Counter] | None = None
        homely = dict[str, list[Counter]]()  # by country
        while self.waiting and left and self.waiting[0][0] <= self.now + LEAD:
            due, mid = heapq.heappop(self.waiting)
            entry = self.entries.get(mid)
            if entry is None or entry.owner or entry.due > due + 1e-6:
                continue
            if not self.acts(entry):
                later.append((self.now + 0.25, mid))
                entry.due = max(entry.due, self.now + 0.25) if entry.due > self.now else entry.due
                continue
            if takers is None:
                takers = self.takers()
            if entry.home:
                if entry.home not in homely:
                    homely[entry.home] = self.takers(entry.home)
                if not (among := homely[entry.home]):  # it waits here, and holds up nobody
                    later.append((self.now + 0.25, mid))
                    continue
            elif not (among := takers):
                if self.policy is None:
                    later.append((due, mid))
                    break
                later.append((self.now + 0.25, mid))
                continue
            left -= 1
            taker = min(among, key=lambda c: c.given)
            taker.given += 1
            entry.claim += 1
            self.own(entry, process_id(taker.node, taker.life))
            self.ask(entry)
        for item in later:
            heapq.heappush(self.waiting, item)

    def ask(self, entry: Entry) -> None:
        entry.asked_at = self.now
        heapq.heappush(self.asked, (self.now + AGAIN, entry.mid))
        self.fetches.append(Fetch(entry.mid, ("assign", entry.owner, entry.claim)))

    def country(self, zone: str) -> str:
        return self.policy.country(zone) if self.policy is not None else ""

    def takers(self, home: str = "") -> list[Counter]:
        """Counters that may be assigned something: near ones, where there are any."""
        able = [
            c
            for c in self.counters.values()
            if c.linked
            and c.ready
            and not c.leaving
            and self.now - c.heard_at < 1.0
            and (not home or self.country(c.zone) == home)
        ]
        return [c for c in able if c.zone == self.zone] or able

    def fetched(self, mid: str, why: tuple[Any, ...], letter: Letter | None) -> None:
        """What the disk had; None: it has ended meanwhile."""
        entry = self.entries.get(mid)
        if why[0] == "dead" and letter is not None and mid in self.ends:
            for target in why[1]:  # its octets, and that it has ended, in that order
                self.send(target, "hand", Hand(letters=[letter]))
            self.moving.say_end(mid, why[1])
            return
        if entry is None or letter is None:
            return
        letter.due, letter.until = max(0.0, entry.due - self.now), max(0.0, entry.until - self.now)
        letter.fails, letter.lost, letter.claim = entry.fails, entry.lost, entry.claim
        del letter.holders[:]
        letter.holders.extend(entry.holders)
        if why[0] == "assign":
            if (entry.owner, entry.claim) == why[1:]:
                self.figures["assigned"] += 1
                self.trace(352, message=mid, to=entry.owner, claim=entry.claim, why=entry.freed_by)
                self.sends.append(Send(why[1].rpartition("/")[0], "assign", Assign(letter=letter)))
        elif why[0] == "hand":
            self.sends.append(Send(why[1], "hand", Hand(letters=[letter], owners=[entry.owner])))
        elif why[0] == "move":
            del letter.holders[:]
            letter.holders.extend(why[2])
            self.sends.append(Send(why[1], "hand", Hand(letters=[letter], answer=True, owners=[entry.owner])))
