"""Upper limits on each plan's use of one upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.core import PlanName

# 0.29 of 100 is 28.999999999999996 in floating point and must count as 29.
_ROUNDING = 1e-9


class PlanCeilings:
    """Converts ceilings (fractions in 0..1) to whole slots, connections and queued requests."""

    def __init__(self) -> None:
        self._ceiling_by_plan: Mapping[PlanName, float] = {}

    def set_ceilings(self, ceiling_by_plan: Mapping[PlanName, float]) -> None:
        """Replace the ceilings; a plan without one has no upper limit of its own."""
        self._ceiling_by_plan = dict(ceiling_by_plan)

    def limit(self, plan: PlanName, *, total: int) -> int:
        """Return how many of ``total`` the plan may use, at least one so that it can run."""
        ceiling = self._ceiling_by_plan.get(plan, 1.0)
        return max(1, math.floor(ceiling * total + _ROUNDING))

    def is_reached(self, plan: PlanName, *, used: int, total: int) -> bool:
        """Return whether the plan has reached its ceiling, and the ceiling is below ``total``."""
        limit = self.limit(plan, total=total)
        return limit < total and used >= limit
