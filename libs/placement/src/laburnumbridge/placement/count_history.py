"""A counter that keeps its recent values."""

from __future__ import annotations

from bisect import bisect_right

# Reports are seconds old, so a quarter of a second is fine enough.
BUCKET_S = 0.25
# With 128 buckets the history covers twice the lifetime of a report.
MAX_BUCKETS = 128


class CountHistory:
    """Counts events, and returns the count at a past time to within one bucket."""

    def __init__(self) -> None:
        self.total = 0
        self._starts: list[float] = []
        self._totals_before: list[int] = []

    def add(self, now: float) -> None:
        """Count one event."""
        if not self._starts or now >= self._starts[-1] + BUCKET_S:
            self._starts.append(now)
            self._totals_before.append(self.total)
            if len(self._starts) > MAX_BUCKETS:
                del self._starts[0]
                del self._totals_before[0]
        self.total += 1

    def total_at(self, at: float) -> int:
        """Return the count before the bucket that contains ``at``, or the oldest kept count."""
        index = bisect_right(self._starts, at) - 1
        if index < 0:
            return self._totals_before[0] if self._totals_before else self.total
        if at >= self._starts[index] + BUCKET_S:
            index += 1
        return self._totals_before[index] if index < len(self._starts) else self.total
