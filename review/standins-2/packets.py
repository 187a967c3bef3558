"""Packets of flows, as PROTOCOL.md describes them."""

from __future__ import annotations

import hashlib
import socket
import struct
from dataclasses import dataclass

SYN = 128
BOUNCED = 64
FIN = 32
RST = 16
ACK = 1
MAX_DATA_BYTES = 1_200
MODULUS = 1 << 32

# flags, pad, sum, dst, sport, src, dport, echo, seq, ack, len
_HEADER = struct.Struct("!B3s4s4sH4sHIIIH")
_SUM_KEY = b"key of the ends of flows"


def distance(start: int, end: int) -> int:
    """Return the bytes from ``start`` to ``end`` in 32-bit sequence space."""
    return (end - start) % MODULUS


@dataclass(frozen=True, kw_only=True)
class Packet:
    """One packet; ``source`` and ``destination`` are the ends of the flow."""

    flags: int
    source: tuple[str, int]
    destination: tuple[str, int]
    sequence: int
    acknowledged: int
    data: bytes = b""
    echo: int = 0
    sum_is_valid: bool = True

    def has(self, flag: int) -> bool:
        """Return whether ``flag`` is set."""
        return bool(self.flags & flag)

    @property
    def end(self) -> int:
        """Sequence number after the data."""
        return (self.sequence + len(self.data)) % MODULUS


def _sum(flags: int, packet_fields: bytes, data: bytes) -> bytes:
    content = bytes([flags & ~BOUNCED & 0xFF]) + packet_fields + data
    return hashlib.blake2b(content, digest_size=4, key=_SUM_KEY).digest()


def _covered(
    source: tuple[str, int], destination: tuple[str, int], sequence: int, acknowledged: int
) -> bytes:
    return (
        socket.inet_aton(source[0])
        + socket.inet_aton(destination[0])
        + struct.pack("!HHII", source[1], destination[1], sequence, acknowledged)
    )


def encode(packet: Packet) -> bytes:
    """Return the datagram of a packet that an end of a flow writes."""
    fields = _covered(packet.source, packet.destination, packet.sequence, packet.acknowledged)
    return (
        _HEADER.pack(
            packet.flags,
            b"\0\0\0",
            _sum(packet.flags, fields, packet.data),
            socket.inet_aton(packet.destination[0]),
            packet.source[1],
            socket.inet_aton(packet.source[0]),
            packet.destination[1],
            packet.echo,
            packet.sequence,
            packet.acknowledged,
            len(packet.data),
        )
        + packet.data
    )


def decode(datagram: bytes) -> Packet | None:
    """Return the packet of a datagram, or None if it isn't one."""
    if len(datagram) < _HEADER.size:
        return None
    flags, _, checksum, dst, sport, src, dport, echo, seq, ack, length = _HEADER.unpack_from(
        datagram
    )
    data = datagram[_HEADER.size :]
    if length != len(data):
        return None
    source = (socket.inet_ntoa(src), sport)
    destination = (socket.inet_ntoa(dst), dport)
    return Packet(
        flags=flags,
        source=source,
        destination=destination,
        sequence=seq,
        acknowledged=ack,
        data=data,
        echo=echo,
        sum_is_valid=checksum == _sum(flags, _covered(source, destination, seq, ack), data),
    )


def bounced(datagram: bytes) -> bytes:
    """Return a packet as a backend returns it: BOUNCED set, pad 0, echo unchanged."""
    return bytes([datagram[0] | BOUNCED, 0, 0, 0]) + datagram[4:]
