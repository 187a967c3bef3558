from __future__ import annotations

from laburnumbridge.forwarding.metrics import Metrics


class TestRender:
    def test_counters_gauges_and_histograms(self, snapshot):
        # Guards against text that a scraper can't read.
        metrics = Metrics()
        metrics.count("packets_dropped_total", "truncated")
        metrics.count("packets_dropped_total", "truncated", 2)
        metrics.count("flows_placed_total")
        metrics.gauge("flows_open", 12)
        for seconds in (0.004, 0.06, 0.06, 9.0):
            metrics.observe("upstream_answer_seconds", seconds)
        assert metrics.render().decode() == snapshot

    def test_a_counter_starts_at_zero(self):
        # Guards against an error for a counter that has no value yet.
        assert Metrics().value("flows_placed_total") == 0
