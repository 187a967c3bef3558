"""The bounded queue of one upstream."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.admission.plan_use import PlanUse
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import RequestId


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot."""

    request_id: RequestId
    plan: PlanName
    deadline: float


class RequestQueue:
    """Requests that wait; the queue is short, so every choice is one pass over it."""

    def __init__(self, *, use: PlanUse) -> None:
        self._use = use
        self._request_by_id: dict[RequestId, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._request_by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._request_by_id

    def add(self, request: QueuedRequest) -> None:
        """Append a request."""
        if not any(item.plan == request.plan for item in self._request_by_id.values()):
            self._use.begin_waiting(request.plan)
        self._request_by_id[request.request_id] = request

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Take out a request, or return None if it does not wait."""
        return self._request_by_id.pop(request_id, None)

    def take_next(
        self, now: float, *, may_start: Callable[[PlanName], bool]
    ) -> QueuedRequest | None:
        """Take the request of the plan with the least relative use, earliest deadline first.

        Plans for which ``may_start`` is false are passed over; None if no other plan waits.
        """
        self._use.advance(now)
        plans = {request.plan for request in self._request_by_id.values()}
        startable = {plan for plan in plans if may_start(plan)}
        for plan in plans - startable:
            self._use.forgo_claim(plan)
        chosen = min(
            (request for request in self._request_by_id.values() if request.plan in startable),
            key=lambda request: (self._use.relative_use(request.plan), request.deadline),
            default=None,
        )
        return None if chosen is None else self._request_by_id.pop(chosen.request_id)

    def take_latest(self, plan: PlanName) -> QueuedRequest:
        """Take the plan's request with the latest deadline, the newest of several."""
        chosen = max(
            (item for item in reversed(self._request_by_id.values()) if item.plan == plan),
            key=lambda request: request.deadline,
        )
        return self._request_by_id.pop(chosen.request_id)

    def queued_by_plan(self) -> Counter[PlanName]:
        """Return how many requests of each plan wait."""
        return Counter(request.plan for request in self._request_by_id.values())

    def take_excess(self) -> QueuedRequest:
        """Take the request to drop: greatest relative use, then latest deadline, then newest."""
        held_by_plan = {
            plan: self._use.held(plan, queued=queued)
            for plan, queued in self.queued_by_plan().items()
        }
        chosen = max(
            reversed(self._request_by_id.values()),
            key=lambda request: (held_by_plan[request.plan], request.deadline),
        )
        return self._request_by_id.pop(chosen.request_id)

    def take_expired(self, now: float) -> list[QueuedRequest]:
        """Take every request whose deadline has passed, or comes at ``now``."""
        expired = [item for item in self._request_by_id.values() if item.deadline <= now]
        for request in expired:
            del self._request_by_id[request.request_id]
        return sorted(expired, key=lambda request: request.deadline)

    def next_deadline(self) -> float:
        """Return the earliest deadline, or infinity."""
        return min((item.deadline for item in self._request_by_id.values()), default=math.inf)
