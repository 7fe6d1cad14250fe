"""The gRPC server against an h2 client, and the whole processor against grpcio as an independent client."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import grpc as grpcio
import h2.config
import h2.connection
import h2.events
import hpack
import pytest
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc
from helper import SETTINGS
from hyperframe.frame import HeadersFrame, PingFrame, SettingsFrame
from hypothesis import given, seed
from hypothesis import settings as tried
from hypothesis import strategies as st

from opalwick.processor import grpc
from opalwick.processor.grpc import Aborted, Bounds, ConnectionBroken, Ended, GrpcServer, Message, Opened

HEAD = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/a/b"),
    (":authority", "x"),
    ("content-type", "application/grpc"),
    ("te", "trailers"),
]


class Pair:
    """A server and an h2 client, connected without sockets."""

    def __init__(self, bounds: Bounds | None = None, client_window: int | None = None) -> None:
        bounds = Bounds() if bounds is None else bounds
        self.server = GrpcServer(bounds)
        self.client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
        self.client.initiate_connection()
        if client_window is not None:
            self.client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: client_window})
        self.sent: list = []
        self.received: list = []
        self.events: list = []
        self.turn()

    def turn(self) -> list:
        """Transfers bytes both ways until none is left; returns the server's events."""
        found = []
        while True:
            up = self.client.data_to_send()
            found += self.server.receive(up) if up else []
            down, sent = self.server.take()
            self.sent += [s.token for s in sent]
            self.received += self.client.receive_data(down) if down else []
            if not up and not down:
                self.events += found
                return found

    def open(self, *more: tuple[str, str]) -> int:
        id = self.client.get_next_available_stream_id()
        self.client.send_headers(id, HEAD + list(more))
        return id

    def status(self, id: int) -> str | None:
        for event in self.received:
            if (
                isinstance(event, (h2.events.TrailersReceived, h2.events.ResponseReceived))
                and event.stream_id == id
            ):
                for name, value in event.headers:
                    if name == "grpc-status":
                        return value
        return None

    def got(self, id: int) -> bytes:
        return b"".join(
            e.data for e in self.received if isinstance(e, h2.events.DataReceived) and e.stream_id == id
        )


def framed(payload: bytes) -> bytes:
    return len(payload).to_bytes(5, "big") + payload


def test_messages_are_reassembled_from_any_fragments() -> None:
    pair = Pair()
    id = pair.open()
    for byte in framed(b"hello") + framed(b""):
        pair.client.send_data(id, bytes([byte]))
    pair.client.end_stream(id)
    assert pair.turn() == [Opened(id, "/a/b", None), Message(id, b"hello"), Message(id, b""), Ended(id)]
    pair.server.send(id, b"answer", "token")
    pair.server.finish(id, grpc.OK)
    pair.turn()
    assert pair.got(id) == framed(b"answer") and pair.status(id) == "0" and pair.sent == ["token"]
    assert not pair.server.streams and pair.server.queued_bytes == 0


@pytest.mark.parametrize(
    "more, data, status",
    [
        ((("grpc-encoding", "gzip"),), b"", "12"),
        ((("grpc-timeout", "soon"),), b"", "3"),
        ((), b"\x01\x00\x00\x00\x01x", "12"),
        ((), b"\x00\xff\xff\xff\xff", "8"),
        ((), b"\x00\x00\x00\x00\x09cut", "13"),
    ],
)
def test_an_invalid_stream_ends_with_its_status_and_leaves_others_open(more, data, status) -> None:
    pair = Pair()
    good, bad = pair.open(), pair.open(*more)
    if data:
        pair.client.send_data(bad, data, end_stream=True)
    pair.turn()
    pair.client.send_data(good, framed(b"x"))
    assert Message(good, b"x") in pair.turn()
    assert pair.status(bad) == status and list(pair.server.streams) == [good]


