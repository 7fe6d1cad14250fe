"""Plays scripts against the state machines and prints their effects.

A line is `SECONDS who what ...; who what ...`. Peer messages are written as `kind field=value ...`: a bare
name is true, commas separate list items, parentheses enclose a nested message. Client messages are written as
`mid field=value ...`; by default they are stored at d1 and d2 for 90 s.
"""

from __future__ import annotations

import heapq
import re
from collections.abc import Callable
from random import Random
from typing import Any

from opalwick.post.controller import conf_history
from opalwick.post.controller.views import Stored, Views
from opalwick.post.wire_pb2 import Conf, Envelope, Letter


def peer_message(kind: str, text: str) -> Any:
    return fill(getattr(Envelope(), kind), text)


def client_message(text: str) -> Letter:
    mid, *fields = text.split()
    defaults = ["holders=d1,d2"] * ("holders=" not in text) + ["until=90"] * ("until=" not in text)
    return fill(Letter(mid=mid), " ".join(fields + defaults))


def fill(to: Any, text: str) -> Any:
    for name, value in re.findall(r"(\w+)=?(\([^)]*\)|\S*)", text):
        known, field = getattr(to, name), to.DESCRIPTOR.fields_by_name[name]
        if value.startswith("("):
            fill(known.add() if hasattr(known, "add") else known, value[1:-1])
        elif hasattr(known, "items"):  # a map of durations
            known.update({key: float(x) for key, x in (item.split(":") for item in value.split(","))})
        elif hasattr(known, "extend"):
            known.extend(v if field.cpp_type == field.CPPTYPE_STRING else int(v) for v in value.split(","))
        else:
            setattr(to, name, {bool: bool, bytes: str.encode}.get(type(known), type(known))(value or True))
    return to


def show(message: Any) -> str:
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
    for field, value in message.ListFields():
        many = value if hasattr(value, "extend") else [value]
        if value is True:
            parts.append(field.name)
        elif field.message_type is not None and not hasattr(value, "items"):
            parts += [f"{field.name}={one(x)}" for x in many]
        else:
            parts.append(f"{field.name}=" + ",".join(map(one, many)))
    return " ".join(parts)


class Player:
    """Inputs go to `do_WHAT(who, rest)`, else to `hear(who, kind, message)`; `step()` runs every STEP."""

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
                    self.hear(who, what, peer_message(what, *rest or [""]))
                self.settle()
        return "\n".join(self.lines)

    def note(self, text: str, mark: str = "-> ") -> None:
        stamp = f"{self.now:7.2f}"
        self.lines.append(f"{stamp if stamp != self.stamp else ' ' * 7} {mark}{text}")
        self.stamp = stamp

    def sent(self, sends: list[tuple[str, str, Any]]) -> None:
        """Prints peer messages; equal ones to several nodes are printed once."""
        to: dict[str, list[str]] = {}
        for node, kind, message in sends:
            self.said.append((self.now, node, kind, message))
            to.setdefault(f"{kind} {show(message)}".strip(), []).append(node)
        for text, nodes in to.items():
            self.note(f"{text} to {' '.join(sorted(nodes))}")

    def got(self, kind: str, mid: str = "") -> list[tuple[float, str]]:
        """Times and receivers of the peer messages of this kind."""
        return [
            (round(at, 2), node)
            for at, node, sent_kind, message in self.said
            if sent_kind == kind and mid in ("", (message.letter if kind == "assign" else message).mid)
        ]

    def until(self, when: float) -> None:
        while self.now < when - 1e-9:
            self.now = round(min(when, self.now + self.STEP), 6)
            self.step()
            self.settle()

    def step(self) -> None: ...

    def settle(self) -> None: ...

    def hear(self, who: str, kind: str, message: Any) -> None: ...


class Network:
    """A simulated network in virtual time: messages arrive in order after a random delay, or are lost."""

    def __init__(self, seed: int, late: tuple[float, float], lost: float = 0.0) -> None:
        self.random, self.late, self.lost, self.now, self.serial = Random(seed), late, lost, 0.0, 0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.cuts, self.last = set[frozenset[str]](), dict[tuple[str, str], float]()

    def at(self, when: float, do: Callable[..., None], *arguments: Any) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (when, self.serial, do, arguments))

    def draw(self, span: tuple[float, float]) -> float:
        return span[0] + (span[1] - span[0]) * self.random.random() ** 3  # short delays are more frequent

    def transmit(self, a: str, b: str, do: Callable[..., None], *arguments: Any) -> None:
        if frozenset((a, b)) not in self.cuts and self.random.random() >= self.lost:
            when = self.last[a, b] = max(self.last.get((a, b), 0.0), self.now + self.draw(self.late))
            self.at(when, do, *arguments)

    def do_cut(self, a: str, others: str) -> None:
        self.cuts |= {frozenset((a, b)) for b in others.split()}

    def do_join(self, a: str, others: str) -> None:
        self.cuts -= {frozenset((a, b)) for b in others.split()}

    def until(self, when: float) -> None:
        while self.queue and self.queue[0][0] <= when:
            self.now, _, do, arguments = heapq.heappop(self.queue)
            do(*arguments)
        self.now = when


INPUTS = {
    "beat": "beats",
    "installed": "installs",
    "resign": "resigned",
}  # by kind of message: the input of the views, if its name differs


