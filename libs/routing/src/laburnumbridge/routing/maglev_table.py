"""Maglev lookup table: constant-time choice with few moves when members change."""

from __future__ import annotations

from array import array
from typing import TYPE_CHECKING

from laburnumbridge.core import hash64
from laburnumbridge.routing.errors import EmptyTableError

if TYPE_CHECKING:
    from collections.abc import Iterable

# Primes at least SLOTS_PER_MEMBER times the members keep the shares of the members within a few
# percent of each other.
SLOTS_PER_MEMBER = 30
_PRIMES = (251, 509, 1021, 2039, 4093, 8191, 16381, 32749, 65521, 131071, 262139, 524287)


class MaglevTable:
    """Maps a hash to one of a set of members (Eisenbud et al., NSDI 2016, section 3.4).

    The table depends only on the set, so balancers with the same view agree.
    """

    def __init__(self, *, members: Iterable[int]) -> None:
        ordered = sorted(set(members))
        if not ordered:
            raise EmptyTableError
        min_size = len(ordered) * SLOTS_PER_MEMBER
        self._size = next((prime for prime in _PRIMES if prime >= min_size), _PRIMES[-1])
        self.members = tuple(ordered)
        self._slots = self._populate(ordered)

    def lookup(self, hashed: int) -> int:
        """Return the member for a 64-bit hash."""
        return self._slots[hashed % self._size]

    def _populate(self, members: list[int]) -> array[int]:
        size = self._size
        positions = []
        skips = []
        for member in members:
            name = member.to_bytes(8, "big")
            positions.append(hash64(name, seed=1) % size)
            skips.append(hash64(name, seed=2) % (size - 1) + 1)
        slots = array("q", [-1]) * size
        filled = 0
        while True:
            for index, member in enumerate(members):
                position = positions[index]
                while slots[position] >= 0:
                    position = (position + skips[index]) % size
                slots[position] = member
                positions[index] = (position + skips[index]) % size
                filled += 1
                if filled == size:
                    return slots
