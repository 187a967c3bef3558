"""Events of the configuration relay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.configuration.member import Member
    from laburnumbridge.configuration.value_digest import ValueDigest
    from laburnumbridge.core import ProcessId


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The live view, which includes the own process once it is listed."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """The platform returned a value (JSON)."""

    name: str
    version: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PlatformNotModified:
    """The platform holds nothing newer."""

    name: str


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """A read failed or timed out."""

    name: str


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """A peer told its versions."""

    sender: ProcessId
    digests: tuple[ValueDigest, ...]
    reply_wanted: bool = False


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A peer asks for a value; ``base_version`` is 0 where it wants the whole value."""

    sender: ProcessId
    name: str
    base_version: int = 0


@dataclass(frozen=True, slots=True)
class PeerValue:
    """A peer sent a whole value (``payload``) or deltas from an earlier version."""

    sender: ProcessId
    name: str
    version: int
    digest: bytes
    payload: bytes | None = None
    deltas: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerUnavailable:
    """A request for a value failed or was answered with nothing."""

    sender: ProcessId
    name: str


@dataclass(frozen=True, slots=True)
class CandidateValidated:
    """The result of validating a candidate."""

    name: str
    version: int
    digest: bytes
    valid: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; expected four times a second."""


Event = (
    MembersChanged
    | PlatformAnswer
    | PlatformNotModified
    | PlatformUnavailable
    | PeerDigest
    | PeerRequest
    | PeerValue
    | PeerUnavailable
    | CandidateValidated
    | Tick
)
