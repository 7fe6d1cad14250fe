"""Directory of workers, nodes and the newest configuration. The newer entry wins, regardless of its sender.

Updates may arrive twice, late and over several paths. Updates about a worker are ordered by its `calls`. A
worker that has left never returns under the same id, as every start of a worker is a new incarnation with a
new id.
"""

from __future__ import annotations

from typing import Any

from opalwick.post.wire_pb2 import Conf, News, Node, Worker

# entries kept of those that have left: late updates about them are at most some seconds old
MAX_GONE_WORKERS, MAX_GONE_NODES = 4096, 512


class Directory:
    """The workers, nodes and configuration known to one process."""

    def __init__(self) -> None:
        self.gone_workers = self.gone_nodes = 0  # upper bounds of how many entries below have left
        self.workers: dict[str, Worker] = {}
        self.nodes: dict[str, Node] = {}
        self.conf: Conf | None = None

    @staticmethod
    def newer(worker: Worker, known: Worker | None) -> bool:
        """Whether an update about a worker replaces the entry that there is."""
        if known is None:
            return True
        if known.gone or worker.gone:
            return bool(worker.gone) and not known.gone
        return (worker.calls, worker.silent) > (known.calls, known.silent)

    def merge(self, update: News) -> News:
        """Applies an update. Returns the part of it that was new."""
        fresh = News(whole=update.whole)
        for worker in update.workers:
            known = self.workers.get(worker.id)
            if self.newer(worker, known):
                if known is not None and (known.disputed or (worker.zone != known.zone and not worker.gone)):
                    worker.disputed = True  # an incarnation cannot change zones: its zone is uncertain
                self.gone_workers += worker.gone
                self.workers[worker.id] = worker
                fresh.workers.append(worker)
        for node in update.nodes:
            known_node = self.nodes.get(node.node)
            if known_node is None or (node.life, node.count, node.gone) > (
                known_node.life,
                known_node.count,
                known_node.gone,
            ):
                self.gone_nodes += node.gone
                self.nodes[node.node] = node
                fresh.nodes.append(node)
        if update.HasField("conf") and (
            self.conf is None or (update.conf.gen, update.conf.seq) > (self.conf.gen, self.conf.seq)
        ):
            if self.conf is not None and self.conf.home.gen > update.conf.home.gen:
                # a policy is never replaced by an older one, even if controllers have lost state
                update.conf.home.CopyFrom(self.conf.home)
            self.conf = update.conf
            fresh.conf.CopyFrom(update.conf)
        if self.gone_workers > MAX_GONE_WORKERS:
            self.gone_workers = evict_gone(self.workers, MAX_GONE_WORKERS)
        if self.gone_nodes > MAX_GONE_NODES:
            self.gone_nodes = evict_gone(self.nodes, MAX_GONE_NODES)
        return fresh

    def whole(self) -> News:
        """The complete directory as an update."""
        update = News(workers=list(self.workers.values()), nodes=list(self.nodes.values()), whole=True)
        if self.conf is not None:
            update.conf.CopyFrom(self.conf)
        return update


def evict_gone(entries: dict[str, Any], most: int) -> int:
    """Removes the oldest entries that have left, until half of `most` remain. Returns their number."""
    gone = [name for name, entry in entries.items() if entry.gone]
    for name in gone[: -(most // 2)]:
        del entries[name]
    return min(len(gone), most // 2)


def is_empty(update: News) -> bool:
    """Whether an update has no content."""
    return not (update.whole or update.workers or update.nodes or update.HasField("conf"))
