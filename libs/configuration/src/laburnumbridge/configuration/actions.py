"""Actions of the configuration relay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.configuration.value_digest import ValueDigest
    from laburnumbridge.core import ProcessId


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Read a value newer than ``after``; a ``wait_s`` above 0 makes it a waiting watch."""

    name: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Tell a peer the own versions."""

    peer: ProcessId
    digests: tuple[ValueDigest, ...]
    reply_wanted: bool


@dataclass(frozen=True, slots=True)
class RequestValue:
    """Ask a peer for a value newer than ``base_version``; 0 asks for the whole value."""

    peer: ProcessId
    name: str
    base_version: int


@dataclass(frozen=True, slots=True)
class SendValue:
    """Answer a request with the whole value (``payload``) or with deltas."""

    peer: ProcessId
    name: str
    version: int
    digest: bytes
    payload: bytes | None
    deltas: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ValidateCandidate:
    """Validate a value and return the result as ``CandidateValidated``."""

    name: str
    version: int
    digest: bytes
    payload: bytes


@dataclass(frozen=True, slots=True)
class ActivateValue:
    """Use this version from now on."""

    name: str
    version: int
    digest: bytes
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReportConflict:
    """Another content was seen under the version in force, which stays.

    ``source`` is the peer that told it, or None for the platform.
    """

    name: str
    version: int
    digest: bytes
    other_digest: bytes
    source: ProcessId | None


@dataclass(frozen=True, slots=True)
class StartServing:
    """Every value is in force; emitted once."""


Action = (
    ReadPlatform
    | SendDigest
    | RequestValue
    | SendValue
    | ValidateCandidate
    | ActivateValue
    | ReportConflict
    | StartServing
)
