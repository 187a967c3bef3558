"""Errors of the catalog library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError


class MalformedUpdateError(InvalidInputError):
    """A peer sent something that is not a catalog update."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"a peer's catalog update can't be decoded: {reason}")
        self.reason = reason


class MalformedItemError(InvalidInputError):
    """An item of the platform can't be used; ``key`` names it."""

    def __init__(self, *, key: str, reason: str) -> None:
        super().__init__(f"item {key!r} of the platform is ignored: {reason}")
        self.key = key
        self.reason = reason
