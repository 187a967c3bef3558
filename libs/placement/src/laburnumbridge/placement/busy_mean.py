"""Mean of the busy slots."""

from __future__ import annotations

import math

# Single requests last about a second; the mean must outlast them but follow the flows.
MEAN_S = 10.0


class BusyMean:
    """Exponentially weighted mean over time of a step function."""

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
        """Return the mean at ``now``."""
        if self._updated_at is None:
            return 0.0
        kept = math.exp((self._updated_at - now) / MEAN_S)
        return self._value + (self._mean - self._value) * kept
