"""A process on the platform's list and its liveness state."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import FailureDomain
    from laburnumbridge.core import ProcessId
    from laburnumbridge.core import ServiceName


class Role(StrEnum):
    """Role of a process: balancer or agent."""

    BALANCER = "balancer"
    AGENT = "agent"


class MemberState(StrEnum):
    """Liveness of a process from the point of view of one observer.

    ``GONE`` is a process that was removed from the list and still has a tombstone; ``UNKNOWN`` has
    neither an entry nor a tombstone.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
    GONE = "gone"
    UNKNOWN = "unknown"

    @property
    def allows_flow_reset(self) -> bool:
        """Whether flows of the process may be reset: it is dead or was removed from the list."""
        return self in (MemberState.DEAD, MemberState.GONE)


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One process on the platform's list; ``service`` is None for a balancer."""

    process_id: ProcessId
    role: Role
    failure_domain: FailureDomain
    service: ServiceName | None = None
    leaving: bool = False
