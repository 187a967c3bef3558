from __future__ import annotations

import json
import math

import pytest

from laburnumbridge.telemetry import FleetMetrics
from laburnumbridge.telemetry import ListInForce
from laburnumbridge.telemetry import MembershipSummary
from laburnumbridge.telemetry import MetricRegistry
from laburnumbridge.telemetry import Outcome
from laburnumbridge.telemetry import ProcessFacts
from laburnumbridge.telemetry import SeriesKey
from laburnumbridge.telemetry import SnapshotRejectedError
from laburnumbridge.telemetry import UpstreamLoad
from laburnumbridge.telemetry import decode_snapshot
from laburnumbridge.telemetry import encode_snapshot
from laburnumbridge.telemetry import take_snapshot

SERIES = SeriesKey("steg", "public")
FACTS = ProcessFacts(
    name="agent-1",
    role="agent",
    region="upper-bavaria",
    failure_domain="chiemsee",
    started_at=1000.0,
    lists=(ListInForce(name="plans", version=3, digest="ab"),),
    membership=MembershipSummary(digest="cd", count_by_state={"live": 9}),
    upstreams=(UpstreamLoad(upstream="steg-1", service="steg", open_flows=40, busy_slots=2),),
)


def make_registry(*latencies_s: float) -> MetricRegistry:
    registry = MetricRegistry()
    registry.count("broken_flows", 2)
    registry.refusals_by_reason["queue_full"] += 1
    for latency_s in latencies_s:
        registry.record_request(
            SERIES, Outcome.ANSWERED, latency_s=latency_s, objective_ms=250, now=60_000
        )
    return registry


class TestSnapshotCodec:
    def test_encoding_and_decoding_preserves_a_snapshot(self) -> None:
        snapshot = take_snapshot(registry=make_registry(0.01, 0.3), facts=FACTS, now=60_001)
        assert decode_snapshot(encode_snapshot(snapshot), process="agent-1") == snapshot
        assert (snapshot.series[0].counts_by_minute[1000].slow, len(snapshot.series)) == (1, 1)

    def test_gauges_that_json_cannot_hold_are_left_out(self) -> None:
        # Guards against one NaN that makes the whole snapshot unreadable.
        registry = make_registry()
        registry.set_gauge("load", math.nan)
        registry.set_gauge("queue", 3)
        snapshot = take_snapshot(registry=registry, facts=FACTS, now=1, with_series=False)
        assert decode_snapshot(encode_snapshot(snapshot), process="a").gauges == {"queue": 3}

    @pytest.mark.parametrize(
        "payload",
        [b"", b"[]", b"\xff", b"{}", b"[" * 100_000, b'{"facts": {}, "taken_at": 1}'],
    )
    def test_malformed_input_is_a_typed_error(self, payload: bytes) -> None:
        with pytest.raises(SnapshotRejectedError, match="agent-7"):
            decode_snapshot(payload, process="agent-7")

    @pytest.mark.parametrize("latency", ["", "x", "HISTFAAA", "%%%%", "A" * 70_000])
    def test_a_malformed_histogram_rejects_the_snapshot(self, latency: str) -> None:
        snapshot = take_snapshot(registry=make_registry(0.1), facts=FACTS, now=1)
        content = json.loads(encode_snapshot(snapshot))
        content["series"][0]["latency"] = latency
        with pytest.raises(SnapshotRejectedError, match="histogram"):
            decode_snapshot(json.dumps(content).encode(), process="agent-1")

    def test_fields_of_a_later_release_are_ignored_and_negative_counts_are_not(self) -> None:
        content = json.loads(
            encode_snapshot(take_snapshot(registry=make_registry(), facts=FACTS, now=1))
        )
        assert decode_snapshot(json.dumps({**content, "later": 1}).encode(), process="a")
        content["counters"]["broken_flows"] = -1
        with pytest.raises(SnapshotRejectedError):
            decode_snapshot(json.dumps(content).encode(), process="a")


class TestFleetMetrics:
    def test_figures_of_several_processes_add_up(self) -> None:
        fleet = FleetMetrics()
        for latencies_s in ((0.01, 0.3), (0.02,), ()):
            snapshot = take_snapshot(registry=make_registry(*latencies_s), facts=FACTS, now=60_001)
            fleet.add(decode_snapshot(encode_snapshot(snapshot), process="agent-1"))
        merged = fleet.registry
        assert merged.counters["broken_flows"] == 6
        assert merged.refusals_by_reason == {"queue_full": 3}
        assert merged.outcomes_by_series[SERIES] == {"answered": 3}
        assert merged.latency_by_series[SERIES].get_total_count() == 3
        assert merged.latency_by_series[SERIES].get_max_value() == pytest.approx(300_000, rel=0.01)
        counts = merged.window_by_series[SERIES].over(5, now=60_010)
        assert (counts.total, counts.slow) == (3, 1)
        assert fleet.broken_flows_by_domain == {"chiemsee": 6}
