"""Plays traces against the cores of the post: a line is `SECONDS who what ...; who what ...`. Prints effects.

Words stand as `kind field=value ...`: a bare name is true, commas part lists, parentheses hold a word.
Messages stand as `mid field=value ...`, kept at d1 and d2 for 90 s if nothing else is said.
"""

from __future__ import annotations

import heapq
import re
from collections.abc import Callable
from random import Random
from typing import Any

from opalwick.post.office import numbers
from opalwick.post.office.views import Stored, Views
from opalwick.post.wire_pb2 import Conf, Envelope, Letter


def word(kind: str, text: str) -> Any:
    return fill(getattr(Envelope(), kind), text)


def letter(text: str) -> Letter:
    mid, *fields = text.split()
    defaults = ["holders=d1,d2"] * ("holders=" not in text) + ["until=90"] * ("until=" not in text)
    return fill(Letter(mid=mid), " ".join(fields + defaults))


def fill(to: Any, text: str) -> Any:
    for name, value in re.findall(r"(\w+)=?(\([^)]*\)|\S*)", text):
        known, field = getattr(to, name), to.DESCRIPTOR.fields_by_name[name]
        if value.startswith("("):
            fill(known.add() if hasattr(known, "add") else known, value[1:-1])
        elif hasattr(known, "items"):  # a map of spans
            known.update({key: float(x) for key, x in (item.split(":") for item in value.split(","))})
        elif hasattr(known, "extend"):
            known.extend(v if field.cpp_type == field.CPPTYPE_STRING else int(v) for v in value.split(","))
        else:
            setattr(to, name, {bool: bool, bytes: str.encode}.get(type(known), type(known))(value or True))
    return to


def show(said: Any) -> str:
    def one(x: Any) -> str:
        return (
            f"({show(x)})"
            if hasattr(x, "ListFields")
            else f"{round(x, 3):g}"
            if type(x) is float
            else x.decode()
            if type(x) is bytes
            else str(x)
        )

    parts = []
    for field, value in said.ListFields():
        many = value if hasattr(value, "extend") else [value]
        if value is True:
            parts.append(field.name)
        elif field.message_type is not None and not hasattr(value, "items"):
            parts += [f"{field.name}={one(x)}" for x in many]
        else:
            parts.append(f"{field.name}=" + ",".join(map(one, many)))
    return " ".join(parts)


class Player:
    """`do_WHAT(who, rest)` takes an input in, or else `hear(who, kind, word)`; `step()` lets time pass."""

    STEP = 0.05

    def __init__(self) -> None:
        self.now, self.lines, self.stamp = 0.0, list[str](), ""
        self.said: list[tuple[float, str, str, Any]] = []

    def play(self, script: str) -> str:
        for line in filter(None, map(str.strip, script.splitlines())):
            at, inputs = line.split(None, 1)
            self.until(float(at))
            self.stamp = ""
            for one in inputs.split("; "):
                who, what, *rest = one.split(None, 2)
                self.note(one, "")
                act = getattr(self, f"do_{what}", None)
                if act is not None:
                    act(who, *rest)
                else:
                    self.hear(who, what, word(what, *rest or [""]))
                self.settle()
        return "\n".join(self.lines)

    def note(self, text: str, mark: str = "-> ") -> None:
        stamp = f"{self.now:7.2f}"
        self.lines.append(f"{stamp if stamp != self.stamp else ' ' * 7} {mark}{text}")
        self.stamp = stamp

    def sent(self, sends: list[tuple[str, str, Any]]) -> None:
        """Prints words, those to several nodes once."""
        to: dict[str, list[str]] = {}
        for node, kind, said in sends:
            self.said.append((self.now, node, kind, said))
            to.setdefault(f"{kind} {show(said)}".strip(), []).append(node)
        for text, nodes in to.items():
            self.note(f"{text} to {' '.join(sorted(nodes))}")

    def got(self, kind: str, mid: str = "") -> list[tuple[float, str]]:
        """When a word of this kind was said, and to whom."""
        return [
            (round(at, 2), node)
            for at, node, what, w in self.said
            if what == kind and mid in ("", (w.letter if kind == "assign" else w).mid)
        ]

    def until(self, when: float) -> None:
        while self.now < when - 1e-9:
            self.now = round(min(when, self.now + self.STEP), 6)
            self.step()
            self.settle()

    def step(self) -> None: ...

    def settle(self) -> None: ...

    def hear(self, who: str, kind: str, said: Any) -> None: ...


