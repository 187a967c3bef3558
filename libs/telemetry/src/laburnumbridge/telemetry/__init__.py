"""Events, logs, metrics, recorded decisions and burn rates."""

from __future__ import annotations

from laburnumbridge.telemetry.event import Event
from laburnumbridge.telemetry.event_log import EventLog

__all__ = ["Event", "EventLog"]
