"""An IP address and a port."""

from __future__ import annotations

import socket
from typing import NamedTuple

from laburnumbridge.wire.errors import FrameFault
from laburnumbridge.wire.errors import FrameRejectedError

IPV4_BYTES = 4
IPV6_BYTES = 16


class Endpoint(NamedTuple):
    """The host and port of a UDP or TCP endpoint; usable as a socket address."""

    host: str
    port: int

    def pack(self) -> bytes:
        """Return the port (2 bytes) and the address (4 or 16 bytes)."""
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        return self.port.to_bytes(2, "big") + socket.inet_pton(family, self.host)

    @classmethod
    def unpack(cls, data: bytes) -> Endpoint:
        """Read what ``pack`` returned.

        Raises FrameRejectedError for any other length.
        """
        address = data[2:]
        if len(address) == IPV4_BYTES:
            return cls(socket.inet_ntop(socket.AF_INET, address), int.from_bytes(data[:2], "big"))
        if len(address) == IPV6_BYTES:
            return cls(socket.inet_ntop(socket.AF_INET6, address), int.from_bytes(data[:2], "big"))
        raise FrameRejectedError(fault=FrameFault.BAD_ADDRESS)

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """Read ``host:port`` or ``[host]:port``."""
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
