"""Replay protection for the datagrams of one sender."""

from __future__ import annotations

from laburnumbridge.wire.datagram_fault import DatagramFault

WINDOW_COUNTERS = 1_024


class ReplayWindow:
    """Tracks the last 1,024 counters of one incarnation; a newer incarnation resets it."""

    __slots__ = ("_highest", "_incarnation", "_seen")

    def __init__(self, *, incarnation: int) -> None:
        self._incarnation = incarnation
        self._highest = 0
        self._seen = 0

    def fault(self, *, incarnation: int, counter: int) -> DatagramFault | None:
        """Return why the counter can't be accepted, or None."""
        if incarnation < self._incarnation:
            return DatagramFault.OLD_INCARNATION
        if incarnation > self._incarnation or counter > self._highest:
            return None
        behind = self._highest - counter
        if behind >= WINDOW_COUNTERS:
            return DatagramFault.BEHIND_WINDOW
        return DatagramFault.REPLAYED if self._seen >> behind & 1 else None

    def record(self, *, incarnation: int, counter: int) -> None:
        """Mark an accepted counter as seen."""
        if incarnation > self._incarnation:
            self._incarnation = incarnation
            self._highest = 0
            self._seen = 0
        if counter <= self._highest:
            self._seen |= 1 << (self._highest - counter)
            return
        shift = min(counter - self._highest, WINDOW_COUNTERS)
        self._seen = (self._seen << shift | 1) & ((1 << WINDOW_COUNTERS) - 1)
        self._highest = counter
