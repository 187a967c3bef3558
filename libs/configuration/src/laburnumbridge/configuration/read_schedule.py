"""Schedule of the platform reads of one value."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import Choice

# A watcher confirms its value at this interval; with 3 watchers for each of 4 values in 10 failure
# domains that is 30 reads a second.
WATCH_WAIT_S = 4.0
# Minimum time between two reads of a watcher, so that one read covers a burst of versions.
MIN_READ_INTERVAL_S = 1.0
# A read without a result this long after its wait has failed.
READ_TIMEOUT_S = 5.0
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0


class ReadSchedule:
    """Decides the reads of one value; at most one is outstanding.

    A watcher keeps a read waiting for a newer version. Any other process reads only while its
    value is stale, at a random time in a window that grows with the fleet, so that the rate of all
    reads is bounded.
    """

    def __init__(self, *, choice: Choice) -> None:
        self._choice = choice
        self._deadline: float | None = None
        self._next_read_at = 0.0
        self._failures = 0
        self._slot: float | None = None

    def start(
        self, now: float, *, watcher: bool, has_version: bool, stale: bool, window_s: float
    ) -> float | None:
        """Return the seconds that a read started now may wait, or None if no read is due.

        A watcher without a version (``has_version``) reads without a wait. ``window_s`` is the
        interval between fallback reads.
        """
        if self._deadline is not None and now >= self._deadline:
            self.failed(now)
        if not stale:
            self._slot = None
        if self._deadline is not None:
            return None
        if watcher:
            return self._start_watch(now, WATCH_WAIT_S if has_version else 0.0)
        return self._start_fallback(now, window_s) if stale else None

    def answered(self, now: float, *, usable: bool) -> None:
        """Record an answer; one that isn't usable delays the next read like a failure."""
        if not usable:
            self.failed(now)
            return
        self._deadline = None
        self._failures = 0

    def failed(self, now: float) -> None:
        """Record a failed read; the next one is delayed by an exponential backoff with jitter."""
        self._deadline = None
        retry_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._next_read_at = max(
            self._next_read_at, now + retry_s * (0.5 + self._choice.fraction())
        )

    def _start_watch(self, now: float, wait_s: float) -> float | None:
        if now < self._next_read_at:
            return None
        self._next_read_at = now + MIN_READ_INTERVAL_S
        self._deadline = now + wait_s + READ_TIMEOUT_S
        return wait_s

    def _start_fallback(self, now: float, window_s: float) -> float | None:
        if self._slot is None:
            self._slot = now + self._choice.fraction() * window_s
        if now < self._slot:
            return None
        # The phase stays the same: phases are uniform over the fleet, so the rate of reads is even.
        self._slot = now + window_s
        self._deadline = now + READ_TIMEOUT_S
        return 0.0
