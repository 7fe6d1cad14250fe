"""A model state represented by its history: each state is rebuilt by replaying that from the initial state.

For small models whose objects hold callbacks, which cannot be copied. The cost of a state grows
with its depth.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, Self

from opalwick.lab.verify.explorer import Transition


class Replayed:
    """Base class: `initialize` builds the initial state, `apply` takes a transition and raises
    `PropertyViolation` if an invariant fails. `state` returns all that the future behaviour depends on.
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
