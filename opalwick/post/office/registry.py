"""Workers by their beats, nodes by their links: what an office learns first hand, and what it passes on.

Each beat goes on to the other offices, so that each knows when a worker was last heard; counters hear only
what changes. No socket and no clock.
"""

from __future__ import annotations

from opalwick.post.beats import Heartbeat
from opalwick.post.directory import Directory
from opalwick.post.wire_pb2 import News, Node, Worker

MISSED = 3.5  # beats missed until a worker counts as silent: two lost calls and a late one
MISSING = 30.0  # s without a link until a node counts as gone: no restart and no cut that heals takes so long
FORGOTTEN = 120.0  # s that one that left is remembered: far longer than any word of it is on its way


class Registry:
    def __init__(self, beat_s: float, now: float) -> None:
        self.beat_s, self.now = beat_s, now
        self.directory = Directory()
        self.heard_at: dict[str, float] = {}
        self.chill_to: dict[str, float] = {}
        self.linked_at: dict[str, float] = {}  # by node

    @staticmethod
    def differs(worker: Worker, known: Worker | None) -> bool:
        """Whether counters have to hear of it."""
        return known is None or any(
            getattr(worker, name) != getattr(known, name)
            for name in ("svc", "host", "port", "zone", "capacity", "draining", "gone", "silent", "disputed")
        )

    def beat(self, now: float, beat: Heartbeat) -> tuple[News, bool]:
        """What the other offices are told, and whether counters are told as well."""
        self.now = now
        worker = Worker(
            id=beat.id,
            svc=beat.svc,
            host=beat.host,
            port=beat.port,
            zone=beat.zone,
            gen=beat.gen,
            capacity=beat.capacity,
            draining=beat.draining,
            chill=beat.chill,
            calls=beat.calls,
        )
        return self.take(News(workers=[worker]))

    def left(self, now: float, id: str) -> tuple[News, bool]:
        self.now = now
        known = self.directory.workers.get(id)
        worker = Worker(id=id, gone=True)
        if known is not None:
            worker.CopyFrom(known)
            worker.gone = True
        return self.take(News(workers=[worker]))

    def node(self, now: float, node: Node) -> News:
        """A node's link is up."""
        self.now = now
        self.linked_at[node.node] = now
        known = self.directory.nodes.get(node.node)
        if known is not None and known.life == node.life:
            node.count = known.count + known.gone  # back, though it was taken to be gone
        return self.directory.merge(News(nodes=[node]))

    def missing(self, now: float, linked: set[str]) -> News:
        """At the primary: nodes that it has not been linked to for long. They may come back."""
        self.now = now
        news = News()
        for name, node in self.directory.nodes.items():
            if name in linked:
                self.linked_at[name] = now
            elif not node.gone and now - self.linked_at.setdefault(name, now) > MISSING:
                gone = Node()
                gone.CopyFrom(node)
                gone.gone = True
                news.nodes.append(gone)
        return self.directory.merge(news) if news.nodes else news

    def take(self, news: News) -> tuple[News, bool]:
        """What was new of it, and whether it changes anything for counters."""
        known = {worker.id: self.directory.workers.get(worker.id) for worker in news.workers}
        fresh = self.directory.merge(news)
        fresh.whole = False  # what is passed on is only what is new
        for worker in fresh.workers:
            self.heard_at[worker.id] = self.now
            if worker.chill > 0:
                self.chill_to[worker.id] = self.now + worker.chill
        changed = any(self.differs(worker, known[worker.id]) for worker in fresh.workers)
        return fresh, changed or bool(fresh.nodes) or fresh.HasField("conf")

    def tick(self, now: float) -> News:
        """Workers that have fallen silent."""
        self.now = now
        news = News()
        for id in [id for id in self.heard_at if id not in self.directory.workers]:
            del self.heard_at[id]  # it was one of too many that have left
            self.chill_to.pop(id, None)
        for id, worker in list(self.directory.workers.items()):
            age = now - self.heard_at.get(id, now)
            if worker.gone:
                if age > FORGOTTEN:
                    del self.directory.workers[id]
                    self.heard_at.pop(id, None)
                    self.chill_to.pop(id, None)
            elif not worker.silent and age > MISSED * self.beat_s:
                silent = Worker()
                silent.CopyFrom(worker)
                silent.silent = True
                self.directory.workers[id] = silent
                news.workers.append(silent)
        return news

    def whole(self, now: float) -> News:
        news = self.directory.whole()
        for worker in news.workers:  # a copy
            worker.chill = max(0.0, self.chill_to.get(worker.id, now) - now)
        return news
