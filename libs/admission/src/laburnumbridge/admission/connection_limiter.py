"""Limits on the open connections of one upstream."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.admission.events import ConnectionId
    from laburnumbridge.admission.plan_ceilings import PlanCeilings
    from laburnumbridge.core import PlanName


class ConnectionLimiter:
    """Counts open connections and streams against the connection limit and the plans' ceilings.

    A connection with n streams counts as max(1, n) connections. A stream without a connection,
    or whose connection has closed, counts as one until it ends. A connection and its streams are
    charged to the plan that opened the first of them.
    """

    def __init__(self, *, limit: int, ceilings: PlanCeilings) -> None:
        self.limit = limit
        self.used = 0
        self._ceilings = ceilings
        self._used_by_plan: Counter[PlanName] = Counter()
        self._open_ids: set[ConnectionId] = set()
        self._streams_by_id: Counter[ConnectionId] = Counter()
        self._charged_plan_by_id: dict[ConnectionId, PlanName] = {}

    def is_open(self, connection_id: ConnectionId) -> bool:
        """Return whether the connection was accepted and has not closed."""
        return connection_id in self._open_ids

    def used_by(self, plan: PlanName) -> int:
        """Return the number of connections charged to the plan."""
        return self._used_by_plan[plan]

    def is_at_ceiling(self, plan: PlanName) -> bool:
        """Return whether the plan's ceiling keeps it from opening another connection."""
        return self._ceilings.is_reached(plan, used=self.used_by(plan), total=self.limit)

    def charged_plan(self, connection_id: ConnectionId | None, plan: PlanName) -> PlanName:
        """Return the plan that a connection is charged to; ``plan`` if it is not counted yet."""
        if connection_id is None:
            return plan
        return self._charged_plan_by_id.get(connection_id, plan)

    def open(self, connection_id: ConnectionId, plan: PlanName) -> bool:
        """Count a new connection if the limits allow it; return whether they do."""
        if not self._has_capacity(self.charged_plan(connection_id, plan)):
            return False
        before = self._connection_count(connection_id)
        self._open_ids.add(connection_id)
        self._charge_connection(connection_id, plan, self._connection_count(connection_id) - before)
        return True

    def close(self, connection_id: ConnectionId) -> None:
        """Stop counting a closed connection; its open streams still count."""
        if connection_id not in self._open_ids:
            return
        before = self._connection_count(connection_id)
        self._open_ids.discard(connection_id)
        plan = self._charged_plan_by_id[connection_id]
        self._charge_connection(connection_id, plan, self._connection_count(connection_id) - before)

    def open_stream(self, connection_id: ConnectionId | None, plan: PlanName) -> bool:
        """Count a new stream if the limits allow it; return whether they do."""
        if not self._fits_open_connection(connection_id) and not self._has_capacity(
            self.charged_plan(connection_id, plan)
        ):
            return False
        if connection_id is None:
            self._charge(plan, 1)
            return True
        before = self._connection_count(connection_id)
        self._streams_by_id[connection_id] += 1
        self._charge_connection(connection_id, plan, self._connection_count(connection_id) - before)
        return True

    def close_stream(self, connection_id: ConnectionId | None, plan: PlanName) -> None:
        """Stop counting a stream that has ended."""
        if connection_id is None:
            self._charge(plan, -1)
            return
        before = self._connection_count(connection_id)
        self._streams_by_id[connection_id] -= 1
        if not self._streams_by_id[connection_id]:
            del self._streams_by_id[connection_id]
        self._charge_connection(connection_id, plan, self._connection_count(connection_id) - before)

    def _fits_open_connection(self, connection_id: ConnectionId | None) -> bool:
        if connection_id is None:
            return False
        return connection_id in self._open_ids and not self._streams_by_id[connection_id]

    def _has_capacity(self, plan: PlanName) -> bool:
        return self.used < self.limit and not self.is_at_ceiling(plan)

    def _charge_connection(self, connection_id: ConnectionId, plan: PlanName, change: int) -> None:
        charged_plan = self._charged_plan_by_id.setdefault(connection_id, plan)
        self._charge(charged_plan, change)
        if not self._connection_count(connection_id):
            del self._charged_plan_by_id[connection_id]

    def _charge(self, plan: PlanName, change: int) -> None:
        self.used += change
        self._used_by_plan[plan] += change
        if not self._used_by_plan[plan]:
            del self._used_by_plan[plan]

    def _connection_count(self, connection_id: ConnectionId) -> int:
        return max(self._streams_by_id[connection_id], 1 if connection_id in self._open_ids else 0)
