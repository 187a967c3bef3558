"""Figures of the burn report, from the snapshots of a fleet."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from laburnumbridge.cli.imbalance import measure_services
from laburnumbridge.lists import Objectives
from laburnumbridge.telemetry import FleetMetrics
from laburnumbridge.telemetry import ServiceObjectives
from laburnumbridge.telemetry import build_burn_lines

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.cli.imbalance import ServiceLoad
    from laburnumbridge.cli.unresponsive_process import UnresponsiveProcess
    from laburnumbridge.lists import ServiceList
    from laburnumbridge.telemetry import BurnLine
    from laburnumbridge.telemetry import ProcessSnapshot
    from laburnumbridge.telemetry import SeriesKey
    from laburnumbridge.telemetry import UpstreamLoad

_US_PER_MS = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class LatencyLine:
    """Latency percentiles of a service and plan since the processes started."""

    service: str
    plan: str
    requests: int
    p50_ms: float
    p99_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BurnFigures:
    """Burn by service and plan, with the figures that explain it.

    ``at`` is in seconds since the epoch. ``lines`` are sorted by burn rate, highest first.
    ``unlisted_services`` have outcomes but are not in the list of services; they are measured
    against the default objectives. ``broken_flows_by_domain`` and ``refusals_by_reason`` count
    since the processes started. ``silent`` are the processes that did not answer.
    """

    at: float
    answered: int
    lines: tuple[BurnLine, ...]
    latencies: tuple[LatencyLine, ...]
    services: tuple[ServiceLoad, ...]
    broken_flows_by_domain: Mapping[str, int]
    refusals_by_reason: Mapping[str, int]
    unlisted_services: tuple[str, ...]
    silent: tuple[UnresponsiveProcess, ...]


class BurnFiguresBuilder:
    """Builds the figures from snapshots, which it sums up."""

    def __init__(self, *, services: ServiceList | None) -> None:
        self._objectives_by_service = (
            {service.name: service.objectives for service in services.services} if services else {}
        )
        self._metrics = FleetMetrics()
        self._taken_at: list[float] = []
        self._loads: list[UpstreamLoad] = []
        self._unresponsive: list[UnresponsiveProcess] = []

    def add(self, snapshot: ProcessSnapshot) -> None:
        """Add a process that answered."""
        self._metrics.add(snapshot)
        self._taken_at.append(snapshot.taken_at)
        self._loads.extend(snapshot.facts.upstreams)

    def add_unresponsive(self, process: UnresponsiveProcess) -> None:
        """Add a process that did not answer."""
        self._unresponsive.append(process)

    def build(self) -> BurnFigures:
        """Return the figures at the median of the processes' clocks.

        The median keeps one process with a wrong clock from moving the windows of the others.
        """
        at = median(self._taken_at) if self._taken_at else 0.0
        registry = self._metrics.registry
        series = sorted(registry.outcomes_by_series, key=lambda key: (key.service, key.plan))
        lines = [line for key in series for line in self._lines(key, at)]
        return BurnFigures(
            at=at,
            answered=len(self._taken_at),
            lines=tuple(sorted(lines, key=lambda line: -max(line.burn_by_window.values()))),
            latencies=tuple(
                self._latency(key) for key in series if key in registry.latency_by_series
            ),
            services=measure_services(self._loads),
            broken_flows_by_domain=dict(sorted(self._metrics.broken_flows_by_domain.items())),
            refusals_by_reason=dict(registry.refusals_by_reason.most_common()),
            unlisted_services=tuple(
                sorted({key.service for key in series} - set(self._objectives_by_service))
            ),
            silent=tuple(sorted(self._unresponsive)),
        )

    def _lines(self, key: SeriesKey, at: float) -> list[BurnLine]:
        window = self._metrics.registry.window_by_series.get(key)
        if window is None:
            return []
        objectives = self._objectives_by_service.get(key.service, Objectives())
        return build_burn_lines(
            service=key.service,
            plan=key.plan,
            objectives=ServiceObjectives(
                availability=objectives.availability,
                latency_ms=objectives.latency_ms,
                latency_share=objectives.latency_share,
            ),
            window=window,
            now=at,
        )

    def _latency(self, key: SeriesKey) -> LatencyLine:
        histogram = self._metrics.registry.latency_by_series[key]
        return LatencyLine(
            service=key.service,
            plan=key.plan,
            requests=histogram.get_total_count(),
            p50_ms=histogram.get_value_at_percentile(50) / _US_PER_MS,
            p99_ms=histogram.get_value_at_percentile(99) / _US_PER_MS,
        )
