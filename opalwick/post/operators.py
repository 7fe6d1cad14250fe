"""The address for operators that every process of the post has: what it knows. No call changes anything.

The calls stand in `openapi/operators.yaml`; what each role tells is in its `status.py`. Few connections, so
that those who stay silent hold up nobody; only what reads a depot's disk waits, and that for this call alone.
"""

from __future__ import annotations

import json
import math
import re
import resource
import time
import traceback
from collections.abc import Callable, Iterator
from dataclasses import replace
from importlib import import_module
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote_to_bytes

import gevent

from opalwick import __version__
from opalwick.post import events
from opalwick.post.settings import Settings
from opalwick.post.station import Station
from opalwick.protocol.conversation import Conversation
from opalwick.protocol.door import Listener
from opalwick.protocol.http import Malformed, Message
from opalwick.transport.connection import Address, Connection, listen
from opalwick.transport.limits import compute_limits
from opalwick.transport.pulse import StallDetector

MOST = 6  # connections at once; at the brim the one that has waited longest goes
AGAIN = 5.0  # s until an address that cannot be had is tried again
_ODD = re.compile(r"[^a-zA-Z0-9_]")
JSON, TEXT = "application/json", "text/plain; version=0.0.4; charset=utf-8"

# a figure for Prometheus: name, whether it only counts up, what it is, and its values by their labels
Figure = tuple[str, bool, str, list[tuple[dict[str, str], float]]]
# runs what reads the disk in the disk's thread
Look = Callable[[Callable[[Any], Any]], Any]


class Metrics(NamedTuple):
    """Where a process tells its figures to whoever collects them: a port of its machine, and a path."""

    port: int
    path: str

    @classmethod
    def parse(cls, text: str) -> Metrics:
        """`PORT/PATH`, as `metrics` of a role in deploy/system.toml has it; ValueError says what is wrong."""
        port, slash, path = text.partition("/")
        if not slash or not path or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"must be PORT/PATH, such as 9464/metrics, not {text!r}")
        return cls(int(port), f"/{path}")


def place(settings: Settings) -> Address | None:
    """None where the machine has only one port for it."""
    first, last = settings.ports
    return (settings.ip, first + 1) if first < last else None


def since(now: float, at: float | None) -> float | None:
    """None where it never was."""
    return now - at if at is not None and at > -1e8 else None


