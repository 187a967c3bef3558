from __future__ import annotations

import dataclasses

import pytest

from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.limits import TERM_S
from laburnumbridge.limits import TICK_S
from laburnumbridge.limits import AdmissionCancelled
from laburnumbridge.limits import AdmissionRequested
from laburnumbridge.limits import Admit
from laburnumbridge.limits import ClientAction
from laburnumbridge.limits import Defer
from laburnumbridge.limits import FleetChanged
from laburnumbridge.limits import Grant
from laburnumbridge.limits import GrantLine
from laburnumbridge.limits import GrantReceived
from laburnumbridge.limits import HolderDirectory
from laburnumbridge.limits import LeaseClient
from laburnumbridge.limits import LimitKind
from laburnumbridge.limits import PlanLimits
from laburnumbridge.limits import PlansChanged
from laburnumbridge.limits import Query
from laburnumbridge.limits import QueryReceived
from laburnumbridge.limits import Refuse
from laburnumbridge.limits import Report
from laburnumbridge.limits import SendReport
from laburnumbridge.limits import Tick
from laburnumbridge.limits import Work
from laburnumbridge.limits import WorkEnded
from laburnumbridge.limits.errors import WorkNotOpenError

PLAN = PlanName("workshop")
AGENT = ProcessId("agent-1")
HOLDER = ProcessId("holder")
OTHER = ProcessId("other-holder")
FLEET = frozenset({HOLDER})
LEVEL = LimitKind.CONCURRENT_REQUESTS


class Harness:
    """A lease client, with the test in place of its holder."""

    def __init__(self, limits: PlanLimits | None = None, limit: int = 100) -> None:
        self.client = LeaseClient(agent=AGENT, incarnation=Incarnation(1))
        self.limits = limits or PlanLimits(concurrent_requests=limit)
        self.now = 10.0
        self.sequence = 0
        self.reports: list[Report] = []
        self.request_count = 0
        self.client.handle(PlansChanged(5, {PLAN: self.limits}), self.now)
        self.client.handle(FleetChanged(FLEET, FLEET), self.now)

    def handle(self, event: object) -> list[ClientAction]:
        actions = self.client.handle(event, self.now)  # type: ignore[arg-type]
        self.reports.extend(a.report for a in actions if isinstance(a, SendReport))
        return [action for action in actions if not isinstance(action, SendReport)]

    def request(self, work: Work = Work.REQUEST) -> list[ClientAction]:
        self.request_count += 1
        return self.handle(AdmissionRequested(RequestId(str(self.request_count)), PLAN, work))

    def wait(self, seconds: float) -> list[ClientAction]:
        actions: list[ClientAction] = []
        end = self.now + seconds
        while self.now < end:
            due = self.client.next_due() or end
            self.now = min(end, self.now + TICK_S, max(due, self.now + 0.0001))
            actions.extend(self.handle(Tick()))
        return actions

    def grant(self, share: int, **changes: object) -> Grant:
        self.sequence += 1
        exhausted = bool(changes.pop("exhausted", False))
        limit = self.limits.limit(LEVEL) or 0
        line = GrantLine(share, limit, share, False, exhausted, limit)
        grant = Grant(
            plan=PLAN,
            holder=HOLDER,
            incarnation=Incarnation(7),
            sequence=self.sequence,
            answers=self.reports[-1].sequence,
            lines_by_kind={LEVEL: line},
        )
        return dataclasses.replace(grant, **changes)  # type: ignore[arg-type]

    def with_share(self, share: int) -> Harness:
        """Admit one request with a grant of ``share``; return the harness."""
        self.request()
        assert self.handle(GrantReceived(self.grant(share))) == [Admit(RequestId("1"))]
        return self

    def count_free_credit(self) -> int:
        """Return how many requests are admitted before one waits, which is then cancelled."""
        for free in range(1000):
            if not isinstance(self.request()[0], Admit):
                self.handle(AdmissionCancelled(RequestId(str(self.request_count)), PLAN))
                return free
        raise AssertionError


