from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.limits import TERM_S
from laburnumbridge.limits import TICK_S
from laburnumbridge.limits import FleetChanged
from laburnumbridge.limits import Grant
from laburnumbridge.limits import HolderAction
from laburnumbridge.limits import LeaseHolder
from laburnumbridge.limits import LimitKind
from laburnumbridge.limits import PlanLimits
from laburnumbridge.limits import PlansChanged
from laburnumbridge.limits import Report
from laburnumbridge.limits import ReportLine
from laburnumbridge.limits import ReportReceived
from laburnumbridge.limits import SendGrant
from laburnumbridge.limits import SendQuery
from laburnumbridge.limits import Tick
from laburnumbridge.limits.errors import InvalidPlanLimitError
from laburnumbridge.limits.fair_shares import fair_level

PLAN = PlanName("workshop")
HOLDER = ProcessId("holder")
A, B, C = (ProcessId(name) for name in "abc")
FLEET = frozenset({A, B, C})
LEVEL = LimitKind.OPEN_CONNECTIONS


class Harness:
    """A lease holder, with the test in place of its agents."""

    def __init__(self, *, limit: int = 100, reported: bool = True) -> None:
        self.holder = LeaseHolder(plan=PLAN, holder=HOLDER, incarnation=Incarnation(7))
        self.now = 10.0
        self.sequence = 0
        self.grants: dict[ProcessId, Grant] = {}
        self.list_version = 0
        self.change_limit(limit)
        self.queries = self.handle(FleetChanged(FLEET, FLEET))
        for agent in FLEET if reported else ():
            self.report(agent, 0, 0, 0)

    def handle(self, event: object) -> list[HolderAction]:
        actions = self.holder.handle(event, self.now)  # type: ignore[arg-type]
        for action in actions:
            if isinstance(action, SendGrant):
                self.grants[action.destination] = action.grant
        return actions

    def change_limit(self, limit: int, version: int | None = None) -> None:
        self.list_version = self.list_version + 1 if version is None else version
        limits = PlanLimits(open_connections=limit)
        self.handle(PlansChanged(self.list_version, {PLAN: limits}))

    def report(
        self, agent: ProcessId, held: int, used: int, needed: int, *, confirm: bool = True
    ) -> Report:
        self.sequence += 1
        grant = self.grants.get(agent)
        applied = (grant.incarnation, grant.sequence) if grant and confirm else (0, 0)
        report = Report(
            plan=PLAN,
            agent=agent,
            incarnation=Incarnation(1),
            sequence=self.sequence,
            applied_incarnation=applied[0],
            applied_sequence=applied[1],
            lines_by_kind={LEVEL: ReportLine(held, used, needed, needed)} if held + needed else {},
        )
        self.handle(ReportReceived(report))
        return report

    def share(self, agent: ProcessId) -> int:
        return self.grants[agent].lines_by_kind[LEVEL].share

    def wait(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + TICK_S, self.holder.next_due(self.now) + 0.0001)
            self.handle(Tick())


