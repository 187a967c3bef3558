"""Use of slots by plan, relative to the guaranteed shares."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.core import PlanName

# A plan without a guarantee still needs a finite weight: it comes last, but is not starved.
MINIMUM_SHARE = 0.01
# Starts at one instant have used no slot time yet, so each running request counts in advance.
RUNNING_CHARGE_S = 0.05


class PlanUse:
    """Start-time fair queueing over slot time (Goyal, Vin and Cheng, SIGCOMM 1996).

    The relative use of a plan is its slot-seconds divided by its guaranteed share. A plan that
    had nothing waiting begins at the level of the latest start: it has neither saved up a claim
    nor is it charged for slots that nobody else wanted.
    """

    def __init__(self) -> None:
        self._share_by_plan: Mapping[PlanName, float] = {}
        self._running_by_plan: Counter[PlanName] = Counter()
        self._level_by_plan: dict[PlanName, float] = {}
        self._latest_level = 0.0
        self._updated_at = 0.0

    def set_shares(self, share_by_plan: Mapping[PlanName, float]) -> None:
        """Replace the guaranteed shares."""
        self._share_by_plan = dict(share_by_plan)

    def advance(self, now: float) -> None:
        """Charge the slot time since the latest call."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        for plan, running in self._running_by_plan.items():
            used = running * elapsed_s / self._weight(plan)
            self._level_by_plan[plan] = self._level(plan) + used

    def begin_waiting(self, plan: PlanName) -> None:
        """Take note that a plan with nothing waiting has a request now."""
        self._level_by_plan[plan] = max(self._level(plan), self._latest_level)

    def forgo_claim(self, plan: PlanName) -> None:
        """Take note that a waiting plan may not start now: this saves up no claim for later."""
        self.begin_waiting(plan)

    def start(self, plan: PlanName, now: float) -> None:
        """Count a started request."""
        self.advance(now)
        self._latest_level = max(self._latest_level, self._level(plan))
        self._running_by_plan[plan] += 1

    def finish(self, plan: PlanName, now: float) -> None:
        """Count the end of a started request."""
        self.advance(now)
        self._running_by_plan[plan] -= 1
        if self._running_by_plan[plan]:
            return
        del self._running_by_plan[plan]
        if self._level(plan) <= self._latest_level:
            self._level_by_plan.pop(plan, None)

    def running(self, plan: PlanName) -> int:
        """Return the requests of the plan that have started and not ended."""
        return self._running_by_plan[plan]

    def relative_use(self, plan: PlanName) -> float:
        """Return the use that decides who gets the next slot; the least goes first."""
        charge = RUNNING_CHARGE_S * self._running_by_plan[plan] / self._weight(plan)
        return self._level(plan) + charge

    def held(self, plan: PlanName, *, queued: int) -> float:
        """Return the use that decides who leaves a full queue; the greatest goes first."""
        return (self._running_by_plan[plan] + queued) / self._weight(plan)

    def _level(self, plan: PlanName) -> float:
        return self._level_by_plan.get(plan, self._latest_level)

    def _weight(self, plan: PlanName) -> float:
        return max(self._share_by_plan.get(plan, 0.0), MINIMUM_SHARE)
