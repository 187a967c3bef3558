from __future__ import annotations

import pytest

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import FlowState
from laburnumbridge.flows import FlowTracker
from laburnumbridge.flows import OutlierDetector
from laburnumbridge.flows import WorkEstimator
from laburnumbridge.standins.flows.stand_in_packets import make_flow_packet as packet

FLOW = FlowKey(bytes(12))


@pytest.fixture
def tracker():
    return FlowTracker(limit=10, idle_s=15.0, max_age_s=60.0, outlier_detector=OutlierDetector())


def open_flow(tracker: FlowTracker, now: float = 0.0) -> None:
    tracker.track_opening(FLOW, now)
    tracker.track_upstream_packet(packet(is_opening_answer=True, sequence=500, acknowledged=1), now)
    assert tracker.track_client_packet(packet(acknowledged=501), now)


class TestOpening:
    def test_an_acknowledged_answer_opens_the_flow(self, tracker):
        # Guards against flows that are open at the upstream and not tracked by its agent.
        open_flow(tracker)
        assert list(tracker.opened_at_by_flow()) == [FLOW]

    def test_an_acknowledgement_for_another_upstream_drops_the_flow(self, tracker):
        # Guards against packets that are delivered here though the client chose another upstream.
        tracker.track_opening(FLOW, 0.0)
        tracker.track_upstream_packet(packet(is_opening_answer=True, sequence=500), 0.0)
        assert not tracker.track_client_packet(packet(acknowledged=3_000_000_000), 0.0)
        assert tracker.get(FLOW) is None
        assert tracker.busy == 0

    def test_a_sequence_number_that_wraps_opens_the_flow(self, tracker):
        # Guards against a comparison that fails at the end of the 32-bit range.
        tracker.track_opening(FLOW, 0.0)
        tracker.track_upstream_packet(packet(is_opening_answer=True, sequence=(1 << 32) - 1), 0.0)
        assert tracker.track_client_packet(packet(acknowledged=0), 0.0)

    def test_a_packet_from_the_upstream_adds_an_untracked_flow(self, tracker):
        # Guards against a restarted agent that doesn't track the flows open at its upstream.
        assert tracker.track_upstream_packet(packet(data_length=10), 0.0)
        assert list(tracker.opened_at_by_flow()) == [FLOW]

    def test_the_number_of_records_is_limited(self, tracker):
        # Guards against memory that grows with openings that clients never complete.
        for number in range(50):
            tracker.track_opening(FlowKey(number.to_bytes(12, "big")), 0.0)
        assert len(tracker) == 10


class TestBusy:
    def test_an_opening_is_busy_until_its_request_is_overdue(self, tracker):
        # Guards against a burst of openings to an upstream that seems idle until requests arrive.
        open_flow(tracker)
        assert tracker.busy == 1
        tracker.expire(0.3)
        assert tracker.busy == 0

    def test_a_request_is_busy_until_its_answer_begins(self, tracker):
        # Guards against slots that stay counted as busy.
        open_flow(tracker)
        tracker.track_client_packet(packet(acknowledged=501, sequence=1, data_length=100), 0.01)
        tracker.expire(0.5)
        assert tracker.busy == 1
        tracker.track_upstream_packet(packet(sequence=501, data_length=200), 0.6)
        assert tracker.busy == 0
        assert tracker.answer_seconds == [pytest.approx(0.59)]

    def test_a_retransmitted_request_isnt_counted_again(self, tracker):
        # Guards against slots that seem busy after the retransmission of an answered request.
        open_flow(tracker)
        request = packet(acknowledged=501, sequence=1, data_length=100)
        tracker.track_client_packet(request, 0.01)
        tracker.track_upstream_packet(packet(sequence=501, data_length=200), 0.1)
        tracker.track_client_packet(request, 0.2)
        assert tracker.busy == 0

    def test_a_closed_flow_isnt_busy(self, tracker):
        # Guards against slots counted as busy for flows that clients have reset.
        open_flow(tracker)
        tracker.track_client_packet(packet(acknowledged=501, sequence=1, data_length=100), 0.01)
        tracker.track_client_packet(packet(acknowledged=501, is_reset=True), 0.02)
        assert tracker.busy == 0
        assert tracker.open_flows == 0


class TestExpiry:
    def test_an_idle_flow_expires(self, tracker):
        # Guards against memory that grows with flows that clients abandoned.
        open_flow(tracker)
        tracker.expire(15.5)
        assert len(tracker) == 0

    def test_a_closed_flow_is_kept_for_retransmissions(self, tracker):
        # Guards against a search that the retransmission of a flow's last packet would start.
        open_flow(tracker)
        tracker.track_client_packet(packet(acknowledged=501, is_final=True), 1.0)
        tracker.track_upstream_packet(packet(is_final=True), 1.0)
        tracker.expire(3.0)
        record = tracker.get(FLOW)
        assert record is not None
        assert record.state is FlowState.CLOSED
        tracker.expire(6.0)
        assert tracker.get(FLOW) is None


class TestWork:
    def test_requests_and_flows_reach_the_estimator_by_route(self):
        # Guards against an estimator that counts retransmissions, or flows that have ended.
        estimator = WorkEstimator(slots=1)
        tracker = FlowTracker(
            limit=10,
            idle_s=15.0,
            max_age_s=60.0,
            outlier_detector=OutlierDetector(),
            work_observer=estimator,
            route_name=lambda flow: "read",
        )
        open_flow(tracker)
        request = packet(acknowledged=501, sequence=1, data_length=100)
        tracker.track_client_packet(request, 1.0)
        tracker.track_client_packet(request, 1.01)
        assert estimator.requests == 1
        tracker.track_upstream_packet(packet(sequence=501, data_length=200), 1.04)
        assert estimator.expected_s("read") == pytest.approx(0.04)
        assert estimator.demand(2.0) > 0.0
        tracker.track_client_packet(packet(acknowledged=701, sequence=101, data_length=9), 2.0)
        tracker.track_client_packet(packet(acknowledged=701, is_reset=True), 2.1)
        assert estimator.requests == 0
        assert estimator.samples == 1
        assert estimator.demand(2.1) == 0.0
