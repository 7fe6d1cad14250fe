"""Stand-in members: small test programs instead of schedulers, on both clocks.

An agent is free of I/O and clocks. Its inputs are the time, messages and its own timers; its outputs lie in
`out`: messages to members and rows of what it believes and does. `AgentProcess` runs it on the virtual
clock, `main` as a process of its own. A message to the number after the last member goes to the lab's
store, which accepts acts, each with its lease and number, and rejects one that is older than the newest
received.
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
    """Base of a stand-in; `life` is the number of its process incarnation, `now` its clock in seconds."""

    def __init__(self, me: int, members: int, life: int, now: float) -> None:
        self.me, self.members, self.life, self.now = me, members, life, now
        self.out: list[tuple] = []
        self.wake_at = now

    # ---- inputs, for subclasses to implement

    def on_start(self) -> None: ...

    def on_message(self, sender: int, fields: dict[str, Any]) -> None: ...

    def on_wake(self) -> None: ...

    # ---- outputs

    def send(self, to: int, **fields: Any) -> None:
        self.out.append(("send", to, json.dumps(fields, separators=(",", ":")).encode()))

    def broadcast(self, **fields: Any) -> None:
        for to in range(self.members):
            if to != self.me:
                self.send(to, **fields)

    def row(self, what: str, *fields: Any) -> None:
        """Records a row. Times among the fields are of its own clock, given as `self.when(seconds)`."""
        self.out.append(("row", what, fields))

    @staticmethod
    def when(at: float) -> dict[str, float]:
        return {"at": at}

    # ---- calls by the host

    def begin(self, now: float) -> None:
        self.now = now
        self.on_start()

    def heard(self, now: float, sender: int, data: bytes) -> None:
        self.now = now
        try:
            fields = json.loads(data)
        except ValueError:
            return
        if isinstance(fields, dict):
            self.on_message(sender, fields)

    def wake_due(self, now: float) -> None:
        self.now = now
        self.on_wake()


MakeAgent = Callable[[int, int, int, float], Agent]


class Store:
    """Accepts acts, each with its lease's number; rejects one that is older than the newest received.

    An act with `checked` false is accepted regardless.
    """

    def __init__(self, note: Callable[..., None]) -> None:
        self.note = note
        self.numbers: dict[str, int] = {}

    def heard(self, sender: int, data: bytes) -> None:
        try:
            fields = json.loads(data)
            lease, number, life = str(fields["act"]), int(fields["n"]), int(fields["life"])
        except (ValueError, KeyError, TypeError):
            return
        newest = self.numbers.get(lease, -1)
        checked = bool(fields.get("checked", True))
        effective = number >= newest or not checked
        self.numbers[lease] = max(newest, number)
        self.note("acted", lease, number, sender, life, effective)


class AgentProcess(Process):
    """Runs an agent on the virtual clock; a subclass sets the class of the agent."""

    agent: MakeAgent

    def __init__(self, stage: Host, i: int, known: list[tuple], serial: int) -> None:
        super().__init__(stage, i)
        self.known, self.life = known, serial
        self.agent_program = type(self).agent(i, stage.day.schedulers, serial, self.now())
        self.wake_at = float("inf")
        self.after(0.0, self.begin)

    def begin(self) -> None:
        self.agent_program.begin(self.now())
        self.flush()

    def heard(self, peer: int, data: bytes) -> None:
        self.agent_program.heard(self.now(), peer, data)
        self.flush()

    def wake_due(self) -> None:
        self.wake_at = float("inf")
        self.agent_program.wake_due(self.now())
        self.flush()

    def flush(self) -> None:
        out, self.agent_program.out = self.agent_program.out, []
        for what, *fields in out:
            if what == "send":
                self.stage.word(self, *fields)  # type: ignore[arg-type]
            else:
                name, values = fields
                self.stage.note(name, self.i, self.life, *map(self.lab_time, values))  # type: ignore[attr-defined]
        if self.agent_program.wake_at < self.wake_at:
            self.wake_at = self.agent_program.wake_at
            self.timer(max(0.0, self.wake_at - self.now()), self.wake_due)

    def lab_time(self, value: Any) -> Any:
        """Converts a time of its own clock to the lab's, in whole microseconds."""
        if isinstance(value, dict):
            return round((value["at"] - START) / self.rate * 1e6)
        return value


def main(make: MakeAgent) -> None:
    """Runs an agent as a process; the first argument is the path of its JSON configuration."""
    with open(sys.argv[1]) as file:
        settings = json.load(file)
    addresses = [tuple(address) for address in settings["peers"]]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(tuple(settings["listen"]))
    sock.setblocking(False)
    numbers = {address: i for i, address in enumerate(addresses)}
    agent = make(settings["me"], settings["members"], settings["life"], time.monotonic())
    with open(settings["rows"], "a") as rows:

        def flush() -> None:
            out, agent.out = agent.out, []
            for what, *fields in out:
                if what == "send":
                    to, data = fields
                    try:
                        sock.sendto(data, addresses[to])
                    except OSError:
                        pass
                else:
                    row = {"at": time.monotonic(), "what": fields[0], "fields": [agent.life, *fields[1]]}
                    rows.write(json.dumps(row) + "\n")
            rows.flush()

        agent.begin(time.monotonic())
        agent.row("ready")
        flush()
        while True:
            ready, _, _ = select.select([sock], [], [], max(0.0, agent.wake_at - time.monotonic()))
            if ready:
                try:
                    data, sender = sock.recvfrom(2048)
                except OSError:
                    continue
                if sender in numbers:
                    agent.heard(time.monotonic(), numbers[sender], data)
            if time.monotonic() >= agent.wake_at:
                agent.wake_due(time.monotonic())
            flush()
