"""An answer is matched by delivery: all deliveries of a message have its id, and a worker may send an answer
a second time. The case of the review is described in
`docs/incidents/second-answer-to-an-earlier-delivery.md`.
"""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from gevent.server import StreamServer

from opalwick.interface import Outcome
from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.gateway.delivery import Delivery, Identification
from opalwick.post.wire_pb2 import Letter
from opalwick.protocol.http import Message
from opalwick.protocol.workers import WorkerRequest
from opalwick.transport.limits import compute_limits
from opalwick.transport.pool import Pool, PoolExhausted
from opalwick.transport.unfinished_requests import MAX_UNFINISHED

LIMITS = compute_limits(64, 64, 4096, 15.0, 0.3, 60.0, 3.0)
WORK_S = 0.06  # of the run after which a worker answers


def answer(status: int, rid: str = "m", more: str = "", body: str = "") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {rid}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


class ScriptedWorker:
    """Answers request after request by a script: a status, or (first, second answer, s between the two)."""

    def __init__(self, *script: Any) -> None:
        self.script, self.requests, self.connections = list(script), [], 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    @property
    def place(self) -> tuple[str, int, str]:
        return "127.0.0.1", self.server.server_port, "w1"

    def serve(self, sock: Any, _: Any) -> None:
        self.connections += 1
        connection = self.connections
        try:
            while head := sock.recv(65536):
                self.requests.append((connection, head.split(b" ", 1)[0].decode()))
                gevent.sleep(WORK_S)
                step = self.script.pop(0)
                first, second, pause = step if isinstance(step, tuple) else (step, b"", 0.0)
                if not second or pause:
                    sock.sendall(first)
                    gevent.spawn_later(pause, self.say, sock, second)
                else:
                    sock.sendall(first + second)
        except OSError:
            pass

    @staticmethod
    def say(sock: Any, data: bytes) -> None:
        try:
            sock.sendall(data)
        except OSError:
            pass


DONE = answer(200, more="X-Seal: s2\r\n")


@pytest.fixture
def pool() -> Pool:
    return Pool(16, 60.0, LIMITS.ring)


def deliver(pool: Pool, worker: ScriptedWorker, rid: str = "m", meet: Any = None) -> DeliveryOutcome:
    """The outcome of one delivery of a message."""
    ends: list[Any] = []
    message = Letter(mid=rid, rid=rid, method=b"POST", target=b"/x", host=b"h", body=b"x")
    report = lambda end, kept: ends.append(end)  # noqa: E731
    Delivery(worker.place, message, 0.5, lambda: True, pool, LIMITS, report, meet).run()
    [(outcome, _, _)] = ends
    return outcome


@pytest.mark.parametrize(
    "first, outcome",
    [
        (answer(500), DeliveryOutcome.FAILED),
        (answer(503, more="X-Not-Run: 1\r\n"), DeliveryOutcome.FULL),
        (answer(409, more="X-Not-Run: 1\r\n"), DeliveryOutcome.RUNNING),
        (answer(504), DeliveryOutcome.BROKEN),
    ],
    ids=["failed", "not run", "running", "unknown"],
)
def test_a_second_answer_is_not_that_of_the_next_delivery(
    pool: Pool, first: bytes, outcome: DeliveryOutcome
) -> None:
    """Guards against MIXED, a message told as dlq before it ended, and against TWICE, one sent again while it
    runs: the second answer came while the next delivery was at work on the same connection.
    """
    worker = ScriptedWorker((first, first, 0.5 * WORK_S), DONE)
    assert deliver(pool, worker) is outcome
    assert deliver(pool, worker) is DeliveryOutcome.DONE
    assert [connection for connection, _ in worker.requests] == [1, 2]


def test_another_message_uses_the_connection_of_one_that_failed(pool: Pool) -> None:
    worker = ScriptedWorker(answer(500), answer(200, "n", "X-Seal: s\r\n"), DONE)
    assert deliver(pool, worker) is DeliveryOutcome.FAILED
    assert deliver(pool, worker, "n") is DeliveryOutcome.DONE
    assert deliver(pool, worker) is DeliveryOutcome.DONE
    assert [connection for connection, _ in worker.requests] == [1, 1, 2]


