"""The format of packets, as an interface."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.flows.flow_packet import FlowKey
    from laburnumbridge.flows.flow_packet import FlowPacket


class PacketCodec(ABC):
    """Reads packets and writes the few fields that the system may change."""

    @abstractmethod
    def decode_from_client(self, datagram: bytes) -> FlowPacket:
        """Decode a packet that a client sent. Raises MalformedPacketError."""

    @abstractmethod
    def decode_from_upstream(self, datagram: bytes) -> FlowPacket:
        """Decode a packet that an upstream sent or returned. Raises MalformedPacketError."""

    @abstractmethod
    def with_echo(self, raw: bytes, echo: int) -> bytes:
        """Return the packet marked with ``echo`` (32 bits) and not marked as bounced."""

    @abstractmethod
    def reset(self, flow: FlowKey, *, sequence: int) -> bytes:
        """Return a reset of ``flow`` that tells the client to give the flow up."""
