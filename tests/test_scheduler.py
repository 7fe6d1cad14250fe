"""The complete scheduler on loopback, with fakes for a worker and for service discovery."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace

import gevent
import gevent.socket
from gevent.event import Event
from helper import SETTINGS, StubServer, chunked, door, logged, post, wait_until
from test_discovery import entry, told

from opalwick.program.configuration import BadConfiguration, Configuration, read
from opalwick.program.scheduler import Scheduler
from opalwick.protocol.listener import Listener

READY = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
DONE = chunked('{"id":"c1","state":"started"}', '{"id":"c1","state":"done","result":"7"}')


def configuration(tmp_path, worker: StubServer | None = None, there: StubServer | None = None, **changes):
    known = [entry("a", dial="%s:%d" % worker.address, site="east")] if worker else []
    given = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "%s:%d" % (there or StubServer()).address,
        "seed": "7f",
        "limits": {"memory_mb": 192, "sockets": 256},
        "peers": ["127.0.0.1:1", "127.0.0.1:2"],
        "peer_listen": "127.0.0.1:0",
        "settings": SETTINGS,
        "known": {"seq": 41, "whole": True, "hosts": known},
    } | changes
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps({key: value for key, value in given.items() if value is not None}))
    return read({"BALANCER_CONFIG": str(path)})


class Served:
    def __init__(self, tmp_path, *script: bytes | None, **changes) -> None:
        self.worker, self.discovery = StubServer(*script), StubServer(told(41), None)
        self.configure = lambda **again: configuration(
            tmp_path, self.worker, self.discovery, **changes | again
        )
        self.start(self.configure())

    def start(self, found: Configuration, closing: float = 0.5) -> None:
        self.stop_asked, self.again = Event(), Event()
        self.scheduler = Scheduler(found, self.stop_asked, self.again, lambda: self.found())
        self.scheduler.limits = replace(self.scheduler.limits, accept_after_sigterm=closing)
        self.running = gevent.spawn(self.scheduler.run)
        gevent.sleep(0.02)

    def ask(self, data: bytes) -> gevent.socket.socket:
        sock = gevent.socket.create_connection(self.scheduler.address, 2.0)
        sock.sendall(data)
        gevent.sleep(0.02)
        return sock

    def stop(self) -> None:
        self.stop_asked.set()
        self.running.join(5.0)
        assert self.running.successful()


def first(sock: gevent.socket.socket) -> str:
    lines = sock.recv(65536).decode().split("\r\n")
    return " | ".join([lines[0], *(line for line in lines[1:] if line and not line.startswith("Content-"))])


def test_a_work_item_goes_through(tmp_path) -> None:
    served = Served(tmp_path, DONE)
    assert first(served.ask(post())) == "HTTP/1.1 200 OK | 7"
    assert (served.scheduler.open_count, served.scheduler.body_bytes, served.scheduler.attempts) == (0, 0, {})
    served.stop()


def test_after_sigterm_new_requests_are_accepted_and_all_are_finished(tmp_path) -> None:
    served = Served(
        tmp_path, chunked('{"id":"c1","state":"started"}', last=False)[:-1], DONE.replace(b"c1", b"c2")
    )
    waits = served.ask(post(X_Time_Left_Ms="1200"))
    idle, kept = served.ask(b""), served.ask(READY)
    trace = [first(kept)]
    served.stop_asked.set()
    gevent.sleep(0.05)
    kept.sendall(READY)
    trace += [first(kept), first(served.ask(post(X_Correlation_Id="c2")))]
    gevent.sleep(0.6)
    trace += [f"idle {idle.recv(9)}", f"running {served.running.ready()}", first(waits)]
    served.running.join(3.0)
    assert served.running.successful()
    assert trace == [
        "HTTP/1.1 200 OK",
        "HTTP/1.1 503 Service Unavailable",
        "HTTP/1.1 200 OK | 7",
        "idle b''",
        "running False",
        "HTTP/1.1 503 Service Unavailable | Retry-After: 2 | Connection: close",
    ]


def test_unfinished_requests_are_answered_before_the_process_is_killed(tmp_path) -> None:
    served = Served(tmp_path, None)
    served.scheduler.limits = replace(served.scheduler.limits, exit_after_sigterm=0.8)
    waits = served.ask(post("/pay/1", X_Time_Left_Ms="4000"))
    half = served.ask(post()[:40])  # never complete, so never accepted
    served.stop_asked.set()
    gevent.sleep(0.7)
    began = served.running.ready()
    assert (began, first(waits)) == (False, "HTTP/1.1 504 Gateway Timeout | Connection: close")
    served.running.join(0.5)
    assert served.running.successful()
    half.close()


def test_a_failing_input_stops_neither_the_scheduler_nor_other_requests(tmp_path) -> None:
    served = Served(tmp_path, DONE)
    served.scheduler.put("nonsense")
    assert first(served.ask(post())) == "HTTP/1.1 200 OK | 7"
    served.stop()


def test_at_the_connection_limit_idle_clients_are_closed_and_busy_ones_are_not(tmp_path) -> None:
    served = Served(tmp_path, DONE, DONE, DONE, limits={"sockets": 40})
    most = served.scheduler.limits.clients
    kept = served.ask(post())  # a regular client, idle for longer than the others
    first(kept)
    kept.sendall(post())
    trace = [first(kept)]
    idle = [served.ask(READY) for _ in range(most - 1)]
    assert [first(sock) for sock in idle] == ["HTTP/1.1 200 OK"] * (most - 1)
    gevent.sleep(0.1)
    busy = [served.ask(post()[:40]) for _ in range(most)]
    assert [sock.recv(9) for sock in idle] == [b""] * (most - 1)
    trace.append(first(served.ask(post())))
    busy[-1].close()  # the one in the spare slot
    kept.sendall(READY)
    trace.append(first(kept))
    gevent.sleep(1.0)  # those have been incomplete for too long: they are closed as well
    trace.append(first(served.ask(post())))
    assert trace == [
        "HTTP/1.1 200 OK | 7",
        "HTTP/1.1 503 Service Unavailable | Retry-After: 1 | Connection: close",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK | 7",
    ]
    for sock in busy:
        sock.close()
    served.stop()


def test_idle_connections_after_one_request_do_not_use_up_the_limit(tmp_path) -> None:
    """Clients that send one request and stay connected took up the connection limit, so that a fifth of the
    regular clients could not connect.
    """
    served = Served(tmp_path, *[DONE] * 8, limits={"sockets": 40})
    usual = served.ask(post())
    stay = [served.ask(post()) for _ in range(served.scheduler.limits.active_clients)]
    gevent.sleep(0.4)
    for _ in range(2):
        first(usual)
        usual.sendall(post())
    trace = [first(usual), stay[0].recv(99)[:12].decode(), stay[0].recv(9).decode()]
    assert trace == ["HTTP/1.1 200 OK | 7", "HTTP/1.1 200", ""]
    assert len(served.scheduler.door.conversations) == served.scheduler.limits.active_clients
    served.stop()


def test_an_address_that_is_still_in_use_is_waited_for(tmp_path) -> None:
    before = door()
    served = Served(tmp_path, DONE, listen="%s:%d" % before.getsockname())
    gevent.sleep(0.1)
    before.close()
    gevent.sleep(0.1)
    assert first(served.ask(post())) == "HTTP/1.1 200 OK | 7"
    served.stop()


def test_a_duplicate_of_an_open_id_affects_neither_the_first_client_nor_the_worker(tmp_path) -> None:
    """It would reach a worker as a duplicate of the first, and the clients could get each other's answers."""
    served = Served(tmp_path, None, None)
    one, two = served.ask(post()), served.ask(post("/look/8"))
    trace = [first(two), f"{len(served.worker.requests)} heard"]
    one.close()
    gevent.sleep(0.02)
    served.ask(post("/look/8"))  # the id may be used again
    trace.append(f"{len(served.worker.requests)} heard")
    assert trace == [
        "HTTP/1.1 409 Conflict | Connection: close | a work item with this id is open",
        "1 heard",
        "2 heard",
    ]
    served.stop()


