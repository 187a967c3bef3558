"""Requests that have received their final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.requests.key_ledger import MAX_TRANSIT_S

if TYPE_CHECKING:
    from laburnumbridge.core import RequestId

KEPT_S = 2 * MAX_TRANSIT_S  # duplicates arrive sooner


class FinishedRequests:
    """Remembers finished requests for as long as a duplicate of them may arrive."""

    def __init__(self) -> None:
        self._kept_until_by_id: dict[RequestId, float] = {}

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._kept_until_by_id

    def __len__(self) -> int:
        return len(self._kept_until_by_id)

    def add(self, request_id: RequestId, now: float) -> None:
        """Remember a request from ``now`` on."""
        self._kept_until_by_id[request_id] = now + KEPT_S

    def forget(self, now: float) -> None:
        """Drop the requests whose retention has ended."""
        # Entries are in order of their expiry, so the first one that is kept ends the search.
        while self._kept_until_by_id:
            request_id = next(iter(self._kept_until_by_id))
            if self._kept_until_by_id[request_id] > now:
                return
            del self._kept_until_by_id[request_id]
