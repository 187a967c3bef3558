"""The lease of one plan at an admitting agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.limits.actions import Admit
from laburnumbridge.limits.actions import Defer
from laburnumbridge.limits.actions import Refuse
from laburnumbridge.limits.actions import SendReport
from laburnumbridge.limits.credit_line import CreditLine
from laburnumbridge.limits.errors import WorkNotOpenError
from laburnumbridge.limits.limit_kind import LimitKind
from laburnumbridge.limits.limit_kind import Work
from laburnumbridge.limits.messages import Report
from laburnumbridge.limits.messages import ReportLine
from laburnumbridge.limits.pending_queue import PendingAdmission
from laburnumbridge.limits.pending_queue import PendingQueue
from laburnumbridge.limits.report_log import ReportLog
from laburnumbridge.limits.timing import IDLE_REPORT_S
from laburnumbridge.limits.timing import MAX_WAIT_S
from laburnumbridge.limits.timing import RENEW_S
from laburnumbridge.limits.timing import REQUEST_INTERVAL_S
from laburnumbridge.limits.timing import RETURN_DELAY_S
from laburnumbridge.limits.timing import TERM_S
from laburnumbridge.limits.timing import TIGHT_S

if TYPE_CHECKING:
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import ProcessId
    from laburnumbridge.core import RequestId
    from laburnumbridge.limits.actions import ClientAction
    from laburnumbridge.limits.messages import Grant
    from laburnumbridge.limits.plan_limits import PlanLimits

# Requests for credit of a tight plan are spaced further apart, because each waits at the holder
# until other agents return credit.
TIGHT_REQUEST_INTERVAL_S = 0.008
# Credit for pending admissions is requested again after this, in case an answer was lost.
REPEAT_REQUEST_S = 0.02
# Interval between reports that only raise the reserve.
RESERVE_INTERVAL_S = 0.05
# Retry-After of a refusal: after its window of one second a rate has free credit again.
RETRY_AFTER_S = 1.0


class PlanLease:
    """Admits or refuses the work of one plan, and reports its credit to the holder."""

    def __init__(self, *, plan: PlanName, agent: ProcessId, incarnation: Incarnation) -> None:
        self._plan = plan
        self._agent = agent
        self._incarnation = incarnation
        self._is_listed = False
        self._list_version = 0
        self._line_by_kind = {kind: CreditLine(kind=kind) for kind in LimitKind}
        self._queue_by_work = {
            work: PendingQueue(work=work, line_by_kind=self._line_by_kind) for work in Work
        }
        self._limited_lines: list[CreditLine] = []
        self._holder: ProcessId | None = None
        self._fallback_at = float("inf")
        self._listed_agents = 0
        self._applied_order = (0, 0)
        self._expires_at = float("-inf")
        self._surplus_since: float | None = None
        self._report_log = ReportLog()
        self._demand_at = float("-inf")
        self._report_requested = False
        self._is_finished = False
        self._due_at = float("inf")

    @property
    def is_finished(self) -> bool:
        """True when the plan has no credit or use at this agent and the holder has confirmed it."""
        return self._is_finished

    def set_limits(self, limits: PlanLimits | None, list_version: int) -> None:
        """Apply a version of the plan's limits; None if the plan is not listed."""
        self._is_listed = limits is not None
        self._list_version = list_version
        for kind, line in self._line_by_kind.items():
            line.set_limit(None if limits is None else limits.limit(kind))
        self._limited_lines = [
            line for line in self._line_by_kind.values() if line.limit is not None
        ]

    def set_holder(self, holder: ProcessId | None, listed_agents: int, now: float) -> None:
        """Set the holder; None while no holder is reachable."""
        self._listed_agents = listed_agents
        if holder == self._holder:
            if holder is None and self._fallback_at == float("inf"):
                self._fallback_at = now + TERM_S
            return
        self._holder = holder
        self._fallback_at = float("inf") if holder is not None else now + TERM_S
        self._applied_order = (0, 0)
        self._report_log.clear()
        self._report_requested = any(line.share or line.needed(now) for line in self._limited_lines)

    def invalidate(self) -> None:
        """End the lease and ignore grants in transit, after a pause of the process."""
        self.expire()
        self._report_log.clear()
        self._report_requested = bool(self._limited_lines)

    def expire(self) -> None:
        """End the lease; open work still counts."""
        self._expires_at = float("-inf")
        for line in self._line_by_kind.values():
            line.share = 0

    def request(self, request_id: RequestId, work: Work, now: float) -> list[ClientAction]:
        """Admit or refuse one piece of work, or queue it until credit arrives."""
        self._demand_at = now
        self._is_finished = False
        queue = self._queue_by_work[work]
        if not self._is_listed:
            refusal = Refusal(reason=RefusalReason.SERVICE_NOT_IN_PLAN, plan=self._plan)
            return [Refuse(request_id, refusal)]
        short = self._short_kind(work, now)
        if short is None and not queue:
            self._use_credit(work, now)
            return [Admit(request_id)]
        if self._holder is None and short is not None:
            return [Refuse(request_id, self._refusal(short, now))]
        pending = PendingAdmission(request_id, now + MAX_WAIT_S)
        queue.push(pending)
        return [Defer(request_id, pending.until)]

    def cancel(self, request_id: RequestId) -> None:
        """Remove a pending admission."""
        for queue in self._queue_by_work.values():
            queue.remove(request_id)

    def end(self, work: Work) -> None:
        """Free the levels that the work used when it was admitted.

        Raises WorkNotOpenError if no such work is open.
        """
        levels = [self._line_by_kind[kind] for kind in work.kinds if kind.is_level]
        if any(line.level == 0 for line in levels):
            raise WorkNotOpenError(plan=self._plan, work=work.name.lower())
        for line in levels:
            line.release()

    def apply(self, grant: Grant, now: float) -> list[ClientAction]:
        """Apply a grant unless it is late, duplicated, out of order or from another holder."""
        order = (grant.incarnation, grant.sequence)
        sent_at = self._report_log.sent_at(grant.answers)
        if grant.holder != self._holder or order <= self._applied_order or sent_at is None:
            return []
        if sent_at + TERM_S <= now:
            return []
        is_first_grant = self._applied_order[0] != grant.incarnation
        self._applied_order = order
        self._expires_at = (
            sent_at + TERM_S if is_first_grant else max(self._expires_at, sent_at + TERM_S)
        )
        self._report_log.record_answer(grant.answers)
        for kind, granted in grant.lines_by_kind.items():
            line = self._line_by_kind[kind]
            line.accept_share(granted.share, granted_limit=granted.limit)
            line.counted = max(granted.out, line.used(now))
            line.fleet_out = granted.fleet_out
            if granted.tight:
                line.tight_until = now + TIGHT_S
        exhausted = {kind for kind, granted in grant.lines_by_kind.items() if granted.exhausted}
        return self._admit_waiting(now) + self._refuse_exhausted(exhausted, grant.answers, now)

    def request_report(self) -> None:
        """Report at the next `settle`, because the holder sent a query."""
        self._report_requested = True

    def settle(self, now: float, next_sequence: int) -> list[ClientAction]:
        """Admit or refuse pending work, and send a report if one is due."""
        if now >= self._expires_at:
            self.expire()
        actions = self._admit_waiting(now) + self._refuse_timed_out(now)
        report_at = self._report_at(now)
        if self._holder is not None and now >= report_at:
            actions.append(self._report(self._holder, next_sequence, now))
            report_at = self._report_at(now)
        self._is_finished = self._has_ended(now)
        self._due_at = self._next_due(report_at, now)
        return actions

    @property
    def due_at(self) -> float:
        """When ``settle`` is due next (monotonic seconds)."""
        return self._due_at

    def _next_due(self, report_at: float, now: float) -> float:
        due = [queue.first.until for queue in self._queue_by_work.values() if queue]
        due.append(report_at if self._holder is not None else now + RENEW_S)
        for line in self._limited_lines:
            release_at = line.next_release()
            if release_at is not None and line.is_tight(now):
                due.append(release_at)
        return min(due)

    def _open_levels(self) -> list[int]:
        return [line.level for line in self._line_by_kind.values()]

    def _allowance(self, line: CreditLine, now: float) -> int:
        if now < self._expires_at:
            return line.share
        if now >= self._fallback_at and line.limit is not None:
            return line.limit // max(self._listed_agents, 1)
        return 0

    def _short_kind(self, work: Work, now: float) -> LimitKind | None:
        for kind in work.kinds:
            line = self._line_by_kind[kind]
            if line.limit is None:
                continue
            if line.used(now) >= min(self._allowance(line, now), line.limit):
                return kind
        return None

    def _use_credit(self, work: Work, now: float) -> None:
        for kind in work.kinds:
            self._line_by_kind[kind].take(now)

    def _admit_waiting(self, now: float) -> list[ClientAction]:
        actions: list[ClientAction] = []
        for work, queue in self._queue_by_work.items():
            while queue and self._short_kind(work, now) is None:
                actions.append(Admit(queue.pop().request_id))
                self._use_credit(work, now)
        return actions

    def _refuse_exhausted(
        self, exhausted: set[LimitKind], answers: int, now: float
    ) -> list[ClientAction]:
        actions: list[ClientAction] = []
        for work, queue in self._queue_by_work.items():
            short = self._short_kind(work, now)
            if short is None or short not in exhausted:
                continue
            while (
                queue
                and queue.first.first_reported_in is not None
                and queue.first.first_reported_in <= answers
            ):
                actions.append(Refuse(queue.pop().request_id, self._refusal(short, now)))
        return actions

    def _refuse_timed_out(self, now: float) -> list[ClientAction]:
        actions: list[ClientAction] = []
        for work, queue in self._queue_by_work.items():
            while queue and queue.first.until <= now:
                short = self._short_kind(work, now) or work.kinds[0]
                actions.append(Refuse(queue.pop().request_id, self._refusal(short, now)))
        return actions

    def _refusal(self, kind: LimitKind, now: float) -> Refusal:
        line = self._line_by_kind[kind]
        return Refusal(
            reason=kind.refusal_reason,
            plan=self._plan,
            limit=line.limit,
            used=max(line.fleet_out, line.used(now)),
            list_version=self._list_version,
            retry_after_s=RETRY_AFTER_S,
        )

    def _report_at(self, now: float) -> float:
        if self._report_requested:
            return now
        if not self._limited_lines:
            return now + RENEW_S
        sent_at = self._report_log.last_sent_at
        due = [sent_at + (IDLE_REPORT_S if self._is_idle(now) else RENEW_S)]
        self._update_surplus(now)
        retry_at = self._report_log.retry_at()
        if retry_at is not None:
            # Only one report is in transit at a time. A grant sent while further reports are in
            # transit could not be confirmed by them, so its credit would still count as out.
            return min(*due, retry_at)
        if any(self._queue_by_work.values()):
            due.append(sent_at + REPEAT_REQUEST_S)
        if any(queue.has_unreported for queue in self._queue_by_work.values()):
            tight = any(line.is_tight(now) for line in self._limited_lines)
            due.append(sent_at + (TIGHT_REQUEST_INTERVAL_S if tight else REQUEST_INTERVAL_S))
        elif any(
            self._is_reserve_low(line, now)
            for line in self._limited_lines
            if not line.is_tight(now)
        ):
            due.append(sent_at + RESERVE_INTERVAL_S)
        if self._surplus_since is not None:
            due.append(self._surplus_since + RETURN_DELAY_S)
        return min(due)

    def _is_reserve_low(self, line: CreditLine, now: float) -> bool:
        if not self._has_demand(now):
            return False
        wanted = line.wanted(now, with_reserve=True)
        return wanted > line.share and 2 * (line.share - line.used(now)) < wanted - line.used(now)

    def _update_surplus(self, now: float) -> None:
        for line in self._limited_lines:
            if now < line.tight_until and line.counted > line.needed(now):
                if self._surplus_since is None:
                    self._surplus_since = now
                return
        self._surplus_since = None

    def _has_demand(self, now: float) -> bool:
        return now - self._demand_at <= TERM_S

    def _has_ended(self, now: float) -> bool:
        if self._has_demand(now) or any(self._open_levels()):
            return False
        # If the report of the last end were lost, the holder would count that use forever.
        return all(
            line.counted == 0 and line.needed(now) == 0 for line in self._limited_lines
        ) and (self._report_log.retry_at() is None)

    def _is_idle(self, now: float) -> bool:
        if self._has_demand(now) or not any(self._open_levels()):
            return False
        return all(line.counted <= line.needed(now) for line in self._limited_lines)

    def _report(self, holder: ProcessId, sequence: int, now: float) -> SendReport:
        lines = {line.kind: self._report_line(line, now) for line in self._limited_lines}
        for queue in self._queue_by_work.values():
            queue.mark_reported(sequence)
        self._report_log.record_sent(sequence, now)
        self._report_requested = False
        self._surplus_since = None
        incarnation, applied = self._applied_order
        report = Report(
            plan=self._plan,
            agent=self._agent,
            incarnation=self._incarnation,
            sequence=sequence,
            applied_incarnation=incarnation,
            applied_sequence=applied,
            lines_by_kind=lines,
        )
        return SendReport(holder, report)

    def _report_line(self, line: CreditLine, now: float) -> ReportLine:
        wanted = line.wanted(now, with_reserve=self._has_demand(now) and not line.is_tight(now))
        if self._report_log.is_holder_responsive(now):
            # This report returns the credit above what is wanted.
            line.share = min(line.share, wanted)
        line.counted = max(line.share, line.used(now))
        return ReportLine(
            held=line.share, used=line.used(now), needed=line.needed(now), wanted=wanted
        )
