"""The credit of one limit at an admitting agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.limits.rate_window import RateWindow

if TYPE_CHECKING:
    from laburnumbridge.limits.limit_kind import LimitKind

# The requested reserve is 1 / RESERVE_DIVISOR of the credit needed, plus one unit.
RESERVE_DIVISOR = 8
# Credit is kept for the highest use of the last one to two periods of this length.
PEAK_S = 1.0


class CreditLine:
    """The agent's share and use of the credit of one limit.

    ``limit`` is the fleet-wide limit, None if unlimited. ``counted`` is the credit that the holder
    counts as out at this agent, according to the latest grant or report.
    """

    def __init__(self, *, kind: LimitKind) -> None:
        self.kind = kind
        self._is_level = kind.is_level
        self.limit: int | None = None
        self.share = 0
        self.counted = 0
        self.fleet_out = 0
        self.tight_until = float("-inf")
        self._peak = 0
        self._previous_peak = 0
        self._peak_started_at = 0.0
        self.pending = 0
        self._level = 0
        self._window = RateWindow()

    @property
    def level(self) -> int:
        """The number of open items; always 0 for a rate."""
        return self._level

    def used(self, now: float) -> int:
        """Return the credit in use."""
        return self._level if self._is_level else self._window.total(now)

    def needed(self, now: float) -> int:
        """Return the credit in use plus one unit for each pending admission."""
        return self.used(now) + self.pending

    def take(self, now: float) -> None:
        """Use one unit."""
        if self._is_level:
            self._level += 1
        else:
            self._window.add(now)
        if now - self._peak_started_at >= PEAK_S:
            self._previous_peak = self._peak if now - self._peak_started_at < 2 * PEAK_S else 0
            self._peak = 0
            self._peak_started_at = now
        self._peak = max(self._peak, self.used(now))

    def release(self) -> None:
        """Free one unit of a level; a unit of a rate becomes free by itself."""
        if self._is_level:
            self._level -= 1

    def is_tight(self, now: float) -> bool:
        """Return whether the holder requests the return of unused credit."""
        return self.limit is not None and now < self.tight_until

    def next_release(self) -> float | None:
        """Return when the next unit of a rate becomes free (monotonic seconds), or None."""
        return self._window.next_release()

    def wanted(self, now: float, *, with_reserve: bool) -> int:
        """Return the credit to request; ``with_reserve`` covers the recent peak and a reserve."""
        need = self.needed(now)
        if with_reserve:
            need = max(need, self._peak, self._previous_peak)
            need += 1 + need // RESERVE_DIVISOR
        return need if self.limit is None else min(need, self.limit)

    def set_limit(self, limit: int | None) -> None:
        """Change the limit; a lower one reduces the share in proportion.

        The shares of all agents sum to no more than the old limit, so the reduced shares sum to no
        more than the new limit even before the agents exchange messages.
        """
        if limit is not None and self.limit is None:
            self.share = 0
        elif limit is not None and self.limit is not None and limit < self.limit:
            self.share = self.share * limit // self.limit
        self.limit = limit

    def accept_share(self, share: int, *, granted_limit: int) -> None:
        """Replace the share by one that the holder computed for the limit ``granted_limit``."""
        if self.limit is None:
            return
        if self.limit < granted_limit:
            share = share * self.limit // granted_limit
        self.share = min(share, self.limit)
