"""The lease of one agent, as its holder counts it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from laburnumbridge.limits.agent_line import AgentLine
from laburnumbridge.limits.limit_kind import LimitKind

if TYPE_CHECKING:
    from laburnumbridge.limits.messages import Report


@dataclass(slots=True)
class AgentLease:
    """The lease of one agent, with the credit of each limit.

    ``report_order`` is the incarnation and sequence of the latest report, ``sent_sequence`` the
    sequence of the latest grant (0 for none), and ``expires_at`` is in monotonic seconds.
    """

    report_order: tuple[int, int] = (0, 0)
    sent_sequence: int = 0
    expires_at: float = float("-inf")
    line_by_kind: dict[LimitKind, AgentLine] = field(default_factory=dict)

    @property
    def answers(self) -> int:
        """The sequence of the latest report, which the next grant answers."""
        return self.report_order[1]

    @property
    def is_empty(self) -> bool:
        """True when no credit is out or in use."""
        return all(line.committed == 0 for line in self.line_by_kind.values())

    def committed(self, kind: LimitKind) -> int:
        """Return the credit that counts against a limit."""
        line = self.line_by_kind.get(kind)
        return 0 if line is None else line.committed

    def line(self, kind: LimitKind) -> AgentLine:
        """Return the line of a limit, creating an empty one if there is none."""
        return self.line_by_kind.setdefault(kind, AgentLine())

    def apply_report(self, report: Report, *, confirmed: bool) -> bool:
        """Apply a report; return False if it is a duplicate or older than the latest one.

        ``confirmed`` is True if the agent has applied the last grant, so that the credit it
        reports as held replaces the credit granted.
        """
        order = (int(report.incarnation), report.sequence)
        if order <= self.report_order:
            return False
        if order[0] != self.report_order[0]:
            # The agent's earlier process has ended: it uses no lease and has no open work.
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

    def expire(self) -> None:
        """End the lease; open work still counts, uses of a rate no longer do."""
        for kind, line in self.line_by_kind.items():
            line.out = 0
            line.share = 0
            if not kind.is_level:
                line.used = 0
