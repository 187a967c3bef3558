from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.core import FailureDomain
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import ServiceName
from laburnumbridge.membership import Claim
from laburnumbridge.membership import LivenessRecord
from laburnumbridge.membership import LivenessVersion
from laburnumbridge.membership import Member
from laburnumbridge.membership import MembershipView
from laburnumbridge.membership import MemberState
from laburnumbridge.membership import Role
from laburnumbridge.membership.membership_view import MAX_UNLISTED_RECORDS
from laburnumbridge.membership.membership_view import SUSPECT_EXPIRY_S
from laburnumbridge.membership.membership_view import TOMBSTONE_S

A, B, C = (ProcessId(name) for name in ("agent-a", "agent-b", "balancer-c"))
EAST, WEST = FailureDomain("east"), FailureDomain("west")
DESK = ServiceName("desk")


def agent(process_id: ProcessId, *, leaving: bool = False) -> Member:
    return Member(
        process_id=process_id, role=Role.AGENT, failure_domain=EAST, service=DESK, leaving=leaving
    )


BALANCER = Member(process_id=C, role=Role.BALANCER, failure_domain=WEST)


def record(
    subject: ProcessId, claim: Claim, *, incarnation: int = 5, refutation: int = 0
) -> LivenessRecord:
    return LivenessRecord(subject, claim, LivenessVersion(Incarnation(incarnation), refutation), C)


@pytest.fixture
def view() -> MembershipView:
    new_view = MembershipView()
    new_view.apply_list(version=3, members=[agent(A), agent(B), BALANCER], now=0.0)
    return new_view


class TestPlatformList:
    def test_an_older_list_is_counted_and_changes_nothing(self, view: MembershipView) -> None:
        # Guards against a stale platform answer that brings back or removes VMs.
        assert view.apply_list(version=2, members=[], now=1.0) == []
        assert view.stale_lists == 1
        assert view.live() == [A, B, C]

    def test_a_process_that_left_the_list_is_gone_and_one_never_listed_is_unknown(
        self, view: MembershipView
    ) -> None:
        # Guards against resets of flows of an agent that isn't on the list yet, because it lags.
        changes = view.apply_list(version=4, members=[agent(A), BALANCER], now=1.0)
        assert [(c.process_id, c.state) for c in changes] == [(B, MemberState.GONE)]
        assert view.state(B).allows_flow_reset
        assert view.state(ProcessId("agent-new")) is MemberState.UNKNOWN
        assert not view.state(ProcessId("agent-new")).allows_flow_reset

    def test_a_tombstone_expires_and_is_removed_on_relisting(self, view: MembershipView) -> None:
        view.apply_list(version=4, members=[agent(A)], now=1.0)
        view.apply_list(version=5, members=[agent(A), agent(B)], now=2.0)
        assert view.state(B) is MemberState.LIVE
        view.expire(TOMBSTONE_S + 0.9)
        assert view.state(C) is MemberState.GONE
        view.expire(TOMBSTONE_S + 1.1)
        assert view.state(C) is MemberState.UNKNOWN

    def test_selections_by_service_role_and_failure_domain(self, view: MembershipView) -> None:
        assert view.live(service=DESK) == [A, B]
        assert view.live(role=Role.BALANCER) == [C]
        assert view.live(role=Role.BALANCER, failure_domain=EAST) == []
        assert view.live(failure_domain=EAST) == [A, B]
        view.apply_list(version=4, members=[agent(A, leaving=True), agent(B)], now=1.0)
        assert view.state(A) is MemberState.LEAVING
        assert view.live(service=DESK) == [B]


