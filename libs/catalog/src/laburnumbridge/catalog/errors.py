"""Errors of the catalog library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError


class MalformedUpdateError(InvalidInputError):
    """The bytes that a peer sent are not a catalog update."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"a peer's catalog update can't be decoded: {reason}")
        self.reason = reason


class MalformedItemError(InvalidInputError):
    """The item of the platform under ``key`` can't be used."""

    def __init__(self, *, key: str, reason: str) -> None:
        super().__init__(f"item {key!r} of the platform is ignored: {reason}")
        self.key = key
        self.reason = reason
