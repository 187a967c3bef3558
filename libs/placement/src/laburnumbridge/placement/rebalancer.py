"""Requests for clients to reconnect when an agent has too many flows."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.placement.placement_settings import PlacementSettings

# A client that has not reconnected after this time has ignored the request; its flow counts again.
RECONNECT_TIMEOUT_S = 10.0
# With few flows a percentage is meaningless, so rebalancing also needs this many excess flows.
MIN_EXCESS_FLOWS = 8


class Rebalancer:
    """Decides for how many flows to request a reconnect, at a bounded rate.

    It starts above one excess and stops at a smaller one (hysteresis). Flows with a request that
    are still open count as closed, so that a slow client does not cause a second request.
    """

    def __init__(self, *, settings: PlacementSettings) -> None:
        self._settings = settings
        self._is_active = False
        self._credit = 0.0
        self._checked_at: float | None = None
        self._requested: deque[list[float]] = deque()

    def close_flow(self) -> bool:
        """Count a closed flow as one with a request; return False if there is none."""
        if not self._requested:
            return False
        self._requested[0][1] -= 1
        if self._requested[0][1] <= 0:
            self._requested.popleft()
        return True

    def check(self, *, open_flows: int, target: float, now: float) -> int:
        """Return the number of reconnects to request; ``target`` is the fair share in flows.

        ``open_flows`` includes flows with a request that are still open.
        """
        self._refill_credit(open_flows, now)
        while self._requested and self._requested[0][0] <= now - RECONNECT_TIMEOUT_S:
            self._requested.popleft()
        staying = open_flows - sum(count for _, count in self._requested)
        start = max(target * (1 + self._settings.rebalance_start), target + MIN_EXCESS_FLOWS)
        stop = target * (1 + self._settings.rebalance_stop)
        self._is_active = staying > (stop if self._is_active else start)
        if not self._is_active:
            return 0
        count = min(math.floor(self._credit), math.ceil(staying - stop))
        if count > 0:
            self._credit -= count
            self._requested.append([now, count])
        return count

    def pause(self) -> None:
        """Stop rebalancing, because the fair share is unknown or does not apply."""
        self._is_active = False

    def _refill_credit(self, open_flows: int, now: float) -> None:
        rate = max(1.0, open_flows * self._settings.reconnect_share_per_s)
        elapsed_s = 0.0 if self._checked_at is None else now - self._checked_at
        self._checked_at = now
        # The credit is capped at one second's worth, so that no burst follows a pause.
        self._credit = min(rate, self._credit + rate * elapsed_s)
