"""Which workers and nodes there are, and the newest configuration: what is newer wins, whoever brings it.

Words may come twice, late and by several ways. A worker's words are ordered by its `calls`; one that has left
never comes back under its id, as each start of a worker is a new life with a new one.
"""

from __future__ import annotations

from typing import Any

from opalwick.post.wire_pb2 import Conf, News, Node, Worker

# that have left and are remembered: words of them that are still on their way are seconds old
GONE_WORKERS, GONE_NODES = 4096, 512


class Directory:
    def __init__(self) -> None:
        self.gone_workers = self.gone_nodes = 0  # at most so many of those below
        self.workers: dict[str, Worker] = {}
        self.nodes: dict[str, Node] = {}
        self.conf: Conf | None = None

    @staticmethod
    def newer(worker: Worker, known: Worker | None) -> bool:
        if known is None:
            return True
        if known.gone or worker.gone:
            return bool(worker.gone) and not known.gone
        return (worker.calls, worker.silent) > (known.calls, known.silent)

    def merge(self, news: News) -> News:
        """What of it was new here."""
        fresh = News(whole=news.whole)
        for worker in news.workers:
            known = self.workers.get(worker.id)
            if self.newer(worker, known):
                if known is not None and (known.disputed or (worker.zone != known.zone and not worker.gone)):
                    worker.disputed = True  # one life stands in one place: it is nowhere for sure
                self.gone_workers += worker.gone
                self.workers[worker.id] = worker
                fresh.workers.append(worker)
        for node in news.nodes:
            before = self.nodes.get(node.node)
            if before is None or (node.life, node.count, node.gone) > (
                before.life,
                before.count,
                before.gone,
            ):
                self.gone_nodes += node.gone
                self.nodes[node.node] = node
                fresh.nodes.append(node)
        if news.HasField("conf") and (
            self.conf is None or (news.conf.gen, news.conf.seq) > (self.conf.gen, self.conf.seq)
        ):
            if self.conf is not None and self.conf.home.gen > news.conf.home.gen:
                news.conf.home.CopyFrom(self.conf.home)  # a policy never goes back, whatever offices lost
            self.conf = news.conf
            fresh.conf.CopyFrom(news.conf)
        if self.gone_workers > GONE_WORKERS:
            self.gone_workers = forget(self.workers, GONE_WORKERS)
        if self.gone_nodes > GONE_NODES:
            self.gone_nodes = forget(self.nodes, GONE_NODES)
        return fresh

    def whole(self) -> News:
        news = News(workers=list(self.workers.values()), nodes=list(self.nodes.values()), whole=True)
        if self.conf is not None:
            news.conf.CopyFrom(self.conf)
        return news


def forget(known: dict[str, Any], most: int) -> int:
    """The oldest of those that are gone, until half of `most` are left; how many are."""
    gone = [name for name, one in known.items() if one.gone]
    for name in gone[: -(most // 2)]:
        del known[name]
    return min(len(gone), most // 2)


def empty(news: News) -> bool:
    return not (news.whole or news.workers or news.nodes or news.HasField("conf"))