def test_a_client_error_from_a_worker_is_not_retried(tmp_path) -> None:
    """It was sent as often as the limit allows and then deferred, so that the client sent it again."""
    served = Served(tmp_path, b"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", DONE)
    assert first(served.ask(post())) == "HTTP/1.1 400 Bad Request | turned away by a worker"
    assert (len(served.worker.requests), served.scheduler.reducer.items) == (1, {})
    assert first(served.ask(post())) == "HTTP/1.1 200 OK | 7"
    served.stop()


class Early:
    """An event whose timeouts expire too early."""

    def clear(self) -> None:
        pass

    def wait(self, left: float) -> None:
        gevent.sleep(0.5 * left)


def test_a_timer_that_fires_early_is_not_lost(tmp_path) -> None:
    """The balancer ignores a wake before its time and does not request another."""
    served = Served(tmp_path, None)
    woken = []
    served.scheduler.put = lambda kind, *fields: woken.append(time.monotonic())
    served.scheduler.check_stall = lambda now: None  # after a stall of this process it is woken at once, too
    at = time.monotonic() + 0.1
    served.scheduler.wake_at = at
    rearmed, served.scheduler.timer_changed = served.scheduler.timer_changed, Early()
    rearmed.set()
    gevent.sleep(0.3)
    assert woken and woken[0] >= at
    served.stop()


