"""Recent deltas of one value."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_STEPS = 64
# A quarter of the largest value; longer chains save little over the whole value.
MAX_CHAIN_BYTES = 256 * 1024


class _Step(NamedTuple):
    base_version: int
    version: int
    delta: bytes


class DeltaChain:
    """The steps that led to the version in force, bounded in number and bytes."""

    def __init__(self) -> None:
        self._steps: deque[_Step] = deque()
        self._bytes = 0

    def add(self, *, base_version: int, version: int, delta: bytes) -> None:
        """Append a step from the version in force so far."""
        self._steps.append(_Step(base_version, version, delta))
        self._bytes += len(delta)
        while len(self._steps) > MAX_STEPS or self._bytes > MAX_CHAIN_BYTES:
            self._bytes -= len(self._steps.popleft().delta)

    def since(self, version: int) -> tuple[bytes, ...] | None:
        """Return the deltas that lead from ``version`` to the version in force.

        The first step may begin earlier, because processes skip different versions in a burst.
        Returns None where the chain begins later.
        """
        if not self._steps or version < self._steps[0].base_version:
            return None
        return tuple(step.delta for step in self._steps if step.version > version)
