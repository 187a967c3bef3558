"""Rate limit for whole values sent to peers."""

from __future__ import annotations

# Two values of 1 MB at once, then 0.5 MB a second. A relay that serves many starting peers stays
# responsive, and the number of processes with the value still doubles every few seconds.
BURST_BYTES = 2_000_000
BYTES_PER_S = 500_000.0


class WholeValueBudget:
    """A token bucket in bytes; a value may be sent while any credit is left."""

    def __init__(self) -> None:
        self._credit = float(BURST_BYTES)
        self._refilled_at: float | None = None

    def take(self, size: int, now: float) -> bool:
        """Charge ``size`` bytes; return False, without a charge, if no credit is left."""
        elapsed = 0.0 if self._refilled_at is None else max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._credit = min(float(BURST_BYTES), self._credit + elapsed * BYTES_PER_S)
        if self._credit <= 0:
            return False
        self._credit -= size
        return True