class Controllers(Network, Player):
    """Controllers on a simulated network; the first three of `count` are the seeds in the settings.

    A disk has what was synced last. A crash loses the rest, and the messages that depend on it.

    Checked at each step: a number has one content for ever, no answer is older than what was known to be in
    force when its call began, each epoch has one primary, and a node that lost its disk does not vote before
    it has caught up.
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
        Network.__init__(self, seed, late, lost)
        self.names, self.sync, self.copies = [f"o{n + 1}" for n in range(count)], sync, copies
        self.seeds, self.first = self.names[:3], set(self.names)
        self.views: dict[str, Views] = {}
        self.disks: dict[str, Stored | None] = dict.fromkeys(self.names)
        self.lives, self.busy = dict.fromkeys(self.names, 0), dict.fromkeys(self.names, False)
        self.saves = dict[str, list[Any]]()
        self.committed = dict[str, Conf]()  # the last configuration committed at each controller
        self.calls = list[
            tuple[str, int, int, bytes]
        ]()  # by call: kind, number, number in force at its start, content
        self.confirmed = dict[int, bytes]()  # by number: the only content that was answered with 200
        self.answers: list[tuple[str, str, int, int]] = []
        self.contents, self.newest, self.epochs = dict[int, bytes](), -1, dict[int, str]()
        for name in self.names:
            self.do_start(name)

    # ---- inputs

    def do_start(self, me: str) -> None:
        # `bootstrap` applies only to the very first start
        blank = self.disks[me] is None and (self.lives[me] > 0 or me not in self.first)
        self.lives[me] += 1
        self.busy[me], self.saves[me] = False, []
        self.views[me] = Views(me, self.copies, self.disks[me], self.seeds, blank, self.now)
        self.committed.pop(me, None)
        self.at(self.now, self.tick, me, self.lives[me])

    def do_crash(self, me: str, wiped: str = "") -> None:
        self.lives[me] += 1
        self.views.pop(me, None)
        self.disks[me] = None if wiped else self.disks[me]

    def do_replace(self, me: str, new: str) -> None:
        """Removes it for good; an empty one starts at another address."""
        self.do_crash(me, "wiped")
        self.names[self.names.index(me)] = new
        self.disks[new], self.lives[new], self.busy[new] = None, 0, False

    def do_put(self, me: str, text: str) -> None:
        """`p`: at the current primary."""
        me = self.primary() or "o1" if me == "p" else me
        gen, content = int(text.split()[0]), text.split()[1].encode()
        self.calls.append(("put", gen, self.newest, content))
        conf, newest = Conf(gen=gen, said=content), Conf()
        if me in self.views:
            newest = Conf.FromString(self.views[me].newest())
        if gen > newest.gen:
            conf_history.follow(conf, newest)
        self.apply_input(me, self.lives[me], "put", len(self.calls) - 1, conf.SerializeToString())

    def do_read(self, me: str) -> None:
        me = self.primary() or "o1" if me == "p" else me
        self.calls.append(("read", -1, self.newest, b""))
        self.apply_input(me, self.lives[me], "read", len(self.calls) - 1)

    # ---- effects

    def apply_input(self, me: str, life: int, what: str, *arguments: Any) -> None:
        if life == self.lives[me] and (v := self.views.get(me)) is not None:
            v.now = self.now
            v.linked = {other for other in self.views if frozenset((me, other)) not in self.cuts} - {me}
            getattr(v, INPUTS.get(what, what))(*arguments)
            self.follow_up(me)

    def tick(self, me: str, life: int) -> None:
        if life == self.lives[me]:
            self.apply_input(me, life, "tick", self.now)
            self.at(self.now + 0.05, self.tick, me, life)

    def send_message(self, me: str, to: str, kind: str, message: Any) -> None:
        assert not (
            self.views[me].lost_state
            and (getattr(message, "granted", False) or getattr(message, "ok", False))
        )
        if to == me:
            getattr(self.views[me], INPUTS.get(kind, kind))(me, message)
        else:
            self.transmit(me, to, self.apply_input, to, self.lives[to], kind, me, message)

    def follow_up(self, me: str) -> None:
        v, waits = self.views[me], self.saves[me]
        while any(found := v.effects()):
            saves, sends, answers, committed = found
            waits += saves
            for send in sends:
                self.send_message(me, *send)
            for conf in map(Conf.FromString, committed):
                assert self.contents.setdefault(conf.gen, conf.said) == conf.said, f"{conf.gen}: two contents"
                self.committed[me] = conf
            for call, status in answers:
                self.answered(me, status, *self.calls[call])
        for number, fields in v.events:
            assert number != 203 or self.epochs.setdefault(fields["epoch"], me) == me
            self.note(f"{me} {number} " + " ".join(f"{k}={x}" for k, x in fields.items()))
        v.events.clear()
        if waits and not self.busy[me]:
            self.busy[me], self.saves[me] = True, []
            self.at(self.now + self.draw(self.sync), self.synced, me, self.lives[me], waits)

    def answered(self, me: str, status: int, what: str, gen: int, floor: int, content: bytes) -> None:
        has = int(self.committed[me].gen) if me in self.committed else -1
        if what == "put" and status == 409:
            assert self.contents.get(gen, b"") != content, f"{gen} {content!r} is rejected again at {me}"
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
                    self.send_message(me, *send)
            self.follow_up(me)

    def primary(self) -> str:
        """The active primary; empty: none."""
        return next((me for me, v in self.views.items() if v.active), "")
