"""Stores with disks and links, in virtual time: they are killed, lose their disks, are added and removed.

A link has a rate, and is closed once more is queued on it than `link.py` allows; it is made again at once.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from post_helper import Network

from opalwick.lab.verify.rows import InMemoryDisk
from opalwick.post.link import MAX_QUEUED
from opalwick.post.message_state import MessageState
from opalwick.post.store.message_store import MessageStore
from opalwick.post.store.process import load, run_batch
from opalwick.post.wire_pb2 import End, Keep, Letter, Pulse

LINK_RATE = 40e6  # bytes a second
COPIES = 2
SYNC_S = 4.5  # s after a return until the next loss, as the deployments state it
STATE_S = 120.0
DOWN = 2.0  # s that a store is away
TICK = 0.05


class DatedDisk(InMemoryDisk):
    """Knows when it was new."""

    since = -1e9

    def created(self, now: float) -> float:
        self.since = now if self.since < 0 else self.since
        return self.since


class StoreCluster(Network):
    """`c1` is a gateway without behaviour, linked to all stores."""

    def __init__(self, names: str = "d1 d2 d3", seed: int = 0) -> None:
        super().__init__(seed, (0.001, 0.003))
        self.stores: dict[str, MessageStore] = {}
        self.disks: dict[str, DatedDisk] = {}
        self.busy: dict[tuple[str, str], float] = {}  # link: until when it sends what is queued
        self.closed_links = 0
        self.retiring = set[str]()
        self.orders = 0
        self.starts = 0
        for name in names.split():
            self.start(name)
        self.until(4.0)

    # ---- machines

    def start(self, name: str) -> None:
        self.starts += 1
        disk = self.disks.setdefault(name, DatedDisk(f"{name}/{self.starts}"))
        store = MessageStore(name, "abcd"[int(name[1:]) % 4], self.now, STATE_S, copies=COPIES)
        load(SimpleNamespace(store=store), disk, 0.0)
        self.stores[name] = store
        store.counter_up("c1", 1, "a")
        if self.retiring:
            store.ordered((1, self.orders), set(self.retiring))
        for other in self.stores:
            if other != name:
                self.link(name, other)
        self.at(self.now, self.tick, name, store)

    def kill(self, name: str, lose_disk: bool = False) -> None:
        del self.stores[name]
        for other in self.stores:
            self.unlink(name, other)
        if lose_disk:
            del self.disks[name]

    def restart(self, name: str, lose_disk: bool = False, down: float = DOWN) -> None:
        self.kill(name, lose_disk)
        self.until(self.now + down)
        self.start(name)

    def retire(self, *names: str) -> None:
        """Orders these stores, and those ordered before, to be emptied."""
        self.retiring |= set(names)
        self.orders += 1
        for store in self.stores.values():
            store.ordered((1, self.orders), set(self.retiring))

    def remove(self, name: str) -> None:
        """Removes an emptied store with its disk."""
        assert self.stores[name].rebalancing.empty
        self.kill(name, lose_disk=True)

    # ---- links

    def link(self, one: str, other: str) -> None:
        for a, b in ((one, other), (other, one)):
            store, peer = self.stores[a], self.stores[b]
            age = self.now - self.disks[b].created(self.now)
            store.clock(self.now)
            store.depot_up(b, peer.zone, self.disks[b].id, age)
            self.settle(a, store)

    def unlink(self, one: str, other: str) -> None:
        """Closes the link; what is on its way is lost."""
        self.queue = [
            entry
            for entry in self.queue
            if entry[2] != self.receive or {entry[3][0], entry[3][1]} != {one, other}
        ]
        for a, b in ((one, other), (other, one)):
            self.busy.pop((a, b), None)
            if (store := self.stores.get(a)) is not None:
                store.clock(self.now)
                store.depot_down(b)

    def send(self, sender: str, node: str, kind: str, message: Any) -> None:
        if sender not in self.stores or node not in self.stores[sender].peers:
            return
        start = max(self.now, self.busy.get((sender, node), 0.0))
        self.busy[sender, node] = start + message.ByteSize() / LINK_RATE
        if (self.busy[sender, node] - self.now) * LINK_RATE > MAX_QUEUED:
            self.closed_links += 1
            self.unlink(sender, node)
            self.at(self.now + TICK, self.relink, sender, node, self.stores[sender], self.stores[node])
            return
        self.at(self.busy[sender, node] + 0.002, self.receive, node, sender, kind, message)

    def relink(self, one: str, other: str, *processes: MessageStore) -> None:
        if (self.stores.get(one), self.stores.get(other)) == processes:
            self.link(one, other)

    def receive(self, name: str, sender: str, kind: str, message: Any) -> None:
        store = self.stores.get(name)
        if store is None:
            return
        store.clock(self.now)
        if kind == "kept":
            store.rebalancing.kept(sender, message.mid, message.refused)
        elif kind == "ended":
            store.rebalancing.ended(sender, message.mid)
        else:
            getattr(store, kind)(sender, message)
        self.settle(name, store)

    # ---- time

    def tick(self, name: str, store: MessageStore) -> None:
        if self.stores.get(name) is not store:
            return
        store.clock(self.now)
        store.members = set(self.disks) - {name}
        store.expected = store.members | {"c1"}
        store.reported = {"c1"}
        store.counter_pulse("c1", Pulse(ready=True))
        for other in list(store.peers):
            store.depot_pulse(other, Pulse(settled=self.stores[other].settled))
        store.tick()
        self.settle(name, store)
        self.at(self.now + TICK, self.tick, name, store)

    def settle(self, name: str, store: MessageStore) -> None:
        while any(effects := store.effects()):
            writes, sends, fetches = effects
            found = run_batch(self.disks[name], 0.0, writes, fetches)  # type: ignore[arg-type]
            for node, kind, message in sends:
                self.send(name, node, kind, message)
            store.synced(writes)
            for write in writes:
                for node, kind, message in write.then:
                    self.send(name, node, kind, message)
            for fetch, data in zip(fetches, found):
                store.fetched(fetch.mid, fetch.why, Letter.FromString(data) if data else None)

    # ---- messages

    def keep(self, mid: str, *replicas: str, size: int = 20, due: float = 60.0) -> None:
        message = Letter(mid=mid, body=b"x" * size, holders=replicas, due=due, until=due + 60.0)
        for name in replicas:
            self.receive(name, "c1", "keep", Keep(letter=message, parked=True))

    def keep_many(self, count: int, size: int = 20) -> list[str]:
        """Accepts messages with replicas at each pair of stores in turn; returns their ids."""
        names = sorted(self.stores)
        pairs = [(a, b) for a in names for b in names if a < b]
        mids = [f"m{n}" for n in range(count)]
        for n, mid in enumerate(mids):
            self.keep(mid, *pairs[n % len(pairs)], size=size)
        return mids

    def end(self, mid: str, complete: bool = True) -> None:
        holders = [name for name, store in self.stores.items() if mid in store.entries]
        for name in holders:
            self.receive(
                name, "c1", "end", End(mid=mid, complete=complete, seal="s" * complete, holders=holders)
            )

    def copies(self, mid: str) -> list[str]:
        """Stores that have the bytes on disk, running or not, and know of it if they run."""
        return sorted(
            name
            for name, disk in self.disks.items()
            if mid in disk.messages_by_id and ((store := self.stores.get(name)) is None or store.size_of(mid))
        )

    def ends(self, mid: str) -> list[str]:
        """Stores that have its end on disk."""
        return sorted(name for name, disk in self.disks.items() if mid in disk.ends_by_id)

    def knows(self, mid: str) -> bool:
        """Whether a question about the message is answered other than by `no such message`."""
        return any(store.state(mid).state != MessageState.UNKNOWN for store in self.stores.values())
