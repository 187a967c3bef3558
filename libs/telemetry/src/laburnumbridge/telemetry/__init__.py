"""Events, logs, metrics, recorded decisions and burn rates."""

from __future__ import annotations

from laburnumbridge.telemetry.burn_report import BurnLine
from laburnumbridge.telemetry.burn_report import ServiceObjectives
from laburnumbridge.telemetry.burn_report import build_burn_lines
from laburnumbridge.telemetry.decision import Decision
from laburnumbridge.telemetry.decision import SubjectKind
from laburnumbridge.telemetry.decision_ring import DecisionRing
from laburnumbridge.telemetry.event import Event
from laburnumbridge.telemetry.event_log import EventLog
from laburnumbridge.telemetry.metric_registry import MetricRegistry
from laburnumbridge.telemetry.metric_registry import SeriesKey
from laburnumbridge.telemetry.outcome import Outcome
from laburnumbridge.telemetry.outcome_window import OutcomeCounts
from laburnumbridge.telemetry.outcome_window import OutcomeWindow

__all__ = [
    "BurnLine",
    "Decision",
    "DecisionRing",
    "Event",
    "EventLog",
    "MetricRegistry",
    "Outcome",
    "OutcomeCounts",
    "OutcomeWindow",
    "SeriesKey",
    "ServiceObjectives",
    "SubjectKind",
    "build_burn_lines",
]
