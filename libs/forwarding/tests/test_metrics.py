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

    def test_priorities_are_labels_beside_the_others(self):
        # Guards against figures of several classes that are added up, or labels that can't be read.
        metrics = Metrics()
        metrics.count("flow_resets_total", "queue_timeout", priority=2)
        metrics.gauge("openings_waiting", 3, priority=1)
        metrics.observe("opening_wait_seconds", 0.06, priority=0)
        lines = metrics.render().decode().splitlines()
        for line in (
            'laburnumbridge_flow_resets_total{reason="queue_timeout",priority="2"} 1',
            'laburnumbridge_openings_waiting{priority="1"} 3',
            'laburnumbridge_opening_wait_seconds_bucket{priority="0",le="0.1"} 1',
            'laburnumbridge_opening_wait_seconds_sum{priority="0"} 0.060000',
            'laburnumbridge_opening_wait_seconds_count{priority="0"} 1',
        ):
            assert line in lines
