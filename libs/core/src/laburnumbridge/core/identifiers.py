"""Identifiers that cross library boundaries."""

from __future__ import annotations

from typing import NewType

AgentNumber = NewType("AgentNumber", int)
Incarnation = NewType("Incarnation", int)
ServiceNumber = NewType("ServiceNumber", int)

FailureDomain = NewType("FailureDomain", str)
ClientAccountName = NewType("ClientAccountName", str)
PlanName = NewType("PlanName", str)
ProcessId = NewType("ProcessId", str)
RequestId = NewType("RequestId", str)
ServiceName = NewType("ServiceName", str)
UpstreamName = NewType("UpstreamName", str)
