"""A decoded packet of a flow."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

FlowKey = NewType("FlowKey", bytes)
"""Client address (4 bytes), client port (2), service address (4) and service port (2)."""

SEQUENCE_MODULUS = 1 << 32


def sequence_distance(start: int, end: int) -> int:
    """Return how far ``end`` lies after ``start`` in 32-bit sequence space."""
    return (end - start) % SEQUENCE_MODULUS


@dataclass(kw_only=True, slots=True)
class FlowPacket:
    """One packet; ``raw`` is the datagram as it was received.

    ``flow`` names the client's end first, whichever end sent the packet. ``copy_number`` is 0 for
    the first opening packet of a flow and counts its copies.
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
