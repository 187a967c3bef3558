"""Records the outcomes of requests and flows for metrics, reports and explanations."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from laburnumbridge.telemetry import BROKEN_FLOWS
from laburnumbridge.telemetry import Decision
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import Outcome
from laburnumbridge.telemetry import SeriesKey
from laburnumbridge.telemetry import SubjectKind

if TYPE_CHECKING:
    from laburnumbridge.core import Refusal
    from laburnumbridge.telemetry import DecisionRing
    from laburnumbridge.telemetry import EventLog
    from laburnumbridge.telemetry import MetricRegistry


class RequestRecorder:
    """Writes metrics, decisions and log events of one agent."""

    def __init__(
        self,
        *,
        service: str,
        upstream: str,
        metrics: MetricRegistry,
        ring: DecisionRing,
        log: EventLog,
    ) -> None:
        self._service = service
        self._upstream = upstream
        self._metrics = metrics
        self._ring = ring
        self._log = log
        # In milliseconds; set from the list of services before the first request.
        self.objective_ms = 0.0

    def request_ended(
        self, request_id: str, plan: str, outcome: Outcome, *, latency_s: float, flow: str
    ) -> None:
        """Record the outcome of a request; ``flow`` is the connection ID in hex."""
        self._metrics.record_request(
            SeriesKey(self._service, plan),
            outcome,
            latency_s=latency_s,
            objective_ms=self.objective_ms,
            now=time.time(),
        )
        event = {Outcome.UNKNOWN: Event.OUTCOME_UNKNOWN, Outcome.CUT: Event.ANSWER_CUT}
        if outcome in event:
            self._log.write(event[outcome], request=request_id, plan=plan)
            self._record_request_event(
                event[outcome], "the upstream was lost", request_id, plan, flow
            )
        elif outcome is Outcome.ANSWERED:
            self._record_request_event(
                Event.REQUEST_ANSWERED, "answered", request_id, plan, flow, routine=True
            )

    def request_refused(self, request_id: str, plan: str, refusal: Refusal, *, flow: str) -> None:
        """Record why a request was refused."""
        self._metrics.refusals_by_reason[refusal.reason.value] += 1
        fields = {
            "reason": refusal.reason.value,
            "limit": refusal.limit,
            "used": refusal.used,
            "version": refusal.list_version,
        }
        self._log.write(Event.REQUEST_REFUSED, request=request_id, plan=plan, **fields)
        cause = ", ".join(f"{name} {value}" for name, value in fields.items() if value is not None)
        self._record_request_event(Event.REQUEST_REFUSED, cause, request_id, plan, flow)

    def request_retried(self, request_id: str, plan: str, sibling: str) -> None:
        """Record that a request is retried at a sibling's upstream."""
        self._metrics.count("requests_retried")
        self._log.write(Event.REQUEST_RETRIED, request=request_id, plan=plan, sibling=sibling)
        self._record_request_event(
            Event.REQUEST_RETRIED, f"forwarded to {sibling}", request_id, plan, ""
        )

    def upstream_shed(self, request_id: str, plan: str, retry_after_s: float) -> None:
        """Record that the upstream shed a request, with its Retry-After in seconds."""
        self._metrics.count("requests_shed")
        fields = {"request": request_id, "plan": plan, "retry_after_s": retry_after_s}
        self._log.write(Event.UPSTREAM_SHED, **fields)
        self._record_request_event(
            Event.UPSTREAM_SHED, f"for {retry_after_s:g} s", request_id, plan, ""
        )

    def upstream_changed(self, *, is_up: bool) -> None:
        """Record that the upstream started or stopped accepting connections."""
        event = Event.UPSTREAM_STARTED if is_up else Event.UPSTREAM_DOWN
        self._log.write(event, upstream=self._upstream)
        cause = "accepts connections" if is_up else "refuses connections"
        self._record(event, cause, {}, important=True)

    def flow_opened(self, flow: str) -> None:
        """Record a new flow."""
        self._metrics.count("flows_opened")
        self._record(Event.FLOW_OPENED, "handshake complete", {SubjectKind.FLOW: flow})

    def flow_closed(self, flow: str, reason: str, *, broken: bool) -> None:
        """Record the end of a flow; ``broken`` is True unless an end closed it in order."""
        self._metrics.count(BROKEN_FLOWS if broken else "flows_closed")
        subjects = {SubjectKind.FLOW: flow}
        self._record(Event.FLOW_CLOSED, reason, subjects, important=broken)

    def _record_request_event(
        self,
        event: Event,
        cause: str,
        request_id: str,
        plan: str,
        flow: str,
        *,
        routine: bool = False,
    ) -> None:
        subjects = {
            SubjectKind.REQUEST: request_id,
            SubjectKind.PLAN: plan,
            SubjectKind.FLOW: flow,
        }
        self._record(event, cause, subjects, important=not routine)

    def _record(
        self,
        event: Event,
        cause: str,
        subjects: dict[SubjectKind, str],
        *,
        important: bool = False,
    ) -> None:
        subjects = {**subjects, SubjectKind.UPSTREAM: self._upstream}
        self._ring.record(
            Decision(
                at=time.time(), event=event, cause=cause, subjects=subjects, important=important
            )
        )