def test_a_window_of_zero_blocks_answers_and_reports_none_as_sent() -> None:
    pair = Pair(Bounds(waiting=4096), client_window=0)
    id = pair.open()
    pair.turn()
    assert pair.server.send(id, b"x" * 100, "one")
    pair.turn()
    assert pair.got(id) == b"" and pair.sent == []
    pair.client.increment_flow_control_window(60, id)
    pair.turn()
    assert len(pair.got(id)) == 60 and pair.sent == []
    pair.client.increment_flow_control_window(1000, id)
    pair.turn()
    assert pair.got(id) == framed(b"x" * 100) and pair.sent == ["one"]
    # queued answers are limited: past that the stream ends
    other = pair.open()
    pair.turn()
    assert not all(pair.server.send(other, b"y" * 1000, i) for i in range(10))
    pair.turn()
    assert pair.status(other) == "8" and pair.server.queued_bytes == 0


def test_a_reset_frees_queued_answers() -> None:
    pair = Pair(client_window=0)
    id = pair.open()
    pair.turn()
    pair.server.send(id, b"x" * 100, "one")
    pair.turn()
    pair.client.reset_stream(id)
    assert pair.turn() == [Aborted(id)]
    assert pair.server.queued_bytes == 0 and not pair.server.blocked and pair.sent == []


def test_goaway_lets_streams_finish() -> None:
    pair = Pair()
    id = pair.open()
    pair.turn()
    pair.server.send_goaway()
    pair.turn()
    assert any(
        isinstance(e, h2.events.ConnectionTerminated) and e.last_stream_id == id for e in pair.received
    )
    pair.server.send(id, b"still")
    pair.server.finish(id, grpc.OK)
    data, _ = pair.server.take()
    assert framed(b"still") in data


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\x00" * 64,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x01\x00\x00\x00\x00\x00\x01x",
    ],
)
def test_invalid_bytes_end_the_connection(data: bytes) -> None:
    with pytest.raises(ConnectionBroken):
        GrpcServer(Bounds()).receive(data)


def test_a_head_over_the_limit_ends_the_connection() -> None:
    pair = Pair(Bounds(head=2048))
    pair.open(("x-long", "y" * 4000))
    with pytest.raises(ConnectionBroken):
        pair.turn()


@seed(1)
@tried(max_examples=300, deadline=None, database=None)
@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=8), st.integers(1, 500))
def test_corrupted_bytes_at_most_end_the_connection(changes: list, cut: int) -> None:
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    client.initiate_connection()
    client.send_headers(1, HEAD)
    client.send_data(1, framed(b"hello" * 20), end_stream=True)
    payload = bytearray(client.data_to_send())
    for at, value in changes:
        payload[at % len(payload)] = value
    server = GrpcServer(Bounds())
    try:
        for start in range(0, len(payload), cut):
            server.receive(bytes(payload[start : start + cut]))
            server.take()
    except ConnectionBroken:
        server.take()


# ---- the whole processor


class Processor:
    """A processor in its own process, and a grpcio client."""

    def __init__(self, tmp: Path, text: str = "") -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.place = "127.0.0.1:%d" % free.getsockname()[1]
        hosts = [
            {
                "host": name,
                "dial": f"127.0.0.1:{9000 + i}",
                "site": "east",
                "class": "small",
                "block": 0,
                "health": "ready",
                "share": 1.0,
                "born_ms": 0,
            }
            for i, name in enumerate("AB")
        ]
        (tmp / "scheduler.json").write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:1",
                    "discovery": "127.0.0.1:1",
                    "seed": "7f",
                    "settings": SETTINGS,
                    "known": {"seq": 1, "whole": True, "hosts": hosts},
                }
            )
        )
        self.file = tmp / "processor.toml"
        self.file.write_text(f'scheduler = "scheduler.json"\nlisten = "{self.place}"\n' + text)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "opalwick", "processor", str(self.file)],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[1])},
        )
        self.channel = grpcio.insecure_channel(self.place)
        grpcio.channel_ready_future(self.channel).result(15)
        self.open_stream = self.channel.stream_stream(
            "/envoy.service.ext_proc.v3.ExternalProcessor/Process",
            request_serializer=ext_proc.ProcessingRequest.SerializeToString,
            response_deserializer=ext_proc.ProcessingResponse.FromString,
        )

    def health(self) -> bytes:
        return self.channel.unary_unary("/grpc.health.v1.Health/Check", lambda b: b, lambda b: b)(
            b"", timeout=5
        )

    def stop(self) -> int:
        self.channel.close()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.process.wait(10)


