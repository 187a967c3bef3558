"""Builds stateless reset datagrams (RFC 9000 section 10.3)."""

from __future__ import annotations

import os

# The RFC requires at least 21 bytes, and fewer than the packet that triggered the reset, so that
# two endpoints can't reset each other forever.
MIN_RESET_BYTES = 21
MAX_RESET_BYTES = 42

_SHORT_HEADER = 0x40
_SHORT_HEADER_RANDOM_BITS = 0x3F
_TOKEN_BYTES = 16


def build_stateless_reset(*, token: bytes, triggering_bytes: int) -> bytes | None:
    """Return the datagram, or None if the triggering packet is too short for a reset."""
    size = min(triggering_bytes - 1, MAX_RESET_BYTES)
    if size < MIN_RESET_BYTES:
        return None
    filler = bytearray(os.urandom(size - _TOKEN_BYTES))
    filler[0] = _SHORT_HEADER | (filler[0] & _SHORT_HEADER_RANDOM_BITS)
    return bytes(filler) + token
