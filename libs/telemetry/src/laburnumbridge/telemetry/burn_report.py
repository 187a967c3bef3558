"""Multi-window, multi-burn-rate figures of service-level objectives.

A burn rate of 1 uses up exactly the error budget of the objective's period. The windows and
thresholds are those of the Site Reliability Workbook, chapter 5, for a period of 30 days.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.telemetry.outcome_window import OutcomeCounts
    from laburnumbridge.telemetry.outcome_window import OutcomeWindow

WINDOW_MINUTES = (5, 30, 60, 360)


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Alert that fires if the burn rate is at least ``threshold`` in both windows."""

    severity: str
    short_minutes: int
    long_minutes: int
    threshold: float


ALERT_RULES = (AlertRule("page", 5, 60, 14.4), AlertRule("ticket", 30, 360, 6.0))


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceObjectives:
    """Objectives of a service.

    ``availability`` and ``latency_share`` are fractions of the requests that count.
    """

    availability: float
    latency_ms: float
    latency_share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BurnLine:
    """Burn rates of one objective of one service and plan.

    ``burn_by_window`` maps the length of a window, in minutes, to its burn rate.
    ``budget_left`` is the fraction of the error budget left after the longest window; it is
    negative if the budget is overspent. ``alerts`` holds the severities that fire.
    """

    service: str
    plan: str
    objective: str
    target: float
    total: int
    bad: int
    budget_left: float
    burn_by_window: Mapping[int, float]
    alerts: tuple[str, ...]


def build_burn_lines(
    *,
    service: str,
    plan: str,
    objectives: ServiceObjectives,
    window: OutcomeWindow,
    now: float,
) -> list[BurnLine]:
    """Return the lines for availability and latency; ``now`` is in seconds since the epoch."""
    counts = {minutes: window.over(minutes, now=now) for minutes in WINDOW_MINUTES}
    return [
        _build_line(service, plan, "availability", objectives.availability, counts),
        _build_line(service, plan, "latency", objectives.latency_share, counts),
    ]


def _build_line(
    service: str,
    plan: str,
    objective: str,
    target: float,
    counts_by_window: Mapping[int, OutcomeCounts],
) -> BurnLine:
    burn = {
        minutes: _bad_share(counts, objective) / (1 - target)
        for minutes, counts in counts_by_window.items()
    }
    longest = counts_by_window[WINDOW_MINUTES[-1]]
    alerts = tuple(
        rule.severity
        for rule in ALERT_RULES
        if min(burn[rule.short_minutes], burn[rule.long_minutes]) >= rule.threshold
    )
    return BurnLine(
        service=service,
        plan=plan,
        objective=objective,
        target=target,
        total=longest.total,
        bad=_bad(longest, objective),
        budget_left=1 - burn[WINDOW_MINUTES[-1]],
        burn_by_window=burn,
        alerts=alerts,
    )


def _bad(counts: OutcomeCounts, objective: str) -> int:
    return counts.failed if objective == "availability" else counts.slow


def _bad_share(counts: OutcomeCounts, objective: str) -> float:
    return _bad(counts, objective) / counts.total if counts.total else 0.0
