"""Decisions about a subject, merged over processes."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappush
from heapq import heappushpop
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.cli.unresponsive_process import UnresponsiveProcess
    from laburnumbridge.telemetry import DecisionRecord
    from laburnumbridge.telemetry import ExplainAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class ExplainedDecision:
    """A decision and the process that made it."""

    process: str
    decision: DecisionRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Decisions about a subject, oldest first.

    ``answered`` is the number of processes that answered, ``omitted`` the number of older
    decisions that are left out, and ``silent`` the processes that did not answer.
    """

    subject: str
    answered: int
    omitted: int
    decisions: tuple[ExplainedDecision, ...]
    silent: tuple[UnresponsiveProcess, ...]


class ExplanationBuilder:
    """Keeps the newest ``limit`` decisions of all processes.

    Decisions are ordered by the clocks of the processes, then by process.
    """

    def __init__(self, *, subject: str, limit: int) -> None:
        self._subject = subject
        self._limit = limit
        self._heap: list[tuple[float, str, int, DecisionRecord]] = []
        self._sequence = 0
        self._answered = 0
        self._omitted = 0
        self._unresponsive: list[UnresponsiveProcess] = []

    def add(self, answer: ExplainAnswer) -> None:
        """Add the decisions of a process that answered."""
        self._answered += 1
        self._omitted += answer.omitted
        for decision in answer.decisions:
            # The sequence number keeps the order within a process and makes every item distinct.
            self._sequence += 1
            item = (decision.at, answer.process, self._sequence, decision)
            if len(self._heap) < self._limit:
                heappush(self._heap, item)
            else:
                heappushpop(self._heap, item)
                self._omitted += 1

    def add_unresponsive(self, process: UnresponsiveProcess) -> None:
        """Add a process that did not answer."""
        self._unresponsive.append(process)

    def build(self) -> Explanation:
        """Return the merged decisions."""
        ordered = sorted(self._heap, key=lambda item: item[:3])
        return Explanation(
            subject=self._subject,
            answered=self._answered,
            omitted=self._omitted,
            decisions=tuple(
                ExplainedDecision(process=process, decision=decision)
                for _, process, _, decision in ordered
            ),
            silent=tuple(sorted(self._unresponsive)),
        )
