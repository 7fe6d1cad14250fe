"""gRPC server over HTTP/2 without TLS: bytes in, events out; messages in, bytes out; no sockets, no clock.

Follows the published protocol (grpc/doc/PROTOCOL-HTTP2.md) and RFC 9113, using h2. Unary calls are streams of
one message.
"""

from __future__ import annotations

import re
from collections import deque
from typing import Any, NamedTuple

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

OK, INVALID_ARGUMENT, DEADLINE_EXCEEDED, NOT_FOUND = 0, 3, 4, 5
RESOURCE_EXHAUSTED, UNIMPLEMENTED, INTERNAL, UNAVAILABLE = 8, 12, 13, 14

_TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")
_UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}


class Bounds(NamedTuple):
    """Limits of one connection; all but the first in bytes."""

    streams: int = 20000
    message: int = 262144  # one message, in or out
    head: int = 32768  # one block of header fields
    waiting: int = 1048576  # queued answers of all streams that the client has not accepted
    window: int = 262144  # initial flow-control window of a stream


# events
class Opened(NamedTuple):
    """A call has started."""

    stream: int
    path: str
    timeout: float | None  # seconds


class Message(NamedTuple):
    """A complete message was received."""

    stream: int
    payload: bytes


class Ended(NamedTuple):
    """The client has ended its side of the stream."""

    stream: int


class Aborted(NamedTuple):
    """The client has reset the stream, or violated the protocol on it."""

    stream: int


class Sent(NamedTuple):
    """The bytes last returned by `take` contain the end of the message with this token."""

    token: Any


class ConnectionBroken(Exception):
    """The input violates HTTP/2; the connection must be closed after the bytes of `take` are written."""


class Stream:
    """State of one call."""

    __slots__ = ("buffer", "messages", "queued", "headers_sent", "finished", "ended")

    def __init__(self) -> None:
        self.buffer = bytearray()  # of an incomplete message
        self.messages: deque[tuple[bytes, Any]] = (
            deque()
        )  # messages with their tokens; the first may be partly sent
        self.queued = 0
        self.headers_sent = self.ended = False
        self.finished: tuple[int, str] | None = (
            None  # status and text to end with, once all messages are sent
        )


class Connection(h2.connection.H2Connection):
    """Counts open streams rarely: h2 counts all of them for each new one, so that opening thousands takes
    quadratic time.
    """

    counted = since = 0

    @property
    def open_inbound_streams(self) -> int:
        """Upper bound of open streams; exact after every 1,024 new streams, and when it reaches the limit."""
        self.since += 1
        if self.since >= 1024 or self.counted + self.since >= self.local_settings.max_concurrent_streams:
            self.counted, self.since = super().open_inbound_streams, 0
        return self.counted + self.since


