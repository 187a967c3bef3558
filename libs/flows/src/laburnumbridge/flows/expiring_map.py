"""A bounded map whose entries expire."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

K = TypeVar("K")
V = TypeVar("V")


class ExpiringMap(Generic[K, V]):
    """Keeps at most ``limit`` entries, each for ``ttl_s`` seconds after its last put or touch.

    The dictionary is ordered by last use, so ``expire`` stops at the first entry still valid.
    """

    def __init__(self, *, ttl_s: float, limit: int) -> None:
        self._ttl_s = ttl_s
        self._limit = limit
        self._by_key: dict[K, tuple[float, V]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def put(self, key: K, value: V, now: float) -> None:
        """Store ``value``; a full map evicts the least recently used entry."""
        self._by_key.pop(key, None)
        if len(self._by_key) >= self._limit:
            del self._by_key[next(iter(self._by_key))]
        self._by_key[key] = (now + self._ttl_s, value)

    def get(self, key: K, now: float) -> V | None:
        """Return the value of ``key``, or None if it is missing or expired."""
        entry = self._by_key.get(key)
        return entry[1] if entry and entry[0] > now else None

    def keys(self) -> list[K]:
        """Return all keys, also expired ones that weren't removed yet."""
        return list(self._by_key)

    def items(self, now: float) -> Iterator[tuple[K, V]]:
        """Yield the entries that aren't expired."""
        for key, (deadline, value) in self._by_key.items():
            if deadline > now:
                yield key, value

    def touch(self, key: K, now: float) -> V | None:
        """Return the value of ``key`` and restart its lifetime; None if missing or expired."""
        value = self.get(key, now)
        if value is not None:
            self.put(key, value, now)
        return value

    def pop(self, key: K) -> None:
        """Remove ``key`` if it is present."""
        self._by_key.pop(key, None)

    def expire(self, now: float) -> int:
        """Remove expired entries and return their number."""
        expired = 0
        for key, (deadline, _) in list(self._by_key.items()):
            if deadline > now:
                break
            del self._by_key[key]
            expired += 1
        return expired
