"""IPv4 addresses as text and as bytes, without sockets."""

from __future__ import annotations

from functools import lru_cache

CACHED_ADDRESSES = 16_384
"""Twice the number of upstreams at full size.

Addresses are cached because converting one takes longer than the rest of an envelope.
"""


@lru_cache(maxsize=CACHED_ADDRESSES)
def pack_ipv4(text: str) -> bytes:
    """Return the four bytes of a dotted address. Raises ValueError."""
    packed = bytes(int(part) for part in text.split("."))
    if len(packed) != 4:
        raise ValueError(f"{text!r} is not an IPv4 address")
    return packed


@lru_cache(maxsize=CACHED_ADDRESSES)
def unpack_ipv4(packed: bytes) -> str:
    """Return the dotted form of four bytes."""
    return ".".join(map(str, packed))
