"""How much of the fleet a holder may grant for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.limits.timing import TERM_S

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId


class ContactView:
    """The listed agents that a holder reaches and has heard, as a part of those listed.

    An agent that was lost counts for one more term, in which the other side still uses the
    leases it has. An agent that was regained counts once it has reported or a term has passed,
    because it may hold a lease of another holder.
    """

    def __init__(self) -> None:
        self._listed: frozenset[ProcessId] = frozenset()
        self._reachable: frozenset[ProcessId] = frozenset()
        self._lost_until: dict[ProcessId, float] = {}
        self._unheard_until: dict[ProcessId, float] = {}
        self._recovers_until = float("-inf")
        self._all_reachable = False
        # The listed agents that count, kept because every report needs the budget.
        self._counted = 0

    def start_recovery(self, now: float) -> None:
        """Count every agent as unheard: leases of an earlier holder may be out."""
        self._recovers_until = now + TERM_S
        self._lost_until.clear()
        self._unheard_until = dict.fromkeys(self._reachable, now + TERM_S)
        self._count()

    def replace(
        self, listed: frozenset[ProcessId], reachable: frozenset[ProcessId], now: float
    ) -> None:
        """Take in a new view of the fleet."""
        for agent in self._reachable - reachable:
            if self._unheard_until.pop(agent, None) is None:
                self._lost_until[agent] = now + TERM_S
        for agent in reachable - self._reachable:
            if self._lost_until.pop(agent, None) is None:
                self._unheard_until[agent] = now + TERM_S
        self._listed = listed
        self._reachable = reachable
        self._all_reachable = listed <= reachable
        self._count()
        self._end_recovery_if_complete()

    def heard(self, agent: ProcessId) -> bool:
        """Note that an agent has reported what it holds; return True if it was unheard."""
        if self._unheard_until.pop(agent, None) is None:
            return False
        self._counted += agent in self._listed
        self._end_recovery_if_complete()
        return True

    def lost_lately(self, agent: ProcessId) -> bool:
        """True while an agent that was lost still counts."""
        return agent in self._lost_until

    def reaches(self, agent: ProcessId) -> bool:
        """True when an agent is reachable."""
        return agent in self._reachable

    def knows(self, agent: ProcessId) -> bool:
        """True when an agent is listed or reachable."""
        return agent in self._listed or agent in self._reachable

    def unheard(self) -> list[ProcessId]:
        """Return the agents that are still to report, in a fixed order."""
        return sorted(self._unheard_until)

    def advance(self, now: float) -> None:
        """Let terms end that have passed."""
        if not self._lost_until and not self._unheard_until:
            return
        self._lost_until = {a: t for a, t in self._lost_until.items() if t > now}
        self._unheard_until = {a: t for a, t in self._unheard_until.items() if t > now}
        self._count()

    def recovering(self, now: float) -> bool:
        """True while leases may be out that this holder cannot account for."""
        return now < self._recovers_until

    def budget(self, limit: int) -> int:
        """Return the part of ``limit`` that this holder may have out."""
        if not self._listed:
            return 0
        return limit * self._counted // len(self._listed)

    def _end_recovery_if_complete(self) -> None:
        # Once every lease is accounted for, a later loss of contact doesn't start a recovery.
        if self._listed and self._all_reachable and not self._unheard_until:
            self._recovers_until = float("-inf")

    def _count(self) -> None:
        counted = self._reachable.union(self._lost_until).difference(self._unheard_until)
        self._counted = len(counted & self._listed)
