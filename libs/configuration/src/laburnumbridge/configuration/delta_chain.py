"""Recent deltas of one value."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_STEPS = 64
# A quarter of the largest value; a longer chain saves little compared with the whole value.
MAX_CHAIN_BYTES = 256 * 1024


class _Step(NamedTuple):
    base_version: int
    version: int
    delta: bytes


class DeltaChain:
    """The latest deltas up to the version in force, limited in number and bytes."""

    def __init__(self) -> None:
        self._steps: deque[_Step] = deque()
        self._total_bytes = 0

    def add(self, *, base_version: int, version: int, delta: bytes) -> None:
        """Append the delta from ``base_version``, which was in force before, to ``version``."""
        self._steps.append(_Step(base_version, version, delta))
        self._total_bytes += len(delta)
        while len(self._steps) > MAX_STEPS or self._total_bytes > MAX_CHAIN_BYTES:
            self._total_bytes -= len(self._steps.popleft().delta)

    def since(self, version: int) -> tuple[bytes, ...] | None:
        """Return the deltas that lead from ``version`` to the version in force.

        The first delta may start from an earlier version, because processes skip different
        versions in a burst. Returns None if the chain starts after ``version``.
        """
        if not self._steps or version < self._steps[0].base_version:
            return None
        return tuple(step.delta for step in self._steps if step.version > version)
