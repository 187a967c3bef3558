"""Deadlines of unfinished requests."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from laburnumbridge.core import RequestId

COMPACT_ABOVE = 1_000  # entries; compacting a smaller queue isn't worth the cost


class DeadlineQueue:
    """Request ids in order of their deadlines (monotonic seconds)."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, RequestId]] = []
        self._compact_at = COMPACT_ABOVE

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, deadline_at: float, request_id: RequestId, live: Container[RequestId]) -> None:
        """Add a request; the entries of requests that aren't in ``live`` may be dropped."""
        heapq.heappush(self._entries, (deadline_at, request_id))
        if len(self._entries) < self._compact_at:
            return
        # Most requests end long before their deadline, and their entries would accumulate.
        self._entries = [entry for entry in self._entries if entry[1] in live]
        heapq.heapify(self._entries)
        self._compact_at = max(COMPACT_ABOVE, 2 * len(self._entries))

    def pop_due(self, now: float) -> RequestId | None:
        """Remove and return one request whose deadline is reached, or None if there is none."""
        if not self._entries or self._entries[0][0] > now:
            return None
        return heapq.heappop(self._entries)[1]
