"""A world that is its history: each state is played anew from the first.

For small worlds whose parts hold callbacks, which cannot be copied: what a state costs grows with its depth.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, Self

from opalwick.lab.verify.explorer import Transition


class Replayed:
    """A subclass builds its first state in `begin`, and takes a step in `do`: `Broken` where a property does
    not hold there. `state` is all that what may follow depends on.
    """

    def __init__(self, budget: Any, history: tuple[Transition, ...] = ()) -> None:
        self.initial_budget, self.budget, self.history = budget, budget, history
        self.initialize()
        for step in history:
            self.apply(step)

    def initialize(self) -> None:
        raise NotImplementedError

    def apply(self, step: Transition) -> None:
        raise NotImplementedError

    def enabled(self) -> list[Transition]:
        raise NotImplementedError

    def state(self) -> Any:
        raise NotImplementedError

    def successor(self, step: Transition) -> Self:
        return type(self)(self.initial_budget, (*self.history, step))

    def key(self) -> bytes:
        return blake2b(repr((self.budget, self.state())).encode(), digest_size=12).digest()
