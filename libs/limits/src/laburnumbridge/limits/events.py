"""Events that the lease client and the lease holder handle."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.core import PlanName
    from laburnumbridge.core import ProcessId
    from laburnumbridge.core import RequestId
    from laburnumbridge.limits.limit_kind import Work
    from laburnumbridge.limits.messages import Grant
    from laburnumbridge.limits.messages import Query
    from laburnumbridge.limits.messages import Report
    from laburnumbridge.limits.plan_limits import PlanLimits


@dataclass(frozen=True, slots=True)
class PlansChanged:
    """A version of the plans list took effect; a version not above the last one is ignored."""

    list_version: int
    limits_by_plan: Mapping[PlanName, PlanLimits]


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """The agents that the platform lists, and those among them that this process can reach.

    ``reachable`` includes the process itself. It is empty while the view counts as expired.
    """

    listed: frozenset[ProcessId]
    reachable: frozenset[ProcessId]


@dataclass(frozen=True, slots=True)
class AdmissionRequested:
    """A connection or a request needs admission."""

    request_id: RequestId
    plan: PlanName
    work: Work


@dataclass(frozen=True, slots=True)
class AdmissionCancelled:
    """The client cancelled an admission; without effect unless the admission is pending."""

    request_id: RequestId
    plan: PlanName


@dataclass(frozen=True, slots=True)
class WorkEnded:
    """An admitted connection or request has ended."""

    plan: PlanName
    work: Work


@dataclass(frozen=True, slots=True)
class GrantReceived:
    """A grant has arrived at the client."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class QueryReceived:
    """A query has arrived at the client."""

    query: Query


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report has arrived at the holder."""

    report: Report


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent at ``next_due`` and at least every ``TICK_S``."""


ClientEvent = (
    PlansChanged
    | FleetChanged
    | AdmissionRequested
    | AdmissionCancelled
    | WorkEnded
    | GrantReceived
    | QueryReceived
    | Tick
)
HolderEvent = PlansChanged | FleetChanged | ReportReceived | Tick
