"""Reproducible pseudo-random choices for state machines."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from laburnumbridge.core.hashing import hash64

if TYPE_CHECKING:
    from collections.abc import Sequence

T = TypeVar("T")

_UNIT = float(1 << 64)


class Choice:
    """Derives a sequence of choices from a seed.

    State machines hold no random source; the same seed and the same events give the same actions.
    """

    def __init__(self, *, seed: int) -> None:
        self._seed = seed & ((1 << 64) - 1)
        self._drawn = 0

    def copy(self) -> Choice:
        """Return an independent sequence with the same next numbers."""
        duplicate = Choice(seed=self._seed)
        duplicate._drawn = self._drawn
        return duplicate

    def fraction(self) -> float:
        """Return the next number in [0, 1)."""
        self._drawn += 1
        return hash64(self._drawn.to_bytes(8, "big"), seed=self._seed) / _UNIT

    def below(self, limit: int) -> int:
        """Return the next integer in [0, limit)."""
        return min(int(self.fraction() * limit), limit - 1)

    def one_of(self, items: Sequence[T]) -> T:
        """Return one of ``items``, which must not be empty."""
        return items[self.below(len(items))]

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        """Return up to ``count`` distinct items."""
        pool = list(items)
        chosen: list[T] = []
        while pool and len(chosen) < count:
            chosen.append(pool.pop(self.below(len(pool))))
        return chosen
