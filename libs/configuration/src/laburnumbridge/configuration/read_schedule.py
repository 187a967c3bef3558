"""When a process reads one value from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import Choice

# A watcher confirms its value this often; 3 watchers of 4 values in 10 failure domains make 30
# reads a second.
WATCH_WAIT_S = 4.0
# Spacing of a watcher's reads while versions follow one another; it merges bursts.
MIN_READ_INTERVAL_S = 1.0
# A read that has no result this long after its wait counts as failed.
READ_TIMEOUT_S = 5.0
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0


class ReadSchedule:
    """Decides the reads of one value; at most one is outstanding.

    A watcher keeps a waiting watch. Any other process reads only while its value is stale, in a
    slot drawn from a window that grows with the fleet, so that the sum of all reads is bounded.
    """

    def __init__(self, *, choice: Choice) -> None:
        self._choice = choice
        self._deadline: float | None = None
        self._earliest = 0.0
        self._failures = 0
        self._slot: float | None = None

    def start(
        self, now: float, *, watcher: bool, waiting: bool, stale: bool, window_s: float
    ) -> float | None:
        """Return the wait in seconds of a read to start now, or None.

        ``waiting`` says whether a watcher has a version to wait on.
        """
        if self._deadline is not None and now >= self._deadline:
            self.failed(now)
        if not stale:
            self._slot = None
        if self._deadline is not None:
            return None
        if watcher:
            return self._start_watch(now, WATCH_WAIT_S if waiting else 0.0)
        return self._start_fallback(now, window_s) if stale else None

    def answered(self, now: float, *, useful: bool) -> None:
        """Note an answer; one that was ignored delays the next read like a failure."""
        if not useful:
            self.failed(now)
            return
        self._deadline = None
        self._failures = 0

    def failed(self, now: float) -> None:
        """Note a failed read."""
        self._deadline = None
        retry_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._earliest = max(self._earliest, now + retry_s * (0.5 + self._choice.fraction()))

    def _start_watch(self, now: float, wait_s: float) -> float | None:
        if now < self._earliest:
            return None
        self._earliest = now + MIN_READ_INTERVAL_S
        self._deadline = now + wait_s + READ_TIMEOUT_S
        return wait_s

    def _start_fallback(self, now: float, window_s: float) -> float | None:
        if self._slot is None:
            self._slot = now + self._choice.fraction() * window_s
        if now < self._slot:
            return None
        # The phase is kept: phases are uniform over the fleet, so the sum of reads stays level.
        self._slot = now + window_s
        self._deadline = now + READ_TIMEOUT_S
        return 0.0
