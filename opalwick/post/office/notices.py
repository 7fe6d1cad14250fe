"""Facts that an office confirms only once a majority of the voters knows them. No I/O.

That a worker drains or has left is such a fact: whoever is told so relies on it that nothing new comes. Each
office that takes in a notice tells all that it is linked to before it answers, so that every process in touch
with a majority hears of it; an office that reaches no majority cannot confirm it, and says so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from opalwick.post.office.views import Views
from opalwick.post.station import Link
from opalwick.post.wire_pb2 import Known, News, Spread, View

PATIENCE = 0.85  # s for a majority's answers: callers wait a second
LIFE_SHIFT = 20  # bits for the calls of one life of a process
MOST = 1024  # notices that wait at once; over it they are refused

Answer = Callable[[bool], None]


def first_call(life: int) -> int:
    """Numbers of calls carry the life that made them: no answer to an earlier life is taken for one."""
    return life << LIFE_SHIFT


@dataclass(slots=True)
class Notice:
    """One fact on its way; `known` has the view of each office that took it in."""

    answer: Answer
    until: float
    known: dict[str, View] = field(default_factory=dict)


class Notices:
    def __init__(self, views: Views, life: int) -> None:
        self.views, self.last = views, first_call(life)
        self.waiting: dict[int, Notice] = {}

    def tell(self, now: float, news: News, offices: Iterable[Link], answer: Answer) -> None:
        """`answer` gets True once a majority knows `news`, False where none is reached in time."""
        self.last += 1
        call = self.last
        word = Spread(call=call, news=news)
        for link in offices:
            link.send("spread", word)
        if len(self.waiting) >= MOST or not self.views.reaches:
            answer(False)
            return
        self.waiting[call] = Notice(answer, now + PATIENCE)
        self.look(call)

    def known(self, office: str, word: Known) -> None:
        """An office has taken it in and told all that it is linked to."""
        if (notice := self.waiting.get(word.call)) is not None:
            notice.known[office] = word.view
            self.look(word.call)

    def look(self, call: int) -> None:
        """The voters that count are those of the newest view that anybody told."""
        notice = self.waiting[call]
        newest = max([self.views.view, *notice.known.values()], key=lambda view: int(view.epoch))
        if Views.enough(newest, {self.views.me, *notice.known}):
            del self.waiting[call]
            notice.answer(True)

    def tick(self, now: float) -> None:
        for call in [call for call, notice in self.waiting.items() if notice.until <= now]:
            self.waiting.pop(call).answer(False)
