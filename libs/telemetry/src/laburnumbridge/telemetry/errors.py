"""Errors of the telemetry library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError
from laburnumbridge.core import UnavailableError


class SnapshotRejectedError(InvalidInputError):
    """A snapshot from another process can't be read."""

    def __init__(self, *, process: str, reason: str) -> None:
        super().__init__(f"the snapshot of {process} can't be read: {reason}")
        self.process = process
        self.reason = reason


class DecisionsRejectedError(InvalidInputError):
    """The decisions that another process reports can't be read."""

    def __init__(self, *, process: str, reason: str) -> None:
        super().__init__(f"the decisions of {process} can't be read: {reason}")
        self.process = process
        self.reason = reason


class MalformedHistogramError(InvalidInputError):
    """An encoded histogram is malformed or has another layout."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the histogram can't be decoded: {reason}")
        self.reason = reason


class InvalidSubjectError(InvalidInputError):
    """A subject of decisions isn't written as ``kind:identifier`` with a known kind."""

    def __init__(self, *, subject: str, kinds: tuple[str, ...]) -> None:
        super().__init__(f"subject {subject!r} is not KIND:ID; kinds are {', '.join(kinds)}")
        self.subject = subject
        self.kinds = kinds


class MetricsAddressInUseError(UnavailableError):
    """The address for the metrics can't be bound."""

    def __init__(self, *, address: str, reason: str) -> None:
        super().__init__(
            f"can't serve metrics on {address}: {reason}; change metrics_address in the settings"
        )
        self.address = address
        self.reason = reason
