"""Errors of the wire library."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from laburnumbridge.core import InvalidInputError
from laburnumbridge.core import UnavailableError

if TYPE_CHECKING:
    from laburnumbridge.wire.datagram_fault import DatagramFault


class FrameFault(StrEnum):
    """Why an encapsulated datagram was rejected; each fault has its counter."""

    TRUNCATED = "truncated"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_KIND = "unknown_kind"
    BAD_TAG = "bad_tag"
    BAD_ADDRESS = "bad_address"


class FrameRejectedError(InvalidInputError):
    """An encapsulated datagram is malformed or not authentic."""

    def __init__(self, *, fault: FrameFault) -> None:
        super().__init__(f"frame rejected: {fault.value}")
        self.fault = fault


class InvalidLinkKeyError(InvalidInputError):
    """The link key has a wrong length."""

    def __init__(self, *, length: int, wanted: int) -> None:
        super().__init__(f"link key has {length} bytes, {wanted} are needed")
        self.length = length
        self.wanted = wanted


class DatagramRejectedError(InvalidInputError):
    """A control datagram is malformed, not authentic or not fresh."""

    def __init__(self, *, fault: DatagramFault) -> None:
        super().__init__(f"control datagram rejected: {fault.value}")
        self.fault = fault


class DatagramTooLargeError(InvalidInputError):
    """A control message doesn't fit into one datagram."""

    def __init__(self, *, size: int, limit: int) -> None:
        super().__init__(f"control datagram has {size} bytes, the limit is {limit}")
        self.size = size
        self.limit = limit


class InvalidSealingKeysError(InvalidInputError):
    """The sealing keys are not usable: a bad number or length, or not exactly one current key."""

    def __init__(self, *, numbers: tuple[int, ...], current: int) -> None:
        listed = ", ".join(map(str, numbers))
        super().__init__(
            f"sealing keys [{listed}] with {current} current: they need distinct numbers from "
            "0 to 255, 32 bytes each and exactly one current key"
        )
        self.numbers = numbers
        self.current = current


class InvalidSenderError(InvalidInputError):
    """A process identifier doesn't fit into the header of a control datagram."""

    def __init__(self, *, size: int, limit: int) -> None:
        super().__init__(f"process identifier has {size} bytes, 1 to {limit} are allowed")
        self.size = size
        self.limit = limit


class CertificateUnreadableError(UnavailableError):
    """A certificate file can't be read."""

    def __init__(self, *, path: str, cause: str) -> None:
        super().__init__(f"certificate file {path} can't be read: {cause}")
        self.path = path


class InvalidCertificateError(InvalidInputError):
    """Certificates are malformed or the private key belongs to another certificate."""

    def __init__(self, *, cause: str) -> None:
        super().__init__(f"certificates are not usable: {cause}")
        self.cause = cause
