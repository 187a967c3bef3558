"""A packet format for the stand-ins."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Any

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import FlowPacket
from laburnumbridge.flows import MalformedPacketError
from laburnumbridge.flows import PacketCodec

_HEADER = struct.Struct("!12sBIIIH")
_OPENING = 1
_FINAL = 2
_RESET = 4
_BOUNCED = 8
_ANSWER = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class StandInPacket:
    """Fields of a packet; ``is_answer`` marks packets that the upstream sends."""

    flow: FlowKey
    sequence: int
    acknowledged: int
    data: bytes = b""
    is_opening: bool = False
    is_answer: bool = False
    is_final: bool = False
    is_reset: bool = False

    def encode(self) -> bytes:
        """Return the datagram."""
        flags = (
            _OPENING * self.is_opening
            | _FINAL * self.is_final
            | _RESET * self.is_reset
            | _ANSWER * self.is_answer
        )
        head = _HEADER.pack(self.flow, flags, 0, self.sequence, self.acknowledged, len(self.data))
        return head + self.data


def make_flow_packet(**fields: Any) -> FlowPacket:
    """Return a decoded packet without flags or data, except for the given ``fields``."""
    values = {
        "flow": FlowKey(bytes(12)),
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


class StandInPacketCodec(PacketCodec):
    """Encodes packets as a header and data.

    The header is the flow key, one byte of flags, the echo, sequence, acknowledgement and length.
    """

    def decode_from_client(self, datagram: bytes) -> FlowPacket:
        """Decode a packet."""
        return self._decode(datagram)

    def decode_from_upstream(self, datagram: bytes) -> FlowPacket:
        """Decode a packet."""
        return self._decode(datagram)

    @staticmethod
    def _decode(datagram: bytes) -> FlowPacket:
        if len(datagram) < _HEADER.size:
            raise MalformedPacketError(reason="truncated", size=len(datagram))
        flow, flags, echo, sequence, acknowledged, length = _HEADER.unpack_from(datagram)
        if length != len(datagram) - _HEADER.size:
            raise MalformedPacketError(reason="length", size=len(datagram))
        return FlowPacket(
            flow=FlowKey(flow),
            raw=datagram,
            is_opening=bool(flags & _OPENING) and not flags & _ANSWER,
            is_opening_answer=bool(flags & _OPENING) and bool(flags & _ANSWER),
            is_final=bool(flags & _FINAL),
            is_reset=bool(flags & _RESET),
            is_bounced=bool(flags & _BOUNCED),
            sequence=sequence,
            acknowledged=acknowledged,
            data_length=length,
            echo=echo,
            copy_number=acknowledged if flags & _OPENING else 0,
        )

    def with_echo(self, raw: bytes, echo: int) -> bytes:
        """Return a packet with ``echo`` set and the bounced flag cleared."""
        flags = raw[12] & ~_BOUNCED & 0xFF
        return raw[:12] + bytes((flags,)) + echo.to_bytes(4, "big") + raw[17:]

    def reset(self, flow: FlowKey, *, sequence: int) -> bytes:
        """Return a packet that resets ``flow``, marked as sent by the upstream."""
        return StandInPacket(
            flow=flow, sequence=sequence, acknowledged=0, is_reset=True, is_answer=True
        ).encode()

    @staticmethod
    def bounced(raw: bytes) -> bytes:
        """Return a packet with the bounced flag set, as an upstream sends it back."""
        return raw[:12] + bytes((raw[12] | _BOUNCED,)) + raw[13:]

    @staticmethod
    def data(raw: bytes) -> bytes:
        """Return the data of a packet."""
        return raw[_HEADER.size :]
