"""The messages of `envoy.service.ext_proc.v3`: one stream a request at a proxy. Names end here."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc
from envoy.type.v3 import http_status_pb2

from opalwick.processor.configuration import Settings
from opalwick.processor.exchange import Asked, Call, Exchange, Go, Immediate, Reported, Route
from opalwick.protocol.clients import parse_pairs, hash_subject
from opalwick.protocol.workers import parse_load

_OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD


class Malformed(Exception):
    """What came is no message of the protocol, or none that is due now."""


class Refused(Exception):
    """A request that cannot be a work item: the status that its client is owed, and why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def fields_of(headers: Any) -> dict[str, str]:
    """By lower-case name; a field that stands twice is joined as HTTP has it."""
    found: dict[str, str] = {}
    for header in headers.headers:
        value = header.raw_value.decode("latin-1") if header.raw_value else header.value
        name = header.key.lower()
        found[name] = f"{found[name]}, {value}" if name in found else value
    return found


def _number(given: Mapping[str, str], name: str, default: float) -> float:
    text = given.get(name) if name else None
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e12:
        raise Refused(400, f"{name} is malformed")
    return value


def asked(given: Mapping[str, str], settings: Settings, now: float) -> Asked:
    """The work item that a request's fields tell of."""
    f, names = settings.fields, settings.scheduler.names
    parts = given.get(":path", "").split("?", 1)[0].split("/")
    category = None
    for header, pattern, found in settings.rules:
        if pattern.search(given.get(header, "")):
            category = found
            break
    else:
        category = names.categories.get(given.get(f.category) or (parts[1] if len(parts) > 1 else ""))
    if category is None:
        raise Refused(404, "no such class")
    id = given.get(f.id, "")
    if not 0 < len(id) <= 128:
        raise Refused(400, f"{f.id} is missing or too long")
    key = given.get(f.key, "") if f.key else ""
    if category.effect.value == "ticketed" and not key:
        raise Refused(400, f"{f.key} is missing")
    left = _number(given, f.expiry, category.expiry * 1e3) / 1e3
    slots = parse_pairs(given.get(f.facts, "").encode("latin-1", "replace")).get(b"slots", 1.0)
    return Asked(
        id,
        category,
        names.customers.get(given.get(f.customer, "")),
        now + min(left, 3600.0),
        _number(given, f.hint, 0.0) * 1e-6,
        slots if 0 < slots < 1e4 else 1.0,
        hash_subject(parts[-1].encode("latin-1", "replace") if len(parts) > 2 else b""),
        given.get("x-repeat") == "1",
        key,
    )


class Conversation:
    """One stream. `say(octets, token)` sends a message, `done(status, text)` ends the stream from here."""

    __slots__ = ("exchange", "settings", "now", "say", "call", "owed", "phase", "watched", "over")

    def __init__(
        self,
        exchange: Exchange,
        settings: Settings,
        now: Callable[[], float],
        say: Callable[[bytes, Any], None],
    ) -> None:
        self.exchange, self.settings, self.now, self.say = exchange, settings, now, say
        self.call = Call(self.reply)
        # answers go out in the order of what they answer: what follows a head that is still undecided waits
        self.owed: deque[Any] = deque()
        self.phase = ""  # whose head is to be answered: "request", "response"
        self.watched = False  # the proxy only lets us watch: nothing may be answered
        self.over = False

    def receive(self, octets: bytes) -> None:
        """Malformed where the stream must end."""
        message = ext_proc.ProcessingRequest()
        try:
            message.ParseFromString(octets)
        except Exception as problem:  # noqa: BLE001 - protobuf's own error types differ by its implementation
            raise Malformed(f"not a ProcessingRequest: {problem}") from None
        if self.over:
            return
        if message.observability_mode:
            self.watched = True
            return
        kind = message.WhichOneof("request")
        match kind:
            case "request_headers":
                self.request(message.request_headers)
            case "response_headers":
                self.response(message.response_headers)
            case "request_body" | "request_trailers":
                self.pass_on(kind)
            case "response_body":
                if message.response_body.end_of_stream:
                    self.exchange.body_ends(self.call)
                self.pass_on(kind)
            case "response_trailers":
                self.exchange.body_ends(self.call)
                self.pass_on(kind)
            case _:
                pass  # a kind of later versions: skipped, as protobuf demands

    def request(self, headers: Any) -> None:
        if self.call.state != "new":
            raise Malformed("a second request_headers on one stream")
        self.phase = "request"
        now = self.now()
        try:
            found = asked(fields_of(headers.headers), self.settings, now)
        except Refused as problem:
            self.call.state = "over"
            return self.reply(Immediate(problem.status, 0.0, str(problem)))
        self.exchange.begins(self.call, found)

    def response(self, headers: Any) -> None:
        given, f = fields_of(headers.headers), self.settings.fields
        try:
            status = int(given.get(":status", "0"))
        except ValueError:
            raise Malformed(":status is no number") from None
        load = given.get(f.load) if f.load else None
        reported = Reported(
            status,
            parse_load(load.encode("latin-1", "replace"), self.settings.scheduler.names.load_metrics)
            if load
            else (),
            bool(f.unprocessed) and given.get(f.unprocessed) == "1",
            bool(f.not_sent) and given.get(f.not_sent) == "1",
        )
        self.phase = "response"
        if not self.exchange.responds(self.call, reported, headers.end_of_stream):
            # of a request that was never asked about, or answered from here: it goes on as it is
            self.reply(Go(False))

    def pass_on(self, kind: str) -> None:
        """Bodies and trailers are not looked at."""
        answer = ext_proc.ProcessingResponse()
        getattr(answer, kind).SetInParent()
        if self.phase == "request" and self.call.state == "held":
            if len(self.owed) >= 64:  # far more than a proxy sends before the head is answered
                raise Malformed("too much before the request's head is answered")
            self.owed.append(answer)
        else:
            self.say(answer.SerializeToString(), None)

    def reply(self, what: Any) -> None:
        """Called by the exchange, once a head."""
        if self.over:
            return
        answer, f, token = ext_proc.ProcessingResponse(), self.settings.fields, None
        match what:
            case Route(place, worker, use_by):
                common = answer.request_headers.response
                where = place if isinstance(place, str) else "%s:%d" % place
                for name, value in (
                    (f.worker, where),
                    (f.name, str(worker)),
                    (f.use_by, str(int(use_by * 1e3))),
                ):
                    if name:
                        _set(common.header_mutation.set_headers, name, value)
                common.clear_route_cache = self.settings.file.proxies.clear_route_cache
                token = self.call
            case Immediate(status, come_back_in, why):
                self.over = True
                immediate = answer.immediate_response
                immediate.status.CopyFrom(http_status_pb2.HttpStatus(code=status))  # type: ignore[arg-type]
                immediate.details = f"opalwick: {why}"
                if come_back_in > 0:
                    _set(immediate.headers.set_headers, "retry-after", f"{come_back_in:g}")
            case Go(again):
                common = answer.response_headers.response
                common.SetInParent()
                if again and f.again:
                    _set(common.header_mutation.set_headers, f.again, "1")
        self.say(answer.SerializeToString(), token)
        while self.owed:
            self.say(self.owed.popleft().SerializeToString(), None)

    def ends(self, how: str) -> None:
        if self.call.state != "new":
            self.exchange.ends(self.call, how)
        self.over = True


def _set(headers: Any, name: str, value: str) -> None:
    option = headers.add()
    option.header.key, option.header.raw_value = name, value.encode("latin-1")
    option.append_action = _OVERWRITE