class Net:
    """Virtual time: what is carried comes late by chance, in order, or not at all."""

    def __init__(self, seed: int, late: tuple[float, float], lost: float = 0.0) -> None:
        self.random, self.late, self.lost, self.now, self.serial = Random(seed), late, lost, 0.0, 0
        self.turns: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.cuts, self.last = set[frozenset[str]](), dict[tuple[str, str], float]()

    def at(self, when: float, do: Callable[..., None], *told: Any) -> None:
        self.serial += 1
        heapq.heappush(self.turns, (when, self.serial, do, told))

    def draw(self, span: tuple[float, float]) -> float:
        return span[0] + (span[1] - span[0]) * self.random.random() ** 3  # mostly short

    def carry(self, a: str, b: str, do: Callable[..., None], *told: Any) -> None:
        if frozenset((a, b)) not in self.cuts and self.random.random() >= self.lost:
            when = self.last[a, b] = max(self.last.get((a, b), 0.0), self.now + self.draw(self.late))
            self.at(when, do, *told)

    def do_cut(self, a: str, others: str) -> None:
        self.cuts |= {frozenset((a, b)) for b in others.split()}

    def do_join(self, a: str, others: str) -> None:
        self.cuts -= {frozenset((a, b)) for b in others.split()}

    def until(self, when: float) -> None:
        while self.turns and self.turns[0][0] <= when:
            self.now, _, do, told = heapq.heappop(self.turns)
            do(*told)
        self.now = when


HEARS = {"beat": "beats", "installed": "installs", "resign": "resigned"}  # by word: how the views take it


