from __future__ import annotations

import pytest

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import FlowPacket
from laburnumbridge.flows import FlowState
from laburnumbridge.flows import FlowTracker
from laburnumbridge.flows import OutlierDetector

FLOW = FlowKey(bytes(12))


def packet(**fields) -> FlowPacket:
    values = {
        "flow": FLOW,
        "raw": b"",
        "is_opening": False,
        "is_opening_answer": False,
        "is_final": False,
        "is_reset": False,
        "is_bounced": False,
        "sequence": 0,
        "acknowledged": 0,
        "data_length": 0,
        "echo": 0,
    }
    return FlowPacket(**{**values, **fields})


@pytest.fixture
def directory():
    return FlowTracker(limit=10, idle_s=15.0, max_age_s=60.0, outlier_detector=OutlierDetector())


def open_flow(directory: FlowTracker, now: float = 0.0) -> None:
    directory.track_opening(FLOW, now)
    directory.track_upstream_packet(packet(is_opening_answer=True, sequence=500), now)
    assert directory.track_client_packet(packet(acknowledged=501), now)


class TestOpening:
    def test_the_acknowledged_answer_opens_the_flow(self, directory):
        # Guards against flows that are open at the upstream and unknown to its agent.
        open_flow(directory)
        assert list(directory.opened_at_by_flow()) == [FLOW]

    def test_an_answer_of_another_upstream_opens_nothing(self, directory):
        # Guards against packets that are kept here though the client chose another upstream.
        directory.track_opening(FLOW, 0.0)
        directory.track_upstream_packet(packet(is_opening_answer=True, sequence=500), 0.0)
        assert not directory.track_client_packet(packet(acknowledged=3_000_000_000), 0.0)
        assert directory.get(FLOW) is None
        assert directory.busy == 0

    def test_a_sequence_number_that_wraps_opens_the_flow(self, directory):
        # Guards against a comparison that fails at the end of the 32-bit range.
        directory.track_opening(FLOW, 0.0)
        directory.track_upstream_packet(packet(is_opening_answer=True, sequence=(1 << 32) - 1), 0.0)
        assert directory.track_client_packet(packet(acknowledged=0), 0.0)

    def test_a_packet_of_the_upstream_shows_a_flow_from_before(self, directory):
        # Guards against an agent that was restarted and takes open flows for unknown.
        assert directory.track_upstream_packet(packet(data_length=10), 0.0)
        assert list(directory.opened_at_by_flow()) == [FLOW]

    def test_it_is_bounded(self, directory):
        # Guards against memory that grows with openings that nobody finishes.
        for number in range(50):
            directory.track_opening(FlowKey(number.to_bytes(12, "big")), 0.0)
        assert len(directory) == 10


class TestBusy:
    def test_an_opening_counts_until_its_request_should_have_come(self, directory):
        # Guards against a burst of openings to an upstream that seems idle.
        open_flow(directory)
        assert directory.busy == 1
        directory.expire(0.3)
        assert directory.busy == 0

    def test_a_request_counts_until_its_answer_begins(self, directory):
        # Guards against busy slots that are never given back.
        open_flow(directory)
        directory.track_client_packet(packet(acknowledged=501, sequence=1, data_length=100), 0.01)
        directory.expire(0.5)
        assert directory.busy == 1
        directory.track_upstream_packet(packet(sequence=501, data_length=200), 0.6)
        assert directory.busy == 0
        assert directory.answer_seconds == [pytest.approx(0.59)]

    def test_a_copy_of_a_request_isnt_a_second_one(self, directory):
        # Guards against slots that seem busy after a retransmission that was answered already.
        open_flow(directory)
        request = packet(acknowledged=501, sequence=1, data_length=100)
        directory.track_client_packet(request, 0.01)
        directory.track_upstream_packet(packet(sequence=501, data_length=200), 0.1)
        directory.track_client_packet(request, 0.2)
        assert directory.busy == 0

    def test_a_closed_flow_isnt_busy(self, directory):
        # Guards against slots held by clients that left.
        open_flow(directory)
        directory.track_client_packet(packet(acknowledged=501, sequence=1, data_length=100), 0.01)
        directory.track_client_packet(packet(acknowledged=501, is_reset=True), 0.02)
        assert directory.busy == 0
        assert directory.open_flows == 0


class TestExpiry:
    def test_an_idle_flow_is_forgotten(self, directory):
        # Guards against memory that grows with flows that clients abandoned.
        open_flow(directory)
        directory.expire(15.5)
        assert len(directory) == 0

    def test_a_closed_flow_stays_for_late_packets(self, directory):
        # Guards against a search for the retransmission of a flow's last packet.
        open_flow(directory)
        directory.track_client_packet(packet(acknowledged=501, is_final=True), 1.0)
        directory.track_upstream_packet(packet(is_final=True), 1.0)
        directory.expire(3.0)
        record = directory.get(FLOW)
        assert record is not None
        assert record.state is FlowState.CLOSED
        directory.expire(6.0)
        assert directory.get(FLOW) is None
