from __future__ import annotations

from collections import Counter

from laburnumbridge.telemetry import MetricRegistry


class TestAttachedCounts:
    def test_counts_of_other_objects_are_reported_as_they_are_now(self) -> None:
        # Guards against dropped packets that are counted but shown to nobody.
        registry = MetricRegistry()
        dropped: Counter[str] = Counter()
        registry.attach("packets_dropped", dropped)
        registry.count("flows_opened")
        dropped["malformed"] += 2
        assert registry.all_counters() == {"flows_opened": 1, "packets_dropped_malformed": 2}
        assert dict(registry.counters) == {"flows_opened": 1}