class GrpcServer:
    """Server side of one connection."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.h2 = Connection(h2.config.H2Configuration(client_side=False, header_encoding="utf-8"))
        self.h2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: bounds.streams,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: bounds.head,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: bounds.window,
            },
        )
        # enforced while a header block is decoded: h2 ends the connection if it is exceeded
        self.h2.decoder.max_header_list_size = bounds.head
        self.h2.initiate_connection()
        # a connection carries many streams; their total is bounded by the size of a read, not by this window
        self.h2.increment_flow_control_window(bounds.window * 16)
        self.streams: dict[int, Stream] = {}
        self.blocked: dict[int, None] = {}  # streams with queued output that their window may hold back
        self.queued_bytes = 0  # bytes of all queued answers
        self.closing = False
        self.extra = b""  # bytes to send that h2 has not produced
        self.refused = 0

    # ---- in

    def receive(self, data: bytes) -> list[Any]:
        """Returns the events of these bytes. Raises Broken if the connection must be closed."""
        found: list[Any] = []
        try:
            events = self.h2.receive_data(data)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError, ValueError, KeyError, IndexError) as exc:
            raise ConnectionBroken(str(exc) or type(exc).__name__) from None
        for event in events:
            match event:
                case h2.events.RequestReceived():
                    self._opened(event, found)
                case h2.events.DataReceived():
                    self._data(event, found)
                case h2.events.StreamEnded():
                    if (stream := self.streams.get(event.stream_id)) is not None:
                        if stream.buffer:
                            self._refuse(event.stream_id, INTERNAL, "the last message is incomplete", found)
                        else:
                            stream.ended = True
                            found.append(Ended(event.stream_id))
                case h2.events.StreamReset():
                    if self._drop(event.stream_id):
                        found.append(Aborted(event.stream_id))
                case h2.events.ConnectionTerminated():
                    self.closing = True
        return found

    def _opened(self, event: Any, found: list[Any]) -> None:
        id = event.stream_id
        stream = self.streams[id] = Stream()
        given = dict(event.headers)
        if given.get(":method") != "POST" or not given.get("content-type", "").startswith("application/grpc"):
            self.refused += 1
            self._drop(id)
            self.h2.send_headers(id, [(":status", "415")], end_stream=True)
            return
        if self.closing:
            return self._refuse(id, UNAVAILABLE, "the server is shutting down", found, report=False)
        if given.get("grpc-encoding", "identity") != "identity":
            return self._refuse(id, UNIMPLEMENTED, "compression is not supported", found, report=False)
        timeout = None
        if (text := given.get("grpc-timeout")) is not None:
            if (read := _TIMEOUT.fullmatch(text)) is None:
                return self._refuse(id, INVALID_ARGUMENT, "grpc-timeout is malformed", found, report=False)
            timeout = int(read[1]) * _UNITS[read[2]]
        stream.headers_sent = False
        found.append(Opened(id, given.get(":path", ""), timeout))

    def _data(self, event: Any, found: list[Any]) -> None:
        # data is processed at once, so the window is released at once
        if event.flow_controlled_length:
            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        stream.buffer += event.data
        while len(stream.buffer) >= 5:
            size = int.from_bytes(stream.buffer[1:5], "big")
            if stream.buffer[0]:
                return self._refuse(event.stream_id, UNIMPLEMENTED, "compression is not supported", found)
            if size > self.bounds.message:
                return self._refuse(event.stream_id, RESOURCE_EXHAUSTED, "message too large", found)
            if len(stream.buffer) < 5 + size:
                return
            payload = bytes(stream.buffer[5 : 5 + size])
            del stream.buffer[: 5 + size]
            found.append(Message(event.stream_id, payload))

    def _refuse(self, id: int, status: int, text: str, found: list[Any], report: bool = True) -> None:
        self.refused += 1
        if report:
            found.append(Aborted(id))
        self.finish(id, status, text)

    # ---- out

    def send(self, id: int, payload: bytes, token: Any = None) -> bool:
        """Queues a message, subject to flow control; False if the stream has ended or a limit is exceeded."""
        stream = self.streams.get(id)
        if stream is None or stream.finished is not None:
            return False
        if self.queued_bytes + len(payload) > self.bounds.waiting or len(payload) > self.bounds.message:
            self.finish(id, RESOURCE_EXHAUSTED, "too many queued answers", cut=True)
            return False
        stream.messages.append((len(payload).to_bytes(5, "big") + payload, token))
        stream.queued += len(payload) + 5
        self.queued_bytes += len(payload) + 5
        self.blocked[id] = None
        return True

    def finish(self, id: int, status: int, text: str = "", cut: bool = False) -> None:
        """Ends the stream with a status after queued messages; `cut` drops these."""
        stream = self.streams.get(id)
        if stream is None or stream.finished is not None:
            return
        if cut:
            self.queued_bytes -= stream.queued
            stream.messages.clear()
            stream.queued = 0
        stream.finished = status, text
        self.blocked[id] = None

    def take(self) -> tuple[bytes, list[Sent]]:
        """The bytes to write now, and the messages that are complete with them."""
        sent = self._pump()
        data, self.extra = self.h2.data_to_send() + self.extra, b""
        return data, sent

    def _pump(self) -> list[Sent]:
        sent: list[Sent] = []
        for id in list(self.blocked):
            stream = self.streams.get(id)
            if stream is None:
                self.blocked.pop(id, None)
                continue
            try:
                self._flush(id, stream, sent)
            except h2.exceptions.ProtocolError:  # the stream or the connection has ended meanwhile
                self._drop(id)
        return sent

    def _flush(self, id: int, stream: Stream, sent: list[Sent]) -> None:
        if not stream.headers_sent and (stream.messages or stream.finished is None):
            self.h2.send_headers(id, [(":status", "200"), ("content-type", "application/grpc")])
            stream.headers_sent = True
        while stream.messages:
            payload, token = stream.messages[0]
            room = min(self.h2.local_flow_control_window(id), self.h2.max_outbound_frame_size)
            if room <= 0:
                return  # blocked by the window until an update
            part = payload[:room]
            self.h2.send_data(id, part)
            stream.queued -= len(part)
            self.queued_bytes -= len(part)
            if len(part) < len(payload):
                stream.messages[0] = payload[room:], token
                continue
            stream.messages.popleft()
            if token is not None:
                sent.append(Sent(token))
        self.blocked.pop(id, None)
        if stream.finished is not None:
            status, text = stream.finished
            trailers = [("grpc-status", str(status))]
            if text:
                trailers.append(("grpc-message", text))
            if not stream.headers_sent:
                trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
            self.h2.send_headers(id, trailers, end_stream=True)
            if not stream.ended:
                # a reset with NO_ERROR requests that the client stops sending
                self.h2.reset_stream(id, h2.errors.ErrorCodes.NO_ERROR)
            self._drop(id)

    def _drop(self, id: int) -> bool:
        stream = self.streams.pop(id, None)
        self.blocked.pop(id, None)
        if stream is not None:
            self.queued_bytes -= stream.queued
        return stream is not None

    def send_goaway(self) -> None:
        """Sends GOAWAY: open streams finish, new ones are refused."""
        if not self.closing:
            self.closing = True
            # serialized here: h2 treats a connection as closed after its GOAWAY, but streams must finish
            frame = GoAwayFrame(0, last_stream_id=max(self.streams, default=0), error_code=0)
            self.extra += frame.serialize()