class TestRecords:
    def test_a_refutation_overrides_a_death_and_a_death_overrides_the_same_version(
        self, view: MembershipView
    ) -> None:
        view.apply_record(record(A, Claim.DEAD), 1.0)
        assert view.apply_record(record(A, Claim.ALIVE), 1.0) == []
        assert view.state(A) is MemberState.DEAD
        changes = view.apply_record(record(A, Claim.ALIVE, refutation=1), 1.0)
        assert changes[0].state is MemberState.LIVE

    def test_a_refutation_keeps_the_incarnation(self, view: MembershipView) -> None:
        # Guards against balancers that reset the flows of an agent because it refuted a suspicion.
        view.apply_record(record(A, Claim.SUSPECT), 1.0)
        view.apply_record(record(A, Claim.ALIVE, refutation=1), 1.0)
        assert view.incarnation(A) == 5

    def test_a_restarted_process_is_live_with_its_new_incarnation(
        self, view: MembershipView
    ) -> None:
        # Guards against a process on a reused address that is taken for its dead predecessor.
        view.apply_record(record(A, Claim.DEAD, refutation=7), 1.0)
        changes = view.apply_record(record(A, Claim.ALIVE, incarnation=6), 2.0)
        assert (changes[0].state, changes[0].incarnation) == (MemberState.LIVE, 6)
        assert view.apply_record(record(A, Claim.DEAD, refutation=8), 3.0) == []

    def test_a_suspicion_that_is_not_renewed_expires(self, view: MembershipView) -> None:
        suspicion = record(A, Claim.SUSPECT)
        view.apply_record(suspicion, 0.0)
        assert not view.renew_suspicion(suspicion, 1.0)
        assert view.renew_suspicion(suspicion, SUSPECT_EXPIRY_S - 1.0)
        assert view.expire(SUSPECT_EXPIRY_S + 1.0) == []
        assert view.expire(2 * SUSPECT_EXPIRY_S)[0].state is MemberState.LIVE
        assert view.count_impaired(EAST) == (0, 2)

    def test_a_record_about_an_unlisted_process_applies_once_it_is_listed(
        self, view: MembershipView
    ) -> None:
        new = ProcessId("agent-new")
        view.apply_record(record(new, Claim.LEAVING), 1.0)
        assert view.state(new) is MemberState.UNKNOWN
        view.apply_list(version=4, members=[agent(new)], now=2.0)
        assert view.state(new) is MemberState.LEAVING

    def test_records_about_unlisted_processes_are_bounded(self, view: MembershipView) -> None:
        # Guards against unbounded memory while the list lags.
        for number in range(MAX_UNLISTED_RECORDS + 10):
            view.apply_record(record(ProcessId(f"x-{number}"), Claim.ALIVE), 1.0)
        stored = [
            n
            for n in range(MAX_UNLISTED_RECORDS + 10)
            if view.liveness_version(ProcessId(f"x-{n}"))
        ]
        assert stored == list(range(10, MAX_UNLISTED_RECORDS + 10))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([A, B]),
                st.sampled_from(list(Claim)),
                st.integers(1, 3),
                st.integers(0, 2),
            ),
            max_size=6,
        ),
        st.data(),
    )
    @settings(derandomize=True, deadline=None, max_examples=60)
    def test_order_and_repetition_of_records_do_not_matter(
        self, drawn: list[tuple[ProcessId, Claim, int, int]], data: st.DataObject
    ) -> None:
        # Guards against views that stay different after duplicated and reordered messages.
        records = [
            record(subject, claim, incarnation=incarnation, refutation=refutation)
            for subject, claim, incarnation, refutation in drawn
        ]
        shuffled = data.draw(st.permutations(records + records[:2]))
        views = []
        for order in (records, shuffled):
            view = MembershipView()
            view.apply_list(version=1, members=[agent(A), agent(B)], now=0.0)
            for item in order:
                view.apply_record(item, 0.0)
            views.append(view)
        first, second = views
        assert [first.state(p) for p in (A, B)] == [second.state(p) for p in (A, B)]
        assert [first.liveness_version(p) for p in (A, B)] == [
            second.liveness_version(p) for p in (A, B)
        ]
        assert first.digest == second.digest == first.digest_of([A, B])
        assert first.count_impaired(EAST) == second.count_impaired(EAST)

    def test_pages_of_records_contain_each_record_once(self, view: MembershipView) -> None:
        for subject in (A, B, C):
            view.apply_record(record(subject, Claim.ALIVE), 0.0)
        first = view.records_after(ProcessId(""), 2)
        rest = view.records_after(first[-1].subject, 2)
        assert [item.subject for item in itertools.chain(first, rest)] == [A, B, C]
