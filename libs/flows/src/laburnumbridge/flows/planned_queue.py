"""The queue of openings for routes with a target latency."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import TypeVar

from laburnumbridge.flows.opening_order import OpeningOrder
from laburnumbridge.flows.opening_queue import DisplacedOpening
from laburnumbridge.flows.opening_queue import OpeningQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows.flow_packet import FlowKey
    from laburnumbridge.flows.opening_order import OpeningPlan
    from laburnumbridge.flows.opening_queue import WaitingOpening

T = TypeVar("T")

CLIENTS_PER_QUEUE = 4
"""One client address may use this part of the queue, so that three others find room beside it."""
MAX_PLAN_AGE_S = 0.2
"""A plan is kept while starts come as planned, but no longer than this: the expected work may have
changed."""
TOLERATED_DELAY_S = 0.001
"""A delay of the upstream after which the plan is still kept: a fiftieth of a request's work."""


class PlannedQueue(OpeningQueue[T]):
    """Returns opening packets in the order of ``OpeningOrder``.

    The order is planned again only if a packet was added, the upstream is later than planned, or
    the plan is old; in between packets are taken from the plan. Beyond ``limit`` packets the oldest
    of the lowest class is dropped, and beyond a quarter of that for one client address its oldest.
    ``expected_work_s`` returns the expected work of a flow's request; it may differ by the
    flow's service address and port, but not by client.
    """

    def __init__(self, *, limit: int, expected_work_s: Callable[[FlowKey], float]) -> None:
        super().__init__()
        self._limit = limit
        self._expected_work_s = expected_work_s
        self._count_by_client: Counter[bytes] = Counter()
        self._count_by_priority: Counter[int] = Counter()
        self._work_s_by_endpoint: dict[bytes, float] = {}
        self._order: OpeningOrder[T] = OpeningOrder(work_s=self._work_s)
        self._plan: OpeningPlan[T] | None = None
        self._plan_slots = 0
        self._planned_at = 0.0
        self._plan_until = 0.0
        self._next_index = 0
        self._started_s = 0.0

    def put(self, waiting: WaitingOpening[T]) -> DisplacedOpening[T] | None:
        """Add a packet; return the one that had to leave the queue for it, or None."""
        client = waiting.flow[:4]
        self._by_flow[waiting.flow] = waiting
        self._count_by_client[client] += 1
        self._count_by_priority[waiting.priority] += 1
        self._plan = None
        if self._count_by_client[client] > max(self._limit // CLIENTS_PER_QUEUE, 1):
            of_client = [other for other in self if other.flow[:4] == client]
            oldest = min(of_client, key=lambda other: other.deadline.since)
            reason = "client_share"
        elif len(self._by_flow) > self._limit:
            oldest = min(self, key=lambda other: (-other.priority, other.deadline.since))
            reason = "queue_full"
        else:
            return None
        self._remove(oldest)
        return DisplacedOpening(waiting=oldest, reason=reason)

    def pop_next(self, now: float, *, slots: int, backlog_s: float) -> WaitingOpening[T] | None:
        """Remove and return the packet to serve next, or None if none can be served in time.

        If none is planned, since the upstream has too much work before them, it is the first that
        another agent could still serve.
        """
        plan = self._current_plan(now, slots, backlog_s)
        if self._next_index < len(plan.order):
            waiting = plan.order[self._next_index]
            self._started_s += plan.intervals_s[self._next_index]
            self._next_index += 1
        else:
            in_time = (
                refused
                for refused in plan.refused
                if refused.flow in self._by_flow and refused.deadline.start_by >= now
            )
            other = next(in_time, None)
            if other is None:
                return None
            waiting = other
        self._order.on_start(waiting.priority, self._count_by_priority, now)
        self._remove(waiting)
        return waiting

    def expire(self, now: float, *, slots: int, backlog_s: float) -> list[WaitingOpening[T]]:
        """Remove and return the packets that have no place in the plan.

        They are refused by a new plan only, since some of the others may have been handed over.
        """
        plan = self._current_plan(now, slots, backlog_s)
        if plan.refused and (self._next_index or now > self._planned_at):
            self._plan = None
            plan = self._current_plan(now, slots, backlog_s)
        late = [refused for refused in plan.refused if refused.flow in self._by_flow]
        plan.refused.clear()
        for waiting in late:
            self._order.on_refusal(waiting.priority, now)
            self._remove(waiting)
        return late

    def has_overdue(self, now: float) -> bool:
        """Return whether a packet has waited longer than its route's target latency allows."""
        return any(
            waiting.deadline.target_by < now
            and waiting.deadline.target_by < waiting.deadline.start_by
            for waiting in self
        )

    def _work_s(self, waiting: WaitingOpening[T]) -> float:
        endpoint = waiting.flow[6:]
        work_s = self._work_s_by_endpoint.get(endpoint)
        if work_s is None:
            work_s = self._expected_work_s(waiting.flow)
            self._work_s_by_endpoint[endpoint] = work_s
        return work_s

    def _remove(self, waiting: WaitingOpening[T]) -> None:
        super()._remove(waiting)
        client = waiting.flow[:4]
        self._count_by_client[client] -= 1
        if not self._count_by_client[client]:
            del self._count_by_client[client]
        self._count_by_priority[waiting.priority] -= 1
        if not self._count_by_priority[waiting.priority]:
            del self._count_by_priority[waiting.priority]
        if not self._by_flow:
            self._plan = None
            self._order.on_empty()

    def _current_plan(self, now: float, slots: int, backlog_s: float) -> OpeningPlan[T]:
        """Return the plan, made again if it has become wrong."""
        plan = self._plan
        if plan is not None and slots == self._plan_slots and now < self._plan_until:
            delay_s = now + backlog_s - self._started_s - plan.backlog_done_by
            if delay_s <= TOLERATED_DELAY_S:
                return plan
        self._work_s_by_endpoint.clear()
        plan = self._order.plan(self, now, slots=slots, backlog_s=backlog_s)
        self._plan = plan
        self._plan_slots = slots
        self._planned_at = now
        self._plan_until = min(now + MAX_PLAN_AGE_S, self._order.next_promotion())
        if self._plan_until <= now:  # the promoted class comes next; then the others as planned
            self._plan_until = now + MAX_PLAN_AGE_S
        self._next_index = 0
        self._started_s = 0.0
        return plan
