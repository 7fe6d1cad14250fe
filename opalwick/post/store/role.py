"""The role of a store: passes received peer messages to `message_store.py`, and its effects to the disk
and the links.

The shell takes `batch()` to the disk in one transaction, one batch at a time, and returns what was found with
`synced()`; only then are the peer messages sent that depend on it.
"""

from __future__ import annotations

import math
from typing import Any

from opalwick.post.store.comparison import REPLICATION
from opalwick.post.store.message_store import MessageStore
from opalwick.post.store.records import Fetch, Write
from opalwick.post.database_files import CORRUPT
from opalwick.post.residency.guard import Guard
from opalwick.post.message_state import FOUND, WITH_BODY, MessageState
from opalwick.post.names import matches_tags
from opalwick.post.settings import Settings
from opalwick.post.base_role import Link, RoleBase
from opalwick.post.wire_pb2 import Hand, Hello, Kept, Letter, News, Pulse, Told

# share of the disk that messages may take: sqlite's pages, its log and freed space take as much again
ROOM = 0.4
# bytes queued on a link from which no further bodies are sent on it: a quarter of what closes it
BODY_WINDOW = 4 << 20
MIN_REPORTED_DELAY = (
    0.02  # s of a batch in progress from which heartbeats report it: a usual one takes a tenth of it
)
SHUTDOWN_GRACE = 0.4  # s from SIGTERM to the end: what arrives in the meantime is synced and answered


