"""The messages of `envoy.service.ext_proc.v3`: one stream for each request at a proxy.

No other module uses the protocol's names.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc
from envoy.type.v3 import http_status_pb2

from opalwick.processor.configuration import Settings
from opalwick.processor.exchange import Call, Continue, Exchange, Immediate, ItemRequest, ResponseHead, Route
from opalwick.protocol.clients import parse_pairs, hash_subject
from opalwick.protocol.workers import parse_load

_OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD


class Malformed(Exception):
    """A received message is not one of the protocol's, or not valid in the state of the stream."""


class Refused(Exception):
    """A request can't become a work item; has the status and the reason for its client."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def fields_of(headers: Any) -> dict[str, str]:
    """Header fields by lower-case name; repeated fields are joined as HTTP defines it."""
    found: dict[str, str] = {}
    for header in headers.headers:
        value = header.raw_value.decode("latin-1") if header.raw_value else header.value
        name = header.key.lower()
        found[name] = f"{found[name]}, {value}" if name in found else value
    return found


def _number(fields: Mapping[str, str], name: str, default: float) -> float:
    text = fields.get(name) if name else None
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e12:
        raise Refused(400, f"{name} is malformed")
    return value


def work_item(fields: Mapping[str, str], settings: Settings, now: float) -> ItemRequest:
    """The work item that a request's header fields describe. Raises Refused."""
    f, names = settings.fields, settings.scheduler.names
    parts = fields.get(":path", "").split("?", 1)[0].split("/")
    category = None
    for header, pattern, found in settings.rules:
        if pattern.search(fields.get(header, "")):
            category = found
            break
    else:
        category = names.categories.get(fields.get(f.category) or (parts[1] if len(parts) > 1 else ""))
    if category is None:
        raise Refused(404, "no such class")
    id = fields.get(f.id, "")
    if not 0 < len(id) <= 128:
        raise Refused(400, f"{f.id} is missing or too long")
    key = fields.get(f.key, "") if f.key else ""
    if category.effect.value == "ticketed" and not key:
        raise Refused(400, f"{f.key} is missing")
    left = _number(fields, f.expiry, category.expiry * 1e3) / 1e3
    slots = parse_pairs(fields.get(f.facts, "").encode("latin-1", "replace")).get(b"slots", 1.0)
    return ItemRequest(
        id,
        category,
        names.customers.get(fields.get(f.customer, "")),
        now + min(left, 3600.0),
        _number(fields, f.hint, 0.0) * 1e-6,
        slots if 0 < slots < 1e4 else 1.0,
        hash_subject(parts[-1].encode("latin-1", "replace") if len(parts) > 2 else b""),
        fields.get("x-repeat") == "1",
        key,
    )


class Conversation:
    """One stream. `send(payload, token)` sends a message."""

    __slots__ = ("exchange", "settings", "now", "send", "call", "queued", "phase", "observe_only", "closed")

    def __init__(
        self,
        exchange: Exchange,
        settings: Settings,
        now: Callable[[], float],
        send: Callable[[bytes, Any], None],
    ) -> None:
        self.exchange, self.settings, self.now, self.send = exchange, settings, now, send
        self.call = Call(self.reply)
        # answers keep the order of the messages: those after a head that is still undecided wait
        self.queued: deque[Any] = deque()
        self.phase = ""  # the head to be answered next: "request", "response"
        self.observe_only = False  # observability mode: messages must not be answered
        self.closed = False

    def receive(self, payload: bytes) -> None:
        """Processes a message. Raises Malformed if the stream must end."""
        message = ext_proc.ProcessingRequest()
        try:
            message.ParseFromString(payload)
        except Exception as exc:  # noqa: BLE001 - protobuf's error types differ between its implementations
            raise Malformed(f"not a ProcessingRequest: {exc}") from None
        if self.closed:
            return
        if message.observability_mode:
            self.observe_only = True
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
                    self.exchange.response_finished(self.call)
                self.pass_on(kind)
            case "response_trailers":
                self.exchange.response_finished(self.call)
                self.pass_on(kind)
            case _:
                pass  # a kind of a later version: skipped, as protobuf requires

    def request(self, headers: Any) -> None:
        if self.call.state != "new":
            raise Malformed("a second request_headers on one stream")
        self.phase = "request"
        now = self.now()
        try:
            found = work_item(fields_of(headers.headers), self.settings, now)
        except Refused as exc:
            self.call.state = "over"
            return self.reply(Immediate(exc.status, 0.0, str(exc)))
        self.exchange.request_started(self.call, found)

    def response(self, headers: Any) -> None:
        fields, f = fields_of(headers.headers), self.settings.fields
        try:
            status = int(fields.get(":status", "0"))
        except ValueError:
            raise Malformed(":status is not a number") from None
        load = fields.get(f.load) if f.load else None
        reported = ResponseHead(
            status,
            parse_load(load.encode("latin-1", "replace"), self.settings.scheduler.names.load_metrics)
            if load
            else (),
            bool(f.unprocessed) and fields.get(f.unprocessed) == "1",
            bool(f.not_sent) and fields.get(f.not_sent) == "1",
        )
        self.phase = "response"
        if not self.exchange.response_started(self.call, reported, headers.end_of_stream):
            # of a request that had no request_headers, or was answered here: passed on unchanged
            self.reply(Continue(False))

    def pass_on(self, kind: str) -> None:
        """Answers a body or trailers, which are not inspected, with an empty response."""
        answer = ext_proc.ProcessingResponse()
        getattr(answer, kind).SetInParent()
        if self.phase == "request" and self.call.state == "waiting":
            if len(self.queued) >= 64:  # far more than a proxy sends before the head is answered
                raise Malformed("too many messages before the request's head is answered")
            self.queued.append(answer)
        else:
            self.send(answer.SerializeToString(), None)

    def reply(self, what: Any) -> None:
        """Sends the answer to a head; called by the exchange once for each head."""
        if self.closed:
            return
        answer, f, token = ext_proc.ProcessingResponse(), self.settings.fields, None
        match what:
            case Route(address, worker, use_by):
                common = answer.request_headers.response
                where = address if isinstance(address, str) else "%s:%d" % address
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
                self.closed = True
                immediate = answer.immediate_response
                immediate.status.CopyFrom(http_status_pb2.HttpStatus(code=status))  # type: ignore[arg-type]
                immediate.details = f"opalwick: {why}"
                if come_back_in > 0:
                    _set(immediate.headers.set_headers, "retry-after", f"{come_back_in:g}")
            case Continue(retry):
                common = answer.response_headers.response
                common.SetInParent()
                if retry and f.again:
                    _set(common.header_mutation.set_headers, f.again, "1")
        self.send(answer.SerializeToString(), token)
        while self.queued:
            self.send(self.queued.popleft().SerializeToString(), None)

    def stream_ended(self, how: str) -> None:
        if self.call.state != "new":
            self.exchange.call_ended(self.call, how)
        self.closed = True


def _set(headers: Any, name: str, value: str) -> None:
    option = headers.add()
    option.header.key, option.header.raw_value = name, value.encode("latin-1")
    option.append_action = _OVERWRITE
