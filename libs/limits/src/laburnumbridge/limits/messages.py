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
    """One limit at one agent, in units of credit.

    ``needed`` is what is in use and what pending admissions lack; ``wanted`` adds a reserve.
    """

    held: int
    used: int
    needed: int
    wanted: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What an agent holds of a plan; asks for, renews and returns credit.

    ``sequence`` rises with every report of the agent's incarnation. ``applied_incarnation`` and
    ``applied_sequence`` name the last grant of the addressed holder that the agent applied (0
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
    """One limit in a grant.

    ``share`` replaces the agent's credit. ``limit`` is the fleet-wide limit that the holder
    worked with. ``out`` is what the holder still counts as out at the agent; it is above
    ``share`` until the agent confirms. ``tight`` asks the agent to return unused credit at once.
    ``exhausted`` tells it that no credit could be found for what it asked; ``fleet_out`` is what
    the holder counts as out in the whole fleet.
    """

    share: int
    limit: int
    out: int
    tight: bool
    exhausted: bool
    fleet_out: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A lease; its term is counted from the moment the agent sent report ``answers``."""

    plan: PlanName
    holder: ProcessId
    incarnation: Incarnation
    sequence: int
    answers: int
    lines_by_kind: Mapping[LimitKind, GrantLine]


@dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """A new holder's question for what an agent holds of a plan."""

    plan: PlanName
    holder: ProcessId
    incarnation: Incarnation
