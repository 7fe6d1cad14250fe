"""Decisions a second of CPU and the time they add, against a floor: python bench/processor.py [REQUESTS].

The floor is the same program, whose conversations say "continue" to everything. One JSON line a run; then
the ratio. Both serve the same client: 32 streams at a time on one connection, frames by hand.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import hpack
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc
from hyperframe.frame import DataFrame, Frame, HeadersFrame, SettingsFrame, WindowUpdateFrame

PATH = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
ATONCE = 32


def serve(file: str, floor: bool) -> None:
    from opalwick.processor import server

    if floor:

        class Continue(server.Conversation):
            def receive(self, octets: bytes) -> None:
                message, answer = ext_proc.ProcessingRequest(), ext_proc.ProcessingResponse()
                message.ParseFromString(octets)
                kind = message.WhichOneof("request")
                getattr(answer, kind).response.SetInParent()
                self.send(answer.SerializeToString(), None)

        server.Conversation = Continue  # type: ignore[misc]
    sys.exit(server.serve(file, "WARNING"))


def message(kind: str, fields: dict[str, str]) -> bytes:
    found = ext_proc.ProcessingRequest()
    part = getattr(found, kind)
    part.end_of_stream = True
    for name, value in fields.items():
        part.headers.headers.add(key=name, raw_value=value.encode())
    octets = found.SerializeToString()
    return len(octets).to_bytes(5, "big") + octets


class Client:
    def __init__(self, port: int) -> None:
        until = time.monotonic() + 15
        while True:
            try:
                self.sock = socket.create_connection(("127.0.0.1", port), 10)
                break
            except OSError:
                if time.monotonic() > until:
                    raise
                time.sleep(0.05)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        wide = WindowUpdateFrame(0, window_increment=2**30)
        preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
        self.sock.sendall(preface + SettingsFrame(0).serialize() + wide.serialize())
        self.encoder, self.buffer, self.id = hpack.Encoder(), b"", -1

    def start(self, number: int) -> tuple[int, bytes]:
        self.id += 2
        head = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", PATH),
            (":authority", "x"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ]
        asked = message(
            "request_headers",
            {
                ":path": f"/find/{number % 500}",
                ":method": "POST",
                "x-request-id": f"r{number}",
                "x-weight-hint": "60000",
            },
        )
        return self.id, (
            HeadersFrame(self.id, self.encoder.encode(head), flags=["END_HEADERS"]).serialize()
            + DataFrame(self.id, asked).serialize()
        )

    def frames(self):
        while len(self.buffer) < 9:
            self.buffer += self.sock.recv(65536)
        frame, length = Frame.parse_frame_header(memoryview(self.buffer[:9]))
        while len(self.buffer) < 9 + length:
            self.buffer += self.sock.recv(65536)
        frame.parse_body(memoryview(self.buffer[9 : 9 + length]))
        self.buffer = self.buffer[9 + length :]
        return frame

    def run(self, requests: int) -> list[float]:
        """Seconds from each request's head to its decision."""
        begun: dict[int, float] = {}
        times, number, done, said = [], 0, 0, set()
        answer = message("response_headers", {":status": "200", "x-backend-load": "x0=3,active=1"})
        while done < requests:
            out = b""
            while len(begun) < ATONCE and number < requests:
                id, octets = self.start(number)
                begun[id], out, number = time.perf_counter(), out + octets, number + 1
            if out:
                self.sock.sendall(out)
            frame = self.frames()
            id = frame.stream_id
            if isinstance(frame, DataFrame) and id in begun and id not in said:
                times.append(time.perf_counter() - begun[id])
                said.add(id)
                self.sock.sendall(DataFrame(id, answer, flags=["END_STREAM"]).serialize())
            elif isinstance(frame, HeadersFrame) and "END_STREAM" in frame.flags and id in begun:
                del begun[id]
                done += 1
        return times


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory(pid: int) -> int:
    return next(
        int(line.split()[1])
        for line in Path(f"/proc/{pid}/status").read_text().splitlines()
        if line.startswith("VmRSS")
    )


def measure(kind: str, requests: int, folder: Path) -> dict:
    from opalwick.lab.day import read
    from opalwick.lab.settings import Ports, configuration_of

    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    (folder / "s.json").write_text(json.dumps(configuration_of(read("calm"), 0, Ports(read("calm"), 30000))))
    (folder / "p.toml").write_text(f'scheduler = "s.json"\nlisten = "127.0.0.1:{port}"\n')
    process = subprocess.Popen([sys.executable, __file__, "serve", kind, str(folder / "p.toml")])
    try:
        client = Client(port)
        client.run(1000)  # warm
        before = cpu(process.pid)
        times = sorted(client.run(requests))
        used = cpu(process.pid) - before
        held = memory(process.pid)
        # streams that are open and have asked for nothing
        streams = 10000
        octets = b""
        for _ in range(streams):
            _id, both = client.start(0)
            octets += both[: 9 + int.from_bytes(both[:3], "big")]
        client.sock.sendall(octets)
        time.sleep(4.0)
        return {
            "kind": kind,
            "requests": requests,
            "cpu_us": round(used / requests * 1e6, 1),
            "p50_ms": round(statistics.median(times) * 1e3, 2),
            "p99_ms": round(times[int(0.99 * len(times))] * 1e3, 2),
            "kb_a_stream": round((memory(process.pid) - held) / streams, 2),
        }
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        serve(sys.argv[3], sys.argv[2] == "floor")
    with tempfile.TemporaryDirectory() as kept:
        runs = []
        for kind in ("floor", "opalwick", "floor", "opalwick"):
            runs.append(measure(kind, int(sys.argv[1]) if len(sys.argv) > 1 else 5000, Path(kept)))
            print(json.dumps(runs[-1]), flush=True)
    ratios = [runs[i + 1]["cpu_us"] / runs[i]["cpu_us"] for i in (0, 2)]
    print(json.dumps({"cpu against the floor": [round(r, 2) for r in ratios]}))
