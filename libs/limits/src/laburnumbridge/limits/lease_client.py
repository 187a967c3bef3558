"""Enforcement of plan limits at an admitting agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.limits.actions import SendReport
from laburnumbridge.limits.events import AdmissionCancelled
from laburnumbridge.limits.events import AdmissionRequested
from laburnumbridge.limits.events import FleetChanged
from laburnumbridge.limits.events import GrantReceived
from laburnumbridge.limits.events import PlansChanged
from laburnumbridge.limits.events import QueryReceived
from laburnumbridge.limits.events import Tick
from laburnumbridge.limits.events import WorkEnded
from laburnumbridge.limits.holder_directory import HolderDirectory
from laburnumbridge.limits.messages import Report
from laburnumbridge.limits.plan_lease import PlanLease
from laburnumbridge.limits.timing import CLOCK_JUMP_S

if TYPE_CHECKING:
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import ProcessId
    from laburnumbridge.limits.actions import ClientAction
    from laburnumbridge.limits.events import ClientEvent
    from laburnumbridge.limits.messages import Query
    from laburnumbridge.limits.plan_limits import PlanLimits


class LeaseClient:
    """Admits or refuses the work of all plans, using leases of credit.

    A plan without demand, open work or credit causes no messages, and only the name of its holder
    is kept.
    """

    def __init__(self, *, agent: ProcessId, incarnation: Incarnation) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._list_version = 0
        self._limits_by_plan: dict[PlanName, PlanLimits] = {}
        self._lease_by_plan: dict[PlanName, PlanLease] = {}
        self._directory = HolderDirectory()
        self._listed_agents = 0
        self._sequence = 0
        self._last_event_at: float | None = None

    @property
    def plan_count(self) -> int:
        """The number of plans that the client keeps state of."""
        return len(self._lease_by_plan)

    def next_due(self) -> float | None:
        """Return when the next ``Tick`` is due (monotonic seconds), or None without state."""
        return min((lease.due_at for lease in self._lease_by_plan.values()), default=None)

    def handle(self, event: ClientEvent, now: float) -> list[ClientAction]:
        """Apply one event and return the resulting actions; ``now`` is in monotonic seconds."""
        self._detect_clock_jump(now)
        match event:
            case AdmissionRequested(request_id, plan, work):
                lease = self._lease(plan, now)
                return lease.request(request_id, work, now) + self._settle(plan, now)
            case AdmissionCancelled(request_id, plan):
                self._lease(plan, now).cancel(request_id)
                return self._settle(plan, now)
            case WorkEnded(plan, work):
                self._lease(plan, now).end(work)
                return self._settle(plan, now)
            case GrantReceived(grant):
                if grant.plan not in self._lease_by_plan:
                    return []
                return self._lease(grant.plan, now).apply(grant, now) + self._settle(
                    grant.plan, now
                )
            case QueryReceived(query):
                return self._answer_query(query, now)
            case PlansChanged(list_version, limits_by_plan):
                return self._change_plans(list_version, dict(limits_by_plan), now)
            case FleetChanged(listed, reachable):
                self._directory.replace_agents(reachable)
                self._listed_agents = len(listed)
                for plan, lease in self._lease_by_plan.items():
                    lease.set_holder(self._directory.holder(plan), self._listed_agents, now)
                return self._settle_all(now)
            case Tick():
                return self._settle_all(now)

    def _detect_clock_jump(self, now: float) -> None:
        last = self._last_event_at
        self._last_event_at = now
        if last is None or now - last <= CLOCK_JUMP_S:
            return
        for lease in self._lease_by_plan.values():
            lease.invalidate()

    def _lease(self, plan: PlanName, now: float) -> PlanLease:
        lease = self._lease_by_plan.get(plan)
        if lease is None:
            lease = PlanLease(plan=plan, agent=self._agent, incarnation=self._incarnation)
            lease.set_limits(self._limits_by_plan.get(plan), self._list_version)
            lease.set_holder(self._directory.holder(plan), self._listed_agents, now)
            self._lease_by_plan[plan] = lease
        return lease

    def _settle(self, plan: PlanName, now: float) -> list[ClientAction]:
        lease = self._lease_by_plan[plan]
        actions = lease.settle(now, self._sequence + 1)
        if any(isinstance(action, SendReport) for action in actions):
            self._sequence += 1
        if lease.is_finished:
            del self._lease_by_plan[plan]
        return actions

    def _settle_all(self, now: float) -> list[ClientAction]:
        actions: list[ClientAction] = []
        for plan in list(self._lease_by_plan):
            actions.extend(self._settle(plan, now))
        return actions

    def _change_plans(
        self, list_version: int, limits_by_plan: dict[PlanName, PlanLimits], now: float
    ) -> list[ClientAction]:
        if list_version <= self._list_version:
            return []
        self._list_version = list_version
        self._limits_by_plan = limits_by_plan
        for plan, lease in self._lease_by_plan.items():
            lease.set_limits(limits_by_plan.get(plan), list_version)
        return self._settle_all(now)

    def _answer_query(self, query: Query, now: float) -> list[ClientAction]:
        if self._directory.holder(query.plan) != query.holder:
            # Only the holder that this agent follows may count it as having reported.
            return []
        if query.plan in self._lease_by_plan:
            self._lease_by_plan[query.plan].request_report()
            return self._settle(query.plan, now)
        self._sequence += 1
        report = Report(
            plan=query.plan,
            agent=self._agent,
            incarnation=self._incarnation,
            sequence=self._sequence,
            applied_incarnation=0,
            applied_sequence=0,
            lines_by_kind={},
        )
        return [SendReport(query.holder, report)]
