"""Counters, gauges, latencies and outcomes of one process."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from laburnumbridge.telemetry.outcome_window import OutcomeWindow

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.telemetry.outcome import Outcome

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2

_MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Service and plan of a series."""

    service: str
    plan: str


class MetricRegistry:
    """Collects metrics; memory is bounded by the number of services and plans."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._sources: list[tuple[str, Mapping[str, int]]] = []
        self.outcomes_by_series: dict[SeriesKey, Counter[str]] = {}
        self.refusals_by_reason: Counter[str] = Counter()
        self.latency_by_series: dict[SeriesKey, HdrHistogram] = {}
        self.window_by_series: dict[SeriesKey, OutcomeWindow] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount

    def attach(self, prefix: str, counts: Mapping[str, int]) -> None:
        """Include counts that another object keeps, as ``<prefix>_<name>``."""
        self._sources.append((prefix, counts))

    def all_counters(self) -> dict[str, int]:
        """Return all counters by name, including the current attached ones."""
        attached = Counter(self.counters)
        for prefix, counts in self._sources:
            attached.update({f"{prefix}_{name}": count for name, count in counts.items()})
        return dict(attached)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def record_request(
        self,
        series: SeriesKey,
        outcome: Outcome,
        *,
        latency_s: float,
        objective_ms: float,
        now: float,
    ) -> None:
        """Record the outcome of a request; ``now`` is in seconds since the epoch."""
        self.outcomes_by_series.setdefault(series, Counter())[outcome.value] += 1
        if not outcome.counts:
            return
        slow = latency_s * 1000 > objective_ms
        window = self.window_by_series.setdefault(series, OutcomeWindow())
        window.add(failed=outcome.is_failure, slow=slow, now=now)
        histogram = self.latency_by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.latency_by_series[series] = histogram
        latency_us = int(latency_s * _MICROSECONDS)
        histogram.record_value(min(max(latency_us, LOWEST_US), HIGHEST_US))
