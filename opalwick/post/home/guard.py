"""The last door before a message's octets leave this process: to a worker, to a disk, to another process, to
an asker. Placement (`intake`, `rounds`, `keeping`, `moving`) has chosen by then; this one does not ask it.

It knows the policy, and of the far side what membership proves: a node's zone as the offices have it and as
the node says itself; a worker's by its beats, if it has never said another one, stands at that address alone
and answers there under its own name. What is not proven is abroad. Each refusal is counted and told (907).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from opalwick.post.directory import Directory
from opalwick.post.home.policy import Policy, in_force
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Conf, Hello, Letter

DOORS = ("delivery", "write", "keep", "move", "assign", "body")


class Guard:
    def __init__(
        self, zone: str, settings: Settings, directory: Directory, event: Callable[..., None]
    ) -> None:
        """`zone`: in which this process began."""
        self.zone, self.settings, self.directory, self.event = zone, settings, directory, event
        self.policy: Policy | None = None
        self.conf: Conf | None = None  # by which the policy was read
        self.at: dict[tuple[str, int], set[str]] = {}  # countries that an address is claimed from
        self.passed = dict.fromkeys(DOORS, 0)
        self.refused = dict.fromkeys(DOORS, 0)

    def learned(self, settings: Settings) -> None:
        """The configuration, the settings or who is there have changed."""
        if self.settings is not settings or self.conf is not self.directory.conf:
            self.settings, self.conf = settings, self.directory.conf
            self.policy = in_force(self.conf, settings)
        if self.policy is not None:
            self.at = {}
            for worker in self.directory.workers.values():
                if not (worker.gone or worker.silent):
                    self.at.setdefault((worker.host, worker.port), set()).add(
                        "" if worker.disputed else self.policy.country(worker.zone)
                    )

    # ---- what is known

    def home(self, letter: Letter, new: bool = False) -> str:
        """Where its octets may be; empty: anywhere. `new`: it is being taken, and by nobody else's word."""
        if self.policy is None or letter.home_gen > self.policy.gen:
            return letter.home
        if letter.home_gen < self.policy.gen and not new:
            return letter.home  # taken by an older one: it stays where that has it
        partner = self.policy.partner(letter)
        return partner.home if partner is not None else letter.home

    @property
    def here(self) -> str:
        return self.policy.here(self.zone) if self.policy is not None else ""

    def node(self, peer: Hello) -> str:
        """The country of who is at the other end of a link."""
        known = self.directory.nodes.get(peer.node)
        if self.policy is None or (known is not None and known.zone != peer.zone):
            return ""
        return self.policy.country(peer.zone)

    def worker(self, place: tuple[str, int, str]) -> str:
        """Of the worker that is meant at an address; of a single endpoint, where it has no name."""
        if self.policy is None:
            return ""
        host, port, id = place
        if not id:
            return self.policy.endpoints.get(f"{host}:{port}", "")
        worker = self.directory.workers.get(id)
        if worker is None or worker.gone or worker.silent or worker.disputed:
            return ""
        country = self.policy.country(worker.zone)
        alone = self.at.get((host, port)) == {country}
        return country if alone and (worker.host, worker.port) == (host, port) else ""

    # ---- the doors

    def passes(self, door: str, home: str, country: str) -> bool:
        if not home:
            return True
        (self.passed if home == country else self.refused)[door] += 1
        if home != country:
            self.event(907, door=door, home=home, country=country)
        return home == country

    def delivery(self, letter: Letter, place: tuple[str, int, str]) -> bool:
        home = self.home(letter)
        return not home or self.passes("delivery", home, self.worker(place) if home == self.here else "")

    def met(self, letter: Letter, place: tuple[str, int, str], name: str) -> bool:
        """Who has answered on a new connection, before the message goes out on it."""
        home = self.home(letter)
        return not home or self.passes("delivery", home, home if name == place[2] else "")

    def must_meet(self, letter: Letter, place: tuple[str, int, str]) -> bool:
        return bool(place[2] and self.home(letter))

    def write(self, letter: Letter, peer: Hello) -> bool:
        """To a depot, of a message that is being taken."""
        home = self.home(letter, new=True)
        return not home or self.passes("write", home, self.node(peer))

    def keep(self, letter: Letter) -> bool:
        """Of a message that has come, to this depot's disk. One taken by a stale policy is not kept."""
        home = self.home(letter, new=True)
        if not home:
            return True
        stale = self.policy is not None and letter.home_gen < self.policy.gen and letter.home != home
        return self.passes("keep", home, "" if stale else self.here)

    def takes(self, letter: Letter) -> bool:
        """Of a copy that another depot sends here."""
        home = self.home(letter)
        return not home or self.passes("keep", home, self.here)

    def hands(self, door: str, letter: Letter, peer: Hello) -> bool:
        """From this depot to another, or to a counter."""
        home = self.home(letter)
        return not home or self.passes(door, home, self.node(peer))

    def tells(self, home: str, country: str) -> bool:
        """A body, to an asker in that country."""
        return self.passes("body", home, country)

    def status(self) -> dict[str, Any]:
        return {
            "policy": self.policy.gen if self.policy is not None else 0,
            "country": self.here,
            "passed": self.passed,
            "refused": self.refused,
        }
