"""The state that an agent keeps of one sibling."""

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
class ReportBaseline:
    """A load report with its time, and this agent's own counts at that time."""

    report: LoadReport
    as_of: float
    arrivals: int
    closes: int
    forwards: int


@dataclass(slots=True)
class Sibling:
    """Membership state, latest report, and this agent's forwards to the sibling.

    ``baseline`` is None before the first report.
    """

    state: SiblingState = SiblingState.LIVE
    baseline: ReportBaseline | None = None
    forwards: CountHistory = field(default_factory=CountHistory)

    def weight(self, now: float, *, slow_start_s: float) -> float:
        """Return the number of connections that the sibling accepts now; 0 before a report."""
        if self.baseline is None:
            return 0.0
        report = self.baseline.report
        if report.slow_start_share >= 1:
            return report.connections
        # The share has grown since the report. Without this correction an old report withholds a
        # third of the connections that a new upstream may accept.
        return report.connections * grown_share(
            report.slow_start_share, elapsed_s=now - self.baseline.as_of, slow_start_s=slow_start_s
        )
