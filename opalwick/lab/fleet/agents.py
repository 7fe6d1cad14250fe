"""Stand-in members: small programs of one's own in the place of schedulers, on both clocks.

An agent is free of I/O and clocks. It gets the time, words and its own wakes; what it does lies in `out`: a
word to a member, a wake, or a row of what it holds to be so and does. `Standing` runs it on the virtual
clock, `main` as a process of its own. A word to the number after the last member goes to the lab's store,
which takes acts, each with its duty and number, and refuses one older than what it has heard.
"""

from __future__ import annotations

import json
import select
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

from opalwick.lab.scheduler import START, Host, Process


class Agent:
    def __init__(self, me: int, members: int, life: int, now: float) -> None:
        self.me, self.members, self.life, self.now = me, members, life, now
        self.out: list[tuple] = []
        self.wake_at = now

    # ---- what a stand-in fills in

    def begins(self) -> None: ...

    def hears(self, sender: int, told: dict[str, Any]) -> None: ...

    def wakes(self) -> None: ...

    # ---- what it does

    def send(self, to: int, **told: Any) -> None:
        self.out.append(("send", to, json.dumps(told, separators=(",", ":")).encode()))

    def tell_all(self, **told: Any) -> None:
        for to in range(self.members):
            if to != self.me:
                self.send(to, **told)

    def row(self, what: str, *fields: Any) -> None:
        """Times among the fields are its own clock's, given as `self.when(seconds)`."""
        self.out.append(("row", what, fields))

    @staticmethod
    def when(at: float) -> dict[str, float]:
        return {"at": at}

    # ---- what happens to it

    def begin(self, now: float) -> None:
        self.now = now
        self.begins()

    def heard(self, now: float, sender: int, octets: bytes) -> None:
        self.now = now
        try:
            told = json.loads(octets)
        except ValueError:
            return
        if isinstance(told, dict):
            self.hears(sender, told)

    def woken(self, now: float) -> None:
        self.now = now
        self.wakes()


MakeAgent = Callable[[int, int, int, float], Agent]


class Store:
    """Takes acts for the fleet, each with its duty's number; refuses what is older than what it has heard."""

    def __init__(self, note: Callable[..., None]) -> None:
        self.note = note
        self.numbers: dict[str, int] = {}

    def heard(self, sender: int, octets: bytes) -> None:
        try:
            told = json.loads(octets)
            duty, number, life = str(told["act"]), int(told["n"]), int(told["life"])
        except (ValueError, KeyError, TypeError):
            return
        newest = self.numbers.get(duty, -1)
        checks = bool(told.get("checked", True))
        took = number >= newest or not checks
        self.numbers[duty] = max(newest, number)
        self.note("acted", duty, number, sender, life, took)


class Standing(Process):
    """An agent on the virtual clock; a subclass names its maker."""

    agent: MakeAgent

    def __init__(self, stage: Host, i: int, known: list[tuple], serial: int) -> None:
        super().__init__(stage, i)
        self.known, self.life = known, serial
        self.inside = type(self).agent(i, stage.day.schedulers, serial, self.now())
        self.wake_at = float("inf")
        self.after(0.0, self.begin)

    def begin(self) -> None:
        self.inside.begin(self.now())
        self.carry_out()

    def heard(self, peer: int, octets: bytes) -> None:
        self.inside.heard(self.now(), peer, octets)
        self.carry_out()

    def woken(self) -> None:
        self.wake_at = float("inf")
        self.inside.woken(self.now())
        self.carry_out()

    def carry_out(self) -> None:
        out, self.inside.out = self.inside.out, []
        for what, *fields in out:
            if what == "send":
                self.stage.word(self, *fields)  # type: ignore[arg-type]
            else:
                name, values = fields
                self.stage.note(name, self.i, self.life, *map(self.plain, values))  # type: ignore[attr-defined]
        if self.inside.wake_at < self.wake_at:
            self.wake_at = self.inside.wake_at
            self.timer(max(0.0, self.wake_at - self.now()), self.woken)

    def plain(self, value: Any) -> Any:
        """Times of its own clock as the lab's, in whole microseconds."""
        if isinstance(value, dict):
            return round((value["at"] - START) / self.rate * 1e6)
        return value


def main(make: MakeAgent) -> None:
    """A process of its own: `FILE CONFIGURATION`, as the lab's sockets start it."""
    with open(sys.argv[1]) as file:
        given = json.load(file)
    peers = [tuple(place) for place in given["peers"]]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(tuple(given["listen"]))
    sock.setblocking(False)
    numbers = {place: i for i, place in enumerate(peers)}
    agent = make(given["me"], given["members"], given["life"], time.monotonic())
    with open(given["rows"], "a") as rows:

        def carry_out() -> None:
            out, agent.out = agent.out, []
            for what, *fields in out:
                if what == "send":
                    to, octets = fields
                    try:
                        sock.sendto(octets, peers[to])
                    except OSError:
                        pass
                else:
                    row = {"at": time.monotonic(), "what": fields[0], "fields": [agent.life, *fields[1]]}
                    rows.write(json.dumps(row) + "\n")
            rows.flush()

        agent.begin(time.monotonic())
        agent.row("ready")
        carry_out()
        while True:
            ready, _, _ = select.select([sock], [], [], max(0.0, agent.wake_at - time.monotonic()))
            if ready:
                try:
                    octets, sender = sock.recvfrom(2048)
                except OSError:
                    continue
                if sender in numbers:
                    agent.heard(time.monotonic(), numbers[sender], octets)
            if time.monotonic() >= agent.wake_at:
                agent.woken(time.monotonic())
            carry_out()
