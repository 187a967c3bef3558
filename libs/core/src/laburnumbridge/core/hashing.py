"""Hashing shared by routing, lease holders, watchers and key owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def hash64(data: bytes, *, seed: int = 0) -> int:
    """Return the 64-bit XXH3 hash of ``data``; it is not a cryptographic hash."""
    return xxhash.xxh3_64_intdigest(data, seed)


def _weight(key: bytes, member: str) -> tuple[int, str]:
    return hash64(member.encode() + b"\0" + key), member


def rendezvous_rank(key: bytes, members: Iterable[str]) -> list[str]:
    """Order ``members`` by rendezvous weight for ``key``, highest first.

    Every process with the same members gets the same order. Removing a member leaves the order
    of the others unchanged.
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def rendezvous_winner(key: bytes, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight for ``key``, or None without members."""
    return max(members, key=lambda member: _weight(key, member), default=None)
