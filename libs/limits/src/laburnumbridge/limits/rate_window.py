"""Counter of the uses within the last second."""

from __future__ import annotations

from collections import deque

from laburnumbridge.limits.timing import RATE_SLICE_S
from laburnumbridge.limits.timing import RATE_WINDOW_S


class RateWindow:
    """Counts each use for one second.

    Uses are grouped in slices that are released together, up to one slice late, so the total is
    never too low.
    """

    def __init__(self) -> None:
        self._slices: deque[list[float]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one use."""
        release_at = (int(now / RATE_SLICE_S) + 1) * RATE_SLICE_S + RATE_WINDOW_S
        if self._slices and self._slices[-1][0] >= release_at:
            self._slices[-1][1] += 1
        else:
            self._slices.append([release_at, 1])
        self._total += 1

    def total(self, now: float) -> int:
        """Return the number of uses in the last second."""
        while self._slices and self._slices[0][0] <= now:
            self._total -= int(self._slices.popleft()[1])
        return self._total

    def next_release(self) -> float | None:
        """Return when the oldest uses leave the window (monotonic seconds), or None if empty."""
        return self._slices[0][0] if self._slices else None
