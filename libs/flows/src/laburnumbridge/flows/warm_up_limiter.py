"""Limits the openings that a cold upstream gets."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_S = 1.05
"""The window of one second, and 50 ms for the varying delays of packets on their way."""


class WarmUpLimiter:
    """Admits at most ``max_openings`` in any window of ``WINDOW_S``.

    The first window after ``started_at`` counts as full, since an earlier process may have used it.
    ``admitted_at`` are the times of openings that were admitted by an earlier limit.
    """

    def __init__(
        self, *, max_openings: int, started_at: float, admitted_at: Iterable[float] = ()
    ) -> None:
        self.max_openings = max_openings
        self._full_until = started_at + WINDOW_S
        self.admitted_at: deque[float] = deque(admitted_at, maxlen=max_openings)

    def has_room(self, now: float) -> bool:
        """Return whether an opening may be admitted."""
        if self.max_openings == 0 or now < self._full_until:
            return False
        is_below = len(self.admitted_at) < self.max_openings
        return is_below or now - self.admitted_at[0] >= WINDOW_S

    def admit(self, now: float) -> None:
        """Count an opening; also one that was admitted while no limit was in force."""
        self.admitted_at.append(now)
