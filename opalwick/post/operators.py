"""The read-only HTTP server for operators, which every process of the service runs.

The calls are described in `openapi/operators.yaml`; the answers of each role are built in its `status.py`.
The number of connections is small, so that idle clients cannot take up the process. Only calls that read a
store's disk wait, and they delay no other call.
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
from opalwick.post.base_role import RoleBase
from opalwick.protocol.server_connection import Conversation
from opalwick.protocol.listener import Listener
from opalwick.protocol.http import Malformed, Message
from opalwick.transport.connection import Address, Connection, listen
from opalwick.transport.limits import compute_limits
from opalwick.transport.stalls import StallDetector

MAX_CONNECTIONS = 6  # simultaneous connections; at the limit the one that has been idle longest is closed
BIND_RETRY = 5.0  # s between attempts to bind the address
# the package of each role, by the role's name in settings, on the wire and on the command line
PACKAGES = {"counter": "gateway", "depot": "store", "office": "controller"}
_ODD = re.compile(r"[^a-zA-Z0-9_]")
JSON, TEXT = "application/json", "text/plain; version=0.0.4; charset=utf-8"

# a metric for Prometheus: name, whether it is a counter, description, and values with their labels
Metric = tuple[str, bool, str, list[tuple[dict[str, str], float]]]
# runs a function that reads the disk in the disk's thread
DiskReader = Callable[[Callable[[Any], Any]], Any]


class MetricsEndpoint(NamedTuple):
    """Where a process serves its metrics: a port of its machine, and a path."""

    port: int
    path: str

    @classmethod
    def parse(cls, text: str) -> MetricsEndpoint:
        """Parses `PORT/PATH`, the form of a role's `metrics` in deploy/system.toml; raises ValueError."""
        port, slash, path = text.partition("/")
        if not slash or not path or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"must be PORT/PATH, such as 9464/metrics, not {text!r}")
        return cls(int(port), f"/{path}")


def operators_address(settings: Settings) -> Address | None:
    """The address of the operators' server; None if the process has only one port."""
    first, last = settings.ports
    return (settings.ip, first + 1) if first < last else None


def elapsed(now: float, at: float | None) -> float | None:
    """Seconds since `at`; None if it has never happened."""
    return now - at if at is not None and at > -1e8 else None


