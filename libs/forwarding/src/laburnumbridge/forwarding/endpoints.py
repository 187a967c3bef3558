"""Endpoints: IPv4 address and port of a socket."""

from __future__ import annotations

Endpoint = tuple[str, int]


def parse_endpoint(text: str) -> Endpoint:
    """Return the address and port of ``"address:port"``. Raises ValueError."""
    address, separator, port = text.rpartition(":")
    if not separator or not address:
        raise ValueError(f"{text!r} is not an address and a port")
    return address, int(port)
