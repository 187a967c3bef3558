"""The version-independent part of a QUIC packet header (RFC 8999)."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CONNECTION_ID_BYTES = 20
MIN_INITIAL_DATAGRAM_BYTES = 1200
QUIC_V1 = 0x00000001

_LONG_HEADER_BIT = 0x80
_FIXED_BIT = 0x40
_LONG_DESTINATION_OFFSET = 6
_LONG_TYPE_MASK = 0x30


@dataclass(frozen=True, slots=True)
class PacketHeader:
    """The fields that a router reads from the first packet of a datagram.

    ``version`` is None for a short header; ``may_open`` is true where the packet can open a
    connection (Initial or 0-RTT), so that its ID may be chosen by the client.
    """

    destination_id: bytes
    version: int | None
    may_open: bool


def parse_packet_header(datagram: bytes, *, short_id_bytes: int) -> PacketHeader | None:
    """Parse the first header of a datagram, or return None where it is malformed.

    ``short_id_bytes`` is the length of the IDs that the agents issue; a short header does not
    carry the length itself.
    """
    if len(datagram) < 1 + short_id_bytes:
        return None
    first = datagram[0]
    if not first & _LONG_HEADER_BIT:
        if not first & _FIXED_BIT:
            return None
        return PacketHeader(datagram[1 : 1 + short_id_bytes], None, False)
    length = datagram[5]
    end = _LONG_DESTINATION_OFFSET + length
    if length > MAX_CONNECTION_ID_BYTES or len(datagram) <= end:
        return None
    version = int.from_bytes(datagram[1:5], "big")
    # Types 0 (Initial) and 1 (0-RTT) have the upper type bit clear in QUIC v1.
    may_open = version != QUIC_V1 or not first & _LONG_TYPE_MASK & 0x20
    return PacketHeader(datagram[_LONG_DESTINATION_OFFSET:end], version, may_open)
