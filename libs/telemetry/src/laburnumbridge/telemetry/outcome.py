"""Outcomes of requests, and how service-level objectives count them."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request or flow.

    Refusals by the plan's own limits and cancellations by the client don't count against the
    objectives; refusals for lack of capacity do.
    """

    ANSWERED = "answered"
    REFUSED_PLAN = "refused_plan"
    REFUSED_CAPACITY = "refused_capacity"
    UNKNOWN = "unknown"
    CUT = "cut"
    CANCELLED = "cancelled"

    @property
    def counts(self) -> bool:
        """True if the outcome counts towards the objective's total."""
        return self not in (Outcome.REFUSED_PLAN, Outcome.CANCELLED)

    @property
    def is_failure(self) -> bool:
        """True if the outcome uses up error budget."""
        return self in (Outcome.REFUSED_CAPACITY, Outcome.UNKNOWN, Outcome.CUT)
