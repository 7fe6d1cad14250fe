"""Clients look up messages by name at a gateway: it asks the stores that may have them, one after the other.

A name that cannot be any message's is answered 404 at once (`names.read`). For any other the answer is 404
only if each store that the name hints at is there, and all stores have said that they do not know it; 503 if
one of them could not say, or did not answer in time. No socket and no clock.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, Protocol

from opalwick.post.counter.front import LATER, fault, field
from opalwick.post.home.guard import Guard
from opalwick.post.message_state import CLIENT_STATES, FOUND, MessageState
from opalwick.post.names import Asked, read
from opalwick.post.wire_pb2 import Ask, Node, Told
from opalwick.protocol.conversation import Call

ANSWER_TIME = 0.35  # s for one store's answer: clients wait two seconds for theirs
MOST = 256  # lookups under way at once


class Gateway(Protocol):
    """What a lookup needs of the gateway that it is made at. `now`: s, of its own clock."""

    now: float
    zone: str
    guard: Guard
    counts: dict[str, int]

    @property
    def links(self) -> Mapping[str, Any]: ...

    def nodes(self, role: str) -> list[Node]: ...

    def call_on(self, node: str, kind: str, word: Any) -> None: ...

    def trace(self, number: int, **fields: Any) -> None: ...


class Lookup:
    """One question of a client."""

    __slots__ = ("asked", "body", "call", "left", "name", "pending", "sure", "until")

    def __init__(self, call: Call, name: str, asked: Asked, body: bool, left: list[str], sure: bool) -> None:
        """`name`: as the client wrote it. `body`: its octets are wanted, not its state. `left`: stores that
        are still to be asked. `sure`: no store that may have the message has failed to say so.
        """
        self.call, self.name, self.asked = call, name, asked
        self.body, self.left, self.sure = body, left, sure
        self.pending: Told | None = None  # what a store has said that does not know of an end
        self.until = 0.0  # s: the store that is asked has as long


class Lookups:
    """All questions that are under way at a gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.number = 0  # of the question to a store that was asked last; never used again
        self.under_way: dict[int, Lookup] = {}

    def begin(self, call: Call, name: str, body: bool) -> None:
        """A client asks for a message's state, or with `body` for its octets."""
        gateway = self.gateway
        gateway.counts["asked_back"] += 1
        if len(self.under_way) >= MOST:
            self.not_shown(call, name, body, 503, "too many questions under way")
            return
        asked = read(name, field(call.message, b"host").decode("latin-1"))
        if asked is None:
            self.not_shown(call, name, body, 404, "no such message")
            return
        stores = gateway.nodes("depot")
        hinted = {store.node for store in stores if asked.hinted(store.node)}
        # of those that have it the near one first: a body that crosses zones is dear
        stores.sort(
            key=lambda store: (
                store.node not in hinted,
                store.node not in gateway.links,
                store.zone != gateway.zone,
                store.node,
            )
        )
        names = [store.node for store in stores]
        self.ask_next(Lookup(call, name, asked, body, names, asked.all_among(names)))

    def ask_next(self, lookup: Lookup) -> None:
        """The next store is asked; or, where none is left, the client has its answer."""
        if lookup.left:
            self.number += 1
            lookup.until = self.gateway.now + ANSWER_TIME
            self.under_way[self.number] = lookup
            asked = lookup.asked
            word = Ask(call=self.number, mid=asked.mid, body=lookup.body, tags=asked.tags)
            self.gateway.call_on(lookup.left.pop(0), "ask", word)
        elif lookup.pending is not None:
            self.show(lookup, lookup.pending)
        elif lookup.sure:
            self.not_shown(lookup.call, lookup.name, lookup.body, 404, "no such message")
        else:
            why = "the depots that may have it do not answer"
            self.not_shown(lookup.call, lookup.name, lookup.body, 503, why)

    def told(self, told: Told) -> None:
        """A store's answer. One that comes too late is passed over: its number is no one's any more."""
        lookup = self.under_way.pop(told.call, None)
        if lookup is None:
            return
        if told.state not in FOUND:
            lookup.sure = lookup.sure and told.state == MessageState.UNKNOWN
            self.ask_next(lookup)
        elif self.may_have_ended(lookup, told):
            lookup.pending = told
            self.ask_next(lookup)
        else:
            self.show(lookup, told)

    @staticmethod
    def may_have_ended(lookup: Lookup, told: Told) -> bool:
        """Whether another store is asked as well, which may know of an end that this one has not heard of."""
        first = lookup.pending is None and lookup.asked.copies > 1
        return first and told.state == MessageState.PENDING and not lookup.body

    def tick(self) -> None:
        """Stores that have not answered in time are passed over."""
        now = self.gateway.now
        for number in [number for number, lookup in self.under_way.items() if lookup.until <= now]:
            lookup = self.under_way.pop(number)
            lookup.sure = False
            self.ask_next(lookup)

    # ---- answers

    def show(self, lookup: Lookup, told: Told) -> None:
        if lookup.body:
            self.show_body(lookup, told)
            return
        state = MessageState(told.state)
        answer = {"state": CLIENT_STATES[state]}
        if state is MessageState.COMPLETE:
            answer["seal"] = told.seal
        self.count_shown(lookup, answer["state"])
        lookup.call.answer(200, json.dumps(answer).encode(), "Content-Type: application/json")

    def show_body(self, lookup: Lookup, told: Told) -> None:
        guard = self.gateway.guard
        if told.abroad or (told.home and not guard.permits_body(told.home, guard.own_country)):
            fault(lookup.call, 421, "its bytes are shown at its home alone", LATER)
            return
        if told.state == MessageState.COMPLETE:
            self.not_shown(lookup.call, lookup.name, True, 404, "it is complete: its bytes are not kept")
            return
        self.count_shown(lookup, "bytes")
        lookup.call.answer(200, told.body, "Content-Type: application/octet-stream")

    def count_shown(self, lookup: Lookup, what: str) -> None:
        self.gateway.counts["asked_found"] += 1
        self.trace_answer(lookup.call, lookup.name, lookup.body, 200, what)

    def not_shown(self, call: Call, name: str, body: bool, status: int, why: str) -> None:
        """404: there is no such message, for sure. 503: that is not known here."""
        self.gateway.counts["asked_unknown" if status == 404 else "asked_unsure"] += 1
        self.trace_answer(call, name, body, status, why)
        fault(call, status, why, *([LATER] if status == 503 else []))

    def trace(self, number: int, **fields: Any) -> None:
        self.gateway.trace(number, **fields)

    def trace_answer(self, call: Call, name: str, body: bool, status: int, answer: str) -> None:
        host = field(call.message, b"host").decode("latin-1")
        self.trace(159, name=name, host=host, body=body, status=status, answer=answer)
