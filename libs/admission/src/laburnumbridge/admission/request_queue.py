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
    """Requests that wait for a slot.

    The queue is short, so each selection scans all of it.
    """

    def __init__(self, *, use: PlanUse) -> None:
        self._use = use
        self._request_by_id: dict[RequestId, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._request_by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._request_by_id

    def add(self, request: QueuedRequest) -> None:
        """Append a request; the first one of a plan marks the plan as waiting."""
        if not any(item.plan == request.plan for item in self._request_by_id.values()):
            self._use.start_waiting(request.plan)
        self._request_by_id[request.request_id] = request

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Remove and return a request, or return None if it is not queued."""
        return self._request_by_id.pop(request_id, None)

    def take_next(
        self, now: float, *, may_start: Callable[[PlanName], bool]
    ) -> QueuedRequest | None:
        """Remove and return the request to start next, or None if no queued plan may start.

        The plan with the least relative use is chosen, and its request with the earliest
        deadline. Plans for which ``may_start`` is false are skipped.
        """
        self._use.advance(now)
        plans = {request.plan for request in self._request_by_id.values()}
        startable = {plan for plan in plans if may_start(plan)}
        for plan in plans - startable:
            self._use.discard_credit(plan)
        chosen = min(
            (request for request in self._request_by_id.values() if request.plan in startable),
            key=lambda request: (self._use.relative_use(request.plan), request.deadline),
            default=None,
        )
        return None if chosen is None else self._request_by_id.pop(chosen.request_id)

    def take_latest(self, plan: PlanName) -> QueuedRequest:
        """Remove and return the plan's request with the latest deadline, the newest on a tie."""
        chosen = max(
            (item for item in reversed(self._request_by_id.values()) if item.plan == plan),
            key=lambda request: request.deadline,
        )
        return self._request_by_id.pop(chosen.request_id)

    def queued_by_plan(self) -> Counter[PlanName]:
        """Return the number of queued requests per plan."""
        return Counter(request.plan for request in self._request_by_id.values())

    def take_excess(self) -> QueuedRequest:
        """Remove and return the request to drop from a full queue.

        It belongs to the plan with the greatest relative occupancy and has the latest deadline,
        the newest on a tie.
        """
        occupancy_by_plan = {
            plan: self._use.relative_occupancy(plan, queued=queued)
            for plan, queued in self.queued_by_plan().items()
        }
        chosen = max(
            reversed(self._request_by_id.values()),
            key=lambda request: (occupancy_by_plan[request.plan], request.deadline),
        )
        return self._request_by_id.pop(chosen.request_id)

    def take_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return each request whose deadline is at or before ``now``, by deadline."""
        expired = [item for item in self._request_by_id.values() if item.deadline <= now]
        for request in expired:
            del self._request_by_id[request.request_id]
        return sorted(expired, key=lambda request: request.deadline)

    def next_deadline(self) -> float:
        """Return the earliest deadline (monotonic seconds), or infinity if there is none."""
        return min((item.deadline for item in self._request_by_id.values()), default=math.inf)
