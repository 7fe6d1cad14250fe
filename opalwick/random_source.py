"""The only source of randomness: a linear congruential generator with Knuth's MMIX constants."""

from __future__ import annotations


class RandomSource:
    """A seeded generator, so that runs can be repeated exactly."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        """A number in [0, 1), from the high bits: the low ones have short periods."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return (self.state >> 33) / 2147483648.0

    def mixed_draw(self) -> float:
        """A draw for a seed whose bits are poorly mixed, such as a product: after some steps, each folded."""
        for _ in range(3):
            self.draw()
            self.state ^= self.state >> 29
        return self.draw()
