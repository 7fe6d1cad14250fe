"""The simulated workers and the list service on sockets: the platform's protocol to calls of the lab."""

from __future__ import annotations

import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from opalwick.lab.draws import spread
from opalwick.lab.sockets.wire import Served, Server
from opalwick.lab.world.clients import ClientRequest
from opalwick.lab.world.listing import Listed
from opalwick.lab.world.worker import Job, Worker
from opalwick.lab.world.world import World
from opalwick.protocol.http import Message

_STATES = {"done": "done", "failed": "failed", "turned": "returned"}


def _response(status: str, body: bytes = b"", *fields: str) -> bytes:
    return (
        "\r\n".join([f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *fields, "", ""]).encode() + body
    )


class WorkerServer:
    """A worker's listener. It adds the latency between zones, as loopback has none."""

    def __init__(
        self,
        world: World,
        worker: Worker,
        port: int,
        tries: dict[str, ClientRequest],
        accept_any: bool = False,
    ) -> None:
        """With `open_house` it accepts work from anyone, not only from the scenario's own clients."""
        self.world, self.worker, self.tries, self.accept_any = world, worker, tries, accept_any
        self.latency_draw = world.draws.of(f"socket way/{worker.name}")
        self.server = Server(port, self.request, self.ended, idle=float(world.day.network.idle))
        die, rise = worker.die, worker.rise

        def die_with_server() -> None:
            die()
            self.server.die()

        def rise_with_server() -> None:
            self.server.open()
            rise()

        worker.die, worker.rise = die_with_server, rise_with_server  # type: ignore[method-assign]

    def request(self, served: Served, message: Message) -> None:
        id = message.headers.get(b"x-correlation-id", b"").decode("latin-1")
        expected = self.expected_job(id, message)
        if expected is None or served.in_progress is not None:
            # no client sent it: recorded for the judge
            number = self.world.new_attempt_number()
            self.world.ledger.note(self.world.agenda.now, "arrived", number, id, self.worker.name)
            served.say(_response("400 Bad Request"))
            return
        category, work, zone = expected
        served.plain = b"x-plain" in message.headers
        kind = self.world.day.categories[category]
        key = message.headers.get(b"idempotency-key", b"").decode("latin-1") or None
        latency = self.world.latency(zone, self.worker.zone, self.latency_draw)
        job = served.in_progress = Job(
            self.world.new_attempt_number(),
            id,
            category,
            key,
            work,
            kind.slots,
            kind.memory,
            lambda *fields: self.world.agenda.after(latency, self.report, served, job, *fields),
        )
        # a new connection costs a round trip before the request
        self.world.agenda.after(
            latency * (3.0 if served.request_count == 1 else 1.0), self.arrive, served, job
        )

    def expected_job(self, id: str, message: Message) -> tuple[int, float, int] | None:
        """Category, seconds of work and the scheduler's zone; None where no client sent such a request."""
        if (attempt := self.tries.get(id)) is not None:
            return attempt.want.category, attempt.want.work, attempt.scheduler % len(self.world.day.zones)
        name = message.target.decode("latin-1").split("?")[0].split("/")[1:2]
        found = [i for i, kind in enumerate(self.world.day.categories) if [kind.name] == name]
        if not self.accept_any or not found:
            return None
        kind = self.world.day.categories[found[0]]
        return found[0], max(1e-4, spread(self.latency_draw, kind.work, kind.spread)), self.worker.zone

    def arrive(self, served: Served, job: Job) -> None:
        if not self.worker.alive:
            served.close(with_reset=True)
            return
        self.worker.arrive(job)
        if served.over:  # closed while in transit: the close arrives after the request
            self.worker.drop(job)
        elif job.state in ("waiting", "running") and not self.worker.stopped and not served.plain:
            served.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            served.headed = True

    def report(self, served: Served, job: Job, event: str, *fields: Any) -> None:
        if served.over:
            return
        if event == "broke":
            served.close(with_reset=True)
            return
        if served.plain:
            self.report_plainly(served, event, *fields)
            return
        headed = served.headed
        if event == "turned" and not headed:
            load = ",".join(f"{name}={value:g}" for name, value in fields[0].items())
            served.in_progress = None
            served.say(
                _response("503 Service Unavailable", b"", "X-Unprocessed: 1", f"X-Backend-Load: {load}")
            )
            return
        record: dict[str, Any] = {"id": job.id, "from": self.worker.name}
        if event == "began":
            record["state"] = "started"
        elif event == "progressed":
            record |= {"state": "running", "share": round(fields[0], 4)}
        else:
            record |= {"state": _STATES[event], "load": fields[0]}
            if event == "done":
                record["result"] = fields[1]
        line = json.dumps(record).encode() + b"\n"
        data = b"%x\r\n%b\r\n" % (len(line), line)
        if not headed:
            data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + data
            served.headed = True
        if event in _STATES:
            data += b"0\r\n\r\n"
            served.in_progress, served.headed = None, False
        served.say(data)

    def report_plainly(self, served: Served, event: str, *fields: Any) -> None:
        """Answers as an ordinary HTTP server: a status only, and nothing before the end."""
        if event not in _STATES:
            return
        load = "X-Backend-Load: " + ",".join(f"{name}={value:g}" for name, value in fields[0].items())
        served.in_progress = None
        if event == "done":
            served.say(_response("200 OK", fields[1].encode(), load))
        elif event == "turned":
            served.say(_response("503 Service Unavailable", b"", "X-Unprocessed: 1", load))
        else:
            served.say(_response("500 Internal Server Error", b"", load))

    def ended(self, served: Served) -> None:
        if (job := served.in_progress) is not None and job.worker is not None:
            self.world.agenda.after(0.0, self.worker.drop, job)


class ListServer:
    """The list service for one scheduler: each has an address of its own, which identifies the caller."""

    def __init__(self, world: World, scheduler: int, port: int, dial: dict[str, str]) -> None:
        self.world, self.scheduler, self.dial = world, scheduler, dial
        self.unix = time.time() - world.agenda.now
        self.server = Server(port, self.request)

    def request(self, served: Served, message: Message) -> None:
        url = urlsplit(message.target.decode("latin-1"))
        if url.path != "/api/targets":
            served.say(_response("404 Not Found"))
            return
        query = parse_qs(url.query)
        try:
            since = int(query.get("since", ["0"])[0])
            wait = min(60000, int(query.get("timeout_ms", ["0"])[0])) / 1000.0
        except ValueError:
            served.say(_response("400 Bad Request"))
            return

        def reply(found: tuple[int, bool, list[Listed]] | None) -> None:
            if found is None:
                served.say(_response("503 Service Unavailable"))
                return
            version, whole, entries = found
            body = json.dumps(
                {"seq": version, "whole": whole, "hosts": [self.entry(e) for e in entries]}
            ).encode()
            served.say(_response("200 OK", body, "Content-Type: application/json"))

        # a wait under 10 ms is treated as none, and answered at once
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
