"""The part of the fleet that a holder may grant credit for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.limits.timing import TERM_S

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId


class ContactView:
    """Tracks which listed agents are reachable and have reported, and so count for the budget.

    A lost agent counts for one more term, because agents out of contact may still use their
    leases. A regained agent counts once it has reported or a term has passed, because it may hold
    a lease of another holder.
    """

    def __init__(self) -> None:
        self._listed: frozenset[ProcessId] = frozenset()
        self._reachable: frozenset[ProcessId] = frozenset()
        self._lost_until: dict[ProcessId, float] = {}
        self._unreported_until: dict[ProcessId, float] = {}
        self._recovery_until = float("-inf")
        self._all_reachable = False
        # The number of listed agents that count, cached because every report needs the budget.
        self._counted = 0

    def start_recovery(self, now: float) -> None:
        """Require a report of every agent, because leases of an earlier holder may be out."""
        self._recovery_until = now + TERM_S
        self._lost_until.clear()
        self._unreported_until = dict.fromkeys(self._reachable, now + TERM_S)
        self._recount()

    def replace_fleet(
        self, listed: frozenset[ProcessId], reachable: frozenset[ProcessId], now: float
    ) -> None:
        """Apply a new view of the fleet."""
        for agent in self._reachable - reachable:
            if self._unreported_until.pop(agent, None) is None:
                self._lost_until[agent] = now + TERM_S
        for agent in reachable - self._reachable:
            if self._lost_until.pop(agent, None) is None:
                self._unreported_until[agent] = now + TERM_S
        self._listed = listed
        self._reachable = reachable
        self._all_reachable = listed <= reachable
        self._recount()
        self._end_recovery_if_complete()

    def record_report(self, agent: ProcessId) -> bool:
        """Record that an agent has reported; return True if its report was outstanding."""
        if self._unreported_until.pop(agent, None) is None:
            return False
        self._counted += agent in self._listed
        self._end_recovery_if_complete()
        return True

    def is_recently_lost(self, agent: ProcessId) -> bool:
        """Return whether an agent was lost within the last term, and so still counts."""
        return agent in self._lost_until

    def is_reachable(self, agent: ProcessId) -> bool:
        """Return whether an agent is reachable."""
        return agent in self._reachable

    def is_listed_or_reachable(self, agent: ProcessId) -> bool:
        """Return whether an agent is listed or reachable."""
        return agent in self._listed or agent in self._reachable

    def unreported(self) -> list[ProcessId]:
        """Return the agents whose reports are outstanding, sorted."""
        return sorted(self._unreported_until)

    def end_terms(self, now: float) -> None:
        """End the terms that have passed at ``now``."""
        if not self._lost_until and not self._unreported_until:
            return
        self._lost_until = {a: t for a, t in self._lost_until.items() if t > now}
        self._unreported_until = {a: t for a, t in self._unreported_until.items() if t > now}
        self._recount()

    def is_recovering(self, now: float) -> bool:
        """Return whether leases may be out that this holder has no report of."""
        return now < self._recovery_until

    def budget(self, limit: int) -> int:
        """Return the credit, as a part of ``limit``, that this holder may have out."""
        if not self._listed:
            return 0
        return limit * self._counted // len(self._listed)

    def _end_recovery_if_complete(self) -> None:
        # After every lease is accounted for, a later loss of contact doesn't need a recovery.
        if self._listed and self._all_reachable and not self._unreported_until:
            self._recovery_until = float("-inf")

    def _recount(self) -> None:
        counted = self._reachable.union(self._lost_until).difference(self._unreported_until)
        self._counted = len(counted & self._listed)