class TestAdmission:
    def test_work_waits_for_credit_and_is_admitted_after_a_grant(self) -> None:
        # Guards against a refusal while the holder still has credit.
        harness = Harness()
        assert harness.request() == [Defer(RequestId("1"), 10.05)]
        assert harness.reports[-1].lines_by_kind[LEVEL].needed == 1
        assert harness.handle(GrantReceived(harness.grant(3))) == [Admit(RequestId("1"))]
        assert harness.request() == [Admit(RequestId("2"))]

    def test_exhausted_credit_is_refused_with_its_reason(self) -> None:
        # Guards against a refusal without its reason, limit and use.
        harness = Harness().with_share(1)
        harness.request()
        harness.wait(0.01)
        (action,) = harness.handle(GrantReceived(harness.grant(1, exhausted=True)))
        assert isinstance(action, Refuse)
        refusal = action.refusal
        assert refusal.reason is RefusalReason.PLAN_CONCURRENCY
        assert (refusal.plan, refusal.limit, refusal.used) == (PLAN, 100, 100)
        assert (refusal.list_version, refusal.retry_after_s) == (5, 1.0)

    def test_work_is_refused_after_its_longest_wait(self) -> None:
        # Guards against clients that wait forever while the holder is unresponsive.
        harness = Harness()
        harness.request()
        assert harness.wait(0.049) == []
        (action,) = harness.wait(0.002)
        assert isinstance(action, Refuse)

    def test_a_cancelled_admission_uses_no_credit(self) -> None:
        harness = Harness()
        harness.request()
        harness.handle(AdmissionCancelled(RequestId("1"), PLAN))
        assert harness.handle(GrantReceived(harness.grant(1))) == []
        assert harness.count_free_credit() == 1

    def test_a_rate_is_free_again_one_second_after_its_use(self) -> None:
        # Guards against more admissions in any second than the share.
        harness = Harness(PlanLimits(requests_per_s=10))
        harness.request()
        line = GrantLine(2, 10, 2, False, False, 2)
        lines = {LimitKind.REQUEST_RATE: line}
        harness.handle(GrantReceived(harness.grant(2, lines_by_kind=lines)))
        assert harness.count_free_credit() == 1
        harness.wait(0.99)
        assert harness.count_free_credit() == 0
        harness.wait(0.03)
        assert harness.count_free_credit() == 2

    def test_unlimited_and_unlisted_plans_cause_no_messages(self) -> None:
        harness = Harness(PlanLimits())
        assert harness.request(Work.CONNECTION) == [Admit(RequestId("1"))]
        (action,) = harness.handle(
            AdmissionRequested(RequestId("x"), PlanName("none"), Work.REQUEST)
        )
        assert isinstance(action, Refuse)
        assert action.refusal.reason is RefusalReason.SERVICE_NOT_IN_PLAN
        assert harness.reports == []

    def test_the_end_of_work_that_is_not_open_is_an_error(self) -> None:
        # Guards against a level below the number of open items.
        with pytest.raises(WorkNotOpenError):
            Harness().handle(WorkEnded(PLAN, Work.REQUEST))


class TestGrants:
    def test_duplicated_and_reordered_grants_have_no_effect(self) -> None:
        # Guards against an older, larger share that replaces a newer one.
        harness = Harness()
        harness.request()
        older, newer = harness.grant(50), harness.grant(2)
        harness.handle(GrantReceived(newer))
        for grant in (older, newer, older):
            harness.handle(GrantReceived(grant))
        assert harness.count_free_credit() == 1

    @pytest.mark.parametrize(
        "changes", [{"holder": OTHER}, {"incarnation": Incarnation(6)}, {"answers": 999}]
    )
    def test_grants_of_other_or_older_holders_are_ignored(self, changes: dict[str, object]) -> None:
        # Guards against two holders that both grant the whole limit.
        harness = Harness().with_share(1)
        assert harness.handle(GrantReceived(harness.grant(50, **changes))) == []
        assert harness.count_free_credit() == 0

    def test_a_late_grant_is_ignored(self) -> None:
        # Guards against a lease that outlasts the term that the holder counts.
        harness = Harness()
        harness.request()
        grant = harness.grant(50)
        harness.wait(TERM_S)
        harness.handle(GrantReceived(grant))
        assert harness.count_free_credit() == 0

    def test_a_grant_from_before_a_change_of_holder_is_ignored(self) -> None:
        harness = Harness()
        harness.request()
        grant = harness.grant(50)
        harness.handle(FleetChanged(FLEET, frozenset({OTHER})))
        harness.handle(FleetChanged(FLEET, FLEET))
        harness.handle(GrantReceived(grant))
        assert harness.count_free_credit() == 0