class Request:
    """One stream, to which messages can be added."""

    def __init__(self, processor: Processor, id: str, path: str = "/look/7", **fields: str) -> None:
        self.todo: list = []
        self.more = threading.Condition()
        self.stream = processor.open_stream(self.messages(), timeout=10)
        self.send(
            "request_headers",
            {":path": path, ":method": "POST", "x-request-id": id}
            | {name.replace("_", "-"): value for name, value in fields.items()},
        )

    def messages(self):
        while True:
            with self.more:
                while not self.todo:
                    self.more.wait()
                message = self.todo.pop(0)
            if message is None:
                return
            yield message

    def put(self, message) -> None:
        with self.more:
            self.todo.append(message)
            self.more.notify()

    def send(self, kind: str, fields: dict[str, str], last: bool = True) -> None:
        message = ext_proc.ProcessingRequest()
        part = getattr(message, kind)
        part.end_of_stream = last
        for name, value in fields.items():
            part.headers.headers.add(key=name, raw_value=value.encode())
        self.put(message)

    def receive(self) -> dict[str, str]:
        """The header fields set by the next answer, with the status of an immediate one."""
        answer = next(self.stream)
        kind = answer.WhichOneof("response")
        if kind == "immediate_response":
            found = {"status": str(answer.immediate_response.status.code)}
            headers = answer.immediate_response.headers.set_headers
        else:
            found, headers = {}, getattr(answer, kind).response.header_mutation.set_headers
        return found | {h.header.key: h.header.raw_value.decode() for h in headers}

    def end(self) -> None:
        self.put(None)
        assert list(self.stream) == []


@pytest.fixture
def processor(tmp_path: Path):
    found = Processor(tmp_path)
    yield found
    found.stop()


def test_a_request_is_routed_to_a_worker(processor: Processor) -> None:
    assert processor.health() == b"\x08\x01"
    request = Request(processor, "r1")
    told = request.receive()
    assert told["x-envoy-original-dst-host"] in ("127.0.0.1:9000", "127.0.0.1:9001")
    assert told["x-opalwick-worker"] in ("A", "B") and 0 < int(told["x-opalwick-use-by-ms"]) <= 200
    request.send("response_headers", {":status": "200"})
    assert request.receive() == {}
    request.end()


def test_retries_and_rejections_through_grpcio(processor: Processor) -> None:
    first = Request(processor, "r1")
    worker = first.receive()["x-opalwick-worker"]
    first.send(
        "response_headers", {":status": "503", "x-unprocessed": "1", "x-backend-load": "x0=0,active=9"}
    )
    assert first.receive() == {"x-opalwick-again": "1"}
    first.end()
    second = Request(processor, "r1")
    assert second.receive()["x-opalwick-worker"] != worker
    second.send("response_headers", {":status": "200"}, last=False)
    assert second.receive() == {}
    body = ext_proc.ProcessingRequest()
    body.response_body.body, body.response_body.end_of_stream = b"x", True
    second.put(body)
    assert next(second.stream).WhichOneof("response") == "response_body"
    second.end()
    assert Request(processor, "r1").receive()["status"] == "409"
    assert Request(processor, "r2", "/nothing").receive()["status"] == "404"
    assert Request(processor, "r3", "/pay/1").receive()["status"] == "400"  # no key
    assert Request(processor, "r4", x_time_left_ms="soon").receive()["status"] == "400"
    assert Request(processor, "").receive()["status"] == "400"


def test_unknown_messages_are_skipped_and_invalid_ones_end_only_their_stream(processor: Processor) -> None:
    raw = processor.channel.stream_stream("/envoy.service.ext_proc.v3.ExternalProcessor/Process")
    # field 99, of a later version
    good = Request(processor, "r1")
    good.receive()
    with pytest.raises(grpcio.RpcError) as error:
        list(raw(iter([b"\xff\xff\xff"]), timeout=5))
    assert error.value.code() is grpcio.StatusCode.INVALID_ARGUMENT
    assert list(raw(iter([b"\x9a\x06\x01x"]), timeout=5)) == []
    with pytest.raises(grpcio.RpcError) as error:
        processor.channel.unary_unary("/x.Y/Z")(b"", timeout=5)
    assert error.value.code() is grpcio.StatusCode.UNIMPLEMENTED
    good.send("response_headers", {":status": "200"})
    assert good.receive() == {}
    good.end()


