"""The connections of one upstream."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.admission.events import ConnectionId
    from laburnumbridge.admission.plan_ceilings import PlanCeilings
    from laburnumbridge.core import PlanName


class ConnectionPlaces:
    """Counts open connections and streams against one limit and the ceilings of the plans.

    A connection with n streams takes max(1, n) places. A stream without a connection, or whose
    connection has closed, takes its own place until it ends. All places of a connection count
    for the plan that took the first of them.
    """

    def __init__(self, *, limit: int, ceilings: PlanCeilings) -> None:
        self.limit = limit
        self.used = 0
        self._ceilings = ceilings
        self._used_by_plan: Counter[PlanName] = Counter()
        self._open: set[ConnectionId] = set()
        self._streams_by_id: Counter[ConnectionId] = Counter()
        self._owner_by_id: dict[ConnectionId, PlanName] = {}

    def is_open(self, connection_id: ConnectionId) -> bool:
        """Return whether the connection was accepted and has not closed."""
        return connection_id in self._open

    def used_by(self, plan: PlanName) -> int:
        """Return the places that count for the plan."""
        return self._used_by_plan[plan]

    def is_at_ceiling(self, plan: PlanName) -> bool:
        """Return whether the plan's ceiling keeps it from taking another place."""
        return self._ceilings.is_reached(plan, used=self.used_by(plan), total=self.limit)

    def owner(self, connection_id: ConnectionId | None, plan: PlanName) -> PlanName:
        """Return the plan that the places of a connection count for."""
        if connection_id is None:
            return plan
        return self._owner_by_id.get(connection_id, plan)

    def open(self, connection_id: ConnectionId, plan: PlanName) -> bool:
        """Take a place for a new connection; return whether there was one."""
        if not self._has_place(self.owner(connection_id, plan)):
            return False
        before = self._places(connection_id)
        self._open.add(connection_id)
        self._count(connection_id, plan, self._places(connection_id) - before)
        return True

    def close(self, connection_id: ConnectionId) -> None:
        """Give back the place of a connection that its streams do not use."""
        if connection_id not in self._open:
            return
        before = self._places(connection_id)
        self._open.discard(connection_id)
        plan = self._owner_by_id[connection_id]
        self._count(connection_id, plan, self._places(connection_id) - before)

    def open_stream(self, connection_id: ConnectionId | None, plan: PlanName) -> bool:
        """Take a place for a stream; return whether there was one."""
        if not self._is_covered(connection_id) and not self._has_place(
            self.owner(connection_id, plan)
        ):
            return False
        if connection_id is None:
            self._charge(plan, 1)
            return True
        before = self._places(connection_id)
        self._streams_by_id[connection_id] += 1
        self._count(connection_id, plan, self._places(connection_id) - before)
        return True

    def close_stream(self, connection_id: ConnectionId | None, plan: PlanName) -> None:
        """Give back the place of a stream."""
        if connection_id is None:
            self._charge(plan, -1)
            return
        before = self._places(connection_id)
        self._streams_by_id[connection_id] -= 1
        if not self._streams_by_id[connection_id]:
            del self._streams_by_id[connection_id]
        self._count(connection_id, plan, self._places(connection_id) - before)

    def _is_covered(self, connection_id: ConnectionId | None) -> bool:
        if connection_id is None:
            return False
        return connection_id in self._open and not self._streams_by_id[connection_id]

    def _has_place(self, plan: PlanName) -> bool:
        return self.used < self.limit and not self.is_at_ceiling(plan)

    def _count(self, connection_id: ConnectionId, plan: PlanName, change: int) -> None:
        owner = self._owner_by_id.setdefault(connection_id, plan)
        self._charge(owner, change)
        if not self._places(connection_id):
            del self._owner_by_id[connection_id]

    def _charge(self, plan: PlanName, change: int) -> None:
        self.used += change
        self._used_by_plan[plan] += change
        if not self._used_by_plan[plan]:
            del self._used_by_plan[plan]

    def _places(self, connection_id: ConnectionId) -> int:
        return max(self._streams_by_id[connection_id], 1 if connection_id in self._open else 0)
