"""Admission of connections and requests at one upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.admission.actions import AbortRequest
from laburnumbridge.admission.actions import AcceptConnection
from laburnumbridge.admission.actions import ExpireRequest
from laburnumbridge.admission.actions import RefuseConnection
from laburnumbridge.admission.actions import RefuseRequest
from laburnumbridge.admission.actions import StartRequest
from laburnumbridge.admission.admission_snapshot import AdmissionSnapshot
from laburnumbridge.admission.connection_limiter import ConnectionLimiter
from laburnumbridge.admission.events import ConnectionClosed
from laburnumbridge.admission.events import ConnectionOpened
from laburnumbridge.admission.events import DrainStarted
from laburnumbridge.admission.events import HealthReported
from laburnumbridge.admission.events import LoadReported
from laburnumbridge.admission.events import PlanSharesChanged
from laburnumbridge.admission.events import RequestAnswered
from laburnumbridge.admission.events import RequestArrived
from laburnumbridge.admission.events import RequestCancelled
from laburnumbridge.admission.events import RequestFinished
from laburnumbridge.admission.events import UpstreamStartedCold
from laburnumbridge.admission.plan_ceilings import PlanCeilings
from laburnumbridge.admission.plan_use import PlanUse
from laburnumbridge.admission.request_queue import QueuedRequest
from laburnumbridge.admission.request_queue import RequestQueue
from laburnumbridge.admission.upstream_capacity import UpstreamCapacity
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason

if TYPE_CHECKING:
    from laburnumbridge.admission.actions import AdmissionAction
    from laburnumbridge.admission.admission_settings import AdmissionSettings
    from laburnumbridge.admission.events import AdmissionEvent
    from laburnumbridge.admission.events import ConnectionId
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import RequestId


@dataclass(frozen=True, slots=True)
class _Running:
    plan: PlanName
    deadline: float


@dataclass(frozen=True, slots=True)
class _Stream:
    plan: PlanName
    connection_id: ConnectionId | None


class Admission:
    """Decides which connections and requests one upstream accepts; its agent owns it.

    Every `RequestArrived` with a new identifier ends in exactly one of: a start, a refusal, an
    expiry, or its own cancellation while queued. A started request is never refused or expired.
    """

    def __init__(self, *, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._capacity = UpstreamCapacity(slots=settings.slots, slow_start_s=settings.slow_start_s)
        self._ceilings = PlanCeilings()
        self._connections = ConnectionLimiter(limit=settings.connections, ceilings=self._ceilings)
        self._use = PlanUse()
        self._queue = RequestQueue(use=self._use)
        self._running_by_id: dict[RequestId, _Running] = {}
        self._stream_by_id: dict[RequestId, _Stream] = {}
        self._probe_id: RequestId | None = None
        self._is_draining = False
        self._list_version: int | None = None
        self._now = -math.inf

    def handle(self, event: AdmissionEvent, now: float) -> list[AdmissionAction]:
        """Apply one event and return the resulting actions, in order.

        ``now`` is in monotonic seconds; a value before the latest one counts as the latest one.
        """
        self._now = max(self._now, now)
        actions: list[AdmissionAction] = []
        # A request that finishes or is cancelled at its deadline frees its slot first, and does
        # not count as expired.
        if isinstance(event, RequestFinished):
            self._finish_request(event)
        elif isinstance(event, RequestCancelled):
            self._cancel_request(event.request_id)
        self._end_expired(actions)
        self._apply(event, actions)
        self._start_queued(actions)
        self._refuse_excess(actions)
        return actions

    def next_deadline(self) -> float:
        """Return when the driver must send a `Tick` (monotonic seconds), or infinity if never."""
        deadline = min((item.deadline for item in self._running_by_id.values()), default=math.inf)
        if not self._queue:
            return deadline
        change = self._capacity.next_change(self._now)
        return min(deadline, self._queue.next_deadline(), change)

    def snapshot(self) -> AdmissionSnapshot:
        """Return the counts as of the latest event."""
        return AdmissionSnapshot(
            slots=self._settings.slots,
            usable_slots=self._capacity.usable(self._now),
            busy_slots=len(self._running_by_id),
            streams=len(self._stream_by_id),
            queued=len(self._queue),
            queue_limit=self._settings.queue_limit,
            connections=self._connections.used,
            connection_limit=self._settings.connections,
            is_draining=self._is_draining,
            is_probing=self._capacity.is_probing,
        )

    def _apply(self, event: AdmissionEvent, actions: list[AdmissionAction]) -> None:
        match event:
            case RequestArrived():
                self._admit_request(event, actions)
            case RequestAnswered(request_id=request_id):
                self._record_answer(request_id)
            case ConnectionOpened():
                self._open_connection(event, actions)
            case ConnectionClosed(connection_id=connection_id):
                self._connections.close(connection_id)
            case HealthReported(is_up=is_up):
                self._capacity.report_health(is_up=is_up, now=self._now)
            case LoadReported(busy_slots=busy_slots):
                running = len(self._running_by_id)
                self._capacity.report_load(busy_slots=busy_slots, running=running, now=self._now)
            case PlanSharesChanged():
                self._use.set_shares(event.guaranteed_share_by_plan)
                self._ceilings.set_ceilings(event.ceiling_by_plan)
                self._list_version = event.list_version
            case DrainStarted():
                self._is_draining = True
            case UpstreamStartedCold():
                self._capacity.start_cold(self._now)

    def _open_connection(self, event: ConnectionOpened, actions: list[AdmissionAction]) -> None:
        connection_id = event.connection_id
        if self._connections.is_open(connection_id):
            return
        if self._is_draining:
            refusal = self._refusal(RefusalReason.DRAINING, event.plan)
            actions.append(RefuseConnection(connection_id, refusal))
        elif not self._connections.open(connection_id, event.plan):
            actions.append(RefuseConnection(connection_id, self._connection_refusal(event.plan)))
        else:
            actions.append(AcceptConnection(connection_id))

    def _admit_request(self, event: RequestArrived, actions: list[AdmissionAction]) -> None:
        request = QueuedRequest(event.request_id, event.plan, event.deadline)
        if self._is_queued_or_running(event.request_id):
            return
        if self._is_draining:
            refusal = self._refusal(RefusalReason.DRAINING, event.plan)
            actions.append(RefuseRequest(event.request_id, refusal))
        elif event.deadline <= self._now:
            actions.append(self._expiry_action(request))
        elif event.is_stream:
            self._start_stream(event, actions)
        else:
            self._queue.add(request)

    def _start_stream(self, event: RequestArrived, actions: list[AdmissionAction]) -> None:
        if self._capacity.is_probing and not self._may_start():
            refusal = self._capacity_refusal(event.plan)
            actions.append(RefuseRequest(event.request_id, refusal))
        elif not self._connections.open_stream(event.connection_id, event.plan):
            plan = self._connections.charged_plan(event.connection_id, event.plan)
            actions.append(RefuseRequest(event.request_id, self._connection_refusal(plan)))
        else:
            self._stream_by_id[event.request_id] = _Stream(event.plan, event.connection_id)
            self._record_probe(event.request_id)
            actions.append(StartRequest(event.request_id))

    def _record_answer(self, request_id: RequestId) -> None:
        if self._is_queued_or_running(request_id) and request_id not in self._queue:
            self._clear_probe(request_id)
            self._capacity.answer(self._now)

    def _finish_request(self, event: RequestFinished) -> None:
        # Streams use no slots, so a shed stream is weak evidence about them.
        running = None if event.request_id in self._stream_by_id else len(self._running_by_id)
        if self._release(event.request_id):
            self._capacity.finish(
                event.outcome, running=running, retry_after_s=event.retry_after_s, now=self._now
            )

    def _cancel_request(self, request_id: RequestId) -> None:
        if self._queue.remove(request_id) is None:
            self._release(request_id)

    def _release(self, request_id: RequestId) -> bool:
        self._clear_probe(request_id)
        if request_id in self._stream_by_id:
            stream = self._stream_by_id.pop(request_id)
            self._connections.close_stream(stream.connection_id, stream.plan)
            return True
        running = self._running_by_id.pop(request_id, None)
        if running is None:
            return False
        self._use.finish(running.plan, self._now)
        return True

    def _end_expired(self, actions: list[AdmissionAction]) -> None:
        actions.extend(
            self._expiry_action(request) for request in self._queue.take_expired(self._now)
        )
        overdue = [key for key, item in self._running_by_id.items() if item.deadline <= self._now]
        for request_id in overdue:
            self._release(request_id)
            actions.append(AbortRequest(request_id))

    def _start_queued(self, actions: list[AdmissionAction]) -> None:
        while self._queue and self._may_start():
            request = self._queue.take_next(self._now, may_start=self._is_below_ceiling)
            if request is None:
                return
            self._running_by_id[request.request_id] = _Running(request.plan, request.deadline)
            self._use.start(request.plan, self._now)
            self._record_probe(request.request_id)
            actions.append(StartRequest(request.request_id))

    def _refuse_excess(self, actions: list[AdmissionAction]) -> None:
        if not self._queue:
            return
        closed_until = self._capacity.closed_until(self._now)
        if closed_until > self._now:
            # These requests would expire before a slot opens. An early refusal leaves the client
            # or a sibling time to try elsewhere.
            for request in self._queue.take_expired(closed_until):
                refusal = self._capacity_refusal(request.plan)
                actions.append(RefuseRequest(request.request_id, refusal))
        self._refuse_above_ceiling(actions)
        while len(self._queue) > self._settings.queue_limit:
            request = self._queue.take_excess()
            refusal = self._excess_refusal(request.plan)
            actions.append(RefuseRequest(request.request_id, refusal))

    def _refuse_above_ceiling(self, actions: list[AdmissionAction]) -> None:
        # Otherwise the requests of a plan at its ceiling fill the queue while slots that only
        # other plans may use stay free.
        for plan, queued in self._queue.queued_by_plan().items():
            if self._is_below_ceiling(plan):
                continue
            limit = self._ceilings.limit(plan, total=self._settings.queue_limit)
            for _ in range(queued - limit):
                request = self._queue.take_latest(plan)
                actions.append(RefuseRequest(request.request_id, self._ceiling_refusal(plan)))

    def _is_below_ceiling(self, plan: PlanName) -> bool:
        running = self._use.running(plan)
        return not self._ceilings.is_reached(plan, used=running, total=self._settings.slots)

    def _may_start(self) -> bool:
        if self._capacity.is_probing and self._probe_id is not None:
            return False
        return len(self._running_by_id) < self._capacity.usable(self._now)

    def _record_probe(self, request_id: RequestId) -> None:
        if self._capacity.is_probing:
            self._probe_id = request_id
            self._capacity.start_probe(self._now)

    def _clear_probe(self, request_id: RequestId) -> None:
        if self._probe_id == request_id:
            self._probe_id = None

    def _is_queued_or_running(self, request_id: RequestId) -> bool:
        if request_id in self._queue or request_id in self._stream_by_id:
            return True
        return request_id in self._running_by_id

    def _expiry_action(self, request: QueuedRequest) -> ExpireRequest:
        refusal = self._refusal(RefusalReason.DEADLINE_EXPIRED, request.plan)
        return ExpireRequest(request.request_id, refusal)

    def _capacity_refusal(self, plan: PlanName) -> Refusal:
        reason = self._capacity.refusal_reason(self._now)
        used = len(self._queue)
        return self._refusal(reason, plan, limit=self._settings.queue_limit, used=used)

    def _excess_refusal(self, plan: PlanName) -> Refusal:
        if self._is_below_ceiling(plan):
            return self._capacity_refusal(plan)
        return self._ceiling_refusal(plan)

    def _ceiling_refusal(self, plan: PlanName) -> Refusal:
        limit = self._ceilings.limit(plan, total=self._settings.slots)
        used = self._use.running(plan)
        return self._refusal(RefusalReason.PLAN_CONCURRENCY, plan, limit=limit, used=used)

    def _connection_refusal(self, plan: PlanName) -> Refusal:
        if self._connections.is_at_ceiling(plan):
            limit = self._ceilings.limit(plan, total=self._settings.connections)
            used = self._connections.used_by(plan)
            return self._refusal(RefusalReason.PLAN_CONNECTIONS, plan, limit=limit, used=used)
        limit = self._settings.connections
        used = self._connections.used
        return self._refusal(RefusalReason.UPSTREAM_CONNECTIONS, plan, limit=limit, used=used)

    def _refusal(
        self,
        reason: RefusalReason,
        plan: PlanName,
        *,
        limit: float | None = None,
        used: float | None = None,
    ) -> Refusal:
        pause_s = self._capacity.closed_until(self._now) - self._now
        return Refusal(
            reason=reason,
            plan=plan,
            limit=limit,
            used=used,
            list_version=self._list_version,
            retry_after_s=pause_s if pause_s > 0 else None,
        )
