from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.catalog import CatalogUpdate
from laburnumbridge.catalog import Evacuations
from laburnumbridge.catalog import MalformedUpdateError
from laburnumbridge.catalog import Revision
from laburnumbridge.catalog import UpdateDecoder
from laburnumbridge.catalog import UpstreamRemoval
from laburnumbridge.catalog import encode_update
from laburnumbridge.core import LaburnumbridgeError
from laburnumbridge.flows import FlowKey
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
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.standins.flows.platform_data import make_configuration
from laburnumbridge.standins.flows.platform_data import make_entry
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import process_settings

EXAMPLES = 400
NESTED_LEVELS = 2_000  # twice the interpreter's default limit of recursion

UPDATE = encode_update(
    CatalogUpdate(
        revision=Revision(1, 9),
        confirmed_age_ms=3,
        confirmed_by="0/a",
        complete_revision=Revision(1, 9),
        present=("up-1",),
        entries=(make_entry("10.0.0.1", slots=1),),
        removals=(UpstreamRemoval(name="up-2", revision=Revision(1, 8)),),
        configuration=make_configuration(3, (SERVICE,), warm_up_s=2.0),
        evacuations=Evacuations(revision=Revision(1, 9), domains=("north",)),
    )
)
ENVELOPE = encode_envelope(
    Envelope(
        stage=SearchStage.RANKED,
        hops=1,
        service_tag=7,
        entry_address="10.0.0.1",
        raw=bytes(60),
        tried=("10.0.0.2",),
    )
)
LOAD = encode_load(LoadReport(busy=1, open_flows=2, slots=3, is_available=True))
LOAD_DETAIL = encode_load_detail(
    LoadReport(
        busy=1,
        open_flows=2,
        slots=3,
        is_available=True,
        work=WorkReport(wait_s=0.01, work_s=0.04, demand=0.5, samples=9),
    )
)
LOCATIONS = encode_locations(
    DatagramKind.RECORDS,
    FlowLocationUpdate(agent_address="10.0.0.1", flows=(FlowKey(bytes(12)),)),
)


@st.composite
def mutations(draw: st.DrawFn, valid: bytes) -> bytes:
    """Return ``valid`` with some bytes changed, cut off, repeated or put in."""
    data = bytearray(valid)
    for _ in range(draw(st.integers(1, 6))):
        at = draw(st.integers(0, max(len(data) - 1, 0)))
        change = draw(st.sampled_from(("set", "cut", "insert", "repeat")))
        if change == "set" and data:
            data[at] = draw(st.integers(0, 255))
        elif change == "cut":
            del data[at:]
        elif change == "insert":
            data[at:at] = draw(st.binary(min_size=1, max_size=8))
        elif change == "repeat":
            data += data[at : at + 16]
    return bytes(data)


def decode_update(data: bytes) -> object:
    return UpdateDecoder().feed(data)


class TestMalformedInput:
    @pytest.mark.parametrize(
        ("decode", "valid"),
        [
            (decode_update, UPDATE),
            (decode_envelope, ENVELOPE),
            (decode_load, LOAD),
            (decode_load_detail, LOAD_DETAIL),
            (decode_locations, LOCATIONS),
        ],
    )
    def test_a_malformed_message_raises_only_typed_errors(self, decode, valid):
        # Guards against one malformed message that takes a process down.
        @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
        @given(mutations(valid))
        def check(data: bytes) -> None:
            try:
                decode(data)
            except LaburnumbridgeError:
                return

        check()

    def test_a_message_that_nests_deeply_raises_the_typed_error(self):
        # Guards against a RecursionError, which the connection's code doesn't expect.
        body = b"\x81\xa4note" + b"\x91" * NESTED_LEVELS + b"\xc0"
        with pytest.raises(MalformedUpdateError):
            decode_update(len(body).to_bytes(4, "big") + body)

    def test_malformed_settings_raise_only_typed_errors(self, tmp_path):
        # Guards against a settings file, replaced while it is read, that ends a running process.
        path = tmp_path / "settings.json"
        valid = msgspec.json.encode(
            process_settings(
                "10.0.0.1", platform=("10.9.0.1", 80), seeds=["10.0.0.1:81"], is_agent=True
            )
        )

        @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
        @given(mutations(valid))
        def check(data: bytes) -> None:
            path.write_bytes(data)
            try:
                load_forwarding_settings(path)
            except LaburnumbridgeError:
                return

        check()