def test_errors_name_the_invalid_key(tmp_path) -> None:
    odd = {
        "name": 7,
        "listen": "here",
        "discovery": "127.0.0.1:0",
        "seed": "xyz",
        "peers": ["a:1", "b"],
        "peer_listen": 5,
        "limits": {"sockets": "many"},
        "settings": None,
        "known": [],
    }
    messages = []
    for key, value in odd.items():
        try:
            configuration(tmp_path, **{key: value})
        except BadConfiguration as problem:
            messages.append(str(problem))
    for path, value in {"ceilings": {}, "categories": [{"name": "x"}], "discovery": "rumour"}.items():
        try:
            configuration(tmp_path, settings=SETTINGS | {path: value})
        except BadConfiguration as problem:
            messages.append(str(problem))
    try:
        read({})
    except BadConfiguration as problem:
        messages.append(str(problem))
    assert messages == [
        "name is malformed: 7 is not str",
        "listen is malformed: not an address: 'here'",
        "discovery is malformed: not an address: '127.0.0.1:0'",
        "seed is malformed: 'xyz' is not hexadecimal",
        "peers.1 is malformed: not an address: 'b'",
        "peer_listen is malformed: not an address: 5",
        "limits.sockets is malformed: 'many' is not a number of 1 or more",
        "settings is missing",
        "known is malformed: [] is not dict",
        "settings: setting ceilings.max-hand-offs is missing",
        "settings: setting categories.0.expiry-us is missing",
        "settings: setting discovery is malformed: 'rumour'",
        "BALANCER_CONFIG is missing",
    ]


# serves as `run` does, and records what the target platform refuses: other programs, forks, sendfile and
# splice, sockets of other families
WATCHED = """
import os, runpy, socket, sys
seen = open(sys.argv.pop(1), "w", 1)
def hook(event, args):
    if event.startswith(("os.fork", "os.posix_spawn", "os.exec", "os.system", "subprocess.")):
        print(event, file=seen)
    elif event == "socket.__new__":
        print("socket", socket.AddressFamily(args[1]).name, file=seen)
def refused(name):
    def call(*args):
        print(name, file=seen)
        raise OSError(38, name)
    return call
for name in ("sendfile", "splice"):
    setattr(os, name, refused(name))
sys.addaudithook(hook)
runpy.run_module("opalwick", run_name="__main__")
"""


