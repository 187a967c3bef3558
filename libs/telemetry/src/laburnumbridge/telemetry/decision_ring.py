"""Bounded buffer of recent decisions."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from laburnumbridge.telemetry.decision import SubjectKind

if TYPE_CHECKING:
    from laburnumbridge.telemetry.decision import Decision

IMPORTANT_DECISIONS = 4000
ROUTINE_DECISIONS = 2000


class FairDeque:
    """Keeps up to ``limit`` decisions; when full, evicts the oldest one of the largest plan.

    A busy plan therefore can't evict the decisions about clients of a small one.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._size = 0
        self._by_plan: dict[str, deque[Decision]] = {}

    def add(self, decision: Decision) -> None:
        """Add a decision, and evict one if the limit is exceeded."""
        plan = decision.subjects.get(SubjectKind.PLAN, "")
        self._by_plan.setdefault(plan, deque()).append(decision)
        self._size += 1
        if self._size <= self._limit:
            return
        largest = max(self._by_plan, key=lambda name: len(self._by_plan[name]))
        self._by_plan[largest].popleft()
        self._size -= 1
        if not self._by_plan[largest]:
            del self._by_plan[largest]

    def decisions(self) -> list[Decision]:
        """Return all kept decisions, in no particular order."""
        return [decision for kept in self._by_plan.values() for decision in kept]


class DecisionRing:
    """Separate buffers, so that routine decisions never evict important ones."""

    def __init__(
        self, *, important: int = IMPORTANT_DECISIONS, routine: int = ROUTINE_DECISIONS
    ) -> None:
        self._important = FairDeque(limit=important)
        self._routine = FairDeque(limit=routine)

    def record(self, decision: Decision) -> None:
        """Keep a decision until newer ones evict it."""
        (self._important if decision.important else self._routine).add(decision)

    def find(self, kind: SubjectKind, identifier: str) -> list[Decision]:
        """Return the decisions about a subject, oldest first."""
        kept = self._important.decisions() + self._routine.decisions()
        found = [decision for decision in kept if decision.subjects.get(kind) == identifier]
        return sorted(found, key=lambda decision: decision.at)
