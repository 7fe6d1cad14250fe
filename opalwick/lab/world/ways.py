"""Faults on links between members, applied in turn to each message. Free of I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

Copies = list[tuple[float, bytes]]  # delay in seconds and content of each delivered copy; none: lost


class Transmission(NamedTuple):
    """One message on a link; `now` in seconds of the scenario."""

    now: float
    sender: int
    receiver: int
    draw: random.Random


class LinkFault:
    """One fault, on the links from some members to some others."""

    def __init__(self, blocks: Iterable[tuple[Iterable[int], Iterable[int]]]) -> None:
        """`blocks` of (from, to): all links from any of the first to any of the second."""
        self.blocks = [(frozenset(senders), frozenset(receivers)) for senders, receivers in blocks]

    def applies_to(self, sender: int, receiver: int) -> bool:
        return any(sender in senders and receiver in receivers for senders, receivers in self.blocks)

    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        """The copies that are left, each with its delay and content."""
        raise NotImplementedError


class Cut(LinkFault):
    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        return []


class Loss(LinkFault):
    share = 0.0

    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        return [copy for copy in copies if transmission.draw.random() >= self.share]


class Bursts(LinkFault):
    """Gilbert-Elliott loss (Gilbert 1960, Elliott 1963): a passing and a lossy state, each of exponentially
    distributed duration; in the lossy state all messages are lost."""

    share, lossy_s = 0.0, 0.5  # share of the time in the lossy state; its mean duration in seconds

    def __init__(self, blocks: Iterable[tuple[Iterable[int], Iterable[int]]]) -> None:
        super().__init__(blocks)
        self.state: dict[tuple[int, int], tuple[bool, float]] = {}  # whether messages pass, and until when

    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        key, draw = (transmission.sender, transmission.receiver), transmission.draw
        if key not in self.state:
            passing = draw.random() >= self.share
            self.state[key] = passing, transmission.now + self.duration(passing, draw)
        passing, until = self.state[key]
        while until <= transmission.now:
            passing, until = not passing, until + self.duration(not passing, draw)
        self.state[key] = passing, until
        return copies if passing else []

    def duration(self, passing: bool, draw: random.Random) -> float:
        mean = self.lossy_s * (1.0 - self.share) / self.share if passing else self.lossy_s
        return max(1e-3, draw.expovariate(1.0 / mean))


class Late(LinkFault):
    by, spread = 0.0, False  # delay in seconds; whether each message draws its own up to that

    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        return [
            (delay + self.by * (transmission.draw.random() if self.spread else 1.0), data)
            for delay, data in copies
        ]


class Doubled(LinkFault):
    """Delivers a share of the messages twice, the second copy up to a second later."""

    share = 0.0

    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        draw = transmission.draw
        again = [(delay + draw.random(), data) for delay, data in copies if draw.random() < self.share]
        return copies + again


class Changed(LinkFault):
    """Changes one byte of a share of the messages."""

    share = 0.0

    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        return [(delay, self.change(data, transmission.draw)) for delay, data in copies]

    def change(self, data: bytes, draw: random.Random) -> bytes:
        if not data or draw.random() >= self.share:
            return data
        at = int(draw.random() * len(data))
        return data[:at] + bytes([data[at] ^ 1 + int(draw.random() * 255)]) + data[at + 1 :]


class LargeLost(LinkFault):
    """Loses messages longer than `most` bytes."""

    most = 0.0

    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        return [copy for copy in copies if len(copy[1]) <= self.most]


class KindLost(LinkFault):
    """Loses messages whose first byte is odd: every second kind of message."""

    def apply(self, copies: Copies, transmission: Transmission) -> Copies:
        return [copy for copy in copies if not (copy[1] and copy[1][0] % 2)]


class LinkFaults:
    """The faults that are active, in the order in which they are applied."""

    def __init__(self) -> None:
        self.active: list[LinkFault] = []

    def apply(self, now: float, sender: int, receiver: int, data: bytes, draw: random.Random) -> Copies:
        copies: Copies = [(0.0, data)]
        for fault in self.active:
            if copies and fault.applies_to(sender, receiver):
                copies = fault.apply(copies, Transmission(now, sender, receiver, draw))
        return copies
