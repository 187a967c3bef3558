"""The credit of one limit at an admitting agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.limits.rate_window import RateWindow

if TYPE_CHECKING:
    from laburnumbridge.limits.limit_kind import LimitKind

# Credit asked for ahead of need, as a part of the credit in use.
RESERVE_DIVISOR = 8
# Credit is kept for the highest use of one to two such periods.
PEAK_S = 1.0


class CreditLine:
    """Share and use of one limit.

    ``counted`` is the credit that the holder counts as out here, as far as the agent knows.
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
        self._earlier_peak = 0
        self._peak_at = 0.0
        self.pending = 0
        self._level = 0
        self._window = RateWindow()

    @property
    def level(self) -> int:
        """The open items; always 0 for a rate."""
        return self._level

    def used(self, now: float) -> int:
        """Return the credit in use."""
        return self._level if self._is_level else self._window.total(now)

    def needed(self, now: float) -> int:
        """Return the credit in use and the credit that pending admissions lack."""
        return self.used(now) + self.pending

    def take(self, now: float) -> None:
        """Use one unit."""
        if self._is_level:
            self._level += 1
        else:
            self._window.add(now)
        if now - self._peak_at >= PEAK_S:
            self._earlier_peak = self._peak if now - self._peak_at < 2 * PEAK_S else 0
            self._peak = 0
            self._peak_at = now
        self._peak = max(self._peak, self.used(now))

    def give_back(self) -> None:
        """Free one unit of a level; a unit of a rate frees itself."""
        if self._is_level:
            self._level -= 1

    def tight(self, now: float) -> bool:
        """True while the holder asks for unused credit."""
        return self.limit is not None and now < self.tight_until

    def next_release(self) -> float | None:
        """Return when the next unit of a rate frees itself, or None."""
        return self._window.next_release()

    def wanted(self, now: float, *, ahead: bool) -> int:
        """Return the credit to ask for; ``ahead`` adds a reserve and the recent peak."""
        need = self.needed(now)
        if ahead:
            need = max(need, self._peak, self._earlier_peak)
            need += 1 + need // RESERVE_DIVISOR
        return need if self.limit is None else min(need, self.limit)

    def set_limit(self, limit: int | None) -> None:
        """Change the limit; a lower one reduces the share in proportion.

        The shares of all agents sum to no more than the old limit, so their reduced values sum to
        no more than the new one before any message is exchanged.
        """
        if limit is not None and self.limit is None:
            self.share = 0
        elif limit is not None and self.limit is not None and limit < self.limit:
            self.share = self.share * limit // self.limit
        self.limit = limit

    def accept_share(self, share: int, *, granted_limit: int) -> None:
        """Replace the share by a grant that was worked out for ``granted_limit``."""
        if self.limit is None:
            return
        if self.limit < granted_limit:
            share = share * self.limit // granted_limit
        self.share = min(share, self.limit)
