"""Slot use per plan, relative to the guaranteed shares."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.core import PlanName

# Weight of a plan without a guarantee: it is served last, but not starved.
MINIMUM_SHARE = 0.01
# Slot time charged in advance for each running request, because requests that start at the same
# instant have not used any yet.
RUNNING_CHARGE_S = 0.05


class PlanUse:
    """Start-time fair queueing over slot time (Goyal, Vin and Cheng, SIGCOMM 1996).

    The virtual time of a plan is its slot-seconds divided by its guaranteed share. A plan that
    had no queued request resumes at the virtual time of the latest start: its idle time earns no
    credit, and it is not charged for slots that no other plan needed.
    """

    def __init__(self) -> None:
        self._share_by_plan: Mapping[PlanName, float] = {}
        self._running_by_plan: Counter[PlanName] = Counter()
        self._virtual_time_by_plan: dict[PlanName, float] = {}
        self._latest_start = 0.0
        self._updated_at = 0.0

    def set_shares(self, share_by_plan: Mapping[PlanName, float]) -> None:
        """Replace the guaranteed shares."""
        self._share_by_plan = dict(share_by_plan)

    def advance(self, now: float) -> None:
        """Charge each plan for the slot time since the previous call."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        for plan, running in self._running_by_plan.items():
            used = running * elapsed_s / self._weight(plan)
            self._virtual_time_by_plan[plan] = self._virtual_time(plan) + used

    def start_waiting(self, plan: PlanName) -> None:
        """Record that a plan without queued requests has one now."""
        self._virtual_time_by_plan[plan] = max(self._virtual_time(plan), self._latest_start)

    def discard_credit(self, plan: PlanName) -> None:
        """Raise a plan that may not start now to the latest start, so that it earns no credit."""
        self.start_waiting(plan)

    def start(self, plan: PlanName, now: float) -> None:
        """Count a started request."""
        self.advance(now)
        self._latest_start = max(self._latest_start, self._virtual_time(plan))
        self._running_by_plan[plan] += 1

    def finish(self, plan: PlanName, now: float) -> None:
        """Count the end of a started request."""
        self.advance(now)
        self._running_by_plan[plan] -= 1
        if self._running_by_plan[plan]:
            return
        del self._running_by_plan[plan]
        if self._virtual_time(plan) <= self._latest_start:
            self._virtual_time_by_plan.pop(plan, None)

    def running(self, plan: PlanName) -> int:
        """Return the number of the plan's requests that have started and not ended."""
        return self._running_by_plan[plan]

    def relative_use(self, plan: PlanName) -> float:
        """Return the virtual time plus the charge of running requests; the lowest is next."""
        charge = RUNNING_CHARGE_S * self._running_by_plan[plan] / self._weight(plan)
        return self._virtual_time(plan) + charge

    def relative_occupancy(self, plan: PlanName, *, queued: int) -> float:
        """Return running and ``queued`` requests divided by the share; the highest is dropped."""
        return (self._running_by_plan[plan] + queued) / self._weight(plan)

    def _virtual_time(self, plan: PlanName) -> float:
        return self._virtual_time_by_plan.get(plan, self._latest_start)

    def _weight(self, plan: PlanName) -> float:
        return max(self._share_by_plan.get(plan, 0.0), MINIMUM_SHARE)
