"""Which agent holds the leases of a plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import rendezvous_winner

if TYPE_CHECKING:
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import ProcessId

# With more agents added at once, holders are forgotten and hashed again when asked for: the
# plans that are idle need none.
MOST_ADDED = 64


class HolderDirectory:
    """Finds holders by rendezvous hashing over the reachable agents.

    Only plans that were asked for are remembered. After a change a holder is hashed against
    the added agents alone, unless it was removed itself: the time to hash all agents grows with
    the fleet.
    """

    def __init__(self) -> None:
        self._agents: frozenset[ProcessId] = frozenset()
        self._holder_by_plan: dict[PlanName, ProcessId | None] = {}

    def replace_agents(self, agents: frozenset[ProcessId]) -> None:
        """Replace the reachable agents."""
        added = agents - self._agents
        self._agents = agents
        if len(added) > MOST_ADDED:
            self._holder_by_plan.clear()
        for plan, holder in self._holder_by_plan.items():
            if holder is None or holder not in agents:
                self._holder_by_plan[plan] = self._winner(plan, agents)
            elif added:
                self._holder_by_plan[plan] = self._winner(plan, added | {holder})

    def holder(self, plan: PlanName) -> ProcessId | None:
        """Return the holder of a plan, or None without reachable agents."""
        if plan not in self._holder_by_plan:
            self._holder_by_plan[plan] = self._winner(plan, self._agents)
        return self._holder_by_plan[plan]

    @staticmethod
    def _winner(plan: PlanName, agents: frozenset[ProcessId]) -> ProcessId | None:
        return rendezvous_winner(b"plan:" + plan.encode(), agents)  # type: ignore[return-value]
