"""Events, logs, metrics, recorded decisions and burn rates."""

from __future__ import annotations

from laburnumbridge.core.event import Event
from laburnumbridge.telemetry.burn_report import ALERT_RULES
from laburnumbridge.telemetry.burn_report import WINDOW_MINUTES
from laburnumbridge.telemetry.burn_report import BurnLine
from laburnumbridge.telemetry.burn_report import ServiceObjectives
from laburnumbridge.telemetry.burn_report import build_burn_lines
from laburnumbridge.telemetry.decision import Decision
from laburnumbridge.telemetry.decision import SubjectKind
from laburnumbridge.telemetry.decision_ring import DecisionRing
from laburnumbridge.telemetry.errors import DecisionsRejectedError
from laburnumbridge.telemetry.errors import InvalidSubjectError
from laburnumbridge.telemetry.errors import MalformedHistogramError
from laburnumbridge.telemetry.errors import MetricsAddressInUseError
from laburnumbridge.telemetry.errors import SnapshotRejectedError
from laburnumbridge.telemetry.event_catalogue import render_event_catalogue
from laburnumbridge.telemetry.event_log import EventLog
from laburnumbridge.telemetry.explain_answer import DecisionRecord
from laburnumbridge.telemetry.explain_answer import ExplainAnswer
from laburnumbridge.telemetry.explain_answer import decode_answer
from laburnumbridge.telemetry.explain_answer import encode_answer
from laburnumbridge.telemetry.explain_answer import format_subject
from laburnumbridge.telemetry.explain_answer import parse_subject
from laburnumbridge.telemetry.fleet_metrics import FleetMetrics
from laburnumbridge.telemetry.metric_registry import MetricRegistry
from laburnumbridge.telemetry.metric_registry import SeriesKey
from laburnumbridge.telemetry.metrics_endpoint import MetricsEndpoint
from laburnumbridge.telemetry.outcome import Outcome
from laburnumbridge.telemetry.outcome_window import OutcomeCounts
from laburnumbridge.telemetry.outcome_window import OutcomeWindow
from laburnumbridge.telemetry.process_snapshot import BROKEN_FLOWS
from laburnumbridge.telemetry.process_snapshot import ListInForce
from laburnumbridge.telemetry.process_snapshot import MembershipSummary
from laburnumbridge.telemetry.process_snapshot import MinuteCounts
from laburnumbridge.telemetry.process_snapshot import ProcessFacts
from laburnumbridge.telemetry.process_snapshot import ProcessSnapshot
from laburnumbridge.telemetry.process_snapshot import SeriesSnapshot
from laburnumbridge.telemetry.process_snapshot import UpstreamLoad
from laburnumbridge.telemetry.prometheus_collector import PrometheusCollector
from laburnumbridge.telemetry.snapshot_codec import decode_snapshot
from laburnumbridge.telemetry.snapshot_codec import encode_snapshot
from laburnumbridge.telemetry.snapshot_codec import take_snapshot

__all__ = [
    "ALERT_RULES",
    "BROKEN_FLOWS",
    "WINDOW_MINUTES",
    "BurnLine",
    "Decision",
    "DecisionRecord",
    "DecisionRing",
    "DecisionsRejectedError",
    "Event",
    "EventLog",
    "ExplainAnswer",
    "FleetMetrics",
    "InvalidSubjectError",
    "ListInForce",
    "MalformedHistogramError",
    "MembershipSummary",
    "MetricRegistry",
    "MetricsAddressInUseError",
    "MetricsEndpoint",
    "MinuteCounts",
    "Outcome",
    "OutcomeCounts",
    "OutcomeWindow",
    "ProcessFacts",
    "ProcessSnapshot",
    "PrometheusCollector",
    "SeriesKey",
    "SeriesSnapshot",
    "ServiceObjectives",
    "SnapshotRejectedError",
    "SubjectKind",
    "UpstreamLoad",
    "build_burn_lines",
    "decode_answer",
    "decode_snapshot",
    "encode_answer",
    "encode_snapshot",
    "format_subject",
    "parse_subject",
    "render_event_catalogue",
    "take_snapshot",
]
