"""Lookup of messages by name for clients of a gateway, which queries one store after the other.

A name that cannot belong to any message is answered with 404 at once (`names.parse_name`). Any other name
gets 404 only if every store that the name hints at is known, and all stores have replied that they do not
have the message. If some store could not tell or did not answer in time, the answer is 503. No socket and no
clock.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, Protocol

from opalwick.post.gateway.http_api import RETRY_AFTER, answer_error, header
from opalwick.post.residency.guard import Guard
from opalwick.post.message_state import CLIENT_STATES, FOUND, MessageState
from opalwick.post.names import ParsedName, parse_name
from opalwick.post.wire_pb2 import Ask, Node, Told
from opalwick.protocol.server_connection import Call

QUERY_TIMEOUT = 0.35  # s that one store has for its answer: clients wait 2 s for theirs
MAX_LOOKUPS = 256  # lookups in progress at once


class Gateway(Protocol):
    """What a lookup needs of its gateway."""

    now: float  # s, the gateway's own clock
    zone: str
    guard: Guard
    counts: dict[str, int]

    @property
    def links(self) -> Mapping[str, Any]: ...

    def nodes(self, role: str) -> list[Node]: ...

    def call_on(self, node: str, kind: str, message: Any) -> None: ...

    def trace(self, number: int, **fields: Any) -> None: ...


class Lookup:
    """One lookup by a client."""

    __slots__ = ("asked", "body", "call", "deadline", "left", "name", "pending", "sure")

    def __init__(
        self, call: Call, name: str, asked: ParsedName, body: bool, left: list[str], sure: bool
    ) -> None:
        """`name`: as the client wrote it. `asked`: the same, parsed. `body`: the message's body is requested,
        not its state. `left`: stores not queried yet. `sure`: no store that may have the message has failed
        to tell.
        """
        self.call, self.name, self.asked = call, name, asked
        self.body, self.left, self.sure = body, left, sure
        self.pending: Told | None = None  # the answer of a store that has no outcome of the message
        self.deadline = 0.0  # s: by when the store being queried must have answered


class Lookups:
    """All lookups in progress at a gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.last_query = 0  # number of the last query sent to a store; numbers are never reused
        self.queries: dict[int, Lookup] = {}  # sent and not answered, by number

    def begin(self, call: Call, name: str, body: bool) -> None:
        """Starts a client's lookup of a message's state, or with `body` of its body."""
        gateway = self.gateway
        gateway.counts["asked_back"] += 1
        if len(self.queries) >= MAX_LOOKUPS:
            self.answer_error(call, name, body, 503, "too many lookups in progress")
            return
        asked = parse_name(name, header(call.message, b"host").decode("latin-1"))
        if asked is None:
            self.answer_error(call, name, body, 404, "no such message")
            return
        stores = gateway.nodes("depot")
        hinted = {store.node for store in stores if asked.hints_at(store.node)}
        # stores in the gateway's own zone first: traffic between zones is expensive
        stores.sort(
            key=lambda store: (
                store.node not in hinted,
                store.node not in gateway.links,
                store.zone != gateway.zone,
                store.node,
            )
        )
        nodes = [store.node for store in stores]
        self.query_next(Lookup(call, name, asked, body, nodes, asked.all_stores_in(nodes)))

    def query_next(self, lookup: Lookup) -> None:
        """Queries the next store, or answers the client if none is left."""
        if lookup.left:
            self.last_query += 1
            lookup.deadline = self.gateway.now + QUERY_TIMEOUT
            self.queries[self.last_query] = lookup
            asked = lookup.asked
            query = Ask(call=self.last_query, mid=asked.mid, body=lookup.body, tags=asked.tags)
            self.gateway.call_on(lookup.left.pop(0), "ask", query)
        elif lookup.pending is not None:
            self.answer(lookup, lookup.pending)
        elif lookup.sure:
            self.answer_error(lookup.call, lookup.name, lookup.body, 404, "no such message")
        else:
            reason = "some stores that may have the message did not answer"
            self.answer_error(lookup.call, lookup.name, lookup.body, 503, reason)

    def handle_reply(self, reply: Told) -> None:
        """A store's reply. One that is too late is ignored, as its query number is no longer in use."""
        lookup = self.queries.pop(reply.call, None)
        if lookup is None:
            return
        if reply.state not in FOUND:
            lookup.sure = lookup.sure and reply.state == MessageState.UNKNOWN
            self.query_next(lookup)
        elif self.may_have_ended(lookup, reply):
            lookup.pending = reply
            self.query_next(lookup)
        else:
            self.answer(lookup, reply)

    @staticmethod
    def may_have_ended(lookup: Lookup, reply: Told) -> bool:
        """Whether to query another store too, which may have an outcome that this one has not received."""
        first = lookup.pending is None and lookup.asked.store_count > 1
        return first and reply.state == MessageState.PENDING and not lookup.body

    def tick(self) -> None:
        """Skips stores that have not answered in time."""
        now = self.gateway.now
        for number in [number for number, lookup in self.queries.items() if lookup.deadline <= now]:
            lookup = self.queries.pop(number)
            lookup.sure = False
            self.query_next(lookup)

    # ---- answers

    def answer(self, lookup: Lookup, reply: Told) -> None:
        if lookup.body:
            self.answer_body(lookup, reply)
            return
        state = MessageState(reply.state)
        answer = {"state": CLIENT_STATES[state]}
        if state is MessageState.COMPLETE:
            answer["seal"] = reply.seal
        self.count_found(lookup, answer["state"])
        lookup.call.answer(200, json.dumps(answer).encode(), "Content-Type: application/json")

    def answer_body(self, lookup: Lookup, reply: Told) -> None:
        guard = self.gateway.guard
        if reply.abroad or (reply.home and not guard.permits_body(reply.home, guard.own_country)):
            answer_error(
                lookup.call,
                421,
                "the body is available only in the message's country of residency",
                RETRY_AFTER,
            )
            return
        if reply.state == MessageState.COMPLETE:
            self.answer_error(lookup.call, lookup.name, True, 404, "complete: its body is no longer stored")
            return
        self.count_found(lookup, "bytes")
        lookup.call.answer(200, reply.body, "Content-Type: application/octet-stream")

    def count_found(self, lookup: Lookup, what: str) -> None:
        self.gateway.counts["asked_found"] += 1
        self.trace_answer(lookup.call, lookup.name, lookup.body, 200, what)

    def answer_error(self, call: Call, name: str, body: bool, status: int, reason: str) -> None:
        """404: there is certainly no such message. 503: that could not be determined."""
        self.gateway.counts["asked_unknown" if status == 404 else "asked_unsure"] += 1
        self.trace_answer(call, name, body, status, reason)
        answer_error(call, status, reason, *([RETRY_AFTER] if status == 503 else []))

    def trace(self, number: int, **fields: Any) -> None:
        self.gateway.trace(number, **fields)

    def trace_answer(self, call: Call, name: str, body: bool, status: int, answer: str) -> None:
        host = header(call.message, b"host").decode("latin-1")
        self.trace(159, name=name, host=host, body=body, status=status, answer=answer)
