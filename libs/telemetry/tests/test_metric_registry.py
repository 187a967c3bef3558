from __future__ import annotations

from collections import Counter

from laburnumbridge.telemetry import MetricRegistry


class TestAttachedCounts:
    def test_attached_counts_are_reported_with_their_current_values(self) -> None:
        # Guards against dropped packets that are counted but not reported.
        registry = MetricRegistry()
        dropped: Counter[str] = Counter()
        registry.attach("packets_dropped", dropped)
        registry.count("flows_opened")
        dropped["malformed"] += 2
        assert registry.all_counters() == {"flows_opened": 1, "packets_dropped_malformed": 2}
        assert dict(registry.counters) == {"flows_opened": 1}
