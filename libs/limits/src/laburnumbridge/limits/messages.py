"""Messages between a lease client and a lease holder."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.limits.limit_kind import LimitKind


@dataclass(frozen=True, slots=True)
class ReportLine:
    """The credit of one limit at one agent.

    ``held`` is the agent's share and ``used`` the credit in use. ``needed`` adds one unit for each
    pending admission, and ``wanted`` adds a reserve.
    """

    held: int
    used: int
    needed: int
    wanted: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """The credit of a plan at an agent; it requests, renews and returns credit.

    ``sequence`` rises with every report of the agent's incarnation. ``applied_incarnation`` and
    ``applied_sequence`` identify the last grant of the addressed holder that the agent applied (0
    for none). ``lines_by_kind`` is empty when the agent has no state of the plan.
    """

    plan: PlanName
    agent: ProcessId
    incarnation: Incarnation
    sequence: int
    applied_incarnation: int
    applied_sequence: int
    lines_by_kind: Mapping[LimitKind, ReportLine]


@dataclass(frozen=True, slots=True)
class GrantLine:
    """One limit in a grant, in units of credit.

    ``share`` replaces the agent's credit. ``limit`` is the fleet-wide limit that the holder used.
    ``out`` is the credit that the holder still counts as out at the agent; it is above ``share``
    until the agent confirms a lower share. ``tight`` requests the return of unused credit at once.
    ``exhausted`` reports that no credit was available for the agent's request. ``fleet_out`` is
    the credit that the holder counts as out in the whole fleet.
    """

    share: int
    limit: int
    out: int
    tight: bool
    exhausted: bool
    fleet_out: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A lease; its term starts when the agent sent the report with sequence ``answers``."""

    plan: PlanName
    holder: ProcessId
    incarnation: Incarnation
    sequence: int
    answers: int
    lines_by_kind: Mapping[LimitKind, GrantLine]


@dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """A holder's request for a report of the credit that an agent holds of a plan."""

    plan: PlanName
    holder: ProcessId
    incarnation: Incarnation