def json_value(value: Any) -> Any:
    """As a JSON value: floats rounded to 3 decimals, infinity and NaN as null."""
    if isinstance(value, dict):
        return {str(key): json_value(one) for key, one in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [json_value(one) for one in value]
    if isinstance(value, float):
        return round(value, 3) if math.isfinite(value) else None
    return value


def common_status(role: RoleBase) -> dict[str, Any]:
    """The part of the status that all roles have."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    conf, own = role.directory.conf, operators_address(role.settings)
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
            "age": role.now - link.last_received,
            "waiting": getattr(link, "queued_bytes", 0),
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
        "peak_mb": usage.ru_maxrss / 1024.0,
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "links": links,
        "directory": [
            dict(zip(("node", "role", "zone", "ip", "life", "gone"), (node, *rest)))
            for node, rest in sorted(nodes.items())
        ],
        "figures": role.figures(),
        "crossed": role.cross_zone_bytes,
    }


def parse_query(text: bytes, *known: str) -> dict[str, str]:
    """The fields of a query string; raises Malformed if one is unknown or repeated."""
    try:
        pairs = parse_qsl(text.decode("ascii"), keep_blank_values=True, errors="strict", max_num_fields=16)
    except ValueError:
        raise Malformed(400, "the query is malformed") from None
    for name, _ in pairs:
        if name not in known:
            raise Malformed(400, f"{name!r} is not a field of this call, which has {', '.join(known)}")
    if len(found := dict(pairs)) < len(pairs):
        raise Malformed(400, "a field is repeated")
    return found


class OperatorServer:
    """The server: accepts connections and answers calls."""

    closing = False  # connections are closed only when the process ends

    def __init__(
        self,
        role: RoleBase,
        place: Address | None,
        read_disk: DiskReader | None = None,
        clock: Callable[[], float] = time.monotonic,
        metrics_path: str = "",
    ) -> None:
        """`read_disk` runs a function in the disk's thread; only stores have one. If `metrics_path` is set,
        only metrics are served, at that path.
        """
        self.metrics_path = metrics_path
        self.role, self.address, self.read_disk, self.clock = role, place, read_disk, clock
        self.pulse = StallDetector(clock())
        self.limits = replace(
            compute_limits(64, role.settings.mem_mb, MAX_CONNECTIONS, 15.0, 0.3, 60.0, 3.0),
            clients=MAX_CONNECTIONS,
            active_clients=MAX_CONNECTIONS,
            spare_clients=1,
        )
        self.door: Any = None
        self.registry: Any = None  # of the Prometheus library, created by the first call for metrics

    def accept(self) -> None:
        """Binds the address and accepts connections; runs in a greenlet of its own."""
        failed = False
        while self.door is None:
            if self.address is None:
                gevent.sleep(3600.0)  # the process has no port for this server
                continue
            try:
                listener = listen(self.address, 16)
            except OSError as problem:
                if not failed:
                    events.emit(906, place="%s:%d" % self.address, problem=str(problem))
                failed = True
                gevent.sleep(BIND_RETRY)
                continue
            self.address = listener.getsockname()
            self.door = Listener(
                listener, self.limits, self.pulse, self.conversation, lambda: MAX_CONNECTIONS
            )
        self.door.accept()

    def conversation(self, connection: Connection, full: bool) -> Conversation:
        return OperatorConnection(connection, self.limits, self, full)

    # ---- calls

    @property
    def status_module(self) -> Any:
        """The status module of this role; those of other roles are not imported."""
        return import_module(f"opalwick.post.{PACKAGES[self.role.role]}.status")

    def answer(self, message: Message) -> tuple[int, bytes, str]:
        """Status, body and content type."""
        self.role.clock(self.clock())
        try:
            result = self.dispatch(message)
        except Malformed as problem:
            return problem.status, json.dumps({"err": problem.text}).encode(), JSON
        except Exception as problem:  # noqa: BLE001 - logged and answered with 500
            events.emit(901, work="operators", problem=repr(problem), where=traceback.format_exc(limit=-3))
            return 500, json.dumps({"err": f"internal error: {problem!r}"}).encode(), JSON
        if isinstance(result, bytes):
            return 200, result, TEXT
        return 200, json.dumps(json_value(result)).encode() + b"\n", JSON

    def dispatch(self, message: Message) -> Any:
        path, _, query_string = message.target.partition(b"?")
        if self.metrics_path:
            if path != self.metrics_path.encode():
                raise Malformed(404, f"only {self.metrics_path} is served here")
            path = b"/metrics"
        _, first, *rest = path.split(b"/")
        if first not in (b"status", b"message", b"dead", b"conf", b"home", b"metrics") or len(rest) > 1:
            raise Malformed(404, "no such call")
        if message.method != b"GET":
            raise Malformed(405, "only GET is allowed: this server is read-only")
        try:
            name = unquote_to_bytes(rest[0]).decode("ascii") if rest else ""
        except UnicodeDecodeError:
            raise Malformed(400, "the name in the path is not ASCII") from None
        match first, bool(name):
            case b"status", False:
                parse_query(query_string)
                return common_status(self.role) | self.status_module.status(self.role)
            case b"message", True:
                if not hasattr(self.status_module, "message"):
                    raise Malformed(404, f"a {self.role.role} has no messages: call a gateway or a store")
                found = self.status_module.message(self.role, name)
                if found is None:
                    raise Malformed(404, "this process has no such message")
                return {"node": self.role.node, "role": self.role.role} | found
            case b"dead", _:
                if self.read_disk is None:
                    raise Malformed(404, f"a {self.role.role} stores no messages: call a store")
                if name:
                    if (found := self.status_module.dead_one(self.role, self.read_disk, name)) is None:
                        raise Malformed(404, "this store has no dead message of that name")
                    return found
                return self.status_module.dead(
                    self.role, self.read_disk, **parse_query(query_string, "route", "after")
                )
            case b"conf", False:
                if not hasattr(self.status_module, "conf"):
                    raise Malformed(404, f"a {self.role.role} stores no configuration: call a controller")
                return self.status_module.conf(self.role)
            case b"home", False:
                parse_query(query_string)
                return {"node": self.role.node, "role": self.role.role} | self.status_module.home(
                    self.role, self.read_disk
                )
            case b"metrics", False:
                return self.metrics()
        raise Malformed(404, "no such call")

    # ---- metrics

    def metrics(self) -> bytes:
        """In the text format of Prometheus. The library is imported by the first such call."""
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
        """Called by the Prometheus library at each scrape."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, is_counter, text, rows in self.samples():
            names = sorted({label for labels, _ in rows for label in labels})
            kind = CounterMetricFamily if is_counter else GaugeMetricFamily
            family = kind(f"opalwick_post_{_ODD.sub('_', name)}", text, labels=names)
            for labels, value in rows:
                family.add_metric([labels.get(label, "") for label in names], float(value))
            yield family

    def samples(self) -> Iterator[Metric]:
        role, status_module = self.role, self.status_module
        yield (
            "process",
            False,
            "Identity of the process.",
            [({"node": role.node, "role": role.role, "zone": role.zone, "version": __version__}, 1.0)],
        )
        for name, value in role.figures().items():
            if isinstance(value, (bool, int, float)):
                is_counter = name not in status_module.NOW
                yield (
                    name,
                    is_counter,
                    "Total since the process started." if is_counter else "Current value.",
                    [({}, float(value))],
                )
        yield (
            "link_age_seconds",
            False,
            "Seconds since the last message on the link.",
            [
                ({"node": link.peer.node, "role": link.peer.role}, role.now - link.last_received)
                for node in sorted(role.links)
                if (link := role.link(node)) is not None
            ],
        )
        yield (
            "crossed_octets",
            True,
            "Bytes sent to other zones, by kind of message.",
            [({"kind": kind}, size) for kind, size in sorted(role.cross_zone_bytes.items())],
        )
        yield from status_module.metrics(role)


class OperatorConnection(Conversation):
    """A connection of an operator."""

    server: Any

    def on_request(self, message: Message, now: float) -> None:
        call = self.add_call(message)
        status, body, kind = self.server.answer(message)
        call.answer(status, body, f"Content-Type: {kind}")
