"""The simulated cluster for scenarios with data residency: several countries, each a region; partners with a
home country; clients at home and some abroad; history rows for where the bytes of messages went.

Beyond the rows of `judge.py`:
  stands (worker, zone)                       the true zone of a worker, whatever it reports
  stored (node, id, bytes)                    a replica on a store's disk
  carried (node, far, kind, id, bytes)        a process has read a peer message with a message's body
  home_sent (number), home_acked (number)     policies, numbered as in `head()["homes"]`
  ordered (what, node, status)                the outcome of an order
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from opalwick.settings_file import Seconds
from opalwick.lab.post.clients import DEFINITE, Clients, Exchange, Platform
from opalwick.lab.post.day import ROLES, Fault, PostDay, Service
from opalwick.lab.post.kinds import ALL, AT_HOME
from opalwick.lab.post.process import Machine
from opalwick.lab.post.workers import request
from opalwick.lab.post.world import World
from opalwick.post.residency.audit import rows as audited
from opalwick.post.wire_pb2 import Letter

if TYPE_CHECKING:
    from opalwick.lab.post.workers import Worker

BODIES = ("keep", "hand", "assign", "told")  # kinds of peer messages that contain a message's body
ORDER_RETRY_DELAY = 0.1  # s until an order that got no clear answer is sent again


class HomeClients(Clients):
    """Clients that prefer the partners of their own country."""

    world: HomeWorld

    def service(self, zone: str) -> Service:
        """Draws a service: a partner whose home is elsewhere only with the weight `roam` of the scenario."""
        day, at = self.world.day, self.world.day.region(zone)
        homes = self.world.policies[-1] if self.world.policies else {}
        shares = [s.share * (1.0 if homes.get(s.name, at) == at else day.roam) for s in day.services]
        return self.draw.choices(day.services, shares)[0]

    def asked(self, rid: str) -> Machine:
        """Draws the gateway for a lookup: one in the country of the partner's message, if there is any."""
        homes = self.world.policies[-1] if self.world.policies else {}
        home = self.world.kept_at.get(rid) or homes.get(self.world.wants[rid].svc)
        among = self.world.platform.ready() or self.world.of("counter")
        near = [m for m in among if self.world.day.region(m.zone) == home] if home else among
        return self.draw.choice(near or among)


class HomePlatform(Platform):
    """A load balancer that stays within a country if it can."""

    def pick(self, zone: str) -> Machine:
        """Draws a gateway: of the zone, else of the same country, else any."""
        day = self.world.day
        if any(m.zone == zone and self.misses[m.node] < 2 for m in self.world.of("counter")):
            return super().pick(zone)
        near = [m for m in self.ready() if day.region(m.zone) == day.region(zone)]
        return self.draw.choice(near) if near else super().pick(zone)


class HomeWorld(World):
    """The simulated cluster of a scenario with data residency."""

    def __init__(self, day: PostDay, seed: int, words: bool = False, lawless: bool = False) -> None:
        """`lawless`: the baseline, in which the controllers never receive the policy."""
        self.lawless = lawless
        self.policies: list[dict[str, str]] = []  # country by service, for each policy number from 1 on
        self.kept_at: dict[str, str] = {}  # by request id: the country of the first replica
        self.names: dict[str, str] = {}  # request id by internal message id
        self.asked: dict[tuple[str, int], str] = {}
        super().__init__(day, seed, words)
        self.clients, self.platform = HomeClients(self), HomePlatform(self)
        self.orders = self.draws.of("orders")
        self.governed = False

    # ---- observation

    def add(self, service: Service, zone: str, place: tuple[str, int] | None = None) -> None:
        super().add(service, zone, place)
        self.note("stands", self.workers[-1].id, zone)

    def disk_made(self, machine: Machine) -> None:
        if machine.role == "depot":
            machine.disk.on_commit = lambda writes: self.stored(machine, writes)

    def stored(self, machine: Machine, writes: Any) -> None:
        for kind, fields in writes:
            if kind == "keep":
                letter = Letter.FromString(fields[1])
                self.kept_at.setdefault(letter.rid, self.day.region(machine.zone))
                self.note("stored", machine.node, letter.rid, len(letter.body))

    def peer_message_received(self, end: Any, kind: str, word: Any) -> None:
        if kind == "ask":
            self.asked[end.far, word.call] = word.mid
        if kind not in BODIES:
            return
        if kind == "told":
            mid = self.asked.pop((end.near, word.call), "")
            if word.body:
                self.note("carried", end.near, end.far, kind, self.names.get(mid, ""), len(word.body))
            return
        for letter in word.letters if kind == "hand" else [word.letter]:
            self.names[letter.mid] = letter.rid
            self.note("carried", end.near, end.far, kind, letter.rid, len(letter.body))

    # ---- policies

    def policy(self, homes: dict[str, str]) -> bytes:
        """Adds the next policy and returns the body of its request."""
        day = self.day
        self.policies.append(dict(homes))
        of = {home.service: home for home in day.homes}
        static = [s for s in day.services if s.static]
        return json.dumps(
            {
                "gen": len(self.policies),
                "countries": [{"name": region, "regions": [region]} for region in dict.fromkeys(day.regions)],
                "partners": [
                    {
                        "service": svc,
                        "home": country,
                        "short": "refuse" if of[svc].refuse else "wait",
                        "wait_s": float(of[svc].wait),
                    }
                    for svc, country in homes.items()
                ],
                # static endpoints are in the first zone
                "endpoints": [{"address": self.static(s), "region": day.regions[0]} for s in static],
            }
        ).encode()

    def set_policy(self, homes: dict[str, str], done: Callable[[], None] = lambda: None) -> None:
        """Sends a policy, country by service; `done` is called once it is acknowledged."""
        body, number = self.policy(homes), len(self.policies)
        self.note("home_sent", number)
        if self.lawless:
            self.note("home_acked", number)
            done()
        else:
            self.order(b"PUT", "/home", body, lambda status: self.acked(number, status, done))

    def acked(self, number: int, status: int, done: Callable[[], None]) -> None:
        if status == 200:
            self.note("home_acked", number)
            done()
        else:
            self.note("home_refused", number, status)

    def order(self, method: bytes, target: str, body: bytes, over: Callable[[int], None]) -> None:
        """Sends an order to any controller, again until the answer is clear; `over` gets its status."""
        machine = self.orders.choice(self.of("office"))

        def done(status: int, _: bytes, __: tuple[str, ...]) -> None:
            if status in DEFINITE:
                over(status)
            elif self.agenda.now < self.ends_at:
                self.agenda.after(ORDER_RETRY_DELAY, self.order, method, target, body, over)

        Exchange(self, "operator", machine, request(method, target, body=body), done, 1.0)

    def traffic(self) -> None:
        """Sends the policy first; the traffic begins once it is acknowledged."""
        if not self.day.homes:
            super().traffic()
        elif not self.governed:
            self.governed = True
            homes = {home.service: home.country for home in self.day.homes if not home.later}
            self.set_policy(homes, self.policy_acknowledged)

    def policy_acknowledged(self) -> None:
        """The traffic begins after the time within which all processes have the policy."""
        self.agenda.after(float(self.day.bounds.apply), self.begin_traffic)

    def begin_traffic(self) -> None:
        super().traffic()

    def head(self) -> dict[str, Any]:
        day, totals = self.day, dict[tuple[str, str, str], int]()
        for machine in self.of("depot"):
            for _, home, what, country, count in audited(machine.disk.db):
                totals[home, what, country] = totals.get((home, what, country), 0) + count
        return super().head() | {
            "regions": {zone: day.region(zone) for zone in day.zones},
            "homes": self.policies,
            "audit": [[*key, count] for key, count in sorted(totals.items())],
            "disks": sum(machine.disks for machine in self.of("depot")) - len(self.of("depot")),
        }