class Offices(Net, Player):
    """Views on a net; the first three of `count` stand in the settings.

    A disk has what was synced last; a crash loses the rest and what was to follow.

    Holds as it goes: a number has one content for ever, no answer is older than what was known to be in force
    when its call began, one is primary in an epoch, and who lost its disk votes for nobody before it learned.
    """

    def __init__(
        self,
        seed: int = 0,
        late: tuple[float, float] = (0.001, 0.002),
        lost: float = 0.0,
        sync: tuple[float, float] = (0.002, 0.003),
        count: int = 3,
        copies: int = 2,
    ) -> None:
        Player.__init__(self)
        Net.__init__(self, seed, late, lost)
        self.names, self.sync, self.copies = [f"o{n + 1}" for n in range(count)], sync, copies
        self.seeds, self.first = self.names[:3], set(self.names)
        self.views: dict[str, Views] = {}
        self.disks: dict[str, Stored | None] = dict.fromkeys(self.names)
        self.lives, self.busy = dict.fromkeys(self.names, 0), dict.fromkeys(self.names, False)
        self.saves = dict[str, list[Any]]()
        self.told = dict[str, Conf]()  # what an office last had committed
        self.asked = list[tuple[str, int, int, bytes]]()  # by call: what, number, in force then, content
        self.confirmed = dict[int, bytes]()  # by number: the one content that was answered 200
        self.answers: list[tuple[str, str, int, int]] = []
        self.contents, self.newest, self.epochs = dict[int, bytes](), -1, dict[int, str]()
        for name in self.names:
            self.do_start(name)

    # ---- inputs

    def do_start(self, me: str) -> None:
        # `bootstrap` is for the first start of all
        blank = self.disks[me] is None and (self.lives[me] > 0 or me not in self.first)
        self.lives[me] += 1
        self.busy[me], self.saves[me] = False, []
        self.views[me] = Views(me, self.copies, self.disks[me], self.seeds, blank, self.now)
        self.told.pop(me, None)
        self.at(self.now, self.tick, me, self.lives[me])

    def do_crash(self, me: str, wiped: str = "") -> None:
        self.lives[me] += 1
        self.views.pop(me, None)
        self.disks[me] = None if wiped else self.disks[me]

    def do_replace(self, me: str, new: str) -> None:
        """It is taken away for good; an empty one starts at another address."""
        self.do_crash(me, "wiped")
        self.names[self.names.index(me)] = new
        self.disks[new], self.lives[new], self.busy[new] = None, 0, False

    def do_put(self, me: str, text: str) -> None:
        """`p`: at whoever is the primary."""
        me = self.primary() or "o1" if me == "p" else me
        gen, content = int(text.split()[0]), text.split()[1].encode()
        self.asked.append(("put", gen, self.newest, content))
        told, newest = Conf(gen=gen, said=content), Conf()
        if me in self.views:
            newest = Conf.FromString(self.views[me].newest())
        if gen > newest.gen:
            numbers.follow(told, newest)
        self.hears(me, self.lives[me], "put", len(self.asked) - 1, told.SerializeToString())

    def do_read(self, me: str) -> None:
        me = self.primary() or "o1" if me == "p" else me
        self.asked.append(("read", -1, self.newest, b""))
        self.hears(me, self.lives[me], "read", len(self.asked) - 1)

    # ---- what runs

    def hears(self, me: str, life: int, what: str, *told: Any) -> None:
        if life == self.lives[me] and (v := self.views.get(me)) is not None:
            v.now = self.now
            v.linked = {other for other in self.views if frozenset((me, other)) not in self.cuts} - {me}
            getattr(v, HEARS.get(what, what))(*told)
            self.follow_up(me)

    def tick(self, me: str, life: int) -> None:
        if life == self.lives[me]:
            self.hears(me, life, "tick", self.now)
            self.at(self.now + 0.05, self.tick, me, life)

    def pass_on(self, me: str, to: str, kind: str, said: Any) -> None:
        assert not (
            self.views[me].lost_state and (getattr(said, "granted", False) or getattr(said, "ok", False))
        )
        if to == me:
            getattr(self.views[me], HEARS.get(kind, kind))(me, said)
        else:
            self.carry(me, to, self.hears, to, self.lives[to], kind, me, said)

    def follow_up(self, me: str) -> None:
        v, waits = self.views[me], self.saves[me]
        while any(found := v.effects()):
            saves, sends, answers, committed = found
            waits += saves
            for send in sends:
                self.pass_on(me, *send)
            for conf in map(Conf.FromString, committed):
                assert self.contents.setdefault(conf.gen, conf.said) == conf.said, f"{conf.gen}: two contents"
                self.told[me] = conf
            for call, status in answers:
                self.answered(me, status, *self.asked[call])
        for number, fields in v.events:
            assert number != 203 or self.epochs.setdefault(fields["epoch"], me) == me
            self.note(f"{me} {number} " + " ".join(f"{k}={x}" for k, x in fields.items()))
        v.events.clear()
        if waits and not self.busy[me]:
            self.busy[me], self.saves[me] = True, []
            self.at(self.now + self.draw(self.sync), self.synced, me, self.lives[me], waits)

    def answered(self, me: str, status: int, what: str, gen: int, floor: int, content: bytes) -> None:
        has = int(self.told[me].gen) if me in self.told else -1
        if what == "put" and status == 409:
            assert self.contents.get(gen, b"") != content, f"{gen} {content!r} is refused again at {me}"
        elif what == "put" and status == 200 and gen in self.contents:
            assert self.contents[gen] == self.confirmed.setdefault(gen, content) == content, (
                f"{gen} is confirmed with two contents"
            )
        if status == 200:
            assert has >= max(gen, floor), f"{what} {gen} at {me}: {has}, though {floor} was in force"
            self.newest = max(self.newest, has)
        self.answers.append((me, what, gen if what == "put" else has, status))
        self.note(f"{me} {what} {self.answers[-1][2]}: {status}")

    def synced(self, me: str, life: int, saves: list[Any]) -> None:
        if life == self.lives[me]:
            self.disks[me], self.busy[me] = saves[-1].stored, False
            for save in saves:
                for send in save.then:
                    self.pass_on(me, *send)
            self.follow_up(me)

    def primary(self) -> str:
        """Who is it, and can act."""
        return next((me for me, v in self.views.items() if v.active), "")
