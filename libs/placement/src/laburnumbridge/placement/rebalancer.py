"""Excess flows are asked to reconnect."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.placement.placement_settings import PlacementSettings

# A client that has not reconnected by then has ignored the request; its flow counts again.
RECONNECT_PATIENCE_S = 10.0
# Between few flows a percentage means nothing.
MIN_EXCESS_FLOWS = 8


class Rebalancer:
    """Decides how many flows to ask, at a bounded rate.

    It starts above one excess and stops below a smaller one. Flows that were asked and are still
    open count as gone, so that slow clients are not asked for twice.
    """

    def __init__(self, *, settings: PlacementSettings) -> None:
        self._settings = settings
        self._is_active = False
        self._credit = 0.0
        self._checked_at: float | None = None
        self._asked: deque[list[float]] = deque()

    def close_flow(self) -> bool:
        """Count a closed flow as one of those that were asked; return whether there were any."""
        if not self._asked:
            return False
        self._asked[0][1] -= 1
        if self._asked[0][1] <= 0:
            self._asked.popleft()
        return True

    def check(self, *, open_flows: int, target: float, now: float) -> int:
        """Return how many flows to ask, where ``target`` flows would be the fair part.

        ``open_flows`` includes flows that were asked and are still open.
        """
        self._earn(open_flows, now)
        while self._asked and self._asked[0][0] <= now - RECONNECT_PATIENCE_S:
            self._asked.popleft()
        staying = open_flows - sum(count for _, count in self._asked)
        start = max(target * (1 + self._settings.rebalance_start), target + MIN_EXCESS_FLOWS)
        stop = target * (1 + self._settings.rebalance_stop)
        self._is_active = staying > (stop if self._is_active else start)
        if not self._is_active:
            return 0
        count = min(math.floor(self._credit), math.ceil(staying - stop))
        if count > 0:
            self._credit -= count
            self._asked.append([now, count])
        return count

    def pause(self) -> None:
        """Stop, because the fair part is unknown or does not apply."""
        self._is_active = False

    def _earn(self, open_flows: int, now: float) -> None:
        rate = max(1.0, open_flows * self._settings.reconnect_share_per_s)
        elapsed_s = 0.0 if self._checked_at is None else now - self._checked_at
        self._checked_at = now
        # At most one second's worth, so that a pause is not followed by a burst.
        self._credit = min(rate, self._credit + rate * elapsed_s)
