"""Actions of the configuration relay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.configuration.value_digest import ValueDigest
    from laburnumbridge.core import ProcessId


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Read a version newer than ``after``; the platform may wait ``wait_s`` seconds for one."""

    name: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Send the versions of this process to a peer."""

    peer: ProcessId
    digests: tuple[ValueDigest, ...]
    reply_wanted: bool


@dataclass(frozen=True, slots=True)
class RequestValue:
    """Request a version newer than ``base_version`` from a peer; 0 requests the whole value."""

    peer: ProcessId
    name: str
    base_version: int


@dataclass(frozen=True, slots=True)
class SendValue:
    """Answer a request with the whole value (``payload``) or, if that is None, with deltas."""

    peer: ProcessId
    name: str
    version: int
    digest: bytes
    payload: bytes | None
    deltas: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ValidateCandidate:
    """Validate a value and report the result as ``CandidateValidated``."""

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
    """Other content was received under the version in force, which remains in force.

    ``source`` is the peer that sent its digest or content, or None for the platform.
    """

    name: str
    version: int
    digest: bytes
    other_digest: bytes
    source: ProcessId | None


@dataclass(frozen=True, slots=True)
class StartServing:
    """Begin to serve: every value is in force; emitted once."""


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
