"""The emulated workers and the list service behind sockets: the platform's protocol in, the world's calls."""

from __future__ import annotations

import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from opalwick.lab.draws import spread
from opalwick.lab.sockets.wire import Served, Server
from opalwick.lab.world.clients import Try
from opalwick.lab.world.listing import Listed
from opalwick.lab.world.worker import Job, Worker
from opalwick.lab.world.world import World
from opalwick.protocol.http import Message

_STATES = {"done": "done", "failed": "failed", "turned": "returned"}


def _text(status: str, body: bytes = b"", *fields: str) -> bytes:
    return (
        "\r\n".join([f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *fields, "", ""]).encode() + body
    )


class WorkerServer:
    """A worker's listener. Ways between zones are waited for here, as loopback has none."""

    def __init__(
        self, world: World, worker: Worker, port: int, tries: dict[str, Try], open_house: bool = False
    ) -> None:
        """With `open_house` it works for whoever asks, not only for the day's own clients."""
        self.world, self.worker, self.tries, self.open_house = world, worker, tries, open_house
        self.way = world.draws.of(f"socket way/{worker.name}")
        self.server = Server(port, self.request, self.ended, idle=float(world.day.network.idle))
        die, rise = worker.die, worker.rise

        def died() -> None:
            die()
            self.server.die()

        def risen() -> None:
            self.server.open()
            rise()

        worker.die, worker.rise = died, risen  # type: ignore[method-assign]

    def request(self, served: Served, message: Message) -> None:
        id = message.headers.get(b"x-correlation-id", b"").decode("latin-1")
        asked = self.asked(id, message)
        if asked is None or served.carries is not None:
            # nobody asked for it: the judge is to know
            number = self.world.number()
            self.world.ledger.note(self.world.agenda.now, "arrived", number, id, self.worker.name)
            served.say(_text("400 Bad Request"))
            return
        category, work, zone = asked
        served.plain = b"x-plain" in message.headers
        kind = self.world.day.categories[category]
        key = message.headers.get(b"idempotency-key", b"").decode("latin-1") or None
        way = self.world.way(zone, self.worker.zone, self.way)
        job = served.carries = Job(
            self.world.number(),
            id,
            category,
            key,
            work,
            kind.slots,
            kind.memory,
            lambda *told: self.world.agenda.after(way, self.tell, served, job, *told),
        )
        # a new connection costs a trip each way before the request
        self.world.agenda.after(way * (3.0 if served.asked == 1 else 1.0), self.arrive, served, job)

    def asked(self, id: str, message: Message) -> tuple[int, float, int] | None:
        """Category, seconds of work and the scheduler's zone; none for what nobody asked for."""
        if (attempt := self.tries.get(id)) is not None:
            return attempt.want.category, attempt.want.work, attempt.scheduler % len(self.world.day.zones)
        name = message.target.decode("latin-1").split("?")[0].split("/")[1:2]
        found = [i for i, kind in enumerate(self.world.day.categories) if [kind.name] == name]
        if not self.open_house or not found:
            return None
        kind = self.world.day.categories[found[0]]
        return found[0], max(1e-4, spread(self.way, kind.work, kind.spread)), self.worker.zone

    def arrive(self, served: Served, job: Job) -> None:
        if not self.worker.alive:
            served.close(with_reset=True)
            return
        self.worker.arrive(job)
        if served.over:  # closed on its way: the close arrives after it
            self.worker.drop(job)
        elif job.state in ("waiting", "running") and not self.worker.stopped and not served.plain:
            served.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            served.headed = True

    def tell(self, served: Served, job: Job, what: str, *fields: Any) -> None:
        if served.over:
            return
        if what == "broke":
            served.close(with_reset=True)
            return
        if served.plain:
            self.tell_plainly(served, what, *fields)
            return
        headed = served.headed
        if what == "turned" and not headed:
            load = ",".join(f"{name}={x:g}" for name, x in fields[0].items())
            served.carries = None
            served.say(_text("503 Service Unavailable", b"", "X-Unprocessed: 1", f"X-Backend-Load: {load}"))
            return
        told: dict[str, Any] = {"id": job.id, "from": self.worker.name}
        if what == "began":
            told["state"] = "started"
        elif what == "progressed":
            told |= {"state": "running", "share": round(fields[0], 4)}
        else:
            told |= {"state": _STATES[what], "load": fields[0]}
            if what == "done":
                told["result"] = fields[1]
        line = json.dumps(told).encode() + b"\n"
        data = b"%x\r\n%b\r\n" % (len(line), line)
        if not headed:
            data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + data
            served.headed = True
        if what in _STATES:
            data += b"0\r\n\r\n"
            served.carries, served.headed = None, False
        served.say(data)

    def tell_plainly(self, served: Served, what: str, *fields: Any) -> None:
        """As an ordinary HTTP server answers: the status tells, and nothing before the end."""
        if what not in _STATES:
            return
        load = "X-Backend-Load: " + ",".join(f"{name}={x:g}" for name, x in fields[0].items())
        served.carries = None
        if what == "done":
            served.say(_text("200 OK", fields[1].encode(), load))
        elif what == "turned":
            served.say(_text("503 Service Unavailable", b"", "X-Unprocessed: 1", load))
        else:
            served.say(_text("500 Internal Server Error", b"", load))

    def ended(self, served: Served) -> None:
        if (job := served.carries) is not None and job.worker is not None:
            self.world.agenda.after(0.0, self.worker.drop, job)


class ListServer:
    """The list as one scheduler sees it: each has an address of its own, so that it is known who asks."""

    def __init__(self, world: World, scheduler: int, port: int, dial: dict[str, str]) -> None:
        self.world, self.scheduler, self.dial = world, scheduler, dial
        self.unix = time.time() - world.agenda.now
        self.server = Server(port, self.request)

    def request(self, served: Served, message: Message) -> None:
        at = urlsplit(message.target.decode("latin-1"))
        if at.path != "/api/targets":
            served.say(_text("404 Not Found"))
            return
        given = parse_qs(at.query)
        try:
            since = int(given.get("since", ["0"])[0])
            wait = min(60000, int(given.get("timeout_ms", ["0"])[0])) / 1000.0
        except ValueError:
            served.say(_text("400 Bad Request"))
            return

        def reply(found: tuple[int, bool, list[Listed]] | None) -> None:
            if found is None:
                served.say(_text("503 Service Unavailable"))
                return
            version, whole, entries = found
            body = json.dumps(
                {"seq": version, "whole": whole, "hosts": [self.entry(e) for e in entries]}
            ).encode()
            served.say(_text("200 OK", body, "Content-Type: application/json"))

        # a call that asks for no wait worth the name is answered with what there is
        self.world.listing.call(self.scheduler, since, wait if wait >= 0.01 else 0.0, reply)

    def entry(self, entry: Listed) -> dict[str, Any]:
        w = entry.worker
        born = 0.0 if entry.born < 0 else self.unix + entry.born + self.world.clock_off[self.scheduler]
        return {
            "host": w.name,
            "dial": self.dial[w.name],
            "site": self.world.day.zones[w.zone],
            "class": w.model.name,
            "block": w.cell,
            "health": entry.phase,
            "share": 1.0,
            "born_ms": round(born * 1000),
        }
