"""Table of the decisions on recent handshakes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.placement.actions import ForwardHandshake
    from laburnumbridge.placement.actions import KeepHandshake


class HandshakeTable:
    """Bounded table that evicts the oldest decision first.

    A lost entry is harmless: the repeated packet is decided again, the client completes one of
    the two handshakes, and the other expires.
    """

    def __init__(self, *, limit: int, lifetime_s: float) -> None:
        self._limit = limit
        self._lifetime_s = lifetime_s
        self._entry_by_key: OrderedDict[bytes, tuple[float, KeepHandshake | ForwardHandshake]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def get(self, key: bytes, now: float) -> KeepHandshake | ForwardHandshake | None:
        """Return the decision, or None if there is none or it is older than the lifetime."""
        entry = self._entry_by_key.get(key)
        if entry is None or entry[0] <= now:
            return None
        return entry[1]

    def put(self, key: bytes, decision: KeepHandshake | ForwardHandshake, now: float) -> None:
        """Store a decision; evict those beyond the lifetime or, oldest first, the limit."""
        self._entry_by_key[key] = (now + self._lifetime_s, decision)
        self._entry_by_key.move_to_end(key)
        while len(self._entry_by_key) > self._limit or self._oldest_expiry() <= now:
            self._entry_by_key.popitem(last=False)

    def _oldest_expiry(self) -> float:
        return next(iter(self._entry_by_key.values()))[0]
