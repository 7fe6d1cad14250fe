"""The only source of chance: a linear congruential generator (Knuth's MMIX constants), its high bits used."""

from __future__ import annotations


class Chance:
    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return (self.state >> 33) / 2147483648.0

    def mixed(self) -> float:
        """Of a state that was mixed but little, like that of a product: some steps, each folded."""
        for _ in range(3):
            self.draw()
            self.state ^= self.state >> 29
        return self.draw()
