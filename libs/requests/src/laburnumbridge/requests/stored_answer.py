"""A complete answer of an upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Status, header fields and body, as kept for repeats of a keyed request."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def size(self) -> int:
        """Return the size in bytes that counts towards the memory bound."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)
