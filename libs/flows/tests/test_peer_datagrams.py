from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import MalformedPeerDatagramError
from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.flows.peer_datagrams import Envelope
from laburnumbridge.flows.peer_datagrams import FlowLocationUpdate
from laburnumbridge.flows.peer_datagrams import LoadReport
from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.flows.peer_datagrams import WorkReport
from laburnumbridge.flows.peer_datagrams import decode_envelope
from laburnumbridge.flows.peer_datagrams import decode_load
from laburnumbridge.flows.peer_datagrams import decode_load_detail
from laburnumbridge.flows.peer_datagrams import decode_locations
from laburnumbridge.flows.peer_datagrams import encode_envelope
from laburnumbridge.flows.peer_datagrams import encode_load
from laburnumbridge.flows.peer_datagrams import encode_load_detail
from laburnumbridge.flows.peer_datagrams import encode_locations


class TestRoundTrip:
    def test_an_envelope_keeps_its_fields(self):
        # Guards against packets that are altered between processes.
        envelope = Envelope(
            stage=SearchStage.RECORDED,
            hops=3,
            service_tag=0xFFFFFFFF,
            entry_address="10.1.2.3",
            raw=b"packet",
            tried=("10.0.0.1", "10.0.0.255"),
        )
        assert decode_envelope(encode_envelope(envelope)) == envelope

    def test_a_load_report_keeps_its_fields(self):
        # Guards against placement by wrong figures.
        for is_available, is_failing in product((True, False), repeat=2):
            report = LoadReport(
                busy=3,
                open_flows=70_000,
                slots=4,
                is_available=is_available,
                is_failing=is_failing,
                arriving=9,
            )
            assert decode_load(encode_load(report)) == report

    @pytest.mark.parametrize("further", [b"", b"\x01\x02"])
    @pytest.mark.parametrize("work_s", [0.04, None])
    def test_a_work_report_keeps_its_fields(self, further, work_s):
        # Guards against placement by wrong times, and against a later version's report, which may
        # be longer, that is dropped.
        work = WorkReport(wait_s=0.0123, work_s=work_s, demand=0.75, samples=200)
        report = LoadReport(busy=3, open_flows=7, slots=4, is_available=True, work=work)
        decoded = decode_load_detail(encode_load_detail(report) + further)
        assert decoded == report
        assert decoded.work is not None
        assert decoded.work.wait_s == pytest.approx(work.wait_s)
        assert decoded.work.work_s == (None if work_s is None else pytest.approx(work_s))
        assert decoded.work.demand == pytest.approx(work.demand)
        assert decoded.work.samples == 200

    def test_figures_out_of_range_saturate(self):
        # Guards against an agent that can't report while its upstream hangs.
        work = WorkReport(wait_s=90.0, work_s=1e-6, demand=1e9, samples=70_000)
        report = LoadReport(busy=3, open_flows=7, slots=4, is_available=True, work=work)
        decoded = decode_load_detail(encode_load_detail(report)).work
        assert decoded is not None
        assert decoded.wait_s == pytest.approx(6.5535)
        assert decoded.work_s == pytest.approx(0.0001)
        assert decoded.samples == 255

    def test_located_flows_keep_their_keys(self):
        # Guards against records under wrong keys.
        flows = (FlowKey(bytes(range(12))), FlowKey(bytes(12)))
        located = FlowLocationUpdate(agent_address="10.0.0.9", flows=flows)
        assert decode_locations(encode_locations(DatagramKind.LOCATED, located)) == located


class TestBadInput:
    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=80))
    def test_random_bytes_raise_the_typed_error_only(self, datagram):
        # Guards against a process that exits on a datagram that no peer sent.
        for decode in (decode_envelope, decode_load, decode_locations):
            try:
                decode(datagram)
            except MalformedPeerDatagramError:
                continue

    def test_a_truncated_list_of_flows_is_refused(self):
        # Guards against a flow key with missing bytes.
        with pytest.raises(MalformedPeerDatagramError):
            decode_locations(bytes(5 + 11))