def test_a_late_answer_to_another_message_leaves_open_whether_the_request_ran(pool: Pool) -> None:
    worker = ScriptedWorker((answer(500), answer(500), 0.5 * WORK_S), answer(200, "n", "X-Seal: s\r\n"))
    assert deliver(pool, worker) is DeliveryOutcome.FAILED
    assert deliver(pool, worker, "n") is DeliveryOutcome.BROKEN
    assert pool.open == 0


def test_what_comes_behind_an_answer_spoils_the_connection_but_not_the_answer(pool: Pool) -> None:
    """A second answer, or no HTTP at all, in the same read as the first."""
    for surplus in (answer(500), b"\x00\x01\r\n"):
        worker = ScriptedWorker((answer(422), surplus, 0.0))
        assert deliver(pool, worker) is DeliveryOutcome.REFUSED
        assert pool.open == 0


def test_at_the_limit_of_a_worker_the_old_connection_is_closed_for_a_new_one(pool: Pool) -> None:
    worker = ScriptedWorker(answer(500), answer(500), DONE)
    pool.max_by_address[worker.place[:2]] = 1
    outcomes = [deliver(pool, worker) for _ in range(3)]
    assert outcomes == [DeliveryOutcome.FAILED, DeliveryOutcome.FAILED, DeliveryOutcome.DONE]
    assert worker.connections == 3 and pool.open == 1
    connection = pool.acquire(worker.place[:2])  # in use
    with pytest.raises(PoolExhausted):
        pool.acquire(worker.place[:2], b"m")
    pool.close(connection)


def test_a_connection_with_too_many_unfinished_requests_is_not_used_again(pool: Pool) -> None:
    """So what it remembers is bounded, and nothing is forgotten."""
    worker = ScriptedWorker(*[answer(500, f"m{number}") for number in range(MAX_UNFINISHED + 1)])
    for number in range(MAX_UNFINISHED + 1):
        assert deliver(pool, worker, f"m{number}") is DeliveryOutcome.FAILED
    assert [connection for connection, _ in worker.requests] == [1] * MAX_UNFINISHED + [2]


def test_a_late_answer_is_not_taken_for_that_of_an_identification(pool: Pool) -> None:
    """It names the worker, as the answer to the identification does."""
    named = "X-Worker: w1\r\n"
    worker = ScriptedWorker((answer(500, more=named), answer(500, more=named), 0.5 * WORK_S), b"", b"")
    assert deliver(pool, worker) is DeliveryOutcome.FAILED
    meet = Identification("/probe", lambda name: True)
    assert deliver(pool, worker, "n", meet) is DeliveryOutcome.ABSENT
    assert [method for _, method in worker.requests] == ["POST", "GET"]


def ask_worker(pool: Pool, worker: ScriptedWorker) -> list[tuple[Any, ...]]:
    """What a request of the scheduler's own client reports."""
    message, reports = Message(0.0), list[tuple[Any, ...]]()
    message.method, message.target, message.headers = b"POST", b"/x", {b"x-correlation-id": b"m"}
    limits = LIMITS
    request = WorkerRequest(
        worker.place[:2],
        message,
        time.monotonic() + 0.5,
        lambda: True,
        pool,
        limits,
        (),
        SimpleNamespace(attempts_sent=0),
        lambda *fields: reports.append(fields),
    )
    request.run()
    return reports


def test_the_schedulers_client_takes_no_second_response_either(pool: Pool) -> None:
    """It shares the pool, and all its requests for a work item have one id."""
    turned = answer(503, more="X-Unprocessed: 1\r\n")
    done = answer(200, body='{"state":"done","result":"r"}\n')
    worker = ScriptedWorker((turned, turned, 0.5 * WORK_S), done)
    assert [report[1] for report in ask_worker(pool, worker)] == [Outcome.FULL]
    assert [report[1] for report in ask_worker(pool, worker)] == [Outcome.FINISHED]
    # a response of 200 behind the one that is owed, in the same read
    worker = ScriptedWorker((turned, done, 0.0))
    assert [report[1] for report in ask_worker(pool, worker)] == [Outcome.FULL]
    assert pool.open_to[worker.place[:2]] == 0
