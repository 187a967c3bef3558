"""Actions that the lease client and the lease holder return to their drivers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId
    from laburnumbridge.core import Refusal
    from laburnumbridge.core import RequestId
    from laburnumbridge.limits.messages import Grant
    from laburnumbridge.limits.messages import Query
    from laburnumbridge.limits.messages import Report


@dataclass(frozen=True, slots=True)
class Admit:
    """Run the work; its end must be reported by ``WorkEnded``."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with ``refusal`` and do not run the work."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Defer:
    """Delay the work; ``Admit`` or ``Refuse`` follows by ``until`` (monotonic seconds)."""

    request_id: RequestId
    until: float


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to the holder at ``destination``."""

    destination: ProcessId
    report: Report


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant to the agent at ``destination``."""

    destination: ProcessId
    grant: Grant


@dataclass(frozen=True, slots=True)
class SendQuery:
    """Send a query to the agent at ``destination``."""

    destination: ProcessId
    query: Query


ClientAction = Admit | Refuse | Defer | SendReport
HolderAction = SendGrant | SendQuery
