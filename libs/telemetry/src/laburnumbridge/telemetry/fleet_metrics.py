"""Sums the metrics of many processes."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from laburnumbridge.telemetry.histogram_codec import decode_histogram
from laburnumbridge.telemetry.metric_registry import MetricRegistry
from laburnumbridge.telemetry.metric_registry import SeriesKey
from laburnumbridge.telemetry.outcome_window import OutcomeCounts
from laburnumbridge.telemetry.outcome_window import OutcomeWindow
from laburnumbridge.telemetry.process_snapshot import BROKEN_FLOWS

if TYPE_CHECKING:
    from laburnumbridge.telemetry.process_snapshot import ProcessSnapshot
    from laburnumbridge.telemetry.process_snapshot import SeriesSnapshot


class FleetMetrics:
    """Sums snapshots one by one, so that memory doesn't grow with the fleet.

    Gauges are left out, as their sum over processes has no meaning in general.
    """

    def __init__(self) -> None:
        self.registry = MetricRegistry()
        self.broken_flows_by_domain: Counter[str] = Counter()

    def add(self, snapshot: ProcessSnapshot) -> None:
        """Add the snapshot of a process; each process must be added only once."""
        self.registry.counters.update(snapshot.counters)
        self.registry.refusals_by_reason.update(snapshot.refusals_by_reason)
        broken = snapshot.counters.get(BROKEN_FLOWS, 0)
        self.broken_flows_by_domain[snapshot.facts.failure_domain] += broken
        for series in snapshot.series:
            self._add_series(series)

    def _add_series(self, series: SeriesSnapshot) -> None:
        key = SeriesKey(series.service, series.plan)
        self.registry.outcomes_by_series.setdefault(key, Counter()).update(series.outcomes)
        window = self.registry.window_by_series.setdefault(key, OutcomeWindow())
        window.merge(
            (minute, OutcomeCounts(counts.total, counts.failed, counts.slow))
            for minute, counts in series.counts_by_minute.items()
        )
        if series.latency is None:
            return
        histogram = decode_histogram(series.latency)
        existing = self.registry.latency_by_series.get(key)
        if existing is None:
            self.registry.latency_by_series[key] = histogram
        else:
            existing.add(histogram)
