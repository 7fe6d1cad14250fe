"""Drawn histories of troubles of stores, one at a time: each leaves `SYNC_S` without a further one."""

from __future__ import annotations

from random import Random

from post_stores import DOWN, SYNC_S, StoreCluster


class Troubles:
    """Draws troubles of a cluster and plays each until all stores are back."""

    def __init__(self, cluster: StoreCluster, draw: Random, copies: int) -> None:
        self.cluster, self.draw, self.copies = cluster, draw, copies
        self.kinds = {
            "lose": self.lose,
            "restart": self.restart,
            "add": self.add,
            "replace": self.replace,
            "retire": self.retire,
            "cut": self.cut,
            "flap": self.flap,
            "cut and restart": self.cut_and_restart,
            "cut and lose": self.cut_and_lose,
            "restart all": self.restart_all,
        }

    def play_one(self) -> str:
        """Plays a trouble of a drawn kind and the time after it; returns the kind."""
        kind = self.draw.choice(sorted(self.kinds))
        self.kinds[kind]()
        self.wait(SYNC_S)
        return kind

    def wait(self, *seconds: float) -> None:
        self.cluster.until(self.cluster.now + self.draw.choice(seconds))

    def any_store(self, *besides: str) -> str:
        return self.draw.choice(sorted(set(self.cluster.stores) - set(besides)))

    def add(self) -> None:
        self.cluster.start(f"d{self.cluster.starts + 10}")

    def restart(self) -> None:
        self.cluster.restart(self.any_store(), down=self.draw.choice((0.3, DOWN, 5.0, 12.0)))

    def lose(self) -> None:
        self.cluster.restart(self.any_store(), True, self.draw.choice((0.3, DOWN, 5.0, 12.0)))

    def replace(self) -> None:
        """A store is gone for good, and an empty one comes at another address."""
        self.cluster.kill(self.any_store(), lose_disk=True)
        self.wait(0.2, 1.5)
        self.add()

    def retire(self) -> None:
        """A store is emptied and removed; meanwhile another one restarts, or loses its disk."""
        if len(self.cluster.stores) <= self.copies + 1:
            return
        name = self.any_store()
        self.cluster.retire(name)
        self.wait(0.0, 0.05, 0.2, 1.0)
        lose_disk = self.draw.random() < 0.5
        self.cluster.restart(self.any_store(name), lose_disk, self.draw.choice((0.3, DOWN)))
        self.wait(6.0)
        self.cluster.remove(name)

    def cut(self) -> None:
        """A link breaks for a while."""
        name = self.any_store()
        other = self.any_store(name)
        self.cluster.unlink(name, other)
        self.wait(0.2, 3.0, 9.0)
        self.cluster.link(name, other)

    def flap(self) -> None:
        """A link breaks again and again."""
        name = self.any_store()
        other = self.any_store(name)
        for _ in range(6):
            self.cluster.unlink(name, other)
            self.wait(0.15)
            self.cluster.link(name, other)
            self.wait(0.15)

    def cut_and_restart(self) -> None:
        """A link breaks, and both of its stores are restarted before it is made again."""
        name = self.any_store()
        other = self.any_store(name)
        self.cluster.unlink(name, other)
        self.wait(0.2, 3.0, 9.0)
        self.cluster.kill(name)
        self.cluster.restart(other, down=self.draw.choice((0.3, DOWN)))
        self.cluster.start(name)

    def cut_and_lose(self) -> None:
        """A store is cut off from some or all others, and loses its disk."""
        name = self.any_store()
        others = sorted(set(self.cluster.stores) - {name})
        for other in others[: self.draw.randrange(1, len(others) + 1)]:
            self.cluster.unlink(name, other)
        self.wait(0.2, 3.0, 9.0)
        self.cluster.restart(name, lose_disk=True)

    def restart_all(self) -> None:
        """All stores are killed at once; one of them may lose its disk."""
        names = sorted(self.cluster.stores)
        lost = self.draw.choice([None, self.any_store()])
        for name in names:
            self.cluster.kill(name, lose_disk=name == lost)
        self.wait(0.3, DOWN)
        self.draw.shuffle(names)
        for name in names:
            self.cluster.start(name)
            self.wait(0.0, 0.2, 0.7)