def test_the_program_serves_and_exits_on_sigterm(tmp_path) -> None:
    there, path = StubServer(told(41), None), tmp_path / "configuration.json"
    with door() as free:
        place = free.getsockname()
    configuration(tmp_path, StubServer(), there, listen="%s:%d" % place)
    running = subprocess.Popen(
        [sys.executable, "-c", WATCHED, str(tmp_path / "seen"), "serve"],
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )
    sock = None
    for _ in range(200):
        gevent.sleep(0.05)
        try:
            sock = gevent.socket.create_connection(place)
            break
        except OSError:
            continue
    assert sock is not None
    sock.sendall(READY)
    assert first(sock) == "HTTP/1.1 200 OK"
    running.send_signal(signal.SIGHUP)  # which terminates a process by default
    gevent.sleep(0.1)
    sock.sendall(READY)
    assert first(sock) == "HTTP/1.1 200 OK"
    running.send_signal(signal.SIGTERM)
    gevent.sleep(2.0)  # a client that has no other scheduler is still served
    sock.sendall(READY)
    assert first(sock) == "HTTP/1.1 503 Service Unavailable"
    for _ in range(30):
        gevent.sleep(0.05)
        if running.poll() is not None:
            break
    assert running.wait(1.0) == 0
    seen = set((tmp_path / "seen").read_text().splitlines())
    # the Unix socket is that of the handover; no successor has to connect to it
    assert "socket AF_INET" in seen and seen <= {"socket AF_INET", "socket AF_UNIX"}


def test_a_restart_does_not_import_the_command_line_parser() -> None:
    """The import took a third of the time until the scheduler was ready, while its clients were rejected."""
    loads = "import sys, opalwick.program.service; print('typer' in sys.modules, 'pydantic' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", loads], capture_output=True).stdout == b"False False\n"


def test_connections_in_the_backlog_at_the_end_of_listening_are_accepted(tmp_path, monkeypatch) -> None:
    """The kernel has accepted them: closing the listener would reset them."""
    monkeypatch.setattr(Listener, "accept", lambda self: gevent.sleep(5.0))
    served = Served(tmp_path, DONE)
    served.scheduler.limits = replace(served.scheduler.limits, accept_after_sigterm=0.1)
    served.stop_asked.set()
    late = served.ask(post())
    assert first(late) == "HTTP/1.1 200 OK | Connection: close | 7"
    served.running.join(2.0)
    assert served.running.successful()


def test_sighup_moves_a_pending_watch_and_keeps_the_rest(tmp_path) -> None:
    """The old address never responds; an invalid file and settings that need a restart change nothing."""
    served = Served(tmp_path, DONE, DONE)
    there = StubServer(told(42, entry("b", dial="127.0.0.1:9")), None)
    with logged("reload_configuration") as messages:
        other = {"name": "n9", "seed": "80", "limits": {"memory_mb": 64, "sockets": 256}}
        for found in (
            lambda: read({"BALANCER_CONFIG": str(tmp_path / "none")}),
            lambda: served.configure(**other),
            lambda: served.configure(discovery="%s:%d" % there.address),
        ):
            lines, served.found = len(messages), found
            served.again.set()
            wait_until(lambda lines=lines: len(messages) > lines)
            gevent.sleep(0.05)
        wait_until(lambda: len(there.requests) == 2)
        gevent.sleep(0.05)
    assert [text.split(" HTTP")[0] for text in there.requests] == [
        "GET /api/targets?since=41&timeout_ms=1",
        "GET /api/targets?since=42&timeout_ms=10000",
    ]
    assert len(served.discovery.requests) == 2 and sorted(served.scheduler.reducer.workers) == ["a", "b"]
    assert first(served.ask(post())) == "HTTP/1.1 200 OK | 7"
    served.stop()
    assert messages == [
        "the configuration was read again and is not used: BALANCER_CONFIG cannot be read: [Errno 2] No such "
        f"file or directory: '{tmp_path}/none'",
        "changed, but not applied before a restart: limits.memory_mb, name",
        "discovery is at %s:%d now" % there.address,
    ]
