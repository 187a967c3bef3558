"""Errors of the flow library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError


class MalformedPacketError(InvalidInputError):
    """A datagram isn't a valid flow packet; ``reason`` is short enough for a counter's label."""

    def __init__(self, *, reason: str, size: int) -> None:
        super().__init__(f"a datagram of {size} bytes is not a flow packet: {reason}")
        self.reason = reason
        self.size = size


class MalformedPeerDatagramError(InvalidInputError):
    """A datagram between two processes of the system can't be decoded."""

    def __init__(self, *, reason: str, size: int) -> None:
        super().__init__(f"a peer datagram of {size} bytes can't be decoded: {reason}")
        self.reason = reason
        self.size = size
