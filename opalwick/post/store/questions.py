"""Questions of this store to others that have not been answered yet. No I/O; part of `comparison.py`.

An answer names the number of its question. Numbers are not used again by later processes of the node, so an
answer to an earlier process is never mistaken for one to this process. A question that is not answered in
time is asked again, as the answer may have been lost with an error of either process.
"""

from __future__ import annotations

import math
from enum import Enum, auto
from typing import NamedTuple

from opalwick.post.store.state import StoreState
from opalwick.post.wire_pb2 import Have

ANSWER_TIMEOUT = 1.0  # s until a question is asked again; doubled each time up to the next value
MAX_ANSWER_TIMEOUT = 4.0  # s
HEARD_WITHIN = 0.8  # s: a store without a heartbeat for longer is not asked again until it is heard
NUMBERS_PER_PROCESS = 20  # bits of a number that count the questions of one process


class Kind(Enum):
    """What a question is about."""

    PART = auto()  # a part of the comparison of everything; its answer calls for the next part
    CONFIRMATION = auto()  # whether the other store has its replicas on disk
    PROBE = (
        auto()
    )  # whether messages have ended or have another placement; the other store need not have them


class Question(NamedTuple):
    """A question that awaits its answer."""

    node: str
    kind: Kind
    message: Have
    asked_at: float  # s, this store's clock: when it was asked last
    timeout: float  # s, from then until it is asked again

    @property
    def confirmable(self) -> list[str]:
        """Pending messages that an answer without their names confirms to be on the other store's disk."""
        return list(self.message.pending) if self.kind is not Kind.PROBE else []


class Questions:
    """The open questions of this store."""

    def __init__(self, store: StoreState) -> None:
        self.store = store
        self.last_number = 0
        self.open: dict[int, Question] = {}  # by number
        self.check_at = math.inf  # s: none is overdue before

    def begin(self, incarnation: int) -> None:
        """Sets the incarnation of this process, which its numbers contain."""
        self.last_number = incarnation << NUMBERS_PER_PROCESS

    def ask(self, node: str, kind: Kind, message: Have) -> None:
        """Sends a question. It stays open if the other store's version answers with numbers."""
        self.last_number += 1
        message.number = self.last_number
        if self.store.protocols.get(node):
            self.add(Question(node, kind, message, self.store.now, ANSWER_TIMEOUT))
        self.store.send(node, "have", message)

    def add(self, question: Question) -> None:
        self.open[question.message.number] = question
        self.check_at = min(self.check_at, question.asked_at + question.timeout)

    def answered(self, node: str, number: int) -> Question | None:
        """Closes the question that a store has answered; None: it was none of the open ones."""
        question = self.open.get(number)
        if question is None or question.node != node:
            return None
        return self.open.pop(number)

    def awaits(self, kind: Kind) -> bool:
        """Whether a question of that kind is open."""
        return any(question.kind is kind for question in self.open.values())

    def cancel(self, node: str, kind: Kind | None = None) -> None:
        """Closes the questions to a store without an answer. `kind`: only those."""
        self.open = {
            number: question
            for number, question in self.open.items()
            if question.node != node or (kind is not None and question.kind is not kind)
        }

    def tick(self) -> None:
        """Asks overdue questions again."""
        now = self.store.now
        if now < self.check_at:
            return
        for question in list(self.open.values()):
            heard = now - self.store.peers.get(question.node, -math.inf) < HEARD_WITHIN
            if heard and question.asked_at + question.timeout <= now:
                timeout = min(2.0 * question.timeout, MAX_ANSWER_TIMEOUT)
                self.add(question._replace(asked_at=now, timeout=timeout))
                self.store.send(question.node, "have", question.message)
        self.check_at = min(
            (question.asked_at + question.timeout for question in self.open.values()), default=math.inf
        )
