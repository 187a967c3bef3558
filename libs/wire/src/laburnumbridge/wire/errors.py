"""Errors of the wire library."""

from __future__ import annotations

from enum import StrEnum

from laburnumbridge.core import InvalidInputError


class FrameFault(StrEnum):
    """Why a datagram between own processes was rejected; each fault has its counter."""

    TRUNCATED = "truncated"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_KIND = "unknown_kind"
    BAD_TAG = "bad_tag"
    BAD_ADDRESS = "bad_address"


class FrameRejectedError(InvalidInputError):
    """A datagram between own processes is malformed or not authentic."""

    def __init__(self, *, fault: FrameFault) -> None:
        super().__init__(f"frame rejected: {fault.value}")
        self.fault = fault


class InvalidLinkKeyError(InvalidInputError):
    """The key of the own links has a wrong length."""

    def __init__(self, *, length: int, wanted: int) -> None:
        super().__init__(f"link key has {length} bytes, {wanted} are needed")
        self.length = length
        self.wanted = wanted
