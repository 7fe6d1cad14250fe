"""What becomes of a word between two members: every fault on its way does its part. No input or output."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

Copies = list[tuple[float, bytes]]  # how late each copy is, in seconds, and what it says; none: lost


class Way(NamedTuple):
    now: float
    one: int
    other: int
    draw: random.Random


class Spell:
    """One fault's doing, on the ways from some members to some others."""

    def __init__(self, blocks: Iterable[tuple[Iterable[int], Iterable[int]]]) -> None:
        """Blocks of (from, to): all ways from any of the first to any of the second."""
        self.blocks = [(frozenset(ones), frozenset(others)) for ones, others in blocks]

    def hits(self, one: int, other: int) -> bool:
        return any(one in ones and other in others for ones, others in self.blocks)

    def pass_on(self, copies: Copies, way: Way) -> Copies:
        raise NotImplementedError


class Cut(Spell):
    def pass_on(self, copies: Copies, way: Way) -> Copies:
        return []


class Loss(Spell):
    share = 0.0

    def pass_on(self, copies: Copies, way: Way) -> Copies:
        return [copy for copy in copies if way.draw.random() >= self.share]


class Bursts(Spell):
    """Gilbert 1960 and Elliott 1963: a good and a bad state, each for an exponential time; in the bad one all
    is lost."""

    share, bad = 0.0, 0.5  # of the time; seconds that a bad spell lasts in the mean

    def __init__(self, blocks: Iterable[tuple[Iterable[int], Iterable[int]]]) -> None:
        super().__init__(blocks)
        self.state: dict[tuple[int, int], tuple[bool, float]] = {}  # whether it is good, and until when

    def pass_on(self, copies: Copies, way: Way) -> Copies:
        key, draw = (way.one, way.other), way.draw
        if key not in self.state:
            good = draw.random() >= self.share
            self.state[key] = good, way.now + self.spell(good, draw)
        good, until = self.state[key]
        while until <= way.now:
            good, until = not good, until + self.spell(not good, draw)
        self.state[key] = good, until
        return copies if good else []

    def spell(self, good: bool, draw: random.Random) -> float:
        mean = self.bad * (1.0 - self.share) / self.share if good else self.bad
        return max(1e-3, draw.expovariate(1.0 / mean))


class Late(Spell):
    by, spread = 0.0, False  # seconds; whether each has its own up to that

    def pass_on(self, copies: Copies, way: Way) -> Copies:
        return [
            (late + self.by * (way.draw.random() if self.spread else 1.0), octets) for late, octets in copies
        ]


class Doubled(Spell):
    share = 0.0

    def pass_on(self, copies: Copies, way: Way) -> Copies:
        draw = way.draw
        again = [(late + draw.random(), octets) for late, octets in copies if draw.random() < self.share]
        return copies + again


class Changed(Spell):
    share = 0.0

    def pass_on(self, copies: Copies, way: Way) -> Copies:
        return [(late, self.change(octets, way.draw)) for late, octets in copies]

    def change(self, octets: bytes, draw: random.Random) -> bytes:
        if not octets or draw.random() >= self.share:
            return octets
        at = int(draw.random() * len(octets))
        return octets[:at] + bytes([octets[at] ^ 1 + int(draw.random() * 255)]) + octets[at + 1 :]


class LargeLost(Spell):
    most = 0.0

    def pass_on(self, copies: Copies, way: Way) -> Copies:
        return [copy for copy in copies if len(copy[1]) <= self.most]


class KindLost(Spell):
    def pass_on(self, copies: Copies, way: Way) -> Copies:
        return [copy for copy in copies if not (copy[1] and copy[1][0] % 2)]


class Ways:
    def __init__(self) -> None:
        self.spells: list[Spell] = []

    def pass_on(self, now: float, one: int, other: int, octets: bytes, draw: random.Random) -> Copies:
        copies: Copies = [(0.0, octets)]
        for spell in self.spells:
            if copies and spell.hits(one, other):
                copies = spell.pass_on(copies, Way(now, one, other, draw))
        return copies
