"""Registry of workers, by their heartbeats, and of nodes, by their links. No socket and no clock.

Each heartbeat is forwarded to the other controllers, so that each has the time of a worker's last heartbeat;
gateways receive changes only.
"""

from __future__ import annotations

from opalwick.post.worker_heartbeats import Heartbeat
from opalwick.post.directory import Directory
from opalwick.post.wire_pb2 import News, Node, Worker

MISSED_HEARTBEATS = 3.5  # missed heartbeats until a worker counts as silent: two lost calls and a late one
# s without a link until a node counts as gone: longer than a restart or a temporary partition
GONE_AFTER = 30.0
# s for which a departed worker is remembered: far longer than a message about it is in transit
FORGET_AFTER = 120.0


class Registry:
    """Directory of workers and nodes, with the times of their last signs of life."""

    def __init__(self, beat_s: float, now: float) -> None:
        self.beat_s, self.now = beat_s, now
        self.directory = Directory()
        self.seen_at: dict[str, float] = {}
        self.warm_at: dict[str, float] = {}
        self.linked_at: dict[str, float] = {}  # by node

    @staticmethod
    def differs(worker: Worker, previous: Worker | None) -> bool:
        """Whether gateways have to receive the change."""
        return previous is None or any(
            getattr(worker, name) != getattr(previous, name)
            for name in ("svc", "host", "port", "zone", "capacity", "draining", "gone", "silent", "disputed")
        )

    def beat(self, now: float, beat: Heartbeat) -> tuple[News, bool]:
        """Applies a heartbeat; returns the update for other controllers, and whether gateways need it too."""
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
        return self.apply(News(workers=[worker]))

    def left(self, now: float, id: str) -> tuple[News, bool]:
        """Records that a worker has left; returns as `beat` does."""
        self.now = now
        previous = self.directory.workers.get(id)
        worker = Worker(id=id, gone=True)
        if previous is not None:
            worker.CopyFrom(previous)
            worker.gone = True
        return self.apply(News(workers=[worker]))

    def node(self, now: float, node: Node) -> News:
        """Records that a node's link is up; returns the update."""
        self.now = now
        self.linked_at[node.node] = now
        previous = self.directory.nodes.get(node.node)
        if previous is not None and previous.life == node.life:
            node.count = previous.count + previous.gone  # back after it was marked as gone
        return self.directory.merge(News(nodes=[node]))

    def missing(self, now: float, linked: set[str]) -> News:
        """At the primary: marks nodes without a link for GONE_AFTER s as gone. They may come back."""
        self.now = now
        update = News()
        for name, node in self.directory.nodes.items():
            if name in linked:
                self.linked_at[name] = now
            elif not node.gone and now - self.linked_at.setdefault(name, now) > GONE_AFTER:
                gone = Node()
                gone.CopyFrom(node)
                gone.gone = True
                update.nodes.append(gone)
        return self.directory.merge(update) if update.nodes else update

    def apply(self, update: News) -> tuple[News, bool]:
        """Applies an update; returns what was new in it, and whether gateways need it."""
        previous = {worker.id: self.directory.workers.get(worker.id) for worker in update.workers}
        fresh = self.directory.merge(update)
        fresh.whole = False  # only the differences are forwarded
        for worker in fresh.workers:
            self.seen_at[worker.id] = self.now
            if worker.chill > 0:
                self.warm_at[worker.id] = self.now + worker.chill
        changed = any(self.differs(worker, previous[worker.id]) for worker in fresh.workers)
        return fresh, changed or bool(fresh.nodes) or fresh.HasField("conf")

    def tick(self, now: float) -> News:
        """Marks workers as silent that missed their heartbeats, and forgets departed ones; returns the
        update.
        """
        self.now = now
        update = News()
        for id in [id for id in self.seen_at if id not in self.directory.workers]:
            # the directory dropped it, as it keeps a limited number of departed workers
            del self.seen_at[id]
            self.warm_at.pop(id, None)
        for id, worker in list(self.directory.workers.items()):
            age = now - self.seen_at.get(id, now)
            if worker.gone:
                if age > FORGET_AFTER:
                    del self.directory.workers[id]
                    self.seen_at.pop(id, None)
                    self.warm_at.pop(id, None)
            elif not worker.silent and age > MISSED_HEARTBEATS * self.beat_s:
                silent = Worker()
                silent.CopyFrom(worker)
                silent.silent = True
                self.directory.workers[id] = silent
                update.workers.append(silent)
        return update

    def whole(self, now: float) -> News:
        """The full directory, with each worker's remaining warm-up time in s."""
        update = self.directory.whole()
        for worker in update.workers:  # these are copies
            worker.chill = max(0.0, self.warm_at.get(worker.id, now) - now)
        return update