def test_sigterm_lets_streams_finish(processor: Processor) -> None:
    request = Request(processor, "r1")
    request.receive()
    processor.process.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    assert processor.process.poll() is None
    request.send("response_headers", {":status": "200"})
    assert request.receive() == {}
    request.end()
    assert processor.process.wait(5) == 0


def test_ten_thousand_streams_on_one_connection(tmp_path: Path) -> None:
    found = Processor(tmp_path)
    host, port = found.place.split(":")
    try:
        sock = socket.create_connection((host, int(port)), 10)
        path = [
            (n, "/envoy.service.ext_proc.v3.ExternalProcessor/Process") if n == ":path" else (n, v)
            for n, v in HEAD
        ]
        # frames are built directly, as an h2 client would take most of the time
        encoder, payload = hpack.Encoder(), b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SettingsFrame(0).serialize()
        for i in range(10000):
            frame = HeadersFrame(2 * i + 1, encoder.encode(path), flags=["END_HEADERS"])
            payload += frame.serialize()
        handled = PingFrame(0, b"handled?", flags=["ACK"]).serialize()
        sock.sendall(payload + PingFrame(0, b"handled?").serialize())
        answered = b""
        while handled not in answered:  # frames are processed in order, so all streams are open by then
            part = sock.recv(65536)
            assert part, "the processor has closed the connection"
            answered += part
        # one more request is answered while all streams are open
        request = Request(found, "r1")
        assert "x-opalwick-worker" in request.receive()
        assert found.process.poll() is None
        sock.close()
        request.send("response_headers", {":status": "200"})
        assert request.receive() == {}
    finally:
        found.stop()


@pytest.mark.parametrize(
    "text, told",
    [
        ('[proxies]\nuse_by = "400 ms"\n', "processor.toml:4: proxies.use_by: must lie from 10 ms to 240 ms"),
        ("[proxies]\nuse_by = 200\n", "processor.toml:4: proxies.use_by: 200 is no time with a unit"),
        ('[fields]\nidd = "x"\n', "processor.toml:4: fields.idd: Object contains unknown field"),
        ('[fields]\nid = "X Y"\n', "processor.toml:4: fields.id: 'X Y' is no field name"),
        (
            '[[rules]]\nheader = ":path"\nmatches = "("\ncategory = "look"\n',
            "processor.toml:5: rules[0].matches",
        ),
        (
            '[[rules]]\nheader = ":path"\nmatches = "x"\ncategory = "nix"\n',
            "rules[0].category: 'nix' is none of look",
        ),
        ("[limits]\nstreams = 0\n", "processor.toml:4: limits.streams: must lie from 1"),
    ],
)
def test_an_invalid_file_is_reported_with_line_and_key(text: str, told: str, tmp_path: Path) -> None:
    from opalwick.processor.configuration import read
    from opalwick.settings_file import InvalidFile

    (tmp_path / "scheduler.json").write_text(json.dumps({"discovery": "127.0.0.1:1", "settings": SETTINGS}))
    (tmp_path / "processor.toml").write_text('scheduler = "scheduler.json"\nlisten = "127.0.0.1:0"\n' + text)
    with pytest.raises(InvalidFile) as error:
        read(str(tmp_path / "processor.toml"), 0)
    assert told in str(error.value)


def test_rules_assign_the_category_by_any_field() -> None:
    import tempfile

    from opalwick.processor.configuration import Fields, File, Rule, Settings
    from opalwick.processor.ext_proc import Refused, work_item
    from opalwick.program.configuration import read as read_scheduler

    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}, file)
        file.flush()
        scheduler = read_scheduler({}, file.name)
    found = Settings(File("x", "x", Fields(), [Rule(":path", "^/v2/cards", "pay")]), scheduler, ("", 0))
    names = scheduler.names.categories
    assert (
        work_item({":path": "/v2/cards/9", "x-request-id": "r", "idempotency-key": "k"}, found, 0.0).category
        is names["pay"]
    )
    assert (
        work_item({":path": "/look", "x-request-id": "r", "x-time-left-ms": "250"}, found, 1.0).expiry_at
        == 1.25
    )
    with pytest.raises(Refused):
        work_item({":path": "/v2/other", "x-request-id": "r"}, found, 0.0)
