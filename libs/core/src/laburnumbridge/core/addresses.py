"""IPv4 addresses as text and as bytes, without sockets."""

from __future__ import annotations


def pack_ipv4(text: str) -> bytes:
    """Return the four bytes of a dotted address. Raises ValueError."""
    packed = bytes(int(part) for part in text.split("."))
    if len(packed) != 4:
        raise ValueError(f"{text!r} is not an IPv4 address")
    return packed


def unpack_ipv4(packed: bytes) -> str:
    """Return the dotted form of four bytes."""
    return ".".join(map(str, packed))
