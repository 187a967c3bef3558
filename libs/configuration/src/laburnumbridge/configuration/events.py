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
    """The live processes, including this one once it is listed."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """The platform returned a value (JSON)."""

    name: str
    version: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PlatformNotModified:
    """The platform holds no newer version."""

    name: str


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """A read of the platform failed or timed out."""

    name: str


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """A peer sent its versions."""

    sender: ProcessId
    digests: tuple[ValueDigest, ...]
    reply_wanted: bool = False


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A peer requests a value; ``base_version`` 0 requests the whole value."""

    sender: ProcessId
    name: str
    base_version: int = 0


@dataclass(frozen=True, slots=True)
class PeerValue:
    """A peer sent a whole value (``payload``) or, if that is None, deltas."""

    sender: ProcessId
    name: str
    version: int
    digest: bytes
    payload: bytes | None = None
    deltas: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerUnavailable:
    """A request for a value to the peer ``sender`` failed or got an empty answer."""

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
    """Periodic timer; expected four times a second."""


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
