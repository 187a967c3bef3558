"""What an agent knows of one sibling."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from laburnumbridge.placement.count_history import CountHistory
from laburnumbridge.placement.events import SiblingState
from laburnumbridge.placement.slow_start import grown_share

if TYPE_CHECKING:
    from laburnumbridge.placement.events import LoadReport


@dataclass(frozen=True, slots=True)
class ReportBase:
    """A report with its time and the own counts as they were at that time."""

    report: LoadReport
    as_of: float
    arrivals: int
    closes: int
    forwards: int


@dataclass(slots=True)
class Sibling:
    """State, latest report, and own forwards to the sibling."""

    state: SiblingState = SiblingState.LIVE
    base: ReportBase | None = None
    forwards: CountHistory = field(default_factory=CountHistory)

    def weight(self, now: float, *, slow_start_s: float) -> float:
        """Return the connections that the sibling takes by now, in its slow start or after."""
        if self.base is None:
            return 0.0
        report = self.base.report
        if report.slow_start_share >= 1:
            return report.connections
        # The share has gone on growing since the report; without this an old report holds back
        # a third of what a new upstream may take.
        return report.connections * grown_share(
            report.slow_start_share, elapsed_s=now - self.base.as_of, slow_start_s=slow_start_s
        )
