"""A depot as a role: what it hears goes to `keeping.py`, what that leaves behind to the disk and the links.

The shell takes `batch()` to the disk in one transaction, one batch at a time, and hands back what was found
with `synced()`; only then are the words said that follow from it.
"""

from __future__ import annotations

import math
from typing import Any

from opalwick.post.depot.keeping import Keeping
from opalwick.post.depot.records import Fetch, Write
from opalwick.post.files import ROTTEN
from opalwick.post.home.guard import Guard
from opalwick.post.message_state import FOUND, WITH_BODY, MessageState
from opalwick.post.names import is_name_of
from opalwick.post.settings import Settings
from opalwick.post.station import Link, Station
from opalwick.post.wire_pb2 import Hand, Hello, Kept, Letter, News, Pulse, Told

ROOM = 0.4  # of the disk that messages may take: sqlite's pages, its log and freed room take as much again
LEAST = 0.02  # s of a batch on its way that are told: a usual one takes a tenth of it
LEAVE = 0.4  # s from SIGTERM to the end: what comes meanwhile is synced and answered


class Depot(Station):
    role = "depot"

    def __init__(self, settings: Settings, life: int, now: float, disk: str) -> None:
        """`disk`: the disk's own name."""
        super().__init__(settings, life, now)
        self.disk = disk
        self.keeping = Keeping(
            self.node,
            self.zone,
            now,
            settings.bounds.state,
            ROOM * settings.disk_mb * 1e6 if settings.disk_mb else math.inf,
            settings.survive.boxes + 1,
            settings.survive.across_zones,
        )
        self.keeping.trace, self.keeping.event = self.trace, self.event
        self.guard = Guard(self.zone, settings, self.directory, self.event)
        self.queue: list[Write | Fetch] = []
        self.disk_since: float | None = None  # when the batch that is on its way to the disk was taken
        self.told = set[str]()  # offices that have said who is there, in this life
        self.left_at = 0.0  # when it was told to end

    def clock(self, now: float) -> None:
        self.now = now
        self.keeping.clock(now)

    def hello(self) -> Hello:
        hello = super().hello()
        hello.disk = self.disk
        return hello

    def pulse(self, link: Link) -> Pulse:
        """Other depots are asked for counters that it does not hear, and told of those that they do not."""
        k = self.keeping
        behind = 0.0 if self.disk_since is None else self.now - self.disk_since
        pulse = Pulse(
            settled=k.settled,
            leaving=k.leaving,
            empty=k.moving.empty,
            behind=behind if behind >= LEAST else 0.0,
        )
        if link.peer.role == "depot":
            pulse.edges.update(k.hears(link.peer.node))
            pulse.deaf.extend(k.deaf)
        return pulse

    # ---- links

    def up(self, link: Link) -> None:
        k, peer = self.keeping, link.peer
        if peer.role == "counter":
            k.counter_up(peer.node, peer.life, peer.zone)
        elif peer.role == "depot":
            k.depot_up(peer.node, peer.zone, peer.disk)

    def down(self, link: Link) -> None:
        if link.peer.node in self.links:
            return
        if link.peer.role == "counter":
            self.keeping.counter_down(link.peer.node)
        elif link.peer.role == "depot":
            self.keeping.depot_down(link.peer.node)

    def heard(self, link: Link, kind: str, word: Any) -> None:
        k, node = self.keeping, link.peer.node
        if kind == "news" and word.whole:
            self.told.add(node)
        if link.peer.role == "counter" and self.is_of_earlier_life(link):
            if kind in ("mine", "refuse"):
                return
            if kind == "keep":  # nobody delivers it
                word.parked = True
        match kind, link.peer.role:
            case "pulse", "counter":
                k.counter_pulse(node, word)
            case "pulse", "depot":
                k.depot_pulse(node, word)
            case "ask", _:
                self.answer(link, word)
            case "keep", _ if word.letter.mid not in k.entries and not self.guard.keep(word.letter):
                link.say("kept", Kept(mid=word.letter.mid, refused=True))
            case "hand", "depot":
                k.hand(node, self.let_in(link, word))
            case (("keep" | "end" | "tried" | "park" | "mine" | "refuse" | "holders"), _):
                self.trace_word(node, kind, word)
                getattr(k, kind)(node, word)
            case "kept", "depot":
                k.moving.kept(node, word.mid, word.refused)
            case "ended", "depot":
                k.moving.ended(node, word.mid)
            case (("have" | "differ"), "depot"):
                getattr(k, kind)(node, word)
            case _:
                super().heard(link, kind, word)

    def is_of_earlier_life(self, link: Link) -> bool:
        """Whether a later process of that counter has been heard; words of the earlier one may lie unread."""
        counter = self.keeping.counters.get(link.peer.node)
        return counter is not None and counter.life > link.peer.life

    def trace_word(self, node: str, kind: str, word: Any) -> None:
        """What is heard of one message, and by whom it was delivered until then."""
        if kind in ("keep", "mine", "tried"):
            return
        entry = self.keeping.entries.get(word.mid)
        self.trace(
            351,
            message=word.mid,
            heard=kind,
            by=node,
            claim=getattr(word, "claim", 0),
            seal=getattr(word, "seal", ""),
            owner=entry.owner if entry is not None else "",
            known=entry.claim if entry is not None else -1,
            ended=word.mid in self.keeping.ends,
        )

    def let_in(self, link: Link, word: Hand) -> Hand:
        """Those of the copies that may be here."""
        kept = [letter for letter in word.letters if self.guard.takes(letter)]
        if len(kept) == len(word.letters):
            return word
        for letter in word.letters:
            if word.answer and letter not in kept:
                link.say("kept", Kept(mid=letter.mid, refused=True))
        return Hand(letters=kept, answer=word.answer)

    def resettle(self, settings: Settings) -> None:
        super().resettle(settings)
        self.govern()

    def govern(self) -> None:
        """The policy, who is there, or the settings have changed."""
        self.guard.learned(self.settings)
        self.keeping.policy = self.guard.policy

    def news(self, news: News) -> None:
        """Depots are linked by the one whose name comes first."""
        if news.HasField("conf"):
            self.keeping.ordered((int(news.conf.gen), int(news.conf.seq)), set(news.conf.retiring))
        self.govern()
        for node in self.nodes("depot"):
            if node.node > self.node:
                self.want(node.ip)
        offices = self.nodes("office")
        if 2 * sum(node.node in self.told for node in offices) > len(
            offices
        ):  # one alone may have lost its disk
            self.keeping.expected = {
                node.node for node in self.nodes("counter") + self.nodes("depot") if node.node != self.node
            }

    def answer(self, link: Link, word: Any) -> None:
        told = self.keeping.state(word.mid)
        if word.tags and told.state in FOUND:
            if not is_name_of(word.tags, self.keeping.holders_of(word.mid)):
                told = Told(state=MessageState.UNSURE)  # another name, or others keep it by now
        told.call = word.call
        if word.body and told.state in WITH_BODY:
            self.queue.append(Fetch(word.mid, ("told", link, word.call)))
        else:
            link.say("told", told)

    # ---- the disk

    def settle(self) -> None:
        writes, sends, fetches = self.keeping.effects()
        for node, kind, word in sends:
            if kind not in ("hand", "assign") or self.may_leave(node, kind, word):
                self.say(node, kind, word)
        self.queue += writes
        self.queue += fetches

    def may_leave(self, node: str, kind: str, word: Any) -> bool:
        """The last door before a message's octets go from here to another process."""
        link = self.link(node)
        if link is None:
            return True
        door, letters = ("move", word.letters) if kind == "hand" else ("assign", [word.letter])
        return all([self.guard.hands(door, letter, link.peer) for letter in letters])

    def batch(self) -> tuple[list[Write], list[Fetch]]:
        """All that waits for the disk."""
        waits, self.queue = self.queue, []
        self.disk_since = self.now
        return [w for w in waits if isinstance(w, Write)], [f for f in waits if isinstance(f, Fetch)]

    def synced(self, writes: list[Write], fetches: list[Fetch], found: list[bytes | None]) -> None:
        """They are on the disk; `found`: the octets of each fetch, None where there are none."""
        self.disk_since = None
        self.keeping.synced(writes)
        for write in writes:
            for node, kind, word in write.then:
                self.say(node, kind, word)
        for fetch, data in zip(fetches, found):
            if data == ROTTEN:
                self.keeping.rotten(fetch.mid)
            letter = Letter.FromString(data) if data else None
            if fetch.why[0] != "told":
                self.keeping.fetched(fetch.mid, fetch.why, letter)
                continue
            _, link, call = fetch.why
            # as it is now: it may have ended since, and its octets gone with the same batch
            told = self.keeping.state(fetch.mid)
            told.call = call
            if letter is not None:
                told.home = self.guard.home(letter)
                if self.guard.tells(told.home, self.guard.node(link.peer) if told.home else ""):
                    told.body = letter.body
                else:
                    told.abroad = True
            elif told.state in WITH_BODY:
                told.state = MessageState.UNSURE
            link.say("told", told)

    # ---- time

    def tick(self) -> None:
        self.keeping.tick()

    def leave(self) -> None:
        """It is to end: nothing new is kept, others assign in its place."""
        self.left_at = self.now
        self.keeping.leaving = True
        for links in self.links.values():
            for link in links:
                link.say("pulse", self.beat(link))

    @property
    def gone(self) -> bool:
        """All that it took is on the disk and answered; nothing is on its way there, in a thread that would
        go on with a closed disk.
        """
        answered = not self.queue and self.disk_since is None
        return bool(self.left_at) and self.now - self.left_at >= LEAVE and answered

    def figures(self) -> dict[str, Any]:
        k = self.keeping
        return {
            **k.figures,
            **k.moving.figures,
            "pending": len(k.entries),
            "ends": len(k.ends),
            "settled": k.settled,
        }
