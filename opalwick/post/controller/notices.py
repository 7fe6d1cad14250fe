"""Updates that a controller confirms only once a majority of the voters has them. No I/O.

That a worker drains or has left is such an update: the caller relies on the confirmation that no new work
will arrive. A controller that receives a notice forwards it on all of its links before it answers, so every
process connected to a majority receives it. A controller that reaches no majority reports that it could not
confirm the update.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from opalwick.post.controller.views import Views
from opalwick.post.base_role import Link
from opalwick.post.wire_pb2 import Known, News, Spread, View

CONFIRM_TIMEOUT = 0.85  # s for a majority's answers: callers time out after 1 s
INCARNATION_SHIFT = 20  # bits of a call number that count the calls of one incarnation
MAX_NOTICES = 1024  # pending notices; more are refused

Answer = Callable[[bool], None]


def first_call(life: int) -> int:
    """Call numbers include the process incarnation, so answers to an earlier one are never mistaken."""
    return life << INCARNATION_SHIFT


@dataclass(slots=True)
class Notice:
    """One pending update; `known` has the view of each controller that received it."""

    answer: Answer
    until: float
    known: dict[str, View] = field(default_factory=dict)


class Notices:
    """The updates that wait for confirmation."""

    def __init__(self, views: Views, life: int) -> None:
        self.views, self.last_call = views, first_call(life)
        self.waiting: dict[int, Notice] = {}

    def tell(self, now: float, update: News, offices: Iterable[Link], answer: Answer) -> None:
        """Sends `update`; calls `answer` with True once a majority has it, with False on a timeout."""
        self.last_call += 1
        call = self.last_call
        message = Spread(call=call, news=update)
        for link in offices:
            link.send("spread", message)
        if len(self.waiting) >= MAX_NOTICES or not self.views.reaches_majority:
            answer(False)
            return
        self.waiting[call] = Notice(answer, now + CONFIRM_TIMEOUT)
        self.answer_if_confirmed(call)

    def known(self, office: str, message: Known) -> None:
        """Handles an acknowledgement: a controller has received the update and forwarded it."""
        if (notice := self.waiting.get(message.call)) is not None:
            notice.known[office] = message.view
            self.answer_if_confirmed(message.call)

    def answer_if_confirmed(self, call: int) -> None:
        """Answers once a majority of the newest view that was reported has acknowledged."""
        notice = self.waiting[call]
        newest = max([self.views.view, *notice.known.values()], key=lambda view: int(view.epoch))
        if Views.is_majority(newest, {self.views.ip, *notice.known}):
            del self.waiting[call]
            notice.answer(True)

    def tick(self, now: float) -> None:
        """Fails notices that timed out."""
        for call in [call for call, notice in self.waiting.items() if notice.until <= now]:
            self.waiting.pop(call).answer(False)
