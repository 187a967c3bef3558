from __future__ import annotations

import pytest

from laburnumbridge.runtime.telemetry_service import MAX_DECISIONS
from laburnumbridge.runtime.telemetry_service import TelemetryService
from laburnumbridge.telemetry import Decision
from laburnumbridge.telemetry import DecisionRing
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import InvalidSubjectError
from laburnumbridge.telemetry import MetricRegistry
from laburnumbridge.telemetry import Outcome
from laburnumbridge.telemetry import ProcessFacts
from laburnumbridge.telemetry import SeriesKey
from laburnumbridge.telemetry import SubjectKind
from laburnumbridge.telemetry import decode_answer
from laburnumbridge.telemetry import decode_snapshot

FACTS = ProcessFacts(
    name="agent-1", role="agent", region="r", failure_domain="midland", started_at=5.0
)


class TestTelemetryService:
    def make(self) -> TelemetryService:
        registry = MetricRegistry()
        registry.record_request(
            SeriesKey("s", "p"), Outcome.ANSWERED, latency_s=0.1, objective_ms=250, now=60
        )
        ring = DecisionRing()
        for at in range(MAX_DECISIONS + 5):
            subjects = {SubjectKind.PLAN: "public"}
            ring.record(Decision(at=at, event=Event.FLOW_OPENED, cause="new", subjects=subjects))
        return TelemetryService(
            registry=registry, ring=ring, read_facts=lambda: FACTS, clock=lambda: 70.0
        )

    def test_only_metrics_hold_series(self) -> None:
        service = self.make()
        status = decode_snapshot(service.status(), process="agent-1")
        metrics = decode_snapshot(service.metrics(), process="agent-1")
        assert (status.facts, status.taken_at, status.series) == (FACTS, 70.0, ())
        assert [series.service for series in metrics.series] == ["s"]

    def test_the_newest_decisions_are_kept_and_the_others_counted(self) -> None:
        # Guards against responses that gRPC rejects because of their size.
        answer = decode_answer(self.make().explain("plan:public"), process="agent-1")
        assert (answer.process, answer.omitted) == ("agent-1", 5)
        assert (answer.decisions[0].at, len(answer.decisions)) == (5.0, MAX_DECISIONS)

    def test_an_unknown_kind_is_a_typed_error(self) -> None:
        with pytest.raises(InvalidSubjectError, match="request, flow"):
            self.make().explain("guest:x")
