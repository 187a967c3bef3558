"""Refusals that the coordinator creates or inspects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason

if TYPE_CHECKING:
    from laburnumbridge.core import PlanName

# Refusals that occur before anything is sent and don't apply to the service's other upstreams.
UNSENT_REASONS = frozenset(
    {
        RefusalReason.COLD_START,
        RefusalReason.DRAINING,
        RefusalReason.NO_UPSTREAM,
        # A plan's ceiling applies at each upstream; its fleet-wide limits were counted before.
        RefusalReason.PLAN_CONCURRENCY,
        RefusalReason.PLAN_CONNECTIONS,
        RefusalReason.QUEUE_FULL,
    }
)
OWN_UPSTREAM_REASONS = UNSENT_REASONS | {RefusalReason.UPSTREAM_SHEDDING}
NO_UPSTREAM = Refusal(reason=RefusalReason.NO_UPSTREAM)
QUEUE_FULL = Refusal(reason=RefusalReason.QUEUE_FULL)


def expired(plan: PlanName) -> Refusal:
    """Return the refusal of a request whose deadline passed before it started."""
    return Refusal(reason=RefusalReason.DEADLINE_EXPIRED, plan=plan)
