"""Whose answer came on a connection to a worker. No I/O.

An answer belongs to one request on one connection. One that repeats the request's id belongs to it. One
without an id belongs to it only if nothing else was ever asked on that connection and nothing had come on it
before: else it may be the late or second answer to an earlier request. Whatever belongs to another request,
or to nobody, is never taken for an outcome: the request may have run, and the connection is not used again.

A request whose last bytes were not written cannot have run, whatever comes back.
"""

from __future__ import annotations

from opalwick.post.verdict import DeliveryOutcome, outcome_of_status
from opalwick.protocol.http import Message

EARLY = 8192  # bytes of a request from which an answer may come before all of it is written
TAIL = 1  # bytes that are held back of such a request until nothing has come


def belongs(answer: Message, request_id: bytes, only_request: bool) -> bool:
    """`only_request`: no other was written on that connection, and nothing came before this one was."""
    said = answer.headers.get(b"x-request-id")
    return only_request if said is None else said == request_id


def verdict(answer: Message, request_id: bytes, only_request: bool, whole_request: bool) -> DeliveryOutcome:
    """What a whole answer proves. `whole_request`: the last byte of the request was written."""
    if not belongs(answer, request_id, only_request):
        return DeliveryOutcome.BROKEN if whole_request else DeliveryOutcome.NOT_SENT
    sealed = bool(answer.headers.get(b"x-seal"))
    found = outcome_of_status(answer.status, b"x-not-run" in answer.headers, sealed)
    if whole_request or found in (DeliveryOutcome.FULL, DeliveryOutcome.ABSENT):
        return found
    return DeliveryOutcome.NOT_SENT
