"""The last residency check before a message's bytes leave this process: to a worker, to a disk, to another
process or to a client. Placement (`intake`, `rounds`, `keeping`, `moving`) has chosen the target by then;
this check does not depend on it.

It uses the policy and what the directory proves about the target. A node's zone is proven if the controllers
have the same one as the node itself. A worker's is the one of its heartbeats, if it has never reported
another one, is alone at its address and answers there under its own name. What is not proven counts as
abroad. Each refusal is counted and reported (event 907).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from opalwick.post.directory import Directory
from opalwick.post.residency.policy import Policy, in_force
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Conf, Hello, Letter

DOORS = ("delivery", "write", "keep", "move", "assign", "body")


class Guard:
    """Checks the target's country against a message's home, at each point in `DOORS` ("doors" in events and
    reports).
    """

    def __init__(
        self, zone: str, settings: Settings, directory: Directory, event: Callable[..., None]
    ) -> None:
        """`zone`: the zone in which this process started."""
        self.zone, self.settings, self.directory, self.event = zone, settings, directory, event
        self.policy: Policy | None = None
        self.conf: Conf | None = None  # the configuration that the policy was read from
        # countries that workers report for each address; "" is an unknown one
        self.countries_at: dict[tuple[str, int], set[str]] = {}
        self.passed = dict.fromkeys(DOORS, 0)
        self.refused = dict.fromkeys(DOORS, 0)

    def refresh(self, settings: Settings) -> None:
        """Applies a change of the configuration, the settings or the directory."""
        if self.settings is not settings or self.conf is not self.directory.conf:
            self.settings, self.conf = settings, self.directory.conf
            self.policy = in_force(self.conf, settings)
        if self.policy is not None:
            self.countries_at = {}
            for worker in self.directory.workers.values():
                if not (worker.gone or worker.silent):
                    self.countries_at.setdefault((worker.host, worker.port), set()).add(
                        "" if worker.disputed else self.policy.country(worker.zone)
                    )

    # ---- proven countries

    def home(self, message: Letter, new: bool = False) -> str:
        """The country that a message must not leave; empty: it may be anywhere. `new`: the message is being
        accepted, so the policy decides and not an older stamp.
        """
        if self.policy is None or message.home_gen > self.policy.gen:
            return message.home
        if message.home_gen < self.policy.gen and not new:
            return message.home  # accepted under an older policy: it stays where that one has it
        partner = self.policy.partner(message)
        return partner.home if partner is not None else message.home

    @property
    def own_country(self) -> str:
        """The country of this process; empty where it is unknown."""
        return self.policy.own_country(self.zone) if self.policy is not None else ""

    def node(self, peer: Hello) -> str:
        """The country of the process at the other end of a link; empty where it is not proven."""
        recorded = self.directory.nodes.get(peer.node)
        if self.policy is None or (recorded is not None and recorded.zone != peer.zone):
            return ""
        return self.policy.country(peer.zone)

    def worker(self, place: tuple[str, int, str]) -> str:
        """The country of a worker at an address, or of a single endpoint where it has no name; empty where it
        is not proven.
        """
        if self.policy is None:
            return ""
        host, port, name = place
        if not name:
            return self.policy.endpoints.get(f"{host}:{port}", "")
        worker = self.directory.workers.get(name)
        if worker is None or worker.gone or worker.silent or worker.disputed:
            return ""
        country = self.policy.country(worker.zone)
        undisputed = self.countries_at.get((host, port)) == {country}
        return country if undisputed and (worker.host, worker.port) == (host, port) else ""

    # ---- checks

    def passes(self, door: str, home: str, country: str) -> bool:
        """Whether a message with this home may go to this country; counts the result and reports a
        refusal.
        """
        if not home:
            return True
        (self.passed if home == country else self.refused)[door] += 1
        if home != country:
            self.event(907, door=door, home=home, country=country)
        return home == country

    def permits_delivery(self, message: Letter, place: tuple[str, int, str]) -> bool:
        """Whether the message may be delivered to that worker."""
        home = self.home(message)
        return not home or self.passes(
            "delivery", home, self.worker(place) if home == self.own_country else ""
        )

    def permits_connection(self, message: Letter, place: tuple[str, int, str], name: str) -> bool:
        """Whether the message may go out on a new connection, on which a worker has answered under this
        name.
        """
        home = self.home(message)
        return not home or self.passes("delivery", home, home if name == place[2] else "")

    def needs_name_check(self, message: Letter, place: tuple[str, int, str]) -> bool:
        """Whether a worker's name must be checked on a new connection first."""
        return bool(place[2] and self.home(message))

    def permits_write(self, message: Letter, peer: Hello) -> bool:
        """Whether a message that is being accepted may be sent to that store."""
        home = self.home(message, new=True)
        return not home or self.passes("write", home, self.node(peer))

    def permits_storing(self, message: Letter) -> bool:
        """Whether a message that arrived may be written to this store's disk; not if it was accepted under a
        stale policy.
        """
        home = self.home(message, new=True)
        if not home:
            return True
        stale = self.policy is not None and message.home_gen < self.policy.gen and message.home != home
        return self.passes("keep", home, "" if stale else self.own_country)

    def permits_replica(self, message: Letter) -> bool:
        """Whether a replica from another store may be written here."""
        home = self.home(message)
        return not home or self.passes("keep", home, self.own_country)

    def permits_transfer(self, door: str, message: Letter, peer: Hello) -> bool:
        """Whether this store may send the message to that store or gateway."""
        home = self.home(message)
        return not home or self.passes(door, home, self.node(peer))

    def permits_body(self, home: str, country: str) -> bool:
        """Whether a body may be sent to a client or gateway in that country."""
        return self.passes("body", home, country)

    def status(self) -> dict[str, Any]:
        """The guard's part of the residency report."""
        return {
            "policy": self.policy.gen if self.policy is not None else 0,
            "country": self.own_country,
            "passed": self.passed,
            "refused": self.refused,
        }
