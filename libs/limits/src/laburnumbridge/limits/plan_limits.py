"""The limits of one plan."""

from __future__ import annotations

from dataclasses import dataclass

from laburnumbridge.limits.errors import InvalidPlanLimitError
from laburnumbridge.limits.limit_kind import LimitKind


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanLimits:
    """The limits of a plan in the whole fleet; None means unlimited.

    ``guaranteed_share`` and ``ceiling`` are fractions of an upstream's capacity. Admission
    enforces them at each upstream; they do not change the fleet-wide limits.

    Raises InvalidPlanLimitError for a negative limit or a fraction outside 0..1.
    """

    open_connections: int | None = None
    new_connections_per_s: int | None = None
    requests_per_s: int | None = None
    concurrent_requests: int | None = None
    guaranteed_share: float = 0.0
    ceiling: float = 1.0

    def __post_init__(self) -> None:
        for kind in LimitKind:
            limit = self.limit(kind)
            if limit is not None and limit < 0:
                raise InvalidPlanLimitError(field=kind.name.lower(), value=limit)
        for field, value in (
            ("guaranteed_share", self.guaranteed_share),
            ("ceiling", self.ceiling),
        ):
            if not 0.0 <= value <= 1.0:
                raise InvalidPlanLimitError(field=field, value=value)

    def limit(self, kind: LimitKind) -> int | None:
        """Return one limit in connections, requests, or either of them per second.

        None means unlimited.
        """
        match kind:
            case LimitKind.OPEN_CONNECTIONS:
                return self.open_connections
            case LimitKind.CONNECTION_RATE:
                return self.new_connections_per_s
            case LimitKind.REQUEST_RATE:
                return self.requests_per_s
            case LimitKind.CONCURRENT_REQUESTS:
                return self.concurrent_requests
