"""A process of the platform's list and its state."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import FailureDomain
    from laburnumbridge.core import ProcessId
    from laburnumbridge.core import ServiceName


class Role(StrEnum):
    """What a process does."""

    BALANCER = "balancer"
    AGENT = "agent"


class MemberState(StrEnum):
    """Liveness of a process as an observer knows it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
    GONE = "gone"
    UNKNOWN = "unknown"

    @property
    def is_known_gone(self) -> bool:
        """True where flows of the process may be reset."""
        return self in (MemberState.DEAD, MemberState.GONE)


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One process of the platform's list; ``service`` is None for a balancer."""

    process_id: ProcessId
    role: Role
    failure_domain: FailureDomain
    service: ServiceName | None = None
    leaving: bool = False
