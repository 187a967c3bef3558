"""Runs the leases of plan limits at one agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.limits import TICK_S
from laburnumbridge.limits import AdmissionCancelled
from laburnumbridge.limits import AdmissionRequested
from laburnumbridge.limits import Admit
from laburnumbridge.limits import FleetChanged
from laburnumbridge.limits import Grant
from laburnumbridge.limits import GrantReceived
from laburnumbridge.limits import HolderDirectory
from laburnumbridge.limits import LeaseClient
from laburnumbridge.limits import LeaseHolder
from laburnumbridge.limits import PlanLimits
from laburnumbridge.limits import PlansChanged
from laburnumbridge.limits import Query
from laburnumbridge.limits import QueryReceived
from laburnumbridge.limits import Refuse
from laburnumbridge.limits import Report
from laburnumbridge.limits import ReportReceived
from laburnumbridge.limits import SendGrant
from laburnumbridge.limits import SendReport
from laburnumbridge.limits import Tick
from laburnumbridge.limits import WorkEnded
from laburnumbridge.runtime.control.message_kinds import MessageKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import ProcessId
    from laburnumbridge.core import Refusal
    from laburnumbridge.core import RequestId
    from laburnumbridge.limits import ClientAction
    from laburnumbridge.limits import HolderAction
    from laburnumbridge.limits import Work
    from laburnumbridge.lists import PlanList
    from laburnumbridge.runtime.control.control_link import ControlLink

# Shortest delay of the timer, so that a tick that is due at once doesn't starve other tasks.
MIN_DELAY_S = 0.001


class LeaseDriver:
    """Runs the lease client of the agent and the holders of the plans that hash to it."""

    def __init__(self, *, own: ProcessId, incarnation: Incarnation, link: ControlLink) -> None:
        self._own = own
        self._incarnation = incarnation
        self._link = link
        self._client = LeaseClient(agent=own, incarnation=incarnation)
        self._directory = HolderDirectory()
        self._holder_by_plan: dict[PlanName, LeaseHolder] = {}
        self._holders_created = 0
        self._waiting_by_id: dict[RequestId, asyncio.Future[Refusal | None]] = {}
        self._plans: PlansChanged | None = None
        self._fleet = FleetChanged(frozenset(), frozenset())
        self._timer: asyncio.TimerHandle | None = None
        self._is_started = False
        link.register(MessageKind.LEASE_REPORT, Report, self._on_report)
        link.register(MessageKind.LEASE_GRANT, Grant, self._on_grant)
        link.register(MessageKind.LEASE_QUERY, Query, self._on_query)

    def start(self) -> None:
        """Start ticking."""
        self._is_started = True
        self._schedule()

    def close(self) -> None:
        """Stop ticking; leases expire at the end of their term."""
        self._is_started = False
        if self._timer is not None:
            self._timer.cancel()

    def set_plans(self, version: int, plans: PlanList) -> None:
        """Put a version of the plans in force."""
        limits = {
            PlanName(plan.name): PlanLimits(
                open_connections=plan.open_connections,
                new_connections_per_s=plan.new_connections_per_s,
                requests_per_s=plan.requests_per_s,
                concurrent_requests=plan.concurrent_requests,
                guaranteed_share=plan.guaranteed_share,
                ceiling=plan.ceiling,
            )
            for plan in plans.plans
        }
        self._plans = PlansChanged(version, limits)
        self._run_client(self._client.handle(self._plans, self._now()))
        for holder in self._holder_by_plan.values():
            self._run_holder(holder.handle(self._plans, self._now()))

    def set_fleet(self, *, listed: Iterable[ProcessId], reachable: Iterable[ProcessId]) -> None:
        """Replace the agents that the platform lists and those that are reachable."""
        self._fleet = FleetChanged(frozenset(listed), frozenset(reachable))
        self._directory.replace_agents(self._fleet.reachable)
        for plan in list(self._holder_by_plan):
            if self._directory.holder(plan) != self._own:
                del self._holder_by_plan[plan]
        self._run_client(self._client.handle(self._fleet, self._now()))
        for holder in self._holder_by_plan.values():
            self._run_holder(holder.handle(self._fleet, self._now()))

    async def admit(self, request_id: RequestId, plan: PlanName, work: Work) -> Refusal | None:
        """Return None once the plan's limits admit the work, or a refusal.

        ``end`` must be called when admitted work has ended.
        """
        future: asyncio.Future[Refusal | None] = asyncio.get_running_loop().create_future()
        self._waiting_by_id[request_id] = future
        event = AdmissionRequested(request_id, plan, work)
        self._run_client(self._client.handle(event, self._now()))
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result() is None:
                self.end(plan, work)
            else:
                cancelled = AdmissionCancelled(request_id, plan)
                self._run_client(self._client.handle(cancelled, self._now()))
            raise
        finally:
            self._waiting_by_id.pop(request_id, None)

    def end(self, plan: PlanName, work: Work) -> None:
        """Release admitted work that has ended."""
        self._run_client(self._client.handle(WorkEnded(plan, work), self._now()))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _on_report(self, sender: ProcessId, report: Report) -> None:
        # A process may report only for itself; the seal authenticates the sender.
        if report.agent != sender or self._directory.holder(report.plan) != self._own:
            return
        holder = self._holder(report.plan)
        self._run_holder(holder.handle(ReportReceived(report), self._now()))

    def _on_grant(self, sender: ProcessId, grant: Grant) -> None:
        if grant.holder == sender:
            self._run_client(self._client.handle(GrantReceived(grant), self._now()))

    def _on_query(self, sender: ProcessId, query: Query) -> None:
        if query.holder == sender:
            self._run_client(self._client.handle(QueryReceived(query), self._now()))

    def _holder(self, plan: PlanName) -> LeaseHolder:
        holder = self._holder_by_plan.get(plan)
        if holder is None:
            # Agents ignore grants of an earlier holder, so each new one gets a higher incarnation.
            self._holders_created += 1
            incarnation = Incarnation(self._incarnation + self._holders_created)
            holder = LeaseHolder(plan=plan, holder=self._own, incarnation=incarnation)
            self._holder_by_plan[plan] = holder
            if self._plans is not None:
                self._run_holder(holder.handle(self._plans, self._now()))
            self._run_holder(holder.handle(self._fleet, self._now()))
        return holder

    def _tick(self) -> None:
        now = self._now()
        self._run_client(self._client.handle(Tick(), now))
        for holder in list(self._holder_by_plan.values()):
            self._run_holder(holder.handle(Tick(), now))

    def _schedule(self) -> None:
        """Schedule the earliest due tick, in at most TICK_S seconds so that a pause is noticed."""
        if not self._is_started:
            return
        now = self._now()
        due = [now + TICK_S, *(holder.next_due(now) for holder in self._holder_by_plan.values())]
        client_due = self._client.next_due()
        if client_due is not None:
            due.append(client_due)
        if self._timer is not None:
            self._timer.cancel()
        at = max(min(due), now + MIN_DELAY_S)
        self._timer = asyncio.get_running_loop().call_at(at, self._tick)

    def _run_client(self, actions: list[ClientAction]) -> None:
        for action in actions:
            match action:
                case Admit(request_id):
                    self._resolve(request_id, None)
                case Refuse(request_id, refusal):
                    self._resolve(request_id, refusal)
                case SendReport(destination, report):
                    self._link.send(destination, report)
        self._schedule()

    def _resolve(self, request_id: RequestId, refusal: Refusal | None) -> None:
        future = self._waiting_by_id.get(request_id)
        if future is not None and not future.done():
            future.set_result(refusal)

    def _run_holder(self, actions: list[HolderAction]) -> None:
        self._schedule()
        for action in actions:
            if isinstance(action, SendGrant):
                self._link.send(action.destination, action.grant)
            else:
                self._link.send(action.destination, action.query)