def tidy(value: Any) -> Any:
    """As JSON bears it: to a thousandth; what has no end is null."""
    if isinstance(value, dict):
        return {str(key): tidy(one) for key, one in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [tidy(one) for one in value]
    if isinstance(value, float):
        return round(value, 3) if math.isfinite(value) else None
    return value


def common(role: Station) -> dict[str, Any]:
    """What every role tells of itself."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    conf, own = role.directory.conf, place(role.settings)
    nodes = {role.node: (role.role, role.zone, role.ip, role.life, False)} | {
        n.node: (n.role, n.zone, n.ip, n.life, n.gone)
        for n in role.directory.nodes.values()
        if n.node != role.node
    }
    links = [
        {
            "node": link.peer.node,
            "role": link.peer.role,
            "zone": link.peer.zone,
            "life": link.peer.life,
            "age": role.now - link.heard_at,
            "waiting": getattr(link, "waiting", 0),
        }
        for node in sorted(role.links)
        for link in role.links[node]
    ]
    return {
        "node": role.node,
        "role": role.role,
        "zone": role.zone,
        "region": role.settings.region,
        "ip": role.ip,
        "operators": own[1] if own is not None else 0,
        "life": role.life,
        "version": __version__,
        "conf": int(conf.gen) if conf is not None else 0,
        "peak_mb": used.ru_maxrss / 1024.0,
        "cpu_s": used.ru_utime + used.ru_stime,
        "links": links,
        "directory": [
            dict(zip(("node", "role", "zone", "ip", "life", "gone"), (node, *rest)))
            for node, rest in sorted(nodes.items())
        ],
        "figures": role.figures(),
        "crossed": role.crossed,
    }


def query(text: bytes, *known: str) -> dict[str, str]:
    """The fields of a call; Malformed names the one that is not known or stands there twice."""
    try:
        pairs = parse_qsl(text.decode("ascii"), keep_blank_values=True, errors="strict", max_num_fields=16)
    except ValueError:
        raise Malformed(400, "the query is malformed") from None
    for name, _ in pairs:
        if name not in known:
            raise Malformed(400, f"{name!r} is no field of this call: it has {', '.join(known)}")
    if len(found := dict(pairs)) < len(pairs):
        raise Malformed(400, "a field stands there twice")
    return found


class Operators:
    closing = False  # its connections end with the process

    def __init__(
        self,
        role: Station,
        place: Address | None,
        look: Look | None = None,
        clock: Callable[[], float] = time.monotonic,
        metrics_path: str = "",
    ) -> None:
        """`look`: a depot's way to its disk; other roles have none. `metrics_path`: only the figures are
        told, at that path.
        """
        self.metrics_path = metrics_path
        self.role, self.place, self.look, self.clock = role, place, look, clock
        self.pulse = StallDetector(clock())
        self.limits = replace(
            compute_limits(64, role.settings.mem_mb, MOST, 15.0, 0.3, 60.0, 3.0),
            clients=MOST,
            active_clients=MOST,
            spare_clients=1,
        )
        self.door: Any = None
        self.registry: Any = None  # of the library, made with the first call for figures

    def accept(self) -> None:
        """Runs in a greenlet of its own."""
        failed = False
        while self.door is None:
            if self.place is None:
                gevent.sleep(3600.0)  # the machine has no port for it
                continue
            try:
                listener = listen(self.place, 16)
            except OSError as problem:
                if not failed:
                    events.say(906, place="%s:%d" % self.place, problem=str(problem))
                failed = True
                gevent.sleep(AGAIN)
                continue
            self.place = listener.getsockname()
            self.door = Listener(listener, self.limits, self.pulse, self.conversation, lambda: MOST)
        self.door.accept()

    def conversation(self, connection: Connection, full: bool) -> Conversation:
        return Calling(connection, self.limits, self, full)

    # ---- calls

    @property
    def told(self) -> Any:
        """The role's own part; a process imports no other's."""
        return import_module(f"opalwick.post.{self.role.role}.status")

    def answer(self, message: Message) -> tuple[int, bytes, str]:
        """Status, body and its type."""
        self.role.clock(self.clock())
        try:
            found = self.carry_out(message)
        except Malformed as problem:
            return problem.status, json.dumps({"err": problem.text}).encode(), JSON
        except Exception as problem:  # noqa: BLE001 - it is told and answered with 500
            events.say(901, work="operators", problem=repr(problem), where=traceback.format_exc(limit=-3))
            return 500, json.dumps({"err": f"a fault of ours: {problem!r}"}).encode(), JSON
        if isinstance(found, bytes):
            return 200, found, TEXT
        return 200, json.dumps(tidy(found)).encode() + b"\n", JSON

    def carry_out(self, message: Message) -> Any:
        path, _, asked = message.target.partition(b"?")
        if self.metrics_path:
            if path != self.metrics_path.encode():
                raise Malformed(404, f"only {self.metrics_path} is told here")
            path = b"/metrics"
        _, first, *rest = path.split(b"/")
        if first not in (b"status", b"message", b"dead", b"conf", b"home", b"metrics") or len(rest) > 1:
            raise Malformed(404, "no such call")
        if message.method != b"GET":
            raise Malformed(405, "only GET: nothing is changed here")
        try:
            name = unquote_to_bytes(rest[0]).decode("ascii") if rest else ""
        except UnicodeDecodeError:
            raise Malformed(400, "the name in the path is not ASCII") from None
        match first, bool(name):
            case b"status", False:
                query(asked)
                return common(self.role) | self.told.status(self.role)
            case b"message", True:
                if not hasattr(self.told, "message"):
                    raise Malformed(404, f"a {self.role.role} knows no messages: ask counters and depots")
                found = self.told.message(self.role, name)
                if found is None:
                    raise Malformed(404, "this process does not know it")
                return {"node": self.role.node, "role": self.role.role} | found
            case b"dead", _:
                if self.look is None:
                    raise Malformed(404, f"a {self.role.role} keeps no messages: ask a depot")
                if name:
                    if (found := self.told.dead_one(self.role, self.look, name)) is None:
                        raise Malformed(404, "no dead message of that name is here")
                    return found
                return self.told.dead(self.role, self.look, **query(asked, "route", "after"))
            case b"conf", False:
                if not hasattr(self.told, "conf"):
                    raise Malformed(404, f"a {self.role.role} keeps no configuration: ask an office")
                return self.told.conf(self.role)
            case b"home", False:
                query(asked)
                return {"node": self.role.node, "role": self.role.role} | self.told.home(self.role, self.look)
            case b"metrics", False:
                return self.metrics()
        raise Malformed(404, "no such call")

    # ---- figures

    def metrics(self) -> bytes:
        """As Prometheus reads it. Its library is imported with the first such call."""
        try:
            from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
        except ModuleNotFoundError as problem:
            raise Malformed(503, f"{problem.name} is missing: pip install 'opalwick[post]'") from None
        if self.registry is None:
            self.registry = CollectorRegistry(auto_describe=False)
            ProcessCollector(registry=self.registry)
            self.registry.register(self)
        return bytes(generate_latest(self.registry))

    def collect(self) -> Iterator[Any]:
        """For the library: called with each reading."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, counts, text, rows in self.figures():
            names = sorted({label for labels, _ in rows for label in labels})
            kind = CounterMetricFamily if counts else GaugeMetricFamily
            family = kind(f"opalwick_post_{_ODD.sub('_', name)}", text, labels=names)
            for labels, value in rows:
                family.add_metric([labels.get(label, "") for label in names], float(value))
            yield family

    def figures(self) -> Iterator[Figure]:
        role, told = self.role, self.told
        yield (
            "process",
            False,
            "Who it is.",
            [({"node": role.node, "role": role.role, "zone": role.zone, "version": __version__}, 1.0)],
        )
        for name, value in role.figures().items():
            if isinstance(value, (bool, int, float)):
                counts = name not in told.NOW
                yield (name, counts, "Since its start." if counts else "Now.", [({}, float(value))])
        yield (
            "link_age_seconds",
            False,
            "Since the last word on it.",
            [
                ({"node": link.peer.node, "role": link.peer.role}, role.now - link.heard_at)
                for node in sorted(role.links)
                if (link := role.link(node)) is not None
            ],
        )
        yield (
            "crossed_octets",
            True,
            "Said to other zones, by kind of word.",
            [({"kind": kind}, octets) for kind, octets in sorted(role.crossed.items())],
        )
        yield from told.metrics(role)


class Calling(Conversation):
    """An operator's connection."""

    server: Any

    def on_request(self, message: Message, now: float) -> None:
        call = self.add_call(message)
        status, body, kind = self.server.answer(message)
        call.answer(status, body, f"Content-Type: {kind}")
