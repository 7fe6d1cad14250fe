"""gRPC over HTTP/2 without TLS, the server's side: bytes in, events out; messages in, bytes out; no socket
or clock.

From the published protocol (grpc/doc/PROTOCOL-HTTP2.md) and RFC 9113, on h2. Unary calls are streams of one
message.
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
    """Of one connection; bytes but for the first."""

    streams: int = 20000
    message: int = 262144  # one message, in or out
    head: int = 32768  # one block of header fields
    waiting: int = 1048576  # answers that the other side does not take, of all streams
    window: int = 262144  # what a stream may send before it is read


# events
class Opened(NamedTuple):
    stream: int
    path: str
    timeout: float | None  # seconds


class Message(NamedTuple):
    stream: int
    octets: bytes


class Ended(NamedTuple):
    """The other side sends no more on it."""

    stream: int


class Aborted(NamedTuple):
    """The other side has reset it, or broke the rules on it."""

    stream: int


class Sent(NamedTuple):
    """The bytes that `take` gave last hold the end of the message with this token."""

    token: Any


class Broken(Exception):
    """What came is not HTTP/2, or breaks its rules: the connection ends once `take` is written."""


class Stream:
    __slots__ = ("buffer", "out", "queued", "headed", "finished", "ended")

    def __init__(self) -> None:
        self.buffer = bytearray()  # of a message that is not whole
        self.out: deque[tuple[bytes, Any]] = deque()  # messages with their tokens, the first perhaps in part
        self.queued = 0
        self.headed = self.ended = False
        self.finished: tuple[int, str] | None = None  # status to end with, once all is out


class Connection(h2.connection.H2Connection):
    """h2 counts all its streams at each new one: with thousands open, opening them took a square of the
    time.
    """

    counted = since = 0

    @property
    def open_inbound_streams(self) -> int:
        """At most so many are open; counted anew each 1,024 streams, or where that would bind."""
        self.since += 1
        if self.since >= 1024 or self.counted + self.since >= self.local_settings.max_concurrent_streams:
            self.counted, self.since = super().open_inbound_streams, 0
        return self.counted + self.since


class GrpcServer:
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
        # as the block is decoded: past it h2 ends the connection
        self.h2.decoder.max_header_list_size = bounds.head
        self.h2.initiate_connection()
        # one connection carries many streams; their sum is bounded by what is read at once, not by this
        # window
        self.h2.increment_flow_control_window(bounds.window * 16)
        self.streams: dict[int, Stream] = {}
        self.blocked: dict[int, None] = {}  # streams with something out that their window holds back
        self.waiting = 0  # bytes of all answers not yet taken
        self.leaving = False
        self.apart = b""  # what goes out beside h2
        self.refused = 0

    # ---- in

    def receive(self, data: bytes) -> list[Any]:
        """Events of these bytes. Broken where the connection is at its end."""
        found: list[Any] = []
        try:
            events = self.h2.receive_data(data)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError, ValueError, KeyError, IndexError) as problem:
            raise Broken(str(problem) or type(problem).__name__) from None
        for event in events:
            match event:
                case h2.events.RequestReceived():
                    self._opened(event, found)
                case h2.events.DataReceived():
                    self._data(event, found)
                case h2.events.StreamEnded():
                    if (stream := self.streams.get(event.stream_id)) is not None:
                        if stream.buffer:
                            self._refuse(event.stream_id, INTERNAL, "a message that is cut off", found)
                        else:
                            stream.ended = True
                            found.append(Ended(event.stream_id))
                case h2.events.StreamReset():
                    if self._drop(event.stream_id):
                        found.append(Aborted(event.stream_id))
                case h2.events.ConnectionTerminated():
                    self.leaving = True
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
        if self.leaving:
            return self._refuse(id, UNAVAILABLE, "leaving", found, told=False)
        if given.get("grpc-encoding", "identity") != "identity":
            return self._refuse(id, UNIMPLEMENTED, "no compression is spoken here", found, told=False)
        timeout = None
        if (text := given.get("grpc-timeout")) is not None:
            if (read := _TIMEOUT.fullmatch(text)) is None:
                return self._refuse(id, INVALID_ARGUMENT, "grpc-timeout is malformed", found, told=False)
            timeout = int(read[1]) * _UNITS[read[2]]
        stream.headed = False
        found.append(Opened(id, given.get(":path", ""), timeout))

    def _data(self, event: Any, found: list[Any]) -> None:
        # what has come is dealt with at once, so it frees the window at once
        if event.flow_controlled_length:
            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        stream.buffer += event.data
        while len(stream.buffer) >= 5:
            size = int.from_bytes(stream.buffer[1:5], "big")
            if stream.buffer[0]:
                return self._refuse(event.stream_id, UNIMPLEMENTED, "no compression is spoken here", found)
            if size > self.bounds.message:
                return self._refuse(event.stream_id, RESOURCE_EXHAUSTED, "a message too large", found)
            if len(stream.buffer) < 5 + size:
                return
            octets = bytes(stream.buffer[5 : 5 + size])
            del stream.buffer[: 5 + size]
            found.append(Message(event.stream_id, octets))

    def _refuse(self, id: int, status: int, text: str, found: list[Any], told: bool = True) -> None:
        self.refused += 1
        if told:
            found.append(Aborted(id))
        self.finish(id, status, text)

    # ---- out

    def send(self, id: int, octets: bytes, token: Any = None) -> bool:
        """Whether it will go out, as far as the windows let it."""
        stream = self.streams.get(id)
        if stream is None or stream.finished is not None:
            return False
        if self.waiting + len(octets) > self.bounds.waiting or len(octets) > self.bounds.message:
            self.finish(id, RESOURCE_EXHAUSTED, "the answers are not taken", cut=True)
            return False
        stream.out.append((len(octets).to_bytes(5, "big") + octets, token))
        stream.queued += len(octets) + 5
        self.waiting += len(octets) + 5
        self.blocked[id] = None
        return True

    def finish(self, id: int, status: int, text: str = "", cut: bool = False) -> None:
        """Ends the stream with a status, after what is queued; with `cut` that is dropped."""
        stream = self.streams.get(id)
        if stream is None or stream.finished is not None:
            return
        if cut:
            self.waiting -= stream.queued
            stream.out.clear()
            stream.queued = 0
        stream.finished = status, text
        self.blocked[id] = None

    def take(self) -> tuple[bytes, list[Sent]]:
        """The bytes to write now, and which messages are whole in them."""
        sent = self._pump()
        data, self.apart = self.h2.data_to_send() + self.apart, b""
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
            except h2.exceptions.ProtocolError:  # the stream or the connection is gone meanwhile
                self._drop(id)
        return sent

    def _flush(self, id: int, stream: Stream, sent: list[Sent]) -> None:
        if not stream.headed and (stream.out or stream.finished is None):
            self.h2.send_headers(id, [(":status", "200"), ("content-type", "application/grpc")])
            stream.headed = True
        while stream.out:
            octets, token = stream.out[0]
            room = min(self.h2.local_flow_control_window(id), self.h2.max_outbound_frame_size)
            if room <= 0:
                return  # the window holds it back; an update calls again
            part = octets[:room]
            self.h2.send_data(id, part)
            stream.queued -= len(part)
            self.waiting -= len(part)
            if len(part) < len(octets):
                stream.out[0] = octets[room:], token
                continue
            stream.out.popleft()
            if token is not None:
                sent.append(Sent(token))
        self.blocked.pop(id, None)
        if stream.finished is not None:
            status, text = stream.finished
            trailers = [("grpc-status", str(status))]
            if text:
                trailers.append(("grpc-message", text))
            if not stream.headed:
                trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
            self.h2.send_headers(id, trailers, end_stream=True)
            if not stream.ended:
                # it may go on sending: an end without an error tells it to stop
                self.h2.reset_stream(id, h2.errors.ErrorCodes.NO_ERROR)
            self._drop(id)

    def _drop(self, id: int) -> bool:
        stream = self.streams.pop(id, None)
        self.blocked.pop(id, None)
        if stream is not None:
            self.waiting -= stream.queued
        return stream is not None

    def leave(self) -> None:
        """GOAWAY: what is open goes on, nothing new comes."""
        if not self.leaving:
            self.leaving = True
            # by hand: h2 takes a connection on which it has said so for ended, but its streams are to finish
            frame = GoAwayFrame(0, last_stream_id=max(self.streams, default=0), error_code=0)
            self.apart += frame.serialize()
