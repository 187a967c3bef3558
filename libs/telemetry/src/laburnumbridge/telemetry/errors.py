"""Errors of the telemetry library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError


class SnapshotRejectedError(InvalidInputError):
    """A snapshot from another process can't be read."""

    def __init__(self, *, process: str, reason: str) -> None:
        super().__init__(f"the snapshot of {process} can't be read: {reason}")
        self.process = process
        self.reason = reason
