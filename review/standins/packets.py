"""The packet format of the platform, as its protocol page gives it."""

from __future__ import annotations

import socket
import struct
import zlib
from dataclasses import dataclass

SYN, BOUNCED, FIN, RST, ACK = 128, 64, 32, 16, 1
HEADER = struct.Struct("!B3sI4sH4sHIIIH")
MAX_DATA = 1_200
MODULUS = 1 << 32
_SUM_KEY = b"known to clients and backends only"


def pack_ip(text: str) -> bytes:
    return socket.inet_aton(text)


def keyed_sum(flags: int, rest: tuple, data: bytes) -> int:
    """Covers all fields except ``echo``, ``pad`` and BOUNCED."""
    return zlib.crc32(_SUM_KEY + repr((flags & ~BOUNCED, rest)).encode() + data) or 1


@dataclass
class Packet:
    flags: int
    src: str
    sport: int
    dst: str
    dport: int
    seq: int
    ack: int
    data: bytes = b""
    echo: int = 0
    sum: int = 0

    def _sum(self) -> int:
        rest = (self.src, self.sport, self.dst, self.dport, self.seq, self.ack, len(self.data))
        return keyed_sum(self.flags, rest, self.data)

    def encode(self) -> bytes:
        self.sum = self._sum()
        head = HEADER.pack(
            self.flags,
            b"\0\0\0",
            self.sum,
            pack_ip(self.dst),
            self.sport,
            pack_ip(self.src),
            self.dport,
            self.echo,
            self.seq,
            self.ack,
            len(self.data),
        )
        return head + self.data

    @property
    def is_genuine(self) -> bool:
        return self.sum == self._sum()

    @property
    def length(self) -> int:
        """Sequence numbers that the packet takes."""
        return len(self.data) + bool(self.flags & FIN) + bool(self.flags & SYN)

    @classmethod
    def decode(cls, raw: bytes) -> Packet:
        flags, _, total, dst, sport, src, dport, echo, seq, ack, length = HEADER.unpack_from(raw)
        data = raw[HEADER.size :]
        if len(data) != length:
            raise ValueError("length")
        return cls(
            flags=flags,
            src=socket.inet_ntoa(src),
            sport=sport,
            dst=socket.inet_ntoa(dst),
            dport=dport,
            seq=seq,
            ack=ack,
            data=data,
            echo=echo,
            sum=total,
        )


def bounced(raw: bytes) -> bytes:
    """Return the packet with BOUNCED set and ``pad`` 0; ``echo`` stays."""
    return bytes((raw[0] | BOUNCED,)) + b"\0\0\0" + raw[4:]


def distance(start: int, end: int) -> int:
    return (end - start) % MODULUS
