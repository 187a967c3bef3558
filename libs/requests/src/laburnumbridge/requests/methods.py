"""Which HTTP methods may run more than once."""

from __future__ import annotations

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


def is_idempotent(method: str) -> bool:
    """Return True where a second run has no further effect (RFC 9110, section 9.2.2)."""
    return method in IDEMPOTENT_METHODS
