"""Chance by purpose: each has a generator of its own, so that drawing more for one shifts no other."""

from __future__ import annotations

import math
import random


class Draws:
    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.made: dict[str, random.Random] = {}

    def of(self, purpose: str) -> random.Random:
        """The generator of one purpose: the same for the same seed on every machine (SHA-512 of the name)."""
        found = self.made.get(purpose)
        if found is None:
            found = self.made[purpose] = random.Random(f"{self.seed}/{purpose}")
        return found


def spread(draw: random.Random, mean: float, cv: float) -> float:
    """A lognormal figure with this mean and coefficient of variation."""
    if cv <= 0:
        return mean
    variance = math.log1p(cv * cv)
    return draw.lognormvariate(math.log(mean) - variance / 2, math.sqrt(variance))


def part(draw: random.Random, among: list, share: float) -> list:
    """So many of them, one at least where there is one, in their own order."""
    count = min(len(among), max(1, round(share * len(among))))
    chosen = set(draw.sample(range(len(among)), count)) if among else set()
    return [one for i, one in enumerate(among) if i in chosen]
