"""A stand-in proxy on sockets: clients' HTTP in front, workers behind, a processor beside.

It follows the published behaviour of such proxies: one gRPC stream per try, on which the headers of the
request and of the response are sent to the processor; an immediate response is passed to the client; a
further try is made only where the response has the header field for it. Without its processor it fails closed
for requests, and lets responses pass.
"""

from __future__ import annotations

import socket as plain
import time
import zlib
from typing import Any

import gevent
import h2.config
import h2.connection
import h2.events
import h2.exceptions
import httptools
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc
from gevent import socket
from gevent.queue import Empty, Queue

from opalwick.lab.sockets.wire import LIMITS, Address, Served, Server
from opalwick.protocol.http import Malformed, Message, Parser

PATH = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
MESSAGE_TIMEOUT = 1.0  # seconds that the processor may take for a message
IDLE_LIMIT = 4.0  # seconds that an idle connection to a worker is kept: well under the workers' own limit
MAX_TRIES = 5  # per request, as retry policies bound them


class Unavailable(Exception):
    """The processor, or its stream, is not available."""


class Stream:
    """One gRPC stream to the processor."""

    def __init__(self, client: ProcessorClient, id: int) -> None:
        self.client, self.id = client, id
        self.buffer = b""
        self.received: Queue = Queue()

    def request_reply(self, message: Any) -> Any:
        """Sends a message and returns its answer.

        Raises:
            Unavailable: where none arrives in time, or the stream has ended.
        """
        data = message.SerializeToString()
        self.client.send(self.id, len(data).to_bytes(5, "big") + data)
        try:
            result = self.received.get(timeout=MESSAGE_TIMEOUT)
        except Empty:
            raise Unavailable("no answer in time") from None
        if result is None:
            raise Unavailable("the stream has ended")
        return result

    def data(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 5:
            size = int.from_bytes(self.buffer[1:5], "big")
            if len(self.buffer) < 5 + size:
                return
            answer = ext_proc.ProcessingResponse()
            answer.ParseFromString(self.buffer[5 : 5 + size])
            self.buffer = self.buffer[5 + size :]
            self.received.put(answer)


class ProcessorClient:
    """One connection to a processor, for all streams of a proxy; it reconnects when it has ended."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.sock: Any = None
        self.streams: dict[int, Stream] = {}
        self.going_away = False  # GOAWAY has been received on this connection

    def open(self) -> Stream:
        if self.going_away:
            raise Unavailable("the processor is shutting down")
        if self.sock is None:
            self.connect()
        try:
            id = self.h2.get_next_available_stream_id()
            self.h2.send_headers(
                id,
                [
                    (":method", "POST"),
                    (":scheme", "http"),
                    (":path", PATH),
                    (":authority", "processor"),
                    ("content-type", "application/grpc"),
                    ("te", "trailers"),
                ],
            )
        except h2.exceptions.ProtocolError as problem:
            self.disconnect()
            raise Unavailable(str(problem)) from None
        stream = self.streams[id] = Stream(self, id)
        return stream

    def connect(self) -> None:
        sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
        sock.settimeout(0.5)
        try:
            sock.connect(self.address)
        except OSError as problem:
            raise Unavailable(str(problem)) from None
        sock.settimeout(None)
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        self.sock, self.streams = sock, {}
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
        self.h2.initiate_connection()
        gevent.spawn(self.read, sock, self.h2)

    def send(self, id: int, data: bytes) -> None:
        try:
            self.h2.send_data(id, data)
            self.flush()
        except (h2.exceptions.ProtocolError, OSError) as problem:
            raise Unavailable(str(problem)) from None

    def end(self, stream: Stream, orderly: bool) -> None:
        if self.streams.pop(stream.id, None) is not None and self.sock is not None:
            try:
                if orderly:
                    self.h2.end_stream(stream.id)
                else:
                    self.h2.reset_stream(stream.id, 8)
                self.flush()
            except (h2.exceptions.ProtocolError, OSError):
                pass

    def flush(self) -> None:
        if self.sock is None:
            raise OSError("no connection")
        if data := self.h2.data_to_send():
            self.sock.sendall(data)

    def read(self, sock: Any, connection: Any) -> None:
        try:
            while data := sock.recv(65536):
                for event in connection.receive_data(data):
                    stream = self.streams.get(getattr(event, "stream_id", 0))
                    if isinstance(event, h2.events.DataReceived):
                        connection.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                        if stream is not None:
                            stream.data(event.data)
                    elif isinstance(event, (h2.events.StreamReset, h2.events.StreamEnded)):
                        if stream is not None:
                            stream.received.put(None)
                    elif isinstance(event, h2.events.ConnectionTerminated):
                        # GOAWAY: open streams finish; a new stream would be refused, so it fails here
                        self.going_away = True
                if self.sock is sock and (pending := connection.data_to_send()):
                    sock.sendall(pending)
        except (OSError, h2.exceptions.ProtocolError):
            pass
        if self.sock is sock:
            self.disconnect()

    def disconnect(self) -> None:
        sock, self.sock, self.going_away = self.sock, None, False
        if sock is not None:
            sock.close()
        streams, self.streams = self.streams, {}
        for stream in streams.values():
            stream.received.put(None)


class Response:
    """An HTTP response: status, header fields and body."""

    def __init__(self, status: int, fields: dict[bytes, bytes], body: bytes = b"") -> None:
        self.status, self.fields, self.body = status, fields, body


class ProxyServer:
    """The proxy's listener.

    `processors`: their addresses; all tries of a request go to the same one, by its id, as it has the state
    of the first try. `hedge`: seconds without a response until a second try starts in parallel; 0: none.
    `fail_open`: workers to which it sends of its own choice without a processor.
    """

    def __init__(
        self, port: int, processors: list[Address], hedge: float = 0.0, fail_open: list[str] | None = None
    ) -> None:
        self.clients = [ProcessorClient(address) for address in processors]
        self.hedge, self.fail_open = hedge, fail_open
        self.idle_connections: dict[str, list[tuple[float, Any]]] = {}
        self.server = Server(port, self.request, self.ended)
        self.failed_closed = self.failed_open = self.passed = self.tries = self.unused = self.hedged = 0

    def close(self) -> None:
        self.server.die()
        for client in self.clients:
            client.disconnect()

    def request(self, served: Served, message: Message) -> None:
        served.in_progress = gevent.spawn(self.handle, served, message)

    def ended(self, served: Served) -> None:
        if served.in_progress is not None:
            served.in_progress.kill(block=False)

    def handle(self, served: Served, message: Message) -> None:
        response = self.respond(message)
        served.in_progress = None
        lines = [f"HTTP/1.1 {response.status} x", f"Content-Length: {len(response.body)}"]
        if b"retry-after" in response.fields:
            lines.append("Retry-After: " + response.fields[b"retry-after"].decode())
        served.say("\r\n".join([*lines, "", ""]).encode() + response.body)

    def respond(self, message: Message) -> Response:
        if not self.hedge:
            return self.with_retries(message)
        first = gevent.spawn(self.with_retries, message)
        pending = [first]
        try:
            first.join(self.hedge)
            if not first.ready():
                self.hedged += 1
                pending.append(gevent.spawn(self.single_try, message))
            while True:
                # the first good response is the answer; after a refused hedge the first try is awaited
                completed = [each for each in pending if each.ready()]
                good = [each for each in completed if each.value is not None and each.value.status < 500]
                if good or len(completed) == len(pending):
                    return (good or [first])[0].value or Response(503, {})
                gevent.wait([each for each in pending if not each.ready()], count=1)
        finally:
            for each in pending:
                each.kill(block=False)

    def with_retries(self, message: Message) -> Response:
        """Repeats tries as long as the processor has a worker for the request."""
        response = Response(503, {})
        for _ in range(MAX_TRIES):
            response, again = self.try_once(message)
            if not again:
                break
        return response

    def single_try(self, message: Message) -> Response:
        return self.try_once(message)[0]

    def try_once(self, message: Message) -> tuple[Response, bool]:
        self.tries += 1
        id = message.headers.get(b"x-correlation-id", b"")
        client = self.clients[zlib.crc32(id) % len(self.clients)]
        try:
            stream = client.open()
        except Unavailable:
            return self.without_processor(message), False
        orderly = False
        try:
            result = self.exchange(stream, message)
            orderly = True
            return result
        finally:
            client.end(stream, orderly)

    def without_processor(self, message: Message) -> Response:
        """Response without a processor: 503, or with `fail_open` that of a worker."""
        if self.fail_open:
            self.failed_open += 1
            address = self.fail_open[
                zlib.crc32(message.headers.get(b"x-correlation-id", b"")) % len(self.fail_open)
            ]
            return self.send(address, message, time.monotonic() + 1.0)
        self.failed_closed += 1
        return Response(503, {})

    def exchange(self, stream: Stream, message: Message) -> tuple[Response, bool]:
        processing_request = ext_proc.ProcessingRequest()
        processing_request.request_headers.end_of_stream = False
        fields = {b":path": message.target, b":method": message.method, **message.headers}
        fields[b"x-request-id"] = message.headers.get(b"x-correlation-id", b"")
        for name, value in fields.items():
            processing_request.request_headers.headers.headers.add(
                key=name.decode("latin-1"), raw_value=value
            )
        try:
            reply = stream.request_reply(processing_request)
        except Unavailable:
            return self.without_processor(message), False
        at = time.monotonic()
        if reply.HasField("immediate_response"):
            return self.immediate(reply.immediate_response), False
        where = {
            h.header.key: h.header.raw_value.decode()
            for h in reply.request_headers.response.header_mutation.set_headers
        }
        use_by = at + int(where["x-opalwick-use-by-ms"]) / 1e3
        response = self.send(where["x-envoy-original-dst-host"], message, use_by)
        processing_request = ext_proc.ProcessingRequest()
        processing_request.response_headers.end_of_stream = True
        headers = processing_request.response_headers.headers.headers
        headers.add(key=":status", raw_value=str(response.status).encode())
        for name, value in response.fields.items():
            headers.add(key=name.decode("latin-1"), raw_value=value)
        try:
            reply = stream.request_reply(processing_request)
        except Unavailable:
            self.passed += 1
            return response, False
        if reply.HasField("immediate_response"):
            return self.immediate(reply.immediate_response), False
        set_names = [h.header.key for h in reply.response_headers.response.header_mutation.set_headers]
        return response, "x-opalwick-again" in set_names

    @staticmethod
    def immediate(reply: Any) -> Response:
        fields = {h.header.key.encode(): h.header.raw_value for h in reply.headers.set_headers}
        return Response(reply.status.code, fields)

    def send(self, address: str, message: Message, use_by: float) -> Response:
        """Sends to the worker; returns its response, or the proxy's own for a failure to get one."""
        not_sent = Response(503, {b"x-opalwick-not-sent": b"1"})
        time_left = float(message.headers.get(b"x-time-left-ms", b"5000")) / 1e3
        idle_connections = self.idle_connections.setdefault(address, [])
        sock = None
        while idle_connections and sock is None:
            since, idle = idle_connections.pop()
            if time.monotonic() - since < IDLE_LIMIT:
                sock = idle
            else:
                idle.close()
        try:
            if sock is None:
                host, port = address.rsplit(":", 1)
                sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
                sock.settimeout(max(0.001, use_by - time.monotonic()))
                sock.connect((host, int(port)))
                sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        except OSError:
            if sock is not None:
                sock.close()
            return not_sent
        if time.monotonic() > use_by:
            sock.close()
            self.unused += 1
            return not_sent
        completed: list[Message] = []
        reusable = False
        try:
            lines = [b"POST " + message.target + b" HTTP/1.1", b"Host: worker", b"X-Plain: 1"]
            for name in (b"x-correlation-id", b"idempotency-key", b"x-time-left-ms"):
                if name in message.headers:
                    lines.append(name + b": " + message.headers[name])
            lines += [b"Content-Length: %d" % len(message.body), b"", message.body]
            sock.settimeout(time_left)
            sock.sendall(b"\r\n".join(lines))
            parser = Parser(httptools.HttpResponseParser, LIMITS, completed.append)
            while not completed:
                data = sock.recv(65536)
                if not data:
                    return Response(502, {})
                parser.feed(memoryview(data))
            reusable = completed[0].keep_alive
        except TimeoutError:
            return Response(504, {})
        except (OSError, Malformed):
            return Response(502, {})
        finally:
            if reusable:
                idle_connections.append((time.monotonic(), sock))
            else:
                sock.close()
        names = (b"x-unprocessed", b"x-backend-load")
        fields = {name: completed[0].headers[name] for name in names if name in completed[0].headers}
        return Response(completed[0].status, fields, completed[0].body)
