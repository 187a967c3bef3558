"""Selection of the agent that holds the leases of a plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import rendezvous_winner

if TYPE_CHECKING:
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import ProcessId

# If more agents than this are added at once, the cached holders are dropped and hashed again on
# request, because idle plans need no holder.
MAX_ADDED_AGENTS = 64


class HolderDirectory:
    """Finds holders by rendezvous hashing over the reachable agents.

    Only requested plans are cached. After a change, a cached holder that is still reachable is
    compared with the added agents only, because hashing all agents takes time that grows with the
    fleet.
    """

    def __init__(self) -> None:
        self._agents: frozenset[ProcessId] = frozenset()
        self._holder_by_plan: dict[PlanName, ProcessId | None] = {}

    def replace_agents(self, agents: frozenset[ProcessId]) -> None:
        """Replace the reachable agents."""
        added = agents - self._agents
        self._agents = agents
        if len(added) > MAX_ADDED_AGENTS:
            self._holder_by_plan.clear()
        for plan, holder in self._holder_by_plan.items():
            if holder is None or holder not in agents:
                self._holder_by_plan[plan] = self._winner(plan, agents)
            elif added:
                self._holder_by_plan[plan] = self._winner(plan, added | {holder})

    def holder(self, plan: PlanName) -> ProcessId | None:
        """Return the holder of a plan, or None if no agent is reachable."""
        if plan not in self._holder_by_plan:
            self._holder_by_plan[plan] = self._winner(plan, self._agents)
        return self._holder_by_plan[plan]

    @staticmethod
    def _winner(plan: PlanName, agents: frozenset[ProcessId]) -> ProcessId | None:
        return rendezvous_winner(b"plan:" + plan.encode(), agents)  # type: ignore[return-value]