class TestGranting:
    def test_grants_follow_need_up_to_the_limit(self) -> None:
        harness = Harness()
        harness.report(A, 0, 0, 70)
        harness.report(B, 0, 0, 70)
        assert (harness.share(A), harness.share(B)) == (70, 30)
        assert harness.holder.out(LEVEL) == 100

    def test_returned_credit_is_granted_to_the_waiting_agent(self) -> None:
        # Guards against unnecessary refusals when demand moves between agents.
        harness = Harness()
        harness.report(A, 0, 0, 100)
        harness.report(B, 0, 0, 40)
        assert harness.grants[A].lines_by_kind[LEVEL].tight
        assert harness.share(B) == 0
        harness.report(A, 50, 50, 50)
        assert harness.share(B) == 40

    def test_credit_returned_before_an_unconfirmed_grant_is_not_granted_again(self) -> None:
        # Guards against the same credit held by two agents after a report and a grant cross.
        harness = Harness()
        harness.report(A, 0, 0, 100)
        harness.report(A, 10, 10, 10, confirm=False)
        harness.report(B, 0, 0, 40)
        assert harness.share(B) == 0

    def test_duplicated_and_reordered_reports_have_no_effect(self) -> None:
        # Guards against an older, lower report that frees credit in use.
        harness = Harness()
        older = harness.report(A, 0, 0, 10)
        harness.report(A, 10, 10, 100)
        for _ in range(2):
            assert harness.handle(ReportReceived(older)) == []
        assert harness.holder.out(LEVEL) == 100

    def test_a_shortage_is_denied_in_time(self) -> None:
        # Guards against an answer that arrives after the client's longest wait.
        harness = Harness()
        harness.report(A, 0, 0, 100)
        harness.report(B, 0, 0, 1)
        harness.wait(0.032)
        assert harness.grants[B].lines_by_kind[LEVEL].exhausted

    def test_credit_moves_to_agents_that_were_denied(self) -> None:
        # Guards against an agent that keeps the whole limit because it requested credit first.
        harness = Harness()
        harness.report(A, 0, 0, 100)
        harness.report(A, 100, 100, 100)
        for _ in range(4):
            harness.report(B, 0, 0, 50)
            harness.wait(0.5)
        assert harness.share(A) < 100

    def test_fair_level_meets_small_demands_first(self) -> None:
        assert fair_level({1: 10, 2: 50, 3: 90}, 100) == 45
        assert fair_level({1: 10, 2: 20}, 100) == 20


class TestLostAgent:
    def test_an_unreturned_lease_counts_until_its_term_ends(self) -> None:
        # Guards against granting credit that an unresponsive agent still uses.
        harness = Harness()
        harness.report(A, 0, 0, 60)
        harness.wait(TERM_S - 0.1)
        assert harness.holder.out(LEVEL) == 60
        harness.wait(0.1 + TICK_S)
        assert harness.holder.out(LEVEL) == 0

    def test_recalls_do_not_prolong_the_lease_of_a_failed_agent(self) -> None:
        # Guards against credit that stays out forever while a plan is tight.
        harness = Harness()
        harness.report(A, 0, 0, 100)
        for _ in range(14):
            harness.report(B, 0, 0, 5)
            harness.wait(TICK_S)
        harness.report(B, 0, 0, 5)
        assert harness.share(B) == 5

    def test_open_connections_count_after_the_lease_has_ended(self) -> None:
        # Guards against granting credit for connections that an unresponsive agent still has open.
        harness = Harness()
        harness.report(A, 0, 0, 60)
        harness.report(A, 60, 40, 60)
        harness.wait(2 * TERM_S)
        assert harness.holder.out(LEVEL) == 40
        harness.report(A, 0, 40, 40)
        harness.report(A, 0, 0, 0)
        assert harness.holder.out(LEVEL) == 0


class TestRecovery:
    def test_a_new_holder_queries_all_agents(self) -> None:
        harness = Harness(reported=False)
        assert [a.destination for a in harness.queries if isinstance(a, SendQuery)] == [A, B, C]

    def test_recovery_grants_only_reported_credit_for_one_term(self) -> None:
        # Guards against grants in addition to those of the former holder that are still out.
        harness = Harness(reported=False)
        harness.report(A, 30, 10, 10)
        harness.report(B, 0, 0, 70)
        assert harness.share(B) == 0
        harness.report(A, 10, 10, 10)
        assert harness.share(B) == 20
        assert harness.holder.out(LEVEL) == 30
        harness.wait(TERM_S - 0.1)
        harness.report(B, 20, 20, 70)
        assert harness.share(B) == 20
        harness.wait(0.1 + TICK_S)
        harness.report(B, 20, 20, 70)
        assert harness.share(B) == 70

    def test_recovery_ends_when_all_listed_agents_have_reported(self) -> None:
        # Guards against unnecessary refusals after each planned change of holder.
        harness = Harness(reported=False)
        for agent in (A, B, C):
            harness.report(agent, 0, 0, 0)
        harness.report(B, 0, 0, 70)
        assert harness.share(B) == 70

    def test_a_holder_that_was_paused_recovers_again(self) -> None:
        # Guards against a holder that resumes after a pause and grants credit that another holder
        # has granted.
        harness = Harness()
        harness.now += 2.0
        harness.report(B, 0, 0, 70)
        assert harness.share(B) == 0


