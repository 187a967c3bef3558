from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.core import ServiceNumber
from laburnumbridge.wire import Encapsulation
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import Frame
from laburnumbridge.wire import FrameFault
from laburnumbridge.wire import FrameKind
from laburnumbridge.wire import FrameRejectedError

CODEC = Encapsulation(link_key=bytes(range(16)))
CLIENT = Endpoint("192.0.2.7", 5123)


def make_frame(kind: FrameKind = FrameKind.TO_AGENT, client: Endpoint = CLIENT) -> Frame:
    balancer = Endpoint("192.0.2.9", 4700) if kind is FrameKind.HANDOFF else None
    return Frame(kind, ServiceNumber(3), client, b"datagram", balancer)


class TestEncapsulation:
    @pytest.mark.parametrize("kind", list(FrameKind))
    def test_decode_returns_what_was_encoded(self, kind: FrameKind) -> None:
        frame = make_frame(kind)
        assert CODEC.decode(CODEC.encode(frame)) == frame

    def test_ipv6_clients_are_carried(self) -> None:
        frame = make_frame(client=Endpoint("2001:db8::7", 5123))
        assert CODEC.decode(CODEC.encode(frame)) == frame

    def test_a_frame_under_another_key_is_rejected(self) -> None:
        # Guards against forged frames that make an agent send packets to any endpoint.
        forged = Encapsulation(link_key=bytes(16)).encode(make_frame())
        with pytest.raises(FrameRejectedError) as caught:
            CODEC.decode(forged)
        assert caught.value.fault is FrameFault.BAD_TAG

    @given(st.binary(max_size=80))
    @settings(derandomize=True, deadline=None)
    def test_random_frames_are_typed_errors(self, data: bytes) -> None:
        with pytest.raises(FrameRejectedError):
            CODEC.decode(data)

    @given(st.integers(0, 30), st.integers(0, 7))
    @settings(derandomize=True, deadline=None)
    def test_a_changed_header_is_rejected(self, place: int, bit: int) -> None:
        data = bytearray(CODEC.encode(make_frame()))
        header = len(data) - len(b"datagram")
        data[place % header] ^= 1 << bit
        with pytest.raises(FrameRejectedError):
            CODEC.decode(bytes(data))
