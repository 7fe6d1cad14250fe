"""Repair and rebalancing: stores that transfer replicas, over a network in virtual time."""

from __future__ import annotations

import pytest
from post_helper import Network

from opalwick.post.store.message_store import MessageStore
from opalwick.post.store.records import Write
from opalwick.post.wire_pb2 import End, Keep, Letter, Pulse

ZONES = {"d1": "a", "d2": "b", "d3": "c", "d4": "a"}


class Stores(Network):
    """Stores with disks; `c1` is a gateway that receives reports on its messages and sends their ends."""

    def __init__(self, names: str = "d1 d2 d3 d4", seed: int = 0) -> None:
        super().__init__(seed, (0.001, 0.003))
        self.k: dict[str, MessageStore] = {}
        self.letters: dict[str, dict[str, Letter]] = {}
        self.told: list[tuple[str, str]] = []  # sent to the gateway: kind, message
        for name in names.split():
            self.start(name)

    def start(self, name: str) -> None:
        k = self.k[name] = MessageStore(name, ZONES[name], self.now, 120.0)
        self.letters[name] = {}
        k.counter_up("c1", 1, "a")
        for other in self.k:
            if other != name:
                k.depot_up(other, ZONES[other], "disk")
                self.k[other].depot_up(name, ZONES[name], "disk")
        self.at(self.now, self.tick, name, k)

    def gone(self, name: str) -> None:
        del self.k[name]
        for k in self.k.values():
            k.depot_down(name)

    def tick(self, name: str, k: MessageStore) -> None:
        if self.k.get(name) is k:
            k.clock(self.now)
            k.counter_pulse("c1", Pulse(ready=True))
            for other, peer in self.k.items():
                k.depot_pulse(other, Pulse(settled=peer.settled)) if other != name else None
            k.tick()
            self.settle(name, k)
            self.at(self.now + 0.05, self.tick, name, k)

    def hears(self, name: str, sender: str, kind: str, msg: object) -> None:
        k = self.k.get(name)
        if k is None:
            return
        k.clock(self.now)
        if kind == "kept":
            k.rebalancing.kept(sender, msg.mid, msg.refused)
        elif kind == "ended":
            k.rebalancing.ended(sender, msg.mid)
        else:
            getattr(k, kind)(sender, msg)
        self.settle(name, k)

    def settle(self, name: str, k: MessageStore) -> None:
        while any(found := k.effects()):
            writes, sends, fetches = found
            for write in writes:
                self.write(name, write)
            k.synced(writes)
            for node, kind, msg in [*sends, *[then for write in writes for then in write.then]]:
                if node == "c1":
                    self.told.append((kind, getattr(msg, "mid", "")))
                else:
                    self.transmit(name, node, self.hears, node, name, kind, msg)
            for mid, why in fetches:
                letter = self.letters[name].get(mid)
                k.fetched(mid, why, None if letter is None else Letter.FromString(letter.SerializeToString()))

    def write(self, name: str, write: Write) -> None:
        disk, mid = self.letters[name], write.fields[0] if write.fields else ""
        if write.kind == "keep":
            disk.setdefault(mid, Letter.FromString(write.fields[1]))
        elif write.kind == "drop" or (write.kind == "end" and write.fields[1]):
            disk.pop(mid, None)

    def keep(self, mid: str, *replicas: str) -> None:
        message = Letter(mid=mid, body=b"octets of " + mid.encode(), holders=replicas, due=60.0, until=90.0)
        for name in replicas:
            self.hears(name, "c1", "keep", Keep(letter=message, parked=True))

    def copies(self, mid: str) -> list[str]:
        return sorted(name for name, k in self.k.items() if mid in k.entries and mid in self.letters[name])


@pytest.mark.parametrize("seed", range(5))
def test_a_store_that_is_to_be_removed_is_emptied(seed: int) -> None:
    """A message never has fewer replicas than required; ends and a dead message's bytes move as well."""
    d = Stores(seed=seed)
    d.until(4.0)
    for n in range(200):
        d.keep(f"m{n}", "d1", "d2" if n % 2 else "d3")
    for name in ("d1", "d2"):
        d.hears(name, "c1", "end", End(mid="m1", complete=True, seal="s"))
        d.hears(name, "c1", "end", End(mid="m3", complete=False))
    for k in d.k.values():
        k.ordered((1, 1), {"d1"})
    assert not d.k["d1"].rebalancing.empty
    for _ in range(400):
        d.until(d.now + 0.02)
        assert all(len(d.copies(f"m{n}")) >= 2 for n in range(4, 200))
    assert d.k["d1"].rebalancing.empty and not d.k["d1"].entries
    d.gone("d1")
    assert all(len(d.copies(f"m{n}")) == 2 for n in range(4, 200))
    for mid, complete in (("m1", True), ("m3", False)):
        assert sum(mid in k.ends and k.ends[mid][0] is complete for k in d.k.values()) >= 2
    assert sum("m3" in disk for name, disk in d.letters.items() if name in d.k) >= 2


def test_replicas_of_a_lost_store_are_restored() -> None:
    """Not while it may be restarting; and if it comes back after all, it drops the replicas that it has."""
    d = Stores("d1 d2 d3")
    d.until(4.0)
    for n in range(50):
        d.keep(f"m{n}", "d1", "d2")
    lost, disk = d.k["d1"], d.letters["d1"]
    d.gone("d1")
    d.until(10.0)
    assert all(d.copies(f"m{n}") == ["d2"] for n in range(50))
    d.until(16.0)
    assert all(d.copies(f"m{n}") == ["d2", "d3"] for n in range(50))
    d.start("d1")
    d.letters["d1"] = disk
    for mid, entry in lost.entries.items():
        d.k["d1"].loaded(mid, entry.replicas, entry.due, entry.until, 0, 0, 10)
    for other in ("d2", "d3"):
        d.k["d1"].depot_up(other, ZONES[other], "disk")
    d.until(20.0)
    assert all(d.copies(f"m{n}") == ["d2", "d3"] for n in range(50))


def test_replicas_of_a_replaced_store_are_restored_at_once() -> None:
    """A new store has come in place of a lost one. A further one may be lost soon, and no replica may be the
    only one by then.
    """
    d = Stores("d1 d2 d3")
    d.until(4.0)
    for n in range(600):
        d.keep(f"m{n}", *(("d1", "d2"), ("d3", "d1"), ("d2", "d3"))[n % 3])
    d.gone("d1")
    d.until(5.0)
    d.start("d4")
    d.until(4.0 + 4.5)  # the time that a new machine has until the next loss
    assert all(len(d.copies(f"m{n}")) == 2 for n in range(600))
    d.until(12.0)
    assert sum(k.rebalancing.figures["repaired"] for k in d.k.values()) == 400


def test_a_replica_that_moves_keeps_its_owner() -> None:
    """d1 is emptied, and then d2: by then d3 acts for the replica that was transferred to it. c1 is still the
    owner, so the message is not assigned a second time.
    """
    d = Stores("d1 d2 d3")
    d.until(4.0)
    for name in ("d2", "d1"):
        d.hears(name, "c1", "keep", Keep(letter=Letter(mid="m", holders=["d2", "d1"], until=90.0)))
    for seq, retiring in enumerate(("d1", "d2")):
        for k in d.k.values():
            k.ordered((1, seq), {retiring})
        d.until(d.now + 3.0)
    assert d.copies("m") == ["d1", "d3"] and d.k["d3"].is_acting(d.k["d3"].entries["m"])
    assert [kind for kind, _ in d.told] == ["kept", "kept", "holders", "holders"]
