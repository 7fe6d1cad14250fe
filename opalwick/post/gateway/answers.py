"""Matching of HTTP answers to requests on a connection to a worker. No I/O.

An answer belongs to exactly one request on one connection. An answer that repeats the request's id belongs to
that request: all deliveries of a message have its id, so no two of them are written on one connection, unless
the earlier one has ended the message (`transport/unfinished_requests.py`). An answer without an id belongs to
the request only if no other request was ever sent on the connection and nothing had arrived on it before;
otherwise it may be a late or second answer to an earlier request. An answer that belongs to another request,
or to none, is never used as an outcome: the request may have run, and the connection is not used again.

A request whose last bytes were not written cannot have run, whatever the answer says.
"""

from __future__ import annotations

from opalwick.post.delivery_outcome import DeliveryOutcome, outcome_of_status
from opalwick.protocol.http import Message

# bytes; requests longer than this may be answered before they are completely written
EARLY_ANSWER_SIZE = 8192
WITHHELD_TAIL = 1  # bytes at the end of such a request that are not written if an answer has already arrived


def belongs(answer: Message, request_id: bytes, only_request: bool) -> bool:
    """Whether an answer is that of the request. `only_request`: no other request was written on the
    connection, and nothing had arrived before this one was written.
    """
    answered_id = answer.headers.get(b"x-request-id")
    return only_request if answered_id is None else answered_id == request_id


def verdict(answer: Message, request_id: bytes, only_request: bool, whole_request: bool) -> DeliveryOutcome:
    """The outcome proven by a complete answer. `whole_request`: the last byte of the request was written."""
    if not belongs(answer, request_id, only_request):
        return DeliveryOutcome.BROKEN if whole_request else DeliveryOutcome.NOT_SENT
    sealed = bool(answer.headers.get(b"x-seal"))
    outcome = outcome_of_status(answer.status, b"x-not-run" in answer.headers, sealed)
    if whole_request or outcome in (DeliveryOutcome.FULL, DeliveryOutcome.ABSENT):
        return outcome
    return DeliveryOutcome.NOT_SENT
