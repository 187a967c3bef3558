"""Counts of outcomes by minute, for burn rates."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MINUTE_S = 60
# The longest window of the burn report is six hours.
KEPT_MINUTES = 6 * 60


@dataclass(slots=True)
class OutcomeCounts:
    """Numbers of requests that count, that failed, and that were slower than the objective."""

    total: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: OutcomeCounts) -> None:
        """Add the counts of another window or process."""
        self.total += other.total
        self.failed += other.failed
        self.slow += other.slow


class OutcomeWindow:
    """Counts of the last KEPT_MINUTES minutes.

    ``now`` is in seconds since the epoch, so that the windows of processes can be merged.
    """

    def __init__(self) -> None:
        self.counts_by_minute: dict[int, OutcomeCounts] = {}

    def add(self, *, failed: bool, slow: bool, now: float) -> None:
        """Count one request."""
        minute = int(now // MINUTE_S)
        counts = self.counts_by_minute.get(minute)
        if counts is None:
            counts = self.counts_by_minute[minute] = OutcomeCounts()
            self._expire(minute)
        counts.total += 1
        counts.failed += failed
        counts.slow += slow

    def merge(self, counts_by_minute: Iterable[tuple[int, OutcomeCounts]]) -> None:
        """Add the counts of another process by minute."""
        for minute, counts in counts_by_minute:
            self.counts_by_minute.setdefault(minute, OutcomeCounts()).add(counts)

    def over(self, minutes: int, *, now: float) -> OutcomeCounts:
        """Return the sum over the last ``minutes`` minutes, including the current one."""
        newest = int(now // MINUTE_S)
        total = OutcomeCounts()
        for minute, counts in self.counts_by_minute.items():
            if newest - minutes < minute <= newest:
                total.add(counts)
        return total

    def _expire(self, newest: int) -> None:
        for minute in [m for m in self.counts_by_minute if m <= newest - KEPT_MINUTES]:
            del self.counts_by_minute[minute]
