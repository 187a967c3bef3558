"""The interface to the packet format."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.flows.flow_packet import FlowKey
    from laburnumbridge.flows.flow_packet import FlowPacket


class PacketCodec(ABC):
    """Decodes packets, changes the fields that the system may change, and encodes resets."""

    @abstractmethod
    def decode_from_client(self, datagram: bytes) -> FlowPacket:
        """Decode a packet that a client sent. Raises MalformedPacketError."""

    @abstractmethod
    def decode_from_upstream(self, datagram: bytes) -> FlowPacket:
        """Decode a packet that an upstream sent or returned. Raises MalformedPacketError."""

    @abstractmethod
    def with_echo(self, raw: bytes, echo: int) -> bytes:
        """Return the packet with its ``echo`` field (32 bits) set and its bounced flag cleared."""

    @abstractmethod
    def reset(self, flow: FlowKey, *, sequence: int) -> bytes:
        """Return a reset packet that ends ``flow`` at the client."""
