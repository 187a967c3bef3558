"""What a holder knows of one agent."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from laburnumbridge.limits.held_line import HeldLine
from laburnumbridge.limits.limit_kind import LimitKind

if TYPE_CHECKING:
    from laburnumbridge.limits.messages import Report


@dataclass(slots=True)
class HeldAgent:
    """The lease of one agent; ``report_order`` is the incarnation and sequence of its report."""

    report_order: tuple[int, int] = (0, 0)
    sent_sequence: int = 0
    expires_at: float = float("-inf")
    line_by_kind: dict[LimitKind, HeldLine] = field(default_factory=dict)

    @property
    def answers(self) -> int:
        """The sequence of the last report."""
        return self.report_order[1]

    @property
    def empty(self) -> bool:
        """True when nothing is out or in use."""
        return all(line.committed == 0 for line in self.line_by_kind.values())

    def committed(self, kind: LimitKind) -> int:
        """Return what counts against a limit."""
        line = self.line_by_kind.get(kind)
        return 0 if line is None else line.committed

    def line(self, kind: LimitKind) -> HeldLine:
        """Return the line of a limit."""
        return self.line_by_kind.setdefault(kind, HeldLine())

    def take_report(self, report: Report, *, confirmed: bool) -> bool:
        """Take in a report; return False when it is doubled or older than another.

        ``confirmed`` tells that the agent applied the last grant, so that what it says it holds
        replaces what was granted.
        """
        order = (int(report.incarnation), report.sequence)
        if order <= self.report_order:
            return False
        if order[0] != self.report_order[0]:
            # An earlier process of the agent can use none of its leases and keeps nothing open.
            self.line_by_kind.clear()
        self.report_order = order
        for kind in LimitKind:
            reported = report.lines_by_kind.get(kind)
            if reported is None and kind not in self.line_by_kind:
                continue
            line = self.line(kind)
            held = 0 if reported is None else reported.held
            line.share = held if confirmed else min(line.share, line.out)
            line.out = held if confirmed else max(line.out, held)
            line.used = 0 if reported is None else reported.used
            line.needed = 0 if reported is None else reported.needed
            line.wanted = 0 if reported is None else reported.wanted
        return True

    def lapse(self) -> None:
        """Count the lease as ended; open work keeps counting, a rate's uses are past."""
        for kind, line in self.line_by_kind.items():
            line.out = 0
            line.share = 0
            if not kind.is_level:
                line.used = 0
