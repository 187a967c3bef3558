"""Exposes the metrics of a process to Prometheus."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from hdrh.histogram import HdrHistogram
    from prometheus_client import Metric

    from laburnumbridge.telemetry.metric_registry import MetricRegistry

PREFIX = "laburnumbridge"
LATENCY_BOUNDS_MS = (1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000)

_MICROSECONDS = 1_000_000
_NOT_ALLOWED = re.compile(r"[^a-zA-Z0-9_]")


class PrometheusCollector(Collector):
    """Converts a MetricRegistry to metric families at each scrape."""

    def __init__(self, *, registry: MetricRegistry) -> None:
        self._registry = registry

    def collect(self) -> Iterator[Metric]:
        """Yield all families, including empty ones, so that their names are stable."""
        yield from self._counters()
        yield from self._gauges()
        yield self._refusals()
        yield self._outcomes()
        yield self._latencies()

    def _counters(self) -> Iterator[Metric]:
        amount_by_name: Counter[str] = Counter()
        for name, amount in self._registry.all_counters().items():
            amount_by_name[_metric_name(name)] += amount
        for name, amount in sorted(amount_by_name.items()):
            yield CounterMetricFamily(name, f"Counter {name}.", value=amount)

    def _gauges(self) -> Iterator[Metric]:
        value_by_name = {_metric_name(name): v for name, v in self._registry.gauges.items()}
        for name, value in sorted(value_by_name.items()):
            yield GaugeMetricFamily(name, f"Gauge {name}.", value=value)

    def _refusals(self) -> Metric:
        family = CounterMetricFamily(
            f"{PREFIX}_refusals_by_reason", "Requests and connections refused.", labels=["reason"]
        )
        for reason, amount in sorted(self._registry.refusals_by_reason.items()):
            family.add_metric([reason], amount)
        return family

    def _outcomes(self) -> Metric:
        family = CounterMetricFamily(
            f"{PREFIX}_requests_by_outcome",
            "Requests by outcome.",
            labels=["service", "plan", "outcome"],
        )
        for key, outcomes in self._registry.outcomes_by_series.items():
            for outcome, amount in sorted(outcomes.items()):
                family.add_metric([key.service, key.plan, outcome], amount)
        return family

    def _latencies(self) -> Metric:
        family = HistogramMetricFamily(
            f"{PREFIX}_request_latency_seconds",
            "Latency of requests that count towards the objectives.",
            labels=["service", "plan"],
        )
        for key, histogram in self._registry.latency_by_series.items():
            buckets, total_s = summarise_latencies(histogram)
            family.add_metric([key.service, key.plan], buckets=buckets, sum_value=total_s)
        return family


def summarise_latencies(histogram: HdrHistogram) -> tuple[list[tuple[str, float]], float]:
    """Return cumulative buckets by upper bound (seconds) and the sum of latencies (seconds).

    Each recorded value counts as the upper end of its histogram cell, which is at most 1 % higher.
    """
    bounds_us = [bound * 1000 for bound in LATENCY_BOUNDS_MS]
    counts = [0] * (len(bounds_us) + 1)
    total_us = 0
    for step in histogram.get_recorded_iterator():
        value_us = step.value_iterated_to
        amount = step.count_added_in_this_iter_step
        total_us += value_us * amount
        counts[_bucket(bounds_us, value_us)] += amount
    names = [f"{bound / 1000:g}" for bound in LATENCY_BOUNDS_MS] + ["+Inf"]
    return list(zip(names, _accumulate(counts), strict=True)), total_us / _MICROSECONDS


def _bucket(bounds_us: list[float], value_us: int) -> int:
    return next((i for i, bound in enumerate(bounds_us) if value_us <= bound), len(bounds_us))


def _accumulate(counts: Iterable[int]) -> Iterator[float]:
    total = 0
    for count in counts:
        total += count
        yield total


def _metric_name(name: str) -> str:
    return f"{PREFIX}_{_NOT_ALLOWED.sub('_', name)}"
