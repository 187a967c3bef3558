"""Division of a limit among agents by demand."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

K = TypeVar("K")


def fair_level(demand_by_key: Mapping[K, int], budget: int) -> int:
    """Return the max-min fair share, in the unit of the demands.

    Demands up to it are met, and higher ones are cut to it. If the budget meets all demands it is
    the highest demand, or 0 without demands.
    """
    left = budget
    remaining = len(demand_by_key)
    for demand in sorted(demand_by_key.values()):
        if demand * remaining > left:
            return max(left, 0) // remaining
        left -= demand
        remaining -= 1
    return max(demand_by_key.values(), default=0)
