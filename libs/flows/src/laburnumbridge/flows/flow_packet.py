"""A decoded packet of a flow."""

from __future__ import annotations

from typing import NewType

import msgspec

FlowKey = NewType("FlowKey", bytes)
"""Client address (4 bytes), client port (2), service address (4) and service port (2)."""

SEQUENCE_MODULUS = 1 << 32

MAX_DATA_BYTES = 1_200
"""Most data that a packet carries. A sender with more to send fills its packets."""


def sequence_distance(start: int, end: int) -> int:
    """Return the bytes from ``start`` to ``end`` in 32-bit sequence space, which wraps around."""
    return (end - start) % SEQUENCE_MODULUS


class FlowPacket(msgspec.Struct, kw_only=True):
    """One decoded packet; ``raw`` is the datagram as it was received.

    ``flow`` is the same in both directions: the client's end comes first. ``copy_number`` is 0 for
    the first opening packet of a flow and counts its retransmissions.
    """

    flow: FlowKey
    raw: bytes
    is_opening: bool
    is_opening_answer: bool
    is_final: bool
    is_reset: bool
    is_bounced: bool
    sequence: int
    acknowledged: int
    data_length: int
    echo: int
    copy_number: int = 0
