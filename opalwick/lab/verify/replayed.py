"""A world that is its history: each state is played anew from the first.

For small worlds whose parts hold callbacks, which cannot be copied: what a state costs grows with its depth.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, Self

from opalwick.lab.verify.explorer import Step


class Replayed:
    """A subclass builds its first state in `begin`, and takes a step in `do`: `Broken` where a property does
    not hold there. `state` is all that what may follow depends on.
    """

    def __init__(self, budget: Any, history: tuple[Step, ...] = ()) -> None:
        self.first, self.budget, self.history = budget, budget, history
        self.begin()
        for step in history:
            self.do(step)

    def begin(self) -> None:
        raise NotImplementedError

    def do(self, step: Step) -> None:
        raise NotImplementedError

    def steps(self) -> list[Step]:
        raise NotImplementedError

    def state(self) -> Any:
        raise NotImplementedError

    def after(self, step: Step) -> Self:
        return type(self)(self.first, (*self.history, step))

    def key(self) -> bytes:
        return blake2b(repr((self.budget, self.state())).encode(), digest_size=12).digest()