class StoreRole(RoleBase):
    """The store of one node ("depot" on the wire)."""

    role = "depot"

    def __init__(self, settings: Settings, life: int, now: float, disk: str) -> None:
        """`disk`: id of the disk."""
        super().__init__(settings, life, now)
        self.disk = disk
        self.store = MessageStore(
            self.node,
            self.zone,
            now,
            settings.bounds.state,
            ROOM * settings.disk_mb * 1e6 if settings.disk_mb else math.inf,
            settings.survive.boxes + 1,
            settings.survive.across_zones,
        )
        self.store.comparison.questions.begin(life)
        self.store.trace, self.store.event = self.trace, self.event
        self.guard = Guard(self.zone, settings, self.directory, self.event)
        self.queue: list[Write | Fetch] = []
        self.batch_since: float | None = None  # when the batch that is being written was taken; None: none is
        # controllers that have sent the whole directory to this process, by node
        self.reporting_controllers = set[str]()
        self.leaving_since = 0.0  # when the shutdown began; 0: it has not

    def clock(self, now: float) -> None:
        self.now = now
        self.store.clock(now)

    def hello(self) -> Hello:
        hello = super().hello()
        hello.disk, hello.replication = self.disk, REPLICATION
        hello.disk_age = self.now - self.store.rebalancing.disk_created
        return hello

    def heartbeat_content(self, link: Link) -> Pulse:
        """The heartbeat for that link. To other stores it lists the gateways that this one receives no
        heartbeat of, and reports those that they listed.
        """
        store = self.store
        delay = 0.0 if self.batch_since is None else self.now - self.batch_since
        pulse = Pulse(
            settled=store.settled,
            leaving=store.leaving,
            empty=store.rebalancing.empty,
            behind=delay if delay >= MIN_REPORTED_DELAY else 0.0,
        )
        if link.peer.role == "depot":
            pulse.edges.update(store.reports_for(link.peer.node))
            pulse.deaf.extend(store.silent_owners)
        return pulse

    # ---- links and peer messages

    def on_link_up(self, link: Link) -> None:
        store, peer = self.store, link.peer
        if peer.role == "counter":
            store.counter_up(peer.node, peer.life, peer.zone)
        elif peer.role == "depot":
            store.depot_up(peer.node, peer.zone, peer.disk, peer.disk_age, peer.replication)

    def on_link_down(self, link: Link) -> None:
        if link.peer.node in self.links:
            return
        if link.peer.role == "counter":
            self.store.counter_down(link.peer.node)
        elif link.peer.role == "depot":
            self.store.depot_down(link.peer.node)

    def on_process_ended(self, node: str) -> None:
        self.store.counter_ended(node)

    def handle_late(self, link: Link, kind: str, message: Any) -> None:
        """What an ended gateway process has stored and reported as ended still counts."""
        if link.peer.role == "counter":
            self.handle(link, kind, message)

    def handle(self, link: Link, kind: str, msg: Any) -> None:
        store, node = self.store, link.peer.node
        if kind == "news" and msg.whole:
            self.reporting_controllers.add(node)
        if link.peer.role == "counter" and self.is_from_earlier_process(link):
            if kind in ("pulse", "mine", "refuse"):
                return
            if kind == "keep":  # its gateway process is gone, so it has no owner
                msg.parked = True
        match kind, link.peer.role:
            case "pulse", "counter":
                store.counter_pulse(node, msg)
            case "pulse", "depot":
                store.depot_pulse(node, msg)
            case "ask", _:
                self.answer(link, msg)
            case "keep", _ if msg.letter.mid not in store.entries and not self.guard.permits_storing(
                msg.letter
            ):
                link.send("kept", Kept(mid=msg.letter.mid, refused=True))
            case "hand", "depot":
                store.hand(node, self.filter_replicas(link, msg))
            case (("keep" | "end" | "tried" | "park" | "mine" | "refuse" | "holders"), _):
                self.trace_peer_message(node, kind, msg)
                getattr(store, kind)(node, msg)
            case "kept", "depot":
                store.rebalancing.kept(node, msg.mid, msg.refused)
            case "ended", "depot":
                store.rebalancing.ended(node, msg.mid)
            case (("have" | "differ"), "depot"):
                getattr(store, kind)(node, msg)
            case _:
                super().handle(link, kind, msg)

    def is_from_earlier_process(self, link: Link) -> bool:
        """Whether a later process of that node is known."""
        return self.processes.get(link.peer.node, link.peer.life) != link.peer.life

    def trace_peer_message(self, node: str, kind: str, msg: Any) -> None:
        """Writes the trace event of a peer message about one stored message, with its owner until then."""
        if kind in ("keep", "mine", "tried"):
            return
        entry = self.store.entries.get(msg.mid)
        self.trace(
            351,
            message=msg.mid,
            heard=kind,
            by=node,
            claim=getattr(msg, "claim", 0),
            seal=getattr(msg, "seal", ""),
            owner=entry.owner if entry is not None else "",
            known=entry.claim if entry is not None else -1,
            ended=msg.mid in self.store.ends,
        )

    def filter_replicas(self, link: Link, msg: Hand) -> Hand:
        """Drops the replicas that data residency does not permit here, and rejects them where an answer is
        expected.
        """
        permitted = [message for message in msg.letters if self.guard.permits_replica(message)]
        if len(permitted) == len(msg.letters):
            return msg
        for message in msg.letters:
            if msg.answer and message not in permitted:
                link.send("kept", Kept(mid=message.mid, refused=True))
        owners = dict(zip((message.mid for message in msg.letters), msg.owners))
        return Hand(
            letters=permitted,
            answer=msg.answer,
            owners=[owners.get(message.mid, "") for message in permitted],
            ends=msg.ends,
            restored=msg.restored,
        )

    def apply_settings(self, settings: Settings) -> None:
        """Applies changed settings."""
        super().apply_settings(settings)
        self.govern()

    def govern(self) -> None:
        """Applies a change of the data residency policy, the directory or the settings."""
        self.guard.refresh(self.settings)
        self.store.policy = self.guard.policy

    def on_update(self, news: News) -> None:
        """Applies a directory update. Of two stores the one whose name comes first connects to the other."""
        if news.HasField("conf"):
            self.store.ordered((int(news.conf.gen), int(news.conf.seq)), set(news.conf.retiring))
        self.govern()
        for node in self.nodes("depot"):
            if node.node > self.node:
                self.maintain_link(node.ip)
        controllers = self.nodes("office")
        # a majority is needed, as a single controller may have lost its disk
        if 2 * sum(node.node in self.reporting_controllers for node in controllers) > len(controllers):
            self.store.expected = {
                node.node for node in self.nodes("counter") + self.nodes("depot") if node.node != self.node
            }
            emptied = set(self.directory.conf.emptied) if self.directory.conf is not None else set()
            self.store.members = {node.node for node in self.nodes("depot")} - emptied - {self.node}

    def answer(self, link: Link, msg: Any) -> None:
        """Answers a request for a message's state or body."""
        answer = self.store.state(msg.mid)
        if msg.tags and answer.state in FOUND:
            if not matches_tags(msg.tags, self.store.replicas_of(msg.mid)):
                answer = Told(state=MessageState.UNSURE)  # another name, or its replicas have moved since
        answer.call = msg.call
        if msg.body and answer.state in WITH_BODY:
            self.queue.append(Fetch(msg.mid, ("told", link, msg.call)))
        else:
            link.send("told", answer)

    # ---- the disk

    def settle(self) -> None:
        writes, sends, fetches = self.store.effects()
        for node, kind, msg in sends:
            if kind not in ("hand", "assign") or self.may_send(node, kind, msg):
                self.send(node, kind, msg)
            elif kind == "hand":
                for message in msg.letters:  # they leave the window, as no answer will come
                    self.store.transfers.confirmed(node, message.mid)
        self.queue += writes
        self.queue += fetches

    def may_send(self, node: str, kind: str, msg: Any) -> bool:
        """The last data residency check before a message's bytes leave this process."""
        link = self.link(node)
        if link is None:
            return True
        door, messages = ("move", msg.letters) if kind == "hand" else ("assign", [msg.letter])
        return all([self.guard.permits_transfer(door, message, link.peer) for message in messages])

    def batch(self) -> tuple[list[Write], list[Fetch]]:
        """Takes all writes and fetches that wait for the disk."""
        waiting, self.queue = self.queue, []
        self.batch_since = self.now
        return [w for w in waiting if isinstance(w, Write)], [f for f in waiting if isinstance(f, Fetch)]

    def synced(self, writes: list[Write], fetches: list[Fetch], found: list[bytes | None]) -> None:
        """The batch is on the disk; `found`: the bytes of each fetch, None where there are none."""
        self.batch_since = None
        self.store.synced(writes)
        for write in writes:
            for node, kind, msg in write.then:
                self.send(node, kind, msg)
        for fetch, data in zip(fetches, found):
            if data == CORRUPT:
                self.store.rotten(fetch.mid)
            message = Letter.FromString(data) if data else None
            if fetch.why[0] != "told":
                self.store.fetched(fetch.mid, fetch.why, message)
                continue
            _, link, call = fetch.why
            # the present state: it may have ended since, and its bytes may be gone with the same batch
            answer = self.store.state(fetch.mid)
            answer.call = call
            if message is not None and link.queued_bytes > BODY_WINDOW:
                answer.state = MessageState.UNSURE  # it is asked for again
            elif message is not None:
                answer.home = self.guard.home(message)
                if self.guard.permits_body(answer.home, self.guard.node(link.peer) if answer.home else ""):
                    answer.body = message.body
                else:
                    answer.abroad = True
            elif answer.state in WITH_BODY:
                answer.state = MessageState.UNSURE
            link.send("told", answer)

    # ---- time

    def tick(self) -> None:
        self.store.tick()

    def leave(self) -> None:
        """Begins the shutdown: no new messages are stored, and other stores assign in its place."""
        self.leaving_since = self.now
        self.store.leaving = True
        for links in self.links.values():
            for link in links:
                link.send("pulse", self.heartbeat(link))

    @property
    def gone(self) -> bool:
        """Whether the shutdown is complete: all accepted messages are on the disk and confirmed, and no write
        is in progress in a thread that would go on with a closed disk.
        """
        answered = not self.queue and self.batch_since is None
        return bool(self.leaving_since) and self.now - self.leaving_since >= SHUTDOWN_GRACE and answered

    def figures(self) -> dict[str, Any]:
        store = self.store
        return {
            **store.figures,
            **store.rebalancing.figures,
            "pending": len(store.entries),
            "ends": len(store.ends),
            "settled": store.settled,
            "copied_octets": store.transfers.sent_bytes,
            "repeated": store.transfers.repeated,
            **store.repair_figures(),
            "thin": sum(store.rebalancing.replica_counts(store.rebalancing.lost_stores()).values()),
        }