class TestPartition:
    def test_the_budget_shrinks_one_term_after_contact_was_lost(self) -> None:
        # Guards against a partition whose two sides together admit more than the limit.
        harness = Harness(limit=90)
        harness.handle(FleetChanged(FLEET, frozenset({A, B})))
        harness.report(A, 0, 0, 80)
        assert harness.share(A) == 80
        for _ in range(4):
            harness.wait(0.9)
            harness.report(A, harness.share(A), 0, harness.share(A))
        assert harness.holder.out(LEVEL) <= 60
        harness.report(B, 0, 0, 80)
        assert harness.holder.out(LEVEL) <= 60

    def test_connections_open_at_lost_agents_still_count(self) -> None:
        harness = Harness(limit=90)
        harness.report(C, 0, 0, 80)
        harness.report(C, 80, 80, 80)
        harness.handle(FleetChanged(FLEET, frozenset({A, B})))
        harness.wait(2 * TERM_S)
        harness.report(A, 0, 0, 80)
        assert harness.share(A) == 10


class TestPlansChanged:
    def test_a_lower_limit_recalls_and_an_older_version_is_ignored(self) -> None:
        # Guards against a limit that reverts when versions arrive out of order.
        harness = Harness()
        harness.report(A, 0, 0, 100)
        harness.change_limit(50)
        assert harness.share(A) == 50
        harness.change_limit(100, version=1)
        harness.report(B, 0, 0, 10)
        assert harness.share(B) == 0

    def test_limits_outside_their_range_are_rejected(self) -> None:
        with pytest.raises(InvalidPlanLimitError):
            PlanLimits(open_connections=-1)
        with pytest.raises(InvalidPlanLimitError):
            PlanLimits(ceiling=1.5)


class TestReportOrder:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([A, B, C]),
                st.integers(0, 100),
                st.integers(0, 100),
                st.booleans(),
                st.sampled_from([0.0, 0.01, 0.5]),
            ),
            max_size=40,
        )
    )
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_what_agents_can_hold_never_exceeds_the_limit(
        self, steps: list[tuple[ProcessId, int, int, bool, float]]
    ) -> None:
        # Guards against any order of requests, returns and lost grants that creates credit.
        harness = Harness()
        held = dict.fromkeys(FLEET, 0)
        expires_at = dict.fromkeys(FLEET, 0.0)
        applied: dict[ProcessId, Grant] = {}
        for agent, keep, needed, delivered, pause in steps:
            harness.wait(pause)
            live = held[agent] if expires_at[agent] > harness.now else 0
            held[agent] = min(live, keep)
            latest = harness.grants.get(agent)
            confirm = latest is not None and applied.get(agent) is latest
            harness.report(agent, held[agent], 0, max(needed, held[agent]), confirm=confirm)
            answer = harness.grants.get(agent)
            if delivered and answer is not None and answer.answers == harness.sequence:
                applied[agent] = answer
                held[agent] = harness.share(agent)
                expires_at[agent] = harness.now + TERM_S
            in_force = [held[a] for a in FLEET if expires_at[a] > harness.now]
            assert sum(in_force) <= 100

    def test_a_restarted_agent_starts_without_credit(self) -> None:
        # Guards against ignoring a restarted agent because its sequence starts again.
        harness = Harness()
        harness.report(A, 0, 0, 60)
        report = harness.report(A, 60, 60, 60)
        fresh = dataclasses.replace(report, incarnation=Incarnation(2), sequence=1)
        lines = {LEVEL: ReportLine(0, 0, 5, 5)}
        harness.handle(ReportReceived(dataclasses.replace(fresh, lines_by_kind=lines)))
        assert harness.share(A) == 5
