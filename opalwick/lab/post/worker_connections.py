"""Connections from simulated gateways to simulated workers. Which of them a delivery uses is decided by the
production pool; which answers belong to it, by the production code that matches answers to requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opalwick.protocol.http import Message
from opalwick.transport.connection import Address
from opalwick.transport.unfinished_requests import UnfinishedRequests

if TYPE_CHECKING:
    from opalwick.lab.post.roles import Attempt
    from opalwick.lab.post.workers import Worker


class WorkerConnection:
    """One connection: the counterpart of `transport/connection.py`, as far as the pool depends on it."""

    __slots__ = (
        "address",
        "attempt",
        "closed",
        "idle_before_use",
        "idle_since",
        "unfinished",
        "unread",
        "uses",
        "worker",
    )

    def __init__(self, ring: int) -> None:
        """`ring`: ignored, as nothing is buffered."""
        self.address: Address = ("", 0)
        self.worker: Worker | None = None  # the process at its other side, once it is connected
        self.attempt: Attempt | None = None  # the delivery that waits for an answer on it
        self.uses = 0
        self.idle_since = self.idle_before_use = 0.0
        self.closed = self.unread = False  # `unread`: something came while no answer was awaited
        self.unfinished = UnfinishedRequests()

    def readable(self) -> bool:
        """Whether it has unread data or was closed."""
        return self.closed or self.unread or self.worker is None or not self.worker.there

    def close(self) -> None:
        self.closed = True


def answer_message(request_id: str, status: int, not_run: bool, seal: str) -> Message:
    """A worker's answer as the gateway's parser gives it."""
    message = Message(0.0)
    message.status = status
    message.headers = {b"x-request-id": request_id.encode("latin-1")}
    if not_run:
        message.headers[b"x-not-run"] = b"1"
    if seal:
        message.headers[b"x-seal"] = seal.encode()
    return message