def single_country(day: PostDay, country: str) -> PostDay:
    """Returns the scenario of one country alone: its zones, machines, partners and faults, and its share of
    all else. It has no residency policy, as there is no other country."""
    zones = [zone for zone in day.zones if day.region(zone) == country]
    share = len(zones) / len(day.zones)
    away = {home.service for home in day.homes if home.country != country}
    inside = {*zones, country, *ROLES, *(s.name for s in day.services if s.name not in away)}
    machines = {"counter": day.counters, "depot": day.depots, "office": day.offices}

    def applies(fault: Fault) -> bool:
        if fault.kind in AT_HOME or any(zone not in inside for zone in fault.to):
            return False
        return not fault.of or bool(inside & set(fault.of))

    return replace(
        day,
        zones=zones,
        regions=[country] * len(zones),
        counters=max(1, round(machines["counter"] * share)),
        depots=max(2, round(machines["depot"] * share)),
        rate=day.rate * share,
        services=[
            replace(s, workers=max(1, round(s.workers * share))) for s in day.services if s.name not in away
        ],
        homes=[],
        faults=[replace(f, of=[name for name in f.of if name in inside]) for f in day.faults if applies(f)],
    )


# the faults of random evenings: of workers, machines and links, and those that put a location in doubt
DRAWN = (
    *("crash", "crash", "hang", "slow", "errors", "dark", "release", "lost_answers", "broken_off", "usurped"),
    *("claims", "kill", "kill", "power", "wipe", "term", "freeze", "stutter", "alone", "cut", "reset"),
    *("late", "lossy", "burst", "slow_disk", "resettled", "rehomed", "cut_workers"),
)


def evening(day: PostDay, seed: int) -> PostDay:
    """Returns the scenario with two to four random faults, most of them in one country. Deterministic for a
    seed."""
    draw = random.Random(f"home/{seed}")
    countries, faults = list(dict.fromkeys(day.regions)), []
    for _ in range(draw.choice((2, 2, 3, 4))):
        kind = draw.choice(DRAWN)
        least, most = ALL[kind].sizes
        country = draw.choice(countries)
        of = [country] if kind not in ("burst", "rehomed") and draw.random() < 0.8 else []
        if kind == "rehomed":
            of = [draw.choice([home.service for home in day.homes if home.service != "notice"])]
        faults.append(
            Fault(
                kind,
                Seconds(round(draw.uniform(0.0, 0.6) * day.length, 2)),
                Seconds(round(draw.uniform(0.3, 4.0), 2)),
                draw.choice((0.34, 0.67, 1.0)),
                round(draw.uniform(least, min(most, 3.0) if most > least else most), 3),
                of,
                [c for c in countries if c != country] if kind == "cut" else [],
            )
        )
    return replace(day, title=f"evening {seed}", faults=sorted(faults, key=lambda f: f.at))


def zone_abroad(world: HomeWorld, worker: Worker) -> str:
    """Draws a zone in another country than the worker's, if there is any."""
    zones = [z for z in world.day.zones if world.day.region(z) != world.day.region(worker.zone)]
    return world.orders.choice(zones or world.day.zones)