class TestExpiry:
    def test_a_lease_ends_after_its_term_and_open_work_still_counts(self) -> None:
        # Guards against using credit that the holder has granted to others.
        harness = Harness().with_share(10)
        assert harness.wait(TERM_S - 0.1) == []
        harness.wait(0.2)
        assert isinstance(harness.request()[0], Defer)
        harness.wait(1.1)
        line = harness.reports[-1].lines_by_kind[LEVEL]
        assert (line.held, line.used) == (0, 1)

    def test_a_clock_jump_ends_the_lease(self) -> None:
        # Guards against a process that resumes after a pause and uses credit that was granted to
        # others in the meantime.
        harness = Harness().with_share(10)
        earlier = harness.grant(10)
        harness.now += 1.5
        assert isinstance(harness.request()[0], Defer)
        assert harness.handle(GrantReceived(earlier)) == []

    def test_without_a_holder_the_agent_uses_its_equal_part_after_a_term(self) -> None:
        # Guards against a partition whose two sides together admit more than the limit.
        harness = Harness().with_share(10)
        listed = frozenset(ProcessId(f"agent-{n}") for n in range(20))
        harness.handle(FleetChanged(listed, frozenset()))
        assert harness.count_free_credit() == 9
        harness.wait(TERM_S)
        assert isinstance(harness.request()[0], Refuse)
        for _ in range(6):
            harness.handle(WorkEnded(PLAN, Work.REQUEST))
        assert harness.count_free_credit() == 1


class TestPlansChanged:
    def test_a_lower_limit_reduces_the_share_at_once(self) -> None:
        # Guards against a lower limit that takes effect only with the next grant.
        harness = Harness().with_share(40)
        lower = PlanLimits(concurrent_requests=50)
        harness.handle(PlansChanged(6, {PLAN: lower}))
        assert harness.count_free_credit() == 19

    def test_older_versions_and_grants_for_an_older_limit_do_not_revert_it(self) -> None:
        # Guards against a process with an older list that reverts a change.
        harness = Harness().with_share(40)
        harness.handle(PlansChanged(6, {PLAN: PlanLimits(concurrent_requests=50)}))
        harness.handle(PlansChanged(5, {PLAN: harness.limits}))
        harness.handle(GrantReceived(harness.grant(40)))
        assert harness.count_free_credit() == 19


class TestIdlePlans:
    def test_a_plan_without_demand_has_no_state_and_sends_nothing(self) -> None:
        # Guards against state and messages that grow with the number of plans.
        harness = Harness().with_share(10)
        harness.handle(WorkEnded(PLAN, Work.REQUEST))
        harness.wait(2 * TERM_S)
        line = harness.reports[-1].lines_by_kind[LEVEL]
        assert (line.held, line.used, line.wanted) == (0, 0, 0)
        harness.handle(GrantReceived(harness.grant(0)))
        assert harness.client.plan_count == 0
        assert harness.client.next_due() is None

    def test_open_work_without_demand_is_reported_rarely(self) -> None:
        # Guards against messages that grow with the number of open but idle connections.
        harness = Harness().with_share(10)
        harness.wait(TERM_S + 1.0)
        harness.handle(GrantReceived(harness.grant(1)))
        reported = len(harness.reports)
        harness.wait(9.0)
        assert len(harness.reports) == reported

    def test_the_end_of_the_last_use_is_reported_until_it_is_confirmed(self) -> None:
        # Guards against a holder that counts ended work forever after a lost message.
        harness = Harness().with_share(10)
        harness.handle(WorkEnded(PLAN, Work.REQUEST))
        harness.wait(4 * TERM_S)
        reported = len(harness.reports)
        harness.wait(2.1)
        assert harness.client.plan_count == 1
        assert len(harness.reports) >= reported + 2

    def test_a_query_is_answered_only_for_the_followed_holder(self) -> None:
        # Guards against a holder that counts agents as reported while they use another's leases.
        harness = Harness()
        query = Query(plan=PLAN, holder=HOLDER, incarnation=Incarnation(7))
        harness.handle(QueryReceived(dataclasses.replace(query, holder=OTHER)))
        assert harness.reports == []
        harness.handle(QueryReceived(query))
        assert harness.reports[0].lines_by_kind == {}


class TestHolderDirectory:
    def test_changes_give_the_same_holder_as_a_new_directory(self) -> None:
        # Guards against agents that have the same view but follow different holders.
        kept = HolderDirectory()
        plans = [PlanName(f"plan-{n}") for n in range(20)]
        for first, last in ((0, 9), (3, 12), (5, 6), (0, 20), (0, 200), (20, 21), (0, 0), (1, 8)):
            agents = frozenset(ProcessId(f"agent-{n}") for n in range(first, last))
            fresh = HolderDirectory()
            kept.replace_agents(agents)
            fresh.replace_agents(agents)
            assert [kept.holder(p) for p in plans] == [fresh.holder(p) for p in plans]
