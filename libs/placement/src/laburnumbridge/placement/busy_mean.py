"""Moving average of the busy slots."""

from __future__ import annotations

import math

# Single requests last about a second: the mean must smooth them out but follow the flows.
TIME_CONSTANT_S = 10.0


class BusyMean:
    """Exponentially weighted moving average, over time, of a value that changes in steps."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._value = 0
        self._updated_at: float | None = None

    def change(self, value: int, now: float) -> None:
        """Set the value from ``now`` on."""
        self._mean = self.mean(now)
        self._value = value
        self._updated_at = now

    def mean(self, now: float) -> float:
        """Return the mean at ``now``, 0.0 before the first value."""
        if self._updated_at is None:
            return 0.0
        kept = math.exp((self._updated_at - now) / TIME_CONSTANT_S)
        return self._value + (self._mean - self._value) * kept
